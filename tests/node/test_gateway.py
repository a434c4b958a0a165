"""The dispatcher between clients and engines, as scenarios on a fake clock."""

from __future__ import annotations

import dataclasses

import pytest

from cottonhold.backend.endpoint import IDLE_MARGIN_MS
from cottonhold.backend.liveness_monitor import MAX_ABANDONED_IDS
from cottonhold.frontend.client_sessions import CHECK_INTERVAL_MS
from cottonhold.frontend.mysql_session import MAX_PACKET_BYTES
from cottonhold.node.lifecycle import SHUTDOWN_ACCEPT_CLIENTS_MS
from cottonhold.scheduler.events import Outcome
from tests.support.scenario import LOGIN, Client, World, packet

SCENARIOS = {
    "one page is served unchanged": """
        c1 query lookup r1 effort=80.0,room=16
        e1 expect GET r1 kind=lookup,ms=458?,order=1 SELECT a FROM s_7.t
        e1 send r1 served count=1,ticks=70,footprint=20,gauges=inflight:7;util:0.5 a|b|c/d||f/
        c1 expect rows a|b|c/d||f
    """,
    "an empty result is a result": """
        c1 query lookup r1
        e1 expect GET *
        e1 send r1 served count=1
        c1 expect rows *
    """,
    "all pages are collected before the first row": """
        c1 query lookup r1
        e1 expect GET *
        e1 send r1 served count=3 a|b|c/
        e1 expect PAGE r1 1
        e1 expect PAGE r1 2
        e1 send r1 rows pos=2 g|h|i/
        c1 expect nothing
        e1 send r1 rows pos=1 d|e|f/
        e1 expect CLOSE r1
        c1 expect rows a|b|c/d|e|f/g|h|i
    """,
    "lost pages of a safe query become another attempt": """
        c1 query lookup r1
        e1 expect GET *
        e1 send r1 served count=2 a|b|c/
        e1 close
        e2 expect GET r1 *
        e2 send r1 served count=1 x|y|z/
        c1 expect rows x|y|z
    """,
    "a page that the engine no longer knows is a lost one": """
        c1 query load r1
        e1 expect GET *
        e1 send r1 served count=2 a|b|c/
        e1 send r1 crashed -
        c1 expect error 1105 *may have run*
        e2 expect nothing
    """,
    "a load that may have run never goes out again": """
        c1 query load r1 allow=20000
        e1 expect GET *
        e1 close
        c1 expect error 1105 *may have run*
        e2 expect nothing
    """,
    "a load turned away unseen may go elsewhere": """
        c1 query load r1 allow=20000
        e1 expect GET *
        e1 send r1 overload -
        e2 expect GET r1 *
        e2 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
    """,
    "a refused connect proves that nothing ran": """
        e1 will refuse
        c1 query load r1 allow=20000
        e1 expect nothing
        e2 expect GET r1 *
    """,
    "a machine that vanished never answers a connect": """
        e1 will vanish
        c1 query load r1 allow=20000
        c1 expect nothing
        time wait 251
        e2 expect GET r1 *
    """,
    "at the client's limit the attempt is given up, told, and its late answer passed over": """
        c1 query load r1 allow=3000
        e1 expect GET *
        time wait 2590
        e1 expect DROP r1
        c1 expect error 1105 *
        e1 send r1 served count=1 a|b|c/
        c1 expect nothing
    """,
    "a refusal says when to come back": """
        list tell e1 gone
        list tell e2 gone
        c1 query lookup r1 allow=1000
        c1 expect nothing
        time wait 1000
        c1 expect error 1226 *cooldown=400
        e1 expect nothing
    """,
    "a query that was given up is refused at once, not held": """
        c1 query load r1 allow=100
        c1 expect error 1226 *cooldown=*
        e1 expect nothing
    """,
    "nothing new goes to an engine that drains, not even what waits for its connect": """
        e1 will vanish
        c1 query lookup r1
        list tell e1 draining
        e1 will up
        time wait 10
        e2 expect GET r1 *
        c2 query lookup r2
        e1 expect nothing
    """,
    "a gone engine's silent connections are given up": """
        c1 query load r1 allow=20000
        e1 expect GET *
        time wait 1100
        list tell e1 gone
        c1 expect error 1105 *may have run*
    """,
    "a connection near its idle limit gets nothing new": """
        c1 query lookup r1
        e1 expect GET *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows *
        time wait 13500
        list tell e2 gone
        c2 query lookup r2
        e1 expect nothing
        e1.2 expect GET r2 *
    """,
    "KILL QUERY ends a query's answer and its attempt": """
        c1 query lookup r1
        e1 expect GET *
        c2 say KILL QUERY 1
        c2 expect ok
        c1 expect error 1317 *
        e1 expect DROP r1
        c1 query lookup r2
        any expect GET r2 *
    """,
    "a client that leaves takes its query along": """
        c1 query lookup r1
        e1 expect GET *
        c1 close
        e1 expect DROP r1
        e1 send r1 served count=1 a|b|c/
    """,
    "a load whose client left keeps its turn until it ends": """
        c1 query load r1 allow=9000 lookup=k1
        e1 expect GET r1 *
        c1 close
        c2 query load r2 allow=9000 lookup=k1
        c3 query load r3 allow=9000 lookup=k2
        any expect GET r3 *
        e1 send r1 served count=1 a|b|c/
        any expect GET r2 *
    """,
    "a load that timed out keeps its turn until it was given up": """
        c1 query load r1 allow=3000 lookup=k1
        e1 expect GET r1 *
        c2 query load r2 allow=9000 lookup=k1
        time wait 2584
        e1 expect nothing
        time wait 1
        e1 expect DROP r1
        c1 expect error 1105 *
        any expect GET r2 *
    """,
    "garbage of an engine ends that connection only": """
        c1 query lookup r1
        e1 expect GET *
        e1 raw HTTP/1.1 200 OK
        e2 expect GET r1 *
        e2 send r9 served -
        e2 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
    """,
    "what shares a connection with a spoilt answer is lost with it; loads never go out again": """
        c1 query lookup r1
        e1 expect GET *
        list tell e2 draining
        c2 query load r2
        e1 expect GET r2 *
        list tell e2 live
        e1 send r1 served count=1 a|b/
        c2 expect error 1105 *may have run*
        any expect GET r1 *
    """,
    "a second copy and an unknown id are harmless": """
        c1 query lookup r1
        e1 expect GET *
        e1 send r7 served count=1 x|y|z/
        e1 send r7 dancing -
        e1 send r1 served count=2 a|b|c/
        e1 send r1 served count=2 a|b|c/
        e1 send r1 rows pos=1 d|e|f/
        c1 expect rows a|b|c/d|e|f
        e1 send r1 rows pos=1 d|e|f/
        c1 query load r2
        c1 expect nothing
    """,
    "a connection that gives no sign of life is given up": """
        e1 will mute
        c1 query load r1 allow=20000
        e1 expect GET *
        time wait 2100
        c1 expect error 1105 *may have run*
    """,
    "an answer that stops short is not waited for": """
        c1 query load r1 allow=20000
        e1 expect GET *
        e1 raw *4
        time wait 750
        c1 expect error 1105 *may have run*
    """,
    "an id that is still open is not taken twice": """
        c1 query lookup r1
        c2 query lookup r1
        c2 expect error 1105 field 'ref' *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
    """,
    "commands that are not queries": """
        c1 send 010000000e
        c1 expect ok
        c1 send 0300000002 6477
        c1 expect ok
        c1 send 0300000002 6478
        c1 expect error 1049 *
        c1 send 0100000019
        c1 expect error 1047 *
        c1 say KILL QUERY 77
        c1 expect error 1094 *
        c1 send 0100000001
        c1 closing
    """,
    "a packet out of order ends its connection only": """
        c2 query lookup r1
        c1 send 010000050e
        c1 expect error 1156 *
        c1 closing
        e1 send r1 served count=1 a|b|c/
        c2 expect rows a|b|c
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    world = World().run(SCENARIOS[name])
    assert not world.counters.counts["step_faults"] + world.counters.counts["action_faults"], world.log


@pytest.mark.parametrize(
    "answer",
    [
        "served - a|b|c/",
        "served count=0 a|b|c/",
        "served count=x a|b|c/",
        "served count=99999999999 a|b|c/",
        "served count=1 a|b/",
        "served count=1 a|b|c",
        "served count=1 a|b|c/" + "a|b|c/" * 1000,
        "served count=1 a|\udcff|c/",
        "dancing count=1 a|b|c/",
        "served count=2 a|b|c/\ne1 send r1 rows pos=2 a|b|c/",
        "served count=2 a|b|c/\ne1 send r1 rows - a|b|c/",
        "served count=2 a|b|c/\ne1 send r1 rows pos=1 a|b|c",
    ],
)
def test_a_malformed_answer_is_detected_before_the_first_row_and_retried(answer: str) -> None:
    world = World().run(f"c1 query lookup r1\ne1 expect GET *\ne1 send r1 {answer}\nc1 expect nothing")
    assert world.engine_streams[0].connection.is_closed
    world.run("e2 expect GET r1 *\ne2 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")


def test_a_health_check_on_a_silent_connection_is_repeated_on_a_new_one() -> None:
    world = World(engines="a")
    world.run("e1 will mute\nc1 query lookup r1\ne1 expect GET *")
    outcomes = list[Outcome]()
    world.gateway.on_health_check_completed = lambda engine, outcome, report: outcomes.append(outcome)  # type: ignore[method-assign]
    world.engines.check_health("a")
    world.wait(240)
    world.run("e1 will up\ntime wait 20")
    assert outcomes == [Outcome.OK] and len(world.engine_streams) == 2
    world.run("e1 will mute\ntime wait 500")
    assert world.engine_streams[0].connection.is_closed and not world.engine_streams[1].connection.is_closed


def test_abandoned_ids_are_kept_in_bounded_number() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    connection = world.engine_streams[0].connection
    connection.abandoned_ids = dict.fromkeys(b"%016x" % n for n in range(1000))
    world.run("e1 send r7 served count=1 a|b|c/")
    assert b"%016x" % 7 in connection.abandoned_ids  # a duplicate of its answer may follow
    world.wait(300)
    assert list(connection.abandoned_ids) == [b"%016x" % n for n in range(1000 - MAX_ABANDONED_IDS, 1000)]


def test_removed_engines_are_forgotten_with_their_connections() -> None:
    world = World(engines="a b c").run("c1 query load r1 allow=20000\ne1 expect GET *")
    world.run("list tell e1 gone\ntime wait 500")
    assert len(world.engines.endpoints) == 3
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows *\ntime wait 300")
    assert (
        len(world.engines.endpoints) == 2
        and world.engine_streams[0].connection.is_closed
        and world.engines.open_connections == 0
    )


@pytest.mark.parametrize(
    ("statement", "field"),
    [
        ("SELECT 1", "service"),
        ("/* ref=r1,allow=9 */ SELECT 1", "service"),
        ("/* service=dance,ref=r1,allow=9 */ SELECT 1", "service"),
        ("/* service=lookup,allow=9 */ SELECT 1", "ref"),
        ("/* service=lookup,ref=xyz,allow=9 */ SELECT 1", "ref"),
        ("/* service=lookup,ref=r1 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=soon */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=-5 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=nan */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=99999999999 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=9,allow=7 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=1_0 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=9,effort=1e300 */ SELECT 1", "effort"),
        ("/* service=lookup,ref=r1,allow=9,effort=x */ SELECT 1", "effort"),
        ("/* service=lookup,ref=r1,allow=9,room=-1 */ SELECT 1", "room"),
        ("/* service=lookup,ref=r1,allow=9,dup=2 */ SELECT 1", "dup"),
    ],
)
def test_an_invalid_field_is_named(statement: str, field: str) -> None:
    World().run(f"c1 say {statement}\nc1 expect error 1105 *'{field}'*\nc1 send 010000000e\nc1 expect ok")


QUERY = packet(0, b"\x03/* service=lookup,ref=00000000000000aa,allow=900 */ SELECT a FROM s_7.t")


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_login_and_first_query_may_arrive_before_the_greeting_is_read(size: int) -> None:
    world = World()
    client = world.clients["c1"] = Client(world.sessions.open())
    data = packet(1, LOGIN) + QUERY
    client.starts.extend([2, 1])
    for at in range(0, len(data), size):
        client.session.receive(data[at : at + size])
    world.wait(0)
    world.run("e1 expect GET *")
    assert client.received == ["greeting", "ok"]


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (packet(1, b"\x00" * 8), 1043),
        (packet(1, LOGIN.replace(b"app", b"eve")), 1045),
        (packet(1, LOGIN.replace(b"app\0\0", b"app\0\x02xy")), 1045),
        (packet(1, LOGIN.replace(b"dw", b"dx")), 1049),
        (packet(7, LOGIN), 1156),
        ((MAX_PACKET_BYTES + 1).to_bytes(3, "little") + b"\x01", 1153),
    ],
)
def test_a_rejected_login_gets_its_error_and_is_closed(data: bytes, error: int) -> None:
    world = World()
    client = world.clients["c1"] = Client(world.sessions.open())
    client.take()
    client.send(data)
    client.take()
    assert client.received[-1].startswith(f"error {error} ") and client.session.is_closing


LOGIN_PACKET = packet(1, LOGIN)


@pytest.mark.parametrize(
    "data", [b"", LOGIN_PACKET[:20], LOGIN_PACKET, LOGIN_PACKET + QUERY[:30], LOGIN_PACKET + QUERY[:3]]
)
def test_a_client_without_a_complete_packet_gets_an_error_and_is_closed_within_3_s(data: bytes) -> None:
    world = World()
    session = world.sessions.open()
    world.wait(500)
    session.receive(data)
    world.wait(2400)
    assert session.is_closing and b"\xff\x87\x04#08S01" in session.take_output()


def test_slow_requests_and_short_pauses_keep_a_connection_open() -> None:
    world = World().run("c1 query load r1 allow=20000\ne1 expect GET *\ntime wait 9000\nc1 expect nothing")
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c\ntime wait 4500")
    assert not world.clients["c1"].session.is_closing
    world.run("time wait 1000\nc1 closing")


@pytest.mark.parametrize(("check_cost", "min_checks", "max_checks"), [(0.0, 8, 12), (0.06, 1, 1)])
def test_liveness_checks_stay_within_their_budget(
    check_cost: float, min_checks: int, max_checks: int
) -> None:
    """Without a budget most connections of a busy fleet would get liveness checks again and again."""
    world = World()
    world.engines.settings = dataclasses.replace(world.engines.settings, health_check_cost=check_cost)
    world.run("c1 query load r1 allow=20000\ne1 expect GET *\ntime wait 15000\nc1 expect nothing")
    assert min_checks <= world.counters.counts["probes_sent"] <= max_checks


def test_the_longest_silent_connection_is_checked_first() -> None:
    world = World(engines="a b")
    world.engines.settings = dataclasses.replace(world.engines.settings, health_check_cost=0.06)
    world.engines.liveness_budget.available = 0.0
    world.run("e1 will mute\nc1 query load r1 allow=20000\ne1 expect GET *\ntime wait 300")
    world.run("c2 query load r2 allow=20000\ne2 expect GET *\ntime wait 3000\nc1 expect nothing")
    world.engines.liveness_budget.available = 1.0
    world.run("time wait 1000\nc1 expect error 1105 *may have run*\nc2 expect nothing")


def test_idle_connections_are_evicted_in_order() -> None:
    """Those that have sent nothing, then the longest idle, then those that stopped within a packet."""
    world = World(sockets=64).run("""
        c1 query lookup r1
        c2 send 010000000e
        c2 expect ok
        c3 send 050000
        time wait 500
        c4 send 050000
        c5 send 010000000e
    """)
    silent = [Client(world.sessions.open()) for _ in range(3)]
    for client in silent:
        client.take()  # the greeting
    world.wait(60)
    evicted = []
    for _ in range(7):
        world.sessions.max_sessions = len(world.sessions.sessions)
        world.sessions.has_capacity()
        evicted += [n for n in world.clients if world.clients[n].session.is_closed and n not in evicted]
        evicted += ["silent"] * (all(c.session.is_closed for c in silent) and "silent" not in evicted)
    assert evicted == ["silent", "c2", "c5", "c3"]  # c4 may still be writing, and c1 is owed an answer
    assert world.sessions.evicted_count == 0


def test_sequence_numbers_wrap_in_results_of_more_than_255_packets() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    world.run("e1 send r1 served count=1 " + "a|b|c/" * 300)
    assert world.clients["c1"].received == ["rows " + "/".join(["a|b|c"] * 300)]


def test_long_rows_and_empty_cells_are_encoded() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    long_cell = "x" * 120
    world.run(f"e1 send r1 served count=1 ||/{long_cell}|{long_cell}|y/{'z' * 249}||/a|b|c/")
    assert world.clients["c1"].received == [f"rows ||/{long_cell}|{long_cell}|y/{'z' * 249}||/a|b|c"]


def test_a_scheduler_fault_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    step = world.gateway.scheduler.step

    def broken(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr(world.gateway.scheduler, "step", broken)
    world.run("c2 query lookup r2\nc2 expect error 1105 *")
    monkeypatch.setattr(world.gateway.scheduler, "step", step)
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")


def test_a_session_whose_output_is_not_read_is_not_served_further() -> None:
    world = World().run("c1 send 010000000e\nc1 expect ok")
    session = world.clients["c1"].session
    session.output += bytes(300 * 1024)
    session.receive(packet(0, b"\x0e"))
    assert len(session.commands) == 1
    session.output.clear()
    world.clients["c1"].starts.append(1)
    session.take_output()
    world.wait(0)
    assert world.clients["c1"].received == ["ok"]


def test_queued_commands_of_one_connection_are_bounded_in_bytes() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    session = world.clients["c1"].session
    for _ in range(8):
        session.receive(packet(0, b"\x03" + bytes(MAX_PACKET_BYTES - 1)))
    assert session.is_closing and not session.commands and len(session.buffer) <= 2 * MAX_PACKET_BYTES


def test_shutdown_answers_open_requests_then_closes() -> None:
    world = World().run("c1 query load r1 allow=20000\ne1 expect GET *\nc2 send 010000000e")
    world.run("ops leave")
    world.wait(SHUTDOWN_ACCEPT_CLIENTS_MS + CHECK_INTERVAL_MS)
    assert [c.session.is_closing for c in world.clients.values()] == [False, True]
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c\nc1 closing")
    assert world.gateway.open_count == 0


def test_shutdown_ends_every_request_before_sigkill_and_raises_priorities() -> None:
    """No request may still be queued, or begun late, when SIGKILL comes."""
    key = "lookup=7f3a9c21e0b4d655 allow=20000"
    world = World(engines="a").run(
        f"c1 query lookup r1 allow=20000\nc2 query load r2 {key}\nc3 query load r3 {key}"
    )
    world.run("e1 expect GET r1 *\ne1 expect GET r2 *\ne1 expect nothing")
    world.run("ops terminate\ne1 expect RANK r1 3\ne1 expect RANK r2 3\nc4 query lookup r4 allow=20000")
    world.run("e1 expect GET r4 *ms=34??,*\ne1 send r4 served count=1 a|b|c/\nc4 expect rows a|b|c")
    world.run("time wait 3000\nc1 expect nothing\ntime wait 500")
    world.run("c1 expect error 1226 *\nc2 expect error 1105 *\nc3 expect error 1226 *")
    assert world.gateway.open_count == 0


@pytest.mark.parametrize("idle_ms", [400.0, 1500.0, 2000.0, 15000.0])
def test_a_connection_is_reused_unless_its_engine_may_be_closing_it(idle_ms: float) -> None:
    """Engines may close idle connections after less than the margin's 2 s."""
    world = World(engines="a")
    world.engines.settings = dataclasses.replace(world.engines.settings, idle_timeout_ms=idle_ms)
    for ref in range(1, 4):
        world.run(f"c1 query lookup r{ref}\ne1 expect GET r{ref} *\ne1 send r{ref} served count=1 a|b|c/")
        world.run("c1 expect rows a|b|c")
        world.wait(idle_ms / 4)
    assert world.counters.counts["engine_connections"] == 1
    world.wait(idle_ms - IDLE_MARGIN_MS if idle_ms > 2 * IDLE_MARGIN_MS else idle_ms / 2)
    world.run("c2 query lookup r9\ne1.2 expect GET r9 *")
    assert world.counters.counts["engine_connections"] == 2


@pytest.mark.parametrize("digits", [10, 11, 5000])
def test_a_kill_of_an_impossible_connection_id_is_only_an_error(digits: int) -> None:
    """Beyond 4,300 digits the number could not be read: the session was closed, with what it was owed."""
    world = World().run(f"c1 say KILL QUERY {'9' * digits}\nc1 expect error * *\nc1 query lookup r1")
    world.run("e1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
