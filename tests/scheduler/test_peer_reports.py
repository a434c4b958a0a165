"""Messages between gateways: work reports, announced loads, and their effect on decisions."""

from __future__ import annotations

import dataclasses
import math
import struct

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler import peer_load, peer_messages
from cottonhold.scheduler.actions import Action, SendToPeer
from cottonhold.scheduler.events import (
    Outcome,
    PeerMessage,
)
from cottonhold.scheduler.scheduler import MAX_PEER_MESSAGE_COST
from cottonhold.scheduler.settings import MemoryShortage, OverheadCosts
from tests.scheduler.gateway_fleet import REPORT, WITH_PEER_MESSAGES, fleet
from tests.support.scheduler_events import (
    LOOKUP,
    PERMITS,
    answers,
    arrival,
    ended,
    engines,
    sends,
    settings,
)


@pytest.mark.parametrize("gateways, count", [(3, 7), (40, 30), (200, 60)])
def test_peer_messages_stay_within_their_cost_and_are_sent_to_peers_that_share_engines(
    gateways: int, count: int
) -> None:
    scheduler = Scheduler(
        settings(
            gateway_count=gateways,
            gateway_index=2,
            features=WITH_PEER_MESSAGES,
            overhead_costs=OverheadCosts(per_peer_message=0.01),
        ),
        1,
    )
    scheduler.step(0.0, [fleet(count)])
    messages = list[SendToPeer]()
    for t in range(0, 20000, 125):
        done = scheduler.step(float(t), [arrival(f"q{t}", deadline_at=t + 5000.0)])
        messages += [a for a in done if isinstance(a, SendToPeer)]
        for name, engine in sends(done):
            scheduler.step(t + 100.0, [ended(name, Outcome.OK, engine=engine, is_final=True)])
    assert 0.01 * sum(len(a.payload) for a in messages) / 256 < 1.3 * MAX_PEER_MESSAGE_COST * 160
    sharing = {
        peer
        for engine in scheduler.live_engines
        if engine.id in scheduler.assigned_engine_ids
        for peer in peer_load.peers_sharing(scheduler, engine)
    }
    assert (
        messages
        and 2 not in sharing
        and {a.peer for a in messages} <= sharing
        and all(len(a.payload) <= 256 for a in messages)
    )


@pytest.mark.parametrize("count", [0, 1, 27, 28, 60])
def test_a_work_report_fits_into_a_datagram_on_however_many_engines_there_is_work(count: int) -> None:
    """Guards against a report that is one byte too long, which the sender drops, from 28 engines on."""
    scheduler = Scheduler(settings(gateway_count=3, features=WITH_PEER_MESSAGES), 1)
    scheduler.step(0.0, [fleet(60)])
    payload = peer_messages.encode_work(1.0, list(scheduler.engines.values())[:count])
    report = peer_messages.decode_work(0.0, payload)
    assert len(payload) <= 256
    assert report is not None and len(report.work_by_engine_hash) == min(count, 27)


def receive_work_report(
    scheduler: Scheduler, now: float, peer: int, *engines: tuple[str, int, float, float]
) -> list[Action]:
    """Deliver a peer's work report: its threads, memory and remaining thread time on engines."""
    entries = [
        (scheduler.engines[engine].id_hash, threads, int(memory_mb / 16), int(thread_ms / 32))
        for engine, threads, memory_mb, thread_ms in engines
    ]
    data = struct.pack(">Bf", 3, 0.0) + b"".join(struct.pack(">IBHH", *row) for row in entries)
    return scheduler.step(now, [PeerMessage(peer, data)])


@pytest.mark.parametrize(
    "threads, memory, thread_ms, silent_ms, has_second_report, expected",
    [
        (1, 100.0, 100.0, 0.0, False, {"e1", "e2"}),
        (60, 100.0, 90000.0, 0.0, False, {"e2"}),  # more work than on the other engine
        (1, 16000.0, 100.0, 0.0, False, {"e2"}),  # its memory is full
        (60, 16000.0, 90000.0, 0.0, True, {"e1", "e2"}),  # a later report names no work
        (60, 16000.0, 90000.0, 20000.0, False, {"e1", "e2"}),  # the report has expired
    ],
    ids=["little", "busy", "full", "left", "silent"],
)
def test_work_that_peers_report_on_an_engine_delays_queries_there(
    threads: int,
    memory: float,
    thread_ms: float,
    silent_ms: float,
    has_second_report: bool,
    expected: set[str],
) -> None:
    """A report is valid until the peer's next report, or until it expires."""
    shared_settings = settings(
        classes=(REPORT,),
        gateway_count=3,
        features=WITH_PEER_MESSAGES,
        on_memory_shortage=MemoryShortage.SHRINK,
    )
    scheduler = Scheduler(shared_settings, 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    receive_work_report(scheduler, 5.0, 1, ("e1", threads, memory, thread_ms))
    start = 400.0 + silent_ms
    receive_work_report(scheduler, start - 1, 2, ("e1", 1, 0.0, 0.0))
    if has_second_report:
        receive_work_report(scheduler, start - 1, 1)
    scheduler.step(start, [engines("e1", "e2")])
    sent = list[tuple[str, str]]()
    for i in range(6):
        query = arrival(
            f"r{i}", deadline_at=start + 20000, estimated_work_ms=1000.0, estimated_memory_mb=600.0
        )
        sent += sends(scheduler.step(start + i, [query]))
    assert {e for _, e in sent} == expected


@pytest.mark.parametrize("data", [b"\x03", b"\x03" * 12, struct.pack(">Bf", 3, math.nan), b"\x03" * 256])
def test_an_invalid_work_report_changes_nothing(data: bytes) -> None:
    scheduler = Scheduler(settings(gateway_count=3, features=WITH_PEER_MESSAGES), 1)
    scheduler.step(0.0, [engines("e1")])
    scheduler.step(5.0, [PeerMessage(1, data)])
    assert not scheduler.traffic_by_peer and not scheduler.engines["e1"].reported_by_peer


def test_a_dense_query_does_not_wait_for_queries_of_peers_that_it_outranks() -> None:
    """Work of peers that a dense query outranks delays it only in part."""
    lookup = dataclasses.replace(LOOKUP, late_utility=0.0)
    scheduler = Scheduler(
        settings(classes=(lookup, REPORT), gateway_count=200, features=WITH_PEER_MESSAGES), 1
    )
    scheduler.step(0.0, [fleet(20)])
    for i in range(60):
        scheduler.step(
            5.0 + 100 * i,
            [arrival(f"r{i}", deadline_at=30000.0 + 100 * i, estimated_work_ms=9000.0, query_class=1)],
        )
    receive_work_report(scheduler, 5950.0, 1, *((f"e{i}", 12, 100.0, 40000.0) for i in range(20)))
    scheduler.step(5990.0, [fleet(20)])
    done = scheduler.step(6000.0, [arrival("a", deadline_at=11000.0)])
    assert answers(done) == [] and sends(done)[0][0] == "a"


def test_a_load_is_announced_to_the_gateways_that_share_its_engine() -> None:
    """Readers of these gateways would wait for the locks of the load."""
    query_class = dataclasses.replace(LOOKUP, is_load=True)
    shared_settings = settings(
        query_class,
        gateway_count=60,
        gateway_index=30,
        features=dataclasses.replace(PERMITS, has_peer_messages=True),
    )
    gateway_fleet = [
        Scheduler(dataclasses.replace(shared_settings, gateway_index=gateway_index), gateway_index)
        for gateway_index in range(60)
    ]
    for scheduler in gateway_fleet:
        scheduler.step(0.0, [fleet(30)])
    done = gateway_fleet[30].step(5.0, [arrival("q", table_group=3)])
    ((_, engine),) = sends(done)
    notified = {a.peer for a in done if isinstance(a, SendToPeer) and len(a.payload) == 11}
    sharing = {
        gateway_index
        for gateway_index, scheduler in enumerate(gateway_fleet)
        if engine in {e.id for e in scheduler.candidate_pool}
    } - {30}
    assert len(sharing) > 10 and len(notified & sharing) >= len(sharing) - 2 and len(notified - sharing) <= 2


def test_an_excessive_run_time_of_a_peers_load_is_limited() -> None:
    scheduler = Scheduler(
        settings(gateway_count=20, features=dataclasses.replace(PERMITS, has_peer_messages=True)), 1
    )
    scheduler.step(0.0, [engines("e1")])
    scheduler.step(5.0, [PeerMessage(3, struct.pack(">BIHf", 2, scheduler.engines["e1"].id_hash, 3, 1e30))])
    assert scheduler.engines["e1"].locked_until[3] <= 5.0 + LOOKUP.deadline_ms


def test_queries_sent_since_the_last_report_imply_queries_of_peers() -> None:
    """Between two reports, each peer is expected to send as much as this gateway."""
    scheduler = Scheduler(settings(classes=(REPORT,), gateway_count=11, features=WITH_PEER_MESSAGES), 1)
    scheduler.step(0.0, [engines("e1")])
    receive_work_report(scheduler, 5.0, 1, ("e1", 1, 0.0, 0.0))
    scheduler.step(6.0, [engines("e1")])
    assert (
        len(
            [
                q
                for t in range(10, 100, 10)
                for q in sends(scheduler.step(t, [arrival(f"r{t}", deadline_at=2e4)]))
            ]
        )
        == 1
    )
    receive_work_report(scheduler, 110.0, 1, ("e1", 1, 0.0, 0.0))
    assert sends(scheduler.step(120.0, [])) == []
    scheduler.next_peer_message_at = 0.0
    scheduler.step(130.0, [])
    assert len(sends(scheduler.step(140.0, [arrival("next", deadline_at=2e4)]))) == 1


@pytest.mark.parametrize("threads, passes", [(18, True), (22, False)])
def test_an_outranking_query_is_not_sent_to_an_overfilled_engine(threads: int, passes: bool) -> None:
    """Even a query that outranks the others must not overfill an engine."""
    scheduler = Scheduler(settings(classes=(LOOKUP, REPORT), gateway_count=3, features=WITH_PEER_MESSAGES), 1)
    scheduler.step(0.0, [engines("e1")])
    reports = [arrival(f"r{i}", deadline_at=2e4, estimated_work_ms=3000.0, query_class=1) for i in range(7)]
    sent = sends(scheduler.step(1.0, reports))
    scheduler.next_peer_message_at = 0.0  # report now, before the peer's report arrives
    receive_work_report(scheduler, 20.0, 1, ("e1", threads - 2 * len(sent), 0.0, 500.0))
    scheduler.step(21.0, [engines("e1")])
    assert bool(sends(scheduler.step(22.0, [arrival("a", estimated_work_ms=50.0)]))) == passes
