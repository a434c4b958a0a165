"""Defects that an instance of the rig can be started with, so that what judges a run is shown to see them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from cottonhold.store.ledger import Ledger, OnWritten
from cottonhold.store.records import Record, RecordKind

LATE_S = 1.0


def _record_late() -> None:
    """A load goes out at once, and its record is written a second later."""
    put = Ledger.put

    def early(self: Ledger, records: Sequence[Record], done: OnWritten | None = None) -> None:
        if done is None or records[0].kind is not RecordKind.LOAD:
            put(self, records, done)
            return
        late = threading.Timer(LATE_S, put, (self, records))
        late.daemon = True
        late.start()
        done(True)

    setattr(Ledger, "put", early)  # noqa: B010


DEFECTS: dict[str, Callable[[], None]] = {"record-late": _record_late}
