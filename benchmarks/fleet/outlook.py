"""Compares the cost estimator's projections with what then happens in a model, in virtual time.

Writes docs/measurements/outlook-core.md:

python benchmarks/fleet/outlook.py [--seeds 20]

With `--service MODE` the scenarios run with the fleet's coordinator deciding, as in service, and rows for
docs/measurements/outlook.md are printed.
"""

from __future__ import annotations

import argparse
import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from cottonhold.emulator.outage_setup import OutageSetup
from cottonhold.emulator.outages import OutageWorld
from cottonhold.emulator.outages_in_service import ServiceWorld
from cottonhold.fleet.failover_cost.cost_settings import CostSettings
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.projection import Projection

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "outlook-core.md"
ZONES = ("a", "b", "c")
DISTANCES_MS = {("a", "b"): 15.0, ("b", "c"): 25.0, ("a", "c"): 60.0}
ROUND_TRIPS_MS = {
    (zone, other): 1.0 if zone == other else DISTANCES_MS[min(zone, other), max(zone, other)]
    for zone in ZONES
    for other in ZONES
}
FAULT_AT, END = 8000.0, 16_000.0
PROJECTED_AT = FAULT_AT - 500.0
NOTICED_AT = FAULT_AT + 500.0
WINDOW_END = NOTICED_AT + 5000.0
CALM_BEGIN = 3000.0
SETTLING_MS = 1500.0  # by then requests that failed because of the fault have been retried
MIN_MOVED_CORES = 0.02
CACHED_DATA_SETS = 10
EVEN_RATES, UNEVEN_RATES = (140.0, 140.0, 140.0), (80.0, 100.0, 240.0)
INTRODUCTION = """# The outlook in virtual time: measured

By `python benchmarks/fleet/outlook.py` ({seeds} seeds; {few} where the input is wrong), on the model of
`emulator/outages.py`: three zones of four engines, 15, 25 and 60 ms apart, two instances each, 140
requests a second and zone of 20 ms (0.7 of all engines), 40% of them worth 6 and the rest 1; each engine
keeps 10 of 18 data sets, and a request on another takes three times as long. Told: half a second before
the fault. Came: what the model counted, worth of what came from 2 to 7 s after the fault, the rest from
0.5 s, when the fault is known, to 5.5 s. Off: the median over seeds of the difference, of worth as it is,
of the others as a part of what came.
"""
COMPARISON = """\
Worth served of what came from the fault to 6 s after it, median and worst seed, with the outlook deciding
(which zones serve, how much of an ill zone is kept, what cores the price counts on) and by
today's rule (the least loaded engine of all zones, the fixed reserve). Round trips are those of the outlook
and of today's rule."""

Figures = dict[str, float]


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fault and the load during it.

    Attributes:
        rates: Requests per second, by zone.
        faulty_zone_speed: Speed of the faulty zone's engines as a part of the usual one; 0 if engines are
            lost.
        remaining: The part of each affected zone's capacity that remains.
    """

    rates: tuple[float, ...]
    faulty_zone_speed: float
    remaining: Mapping[str, float]


SCENARIOS = {
    "lost zone": Scenario(EVEN_RATES, 0.0, {"a": 0.0}),
    "ill zone": Scenario(EVEN_RATES, 0.3, {"b": 0.3}),
    "a zone and a half": Scenario(EVEN_RATES, 0.0, {"a": 0.0, "b": 0.5}),
    "uneven load": Scenario(UNEVEN_RATES, 0.0, {"b": 0.0}),
    "two zones": Scenario(EVEN_RATES, 0.0, {"a": 0.0, "b": 0.0}),
}
SETTINGS = CostEstimatorSettings(
    snapshot_interval_ms=3000.0, cost=CostSettings(cached_data_sets=CACHED_DATA_SETS)
)
# Settings of the estimator for each mode of `--service`:
# today   No estimator.
# kept    The estimator decides which share of its load a faulty zone retains.
# guests  It also limits cross-zone work while capacity is missing.
# calm    It limits cross-zone work at all times.
SERVICE_MODES: dict[str, dict[str, Any]] = {
    "today": {},
    "kept": {"cross_zone": None},
    "guests": {},
    "calm": {"limits_when_calm": True},
}


def run_model(
    name: str,
    seed: int,
    decides: str,
    loss: float = 0.0,
    claim_factor: float = 1.0,
    cached_data_sets: int = CACHED_DATA_SETS,
) -> Figures:
    """Run a scenario; return what was projected shortly before the fault and what then happened."""
    scenario = SCENARIOS[name]
    settings = replace(SETTINGS, cost=CostSettings(cached_data_sets=cached_data_sets))
    setup = OutageSetup(
        dict(zip(ZONES, scenario.rates, strict=True)),
        ROUND_TRIPS_MS,
        decides=decides,
        loss=loss,
        cached_data_sets=cached_data_sets,
        settings=settings,
    )
    world = OutageWorld(seed, setup)
    world.claim_factors[5] = claim_factor
    world.run(PROJECTED_AT)
    figures: Figures = {}
    speed = scenario.faulty_zone_speed
    if decides == "outlook":
        estimator = world.instances[seed % 5].estimator
        retained = estimator.retained_share(PROJECTED_AT, "b", speed) if speed else None
        remaining = scenario.remaining if retained is None else {"b": retained}
        projection = estimator.projection_with(remaining)
        assert projection is not None
        figures = projected_figures(projection) | {"warm": projection.warm_ms}
    world.run(FAULT_AT)
    inject_fault(world, scenario)
    world.run(NOTICED_AT)
    if speed:
        world.evacuate(NOTICED_AT, "b", speed)
    else:
        world.announce_remaining(scenario.remaining)
    world.run(END)
    return figures | counted_figures(world)


def run_in_service(name: str, seed: int, service_mode: str) -> Figures:
    """Run a scenario with the coordinator deciding; return what was projected shortly before the fault and
    what then happened."""
    scenario = SCENARIOS[name]
    setup = OutageSetup(
        dict(zip(ZONES, scenario.rates, strict=True)),
        ROUND_TRIPS_MS,
        decides="today" if service_mode == "today" else "outlook",
        cached_data_sets=CACHED_DATA_SETS,
        settings=replace(SETTINGS, snapshot_interval_ms=1000.0, **SERVICE_MODES[service_mode]),
    )
    world = ServiceWorld(seed, setup)
    world.run(PROJECTED_AT)
    zones_without_capacity = [zone for zone, share in scenario.remaining.items() if share <= 0]
    estimator = world.instances[seed % 5].estimator
    projection = (
        estimator.projection(*zones_without_capacity)
        if zones_without_capacity and service_mode != "today"
        else None
    )
    world.run(FAULT_AT)
    inject_fault(world, scenario)
    world.run(END)
    figures = {"served in calm": world.log.served_share(CALM_BEGIN, PROJECTED_AT)}
    if projection is not None:
        figures |= projected_figures(projection)
    return figures | counted_figures(world)


def inject_fault(world: OutageWorld, scenario: Scenario) -> None:
    """Begin a scenario's fault without announcing it to the instances."""
    for zone, share in scenario.remaining.items():
        if scenario.faulty_zone_speed:
            world.slow_zone(zone, scenario.faulty_zone_speed)
        else:
            count = None if share == 0.0 else round((1 - share) * world.setup.engines)
            world.lose_engines(zone, count)


def projected_figures(projection: Projection) -> Figures:
    """Return the projected figures."""
    return {
        "worth": projection.served_share(),
        "added": projection.added_round_trip_ms,
        "extra": projection.extra_cold_cores,
    }


def counted_figures(world: OutageWorld) -> Figures:
    """Return the figures that the model counted."""
    log = world.log
    calm_flows, flows = log.flows(CALM_BEGIN, FAULT_AT), log.flows(NOTICED_AT, WINDOW_END)
    moved_cores = added_ms = 0.0
    for (home, zone), (cores, round_trip_ms) in flows.items():
        added_cores = cores - calm_flows.get((home, zone), (0.0, 0.0))[0]
        if added_cores > MIN_MOVED_CORES:
            calm = [calm_flows[pair] for pair in calm_flows if pair[0] == home]
            calm_mean_ms = sum(c * t for c, t in calm) / sum(c for c, _ in calm)
            moved_cores += added_cores
            added_ms += added_cores * (round_trip_ms - calm_mean_ms)
    return {
        "served": log.served_share(NOTICED_AT + SETTLING_MS, WINDOW_END + SETTLING_MS),
        "all": log.served_share(FAULT_AT, END - 2000),
        "came added": added_ms / max(moved_cores, 1e-9),
        "came extra": log.cold_cores(NOTICED_AT, WINDOW_END) - log.cold_cores(CALM_BEGIN, FAULT_AT),
        "calm trip": log.mean_round_trip_ms(CALM_BEGIN, FAULT_AT),
        "trip": log.mean_round_trip_ms(NOTICED_AT, WINDOW_END),
    }


def print_service_rows(service_mode: str, seeds: Iterable[int]) -> None:
    """Run all scenarios with the coordinator deciding and print a row for each."""
    for name in SCENARIOS:
        runs = [run_in_service(name, seed, service_mode) for seed in seeds]
        medians = {key: statistics.median(run[key] for run in runs) for key in runs[0]}
        cells = " | ".join(f"{key} {value:.3f}" for key, value in medians.items())
        worst = min(run["all"] for run in runs)
        print(f"| {name} | {service_mode} | {cells} | worst {worst:.3f} |", flush=True)


def relative_error(projected: float, counted: float) -> float:
    """Return the error of a projected value as a part of the counted one."""
    return abs(projected - counted) / max(abs(counted), 1e-9)


def projection_table(title: str, runs: Mapping[str, list[Figures]]) -> list[str]:
    """Return a table of projected and counted values by scenario."""
    rows = [
        f"| {title} | worth told / came | off | added ms told / came | off | extra cores told / came | off |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, figures in runs.items():
        median = {key: statistics.median(run[key] for run in figures) for key in figures[0]}
        utility_error = statistics.median(abs(run["worth"] - run["served"]) for run in figures)
        added_error = statistics.median(relative_error(run["added"], run["came added"]) for run in figures)
        extra_error = statistics.median(relative_error(run["extra"], run["came extra"]) for run in figures)
        rows.append(
            f"| {name} | {median['worth']:.3f} / {median['served']:.3f} | {utility_error:.3f} "
            f"| {median['added']:.1f} / {median['came added']:.1f} | {added_error:.2f} "
            f"| {median['extra']:.2f} / {median['came extra']:.2f} | {extra_error:.2f} |"
        )
    return [*rows, ""]


def comparison_table(
    with_estimator: dict[str, list[Figures]], without: dict[str, list[Figures]]
) -> list[str]:
    """Return a table of utility served from the fault on and of round trips, with and without the
    estimator."""
    rows = [
        "| day | outlook | today | outlook better in | round trip in calm, ms | while out, ms |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name in SCENARIOS:
        both = with_estimator[name], without[name]
        better = sum(with_it["all"] > without_it["all"] for with_it, without_it in zip(*both, strict=True))
        shares = [
            f"{statistics.median(run['all'] for run in runs):.3f} / {min(run['all'] for run in runs):.3f}"
            for runs in both
        ]
        round_trips = [
            " / ".join(f"{statistics.median(run[key] for run in runs):.1f}" for runs in both)
            for key in ("calm trip", "trip")
        ]
        cells = [name, *shares, f"{better} of {len(both[0])}", *round_trips]
        rows.append(f"| {' | '.join(cells)} |")
    return [*rows, ""]


def build_page(seeds: range) -> str:
    """Run all scenarios in the model and return the page's text."""
    wrong_input_seeds = list(seeds)[: math.ceil(len(seeds) / 4)]
    runs = {
        decides: {name: [run_model(name, seed, decides) for seed in seeds] for name in SCENARIOS}
        for decides in ("outlook", "today")
    }

    def run_wrong_input(**options: Any) -> list[Figures]:
        return [run_model("lost zone", seed, "outlook", **options) for seed in wrong_input_seeds]

    wrong_input = {
        "half of the words lost": run_wrong_input(loss=0.5),
        "one claims ten times its demand, all warm, no distance": run_wrong_input(claim_factor=10.0),
        "engines keep all data sets": run_wrong_input(cached_data_sets=0),
    }
    lines = [
        INTRODUCTION.format(seeds=len(seeds), few=len(wrong_input_seeds)),
        *projection_table("day", runs["outlook"]),
        "On the day of the lost zone, with wrong input or other engines:",
        "",
        *projection_table("case", wrong_input),
        COMPARISON,
        "",
        *comparison_table(runs["outlook"], runs["today"]),
    ]
    return "\n".join(lines)


def main() -> None:
    """Write the page, or print the rows of one mode of `--service`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--service", choices=SERVICE_MODES)
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    if arguments.service:
        print_service_rows(arguments.service, seeds)
    else:
        OUTPUT.write_text(build_page(seeds))


if __name__ == "__main__":
    main()
