"""Retries: whether a query may have a further attempt, and whether its client may be told to try again.

A further attempt is made only where the first can not have run, or where a repeat does no harm, within the
attempts that the query may have and the retry budget of the gateway.
"""

from __future__ import annotations

from enum import Enum

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import DeduplicationScope, Idempotency

MAX_ENGINE_ERRORS = 2  # engines that could not run a query: then the query is at fault
NEVER_RAN = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_STARTED,
)  # proof that the attempt never ran


class RetryBarrier(Enum):
    """Why a query may have no further attempt."""

    ATTEMPTS_EXHAUSTED = "attempts used up, or too many errors of engines"
    NOT_IDEMPOTENT = "not idempotent"
    DEDUPLICATION_WINDOW_OVER = "deduplication window over"
    RETRY_BUDGET_SPENT = "retry budget spent"


def retry_barrier(gateway: GatewayState, query: Query) -> RetryBarrier | None:
    """What keeps a query from a further attempt; None where it may have one."""
    if query.attempts_sent >= query.max_attempts or query.engine_error_count >= MAX_ENGINE_ERRORS:
        return RetryBarrier.ATTEMPTS_EXHAUSTED
    if query.may_have_run_since is not None:
        if query.query_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return RetryBarrier.NOT_IDEMPOTENT
        if gateway.now >= latest_attempt_begin(gateway, query):
            return RetryBarrier.DEDUPLICATION_WINDOW_OVER
    if _retry_budget_is_spent(gateway):
        return RetryBarrier.RETRY_BUDGET_SPENT
    return None


def latest_attempt_begin(gateway: GatewayState, query: Query) -> float:
    """Until when a further attempt may begin, as engines drop repeats until then; infinity without an end."""
    return query.deduplication_window_end() - gateway.settings.tick_ms


def _retry_budget_is_spent(gateway: GatewayState) -> bool:
    """Whether one more retry would pass the budget of the deployment in its window.

    An attempt begins up to max_connect_ms after the decision. So retries are counted over a window that is
    longer by that, and accepted queries over one that is shorter.
    """
    rules = gateway.settings.rules
    if rules.retry_budget_free is None:
        return False
    max_connect_ms = gateway.settings.max_connect_ms
    start = gateway.now - rules.retry_budget_window_ms
    accepted = gateway.queries_accepted.since(start + max_connect_ms)
    allowed = rules.retry_budget_free + rules.retry_budget_share * accepted
    return gateway.retries_sent.since(start - max_connect_ms) + 1 > allowed


def count_accepted_query(gateway: GatewayState) -> None:
    """Count a query for the retry budget; without a budget nothing would forget old entries."""
    if gateway.settings.rules.retry_budget_free is not None:
        gateway.queries_accepted.add(gateway.now, 1.0)


def count_retry(gateway: GatewayState) -> None:
    """Count a further attempt against the retry budget, if there is one."""
    if gateway.settings.rules.retry_budget_free is not None:
        gateway.retries_sent.add(gateway.now, 1.0)


def record_possible_execution(query: Query, engine: EngineView | None, outcome: Outcome) -> None:
    """Remember the first attempt that may have run: repeats are judged from when it was sent."""
    if outcome not in NEVER_RAN and query.may_have_run_since is None:
        query.may_have_run_since = query.sent_at
        query.may_have_run_on = engine


def may_reject(query: Query) -> bool:
    """Whether the client may be told to try again: nothing ran, or a repeat does no harm at any engine.

    A query that two engines could not run fails: a rejection would only bring it back.
    """
    if query.engine_error_count >= MAX_ENGINE_ERRORS:
        return False
    query_class = query.query_class
    if query.may_have_run_since is None or query_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        query_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and query_class.deduplication_scope is DeduplicationScope.ALL
    )


def permits_retry_on(query: Query, engine: EngineView) -> bool:
    """Whether a repeat may go to the engine.

    It may unless an earlier attempt of a query with a key may have run: then only to an engine that drops the
    repeat.
    """
    query_class = query.query_class
    if query_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY or query.may_have_run_on is None:
        return True
    scope = query_class.deduplication_scope
    if scope is DeduplicationScope.ALL:
        return True
    first, here = query.may_have_run_on.entry, engine.entry
    if here.zone != first.zone:
        return False
    return scope is DeduplicationScope.ZONE or here.cell == first.cell
