"""What instances report to one another on zones, and its wire format. Pure.

    kind 1 | count 1 | reports, each: member 8 | incarnation 4 | version 4 | offered load 2 |
    overrides digest 4 | zones 1 | zones, each: zone 2 | vote 1 | good 1 | late 1 | bad 1 | traffic share 1

The report of each member merges as `latest_reports` says.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.latest_reports import Stamp
from cottonhold.fleet.message_format import (
    LIST_HEADER_BYTES,
    MessageError,
    decode_list,
)

# Kinds of message.
ZONE_REPORTS = 1
QUOTA_REQUEST = 2
QUOTA_GRANT = 3
OVERRIDES = 4
DEMAND_REPORTS = 5

REPORT_HEADER = struct.Struct("!QIIHIB")
ZONE_ENTRY = struct.Struct("!HBBBBB")
MAX_ZONES = 16  # of one report
MAX_REPORTS = 255  # of one message
MAX_COUNT = 255  # of attempts as they are encoded
MAX_CENTICORES = 0xFFFF
SHARE_STEPS = 255  # of a traffic share of one

# Bits of the field `vote`.
EVACUATE_BIT = 1
CERTAIN_BIT = 2
SUSPECTS_BIT = 4
ALL_BITS = EVACUATE_BIT | CERTAIN_BIT | SUSPECTS_BIT


class Vote(IntEnum):
    """What an instance votes for with a zone."""

    KEEP = 0
    EVACUATE = 1


@dataclass(slots=True, frozen=True)
class ZoneReport:
    """One instance's report on one zone.

    good, late, bad: its recent attempts there, by result. traffic_share: part of its full load, 0 to 1, that
    the zone should get. is_certain: the vote rests on own evidence, and not on that of others.
    suspects_failure: own evidence shows a failure, too little to be certain.
    """

    vote: Vote = Vote.KEEP
    good: int = 0
    late: int = 0
    bad: int = 0
    traffic_share: float = 1.0
    is_certain: bool = False
    suspects_failure: bool = False


@dataclass(slots=True, frozen=True)
class MemberReport:
    """One instance's report. offered_centicores: work offered to it, in hundredths of a core.
    overrides_digest: equal where the same operator overrides are known. zones: by `zone_number`."""

    member: int
    incarnation: int
    version: int
    offered_centicores: int
    overrides_digest: int
    zones: dict[int, ZoneReport]

    @property
    def stamp(self) -> Stamp:
        """Incarnation and version: of two reports of a member the higher one is newer."""
        return self.incarnation, self.version


def zone_number(name: str) -> int:
    """A zone's number on the wire, the same at every instance."""
    return zlib.crc32(name.encode()) & 0xFFFF


def encode_zone_report(report: MemberReport) -> bytes:
    """A report's bytes."""
    header = REPORT_HEADER.pack(
        report.member,
        report.incarnation,
        report.version,
        min(report.offered_centicores, MAX_CENTICORES),
        report.overrides_digest,
        len(report.zones),
    )
    return header + b"".join(_encode_zone(number, zone) for number, zone in sorted(report.zones.items()))


def _encode_zone(number: int, zone: ZoneReport) -> bytes:
    bits = zone.vote * EVACUATE_BIT | zone.is_certain * CERTAIN_BIT | zone.suspects_failure * SUSPECTS_BIT
    counts = (min(count, MAX_COUNT) for count in (zone.good, zone.late, zone.bad))
    return ZONE_ENTRY.pack(number, bits, *counts, round(zone.traffic_share * SHARE_STEPS))


def encode_zone_reports(reports: Iterable[MemberReport], max_bytes: int) -> bytes:
    """A message with as many of these reports as fit, first ones first."""
    parts, remaining = list[bytes](), max_bytes - LIST_HEADER_BYTES
    for report in reports:
        size = REPORT_HEADER.size + len(report.zones) * ZONE_ENTRY.size
        if size <= remaining and len(parts) < MAX_REPORTS:
            parts.append(encode_zone_report(report))
            remaining -= size
        elif remaining < REPORT_HEADER.size + ZONE_ENTRY.size:
            break
    return bytes((ZONE_REPORTS, len(parts))) + b"".join(parts)


def decode_zone_reports(data: bytes) -> list[MemberReport]:
    """The reports of a message. Raises MessageError; then none of them is applied."""
    return decode_list(data, ZONE_REPORTS, "zone reports", _decode_report)


def _decode_report(data: bytes, offset: int) -> tuple[MemberReport, int]:
    """The report that begins at an offset, and where it ends."""
    member, incarnation, version, centicores, digest, count = REPORT_HEADER.unpack_from(data, offset)
    offset += REPORT_HEADER.size
    if not member or count > MAX_ZONES:
        raise MessageError("member or zones")
    zones = {}
    for _ in range(count):
        number, bits, good, late, bad, share = ZONE_ENTRY.unpack_from(data, offset)
        offset += ZONE_ENTRY.size
        if bits > ALL_BITS:
            raise MessageError("vote")
        zones[number] = ZoneReport(
            Vote(bits & EVACUATE_BIT),
            good,
            late,
            bad,
            share / SHARE_STEPS,
            bool(bits & CERTAIN_BIT),
            bool(bits & SUSPECTS_BIT),
        )
    return MemberReport(member, incarnation, version, centicores, digest, zones), offset
