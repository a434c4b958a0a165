"""The end of a process, as clients and engines meet it: what is taken is answered before SIGKILL can come."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cottonhold.decide import interface as io
from cottonhold.node.life import Life
from tests.scenario import READ, SETTINGS, World

DEADLINES = (100.0, 400.0, 1000.0, 3000.0, 25000.0)
COMING_MS = 600.0  # after SIGTERM requests come for so long on open connections


def world(deadline: float, effect: io.Effect = io.Effect.SAFE) -> World:
    return World(replace(SETTINGS, classes=(replace(READ, deadline=deadline, effect=effect),)))


def killed_in(deadline: float) -> float:
    """By the protocol: SIGKILL comes no sooner than so long after SIGTERM."""
    return min(deadline, 3000.0) + 700.0


@pytest.mark.parametrize("effect", [io.Effect.SAFE, io.Effect.UNSAFE])
@pytest.mark.parametrize("allow", [0.0, 20000.0])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_engines_that_hang_through_the_whole_end_leave_no_request_without_an_answer(
    deadline: float, allow: float, effect: io.Effect
) -> None:
    """Clients wait for a deadline, or for longer, as where the settings have become shorter. Seen with fixed
    times: SIGKILL came before the answers and the closes."""
    w, clients = world(deadline, effect), list[str]()

    def ask() -> None:
        name = f"c{len(clients) + 1}"
        clients.append(name)
        w.run(f"{name} query lookup r{len(clients)} allow={max(deadline, allow):.0f}")

    w.client("c90"), w.client("c91")
    w.run("c90 send 010000000e\nc90 expect ok\nc91 send 010000000e\nc91 expect ok")
    ask()
    w.wait(min(deadline / 2, 50.0))
    ask()
    w.run("ops terminate")
    began = w.clock.now()
    while w.clock.now() < began + COMING_MS - 25.0:
        ask()
        w.wait(25.0)
    w.run("c91 query lookup r91 allow=20000")  # may not be taken any more
    w.wait(began + killed_in(deadline) - 100.0 - w.clock.now())
    assert [len(w.clients[name].heard) for name in clients] == [1] * len(clients)
    assert all(client.session.closing for client in w.clients.values()) and w.gateway.open == 0


@pytest.mark.parametrize("deadline", DEADLINES)
def test_the_times_of_the_end_follow_from_the_settings(deadline: float) -> None:
    life = Life()
    life.leave(1000.0, deadline)
    killed = 1000.0 + killed_in(deadline)
    assert life.killed_at == killed and life.ends_at() <= killed - 200.0
    assert 1000.0 + 400.0 <= life.door_at() <= life.closes_at() < life.ends_at()
    # What comes by the rules can be taken, however late, if its client can wait no longer than a deadline.
    assert life.takes(1000.0 + COMING_MS, 1000.0 + COMING_MS + min(deadline, 3000.0))
    assert not life.takes(1000.0 + COMING_MS, killed + 1.0)


def test_a_second_order_or_other_settings_change_nothing() -> None:
    """Danger: a second SIGTERM, or a SIGHUP between two, must not put the end off beyond SIGKILL."""
    life = Life()
    life.leave(1000.0, 400.0)
    life.leave(1500.0, 5000.0)
    assert (life.leaving_at, life.killed_at) == (1000.0, 2100.0)


def test_a_drain_before_the_end_holds_on_through_it() -> None:
    w = world(400.0).run("ops drain\ntime wait 1600\nops terminate\nc1 query lookup r1 allow=400")
    w.run("c1 expect error 1226 *did not run*\nc1 closing\nc2 send 010000000e\nc2 expect error 1053 *drained")
    assert not w.life.restore() and not w.life.ready()
