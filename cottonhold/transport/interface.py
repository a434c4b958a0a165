"""Interfaces between the state machines of protocols and the byte streams that carry them."""

from __future__ import annotations

from typing import Protocol


class StreamProtocol(Protocol):
    """The state machine of a protocol that runs on a byte stream."""

    is_closing: bool  # the stream is closed once the remaining output is written

    def receive(self, data: bytes) -> None:
        """Process bytes that have arrived."""

    def pop_output(self) -> bytes:
        """Remove and return the bytes to write now."""

    def on_closed(self) -> None:
        """Process the end of the stream; may be called more than once."""


class StreamHandle(Protocol):
    """The interface of a byte stream for the state machine of its protocol."""

    def flush(self) -> None:
        """Schedule a write of the protocol's output."""

    def write_now(self) -> None:
        """Write the protocol's output immediately, before anything else is written on any stream."""

    def read_available(self) -> bool:
        """Read what has already arrived; return whether the protocol received bytes."""

    def last_data_age_ms(self) -> float:
        """Return how long ago data last arrived at this machine, read or not, in ms; 0 if not known."""

    def is_open(self) -> bool:
        """Return whether the stream still has its socket."""

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed its side or the connection; unread data may precede the end."""

    def close_gracefully(self) -> None:
        """Write the remaining output, then close the stream."""

    def writing_bytes(self) -> int:
        """Return the size of the output that was taken from the protocol and is still held."""

    def write_age_ms(self) -> float:
        """Return for how long the current write has lasted, in ms; 0 without one."""

    def is_writing(self) -> bool:
        """Return whether output is still being written."""

    def abort(self) -> None:
        """Close immediately; the peer can see that before anything else is written on any stream."""
