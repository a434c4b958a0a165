"""One attempt of a request at an engine, and the result it collects."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from cottonhold.backend.resp import decode_rows
from cottonhold.backend.result_memory import Collection
from cottonhold.transport.clock import Timer


class AttemptConnection(Protocol):
    """The connection that an attempt is queued or in flight on."""

    opened_at: float  # in ms of the clock
    queue: deque[Attempt | bytes]
    attempts: dict[bytes, Attempt]
    abandoned_ids: dict[bytes, None]

    def enqueue(self, item: Attempt | bytes, /) -> None:
        """Queue an attempt or encoded bytes for writing."""

    def write_now(self, item: bytes, /) -> None:
        """Write encoded bytes immediately."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: its request, its connection, and the part of its result received so far.

    Times are in ms of the clock.
    """

    request_id: str
    number: int  # 0 for the first attempt of its request
    engine: str
    class_name: str
    body: bytes
    priority: int
    started_at: float  # when it was passed to the connection pool
    deadline: float
    idempotency_key: str | None = None  # given by the client, identical on all attempts
    begin_deadline: float = math.inf  # latest time at which its first byte may be written
    connection: AttemptConnection | None = None  # None before the attempt is queued and after it ended
    timer: Timer | None = None
    is_written: bool = False
    is_held: bool = False  # whether it waits for new connections to be read
    first_response_at: float = 0.0
    response_fields: dict[str, str] = field(default_factory=dict)
    pages: list[bytes | None] = field(default_factory=list)  # empty until page 0 was received
    collection: Collection | None = None  # the memory of a result of several pages

    @property
    def engine_request_id(self) -> bytes:
        """The request id as sent to engines."""
        return self.request_id.encode()

    def all_rows(self) -> Iterator[list[bytes]]:
        """Yield the rows of all pages, which are decoded one after another."""
        for page in self.pages:
            if page is not None:
                yield from decode_rows(page)

    def has_requested_pages(self) -> bool:
        """Return whether the pages after the first one were requested."""
        return self.collection is not None and self.collection.is_started

    def received_bytes(self) -> int:
        """Return the size of the pages that were received."""
        return sum(len(page) for page in self.pages if page is not None)
