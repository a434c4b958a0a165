"""What it cost to be served elsewhere: latency by distance, work by data sets that were cold there. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from cottonhold.emulator.fault_injection.event_log import Execution, RequestLog, RunLogs, Verdict
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import distance_ms, zone_of

Within = Callable[[float], bool]


def measure_distance(
    day: Scenario,
    seen: RunLogs,
    asks: Mapping[str, RequestLog],
    runs: Mapping[str, Sequence[Execution]],
    verdict: Verdict,
) -> None:
    """Figures over the day, and with `_before` and `_out` for the time before and in which a zone was out.

    added_ms: of a served request, there and back between its client's zone, its instance's and its engine's.
    away: the share that was served in another zone than the client's. cold_sets: the share of executions that
    read a cold data set; extra_work: what these took more, against all work without that.
    """
    spans: dict[str, Within] = {"": lambda at: True}
    if day.out:
        begin, end = seen.begun + day.out, seen.begun + (day.back or math.inf)
        spans |= {"_before": lambda at: at < begin, "_out": lambda at: begin + 1.0 <= at < end}
    done = [run for found in runs.values() for run in found if run.began < math.inf]
    served = [a for a in asks.values() if a.word == "served"]
    extra = float(day.traits.get("set_cold", 1.0)) - 1.0
    for name, within in spans.items():
        some = [a for a in served if within(a.at)]
        _measure_added_latency(day, some, name, verdict)
        for zone in day.zones if name else ():
            _measure_added_latency(day, [a for a in some if _home(day, a) == zone], f"{name}_{zone}", verdict)
        ran = [r for r in done if within(r.began)]
        cold = [r for r in ran if r.cold]
        work = sum(r.work for r in ran)
        verdict.figures[f"cold_sets{name}"] = len(cold) / max(len(ran), 1)
        verdict.figures[f"extra_work{name}"] = extra * sum(r.work for r in cold) / work if work else 0.0


def _home(day: Scenario, ask: RequestLog) -> str:
    return ask.home or day.homes[ask.instance]


def _measure_added_latency(day: Scenario, served: Sequence[RequestLog], name: str, verdict: Verdict) -> None:
    added, away = 0.0, 0
    for ask in served:
        home, met, made = _home(day, ask), day.homes[ask.instance], zone_of(ask.text)
        added += 2 * (distance_ms(day.distance, home, met) + distance_ms(day.distance, met, made))
        away += made != home
    verdict.figures[f"added_ms{name}"] = added / max(len(served), 1)
    verdict.figures[f"away{name}"] = away / max(len(served), 1)
