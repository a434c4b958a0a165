"""What the system knows of a TCP socket (TCP_INFO): its state, its last data's age, a listener's queue."""

from __future__ import annotations

import socket
import struct

# Offsets in `struct tcp_info`: 8 single-byte fields, then 32-bit numbers.
UNACKED_OFFSET = 24  # of a listening socket: connections that wait to be accepted
LAST_DATA_RECEIVED_OFFSET = 52  # ms since data last arrived, or since the connection was established
INFO_BYTES = 56
FIELD = struct.Struct("=I")
STATE_OFFSET, STATE_BYTES = 0, 1
ESTABLISHED, NO_STATE = 1, 0
MAX_AGE_MS = 60_000.0  # a greater age is no age: nothing is known of data that arrived so long ago


def _read_field(sock: socket.socket, offset: int) -> int | None:
    """Return a field; None if the system doesn't provide it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        return None
    if len(info) < INFO_BYTES:
        return None
    value: int = FIELD.unpack_from(info, offset)[0]
    return value


def has_peer_closed(sock: socket.socket) -> bool | None:
    """Return whether the peer has closed or reset the connection, though unread data may precede the end.

    None if the system doesn't tell it.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, STATE_BYTES)
    except OSError:
        return None
    if len(info) < STATE_BYTES or info[STATE_OFFSET] == NO_STATE:
        return None
    return info[STATE_OFFSET] != ESTABLISHED


def last_data_age_ms(sock: socket.socket) -> float:
    """Return how long ago data last arrived at this machine, read or not, in ms; 0 if that is not known."""
    age_ms = _read_field(sock, LAST_DATA_RECEIVED_OFFSET)
    return float(age_ms) if age_ms is not None and age_ms <= MAX_AGE_MS else 0.0


def queued_connections(listener: socket.socket) -> int:
    """Return how many connections wait in a listening socket's queue; 0 if that is not known."""
    return _read_field(listener, UNACKED_OFFSET) or 0
