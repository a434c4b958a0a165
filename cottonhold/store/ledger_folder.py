"""The folder of one ledger: its lock, its boot file, and record files by generation.

The boot file names the generation of the current record file. A new generation is written when the current
file isn't reliable: after a boot that didn't end with a clean close, and after a failed write. The new file
becomes current when the boot file, which is replaced atomically, names it; then the files of other
generations are removed.
"""

from __future__ import annotations

import fcntl
import os
import re
from pathlib import Path

from cottonhold.store.boot_file import NOT_CLOSED, BootFile
from cottonhold.store.files import Files
from cottonhold.store.health import Completeness, StoreBusyError
from cottonhold.store.record_file import FileSizes, RecordFile, RecordFileError, log_path
from cottonhold.store.records import Record, RecordKind

COMPLETE_MARK = Record(RecordKind.INCARNATION, b"whole", b"\x01")
DAMAGED_SUFFIX = ".broken"


class LedgerFolder:
    """A folder that one process uses at a time.

    Methods raise OSError, apsw.Error or RecordFileError if the disk fails. After `open`, `completeness` and
    `reason` describe the content that was found, and `records` contains it.
    """

    def __init__(self, path: Path, name: str, vfs: str, files: Files, sizes: FileSizes) -> None:
        self.path, self.name, self.vfs, self.files, self.sizes = path, name, vfs, files, sizes
        self.boot_count, self.generation = 0, 0
        self.completeness, self.reason = Completeness.UNKNOWN, ""
        self.closed_cleanly = False  # whether the previous boot was closed cleanly
        self.damaged_files = 0  # number of files set aside by `open`
        self.records: dict[RecordKind, dict[bytes, bytes]] = {}  # the records when the folder was opened
        self.record_file: RecordFile | None = None
        self._lock_descriptor = -1

    def lock(self) -> None:
        """Lock the folder for this process. Raises StoreBusyError if another process has locked it."""
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock_descriptor = os.open(
            self.path / f"{self.name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
        )
        try:
            # The kernel releases the lock when the file is closed, however the process ends.
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            text = f"{self.path}: in use by another process"
            raise StoreBusyError(text, self.completeness, {}) from error

    def open(self) -> None:
        """Read the existing files, or create them; the new boot count is durable on return."""
        content = self.files.read(self._boot_path)
        boot_file = BootFile.decode(content)
        newest = max(self._generations(), default=0)
        self.generation = boot_file.generation if boot_file else newest
        record_file = self._read_record_file(boot_file, content is not None)
        last_boot_count = max(
            boot_file.boot_count if boot_file else 0, record_file.boot_count if record_file else 0
        )
        self.boot_count = last_boot_count + 1
        if record_file is not None:
            self._load_records(record_file)
        self.closed_cleanly = record_file is not None and _was_closed_cleanly(boot_file)
        if record_file is None or not self.closed_cleanly:
            rows = record_file.rows if record_file is not None else {}
            if record_file is not None:
                record_file.close()
                self._make_generation_durable(boot_file.boot_count if boot_file is not None else 0)
            self.generation = max(newest, self.generation) + 1
            record_file = self._create(self.generation, rows, self.boot_count)
        self.record_file = record_file
        self._write_boot_file(self.boot_count)
        record_file.commit([], self.boot_count)
        self._remove_old_files()

    def rewrite(self, boot_count: int) -> None:
        """Write all rows from memory to a file of the next generation.

        After a failed sync the content of the old file on the disk is unknown, even if it can be read, so
        none of it is used.
        """
        old = self.record_file
        if old is None:
            return
        self._make_generation_durable(boot_count)
        generation = max(self._generations(), default=0) + 1
        new = self._create(generation, old.rows, boot_count)
        try:
            self.files.replace(self._boot_path, BootFile(boot_count, generation, NOT_CLOSED).encode())
        except BaseException:
            # Keep the new file: the boot file on the disk may already name it.
            new.close()
            raise
        self.record_file, self.generation = new, generation
        old.close()
        self._remove_old_files()

    def record_clean_close(self, boot_count: int) -> None:
        """Checkpoint all transactions of this boot, then record the clean close in the boot file."""
        if self.record_file is not None:
            self.record_file.checkpoint()
            self._write_boot_file(boot_count, self.record_file.transaction_count)

    def close(self) -> None:
        """Close the record file and unlock the folder."""
        if self.record_file is not None:
            self.record_file.close()
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    @property
    def _boot_path(self) -> Path:
        return self.path / f"{self.name}.life"

    def _record_path(self, generation: int) -> Path:
        return self.path / f"{self.name}.{generation}.db"

    def _write_boot_file(self, boot_count: int, transactions: int = NOT_CLOSED) -> None:
        content = BootFile(boot_count, self.generation, transactions).encode()
        self.files.replace(self._boot_path, content)

    def _create(self, generation: int, rows: dict[tuple[int, bytes], bytes], boot_count: int) -> RecordFile:
        path = self._record_path(generation)
        return RecordFile.create(path, self.vfs, self.files, self.sizes, rows, boot_count)

    def _read_record_file(self, boot_file: BootFile | None, has_boot_file: bool) -> RecordFile | None:
        """Return the current record file if it is intact; otherwise set `reason` and return None."""
        path = self._record_path(self.generation)
        if self.files.read(path) is None:
            self.reason = "the record file is missing" if has_boot_file else "there was no ledger"
            return None
        try:
            record_file = RecordFile.open(path, self.vfs, self.files, self.sizes)
            if boot_file is not None and boot_file.transactions_at_close > record_file.transaction_count:
                record_file.close()
                missing = boot_file.transactions_at_close - record_file.transaction_count
                raise RecordFileError(f"{missing} transactions are missing")
        except RecordFileError as error:
            self.reason = str(error)
            self._set_aside_damaged(path)
            return None
        return record_file

    def _set_aside_damaged(self, path: Path) -> None:
        """Rename a damaged file and its log, so that they are kept for inspection."""
        self.damaged_files += 1
        for damaged in (path, log_path(path)):
            if self.files.read(damaged) is not None:
                self.files.rename(damaged, damaged.with_name(damaged.name + DAMAGED_SUFFIX))

    def _load_records(self, record_file: RecordFile) -> None:
        """Load the rows of all known kinds; rows of kinds of a later version only remain in the file."""
        for (kind, key), value in record_file.rows.items():
            if kind in RecordKind.__members__.values():
                self.records.setdefault(RecordKind(kind), {})[key] = value
        if self.records.get(RecordKind.INCARNATION, {}).pop(COMPLETE_MARK.key, None) is not None:
            self.completeness = Completeness.COMPLETE
        else:
            self.reason = "restarted empty less than one retention time ago"

    def _generations(self) -> list[int]:
        """Return the generations of all record files in the folder, including damaged ones."""
        suffix = re.escape(DAMAGED_SUFFIX)
        match_record_file = re.compile(rf"{re.escape(self.name)}\.(\d+)\.db(-wal)?({suffix})?").fullmatch
        return sorted(
            {int(match[1]) for match in map(match_record_file, self.files.names(self.path)) if match}
        )

    def _make_generation_durable(self, boot_count: int) -> None:
        """Make the current generation durable in the boot file, and remove the files of all others.

        After a failed replacement of the boot file there are several record files, and the boot file on the
        disk may name any of them. Without this method each further attempt would leave another file, until
        the disk is full. The boot file is made durable before files are removed, since the file that it names
        could be among them otherwise.
        """
        if self._generations() not in ([], [self.generation]):
            self._write_boot_file(boot_count)
            self._remove_old_files()

    def _remove_old_files(self) -> None:
        """Remove the files of other generations, and all damaged files but the newest."""
        names = self.files.names(self.path)
        generations = self._generations()
        damaged = [g for g in generations if self._record_path(g).name + DAMAGED_SUFFIX in names]
        for generation in generations:
            path = self._record_path(generation)
            for old in (path, log_path(path)):
                if generation != self.generation:
                    self.files.remove(old)
                if generation not in damaged[-1:]:
                    self.files.remove(old.with_name(old.name + DAMAGED_SUFFIX))


def _was_closed_cleanly(boot_file: BootFile | None) -> bool:
    """Return whether the last boot was closed with all its transactions durable.

    After any other end, the content that is read may be in the kernel's cache only. If a sync of the last
    boot had failed, it may never reach the disk, and all that is appended to the log would be lost with it.
    """
    return boot_file is not None and boot_file.transactions_at_close > NOT_CLOSED
