"""One attempt of a request at an engine, and the result it collects."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from cottonhold.backend.resp import Rows
from cottonhold.transport.clock import Timer


class AttemptConnection(Protocol):
    """The connection that an attempt is queued or in flight on."""

    opened_at: float  # ms of the clock
    queue: deque[Attempt | bytes]
    attempts: dict[bytes, Attempt]
    abandoned_ids: dict[bytes, None]

    def enqueue(self, item: Attempt | bytes, /) -> None:
        """Queue something to write."""

    def write_now(self, item: bytes, /) -> None:
        """Write something at once."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: what is sent, where it is, and what has come back of its result. Times are ms of the
    clock."""

    request_id: str
    number: int  # 0 for the first attempt of its request
    engine: str
    class_name: str
    body: bytes
    priority: int
    started_at: float  # when it was handed over to be sent
    deadline: float
    idempotency_key: str | None = None  # the client's, the same on each attempt
    begin_deadline: float = math.inf  # its first byte has to be written before this
    connection: AttemptConnection | None = None  # None before it is queued on one, and once it has ended
    timer: Timer | None = None
    is_written: bool = False
    first_response_at: float = 0.0
    response_fields: dict[str, str] = field(default_factory=dict)
    pages: list[Rows | None] = field(default_factory=list)  # empty until page 0 has come

    @property
    def engine_request_id(self) -> bytes:
        """The request's id as engines know it."""
        return self.request_id.encode()

    def all_rows(self) -> Rows:
        """The rows of all pages."""
        return [row for page in self.pages if page is not None for row in page]
