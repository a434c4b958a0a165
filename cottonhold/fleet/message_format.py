"""Size limit, error and list format of the messages between instances of the fleet; does no I/O.

Format of a list of reports, with the size of each field in bytes:

    kind 1 | report count 1 | reports
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import TypeVar

MAX_MESSAGE_BYTES = 200  # a datagram of 256 bytes minus the header and the MAC of the membership protocol
MAX_UINT32 = 0xFFFFFFFF  # highest incarnation and version, which are sent as 32-bit numbers
LIST_HEADER_BYTES = 2

ReportT = TypeVar("ReportT")


class MessageError(Exception):
    """A message from another instance is malformed. No part of such a message is applied."""


def encode_list(kind: int, reports: Iterable[bytes]) -> bytes:
    """Return a message with as many of these encoded reports as fit, in the given order."""
    parts, remaining = list[bytes](), MAX_MESSAGE_BYTES - LIST_HEADER_BYTES
    for report in reports:
        if len(report) > remaining:
            break
        parts.append(report)
        remaining -= len(report)
    return bytes((kind, len(parts))) + b"".join(parts)


def decode_list(
    data: bytes, kind: int, kind_name: str, decode_report: Callable[[bytes, int], tuple[ReportT, int]]
) -> list[ReportT]:
    """Decode the reports of a message.

    Args:
        data: The message.
        kind: Expected kind of the message.
        kind_name: Name of the kind for error messages.
        decode_report: Decodes the report that begins at an offset of the message, and returns it with the
            offset of its end. It may raise struct.error if the message ends too early.

    Raises:
        MessageError: The message is of another kind, or a report is malformed.
    """
    if len(data) < LIST_HEADER_BYTES or data[0] != kind:
        raise MessageError(f"not a message of {kind_name}")
    reports, offset = [], LIST_HEADER_BYTES
    try:
        for _ in range(data[1]):
            report, offset = decode_report(data, offset)
            reports.append(report)
    except struct.error:
        raise MessageError("truncated list of reports") from None
    if offset != len(data):
        raise MessageError("bytes after the last report")
    return reports
