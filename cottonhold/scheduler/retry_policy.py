"""Repeat safety: whether a query may have a further attempt, and whether its client may try again.

A further attempt is made only where the first can not have run, or where a repeat does no harm, within the
attempts that the query may have and the allowance that the deployment sets for all of them.
"""

from __future__ import annotations

from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.settings import DeduplicationScope, Idempotency
from cottonhold.scheduler.state import EngineView, Query

FAILURES_MOST = 2  # engines that could not run a query: then it is the query
NEVER_RAN = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.ALREADY_FINISHED,
)  # proof that the attempt never ran


def repeat_barred(gateway: GatewayState, query: Query) -> str:
    """Why no further attempt may be made: attempts, repeat safety or the budget; empty where one may."""
    if query.attempts >= query.most or query.failures >= FAILURES_MOST:
        return "attempts"
    if query.risk_at is not None:
        if query.cls.idempotency is Idempotency.NOT_IDEMPOTENT:
            return "unsafe"
        if gateway.now >= latest_begin(gateway, query):
            return "window"
    if _allowance_spent(gateway):
        return "budget"
    return ""


def latest_begin(gateway: GatewayState, query: Query) -> float:
    """Until when a further attempt may begin, as engines drop repeats to then; infinity without an end."""
    return query.window_end() - gateway.settings.tick_ms


def _allowance_spent(gateway: GatewayState) -> bool:
    """Whether one more further attempt would pass what the deployment allows in its window."""
    rules = gateway.settings.rules
    if rules.retry_budget_free is None:
        return False
    # Danger: counted when they were decided on, two attempts that began within a window were further
    # apart than it, as the first had waited for its connect.
    late = gateway.settings.max_connect_ms
    start = gateway.now - rules.retry_budget_window_ms
    allowed = rules.retry_budget_free + rules.retry_budget_share * gateway.taken.since(start + late)
    return gateway.extra.since(start - late) + 1 > allowed


def count_taken(gateway: GatewayState) -> None:
    """A query was taken: a share of it is allowed as further attempts."""
    # Danger: where no budget is set nothing asks for these sums, so nothing was forgotten: both grew.
    if gateway.settings.rules.retry_budget_free is not None:
        gateway.taken.add(gateway.now, 1.0)


def count_further_attempt(gateway: GatewayState) -> None:
    """A further attempt was sent; counted only where a budget is set, as above."""
    if gateway.settings.rules.retry_budget_free is not None:
        gateway.extra.add(gateway.now, 1.0)


def note_risk(query: Query, engine: EngineView | None, outcome: Outcome) -> None:
    """Remember the first attempt that may have run: repeats are judged from when it was sent."""
    if outcome not in NEVER_RAN and query.risk_at is None:
        query.risk_at = query.sent_at
        query.risk_engine = engine


def harmless_to_try_again(query: Query) -> bool:
    """Whether the client may be told to try again: nothing ran, or a repeat does no harm at any engine."""
    # What two engines could not run no third one will, and a refusal would only bring it back.
    if query.failures >= FAILURES_MOST:
        return False
    if query.risk_at is None or query.cls.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        query.cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and query.cls.deduplication_scope is DeduplicationScope.ALL
    )


def in_first_group(query: Query, engine: EngineView) -> bool:
    """Whether the engine drops a repeat of what the first attempt of a keyed query may have done."""
    if query.cls.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY or query.risk_engine is None:
        return True
    group = query.cls.deduplication_scope
    if group is DeduplicationScope.ALL:
        return True
    first, here = query.risk_engine.info, engine.info
    if here.zone != first.zone:
        return False
    return group is DeduplicationScope.ZONE or here.cell == first.cell
