"""Each kind of fault at each operation of a ledger: nothing that was promised is lost, and once the fault has
passed it works again."""

from __future__ import annotations

import errno
import random
from pathlib import Path

import apsw
import pytest

from cottonhold.emulator.disk import Disk, DiskFiles, install
from cottonhold.store import book as book_module
from cottonhold.store import files as store_files
from cottonhold.store.ledger import Ledger, Memory, State, StoreError
from cottonhold.store.records import Kind
from tests.store.history import SMALL, VFS, Play, load

LOADS = 5
PROMISE = b"promise"


def kept_folder(folder: Path, clean: bool = False) -> Play:
    """A folder with loads that may have run, and with a whole memory."""
    play = Play(folder)
    assert play.open() and play.settle()
    assert all(play.send(number) for number in range(LOADS))
    if clean:
        play.end(True)
    else:
        play.cut()
    return play


# --- reads at the start ---


def open_with_one_failed_read(play: Play, count: int) -> StoreError | None:
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
        assert play.ledger is not None and play.ledger.memory is Memory.KEPT
        assert play.ledger.records(Kind.LOAD).keys() == {load(number).load for number in range(LOADS)}
        play.end(True)
    assert failed > 5


def test_a_failed_read_taken_for_damage_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(book_module, "DISK_ERRORS", ())
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

        patched.setattr(book_module.Book, "_pragma", refuse)
        with pytest.raises(StoreError, match="planted"):
            Ledger.open(play.folder, "a", VFS, SMALL)
    assert play.open() and not list(play.folder.glob("*.broken"))
    play.end(True)


# --- the life file's replacement fails ---


def refuse_life(disk: Disk, stage: str) -> None:
    """Each replacement of a whole file fails: before anything, or with its new name seen and not durable."""

    class Refusing(DiskFiles):
        def replace(self, path: Path, content: bytes) -> None:
            if stage == "moved":
                new = path.with_name(path.name + ".new")
                self.append(new, content, anew=True)
                self.sync(new)
                self.move(new, path)
            raise OSError(errno.EIO, "planted")

    store_files.register(VFS, Refusing(disk))


def books(folder: Path, disk: Disk) -> int:
    return len([name for name in DiskFiles(disk).names(folder) if name.endswith(".db")])


def removed_first(disk: Disk) -> None:
    """A file system that doesn't keep the order of names: removals got there, moves not yet."""
    for node, to in disk.moves:
        if to is None:
            disk._move_real(node, to)


def open_often(play: Play, stage: str, seed: int) -> None:
    """Ten tries, as the start does, then a power loss in which some of what was unsynced got there."""
    disk = install(VFS)
    refuse_life(disk, stage)
    for _ in range(10):
        with pytest.raises(StoreError, match="planted"):
            Ledger.open(play.folder, "a", VFS, SMALL)
        assert books(play.folder, disk) <= 2, "each try leaves a file"
    disk.cut(random.Random(seed))
    play.settled = True
    assert play.open()
    assert books(play.folder, play.disk) == 1
    play.end(True)


@pytest.mark.parametrize("stage", ["refused", "moved"])
@pytest.mark.parametrize("seed", range(6))
def test_a_start_that_fails_again_and_again_does_not_fill_the_disk(
    tmp_path: Path, stage: str, seed: int
) -> None:
    open_often(kept_folder(tmp_path), stage, seed)


def test_leaving_a_file_with_each_try_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Ledger, "_settle_generation", lambda ledger, boot: None)
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
            disk.cut()

    disk.before = before
    with pytest.raises(StoreError):
        Ledger.open(play.folder, "a", VFS, SMALL)
    disk.cut()
    play.settled = True
    assert play.open()
    play.end(True)


def test_what_counts_is_durable_before_anything_is_cleared_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for count in range(1, 12):
        cut_in_the_second_try(tmp_path / str(count), count)
    monkeypatch.setattr(Ledger, "_settle_generation", lambda ledger, boot: ledger._tidy())
    with pytest.raises(AssertionError, match="a cut isn't a loss"):
        for count in range(1, 12):
            cut_in_the_second_try(tmp_path / f"planted-{count}", count)


@pytest.mark.parametrize("stage", ["refused", "moved"])
def test_a_ledger_that_can_t_be_written_anew_does_not_fill_the_disk(tmp_path: Path, stage: str) -> None:
    play = Play(tmp_path)
    assert play.open() and play.settle() and play.send(1)
    assert play.ledger is not None
    ledger = play.ledger
    refuse_life(play.disk, stage)
    ledger.files = store_files.of(VFS)
    ledger._tell(State.FAILED, "planted")
    for _ in range(10):
        ledger._recover(State.FAILED)
        assert books(play.folder, play.disk) <= 2
    assert not play.send(2)
    ledger.files = DiskFiles(play.disk)
    ledger._recover(State.FAILED)
    assert play.send(3)
    play.cut()
    assert play.open() and books(play.folder, play.disk) == 1
    play.end(True)
