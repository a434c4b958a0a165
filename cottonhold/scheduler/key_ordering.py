"""Ordering by key: queries with the same ordering key are sent one at a time, in order of arrival."""

from __future__ import annotations

import math

from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query

# Outcomes after which the attempt may still run on its engine.
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def append(gateway: GatewayState, query: Query) -> None:
    """Append an accepted query to the queue of its key, if it has one."""
    if query.ordering_key is not None:
        gateway.key_queues.append(query.ordering_key, query)


def waits_for_earlier_query(gateway: GatewayState, query: Query) -> bool:
    """Return whether the query must wait for its key.

    It waits for an earlier query of the key that is not finished. Its first attempt also waits for the end of
    the key's quiet time.
    """
    if query.ordering_key is None:
        return False
    queues = gateway.key_queues
    quiet_until = queues.quiet_until.get(query.ordering_key, -math.inf)
    if not query.attempts_sent and gateway.now < quiet_until:
        return True
    return queues.queries_by_key[query.ordering_key][0] is not query


def quiet_after(gateway: GatewayState, query: Query, outcome: Outcome) -> None:
    """Begin the key's quiet time if the attempt that ended may still run on its engine."""
    if query.ordering_key is not None and outcome in MAY_STILL_RUN:
        quiet_until = gateway.now + gateway.settings.rules.key_quiet_ms
        gateway.key_queues.quiet(query.ordering_key, gateway.now, quiet_until)


def remove(gateway: GatewayState, query: Query) -> None:
    """Remove a query that is finished and not in flight, so that the next query of its key may be sent."""
    if query.ordering_key is not None:
        gateway.key_queues.remove_finished(query.ordering_key)
