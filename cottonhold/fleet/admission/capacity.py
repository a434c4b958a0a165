"""The capacity that the admission threshold is computed for, while engines warm up. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cottonhold.fleet.recovery.shared_slow_start import SharedSlowStart
from cottonhold.fleet.zone_failover.evacuation import Evacuation

MIN_OWNED_CORES = 1e-6  # so that an instance without any still counts as one that owns cores


@dataclass(slots=True, frozen=True)
class AvailableCapacity:
    """free_cores: open to all instances. owned_cores: beside these, what each instance may use of engines
    that warm up. retry_after_ms: when a request that is rejected now should find capacity."""

    free_cores: float
    owned_cores: float = 0.0
    retry_after_ms: float = 0.0


def steady_capacity(engines: Mapping[str, Mapping[str, float]], evacuation: Evacuation) -> AvailableCapacity:
    """The capacity while no engine warms up. engines: cores by zone and engine."""
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
    """The capacity while engines warm up.

    is_just_started: this instance has had no time yet to get reports on engines; they count for what they are
    likely to bear, since with nothing known of them it would reject what all others serve. offered_cores: by
    member.
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
