"""Order by key: queries of one key start one after the other, in the order of their arrival."""

from __future__ import annotations

import math

from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query

MAY_RUN_ON = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the attempt may run on at its engine


def append(gateway: GatewayState, query: Query) -> None:
    """Queue an accepted query behind all others of its key, if it has one."""
    if query.ordering_key is not None:
        gateway.key_queues.append(query.ordering_key, query)


def waits_for_earlier_query(gateway: GatewayState, query: Query) -> bool:
    """Whether another query of the key goes first, or the key is quiet, which holds back first attempts."""
    if query.ordering_key is None:
        return False
    queues = gateway.key_queues
    quiet_until = queues.quiet_until.get(query.ordering_key, -math.inf)
    if not query.attempts_sent and gateway.now < quiet_until:
        return True
    return queues.queries_by_key[query.ordering_key][0] is not query


def quiet_after(gateway: GatewayState, query: Query, outcome: Outcome) -> None:
    """Keep the key quiet for a while where the attempt that ended may run on at its engine."""
    if query.ordering_key is not None and outcome in MAY_RUN_ON:
        quiet_until = gateway.now + gateway.settings.rules.key_quiet_ms
        gateway.key_queues.quiet(query.ordering_key, gateway.now, quiet_until)


def remove(gateway: GatewayState, query: Query) -> None:
    """Let the next query of the key start: this one is finished and has no attempt in flight."""
    if query.ordering_key is not None:
        gateway.key_queues.remove_finished(query.ordering_key)
