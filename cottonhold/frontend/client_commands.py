"""Received packets of a client as commands, and the limits of what a client may send at once. Free of I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from cottonhold.frontend.mysql_packets import (
    HEADER_BYTES,
    PACKET_TOO_LARGE,
    PACKETS_OUT_OF_ORDER,
    ProtocolError,
)

MAX_PACKET_BYTES = 64 * 1024  # limit of a client's packet, since many clients share the memory
MAX_QUEUED_COMMANDS = 16  # limit per connection; clients usually send one at a time
MAX_QUEUED_BYTES = 2 * MAX_PACKET_BYTES


class Command(NamedTuple):
    """A received packet that has not been executed yet."""

    sequence: int
    payload: bytes
    arrived_at: float  # when its last byte arrived at this machine, in ms of the clock


def take_command(buffer: bytearray, queued: deque[Command], arrived_at: float) -> Command | None:
    """Remove the first packet of a buffer and return it as a command; None if it is incomplete.

    Args:
        buffer: The received bytes.
        queued: The earlier commands of this client that wait to be executed.
        arrived_at: When the last byte of the buffer arrived, in ms of the clock.

    Raises:
        ProtocolError: The packet is too large, or too many commands are queued.
    """
    if len(buffer) < HEADER_BYTES:
        return None
    size = int.from_bytes(buffer[:3], "little")
    if size > MAX_PACKET_BYTES:
        text = f"a packet of {size} bytes; at most {MAX_PACKET_BYTES} are taken"
        raise ProtocolError(PACKET_TOO_LARGE, text)
    queued_bytes = size + sum(len(command.payload) for command in queued)
    if len(queued) > MAX_QUEUED_COMMANDS or queued and queued_bytes > MAX_QUEUED_BYTES:
        raise ProtocolError(PACKETS_OUT_OF_ORDER, "commands are taken one at a time")
    end = HEADER_BYTES + size
    if len(buffer) < end:
        return None
    command = Command(buffer[3], bytes(buffer[HEADER_BYTES:end]), arrived_at)
    del buffer[:end]
    return command
