"""Measures the utility served in a recovery from a power loss, and differences between instances;
does no I/O."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.engine_traits import EngineTraits, decode_traits
from cottonhold.emulator.fault_injection.event_log import (
    BIN_S,
    LogLine,
    MarkVerb,
    RequestLog,
    RunHistory,
    RunLogs,
    Verdict,
)
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.utility_figures import first_attempts, ratio, step_of

REPORTED_SECONDS = 12  # number of seconds after the restart, each of which has its own figure
# An instance is compared with others in a class only if it has at least this number of requests of the class:
MIN_REQUESTS = 10  # in one second
MIN_REQUESTS_OVERALL = 50  # in the whole recovery
SETTLED_S = 3.0  # the recovery ends this long after the last start and after the engines are warm
REPORTED_ENDS = (
    RequestEnd.REFUSED,
    RequestEnd.FAILED,
    RequestEnd.BROKEN,
    RequestEnd.TIMED_OUT,
    RequestEnd.UNREACHED,
)
EndCounts = dict[tuple[str, int], dict[int, Counter[RequestEnd]]]  # by class and second, then by instance


def measure_recovery(history: RunHistory, verdict: Verdict) -> None:
    """Measure a recovery.

    Figures:
        return_*: Utility served in a time span, as a share of the utility of all requests that clients first
            sent in the span, also while no instance was up. If * is the name of an end: the number of
            attempts with this end.
        return_*_of_most: Utility served, as a share of the most that the cold engines could have served.
        unlike_return: Largest difference between two instances in the share of equal requests that they
            served, over the whole recovery; `unlike_error` is its standard error.
        unlike_return_*: The same for one class.
        unlike_second: The same in any one second.
        budget_most: Most work sent to a cold engine, as a share of what overloads it.
        engines_pushed_over: Number of engines that were overloaded.
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
        (mark.at - logs.load_started_at for mark in logs.marks if mark.verb == MarkVerb.START),
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
    """Return the most utility that engines could have served, by the step of each client's first attempt.

    The classes with the highest utility per ms of work are served first, each request at any time within its
    patience. If each step were considered alone, requests that wait at the end of an outage and are served a
    second later would be regarded as impossible to serve.

    Args:
        scenario: The scenario.
        logs: Logs of the run.
        requests: Attempts of the clients, by request id.
        capacity: Work that the engines could do, by step, in ms.
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
    """Count the ends of attempts until the recovery has ended, without unreached, broken and open ones."""
    counts: EndCounts = defaultdict(lambda: defaultdict(Counter))
    for request in requests:
        since_start_s = request.started_at - started_at
        if request.end is None or request.end in (RequestEnd.UNREACHED, RequestEnd.BROKEN):
            continue
        if since_start_s < settled_at_s:
            counts[request.class_name, int(since_start_s)][request.instance][request.end] += 1
    return counts


def _measure_fairness(scenario: Scenario, counts: EndCounts, verdict: Verdict) -> None:
    differences = {kind.name: _service_difference(counts, kind.name) for kind in scenario.request_classes}
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


def _service_difference(counts: EndCounts, class_name: str) -> tuple[float, float]:
    """Return the largest difference between two instances in one class, and its standard error.

    Each instance is compared with the share that all instances served in the same seconds, so that one that
    was started late is not compared with seconds before its start.
    """
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
    """Return the most work that a cold engine received within its window, as a share of what overloads it."""
    if not traits.overload_work_ms:
        return 0.0
    started_at, max_use = -math.inf, 0.0
    recent: list[tuple[float, float]] = []  # time of arrival, and work in ms
    for at, event, _, *details in lines:
        if event == "start":
            started_at, recent = at, []
        elif event == "get" and at - started_at < traits.warm_after_ms / 1000:
            window_begin = at - traits.overload_window_ms / 1000
            recent = [row for row in recent if row[0] >= window_begin] + [(at, float(details[3]))]
            limit_ms = traits.overload_limit_ms((at - started_at) * 1000)
            max_use = max(max_use, sum(work for _, work in recent) / limit_ms)
    return max_use
