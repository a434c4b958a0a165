"""What this process may use of the limits that it shares with the other processes of its dispatcher."""

from __future__ import annotations

from collections.abc import Sequence

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.discovery.event_stream import MAX_ANSWER_BYTES, EventStream
from cottonhold.frontend.client_sessions import ClientSessions
from cottonhold.node.descriptors import DescriptorQuotas, usable_descriptors
from cottonhold.node.sibling_processes import ProcessRecord
from cottonhold.observe.process_memory import resident_bytes
from cottonhold.scheduler.memory_quotas import MemoryQuotas, divide_memory


class ProcessQuotas:
    """Divides the limits on descriptors and memory, and applies the quotas.

    Args:
        max_descriptors: The configured limit on descriptors.
        memory_limit: The configured limit on memory, in bytes; None for no limit.
    """

    def __init__(self, max_descriptors: int, memory_limit: int | None) -> None:
        self.max_descriptors = usable_descriptors(max_descriptors)
        self.memory_limit = memory_limit
        self.descriptors = DescriptorQuotas.divide(self.max_descriptors)
        self.idle_bytes = 0

    def measure_idle(self) -> None:
        """Take the present memory as that of the process without any client."""
        self.idle_bytes = resident_bytes()

    def memory(self, processes: int) -> MemoryQuotas:
        """Return the quotas of memory of one process out of several that share the limit."""
        return divide_memory(self.memory_limit, self.idle_bytes, processes, self.descriptors.clients)

    def apply(
        self,
        others: Sequence[ProcessRecord],
        sessions: ClientSessions,
        engines: EngineConnections,
        event_stream: EventStream,
    ) -> DescriptorQuotas:
        """Limit clients and engines to what other processes leave; return the quotas of descriptors.

        Args:
            others: The other processes of this dispatcher.
            sessions: The client sessions.
            engines: The connections to engines.
            event_stream: The event stream.
        """
        descriptors = self.descriptors.remaining_after(others)
        memory = self.memory(1 + len(others))
        sessions.max_sessions = min(descriptors.clients, memory.sessions)
        sessions.client_memory.capacity = memory.client_bytes
        engines.result_pool.capacity = memory.result_bytes
        engines.answer_pool.capacity = memory.engine_bytes
        event_stream.max_answer_bytes = min(memory.event_stream_bytes, MAX_ANSWER_BYTES)
        engines.max_connections = descriptors.engines
        return descriptors

    def log_fields(self) -> dict[str, object]:
        """Return the limits and the quotas of one process as fields of the log."""
        descriptors, memory = self.descriptors, self.memory(1)
        used = descriptors.clients + descriptors.engines + descriptors.admin
        return {
            "max_descriptors": self.max_descriptors,
            "client_descriptors": descriptors.clients,
            "engine_descriptors": descriptors.engines,
            "admin_descriptors": descriptors.admin,
            "other_descriptors": self.max_descriptors - used,
            "memory_limit_bytes": self.memory_limit,
            "idle_bytes": self.idle_bytes,
            "max_sessions": memory.sessions,
            "client_bytes": memory.client_bytes,
            "result_bytes": memory.result_bytes,
        }
