"""Capacity: that of the live engines, the engines that this gateway draws on, and its own part of all."""

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

MEMORY_SHARE = 0.9  # of an engine's memory is planned for; needs are estimates
CHANCE_DEVIATIONS = 1.5  # standard deviations of an engine's memory in use left free for chance
MAX_CHANCE_SHARE = 0.5  # of the memory, at most, is left free for chance
COVERAGE_FACTOR = 1.25  # a gateway draws on so many times the engines that its traffic could fill, at least
FEW_ENGINES = 250  # up to which the capacity of all is counted each time
RECOUNT_MS_PER_ENGINE = 1.0  # for each live engine, before the capacity of all is counted again
MIN_QUOTA_CAPACITY_SHARE = 0.05  # of its capacity stays to an engine with a quota, however small


def apply_engine_changes(gateway: GatewayState) -> None:
    """The list has changed: rebuild who is live, in which order and under which hash, and count capacity."""
    changed, gateway.changed_engines = gateway.changed_engines, {}
    gateway.live_engines = [e for e in gateway.engines.values() if e.entry.state is EngineState.LIVE]
    gateway.ranked_engines = sorted(gateway.live_engines, key=lambda engine: engine.id)
    gateway.engines_by_hash = {}
    for rank, engine in enumerate(gateway.ranked_engines):
        engine.rank = rank
        gateway.engines_by_hash.setdefault(engine.id_hash, []).append(engine)
    _build_affinity_ring(gateway)
    if len(gateway.live_engines) <= FEW_ENGINES:
        count_all(gateway)
        return
    gateway.usable_engine_count = sum(engine.is_usable() for engine in gateway.live_engines)
    _count_in_use(gateway, changed)
    _sum_fleet(gateway)


def count_all(gateway: GatewayState) -> None:
    """Count the capacity of all live engines, and choose the engines that this gateway draws on."""
    gateway.capacity_counted_at = gateway.now
    gateway.usable_engine_count = sum(engine.is_usable() for engine in gateway.live_engines)
    gateway.preferred_engines.clear()
    _assess_observation(gateway)
    for engine in gateway.live_engines:
        _count_engine(gateway, engine)
    _assign_engines(gateway)
    _sum_fleet(gateway)
    _set_local_capacity(gateway, gateway.live_engines)


def refresh(gateway: GatewayState) -> None:
    """Time has passed: count the capacity of all engines anew, or of those in use only where there are many.

    The cost of a heartbeat must not grow with a fleet of thousands, of which a gateway uses a few.
    """
    count = len(gateway.live_engines)
    needs_recount = gateway.now - gateway.capacity_counted_at >= count * RECOUNT_MS_PER_ENGINE
    if count <= FEW_ENGINES or needs_recount:
        count_all(gateway)
        return
    _count_in_use(gateway, {})


def _count_in_use(gateway: GatewayState, changed: dict[str, EngineView]) -> None:
    """Count the capacity of the engines in use and of those that have changed."""
    gateway.preferred_engines.clear()
    _assess_observation(gateway)
    _assign_engines(gateway)
    in_use = {engine.id: engine for engine in gateway.candidate_pool} | gateway.active_engines | changed
    for engine in in_use.values():
        _count_engine(gateway, engine)
    _set_local_capacity(gateway, in_use.values())


def _sum_fleet(gateway: GatewayState) -> None:
    """Sum the capacity of the whole fleet."""
    gateway.fleet_thread_capacity = sum(e.thread_capacity for e in gateway.live_engines) or 1.0
    gateway.fleet_memory_capacity_mb = sum(e.memory_capacity_mb for e in gateway.live_engines) or math.inf


def _assess_observation(gateway: GatewayState) -> None:
    """Set how rarely this gateway hears of each engine, and whether peers report their loads."""
    local_per_s = max(gateway.local_traffic.per_s(gateway.now), 1e-3)
    observation_interval_ms = 1000 * len(gateway.live_engines) / local_per_s
    silence_ms = gateway.now - gateway.peer_load_received_at
    gateway.has_peer_loads = silence_ms < PEER_TIMEOUT_INTERVALS * gateway.peer_interval_ms
    unobserved = 1 - math.exp(-observation_interval_ms / REPORT_MAX_AGE_MS)
    gateway.unobserved_share = (1 - gateway.traffic_share) * unobserved


def _count_engine(gateway: GatewayState, engine: EngineView) -> None:
    """Count the threads and memory of one engine.

    Engines fill unevenly by chance. So the more memory is left free, the rarer this gateway hears of each.
    """
    threads = engine.cores * THREADS_PER_CORE
    engine.thread_capacity = threads * engine.warm_capacity_share(gateway.now, gateway.settings.rules)
    if engine.quota_rate:
        quota_share = engine.quota_rate / (engine.cores * gateway.traffic_share)
        engine.thread_capacity *= min(1.0, max(quota_share, MIN_QUOTA_CAPACITY_SHARE))
    chance_share = min(CHANCE_DEVIATIONS * math.sqrt(gateway.unobserved_share / threads), MAX_CHANCE_SHARE)
    engine.memory_capacity_mb = engine.memory_mb * MEMORY_SHARE * (1 - chance_share) or math.inf


def _assign_engines(gateway: GatewayState) -> None:
    """Choose the engines that this gateway's queries are drawn to.

    Each gateway draws on a range of the ranked engines that it gets to know, and the ranges cover the fleet
    evenly. A range has CANDIDATES engines at least and grows with the root of the traffic share, as each
    engine costs connections, but covers that share. Engines that are not usable keep their place in the
    range, so that peers still report their loads to the right gateways, and are replaced by more.
    """
    ranked = gateway.ranked_engines
    settings = gateway.settings
    first = round(settings.gateway_index * len(ranked) / settings.gateway_count)
    fillable = len(ranked) * gateway.traffic_share  # engines that the local traffic could fill
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
    """Build the ring of preferred engines: by rank, each as often as it has the cores of the smallest."""
    ranked = gateway.ranked_engines
    min_cores = min((engine.cores for engine in gateway.live_engines), default=1.0)
    gateway.affinity_ring = []
    if len(ranked) > 1:
        gateway.affinity_ring = [engine for engine in ranked for _ in range(round(engine.cores / min_cores))]


def _set_local_capacity(gateway: GatewayState, engines: Iterable[EngineView]) -> None:
    """Set this gateway's part of the fleet's capacity and of these engines'.

    Local queued work is drained by the local share of its engine, by all of the engine where peers report
    theirs, and by the local share of the whole fleet as far as engines are not observed.
    """
    gateway.local_thread_capacity = gateway.fleet_thread_capacity * gateway.traffic_share
    local_memory_mb = gateway.fleet_memory_capacity_mb * gateway.traffic_share
    part = 1.0 if gateway.has_peer_loads else gateway.traffic_share
    gateway.peer_sends_per_local = (1 / gateway.assigned_engine_share - 1) * gateway.has_peer_loads
    unobserved = gateway.unobserved_share
    for engine in engines:
        threads, memory_mb = engine.thread_capacity, engine.memory_capacity_mb
        engine.local_thread_capacity = max(
            threads * part, unobserved * min(threads, gateway.local_thread_capacity)
        )
        engine.local_memory_capacity_mb = max(memory_mb * part, unobserved * min(memory_mb, local_memory_mb))
