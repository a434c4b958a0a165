"""What all messages between instances of the fleet have in common: size limit, error, lists of reports. Pure.

A list of reports is

    kind 1 | count 1 | reports
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import TypeVar

MAX_MESSAGE_BYTES = 200  # a datagram of 256 bytes less membership's header and MAC
MAX_UINT32 = 0xFFFFFFFF  # the highest incarnation and version that fit their fields
LIST_HEADER_BYTES = 2

ReportT = TypeVar("ReportT")


class MessageError(Exception):
    """A message from another instance is malformed; nothing of it is applied."""


def encode_list(kind: int, reports: Iterable[bytes]) -> bytes:
    """A message with as many of these encoded reports as fit, first ones first."""
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
    """The reports of a message. Raises MessageError; then none of them is applied.

    kind_name: for the error's text. decode_report: the report that begins at an offset, and where it ends; it
    may raise struct.error where the message ends too early.
    """
    if len(data) < LIST_HEADER_BYTES or data[0] != kind:
        raise MessageError(f"no {kind_name}")
    reports, offset = [], LIST_HEADER_BYTES
    try:
        for _ in range(data[1]):
            report, offset = decode_report(data, offset)
            reports.append(report)
    except struct.error:
        raise MessageError("truncated") from None
    if offset != len(data):
        raise MessageError("too long")
    return reports
