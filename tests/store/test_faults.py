"""Each kind of fault at each operation of a ledger: nothing that was promised is lost, and once the fault has
passed it works again."""

from __future__ import annotations

import errno
from pathlib import Path

import apsw
import pytest

from cottonhold.emulator.disk import install
from cottonhold.store import book as book_module
from cottonhold.store.ledger import Ledger, Memory, StoreError
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
