"""A SQLite file with all records of a ledger, which can verify that it is complete.

SQLite treats the first invalid frame of its write-ahead log as the end of the log, and a truncated cell reads
as zeros: either would silently lose the record of a load. So each row has a checksum, a separate row contains
the sum of all checksums and the number of transactions (the *proof*), and the log is extended to a fixed size
before the first record is written, so that a truncated log is detected by its size.
"""

from __future__ import annotations

import ctypes
import errno
import re
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import apsw

from cottonhold.store.files import Files
from cottonhold.store.records import Record

MASK_64_BITS = (1 << 64) - 1
SCHEMA = """
CREATE TABLE record (kind INTEGER, key BLOB, value BLOB, mark INTEGER, PRIMARY KEY (kind, key)) WITHOUT ROWID;
CREATE TABLE proof
    (one INTEGER PRIMARY KEY, boot INTEGER, turn INTEGER, rows INTEGER, total BLOB, reserve INTEGER)
"""

# Errors of SQLite for a failure of the disk or the system; they don't prove that the file is damaged.
DISK_ERRORS = (
    apsw.BusyError,
    apsw.CantOpenError,
    apsw.FullError,
    apsw.IOError,
    apsw.LockedError,
    apsw.NoMemError,
    apsw.PermissionsError,
    apsw.ReadOnlyError,
)
# `PRAGMA quick_check` reports a page that couldn't be read like a damaged one, but with SQLite's error code.
UNREADABLE_PAGE = re.compile(r"error code=(\d+)")
PRIMARY_CODE_MASK = 0xFF  # the primary part of SQLite's extended result codes


class RecordFileError(Exception):
    """The record file isn't intact."""


@dataclass(slots=True, frozen=True)
class FileSizes:
    """Sizes of a record file.

    Attributes:
        page_bytes: The size of SQLite's pages.
        log_bytes: The size to which the write-ahead log is extended; `checkpoint_pages` pages and one group
            of records must fit into it.
        checkpoint_pages: The number of pages in the log from which on a checkpoint is due.
    """

    page_bytes: int = 4096
    log_bytes: int = 4 << 20
    checkpoint_pages: int = 400


# The number of the row's kind, which this version of the program may not know, and the row's key.
RowKey = tuple[int, bytes]
Rows = dict[RowKey, bytes]


def row_checksum(kind: int, key: bytes, value: bytes) -> int:
    """Return a checksum over all parts of a row, which detects truncated and mixed-up cells."""
    return zlib.crc32(value, zlib.crc32(key, zlib.crc32(b"%d %d" % (kind, len(key)))))


def log_path(path: Path) -> Path:
    """Return the path of a record file's write-ahead log."""
    return path.with_name(path.name + "-wal")


def _raise_if_unreadable(check_result: str) -> None:
    """Raise OSError if the check failed only because a page couldn't be read from the disk."""
    code = UNREADABLE_PAGE.search(check_result)
    if code is not None and int(code[1]) & PRIMARY_CODE_MASK in (apsw.SQLITE_IOERR, apsw.SQLITE_NOMEM):
        raise OSError(errno.EIO, check_result)


class RecordFile:
    """An open record file, with all its rows in memory.

    All methods except `close` raise apsw.Error or OSError if the disk fails.
    """

    def __init__(self, path: Path, vfs: str, sizes: FileSizes) -> None:
        self.path, self.sizes = path, sizes
        self.rows: Rows = {}
        self.boot_count = 0
        self.transaction_count = 0
        self.checksum_total = 0
        self.log_pages = 0
        self.connection = apsw.Connection(str(path), vfs=vfs or None)
        try:
            self._configure()
        except BaseException:
            self.connection.close(True)
            raise

    def _configure(self) -> None:
        self.connection.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
        # Exclusive locking works without shared memory for the log, which a VFS in Python can't provide.
        self._pragma("locking_mode = EXCLUSIVE")
        self._pragma(f"page_size = {self.sizes.page_bytes}")
        if self._pragma("journal_mode = WAL") != "wal":
            raise RecordFileError("a write-ahead log isn't supported here")
        self._pragma("synchronous = FULL")
        self._pragma("wal_autocheckpoint = 0")
        # Closing the file must not remove the log, whose size proves that it isn't truncated.
        persistent = ctypes.c_int(1)
        self.connection.file_control("main", apsw.SQLITE_FCNTL_PERSIST_WAL, ctypes.addressof(persistent))
        self.connection.set_wal_hook(self._on_log_written)

    @classmethod
    def create(
        cls, path: Path, vfs: str, files: Files, sizes: FileSizes, rows: Rows, boot_count: int
    ) -> RecordFile:
        """Create a file with these rows; the file and its name are durable on return.

        If that fails, the partial files are removed, since they would use the last space on a full disk.
        """
        for old in (path, log_path(path)):
            files.remove(old)
        try:
            cls._write_new(path, vfs, sizes, rows, boot_count)
            files.extend(log_path(path), sizes.log_bytes)
            files.sync_folder(path.parent)
            return cls.open(path, vfs, files, sizes)
        except BaseException:
            for partial in (path, log_path(path)):
                files.remove(partial)
            raise

    @classmethod
    def _write_new(cls, path: Path, vfs: str, sizes: FileSizes, rows: Rows, boot_count: int) -> None:
        new = cls(path, vfs, sizes)
        try:
            new.connection.execute("BEGIN IMMEDIATE")
            new.connection.execute(SCHEMA)
            new.connection.execute("INSERT INTO proof VALUES (1, 0, 0, 0, X'', ?)", (sizes.log_bytes,))
            new._write(list(rows.items()), boot_count)
            new.connection.execute("COMMIT")
            new.checkpoint()
        finally:
            new.close()

    @classmethod
    def open(cls, path: Path, vfs: str, files: Files, sizes: FileSizes) -> RecordFile:
        """Open an existing file and read all its rows.

        Raises:
            RecordFileError: The file is proven not to be intact.
            apsw.Error, OSError: The file can't be read at present.
        """
        # Read before SQLite opens the log, since SQLite would create a missing one.
        log_bytes = files.size(log_path(path))
        try:
            opened = cls(path, vfs, sizes)
        except DISK_ERRORS:
            # A failed read doesn't prove damage, and an intact file must not be set aside for it.
            raise
        except apsw.Error as error:
            raise RecordFileError(f"can't be opened: {error}") from error
        try:
            opened._verify(log_bytes)
        except DISK_ERRORS:
            opened.close()
            raise
        except apsw.Error as error:
            opened.close()
            raise RecordFileError(f"can't be read: {error}") from error
        except BaseException:
            opened.close()
            raise
        return opened

    def _verify(self, log_bytes: int) -> None:
        """Read all rows and compare them with the proof. Raises RecordFileError if they don't match."""
        result = self.connection.execute("PRAGMA quick_check(1)").get
        if result != "ok":
            _raise_if_unreadable(str(result))
            raise RecordFileError(f"damaged: {result}")
        proof = self.connection.execute(
            "SELECT boot, turn, rows, total, reserve FROM proof WHERE one = 1"
        ).fetchone()
        if proof is None:
            raise RecordFileError("the proof is missing")
        self.boot_count, self.transaction_count, row_count, checksum_total, min_log_bytes = proof
        if log_bytes < min_log_bytes:
            raise RecordFileError(f"its log was truncated to {log_bytes} of {min_log_bytes} bytes")
        self._read_rows()
        if len(self.rows) != row_count or self.checksum_total.to_bytes(8, "little") != checksum_total:
            raise RecordFileError("rows are missing")

    def _read_rows(self) -> None:
        for kind, key, value, checksum in self.connection.execute(
            "SELECT kind, key, value, mark FROM record"
        ):
            if row_checksum(kind, key, value) != checksum:
                raise RecordFileError("a row doesn't match its checksum")
            self.rows[kind, key] = value
            self.checksum_total = (self.checksum_total + checksum) & MASK_64_BITS

    def commit(self, records: Iterable[Record], boot_count: int) -> None:
        """Write records in one transaction, which is durable on return.

        If an error is raised, it is unknown whether the file contains the transaction.
        """
        checksum_total, transaction_count = self.checksum_total, self.transaction_count
        batch = [((int(record.kind), record.key), record.value) for record in records]
        previous = {row_key: self.rows.get(row_key) for row_key, _ in batch}
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            self._write(batch, boot_count)
            self.connection.execute("COMMIT")
        except BaseException:
            self.checksum_total, self.transaction_count = checksum_total, transaction_count
            for row_key, value in previous.items():
                self._set_row(row_key, value)
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise

    def checkpoint(self) -> None:
        """Copy the log's pages into the file, so that the log is written from its beginning again."""
        self.connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
        self.log_pages = 0

    @property
    def is_checkpoint_due(self) -> bool:
        """Return whether a checkpoint is due, which must come before the log exceeds its fixed size."""
        return self.log_pages >= self.sizes.checkpoint_pages

    def close(self) -> None:
        """Close the file without a checkpoint."""
        self.connection.close(True)

    def _write(self, batch: Sequence[tuple[RowKey, bytes | None]], boot_count: int) -> None:
        """Write rows and the updated proof, within the open transaction."""
        for row_key, value in batch:
            old = self.rows.get(row_key)
            if old is not None:
                self.checksum_total -= row_checksum(*row_key, old)
            if value is None:
                self.connection.execute("DELETE FROM record WHERE kind = ? AND key = ?", row_key)
            else:
                checksum = row_checksum(*row_key, value)
                self.checksum_total += checksum
                self.connection.execute(
                    "INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?)", (*row_key, value, checksum)
                )
            self._set_row(row_key, value)
        self.checksum_total &= MASK_64_BITS
        self.transaction_count += 1
        self.boot_count = max(self.boot_count, boot_count)
        total = self.checksum_total.to_bytes(8, "little")
        self.connection.execute(
            "UPDATE proof SET boot = ?, turn = ?, rows = ?, total = ? WHERE one = 1",
            (self.boot_count, self.transaction_count, len(self.rows), total),
        )

    def _set_row(self, row_key: RowKey, value: bytes | None) -> None:
        if value is None:
            self.rows.pop(row_key, None)
        else:
            self.rows[row_key] = value

    def _on_log_written(self, _db: apsw.Connection, _name: str, pages: int) -> int:
        self.log_pages = pages
        return 0

    def _pragma(self, setting: str) -> object:
        return self.connection.execute(f"PRAGMA {setting}").get
