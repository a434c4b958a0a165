"""Codec of the reports that dispatchers send one another about engines being replaced; does no I/O.

Field sizes are in bytes:

    kind 96 | member 8 | incarnation 4 | version 4 | rows 1 | rows, each: engine 4 | serial 4 | open 2 |
    flags 1

Reports are merged as described in latest_reports.py.
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
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF


class RowFlag(IntFlag):
    """Flags of a row."""

    ABSENT = 1  # the engine is not listed, or does not answer liveness checks


@dataclass(slots=True, frozen=True)
class DrainedEngineRow:
    """One dispatcher's report on one engine that it has drained.

    Attributes:
        serial: Serial number of the replacement request for which it was drained.
        open_requests: Number of the dispatcher's attempts that are open at the engine.
        is_absent: Whether the engine seems absent to the dispatcher.
    """

    serial: int
    open_requests: int
    is_absent: bool = False


@dataclass(slots=True, frozen=True)
class DrainReport:
    """One dispatcher's report on the engines that it has drained, with a row for each engine number."""

    member: int
    incarnation: int
    version: int
    rows: Mapping[int, DrainedEngineRow]

    @property
    def stamp(self) -> tuple[int, int]:
        """Incarnation and version; of two reports by a member the one with the higher stamp is newer."""
        return self.incarnation, self.version


def encode_report(report: DrainReport) -> bytes:
    """Encode a report with at most MAX_ROWS rows."""
    rows = list(report.rows.items())[:MAX_ROWS]
    head = HEAD_FORMAT.pack(DRAIN_REPORT, report.member, report.incarnation, report.version, len(rows))
    return head + b"".join(
        ROW_FORMAT.pack(
            number, r.serial, min(r.open_requests, MAX_UINT16), int(RowFlag.ABSENT) if r.is_absent else 0
        )
        for number, r in rows
    )


def decode_report(data: bytes) -> DrainReport:
    """Decode a report. Raises MessageError."""
    try:
        kind, member, incarnation, version, count = HEAD_FORMAT.unpack_from(data)
    except struct.error:
        raise MessageError("truncated drain report") from None
    if (
        kind != DRAIN_REPORT
        or not member
        or count > MAX_ROWS
        or len(data) != HEAD_FORMAT.size + count * ROW_FORMAT.size
    ):
        raise MessageError("malformed drain report")
    rows = {}
    for number, serial, open_requests, flags in ROW_FORMAT.iter_unpack(data[HEAD_FORMAT.size :]):
        if flags > int(RowFlag.ABSENT):
            raise MessageError("unknown flags in a drain report")
        rows[number] = DrainedEngineRow(serial, open_requests, bool(flags & RowFlag.ABSENT))
    return DrainReport(member, incarnation, version, rows)
