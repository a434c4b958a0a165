"""Failover retries: an attempt far past its plan is given up where a fresh one ends much sooner."""

from __future__ import annotations

import math

from cottonhold.scheduler import placement, retry_policy, utilization
from cottonhold.scheduler.actions import Cancel
from cottonhold.scheduler.engine_health import UNHEARD
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.settings import Idempotency
from cottonhold.scheduler.state import EngineView, Query

FAILOVER_FACTOR = 2.0  # plans run before a retry, times run that are guessed to be left, times sooner than it
DONE_LEAST = 0.05  # part of a run taken to be done where notes told of less


def cancel_stragglers(gateway: GatewayState, engine: EngineView) -> None:
    """Cancel the attempts on an engine that a fresh one elsewhere would overtake."""
    # Danger: bad plans, hung or slowed engines hold a query far past its plan; cancel where a fresh
    # attempt ends much sooner. On a full fleet most runs pass two plans, and those given up there were a
    # fifth of all work: where engines are rarely heard of, up to twice as many are waited for then.
    full = utilization.fleet_fill(gateway, 0.0) > utilization.IDLE_FILL  # own work only: reports lag
    plans = FAILOVER_FACTOR * (1 + gateway.blind * full)
    for query in list(engine.out.values()):
        if _may_move(gateway, query, engine, plans) and _overtaken(gateway, query, engine):
            cancel(gateway, query)


def _may_move(gateway: GatewayState, query: Query, engine: EngineView, plans: float) -> bool:
    """Whether the attempt is late enough, or its engine given up, and a further attempt is allowed."""
    if (
        query.cancelled
        or query.over
        or query.streaming
        or query.cls.idempotency is not Idempotency.IDEMPOTENT
    ):
        return False
    told = query.seen_at > query.run_at  # a note told its pace: a bad plan shows in the first one
    in_plan = gateway.now - query.sent_at < plans * query.p
    if not _given_up(engine) and in_plan and not told:
        return False
    return not retry_policy.repeat_barred(gateway, query)


def _overtaken(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Whether a fresh attempt elsewhere would end much sooner, and in time."""
    left = _time_left(gateway, query, engine)
    others = [e for e in placement.candidates(gateway, query) if e is not engine and not e.suspect]
    finishes = [placement.tentative(gateway, query, e).finish for e in others]
    fresh = min(finishes, default=math.inf) - gateway.now
    return left > FAILOVER_FACTOR * fresh and gateway.now + fresh < query.due


def _given_up(engine: EngineView) -> bool:
    """Whether nothing is expected of the engine: it says nothing, or the fleet has left it."""
    return engine.suspect in UNHEARD or not engine.bound


def _time_left(gateway: GatewayState, query: Query, engine: EngineView) -> float:
    """How long the attempt is taken to run on: by its notes, else guessed from the time run."""
    if _given_up(engine):
        return math.inf
    if gateway.settings.progress_interval_ms:
        return (gateway.now - query.run_at) / max(query.done, DONE_LEAST) * (1 - query.done)
    return FAILOVER_FACTOR * (gateway.now - query.sent_at)


def cancel(gateway: GatewayState, query: Query) -> None:
    """Give up the attempt that is out, once."""
    if query.out and not query.cancelled:
        query.cancelled = True
        gateway.actions.append(Cancel(query.id, query.attempts - 1))
