"""Splits a client's bytes into commands, within the client's share of the memory. Free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from cottonhold.frontend.mysql_packets import (
    HEADER_BYTES,
    PACKET_TOO_LARGE,
    PACKETS_OUT_OF_ORDER,
    ProtocolError,
)
from cottonhold.scheduler.byte_pool import BytePool, Reservation

MAX_PACKET_BYTES = 64 * 1024  # limit of a client's packet, since many clients share the memory
MAX_QUEUED_COMMANDS = 16  # limit per connection; clients usually send one at a time
MAX_QUEUED_BYTES = 2 * MAX_PACKET_BYTES
COMMAND_BYTES = 192  # memory of a queued command beside its payload


class Command(NamedTuple):
    """A received packet that has not been executed yet."""

    sequence: int
    payload: bytes
    arrived_at: float  # when its last byte arrived at this machine, in ms of the clock


class DiscardedCommand(NamedTuple):
    """A received packet for which there was no memory; only its first byte is kept."""

    sequence: int
    payload: bytes
    arrived_at: float


QueuedCommand = Command | DiscardedCommand


@dataclass(slots=True)
class DiscardedPacket:
    """A packet that has arrived in part, for which there is no memory; its bytes are counted and dropped."""

    sequence: int
    first_byte: bytes
    missing_bytes: int


class CommandReader:
    """Splits the bytes of one client into commands, and accounts for the memory that they take.

    A packet that exceeds the client's share of the memory is discarded as it arrives, and is then rejected
    in its turn: it takes no memory, and its client gets an answer that it can read.

    Args:
        pool: The memory that all clients share.
        reclaim: Takes back memory of clients that have stalled; called before something is discarded.
    """

    def __init__(self, pool: BytePool, reclaim: Callable[[], None] = lambda: None) -> None:
        self.reclaim = reclaim
        self.buffer = bytearray()
        self.commands: deque[QueuedCommand] = deque()
        self.discarded: DiscardedPacket | None = None
        self.reservation = Reservation(pool)
        self.statement_bytes = 0  # size of the statement of the open request

    def has_partial(self) -> bool:
        """Return whether part of a packet has arrived."""
        return bool(self.buffer) or self.discarded is not None

    def held_bytes(self) -> int:
        """Return the memory that is held for the client, in bytes.

        Discarded commands don't count: they are few and small, and part of what a session takes in any case.
        """
        commands = (command for command in self.commands if isinstance(command, Command))
        queued = sum(len(command.payload) + COMMAND_BYTES for command in commands)
        return len(self.buffer) + queued + self.statement_bytes

    def feed(self, data: bytes, arrived_at: float) -> bool:
        """Add received bytes; return whether a packet was completed.

        Args:
            data: The bytes.
            arrived_at: When the last of them arrived, in ms of the clock.

        Raises:
            ProtocolError: A packet is too large, or too many commands are queued.
        """
        is_complete = self.discarded is not None and self._feed_discarded(data, arrived_at)
        if self.discarded is not None:
            return False
        if not is_complete:
            self.buffer += data
        while (command := self._take_command(arrived_at)) is not None:
            self.commands.append(command)
            is_complete = True
        self._reserve()
        return is_complete

    def _feed_discarded(self, data: bytes, arrived_at: float) -> bool:
        """Count bytes of a discarded packet; at its end, queue it, and keep what follows it."""
        packet = self.discarded
        assert packet is not None
        if len(data) < packet.missing_bytes:
            packet.missing_bytes -= len(data)
            return False
        self.commands.append(DiscardedCommand(packet.sequence, packet.first_byte, arrived_at))
        self.discarded = None
        self.buffer += data[packet.missing_bytes :]
        return True

    def _take_command(self, arrived_at: float) -> Command | None:
        """Remove the first packet of the buffer and return it; None if it is incomplete."""
        buffer, queued = self.buffer, self.commands
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

    def _reserve(self) -> None:
        """Account for what is held; discard what exceeds the share, the largest commands first."""
        if self.reservation.resize(self.held_bytes()):
            return
        self.reclaim()
        if self.reservation.resize(self.held_bytes()):
            return
        self.discard_partial()
        commands = list(self.commands)
        positions = sorted(range(len(commands)), key=lambda at: (len(commands[at].payload), at), reverse=True)
        for position in positions:
            if self.reservation.resize(self.held_bytes()):
                return
            command = commands[position]
            self.commands[position] = DiscardedCommand(
                command.sequence, command.payload[:1], command.arrived_at
            )
        self.account()

    def discard_partial(self) -> int:
        """Discard the packet that has arrived in part, if its size is known; return the released bytes."""
        released = len(self.buffer)
        if self.discarded is not None or released <= HEADER_BYTES:
            return 0
        missing = HEADER_BYTES + int.from_bytes(self.buffer[:3], "little") - released
        first_byte = bytes(self.buffer[HEADER_BYTES : HEADER_BYTES + 1])
        self.discarded = DiscardedPacket(self.buffer[3], first_byte, missing)
        self.buffer = bytearray()  # releases the memory, which clear() would keep
        self.reservation.resize(self.held_bytes())
        return released

    def account(self) -> None:
        """Account for what is held after some of it was released."""
        self.reservation.set(self.held_bytes())

    def pop(self) -> QueuedCommand:
        """Remove and return the first queued command."""
        return self.commands.popleft()

    def hold_statement(self, size: int) -> None:
        """Account for the statement of a request while it is open; 0 once it has ended."""
        self.statement_bytes = size
        self.account()

    def clear(self) -> None:
        """Discard everything: the connection ends."""
        self.commands.clear()
        self.buffer = bytearray()
        self.statement_bytes = 0
        self.reservation.release()

    def partial_sequence(self) -> int | None:
        """Return the sequence number of the packet that has arrived in part; None if it is not known."""
        if self.discarded is not None:
            return self.discarded.sequence
        return self.buffer[3] if len(self.buffer) >= HEADER_BYTES else None
