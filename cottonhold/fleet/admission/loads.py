"""One instance's part in the fleet's price: what it was offered, what others tell, and what follows. Pure.

    kind 5 | count 1 | loads, each: member 8 | life 4 | version 4 | gain 1 | ended 1 | wait 1 | steps 1 |
    steps, each: step 1 | work 1

A message of its own beside the words on zones: instances of an older version count it as one that makes no
sense, and go on. Loads merge as words do.
"""

from __future__ import annotations

import random
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.demand import Demand
from cottonhold.fleet.admission.threshold import Price, PriceSettings, Pricing, Told
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.zone_failover.messages import DEMAND_REPORTS

HEAD = struct.Struct("!QIIBBBB")
GAINS, WAITS = 128.0, 255.0  # a gain of one, and a wait of a whole patience, on the wire


@dataclass(slots=True, frozen=True)
class LoadSettings:
    """Times in ms. fresh: so old may another's load be. rest: a round of loads while there is room; hot: part
    of the capacity from which a round goes out each step. close: up to so many members each load goes to
    all; beyond, each round goes to `fanout` and passes on the newest that it heard. until: a price holds so
    long."""

    fresh: float = 2000.0
    rest: float = 1000.0
    hot: float = 0.7
    close: int = 9
    fanout: int = 4
    until: float = 1000.0
    price: PriceSettings = field(default_factory=PriceSettings)


@dataclass(slots=True, frozen=True)
class Load:
    """One instance's load."""

    member: int
    life: int
    version: int
    told: Told

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two loads of one member is newer."""
        return self.life, self.version


def pack_load(load: Load) -> bytes:
    """A load's bytes."""
    t, steps = load.told, demand.pack(load.told.rates)
    gain, wait = min(round(t.gain * GAINS), 255), min(round(t.wait * WAITS), 255)
    head = HEAD.pack(
        load.member, load.life, load.version, gain, min(round(t.ended), 255), wait, len(steps) // 2
    )
    return head + steps


def pack_loads(loads: Iterable[Load]) -> bytes:
    """A message with as many of these as fit, first ones first."""
    parts, left = list[bytes](), MAX_MESSAGE_BYTES - 2
    for load in loads:
        part = pack_load(load)
        if len(part) > left:
            break
        parts.append(part)
        left -= len(part)
    return bytes((DEMAND_REPORTS, len(parts))) + b"".join(parts)


def read_loads(data: bytes) -> list[Load]:
    """The loads of a message. Raises MessageError; then none of them counts."""
    if len(data) < 2 or data[0] != DEMAND_REPORTS:
        raise MessageError("no loads")
    loads, at = [], 2
    try:
        for _ in range(data[1]):
            member, life, version, gain, ended, wait, steps = HEAD.unpack_from(data, at)
            at += HEAD.size
            rates = demand.read(data[at : at + 2 * steps])
            if not member or rates is None or len(data) < at + 2 * steps:
                raise MessageError("load")
            at += 2 * steps
            loads.append(Load(member, life, version, Told(rates, gain / GAINS, float(ended), wait / WAITS)))
    except struct.error:
        raise MessageError("truncated") from None
    if at != len(data):
        raise MessageError("too long")
    return loads


class Loads:
    """Feed it requests as they come and what became of those let in; call `step` ten times a second."""

    def __init__(
        self, me: int, life: int, now: float, seed: int, settings: LoadSettings | None = None
    ) -> None:
        self.me, self.life, self.settings = me, life & 0xFFFFFFFF, settings or LoadSettings()
        self.draw = random.Random(seed)
        self.demand, self.pricing = Demand(now), Pricing(now, self.settings.price)
        self.words = LatestReports[Load](me)
        self.version, self.next_round = 0, now

    @property
    def price(self) -> Price | None:
        """The price in force."""
        return self.pricing.price

    def offered(self, now: float, worth: float, work: float, retry: bool) -> None:
        """A request has come. work in ms; retry: its client says that it has come before.

        Danger: clients that come again were counted as often, the share at the price fell to a half of what
        the engines could do, and more came again. May hurt where clients do not say so.
        """
        if not retry:
            self.demand.add(now, demand.step_of(worth, work), work)

    def ended(self, wait: float, lost: bool) -> None:
        """One that was let in went out after a part of its patience, or its time ran out."""
        self.pricing.ended(wait, lost)

    def hear(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """A message of loads; returns one for its sender, if that is behind. Raises MessageError."""
        loads = read_loads(data)
        for load in loads:
            self.words.apply(now, load)
        newer = self.words.newer_than(sender, loads)
        return pack_loads([newer]) if newer is not None else None

    def step(
        self, now: float, live: Iterable[int], capacity: float, owned: float = 0.0
    ) -> list[tuple[int, bytes]]:
        """Compute the price, and say what is due, as (member, message). capacity: cores in use. owned: cores
        beside that each instance has a part of; what belongs to those that are missing lies idle."""
        s, members = self.settings, sorted(set(live) - {self.me})
        others = self.others(now, members)
        own = self.pricing.word(self.demand.rates(now))
        alive = 1 + len(members)
        if owned:
            # Danger: for seconds nobody has heard half of the others, no price stood, and all was let in.
            # What is owned by those heard is for what they were offered, however many they are.
            alive = 1 + len(others)
            capacity += owned * alive
        self.pricing.step(now, own, others, alive, capacity)
        offered = sum(own.rates.values()) + sum(sum(t.rates.values()) for t in others)
        hot = self.price is not None or offered > s.hot * capacity
        if not members or now < self.next_round and not hot:
            return []
        self.next_round = now + s.rest * (0.8 + 0.4 * self.draw.random())
        self.life, self.version = self.words.next_stamp(self.life, self.version)
        mine = Load(self.me, self.life, self.version, own)
        if len(members) < s.close:
            data = pack_loads([mine])
            return [(member, data) for member in members]
        passed = [h.report for h in self.words.newest() if now - h.received_at <= s.fresh]
        data = pack_loads([mine, *passed])
        return [(member, data) for member in self.draw.sample(members, s.fanout)]

    def rates(self, now: float, members: Iterable[int]) -> dict[int, float]:
        """Work offered to this instance and to those of these members that told of it lately, in cores."""
        told = {load.member: load.told for load in self.words.fresh(now, self.settings.fresh, members)}
        own = sum(self.demand.rates(now).values())
        return {self.me: own, **{m: sum(t.rates.values()) for m, t in told.items() if m != self.me}}

    def others(self, now: float, members: Iterable[int]) -> list[Told]:
        """What these members told lately."""
        return [load.told for load in self.words.fresh(now, self.settings.fresh, members)]


def density(step: int) -> float:
    """The lowest worth a ms of work that stands at a step; at the lowest one also nothing."""
    return demand.LOWEST * 2 ** (step / demand.STEPS_PER_OCTAVE) if step else 0.0


def draw_of(ref: bytes, retry: bool) -> float:
    """A request's draw, 0 to 1, by a hash of its id.

    Danger: by a hash of the statement all that ask the same were let in or turned away together, and by the
    id alone one that came three times had three draws. So one that says it comes again draws last: a second
    try, here or elsewhere, gains nothing until the price falls.
    """
    return 1.0 if retry else zlib.crc32(ref) / 2**32
