"""Files cut at every byte, overwritten, missing or of another life: whole or unknown, never wrong."""

from __future__ import annotations

import random
import shutil
from pathlib import Path

import pytest

from cottonhold.emulator.disk import install
from cottonhold.store import files, record_file
from cottonhold.store.files import Files
from cottonhold.store.health import Completeness, StoreBusyError
from cottonhold.store.ledger import Ledger
from cottonhold.store.record_file import RecordFile, RecordFileError
from cottonhold.store.records import LoadState, RecordKind
from tests.store.history import SMALL, VFS, LedgerRun, load

LOADS = 6
# The turn in a life file whose life wasn't closed.
NOT_CLEAN = b"\xff" * 8


@pytest.fixture(params=[True, False], ids=["clean-end", "cut-off"])
def folder(request: pytest.FixtureRequest, tmp_path: Path) -> Path:
    """A ledger's folder after two lives, with its loads."""
    play = LedgerRun(tmp_path / "kept")
    assert play.open()
    for number in range(LOADS):
        assert play.send(number)
    assert play.mark_complete()
    play.close(True)
    assert play.reopen() and play.send(0, LoadState.COMPLETED)
    if request.param:
        play.close(True)
    else:
        play.cut_power()
    return play.folder


def read_rows(folder: Path) -> dict[tuple[int, bytes], bytes] | None:
    """What the book says of itself; None: that it isn't whole."""
    install(VFS)
    try:
        book = RecordFile.open(folder / "a.1.db", VFS, files.files_of(VFS), SMALL.file_sizes)
    except RecordFileError:
        return None
    book.close()
    return book.rows


def sizes_read_wrongly(folder: Path, name: str, sizes: range, work: Path) -> list[int]:
    """The cut sizes after which a book calls itself whole and isn't."""
    whole, wrong = read_rows(folder), []
    assert whole is not None and len(whole) == LOADS + 1
    shutil.copytree(folder, work)
    content = (folder / name).read_bytes()
    for size in sizes:
        (work / name).write_bytes(content[:size])
        if read_rows(work) not in (None, whole):
            wrong.append(size)
    return wrong


def test_a_file_truncated_at_any_byte_is_recognized(folder: Path, tmp_path: Path) -> None:
    size = (folder / "a.1.db").stat().st_size
    # After a cut the log holds all of it, and few of the file's bytes are read at all.
    clean = (folder / "a.life").read_bytes()[-12:-4] != NOT_CLEAN
    assert sizes_read_wrongly(folder, "a.1.db", range(0, size, 1 if clean else 11), tmp_path / "work") == []


def test_a_log_truncated_at_any_byte_is_recognized(folder: Path, tmp_path: Path) -> None:
    size = (folder / "a.1.db-wal").stat().st_size
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(200), tmp_path / "first") == []
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(200, size, 67), tmp_path / "rest") == []
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(size - 20, size), tmp_path / "last") == []


def test_a_log_whose_size_is_not_checked_is_detected(
    folder: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The plant: SQLite alone takes a cut log for a shorter one."""
    monkeypatch.setattr(Files, "size", lambda files, path: 1 << 30)
    monkeypatch.setattr("cottonhold.emulator.disk.DiskFiles.size", lambda files, path: 1 << 30)
    if (folder / "a.life").read_bytes()[-12:-4] != NOT_CLEAN:
        return  # After a clean end the log's content is in the file as well.
    size = (folder / "a.1.db-wal").stat().st_size
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(0, size, 64), tmp_path / "work")


@pytest.mark.parametrize("seed", range(60))
def test_overwritten_bytes_are_recognized(folder: Path, seed: int) -> None:
    chance, path = random.Random(seed), folder / "a.1.db"
    whole, content = read_rows(folder), bytearray(path.read_bytes())
    for _ in range(chance.randint(1, 4)):
        at = chance.randrange(len(content))
        content[at : at + 8] = chance.randbytes(min(8, len(content) - at))
    path.write_bytes(content)
    assert read_rows(folder) in (None, whole)


def test_rows_without_checksums_are_detected(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The plant: with every checksum taken for right, a value overwritten is told as it now is."""
    path = folder / "a.1.db"
    content = path.read_bytes()
    if b"ref-5" not in content:
        return  # It is in the log, which has checksums of its own.
    whole = read_rows(folder)
    path.write_bytes(content.replace(b"ref-5", b"ref-7"))
    assert read_rows(folder) is None

    class Same(int):
        __hash__ = int.__hash__

        def __eq__(self, other: object) -> bool:
            return True

        def __ne__(self, other: object) -> bool:
            return False

    real = record_file.row_checksum
    monkeypatch.setattr(record_file, "row_checksum", lambda kind, key, value: Same(real(kind, key, value)))
    assert read_rows(folder) not in (None, whole)


@pytest.mark.parametrize("name", ["a.1.db", "a.1.db-wal", "a.life"])
@pytest.mark.parametrize("left", [-1, 0, 1, 20])
def test_a_damaged_folder_opens_and_reports_the_damage(folder: Path, name: str, left: int) -> None:
    """-1: the file is missing."""
    content = (folder / name).read_bytes()
    (folder / name).unlink()
    if left >= 0:
        (folder / name).write_bytes(content[:left])
    install(VFS)
    ledger = Ledger.open(folder, "a", VFS, SMALL)
    assert ledger.boot_count == 3
    kept = ledger.records(RecordKind.LOAD)
    if name == "a.life":
        assert (
            ledger.completeness is Completeness.COMPLETE and len(kept) == LOADS and not ledger.closed_cleanly
        )
    elif ledger.completeness is Completeness.UNKNOWN:
        assert kept == {} and ledger.reason
        assert ledger.damaged_files == (0 if (name, left) == ("a.1.db", -1) else 1)
    else:
        # The log held all of it.
        assert name == "a.1.db" and len(kept) == LOADS
    ledger.close(True)
    was = ledger.completeness
    install(VFS)
    ledger = Ledger.open(folder, "a", VFS, SMALL)
    assert (ledger.completeness, ledger.boot_count) == (was, 4), (
        "an emptied memory stays so until somebody settles it"
    )
    ledger.close(True)


@pytest.mark.parametrize("left", range(34))
def test_a_boot_file_truncated_at_any_byte_is_recognized(folder: Path, left: int) -> None:
    content = (folder / "a.life").read_bytes()
    assert len(content) == 33
    (folder / "a.life").write_bytes(content[:left])
    install(VFS)
    ledger = Ledger.open(folder, "a", VFS, SMALL)
    assert ledger.boot_count == 3 and ledger.completeness is Completeness.COMPLETE
    ledger.close(False)


def test_an_emptied_folder_is_unknown_until_marked_complete(tmp_path: Path) -> None:
    seen = []
    for life in range(4):
        install(VFS)
        ledger = Ledger.open(tmp_path, "a", VFS, SMALL)
        seen.append((ledger.completeness, ledger.reason, len(ledger.records(RecordKind.LOAD))))
        if life < 2:
            ledger.put([load(life).to_record()])
        else:
            ledger.mark_complete()
        ledger.close(True)
    assert seen == [
        (Completeness.UNKNOWN, "nothing was here", 0),
        (Completeness.UNKNOWN, "emptied not long ago", 1),
        (Completeness.UNKNOWN, "emptied not long ago", 2),
        (Completeness.COMPLETE, "", 2),
    ]


def test_a_clean_boot_whose_last_transactions_are_missing_is_unknown(tmp_path: Path) -> None:
    """A log from before a clean end beside the life file from after it."""
    play = LedgerRun(tmp_path / "a")
    assert play.open() and play.send(1) and play.mark_complete()
    play.close(True)
    shutil.copytree(play.folder, tmp_path / "old")
    assert play.reopen() and play.send(2)
    play.close(True)
    shutil.copy(play.folder / "a.life", tmp_path / "old")
    install(VFS)
    ledger = Ledger.open(tmp_path / "old", "a", VFS, SMALL)
    assert ledger.completeness is Completeness.UNKNOWN and "missing" in ledger.reason
    ledger.close(True)


def test_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    """Here by the real files."""
    settings = SMALL
    first = Ledger.open(tmp_path, "a", "", settings)
    with pytest.raises(StoreBusyError):
        Ledger.open(tmp_path, "a", "", settings)
    second = Ledger.open(tmp_path, "b", "", settings)
    second.close(True)
    first.close(True)
    again = Ledger.open(tmp_path, "a", "", settings)
    assert (again.boot_count, again.closed_cleanly) == (2, True)
    again.close(True)


def test_the_log_stays_within_its_reserved_size(tmp_path: Path) -> None:
    """Checkpoints keep it within, so that its size proves that it is whole."""
    play = LedgerRun(tmp_path)
    assert play.open() and play.mark_complete()
    for number in range(200):
        assert play.send(number % 40)
    assert (tmp_path / "a.1.db-wal").stat().st_size == SMALL.file_sizes.log_bytes
    play.close(True)
