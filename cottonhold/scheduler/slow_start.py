"""Slow start: the budget of work that a just started engine may be sent.

All gateways together may send a cold engine no more than it takes without falling over; each holds to its own
part of that, so that the parts add up to the budget whatever the others do. The budget is kept in work, in
which a query weighs what its class usually takes.
"""

from __future__ import annotations

import math

from cottonhold.scheduler.estimates import UNTOLD_COST_OF_AIM
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import GOLDEN
from cottonhold.scheduler.state import EngineView, Query

COLD_MARGIN = 0.5  # of a cold engine's budget: true speed, cost estimates and shares are all guesses
MOST_PART = 1.5  # times an even part of the fleet's traffic: the most that counts as this gateway's share
LARGE_PART = 0.7  # of the budget that goes to queries larger than what a gateway can save up
ALONE_SLACK = 2  # queries of mean work by which one may be over the budget of all
MEAN_OVER = 200  # queries over which their mean work is taken
MEAN_PRIOR = 10  # queries that the first guess of it stands for
SETTLED = 8  # answers after which a class's mean work is taken, not what the query itself tells
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
    usual = _usual(query)
    if free and usual > _most_alone(gateway, engine):
        return True
    _save_up(gateway, engine, bound, usual)
    turn = _turn(gateway, engine, cold, free)
    if not free:
        return engine.allowance < turn * usual
    # Danger: gateways whose turn was too late for a long query sent a short one, the others the long one, and
    # each of the two spent the whole of all parts. So only a part of the turns is for long ones.
    large = usual > own_part(gateway, engine) * gateway.settings.rules.overload_window_ms
    return engine.allowance < turn * usual / (LARGE_PART if large else 1.0)


def _most_alone(gateway: GatewayState, engine: EngineView) -> float:
    """The most work that one query may have: what the engine may be sent by all, and a little slack."""
    # Danger: one query of many times the mean work tips a small cold engine by itself, whoever's turn it is.
    rules = gateway.settings.rules
    capacity = engine.cores * engine.warmth(gateway.now, rules)
    return rules.overload_factor * capacity * rules.overload_window_ms + ALONE_SLACK * gateway.mean_work


def _usual(query: Query) -> float:
    """The work that is taken off the budget for a query: the mean of its class once that is known."""
    # Danger: by the mean of its first few answers a class looked cheap at some gateways, and what these sent
    # in excess was far more than what the others, to which it looked dear, held back.
    if query.learned.seen >= SETTLED:
        return query.learned.cost
    return query.cost if query.told > 0 else max(query.learned.cost, query.cost)


def count(gateway: GatewayState, query: Query) -> None:
    """A query was taken: it counts for the mean work."""
    if not gateway.arrivals:
        aims = [cls.latency_objective_ms for cls in gateway.settings.classes]
        gateway.mean_work, gateway.arrivals = sum(aims) / len(aims) * UNTOLD_COST_OF_AIM, MEAN_PRIOR
    gateway.arrivals = min(gateway.arrivals + 1, MEAN_OVER)
    gateway.mean_work += (query.cost - gateway.mean_work) / gateway.arrivals


def _save_up(gateway: GatewayState, engine: EngineView, bound: float, usual: float) -> None:
    """Add to the engine's allowance what has come in since it was last looked at, up to one burst."""
    rules = gateway.settings.rules
    passed = gateway.now - engine.allowance_at
    if bound == math.inf:
        fill = own_part(gateway, engine)
        most = fill * rules.overload_window_ms
        fill *= engine.warmth(gateway.now, rules) / rules.cold_capacity_share
    else:  # the fleet's pace follows what a cold engine shows
        fill = bound
        most = max(fill * BOUND_BURST_MS, usual)
    engine.allowance = min(most, engine.allowance + fill * passed)
    engine.allowance_at = gateway.now


def _turn(gateway: GatewayState, engine: EngineView, cold: bool, free: bool) -> float:
    """Part of a usual query that has to be saved up: gateways come up one after the other."""
    turn = gateway.settings.gateway_index
    if free or not cold:
        turn += math.floor(gateway.now / gateway.settings.rules.overload_window_ms)
    return (engine.code / CODES + turn * GOLDEN) % 1


def own_part(gateway: GatewayState, engine: EngineView) -> float:
    """This gateway's part of the work a cold engine may be sent, in ms a ms; half may come as one burst."""
    rules, settings = gateway.settings.rules, gateway.settings
    part = gateway.reach / settings.concurrent_processes  # an upgrade's other process too
    # Danger: what peers told when they had just started, or before a burst, was far below the own traffic
    # now. Every gateway took itself for a busy one, and their shares added up to three and a half.
    part *= min(1.0, MOST_PART / (settings.gateway_count * gateway.share))
    return COLD_MARGIN * rules.overload_factor * rules.cold_capacity_share * engine.cores * part / 2


def begin(gateway: GatewayState, engine: EngineView, until: float) -> None:
    """The engine may have started: hold it to the cold budget."""
    if gateway.now >= engine.cold_until:
        engine.allowance = own_part(gateway, engine) * gateway.settings.rules.overload_window_ms
        engine.allowance_at = gateway.now
    engine.cold_until = max(engine.cold_until, until)


def spend(query: Query, engine: EngineView) -> None:
    """An attempt of the query is sent: take it from the engine's allowance."""
    engine.allowance -= _usual(query)
