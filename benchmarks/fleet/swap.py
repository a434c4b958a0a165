"""Measures the rolling swap's pure core in virtual time and writes docs/measurements/swap-core.md:

    python -m benchmarks.fleet.swap [--seconds 300]

Each hard case with as many seeds as that processor time allows, the planted defects, and the order of
machines against brute force.
"""

from __future__ import annotations

import argparse
import itertools
import random
import time
from pathlib import Path

from cottonhold.emulator.rolling_replacement_cases import CASES, Found
from cottonhold.emulator.rolling_replacement_defects import DEFECTS, planted
from cottonhold.fleet.rolling_replacement.schedule import Limits, ReplacementJob, ScheduleConstraints

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "swap-core.md"
ORDERS = 150


def middle(values: list[float]) -> float:
    """The median, of two the upper one."""
    return sorted(values)[len(values) // 2] if values else 0.0


def order(seed: int) -> tuple[float, float]:
    """The settled makespan by the best of all lists of machines, and the ms that settling took."""
    draw = random.Random(seed)
    jobs = [
        ReplacementJob(
            f"m{i}", draw.randrange(3), draw.choice([2.0, 4.0, 8.0]), draw.random() < 0.6, draw.randint(1, 9)
        )
        for i in range(draw.randint(3, 7))
    ]
    limits = Limits(draw.randint(1, 3), draw.randint(1, 2), draw.randint(1, 3))
    weigh = ScheduleConstraints(limits, lambda lost: ["too much"] * (sum(lost.values()) > 12))
    start = time.process_time()
    found = weigh.find_schedule(jobs).duration_ms
    took = 1000 * (time.process_time() - start)
    best = min(weigh.place(each).duration_ms for each in itertools.permutations(jobs))
    return found / best, took


def cases(seconds: float) -> dict[str, list[Found]]:
    """All cases, one seed after another, as long as there is time."""
    found: dict[str, list[Found]] = {name: [] for name in CASES}
    end = time.process_time() + seconds
    for seed in itertools.count(1):
        if time.process_time() > end:
            break
        for name, case in CASES.items():
            found[name].append(case(seed))
            for breach in found[name][-1].breaches:
                print(name, seed, breach, flush=True)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=300.0)
    given = parser.parse_args()
    found = cases(given.seconds)
    runs = sum(map(len, found.values()))
    bad = sum(bool(f.breaches) for rows in found.values() for f in rows)
    lines = [
        "# The rolling swap's core in virtual time: measured",
        "",
        f"By `python -m benchmarks.fleet.swap --seconds {given.seconds:g}` (the model of",
        f"`emulator/swap.py`): {runs} runs, {bad} of them with a broken rule. Eight dispatchers in three",
        "zones (3/3: six; four at once: five), all swapped, 350 pins each, new machines there 0.5 to 2 s",
        "after the word; a death is noticed after 1.2 s. A take-over counts from the death of the driver to",
        "the first change under a new epoch, for machines that were under way then.",
        "",
        "| case | runs | broken | take-overs | ms, median / most | end of the run, s, median / most |",
        "| --- " * 6 + "|",
    ]
    for name, rows in found.items():
        takes = [t for f in rows for t in f.takeovers]
        lasted = [f.lasted / 1000 for f in rows]
        lines.append(
            f"| {name} | {len(rows)} | {sum(bool(f.breaches) for f in rows)} | {len(takes)} | "
            f"{middle(takes):.0f} / {max(takes, default=0):.0f} | {middle(lasted):.0f} / {max(lasted):.0f} |"
        )
    lines += ["", "| planted defect | case | seeds in which it was noticed |", "| --- " * 3 + "|"]
    for name in DEFECTS:
        with planted(name) as (case, says):
            hits = sum(any(says in b for b in CASES[case](seed).breaches) for seed in range(1, 4))
        lines.append(f"| {name} | {case} | {hits} of 3 |")
    orders = [order(seed) for seed in range(ORDERS)]
    ratios, times = [ratio for ratio, _ in orders], [ms for _, ms in orders]
    lines += [
        "",
        f"Order of 3 to 7 machines against all lists of them, {ORDERS} draws: makespan by the best there",
        f"is {sum(ratios) / len(ratios):.4f} on average, {max(ratios):.3f} at worst, the best itself in",
        f"{sum(r < 1 + 1e-9 for r in ratios)}; settled in {middle(times):.1f} ms",
        f"(median; {max(times):.0f} at most).",
        "",
    ]
    OUT.write_text("\n".join(lines))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
