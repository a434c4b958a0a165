"""Records that have to be on disk in the order in which they were given, and again until the disk takes them.

One transaction is under way at a time, so none can be durable before an earlier one. Of one key only the last
record counts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.store.health import DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind

AGAIN_MS = 500.0  # what the disk did not take is put again after so long
GROUP = 256  # records in one transaction at most

Then = Callable[[], None]


def _nothing() -> None:
    pass


@dataclass(slots=True, frozen=True)
class Entry:
    """A record. kept: it is durable. refused: the disk did not take it; it is put again all the same."""

    record: Record
    kept: Then
    refused: Then


class InOrder:
    """Belongs to the event loop's thread, as do all calls that it makes. hop: calls there from any thread."""

    def __init__(
        self,
        ledger: Ledger,
        hop: Callable[[Then], object],
        call_in: Callable[[float, Then], object],
    ) -> None:
        self.ledger, self.hop, self.call_in = ledger, hop, call_in
        self.queue: dict[tuple[RecordKind, bytes], Entry] = {}
        self.flying: dict[tuple[RecordKind, bytes], Entry] = {}
        self.paused = False

    def put(self, record: Record, kept: Then = _nothing, refused: Then = _nothing) -> None:
        """`kept` is called once it is durable, unless another record of its key came before that; `refused`
        each time that the disk doesn't take it."""
        at = record.kind, record.key
        self.queue.pop(at, None)
        self.queue[at] = Entry(record, kept, refused)
        if not self.flying and not self.paused:
            self._write()
        elif self.ledger.health(self.ledger.clock()).state is not DiskState.HEALTHY:
            self.hop(refused)

    def _write(self) -> None:
        self.flying = dict(list(self.queue.items())[:GROUP])
        for at in self.flying:
            del self.queue[at]

        def done(durable: bool) -> None:
            self.hop(lambda: self._written(durable))

        self.ledger.put([entry.record for entry in self.flying.values()], done)

    def _written(self, durable: bool) -> None:
        flying, self.flying = self.flying, {}
        if durable:
            for entry in flying.values():
                entry.kept()
            if self.queue and not self.flying:
                self._write()
            return
        # Danger: put behind what came since, a vote was durable without the promises that it rests on.
        self.queue = {at: entry for at, entry in flying.items() if at not in self.queue} | self.queue
        self.paused = True
        self.call_in(AGAIN_MS, self._again)
        for entry in flying.values():
            entry.refused()

    def _again(self) -> None:
        self.paused = False
        if self.queue and not self.flying:
            self._write()
