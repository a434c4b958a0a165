"""What a recovery from a power loss was worth, second by second, and whether it was the same for all
instances. Pure."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.engine_traits import EngineTraits, decode_traits
from cottonhold.emulator.fault_injection.event_log import (
    BIN_S,
    LogLine,
    RequestLog,
    RunHistory,
    RunLogs,
    Verdict,
)
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.utility_figures import first_attempts, ratio, step_of

REPORTED_SECONDS = 12  # from the return of power on, one by one
MIN_REQUESTS = 10  # of a class in a second, for an instance to be compared in it
MIN_REQUESTS_OVERALL = 50
SETTLED_S = 3.0  # from the last start, and from when the engines are warm
REPORTED_ENDS = (
    RequestEnd.REFUSED,
    RequestEnd.FAILED,
    RequestEnd.BROKEN,
    RequestEnd.TIMED_OUT,
    RequestEnd.UNREACHED,
)
EndCounts = dict[tuple[str, int], dict[int, Counter[RequestEnd]]]  # by class and second, by instance


def measure_recovery(history: RunHistory, verdict: Verdict) -> None:
    """Measure a recovery.

    return_*: shares of the utility of all that clients first requested in a time, also where no instance was
    up; with `_of_most`: of what of it the engines could have done, cold as they are. unlike_*: the largest
    difference between instances in what became of equal requests: over the whole recovery (`unlike_error`:
    its standard error), by class, and in any one second.
    """
    scenario, logs = history.scenario, history.logs
    traits = decode_traits(scenario.engine_traits)
    warm_at_s = scenario.power_restored_at_s + traits.warm_after_ms / 1000
    _measure_spans(history, warm_at_s, verdict)
    restored = [
        request
        for request in history.requests.values()
        if request.started_at - logs.load_started_at >= scenario.power_restored_at_s
    ]
    ends = Counter(request.end for request in restored)
    for end in REPORTED_ENDS:
        verdict.figures[f"return_{end}"] = float(ends[end])
    last_start_s = max(
        (at - logs.load_started_at for at, verb, _ in logs.marks if verb == "start"),
        default=scenario.power_restored_at_s,
    )
    settled_at_s = max(last_start_s, warm_at_s) + SETTLED_S
    _measure_fairness(scenario, _count_ends(restored, logs.load_started_at, settled_at_s), verdict)
    budget_uses = [_max_budget_use(traits, lines) for lines in logs.engines.values()]
    verdict.figures["budget_most"] = max(budget_uses, default=0.0)
    overloaded = sum(line[1] == "tipped" for lines in logs.engines.values() for line in lines)
    verdict.figures["engines_pushed_over"] = float(overloaded)


def _measure_spans(history: RunHistory, warm_at_s: float, verdict: Verdict) -> None:
    scenario, restored_at_s = history.scenario, history.scenario.power_restored_at_s
    possible = possible_utility(scenario, history.logs, history.requests, verdict.series["capacity"])
    verdict.series["worth possible"] = possible
    served, requested = verdict.series["worth of asked"], verdict.series["worth asked"]
    spans = {f"{s}s": (restored_at_s + s, restored_at_s + s + 1) for s in range(REPORTED_SECONDS)}
    spans |= {
        "first_3s": (restored_at_s, restored_at_s + 3.0),
        "ramp": (restored_at_s, warm_at_s + 1.0),
        "warm": (warm_at_s + 1.0, scenario.duration_s),
    }
    for name, (begin_s, end_s) in spans.items():
        if end_s <= scenario.duration_s:
            begin, end = int(begin_s / BIN_S), int(end_s / BIN_S)
            verdict.figures[f"return_{name}"] = ratio(served, requested, begin, end)
            verdict.figures[f"return_{name}_of_most"] = ratio(served, possible, begin, end)


def possible_utility(
    scenario: Scenario, logs: RunLogs, requests: Mapping[str, RequestLog], capacity: Sequence[float]
) -> list[float]:
    """Return the most utility that engines of such a capacity (ms of work, by step) could have served, by the
    step of each client's first attempt: the classes that earn most per ms of work first, each request at any
    time within its patience.

    Within each step alone, what waits at the end of an outage and is served a second later would count as
    impossible.
    """
    remaining_ms, utility = list(capacity), [0.0] * len(capacity)
    offered: dict[str, Counter[int]] = defaultdict(Counter)
    for request in first_attempts(requests).values():
        offered[request.class_name][step_of(request, logs, len(capacity))] += 1
    by_density = sorted(
        scenario.request_classes, key=lambda kind: -scenario.utilities[kind.name] / kind.work_ms
    )
    for kind in by_density:
        patience_steps = int(kind.patience_ms / 1000 / BIN_S)
        for step, count in sorted(offered[kind.name].items()):
            pending_ms = count * kind.work_ms
            for later in range(step, min(step + 1 + patience_steps, len(capacity))):
                served_ms = min(pending_ms, remaining_ms[later])
                remaining_ms[later] -= served_ms
                pending_ms -= served_ms
            utility[step] += (count - pending_ms / kind.work_ms) * scenario.utilities[kind.name]
    return utility


def _count_ends(requests: Iterable[RequestLog], started_at: float, settled_at_s: float) -> EndCounts:
    """Count the ends of all attempts that an instance answered, until all have settled."""
    counts: EndCounts = defaultdict(lambda: defaultdict(Counter))
    for request in requests:
        since_start_s = request.started_at - started_at
        if request.end is None or request.end in (RequestEnd.UNREACHED, RequestEnd.BROKEN):
            continue
        if since_start_s < settled_at_s:
            counts[request.class_name, int(since_start_s)][request.instance][request.end] += 1
    return counts


def _measure_fairness(scenario: Scenario, counts: EndCounts, verdict: Verdict) -> None:
    differences = {kind.name: _difference(counts, kind.name) for kind in scenario.request_classes}
    verdict.figures |= {f"unlike_return_{name}": found[0] for name, found in differences.items()}
    verdict.figures["unlike_return"], verdict.figures["unlike_error"] = max(differences.values())
    in_one_second = (_difference_in_second(by_instance) for by_instance in counts.values())
    verdict.figures["unlike_second"] = max(in_one_second, default=0.0)


def _difference_in_second(by_instance: Mapping[int, Counter[RequestEnd]]) -> float:
    shares = [
        ends[RequestEnd.SERVED] / ends.total()
        for ends in by_instance.values()
        if ends.total() >= MIN_REQUESTS
    ]
    return max(shares) - min(shares) if shares else 0.0


def _difference(counts: EndCounts, class_name: str) -> tuple[float, float]:
    """Return the largest difference between two instances in one class, and its standard error. Each instance
    is compared with what all got in the same seconds, so that one that was started late is not held against
    what was served before."""
    excess: dict[int, float] = defaultdict(float)
    totals: Counter[int] = Counter()
    variance: dict[int, float] = defaultdict(float)
    for (name, _), by_instance in counts.items():
        if name != class_name:
            continue
        of_all = sum(by_instance.values(), Counter[RequestEnd]())
        share = of_all[RequestEnd.SERVED] / of_all.total()
        for instance, ends in by_instance.items():
            excess[instance] += ends[RequestEnd.SERVED] - share * ends.total()
            totals[instance] += ends.total()
            variance[instance] += share * (1 - share) * ends.total()
    compared = sorted(
        (excess[instance] / total, variance[instance] / total**2)
        for instance, total in totals.items()
        if total >= MIN_REQUESTS_OVERALL
    )
    if not compared:
        return 0.0, 0.0
    (lowest, lowest_variance), (highest, highest_variance) = compared[0], compared[-1]
    return highest - lowest, math.sqrt(lowest_variance + highest_variance)


def _max_budget_use(traits: EngineTraits, lines: Iterable[LogLine]) -> float:
    """Return the most work that arrived at an engine within its window while it was cold, as a part of what
    overloads it then."""
    if not traits.overload_work_ms:
        return 0.0
    started_at, max_use = -math.inf, 0.0
    recent: list[tuple[float, float]] = []  # when work arrived, and how much
    for at, event, _, *details in lines:
        if event == "start":
            started_at, recent = at, []
        elif event == "get" and at - started_at < traits.warm_after_ms / 1000:
            window_begin = at - traits.overload_window_ms / 1000
            recent = [row for row in recent if row[0] >= window_begin] + [(at, float(details[3]))]
            limit_ms = traits.overload_limit_ms((at - started_at) * 1000)
            max_use = max(max_use, sum(work for _, work in recent) / limit_ms)
    return max_use
