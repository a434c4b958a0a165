"""The ids of sent requests, which the processes of one dispatcher share as files in $TMPDIR.

During an upgrade a request can come to one process after it was sent by the other. So each process writes its
table to a file of its own, and looks an id up in the files of the others. When a process has ended, another
takes over what it may have run.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Collection
from enum import Enum

from cottonhold.frontend.connection_ids import SLOTS
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.sent_requests import (
    BUCKET_BYTES,
    ENTRY,
    TABLE_BYTES,
    SentRequest,
    SentRequestTable,
    bucket_offset,
    find_in_bucket,
    number_of,
)
from cottonhold.transport.clock import Clock

NO_SLOT = -1
FILE_MODE = 0o600


class KnownRequest(Enum):
    """What is known of a request's id."""

    NEW = "new"  # nothing that forbids to send it
    OUT = "out"  # another process has an attempt of it out
    MAY_HAVE_RUN = "may have run"  # it may not be repeated


class SentRequests:
    """The ids of the requests that all processes of this dispatcher have sent.

    Args:
        clock: This process's clock.
        counters: The counters of this process.
        log: Writes a line to the operators' log.
        path_of_slot: Returns the path of the file of a process's slot.
        slot: The slot of this process; NO_SLOT without one, so that nothing is shared.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        log: Callable[[str], None],
        path_of_slot: Callable[[int], str] = str,
        slot: int = NO_SLOT,
    ) -> None:
        self.clock, self.counters, self.log = clock, counters, log
        self.path_of_slot, self.slot = path_of_slot, slot
        self.table = SentRequestTable()
        self.file: int | None = None  # this process's file, once it shares its table
        self.files_of_others: dict[int, int] = {}
        self.has_failed = False  # whether the last write failed

    def start(self, running: Collection[int]) -> None:
        """Take over the tables of processes that have ended; `running` names the slots of running ones."""
        if self.slot == NO_SLOT:
            return
        for slot in range(SLOTS):
            if slot not in running:
                self._take_over(slot)
        self.on_running_processes(running)

    def on_running_processes(self, running: Collection[int]) -> None:
        """Share the table while other processes run, and take over those of processes that have ended.

        Args:
            running: The slots of the other running processes.
        """
        for slot in [slot for slot in self.files_of_others if slot not in running]:
            self._take_over(slot)
            os.close(self.files_of_others.pop(slot))
        if running and self.file is None:
            self._share()
        for slot in running:
            if slot not in self.files_of_others:
                with contextlib.suppress(OSError):  # it has not written its table yet
                    self.files_of_others[slot] = self._open(slot, os.O_RDONLY)

    def find(self, request_id: str) -> KnownRequest:
        """Return what is known of a request that has arrived."""
        number = number_of(request_id)
        own = self.table.find(number)
        if own is not None and not own.is_repeatable:
            return KnownRequest.MAY_HAVE_RUN
        return self._find_at_others(number)

    def begin(self, request_id: str, is_repeatable: bool) -> KnownRequest:
        """Record an attempt directly before its first byte; return whether another process has sent it.

        The own record is written first. So of two processes that begin at the same time, at most one sends.
        """
        number = number_of(request_id)
        entry = SentRequest(number, int(self.clock.now()), is_repeatable)
        offset = self.table.add(entry)
        self._write(offset)
        return self._find_at_others(number)

    def end(self, request_id: str) -> None:
        """Forget a request of which no attempt is out, and which never ran or may be repeated."""
        offset = self.table.remove(number_of(request_id))
        if offset is not None:
            self._write(offset)

    def _find_at_others(self, number: int) -> KnownRequest:
        for file in self.files_of_others.values():
            try:
                bucket = os.pread(file, BUCKET_BYTES, bucket_offset(number))
            except OSError:
                self.counters.add("sent_requests_unread")
                continue
            if (entry := find_in_bucket(bucket, number)) is not None:
                return KnownRequest.OUT if entry.is_repeatable else KnownRequest.MAY_HAVE_RUN
        return KnownRequest.NEW

    def _open(self, slot: int, flags: int) -> int:
        return os.open(self.path_of_slot(slot), flags | os.O_CLOEXEC | os.O_NOFOLLOW, FILE_MODE)

    def _share(self) -> None:
        """Write the whole table to this process's file; an error is logged, and the next call retries."""
        try:
            file = self._open(self.slot, os.O_RDWR | os.O_CREAT)
        except OSError as error:
            self._on_failed(error)
            return
        self.file = file
        self._write_at(0, bytes(self.table.data))

    def _write(self, offset: int) -> None:
        if self.file is not None:
            self._write_at(offset, bytes(self.table.data[offset : offset + ENTRY.size]))

    def _write_at(self, offset: int, data: bytes) -> None:
        assert self.file is not None
        try:
            if os.pwrite(self.file, data, offset) != len(data):
                raise OSError("cut off")
            self.has_failed = False
        except OSError as error:
            self._on_failed(error)

    def _on_failed(self, error: OSError) -> None:
        self.counters.add("sent_requests_unshared")
        if not self.has_failed:
            self.log(f"slot in $TMPDIR: sent requests can't be shared: {error}")
        self.has_failed = True

    def _take_over(self, slot: int) -> None:
        with contextlib.suppress(OSError):  # it never shared its table
            file = self._open(slot, os.O_RDONLY)
            try:
                self.table.merge(os.pread(file, TABLE_BYTES, 0))
            finally:
                os.close(file)
