"""Timeouts of attempts, and requests with little time left, which are rejected in time and not sent."""

from __future__ import annotations

import pytest

from cottonhold.node.attempt_sender import RESPONSE_MARGIN_MS
from cottonhold.node.gateway import EVENT_LOOP_LAG_MS, MAX_LAG_FRACTION
from tests.frontend.test_client_departure import CLASS_NAMES, SITES, SteppedWorld, assert_no_leftovers

MOMENTS = {
    "with nothing else going on": """
        c1 query CLASS r1 allow=LEFT
    """,
    "in a turn in which another request is retried": """
        c9 query lookup r9
        e1 expect GET r9 *
        turn begins now
        c1 query CLASS r1 allow=LEFT
        e1 send r9 overload -
        turn ends now
        e2 expect GET r9 *
        e2 send r9 served count=1 a|b|c/
    """,
    "while no engine accepts connects": """
        e1 will vanish
        e2 will vanish
        c1 query CLASS r1 allow=LEFT
    """,
}


@pytest.mark.parametrize("remaining_ms", ["0.1", "0.5", "1", "20", "100"])
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("name", CLASS_NAMES)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_request_with_little_remaining_time_is_rejected_immediately_and_not_sent(
    moment: str, name: str, site: str, remaining_ms: str
) -> None:
    world = SteppedWorld(SITES[site])
    for client in ("c1", "c9"):
        world.client(client)
    # At a high utilization, the scheduler would already reject requests that may not end in time.
    world.gateway.scheduler.fleet_utilization = 0.1
    world.run(MOMENTS[moment].replace("CLASS", name).replace("LEFT", remaining_ms))
    world.run("c1 expect error 1226 *\nany nothing there")
    assert not world.gateway.scheduler.ejected_engines
    assert_no_leftovers(world)


def sent_timeout_ms(world: SteppedWorld) -> float:
    """Return the timeout in the only request that an engine has received, in ms."""
    (stream,) = [stream for stream in world.engine_streams if stream.received]
    fields = stream.received.pop(0)[2].decode()
    return float(fields.partition("ms=")[2].partition(",")[0])


@pytest.mark.parametrize("allow", [300, 1000, 3000, 20000])
@pytest.mark.parametrize("delay", ["for a connect", "behind another one", "after a first attempt"])
def test_an_attempts_timeout_is_at_most_its_clients_remaining_time(delay: str, allow: int) -> None:
    """The client's time counts from the request's last byte, whatever the request then waits for."""
    world = SteppedWorld(SITES["few features"])
    world.client("c1")
    world.gateway.scheduler.fleet_utilization = 0.1
    arrived_at, passed = world.clock.now(), min(allow / 5, 200)
    query = f"c1 query lookup r1 allow={allow},effort=20.0"
    if delay == "for a connect":
        world.run(f"e1 will vanish\n{query}\ntime wait {passed}\ne1 will up\ntime wait 1")
    elif delay == "behind another one":
        world.run(f"c1 query lookup r9\ne1 expect GET r9 *\n{query}\ntime wait {passed}")
        world.run("e1 send r9 served count=1 a|b|c/\nc1 expect rows a|b|c")
    else:
        world.run(f"{query}\ne1 expect GET r1 *\ntime wait {passed}\ne1 send r1 overload -")
    remaining_ms = (
        arrived_at
        + allow
        - min(EVENT_LOOP_LAG_MS, MAX_LAG_FRACTION * allow)
        - RESPONSE_MARGIN_MS
        - world.clock.now()
    )
    assert remaining_ms - 2 < sent_timeout_ms(world) <= remaining_ms + 1


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("name", CLASS_NAMES)
def test_a_connect_that_outlasts_its_request_is_no_evidence_against_the_engine(name: str, site: str) -> None:
    """Otherwise, one request with less time than a connect takes would eject the engine for seconds."""
    world = SteppedWorld(SITES[site])
    world.client("c1")
    world.gateway.scheduler.fleet_utilization = 0.1
    world.run(f"e1 will vanish\nc1 query {name} r1 allow=160\nc1 expect nothing\ntime wait 115")
    world.run("c1 expect error 1226 *\nany nothing there")
    assert len(world.engine_streams) == 1 and not world.gateway.scheduler.ejected_engines
    assert_no_leftovers(world)
