"""A disk that loses what was not synced, as a VFS of SQLite's and as the store's small files.

What is written stays in this process's memory until a sync; only then it reaches the real file. So killing
the process is a power loss. As a control file tells (JSON, read again whenever it has changed), the disk is
full, fails writes or syncs, lies about a sync, stalls, or lets some unsynced writes through all the same:

    {"full": true}           every write fails as on a full disk; "room": 4096 lets files grow by so much
    {"fail_write": 0.5}      a write fails with this chance; "fail_sync" and "fail_read" likewise
    {"lie_sync": true}       a sync says that it is done and isn't
    {"stall": true}          writes and syncs wait until this is taken back; "stall_ms": 50: so long each time
    {"leak": 0.3}            an unsynced write, or its first part, reaches the real file with this chance
    {"seed": 7}              of the chances

A failed sync does as Linux does (fsync, 2018): what it should have written counts as clean from then on, is
seen when read, and never reaches the disk by a further sync.

Simpler than a disk: a new file's name is durable with its content's first sync; a moved or removed name is
only after a sync of its folder.
"""

from __future__ import annotations

import errno
import json
import os
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from pathlib import Path

import apsw

from cottonhold.store import files as store_files

POLL_S = 0.01


@dataclass(slots=True, frozen=True)
class Orders:
    """What the control file says; see the module."""

    full: bool = False
    room: int = -1
    fail_write: float = 0.0
    fail_sync: float = 0.0
    fail_read: float = 0.0
    lie_sync: bool = False
    stall: bool = False
    stall_ms: float = 0.0
    leak: float = 0.0
    seed: int = 0

    @classmethod
    def read(cls, text: str) -> Orders:
        """ValueError for what isn't JSON or names something unknown."""
        told = json.loads(text)
        unknown = set(told) - {each.name for each in fields(cls)}
        if unknown:
            raise ValueError(f"no such order: {', '.join(sorted(unknown))}")
        return cls(**told)


# One thing done to a file: bytes at an offset, or cut to a size.
Change = tuple[int, bytes | None]


@dataclass(slots=True, eq=False)
class Node:
    """One file. now: as this process sees it. place: where it is on the true disk, if it is `there` yet.
    changes: not durable yet."""

    now: bytearray
    place: Path
    there: bool = False
    changes: list[Change] = field(default_factory=list)


class Disk:
    """All files that were touched through it. From any thread. Raises OSError."""

    def __init__(self, control: Path | None = None) -> None:
        self.control, self.orders = control, Orders()
        self.nodes: dict[Path, Node] = {}
        self.gone: set[Path] = set()
        self.moves: list[tuple[Node, Path | None]] = []
        self.random = random.Random(0)
        self.lock = threading.RLock()
        self.seen: tuple[int, int] | None = None
        self.operations, self.off = 0, False
        # Told of each write and sync before it happens; what it raises is raised by that operation.
        self.before: Callable[[int, str], None] = lambda _count, _what: None
        # The same of reads, by their own count.
        self.reads = 0
        self.before_read: Callable[[int], None] = lambda _count: None

    # --- faults ---

    def cut(self, chance: random.Random | None = None) -> None:
        """The power goes: nothing more is written. With `chance`, some of what was unsynced got there."""
        self.off = True
        with self.lock:
            if chance is None:
                return
            for node in self.nodes.values():
                for change in node.changes:
                    if chance.random() < 0.5:
                        self._to_real(node, self._torn(change, chance))
            for node, to in self.moves[: chance.randint(0, len(self.moves))]:
                self._move_real(node, to)

    def _fault(self, what: str) -> None:
        self.operations += 1
        self.before(self.operations, what)
        self._look()
        while self.orders.stall and not self.off:
            time.sleep(POLL_S)
            self._look()
        if self.orders.stall_ms:
            time.sleep(self.orders.stall_ms / 1000.0)
        if self.off:
            raise OSError(errno.EIO, "the power is off")
        chance = self.orders.fail_write if what == "write" else self.orders.fail_sync
        if what != "names" and chance and self.random.random() < chance:
            raise OSError(errno.EIO, f"a {what} failed as told")

    def reading(self) -> None:
        """A file or a folder is about to be read."""
        self.reads += 1
        self.before_read(self.reads)
        self._look()
        if self.orders.fail_read and self.random.random() < self.orders.fail_read:
            raise OSError(errno.EIO, "a read failed as told")

    def _look(self) -> None:
        """Reads the control file again if it has changed. One that is half written is read the next time."""
        if self.control is None:
            return
        try:
            stat = self.control.stat()
            seen = (stat.st_mtime_ns, stat.st_size)
            if seen == self.seen:
                return
            orders = Orders.read(self.control.read_text() or "{}")
        except FileNotFoundError:
            orders, seen = Orders(), (0, 0)
        except ValueError:
            return
        if orders.seed != self.orders.seed:
            self.random = random.Random(orders.seed)
        self.orders, self.seen = orders, seen

    # --- files ---

    def node(self, path: Path) -> Node | None:
        """The file as this process sees it; None where there is none."""
        with self.lock:
            node = self.nodes.get(path)
            if node is None and path not in self.gone and path.is_file():
                node = self.nodes[path] = Node(bytearray(path.read_bytes()), path, True)
            return node

    def make(self, path: Path) -> Node:
        """The file, made empty where there is none."""
        with self.lock:
            node = self.node(path)
            if node is None:
                if any(other.place == path for other, _ in self.moves):
                    # Names are journalled in order: the one before is settled before this one can be.
                    self._move_all()
                node = self.nodes[path] = Node(bytearray(), path)
                self.gone.discard(path)
            return node

    def write(self, node: Node, offset: int, content: bytes) -> None:
        """Seen at once, durable after `sync`."""
        with self.lock:
            self._fault("write")
            growth = max(0, offset + len(content) - len(node.now))
            if self.orders.full or (0 <= self.orders.room < growth):
                raise OSError(errno.ENOSPC, "the disk is full")
            if growth:
                node.now.extend(bytes(growth))
            node.now[offset : offset + len(content)] = content
            self._changed(node, (offset, content))

    def truncate(self, node: Node, size: int) -> None:
        """Seen at once, durable after `sync`."""
        with self.lock:
            self._fault("write")
            del node.now[size:]
            self._changed(node, (size, None))

    def sync(self, node: Node) -> None:
        """What was written to this file is durable when this returns, unless told to lie."""
        with self.lock:
            try:
                self._fault("sync")
            except OSError:
                # Clean in the kernel's eyes from now on: no later sync writes it.
                node.changes.clear()
                raise
            if self.orders.lie_sync:
                return
            for change in node.changes:
                self._to_real(node, change)
            node.changes.clear()

    def move(self, old: Path, new: Path) -> None:
        """Seen at once, durable after `sync_names`."""
        with self.lock:
            self._fault("names")
            node = self.node(old)
            if node is None:
                raise FileNotFoundError(errno.ENOENT, str(old))
            self.nodes[new] = self.nodes.pop(old)
            self.gone.add(old)
            self.gone.discard(new)
            self.moves.append((node, new))

    def remove(self, path: Path) -> None:
        """Seen at once, durable after `sync_names`."""
        with self.lock:
            node = self.node(path)
            if node is None:
                return
            self._fault("names")
            del self.nodes[path]
            self.gone.add(path)
            self.moves.append((node, None))

    def sync_names(self) -> None:
        """All moves and removals so far are durable when this returns."""
        with self.lock:
            self._fault("sync")
            if self.orders.lie_sync:
                return
            self._move_all()

    # --- the true disk ---

    def _changed(self, node: Node, change: Change) -> None:
        node.changes.append(change)
        if self.orders.leak and self.random.random() < self.orders.leak:
            self._to_real(node, self._torn(change, self.random))

    @staticmethod
    def _torn(change: Change, chance: random.Random) -> Change:
        offset, content = change
        if content is None or chance.random() < 0.5:
            return change
        return offset, content[: chance.randint(0, len(content))]

    @staticmethod
    def _to_real(node: Node, change: Change) -> None:
        if not node.there:
            node.place.write_bytes(b"")
            node.there = True
        offset, content = change
        with open(node.place, "r+b") as file:
            if content is None:
                file.truncate(offset)
            else:
                file.seek(offset)
                file.write(content)

    def _move_all(self) -> None:
        for node, to in self.moves:
            self._move_real(node, to)
        self.moves.clear()

    @staticmethod
    def _move_real(node: Node, to: Path | None) -> None:
        if to is None:
            if node.there:
                node.place.unlink(missing_ok=True)
            node.there = False
            return
        if not node.there:
            # Danger: the name becomes durable, its content never was: an empty file.
            node.place.write_bytes(b"")
            node.there = True
        os.replace(node.place, to)
        node.place = to


class DiskFiles(store_files.Files):
    """The store's small files on this disk."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def read(self, path: Path) -> bytes | None:
        """See Files."""
        self.disk.reading()
        node = self.disk.node(path)
        return None if node is None else bytes(node.now)

    def size(self, path: Path) -> int:
        """See Files."""
        self.disk.reading()
        node = self.disk.node(path)
        return 0 if node is None else len(node.now)

    def names(self, folder: Path) -> list[str]:
        """See Files."""
        self.disk.reading()
        real = {name for name in os.listdir(folder) if folder / name not in self.disk.gone}
        return sorted(real | {path.name for path in self.disk.nodes if path.parent == folder})

    def append(self, path: Path, content: bytes, *, truncate: bool = False) -> None:
        """See Files."""
        node = self.disk.make(path)
        if truncate and node.now:
            self.disk.truncate(node, 0)
        self.disk.write(node, len(node.now), content)

    def sync(self, path: Path) -> None:
        """See Files."""
        self.disk.sync(self.disk.make(path))

    def move(self, old: Path, new: Path) -> None:
        """See Files."""
        self.disk.move(old, new)

    def remove(self, path: Path) -> None:
        """See Files."""
        self.disk.remove(path)

    def sync_folder(self, folder: Path) -> None:
        """See Files."""
        self.disk.sync_names()


def _told(error: OSError) -> apsw.Error:
    return apsw.FullError(str(error)) if error.errno == errno.ENOSPC else apsw.IOError(str(error))


class _File:
    """SQLite's view of one file; the folder's own lock guards it, so SQLite's are not needed."""

    def __init__(self, disk: Disk, node: Node) -> None:
        self.disk, self.node = disk, node

    def xRead(self, amount: int, offset: int) -> bytes:  # noqa: N802
        self._do(self.disk.reading)
        return bytes(self.node.now[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        self._do(lambda: self.disk.write(self.node, offset, bytes(data)))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        self._do(lambda: self.disk.truncate(self.node, size))

    def xSync(self, _flags: int) -> None:  # noqa: N802
        self._do(lambda: self.disk.sync(self.node))

    def _do(self, what: Callable[[], None]) -> None:
        try:
            what()
        except OSError as error:
            raise _told(error) from error

    def xFileSize(self) -> int:  # noqa: N802
        return len(self.node.now)

    def xLock(self, _level: int) -> None:  # noqa: N802
        pass

    def xUnlock(self, _level: int) -> None:  # noqa: N802
        pass

    def xCheckReservedLock(self) -> bool:  # noqa: N802
        return False

    def xFileControl(self, _op: int, _pointer: int) -> bool:  # noqa: N802
        return False

    def xSectorSize(self) -> int:  # noqa: N802
        return 4096

    def xDeviceCharacteristics(self) -> int:  # noqa: N802
        # As the operating system's VFS tells: a cut write harms no byte outside it.
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE

    def xClose(self) -> None:  # noqa: N802
        pass


class DiskVFS(apsw.VFS):
    """SQLite's way to a Disk; what has nothing to do with files is the operating system's."""

    def __init__(self, name: str, disk: Disk) -> None:
        self.disk = disk
        super().__init__(name, base="")

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> _File:  # type: ignore[override]  # noqa: N802
        """Open a file; one without a name is a temporary file that nothing else sees."""
        if name is None:
            return _File(Disk(), Node(bytearray(), Path()))
        path = Path(name.filename() if isinstance(name, apsw.URIFilename) else name)
        flags[1] = flags[0]
        return _File(self.disk, self.disk.make(path))

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802
        """Remove a file, and make that durable if `syncdir` is set."""
        try:
            self.disk.remove(Path(filename))
            if syncdir:
                self.disk.sync_names()
        except OSError as error:
            raise _told(error) from error

    def xAccess(self, pathname: str, flags: int) -> bool:  # noqa: N802
        """Whether the file exists."""
        return self.disk.node(Path(pathname)) is not None


_INSTALLED: dict[str, DiskVFS] = {}


def install(name: str, control: Path | None = None) -> Disk:
    """Makes the VFS of this name, and the store's small files for it. Again: the power has returned, and
    only what reached the real files is there."""
    disk = Disk(control)
    if name in _INSTALLED:
        _INSTALLED[name].disk = disk
    else:
        _INSTALLED[name] = DiskVFS(name, disk)
    store_files.register_files(name, DiskFiles(disk))
    return disk
