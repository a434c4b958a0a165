"""Operations on whole files, in addition to SQLite's own, so that tests can cut and fail these writes too.

`Files` is the operating system's. Its primitives are single system operations; `replace`, `extend` and
`rename` combine them in the one order that survives a power loss. A test double replaces the primitives
only, so that the order itself is under test. Each SQLite VFS may have its own `Files`.
"""

from __future__ import annotations

import os
from pathlib import Path


class Files:
    """What the ledger does with whole files. All methods raise OSError."""

    def read(self, path: Path) -> bytes | None:
        """The whole content; None where there is no file."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def size(self, path: Path) -> int:
        """The size in bytes; 0 where there is no file."""
        return path.stat().st_size if path.exists() else 0

    def names(self, folder: Path) -> list[str]:
        """All names in a folder, sorted."""
        return sorted(os.listdir(folder))

    def append(self, path: Path, content: bytes, *, truncate: bool = False) -> None:
        """Write at the file's end, or to an emptied file; durable only after `sync`."""
        with open(path, "wb" if truncate else "ab") as file:
            file.write(content)

    def sync(self, path: Path) -> None:
        """The file's content is durable when this returns."""
        self._sync(path, os.O_RDWR)

    def move(self, old: Path, new: Path) -> None:
        """Old or new name at every moment; durable only after `sync_folder`."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file if there is one; durable only after `sync_folder`."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Names made, moved and removed in the folder are durable when this returns."""
        self._sync(folder, os.O_RDONLY)

    def _sync(self, path: Path, flags: int) -> None:
        descriptor = os.open(path, flags)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: Path, content: bytes) -> None:
        """Replace a file's content; durable on return, and the old or the new one at every moment before."""
        new = path.with_name(path.name + ".new")
        self.append(new, content, truncate=True)
        # A name that is moved before its content is durable is an empty file after a power loss.
        self.sync(new)
        self.move(new, path)
        self.sync_folder(path.parent)

    def extend(self, path: Path, size: int) -> None:
        """Fill a file up with zeros to `size` bytes; durable on return.

        Written and not only reserved by fallocate: else each first write there would cost one to the file
        system's journal as well.
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
    """Have ledgers on this VFS read and write whole files by these."""
    _FILES_BY_VFS[vfs] = files


def files_of(vfs: str) -> Files:
    """The files of a VFS; the operating system's if none are registered."""
    return _FILES_BY_VFS.get(vfs) or Files()
