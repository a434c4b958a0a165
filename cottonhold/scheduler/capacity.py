"""Capacity: computes the capacity of the fleet, and assigns engines and a part of it to this gateway."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import EngineState
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import (
    CANDIDATES,
    PEER_TIMEOUT_INTERVALS,
    REPORT_MAX_AGE_MS,
    THREADS_PER_CORE,
)

MEMORY_SHARE = 0.9  # share of an engine's memory that is planned for; the rest covers estimation errors
RESERVE_DEVIATIONS = 1.5  # standard deviations of an engine's memory in use that are kept free
MAX_RESERVE_SHARE = 0.5  # largest share of the memory that is kept free for random imbalance
COVERAGE_FACTOR = 1.25  # smallest ratio of a gateway's engines to the engines that its traffic could fill
SMALL_FLEET_SIZE = 250  # largest fleet whose whole capacity is recomputed at every change and heartbeat
RECOMPUTE_MS_PER_ENGINE = 1.0  # time between computations of a larger fleet's capacity, per live engine
MIN_QUOTA_CAPACITY_SHARE = 0.05  # smallest share of its capacity planned for an engine with a quota


def apply_engine_changes(gateway: GatewayState) -> None:
    """Rebuild the lists of live and ranked engines and recompute capacity after the engine list changed."""
    changed, gateway.changed_engines = gateway.changed_engines, {}
    gateway.live_engines = [
        engine for engine in gateway.engines.values() if engine.entry.state is EngineState.LIVE
    ]
    gateway.ranked_engines = sorted(gateway.live_engines, key=lambda engine: engine.id)
    gateway.engines_by_hash = {}
    for rank, engine in enumerate(gateway.ranked_engines):
        engine.rank = rank
        gateway.engines_by_hash.setdefault(engine.id_hash, []).append(engine)
    _build_affinity_ring(gateway)
    if len(gateway.live_engines) <= SMALL_FLEET_SIZE:
        recompute_all(gateway)
        return
    gateway.usable_engine_count = sum(engine.is_usable() for engine in gateway.live_engines)
    _recompute_in_use(gateway, changed)
    _sum_fleet(gateway)


def recompute_all(gateway: GatewayState) -> None:
    """Compute the capacity of all live engines and assign engines to this gateway."""
    gateway.capacity_computed_at = gateway.now
    gateway.usable_engine_count = sum(engine.is_usable() for engine in gateway.live_engines)
    gateway.preferred_engines.clear()
    _assess_observation(gateway)
    for engine in gateway.live_engines:
        _compute_engine_capacity(gateway, engine)
    _assign_engines(gateway)
    _sum_fleet(gateway)
    _set_local_capacity(gateway, gateway.live_engines)


def refresh(gateway: GatewayState) -> None:
    """Recompute the capacity of all engines; in a large fleet usually only that of the engines in use.

    The cost of a heartbeat must not grow with a fleet of thousands of engines, of which a gateway uses a few.
    The time between two computations of a large fleet's whole capacity is RECOMPUTE_MS_PER_ENGINE for each
    live engine.
    """
    count = len(gateway.live_engines)
    needs_full_recompute = gateway.now - gateway.capacity_computed_at >= count * RECOMPUTE_MS_PER_ENGINE
    if count <= SMALL_FLEET_SIZE or needs_full_recompute:
        recompute_all(gateway)
        return
    _recompute_in_use(gateway, {})


def _recompute_in_use(gateway: GatewayState, changed: dict[str, EngineView]) -> None:
    """Compute the capacity of the engines in use and of those whose list entry has changed."""
    gateway.preferred_engines.clear()
    _assess_observation(gateway)
    _assign_engines(gateway)
    in_use = {engine.id: engine for engine in gateway.candidate_pool} | gateway.active_engines | changed
    for engine in in_use.values():
        _compute_engine_capacity(gateway, engine)
    _set_local_capacity(gateway, in_use.values())


def _sum_fleet(gateway: GatewayState) -> None:
    """Sum the capacity of the whole fleet."""
    gateway.fleet_thread_capacity = sum(engine.thread_capacity for engine in gateway.live_engines) or 1.0
    gateway.fleet_memory_capacity_mb = (
        sum(engine.memory_capacity_mb for engine in gateway.live_engines) or math.inf
    )


def _assess_observation(gateway: GatewayState) -> None:
    """Update the share of the engines' state that is not observed, and whether peers report their work."""
    local_per_s = max(gateway.local_traffic.per_s(gateway.now), 1e-3)
    observation_interval_ms = 1000 * len(gateway.live_engines) / local_per_s
    silence_ms = gateway.now - gateway.work_report_received_at
    gateway.has_work_reports = silence_ms < PEER_TIMEOUT_INTERVALS * gateway.peer_interval_ms
    unobserved = 1 - math.exp(-observation_interval_ms / REPORT_MAX_AGE_MS)
    gateway.unobserved_share = (1 - gateway.traffic_share) * unobserved


def _compute_engine_capacity(gateway: GatewayState, engine: EngineView) -> None:
    """Compute the capacity of one engine in threads and memory.

    Random placement fills engines unevenly. The less this gateway observes of each engine, the less of the
    imbalance it can correct, so the more memory is kept free.
    """
    threads = engine.cores * THREADS_PER_CORE
    engine.thread_capacity = threads * engine.warm_capacity_share(gateway.now, gateway.settings.rules)
    if engine.quota_rate:
        quota_share = engine.quota_rate / (engine.cores * gateway.traffic_share)
        engine.thread_capacity *= min(1.0, max(quota_share, MIN_QUOTA_CAPACITY_SHARE))
    reserve_share = min(RESERVE_DEVIATIONS * math.sqrt(gateway.unobserved_share / threads), MAX_RESERVE_SHARE)
    engine.memory_capacity_mb = engine.memory_mb * MEMORY_SHARE * (1 - reserve_share) or math.inf


def _assign_engines(gateway: GatewayState) -> None:
    """Assign a range of the ranked engines to this gateway.

    The ranges of the gateways cover the fleet evenly. A range has at least CANDIDATES engines. As each engine
    costs connections, it grows with the square root of the traffic share only, but it always has
    COVERAGE_FACTOR times the engines that the traffic share could fill. Engines that are not usable stay in
    the range, so that peers still report their work to the right gateways, and the range is extended by as
    many usable ones.
    """
    ranked = gateway.ranked_engines
    settings = gateway.settings
    first = round(settings.gateway_index * len(ranked) / settings.gateway_count)
    fillable = len(ranked) * gateway.traffic_share  # number of engines that the local traffic could fill
    count = math.ceil(max(CANDIDATES * math.sqrt(max(1.0, fillable)), COVERAGE_FACTOR * fillable))
    rotated = ranked[first:] + ranked[:first]
    usable = (engine for engine in rotated if engine.is_usable())
    gateway.candidate_pool = list(itertools.islice(usable, count))
    gateway.assigned_engine_ids = set()
    if gateway.candidate_pool:
        last = gateway.candidate_pool[-1].rank
        gateway.assigned_engine_ids = {engine.id for engine in rotated[: (last - first) % len(ranked) + 1]}
    engines_per_assigned = gateway.usable_engine_count / max(len(gateway.candidate_pool), 1)
    gateway.assigned_engine_share = min(1.0, engines_per_assigned * gateway.traffic_share) or 1.0


def _build_affinity_ring(gateway: GatewayState) -> None:
    """Build the ring of preferred engines, by rank.

    Engines appear in proportion to their cores: the engine with the fewest cores appears once.
    """
    ranked = gateway.ranked_engines
    min_cores = min((engine.cores for engine in gateway.live_engines), default=1.0)
    gateway.affinity_ring = []
    if len(ranked) > 1:
        gateway.affinity_ring = [engine for engine in ranked for _ in range(round(engine.cores / min_cores))]


def _set_local_capacity(gateway: GatewayState, engines: Iterable[EngineView]) -> None:
    """Set this gateway's part of the capacity of the fleet and of the given engines.

    The part of an engine is its capacity times the traffic share. Where peers report their work, it is the
    whole capacity, since the reported work is included in the engine's use. It is at least the unobserved
    share of the engine's capacity, or of this gateway's part of the fleet if that is smaller.
    """
    gateway.local_thread_capacity = gateway.fleet_thread_capacity * gateway.traffic_share
    local_memory_mb = gateway.fleet_memory_capacity_mb * gateway.traffic_share
    part = 1.0 if gateway.has_work_reports else gateway.traffic_share
    gateway.peer_sends_per_local = (1 / gateway.assigned_engine_share - 1) * gateway.has_work_reports
    unobserved = gateway.unobserved_share
    for engine in engines:
        threads, memory_mb = engine.thread_capacity, engine.memory_capacity_mb
        engine.local_thread_capacity = max(
            threads * part, unobserved * min(threads, gateway.local_thread_capacity)
        )
        engine.local_memory_capacity_mb = max(memory_mb * part, unobserved * min(memory_mb, local_memory_mb))
