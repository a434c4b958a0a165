"""What the cost of failovers is computed with. Pure."""

from __future__ import annotations

from dataclasses import dataclass

MIN_AMOUNT = 1e-9  # keeps a share of nothing from dividing by nothing


@dataclass(slots=True, frozen=True)
class CostSettings:
    """usable_capacity_share: part of the cores that is filled; from uncongested_share on it costs
    congestion_cost, as a part of the mean utility: queues form and work spills over. reserved_home_share: of
    a zone's cores, which other homes' clients may not take. cost_per_round_trip_ms: part of a request's
    utility that a ms of round trip counts as. cold_factor: how many times longer a request takes on data that
    is not warm; cached_data_sets: that an engine keeps warm, 0 for all. window_ms: of the outage for which
    cold work is counted. initial_share, doubling_ms: how a zone's return begins, as a part of its load, and
    after how long that may double. negligible_share: part of the demand that has to be rejected before a
    threshold is said to stand. max_rounds: of allocating anew by the cold work that an allocation makes.
    tolerance: part of the utility that an allocation may be off, for its time."""

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
