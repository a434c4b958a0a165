"""The one check before the first byte of an attempt, at the machine that writes it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection import Connection
from cottonhold.backend.connection_pool import MIN_ATTEMPT_MS
from cottonhold.scheduler.events import EngineState, Outcome
from tests.support.scenario import World

Change = Callable[[World, Attempt], None]


def engine_drains(world: World, attempt: Attempt) -> None:
    place = world.engines.endpoints[attempt.engine]
    place.engine = replace(place.engine, state=EngineState.DRAINING)


def engine_is_gone(world: World, attempt: Attempt) -> None:
    del world.engines.endpoints[attempt.engine]


def time_is_over(world: World, attempt: Attempt) -> None:
    attempt.deadline = world.clock.now() + MIN_ATTEMPT_MS / 2


def client_left(world: World, attempt: Attempt) -> None:
    world.gateway.requests[attempt.request_id].response_sink = None


def another_is_current(world: World, attempt: Attempt) -> None:
    world.gateway.requests[attempt.request_id].attempt = None


CHANGES: dict[Change, Outcome] = {
    engine_drains: Outcome.CONNECT_FAILED,
    engine_is_gone: Outcome.CONNECT_FAILED,
    time_is_over: Outcome.NOT_STARTED,
    client_left: Outcome.NOT_STARTED,
    another_is_current: Outcome.NOT_STARTED,
}


def waiting(world: World) -> Attempt:
    """An attempt that waits for its connection's write."""
    world.run("e1 will vanish\nc1 query lookup r1")
    attempt = world.gateway.requests[f"{1:016x}"].attempt
    assert attempt is not None and attempt.connection is not None
    return attempt


@pytest.mark.parametrize("change", CHANGES, ids=[change.__name__ for change in CHANGES])
def test_what_may_not_begin_any_more_ends_as_never_sent(change: Change) -> None:
    world, ends = World(engines="a"), list[Outcome]()
    attempt = waiting(world)
    connection = attempt.connection
    assert isinstance(connection, Connection)
    world.gateway.on_attempt_ended = lambda attempt, event: ends.append(event.outcome)  # type: ignore[method-assign]
    connection.is_up = True
    change(world, attempt)
    assert connection.take_output() == b"" and ends == [CHANGES[change]]
    assert not attempt.is_written and not connection.attempts and not connection.queue


def test_what_may_begin_is_written_once() -> None:
    world = World(engines="a")
    attempt = waiting(world)
    assert isinstance(attempt.connection, Connection)
    attempt.connection.is_up = True
    assert attempt.connection.take_output().startswith(b"*4\r\n$3\r\nGET\r\n") and attempt.is_written
    assert attempt.connection.take_output() == b""
