"""Many gateways on one fleet: what each may do must add up, and cost only what concerns it."""

from __future__ import annotations

import dataclasses
import math
import struct

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler import peer_load
from cottonhold.scheduler.actions import Action, Reject, SendToPeer, SetTimer
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import (
    ClientDisconnected,
    Engine,
    EngineList,
    EngineState,
    Outcome,
    PeerMessage,
    ProgressKind,
    ProgressNote,
)
from cottonhold.scheduler.scheduler import PEER_PRICE
from cottonhold.scheduler.settings import MachineType, MemoryShortage, OverheadCosts
from tests.scheduler.test_scheduler import (
    LOOKUP,
    PERMITS,
    RULES,
    answers,
    arrival,
    ended,
    engines,
    sends,
    settings,
)

REPORT = dataclasses.replace(
    LOOKUP, name="report", latency_objective_ms=4000.0, deadline_ms=20000.0, utility=6.0, threads=2
)
MODEL = MachineType(8, 16000.0)


def fleet(count: int, state: EngineState = EngineState.LIVE, prefix: str = "e") -> EngineList:
    return EngineList(tuple(Engine(f"{prefix}{i}", state=state) for i in range(count)), is_complete=False)


@pytest.mark.parametrize("gateways", [1, 2, 40, 270])
def test_what_all_gateways_send_to_a_cold_engine_stays_within_its_limit(gateways: int) -> None:
    """Found at full size: one query of each gateway at once, or a few long reports, tip a cold engine."""
    setup = settings(classes=(LOOKUP, REPORT), gateway_count=gateways)
    crowd = [Scheduler(dataclasses.replace(setup, gateway_index=seed), seed) for seed in range(gateways)]
    cold = EngineList((Engine("cold", started_at=900.0),), is_complete=True)
    for s in crowd:
        s.step(1000.0, [cold])
    sent: list[tuple[int, float]] = []
    costs = (200.0, 2800.0)
    for t in range(1000, 7000, 200):
        for n, s in enumerate(crowd):
            kind = int((t // 200 + n) % 6 == 0)
            events = [
                arrival(f"q{t}", deadline_at=t + 20000.0, estimated_work_ms=costs[kind], query_class=kind)
            ]
            for name, engine in sends(s.step(float(t), events)):
                told = costs[int(s.queries[name].query_class is REPORT)]
                sent.append((t, told))
                done = ended(
                    name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=told, elapsed_ms=told
                )
                s.step(float(t), [done])
    limit = RULES.overload_factor * RULES.cold_capacity_share * MODEL.cores * RULES.overload_window_ms
    worst = max(
        sum(c for t, c in sent if a <= t < a + RULES.overload_window_ms) for a in range(1000, 9000, 100)
    )
    assert sent and worst <= limit


def test_cold_engines_get_a_fair_part_of_their_budget_where_each_gateway_draws_on_a_few() -> None:
    """Found on the fleet's days: divided among all though few draw on it, and kept from every report."""
    setup = settings(classes=(LOOKUP, REPORT), gateway_count=40)
    crowd = [Scheduler(dataclasses.replace(setup, gateway_index=n), n) for n in range(40)]
    cold = tuple(Engine(f"e{i:02}", started_at=900.0) for i in range(30))
    work: dict[str, dict[int, float]] = {e.id: {0: 0.0, 1: 0.0} for e in cold}
    for n, s in enumerate(crowd):
        s.step(1000.0, [EngineList(cold, is_complete=True)])
        for t in range(1000, 5000, 200):
            kind = t // 200 % 2
            events = [
                arrival(
                    f"q{t}",
                    deadline_at=t + 20000.0,
                    estimated_work_ms=(200.0, 2800.0)[kind],
                    query_class=kind,
                )
            ]
            for name, engine in sends(s.step(float(t + n), events)):
                cost = s.queries[name].estimated_work_ms
                work[engine][int(s.queries[name].query_class is REPORT)] += cost
                s.step(
                    float(t + n),
                    [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=cost)],
                )
    most = RULES.overload_factor * RULES.cold_capacity_share * MODEL.cores * 4000 * len(cold)
    by_kind = [sum(w[kind] for w in work.values()) for kind in (0, 1)]
    assert sum(by_kind) > most / 8 and by_kind[1] > by_kind[0]


def test_own_report_does_not_hide_the_fleet_from_a_lookup_at_a_small_share() -> None:
    """Found on a mid-size day: a report out over a room of 0.1 thread made every finish worthless."""
    s = Scheduler(settings(classes=(LOOKUP, REPORT), gateway_count=200), 1)
    s.step(0.0, [fleet(40)])
    assert sends(s.step(5.0, [arrival("r", deadline_at=20000.0, estimated_work_ms=6000.0, query_class=1)]))
    assert [q for q, _ in sends(s.step(10.0, [arrival("a"), arrival("b")]))] == ["a", "b"]


def test_paging_engines_are_not_flooded_by_one_report_of_each_gateway_on_each_engine() -> None:
    """Found at full size: with one query allowed on each engine by each gateway, memory ran over."""
    setup = settings(classes=(REPORT,), gateway_count=200, on_memory_shortage=MemoryShortage.PAGE)
    s = Scheduler(setup, 1)
    s.step(0.0, [fleet(20)])
    events = [
        arrival(f"r{i}", deadline_at=20000.0, estimated_work_ms=3000.0, estimated_memory_mb=2000.0)
        for i in range(20)
    ]
    assert 1 <= len(sends(s.step(5.0, events))) <= 2


def test_an_idle_gateway_asks_for_no_wake() -> None:
    s = Scheduler(settings(gateway_count=200), 1)
    assert not [a for a in s.step(0.0, [fleet(40)]) if isinstance(a, SetTimer)]
    ((name, engine),) = sends(s.step(5.0, [arrival("q")]))
    s.step(100.0, [ended(name, Outcome.OK, engine=engine, is_final=True)])
    wakes = [a for t in range(150, 2000, 50) for a in s.step(float(t), []) if isinstance(a, SetTimer)]
    assert len(wakes) <= 2


TALKING = dataclasses.replace(PERMITS, has_peer_messages=True)


@pytest.mark.parametrize("gateways, count", [(3, 7), (40, 30), (200, 60)])
def test_what_peers_are_told_stays_within_its_price_and_goes_to_those_that_share_engines(
    gateways: int, count: int
) -> None:
    s = Scheduler(
        settings(
            gateway_count=gateways,
            gateway_index=2,
            features=TALKING,
            overhead_costs=OverheadCosts(per_peer_message=0.01),
        ),
        1,
    )
    s.step(0.0, [fleet(count)])
    told = list[SendToPeer]()
    for t in range(0, 20000, 125):
        done = s.step(float(t), [arrival(f"q{t}", deadline_at=t + 5000.0)])
        told += [a for a in done if isinstance(a, SendToPeer)]
        for name, engine in sends(done):
            s.step(t + 100.0, [ended(name, Outcome.OK, engine=engine, is_final=True)])
    assert 0.01 * sum(len(a.payload) for a in told) / 256 < 1.3 * PEER_PRICE * 160
    near = {m for e in s.live_engines if e.id in s.own_engine_ids for m in peer_load.peers_sharing(s, e)}
    assert (
        told and 2 not in near and {a.peer for a in told} <= near and all(len(a.payload) <= 256 for a in told)
    )


def heard(s: Scheduler, now: float, peer: int, *engines: tuple[str, int, float, float]) -> list[Action]:
    """A peer's message: its threads, memory and planned thread time on engines."""
    rows = [(s.engines[e].id_hash, n, int(mb / 16), int(area / 32)) for e, n, mb, area in engines]
    data = struct.pack(">Bf", 3, 0.0) + b"".join(struct.pack(">IBHH", *row) for row in rows)
    return s.step(now, [PeerMessage(peer, data)])


@pytest.mark.parametrize(
    "threads, memory, area, silent, again, sent",
    [
        (1, 100.0, 100.0, 0.0, False, {"e1", "e2"}),
        (60, 100.0, 90000.0, 0.0, False, {"e2"}),  # more is planned there than on the other
        (1, 16000.0, 100.0, 0.0, False, {"e2"}),  # its memory is full: one more spills
        (60, 16000.0, 90000.0, 0.0, True, {"e1", "e2"}),  # the peer has told since that nothing is left
        (60, 16000.0, 90000.0, 20000.0, False, {"e1", "e2"}),  # the peer fell silent: it may have died
    ],
    ids=["little", "busy", "full", "left", "silent"],
)
def test_what_peers_have_out_on_an_engine_counts_there(
    threads: int, memory: float, area: float, silent: float, again: bool, sent: set[str]
) -> None:
    """Found on join+vast: half of the engines stood idle, the others ran at 2 to 5 times their room."""
    setup = settings(
        classes=(REPORT,), gateway_count=3, features=TALKING, on_memory_shortage=MemoryShortage.SHRINK
    )
    s = Scheduler(setup, 1)
    s.step(0.0, [engines("e1", "e2")])
    heard(s, 5.0, 1, ("e1", threads, memory, area))
    start = 400.0 + silent
    heard(s, start - 1, 2, ("e1", 1, 0.0, 0.0))
    if again:
        heard(s, start - 1, 1)
    s.step(start, [engines("e1", "e2")])
    went = list[tuple[str, str]]()
    for i in range(6):
        query = arrival(
            f"r{i}", deadline_at=start + 20000, estimated_work_ms=1000.0, estimated_memory_mb=600.0
        )
        went += sends(s.step(start + i, [query]))
    assert {e for _, e in went} == sent


@pytest.mark.parametrize("data", [b"\x03", b"\x03" * 12, struct.pack(">Bf", 3, math.nan), b"\x03" * 256])
def test_a_message_on_loads_that_makes_no_sense_tells_nothing(data: bytes) -> None:
    s = Scheduler(settings(gateway_count=3, features=TALKING), 1)
    s.step(0.0, [engines("e1")])
    s.step(5.0, [PeerMessage(1, data)])
    assert not s.traffic_by_peer and not s.engines["e1"].reported_by_peer


def test_suspicion_ends_by_itself_where_the_trickle_never_tests_it() -> None:
    s = Scheduler(settings(gateway_count=200), 1)
    s.step(0.0, [engines("e1", "e2")])
    ((name, engine),) = sends(s.step(5.0, [arrival("q")]))
    s.step(10.0, [ended(name, Outcome.CONNECT_FAILED, engine=engine)])
    assert s.engines[engine].ejection_reason
    for t in range(100, 12000, 100):
        s.step(float(t), [])
    assert not s.engines[engine].ejection_reason


def test_bad_input_is_survived_and_nothing_long_gone_is_remembered() -> None:
    s = Scheduler(
        settings(gateway_count=20, features=dataclasses.replace(PERMITS, has_peer_messages=True)), 1
    )
    twice = Engine("e1")
    s.step(0.0, [EngineList((twice, twice), is_complete=True)])
    for i in range(300):
        s.step(10.0 + i, [fleet(10, prefix=f"n{i}-"), fleet(10, EngineState.REMOVED, prefix=f"n{i}-")])
    assert set(s.engines) == {"e1"} and len(s.live_engines) == 1
    bad = [b"", b"\x01", b"\x09" * 40, struct.pack(">Bf", 1, math.nan), struct.pack(">Bf", 1, math.inf)]
    bad.append(struct.pack(">BIHf", 2, s.engines["e1"].id_hash, 3, math.nan))
    s.step(400.0, [PeerMessage(n, data) for n, data in enumerate(bad)])
    s.step(401.0, [ended("never", Outcome.OK, engine="n3-1")])
    assert not s.traffic_by_peer and not s.engines["e1"].locked_until
    for i in range(500):
        t = 500.0 + 20 * i
        for name, engine in sends(s.step(t, [arrival(f"q{i}", deadline_at=t + 5000)])):
            s.step(t + 10, [ended(name, Outcome.OK, engine=engine, is_final=True)])
    assert not s.queries and len(s.deadlines.heap) <= 1 and not s.unplaced


def test_an_engine_that_turns_work_away_is_passed_over_for_a_time_that_doubles() -> None:
    """Found in incident ieff30d: jammed engines refused at once and got a quarter of all sends."""
    s = Scheduler(settings(gateway_count=100), 1)
    s.step(0.0, [engines("e1", "e2")])
    ((_, full),) = sends(s.step(5.0, [arrival("q")]))
    ((_, other),) = sends(s.step(10.0, [ended("q", Outcome.OVERLOADED, engine=full)]))
    s.step(20.0, [ended("q", Outcome.OK, attempt=1, engine=other, is_final=True)])
    chosen = set()
    for t in range(30, 900, 50):
        for name, engine in sends(s.step(float(t), [arrival(f"q{t}", deadline_at=t + 5000.0)])):
            chosen.add(engine)
            s.step(float(t + 10), [ended(name, Outcome.OK, engine=engine, is_final=True)])
    assert chosen == {other}


def test_a_query_told_to_wait_for_memory_is_not_silence() -> None:
    """Found on L61dcd4: in 960 of 960 false suspicions the one query out had been told to wait."""
    s = Scheduler(settings(gateway_count=200, progress_interval_ms=1000.0), 1)
    s.step(0.0, [fleet(4)])
    ((name, engine),) = sends(s.step(5.0, [arrival("q")]))
    s.step(10.0, [ProgressNote(name, 0, engine, ProgressKind.WAITING, 1)])
    for t in range(100, 3000, 100):
        s.step(float(t), [])
    assert not s.engines[engine].ejection_reason
    s.step(3000.0, [ProgressNote(name, 0, engine, ProgressKind.PROGRESS, 0.1)])
    for t in range(3100, 4500, 100):
        s.step(float(t), [])
    assert s.engines[engine].ejection_reason is EjectionReason.SILENT


@pytest.mark.parametrize("marked", [True, False])
def test_the_aim_of_a_repeat_runs_from_the_first_try(marked: bool) -> None:
    """Found on L61dcd4: three in four late lookups were repeats, sent as if they were new."""
    late_is_nothing = dataclasses.replace(LOOKUP, late_utility=0.0)
    s = Scheduler(settings(late_is_nothing, gateway_count=20), 1)
    s.step(0.0, [fleet(4)])
    for i in range(30):  # first tries are cut at 4.5 s here, repeats last to the class's deadline
        for name, engine in sends(s.step(5.0 + 90 * i, [arrival(f"f{i}", deadline_at=4505.0 + 90 * i)])):
            if i % 6:
                s.step(50.0 + 90 * i, [ended(name, Outcome.OK, engine=engine, is_final=True)])
            else:  # some go unserved: only those can come again
                s.step(
                    50.0 + 90 * i,
                    [ClientDisconnected(name), ended(name, Outcome.CANCELLED, engine=engine)],
                )
    done = s.step(
        3000.0, [arrival("past", deadline_at=5500.0, is_retry=marked), arrival("new", deadline_at=7500.0)]
    )
    assert [q for q, _ in sends(done)] == ["new"]
    assert [a.query_id for a in answers(done) if isinstance(a, Reject)] == ["past"]
    assert s.queries["new"].latency_objective_at == 3000.0 + LOOKUP.latency_objective_ms
    s.step(3100.0, [arrival("late", deadline_at=7900.0, is_retry=marked)])
    assert s.queries["late"].latency_objective_at == 2900.0 + LOOKUP.latency_objective_ms


def test_where_clients_differ_in_patience_no_unmarked_query_counts_as_a_repeat() -> None:
    s = Scheduler(settings(gateway_count=20), 1)
    s.step(0.0, [fleet(4)])
    for i in range(60):
        s.step(5.0 + i, [arrival(f"q{i}", deadline_at=5.0 + i + 2000 + 700 * (i % 4))])
        assert s.queries[f"q{i}"].first_tried_at == 5.0 + i


def test_a_dense_query_does_not_wait_for_reports_of_others_that_it_passes() -> None:
    """Found on L61dcd4: reports of all gateways made lookups, which pass them, look late for good."""
    lookup = dataclasses.replace(LOOKUP, late_utility=0.0)
    s = Scheduler(settings(classes=(lookup, REPORT), gateway_count=200, features=TALKING), 1)
    s.step(0.0, [fleet(20)])
    for i in range(60):
        s.step(
            5.0 + 100 * i,
            [arrival(f"r{i}", deadline_at=30000.0 + 100 * i, estimated_work_ms=9000.0, query_class=1)],
        )
    heard(s, 5950.0, 1, *((f"e{i}", 12, 100.0, 40000.0) for i in range(20)))
    s.step(5990.0, [fleet(20)])
    done = s.step(6000.0, [arrival("a", deadline_at=11000.0)])
    assert answers(done) == [] and sends(done)[0][0] == "a"


def test_a_query_that_earns_nothing_is_not_sent() -> None:
    """Found on L61dcd4 and the brief's sites: room let worthless work in, which filled engines."""
    s = Scheduler(settings(dataclasses.replace(LOOKUP, late_utility=0.0, deadline_ms=9000.0)), 1)
    s.step(0.0, [engines("e1")])
    assert s.fleet_utilization > 0.9  # nothing reported: the fleet may be full
    done = s.step(5.0, [arrival("q", deadline_at=9005.0, estimated_work_ms=6000.0)])
    assert sends(done) == []
    told = [a for t in range(10, 400, 10) for a in answers(s.step(float(t), []))]
    assert len(told) == 1 and isinstance(told[0], Reject) and told[0].query_id == "q"


def test_under_pressure_all_gateways_together_fill_the_fleet_and_no_more() -> None:
    """Found on L61dcd4: a spare for chance at each gateway added up to 1.5 times the fleet's room."""
    s = Scheduler(settings(classes=(REPORT,), gateway_count=200), 1)
    s.step(0.0, [fleet(60)])
    for e in s.engines.values():
        e.under_pressure_until = 1e9
    s.step(5.0, [arrival(f"r{i}", deadline_at=20000.0, estimated_work_ms=3000.0) for i in range(20)])
    threads = sum(e.threads_in_flight for e in s.engines.values())
    assert 0 < threads <= s.own_thread_capacity < 5


def test_each_of_many_gateways_gets_to_know_engines_of_its_own_and_all_are_covered() -> None:
    """Found on L61dcd4: an engine seen once in 20 s was chosen by luck, and engines filled unevenly."""
    used: dict[str, int] = {}
    for me in range(60):
        s = Scheduler(settings(gateway_count=60, gateway_index=me), me)
        s.step(0.0, [fleet(30)])
        chosen = set()
        for i in range(40):
            for name, engine in sends(s.step(5.0 + 10 * i, [arrival(f"q{i}", deadline_at=6000.0)])):
                chosen.add(engine)
                s.step(10.0 + 10 * i, [ended(name, Outcome.OK, engine=engine, is_final=True)])
        assert len(s.candidate_pool) == 8 and chosen <= {e.id for e in s.candidate_pool}
        for e in s.candidate_pool:
            used[e.id] = used.get(e.id, 0) + 1
    assert len(used) == 30 and set(used.values()) == {16}


def test_one_gateway_of_few_uses_the_whole_fleet() -> None:
    s = Scheduler(settings(gateway_count=2, gateway_index=1), 1)
    s.step(0.0, [fleet(30)])
    assert (
        len({e for i in range(300) for _, e in sends(s.step(5.0 + i, [arrival(f"q{i}", deadline_at=9e3)]))})
        == 30
    )


def test_a_query_that_looks_worthless_is_sent_while_the_fleet_is_idle() -> None:
    """Found on the brief's quiet days: rough estimates made long reports look hopeless on idle engines."""
    s = Scheduler(settings(REPORT), 1)
    s.step(0.0, [engines("e1", "e2")])
    idle = {"util": 0.2}
    for i in range(30):
        for name, engine in sends(s.step(5.0 + 20 * i, [arrival(f"q{i}", deadline_at=20000.0)])):
            s.step(15.0 + 20 * i, [ended(name, Outcome.OK, engine=engine, is_final=True, load_report=idle)])
    s.step(690.0, [])
    assert [
        q for q, _ in sends(s.step(700.0, [arrival("long", deadline_at=20700.0, estimated_work_ms=4e5)]))
    ] == ["long"]


def test_a_load_is_told_to_the_gateways_that_draw_on_its_engine() -> None:
    """Found on a hunted day: a third of the attempts met a load that another gateway had sent there."""
    cls = dataclasses.replace(LOOKUP, is_load=True)
    setup = settings(
        cls, gateway_count=60, gateway_index=30, features=dataclasses.replace(PERMITS, has_peer_messages=True)
    )
    crowd = [Scheduler(dataclasses.replace(setup, gateway_index=m), m) for m in range(60)]
    for s in crowd:
        s.step(0.0, [fleet(30)])
    done = crowd[30].step(5.0, [arrival("q", table_group=3)])
    ((_, engine),) = sends(done)
    told = {a.peer for a in done if isinstance(a, SendToPeer) and len(a.payload) == 11}
    users = {m for m, s in enumerate(crowd) if engine in {e.id for e in s.candidate_pool}} - {30}
    assert len(users) > 10 and len(told & users) >= len(users) - 2 and len(told - users) <= 2


def test_one_absurd_word_of_a_peer_bars_no_tables_for_good() -> None:
    s = Scheduler(
        settings(gateway_count=20, features=dataclasses.replace(PERMITS, has_peer_messages=True)), 1
    )
    s.step(0.0, [engines("e1")])
    s.step(5.0, [PeerMessage(3, struct.pack(">BIHf", 2, s.engines["e1"].id_hash, 3, 1e30))])
    assert s.engines["e1"].locked_until[3] <= 5.0 + LOOKUP.deadline_ms


@pytest.mark.parametrize("cancel, wanted", [(True, ["next"]), (False, [])])
def test_a_timed_out_attempt_that_nothing_cancels_keeps_its_room(cancel: bool, wanted: list[str]) -> None:
    """Found in ieff30d: time-outs stop nothing there, and what ran on unseen was sent over again."""
    permits = dataclasses.replace(PERMITS, can_cancel=cancel)
    s = Scheduler(settings(classes=(LOOKUP, REPORT), gateway_count=200, features=permits), 1)
    s.step(0.0, [fleet(40)])
    for e in s.engines.values():
        e.under_pressure_until = 1e9
    ((name, engine),) = sends(
        s.step(5.0, [arrival("r", deadline_at=20000.0, estimated_work_ms=6000.0, query_class=1)])
    )
    assert [q for q, _ in sends(s.step(6.0, [arrival("l", estimated_work_ms=1000.0)]))] == ["l"]
    s.step(400.0, [ended(name, Outcome.TIMEOUT, engine=engine, is_final=True)])
    after = s.step(405.0, [arrival("next", deadline_at=20000.0, estimated_work_ms=6000.0, query_class=1)])
    assert [q for q, _ in sends(after)] == wanted


def test_what_was_sent_since_peers_were_told_stands_for_theirs() -> None:
    """Found on join+vast: engines done warming looked idle to eleven gateways, and got thrice their cores."""
    s = Scheduler(settings(classes=(REPORT,), gateway_count=11, features=TALKING), 1)
    s.step(0.0, [engines("e1")])
    heard(s, 5.0, 1, ("e1", 1, 0.0, 0.0))
    s.step(6.0, [engines("e1")])
    assert (
        len([q for t in range(10, 100, 10) for q in sends(s.step(t, [arrival(f"r{t}", deadline_at=2e4)]))])
        == 1
    )
    heard(s, 110.0, 1, ("e1", 1, 0.0, 0.0))
    assert sends(s.step(120.0, [])) == []
    s.next_peer_message_at = 0.0
    s.step(130.0, [])
    assert len(sends(s.step(140.0, [arrival("next", deadline_at=2e4)]))) == 1


@pytest.mark.parametrize("me", range(0, 40, 7))
def test_loads_go_to_homes_that_this_gateway_hears_of(me: int) -> None:
    """Found on disco+vast: 19 loads of 20 went to homes outside the own window, which looked empty."""
    load = dataclasses.replace(REPORT, name="load", is_load=True)
    s = Scheduler(settings(classes=(load,), gateway_count=40, gateway_index=me), 1)
    s.step(0.0, [fleet(30)])
    for tables in range(6):
        ((name, engine),) = sends(
            s.step(5.0 + tables, [arrival(f"l{tables}", deadline_at=2e4, table_group=tables)])
        )
        s.step(5.5 + tables, [ended(name, Outcome.OK, engine=engine, is_final=True)])
        assert engine in s.own_engine_ids or not s.own_engine_ids & {
            e.id for e in s.preferred_engines[tables]
        }


@pytest.mark.parametrize("threads, passes", [(18, True), (22, False)])
def test_what_passes_finds_no_room_on_an_engine_far_over_it(threads: int, passes: bool) -> None:
    """Found on disco+vast: lookups, which pass reports, were let in at 3 times the room, and work fell."""
    s = Scheduler(settings(classes=(LOOKUP, REPORT), gateway_count=3, features=TALKING), 1)
    s.step(0.0, [engines("e1")])
    held = [arrival(f"r{i}", deadline_at=2e4, estimated_work_ms=3000.0, query_class=1) for i in range(7)]
    sent = sends(s.step(1.0, held))
    s.next_peer_message_at = 0.0  # the peers are told of these now, and what they have follows
    heard(s, 20.0, 1, ("e1", threads - 2 * len(sent), 0.0, 500.0))
    s.step(21.0, [engines("e1")])
    assert bool(sends(s.step(22.0, [arrival("a", estimated_work_ms=50.0)]))) == passes
