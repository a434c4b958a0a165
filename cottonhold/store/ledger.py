"""The ledger of one instance: records that are durable before they are reported as written.

Reads are from memory as of opening. One thread writes: all queued records go into one transaction with a full
sync and are reported after it. The folder's content never keeps an instance from starting: a damaged file is
set aside, and the content counts as incomplete, which means unknown.

After a failed sync that file is not used again: the kernel may have dropped the pages and report success the
next time, and a read shows the cache and not the disk. All records are written anew, from memory, to a file
of the next generation (see `ledger_folder`).
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

# The VFS a ledger opens by when none is given: the fault-injection harness sets one whose disk fails.
DEFAULT_VFS = ""
MAX_BACKOFF_FACTOR = 16.0  # between recoveries, in retry intervals
OnWritten = Callable[[bool], None]  # called with whether the records are durable


@dataclass(slots=True, frozen=True)
class LedgerSettings:
    """Limits of a ledger.

    stall_timeout_ms: how long a write may wait before new ones are refused.
    retry_interval_ms: between attempts on a full or failed disk.
    max_group_records: in one transaction.
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
    """A ledger, made by `open`. All public methods may be called from any thread."""

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
        """Open a folder's ledger, or create one; the boot is counted and durable on return.

        Raises StoreBusyError if another process has the folder, StoreError if the disk fails.
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
        """The values of a kind by their keys, as of opening."""
        return dict(self.folder.records.get(kind, {}))

    def put(self, records: Sequence[Record], on_written: OnWritten | None = None) -> None:
        """Queue records for one transaction.

        on_written(True) is called in the writer's thread once they are durable. on_written(False) means that
        they were not accepted or are not known to be durable; it is called at once in the caller's thread
        when the disk isn't healthy or the queue is full.
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
        """Make the boot count at least `minimum`, as others know of a later boot than this folder does."""
        with self._lock:
            self.boot_count = max(self.boot_count, minimum)
        self.put([], on_written)

    def mark_complete(self, on_written: OnWritten | None = None) -> None:
        """Record that earlier content can't matter any more, since a whole retention time has passed.

        Until then each opening reports the content as UNKNOWN again, along with the records it has.
        """
        self.put([COMPLETE_MARK], on_written)

    def health(self, now_ms: float) -> DiskHealth:
        """The state of the disk. now_ms: on the ledger's own monotonic clock."""
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
        """Write what is queued and end. clean: record a clean close for the next boot, if all became durable.

        On a disk that stalls the folder stays locked until the end of the process.
        """
        with self._lock:
            self._is_closing, self._closes_cleanly = True, clean
            self._lock.notify()
        self._thread.join(self.settings.stall_timeout_ms / 1000.0)
        if not self._thread.is_alive():
            self.folder.close()

    def _run(self) -> None:
        """The writer's thread."""
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
        """The oldest writes, as many as fit one transaction and at least one."""
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
        """Write one transaction; true once its sync has succeeded."""
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
        # What was committed is durable in the log, whether this succeeds or not.
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
                # Each recovery writes all records anew, which is more work for a disk that fails already.
                max_interval_ms = self.settings.retry_interval_ms * MAX_BACKOFF_FACTOR
                self._retry_interval_ms = min(self._retry_interval_ms * 2.0, max_interval_ms)
            else:
                self._retry_interval_ms = self.settings.retry_interval_ms
            self._state, self._state_reason = state, reason

    def _recover(self, state: DiskState) -> None:
        """Try whether a full or failed disk can be written again."""
        try:
            if state is DiskState.FULL and self.folder.record_file is not None:
                # The checkpoint comes first, so that repeated commits don't fill the log.
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
        """Record the clean close, in the writer's thread: a disk that hangs must not keep the process from
        ending.
        """
        if not self._closes_cleanly or self._state is not DiskState.HEALTHY:
            return
        # If it fails, the next boot takes this one for cut off, which is safe.
        with contextlib.suppress(OSError, apsw.Error):
            self.folder.record_clean_close(self.boot_count)
