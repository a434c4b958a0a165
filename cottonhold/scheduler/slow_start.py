"""Slow start: limits the work that is sent to an engine that has just started.

A cold engine fails if all gateways together send it more work than its budget. Each gateway sends no more
than its own part, so the parts add up to the budget without coordination. The budget is a token bucket
counted in work (`EngineView.allowance_ms`): a query costs the work that its class usually needs. For an
engine with a quota of the fleet (fleet/recovery/shared_slow_start.py), the quota replaces the budget.
"""

from __future__ import annotations

import math

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.estimates import DEFAULT_WORK_OF_OBJECTIVE
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import GOLDEN_RATIO
from cottonhold.scheduler.query import Query

COLD_MARGIN = 0.5  # used share of a cold engine's budget; speed, work and traffic shares are only estimated
EARNED_SHARE = 0.5  # share of the budget that is earned over the window; the rest is the initial burst
MAX_PART_FACTOR = 1.5  # largest part of the budget that a gateway may claim, as a multiple of an equal part
LARGE_QUERY_SHARE = 0.7  # share of the turns that is open to queries larger than one burst
SINGLE_QUERY_SLACK = 2  # work by which one query may exceed the whole budget, as a multiple of the mean work
MAX_MEAN_SAMPLES = 200  # number of queries over which the mean work is averaged
MEAN_PRIOR_SAMPLES = 10  # weight of the initial estimate of the mean work, in queries
SETTLED_ANSWERS = 8  # answers from which on the mean work of a class replaces the query's own estimate
QUOTA_BURST_MS = 250.0  # time over which an unused quota accumulates; short, as bursts may coincide
HASH_COUNT = 2**32  # number of possible hashes of an engine id; hash / HASH_COUNT is from 0 to 1


def exceeds_budget(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Return whether a cold engine's budget or an engine's quota forbids sending the query there now.

    Also adds the allowance earned since the last call. A cold engine is sent work only by the gateways that
    it is assigned to. Where the part of a gateway is less than one query, the share of the query that must be
    earned before it is sent differs by gateway and rotates among them. An engine that has recovered from a
    failure is treated as cold too, even before the engine list reports a restart.
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
    _add_earned_allowance(gateway, engine, quota_rate, work_ms)
    required_share = _required_allowance_share(gateway, engine, is_cold, has_quota)
    if has_quota:
        return engine.allowance_ms < required_share * work_ms
    return engine.allowance_ms < required_share * work_ms / _budget_share(gateway, engine, work_ms)


def _budget_share(gateway: GatewayState, engine: EngineView, work_ms: float) -> float:
    """Return the share of the turns that is open to a query of this work.

    Queries larger than one burst get only LARGE_QUERY_SHARE. The rest pays for the small queries that the
    other gateways send in the same window, whose turn is too late for a large query.
    """
    burst_ms = local_budget_rate(gateway, engine) * gateway.settings.rules.overload_window_ms
    return LARGE_QUERY_SHARE if work_ms > burst_ms else 1.0


def _max_single_work_ms(gateway: GatewayState, engine: EngineView) -> float:
    """Return the largest work that one query may have: the budget of all gateways and some slack.

    A single query of many times the mean work overloads a small cold engine, whichever gateway sends it.
    """
    rules = gateway.settings.rules
    capacity = engine.cores * engine.warm_capacity_share(gateway.now, rules)
    slack_ms = SINGLE_QUERY_SLACK * gateway.mean_work_ms
    return rules.overload_factor * capacity * rules.overload_window_ms + slack_ms


def _usual_work_ms(query: Query) -> float:
    """Return the work that a query costs: the mean of its class once enough answers have arrived.

    Before that the query's own estimate is used, as the mean of the first few answers may be far too low.
    """
    history = query.class_history
    if history.answers_seen >= SETTLED_ANSWERS:
        return history.mean_work_ms
    if query.estimated_work_ms > 0:
        return query.planned_work_ms
    return max(history.mean_work_ms, query.planned_work_ms)


def record_arrival(gateway: GatewayState, query: Query) -> None:
    """Update the mean work of accepted queries with one more query."""
    if not gateway.mean_work_samples:
        objectives = [query_class.latency_objective_ms for query_class in gateway.settings.classes]
        gateway.mean_work_ms = sum(objectives) / len(objectives) * DEFAULT_WORK_OF_OBJECTIVE
        gateway.mean_work_samples = MEAN_PRIOR_SAMPLES
    gateway.mean_work_samples = min(gateway.mean_work_samples + 1, MAX_MEAN_SAMPLES)
    gateway.mean_work_ms += (query.planned_work_ms - gateway.mean_work_ms) / gateway.mean_work_samples


def _add_earned_allowance(
    gateway: GatewayState, engine: EngineView, quota_rate: float, work_ms: float
) -> None:
    """Add the allowance that the engine has earned since the last update, up to one burst.

    Without a quota, the rate follows the expected ramp of a cold engine. With a quota no ramp is needed, as
    the fleet sets the quota by the performance of the engine.
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


def _required_allowance_share(
    gateway: GatewayState, engine: EngineView, is_cold: bool, has_quota: bool
) -> float:
    """Return the share of a query's usual work, from 0 to 1, that must be earned before the query is sent.

    The shares are spread evenly over the gateways and rotate with each window. At a cold engine with a quota
    they stay constant: a new order would let many gateways with a full allowance send at the same time.
    """
    slot = gateway.settings.gateway_index
    if not has_quota or not is_cold:
        slot += math.floor(gateway.now / gateway.settings.rules.overload_window_ms)
    return (engine.id_hash / HASH_COUNT + slot * GOLDEN_RATIO) % 1


def local_budget_rate(gateway: GatewayState, engine: EngineView) -> float:
    """Return the rate at which this gateway earns its part of a cold engine's budget, in ms of work per ms.

    The earnings of one window are also the size of the burst. The part is bounded independently of peers'
    reports, as all gateways may overestimate their traffic share at the same time.
    """
    rules, settings = gateway.settings.rules, gateway.settings
    part = gateway.assigned_engine_share / settings.concurrent_processes
    part *= min(1.0, MAX_PART_FACTOR / (settings.gateway_count * gateway.traffic_share))
    return (
        COLD_MARGIN * rules.overload_factor * rules.cold_capacity_share * engine.cores * part * EARNED_SHARE
    )


def start_warming(gateway: GatewayState, engine: EngineView, cold_until: float) -> None:
    """Treat an engine that may have started as cold until `cold_until`, beginning with a full burst."""
    if gateway.now >= engine.cold_until:
        burst_ms = local_budget_rate(gateway, engine) * gateway.settings.rules.overload_window_ms
        engine.allowance_ms = burst_ms
        engine.allowance_updated_at = gateway.now
    engine.cold_until = max(engine.cold_until, cold_until)


def spend(query: Query, engine: EngineView) -> None:
    """Subtract a query that is sent from the engine's allowance."""
    engine.allowance_ms -= _usual_work_ms(query)
