"""Faults of each kind at each operation of a ledger: no record reported as durable is lost, and the ledger
recovers when the fault is over.
"""

from __future__ import annotations

import errno
import random
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import apsw
import pytest

from cottonhold.emulator.disk import DiskFiles, install
from cottonhold.emulator.lossy_disk import Disk, Orders
from cottonhold.store import files as store_files
from cottonhold.store import record_file
from cottonhold.store.health import Completeness, DiskState, StoreError
from cottonhold.store.ledger import Ledger
from cottonhold.store.ledger_folder import LedgerFolder
from cottonhold.store.records import Hint, LoadState, Record, RecordKind
from tests.store.history import SMALL, VFS, LedgerRun, load
from tests.store.test_cuts import done_before_sync, failed_sync_is_done

LOADS = 5
PROMISE = b"promise"


def make_folder_with_loads(folder: Path, clean: bool = False) -> LedgerRun:
    """Return a run whose folder is complete and contains loads in state SENT."""
    play = LedgerRun(folder)
    assert play.open() and play.mark_complete()
    assert all(play.send(number) for number in range(LOADS))
    if clean:
        play.close(True)
    else:
        play.cut_power()
    return play


def open_with_one_failed_read(play: LedgerRun, count: int) -> StoreError | None:
    """Open with a failure of the `count`th read; return the error, or None if opening succeeds."""
    disk = install(VFS)

    def fail(read: int) -> None:
        if read == count:
            raise OSError(errno.EIO, "injected")

    disk.before_read = fail
    try:
        Ledger.open(play.folder, "a", VFS, SMALL).close(False)
    except StoreError as error:
        assert disk.reads >= count
        return error
    return None


@pytest.mark.parametrize("clean", [True, False], ids=["clean-end", "cut-off"])
def test_a_failed_read_at_the_start_loses_nothing(tmp_path: Path, clean: bool) -> None:
    failed = 0
    for count in range(1, 40):
        play = make_folder_with_loads(tmp_path / str(count), clean)
        failed += open_with_one_failed_read(play, count) is not None
        assert not list(play.folder.glob("*.broken")), f"read {count}: set aside without being damaged"
        assert play.open()
        assert play.ledger is not None and play.ledger.completeness is Completeness.COMPLETE
        assert play.ledger.records(RecordKind.LOAD).keys() == {
            load(number).identity for number in range(LOADS)
        }
        play.close(True)
    assert failed > 5


def test_a_failed_read_treated_as_damage_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(record_file, "DISK_ERRORS", ())
    with pytest.raises(AssertionError, match="set aside"):
        test_a_failed_read_at_the_start_loses_nothing(tmp_path, True)


@pytest.mark.parametrize(
    "error", [apsw.CantOpenError, apsw.NoMemError, apsw.FullError, apsw.BusyError, apsw.ReadOnlyError]
)
def test_a_lack_of_system_resources_is_not_treated_as_damage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: type[apsw.Error]
) -> None:
    play = make_folder_with_loads(tmp_path)
    install(VFS)
    with monkeypatch.context() as patched:

        def refuse(_file: object, _what: str) -> object:
            raise error("injected")

        patched.setattr(record_file.RecordFile, "_pragma", refuse)
        with pytest.raises(StoreError, match="injected"):
            Ledger.open(play.folder, "a", VFS, SMALL)
    assert play.open() and not list(play.folder.glob("*.broken"))
    play.close(True)


def fail_boot_file_replacements(disk: Disk, stage: str) -> None:
    """Make each replacement of the boot file fail, at its beginning or after the rename ("moved")."""

    class Refusing(DiskFiles):
        def replace(self, path: Path, content: bytes) -> None:
            if stage == "moved":
                new = path.with_name(path.name + ".new")
                self.append(new, content, truncate=True)
                self.sync(new)
                self.move(new, path)
            raise OSError(errno.EIO, "injected")

    store_files.register_files(VFS, Refusing(disk))


def count_record_files(folder: Path, disk: Disk) -> int:
    return len([name for name in DiskFiles(disk).names(folder) if name.endswith(".db")])


def make_removals_durable(disk: Disk) -> None:
    """Make removals durable before renames, as a file system that doesn't keep their order may do."""
    for node, to in disk.moves:
        if to is None:
            disk.make_move_durable(node, to)


def open_repeatedly(play: LedgerRun, stage: str, seed: int) -> None:
    """Try to open ten times, then lose power, with a random part of the unsynced writes on the disk."""
    disk = install(VFS)
    fail_boot_file_replacements(disk, stage)
    for _ in range(10):
        with pytest.raises(StoreError, match="injected"):
            Ledger.open(play.folder, "a", VFS, SMALL)
        assert count_record_files(play.folder, disk) <= 2, "each attempt leaves a file"
    disk.cut_power(random.Random(seed))
    play.is_marked_complete = True
    assert play.open()
    assert count_record_files(play.folder, play.disk) == 1
    play.close(True)


@pytest.mark.parametrize("stage", ["refused", "moved"])
@pytest.mark.parametrize("seed", range(6))
def test_repeatedly_failing_starts_do_not_fill_the_disk(tmp_path: Path, stage: str, seed: int) -> None:
    open_repeatedly(make_folder_with_loads(tmp_path), stage, seed)


def test_a_file_left_by_each_attempt_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LedgerFolder, "_make_generation_durable", lambda folder, boot_count: None)
    with pytest.raises(AssertionError, match="each attempt leaves"):
        open_repeatedly(make_folder_with_loads(tmp_path), "refused", 1)


def lose_power_in_the_second_attempt(folder: Path, count: int) -> None:
    """Lose power at the `count`th operation of the second attempt, with removals durable before renames."""
    play = make_folder_with_loads(folder)
    disk = install(VFS)
    fail_boot_file_replacements(disk, "moved")
    with pytest.raises(StoreError, match="injected"):
        Ledger.open(play.folder, "a", VFS, SMALL)
    start = disk.operations

    def before(operation: int, _what: str) -> None:
        if operation - start == count:
            make_removals_durable(disk)
            disk.cut_power()

    disk.before = before
    with pytest.raises(StoreError):
        Ledger.open(play.folder, "a", VFS, SMALL)
    disk.cut_power()
    play.is_marked_complete = True
    assert play.open()
    play.close(True)


def test_the_boot_file_is_durable_before_old_files_are_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for count in range(1, 12):
        lose_power_in_the_second_attempt(tmp_path / str(count), count)
    monkeypatch.setattr(
        LedgerFolder, "_make_generation_durable", lambda folder, boot_count: folder._remove_old_files()
    )
    with pytest.raises(AssertionError, match="a power loss made it incomplete"):
        for count in range(1, 12):
            lose_power_in_the_second_attempt(tmp_path / f"with-defect-{count}", count)


@pytest.mark.parametrize("stage", ["refused", "moved"])
def test_failing_rewrites_do_not_fill_the_disk(tmp_path: Path, stage: str) -> None:
    play = LedgerRun(tmp_path)
    assert play.open() and play.mark_complete() and play.send(1)
    assert play.ledger is not None
    ledger = play.ledger
    fail_boot_file_replacements(play.disk, stage)
    ledger.folder.files = store_files.files_of(VFS)
    ledger._set_state(DiskState.FAILED, "injected")
    for _ in range(10):
        ledger._recover(DiskState.FAILED)
        assert count_record_files(play.folder, play.disk) <= 2
    assert not play.send(2)
    ledger.folder.files = DiskFiles(play.disk)
    ledger._recover(DiskState.FAILED)
    assert play.send(3)
    play.cut_power()
    assert play.open() and count_record_files(play.folder, play.disk) == 1
    play.close(True)


KINDS = {
    "load": (RecordKind.LOAD, load(50).identity, load(50).encode(), load(50, LoadState.COMPLETED).encode()),
    "promise": (RecordKind.PROMISE, b"reg/a", b"one", b"two"),
    "pin": (RecordKind.AFFINITY, b"pin", b"one", b"two"),
    "drain": (RecordKind.ENGINE_DRAIN, b"e1", Hint(b"", 0.0).encode(), Hint(b"", 5.0).encode()),
    "base": (RecordKind.INCARNATION, b"base", b"\x01", b"\x02"),
    "engine": (RecordKind.ENGINE_ADDRESS, b"e1", Hint(b"a", 0.0).encode(), Hint(b"b", 0.0).encode()),
    "member": (RecordKind.MEMBER, b"\x00\x01", Hint(b"a", 0.0).encode(), Hint(b"b", 0.0).encode()),
}
ERRORS = [errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EROFS, errno.EINTR, errno.ENOMEM]


class Faults:
    """Makes operations of one kind ("write", "sync" or "names") fail, once or while `on` is set."""

    def __init__(self, disk: Disk, code: int, what: str, once: bool) -> None:
        self.code, self.what, self.once, self.on, self.met = code, what, once, True, 0
        disk.before = self.before

    def before(self, _count: int, what: str) -> None:
        if self.on and what == self.what:
            self.met += 1
            self.on = not self.once
            raise OSError(self.code, errno.errorcode[self.code])


def check_recovery(play: LedgerRun) -> None:
    """Check that the ledger recovers without a restart and writes again."""
    play.wait_until_healthy()
    assert play.send(60)


@pytest.mark.parametrize("once", [True, False], ids=["once", "a-while"])
@pytest.mark.parametrize("what", ["write", "sync"])
@pytest.mark.parametrize("code", ERRORS, ids=[errno.errorcode[code] for code in ERRORS])
@pytest.mark.parametrize("kind", KINDS)
def test_a_record_on_a_disk_that_fails(tmp_path: Path, kind: str, code: int, what: str, once: bool) -> None:
    """The write is reported as failed, and the ledger recovers; a power loss then loses nothing."""
    which, key, old, new = KINDS[kind]
    play = LedgerRun(tmp_path)
    assert play.open() and play.mark_complete() and play.put([Record(which, key, old)])
    faults = Faults(play.disk, code, what, once)
    assert not play.put([Record(which, key, new)]) and faults.met
    if not once:
        assert not play.send(61), "writes must be rejected while the fault lasts"
        assert play.ledger is not None and play.ledger.health(0.0).state in (DiskState.FULL, DiskState.FAILED)
    faults.on = False
    check_recovery(play)
    play.cut_power()
    assert play.open() and play.ledger is not None
    assert play.ledger.records(which)[key] in (old, new)
    play.close(True)


def lose_power_while_writing(folder: Path, kind: str, seed: int, install_defect: Callable[[], None]) -> None:
    """Lose power at each operation of a write; the record has the old or the new value afterwards."""
    which, key, old, new = KINDS[kind]
    for count in range(1, 9):
        play = LedgerRun(folder / str(count))
        assert play.open() and play.mark_complete() and play.send(1) and play.put([Record(which, key, old)])
        install_defect()
        play.cut_power_at(count, random.Random(seed))
        is_durable = play.put([Record(which, key, new)])
        play.cut_power()
        assert play.open() and play.ledger is not None
        assert play.ledger.records(which).get(key) in ((new,) if is_durable else (old, new))
        play.close(True)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kind", KINDS)
def test_a_record_whose_write_a_power_loss_interrupts(tmp_path: Path, kind: str, seed: int) -> None:
    lose_power_while_writing(tmp_path, kind, seed, lambda: None)


@pytest.mark.parametrize("kind", KINDS)
def test_a_record_on_a_disk_that_hangs(tmp_path: Path, kind: str) -> None:
    """Other writes are rejected immediately; the hanging one is reported as durable when it is."""
    which, key, old, new = KINDS[kind]
    now, results = [0.0], list[bool]()
    disk = install(VFS)
    ledger = Ledger.open(tmp_path, "a", VFS, replace(SMALL, stall_timeout_ms=100.0), lambda: now[0])
    disk.orders = Orders(stall=True)
    is_written = threading.Event()
    ledger.put([Record(which, key, new)], lambda is_ok: is_written.set() if is_ok else None)
    now[0] = 101.0
    ledger.put([load(9).to_record()], results.append)
    assert results == [False] and not is_written.is_set()
    disk.orders = Orders()
    assert is_written.wait(20.0)
    disk.cut_power()
    ledger.close(False)
    install(VFS)
    reopened = Ledger.open(tmp_path, "a", VFS, SMALL)
    assert reopened.records(which)[key] == new
    reopened.close(False)


@pytest.mark.parametrize("code", ERRORS, ids=[errno.errorcode[code] for code in ERRORS])
@pytest.mark.parametrize("what", ["write", "sync", "names"])
@pytest.mark.parametrize("after", range(4))
def test_a_start_on_a_disk_that_fails(tmp_path: Path, code: int, what: str, after: int) -> None:
    """Opening succeeds or raises one clear error; later it succeeds with all durable records."""
    play = make_folder_with_loads(tmp_path)
    disk = install(VFS)
    faults = Faults(disk, code, what, False)
    passed = [0]

    def before(count: int, kind: str) -> None:
        passed[0] += kind == what
        if passed[0] > after:
            faults.before(count, kind)

    disk.before = before
    try:
        Ledger.open(play.folder, "a", VFS, SMALL).close(False)
    except StoreError as error:
        assert str(play.folder) in str(error) and "\n" not in str(error)
        assert error.records[RecordKind.LOAD].keys() == {load(number).identity for number in range(LOADS)}
    faults.on = False
    play.disk, play.is_marked_complete = disk, True
    assert play.reopen() and not list(play.folder.glob("*.broken"))
    play.cut_power()
    assert play.open()
    play.close(True)


def test_a_failed_write_reported_as_durable_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    commit = Ledger._commit
    monkeypatch.setattr(Ledger, "_commit", lambda ledger, group: failed_sync_is_done(ledger, group, commit))
    with pytest.raises(AssertionError):
        test_a_record_on_a_disk_that_fails(tmp_path, "pin", errno.EIO, "sync", True)


def test_a_record_reported_before_it_is_durable_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    commit = Ledger._commit

    def report_early(ledger: Ledger, group: list[Any]) -> bool:
        return done_before_sync(ledger, group, commit)

    def install_defect() -> None:
        monkeypatch.setattr(Ledger, "_commit", report_early)

    with pytest.raises(AssertionError):
        lose_power_while_writing(tmp_path, "pin", 1, install_defect)
