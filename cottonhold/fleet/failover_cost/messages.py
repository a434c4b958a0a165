"""What an instance tells of its site: what its clients ask for, how far zones are, what is warm there. Pure.

    kind 49 | count 1 | sites, each: member 8 | life 4 | version 4 | home 2 | mean 1 | cold 1 | steps 1 |
    sets 1 | zones 1 | steps, each: step 1 | work 1 | sets, each: number 2 | share 1 | zones, each: zone 2 |
    trip 1 | served 1 | warm 12

Sites merge by (life, version): in any order, any number of times, with the same result. Data sets are told
by 16 bits of a hash of their name, and what is warm as a Bloom filter of 96 bits: with a dozen sets
in it one in twenty others looks warm that is not.
"""

from __future__ import annotations

import functools
import math
import struct
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

SITE_REPORTS = 49  # kind of message; 48 were sites that told of paces, not of what is served where
HEAD = struct.Struct("!QIIHBBBBB")
ZONE = struct.Struct("!HBB12s")
SET = struct.Struct("!HB")
FILTER_BITS = 96  # of the filter
MAX_DATA_SETS, MAX_ZONES = 8, 8  # told of by one word: those most used, and the nearest
SHARE_STEPS = 255.0  # of one, on the wire
MIN_CODED_MS, CODE_GROWTH = (
    0.1,
    1.05,
)  # times in ms on the wire: LEAST_MS * GROWTH ** (byte - 1), to 24 s; 0 is none


@dataclass(slots=True, frozen=True)
class ZoneObservation:
    """A zone as one instance sees it. trip: round trip to it in ms; served: part of this one's served work,
    0 to 1; warm: the filter of the data sets that it answered lately."""

    round_trip_ms: float = 0.0
    served_share: float = 0.0
    warm_filter: int = 0


@dataclass(slots=True, frozen=True)
class SiteReport:
    """One instance's word. home: number of the zone of its clients; mean: of their requests' work in ms;
    rates: work offered by density step, in cores; sets: parts of that work by number of data set; zones: by
    number; cold: cores that its clients' requests take now beyond what they were told to need; less than
    nothing: not known."""

    member: int
    incarnation: int
    version: int
    home_zone: int
    mean_work_ms: float = 20.0
    rates: Mapping[int, float] = field(default_factory=dict)
    data_set_shares: Mapping[int, float] = field(default_factory=dict)
    zones: Mapping[int, ZoneObservation] = field(default_factory=dict)
    excess_cores: float = -1.0

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two sites of one member is newer."""
        return self.incarnation, self.version


def data_set_number(name: str) -> int:
    """A data set's number, the same at every instance."""
    return zlib.crc32(name.encode()) & 0xFFFF


@functools.lru_cache(maxsize=1024)
def filter_bits(number: int) -> int:
    """A data set's two bits in a filter of warm ones."""
    # By 64 buckets of one hash, two of a dozen sets were one, and a third of the pushing out was foreseen.
    return 1 << number % FILTER_BITS | 1 << number // FILTER_BITS * 31 % FILTER_BITS


def is_warm(warm: int, number: int) -> bool:
    """Whether a filter has a data set."""
    bits = filter_bits(number)
    return warm & bits == bits


def _time(ms: float) -> int:
    if ms < MIN_CODED_MS:
        return 0
    return min(1 + round(math.log(ms / MIN_CODED_MS) / math.log(CODE_GROWTH)), 255)


def _ms(code: int) -> float:
    return MIN_CODED_MS * CODE_GROWTH ** (code - 1) if code else 0.0


def encode_site_report(site: SiteReport) -> bytes:
    """A site's bytes: its most used data sets, and the nearest zones."""
    steps = demand.encode_rates(site.rates) if site.rates else b""
    sets = sorted(site.data_set_shares, key=lambda n: (-site.data_set_shares[n], n))[:MAX_DATA_SETS]
    zones = sorted(site.zones, key=lambda n: (n != site.home_zone, site.zones[n].round_trip_ms, n))[
        :MAX_ZONES
    ]
    cold = 0 if site.excess_cores < 0 else min(1 + demand.encode_cores(site.excess_cores), 255)
    head = (site.member, site.incarnation, site.version, site.home_zone, _time(site.mean_work_ms), cold)
    data = HEAD.pack(*head, len(steps) // 2, len(sets), len(zones)) + steps
    # Danger: rounded to the nearest, eight shares could add up to more than one, and the word be refused.
    data += b"".join(SET.pack(n, min(int(site.data_set_shares[n] * SHARE_STEPS), 255)) for n in sets)
    for number in zones:
        seen = site.zones[number]
        served = round(min(max(seen.served_share, 0.0), 1.0) * SHARE_STEPS)
        data += ZONE.pack(
            number, _time(seen.round_trip_ms), served, seen.warm_filter.to_bytes(FILTER_BITS // 8, "big")
        )
    return data


def encode_site_reports(sites: Iterable[SiteReport]) -> bytes:
    """A message with as many of these as fit, first ones first."""
    parts, left = list[bytes](), MAX_MESSAGE_BYTES - 2
    for site in sites:
        part = encode_site_report(site)
        if len(part) > left:
            break
        parts.append(part)
        left -= len(part)
    return bytes((SITE_REPORTS, len(parts))) + b"".join(parts)


def decode_site_reports(data: bytes) -> list[SiteReport]:
    """The sites of a message. Raises MessageError; then none of them counts."""
    if len(data) < 2 or data[0] != SITE_REPORTS:
        raise MessageError("no sites")
    sites, at = [], 2
    try:
        for _ in range(data[1]):
            site, at = _read_site(data, at)
            sites.append(site)
    except struct.error:
        raise MessageError("truncated") from None
    if at != len(data):
        raise MessageError("too long")
    return sites


def _read_site(data: bytes, at: int) -> tuple[SiteReport, int]:
    member, life, version, home, mean, cold, steps, sets, zones = HEAD.unpack_from(data, at)
    at += HEAD.size
    ends = at + 2 * steps
    rates, at = demand.decode_rates(data[at:ends]), ends
    shares = dict[int, int]()
    for _ in range(sets):
        number, part = SET.unpack_from(data, at)
        at += SET.size
        shares[number] = part
    if not member or rates is None or len(data) < at or sets > MAX_DATA_SETS or zones > MAX_ZONES:
        raise MessageError("site")
    if len(shares) < sets or sum(shares.values()) > SHARE_STEPS:
        raise MessageError("data sets")
    parts = {number: part / SHARE_STEPS for number, part in shares.items()}
    seen = {}
    for _ in range(zones):
        number, trip, served, warm = ZONE.unpack_from(data, at)
        at += ZONE.size
        seen[number] = ZoneObservation(_ms(trip), served / SHARE_STEPS, int.from_bytes(warm, "big"))
    more = demand.decode_cores(cold - 1) if cold else -1.0
    return SiteReport(member, life, version, home, _ms(mean), rates, parts, seen, more), at
