"""Encodes the responses to one client as packets, and accounts for those that it has not read."""

from __future__ import annotations

import itertools

from cottonhold.frontend.mysql_packets import (
    EOF,
    RESULT_HEAD,
    ErrorCode,
    ResultRows,
    encode_error,
    encode_packet,
    encode_rows,
)
from cottonhold.scheduler.byte_pool import BytePool, Reservation

ROWS_AT_ONCE = 256  # rows that are encoded together, which limits the memory used meanwhile


class ResponseWriter:
    """The output of one session.

    Args:
        pool: The memory that results of all clients share.

    Attributes:
        output: The bytes to write.
        sequence: Sequence number of the next packet.
    """

    def __init__(self, pool: BytePool) -> None:
        self.output = bytearray()
        self.sequence = 0
        self.reservation = Reservation(pool)

    def follow(self, sequence: int) -> None:
        """Let the next packet follow a client's packet with this sequence number."""
        self.sequence = (sequence + 1) & 0xFF

    def send(self, payload: bytes) -> None:
        """Append a packet."""
        self.output += encode_packet(payload, self.sequence)
        self.sequence = (self.sequence + 1) & 0xFF

    def send_error(self, code: ErrorCode, text: str) -> None:
        """Append an error packet."""
        self.send(encode_error(code, text))

    def send_result(self, rows: ResultRows) -> None:
        """Append a result set."""
        for payload in RESULT_HEAD:
            self.send(payload)
        remaining = iter(rows)
        while chunk := list(itertools.islice(remaining, ROWS_AT_ONCE)):
            self.output += b"".join(encode_rows(chunk, self.sequence))
            self.sequence = (self.sequence + len(chunk)) & 0xFF
        self.send(EOF)

    def take(self) -> bytes:
        """Remove and return the bytes to write."""
        data = bytes(self.output)
        self.output.clear()
        return data

    def account(self, writing_bytes: int) -> None:
        """Account for what the client has not read, of which `writing_bytes` are being written."""
        self.reservation.set(len(self.output) + writing_bytes)
