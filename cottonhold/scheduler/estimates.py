"""Estimates of a query's work, memory and utility, which are the same on every engine, and its density."""

from __future__ import annotations

import math

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import MemoryShortage

DEFAULT_WORK_OF_OBJECTIVE = 0.25  # ratio of work to latency objective assumed for a class without answers
# Time after the latency objective, as a share of it, over which the expected utility falls to that of a late
# result. The fall is not a step, as finishes are only estimates.
LATE_DECAY_OF_OBJECTIVE = 0.5
GRANT_FACTOR_PAGING = 2.0  # ratio of grant to need where unused granted memory stays available to others
GRANT_FACTOR_RESERVING = 1.3  # ratio of grant to need where granted memory is reserved


def estimate(gateway: GatewayState, query: Query) -> None:
    """Set the planned work and memory, the latency objective and the utility of a query.

    The planned work is the client's estimate corrected by the bias of the class, or without an estimate the
    mean of the class.
    """
    query_class, history = query.query_class, query.class_history
    if query.estimated_work_ms > 0:
        query.planned_work_ms = query.estimated_work_ms * math.exp(history.work_log_bias)
    else:
        default_ms = query_class.latency_objective_ms * DEFAULT_WORK_OF_OBJECTIVE
        query.planned_work_ms = history.mean_work_ms or default_ms
    query.planned_memory_mb = _planned_memory_mb(gateway, query)
    stretch_ms = query_class.latency_objective_stretch * query.planned_work_ms / query_class.threads
    query.latency_objective_ms = min(query_class.latency_objective_ms + stretch_ms, query_class.deadline_ms)
    query.latency_objective_at = query.first_tried_at + query.latency_objective_ms
    query.full_utility = query_class.utility * _tenant_factor(gateway, query)


def _planned_memory_mb(gateway: GatewayState, query: Query) -> float:
    """Return the memory that the query is planned to use, in MB.

    Where the gateway does not set grants, the engine grants the client's estimate times
    GRANT_FACTOR_RESERVING, whatever the query needs. If engines page, unused memory stays available, so the
    need is used if it is less.
    """
    if query.estimated_memory_mb <= 0:
        return query.class_history.mean_memory_mb
    needed_mb = query.estimated_memory_mb * math.exp(query.class_history.memory_log_bias)
    if gateway.settings.features.has_memory_grants:
        return needed_mb
    granted_mb = GRANT_FACTOR_RESERVING * query.estimated_memory_mb
    is_paging = gateway.settings.on_memory_shortage is MemoryShortage.PAGE
    return min(granted_mb, needed_mb) if is_paging else granted_mb


def _tenant_factor(gateway: GatewayState, query: Query) -> float:
    """Return the mean factor by which the tenant's quota reduces the utility of its next query."""
    if query.tenant >= len(gateway.tenant_traffic):
        return 1.0
    per_s = gateway.tenant_traffic[query.tenant].per_s(gateway.now)
    quota_per_s = gateway.settings.tenants[query.tenant].quota_per_s * gateway.traffic_share
    excess_per_s = max(0.0, per_s - quota_per_s)
    return 1 - (1 - gateway.settings.over_quota_utility) * excess_per_s / per_s if excess_per_s else 1.0


def density(query: Query, run_ms: float, finish_at: float) -> float:
    """Return the utility per ms of thread time, rounded down to a power of two (Algorithm 1, lines 3 to 6).

    The utility is full up to the latency objective, then falls linearly to that of a late result, and is 0
    after the deadline.

    Args:
        query: Query with its planned utility and latency objective.
        run_ms: Planned run time, in ms.
        finish_at: Estimated finish, in ms on the caller's clock.
    """
    if finish_at > query.deadline_at or query.full_utility <= 0:
        return 0.0
    lateness = (finish_at - query.latency_objective_at) / (
        LATE_DECAY_OF_OBJECTIVE * query.latency_objective_ms
    )
    late_utility = query.query_class.late_utility
    utility_share = 1.0 if lateness <= 0 else late_utility + (1 - late_utility) * max(0.0, 1 - lateness)
    utility_per_ms = query.full_utility * utility_share / (run_ms * query.query_class.threads)
    return math.ldexp(0.5, math.frexp(utility_per_ms)[1]) if utility_per_ms > 0 else 0.0


def memory_grant_mb(gateway: GatewayState, query: Query, engine: EngineView) -> int:
    """Return the memory that the engine has to grant, in MB; 0 if the engine chooses.

    With too small a grant the query spills to disk. Too large a grant takes memory from other queries, unless
    only used memory counts.
    """
    if not gateway.settings.features.has_memory_grants:
        return 0
    is_paging = gateway.settings.on_memory_shortage is MemoryShortage.PAGE
    factor = GRANT_FACTOR_PAGING if is_paging else GRANT_FACTOR_RESERVING
    max_grant_mb = engine.memory_mb * gateway.settings.max_grant_share or math.inf
    return int(min(max_grant_mb, factor * query.planned_memory_mb))
