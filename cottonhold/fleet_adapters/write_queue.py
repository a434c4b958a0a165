"""A queue that writes records to the ledger in order, and retries until they are durable.

Only one transaction is in flight at a time, so no record becomes durable before an earlier one. For each key
only the last record is written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.store.health import DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind

RETRY_MS = 500.0  # pause before a failed write is retried
MAX_GROUP_RECORDS = 256  # largest number of records in one transaction

Callback = Callable[[], None]


def _nothing() -> None:
    pass


@dataclass(slots=True, frozen=True)
class PendingWrite:
    """A record that is not durable yet."""

    record: Record
    on_durable: Callback  # called once the record is durable
    on_failed: Callback  # called after each failed write; the write is retried nevertheless


class OrderedWriteQueue:
    """Writes records in the order in which they were put; used from the event loop's thread only.

    Args:
        ledger: The ledger that the records are written to.
        call_in_loop: Calls a function in the event loop's thread; may be called in any thread.
        call_in: Calls a function after a delay in ms.
    """

    def __init__(
        self,
        ledger: Ledger,
        call_in_loop: Callable[[Callback], object],
        call_in: Callable[[float, Callback], object],
    ) -> None:
        self.ledger, self.call_in_loop, self.call_in = ledger, call_in_loop, call_in
        self.pending: dict[tuple[RecordKind, bytes], PendingWrite] = {}
        self.in_flight: dict[tuple[RecordKind, bytes], PendingWrite] = {}
        self.is_paused = False

    def put(self, record: Record, on_durable: Callback = _nothing, on_failed: Callback = _nothing) -> None:
        """Queue a record for writing.

        Args:
            record: The record; it replaces a queued record with the same key.
            on_durable: Called once the record is durable, unless another record replaced it before that.
            on_failed: Called each time that a write of the record fails, and soon after this call if the
                record has to wait and the disk is unhealthy.
        """
        row_key = record.kind, record.key
        self.pending.pop(row_key, None)
        self.pending[row_key] = PendingWrite(record, on_durable, on_failed)
        if not self.in_flight and not self.is_paused:
            self._write()
        elif self.ledger.health(self.ledger.clock()).state is not DiskState.HEALTHY:
            self.call_in_loop(on_failed)

    def _write(self) -> None:
        self.in_flight = dict(list(self.pending.items())[:MAX_GROUP_RECORDS])
        for row_key in self.in_flight:
            del self.pending[row_key]

        def on_written(durable: bool) -> None:
            self.call_in_loop(lambda: self._on_written(durable))

        self.ledger.put([entry.record for entry in self.in_flight.values()], on_written)

    def _on_written(self, durable: bool) -> None:
        writing, self.in_flight = self.in_flight, {}
        if durable:
            for entry in writing.values():
                entry.on_durable()
            if self.pending and not self.in_flight:
                self._write()
            return
        # The failed records are written before later ones: a vote must not become durable without the
        # promises that it depends on.
        self.pending = {
            row_key: entry for row_key, entry in writing.items() if row_key not in self.pending
        } | self.pending
        self.is_paused = True
        self.call_in(RETRY_MS, self._retry)
        for entry in writing.values():
            entry.on_failed()

    def _retry(self) -> None:
        self.is_paused = False
        if self.pending and not self.in_flight:
            self._write()
