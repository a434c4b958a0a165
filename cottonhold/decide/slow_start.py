"""Slow start: the budget of work that a just started engine may be sent.

All gateways together may send a cold engine no more than it takes without falling over; each holds to its own
part of that, so that the parts add up to the budget whatever the others do.
"""

from __future__ import annotations

import math

from cottonhold.decide.gateway_state import GatewayState
from cottonhold.decide.parameters import GOLDEN
from cottonhold.decide.state import EngineView, Query

COLD_MARGIN = 0.5  # of a cold engine's budget: true speed, cost estimates and shares are all guesses
BOUND_BURST_MS = 250.0  # of a bound's work may come at once: the fleet's parts add up within a moment
CODES = 2**32  # engine codes there are: a code over it is a place between 0 and 1


def barred(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Whether the budget of a cold or bounded engine keeps the query from being sent there now."""
    # Danger: a just started engine falls over for good if all gateways send too much: their parts add up
    # to the budget at any share; where one is less than a query they take turns with it, else long ones
    # kept off cold engines (at the fleet's pace for good: dealt anew, fifty began at once). Also held for
    # one seen to fail before the list tells; may hurt one only cut off.
    cold = gateway.now < engine.cold_until
    bound = engine.bounded(gateway.now)
    if not bound:
        return True
    free = bound == math.inf
    if cold and engine.id not in gateway.mine:
        return True
    if not cold and free:
        return False
    usual = query.learned.cost or query.cost
    _save_up(gateway, engine, bound, usual)
    return engine.allowance < _turn(gateway, engine, cold, free) * usual


def _save_up(gateway: GatewayState, engine: EngineView, bound: float, usual: float) -> None:
    """Add to the engine's allowance what has come in since it was last looked at, up to one burst."""
    rules = gateway.settings.rules
    if bound == math.inf:
        fill = own_part(gateway, engine)
        most = fill * rules.tip_after
        fill *= engine.warmth(gateway.now, rules) / rules.cold_from
    else:  # the fleet's pace follows what a cold engine shows
        fill = bound
        most = max(fill * BOUND_BURST_MS, usual)
    engine.allowance = min(most, engine.allowance + fill * (gateway.now - engine.allowance_at))
    engine.allowance_at = gateway.now


def _turn(gateway: GatewayState, engine: EngineView, cold: bool, free: bool) -> float:
    """Part of a usual query that has to be saved up: gateways come up one after the other."""
    turn = gateway.settings.me
    if free or not cold:
        turn += math.floor(gateway.now / gateway.settings.rules.tip_after)
    return (engine.code / CODES + turn * GOLDEN) % 1


def own_part(gateway: GatewayState, engine: EngineView) -> float:
    """This gateway's part of the work a cold engine may be sent, in ms a ms; half may come as one burst."""
    rules = gateway.settings.rules
    part = gateway.reach / gateway.settings.beside  # an upgrade's other process too
    return COLD_MARGIN * rules.overload_factor * rules.cold_from * engine.cores * part / 2


def begin(gateway: GatewayState, engine: EngineView, until: float) -> None:
    """The engine may have started: hold it to the cold budget."""
    if gateway.now >= engine.cold_until:
        engine.allowance = own_part(gateway, engine) * gateway.settings.rules.tip_after
        engine.allowance_at = gateway.now
    engine.cold_until = max(engine.cold_until, until)


def spend(query: Query, engine: EngineView) -> None:
    """An attempt of the query is sent: take it from the engine's allowance."""
    engine.allowance -= query.learned.cost or query.cost
