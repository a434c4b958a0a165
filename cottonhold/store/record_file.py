"""One SQLite file with all records, and the proof that it is whole.

SQLite takes the first frame of its log that doesn't fit for the log's end, and a cell cut off reads as
zeros: either would lose a load's record without a word. So each row has a checksum, one row holds the sum
over all of them and the number of transactions, and the log is filled up to a fixed size before anything is
kept, so that a log cut short is seen by its size.
"""

from __future__ import annotations

import ctypes
import errno
import re
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import apsw

from cottonhold.store.files import Files
from cottonhold.store.records import Record

MASK = (1 << 64) - 1
SCHEMA = """
CREATE TABLE record (kind INTEGER, key BLOB, value BLOB, mark INTEGER, PRIMARY KEY (kind, key)) WITHOUT ROWID;
CREATE TABLE proof
    (one INTEGER PRIMARY KEY, boot INTEGER, turn INTEGER, rows INTEGER, total BLOB, reserve INTEGER)
"""


# What SQLite tells when the disk or the system fails. Of the file's content it says nothing.
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
# The check of a file tells a page that can't be read as one that is damaged, with SQLite's code.
UNREADABLE = re.compile(r"error code=(\d+)")
PRIMARY = 0xFF  # of a code; the rest says more exactly what it is


class BookError(Exception):
    """The file isn't whole; the text says why."""


@dataclass(slots=True, frozen=True)
class Sizes:
    """In bytes. page: SQLite's. reserve: the log's least size; `checkpoint` pages in it and one group must
    fit."""

    page: int = 4096
    reserve: int = 4 << 20
    checkpoint: int = 400


# A row is found by its kind, of whatever version, and key.
At = tuple[int, bytes]
Rows = dict[At, bytes]


def mark(kind: int, key: bytes, value: bytes) -> int:
    """A row's checksum: over all of it, so that a cell that was cut off or mixed up doesn't pass."""
    return zlib.crc32(value, zlib.crc32(key, zlib.crc32(b"%d %d" % (kind, len(key)))))


def _only_damage(found: str) -> None:
    """Raises OSError where the check's text is of a page that the disk didn't let it read."""
    code = UNREADABLE.search(found)
    if code is not None and int(code[1]) & PRIMARY in (apsw.SQLITE_IOERR, apsw.SQLITE_NOMEM):
        raise OSError(errno.EIO, found)


def log_of(path: Path) -> Path:
    """The write-ahead log's path."""
    return path.with_name(path.name + "-wal")


class Book:
    """An open file. Every method but `close` raises apsw.Error or OSError when the disk fails."""

    def __init__(self, path: Path, vfs: str, sizes: Sizes) -> None:
        self.path, self.sizes = path, sizes
        self.rows: Rows = {}
        self.boot = self.turn = self.total = self.pages = 0
        self.db = apsw.Connection(str(path), vfs=vfs or None)
        try:
            self.db.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
            # Exclusive: no shared memory beside the log, which a VFS in Python couldn't give.
            self._pragma("locking_mode = EXCLUSIVE")
            self._pragma(f"page_size = {sizes.page}")
            if self._pragma("journal_mode = WAL") != "wal":
                raise BookError("no write-ahead log can be kept here")
            self._pragma("synchronous = FULL")
            self._pragma("wal_autocheckpoint = 0")
            # The log stays at its size when the file is closed.
            stays = ctypes.c_int(1)
            self.db.file_control("main", apsw.SQLITE_FCNTL_PERSIST_WAL, ctypes.addressof(stays))
            self.db.set_wal_hook(self._logged)
        except BaseException:
            self.db.close(True)
            raise

    @classmethod
    def create(cls, path: Path, vfs: str, files: Files, sizes: Sizes, rows: Rows, boot: int) -> Book:
        """A new file that holds these rows; durable when it returns, as is its name. Nothing stays of one
        that failed: on a full disk that would be the last of the room."""
        for old in (path, log_of(path)):
            files.remove(old)
        try:
            book = cls(path, vfs, sizes)
            try:
                book.db.execute("BEGIN IMMEDIATE")
                book.db.execute(SCHEMA)
                book.db.execute("INSERT INTO proof VALUES (1, 0, 0, 0, X'', ?)", (sizes.reserve,))
                book._write([(at, value) for at, value in rows.items()], boot)
                book.db.execute("COMMIT")
                book.checkpoint()
            finally:
                book.close()
            files.extend(log_of(path), sizes.reserve)
            files.sync_folder(path.parent)
            return cls.read(path, vfs, files, sizes)
        except BaseException:
            for half in (path, log_of(path)):
                files.remove(half)
            raise

    @classmethod
    def read(cls, path: Path, vfs: str, files: Files, sizes: Sizes) -> Book:
        """An existing file with all its rows. BookError if it is proven not to be whole; apsw.Error or
        OSError if the disk doesn't let it be read now."""
        # Before SQLite sees it: it would make a missing log anew.
        log = files.size(log_of(path))
        try:
            book = cls(path, vfs, sizes)
        except DISK_ERRORS:
            # Danger: taken for damage, one read that failed put a whole file aside, with all its promises.
            raise
        except apsw.Error as error:
            raise BookError(f"can't be opened: {error}") from error
        try:
            book._prove(log)
        except DISK_ERRORS:
            book.close()
            raise
        except apsw.Error as error:
            book.close()
            raise BookError(f"can't be read: {error}") from error
        except BaseException:
            book.close()
            raise
        return book

    def _prove(self, log: int) -> None:
        found = self.db.execute("PRAGMA quick_check(1)").get
        if found != "ok":
            _only_damage(str(found))
            raise BookError(f"damaged: {found}")
        proof = self.db.execute("SELECT boot, turn, rows, total, reserve FROM proof WHERE one = 1").fetchone()
        if proof is None:
            raise BookError("no proof in it")
        self.boot, self.turn, rows, total, reserve = proof
        if log < reserve:
            raise BookError(f"its log was cut to {log} of {reserve} bytes")
        for kind, key, value, told in self.db.execute("SELECT kind, key, value, mark FROM record"):
            if mark(kind, key, value) != told:
                raise BookError("a row doesn't fit its checksum")
            self.rows[kind, key] = value
            self.total = (self.total + told) & MASK
        if len(self.rows) != rows or self.total.to_bytes(8, "little") != total:
            raise BookError("rows are missing")

    def commit(self, records: Iterable[Record], boot: int) -> None:
        """One transaction; durable when it returns. When it raises, the file's state isn't known."""
        total, turn = self.total, self.turn
        batch = [((int(record.kind), record.key), record.value) for record in records]
        kept = {at: self.rows.get(at) for at, _ in batch}
        try:
            self.db.execute("BEGIN IMMEDIATE")
            self._write(batch, boot)
            self.db.execute("COMMIT")
        except BaseException:
            self.total, self.turn = total, turn
            for at, value in kept.items():
                self._set(at, value)
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def checkpoint(self) -> None:
        """Moves the log into the file, so that the log starts again at its beginning."""
        self.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
        self.pages = 0

    @property
    def due(self) -> bool:
        """A checkpoint is due before the log outgrows its reserve."""
        return self.pages >= self.sizes.checkpoint

    def close(self) -> None:
        """Nothing is written any more."""
        self.db.close(True)

    def _write(self, batch: list[tuple[At, bytes | None]], boot: int) -> None:
        for at, value in batch:
            old = self.rows.get(at)
            if old is not None:
                self.total -= mark(*at, old)
            if value is None:
                self.db.execute("DELETE FROM record WHERE kind = ? AND key = ?", at)
            else:
                new = mark(*at, value)
                self.total += new
                self.db.execute("INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?)", (*at, value, new))
            self._set(at, value)
        self.total &= MASK
        self.turn += 1
        self.boot = max(self.boot, boot)
        self.db.execute(
            "UPDATE proof SET boot = ?, turn = ?, rows = ?, total = ? WHERE one = 1",
            (self.boot, self.turn, len(self.rows), self.total.to_bytes(8, "little")),
        )

    def _set(self, at: At, value: bytes | None) -> None:
        if value is None:
            self.rows.pop(at, None)
        else:
            self.rows[at] = value

    def _logged(self, _db: apsw.Connection, _name: str, pages: int) -> int:
        self.pages = pages
        return 0

    def _pragma(self, what: str) -> object:
        return self.db.execute(f"PRAGMA {what}").get
