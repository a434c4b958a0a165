"""What protocol state machines and the sockets that carry them expect of each other."""

from __future__ import annotations

from typing import Protocol


class StreamProtocol(Protocol):
    """A protocol's state machine behind a byte stream."""

    is_closing: bool  # what is left to write ends the stream

    def receive(self, data: bytes) -> None:
        """Bytes have arrived."""

    def pop_output(self) -> bytes:
        """Take what is to be written now."""

    def on_closed(self) -> None:
        """The stream has ended."""


class StreamHandle(Protocol):
    """A byte stream as its protocol's state machine uses it."""

    def flush(self) -> None:
        """There is something to write."""

    def write_now(self) -> None:
        """There is something to write before anything else is, on any stream."""

    def read_available(self) -> bool:
        """Read what has arrived already; whether there were bytes."""

    def close_gracefully(self) -> None:
        """Write what is left, then end the stream."""

    def is_writing(self) -> bool:
        """Whether something is being written."""

    def abort(self) -> None:
        """Close at once: the peer can see it before anything else is written on any stream."""
