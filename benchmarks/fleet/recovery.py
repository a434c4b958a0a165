"""Compares in virtual time the return from a power loss without and with a ramp of all, and prints the
rows of docs/measurements/power-loss-core.md:

python benchmarks/fleet/recovery.py [--seeds 20] [--sizes 5,50,500] [--cases "zone"] [--jobs 2]
"""

from __future__ import annotations

import argparse
import math
import random
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import repeat
from typing import Any

import numpy as np

from cottonhold.emulator.recovery import MEAN, Plan, PowerReturn
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.settings import FleetSettings

USUAL = 0.6  # of what warm engines do
SIZES = {5: 9, 50: 75, 500: 150}  # instances: engines
LAST = 9000.0
SLOT, GROUPS = 500.0, 5


@dataclass(slots=True, frozen=True)
class Case:
    """begins: when engines are there; spread: ms in which instances come; later: so much, from half on."""

    name: str
    begins: float = 0.0
    spread: float = 2500.0
    later: float = 0.0
    times: float = 1.0
    until: float = LAST
    fields: dict[str, Any] = field(default_factory=dict)
    again: float | None = None
    skew: bool = False


CASES = (
    Case("with the dispatchers"),
    Case("engines 2 s before", -2000.0, 1000.0),
    Case("engines 2 s after", 2000.0, 500.0),
    Case("half of the dispatchers 20 s later", 0.0, 500.0, 20_000.0, until=26_000.0),
    Case("30% of datagrams lost", fields={"loss": 0.3}),
    Case("a zone stays dark", fields={"dark": "c"}),
    Case("power gone again after 2 s", again=2000.0, until=12_000.0),
    Case("clients at three times the usual", times=3.0),
    Case("clients 1:1:1:2:3 by instance", skew=True),
)


@dataclass(slots=True)
class Found:
    """What one run showed."""

    seconds: list[float]
    first: float
    engines: float
    ramp: float
    warm: float
    tries: dict[tuple[int, int], list[float]]
    beyond: float
    over: int
    checked: int
    tipped: int
    bytes: float


def world(case: Case, count: int, seed: int, on: bool) -> PowerReturn:
    """A case, not played yet."""
    gap, half = case.spread / max(count - 1, 1), count // 2
    plan = Plan(
        engines=lambda place: max(case.begins, 0.0),
        instances=lambda i: max(-case.begins, 0.0) + gap * i + (case.later if i > half else 0.0),
        again=case.again,
    )
    settings = FleetSettings(
        dispatchers=count, sheds_load=True, slow_start=SlowStartSettings() if on else None
    )
    rate = case.times * USUAL * SIZES[count] * 1000 / MEAN
    weights = [(1.0, 1.0, 1.0, 2.0, 3.0)[i % 5] for i in range(count)] if case.skew else ()
    return PowerReturn(seed, rate, count, SIZES[count], plan, settings, weights=weights, **case.fields)


def measure(case: Case, count: int, seed: int, on: bool) -> Found:
    """Play a run."""
    w = world(case, count, seed, on)
    w.play(case.until)
    power = w.power_at(case.until)
    back = power + max(case.begins, 0.0) if case.begins >= 0 else power - case.begins
    warm = power + max(case.begins, 0.0) + w.plan.warm + 1000.0
    most = [w.possible(power, back + 1000.0 * i) for i in range(6)]
    given = [w.possible(power, back + 1000.0 * i, ramp=True) for i in (0, 4)] if on else [0.0, math.inf]
    got = [w.got(power, back + 1000.0 * i) for i in range(6)]
    seconds = [(got[i + 1] - got[i]) / max(most[i + 1] - most[i], 1e-9) for i in range(5)]
    first = w.got(back, back + 3000.0) / w.came(back, back + 3000.0)
    full = min(
        w.came(warm, warm + 2000.0),
        w.possible(warm - 2000.0, warm + 2000.0) - w.possible(warm - 2000.0, warm),
    )
    after = w.got(warm, warm + 2000.0) / max(full, 1e-9)
    served = got[4] - got[0]
    return Found(
        seconds, first, served / max(most[4] - most[0], 1e-9), served / max(given[1] - given[0], 1e-9), after,
        shares(w, power, warm - 500.0), beyond(w, power, warm - 500.0), w.over, w.checked,
        sum(p.tipped for p in w.pressed), w.bytes / count / (case.until / 1000),
    )  # fmt: skip


def shares(w: PowerReturn, begin: float, end: float) -> dict[tuple[int, int], list[float]]:
    """By a fifth of the instances in order of start and by kind: requests, and how many more of them were
    served than of all requests of that kind that came in the same half second."""
    all_of: dict[tuple[int, int], list[int]] = defaultdict(lambda: [0, 0])
    rows = [(int(c // SLOT), h, k, good) for c, _, h, k, good in w.served if begin <= c < end]
    for slot, _, kind, good in rows:
        all_of[slot, kind][0] += 1
        all_of[slot, kind][1] += good
    tries: dict[tuple[int, int], list[float]] = defaultdict(lambda: [0.0, 0.0])
    for slot, home, kind, good in rows:
        n, served = all_of[slot, kind]
        entry = tries[home * GROUPS // len(w.there), kind]
        entry[0] += 1
        entry[1] += good - served / n
    return dict(tries)


def beyond(w: PowerReturn, begin: float, end: float, plays: int = 20) -> float:
    """The largest difference between fifths within this run, over kinds, less the mean of what the same
    answers give where they are dealt out anew among equal requests of a half second."""
    rows = [
        (int(c // SLOT), h * GROUPS // len(w.there), k, good)
        for c, _, h, k, good in w.served
        if begin <= c < end
    ]
    draw, worst = random.Random(1), 0.0
    for kind in range(3):
        slots: dict[int, list[tuple[int, bool]]] = defaultdict(list)
        for slot, group, k, good in rows:
            if k == kind:
                slots[slot].append((group, good))
        chance = []
        for _ in range(plays):
            dealt = {}
            for slot, row in slots.items():
                goods = [good for _, good in row]
                draw.shuffle(goods)
                dealt[slot] = [(group, good) for (group, _), good in zip(row, goods, strict=True)]
            chance.append(_spread(dealt))
        worst = max(worst, _spread(slots) - sum(chance) / plays)
    return worst


def _spread(slots: dict[int, list[tuple[int, bool]]]) -> float:
    sums: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for row in slots.values():
        mean = sum(good for _, good in row) / len(row)
        for group, good in row:
            sums[group][0] += 1
            sums[group][1] += good - mean
    rates = [extra / n for n, extra in sums.values() if n >= 10]
    return max(rates, default=0.0) - min(rates, default=0.0)


def apart(found: list[Found]) -> float:
    """The largest difference between fifths in the share of a kind that is served, over all runs."""
    worst = 0.0
    for kind in range(3):
        sums = [
            [sum(f.tries.get((g, kind), [0, 0])[i] for f in found) for i in (0, 1)] for g in range(GROUPS)
        ]
        rates = [extra / n for n, extra in sums if n >= 50]
        worst = max(worst, max(rates, default=0.0) - min(rates, default=0.0))
    return worst


def row(case: Case, count: int, on: bool, found: list[Found]) -> str:
    """A line of the table: medians, and the worst of the first three seconds."""
    seconds = np.median([f.seconds for f in found], axis=0)
    mid = [
        float(np.median([getattr(f, n) for f in found]))
        for n in ("first", "engines", "ramp", "warm", "bytes")
    ]
    cells = [
        str(count), case.name, "ramp" if on else "before", str(len(found)),
        " ".join(f"{x:.2f}" for x in seconds), f"{mid[0]:.2f} / {min(f.first for f in found):.2f}",
        f"{mid[1]:.2f}", f"{mid[2]:.2f}" if on else "", f"{mid[3]:.2f}", f"{apart(found):.2f}",
        f"{np.median([f.beyond for f in found]):.2f} / {max(f.beyond for f in found):.2f}",
        f"{sum(f.over for f in found)} of {sum(f.checked for f in found)}",
        str(sum(f.tipped for f in found)), f"{mid[4]:.0f}",
    ]  # fmt: skip
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--cases", default="")
    parser.add_argument("--sizes", default="5,50,500")
    parser.add_argument("--only", default="")
    parser.add_argument("--many", type=int, default=1, help="seeds of 50 instances and more")
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    given = parser.parse_args()
    begun = time.monotonic()
    with ProcessPoolExecutor(given.jobs) as pool:
        _rows(given, begun, pool)


def _rows(given: argparse.Namespace, begun: float, pool: ProcessPoolExecutor) -> None:
    for count in map(int, given.sizes.split(",")):
        seeds = given.seeds if count < 50 else given.many
        for case in CASES:
            long = count == 500 and case is not CASES[0] or count > 5 and case.later > 0
            if given.cases not in case.name or long:
                continue
            for on in (False, True):
                if given.only and on != (given.only == "ramp"):
                    continue
                found = list(pool.map(measure, repeat(case), repeat(count), range(seeds), repeat(on)))
                print(row(case, count, on, found), round(time.monotonic() - begun), flush=True)


if __name__ == "__main__":
    main()
