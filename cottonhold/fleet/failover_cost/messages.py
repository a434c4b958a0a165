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

SITES = 49  # kind of message; 48 were sites that told of paces, not of what is served where
HEAD = struct.Struct("!QIIHBBBBB")
ZONE = struct.Struct("!HBB12s")
SET = struct.Struct("!HB")
BITS = 96  # of the filter
SETS_MOST, ZONES_MOST = 8, 8  # told of by one word: those most used, and the nearest
SHARES = 255.0  # of one, on the wire
LEAST_MS, GROWTH = 0.1, 1.05  # times in ms on the wire: LEAST_MS * GROWTH ** (byte - 1), to 24 s; 0 is none


@dataclass(slots=True, frozen=True)
class Seen:
    """A zone as one instance sees it. trip: round trip to it in ms; served: part of this one's served work,
    0 to 1; warm: the filter of the data sets that it answered lately."""

    trip: float = 0.0
    served: float = 0.0
    warm: int = 0


@dataclass(slots=True, frozen=True)
class Site:
    """One instance's word. home: number of the zone of its clients; mean: of their requests' work in ms;
    rates: work offered by density step, in cores; sets: parts of that work by number of data set; zones: by
    number; cold: cores that its clients' requests take now beyond what they were told to need; less than
    nothing: not known."""

    member: int
    life: int
    version: int
    home: int
    mean: float = 20.0
    rates: Mapping[int, float] = field(default_factory=dict)
    sets: Mapping[int, float] = field(default_factory=dict)
    zones: Mapping[int, Seen] = field(default_factory=dict)
    cold: float = -1.0

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two sites of one member is newer."""
        return self.life, self.version


def set_number(name: str) -> int:
    """A data set's number, the same at every instance."""
    return zlib.crc32(name.encode()) & 0xFFFF


@functools.lru_cache(maxsize=1024)
def bits_of(number: int) -> int:
    """A data set's two bits in a filter of warm ones."""
    # By 64 buckets of one hash, two of a dozen sets were one, and a third of the pushing out was foreseen.
    return 1 << number % BITS | 1 << number // BITS * 31 % BITS


def is_warm(warm: int, number: int) -> bool:
    """Whether a filter has a data set."""
    bits = bits_of(number)
    return warm & bits == bits


def _time(ms: float) -> int:
    if ms < LEAST_MS:
        return 0
    return min(1 + round(math.log(ms / LEAST_MS) / math.log(GROWTH)), 255)


def _ms(code: int) -> float:
    return LEAST_MS * GROWTH ** (code - 1) if code else 0.0


def pack_site(site: Site) -> bytes:
    """A site's bytes: its most used data sets, and the nearest zones."""
    steps = demand.pack(site.rates) if site.rates else b""
    sets = sorted(site.sets, key=lambda n: (-site.sets[n], n))[:SETS_MOST]
    zones = sorted(site.zones, key=lambda n: (n != site.home, site.zones[n].trip, n))[:ZONES_MOST]
    cold = 0 if site.cold < 0 else min(1 + demand.code_of(site.cold), 255)
    head = (site.member, site.life, site.version, site.home, _time(site.mean), cold)
    data = HEAD.pack(*head, len(steps) // 2, len(sets), len(zones)) + steps
    # Danger: rounded to the nearest, eight shares could add up to more than one, and the word be refused.
    data += b"".join(SET.pack(n, min(int(site.sets[n] * SHARES), 255)) for n in sets)
    for number in zones:
        seen = site.zones[number]
        served = round(min(max(seen.served, 0.0), 1.0) * SHARES)
        data += ZONE.pack(number, _time(seen.trip), served, seen.warm.to_bytes(BITS // 8, "big"))
    return data


def pack_sites(sites: Iterable[Site]) -> bytes:
    """A message with as many of these as fit, first ones first."""
    parts, left = list[bytes](), MAX_MESSAGE_BYTES - 2
    for site in sites:
        part = pack_site(site)
        if len(part) > left:
            break
        parts.append(part)
        left -= len(part)
    return bytes((SITES, len(parts))) + b"".join(parts)


def read_sites(data: bytes) -> list[Site]:
    """The sites of a message. Raises MessageError; then none of them counts."""
    if len(data) < 2 or data[0] != SITES:
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


def _read_site(data: bytes, at: int) -> tuple[Site, int]:
    member, life, version, home, mean, cold, steps, sets, zones = HEAD.unpack_from(data, at)
    at += HEAD.size
    ends = at + 2 * steps
    rates, at = demand.read(data[at:ends]), ends
    shares = dict[int, int]()
    for _ in range(sets):
        number, part = SET.unpack_from(data, at)
        at += SET.size
        shares[number] = part
    if not member or rates is None or len(data) < at or sets > SETS_MOST or zones > ZONES_MOST:
        raise MessageError("site")
    if len(shares) < sets or sum(shares.values()) > SHARES:
        raise MessageError("data sets")
    parts = {number: part / SHARES for number, part in shares.items()}
    seen = {}
    for _ in range(zones):
        number, trip, served, warm = ZONE.unpack_from(data, at)
        at += ZONE.size
        seen[number] = Seen(_ms(trip), served / SHARES, int.from_bytes(warm, "big"))
    more = demand.work_of(cold - 1) if cold else -1.0
    return Site(member, life, version, home, _ms(mean), rates, parts, seen, more), at
