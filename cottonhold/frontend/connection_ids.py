"""Connection ids of client sessions, from ranges that no two processes of one dispatcher share."""

from __future__ import annotations

from dataclasses import dataclass

SLOTS = 4  # processes of one dispatcher that can run at the same time
START_BITS, COUNT_BITS = 10, 20  # of an id; between them two bits for the slot


@dataclass(slots=True, frozen=True)
class ConnectionIdRange:
    """The ids that a process gives to its clients' connections: from base + 1 to base + count.

    KILL QUERY may reach another process of the dispatcher, where an id given by both would hit another
    client's query. So the ranges of processes that live at the same time differ.
    """

    base: int = 0
    count: int = 0xFFFFFFFF

    @classmethod
    def for_slot(cls, start_number: int, slot: int) -> ConnectionIdRange:
        """The range of a process by its slot; a later start in the same slot has another number."""
        high = (start_number % (1 << START_BITS)) * SLOTS + slot
        return cls(high << COUNT_BITS, (1 << COUNT_BITS) - 1)

    @classmethod
    def for_process(cls, pid: int, max_pids: int) -> ConnectionIdRange:
        """The range of a process without a slot, by its process id."""
        bits = 32 - (max_pids - 1).bit_length()
        return cls(pid << bits, (1 << bits) - 1)

    def next_id(self, connection_id: int) -> int:
        """The id after another one of the range; after the last one comes the first."""
        return self.base + (connection_id - self.base) % self.count + 1
