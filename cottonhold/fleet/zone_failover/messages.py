"""Reports on zones that instances exchange, and their wire format; does no I/O.

Fields and their sizes in bytes:

    kind 1 | report count 1 | reports, each:
        member 8 | incarnation 4 | version 4 | offered load 2 | overrides digest 4 | zone count 1 |
        zones, each:
            zone 2 | vote 1 | good 1 | late 1 | bad 1 | traffic share 1

Reports are merged by `latest_reports`.
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
MAX_ZONES = 16  # maximum number of zones in a report
MAX_REPORTS = 255  # maximum number of reports in a message
MAX_COUNT = 255  # largest number of attempts that can be encoded; higher numbers are sent as this one
MAX_CENTICORES = 0xFFFF  # largest offered load that can be encoded, in hundredths of a core
SHARE_STEPS = 255  # encoded value of a traffic share of 1

# Bits of the field `vote`.
EVACUATE_BIT = 1
CERTAIN_BIT = 2
SUSPECTS_BIT = 4
ALL_BITS = EVACUATE_BIT | CERTAIN_BIT | SUSPECTS_BIT


class Vote(IntEnum):
    """An instance's vote on a zone."""

    SERVE = 0
    EVACUATE = 1


@dataclass(slots=True, frozen=True)
class ZoneReport:
    """One instance's report on one zone.

    Attributes:
        vote: Vote on whether the zone is evacuated.
        good: Number of recent good attempts of the instance in the zone.
        late: Number of recent late attempts.
        bad: Number of recent attempts that failed or were slow.
        traffic_share: Share of its full load, 0 to 1, that the zone should get.
        is_certain: Whether a vote for evacuation is based on the instance's own evidence, a failed return or
            an operator's override, and not on the votes of others.
        suspects_failure: Whether the instance's own evidence suggests a failure without being sufficient
            for a vote.
    """

    vote: Vote = Vote.SERVE
    good: int = 0
    late: int = 0
    bad: int = 0
    traffic_share: float = 1.0
    is_certain: bool = False
    suspects_failure: bool = False


@dataclass(slots=True, frozen=True)
class MemberReport:
    """One instance's report on all zones.

    Attributes:
        member: Id of the instance that reports.
        incarnation: Number of the instance's process; grows with each start.
        version: Number of the report within the incarnation.
        offered_centicores: Work that clients offer to the instance, in hundredths of a core.
        overrides_digest: Hash of the operator overrides that the instance has received.
        zones: Reports on each zone by `zone_number`.
    """

    member: int
    incarnation: int
    version: int
    offered_centicores: int
    overrides_digest: int
    zones: dict[int, ZoneReport]

    @property
    def stamp(self) -> Stamp:
        """Incarnation and version; of two reports by a member the one with the higher stamp is newer."""
        return self.incarnation, self.version


def zone_number(name: str) -> int:
    """Return a zone's number in messages, which is the same at every instance."""
    return zlib.crc32(name.encode()) & 0xFFFF


def encode_zone_report(report: MemberReport) -> bytes:
    """Encode a report."""
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
    """Encode a message of at most max_bytes with as many reports as fit, in the given order."""
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
    """Decode the reports of a message. Raises MessageError if any of them is malformed."""
    return decode_list(data, ZONE_REPORTS, "zone reports", _decode_report)


def _decode_report(data: bytes, offset: int) -> tuple[MemberReport, int]:
    """Decode the report that begins at an offset, and return it with the offset of its end."""
    member, incarnation, version, centicores, digest, count = REPORT_HEADER.unpack_from(data, offset)
    offset += REPORT_HEADER.size
    if not member or count > MAX_ZONES:
        raise MessageError("zone report without a member or with too many zones")
    zones = {}
    for _ in range(count):
        number, bits, good, late, bad, share = ZONE_ENTRY.unpack_from(data, offset)
        offset += ZONE_ENTRY.size
        if bits > ALL_BITS:
            raise MessageError("unknown bits in the vote of a zone report")
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
