"""Runs a ledger on a failing disk, and checks its content after each power loss.

The checker requires that a load reported as durable, by `done(True)`, is in the content of every later boot
that reports completeness, at least in the reported state; that the boot count increases; that no content
prevents the ledger from opening; and that a power loss alone doesn't make the content incomplete.
"""

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


def load(number: int, state: LoadState = LoadState.SENT, boot_count: int = 1) -> LoadRecord:
    """Return a load whose fields follow from its number."""
    return LoadRecord(
        number.to_bytes(16, "big"),
        f"ref-{number}",
        f"key-{number % 3}",
        b"digest",
        "engine",
        boot_count,
        1.0,
        state,
    )


class LedgerRun:
    """Boots of one ledger in one folder, with what was reported as durable over all of them."""

    def __init__(self, folder: Path, settings: LedgerSettings = SMALL) -> None:
        self.folder, self.settings = folder, settings
        self.promised: dict[bytes, LoadState] = {}
        self.attempted: dict[bytes, set[LoadState | None]] = {}
        self.is_marked_complete = self.may_be_complete = False
        self.boot_count = 0
        self.disk = Disk()
        self.ledger: Ledger | None = None

    def open(self, orders: Orders | None = None) -> bool:
        """Open after a power loss and check the records; return false if the disk failed meanwhile."""
        self.disk = install(VFS)
        self.disk.orders = orders or Orders()
        return self.reopen()

    def reopen(self) -> bool:
        """Open without a preceding power loss and check the records; return false if the disk failed."""
        try:
            self.ledger = Ledger.open(self.folder, "a", VFS, self.settings)
        except StoreError:
            assert self.disk.is_off or self.disk.orders != Orders(), "it must open on a healthy disk"
            self.ledger = None
            return False
        self.check(self.ledger)
        return True

    def check(self, ledger: Ledger) -> None:
        """Check the requirements in the module's docstring."""
        assert ledger.boot_count > self.boot_count, "the boot count must increase"
        self.boot_count = ledger.boot_count
        records = ledger.records(RecordKind.LOAD)
        if self.is_marked_complete:
            assert ledger.completeness is Completeness.COMPLETE, (
                f"a power loss made it incomplete: {ledger.reason}"
            )
        if ledger.completeness is Completeness.UNKNOWN:
            return
        assert self.may_be_complete, "it was never marked as complete"
        for identity, state in self.promised.items():
            value = records.get(identity)
            found_state = None if value is None else LoadRecord.decode(identity, value).state
            allowed_states = {state, *self.attempted.get(identity, ())}
            assert found_state in allowed_states, f"{identity.hex()}: {state} became {found_state}"

    def put(self, records: list[Record]) -> bool:
        """Write records; return whether they were reported as durable."""
        assert self.ledger is not None
        is_answered, answers = threading.Event(), []

        def done(is_durable: bool) -> None:
            answers.append(is_durable)
            is_answered.set()

        self.ledger.put(records, done)
        assert is_answered.wait(20.0) and len(answers) == 1
        return answers[0]

    def wait_until_healthy(self) -> None:
        """Wait until the ledger has recovered; the disk must be healthy."""
        assert self.ledger is not None
        for _ in range(5000):
            if self.ledger.health(0.0).state is DiskState.HEALTHY:
                return
            time.sleep(0.002)
        raise AssertionError("the ledger doesn't recover")

    def send(self, number: int, state: LoadState = LoadState.SENT) -> bool:
        """Write a load's record. One that isn't reported as durable may be found later or not."""
        record = load(number, state, self.boot_count)
        self.attempted.setdefault(record.identity, set()).add(state)
        is_durable = self.put([record.to_record()])
        if is_durable:
            self.promised[record.identity] = state
            self.attempted[record.identity] = set()
        return is_durable

    def remove(self, number: int) -> bool:
        """Remove a load's record."""
        identity = load(number).identity
        self.attempted.setdefault(identity, set()).add(None)
        is_durable = self.put([Record(RecordKind.LOAD, identity, None)])
        if is_durable:
            self.promised.pop(identity, None)
            self.attempted[identity] = set()
        return is_durable

    def mark_complete(self) -> bool:
        """Mark the content as complete."""
        self.may_be_complete = True
        is_durable = self.put([COMPLETE_MARK])
        self.is_marked_complete = self.is_marked_complete or is_durable
        return is_durable

    def close(self, clean: bool) -> None:
        """Close the ledger; after a power loss this only ends its thread."""
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
    """Run two boots with all kinds of operations; stop if the second one can't be opened."""
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
