"""One instance's report on its site: its clients' demand, the distance of zones, and their warm data;
does no I/O.

    kind 49 | count 1 | reports, each: member 8 | incarnation 4 | version 4 | home zone 2 | mean work 1 |
    excess cores 1 | steps 1 | data sets 1 | zones 1 | steps, each: step 1 | work 1 | data sets, each:
    number 2 | share 1 | zones, each: zone 2 | round trip 1 | served share 1 | warm filter 12

Numbers after the names are sizes in bytes, except the kind. Reports are merged as described in
`latest_reports`. A data set is identified by a 16-bit hash of its name. The data sets that a zone has warm
are sent as a Bloom filter of 96 bits: with a dozen sets in it, one in twenty others is wrongly reported as
warm.
"""

from __future__ import annotations

import functools
import math
import struct
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand
from cottonhold.fleet.latest_reports import Stamp
from cottonhold.fleet.message_format import (
    MessageError,
    decode_list,
    encode_list,
)

SITE_REPORTS = 49  # the kind of message; 48 was an earlier format
HEADER = struct.Struct("!QIIHBBBBB")
ZONE_ENTRY = struct.Struct("!HBB12s")
DATA_SET_ENTRY = struct.Struct("!HB")
FILTER_BITS = 96
SECOND_HASH_FACTOR = 31  # spreads the rest of a number's bits over the filter
MAX_DATA_SETS = 8  # maximum number of data sets in a report, which has the most used ones
MAX_ZONES = 8  # maximum number of zones in a report, which has the nearest ones
MAX_BYTE = 255
SHARE_STEPS = 255.0  # encoded value of a share of one
# A byte b encodes the time MIN_CODED_MS * CODE_GROWTH ** (b - 1), up to 24 s; the byte 0 encodes 0 ms.
MIN_CODED_MS, CODE_GROWTH = 0.1, 1.05
UNKNOWN_CORES = -1.0


@dataclass(slots=True, frozen=True)
class ZoneObservation:
    """One instance's observation of a zone.

    Attributes:
        round_trip_ms: Round trip to the zone.
        served_share: Part of this instance's served work, from 0 to 1.
        warm_filter: Bloom filter of the data sets of which the zone recently answered queries.
    """

    round_trip_ms: float = 0.0
    served_share: float = 0.0
    warm_filter: int = 0


@dataclass(slots=True, frozen=True)
class SiteReport:
    """One instance's report on its site.

    Attributes:
        member, incarnation, version: The sender, and the stamp of the report.
        home_zone: Number of the zone of the instance's clients.
        mean_work_ms: Mean work of their requests.
        rates: Offered work by density step, in cores.
        data_set_shares: Parts of that work by number of data set.
        zones: Observations of zones, by number.
        excess_cores: Cores that the clients' requests use now beyond the estimates; negative if unknown.
    """

    member: int
    incarnation: int
    version: int
    home_zone: int
    mean_work_ms: float = 20.0
    rates: Mapping[int, float] = field(default_factory=dict)
    data_set_shares: Mapping[int, float] = field(default_factory=dict)
    zones: Mapping[int, ZoneObservation] = field(default_factory=dict)
    excess_cores: float = UNKNOWN_CORES

    @property
    def stamp(self) -> Stamp:
        """Return the stamp; of two reports of a member the one with the higher stamp is newer."""
        return self.incarnation, self.version


def data_set_number(name: str) -> int:
    """Return a data set's number, which is the same at every instance."""
    return zlib.crc32(name.encode()) & 0xFFFF


@functools.lru_cache(maxsize=1024)
def filter_bits(number: int) -> int:
    """Return the two bits of a data set in a Bloom filter."""
    second = number // FILTER_BITS * SECOND_HASH_FACTOR % FILTER_BITS
    return 1 << number % FILTER_BITS | 1 << second


def is_warm(warm_filter: int, number: int) -> bool:
    """Return whether a filter contains a data set."""
    bits = filter_bits(number)
    return warm_filter & bits == bits


def _encode_ms(ms: float) -> int:
    if ms < MIN_CODED_MS:
        return 0
    return min(1 + round(math.log(ms / MIN_CODED_MS) / math.log(CODE_GROWTH)), MAX_BYTE)


def _decode_ms(code: int) -> float:
    return MIN_CODED_MS * CODE_GROWTH ** (code - 1) if code else 0.0


def encode_site_report(report: SiteReport) -> bytes:
    """Return a report's bytes, with its most used data sets and its nearest zones."""
    steps = demand.encode_rates(report.rates) if report.rates else b""
    shares, zones = report.data_set_shares, report.zones
    used = sorted(shares, key=lambda n: (-shares[n], n))[:MAX_DATA_SETS]
    nearest = sorted(zones, key=lambda n: (n != report.home_zone, zones[n].round_trip_ms, n))[:MAX_ZONES]
    header = HEADER.pack(
        report.member,
        report.incarnation,
        report.version,
        report.home_zone,
        _encode_ms(report.mean_work_ms),
        _encode_excess(report.excess_cores),
        len(steps) // 2,
        len(used),
        len(nearest),
    )
    # Shares are rounded down: rounded to the nearest, eight of them could add up to more than one.
    data_sets = b"".join(
        DATA_SET_ENTRY.pack(number, min(int(shares[number] * SHARE_STEPS), MAX_BYTE)) for number in used
    )
    return header + steps + data_sets + b"".join(_encode_zone(number, zones[number]) for number in nearest)


def _encode_excess(excess_cores: float) -> int:
    return 0 if excess_cores < 0 else min(1 + demand.encode_cores(excess_cores), MAX_BYTE)


def _encode_zone(number: int, zone: ZoneObservation) -> bytes:
    served_code = round(min(max(zone.served_share, 0.0), 1.0) * SHARE_STEPS)
    warm_filter = zone.warm_filter.to_bytes(FILTER_BITS // 8, "big")
    return ZONE_ENTRY.pack(number, _encode_ms(zone.round_trip_ms), served_code, warm_filter)


def encode_site_reports(reports: Iterable[SiteReport]) -> bytes:
    """Return a message with as many of these reports as fit, from the first on."""
    return encode_list(SITE_REPORTS, map(encode_site_report, reports))


def decode_site_reports(data: bytes) -> list[SiteReport]:
    """Return the reports of a message. Raises MessageError; then none of them may be applied."""
    return decode_list(data, SITE_REPORTS, "site reports", _decode_report)


def _decode_report(data: bytes, offset: int) -> tuple[SiteReport, int]:
    """Return the report that begins at an offset, and the offset of its end."""
    fields = HEADER.unpack_from(data, offset)
    member, incarnation, version, home_zone, mean_work, excess, steps, data_sets, zones = fields
    begin = offset + HEADER.size
    end = begin + 2 * steps
    rates = demand.decode_rates(data[begin:end])
    if not member or rates is None or data_sets > MAX_DATA_SETS or zones > MAX_ZONES:
        raise MessageError("invalid header of a site report")
    shares, offset = _decode_shares(data, end, data_sets)
    observations = {}
    for _ in range(zones):
        number, round_trip_code, served_code, warm_filter = ZONE_ENTRY.unpack_from(data, offset)
        offset += ZONE_ENTRY.size
        observations[number] = ZoneObservation(
            _decode_ms(round_trip_code), served_code / SHARE_STEPS, int.from_bytes(warm_filter, "big")
        )
    report = SiteReport(
        member,
        incarnation,
        version,
        home_zone,
        _decode_ms(mean_work),
        rates,
        shares,
        observations,
        demand.decode_cores(excess - 1) if excess else UNKNOWN_CORES,
    )
    return report, offset


def _decode_shares(data: bytes, offset: int, count: int) -> tuple[dict[int, float], int]:
    """Return the shares by number of data set that begin at an offset, and the offset of their end."""
    codes = dict[int, int]()
    for _ in range(count):
        number, code = DATA_SET_ENTRY.unpack_from(data, offset)
        offset += DATA_SET_ENTRY.size
        codes[number] = code
    if len(data) < offset or len(codes) < count or sum(codes.values()) > SHARE_STEPS:
        raise MessageError("invalid data set shares")
    return {number: code / SHARE_STEPS for number, code in codes.items()}, offset
