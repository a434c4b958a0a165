"""Which processes stand for one dispatcher: seats in $TMPDIR, each a file that its process holds locked.

In an upgrade a second process serves beside the first, at the same address. The kernel frees a lock with its
process, however that ends, so a stale file is a free seat. The record in it tells what the process holds.
"""

from __future__ import annotations

import fcntl
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass

SLOTS = 4
RECORD = struct.Struct(">4sIII?")
MAGIC = b"CHS1"
START_BITS, COUNT_BITS = 10, 20  # of a connection's id, with two bits for the seat between them
PID_MAX = "/proc/sys/kernel/pid_max"


@dataclass(slots=True, frozen=True)
class ProcessRecord:
    """What a process tells of itself."""

    start_number: int  # numbers the starts under one $TMPDIR
    client_connections: int = 0  # descriptors that it holds for clients
    engine_connections: int = 0  # and for engines
    is_serving: bool = False

    def encode(self) -> bytes:
        """As it stands in the file."""
        return RECORD.pack(
            MAGIC, self.start_number, self.client_connections, self.engine_connections, self.is_serving
        )

    @classmethod
    def decode(cls, data: bytes) -> ProcessRecord | None:
        """From a file's bytes; None where they are none of ours, or cut off."""
        if len(data) != RECORD.size or not data.startswith(MAGIC):
            return None
        return cls(*RECORD.unpack(data)[1:])


@dataclass(slots=True, frozen=True)
class ConnectionIdRange:
    """The ids that a process gives to its clients' connections: from base + 1 to base + span."""

    base: int = 0
    count: int = 0xFFFFFFFF

    @classmethod
    def for_slot(cls, start: int, seat: int) -> ConnectionIdRange:
        """Danger: KILL QUERY may come to the other process. An id that both give would hit another client's
        query there. Two living processes hold two seats; a later start on the same seat has another number.
        """
        high = (start % (1 << START_BITS)) * SLOTS + seat
        return cls(high << COUNT_BITS, (1 << COUNT_BITS) - 1)

    @classmethod
    def for_process(cls, pid: int, most_pids: int) -> ConnectionIdRange:
        """Without a seat: two living processes differ in their process ids."""
        bits = 32 - (most_pids - 1).bit_length()
        return cls(pid << bits, (1 << bits) - 1)


class SiblingProcesses:
    """This process's seat and its view of the others. Without a folder that can be written there is none."""

    def __init__(self, folder: str | None, name: str, say: Callable[[str], None]) -> None:
        self.folder, self.name, self.say = folder, name, say
        self.slot, self.file, self.record = -1, -1, ProcessRecord(0)
        self.is_published = True  # the record stands in the file
        if folder is not None:
            try:
                self._take()
            except OSError as error:
                say(f"no seat in $TMPDIR: another process beside this one will not be seen: {error}")

    def _path(self, number: int) -> str:
        return os.path.join(self.folder or "", f"cottonhold-{self.name}.seat{number}")

    def _open(self, number: int, flags: int) -> int:
        return os.open(self._path(number), flags | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)

    def _take(self) -> None:
        last, why = 0, OSError(f"all {SLOTS} seats are held")
        for number in range(SLOTS):
            try:
                file = self._open(number, os.O_RDWR | os.O_CREAT)
            except OSError as error:
                why = error
                continue
            record = read_record(file)
            last = max(last, record.start_number if record else 0)
            if self.file < 0 and try_lock(file, fcntl.LOCK_EX):
                self.slot, self.file = number, file
            else:
                os.close(file)
        if self.file < 0:
            raise why
        self.publish(ProcessRecord((last + 1) & 0xFFFFFFFF))

    def connection_ids(self) -> ConnectionIdRange:
        """The ids of this process's connections."""
        if self.file >= 0:
            return ConnectionIdRange.for_slot(self.record.start_number, self.slot)
        try:
            with open(PID_MAX) as most:
                return ConnectionIdRange.for_process(os.getpid(), int(most.read()))
        except (OSError, ValueError):
            return ConnectionIdRange.for_process(os.getpid(), 1 << 22)  # the most that the kernel gives

    def publish(self, record: ProcessRecord) -> None:
        """Write what this process holds now; what could not be written is tried again with the next call.

        Danger: a full or broken disk ended the program at its start, or later the timer that looks beside.
        """
        if self.file < 0 or record == self.record and self.is_published:
            return
        self.record, was_written = record, self.is_published
        try:
            self.is_published = os.pwrite(self.file, record.encode(), 0) == RECORD.size
            why = "cut off"
        except OSError as error:
            self.is_published, why = False, str(error)
        if was_written and not self.is_published:
            self.say(f"seat in $TMPDIR: what this process holds can't be told to others: {why}")

    def others(self) -> list[ProcessRecord]:
        """What the other living processes tell of themselves."""
        found = []
        for number in range(SLOTS if self.file >= 0 else 0):
            if number == self.slot:
                continue
            try:
                file = self._open(number, os.O_RDONLY)
            except OSError:
                continue
            try:
                if not try_lock(file, fcntl.LOCK_SH):
                    found.append(read_record(file) or ProcessRecord(0))
            finally:
                os.close(file)
        return found

    def is_newer_starting(self) -> bool:
        """Whether a process that was started later does not serve yet."""
        return any(
            other.start_number > self.record.start_number and not other.is_serving for other in self.others()
        )


def read_record(file: int) -> ProcessRecord | None:
    """The record in an open file; None where there is none, or it can't be read."""
    try:
        return ProcessRecord.decode(os.pread(file, RECORD.size + 1, 0))
    except OSError:
        return None


def try_lock(file: int, how: int) -> bool:
    """Whether the lock on an open file could be had; it is held until the file is closed.

    Where locks fail altogether, somebody else may well have it.
    """
    try:
        fcntl.flock(file, how | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
