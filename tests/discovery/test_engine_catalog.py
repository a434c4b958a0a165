"""The engine catalog on a fake clock: deferred losses, flap damping, cold returns, conflicting sources."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cottonhold.discovery.model import (
    Address,
    ConfiguredNames,
    ConfirmAbsence,
    Observation,
    PublishChange,
    ServiceStatus,
    SourceGuard,
    SourceReport,
    SourceUnavailable,
)
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine
from tests.discovery.catalog_harness import (
    DRAINED,
    DRAINING,
    ENDED,
    GUARD,
    IN,
    LIVE,
    REMOVED,
    UNHEALTHY,
    CatalogHarness,
    make_five,
    make_observation,
)


def test_an_unhealthy_engine_drains_immediately_and_returns_after_a_quiet_time() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report(*make_five("e1"), at=2000)
    assert harness.states()["e1"] is DRAINING
    harness.report(*make_five(), at=2100)
    assert harness.states()["e1"] is DRAINING and harness.catalog.next_at() == 3100
    harness.step(at=3099)
    assert harness.states()["e1"] is DRAINING
    harness.step(at=3100)
    assert harness.states()["e1"] is LIVE


def test_an_engine_that_returns_is_cold_unless_its_process_is_proven_the_same() -> None:
    for process, started in (("", 3100.0), ("77", 77.0)):
        harness = CatalogHarness()
        more: dict[str, Any] = {"process_id": process, "started_at": float(process or 0)}
        harness.report(*make_five(), make_observation("e9", **more))
        harness.report(*make_five(), make_observation("e9", UNHEALTHY, **more), at=2000)
        harness.report(*make_five(), make_observation("e9", **more), at=2100)
        harness.step(at=3100)
        assert harness.engines["e9"].started_at == started


def test_ten_flaps_in_ten_seconds_return_an_engine_to_service_at_most_twice() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    for i in range(10):
        harness.report(*make_five("e1"), at=2000 + i * 1000)
        harness.report(*make_five(), at=2500 + i * 1000)
    harness.step(at=60_000)
    entries = [
        at for at, engine_id, state in harness.published if engine_id == "e1" and state is LIVE and at > 2000
    ]
    assert len(entries) <= 2
    harness.step(at=120_000)
    assert harness.live() == ["e0", "e1", "e2", "e3", "e4"]
    quiet = harness.catalog.views["dc1"].damping
    assert 0 < quiet.failure_count("e1", 180_000) < 10 * 0.5**2  # the count decays
    assert quiet.failure_count("e1", 3_000_000) == 0 and not quiet.counts


def test_all_critical_in_one_report_leaves_the_last_list_in_effect() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report(*(make_observation(f"e{i}", UNHEALTHY) for i in range(5)))
    assert len(harness.live()) == 5 and "engine_losses_held" in harness.events()
    harness.report(*make_five("e1", "e2"))  # three have recovered, so the losses of the other two are applied
    assert harness.live() == ["e0", "e3", "e4"]


def test_an_empty_report_after_a_full_one_is_confirmed_before_it_counts() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report()
    assert (
        len(harness.live()) == 5 and ConfirmAbsence("dc1", ("e0", "e1", "e2", "e3", "e4")) in harness.actions
    )
    harness.step(SourceReport("dc1", 8, absent=("e0", "e1", "e2"), is_confirmed=True))
    assert harness.live() == ["e3", "e4"] and not [
        a for a in harness.actions if isinstance(a, ConfirmAbsence)
    ]


def test_one_deregistered_engine_is_removed_but_not_the_last() -> None:
    harness = CatalogHarness()
    harness.report(make_observation("e0"), make_observation("e1"))
    harness.report(make_observation("e0"))
    assert harness.states() == {"e0": LIVE}
    harness.report()
    assert harness.states() == {"e0": LIVE}


def test_engines_in_their_quiet_time_do_not_count_as_in_service() -> None:
    """Two engines fail and recover; during their quiet time the other three fail."""
    harness = CatalogHarness()
    half, rest = ("e0", "e1"), ("e2", "e3", "e4")
    harness.report(*make_five())
    harness.report(*make_five(*half), at=2000)
    harness.report(*make_five(), at=2100)
    harness.report(*make_five(*rest), at=2200)
    assert harness.live() == list(rest)
    harness.step(at=3100)  # the first two are in service again, but two of five are below the minimum
    assert harness.live() == ["e0", "e1", *rest]


def test_a_drain_counts_whatever_min_in_service_is() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report(*(make_observation(f"e{i}", DRAINED) for i in range(5)))
    assert harness.live() == []


def test_a_new_registration_of_an_id_is_a_new_process_even_without_a_gap() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report(*make_five()[1:], make_observation("e0", registration_index=9), at=5000)
    assert harness.engines["e0"] == Engine("e0", started_at=5000.0)


def test_a_known_id_at_a_new_address_is_a_new_process() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    moved = Address("10.0.0.9", 1)
    harness.report(*make_five()[1:], make_observation("e0", address=moved), at=5000)
    assert harness.engines["e0"].started_at == 5000 and harness.addresses["e0"] == moved


def test_a_new_id_at_a_known_address_owns_it_and_the_old_id_drains() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report(
        *make_five(),
        make_observation("e9", address=make_observation("e0").address, registration_index=9),
        at=5000,
    )
    assert harness.states()["e9"] is LIVE and harness.engines["e9"].started_at == 5000
    assert harness.states()["e0"] is DRAINING and "address_conflict" in harness.events()
    harness.report(*make_five(), at=6000)
    assert harness.states()["e0"] is LIVE and "e9" not in harness.states()


def test_a_stale_id_with_the_older_registration_does_not_own_the_address() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.report(
        *make_five(), make_observation("e9", address=make_observation("e0").address, registration_index=2)
    )
    assert harness.states()["e9"] is DRAINING and harness.states()["e0"] is LIVE


def test_an_unreachable_source_changes_nothing_and_is_logged_once() -> None:
    harness = CatalogHarness()
    harness.report(*make_five())
    harness.step(SourceUnavailable("dc1", "refused"))
    assert harness.events() == ["source_lost"] and len(harness.live()) == 5
    harness.step(SourceUnavailable("dc1", "refused"), at=400_000)
    assert harness.events() == [] and len(harness.live()) == 5
    harness.step(SourceReport("dc1", 8))
    assert harness.events() == ["source_recovered"]


def test_of_two_sources_the_more_cautious_claim_wins() -> None:
    harness = CatalogHarness(("a", GUARD), ("b", GUARD))
    harness.report(*make_five(), source="a")
    harness.report(*make_five("e1"), source="b")
    assert harness.states()["e1"] is DRAINING and harness.states()["e2"] is LIVE


def test_an_end_reported_by_one_source_drains_until_the_other_answers() -> None:
    harness = CatalogHarness(("a", GUARD), ("b", GUARD))
    harness.report(*make_five(), source="a")
    harness.report(*make_five(), source="b")
    harness.report(*make_five()[1:], source="a")
    assert harness.states()["e0"] is DRAINING
    harness.step(SourceReport("b", 9))  # an answer without changes: the source still lists e0
    assert harness.states()["e0"] is LIVE
    harness.report(*make_five()[1:], source="b")
    assert "e0" not in harness.states()


def test_a_removed_source_ends_no_engine_that_another_lists() -> None:
    harness = CatalogHarness(("a", GUARD), ("b", GUARD))
    harness.report(*make_five(), source="a")
    harness.report(*make_five(), make_observation("e9"), source="b")
    actions = harness.catalog.reload(2000.0, (("a", GUARD),))
    (publish,) = [a for a in actions if isinstance(a, PublishChange)]
    assert publish.change.engines == (Engine("e9", state=REMOVED),)


def test_a_trusted_source_has_no_quiet_times_and_no_minimum_in_service() -> None:
    harness = CatalogHarness(("bus", SourceGuard(is_trusted=True)))
    harness.report(
        make_observation("e0", started_at=0.0), make_observation("e1", started_at=9e12), source="bus"
    )
    assert harness.engines["e0"].started_at == 0.0
    assert harness.engines["e1"].started_at == harness.now == 1001.0  # a start in the future counts as now
    harness.step(SourceReport("bus", 3, (make_observation("e0", ENDED), make_observation("e1", DRAINED))))
    assert harness.states() == {"e1": DRAINING}
    harness.step(SourceReport("bus", 4, (make_observation("e1"),)))
    assert harness.states() == {"e1": LIVE} and harness.catalog.next_at() == float("inf")
    harness.report(source="bus")
    assert harness.states() == {}


def test_initial_engines_serve_until_a_source_answers_and_are_not_cold() -> None:
    harness = CatalogHarness()
    harness.apply(
        harness.catalog.set_initial(
            1000.0, [dataclasses.replace(o, registration_index=0) for o in make_five()]
        )
    )
    harness.step(SourceUnavailable("dc1", "refused"))
    harness.report(*make_five()[:4], make_observation("e7"), at=9000)
    assert harness.live() == ["e0", "e1", "e2", "e3", "e7"]
    assert {e.started_at for e in harness.engines.values() if e.state is LIVE} == {0.0}


def test_an_initial_engine_is_as_old_as_the_first_answer_reports() -> None:
    harness = CatalogHarness()
    harness.apply(
        harness.catalog.set_initial(
            10_000.0, [dataclasses.replace(o, registration_index=0) for o in make_five()]
        )
    )
    harness.report(
        make_observation("e0", started_at=9000.0),
        make_observation("e1", started_at=99_000.0),
        *make_five()[2:],
        at=11_000,
    )
    assert {e.id: e.started_at for e in harness.engines.values()} == {
        "e0": 9000.0, "e1": 11_000.0, "e2": 0.0, "e3": 0.0, "e4": 0.0
    }  # fmt: skip
    harness.report(make_observation("e0", started_at=9000.0), *make_five()[1:], at=12_000)
    assert harness.engines["e0"].started_at == 9000.0 and harness.live() == ["e0", "e1", "e2", "e3", "e4"]


PHASES = (Phase.explicit, Phase.generate)  # shrinking takes minutes; enable it to examine a failure
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
    harness = CatalogHarness(("a", SourceGuard()), ("b", SourceGuard()), seed=3)
    harness.report(*make_five(), source="a")
    harness.report(*make_five(), source="b")
    for source, kind, observations, gap in steps:
        view, at = harness.catalog.views[source], harness.now + gap
        served = any(c.state is LIVE for c in view.claims.values())
        if kind == "lost":
            harness.step(at=at)
            harness.step(SourceUnavailable(source, "refused"), at=at)
            assert not [a for a in harness.actions if isinstance(a, PublishChange)]
        elif kind == "wait":
            harness.step(at=at)
        elif kind == "confirmed":
            absent = tuple(sorted(view.claims))[:2]
            harness.step(SourceReport(source, 9, absent=absent, is_confirmed=True), at=at)
            assert not any(engine_id in view.claims for engine_id in absent)
        else:
            harness.report(*observations, source=source, at=at)
            check_answer(harness, source, observations, served)
        check_counts(harness)
    return harness


def check_answer(harness: CatalogHarness, source: str, observations: list[Observation], served: bool) -> None:
    view = harness.catalog.views[source]
    for o in observations:
        if o.status is DRAINED:  # drains always take effect immediately
            assert harness.states().get(o.id) is not LIVE
        elif o.status is UNHEALTHY:
            assert harness.states().get(o.id) is not LIVE or view.claims[o.id].is_loss_deferred
    # Symptoms and absences alone never take the last engine of a source out of service.
    if served and not any(o.status is DRAINED for o in observations):
        assert any(c.state is LIVE for c in view.claims.values())


def check_counts(harness: CatalogHarness) -> None:
    for view in harness.catalog.views.values():
        claims = view.claims.values()
        assert view.in_service_count == sum(
            c.observation.status is IN and not c.is_loss_deferred for c in claims
        )
        assert view.unhealthy_count == sum(
            c.observation.status is UNHEALTHY and not c.is_loss_deferred for c in claims
        )
        assert view.deferred_losses.keys() == {c.observation.id for c in claims if c.is_loss_deferred}
        assert view.return_times.keys() == {c.observation.id for c in claims if c.returns_at < float("inf")}
        for c in claims:
            assert not (c.is_loss_deferred and c.state is not LIVE)
    live = [harness.addresses[engine_id] for engine_id in harness.live()]
    assert len(live) == len(set(live)), "two engines in service at one address"


@settings(max_examples=150, deadline=None, phases=PHASES)
@given(st.lists(STEP, max_size=25))
def test_any_sequence_preserves_counts_and_safeguards_and_is_repeatable(steps: list[Any]) -> None:
    first, second = play(steps), play(steps)
    assert first.published == second.published and first.engines == second.engines


@settings(max_examples=60, deadline=None, phases=PHASES)
@given(st.lists(st.tuples(st.booleans(), st.floats(1, 3000)), min_size=1, max_size=60))
def test_returns_of_a_flapping_engine_are_bounded(steps: list[tuple[bool, float]]) -> None:
    """An engine returns at most seven times a minute, as its quiet time doubles with each failure."""
    harness = CatalogHarness(seed=3)
    harness.report(*make_five())
    for is_healthy, gap in steps:
        harness.report(*(make_five() if is_healthy else make_five("e1")), at=harness.now + gap)
    entries = [at for at, engine_id, state in harness.published if engine_id == "e1" and state is LIVE][1:]
    for start in entries:
        assert sum(start <= at < start + 60_000 for at in entries) <= 7


@settings(max_examples=80, deadline=None, phases=PHASES)
@given(st.lists(st.tuples(LISTS, st.floats(1, 500)), max_size=30))
def test_only_drains_and_confirmed_ends_empty_the_list(steps: list[Any]) -> None:
    harness = CatalogHarness(seed=4)
    harness.report(*make_five())
    for observations, gap in steps:
        symptoms = [dataclasses.replace(o, address=make_observation(o.id).address) for o in observations]
        symptoms = [o for o in symptoms if o.status is not DRAINED]
        harness.report(*symptoms, at=harness.now + gap)
        assert harness.live()


def test_a_removed_engine_is_published_with_its_place() -> None:
    """Guards against the first zone in place of that of a removed engine, on which attempts may still run."""
    harness = CatalogHarness(("bus", SourceGuard(is_trusted=True)))
    harness.report(make_observation("e0", zone=2, cell=3, machine_type=1, started_at=5.0), source="bus")
    harness.report(make_observation("e0", ENDED), source="bus")
    assert harness.engines["e0"] == Engine("e0", zone=2, cell=3, machine_type=1, state=REMOVED)


@pytest.mark.parametrize("status", [IN, DRAINED])
def test_what_a_later_report_does_not_name_keeps_its_value(status: ServiceStatus) -> None:
    """Guards against a default that is taken for what a source names only once."""
    harness = CatalogHarness(("bus", SourceGuard(is_trusted=True)))
    place: dict[str, Any] = {"zone": 2, "cell": 3, "machine_type": 1}
    harness.report(make_observation("e0", started_at=0.0, **place), source="bus")
    nothing: dict[str, Any] = {"address": None, **dict.fromkeys(place)}
    harness.report(make_observation("e0", status, started_at=0.0, **nothing), source="bus")
    engine = harness.engines["e0"]
    assert (engine.zone, engine.cell, engine.machine_type) == (2, 3, 1)
    assert harness.catalog.published["e0"].address == Address("10.0.0.1", 1000)


def test_an_engine_whose_place_was_never_named_is_in_no_known_place() -> None:
    harness = CatalogHarness(("bus", SourceGuard(is_trusted=True)))
    harness.report(make_observation("e0", zone=None, cell=None), source="bus")
    assert (harness.engines["e0"].zone, harness.engines["e0"].cell) == (UNKNOWN_PLACE, UNKNOWN_PLACE)


def test_a_zone_that_is_not_configured_is_not_the_first_one() -> None:
    names = ConfiguredNames(("east", "west"), ())
    assert [names.reported_zone(name) for name in ("west", "north", None)] == [1, UNKNOWN_PLACE, None]
    assert ConfiguredNames((), ()).reported_zone(None) == 0
