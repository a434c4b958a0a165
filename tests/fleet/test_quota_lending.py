"""The quotas of a budget never add up to more than the whole.

One test searches all interleavings of a small model, the others use random histories. The model has three
instances, a network that delays, repeats and loses messages, and clocks. Instances can be paused, restarted
without their state, or run in two processes during an upgrade. To show that the search can fail, one test
removes each guard and expects a violation.
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
    """The state of the model: instances by number, messages in flight, and the time in ms."""

    now: float = 100.0
    members: dict[int, QuotaAccount] = field(default_factory=dict)
    stopped: frozenset[int] = frozenset()
    in_flight: tuple[tuple[int, int, QuotaRequest | QuotaGrant], ...] = ()
    restart_count: int = 0
    settings: QuotaSettings = SETTINGS

    @classmethod
    def begin(cls, settings: QuotaSettings = SETTINGS) -> QuotaModel:
        """Return a model of three instances whose waits after the start are over."""
        world = cls(settings=settings)
        for member in range(COUNT):
            world.members[member] = QuotaAccount(-1000.0, 1 / COUNT, 100 * member, settings)
        return world

    def used(self) -> float:
        """Return the sum of the usable quotas of all instances, including paused ones."""
        return sum(account.usable(self.now, ZONE)[0] for account in self.members.values())

    def copy(self) -> QuotaModel:
        """Return an independent copy."""
        copied_model = QuotaModel(
            self.now, {}, self.stopped, self.in_flight, self.restart_count, self.settings
        )
        for member, account in self.members.items():
            copied_model.members[member] = copied = copy.copy(account)
            copied.loans = {}
            for zone, zone_loans in account.loans.items():
                lent = {other: list(loans) for other, loans in zone_loans.lent.items()}
                copied.loans[zone] = quota_lending.ZoneLoans(
                    lent, {other: copy.copy(b) for other, b in zone_loans.borrowed.items()}
                )
        return copied_model

    def state_key(self) -> object:
        """Return a key that is equal for models that behave identically from now on."""
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

    def request(self, member: int, share: float) -> QuotaModel | None:
        """Let an instance with this share of the load request the quota that it lacks."""
        account = self.members[member]
        if member in self.stopped:
            return None
        demand = {other: share if other == member else (1 - share) / (COUNT - 1) for other in range(COUNT)}
        return self._send(member, account.request(self.now, ZONE, demand, member))

    def deliver(self, index: int, may_repeat: bool) -> QuotaModel | None:
        """Deliver a message in flight; with may_repeat it stays in flight."""
        if index >= len(self.in_flight):
            return None
        sender, target, message = self.in_flight[index]
        if not may_repeat:
            self.in_flight = self.in_flight[:index] + self.in_flight[index + 1 :]
        account = self.members[target]
        if target in self.stopped:
            return self
        return self._send(target, account.on_message(self.now, sender, message))

    def lose(self, index: int) -> QuotaModel | None:
        """Lose a message in flight."""
        if index >= len(self.in_flight):
            return None
        self.in_flight = self.in_flight[:index] + self.in_flight[index + 1 :]
        return self

    def tick(self) -> QuotaModel:
        """Advance the time."""
        self.now += TICK
        return self

    def restart(self, member: int) -> QuotaModel | None:
        """Restart an instance without its state; None after the first restart, to limit the search."""
        self.restart_count += 1
        if self.restart_count > 1:
            return None
        term, is_only_process = 10_000 * self.restart_count + 100 * member, self.settings.unlent_share > 0
        self.members[member] = QuotaAccount(
            self.now, 1 / COUNT, term, self.settings, is_only_process=is_only_process
        )
        self.stopped -= {member}
        return self

    def toggle_stopped(self, member: int) -> QuotaModel:
        """Pause or resume an instance."""
        self.stopped ^= {member}
        return self

    def _send(self, sender: int, messages: list[QuotaMessage]) -> QuotaModel:
        self.in_flight += tuple((sender, message.member, message.message) for message in messages)
        return self


Step = Callable[[QuotaModel], QuotaModel | None]


def steps(model: QuotaModel) -> list[Step]:
    """Return all steps that are possible next."""
    next_steps: list[Step] = [
        lambda model: model.tick(),
        lambda model: model.request(0, 0.9),
        lambda model: model.request(0, 0.5),
    ]
    for index in range(len(model.in_flight)):
        next_steps.append(lambda model, at=index: model.deliver(at, may_repeat=False))  # type: ignore[misc]
        next_steps.append(lambda model, at=index: model.lose(at))  # type: ignore[misc]
    if model.in_flight:
        next_steps.append(lambda model: model.deliver(0, may_repeat=True))
    return next_steps + [
        lambda model: model.restart(0),
        lambda model: model.restart(1),
        lambda model: model.toggle_stopped(0),
    ]


def search(depth: int, settings: QuotaSettings = SETTINGS) -> tuple[int, float]:
    """Return the number of different states, and the highest sum of usable quotas in any of them.

    The search is limited to `depth` steps, four messages in flight and one restart.
    """
    seen, models, max_used = set[object](), [QuotaModel.begin(settings)], 0.0
    for _ in range(depth):
        next_models = []
        for model in models:
            for step in steps(model):
                next_model = step(model.copy())
                if (
                    next_model is None
                    or len(next_model.in_flight) > 4
                    or (key := next_model.state_key()) in seen
                ):
                    continue
                seen.add(key)
                max_used = max(max_used, next_model.used())
                next_models.append(next_model)
        models = next_models
    return len(seen), max_used


@pytest.mark.parametrize(
    "settings, depth",
    [(SETTINGS, DEPTH), (SETTINGS_WITH_UNLENT_SHARE, DEPTH - 1)],
    ids=["all lent", "unlent share"],
)
def test_in_every_interleaving_the_quotas_add_up_to_at_most_one(settings: QuotaSettings, depth: int) -> None:
    state_count, max_used = search(depth, settings)
    assert state_count > 5000 and max_used <= 1.0


def newest_only(zone_loans: quota_lending.ZoneLoans, now: float, member: int) -> int:
    loans = zone_loans.lent.get(member, [])
    return loans[-1][1] if loans and loans[-1][0] > now else 0


def lends_all(
    self: QuotaAccount, now: float, zone_loans: quota_lending.ZoneLoans, member: int, request: QuotaRequest
) -> int:
    unlent, self.unlent_steps = self.unlent_steps, 0
    amount = ORIGINAL_GRANT(self, now, zone_loans, member, request)
    self.unlent_steps = unlent
    return amount


def forgets_loans(self: QuotaAccount, now: float, *args: object, **fields: object) -> None:
    ORIGINAL_INIT(self, now, *args, **fields)  # type: ignore[arg-type]
    self.usable_from = -1e9


ORIGINAL_INIT, ORIGINAL_GRANT = QuotaAccount.__init__, QuotaAccount._grant


@pytest.mark.parametrize(
    "owner, name, defect, settings",
    [
        (QuotaAccount, "__init__", forgets_loans, SETTINGS),
        (quota_lending.ZoneLoans, "reserved", newest_only, SETTINGS),
        (QuotaAccount, "_grant", lends_all, SETTINGS_WITH_UNLENT_SHARE),
    ],
    ids=["no wait after a restart", "a smaller loan after a larger", "the unlent share is lent"],
)
def test_the_search_detects_a_removed_guard(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    name: str,
    defect: Callable[..., object],
    settings: QuotaSettings,
) -> None:
    monkeypatch.setattr(owner, name, defect)
    assert search(DEPTH, settings)[1] > 1.0


class RandomHistories(RuleBasedStateMachine):
    """Random histories, longer than those of the search, with clocks of different rates."""

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

    def clock(self, member: int) -> float:
        return 1000.0 * member + self.now * self.rates[member]

    @rule(elapsed_ms=st.floats(0.1, 15.0))
    def pass_time(self, elapsed_ms: float) -> None:
        self.now += elapsed_ms

    @rule(member=st.integers(0, COUNT - 1), share=st.floats(0.0, 1.0))
    def request_quota(self, member: int, share: float) -> None:
        demand = {other: share if other == member else (1 - share) / (COUNT - 1) for other in range(COUNT)}
        for message in self.processes[member][-1].request(self.clock(member), ZONE, demand, member):
            self.in_flight.append((member, message.member, message.message))

    @rule(index=st.integers(0, 20), is_repeated=st.booleans())
    def deliver(self, index: int, is_repeated: bool) -> None:
        if index < len(self.in_flight):
            sender, target, message = self.in_flight[index] if is_repeated else self.in_flight.pop(index)
            for reply in self.processes[target][-1].on_message(self.clock(target), sender, message):
                self.in_flight.append((target, reply.member, reply.message))

    @rule(member=st.integers(0, COUNT - 1))
    def restart(self, member: int) -> None:
        self.restart_count += 1
        is_only_process = self.settings_used.unlent_share > 0
        self.processes[member] = [
            QuotaAccount(
                self.clock(member),
                1 / COUNT,
                1000 * self.restart_count,
                self.settings_used,
                is_only_process=is_only_process,
            )
        ]

    @rule(member=st.integers(0, COUNT - 1))
    def upgrade(self, member: int) -> None:
        """Start a second process, of which the first is informed; the next call ends the first one."""
        if len(self.processes[member]) == 1:
            self.restart_count += 1
            self.processes[member][0].process_count = 2
            self.processes[member].append(
                QuotaAccount(self.clock(member), 1 / COUNT, 1000 * self.restart_count, self.settings_used)
            )
            self.processes[member][1].process_count = 2
        elif self.clock(member) >= self.processes[member][1].usable_from:
            self.processes[member] = [self.processes[member][1]]
            self.processes[member][0].process_count = 1

    @invariant()
    def quotas_do_not_exceed_the_budget(self) -> None:
        used = sum(
            account.usable(self.clock(member), ZONE)[0]
            for member, accounts in enumerate(self.processes)
            for account in accounts
        )
        assert used <= 1.0 + 1e-9


class RandomHistoriesWithUnlentShare(RandomHistories):
    """Random histories with a share that is never lent and may be used from the start."""

    settings_used = SETTINGS_WITH_UNLENT_SHARE


TestRandomHistoriesWithUnlentShare = RandomHistoriesWithUnlentShare.TestCase
TestRandomHistoriesWithUnlentShare.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)
TestRandomHistories = RandomHistories.TestCase
TestRandomHistories.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)


def test_the_instance_with_most_load_gets_most_of_the_budget() -> None:
    model = QuotaModel.begin()
    model.request(0, 0.8)
    while model.in_flight:
        model.deliver(0, may_repeat=False)
    share, expires_at = model.members[0].usable(model.now, ZONE)
    assert share > 0.75 and expires_at == model.now + SETTINGS.loan_ms and model.used() <= 1.0
    model.now += 2 * SETTINGS.loan_ms
    assert abs(model.used() - 1.0) < COUNT / QUOTA_STEPS + 1e-9, "expired loans are the lenders' again"
