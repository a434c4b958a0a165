"""Wire format of the demand reports between instances; does no I/O.

Fields and their sizes in bytes:

    kind 5 | report count 1 | reports, each:
        member 8 | incarnation 4 | version 4 | gain 1 | finished requests 1 | mean wait 1 | step count 1 |
        steps, each:
            step 1 | work 1

Demand reports are a separate kind of message, not a part of the zone reports, so that instances of older
versions can count them as malformed and ignore them. Reports are merged by `latest_reports`.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.threshold import ReportedDemand
from cottonhold.fleet.latest_reports import Stamp
from cottonhold.fleet.message_format import (
    MessageError,
    decode_list,
    encode_list,
)
from cottonhold.fleet.zone_failover.messages import DEMAND_REPORTS

HEADER = struct.Struct("!QIIBBBB")
GAIN_STEPS = 128.0  # encoded value of a gain of 1
WAIT_STEPS = 255.0  # encoded value of a mean wait of 1
MAX_BYTE = 255


@dataclass(slots=True, frozen=True)
class DemandReport:
    """One instance's report of its demand."""

    member: int
    incarnation: int
    version: int
    load: ReportedDemand

    @property
    def stamp(self) -> Stamp:
        """Incarnation and version; of two reports by a member the one with the higher stamp is newer."""
        return self.incarnation, self.version


def encode_demand_report(report: DemandReport) -> bytes:
    """Encode a report."""
    load, steps = report.load, demand.encode_rates(report.load.rates)
    header = HEADER.pack(
        report.member,
        report.incarnation,
        report.version,
        min(round(load.gain * GAIN_STEPS), MAX_BYTE),
        min(round(load.finished_requests), MAX_BYTE),
        min(round(load.mean_wait * WAIT_STEPS), MAX_BYTE),
        len(steps) // 2,
    )
    return header + steps


def encode_demand_reports(reports: Iterable[DemandReport]) -> bytes:
    """Encode a message with as many reports as fit, in the given order."""
    return encode_list(DEMAND_REPORTS, map(encode_demand_report, reports))


def decode_demand_reports(data: bytes) -> list[DemandReport]:
    """Decode the reports of a message. Raises MessageError if any of them is malformed."""
    return decode_list(data, DEMAND_REPORTS, "demand reports", _decode_report)


def _decode_report(data: bytes, offset: int) -> tuple[DemandReport, int]:
    """Decode the report that begins at an offset, and return it with the offset of its end."""
    member, incarnation, version, gain, finished, wait, steps = HEADER.unpack_from(data, offset)
    begin = offset + HEADER.size
    end = begin + 2 * steps
    rates = demand.decode_rates(data[begin:end])
    if not member or rates is None or len(data) < end:
        raise MessageError("malformed or truncated demand report")
    load = ReportedDemand(rates, gain / GAIN_STEPS, float(finished), wait / WAIT_STEPS)
    return DemandReport(member, incarnation, version, load), end
