"""Per-key order: queries of one key start one after the other, in the order in which they were taken."""

from __future__ import annotations

import math

from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.state import Query

MAY_RUN_ON = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the attempt may run on unseen


def join(gateway: GatewayState, query: Query) -> None:
    """Put a query that was taken last in the line of its key, if it has one."""
    if query.key is not None:
        gateway.turns.join(query.key, query)


def out_of_turn(gateway: GatewayState, query: Query) -> bool:
    """Whether another query of the key goes first, or the key rests; a rest holds first attempts only."""
    if query.key is None:
        return False
    turns = gateway.turns
    if not query.attempts and gateway.now < turns.rests.get(query.key, -math.inf):
        return True
    return turns.lines[query.key][0] is not query


def rest_after(gateway: GatewayState, query: Query, outcome: Outcome) -> None:
    """Let the key rest where the attempt that ended may run on unseen."""
    if query.key is not None and outcome in MAY_RUN_ON:
        gateway.turns.rest(query.key, gateway.now, gateway.now + gateway.settings.rules.key_quiet_ms)


def leave(gateway: GatewayState, query: Query) -> None:
    """The query is over and has no attempt out: the next of its key may start."""
    if query.key is not None:
        gateway.turns.tidy(query.key)
