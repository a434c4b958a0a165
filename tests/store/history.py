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


class Play:
    """Lives of one ledger in one folder, with what was promised over all of them."""

    def __init__(self, folder: Path, settings: LedgerSettings = SMALL) -> None:
        self.folder, self.settings = folder, settings
        self.promised: dict[bytes, LoadState] = {}
        self.tried: dict[bytes, set[LoadState | None]] = {}
        self.settled = self.may_be_settled = False
        self.boot = 0
        self.disk = Disk()
        self.ledger: Ledger | None = None

    def open(self, orders: Orders | None = None) -> bool:
        """The power is there: opens and checks. False: the disk failed meanwhile, as it may."""
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

    def wait_well(self) -> None:
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

    def forget(self, number: int) -> bool:
        """It doesn't matter any more."""
        identity = load(number).identity
        self.tried.setdefault(identity, set()).add(None)
        well = self.put([Record(RecordKind.LOAD, identity, None)])
        if well:
            self.promised.pop(identity, None)
            self.tried[identity] = set()
        return well

    def settle(self) -> bool:
        """The memory is whole from now on."""
        self.may_be_settled = True
        well = self.put([COMPLETE_MARK])
        self.settled = self.settled or well
        return well

    def end(self, clean: bool) -> None:
        """Closes; after a cut that is only to end the thread."""
        if self.ledger is not None:
            self.ledger.close(clean)
            self.ledger = None

    def cut(self, chance: random.Random | None = None) -> None:
        """The power goes."""
        self.disk.cut_power(chance)
        self.end(False)

    def cut_at(self, count: int, chance: random.Random | None) -> None:
        """The power goes at the disk's next `count`th write or sync."""
        start = self.disk.operations

        def before(operation: int, _what: str) -> None:
            if operation - start >= count and not self.disk.is_off:
                self.disk.cut_power(chance)

        self.disk.before = before


def script(play: Play) -> None:
    """Two lives with everything in them, each step only if the one before was taken."""
    play.send(1)
    play.settle()
    for number in range(2, 9):
        play.send(number)
    play.send(1, LoadState.COMPLETED)
    play.send(2, LoadState.FAILED)
    play.forget(1)
    play.end(True)
    if not play.reopen():
        return
    for number in range(10, 14):
        play.send(number)
    play.send(3, LoadState.COMPLETED)
    play.end(False)
