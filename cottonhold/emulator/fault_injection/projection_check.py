"""What was foretold of a zone's loss, against what then came. Pure.

Told is the outlook's row for the zone, from an instance's local socket in the second before the fault. Only
a zone that is lost whole, and alone, is foretold there.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from cottonhold.emulator.fault_injection.event_log import BIN_S, Execution, RequestLog, RunLogs, Verdict
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import distance_ms, zone_of

# In s after the fault: what broke with the zone has been asked again, and the fleet has left it. The plan
# counts cold work for five seconds.
BEGIN, LAST = 1.0, 5.0
UTILITY_TOLERANCE, PART_OFF = (
    0.05,
    0.25,
)  # the limits: of the worth as it is, of the others as a part of what came
Way = Mapping[tuple[str, str], tuple[float, float]]  # by home and zone: work in cores, ms there and back


def has_projection(day: Scenario) -> bool:
    """Whether the day is one that a row of the outlook tells of: the zone's engines are lost, no others."""
    lost = {
        name
        for f in day.faults
        if f.verb in ("power", "kill") and f.at == day.out
        for name in day.pick(f.target)
    }
    others = {f.verb for f in day.faults if f.at <= day.out} - {"power", "kill", "peers"}
    return bool(day.out) and lost == set(day.pick(day.zone)) and not others


def measure_projection(
    day: Scenario,
    seen: RunLogs,
    asks: Mapping[str, RequestLog],
    runs: Mapping[str, Sequence[Execution]],
    verdict: Verdict,
) -> None:
    """Figures `told_`, `came_` and `off_` of worth (part of what is asked for), added (ms of way on top, mean
    of the work that moved) and extra (cores of cold work more than before). off_added, off_extra: as parts
    of what came. Needs the series of worth asked for."""
    row = seen.told.get(day.zone)
    if not row or not has_projection(day):
        return
    cost, fault = row["cost"], seen.begun + day.out
    told = {
        "worth": cost["worth"] / max(cost["offered"], 1e-9),
        "added": cost["added"],
        "extra": cost["extra"],
    }
    usual, spans = (seen.begun + 2.0, fault), (fault + BEGIN, fault + BEGIN + LAST)
    before, after = _ways(day, asks, runs, *usual), _ways(day, asks, runs, *spans)
    came = {
        "worth": _share(verdict, day.out + BEGIN, day.out + BEGIN + LAST),
        "added": added(before, after),
        "extra": _cold(day, runs, *spans) - _cold(day, runs, *usual),
    }
    for name, value in told.items():
        off = abs(value - came[name])
        verdict.figures[f"told_{name}"], verdict.figures[f"came_{name}"] = value, came[name]
        verdict.figures[f"off_{name}"] = off if name == "worth" else off / max(abs(came[name]), 1e-9)


def missed_projections(verdict: Verdict) -> list[str]:
    """What was foretold and is off by more than its limit."""
    found = []
    for name, limit in (("worth", UTILITY_TOLERANCE), ("added", PART_OFF), ("extra", PART_OFF)):
        off = verdict.figures.get(f"off_{name}", 0.0)
        if not off <= limit:
            told, came = verdict.figures[f"told_{name}"], verdict.figures[f"came_{name}"]
            found.append(f"foretold {name} {told:.3g}, came {came:.3g}: off by {off:.2f}, limit {limit}")
    return found


def _share(verdict: Verdict, begin: float, end: float) -> float:
    asked, served = verdict.series["worth asked"], verdict.series["worth of asked"]
    b, e = int(begin / BIN_S), int(end / BIN_S)
    return sum(served[b:e]) / max(sum(asked[b:e]), 1e-9)


def _ways(
    day: Scenario,
    asks: Mapping[str, RequestLog],
    runs: Mapping[str, Sequence[Execution]],
    begin: float,
    end: float,
) -> Way:
    """What was served of what ended in a time, by home and zone."""
    found: dict[tuple[str, str], tuple[float, float]] = {}
    for ref, ask in asks.items():
        if ask.word == "served" and begin <= ask.ended < end:
            home, met, made = ask.home or day.homes[ask.instance], day.homes[ask.instance], zone_of(ask.text)
            work = math.fsum(r.work for r in runs.get(ref, ()) if r.engine == ask.text and r.how == "done")
            way = 2 * (distance_ms(day.distance, home, met) + distance_ms(day.distance, met, made))
            sums = found.get((home, made), (0.0, 0.0))
            found[home, made] = sums[0] + work, sums[1] + work * way
    per = 1000 * (end - begin)
    return {pair: (work / per, ways / max(work, 1e-9)) for pair, (work, ways) in found.items()}


def added(before: Way, after: Way) -> float:
    """Mean ms of way on top of the usual one, over the work that moved."""
    moved, sums = 0.0, 0.0
    for (home, zone), (work, way) in after.items():
        more = work - before.get((home, zone), (0.0, 0.0))[0]
        usual = [x for (h, _), x in before.items() if h == home]
        whole = math.fsum(work for work, _ in usual)
        if more > 0 and whole > 0:
            mean = math.fsum(work * way for work, way in usual) / whole
            moved, sums = moved + more, sums + more * (way - mean)
    return sums / max(moved, 1e-9)


def _cold(day: Scenario, runs: Mapping[str, Sequence[Execution]], begin: float, end: float) -> float:
    """Cores of work on cold data sets on top."""
    extra = float(day.traits.get("set_cold", 1.0)) - 1.0
    work = math.fsum(r.work for found in runs.values() for r in found if r.cold and begin <= r.began < end)
    return extra * work / (1000 * (end - begin))
