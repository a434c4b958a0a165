"""What is believed of engines: floor, damping, cold returns, sources that disagree. On a fake clock."""

from __future__ import annotations

import dataclasses
from typing import Any

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.model import (
    Action,
    Address,
    ConfirmAbsence,
    Event,
    LogEvent,
    Observation,
    PublishChange,
    ServiceStatus,
    SourceGuard,
    SourceLost,
    SourceReport,
)
from cottonhold.scheduler.events import Engine, EngineState

LIVE, DRAINING, GONE = EngineState.LIVE, EngineState.DRAINING, EngineState.REMOVED
IN, UNHEALTHY, DRAINED, ENDED = (
    ServiceStatus.IN_SERVICE,
    ServiceStatus.UNHEALTHY,
    ServiceStatus.DRAINED,
    ServiceStatus.ENDED,
)
GUARD = SourceGuard(jitter=0.0)


def make_observation(name: str, verdict: ServiceStatus = IN, **more: Any) -> Observation:
    number = int(name[1:]) if name[1:].isdigit() else 0
    given = {"address": Address("10.0.0.1", 1000 + number), "registration_index": 5, **more}
    return Observation(name, verdict, **given)


class CatalogHarness:
    """A belief, and what has been published of it."""

    def __init__(self, *sources: tuple[str, SourceGuard], seed: int = 1) -> None:
        self.belief = EngineCatalog(sources or (("dc1", GUARD),), seed)
        self.engines: dict[str, Engine] = {}
        self.addresses: dict[str, Address] = {}
        self.published: list[tuple[float, str, EngineState]] = []
        self.actions: list[Action] = []
        self.now = 1000.0

    def step(self, *events: Event, at: float | None = None) -> list[Action]:
        self.now = self.now + 1 if at is None else at
        return self.apply(self.belief.step(self.now, events))

    def apply(self, actions: list[Action]) -> list[Action]:
        self.actions = actions
        for action in self.actions:
            if isinstance(action, PublishChange):
                for engine in action.change.engines:
                    self.engines[engine.id] = engine
                    self.published.append((self.now, engine.id, engine.state))
                self.addresses |= action.change.addresses
        return self.actions

    def report(
        self, *observations: Observation, source: str = "dc1", at: float | None = None
    ) -> list[Action]:
        return self.step(SourceReport(source, 7, observations, is_complete=True), at=at)

    def states(self) -> dict[str, EngineState]:
        return {engine_id: e.state for engine_id, e in sorted(self.engines.items()) if e.state is not GONE}

    def live(self) -> list[str]:
        return [engine_id for engine_id, state in self.states().items() if state is LIVE]

    def events(self) -> list[str]:
        return [a.event for a in self.actions if isinstance(a, LogEvent)]


def make_five(*bad: str, verdict: ServiceStatus = UNHEALTHY) -> list[Observation]:
    return [make_observation(f"e{i}", verdict if f"e{i}" in bad else IN) for i in range(5)]


def test_an_unhealthy_engine_is_out_at_once_and_returns_after_a_quiet_time() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report(*make_five("e1"), at=2000)
    assert told.states()["e1"] is DRAINING
    told.report(*make_five(), at=2100)
    assert told.states()["e1"] is DRAINING and told.belief.next_at() == 3100
    told.step(at=3099)
    assert told.states()["e1"] is DRAINING
    told.step(at=3100)
    assert told.states()["e1"] is LIVE


def test_an_engine_that_returns_is_cold_unless_its_process_is_proven_the_same() -> None:
    for process, started in (("", 3100.0), ("77", 77.0)):
        told = CatalogHarness()
        more: dict[str, Any] = {"process_id": process, "started_at": float(process or 0)}
        told.report(*make_five(), make_observation("e9", **more))
        told.report(*make_five(), make_observation("e9", UNHEALTHY, **more), at=2000)
        told.report(*make_five(), make_observation("e9", **more), at=2100)
        told.step(at=3100)
        assert told.engines["e9"].started_at == started


def test_ten_flaps_in_ten_seconds_return_the_engine_twice_at_most() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    for i in range(10):
        told.report(*make_five("e1"), at=2000 + i * 1000)
        told.report(*make_five(), at=2500 + i * 1000)
    told.step(at=60_000)
    entries = [
        at for at, engine_id, state in told.published if engine_id == "e1" and state is LIVE and at > 2000
    ]
    assert len(entries) <= 2
    told.step(at=120_000)
    assert told.live() == ["e0", "e1", "e2", "e3", "e4"]
    quiet = told.belief.views["dc1"].damping
    assert 0 < quiet.failure_count("e1", 180_000) < 10 * 0.5**2  # and it is forgotten by and by
    assert quiet.failure_count("e1", 3_000_000) == 0 and not quiet.counts


def test_all_critical_in_one_report_leaves_the_last_list_in_force() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report(*(make_observation(f"e{i}", UNHEALTHY) for i in range(5)))
    assert len(told.live()) == 5 and "engine_losses_held" in told.events()
    told.report(*make_five("e1", "e2"))  # three are well again: now the two that aren't do count
    assert told.live() == ["e0", "e3", "e4"]


def test_an_empty_report_after_a_full_one_is_confirmed_before_it_counts() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report()
    assert len(told.live()) == 5 and ConfirmAbsence("dc1", ("e0", "e1", "e2", "e3", "e4")) in told.actions
    told.step(SourceReport("dc1", 8, absent=("e0", "e1", "e2"), is_confirmed=True))
    assert told.live() == ["e3", "e4"] and not [a for a in told.actions if isinstance(a, ConfirmAbsence)]


def test_one_deregistered_engine_is_removed_but_not_the_last() -> None:
    told = CatalogHarness()
    told.report(make_observation("e0"), make_observation("e1"))
    told.report(make_observation("e0"))
    assert told.states() == {"e0": LIVE}
    told.report()
    assert told.states() == {"e0": LIVE}


def test_engines_in_their_quiet_time_do_not_count_as_in_service() -> None:
    """Half fall and come back; while they wait for their quiet the other half falls."""
    told = CatalogHarness()
    half, rest = ("e0", "e1"), ("e2", "e3", "e4")
    told.report(*make_five())
    told.report(*make_five(*half), at=2000)
    told.report(*make_five(), at=2100)
    told.report(*make_five(*rest), at=2200)
    assert told.live() == list(rest)
    told.step(at=3100)  # the first two serve again, but two of five are too few to let the others fall
    assert told.live() == ["e0", "e1", *rest]


def test_a_drain_counts_whatever_min_in_service_is() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report(*(make_observation(f"e{i}", DRAINED) for i in range(5)))
    assert told.live() == []


def test_an_id_registered_anew_is_a_new_process_even_without_a_gap() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report(*make_five()[1:], make_observation("e0", registration_index=9), at=5000)
    assert told.engines["e0"] == Engine("e0", started_at=5000.0)


def test_a_known_id_at_a_new_address_is_a_new_process() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    moved = Address("10.0.0.9", 1)
    told.report(*make_five()[1:], make_observation("e0", address=moved), at=5000)
    assert told.engines["e0"].started_at == 5000 and told.addresses["e0"] == moved


def test_a_new_id_at_a_known_address_owns_it_and_the_old_id_drains() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report(
        *make_five(),
        make_observation("e9", address=make_observation("e0").address, registration_index=9),
        at=5000,
    )
    assert told.states()["e9"] is LIVE and told.engines["e9"].started_at == 5000
    assert told.states()["e0"] is DRAINING and "address_conflict" in told.events()
    told.report(*make_five(), at=6000)
    assert told.states()["e0"] is LIVE and "e9" not in told.states()


def test_a_stale_id_with_the_older_registration_does_not_take_the_address() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.report(
        *make_five(), make_observation("e9", address=make_observation("e0").address, registration_index=2)
    )
    assert told.states()["e9"] is DRAINING and told.states()["e0"] is LIVE


def test_an_unreachable_source_changes_nothing_and_is_logged_once() -> None:
    told = CatalogHarness()
    told.report(*make_five())
    told.step(SourceLost("dc1", "refused"))
    assert told.events() == ["source_lost"] and len(told.live()) == 5
    told.step(SourceLost("dc1", "refused"), at=400_000)
    assert told.events() == [] and len(told.live()) == 5
    told.step(SourceReport("dc1", 8))
    assert told.events() == ["source_recovered"]


def test_of_two_sources_the_more_cautious_claim_wins() -> None:
    told = CatalogHarness(("a", GUARD), ("b", GUARD))
    told.report(*make_five(), source="a")
    told.report(*make_five("e1"), source="b")
    assert told.states()["e1"] is DRAINING and told.states()["e2"] is LIVE


def test_an_end_reported_by_one_source_drains_until_the_other_answers() -> None:
    told = CatalogHarness(("a", GUARD), ("b", GUARD))
    told.report(*make_five(), source="a")
    told.report(*make_five(), source="b")
    told.report(*make_five()[1:], source="a")
    assert told.states()["e0"] is DRAINING
    told.step(SourceReport("b", 9))  # nothing changed there: it still lists e0
    assert told.states()["e0"] is LIVE
    told.report(*make_five()[1:], source="b")
    assert "e0" not in told.states()


def test_a_removed_source_ends_no_engine_that_another_lists() -> None:
    told = CatalogHarness(("a", GUARD), ("b", GUARD))
    told.report(*make_five(), source="a")
    told.report(*make_five(), make_observation("e9"), source="b")
    actions = told.belief.reload(2000.0, (("a", GUARD),))
    (publish,) = [a for a in actions if isinstance(a, PublishChange)]
    assert publish.change.engines == (Engine("e9", state=GONE),)


def test_a_trusted_source_has_no_quiet_times_and_no_minimum_in_service() -> None:
    told = CatalogHarness(("bus", SourceGuard(is_trusted=True)))
    told.report(make_observation("e0", started_at=0.0), make_observation("e1", started_at=9e12), source="bus")
    assert told.engines["e0"].started_at == 0.0
    assert told.engines["e1"].started_at == told.now == 1001.0  # but no start is to come
    told.step(SourceReport("bus", 3, (make_observation("e0", ENDED), make_observation("e1", DRAINED))))
    assert told.states() == {"e1": DRAINING}
    told.step(SourceReport("bus", 4, (make_observation("e1"),)))
    assert told.states() == {"e1": LIVE} and told.belief.next_at() == float("inf")
    told.report(source="bus")
    assert told.states() == {}


def test_initial_engines_serve_until_a_source_answers_and_are_not_cold() -> None:
    told = CatalogHarness()
    told.apply(
        told.belief.set_initial(1000.0, [dataclasses.replace(o, registration_index=0) for o in make_five()])
    )
    told.step(SourceLost("dc1", "refused"))
    told.report(*make_five()[:4], make_observation("e7"), at=9000)
    assert told.live() == ["e0", "e1", "e2", "e3", "e7"]
    assert {e.started_at for e in told.engines.values() if e.state is LIVE} == {0.0}


def test_an_initial_engine_is_as_old_as_the_first_answer_reports() -> None:
    told = CatalogHarness()
    told.apply(
        told.belief.set_initial(10_000.0, [dataclasses.replace(o, registration_index=0) for o in make_five()])
    )
    told.report(
        make_observation("e0", started_at=9000.0),
        make_observation("e1", started_at=99_000.0),
        *make_five()[2:],
        at=11_000,
    )
    assert {e.id: e.started_at for e in told.engines.values()} == {
        "e0": 9000.0, "e1": 11_000.0, "e2": 0.0, "e3": 0.0, "e4": 0.0
    }  # fmt: skip
    told.report(make_observation("e0", started_at=9000.0), *make_five()[1:], at=12_000)
    assert told.engines["e0"].started_at == 9000.0 and told.live() == ["e0", "e1", "e2", "e3", "e4"]


PHASES = (Phase.explicit, Phase.generate)  # shrinking takes minutes: switch it on by hand for a failure
NAMES = [f"e{i}" for i in range(6)]
ENTRY = st.builds(
    make_observation,
    st.sampled_from(NAMES),
    st.sampled_from([IN, IN, IN, UNHEALTHY, UNHEALTHY, DRAINED]),
    registration_index=st.integers(1, 3),
    address=st.sampled_from([Address("10.0.0.1", 1000 + i) for i in range(6)]),
    process_id=st.sampled_from(["", "1", "2"]),
)
LISTS = st.lists(ENTRY, max_size=6, unique_by=lambda o: o.id)
STEP = st.tuples(
    st.sampled_from(["a", "b"]),
    st.sampled_from(["list", "list", "list", "lost", "wait", "confirmed"]),
    LISTS,
    st.floats(1, 4000),
)


def play(steps: list[Any], check: bool = True) -> CatalogHarness:
    told = CatalogHarness(("a", SourceGuard()), ("b", SourceGuard()), seed=3)
    told.report(*make_five(), source="a")
    told.report(*make_five(), source="b")
    for source, kind, observations, gap in steps:
        view, at = told.belief.views[source], told.now + gap
        served = any(c.state is LIVE for c in view.claims.values())
        if kind == "lost":
            told.step(at=at)
            told.step(SourceLost(source, "refused"), at=at)
            assert not [a for a in told.actions if isinstance(a, PublishChange)]
        elif kind == "wait":
            told.step(at=at)
        elif kind == "confirmed":
            absent = tuple(sorted(view.claims))[:2]
            told.step(SourceReport(source, 9, absent=absent, is_confirmed=True), at=at)
            assert not any(engine_id in view.claims for engine_id in absent)
        else:
            told.report(*observations, source=source, at=at)
            check_answer(told, source, observations, served)
        check_counts(told)
    return told


def check_answer(told: CatalogHarness, source: str, observations: list[Observation], served: bool) -> None:
    view = told.belief.views[source]
    for o in observations:
        if o.status is DRAINED:  # told drains count at once, always
            assert told.states().get(o.id) is not LIVE
        elif o.status is UNHEALTHY:
            assert told.states().get(o.id) is not LIVE or view.claims[o.id].is_held
    # Symptoms and absences alone never take the last engine of a source out of service.
    if served and not any(o.status is DRAINED for o in observations):
        assert any(c.state is LIVE for c in view.claims.values())


def check_counts(told: CatalogHarness) -> None:
    for view in told.belief.views.values():
        claims = view.claims.values()
        assert view.in_service_count == sum(c.observation.status is IN and not c.is_held for c in claims)
        assert view.unhealthy_count == sum(
            c.observation.status is UNHEALTHY and not c.is_held for c in claims
        )
        assert view.held_losses.keys() == {c.observation.id for c in claims if c.is_held}
        assert view.return_times.keys() == {c.observation.id for c in claims if c.returns_at < float("inf")}
        for c in claims:
            assert not (c.is_held and c.state is not LIVE)
    live = [told.addresses[engine_id] for engine_id in told.live()]
    assert len(live) == len(set(live)), "two engines in service at one address"


@settings(max_examples=150, deadline=None, phases=PHASES)
@given(st.lists(STEP, max_size=25))
def test_any_sequence_keeps_counts_and_guards_and_repeats_by_seed(steps: list[Any]) -> None:
    first, second = play(steps), play(steps)
    assert first.published == second.published and first.engines == second.engines


@settings(max_examples=60, deadline=None, phases=PHASES)
@given(st.lists(st.tuples(st.booleans(), st.floats(1, 3000)), min_size=1, max_size=60))
def test_returns_of_a_flapping_engine_are_bounded(steps: list[tuple[bool, float]]) -> None:
    """In any minute an engine comes back at most seven times: quiet doubles while falls decay by half."""
    told = CatalogHarness(seed=3)
    told.report(*make_five())
    for well, gap in steps:
        told.report(*(make_five() if well else make_five("e1")), at=told.now + gap)
    entries = [at for at, engine_id, state in told.published if engine_id == "e1" and state is LIVE][1:]
    for start in entries:
        assert sum(start <= at < start + 60_000 for at in entries) <= 7


@settings(max_examples=80, deadline=None, phases=PHASES)
@given(st.lists(st.tuples(LISTS, st.floats(1, 500)), max_size=30))
def test_only_drains_and_confirmed_ends_empty_the_list(steps: list[Any]) -> None:
    told = CatalogHarness(seed=4)
    told.report(*make_five())
    for observations, gap in steps:
        symptoms = [dataclasses.replace(o, address=make_observation(o.id).address) for o in observations]
        symptoms = [o for o in symptoms if o.status is not DRAINED]
        told.report(*symptoms, at=told.now + gap)
        assert told.live()
