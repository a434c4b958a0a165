"""Compares in virtual time who sheds what, and writes docs/measurements/overload-core.md:

python benchmarks/fleet/overload.py [--seeds 20] [--jobs 6]
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from multiprocessing import Pool
from pathlib import Path
from typing import Any

import numpy as np

from cottonhold.emulator.overload import AdaptiveShare, Credits, Overload, Policy, QueueDelay, SharedThreshold
from cottonhold.fleet.admission.demand_sharing import DemandSettings
from cottonhold.fleet.admission.threshold import ThresholdSettings

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "overload-core.md"
POLICIES: dict[str, Callable[[int], Policy]] = {
    "nothing turned away": lambda i: Policy(),
    "each alone, AIMD": lambda i: AdaptiveShare(),
    "each alone, queue delay": lambda i: QueueDelay(),
    "credits by demand": lambda i: Credits(),
    "one price, no gain": lambda i: SharedThreshold(),
    "one price": lambda i: SharedThreshold(),
}
NO_GAIN = DemandSettings(threshold=ThresholdSettings(wait_correction=0.0, gain_rate=0.0))
SKEW = (1, 1, 1, 2, 3, 4)
LOADS = (1.0, 1.2, 1.5, 2.0, 3.0, 5.0)
BEGIN, END = 6000.0, 18_000.0
CAPACITY = 450.0  # requests a second of nine engines
CASES: dict[str, dict[str, Any]] = {
    "calm": {"times": 0.7},
    "twice": {"times": 2.0},
    "waves of 0.7 and 3 times, 4 s each": {"times": 0.0},
    "one instance has 20 of 25 parts": {"times": 2.0, "weights": (1, 1, 1, 1, 1, 20)},
    "clients do not say that they come again": {"times": 2.0, "marked": False},
    "30% of words lost": {"times": 2.0, "loss": 0.3},
    "words a second late": {"times": 2.0, "delay": 1000.0},
    "one claims ten times its demand": {"times": 2.0, "lie": 10.0},
    "words cut between two halves": {"times": 2.0, "halves": True},
    "50 instances, 75 engines": {"times": 2.0, "weights": SKEW * 8 + (1, 1), "engines": 75},
}


def world(seed: int, policy: Callable[[int], Policy], times: float, **fields: Any) -> Overload:
    """A world of a case, not played yet."""
    lie, halves = fields.pop("lie", 1.0), fields.pop("halves", False)
    weights, engines = fields.pop("weights", SKEW), fields.setdefault("engines", 9)
    full: float = CAPACITY * engines / 9

    def rate(now: float) -> float:
        return full * (times or (3.0 if now // 4000 % 2 else 0.7))

    made = Overload(seed, rate, weights, policy, **fields)
    made.claim_factors[0] = lie
    if halves:
        half = len(weights) // 2
        made.is_cut = lambda a, b: (a < half) != (b < half)
    return made


def measure(job: tuple[int, str, dict[str, Any]]) -> tuple[float, float, float, float, float]:
    """Share of the worth possible; how far dear and cheap tries are apart between instances; sends for each
    one served; bytes a second and instance."""
    seed, policy, fields = job
    fields = fields | ({"settings": NO_GAIN} if policy == "one price, no gain" else {})
    w = world(seed, POLICIES[policy], **fields)
    w.play(END)
    got, most = w.utility(BEGIN, END)
    shares = w.shares(BEGIN, END)
    apart = []
    for kind in (1, 0):
        of = [share for (_, k), share in shares.items() if k == kind]
        apart.append(max(of) - min(of) if of else 0.0)
    sent = sum(what == "sent" for *_, what in w.log) / max(sum(what == "served" for *_, what in w.log), 1)
    return got / most, apart[0], apart[1], sent, w.bytes / len(w.instances) / (END / 1000)


def outage(job: tuple[int, bool]) -> tuple[float, float, float]:
    """Two of three zones gone at 380 a second from 5 to 12 s: the worth while they are, in the third after
    they are back from the second second on, and the seconds until 0.98 of it."""
    seed, marked = job
    w = Overload(seed, lambda now: 380.0, SKEW, lambda i: SharedThreshold(), marked=marked)
    w.at(5000.0, lambda now: w.fail(3))
    w.at(12_000.0, lambda now: w.fail(9))
    w.play(11_999.0)
    got, most = w.utility(7000.0, 12_000.0)
    w.play(20_000.0)
    after, possible = w.utility(13_000.0, 16_000.0)
    refused = [t for t, *_, what in w.log if what == "refused" and t > 12_000.0]
    return got / most, after / possible, (max(refused, default=12_000.0) - 12_000.0) / 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=6)
    given = parser.parse_args()
    lines = [
        "# Overload in virtual time: measured",
        "",
        f"By `python benchmarks/fleet/overload.py --seeds {given.seeds}` (model: `emulator/overload.py`):",
        "six instances with 1:1:1:2:3:4 of the requests, nine engines of 50/s, 60% worth 1 and 40% worth 6,",
        "clients that come up to three times. Worth: served, of the most that the engines could, the median",
        "of all runs and the worst. Apart: the largest difference between two instances in the share of",
        "tries served, the median.",
        "",
        "| load | engines' speed | policy | worth | dear apart | cheap apart | sends for one served |",
        "| --- " * 7 + "|",
    ]

    def row(first: list[str], found: list[tuple[float, ...]]) -> None:
        cols = np.array(found)
        worth = f"{np.median(cols[:, 0]):.3f} / {min(cols[:, 0]):.3f}"
        cells = [worth, *(f"{np.median(cols[:, i]):.2f}" for i in range(1, cols.shape[1]))]
        lines.append("| " + " | ".join([*first, *cells]) + " |")
        print(lines[-1], flush=True)

    seeds = range(given.seeds)
    with Pool(given.jobs) as pool:
        for times in LOADS:
            for speed in (1.0, 0.8):
                for policy in POLICIES:
                    jobs = [(seed, policy, {"times": times, "speed": speed}) for seed in seeds]
                    row([f"{times}", f"{speed}", policy], [found[:4] for found in pool.map(measure, jobs, 1)])
        lines += ["", "With one price:", ""]
        lines += [
            "| case | worth | dear ones apart | cheap ones apart | sends for one served | bytes a second |"
        ]
        lines.append("| --- " * 6 + "|")
        for case, fields in CASES.items():
            row([case], pool.map(measure, [(seed, "one price", fields) for seed in seeds], 1))
        lines += ["", "Two of three zones gone for 7 s at 0.84 of the capacity of all:", ""]
        lines += ["| clients | worth while out | from the second second after | last one refused, s after |"]
        lines.append("| --- " * 4 + "|")
        for marked in (True, False):
            name = "say that they come again" if marked else "do not say so"
            row([name], pool.map(outage, [(seed, marked) for seed in seeds], 1))
    OUT.write_text("\n".join([*lines, ""]))


if __name__ == "__main__":
    main()
