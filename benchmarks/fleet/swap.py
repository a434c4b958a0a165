"""Measures the coordinator of rolling replacements in virtual time and writes docs/measurements/swap-core.md:

    python -m benchmarks.fleet.swap [--seconds 300]

Runs each case with as many seeds as the given CPU time allows, runs the planted defects, and compares the
order of machines with the best of all orders.
"""

from __future__ import annotations

import argparse
import itertools
import random
import statistics
import time
from pathlib import Path

from cottonhold.emulator.rolling_replacement_cases import CASES, CaseResult
from cottonhold.emulator.rolling_replacement_defects import DEFECTS, planted_defect
from cottonhold.fleet.rolling_replacement.schedule import Limits, ReplacementJob, ScheduleConstraints

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "swap-core.md"
SCHEDULE_SEEDS = 150
DEFECT_SEEDS = range(1, 4)
INTRODUCTION = """# The rolling swap's core in virtual time: measured

By `python -m benchmarks.fleet.swap --seconds {seconds:g}` (the model of
`emulator/rolling_replacement.py`): {runs} runs, {broken} of them with a broken rule. Eight
dispatchers in three zones (3/3: six; four at once: five), all swapped, 350 pins each, new machines
there 0.5 to 2 s after the word; a death is noticed after 1.2 s. A take-over counts from the death of the
driver to the first change under a new epoch, for machines that were under way then.
"""


def median(values: list[float]) -> float:
    """Return the upper median; 0 if there are no values."""
    return statistics.median_high(values) if values else 0.0


def schedule_quality(seed: int) -> tuple[float, float]:
    """Return a schedule's duration as a multiple of the best one's, and the CPU time to find it in ms."""
    draw = random.Random(seed)
    jobs = [
        ReplacementJob(
            f"m{i}", draw.randrange(3), draw.choice([2.0, 4.0, 8.0]), draw.random() < 0.6, draw.randint(1, 9)
        )
        for i in range(draw.randint(3, 7))
    ]
    limits = Limits(draw.randint(1, 3), draw.randint(1, 2), draw.randint(1, 3))
    constraints = ScheduleConstraints(
        limits, lambda missing_cores: ["too much"] * (sum(missing_cores.values()) > 12)
    )
    started_at = time.process_time()
    duration_ms = constraints.find_schedule(jobs).duration_ms
    cpu_ms = 1000 * (time.process_time() - started_at)
    best_ms = min(constraints.place(order).duration_ms for order in itertools.permutations(jobs))
    return duration_ms / best_ms, cpu_ms


def run_cases(seconds: float) -> dict[str, list[CaseResult]]:
    """Run all cases, one seed after another, for so many seconds of CPU time."""
    results: dict[str, list[CaseResult]] = {name: [] for name in CASES}
    end = time.process_time() + seconds
    for seed in itertools.count(1):
        if time.process_time() > end:
            break
        for name, case in CASES.items():
            results[name].append(case(seed))
            for breach in results[name][-1].breaches:
                print(name, seed, breach, flush=True)
    return results


def broken_runs(results: list[CaseResult]) -> int:
    """Return the number of runs in which a rule was violated."""
    return sum(bool(result.breaches) for result in results)


def case_rows(results: dict[str, list[CaseResult]]) -> list[str]:
    """Return a table with a row for each case."""
    rows = [
        "| case | runs | broken | take-overs | ms, median / most | end of the run, s, median / most |",
        "| --- " * 6 + "|",
    ]
    for name, runs in results.items():
        takeovers = [time_ms for run in runs for time_ms in run.takeover_times_ms]
        durations_s = [run.duration_ms / 1000 for run in runs]
        rows.append(
            f"| {name} | {len(runs)} | {broken_runs(runs)} | {len(takeovers)} | "
            f"{median(takeovers):.0f} / {max(takeovers, default=0):.0f} | "
            f"{median(durations_s):.0f} / {max(durations_s):.0f} |"
        )
    return rows


def defect_rows() -> list[str]:
    """Return a table with a row for each planted defect."""
    rows = ["| planted defect | case | seeds in which it was noticed |", "| --- " * 3 + "|"]
    for name, defect in DEFECTS.items():
        with planted_defect(defect):
            breaches = [CASES[defect.case](seed).breaches for seed in DEFECT_SEEDS]
        noticed = sum(any(defect.breach in breach for breach in run) for run in breaches)
        rows.append(f"| {name} | {defect.case} | {noticed} of {len(DEFECT_SEEDS)} |")
    return rows


def schedule_lines() -> list[str]:
    """Return a paragraph that compares the found orders of machines with the best of all orders."""
    qualities = [schedule_quality(seed) for seed in range(SCHEDULE_SEEDS)]
    ratios, times_ms = [ratio for ratio, _ in qualities], [cpu_ms for _, cpu_ms in qualities]
    return [
        f"Order of 3 to 7 machines against all lists of them, {SCHEDULE_SEEDS} draws: makespan by the",
        f"best there is {sum(ratios) / len(ratios):.4f} on average, {max(ratios):.3f} at worst, the best",
        f"itself in {sum(ratio < 1 + 1e-9 for ratio in ratios)}; settled in {median(times_ms):.1f} ms",
        f"(median; {max(times_ms):.0f} at most).",
    ]


def main() -> None:
    """Run all cases, write the page and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=300.0)
    seconds = parser.parse_args().seconds
    results = run_cases(seconds)
    runs = sum(map(len, results.values()))
    broken = sum(map(broken_runs, results.values()))
    introduction = INTRODUCTION.format(seconds=seconds, runs=runs, broken=broken)
    lines = [introduction, *case_rows(results), "", *defect_rows(), "", *schedule_lines(), ""]
    OUTPUT.write_text("\n".join(lines))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
