"""Slow start: the budget of work that an engine that has just started may be sent.

All gateways together may send a cold engine no more than it takes without falling over; each keeps to its own
part of that, so that the parts add up to the budget whatever the others do. The budget is counted in work, in
which a query weighs what its class usually takes. An engine with a quota of the fleet
(fleet/recovery/shared_slow_start.py) keeps to that instead.
"""

from __future__ import annotations

import math

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.estimates import DEFAULT_WORK_OF_OBJECTIVE
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import GOLDEN_RATIO
from cottonhold.scheduler.query import Query

COLD_MARGIN = 0.5  # of a cold engine's budget: its true speed, estimates and traffic shares are all guesses
EARNED_SHARE = 0.5  # of the budget is earned over the window, the rest is the burst at its begin
MAX_PART_FACTOR = 1.5  # times an even part of the fleet's traffic: the most that counts as this gateway's
LARGE_QUERY_SHARE = 0.7  # of the budget goes to queries larger than what a gateway can save up
SINGLE_QUERY_SLACK = 2  # queries of mean work by which one query may exceed the budget of all gateways
MAX_MEAN_SAMPLES = 200  # queries over which their mean work is taken
MEAN_PRIOR_SAMPLES = 10  # queries that the first guess of it stands for
SETTLED_ANSWERS = 8  # answers of a class after which its mean work is used, not the query's own estimate
QUOTA_BURST_MS = 250.0  # of a quota's work may come at once: the gateways' quotas add up within a moment
HASH_COUNT = 2**32  # hashes of engine ids: a hash over it is a place between 0 and 1


def exceeds_budget(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Whether the budget of a cold engine, or an engine's quota, keeps the query from being sent there now.

    Also adds what was saved up since the last call. A cold engine is sent work only by the gateways that draw
    on it. Where a gateway's part is less than a query, gateways take turns in how much of the query has to be
    saved up. An engine that was seen to fail is cold as well, before the list reports a restart.
    """
    is_cold = gateway.now < engine.cold_until
    quota_rate = engine.effective_quota_rate(gateway.now)
    if not quota_rate:
        return True
    has_quota = quota_rate != math.inf
    if is_cold and engine.id not in gateway.assigned_engine_ids:
        return True
    if not is_cold and not has_quota:
        return False
    work_ms = _usual_work_ms(query)
    if not has_quota and work_ms > _max_single_work_ms(gateway, engine):
        return True
    _save_up(gateway, engine, quota_rate, work_ms)
    savings_share = _required_savings(gateway, engine, is_cold, has_quota)
    if has_quota:
        return engine.allowance_ms < savings_share * work_ms
    return engine.allowance_ms < savings_share * work_ms / _budget_share(gateway, engine, work_ms)


def _budget_share(gateway: GatewayState, engine: EngineView, work_ms: float) -> float:
    """Share of the turns that is open to a query.

    Only a part is for large ones, so that gateways whose turn is too late for a large query and send a small
    one do not spend what others spend on the large one.
    """
    burst_ms = local_budget_rate(gateway, engine) * gateway.settings.rules.overload_window_ms
    return LARGE_QUERY_SHARE if work_ms > burst_ms else 1.0


def _max_single_work_ms(gateway: GatewayState, engine: EngineView) -> float:
    """The most work that one query may have: the budget of all gateways and a little slack.

    A query of many times the mean work overloads a small cold engine by itself, whichever gateway sends it.
    """
    rules = gateway.settings.rules
    capacity = engine.cores * engine.warm_capacity_share(gateway.now, rules)
    slack_ms = SINGLE_QUERY_SLACK * gateway.mean_work_ms
    return rules.overload_factor * capacity * rules.overload_window_ms + slack_ms


def _usual_work_ms(query: Query) -> float:
    """The work that a query takes off the budget: the mean of its class once that is settled.

    The mean of the first few answers may be far too low.
    """
    history = query.class_history
    if history.answers_seen >= SETTLED_ANSWERS:
        return history.mean_work_ms
    if query.estimated_work_ms > 0:
        return query.planned_work_ms
    return max(history.mean_work_ms, query.planned_work_ms)


def record_arrival(gateway: GatewayState, query: Query) -> None:
    """Count an accepted query for the mean work."""
    if not gateway.mean_work_samples:
        objectives = [query_class.latency_objective_ms for query_class in gateway.settings.classes]
        gateway.mean_work_ms = sum(objectives) / len(objectives) * DEFAULT_WORK_OF_OBJECTIVE
        gateway.mean_work_samples = MEAN_PRIOR_SAMPLES
    gateway.mean_work_samples = min(gateway.mean_work_samples + 1, MAX_MEAN_SAMPLES)
    gateway.mean_work_ms += (query.planned_work_ms - gateway.mean_work_ms) / gateway.mean_work_samples


def _save_up(gateway: GatewayState, engine: EngineView, quota_rate: float, work_ms: float) -> None:
    """Add to the engine's allowance what was earned since it was last updated, up to one burst.

    Without a quota the rate follows the ramp of a cold engine; a quota follows what the engine shows.
    """
    rules = gateway.settings.rules
    elapsed_ms = gateway.now - engine.allowance_updated_at
    if quota_rate == math.inf:
        rate = local_budget_rate(gateway, engine)
        max_allowance_ms = rate * rules.overload_window_ms
        rate *= engine.warm_capacity_share(gateway.now, rules) / rules.cold_capacity_share
    else:
        rate = quota_rate
        max_allowance_ms = max(rate * QUOTA_BURST_MS, work_ms)
    engine.allowance_ms = min(max_allowance_ms, engine.allowance_ms + rate * elapsed_ms)
    engine.allowance_updated_at = gateway.now


def _required_savings(gateway: GatewayState, engine: EngineView, is_cold: bool, has_quota: bool) -> float:
    """The share of a usual query that has to be saved up, from 0 to 1: spread evenly over the gateways, which
    take turns.

    At a cold engine with a quota the order stays: dealt anew, many gateways that have saved up would begin at
    once.
    """
    slot = gateway.settings.gateway_index
    if not has_quota or not is_cold:
        slot += math.floor(gateway.now / gateway.settings.rules.overload_window_ms)
    return (engine.id_hash / HASH_COUNT + slot * GOLDEN_RATIO) % 1


def local_budget_rate(gateway: GatewayState, engine: EngineView) -> float:
    """This gateway's part of the work that a cold engine may be sent, in ms a ms; as much again as one burst.

    The part is bounded whatever peers reported: all gateways may believe in a larger share than they have.
    """
    rules, settings = gateway.settings.rules, gateway.settings
    part = gateway.assigned_engine_share / settings.concurrent_processes
    part *= min(1.0, MAX_PART_FACTOR / (settings.gateway_count * gateway.traffic_share))
    return (
        COLD_MARGIN * rules.overload_factor * rules.cold_capacity_share * engine.cores * part * EARNED_SHARE
    )


def start_warming(gateway: GatewayState, engine: EngineView, cold_until: float) -> None:
    """Keep an engine that may have started to the cold budget, from a full burst on."""
    if gateway.now >= engine.cold_until:
        burst_ms = local_budget_rate(gateway, engine) * gateway.settings.rules.overload_window_ms
        engine.allowance_ms = burst_ms
        engine.allowance_updated_at = gateway.now
    engine.cold_until = max(engine.cold_until, cold_until)


def spend(query: Query, engine: EngineView) -> None:
    """Take a query that is sent off the engine's allowance."""
    engine.allowance_ms -= _usual_work_ms(query)
