"""Finds the other processes of the same dispatcher by their slots, which are locked files in $TMPDIR.

In an upgrade a second process serves at the same address while the first one shuts down. The kernel releases
a lock however its process ends, so an unlocked file is a free slot. The record in the file contains the
numbers of connections that the process holds.
"""

from __future__ import annotations

import fcntl
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.frontend.connection_ids import SLOTS, ConnectionIdRange

RECORD = struct.Struct(">4sIII?")
MAGIC = b"CHS1"
MAX_START_NUMBER = 0xFFFFFFFF
PID_MAX_FILE = "/proc/sys/kernel/pid_max"
MAX_PIDS = 1 << 22  # the kernel's upper limit, used if `PID_MAX_FILE` can't be read
NO_FILE = -1


@dataclass(slots=True, frozen=True)
class ProcessRecord:
    """The record that a process publishes in its slot."""

    start_number: int  # sequence number of the process among the starts under one $TMPDIR
    client_connections: int = 0  # descriptors in use for clients
    engine_connections: int = 0  # descriptors in use for engines
    is_serving: bool = False

    def encode(self) -> bytes:
        """Encode the record for the file."""
        return RECORD.pack(
            MAGIC, self.start_number, self.client_connections, self.engine_connections, self.is_serving
        )

    @classmethod
    def decode(cls, data: bytes) -> ProcessRecord | None:
        """Decode a file's bytes; return None if they are not a complete record."""
        if len(data) != RECORD.size or not data.startswith(MAGIC):
            return None
        return cls(*RECORD.unpack(data)[1:])


class SiblingProcesses:
    """Holds this process's slot, and reads the records of the others.

    Without a writable folder this process has no slot and sees no others.

    Args:
        folder: The folder of the slots; None without one.
        name: The name of the dispatcher, as part of the files' names.
        log: Writes a line to the operators' log.
    """

    def __init__(self, folder: str | None, name: str, log: Callable[[str], None]) -> None:
        self.folder, self.name, self.log = folder, name, log
        self.slot, self.file, self.record = -1, NO_FILE, ProcessRecord(0)
        self.is_published = True  # whether the file contains the record
        if folder is not None:
            try:
                self._claim_slot()
            except OSError as error:
                log(f"no slot in $TMPDIR, so that sibling processes are not seen: {error}")

    def _path(self, slot: int) -> str:
        return os.path.join(self.folder or "", f"cottonhold-{self.name}.seat{slot}")

    def _open(self, slot: int, flags: int) -> int:
        return os.open(self._path(slot), flags | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)

    def _claim_slot(self) -> None:
        """Lock the first free slot and publish the next start number there.

        Raises:
            OSError: No slot could be locked.
        """
        last_start, reason = 0, OSError(f"all {SLOTS} slots are taken")
        for slot in range(SLOTS):
            try:
                file = self._open(slot, os.O_RDWR | os.O_CREAT)
            except OSError as error:
                reason = error
                continue
            record = read_record(file)
            last_start = max(last_start, record.start_number if record else 0)
            if self.file == NO_FILE and try_lock(file, fcntl.LOCK_EX):
                self.slot, self.file = slot, file
            else:
                os.close(file)
        if self.file == NO_FILE:
            raise reason
        self.publish(ProcessRecord((last_start + 1) & MAX_START_NUMBER))

    def connection_ids(self) -> ConnectionIdRange:
        """Return the range of ids for this process's client connections."""
        if self.file != NO_FILE:
            return ConnectionIdRange.for_slot(self.record.start_number, self.slot)
        try:
            with open(PID_MAX_FILE) as pid_max:
                return ConnectionIdRange.for_process(os.getpid(), int(pid_max.read()))
        except (OSError, ValueError):
            return ConnectionIdRange.for_process(os.getpid(), MAX_PIDS)

    def publish(self, record: ProcessRecord) -> None:
        """Write this process's record; a write error is logged once, and the next call retries."""
        if self.file == NO_FILE or record == self.record and self.is_published:
            return
        self.record, was_published = record, self.is_published
        try:
            self.is_published = os.pwrite(self.file, record.encode(), 0) == RECORD.size
            reason = "cut off"
        except OSError as error:
            self.is_published, reason = False, str(error)
        if was_published and not self.is_published:
            self.log(f"slot in $TMPDIR: this process's record can't be written: {reason}")

    def pipe_path(self, slot: int) -> str:
        """Return the path of the named pipe on which the process of a slot receives calls."""
        return os.path.join(self.folder or "", f"cottonhold-{self.name}.pipe{slot}")

    def sent_requests_path(self, slot: int) -> str:
        """Return the path of the file in which the process of a slot lists the requests that it has sent."""
        return os.path.join(self.folder or "", f"cottonhold-{self.name}.sent{slot}")

    def others(self) -> list[ProcessRecord]:
        """Return the records of the other running processes."""
        return list(self.others_by_slot().values())

    def others_by_slot(self) -> dict[int, ProcessRecord]:
        """Return the records of the other running processes by their slots."""
        records = {}
        for slot in range(SLOTS if self.file != NO_FILE else 0):
            if slot == self.slot:
                continue
            try:
                file = self._open(slot, os.O_RDONLY)
            except OSError:
                continue
            try:
                if not try_lock(file, fcntl.LOCK_SH):
                    records[slot] = read_record(file) or ProcessRecord(0)
            finally:
                os.close(file)
        return records

    def is_newer_starting(self) -> bool:
        """Return whether a process that was started later does not serve yet."""
        start_number = self.record.start_number
        return any(other.start_number > start_number and not other.is_serving for other in self.others())


def read_record(file: int) -> ProcessRecord | None:
    """Read the record in an open file; return None if there is none or it can't be read."""
    try:
        return ProcessRecord.decode(os.pread(file, RECORD.size + 1, 0))
    except OSError:
        return None


def try_lock(file: int, operation: int) -> bool:
    """Try to lock an open file; the lock lasts until the file is closed. Return whether this succeeded.

    An error in locking is treated like a lock that another process holds.
    """
    try:
        fcntl.flock(file, operation | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
