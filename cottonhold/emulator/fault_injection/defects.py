"""Defects that an instance can be started with, to test that the checks of a run detect them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from cottonhold.store.ledger import Ledger, OnWritten
from cottonhold.store.records import Record, RecordKind

RECORD_DELAY_S = 1.0


def _record_late() -> None:
    """Send each load before its record is written, which happens RECORD_DELAY_S later."""
    original_put = Ledger.put

    def send_early(self: Ledger, records: Sequence[Record], on_written: OnWritten | None = None) -> None:
        if on_written is None or records[0].kind is not RecordKind.LOAD:
            original_put(self, records, on_written)
            return
        timer = threading.Timer(RECORD_DELAY_S, original_put, (self, records))
        timer.daemon = True
        timer.start()
        on_written(True)

    setattr(Ledger, "put", send_early)  # noqa: B010


DEFECTS: dict[str, Callable[[], None]] = {"record-late": _record_late}
