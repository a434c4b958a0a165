"""Final answers other than results: a rejection if a retry is harmless, otherwise a failure."""

from __future__ import annotations

from cottonhold.scheduler import key_ordering, retry_policy
from cottonhold.scheduler.actions import Fail, Reject
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query

MIN_RETRY_AFTER_MS = 400.0  # shortest time until a retry that is advised


def reject_or_fail(gateway: GatewayState, query: Query) -> None:
    """Answer a query with a rejection or a failure; the scheduler's final answers except results are given
    here.

    Called by admission (rejected on arrival), placement (no utility left, or too late to finish), deadlines
    (deadline near) and attempt_outcomes (no further attempt allowed).
    """
    query.leave_plan()
    if retry_policy.may_reject(query):
        gateway.actions.append(Reject(query.id, _retry_after_ms(gateway)))
    else:
        gateway.actions.append(Fail(query.id))
    finish(gateway, query)


def _retry_after_ms(gateway: GatewayState) -> float:
    """Return the time until a retry, in ms: until the queued work is done, within the deployment's limit."""
    queued_thread_ms = sum(engine.queued_thread_ms for engine in gateway.active_engines.values())
    drained_ms = queued_thread_ms / gateway.local_thread_capacity
    features = gateway.settings.features
    max_ms = features.max_retry_after_ms if features.has_retry_after else 0.0
    return min(max_ms, max(MIN_RETRY_AFTER_MS, drained_ms, gateway.threshold.retry_after_ms))


def finish(gateway: GatewayState, query: Query, is_served: bool = False) -> None:
    """Finish a query, and drop it once none of its attempts is in flight."""
    if not is_served:
        query.class_history.unserved.add(gateway.now)
    query.is_finished = True
    gateway.unplaced.pop(query.id, None)
    if query.is_in_flight:
        return
    gateway.queries.pop(query.id, None)
    key_ordering.remove(gateway, query)
