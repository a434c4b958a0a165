"""Final answers: each query gets one, refused where a new try is harmless and failed where it is not."""

from __future__ import annotations

from cottonhold.scheduler import key_ordering, retry_policy
from cottonhold.scheduler.actions import Fail, Reject
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.state import Query

RETRY_AFTER_LEAST_MS = 400.0  # shortest advice on when to come back


def answer(gateway: GatewayState, query: Query) -> None:
    """The one place for every final answer that is no result."""
    query.leave_plan()
    if retry_policy.harmless_to_try_again(query):
        gateway.actions.append(Reject(query.id, _retry_after(gateway)))
    else:
        gateway.actions.append(Fail(query.id))
    close(gateway, query)


def _retry_after(gateway: GatewayState) -> float:
    """Advice on when to come back, in ms: when the plans have drained, within what the deployment allows."""
    drained = sum(e.held_area for e in gateway.active.values()) / gateway.own_room
    permits = gateway.settings.features
    most = permits.max_retry_after_ms if permits.has_retry_after else 0.0
    return min(most, max(RETRY_AFTER_LEAST_MS, drained, gateway.threshold.retry_after_ms))


def close(gateway: GatewayState, query: Query, served: bool = False) -> None:
    """The query is over; it is forgotten once no attempt of it is out."""
    if not served:
        query.learned.turned.add(gateway.now)
    query.over = True
    gateway.homeless.pop(query.id, None)
    if query.out:
        return
    gateway.queries.pop(query.id, None)
    key_ordering.leave(gateway, query)
