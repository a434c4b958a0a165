"""Connection ids of client sessions, from ranges that differ between the processes of one dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SLOTS = 4  # processes of one dispatcher that may run at the same time
# An id has 32 bits: the start number of the process, two bits for its slot, and a counter.
START_BITS, COUNT_BITS = 10, 20


@dataclass(slots=True, frozen=True)
class ConnectionIdRange:
    """The ids that a process assigns to its client connections: from base + 1 to base + count.

    KILL QUERY may reach another process of the dispatcher. If both had assigned the same id, it would cancel
    another client's query, so processes that run at the same time use disjoint ranges. Ids of a process with
    a slot tell the slot, so that another process can pass the call on.
    """

    base: int = 0
    count: int = 0xFFFFFFFF

    @classmethod
    def for_slot(cls, start_number: int, slot: int) -> ConnectionIdRange:
        """Return the range of a process that holds a slot.

        Args:
            start_number: Number of this start; successive starts in one slot have different numbers.
            slot: Number of the slot, below SLOTS.
        """
        high = (start_number % (1 << START_BITS)) * SLOTS + slot
        return cls(high << COUNT_BITS, (1 << COUNT_BITS) - 1)

    @classmethod
    def for_process(cls, pid: int, max_pids: int) -> ConnectionIdRange:
        """Return the range of a process without a slot, derived from its process id.

        Args:
            pid: The process id.
            max_pids: Exclusive upper bound of process ids on this system.
        """
        bits = 32 - (max_pids - 1).bit_length()
        return cls(pid << bits, (1 << bits) - 1)

    def random_id(self, generator: Random) -> int:
        """Return an id of the range at random.

        A process starts there, so that its ids differ from those of other dispatchers. A KILL QUERY that is
        led to another dispatcher then names no session there.
        """
        return self.base + generator.randrange(self.count)

    def next_id(self, connection_id: int) -> int:
        """Return the id that follows another one; the first id of the range follows the last."""
        return self.base + (connection_id - self.base) % self.count + 1


def slot_of(connection_id: int) -> int:
    """Return the slot of the process that assigned an id, if that process has a slot."""
    return (connection_id >> COUNT_BITS) % SLOTS
