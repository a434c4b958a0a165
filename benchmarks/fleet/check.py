"""The model checker of registers and pins, deeper than CI: `python -m benchmarks.fleet.check`.

Prints for each world what was looked at (states, steps, depth) and the rule that was broken, with its trace.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable

from cottonhold.emulator.model_checker import Found, World, explore, walk
from cottonhold.emulator.models import PinWorld, RegisterWorld, pin_end, register_end


def show(name: str, run: Callable[[], Found]) -> bool:
    """Run one check and print its line; true if nothing is broken."""
    began = time.perf_counter()
    found = run()
    took = time.perf_counter() - began
    print(f"{name:<22} {found.states:>9} {found.steps:>10} {found.depth:>6} {took:>7.1f} s {found.broken}")
    for choice in found.trace if found.broken else ():
        print("   ", *choice)
    return not found.broken


def main() -> int:
    """The command."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--walks", type=int, default=2000)
    options.add_argument("--length", type=int, default=250)
    options.add_argument("--states", type=int, default=10_000, help="most of each exhaustive search")
    options.add_argument("--depth", type=int, default=12)
    options.add_argument("--seed", type=int, default=1)
    given = options.parse_args()
    print(f"{'world':<22} {'states':>9} {'steps':>10} {'depth':>6}")

    def registers() -> World:
        return RegisterWorld(crashes=3, forgets=1, asks=3)

    def pins() -> World:
        return PinWorld(crashes=2, moves=4, loads=6)

    walks = given.seed, given.walks, given.length
    good = [
        show("registers, every order", lambda: explore(RegisterWorld, given.depth, given.states)),
        show("pins, every order", lambda: explore(PinWorld, given.depth, given.states)),
        show("registers, walks", lambda: walk(registers, *walks, register_end)),
        show("pins, walks", lambda: walk(pins, *walks, pin_end)),
    ]
    return 0 if all(good) else 1


if __name__ == "__main__":
    raise SystemExit(main())
