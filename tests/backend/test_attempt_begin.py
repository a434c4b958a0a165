"""The check that a connection makes before it writes the first byte of an attempt."""

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


def drain_engine(world: World, attempt: Attempt) -> None:
    endpoint = world.engines.endpoints[attempt.engine]
    endpoint.engine = replace(endpoint.engine, state=EngineState.DRAINING)


def remove_engine(world: World, attempt: Attempt) -> None:
    del world.engines.endpoints[attempt.engine]


def pass_deadline(world: World, attempt: Attempt) -> None:
    attempt.deadline = world.clock.now() + MIN_ATTEMPT_MS / 2


def disconnect_client(world: World, attempt: Attempt) -> None:
    world.gateway.requests[attempt.request_id].response_sink = None


def replace_attempt(world: World, attempt: Attempt) -> None:
    world.gateway.requests[attempt.request_id].attempt = None


CHANGES: dict[Change, Outcome] = {
    drain_engine: Outcome.CONNECT_FAILED,
    remove_engine: Outcome.CONNECT_FAILED,
    pass_deadline: Outcome.NOT_STARTED,
    disconnect_client: Outcome.NOT_STARTED,
    replace_attempt: Outcome.NOT_STARTED,
}


def queued_attempt(world: World) -> Attempt:
    """Return an attempt that is queued on a connection that is not established yet."""
    world.run("e1 will vanish\nc1 query lookup r1")
    attempt = world.gateway.requests[f"{1:016x}"].attempt
    assert attempt is not None and attempt.connection is not None
    return attempt


@pytest.mark.parametrize("change", CHANGES, ids=[change.__name__ for change in CHANGES])
def test_an_attempt_that_may_not_begin_ends_unsent(change: Change) -> None:
    world, outcomes = World(engines="a"), list[Outcome]()
    attempt = queued_attempt(world)
    connection = attempt.connection
    assert isinstance(connection, Connection)
    world.gateway.on_attempt_ended = lambda attempt, event: outcomes.append(event.outcome)  # type: ignore[method-assign]
    connection.is_up = True
    change(world, attempt)
    assert connection.pop_output() == b"" and outcomes == [CHANGES[change]]
    assert not attempt.is_written and not connection.attempts and not connection.queue


def test_an_attempt_that_may_begin_is_written_once() -> None:
    world = World(engines="a")
    attempt = queued_attempt(world)
    assert isinstance(attempt.connection, Connection)
    attempt.connection.is_up = True
    assert attempt.connection.pop_output().startswith(b"*4\r\n$3\r\nGET\r\n") and attempt.is_written
    assert attempt.connection.pop_output() == b""
