"""What dispatchers report to one another of engines that are being replaced, and its wire format. Pure.

    kind 96 | member 8 | incarnation 4 | version 4 | rows 1 | rows, each: engine 4 | serial 4 | open 2 |
    flags 1

Reports merge as `latest_reports` says.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntFlag

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

DRAIN_REPORT = 96  # kind of message
HEAD_FORMAT = struct.Struct("!BQIIB")
ROW_FORMAT = struct.Struct("!IIHB")
MAX_ROWS = (MAX_MESSAGE_BYTES - HEAD_FORMAT.size) // ROW_FORMAT.size
U16 = 0xFFFF
U32 = 0xFFFFFFFF


class RowFlag(IntFlag):
    """What a row reports besides its count."""

    AWAY = 1  # the engine is not listed, or does not answer liveness checks


@dataclass(slots=True, frozen=True)
class DrainedEngineRow:
    """One dispatcher's report on one engine that it has drained."""

    serial: int
    open_requests: int
    is_absent: bool = False


@dataclass(slots=True, frozen=True)
class DrainReport:
    """All that one dispatcher reports of drained engines, by their numbers."""

    member: int
    incarnation: int
    version: int
    rows: Mapping[int, DrainedEngineRow]

    @property
    def stamp(self) -> tuple[int, int]:
        """By which of two reports of a member the newer one is known."""
        return self.incarnation, self.version


def encode_report(report: DrainReport) -> bytes:
    """Encode a report, with as many rows as fit."""
    rows = list(report.rows.items())[:MAX_ROWS]
    head = HEAD_FORMAT.pack(DRAIN_REPORT, report.member, report.incarnation, report.version, len(rows))
    return head + b"".join(
        ROW_FORMAT.pack(number, r.serial, min(r.open_requests, U16), int(RowFlag.AWAY) if r.is_absent else 0)
        for number, r in rows
    )


def decode_report(data: bytes) -> DrainReport:
    """Decode a report. Raises MessageError."""
    try:
        kind, member, incarnation, version, count = HEAD_FORMAT.unpack_from(data)
    except struct.error:
        raise MessageError("truncated") from None
    if (
        kind != DRAIN_REPORT
        or not member
        or count > MAX_ROWS
        or len(data) != HEAD_FORMAT.size + count * ROW_FORMAT.size
    ):
        raise MessageError("drains")
    rows = {}
    for number, serial, open_requests, flags in ROW_FORMAT.iter_unpack(data[HEAD_FORMAT.size :]):
        if flags > int(RowFlag.AWAY):
            raise MessageError("flags")
        rows[number] = DrainedEngineRow(serial, open_requests, bool(flags & RowFlag.AWAY))
    return DrainReport(member, incarnation, version, rows)
