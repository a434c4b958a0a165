"""The ledger of one instance: what it must not forget, durable before anyone is told so.

Reads are from memory as of opening. Writes go to one thread, which takes everything queued into one
transaction with a full sync and tells `done` only after it. What is in the folder never keeps an instance
from starting: a file that isn't whole is put aside, and the memory told as empty, which means unknown.

After a failed sync nothing is asked of that file again: the kernel may have dropped the pages and say yes
the next time, and reading shows the cache and not the disk. All records are written anew, from memory, to a
file of the next generation; it counts when the small life file, replaced whole, names it.
"""

from __future__ import annotations

import fcntl
import os
import re
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import apsw

from cottonhold.store import files as store_files
from cottonhold.store.boot_file import Life
from cottonhold.store.record_file import Book, BookError, Sizes, log_of
from cottonhold.store.records import Kind, Record

# The VFS a ledger opens by when none is given: the rig sets it to a disk's that fails.
VFS = ""
WHOLE = Record(Kind.LIFE, b"whole", b"\x01")
Done = Callable[[bool], None]


class StoreError(Exception):
    """No ledger can be kept in this folder now: its disk fails or is full. Loads are refused, all else goes
    on. What could be read all the same is in `memory` and `kept`; the boot isn't counted."""

    memory: Memory
    kept: dict[Kind, dict[bytes, bytes]]

    def __init__(self, text: str, memory: Memory, kept: dict[Kind, dict[bytes, bytes]]) -> None:
        super().__init__(text)
        self.memory, self.kept = memory, kept


class StoreBusy(StoreError):
    """Another living process has this folder."""


class Memory(Enum):
    """EMPTY: what isn't in it may still have been; unknown, never 'never'. KEPT: it is whole."""

    EMPTY = "empty"
    KEPT = "kept"


class State(Enum):
    """WELL: writes are taken. All others refuse them at once."""

    WELL = "well"
    STALLED = "stalled"
    FULL = "full"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Health:
    """How the disk does, and why."""

    state: State
    reason: str


@dataclass(slots=True, frozen=True)
class LedgerSettings:
    """stall: ms that a write may wait before new ones are refused. retry: ms between tries on a full or
    failed disk. queue: records waiting at most. group: records in one transaction at most."""

    stall: float = 1000.0
    retry: float = 500.0
    queue: int = 4096
    group: int = 256
    sizes: Sizes = Sizes()


@dataclass(slots=True)
class _Write:
    records: tuple[Record, ...]
    done: Done | None
    at: float


def _monotonic() -> float:
    return time.monotonic() * 1000.0


class Ledger:
    """See the module. Opened by `open`; `put`, `health`, `records` from any thread."""

    def __init__(
        self, folder: Path, name: str, vfs: str, settings: LedgerSettings, clock: Callable[[], float]
    ):
        self.folder, self.name, self.vfs, self.settings, self.clock = folder, name, vfs, settings, clock
        self.files = store_files.of(vfs)
        self.boot, self.generation = 0, 0
        self.memory, self.reason, self.clean, self.set_aside = Memory.EMPTY, "", False, 0
        self._kept: dict[Kind, dict[bytes, bytes]] = {}
        self._book: Book | None = None
        self._lock, self._queue, self._waiting = threading.Condition(), deque[_Write](), 0
        self._state, self._why, self._pause = State.WELL, "", settings.retry
        self._busy: float | None = None
        self._ending = self._clean_end = False
        self._handle = -1
        self._thread = threading.Thread(target=self._run, name=f"ledger-{name}", daemon=True)

    # --- opening ---

    @classmethod
    def open(
        cls,
        folder: Path,
        name: str,
        vfs: str = "",
        settings: LedgerSettings | None = None,
        clock: Callable[[], float] = _monotonic,
    ) -> Ledger:
        """Opens, or makes anew; the boot is counted and durable on return. StoreBusy, StoreError."""
        ledger = cls(folder, name, vfs or VFS, settings or LedgerSettings(), clock)
        try:
            ledger._hold_folder()
            ledger._begin()
        except (OSError, apsw.Error, BookError) as error:
            ledger._let_go()
            raise StoreError(f"{folder}: {error}", ledger.memory, ledger._kept) from error
        except BaseException:
            ledger._let_go()
            raise
        ledger._thread.start()
        return ledger

    def _hold_folder(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._handle = os.open(
            self.folder / f"{self.name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
        )
        try:
            # Held by the open file: it goes with the process, however that ends.
            fcntl.flock(self._handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StoreBusy(f"{self.folder}: in use by another process", self.memory, {}) from error

    def _begin(self) -> None:
        content = self.files.read(self._life_path)
        life = Life.read(content)
        newest = self._newest()
        self.generation = life.generation if life else newest
        book = self._read(life, content is not None)
        self.boot = max(life.boot if life else 0, book.boot if book else 0) + 1
        if book is not None:
            self._take_over(book)
        self.clean = book is not None and self._ended_well(life)
        if book is None or not self.clean:
            rows = book.rows if book is not None else {}
            if book is not None:
                book.close()
                self._settle_generation(life.boot if life is not None else 0)
            self.generation = max(newest, self.generation) + 1
            book = Book.create(self._path, self.vfs, self.files, self.settings.sizes, rows, self.boot)
        self._book = book
        self.files.replace(self._life_path, Life(self.boot, self.generation, -1).pack())
        book.commit([], self.boot)
        self._tidy()

    @staticmethod
    def _ended_well(life: Life | None) -> bool:
        """The last life was closed, all of it durable."""
        # Danger: after any other end what is read may be in the kernel's cache only, and stay there for good
        # if a sync of the last life had failed; what is put behind it in the log would be lost with it.
        return life is not None and life.turn >= 0

    def _take_over(self, book: Book) -> None:
        for (kind, key), value in book.rows.items():
            if kind in Kind.__members__.values():
                self._kept.setdefault(Kind(kind), {})[key] = value
        if self._kept.get(Kind.LIFE, {}).pop(WHOLE.key, None) is not None:
            self.memory = Memory.KEPT
        else:
            self.reason = "emptied not long ago"

    def _read(self, life: Life | None, found: bool) -> Book | None:
        """The book, if it is whole; else None, with the reason."""
        if self.files.read(self._path) is None:
            self.reason = "its file is missing" if found else "nothing was here"
            return None
        try:
            book = Book.read(self._path, self.vfs, self.files, self.settings.sizes)
            if life is not None and life.turn > book.turn:
                book.close()
                raise BookError(f"{life.turn - book.turn} transactions are missing")
        except BookError as error:
            self.reason = str(error)
            self.set_aside += 1
            for path in (self._path, log_of(self._path)):
                if self.files.read(path) is not None:
                    self.files.rename(path, path.with_name(path.name + ".broken"))
            return None
        return book

    @property
    def _life_path(self) -> Path:
        return self.folder / f"{self.name}.life"

    @property
    def _path(self) -> Path:
        return self._book_path(self.generation)

    def _book_path(self, generation: int) -> Path:
        return self.folder / f"{self.name}.{generation}.db"

    def _generations(self) -> list[int]:
        """Of all books here, broken ones too."""
        found = re.compile(rf"{re.escape(self.name)}\.(\d+)\.db(-wal)?(\.broken)?").fullmatch
        return sorted({int(match[1]) for match in map(found, self.files.names(self.folder)) if match})

    def _newest(self) -> int:
        return max(self._generations(), default=0)

    def _settle_generation(self, boot: int) -> None:
        """Where a life file's replacement has failed there are several books, and any may count on the disk.
        That it is the one that counts here is made durable first, and then the others go.

        Danger: with each try leaving one book, a disk that failed in the life file only was filled up. And
        without the first step, the only book that counts on the disk could go."""
        if self._generations() not in ([], [self.generation]):
            self.files.replace(self._life_path, Life(boot, self.generation, -1).pack())
            self._tidy()

    def _tidy(self) -> None:
        """Books of earlier generations go; of broken ones the newest stays for whoever asks."""
        names = self.files.names(self.folder)
        broken = [g for g in self._generations() if self._book_path(g).name + ".broken" in names]
        for generation in self._generations():
            path = self._book_path(generation)
            for old in (path, log_of(path)):
                if generation != self.generation:
                    self.files.remove(old)
                if generation not in broken[-1:]:
                    self.files.remove(old.with_name(old.name + ".broken"))

    # --- for the rim ---

    def records(self, kind: Kind) -> dict[bytes, bytes]:
        """As of opening."""
        return dict(self._kept.get(kind, {}))

    def put(self, records: Sequence[Record], done: Done | None = None) -> None:
        """Queues them for one transaction. done(True), in the writer's thread: durable. done(False): not
        taken, or not known to be durable; in the caller's thread at once when the disk isn't well or the
        queue is full."""
        with self._lock:
            well = self._health(self.clock()).state is State.WELL and not self._ending
            if well and self._waiting + len(records) <= self.settings.queue:
                self._queue.append(_Write(tuple(records), done, self.clock()))
                self._waiting += len(records)
                self._lock.notify()
                return
        if done is not None:
            done(False)

    def raise_boot(self, least: int, done: Done | None = None) -> None:
        """Others know of a later boot than this folder does: from now on it is at least this one."""
        with self._lock:
            self.boot = max(self.boot, least)
        self.put([], done)

    def settle(self, done: Done | None = None) -> None:
        """What was before can't matter any more (a whole hold has passed): from now on the memory is whole.
        Until then each next opening tells it as EMPTY again, though with the records that it has."""
        self.put([WHOLE], done)

    def health(self, now_ms: float) -> Health:
        """now_ms: on the same monotonic clock as the ledger's."""
        with self._lock:
            return self._health(now_ms)

    def _health(self, now: float) -> Health:
        if self._state is not State.WELL:
            return Health(self._state, self._why)
        oldest = self._busy if self._busy is not None else self._queue[0].at if self._queue else now
        if now - oldest > self.settings.stall:
            return Health(State.STALLED, f"a write has waited for {now - oldest:.0f} ms")
        return Health(State.WELL, "")

    def close(self, clean: bool) -> None:
        """Writes what is queued and ends; `clean`: told so to the next life, if all of it got there. On a
        disk that stalls it leaves the folder to this process's end."""
        with self._lock:
            self._ending, self._clean_end = True, clean
            self._lock.notify()
        self._thread.join(self.settings.stall / 1000.0)
        if not self._thread.is_alive():
            self._let_go()

    def _end(self) -> None:
        """In the writer's thread. Danger: in the caller's, a disk that hung in the last sync kept the process
        from ending."""
        try:
            if self._clean_end and self._book is not None and self._state is State.WELL:
                self._book.checkpoint()
                self.files.replace(self._life_path, Life(self.boot, self.generation, self._book.turn).pack())
        except (OSError, apsw.Error):
            pass  # The next life takes this one for cut off, which is the safe side.

    def _let_go(self) -> None:
        if self._book is not None:
            self._book.close()
        if self._handle >= 0:
            os.close(self._handle)
            self._handle = -1

    # --- the writer's thread ---

    def _run(self) -> None:
        while True:
            with self._lock:
                if not self._queue and not self._ending:
                    well = self._state is State.WELL
                    self._lock.wait(None if well else self._pause / 1000.0)
                group = self._take()
                ending, state = self._ending, self._state
            if not group and ending:
                self._end()
                return
            if group:
                self._answer(group, state is State.WELL and self._commit(group))
            elif state is not State.WELL:
                self._recover(state)

    def _take(self) -> list[_Write]:
        group: list[_Write] = []
        size = 0
        while self._queue and (not group or size + len(self._queue[0].records) <= self.settings.group):
            group.append(self._queue.popleft())
            size += len(group[-1].records)
        self._waiting -= size
        self._busy = group[0].at if group else None
        return group

    def _answer(self, group: list[_Write], well: bool) -> None:
        with self._lock:
            self._busy = None
        for write in group:
            if write.done is not None:
                write.done(well)

    def _commit(self, group: list[_Write]) -> bool:
        """True once the sync has returned well."""
        book = self._book
        if book is None:
            return False
        try:
            book.commit([record for write in group for record in write.records], self.boot)
        except apsw.FullError as error:
            self._tell(State.FULL, str(error))
            return False
        except (apsw.Error, OSError) as error:
            self._tell(State.FAILED, str(error))
            return False
        if book.due:
            self._checkpoint(book)
        return True

    def _checkpoint(self, book: Book) -> None:
        # What was committed is durable in the log whatever comes of this.
        try:
            book.checkpoint()
        except apsw.FullError as error:
            self._tell(State.FULL, str(error))
        except (apsw.Error, OSError) as error:
            self._tell(State.FAILED, str(error))

    def _tell(self, state: State, why: str) -> None:
        with self._lock:
            again = state is State.FAILED and self._state is State.FAILED
            # Writing all anew is work for a disk that fails already: less and less often.
            self._pause = min(self._pause * 2.0, self.settings.retry * 16.0) if again else self.settings.retry
            self._state, self._why = state, why

    def _recover(self, state: State) -> None:
        try:
            if state is State.FULL and self._book is not None:
                # In this order: a commit that is tried again and again must not fill the log meanwhile.
                self._book.checkpoint()
                self._book.commit([], self.boot)
            else:
                self._write_anew()
        except apsw.FullError as error:
            self._tell(State.FULL if state is State.FULL else State.FAILED, str(error))
        except (apsw.Error, OSError, BookError) as error:
            self._tell(State.FAILED, str(error))
        else:
            self._tell(State.WELL, "")

    def _write_anew(self) -> None:
        """Danger: neither the old file's pages nor a read of it prove anything after a failed sync."""
        book = self._book
        if book is None:
            return
        self._settle_generation(self.boot)
        generation = self._newest() + 1
        path = self._book_path(generation)
        fresh = Book.create(path, self.vfs, self.files, self.settings.sizes, book.rows, self.boot)
        try:
            self.files.replace(self._life_path, Life(self.boot, generation, -1).pack())
        except BaseException:
            # Danger: the life file may name it already, so it stays.
            fresh.close()
            raise
        self._book, self.generation = fresh, generation
        book.close()
        self._tidy()
