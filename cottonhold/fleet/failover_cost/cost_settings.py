"""The settings of the cost model of failovers; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

MIN_AMOUNT = 1e-9  # least divisor, so that a share of an empty total doesn't divide by zero


@dataclass(slots=True, frozen=True)
class CostSettings:
    """Settings of the cost model.

    Attributes:
        usable_capacity_share: Part of the cores that may be used.
        uncongested_share: Part of the cores above which each further core in use has the congestion cost,
            because queues form and work moves to other zones.
        congestion_cost: Cost of a congested core, as a part of the mean utility of a core.
        reserved_home_share: Part of a zone's cores that other homes' clients may not use.
        cost_per_round_trip_ms: Part of a request's utility that is lost for each ms of round trip.
        cold_factor: How many times longer a request takes on cold data.
        cached_data_sets: Data sets that an engine keeps warm; 0 for all.
        window_ms: Time from the start of an outage over which cold work is averaged.
        initial_share: Part of its load with which a zone's return begins.
        doubling_ms: Time in which that part may double.
        negligible_share: Part of the demand that may be rejected without an admission threshold being
            projected.
        max_rounds: Maximum number of times that an allocation is repeated with the cold work that the
            previous one causes.
        tolerance: Relative error of the utility that is accepted to save processor time.
    """

    usable_capacity_share: float = 0.97
    uncongested_share: float = 0.85
    congestion_cost: float = 0.01
    reserved_home_share: float = 0.4
    cost_per_round_trip_ms: float = 0.0005
    cold_factor: float = 3.0
    cached_data_sets: int = 0
    window_ms: float = 5000.0
    initial_share: float = 0.03
    doubling_ms: float = 250.0
    negligible_share: float = 0.01
    max_rounds: int = 3
    tolerance: float = 0.003
