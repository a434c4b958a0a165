"""Measures the fleet coordinator in virtual time and writes docs/measurements/fleet-core.md:

    python benchmarks/fleet/run.py [--seeds 1000] [--jobs 6] [--many]

Measures evacuation and return with 5 and 50 instances, with --many also with 500 (four minutes per run), the
bytes and CPU time of each instance, and false evacuations with 30% of messages lost.
"""

from __future__ import annotations

import argparse
import math
from multiprocessing import Pool
from multiprocessing.pool import Pool as PoolType
from pathlib import Path

import numpy as np

from cottonhold.emulator.fleet import FleetWorld
from cottonhold.fleet.zone_failover.zone_state import ZonePhase

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "fleet-core.md"
FAULT_BEGIN, FAULT_END, END = 4000.0, 10_000.0, 20_000.0
# Time from the fault until its effect is measured, and from a killed engine's return until it is warm.
SETTLED_MS = 3000.0
WEIGHTS = (1, 1, 1, 2, 3, 4)
REQUESTS_PER_INSTANCE = 45.0  # per second
# Capacity of an engine in requests per second, and the usual load as a share of the capacity of all engines.
ENGINE_CAPACITY, LOAD = 50, 0.6
LOSSES = (0.0, 0.3)
FAULTY_ZONE = "a"
MANY_INSTANCES = 500
FAULTS_AT_MANY_INSTANCES = ("killed", "ten times slower")
SIZES = [(5, 20), (50, 3)]  # numbers of instances and of runs
FAULTS: dict[str, dict[str, float]] = {
    "killed": {"is_dead": True},
    "silent": {"silent_until": FAULT_END},
    "ten times slower": {"slow_factor": 10.0},
    "three in ten fail": {"failing_share": 0.3},
}
FLEET_REASONS = frozenset({"the fleet leaves", "others are sure"})
INTRODUCTION = """# The fleet's core in virtual time: measured

By `python benchmarks/fleet/run.py --seeds {seeds}{many}` (the model of
`emulator/fleet.py`; faults from 4 s to 10 s; engines cold for 3 s after a kill). Times in ms from
the fault or its end, each the median and the worst of all: 20 at 5 instances, 3 at 50, 1 at 500.
"""

FaultJob = tuple[int, int, str, float]  # seed, instances, fault, share of messages lost
Figures = dict[str, float]


def make_world(seed: int, instances: int, rate: float, loss: float) -> FleetWorld:
    """Return a model with engines in three zones; at the usual rate the load is 0.6 of their capacity."""
    engines = math.ceil(instances * REQUESTS_PER_INSTANCE / LOAD / ENGINE_CAPACITY / 3)
    return FleetWorld(
        seed, instances, rate, engines=engines, skew=lambda number: WEIGHTS[number % len(WEIGHTS)], loss=loss
    )


def run_calm(job: tuple[int, float]) -> tuple[int, int]:
    """Run a model without a fault, with 30% of messages lost.

    Args:
        job: The seed, and the load as a multiple of the usual one.

    Returns:
        The number of evacuations by instances, and 1 if the fleet evacuated a zone, else 0.
    """
    seed, load = job
    world = make_world(seed, 6, 6 * REQUESTS_PER_INSTANCE * load, 0.3)
    world.run(END)
    evacuations = [
        change
        for node in world.nodes.values()
        for _, change in node.phase_changes
        if change.phase is ZonePhase.EVACUATED
    ]
    return len(evacuations), int(any(change.reason in FLEET_REASONS for change in evacuations))


def inject_fault(world: FleetWorld, fault: str) -> None:
    """Begin a fault of all engines in the faulty zone."""
    for engine in world.engines.values():
        if engine.zone == FAULTY_ZONE:
            for name, value in FAULTS[fault].items():
                setattr(engine, name, value)


def clear_fault(world: FleetWorld, fault: str) -> None:
    """End a fault; engines that were killed return cold."""
    for engine in world.engines.values():
        if engine.zone == FAULTY_ZONE:
            engine.is_dead, engine.slow_factor, engine.failing_share = False, 1.0, 0.0
            if fault == "killed":
                engine.busy_until, engine.cold_until = FAULT_END, FAULT_END + SETTLED_MS


def resource_usage(world: FleetWorld) -> tuple[int, float]:
    """Return the bytes sent and the seconds of CPU time used so far."""
    return world.network.sent_bytes, sum(node.cpu_seconds for node in world.nodes.values())


def run_with_fault(job: FaultJob) -> Figures:
    """Run a model with a fault from 4 s to 10 s and return its figures."""
    seed, instances, fault, loss = job
    world = make_world(seed, instances, instances * REQUESTS_PER_INSTANCE, loss)
    world.run(FAULT_BEGIN)
    calm_bytes, calm_cpu = resource_usage(world)
    inject_fault(world, fault)
    world.run(FAULT_END)
    total_bytes, total_cpu = resource_usage(world)
    clear_fault(world, fault)
    world.run(END)
    evacuated_after = [_evacuated_after(changes) for changes in _phase_changes(world)]
    fair_share = world.share(FAULTY_ZONE, 1000.0, FAULT_BEGIN)
    begins = range(int(FAULT_END), int(END) - 1000, 250)
    shares_after = [world.share(FAULTY_ZONE, begin, begin + 1000) for begin in begins]
    recovered = [i * 250 for i, share in enumerate(shares_after) if share >= 0.8 * fair_share]
    calm_seconds, fault_seconds = FAULT_BEGIN / 1000, (FAULT_END - FAULT_BEGIN) / 1000
    return {
        "first": min(evacuated_after),
        "all": max(evacuated_after),
        "share out": world.share(FAULTY_ZONE, FAULT_BEGIN + SETTLED_MS, FAULT_END),
        "first second back": shares_after[0],
        "most": max(shares_after) / fair_share,
        "full": recovered[0] if recovered else np.inf,
        "wrong": sum(
            zone != FAULTY_ZONE and phase is ZonePhase.EVACUATED
            for changes in _phase_changes(world)
            for _, zone, phase in changes
        ),
        "calm bytes": calm_bytes / instances / calm_seconds,
        "bytes": (total_bytes - calm_bytes) / instances / fault_seconds,
        "calm cpu": 1000 * calm_cpu / instances / calm_seconds,
        "cpu": 1000 * (total_cpu - calm_cpu) / instances / fault_seconds,
    }


def _phase_changes(world: FleetWorld) -> list[list[tuple[float, str, ZonePhase]]]:
    """Return the time, zone and phase of each phase change, by instance."""
    return [
        [(at, change.zone, change.phase) for at, change in node.phase_changes]
        for node in world.nodes.values()
    ]


def _evacuated_after(changes: list[tuple[float, str, ZonePhase]]) -> float:
    """Return the ms from the fault until an instance first evacuates the faulty zone."""
    times = [at for at, zone, phase in changes if zone == FAULTY_ZONE and phase is ZonePhase.EVACUATED]
    return min(times, default=np.inf) - FAULT_BEGIN


class Page:
    """Collects the lines of the page; rows are printed as they are added."""

    def __init__(self, seeds: int, includes_many: bool) -> None:
        self.lines = INTRODUCTION.format(seeds=seeds, many=" --many" * includes_many).split("\n")

    def add_header(self, *columns: str) -> None:
        """Add the header of a table."""
        self.lines += [f"| {' | '.join(columns)} |", "| --- " * len(columns) + "|"]

    def add_row(self, *cells: str) -> None:
        """Add a row to the table."""
        self.lines.append(f"| {' | '.join(cells)} |")
        print(self.lines[-1], flush=True)


def median_and_worst(runs: list[Figures], name: str, number_format: str = "{:.0f}") -> str:
    """Return a table cell with the median and the maximum of a figure."""
    values = [figures[name] for figures in runs]
    return f"{number_format} / {number_format}".format(np.median(values), max(values))


def add_fault_table(
    page: Page, cases: list[tuple[int, int, str, float]], runs: list[tuple[FaultJob, Figures]]
) -> None:
    """Add a table with a row for each number of instances, fault and message loss."""
    page.add_header(
        "instances",
        "fault",
        "words lost",
        "first leaves",
        "all have left",
        "sends there from 3 s on",
        "back: first second",
        "most, of the fair share",
        "0.8 of it after",
        "wrong zones left",
    )
    for instances, _, fault, loss in cases:
        case_figures = [figures for job, figures in runs if job[1:] == (instances, fault, loss)]
        page.add_row(
            f"{instances}",
            fault,
            f"{loss:.0%}",
            median_and_worst(case_figures, "first"),
            median_and_worst(case_figures, "all"),
            median_and_worst(case_figures, "share out", "{:.3f}"),
            median_and_worst(case_figures, "first second back", "{:.3f}"),
            median_and_worst(case_figures, "most", "{:.2f}"),
            median_and_worst(case_figures, "full"),
            str(int(sum(figures["wrong"] for figures in case_figures))),
        )


def add_cost_table(page: Page, sizes: list[tuple[int, int]], runs: list[tuple[FaultJob, Figures]]) -> None:
    """Add a table of the bytes and CPU time of an instance, by the number of instances."""
    page.lines.append("")
    page.add_header("instances", "bytes a second, calm", "in trouble", "CPU ms a second, calm", "in trouble")
    for instances, _ in sizes:
        size_figures = [figures for job, figures in runs if job[1] == instances]
        names = ("calm bytes", "bytes", "calm cpu", "cpu")
        means = [np.mean([figures[name] for figures in size_figures]) for name in names]
        page.add_row(f"{instances}", *(f"{mean:.0f}" if mean > 10 else f"{mean:.1f}" for mean in means))
    page.lines += ["", "Each instance sends and receives as much. CPU is that of the core in this process."]


def add_calm_table(page: Page, pool: PoolType, seeds: int) -> None:
    """Run models without a fault and add a table of their false evacuations."""
    page.lines.append("")
    page.add_header(
        "load, of what engines can do", "runs", "leavings by one alone", "runs in which the fleet left"
    )
    for load, count in ((1.0, seeds), (1.6, seeds // 3)):
        results = pool.map(run_calm, [(seed, load) for seed in range(count)], chunksize=4)
        by_one, by_fleet = sum(single for single, _ in results), sum(of_fleet for _, of_fleet in results)
        page.add_row(f"{LOAD * load:.2f}", f"{count}", f"{by_one}", f"{by_fleet}")
    page.lines += ["", "Six instances, skewed 1:1:1:2:3:4, 20 s each without a fault, 30% of words lost.", ""]


def main() -> None:
    """Run all cases and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--many", action="store_true")
    arguments = parser.parse_args()
    sizes = SIZES + ([(MANY_INSTANCES, 1)] if arguments.many else [])
    cases = [(n, seeds, fault, loss) for n, seeds in sizes for fault in FAULTS for loss in LOSSES]
    # A run of that many instances takes minutes, so only some of these cases are run.
    cases = [c for c in cases if c[0] < MANY_INSTANCES or c[2] in FAULTS_AT_MANY_INSTANCES and c[3]]
    jobs = [(seed, n, fault, loss) for n, seeds, fault, loss in reversed(cases) for seed in range(seeds)]
    page = Page(arguments.seeds, arguments.many)
    with Pool(arguments.jobs) as pool:
        runs = list(zip(jobs, pool.map(run_with_fault, jobs, 1), strict=True))
        add_fault_table(page, cases, runs)
        add_cost_table(page, sizes, runs)
        add_calm_table(page, pool, arguments.seeds)
    OUTPUT.write_text("\n".join(page.lines))


if __name__ == "__main__":
    main()
