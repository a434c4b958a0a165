"""Truncated, overwritten, missing and outdated files: the content is complete, or reported as unknown."""

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
# The number of transactions in the boot file of a boot that wasn't closed cleanly.
NOT_CLEAN = b"\xff" * 8


@pytest.fixture(params=[True, False], ids=["clean-end", "cut-off"])
def folder(request: pytest.FixtureRequest, tmp_path: Path) -> Path:
    """A ledger's folder with loads, after two boots."""
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
    """Return the rows of the record file; None if it isn't intact."""
    install(VFS)
    try:
        opened_file = RecordFile.open(folder / "a.1.db", VFS, files.files_of(VFS), SMALL.file_sizes)
    except RecordFileError:
        return None
    opened_file.close()
    return opened_file.rows


def sizes_read_wrongly(folder: Path, name: str, sizes: range, work: Path) -> list[int]:
    """Return the sizes to which the file can be truncated without being detected."""
    intact_rows, wrong = read_rows(folder), []
    assert intact_rows is not None and len(intact_rows) == LOADS + 1
    shutil.copytree(folder, work)
    content = (folder / name).read_bytes()
    for size in sizes:
        (work / name).write_bytes(content[:size])
        if read_rows(work) not in (None, intact_rows):
            wrong.append(size)
    return wrong


def test_a_file_truncated_at_any_byte_is_detected(folder: Path, tmp_path: Path) -> None:
    size = (folder / "a.1.db").stat().st_size
    # After a power loss the log contains all pages, and only few bytes of the file are read.
    clean = (folder / "a.life").read_bytes()[-12:-4] != NOT_CLEAN
    assert sizes_read_wrongly(folder, "a.1.db", range(0, size, 1 if clean else 11), tmp_path / "work") == []


def test_a_log_truncated_at_any_byte_is_detected(folder: Path, tmp_path: Path) -> None:
    size = (folder / "a.1.db-wal").stat().st_size
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(200), tmp_path / "first") == []
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(200, size, 67), tmp_path / "rest") == []
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(size - 20, size), tmp_path / "last") == []


def test_a_log_whose_size_is_not_checked_is_detected(
    folder: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """SQLite alone doesn't distinguish a truncated log from a shorter one."""
    monkeypatch.setattr(Files, "size", lambda files, path: 1 << 30)
    monkeypatch.setattr("cottonhold.emulator.disk.DiskFiles.size", lambda files, path: 1 << 30)
    if (folder / "a.life").read_bytes()[-12:-4] != NOT_CLEAN:
        return  # After a clean close the file contains the log's pages as well.
    size = (folder / "a.1.db-wal").stat().st_size
    assert sizes_read_wrongly(folder, "a.1.db-wal", range(0, size, 64), tmp_path / "work")


@pytest.mark.parametrize("seed", range(60))
def test_overwritten_bytes_are_detected(folder: Path, seed: int) -> None:
    chance, path = random.Random(seed), folder / "a.1.db"
    intact_rows, content = read_rows(folder), bytearray(path.read_bytes())
    for _ in range(chance.randint(1, 4)):
        at = chance.randrange(len(content))
        content[at : at + 8] = chance.randbytes(min(8, len(content) - at))
    path.write_bytes(content)
    assert read_rows(folder) in (None, intact_rows)


def test_rows_without_checksums_are_detected(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """If no checksum is compared, an overwritten value is returned as if it were right."""
    path = folder / "a.1.db"
    content = path.read_bytes()
    if b"ref-5" not in content:
        return  # The value is in the log, which has its own checksums.
    intact_rows = read_rows(folder)
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
    assert read_rows(folder) not in (None, intact_rows)


@pytest.mark.parametrize("name", ["a.1.db", "a.1.db-wal", "a.life"])
@pytest.mark.parametrize("remaining_bytes", [-1, 0, 1, 20])
def test_a_damaged_folder_opens_and_reports_the_damage(folder: Path, name: str, remaining_bytes: int) -> None:
    """A negative size means that the file is missing."""
    content = (folder / name).read_bytes()
    (folder / name).unlink()
    if remaining_bytes >= 0:
        (folder / name).write_bytes(content[:remaining_bytes])
    install(VFS)
    ledger = Ledger.open(folder, "a", VFS, SMALL)
    assert ledger.boot_count == 3
    records = ledger.records(RecordKind.LOAD)
    if name == "a.life":
        assert (
            ledger.completeness is Completeness.COMPLETE
            and len(records) == LOADS
            and not ledger.closed_cleanly
        )
    elif ledger.completeness is Completeness.UNKNOWN:
        assert records == {} and ledger.reason
        assert ledger.damaged_files == (0 if (name, remaining_bytes) == ("a.1.db", -1) else 1)
    else:
        # The log contains all pages.
        assert name == "a.1.db" and len(records) == LOADS
    ledger.close(True)
    first_completeness = ledger.completeness
    install(VFS)
    ledger = Ledger.open(folder, "a", VFS, SMALL)
    assert (ledger.completeness, ledger.boot_count) == (first_completeness, 4), (
        "the completeness must not change until the content is marked as complete"
    )
    ledger.close(True)


@pytest.mark.parametrize("remaining_bytes", range(34))
def test_a_boot_file_truncated_at_any_byte_is_detected(folder: Path, remaining_bytes: int) -> None:
    content = (folder / "a.life").read_bytes()
    assert len(content) == 33
    (folder / "a.life").write_bytes(content[:remaining_bytes])
    install(VFS)
    ledger = Ledger.open(folder, "a", VFS, SMALL)
    assert ledger.boot_count == 3 and ledger.completeness is Completeness.COMPLETE
    ledger.close(False)


def test_an_emptied_folder_is_unknown_until_marked_complete(tmp_path: Path) -> None:
    seen = []
    for boot in range(4):
        install(VFS)
        ledger = Ledger.open(tmp_path, "a", VFS, SMALL)
        seen.append((ledger.completeness, ledger.reason, len(ledger.records(RecordKind.LOAD))))
        if boot < 2:
            ledger.put([load(boot).to_record()])
        else:
            ledger.mark_complete()
        ledger.close(True)
    assert seen == [
        (Completeness.UNKNOWN, "there was no ledger", 0),
        (Completeness.UNKNOWN, "restarted empty less than one retention time ago", 1),
        (Completeness.UNKNOWN, "restarted empty less than one retention time ago", 2),
        (Completeness.COMPLETE, "", 2),
    ]


def test_the_content_is_unknown_if_transactions_of_a_clean_boot_are_missing(tmp_path: Path) -> None:
    """A log from before a clean close, with the boot file from after it."""
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
    """Uses the operating system's files."""
    settings = SMALL
    first = Ledger.open(tmp_path, "a", "", settings)
    with pytest.raises(StoreBusyError):
        Ledger.open(tmp_path, "a", "", settings)
    second = Ledger.open(tmp_path, "b", "", settings)
    second.close(True)
    first.close(True)
    reopened = Ledger.open(tmp_path, "a", "", settings)
    assert (reopened.boot_count, reopened.closed_cleanly) == (2, True)
    reopened.close(True)


def test_the_log_stays_within_its_reserved_size(tmp_path: Path) -> None:
    """Checkpoints prevent the log from growing, so that its size proves that it isn't truncated."""
    play = LedgerRun(tmp_path)
    assert play.open() and play.mark_complete()
    for number in range(200):
        assert play.send(number % 40)
    assert (tmp_path / "a.1.db-wal").stat().st_size == SMALL.file_sizes.log_bytes
    play.close(True)
