"""Named pipes (FIFOs), over which processes of one machine send each other short messages.

A write of up to `select.PIPE_BUF` bytes is atomic, so messages of several writers never mix.
"""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Callable

from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext

READ_BYTES = 4096
FILE_MODE = 0o600
# Nobody has the pipe open for reading, or it does not exist.
NO_READER_ERRORS = frozenset({errno.ENXIO, errno.ENOENT, errno.EPIPE})


class NoReaderError(Exception):
    """No process reads from the pipe."""


class NamedPipe:
    """The receiving end of a pipe that this process creates and owns.

    Args:
        context: The event loop.
        path: The pipe's path; what an earlier process left there is replaced.
        on_data: Receives what was read; a message may be split between two calls only if its size does not
            divide READ_BYTES.
    """

    def __init__(self, context: IoContext, path: str, on_data: Callable[[bytes], None]) -> None:
        self.context, self.path, self.on_data = context, path, on_data
        self.file: int | None = None

    def open(self) -> None:
        """Create the pipe and start to read; does nothing if it is open. Raises OSError."""
        if self.file is not None:
            return
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path)
        os.mkfifo(self.path, FILE_MODE)
        # Opened for writing too: else each writer's close would end the stream for this reader.
        self.file = os.open(self.path, os.O_RDWR | os.O_NONBLOCK | os.O_CLOEXEC)
        self._start()

    def _start(self) -> None:
        if self.file is not None:
            self.context.loop.add_reader(self.file, self._on_readable)

    def _on_readable(self) -> None:
        assert self.file is not None
        try:
            data = os.read(self.file, READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            # Retrying immediately would be a busy loop.
            self.context.loop.remove_reader(self.file)
            self.context.loop.call_later(RESOURCE_RETRY_S, self._start)
            return
        self.on_data(data)

    def close(self) -> None:
        """Stop reading and remove the pipe."""
        if self.file is None:
            return
        self.context.loop.remove_reader(self.file)
        os.close(self.file)
        self.file = None
        with contextlib.suppress(OSError):
            os.unlink(self.path)


def write_to_pipe(path: str, data: bytes) -> None:
    """Write at most `select.PIPE_BUF` bytes to a pipe without waiting.

    Raises:
        NoReaderError: No process reads from the pipe.
        OSError: The pipe is full, or this machine lacks a resource; a later call may succeed.
    """
    try:
        file = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOFOLLOW)
        try:
            os.write(file, data)
        finally:
            os.close(file)
    except OSError as error:
        if error.errno in NO_READER_ERRORS:
            raise NoReaderError(path) from error
        raise


def has_reader(path: str) -> bool:
    """Return whether a process reads from the pipe; an error in finding out counts as yes."""
    try:
        write_to_pipe(path, b"")
    except NoReaderError:
        return False
    except OSError:
        return True
    return True
