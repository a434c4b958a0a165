"""Runs all cases of engine replacement in virtual time and writes docs/measurements/swap-engines-core.md:

python -m benchmarks.fleet.swap_engines [--seeds 3] [--processes 2]
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cottonhold.emulator.engine_replacement_cases import CASES, DEFECTS, STEPS
from cottonhold.emulator.rolling_replacement_defects import planted_defect

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "swap-engines-core.md"
INTRODUCTION = """# Engines in a swap, in virtual time: measured

By `python -m benchmarks.fleet.swap_engines --seeds {seeds}` (the model of
`emulator/engine_replacement.py`, the cases of `engine_replacement_cases.py`): {runs} runs, {bad} of them
with a broken rule. Four dispatchers, three engines in three zones, all swapped one by one, one of them
by another id; the fault comes within 0.2 s after
the first engine's step began. *Lossy*: 30% of messages lost, 30% twice, up to 150 ms late (words to 3 s).
The rules: no request at an engine when its step becomes OUT, nor when it is powered off; nothing sent to one
that is out; IN_PLACE only after somebody put a new one there; all come to their end, and then get work.

| fault | {steps} |
| --- |{rule}
"""


def run_case(job: tuple[str, int]) -> tuple[str, int, list[str]]:
    """Run a case with a seed; return both with the violations."""
    name, seed = job
    return name, seed, CASES[name](seed)


def is_defect_detected(job: tuple[str, int]) -> tuple[str, bool]:
    """Plant a defect and run its case with a seed; return its name and whether it was detected."""
    name, seed = job
    defect = DEFECTS[name]
    with planted_defect(defect):
        return name, any(defect.breach in breach for breach in CASES[defect.case](seed))


def run_all(seeds: range, processes: int) -> tuple[dict[str, int], dict[str, int]]:
    """Return the number of runs with violations by case, and of runs that detected a defect by defect."""
    broken = dict.fromkeys(CASES, 0)
    noticed = dict.fromkeys(DEFECTS, 0)
    with ProcessPoolExecutor(processes) as pool:
        for name, seed, breaches in pool.map(run_case, [(name, seed) for seed in seeds for name in CASES]):
            broken[name] += bool(breaches)
            for breach in breaches[:3]:
                print(name, seed, breach, flush=True)
        defect_jobs = [(name, seed) for name in DEFECTS for seed in seeds]
        for name, is_noticed in pool.map(is_defect_detected, defect_jobs):
            noticed[name] += is_noticed
    return broken, noticed


def main() -> None:
    """Run all cases and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=2)
    arguments = parser.parse_args()
    seeds = arguments.seeds
    broken, noticed = run_all(range(1, seeds + 1), arguments.processes)
    steps = [step.name.lower() for step in STEPS]
    page = INTRODUCTION.format(
        seeds=seeds,
        runs=len(CASES) * seeds,
        bad=sum(broken.values()),
        steps=" | ".join(steps),
        rule=" --- |" * len(steps),
    )
    for fault in dict.fromkeys(name.split(":")[0] for name in CASES if ":" in name):
        cells = [f"{broken[f'{fault}: {step}']} of {seeds} broken" for step in steps]
        page += f"| {fault} | {' | '.join(cells)} |\n"
    page += f"\nWithout a fault: calm {broken['calm']}, lossy {broken['lossy']} of {seeds} broken.\n\n"
    page += "| planted defect | case | noticed |\n| --- | --- | --- |\n"
    for name, count in noticed.items():
        page += f"| {name} | {DEFECTS[name].case} | {count} of {seeds} seeds |\n"
    OUTPUT.write_text(page)


if __name__ == "__main__":
    main()
