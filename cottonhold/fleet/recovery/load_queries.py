"""The queries about loads that one instance sends to others, and the matching of answers to them;
does no I/O."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery.messages import LoadAnswer, LoadQuery, LoadStatement, batches

QUERY_LIFETIME_RETRIES = 10  # lifetime of a query, as a multiple of the longest pause between its retries
PRIORITY_BYTES = 8


@dataclass(slots=True)
class SentQuery:
    """A sent query, kept so that its answer can be distinguished from a forged or late one."""

    sent_at: float
    dispatcher: int
    loads: tuple[bytes, ...]


@dataclass(slots=True)
class PendingRetry:
    """A retry that waits for the answers of other dispatchers.

    Attributes:
        started_at: Time of the retry, in ms.
        deadlines: Deadline of each waiting request, in ms, by request id.
        statements: Final answer of each dispatcher, by its number.
        query_at: Time of the next query to each dispatcher that has not answered, in ms, by its number.
        retry_ms: Time from the next query to a dispatcher until it is repeated, by the dispatcher's number.
        recorded_by: Numbers of the dispatchers that have recorded this retry.
    """

    started_at: float
    deadlines: dict[str, float]
    statements: dict[int, LoadStatement] = field(default_factory=dict)
    query_at: dict[int, float] = field(default_factory=dict)
    retry_ms: dict[int, float] = field(default_factory=dict)
    recorded_by: set[int] = field(default_factory=set)


class LoadQueries:
    """The queries of one boot that may still be answered.

    Args:
        boot_count: Boot count of this start, sent with each query.
        seed: Seed for the first serial number.
    """

    def __init__(self, boot_count: int, seed: int) -> None:
        self.boot_count = boot_count
        self.serial = random.Random(seed).getrandbits(32)
        self.sent: dict[int, SentQuery] = {}  # queries by serial number

    def create(self, now: float, dispatcher: int, loads: Iterable[bytes]) -> list[LoadQuery]:
        """Create the queries about these loads to one dispatcher, with as many loads in each as fit a
        message."""
        queries = []
        for batch in batches(loads):
            self.serial = (self.serial + 1) & MAX_UINT32
            self.sent[self.serial] = SentQuery(now, dispatcher, batch)
            queries.append(LoadQuery(self.boot_count, self.serial, batch))
        return queries

    def match(self, dispatcher: int, answer: LoadAnswer) -> SentQuery | None:
        """Return the query that a dispatcher's answer belongs to; None if there was no such query to it in
        this boot."""
        query = self.sent.get(answer.serial)
        if query is None or answer.boot_count != self.boot_count or query.dispatcher != dispatcher:
            return None
        return query

    def expire(self, oldest: float) -> None:
        """Drop queries that were sent at `oldest` or before."""
        self.sent = {serial: query for serial, query in self.sent.items() if query.sent_at > oldest}


def priority(number: int, load: bytes) -> bytes:
    """Return a dispatcher's priority for a load: of two with the same pending load the higher one continues.

    It is a hash, so that each of them has the higher priority equally often.
    """
    return hashlib.blake2b(number.to_bytes(2, "big") + load, digest_size=PRIORITY_BYTES).digest()
