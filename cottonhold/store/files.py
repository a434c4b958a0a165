"""Operations on whole files outside SQLite, which tests can make fail or interrupt like those of a VFS.

`Files` uses the operating system. Its primitives are single system operations; `replace`, `extend` and
`rename` combine them in the only order that is safe against a power loss. A test double replaces only the
primitives, so that tests cover this order. Each SQLite VFS may have its own `Files`.
"""

from __future__ import annotations

import os
from pathlib import Path


class Files:
    """The ledger's operations on whole files. All methods raise OSError on failure."""

    def read(self, path: Path) -> bytes | None:
        """Return the whole content; None if the file doesn't exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def size(self, path: Path) -> int:
        """Return the size in bytes; 0 if the file doesn't exist."""
        return path.stat().st_size if path.exists() else 0

    def names(self, folder: Path) -> list[str]:
        """Return the names of all files in a folder, sorted."""
        return sorted(os.listdir(folder))

    def append(self, path: Path, content: bytes, *, truncate: bool = False) -> None:
        """Append to a file, or replace its content if `truncate`; durable only after `sync`."""
        with open(path, "wb" if truncate else "ab") as file:
            file.write(content)

    def sync(self, path: Path) -> None:
        """Make a file's content durable."""
        self._sync(path, os.O_RDWR)

    def move(self, old: Path, new: Path) -> None:
        """Rename a file atomically, replacing any file of the new name; durable only after `sync_folder`."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists; durable only after `sync_folder`."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Make created, renamed and removed files in the folder durable."""
        self._sync(folder, os.O_RDONLY)

    def _sync(self, path: Path, flags: int) -> None:
        descriptor = os.open(path, flags)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: Path, content: bytes) -> None:
        """Replace a file's content atomically; durable on return."""
        new = path.with_name(path.name + ".new")
        self.append(new, content, truncate=True)
        # If the file were renamed before its content is durable, it could be empty after a power loss.
        self.sync(new)
        self.move(new, path)
        self.sync_folder(path.parent)

    def extend(self, path: Path, size: int) -> None:
        """Extend a file with zeros to `size` bytes; durable on return.

        The zeros are written instead of allocated by fallocate, which would add a write to the file system's
        journal to each first write of a block.
        """
        self.append(path, bytes(max(0, size - self.size(path))))
        self.sync(path)
        self.sync_folder(path.parent)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file; durable on return."""
        self.move(old, new)
        self.sync_folder(new.parent)


_FILES_BY_VFS: dict[str, Files] = {}


def register_files(vfs: str, files: Files) -> None:
    """Set the `Files` that ledgers on a VFS use."""
    _FILES_BY_VFS[vfs] = files


def files_of(vfs: str) -> Files:
    """Return the `Files` registered for a VFS; the operating system's by default."""
    return _FILES_BY_VFS.get(vfs) or Files()
