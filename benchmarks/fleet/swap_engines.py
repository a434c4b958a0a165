"""Plays all cases of swaps of engines in virtual time and writes docs/measurements/swap-engines-core.md:

python -m benchmarks.fleet.swap_engines [--seeds 3] [--processes 2]
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cottonhold.emulator.engine_replacement_cases import CASES, DEFECTS, STEPS, planted

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "swap-engines-core.md"
HEAD = """# Engines in a swap, in virtual time: measured

By `python -m benchmarks.fleet.swap_engines --seeds {seeds}` (the model of `emulator/swap_engines.py`, the
cases of `swap_engine_cases.py`): {runs} runs, {bad} of them with a broken rule. Four dispatchers, three
engines in three zones, all swapped one by one, one of them by another id; the fault comes within 0.2 s after
the first engine's step began. *Lossy*: 30% of messages lost, 30% twice, up to 150 ms late (words to 3 s).
The rules: no request at an engine when its step becomes OUT, nor when it is powered off; nothing sent to one
that is out; IN_PLACE only after somebody put a new one there; all come to their end, and then get work.

| fault | {steps} |
| --- |{rule}
"""


def one(job: tuple[str, int]) -> tuple[str, int, list[str]]:
    """A case with a seed, and what was broken."""
    name, seed = job
    return name, seed, CASES[name](seed)


def defect(job: tuple[str, int]) -> tuple[str, bool]:
    """Whether a planted defect was noticed."""
    name, seed = job
    with planted(name) as (case, says):
        return name, any(says in breach for breach in CASES[case](seed))


def main() -> None:
    """Play, and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=2)
    given = parser.parse_args()
    seeds = range(1, given.seeds + 1)
    broken: dict[str, int] = dict.fromkeys(CASES, 0)
    noticed: dict[str, int] = dict.fromkeys(DEFECTS, 0)
    with ProcessPoolExecutor(given.processes) as pool:
        for name, seed, breaches in pool.map(one, [(name, seed) for seed in seeds for name in CASES]):
            broken[name] += bool(breaches)
            for breach in breaches[:3]:
                print(name, seed, breach, flush=True)
        for name, found in pool.map(defect, [(name, seed) for name in DEFECTS for seed in seeds]):
            noticed[name] += found
    steps = [step.name.lower() for step in STEPS]
    page = HEAD.format(
        seeds=given.seeds,
        runs=len(CASES) * given.seeds,
        bad=sum(broken.values()),
        steps=" | ".join(steps),
        rule=" --- |" * len(steps),
    )
    for fault in dict.fromkeys(name.split(":")[0] for name in CASES if ":" in name):
        cells = [f"{broken[f'{fault}: {step}']} of {given.seeds} broken" for step in steps]
        page += f"| {fault} | {' | '.join(cells)} |\n"
    page += f"\nWithout a fault: calm {broken['calm']}, lossy {broken['lossy']} of {given.seeds} broken.\n\n"
    page += "| planted defect | case | noticed |\n| --- | --- | --- |\n"
    for name, seen in noticed.items():
        page += f"| {name} | {DEFECTS[name][0]} | {seen} of {given.seeds} seeds |\n"
    OUT.write_text(page)


if __name__ == "__main__":
    main()
