"""The parts of a budget never add up to more than the whole: every interleaving of a small world, and drawn
ones.

The world holds three instances, a network that keeps, repeats and loses messages as it likes, clocks that run
on, and instances that stop, go on, die and come back from nothing, or for a while run twice in an upgrade. A
checker that can't fail proves nothing, so each guard is taken out once, and the checker has to notice.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cottonhold.fleet.zone_failover import quota_lending
from cottonhold.fleet.zone_failover.quota_lending import (
    QUOTA_STEPS,
    QuotaAccount,
    QuotaGrant,
    QuotaMessage,
    QuotaRequest,
    QuotaSettings,
)

ZONE, TICK = 1, 5.0
SETTINGS = QuotaSettings(loan_ms=20.0, renew_after_share=0.5, clock_drift=0.1, restart_wait_loans=1.5)
SETTINGS_WITH_UNLENT_SHARE = replace(SETTINGS, unlent_share=0.6)
COUNT, DEPTH = 3, 7


@dataclass(slots=True)
class QuotaModel:
    """The whole world: instances by number, messages under way, the time."""

    now: float = 100.0
    members: dict[int, QuotaAccount] = field(default_factory=dict)
    stopped: frozenset[int] = frozenset()
    in_flight: tuple[tuple[int, int, QuotaRequest | QuotaGrant], ...] = ()
    restart_count: int = 0
    settings: QuotaSettings = SETTINGS

    @classmethod
    def begin(cls, settings: QuotaSettings = SETTINGS) -> QuotaModel:
        """Three instances that started long ago."""
        world = cls(settings=settings)
        for i in range(COUNT):
            world.members[i] = QuotaAccount(-1000.0, 1 / COUNT, 100 * i, settings)
        return world

    def used(self) -> float:
        """What all of them may use now, by their own clocks, the stopped ones as well."""
        return sum(p.usable(self.now, ZONE)[0] for p in self.members.values())

    def copy(self) -> QuotaModel:
        """Another world that is the same so far."""
        made = QuotaModel(self.now, {}, self.stopped, self.in_flight, self.restart_count, self.settings)
        for i, account in self.members.items():
            made.members[i] = copied = copy.copy(account)
            copied.loans = {}
            for zone, zone_loans in account.loans.items():
                lent = {m: list(loans) for m, loans in zone_loans.lent.items()}
                copied.loans[zone] = quota_lending.ZoneLoans(
                    lent, {m: copy.copy(b) for m, b in zone_loans.borrowed.items()}
                )
        return made

    def state_key(self) -> object:
        """Two worlds with the same key behave alike from now on."""
        now, rows = self.now, list[object]()
        for account in self.members.values():
            zone_loans = account.loans.get(ZONE, quota_lending.ZoneLoans())
            lent = [(m, u - now, a) for m, loans in zone_loans.lent.items() for u, a in loans if u > now]
            borrowed = [
                (
                    m,
                    max(b.expires_at - now, 0),
                    b.amount,
                    max(b.requested_at - now, -50),
                    b.requested_amount,
                    b.term,
                )
                for m, b in zone_loans.borrowed.items()
            ]
            rows.append(
                (
                    max(account.usable_from - now, 0),
                    max(account.unlent_usable_from - now, 0),
                    tuple(sorted(lent)),
                    tuple(sorted(borrowed)),
                )
            )
        return tuple(rows), self.stopped, self.in_flight

    def request(self, i: int, share: float) -> QuotaModel | None:
        """An instance has so much of the demand, and requests what it lacks."""
        p = self.members[i]
        if i in self.stopped:
            return None
        demand = {m: share if m == i else (1 - share) / (COUNT - 1) for m in range(COUNT)}
        return self._send(i, p.request(self.now, ZONE, demand, i))

    def deliver(self, place: int, may_repeat: bool) -> QuotaModel | None:
        """A message arrives, and may arrive again."""
        if place >= len(self.in_flight):
            return None
        sender, target, what = self.in_flight[place]
        if not may_repeat:
            self.in_flight = self.in_flight[:place] + self.in_flight[place + 1 :]
        p = self.members[target]
        if target in self.stopped:
            return self
        return self._send(target, p.on_message(self.now, sender, what))

    def lose(self, place: int) -> QuotaModel | None:
        """A message is lost."""
        if place >= len(self.in_flight):
            return None
        self.in_flight = self.in_flight[:place] + self.in_flight[place + 1 :]
        return self

    def tick(self) -> QuotaModel:
        """Time passes for all."""
        self.now += TICK
        return self

    def restart(self, i: int) -> QuotaModel | None:
        """An instance restarts with nothing remembered."""
        self.restart_count += 1
        if self.restart_count > 1:
            return None
        term, is_only_process = 10_000 * self.restart_count + 100 * i, self.settings.unlent_share > 0
        self.members[i] = QuotaAccount(
            self.now, 1 / COUNT, term, self.settings, is_only_process=is_only_process
        )
        self.stopped -= {i}
        return self

    def toggle_stopped(self, i: int) -> QuotaModel:
        """An instance is paused, or goes on."""
        self.stopped ^= {i}
        return self

    def _send(self, sender: int, messages: list[QuotaMessage]) -> QuotaModel:
        self.in_flight += tuple((sender, to.member, to.message) for to in messages)
        return self


Step = Callable[[QuotaModel], QuotaModel | None]


def steps(world: QuotaModel) -> list[Step]:
    """All that may happen next."""
    next_steps: list[Step] = [lambda w: w.tick(), lambda w: w.request(0, 0.9), lambda w: w.request(0, 0.5)]
    for place in range(len(world.in_flight)):
        next_steps.append(lambda w, at=place: w.deliver(at, may_repeat=False))  # type: ignore[misc]
        next_steps.append(lambda w, at=place: w.lose(at))  # type: ignore[misc]
    if world.in_flight:
        next_steps.append(lambda w: w.deliver(0, may_repeat=True))
    return next_steps + [lambda w: w.restart(0), lambda w: w.restart(1), lambda w: w.toggle_stopped(0)]


def search(depth: int, settings: QuotaSettings = SETTINGS) -> tuple[int, float]:
    """How many different worlds were seen, and the most that all could use in one of them. Bound: so many
    steps, four messages under way, one death."""
    seen, front, worst = set[object](), [QuotaModel.begin(settings)], 0.0
    for _ in range(depth):
        following = []
        for world in front:
            for step in steps(world):
                new = step(world.copy())
                if new is None or len(new.in_flight) > 4 or (key := new.state_key()) in seen:
                    continue
                seen.add(key)
                worst = max(worst, new.used())
                following.append(new)
        front = following
    return len(seen), worst


@pytest.mark.parametrize(
    "settings, depth",
    [(SETTINGS, DEPTH), (SETTINGS_WITH_UNLENT_SHARE, DEPTH - 1)],
    ids=["all lent", "unlent share"],
)
def test_in_every_interleaving_the_quotas_add_up_to_at_most_one(settings: QuotaSettings, depth: int) -> None:
    seen, worst = search(depth, settings)
    assert seen > 5000 and worst <= 1.0


def newest_only(zone_loans: quota_lending.ZoneLoans, now: float, member: int) -> int:
    loans = zone_loans.lent.get(member, [])
    return loans[-1][1] if loans and loans[-1][0] > now else 0


def lends_all(
    self: QuotaAccount, now: float, zone_loans: quota_lending.ZoneLoans, member: int, request: QuotaRequest
) -> int:
    unlent, self.unlent = self.unlent, 0
    amount = ORIGINAL_GRANT(self, now, zone_loans, member, request)
    self.unlent = unlent
    return amount


def forgets_loans(self: QuotaAccount, now: float, *args: object, **fields: object) -> None:
    ORIGINAL_INIT(self, now, *args, **fields)  # type: ignore[arg-type]
    self.usable_from = -1e9


ORIGINAL_INIT, ORIGINAL_GRANT = QuotaAccount.__init__, QuotaAccount._grant


@pytest.mark.parametrize(
    "place, name, defect, settings",
    [
        (QuotaAccount, "__init__", forgets_loans, SETTINGS),
        (quota_lending.ZoneLoans, "reserved", newest_only, SETTINGS),
        (QuotaAccount, "_grant", lends_all, SETTINGS_WITH_UNLENT_SHARE),
    ],
    ids=["a lender that forgets", "a smaller loan after a larger", "the unlent share is lent"],
)
def test_the_search_detects_a_removed_guard(
    monkeypatch: pytest.MonkeyPatch,
    place: type,
    name: str,
    defect: Callable[..., object],
    settings: QuotaSettings,
) -> None:
    monkeypatch.setattr(place, name, defect)
    assert search(DEPTH, settings)[1] > 1.0


class Drawn(RuleBasedStateMachine):
    """Longer histories than the search reaches, with clocks of different rates."""

    settings_used = SETTINGS

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rates = [1.0, 1.04, 0.96]
        self.processes: list[list[QuotaAccount]] = [
            [QuotaAccount(-1000.0, 1 / COUNT, 0, self.settings_used)] for _ in range(COUNT)
        ]
        self.in_flight: list[tuple[int, int, QuotaRequest | QuotaGrant]] = []
        self.restart_count = 1

    def clock(self, i: int) -> float:
        return 1000.0 * i + self.now * self.rates[i]

    @rule(ms=st.floats(0.1, 15.0))
    def pass_time(self, ms: float) -> None:
        self.now += ms

    @rule(i=st.integers(0, COUNT - 1), share=st.floats(0.0, 1.0))
    def ask(self, i: int, share: float) -> None:
        demand = {m: share if m == i else (1 - share) / (COUNT - 1) for m in range(COUNT)}
        for to in self.processes[i][-1].request(self.clock(i), ZONE, demand, i):
            self.in_flight.append((i, to.member, to.message))

    @rule(place=st.integers(0, 20), keep=st.booleans())
    def deliver(self, place: int, keep: bool) -> None:
        if place < len(self.in_flight):
            sender, target, what = self.in_flight[place] if keep else self.in_flight.pop(place)
            for to in self.processes[target][-1].on_message(self.clock(target), sender, what):
                self.in_flight.append((target, to.member, to.message))

    @rule(i=st.integers(0, COUNT - 1))
    def restart(self, i: int) -> None:
        self.restart_count += 1
        is_only_process = self.settings_used.unlent_share > 0
        self.processes[i] = [
            QuotaAccount(
                self.clock(i),
                1 / COUNT,
                1000 * self.restart_count,
                self.settings_used,
                is_only_process=is_only_process,
            )
        ]

    @rule(i=st.integers(0, COUNT - 1))
    def upgrade(self, i: int) -> None:
        """A second process begins beside the first one, which learns of it; then the first one ends."""
        if len(self.processes[i]) == 1:
            self.restart_count += 1
            self.processes[i][0].process_count = 2
            self.processes[i].append(
                QuotaAccount(self.clock(i), 1 / COUNT, 1000 * self.restart_count, self.settings_used)
            )
            self.processes[i][1].process_count = 2
        elif self.clock(i) >= self.processes[i][1].usable_from:
            self.processes[i] = [self.processes[i][1]]
            self.processes[i][0].process_count = 1

    @invariant()
    def never_more_than_the_whole(self) -> None:
        used = sum(p.usable(self.clock(i), ZONE)[0] for i, there in enumerate(self.processes) for p in there)
        assert used <= 1.0 + 1e-9


class DrawnWithUnlentShare(Drawn):
    """With a share that is never lent, and used from the first moment."""

    settings_used = SETTINGS_WITH_UNLENT_SHARE


TestDrawnWithUnlentShare = DrawnWithUnlentShare.TestCase
TestDrawnWithUnlentShare.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)
TestDrawn = Drawn.TestCase
TestDrawn.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)


def test_the_instance_with_most_load_gets_most_of_the_budget() -> None:
    world = QuotaModel.begin()
    world.request(0, 0.8)
    while world.in_flight:
        world.deliver(0, may_repeat=False)
    part, ends = world.members[0].usable(world.now, ZONE)
    assert part > 0.75 and ends == world.now + SETTINGS.loan_ms and world.used() <= 1.0
    world.now += 2 * SETTINGS.loan_ms
    assert abs(world.used() - 1.0) < COUNT / QUOTA_STEPS + 1e-9, "loans that ran out are the lenders' again"
