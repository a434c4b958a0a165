"""Collects the pages of results from engines, within the memory for results."""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.engine_protocol import Answer, encode_fetch_page
from cottonhold.backend.resp import MAX_PAGE_BYTES, RespError, check_page, decode_count
from cottonhold.backend.result_memory import ResultMemory
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.byte_pool import BytePool
from cottonhold.transport.clock import Clock, Timer

MAX_PAGES = 64  # pages have up to 6,000 bytes, and an engine's result up to 48,000
MAX_RESULT_BYTES = 96_000  # the pages also hold the separators of cells and rows
ADMIT_INTERVAL_MS = 5.0  # pause until results that wait for memory are considered again


class ResultCollector:
    """Collects results of one or several pages.

    All pages are collected and checked before the first row is sent to the client, so that a lost or
    malformed page can still lead to a retry or to an error without partial rows.

    Args:
        pool: The memory for results.
        clock: This process's clock.
        counters: The counters of this process.
    """

    def __init__(self, pool: BytePool, clock: Clock, counters: Counters) -> None:
        self.memory, self.clock, self.counters = ResultMemory(pool), clock, counters
        self.reclaim: Callable[[], None] = lambda: None  # takes memory back from clients that don't read
        self.admit_timer: Timer | None = None  # set while results wait for memory

    def on_first_page(self, attempt: Attempt, answer: Answer) -> bool:
        """Store the first page and request the others once there is memory; return whether there are none.

        Raises:
            RespError: The page or the number of pages is invalid.
        """
        count = decode_count(answer.fields, "count", 1, MAX_PAGES)
        check_page(answer.body)
        attempt.first_response_at, attempt.response_fields = self.clock.now(), answer.fields
        attempt.pages = [answer.body, *[None] * (count - 1)]
        if count == 1:
            return True
        size = min(count * MAX_PAGE_BYTES, MAX_RESULT_BYTES)
        attempt.collection = self.memory.begin(len(answer.body), size, lambda: _fetch_pages(attempt))
        if not attempt.collection.is_started:
            self.counters.add("results_waiting")
            self._admit_later()
        return False

    def on_page(self, attempt: Attempt, answer: Answer) -> bool:
        """Store a further page; return whether the result is complete.

        Raises:
            RespError: The page or its position is invalid, or the result is too large.
        """
        position = decode_count(answer.fields, "pos", 1, len(attempt.pages) - 1)
        check_page(answer.body)
        attempt.pages[position] = answer.body
        if attempt.received_bytes() > MAX_RESULT_BYTES:
            raise RespError(f"a result has over {MAX_RESULT_BYTES} bytes")
        return None not in attempt.pages

    def end(self, attempt: Attempt) -> None:
        """Release the memory of an attempt's result, which was passed on or given up."""
        # The collection refers to the attempt; without this, only a garbage collection would release both.
        collection, attempt.collection = attempt.collection, None
        if collection is not None:
            self.memory.end(collection)

    def _admit_later(self) -> None:
        """Consider waiting results again after a pause, since clients release memory as they read."""
        if self.admit_timer is None:
            self.admit_timer = self.clock.call_in(ADMIT_INTERVAL_MS, self._admit)

    def _admit(self) -> None:
        self.admit_timer = None
        self.memory.admit()
        if self.memory.waiting:
            self.reclaim()
            self._admit_later()


def _fetch_pages(attempt: Attempt) -> None:
    """Request the pages after the first one."""
    if attempt.connection is not None:
        request_id = attempt.engine_request_id
        fetches = (encode_fetch_page(request_id, page) for page in range(1, len(attempt.pages)))
        attempt.connection.enqueue(b"".join(fetches))
