"""Compares admission policies under overload, in virtual time; writes docs/measurements/overload-core.md:

python benchmarks/fleet/overload.py [--seeds 20] [--jobs 6]
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterable, Sequence
from multiprocessing import Pool
from multiprocessing.pool import Pool as PoolType
from pathlib import Path
from typing import Any

import numpy as np

from cottonhold.emulator.admission_policies import AdaptiveShare, Credits, QueueDelay, SharedThreshold
from cottonhold.emulator.overload import Overload, Policy, RequestEvent
from cottonhold.fleet.admission.demand_sharing import DemandSettings
from cottonhold.fleet.admission.threshold import ThresholdSettings

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "overload-core.md"
SHARED_THRESHOLD, SHARED_THRESHOLD_WITHOUT_GAIN = "one price", "one price, no gain"
POLICIES: dict[str, Callable[[int], Policy]] = {
    "nothing turned away": lambda number: Policy(),
    "each alone, AIMD": lambda number: AdaptiveShare(),
    "each alone, queue delay": lambda number: QueueDelay(),
    "credits by demand": lambda number: Credits(),
    SHARED_THRESHOLD_WITHOUT_GAIN: lambda number: SharedThreshold(),
    SHARED_THRESHOLD: lambda number: SharedThreshold(),
}
NO_GAIN = DemandSettings(threshold=ThresholdSettings(wait_correction=0.0, gain_rate=0.0))
WEIGHTS = (1, 1, 1, 2, 3, 4)
LOADS, SPEEDS = (1.0, 1.2, 1.5, 2.0, 3.0, 5.0), (1.0, 0.8)
BEGIN, END = 6000.0, 18_000.0
# Number of engines, and their total capacity in requests per second.
ENGINES, CAPACITY = 9, 450.0
OUTAGE_RATE, OUTAGE_BEGIN, OUTAGE_END = 380.0, 5000.0, 12_000.0
WAVE_MS, WAVE_LOADS = 4000, (0.7, 3.0)
# Arguments of `make_world` for each case.
CASES: dict[str, dict[str, Any]] = {
    "calm": {"load": 0.7},
    "twice": {"load": 2.0},
    "waves of 0.7 and 3 times, 4 s each": {"load": 0.0},
    "one instance has 20 of 25 parts": {"load": 2.0, "weights": (1, 1, 1, 1, 1, 20)},
    "clients do not say that they come again": {"load": 2.0, "marks_retries": False},
    "30% of words lost": {"load": 2.0, "loss": 0.3},
    "words a second late": {"load": 2.0, "delay_ms": 1000.0},
    "one claims ten times its demand": {"load": 2.0, "claim_factor": 10.0},
    "words cut between two halves": {"load": 2.0, "is_partitioned": True},
    "50 instances, 75 engines": {"load": 2.0, "weights": WEIGHTS * 8 + (1, 1), "engines": 75},
}
Figures = tuple[float, ...]


def make_world(
    seed: int,
    make_policy: Callable[[int], Policy],
    load: float,
    *,
    engines: int = ENGINES,
    weights: Sequence[int] = WEIGHTS,
    claim_factor: float = 1.0,
    is_partitioned: bool = False,
    **options: Any,
) -> Overload:
    """Return a model, not yet run.

    Args:
        seed: Seed of the random generator.
        make_policy: Returns the admission policy of an instance, by its number.
        load: Request rate as a part of the capacity; 0 for alternating low and high load.
        engines: Number of engines.
        weights: Relative request rate of each instance.
        claim_factor: Factor by which the first instance overstates its demand.
        is_partitioned: Whether demand reports between the two halves of the instances are lost.
        options: Further arguments of `Overload`.
    """
    capacity: float = CAPACITY * engines / ENGINES

    def rate(now: float) -> float:
        return capacity * (load or WAVE_LOADS[int(now // WAVE_MS % 2)])

    world = Overload(seed, rate, weights, make_policy, engines=engines, **options)
    world.claim_factors[0] = claim_factor
    if is_partitioned:
        half = len(weights) // 2
        world.is_disconnected = lambda sender, target: (sender < half) != (target < half)
    return world


def measure(job: tuple[int, str, dict[str, Any]]) -> Figures:
    """Run a model.

    Args:
        job: The seed, the policy's name and arguments of `make_world`.

    Returns:
        The share of the greatest possible utility that was served, the largest difference between instances
        in the share of attempts served of the more and of the less valuable class, the attempts sent to
        engines for each request served, and the bytes that each instance sent per second.
    """
    seed, policy, case_arguments = job
    options: dict[str, Any] = {"settings": NO_GAIN} if policy == SHARED_THRESHOLD_WITHOUT_GAIN else {}
    world = make_world(seed, POLICIES[policy], **case_arguments, **options)
    world.run(END)
    served_utility, possible_utility = world.utility(BEGIN, END)
    shares = world.served_shares(BEGIN, END)
    differences = []
    for class_number in (1, 0):
        class_shares = [share for (_, c), share in shares.items() if c == class_number]
        differences.append(max(class_shares) - min(class_shares) if class_shares else 0.0)
    events = [entry.event for entry in world.log]
    sends = events.count(RequestEvent.SENT) / max(events.count(RequestEvent.SERVED), 1)
    bytes_per_second = world.sent_bytes / len(world.instances) / (END / 1000)
    return served_utility / possible_utility, *differences, sends, bytes_per_second


def measure_outage(job: tuple[int, bool]) -> Figures:
    """Run a model in which two of three zones are out for a while.

    Args:
        job: The seed, and whether clients mark retries.

    Returns:
        The share of the greatest possible utility served during the outage, without its first two seconds;
        the same from one to four seconds after its end; the seconds from its end to the last rejection.
    """
    seed, marks_retries = job
    world = Overload(
        seed,
        lambda now: OUTAGE_RATE,
        WEIGHTS,
        lambda number: SharedThreshold(),
        marks_retries=marks_retries,
    )
    world.call_at(OUTAGE_BEGIN, lambda now: world.set_engines_up(ENGINES // 3))
    world.call_at(OUTAGE_END, lambda now: world.set_engines_up(ENGINES))
    world.run(OUTAGE_END - 1)
    served_utility, possible_utility = world.utility(OUTAGE_BEGIN + 2000.0, OUTAGE_END)
    world.run(OUTAGE_END + 8000.0)
    served_after, possible_after = world.utility(OUTAGE_END + 1000.0, OUTAGE_END + 4000.0)
    rejections = [entry.at for entry in world.log if entry.event is RequestEvent.REJECTED]
    last_rejection = max((at for at in rejections if at > OUTAGE_END), default=OUTAGE_END)
    return (
        served_utility / possible_utility,
        served_after / possible_after,
        (last_rejection - OUTAGE_END) / 1000,
    )


class Page:
    """Collects the lines of the page; rows are printed as they are added."""

    def __init__(self, seeds: int) -> None:
        self.lines = [
            "# Overload in virtual time: measured",
            "",
            f"By `python benchmarks/fleet/overload.py --seeds {seeds}` (model: `emulator/overload.py`):",
            "six instances with 1:1:1:2:3:4 of the requests, nine engines of 50/s, 60% worth 1 and 40% worth",
            "6, clients that come up to three times. Worth: served, of the most that the engines could, the",
            "median of all runs and the worst. Apart: the largest difference between two instances in the",
            "share of tries served, the median.",
            "",
        ]

    def add_table(self, heading: str, *columns: str) -> None:
        """Add the header of a table."""
        self.lines += ["", heading, ""] if heading else []
        self.lines += [f"| {' | '.join(columns)} |", "| --- " * len(columns) + "|"]

    def add_row(self, labels: list[str], runs: Iterable[Figures]) -> None:
        """Add a row: the median and the worst run of the first figure, the medians of the others."""
        figures = np.array(list(runs))
        utility = f"{np.median(figures[:, 0]):.3f} / {min(figures[:, 0]):.3f}"
        medians = [f"{np.median(figures[:, i]):.2f}" for i in range(1, figures.shape[1])]
        self.lines.append(f"| {' | '.join([*labels, utility, *medians])} |")
        print(self.lines[-1], flush=True)

    def write(self) -> None:
        """Write the page to its file."""
        OUTPUT.write_text("\n".join([*self.lines, ""]))


def compare_policies(page: Page, pool: PoolType, seeds: range) -> None:
    """Add a table of all policies at all loads and engine speeds."""
    page.add_table(
        "",
        "load",
        "engines' speed",
        "policy",
        "worth",
        "dear apart",
        "cheap apart",
        "sends for one served",
    )
    for load in LOADS:
        for speed in SPEEDS:
            for policy in POLICIES:
                jobs = [(seed, policy, {"load": load, "speed": speed}) for seed in seeds]
                runs = [figures[:4] for figures in pool.map(measure, jobs, 1)]
                page.add_row([f"{load}", f"{speed}", policy], runs)


def main() -> None:
    """Run all cases and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=6)
    arguments = parser.parse_args()
    page, seeds = Page(arguments.seeds), range(arguments.seeds)
    with Pool(arguments.jobs) as pool:
        compare_policies(page, pool, seeds)
        page.add_table(
            "With one price:",
            "case",
            "worth",
            "dear ones apart",
            "cheap ones apart",
            "sends for one served",
            "bytes a second",
        )
        for case, case_arguments in CASES.items():
            page.add_row(
                [case], pool.map(measure, [(seed, SHARED_THRESHOLD, case_arguments) for seed in seeds], 1)
            )
        page.add_table(
            "Two of three zones gone for 7 s at 0.84 of the capacity of all:",
            "clients",
            "worth while out",
            "from the second second after",
            "last one refused, s after",
        )
        for marks_retries in (True, False):
            label = "say that they come again" if marks_retries else "do not say so"
            page.add_row([label], pool.map(measure_outage, [(seed, marks_retries) for seed in seeds], 1))
    page.write()


if __name__ == "__main__":
    main()
