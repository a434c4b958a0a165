"""Retries: decides whether a query may be attempted again, and whether its client may be advised to retry.

A further attempt is made only if no earlier attempt can have run, or if a repeat does no harm. It has to be
within the query's number of attempts and the gateway's retry budget.
"""

from __future__ import annotations

from enum import Enum

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine, Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import DeduplicationScope, Idempotency

MAX_ENGINE_ERRORS = 2  # errors of engines after which the query itself is assumed to cause them
# Outcomes that prove that the attempt never ran.
NEVER_RAN = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_STARTED,
)


class RetryBarrier(Enum):
    """Why a query may not be attempted again."""

    ATTEMPTS_EXHAUSTED = "attempts used up, or too many errors of engines"
    NOT_IDEMPOTENT = "not idempotent"
    DEDUPLICATION_WINDOW_OVER = "deduplication window over"
    RETRY_BUDGET_SPENT = "retry budget spent"


def retry_barrier(gateway: GatewayState, query: Query) -> RetryBarrier | None:
    """Return why a query may not be attempted again; None if it may."""
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
    """Return the time before which a further attempt must begin, as engines drop repeats only until then.

    The time is infinite if nothing can have run, or if the query has no key.
    """
    return query.deduplication_window_end() - gateway.settings.tick_ms


def _retry_budget_is_spent(gateway: GatewayState) -> bool:
    """Return whether one more retry would exceed the retry budget of the deployment.

    An attempt begins up to max_connect_ms after the decision. To allow for this, retries are counted over a
    window longer by this time, and accepted queries over a window shorter by it.
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
    """Count an arriving query for the retry budget, if there is one.

    Without a budget the entries would never be read, so old ones would never be dropped.
    """
    if gateway.settings.rules.retry_budget_free is not None:
        gateway.queries_accepted.add(gateway.now, 1.0)


def count_retry(gateway: GatewayState) -> None:
    """Count a further attempt against the retry budget, if there is one."""
    if gateway.settings.rules.retry_budget_free is not None:
        gateway.retries_sent.add(gateway.now, 1.0)


def record_possible_execution(query: Query, outcome: Outcome) -> None:
    """Record the first attempt that may have run: the deduplication window begins when it was sent.

    The engine's zone and cell are also those of that time, since the engine may be removed or replaced.
    """
    if outcome not in NEVER_RAN and query.may_have_run_since is None:
        query.may_have_run_since = query.sent_at
        query.may_have_run_on = query.sent_to


def may_reject(query: Query) -> bool:
    """Return whether the client may be advised to retry: nothing ran, or a repeat does no harm on any engine.

    A query that failed on MAX_ENGINE_ERRORS engines is not rejected, as a retry would fail again.
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
    """Return whether the query may be sent to the engine, given its earlier attempts.

    If an earlier attempt of a keyed query may have run, only engines that drop the repeat are permitted.
    """
    query_class = query.query_class
    if query_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY or query.may_have_run_on is None:
        return True
    return _drops_repeats(query_class.deduplication_scope, query.may_have_run_on, engine.entry)


def _drops_repeats(scope: DeduplicationScope, first: Engine, here: Engine) -> bool:
    """Return whether an engine drops repeats of what may have run on the first one: they are of one group.

    Two engines of unknown places may be of different groups.
    """
    if scope is DeduplicationScope.ALL:
        return True
    places = [(first.zone, here.zone)]
    if scope is DeduplicationScope.CELL:
        places.append((first.cell, here.cell))
    if any(first_place != place for first_place, place in places):
        return False
    is_known = all(place != UNKNOWN_PLACE for place, _ in places)
    return is_known or first.id == here.id
