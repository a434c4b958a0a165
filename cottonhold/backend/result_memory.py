"""Admits the collection of results of several pages, within the memory for results. Free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.scheduler.byte_pool import BytePool, Reservation


@dataclass(slots=True, eq=False)
class Collection:
    """The memory of one result while its pages are collected.

    Attributes:
        reservation: The memory that it holds.
        size: The memory that the whole result needs, in bytes.
        start: Requests its further pages; called once.
        is_started: Whether they were requested.
        is_ended: Whether the result was passed on or given up.
    """

    reservation: Reservation
    size: int
    start: Callable[[], None]
    is_started: bool = False
    is_ended: bool = False


class ResultMemory:
    """Lets results begin in their order, as long as there is memory for the whole of each.

    One result may always be collected, so that a result larger than the memory passes.

    Args:
        pool: The memory for results, which is shared with results that clients have not read.
    """

    def __init__(self, pool: BytePool) -> None:
        self.pool = pool
        self.waiting: deque[Collection] = deque()
        self.started_count = 0

    def begin(self, first_page_bytes: int, size: int, start: Callable[[], None]) -> Collection:
        """Begin a result: request its further pages now, or once there is memory for it.

        Args:
            first_page_bytes: Size of its first page, which is held already.
            size: Memory that the whole result needs, in bytes.
            start: Requests the further pages.
        """
        collection = Collection(Reservation(self.pool, allowance=0), size, start)
        collection.reservation.set(first_page_bytes)
        self.waiting.append(collection)
        self.admit()
        return collection

    def end(self, collection: Collection) -> None:
        """Release the memory of a result that was passed on or given up."""
        if collection.is_ended:
            return
        collection.is_ended = True
        collection.reservation.release()
        self.started_count -= collection.is_started
        self.admit()

    def admit(self) -> None:
        """Let waiting results begin for which there is memory."""
        while self.waiting and (self.waiting[0].is_ended or self._has_memory(self.waiting[0])):
            collection = self.waiting.popleft()
            if not collection.is_ended:
                collection.is_started = True
                self.started_count += 1
                collection.reservation.set(collection.size)
                collection.start()

    def _has_memory(self, collection: Collection) -> bool:
        needed = collection.size - collection.reservation.charged
        return not self.started_count or self.pool.used + needed <= self.pool.capacity
