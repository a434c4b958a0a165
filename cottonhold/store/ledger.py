"""The ledger of one instance: records that are durable before they are reported as written.

Reads return the records as they were when the ledger was opened. One thread writes: it commits queued records
in one transaction with a full sync, and then reports them as written. The folder's content never prevents an
instance from starting: a damaged file is set aside, and the completeness of the content is then unknown.

After a failed sync the file isn't used any more: the kernel may have dropped the pages and report success for
the next sync, and a read would return the cache and not the disk's content. Instead, all records are written
from memory to a file of the next generation (see `ledger_folder`).
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import apsw

from cottonhold.store.files import files_of
from cottonhold.store.health import DiskHealth, DiskState, StoreError
from cottonhold.store.ledger_folder import COMPLETE_MARK, LedgerFolder
from cottonhold.store.record_file import FileSizes, RecordFile, RecordFileError
from cottonhold.store.records import Record, RecordKind

# The VFS of ledgers that are opened without one. Fault-injection tests set one that simulates disk failures.
DEFAULT_VFS = ""
MAX_BACKOFF_FACTOR = 16.0  # longest time between recovery attempts, as a multiple of the retry interval
OnWritten = Callable[[bool], None]  # its argument is true if the records are durable


@dataclass(slots=True, frozen=True)
class LedgerSettings:
    """Settings of a ledger.

    Attributes:
        stall_timeout_ms: Time that a write may take before new ones are rejected, in ms.
        retry_interval_ms: Time between attempts to write to a full or failed disk again, in ms.
        max_queued_records: Number of queued records from which on new writes are rejected.
        max_group_records: Number of records that are committed in one transaction; a larger single write is
            still committed.
        file_sizes: The sizes of record files.
    """

    stall_timeout_ms: float = 1000.0
    retry_interval_ms: float = 500.0
    max_queued_records: int = 4096
    max_group_records: int = 256
    file_sizes: FileSizes = FileSizes()


@dataclass(slots=True)
class _Write:
    records: tuple[Record, ...]
    on_written: OnWritten | None
    queued_at: float


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


class Ledger:
    """An open ledger; call `open` to create one. All public methods may be called from any thread."""

    def __init__(self, folder: LedgerFolder, settings: LedgerSettings, clock: Callable[[], float]) -> None:
        self.folder, self.settings, self.clock = folder, settings, clock
        self.boot_count = folder.boot_count
        self.completeness, self.reason = folder.completeness, folder.reason
        self.closed_cleanly, self.damaged_files = folder.closed_cleanly, folder.damaged_files
        self._lock = threading.Condition()
        self._queue, self._queued_records = deque[_Write](), 0
        self._state, self._state_reason = DiskState.HEALTHY, ""
        self._retry_interval_ms = settings.retry_interval_ms
        self._writing_since: float | None = None  # when the oldest write in progress was queued
        self._is_closing = self._closes_cleanly = False
        self._thread = threading.Thread(target=self._run, name=f"ledger-{folder.name}", daemon=True)

    @classmethod
    def open(
        cls,
        path: Path,
        name: str,
        vfs: str = "",
        settings: LedgerSettings | None = None,
        clock: Callable[[], float] = _monotonic_ms,
    ) -> Ledger:
        """Open the ledger in a folder, or create one; the new boot count is durable on return.

        Args:
            path: The folder.
            name: The name of the instance, with which all file names begin.
            vfs: The SQLite VFS; empty for `DEFAULT_VFS`.
            settings: The settings; None for the defaults.
            clock: Returns the time in ms on a monotonic clock.

        Raises:
            StoreBusyError: Another process uses the folder.
            StoreError: The disk fails or is full.
        """
        vfs, settings = vfs or DEFAULT_VFS, settings or LedgerSettings()
        folder = LedgerFolder(path, name, vfs, files_of(vfs), settings.file_sizes)
        try:
            folder.lock()
            folder.open()
        except (OSError, apsw.Error, RecordFileError) as error:
            folder.close()
            raise StoreError(f"{path}: {error}", folder.completeness, folder.records) from error
        except BaseException:
            folder.close()
            raise
        ledger = cls(folder, settings, clock)
        ledger._thread.start()
        return ledger

    def records(self, kind: RecordKind) -> dict[bytes, bytes]:
        """Return the values of a kind by their keys, as they were when the ledger was opened."""
        return dict(self.folder.records.get(kind, {}))

    def put(self, records: Sequence[Record], on_written: OnWritten | None = None) -> None:
        """Queue records to be written in one transaction.

        Args:
            records: The records.
            on_written: Called with True in the writer's thread once the records are durable, or with False if
                they were rejected or may not be durable. If the disk isn't healthy or the queue is full, it
                is called with False in the caller's thread before this method returns.
        """
        with self._lock:
            is_healthy = self._health(self.clock()).state is DiskState.HEALTHY and not self._is_closing
            if is_healthy and self._queued_records + len(records) <= self.settings.max_queued_records:
                self._queue.append(_Write(tuple(records), on_written, self.clock()))
                self._queued_records += len(records)
                self._lock.notify()
                return
        if on_written is not None:
            on_written(False)

    def raise_boot_count(self, minimum: int, on_written: OnWritten | None = None) -> None:
        """Raise the boot count to at least `minimum`, after other instances reported a later boot."""
        with self._lock:
            self.boot_count = max(self.boot_count, minimum)
        self.put([], on_written)

    def mark_complete(self, on_written: OnWritten | None = None) -> None:
        """Mark the content as complete, after a whole retention time in which lost records have expired.

        Until then, each opening reports the completeness as UNKNOWN, together with the records that exist.
        """
        self.put([COMPLETE_MARK], on_written)

    def health(self, now_ms: float) -> DiskHealth:
        """Return the state of the disk.

        Args:
            now_ms: The time on the ledger's monotonic clock, in ms.
        """
        with self._lock:
            return self._health(now_ms)

    def _health(self, now_ms: float) -> DiskHealth:
        if self._state is not DiskState.HEALTHY:
            return DiskHealth(self._state, self._state_reason)
        oldest = now_ms
        if self._writing_since is not None:
            oldest = self._writing_since
        elif self._queue:
            oldest = self._queue[0].queued_at
        waited_ms = now_ms - oldest
        if waited_ms > self.settings.stall_timeout_ms:
            return DiskHealth(DiskState.STALLED, f"a write has waited for {waited_ms:.0f} ms")
        return DiskHealth(DiskState.HEALTHY, "")

    def close(self, clean: bool) -> None:
        """Write the queued records, and close the ledger.

        On a stalled disk this returns after `stall_timeout_ms`, and the folder remains locked until the
        process ends.

        Args:
            clean: Whether to record a clean close for the next boot, if all records became durable.
        """
        with self._lock:
            self._is_closing, self._closes_cleanly = True, clean
            self._lock.notify()
        self._thread.join(self.settings.stall_timeout_ms / 1000.0)
        if not self._thread.is_alive():
            self.folder.close()

    def _run(self) -> None:
        """Write queued records and recover from failures until the ledger is closed; the thread's target."""
        while True:
            with self._lock:
                if not self._queue and not self._is_closing:
                    is_healthy = self._state is DiskState.HEALTHY
                    self._lock.wait(None if is_healthy else self._retry_interval_ms / 1000.0)
                group = self._next_group()
                is_closing, state = self._is_closing, self._state
            if not group and is_closing:
                self._finish()
                return
            if group:
                self._report(group, state is DiskState.HEALTHY and self._commit(group))
            elif state is not DiskState.HEALTHY:
                self._recover(state)

    def _next_group(self) -> list[_Write]:
        """Remove and return the oldest writes: as many as fit into one transaction, and at least one."""
        group: list[_Write] = []
        size = 0
        while self._queue:
            if group and size + len(self._queue[0].records) > self.settings.max_group_records:
                break
            group.append(self._queue.popleft())
            size += len(group[-1].records)
        self._queued_records -= size
        self._writing_since = group[0].queued_at if group else None
        return group

    def _report(self, group: list[_Write], is_durable: bool) -> None:
        with self._lock:
            self._writing_since = None
        for write in group:
            if write.on_written is not None:
                write.on_written(is_durable)

    def _commit(self, group: list[_Write]) -> bool:
        """Write one transaction; return whether its sync succeeded."""
        record_file = self.folder.record_file
        if record_file is None:
            return False
        try:
            record_file.commit([record for write in group for record in write.records], self.boot_count)
        except (apsw.Error, OSError) as error:
            self._on_disk_error(error)
            return False
        if record_file.is_checkpoint_due:
            self._checkpoint(record_file)
        return True

    def _checkpoint(self, record_file: RecordFile) -> None:
        # Committed records are durable in the log, even if the checkpoint fails.
        try:
            record_file.checkpoint()
        except (apsw.Error, OSError) as error:
            self._on_disk_error(error)

    def _on_disk_error(self, error: Exception) -> None:
        state = DiskState.FULL if isinstance(error, apsw.FullError) else DiskState.FAILED
        self._set_state(state, str(error))

    def _set_state(self, state: DiskState, reason: str) -> None:
        with self._lock:
            if state is DiskState.FAILED and self._state is DiskState.FAILED:
                # Each recovery rewrites all records, which is additional work for a disk that already fails.
                max_interval_ms = self.settings.retry_interval_ms * MAX_BACKOFF_FACTOR
                self._retry_interval_ms = min(self._retry_interval_ms * 2.0, max_interval_ms)
            else:
                self._retry_interval_ms = self.settings.retry_interval_ms
            self._state, self._state_reason = state, reason

    def _recover(self, state: DiskState) -> None:
        """Try to write to a full or failed disk again."""
        try:
            if state is DiskState.FULL and self.folder.record_file is not None:
                # The checkpoint comes first; otherwise repeated commits would fill the log.
                self.folder.record_file.checkpoint()
                self.folder.record_file.commit([], self.boot_count)
            else:
                self.folder.rewrite(self.boot_count)
        except apsw.FullError as error:
            is_still_full = state is DiskState.FULL
            self._set_state(DiskState.FULL if is_still_full else DiskState.FAILED, str(error))
        except (apsw.Error, OSError, RecordFileError) as error:
            self._set_state(DiskState.FAILED, str(error))
        else:
            self._set_state(DiskState.HEALTHY, "")

    def _finish(self) -> None:
        """Record a clean close, in the writer's thread, so that a hanging disk doesn't delay the exit."""
        if not self._closes_cleanly or self._state is not DiskState.HEALTHY:
            return
        # If it fails, the next boot assumes that this one was interrupted, which is safe.
        with contextlib.suppress(OSError, apsw.Error):
            self.folder.record_clean_close(self.boot_count)
