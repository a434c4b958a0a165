"""Estimates of a query: cost, memory, aim and worth, the same on every engine, and its worth over cost."""

from __future__ import annotations

import math

from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.settings import MemoryShortage
from cottonhold.scheduler.state import EngineView, Query

UNTOLD_COST_OF_AIM = 0.25  # of the aim: the cost of a query of a class that nothing is known of
LATE_FALL = 0.5  # of the aim: how fast worth falls to its late value behind the aim (finish is a guess)
GRANT_PAGE = 2.0  # grant over need where unused memory stays free to others
GRANT_TIGHT = 1.3  # grant over need where granted memory is taken from others


def appraise(gateway: GatewayState, query: Query) -> None:
    """Set cost and memory (told less the class's bias, else its mean), aim and worth."""
    cls, learned = query.cls, query.learned
    if query.told > 0:
        query.cost = query.told * math.exp(learned.bias)
    else:
        query.cost = learned.cost or cls.latency_objective_ms * UNTOLD_COST_OF_AIM
    query.memory = _memory(gateway, query)
    query.aim = min(
        cls.latency_objective_ms + cls.latency_objective_stretch * query.cost / cls.threads, cls.deadline_ms
    )
    query.aim_at = query.began + query.aim
    query.top = cls.utility * _tenant_scale(gateway, query)


def _memory(gateway: GatewayState, query: Query) -> float:
    """The MB that the query is planned to take."""
    if query.told_memory <= 0:
        return query.learned.memory
    needed = query.told_memory * math.exp(query.learned.memory_bias)
    if gateway.settings.features.has_memory_grants:
        return needed
    # The engine grants what was told and some more, whatever is needed; a paging one counts need too.
    granted = GRANT_TIGHT * query.told_memory
    return min(granted, needed) if gateway.settings.on_memory_shortage is MemoryShortage.PAGE else granted


def _tenant_scale(gateway: GatewayState, query: Query) -> float:
    """Mean worth of this tenant's next query: beyond its share it earns little."""
    if query.tenant >= len(gateway.tenants):
        return 1.0
    per_s = gateway.tenants[query.tenant].per_s(gateway.now)
    quota_per_s = gateway.settings.tenants[query.tenant].quota_per_s * gateway.share
    over = max(0.0, per_s - quota_per_s)
    return 1 - (1 - gateway.settings.over_quota_utility) * over / per_s if over else 1.0


def density(query: Query, run_time: float, finish: float) -> float:
    """Worth over cost, rounded down to a power of two (Algorithm 1, lines 3 to 6): full worth to the aim,
    then falling to what a late answer earns, nothing past the deadline."""
    if finish > query.due or query.top <= 0:
        return 0.0
    over = (finish - query.aim_at) / (LATE_FALL * query.aim)
    late = query.cls.late_utility
    kept = 1.0 if over <= 0 else late + (1 - late) * max(0.0, 1 - over)
    worth_per_ms = query.top * kept / (run_time * query.cls.threads)
    return math.ldexp(0.5, math.frexp(worth_per_ms)[1]) if worth_per_ms > 0 else 0.0


def grant(gateway: GatewayState, query: Query, engine: EngineView) -> int:
    """The MB that the engine is told to grant; 0 where it chooses."""
    if not gateway.settings.features.has_memory_grants:
        return 0
    # Too small a grant spills; too big a one starves others, save where only used memory counts.
    over = GRANT_PAGE if gateway.settings.on_memory_shortage is MemoryShortage.PAGE else GRANT_TIGHT
    most = engine.memory * gateway.settings.max_grant_share or math.inf
    return int(min(most, over * query.memory))
