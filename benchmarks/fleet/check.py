"""Runs the model checker on registers and ownership, deeper than CI: `python -m benchmarks.fleet.check`.

Prints for each check the numbers of states and steps, the depth, and a violated rule with its trace.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable

from cottonhold.emulator.model_checker import CheckResult, Model, explore, walk
from cottonhold.emulator.models import (
    OwnershipModel,
    RegisterModel,
    ownership_violation_at_end,
    registers_violation_at_end,
)


def run_check(name: str, check: Callable[[], CheckResult]) -> bool:
    """Run one check and print its row; return whether no rule was violated."""
    started_at = time.perf_counter()
    result = check()
    seconds = time.perf_counter() - started_at
    counts = f"{result.states:>9} {result.steps:>10} {result.depth:>6}"
    print(f"{name:<22} {counts} {seconds:>7.1f} s {result.violation}")
    for choice in result.trace if result.violation else ():
        print("   ", choice.kind, *choice.args)
    return not result.violation


def main() -> int:
    """Run all checks; return 1 if a rule was violated, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--length", type=int, default=250)
    parser.add_argument("--states", type=int, default=10_000, help="most of each exhaustive search")
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(f"{'world':<22} {'states':>9} {'steps':>10} {'depth':>6}")

    def registers() -> Model:
        return RegisterModel(crashes=3, disk_losses=1, changes=3)

    def ownership() -> Model:
        return OwnershipModel(crashes=2, moves=4, loads=6)

    limits = arguments.depth, arguments.states
    walks = arguments.seed, arguments.walks, arguments.length
    passed = [
        run_check("registers, every order", lambda: explore(RegisterModel, *limits)),
        run_check("pins, every order", lambda: explore(OwnershipModel, *limits)),
        run_check("registers, walks", lambda: walk(registers, *walks, registers_violation_at_end)),
        run_check("pins, walks", lambda: walk(ownership, *walks, ownership_violation_at_end)),
    ]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    raise SystemExit(main())
