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
from cottonhold.fleet.admission.threshold import (
    AdmissionThreshold,
    ReportedLoad,
    ThresholdController,
    ThresholdSettings,
)
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.zone_failover.messages import DEMAND_REPORTS

HEAD = struct.Struct("!QIIBBBB")
GAINS, WAITS = 128.0, 255.0  # a gain of one, and a wait of a whole patience, on the wire


@dataclass(slots=True, frozen=True)
class DemandSettings:
    """Times in ms. fresh: so old may another's load be. rest: a round of loads while there is room; hot: part
    of the capacity from which a round goes out each step. close: up to so many members each load goes to
    all; beyond, each round goes to `fanout` and passes on the newest that it heard. until: a price holds so
    long."""

    max_report_age_ms: float = 2000.0
    report_interval_ms: float = 1000.0
    busy_share: float = 0.7
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    threshold_ttl_ms: float = 1000.0
    threshold: ThresholdSettings = field(default_factory=ThresholdSettings)


@dataclass(slots=True, frozen=True)
class DemandReport:
    """One instance's load."""

    member: int
    incarnation: int
    version: int
    load: ReportedLoad

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two loads of one member is newer."""
        return self.incarnation, self.version


def encode_demand_report(load: DemandReport) -> bytes:
    """A load's bytes."""
    t, steps = load.load, demand.encode_rates(load.load.rates)
    gain, wait = min(round(t.gain * GAINS), 255), min(round(t.mean_wait * WAITS), 255)
    head = HEAD.pack(
        load.member,
        load.incarnation,
        load.version,
        gain,
        min(round(t.finished_requests), 255),
        wait,
        len(steps) // 2,
    )
    return head + steps


def encode_demand_reports(loads: Iterable[DemandReport]) -> bytes:
    """A message with as many of these as fit, first ones first."""
    parts, left = list[bytes](), MAX_MESSAGE_BYTES - 2
    for load in loads:
        part = encode_demand_report(load)
        if len(part) > left:
            break
        parts.append(part)
        left -= len(part)
    return bytes((DEMAND_REPORTS, len(parts))) + b"".join(parts)


def decode_demand_reports(data: bytes) -> list[DemandReport]:
    """The loads of a message. Raises MessageError; then none of them counts."""
    if len(data) < 2 or data[0] != DEMAND_REPORTS:
        raise MessageError("no loads")
    loads, at = [], 2
    try:
        for _ in range(data[1]):
            member, life, version, gain, ended, wait, steps = HEAD.unpack_from(data, at)
            at += HEAD.size
            rates = demand.decode_rates(data[at : at + 2 * steps])
            if not member or rates is None or len(data) < at + 2 * steps:
                raise MessageError("load")
            at += 2 * steps
            loads.append(
                DemandReport(
                    member, life, version, ReportedLoad(rates, gain / GAINS, float(ended), wait / WAITS)
                )
            )
    except struct.error:
        raise MessageError("truncated") from None
    if at != len(data):
        raise MessageError("too long")
    return loads


class DemandSharing:
    """Feed it requests as they come and what became of those let in; call `step` ten times a second."""

    def __init__(
        self, me: int, life: int, now: float, seed: int, settings: DemandSettings | None = None
    ) -> None:
        self.self_id, self.incarnation, self.settings = me, life & 0xFFFFFFFF, settings or DemandSettings()
        self.draw = random.Random(seed)
        self.demand, self.controller = Demand(now), ThresholdController(now, self.settings.threshold)
        self.reports = LatestReports[DemandReport](me)
        self.version, self.next_round = 0, now

    @property
    def threshold(self) -> AdmissionThreshold | None:
        """The price in force."""
        return self.controller.threshold

    def on_request(self, now: float, worth: float, work: float, retry: bool) -> None:
        """A request has come. work in ms; retry: its client says that it has come before.

        Danger: clients that come again were counted as often, the share at the price fell to a half of what
        the engines could do, and more came again. May hurt where clients do not say so.
        """
        if not retry:
            self.demand.add(now, demand.density_step(worth, work), work)

    def on_admitted(self, wait: float, lost: bool) -> None:
        """One that was let in went out after a part of its patience, or its time ran out."""
        self.controller.on_admitted(wait, lost)

    def on_message(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """A message of loads; returns one for its sender, if that is behind. Raises MessageError."""
        loads = decode_demand_reports(data)
        for load in loads:
            self.reports.apply(now, load)
        newer = self.reports.newer_than(sender, loads)
        return encode_demand_reports([newer]) if newer is not None else None

    def step(
        self, now: float, live: Iterable[int], capacity: float, owned: float = 0.0
    ) -> list[tuple[int, bytes]]:
        """Compute the price, and say what is due, as (member, message). capacity: cores in use. owned: cores
        beside that each instance has a part of; what belongs to those that are missing lies idle."""
        s, members = self.settings, sorted(set(live) - {self.self_id})
        others = self.reported_loads(now, members)
        own = self.controller.report(self.demand.rates(now))
        alive = 1 + len(members)
        if owned:
            # Danger: for seconds nobody has heard half of the others, no price stood, and all was let in.
            # What is owned by those heard is for what they were offered, however many they are.
            alive = 1 + len(others)
            capacity += owned * alive
        self.controller.step(now, own, others, alive, capacity)
        offered = sum(own.rates.values()) + sum(sum(t.rates.values()) for t in others)
        hot = self.threshold is not None or offered > s.busy_share * capacity
        if not members or now < self.next_round and not hot:
            return []
        self.next_round = now + s.report_interval_ms * (0.8 + 0.4 * self.draw.random())
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        mine = DemandReport(self.self_id, self.incarnation, self.version, own)
        if len(members) < s.gossip_from_members:
            data = encode_demand_reports([mine])
            return [(member, data) for member in members]
        passed = [h.report for h in self.reports.newest() if now - h.received_at <= s.max_report_age_ms]
        data = encode_demand_reports([mine, *passed])
        return [(member, data) for member in self.draw.sample(members, s.gossip_fanout)]

    def offered_cores(self, now: float, members: Iterable[int]) -> dict[int, float]:
        """Work offered to this instance and to those of these members that told of it lately, in cores."""
        told = {
            load.member: load.load
            for load in self.reports.fresh(now, self.settings.max_report_age_ms, members)
        }
        own = sum(self.demand.rates(now).values())
        return {self.self_id: own, **{m: sum(t.rates.values()) for m, t in told.items() if m != self.self_id}}

    def reported_loads(self, now: float, members: Iterable[int]) -> list[ReportedLoad]:
        """What these members told lately."""
        return [load.load for load in self.reports.fresh(now, self.settings.max_report_age_ms, members)]


def density_of_step(step: int) -> float:
    """The lowest worth a ms of work that stands at a step; at the lowest one also nothing."""
    return demand.MIN_DENSITY * 2 ** (step / demand.STEPS_PER_OCTAVE) if step else 0.0


def admission_draw(ref: bytes, retry: bool) -> float:
    """A request's draw, 0 to 1, by a hash of its id.

    Danger: by a hash of the statement all that ask the same were let in or turned away together, and by the
    id alone one that came three times had three draws. So one that says it comes again draws last: a second
    try, here or elsewhere, gains nothing until the price falls.
    """
    return 1.0 if retry else zlib.crc32(ref) / 2**32
