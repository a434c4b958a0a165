"""Each kind of fault at each operation of a ledger: nothing that was promised is lost, and once the fault has
passed it works again."""

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


def kept_folder(folder: Path, clean: bool = False) -> LedgerRun:
    """A folder with loads that may have run, and with a whole memory."""
    play = LedgerRun(folder)
    assert play.open() and play.mark_complete()
    assert all(play.send(number) for number in range(LOADS))
    if clean:
        play.close(True)
    else:
        play.cut_power()
    return play


def open_with_one_failed_read(play: LedgerRun, count: int) -> StoreError | None:
    """What opening tells where its `count`th read fails; None if it has fewer, or could do without."""
    disk = install(VFS)

    def fail(read: int) -> None:
        if read == count:
            raise OSError(errno.EIO, "planted")

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
        play = kept_folder(tmp_path / str(count), clean)
        failed += open_with_one_failed_read(play, count) is not None
        assert not list(play.folder.glob("*.broken")), f"read {count}: put aside without being damaged"
        assert play.open()
        assert play.ledger is not None and play.ledger.completeness is Completeness.COMPLETE
        assert play.ledger.records(RecordKind.LOAD).keys() == {
            load(number).identity for number in range(LOADS)
        }
        play.close(True)
    assert failed > 5


def test_a_failed_read_taken_for_damage_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(record_file, "DISK_ERRORS", ())
    with pytest.raises(AssertionError, match="put aside"):
        test_a_failed_read_at_the_start_loses_nothing(tmp_path, True)


@pytest.mark.parametrize(
    "error", [apsw.CantOpenError, apsw.NoMemError, apsw.FullError, apsw.BusyError, apsw.ReadOnlyError]
)
def test_a_system_without_room_or_handles_is_no_damage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: type[apsw.Error]
) -> None:
    play = kept_folder(tmp_path)
    install(VFS)
    with monkeypatch.context() as patched:

        def refuse(_book: object, _what: str) -> object:
            raise error("planted")

        patched.setattr(record_file.RecordFile, "_pragma", refuse)
        with pytest.raises(StoreError, match="planted"):
            Ledger.open(play.folder, "a", VFS, SMALL)
    assert play.open() and not list(play.folder.glob("*.broken"))
    play.close(True)


def refuse_life(disk: Disk, stage: str) -> None:
    """Each replacement of a whole file fails: before anything, or with its new name seen and not durable."""

    class Refusing(DiskFiles):
        def replace(self, path: Path, content: bytes) -> None:
            if stage == "moved":
                new = path.with_name(path.name + ".new")
                self.append(new, content, truncate=True)
                self.sync(new)
                self.move(new, path)
            raise OSError(errno.EIO, "planted")

    store_files.register_files(VFS, Refusing(disk))


def books(folder: Path, disk: Disk) -> int:
    return len([name for name in DiskFiles(disk).names(folder) if name.endswith(".db")])


def removed_first(disk: Disk) -> None:
    """A file system that doesn't keep the order of names: removals got there, moves not yet."""
    for node, to in disk.moves:
        if to is None:
            disk.make_move_durable(node, to)


def open_often(play: LedgerRun, stage: str, seed: int) -> None:
    """Ten tries, as the start does, then a power loss in which some of what was unsynced got there."""
    disk = install(VFS)
    refuse_life(disk, stage)
    for _ in range(10):
        with pytest.raises(StoreError, match="planted"):
            Ledger.open(play.folder, "a", VFS, SMALL)
        assert books(play.folder, disk) <= 2, "each try leaves a file"
    disk.cut_power(random.Random(seed))
    play.settled = True
    assert play.open()
    assert books(play.folder, play.disk) == 1
    play.close(True)


@pytest.mark.parametrize("stage", ["refused", "moved"])
@pytest.mark.parametrize("seed", range(6))
def test_a_start_that_fails_again_and_again_does_not_fill_the_disk(
    tmp_path: Path, stage: str, seed: int
) -> None:
    open_often(kept_folder(tmp_path), stage, seed)


def test_leaving_a_file_with_each_try_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LedgerFolder, "_make_generation_durable", lambda folder, boot_count: None)
    with pytest.raises(AssertionError, match="each try leaves"):
        open_often(kept_folder(tmp_path), "refused", 1)


def cut_in_the_second_try(folder: Path, count: int) -> None:
    """The power goes at its `count`th operation, and removals get there before the life file's move."""
    play = kept_folder(folder)
    disk = install(VFS)
    refuse_life(disk, "moved")
    with pytest.raises(StoreError, match="planted"):
        Ledger.open(play.folder, "a", VFS, SMALL)
    start = disk.operations

    def before(operation: int, _what: str) -> None:
        if operation - start == count:
            removed_first(disk)
            disk.cut_power()

    disk.before = before
    with pytest.raises(StoreError):
        Ledger.open(play.folder, "a", VFS, SMALL)
    disk.cut_power()
    play.settled = True
    assert play.open()
    play.close(True)


def test_what_counts_is_durable_before_anything_is_cleared_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for count in range(1, 12):
        cut_in_the_second_try(tmp_path / str(count), count)
    monkeypatch.setattr(
        LedgerFolder, "_make_generation_durable", lambda folder, boot_count: folder._remove_old_files()
    )
    with pytest.raises(AssertionError, match="a cut isn't a loss"):
        for count in range(1, 12):
            cut_in_the_second_try(tmp_path / f"planted-{count}", count)


@pytest.mark.parametrize("stage", ["refused", "moved"])
def test_a_ledger_that_can_t_be_written_anew_does_not_fill_the_disk(tmp_path: Path, stage: str) -> None:
    play = LedgerRun(tmp_path)
    assert play.open() and play.mark_complete() and play.send(1)
    assert play.ledger is not None
    ledger = play.ledger
    refuse_life(play.disk, stage)
    ledger.folder.files = store_files.files_of(VFS)
    ledger._set_state(DiskState.FAILED, "planted")
    for _ in range(10):
        ledger._recover(DiskState.FAILED)
        assert books(play.folder, play.disk) <= 2
    assert not play.send(2)
    ledger.folder.files = DiskFiles(play.disk)
    ledger._recover(DiskState.FAILED)
    assert play.send(3)
    play.cut_power()
    assert play.open() and books(play.folder, play.disk) == 1
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
    """Fails operations of one kind ("write", "sync" or "names") until it is told to stop, or once."""

    def __init__(self, disk: Disk, code: int, what: str, once: bool) -> None:
        self.code, self.what, self.once, self.on, self.met = code, what, once, True, 0
        disk.before = self.before

    def before(self, _count: int, what: str) -> None:
        if self.on and what == self.what:
            self.met += 1
            self.on = not self.once
            raise OSError(self.code, errno.errorcode[self.code])


def well_again(play: LedgerRun) -> None:
    """It works without a restart, and keeps what it then says."""
    play.wait_until_healthy()
    assert play.send(60)


@pytest.mark.parametrize("once", [True, False], ids=["once", "a-while"])
@pytest.mark.parametrize("what", ["write", "sync"])
@pytest.mark.parametrize("code", ERRORS, ids=[errno.errorcode[code] for code in ERRORS])
@pytest.mark.parametrize("kind", KINDS)
def test_a_record_on_a_disk_that_fails(tmp_path: Path, kind: str, code: int, what: str, once: bool) -> None:
    """Told as not kept; what was before stands, it works again by itself, and a kill then loses nothing."""
    which, key, old, new = KINDS[kind]
    play = LedgerRun(tmp_path)
    assert play.open() and play.mark_complete() and play.put([Record(which, key, old)])
    faults = Faults(play.disk, code, what, once)
    assert not play.put([Record(which, key, new)]) and faults.met
    if not once:
        assert not play.send(61), "refused while it lasts"
        assert play.ledger is not None and play.ledger.health(0.0).state in (DiskState.FULL, DiskState.FAILED)
    faults.on = False
    well_again(play)
    play.cut_power()
    assert play.open() and play.ledger is not None
    assert play.ledger.records(which)[key] in (old, new)
    play.close(True)


def killed_while_written(folder: Path, kind: str, seed: int, plant: Callable[[], None]) -> None:
    """At each operation of its write; the old value or the new one, whole, and all others."""
    which, key, old, new = KINDS[kind]
    for count in range(1, 9):
        play = LedgerRun(folder / str(count))
        assert play.open() and play.mark_complete() and play.send(1) and play.put([Record(which, key, old)])
        plant()
        play.cut_power_at(count, random.Random(seed))
        kept = play.put([Record(which, key, new)])
        play.cut_power()
        assert play.open() and play.ledger is not None
        assert play.ledger.records(which).get(key) in ((new,) if kept else (old, new))
        play.close(True)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kind", KINDS)
def test_a_record_that_a_kill_leaves_half_written(tmp_path: Path, kind: str, seed: int) -> None:
    killed_while_written(tmp_path, kind, seed, lambda: None)


@pytest.mark.parametrize("kind", KINDS)
def test_a_record_on_a_disk_that_hangs(tmp_path: Path, kind: str) -> None:
    """Others are refused at once meanwhile; it is told as kept once it is."""
    which, key, old, new = KINDS[kind]
    now, told = [0.0], list[bool]()
    disk = install(VFS)
    ledger = Ledger.open(tmp_path, "a", VFS, replace(SMALL, stall_timeout_ms=100.0), lambda: now[0])
    disk.orders = Orders(stall=True)
    through = threading.Event()
    ledger.put([Record(which, key, new)], lambda well: through.set() if well else None)
    now[0] = 101.0
    ledger.put([load(9).to_record()], told.append)
    assert told == [False] and not through.is_set()
    disk.orders = Orders()
    assert through.wait(20.0)
    disk.cut_power()
    ledger.close(False)
    install(VFS)
    again = Ledger.open(tmp_path, "a", VFS, SMALL)
    assert again.records(which)[key] == new
    again.close(False)


@pytest.mark.parametrize("code", ERRORS, ids=[errno.errorcode[code] for code in ERRORS])
@pytest.mark.parametrize("what", ["write", "sync", "names"])
@pytest.mark.parametrize("after", range(4))
def test_a_start_on_a_disk_that_fails(tmp_path: Path, code: int, what: str, after: int) -> None:
    """One clear error, or it can do without; then it opens with all that was promised, and a higher boot."""
    play = kept_folder(tmp_path)
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
    play.disk, play.settled = disk, True
    assert play.reopen() and not list(play.folder.glob("*.broken"))
    play.cut_power()
    assert play.open()
    play.close(True)


def test_a_failure_told_as_kept_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    commit = Ledger._commit
    monkeypatch.setattr(Ledger, "_commit", lambda ledger, group: failed_sync_is_done(ledger, group, commit))
    with pytest.raises(AssertionError):
        test_a_record_on_a_disk_that_fails(tmp_path, "pin", errno.EIO, "sync", True)


def test_a_record_told_as_kept_before_it_is_is_caught(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    commit = Ledger._commit

    def told_early(ledger: Ledger, group: list[Any]) -> bool:
        return done_before_sync(ledger, group, commit)

    def plant() -> None:
        monkeypatch.setattr(Ledger, "_commit", told_early)

    with pytest.raises(AssertionError):
        killed_while_written(tmp_path, "pin", 1, plant)
