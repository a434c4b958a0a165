"""The queries that one instance sends to others about loads, and which of its queries an answer is of.
Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery.messages import LoadAnswer, LoadQuery, LoadStatement, batches

QUERY_LIFETIME_RETRIES = 10  # times the longest retry pause after which a query's answer is void


@dataclass(slots=True)
class SentQuery:
    """A query that was sent, so that its answer can be distinguished from a forged or late one."""

    sent_at: float
    dispatcher: int
    loads: tuple[bytes, ...]


@dataclass(slots=True)
class PendingRetry:
    """A retry that is being settled. deadlines: by request that waits. noted_by: who knows of it.
    statements, query_at, retry_ms: by number."""

    started_at: float
    deadlines: dict[str, float]
    statements: dict[int, LoadStatement] = field(default_factory=dict)
    query_at: dict[int, float] = field(default_factory=dict)
    retry_ms: dict[int, float] = field(default_factory=dict)
    noted_by: set[int] = field(default_factory=set)


class LoadQueries:
    """The queries of one boot that may still be answered. seed: for serials."""

    def __init__(self, boot_count: int, seed: int) -> None:
        self.boot_count = boot_count
        self.serial = random.Random(seed).getrandbits(32)
        self.sent: dict[int, SentQuery] = {}  # by serial

    def create(self, now: float, dispatcher: int, loads: Iterable[bytes]) -> list[LoadQuery]:
        """Queries about these loads that are sent to a dispatcher now, as many loads in each as fit."""
        queries = []
        for batch in batches(loads):
            self.serial = (self.serial + 1) & MAX_UINT32
            self.sent[self.serial] = SentQuery(now, dispatcher, batch)
            queries.append(LoadQuery(self.boot_count, self.serial, batch))
        return queries

    def match(self, dispatcher: int, answer: LoadAnswer) -> SentQuery | None:
        """The query that a dispatcher answers; None where it is of no query to it in this boot."""
        query = self.sent.get(answer.serial)
        if query is None or answer.boot_count != self.boot_count or query.dispatcher != dispatcher:
            return None
        return query

    def expire(self, oldest: float) -> None:
        """Drop queries that were sent at `oldest` or before."""
        self.sent = {serial: query for serial, query in self.sent.items() if query.sent_at > oldest}
