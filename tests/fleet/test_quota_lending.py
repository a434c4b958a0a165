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
    flying: tuple[tuple[int, int, QuotaRequest | QuotaGrant], ...] = ()
    lives: int = 0
    settings: QuotaSettings = SETTINGS

    @classmethod
    def begin(cls, settings: QuotaSettings = SETTINGS) -> QuotaModel:
        """Three that have been there for long."""
        world = cls(settings=settings)
        for i in range(COUNT):
            world.members[i] = QuotaAccount(-1000.0, 1 / COUNT, 100 * i, settings)
        return world

    def used(self) -> float:
        """What all of them may use now, by their own clocks, the stopped ones as well."""
        return sum(p.usable(self.now, ZONE)[0] for p in self.members.values())

    def copy(self) -> QuotaModel:
        """Another world that is the same so far."""
        made = QuotaModel(self.now, {}, self.stopped, self.flying, self.lives, self.settings)
        for i, p in self.members.items():
            made.members[i] = q = copy.copy(p)
            q.loans = {}
            for zone, purse in p.loans.items():
                lent = {m: list(loans) for m, loans in purse.lent.items()}
                q.loans[zone] = quota_lending.ZoneLoans(
                    lent, {m: copy.copy(b) for m, b in purse.borrowed.items()}
                )
        return made

    def key(self) -> object:
        """Two worlds with one key go on alike."""
        now, rows = self.now, list[object]()
        for p in self.members.values():
            purse = p.loans.get(ZONE, quota_lending.ZoneLoans())
            lent = [(m, u - now, a) for m, loans in purse.lent.items() for u, a in loans if u > now]
            held = [
                (
                    m,
                    max(b.expires_at - now, 0),
                    b.amount,
                    max(b.requested_at - now, -50),
                    b.requested_amount,
                    b.term,
                )
                for m, b in purse.borrowed.items()
            ]
            rows.append(
                (
                    max(p.usable_from - now, 0),
                    max(p.unlent_usable_from - now, 0),
                    tuple(sorted(lent)),
                    tuple(sorted(held)),
                )
            )
        return tuple(rows), self.stopped, self.flying

    def want(self, i: int, share: float) -> QuotaModel | None:
        """An instance has so much of the demand, and asks for what it lacks."""
        p = self.members[i]
        if i in self.stopped:
            return None
        demand = {m: share if m == i else (1 - share) / (COUNT - 1) for m in range(COUNT)}
        return self._fly(i, p.request(self.now, ZONE, demand, i))

    def deliver(self, place: int, keep: bool) -> QuotaModel | None:
        """A message arrives, and may arrive again."""
        if place >= len(self.flying):
            return None
        sender, target, what = self.flying[place]
        if not keep:
            self.flying = self.flying[:place] + self.flying[place + 1 :]
        p = self.members[target]
        if target in self.stopped:
            return self
        return self._fly(target, p.on_message(self.now, sender, what))

    def lose(self, place: int) -> QuotaModel | None:
        """A message is lost."""
        if place >= len(self.flying):
            return None
        self.flying = self.flying[:place] + self.flying[place + 1 :]
        return self

    def tick(self) -> QuotaModel:
        """Time passes for all."""
        self.now += TICK
        return self

    def die(self, i: int) -> QuotaModel | None:
        """One is gone, and back from nothing at once."""
        self.lives += 1
        if self.lives > 1:
            return None
        term, kept = 10_000 * self.lives + 100 * i, self.settings.unlent_share > 0
        self.members[i] = QuotaAccount(self.now, 1 / COUNT, term, self.settings, is_only_process=kept)
        self.stopped -= {i}
        return self

    def stop(self, i: int) -> QuotaModel:
        """One stands still, or goes on."""
        self.stopped ^= {i}
        return self

    def _fly(self, sender: int, messages: list[QuotaMessage]) -> QuotaModel:
        self.flying += tuple((sender, to.member, to.message) for to in messages)
        return self


Step = Callable[[QuotaModel], QuotaModel | None]


def steps(world: QuotaModel) -> list[Step]:
    """All that may happen next."""
    found: list[Step] = [lambda w: w.tick(), lambda w: w.want(0, 0.9), lambda w: w.want(0, 0.5)]
    for place in range(len(world.flying)):
        found.append(lambda w, at=place: w.deliver(at, keep=False))  # type: ignore[misc]
        found.append(lambda w, at=place: w.lose(at))  # type: ignore[misc]
    if world.flying:
        found.append(lambda w: w.deliver(0, keep=True))
    return found + [lambda w: w.die(0), lambda w: w.die(1), lambda w: w.stop(0)]


def search(depth: int, settings: QuotaSettings = SETTINGS) -> tuple[int, float]:
    """How many different worlds were seen, and the most that all could use in one of them. Bound: so many
    steps, four messages under way, one death."""
    seen, front, worst = set[object](), [QuotaModel.begin(settings)], 0.0
    for _ in range(depth):
        following = []
        for world in front:
            for step in steps(world):
                new = step(world.copy())
                if new is None or len(new.flying) > 4 or (key := new.key()) in seen:
                    continue
                seen.add(key)
                worst = max(worst, new.used())
                following.append(new)
        front = following
    return len(seen), worst


@pytest.mark.parametrize(
    "settings, depth", [(SETTINGS, DEPTH), (SETTINGS_WITH_UNLENT_SHARE, DEPTH - 1)], ids=["all lent", "kept"]
)
def test_in_every_interleaving_the_quotas_add_up_to_at_most_one(settings: QuotaSettings, depth: int) -> None:
    seen, worst = search(depth, settings)
    assert seen > 5000 and worst <= 1.0


def newest_only(zone_loans: quota_lending.ZoneLoans, now: float, member: int) -> int:
    loans = zone_loans.lent.get(member, [])
    return loans[-1][1] if loans and loans[-1][0] > now else 0


def lends_all(
    self: QuotaAccount, now: float, purse: quota_lending.ZoneLoans, member: int, ask: QuotaRequest
) -> int:
    kept, self.unlent = self.unlent, 0
    amount = LEND(self, now, purse, member, ask)
    self.unlent = kept
    return amount


def unwary(self: QuotaAccount, now: float, *args: object, **fields: object) -> None:
    PLAIN(self, now, *args, **fields)  # type: ignore[arg-type]
    self.usable_from = -1e9


PLAIN, LEND = QuotaAccount.__init__, QuotaAccount._grant


@pytest.mark.parametrize(
    "place, name, defect, settings",
    [
        (QuotaAccount, "__init__", unwary, SETTINGS),
        (quota_lending.ZoneLoans, "reserved", newest_only, SETTINGS),
        (QuotaAccount, "_grant", lends_all, SETTINGS_WITH_UNLENT_SHARE),
    ],
    ids=["a lender that forgets", "a smaller loan after a larger", "what is kept is lent"],
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
        self.held: list[list[QuotaAccount]] = [
            [QuotaAccount(-1000.0, 1 / COUNT, 0, self.settings_used)] for _ in range(COUNT)
        ]
        self.flying: list[tuple[int, int, QuotaRequest | QuotaGrant]] = []
        self.lives = 1

    def clock(self, i: int) -> float:
        return 1000.0 * i + self.now * self.rates[i]

    @rule(ms=st.floats(0.1, 15.0))
    def pass_time(self, ms: float) -> None:
        self.now += ms

    @rule(i=st.integers(0, COUNT - 1), share=st.floats(0.0, 1.0))
    def ask(self, i: int, share: float) -> None:
        demand = {m: share if m == i else (1 - share) / (COUNT - 1) for m in range(COUNT)}
        for to in self.held[i][-1].request(self.clock(i), ZONE, demand, i):
            self.flying.append((i, to.member, to.message))

    @rule(place=st.integers(0, 20), keep=st.booleans())
    def deliver(self, place: int, keep: bool) -> None:
        if place < len(self.flying):
            sender, target, what = self.flying[place] if keep else self.flying.pop(place)
            for to in self.held[target][-1].on_message(self.clock(target), sender, what):
                self.flying.append((target, to.member, to.message))

    @rule(i=st.integers(0, COUNT - 1))
    def restart(self, i: int) -> None:
        self.lives += 1
        kept = self.settings_used.unlent_share > 0
        self.held[i] = [
            QuotaAccount(
                self.clock(i), 1 / COUNT, 1000 * self.lives, self.settings_used, is_only_process=kept
            )
        ]

    @rule(i=st.integers(0, COUNT - 1))
    def upgrade(self, i: int) -> None:
        """A second process begins beside the first one, which learns of it; then the first one ends."""
        if len(self.held[i]) == 1:
            self.lives += 1
            self.held[i][0].process_count = 2
            self.held[i].append(QuotaAccount(self.clock(i), 1 / COUNT, 1000 * self.lives, self.settings_used))
            self.held[i][1].process_count = 2
        elif self.clock(i) >= self.held[i][1].usable_from:
            self.held[i] = [self.held[i][1]]
            self.held[i][0].process_count = 1

    @invariant()
    def never_more_than_the_whole(self) -> None:
        used = sum(p.usable(self.clock(i), ZONE)[0] for i, there in enumerate(self.held) for p in there)
        assert used <= 1.0 + 1e-9


class DrawnWithUnlentShare(Drawn):
    """With a share that is never lent, and used from the first moment."""

    settings_used = SETTINGS_WITH_UNLENT_SHARE


TestDrawnKept = DrawnWithUnlentShare.TestCase
TestDrawnKept.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)
TestDrawn = Drawn.TestCase
TestDrawn.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)


def test_the_instance_with_most_load_gets_most_of_the_budget() -> None:
    world = QuotaModel.begin()
    world.want(0, 0.8)
    while world.flying:
        world.deliver(0, keep=False)
    part, ends = world.members[0].usable(world.now, ZONE)
    assert part > 0.75 and ends == world.now + SETTINGS.loan_ms and world.used() <= 1.0
    world.now += 2 * SETTINGS.loan_ms
    assert abs(world.used() - 1.0) < COUNT / QUOTA_STEPS + 1e-9, "loans that ran out are the lenders' again"
