"""The lossy disk as a VFS (virtual file system) of SQLite and as the storage of the store's small files."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path

import apsw

from cottonhold.emulator.lossy_disk import Disk, Node
from cottonhold.store import files as store_files


class DiskFiles(store_files.Files):
    """The store's small files on a lossy disk."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def read(self, path: Path) -> bytes | None:
        """Return a file's content; None if it does not exist."""
        self.disk.start_read()
        node = self.disk.node(path)
        return None if node is None else bytes(node.content)

    def size(self, path: Path) -> int:
        """Return a file's size in bytes; 0 if it does not exist."""
        self.disk.start_read()
        node = self.disk.node(path)
        return 0 if node is None else len(node.content)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of a folder's files."""
        self.disk.start_read()
        on_real_disk = {name for name in os.listdir(folder) if folder / name not in self.disk.removed}
        return sorted(on_real_disk | {path.name for path in self.disk.nodes if path.parent == folder})

    def append(self, path: Path, content: bytes, *, truncate: bool = False) -> None:
        """Append to a file, after its content is removed if `truncate` is set."""
        node = self.disk.open(path)
        if truncate and node.content:
            self.disk.truncate(node, 0)
        self.disk.write(node, len(node.content), content)

    def sync(self, path: Path) -> None:
        """Make a file's content durable."""
        self.disk.sync(self.disk.open(path))

    def move(self, old: Path, new: Path) -> None:
        """Rename a file."""
        self.disk.move(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self.disk.remove(path)

    def sync_folder(self, folder: Path) -> None:
        """Make the moves and removals of files durable."""
        self.disk.sync_names()


def _sqlite_error(error: OSError) -> apsw.Error:
    return apsw.FullError(str(error)) if error.errno == errno.ENOSPC else apsw.IOError(str(error))


class _File:
    """A file as SQLite uses it. The folder has its own lock, so SQLite's locks do nothing."""

    def __init__(self, disk: Disk, node: Node) -> None:
        self.disk, self.node = disk, node

    def xRead(self, amount: int, offset: int) -> bytes:  # noqa: N802
        self._do(self.disk.start_read)
        return bytes(self.node.content[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        self._do(lambda: self.disk.write(self.node, offset, bytes(data)))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        self._do(lambda: self.disk.truncate(self.node, size))

    def xSync(self, _flags: int) -> None:  # noqa: N802
        self._do(lambda: self.disk.sync(self.node))

    def _do(self, operation: Callable[[], None]) -> None:
        try:
            operation()
        except OSError as error:
            raise _sqlite_error(error) from error

    def xFileSize(self) -> int:  # noqa: N802
        return len(self.node.content)

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
        # Like the operating system's VFS: a torn write changes no byte outside its range.
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE

    def xClose(self) -> None:  # noqa: N802
        pass


class DiskVFS(apsw.VFS):
    """A VFS that keeps files on a Disk and leaves everything else to the operating system."""

    def __init__(self, name: str, disk: Disk) -> None:
        self.disk = disk
        super().__init__(name, base="")

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> _File:  # type: ignore[override]  # noqa: N802
        """Open a file; one without a name is a temporary file of its own."""
        if name is None:
            return _File(Disk(), Node(bytearray(), Path()))
        path = Path(name.filename() if isinstance(name, apsw.URIFilename) else name)
        flags[1] = flags[0]
        return _File(self.disk, self.disk.open(path))

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802
        """Remove a file, and make that durable if `syncdir` is set."""
        try:
            self.disk.remove(Path(filename))
            if syncdir:
                self.disk.sync_names()
        except OSError as error:
            raise _sqlite_error(error) from error

    def xAccess(self, pathname: str, flags: int) -> bool:  # noqa: N802
        """Return whether the file exists."""
        return self.disk.node(Path(pathname)) is not None


_INSTALLED: dict[str, DiskVFS] = {}


def install(name: str, control: Path | None = None) -> Disk:
    """Register a new disk as the VFS of this name and for the store's small files; return it.

    A second call simulates the return of power: the new disk has only the contents of the real files.
    """
    disk = Disk(control)
    if name in _INSTALLED:
        _INSTALLED[name].disk = disk
    else:
        _INSTALLED[name] = DiskVFS(name, disk)
    store_files.register_files(name, DiskFiles(disk))
    return disk
