"""A ledger on a disk that fails, played with, and the checker of what it tells after a cut.

The checker holds a ledger to this: a load of which `done(True)` was told is in every later memory that calls
itself whole, at least as far as it was told; the boot grows; no content keeps it from opening; and a memory
is whole again after a mere cut."""

from __future__ import annotations

import random
import threading
import time
from pathlib import Path

from cottonhold.emulator.disk import install
from cottonhold.emulator.lossy_disk import Disk, Orders
from cottonhold.store.health import Completeness, DiskState, StoreError
from cottonhold.store.ledger import Ledger, LedgerSettings
from cottonhold.store.ledger_folder import COMPLETE_MARK
from cottonhold.store.record_file import FileSizes
from cottonhold.store.records import LoadRecord, LoadState, Record, RecordKind

SMALL = LedgerSettings(
    stall_timeout_ms=60_000.0,
    retry_interval_ms=1.0,
    file_sizes=FileSizes(page_bytes=512, log_bytes=16 << 10, checkpoint_pages=8),
)
VFS = "failing"


def load(number: int, state: LoadState = LoadState.SENT, boot: int = 1) -> LoadRecord:
    """A load by number."""
    return LoadRecord(
        number.to_bytes(16, "big"),
        f"ref-{number}",
        f"key-{number % 3}",
        b"digest",
        "engine",
        boot,
        1.0,
        state,
    )


class LedgerRun:
    """Boots of one ledger in one folder, with what was reported as durable over all of them."""

    def __init__(self, folder: Path, settings: LedgerSettings = SMALL) -> None:
        self.folder, self.settings = folder, settings
        self.promised: dict[bytes, LoadState] = {}
        self.tried: dict[bytes, set[LoadState | None]] = {}
        self.settled = self.may_be_settled = False
        self.boot = 0
        self.disk = Disk()
        self.ledger: Ledger | None = None

    def open(self, orders: Orders | None = None) -> bool:
        """Open after a power loss and check the records; false if the disk failed meanwhile, which it may."""
        self.disk = install(VFS)
        self.disk.orders = orders or Orders()
        return self.reopen()

    def reopen(self) -> bool:
        """The same without a power loss before."""
        try:
            self.ledger = Ledger.open(self.folder, "a", VFS, self.settings)
        except StoreError:
            assert self.disk.is_off or self.disk.orders != Orders(), "it must open on a disk that is well"
            self.ledger = None
            return False
        self.check(self.ledger)
        return True

    def check(self, ledger: Ledger) -> None:
        """See the module."""
        assert ledger.boot_count > self.boot, "the boot must grow"
        self.boot = ledger.boot_count
        kept = ledger.records(RecordKind.LOAD)
        if self.settled:
            assert ledger.completeness is Completeness.COMPLETE, f"a cut isn't a loss: {ledger.reason}"
        if ledger.completeness is Completeness.UNKNOWN:
            return
        assert self.may_be_settled, "nothing told it that its memory is whole"
        for identity, state in self.promised.items():
            value = kept.get(identity)
            found = None if value is None else LoadRecord.decode(identity, value).state
            may = {state, *self.tried.get(identity, ())}
            assert found in may, f"{identity.hex()}: {state} became {found}"

    def put(self, records: list[Record]) -> bool:
        """Waits for `done`."""
        assert self.ledger is not None
        told, answers = threading.Event(), []

        def done(well: bool) -> None:
            answers.append(well)
            told.set()

        self.ledger.put(records, done)
        assert told.wait(20.0) and len(answers) == 1
        return answers[0]

    def wait_until_healthy(self) -> None:
        """The disk is well again, and soon the ledger is."""
        assert self.ledger is not None
        for _ in range(5000):
            if self.ledger.health(0.0).state is DiskState.HEALTHY:
                return
            time.sleep(0.002)
        raise AssertionError("it doesn't recover")

    def send(self, number: int, state: LoadState = LoadState.SENT) -> bool:
        """A load's record. What isn't promised may be there or not."""
        record = load(number, state, self.boot)
        self.tried.setdefault(record.identity, set()).add(state)
        well = self.put([record.to_record()])
        if well:
            self.promised[record.identity] = state
            self.tried[record.identity] = set()
        return well

    def remove(self, number: int) -> bool:
        """Remove a load's record."""
        identity = load(number).identity
        self.tried.setdefault(identity, set()).add(None)
        well = self.put([Record(RecordKind.LOAD, identity, None)])
        if well:
            self.promised.pop(identity, None)
            self.tried[identity] = set()
        return well

    def mark_complete(self) -> bool:
        """Mark the content as complete."""
        self.may_be_settled = True
        well = self.put([COMPLETE_MARK])
        self.settled = self.settled or well
        return well

    def close(self, clean: bool) -> None:
        """Close the ledger; after a power loss that only ends its thread."""
        if self.ledger is not None:
            self.ledger.close(clean)
            self.ledger = None

    def cut_power(self, chance: random.Random | None = None) -> None:
        """Lose power."""
        self.disk.cut_power(chance)
        self.close(False)

    def cut_power_at(self, count: int, chance: random.Random | None) -> None:
        """Lose power at the disk's `count`th write or sync from now."""
        start = self.disk.operations

        def before(operation: int, _what: str) -> None:
            if operation - start >= count and not self.disk.is_off:
                self.disk.cut_power(chance)

        self.disk.before = before


def script(play: LedgerRun) -> None:
    """Two lives with everything in them, each step only if the one before was taken."""
    play.send(1)
    play.mark_complete()
    for number in range(2, 9):
        play.send(number)
    play.send(1, LoadState.COMPLETED)
    play.send(2, LoadState.FAILED)
    play.remove(1)
    play.close(True)
    if not play.reopen():
        return
    for number in range(10, 14):
        play.send(number)
    play.send(3, LoadState.COMPLETED)
    play.close(False)
