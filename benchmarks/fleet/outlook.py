"""Holds the outlook's projections against what then comes, in virtual time; writes
docs/measurements/outlook-core.md:

python benchmarks/fleet/outlook.py [--seeds 20]

With `--service WHO` it plays the days with the fleet's core deciding, as in service, and prints rows for
docs/measurements/outlook.md.
"""

from __future__ import annotations

import argparse
import math
import statistics
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

from cottonhold.emulator.outages import Setup, World
from cottonhold.emulator.outages_in_service import ServiceWorld
from cottonhold.fleet.failover_cost.cost_settings import CostSettings
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "outlook-core.md"
ZONES = ("a", "b", "c")
FAR = {("a", "b"): 15.0, ("b", "c"): 25.0, ("a", "c"): 60.0}
TRIPS = {(x, y): 1.0 if x == y else FAR[min(x, y), max(x, y)] for x in ZONES for y in ZONES}
FAULT, SEEN, WINDOW, END = 8000.0, 500.0, 5000.0, 16_000.0
SETTLED = 1500.0  # after which what broke in the fault itself has been asked again
EVEN, UNEVEN = (140.0, 140.0, 140.0), (80.0, 100.0, 240.0)
INTRO = """# The outlook in virtual time: measured

By `python benchmarks/fleet/outlook.py` ({seeds} seeds; {few} where the input is wrong), on the model of
`emulator/outlook.py`: three zones of four engines, 15, 25 and 60 ms apart, two instances each, 140
requests a second and zone of 20 ms (0.7 of all engines), 40% of them worth 6 and the rest 1; each engine
keeps 10 of 18 data sets, and a request on another takes three times as long. Told: half a second before
the fault. Came: what the model counted, worth of what came from 2 to 7 s after the fault, the rest from
0.5 s, when the fault is known, to 5.5 s. Off: the median over seeds of the difference, of worth as it is,
of the others as a part of what came.
"""
TABLE = """Worth served of what came from the fault to 6 s after it, median and worst seed, with the outlook
deciding (which zones serve, how much of an ill zone is kept, what cores the price counts on) and by
today's rule (the least loaded engine of all zones, the fixed reserve). Round trips are those of the outlook
and of today's rule."""
# By day: requests a second by zone, speed of the ill zone, what is left of which zone.
DAYS: dict[str, tuple[tuple[float, ...], float, dict[str, float]]] = {
    "lost zone": (EVEN, 0.0, {"a": 0.0}),
    "ill zone": (EVEN, 0.3, {"b": 0.3}),
    "a zone and a half": (EVEN, 0.0, {"a": 0.0, "b": 0.5}),
    "uneven load": (UNEVEN, 0.0, {"b": 0.0}),
    "two zones": (EVEN, 0.0, {"a": 0.0, "b": 0.0}),
}


SETTINGS = CostEstimatorSettings(snapshot_interval_ms=3000.0, cost=CostSettings(cached_data_sets=10))


def play(
    day: str, seed: int, decides: str, loss: float = 0.0, lie: float = 1.0, keeps: int = 10
) -> dict[str, float]:
    """One day: what was projected in the second before the fault, and what came."""
    rates, speed, left = DAYS[day]
    settings = replace(SETTINGS, cost=CostSettings(cached_data_sets=keeps))
    setup = Setup(
        dict(zip(ZONES, rates, strict=True)),
        TRIPS,
        decides=decides,
        loss=loss,
        cached_data_sets=keeps,
        settings=settings,
    )
    world = World(seed, setup)
    world.claim_factors[5] = lie
    world.play(FAULT - 500)
    found = {}
    outlook = world.instances[seed % 5].estimator
    if decides == "outlook":
        kept = outlook.retained_share(FAULT - 500, "b", speed) if speed else None
        told = outlook.projection_with(left if kept is None else {"b": kept})
        assert told is not None
        found = {
            "worth": told.served_share(),
            "added": told.added_round_trip_ms,
            "extra": told.extra_cold_cores,
            "warm": told.warm_ms,
        }
    world.play(FAULT)
    for zone, part in left.items():
        if speed:
            world.slow(zone, speed)
        else:
            world.lose(zone, None if part == 0.0 else round((1 - part) * world.setup.engines))
    world.play(FAULT + SEEN)
    if speed:
        world.leave(FAULT + SEEN, "b", speed)
    else:
        world.see(left)
    world.play(END)
    return found | counted(world)


# Who decides in service. today: the outlook off. kept: it says what is kept of an ill zone. guests: and which
# zones serve whose clients while something is out. calm: also while nothing is.
WHO: dict[str, dict[str, Any]] = {
    "today": {},
    "kept": {"guests": None},
    "guests": {},
    "calm": {"calm": True},
}


def play_service(day: str, seed: int, who: str) -> dict[str, float]:
    """One day with the core deciding: what was told of it half a second before, and what came."""
    rates, speed, left = DAYS[day]
    settings = replace(SETTINGS, snapshot_interval_ms=1000.0, **WHO[who])
    decides = "today" if who == "today" else "outlook"
    setup = Setup(
        dict(zip(ZONES, rates, strict=True)), TRIPS, decides=decides, cached_data_sets=10, settings=settings
    )
    world = ServiceWorld(seed, setup)
    world.play(FAULT - 500)
    out = [zone for zone, part in left.items() if part <= 0]
    told = world.instances[seed % 5].estimator.projection(*out) if out and who != "today" else None
    world.play(FAULT)
    for zone, part in left.items():
        if speed:
            world.slow(zone, speed)
        else:
            world.lose(zone, None if part == 0.0 else round((1 - part) * world.setup.engines))
    world.play(END)
    found = {"served in calm": world.log.share(3000, FAULT - 500)}
    if told is not None:
        found |= {
            "worth": told.served_share(),
            "added": told.added_round_trip_ms,
            "extra": told.extra_cold_cores,
        }
    return found | counted(world)


def service(who: str, seeds: Iterable[int]) -> None:
    """Print a row for each day."""
    for day in DAYS:
        runs = [play_service(day, seed, who) for seed in seeds]
        middle = {key: statistics.median(run[key] for run in runs) for key in runs[0]}
        shown = " | ".join(f"{key} {value:.3f}" for key, value in middle.items())
        print(f"| {day} | {who} | {shown} | worst {min(run['all'] for run in runs):.3f} |", flush=True)


def counted(world: World) -> dict[str, float]:
    """What came, as the model counts it."""
    begin, end = FAULT + SEEN, FAULT + SEEN + WINDOW
    before, after = world.log.flows(3000, FAULT), world.log.flows(begin, end)
    moved = trips = 0.0
    for (home, zone), (work, trip) in after.items():
        more = work - before.get((home, zone), (0.0, 0.0))[0]
        if more > 0.02:
            usual = [before[pair] for pair in before if pair[0] == home]
            mean = sum(w * t for w, t in usual) / sum(w for w, _ in usual)
            moved, trips = moved + more, trips + more * (trip - mean)
    return {
        "served": world.log.share(begin + SETTLED, end + SETTLED),
        "all": world.log.share(FAULT, END - 2000),
        "came added": trips / max(moved, 1e-9),
        "came extra": world.log.extra(begin, end) - world.log.extra(3000, FAULT),
        "calm trip": world.log.trip(3000, FAULT),
        "trip": world.log.trip(begin, end),
    }


def off(told: float, came: float) -> float:
    """How far a told value is off, as a part of what came."""
    return abs(told - came) / max(abs(came), 1e-9)


def truth(title: str, runs: dict[str, list[dict[str, float]]]) -> list[str]:
    """Projected against counted, by day."""
    rows = [
        f"| {title} | worth told / came | off | added ms told / came | off | extra cores told / came | off |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day, found in runs.items():
        middle = {key: statistics.median(run[key] for run in found) for key in found[0]}
        worth = statistics.median(abs(run["worth"] - run["served"]) for run in found)
        added = statistics.median(off(run["added"], run["came added"]) for run in found)
        extra = statistics.median(off(run["extra"], run["came extra"]) for run in found)
        rows.append(
            f"| {day} | {middle['worth']:.3f} / {middle['served']:.3f} | {worth:.3f} "
            f"| {middle['added']:.1f} / {middle['came added']:.1f} | {added:.2f} "
            f"| {middle['extra']:.2f} / {middle['came extra']:.2f} | {extra:.2f} |"
        )
    return [*rows, ""]


def compared(runs: dict[str, dict[str, list[dict[str, float]]]]) -> list[str]:
    """Worth served from the fault on, by who decides."""
    rows = [
        "| day | outlook | today | outlook better in | round trip in calm, ms | while out, ms |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for day in DAYS:
        own, today = runs["outlook"][day], runs["today"][day]
        better = sum(a["all"] > b["all"] for a, b in zip(own, today, strict=True))
        cells = [
            " / ".join(f"{statistics.median(r[key] for r in which):.1f}" for which in (own, today))
            for key in ("calm trip", "trip")
        ]
        shares = [
            f"{statistics.median(r['all'] for r in w):.3f} / {min(r['all'] for r in w):.3f}"
            for w in (own, today)
        ]
        rows.append(f"| {day} | {' | '.join(shares)} | {better} of {len(own)} | {' | '.join(cells)} |")
    return [*rows, ""]


def main() -> None:
    """Play and write."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--service", choices=WHO)
    asked = parser.parse_args()
    seeds = range(1, asked.seeds + 1)
    if asked.service:
        service(asked.service, seeds)
        return
    few = list(seeds)[: math.ceil(len(seeds) / 4)]
    runs = {who: {day: [play(day, s, who) for s in seeds] for day in DAYS} for who in ("outlook", "today")}
    wrong = {
        "half of the words lost": [play("lost zone", s, "outlook", loss=0.5) for s in few],
        "one claims ten times its demand, all warm, no distance": [
            play("lost zone", s, "outlook", lie=10.0) for s in few
        ],
        "engines keep all data sets": [play("lost zone", s, "outlook", keeps=0) for s in few],
    }
    OUT.write_text(
        "\n".join(
            [INTRO.format(seeds=len(seeds), few=len(few)), *truth("day", runs["outlook"])]
            + ["On the day of the lost zone, with wrong input or other engines:", "", *truth("case", wrong)]
            + [TABLE, "", *compared(runs)]
        )
    )


if __name__ == "__main__":
    main()
