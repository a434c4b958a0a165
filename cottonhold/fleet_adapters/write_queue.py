"""Records that are written in the order in which they were put, and retried until the disk takes them.

One transaction is under way at a time, so none can be durable before an earlier one. Of one key only the last
record counts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.store.health import DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind

RETRY_MS = 500.0  # after which what the disk did not take is written again
MAX_GROUP_RECORDS = 256  # records in one transaction at most

Callback = Callable[[], None]


def _nothing() -> None:
    pass


@dataclass(slots=True, frozen=True)
class PendingWrite:
    """A record. on_durable: called once it is. on_refused: called when the disk did not take it; it is
    retried all the same."""

    record: Record
    on_durable: Callback
    on_refused: Callback


class OrderedWriteQueue:
    """Belongs to the event loop's thread, as do all its callbacks. hop: calls back there from any thread."""

    def __init__(
        self,
        ledger: Ledger,
        hop: Callable[[Callback], object],
        call_in: Callable[[float, Callback], object],
    ) -> None:
        self.ledger, self.hop, self.call_in = ledger, hop, call_in
        self.pending: dict[tuple[RecordKind, bytes], PendingWrite] = {}
        self.in_flight: dict[tuple[RecordKind, bytes], PendingWrite] = {}
        self.is_paused = False

    def put(self, record: Record, on_durable: Callback = _nothing, on_refused: Callback = _nothing) -> None:
        """Write a record. on_durable is called once it is durable, unless another record of its key was
        put before that; on_refused each time that the disk doesn't take it."""
        row_key = record.kind, record.key
        self.pending.pop(row_key, None)
        self.pending[row_key] = PendingWrite(record, on_durable, on_refused)
        if not self.in_flight and not self.is_paused:
            self._write()
        elif self.ledger.health(self.ledger.clock()).state is not DiskState.HEALTHY:
            self.hop(on_refused)

    def _write(self) -> None:
        self.in_flight = dict(list(self.pending.items())[:MAX_GROUP_RECORDS])
        for row_key in self.in_flight:
            del self.pending[row_key]

        def on_written(durable: bool) -> None:
            self.hop(lambda: self._on_written(durable))

        self.ledger.put([entry.record for entry in self.in_flight.values()], on_written)

    def _on_written(self, durable: bool) -> None:
        writing, self.in_flight = self.in_flight, {}
        if durable:
            for entry in writing.values():
                entry.on_durable()
            if self.pending and not self.in_flight:
                self._write()
            return
        # These are written before what was put since: a vote must not be durable without the promises that it
        # rests on.
        self.pending = {
            row_key: entry for row_key, entry in writing.items() if row_key not in self.pending
        } | self.pending
        self.is_paused = True
        self.call_in(RETRY_MS, self._retry)
        for entry in writing.values():
            entry.on_refused()

    def _retry(self) -> None:
        self.is_paused = False
        if self.pending and not self.in_flight:
            self._write()
