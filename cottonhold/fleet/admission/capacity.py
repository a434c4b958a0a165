"""Compute the capacity that is available to admitted requests; does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cottonhold.fleet.recovery.shared_slow_start import SharedSlowStart
from cottonhold.fleet.zone_failover.evacuation import Evacuation

# While engines warm up each instance owns at least this, so that "owns cores" can be tested by a comparison
# with 0.
MIN_OWNED_CORES = 1e-6


@dataclass(slots=True, frozen=True)
class AvailableCapacity:
    """The capacity for which the admission threshold is computed.

    Attributes:
        free_cores: Cores shared by all instances.
        owned_cores: Additional cores, of warming engines, that each instance may use.
        retry_after_ms: Time after which a rejected request is likely to find capacity, in ms; 0 if unknown.
    """

    free_cores: float
    owned_cores: float = 0.0
    retry_after_ms: float = 0.0


def steady_capacity(engines: Mapping[str, Mapping[str, float]], evacuation: Evacuation) -> AvailableCapacity:
    """Return the capacity while no engine warms up; `engines` are cores by zone and engine."""
    return AvailableCapacity(
        sum(sum(cores.values()) * evacuation.traffic_share(zone) for zone, cores in engines.items())
    )


def warming_capacity(
    engines: Mapping[str, Mapping[str, float]],
    evacuation: Evacuation,
    slow_start: SharedSlowStart,
    dispatchers: int,
    is_just_started: bool,
    offered_cores: Mapping[int, float],
) -> AvailableCapacity:
    """Return the capacity while engines warm up.

    Args:
        engines: Cores by zone and engine.
        evacuation: States of the zones.
        slow_start: State of the warming engines.
        dispatchers: Number of dispatchers that share the capacity of warming engines.
        is_just_started: Whether this instance has not had the time to receive reports on engines. If so, it
            assumes a likely capacity for them; otherwise it would reject what other instances serve.
        offered_cores: Offered work by member, in cores.
    """
    free, owned, assumed = 0.0, 0.0, slow_start.assumed_share()
    for zone, cores_by_engine in engines.items():
        traffic_share = evacuation.traffic_share(zone)
        for engine, cores in cores_by_engine.items():
            if engine not in slow_start.warming:
                free += cores * traffic_share
                continue
            share = (
                slow_start.share_after_start(engine, assumed) if is_just_started else slow_start.share(engine)
            )
            owned += cores * min(traffic_share, share) / dispatchers
    lacking = sum(offered_cores.values()) - free - owned * len(offered_cores)
    return AvailableCapacity(free, max(owned, MIN_OWNED_CORES), slow_start.retry_after_ms(lacking))
