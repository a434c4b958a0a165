"""The gateway between clients and engines, tested by scenarios on a fake clock."""

from __future__ import annotations

import pytest

from cottonhold.frontend.client_sessions import CHECK_INTERVAL_MS
from cottonhold.node.lifecycle import SHUTDOWN_ACCEPT_CLIENTS_MS
from tests.support.scenario import World

SCENARIOS = {
    "one page is served unchanged": """
        c1 query lookup r1 effort=80.0,room=16
        e1 expect GET r1 kind=lookup,ms=458?,order=1 SELECT a FROM s_7.t
        e1 send r1 served count=1,ticks=70,footprint=20,gauges=inflight:7;util:0.5 a|b|c/d||f/
        c1 expect rows a|b|c/d||f
    """,
    "an empty result is served": """
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
    "an idempotent query with lost pages is retried": """
        c1 query lookup r1
        e1 expect GET *
        e1 send r1 served count=2 a|b|c/
        e1 close
        e2 expect GET r1 *
        e2 send r1 served count=1 x|y|z/
        c1 expect rows x|y|z
    """,
    "a page that the engine has forgotten counts as lost": """
        c1 query load r1
        e1 expect GET *
        e1 send r1 served count=2 a|b|c/
        e1 send r1 crashed -
        c1 expect error 1105 *may have run*
        e2 expect nothing
    """,
    "a load that may have run is never retried": """
        c1 query load r1 allow=20000
        e1 expect GET *
        e1 close
        c1 expect error 1105 *may have run*
        e2 expect nothing
    """,
    "a load rejected by an engine is sent to another": """
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
    "at the client's timeout the attempt is cancelled and its late answer ignored": """
        c1 query load r1 allow=3000
        e1 expect GET *
        time wait 2590
        e1 expect DROP r1
        c1 expect error 1105 *
        e1 send r1 served count=1 a|b|c/
        c1 expect nothing
    """,
    "a rejection says when to retry": """
        list tell e1 gone
        list tell e2 gone
        c1 query lookup r1 allow=1000
        c1 expect nothing
        time wait 1000
        c1 expect error 1226 *cooldown=400
        e1 expect nothing
    """,
    "a query without enough time is rejected at once, not queued": """
        c1 query load r1 allow=100
        c1 expect error 1226 *cooldown=*
        e1 expect nothing
    """,
    "nothing new goes to a draining engine, not even what waits for its connect": """
        e1 will vanish
        c1 query lookup r1
        list tell e1 draining
        e1 will up
        time wait 10
        e2 expect GET r1 *
        c2 query lookup r2
        e1 expect nothing
    """,
    "silent connections of a removed engine are abandoned": """
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
    "KILL QUERY ends a query and cancels its attempt": """
        c1 query lookup r1
        e1 expect GET *
        c2 say KILL QUERY 1
        c2 expect ok
        c1 expect error 1317 *
        e1 expect DROP r1
        c1 query lookup r2
        any expect GET r2 *
    """,
    "a client that leaves has its query cancelled": """
        c1 query lookup r1
        e1 expect GET *
        c1 close
        e1 expect DROP r1
        e1 send r1 served count=1 a|b|c/
    """,
    "a load whose client left holds its ordering key until it ends": """
        c1 query load r1 allow=9000 lookup=k1
        e1 expect GET r1 *
        c1 close
        c2 query load r2 allow=9000 lookup=k1
        c3 query load r3 allow=9000 lookup=k2
        any expect GET r3 *
        e1 send r1 served count=1 a|b|c/
        any expect GET r2 *
    """,
    "a load that timed out holds its ordering key until it is cancelled": """
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
    "malformed bytes from an engine end that connection only": """
        c1 query lookup r1
        e1 expect GET *
        e1 raw HTTP/1.1 200 OK
        e2 expect GET r1 *
        e2 send r9 served -
        e2 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
    """,
    "attempts that share a connection with a malformed answer are lost; loads are not retried": """
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
    "duplicate answers and unknown ids are harmless": """
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
    "a connection without an answer to its liveness check is abandoned": """
        e1 will mute
        c1 query load r1 allow=20000
        e1 expect GET *
        time wait 2100
        c1 expect error 1105 *may have run*
    """,
    "a truncated answer is not waited for": """
        c1 query load r1 allow=20000
        e1 expect GET *
        e1 raw *4
        time wait 750
        c1 expect error 1105 *may have run*
    """,
    "a request id that is still open is not accepted again": """
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


def test_a_scheduler_fault_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    step = world.gateway.scheduler.step

    def broken(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr(world.gateway.scheduler, "step", broken)
    world.run("c2 query lookup r2\nc2 expect error 1105 *")
    monkeypatch.setattr(world.gateway.scheduler, "step", step)
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")


def test_shutdown_answers_open_requests_then_closes() -> None:
    world = World().run("c1 query load r1 allow=20000\ne1 expect GET *\nc2 send 010000000e")
    world.run("ops leave")
    world.wait(SHUTDOWN_ACCEPT_CLIENTS_MS + CHECK_INTERVAL_MS)
    assert [c.session.is_closing for c in world.clients.values()] == [False, True]
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c\nc1 closing")
    assert world.gateway.open_count == 0


def test_shutdown_ends_every_request_before_sigkill_and_raises_priorities() -> None:
    """At SIGKILL no request may be queued, or have an attempt that started too late to end."""
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
