"""What a return from a power loss was worth, second by second, and whether it was the same for all. Pure."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from cottonhold.emulator.fault_injection.engine import cold_slowdown
from cottonhold.emulator.fault_injection.event_log import BIN_S, LogLine, RequestLog, RunLogs, Verdict
from cottonhold.emulator.fault_injection.script import Scenario

REPORTED_SECONDS = 12  # so many seconds from the return on are told one by one
MIN_REQUESTS = 10  # tries of a class in a second, for an instance to be compared in it
MIN_REQUESTS_OVERALL = 50
SETTLED_S = 3.0  # from the last start, and from when the engines are warm
Tries = dict[tuple[str, int], dict[int, Counter[str]]]  # by class and second, by instance: the ends


def measure_recovery(day: Scenario, seen: RunLogs, asks: Mapping[str, RequestLog], verdict: Verdict) -> None:
    """Figures `return_*`: shares of the worth of all that clients first asked for in a time, also where they
    met nobody, and (`_of_most`) of what of that the engines could have done, cold as they are.

    unlike_*: the largest difference between instances in what became of equal requests: over the whole return
    (`unlike_error`: its standard error), by class, and in any one second.
    """
    most = verdict.series["worth possible"] = possible_utility(day, seen, asks, verdict.series["capacity"])
    served, asked = verdict.series["worth of asked"], verdict.series["worth asked"]
    warm = day.returns + float(day.traits.get("warm", 3000.0)) / 1000
    spans = {f"{s}s": (day.returns + s, day.returns + s + 1) for s in range(REPORTED_SECONDS)}
    spans |= {
        "first_3s": (day.returns, day.returns + 3.0),
        "ramp": (day.returns, warm + 1.0),
        "warm": (warm + 1.0, day.seconds),
    }
    for name, (begin, end) in spans.items():
        if end <= day.seconds:
            b, e = int(begin / BIN_S), int(end / BIN_S)
            verdict.figures[f"return_{name}"] = _ratio(served[b:e], asked[b:e])
            verdict.figures[f"return_{name}_of_most"] = _ratio(served[b:e], most[b:e])
    since = [a for a in asks.values() if a.at - seen.begun >= day.returns]
    words = Counter(a.word for a in since)
    for word in ("refused", "failed", "broken", "nothing", "unreached"):
        verdict.figures[f"return_{word}"] = float(words[word])
    up = max((at - seen.begun for at, verb, who in seen.marks if verb == "start"), default=day.returns)
    tries = _tries(since, seen.begun, max(up, warm) + SETTLED_S)
    apart = {kind.name: _unlike(tries, kind.name) for kind in day.kinds}
    verdict.figures |= {f"unlike_return_{name}": found[0] for name, found in apart.items()}
    verdict.figures["unlike_return"], verdict.figures["unlike_error"] = max(apart.values())
    verdict.figures["unlike_second"] = max((_unlike_now(by) for by in tries.values()), default=0.0)
    sums = [_max_budget_use(day, lines) for lines in seen.engines.values()]
    verdict.figures["budget_most"] = max(sums, default=0.0)
    tipped = sum(line[1] == "tipped" for lines in seen.engines.values() for line in lines)
    verdict.figures["engines_pushed_over"] = float(tipped)


def possible_utility(
    day: Scenario, seen: RunLogs, asks: Mapping[str, RequestLog], capacity: Sequence[float]
) -> list[float]:
    """The most worth that engines of such a capacity (ms of work, by step) could have served, by when clients
    asked first: dearest a ms first, each at any time within its patience.

    Step by step alone, the end of a dark would count as impossible what waits and is served a second later.
    """
    room, worth = list(capacity), [0.0] * len(capacity)
    offered: dict[str, Counter[int]] = defaultdict(Counter)
    met: set[int] = set()
    for ask in asks.values():
        if ask.client not in met:
            met.add(ask.client)
            offered[ask.kind][min(int((ask.at - seen.begun) / BIN_S), len(room) - 1)] += 1
    for kind in sorted(day.kinds, key=lambda k: -day.worth[k.name] / k.effort):
        for b, count in sorted(offered[kind.name].items()):
            need = count * kind.effort
            for later in range(b, min(b + 1 + int(kind.patience / 1000 / BIN_S), len(room))):
                took = min(need, room[later])
                room[later] -= took
                need -= took
            worth[b] += (count - need / kind.effort) * day.worth[kind.name]
    return worth


def _ratio(got: list[float], of: list[float]) -> float:
    return sum(got) / sum(of) if sum(of) else 1.0


def _tries(since: Iterable[RequestLog], begun: float, until: float) -> Tries:
    """Every try that reached an instance, until all have settled."""
    tries: Tries = defaultdict(lambda: defaultdict(Counter))
    for ask in since:
        if ask.word not in ("unreached", "broken", "") and ask.at - begun < until:
            tries[ask.kind, int(ask.at - begun)][ask.instance][ask.word] += 1
    return tries


def _unlike_now(by_instance: Mapping[int, Counter[str]]) -> float:
    shares = [n["served"] / n.total() for n in by_instance.values() if n.total() >= MIN_REQUESTS]
    return max(shares) - min(shares) if shares else 0.0


def _unlike(tries: Tries, kind: str) -> tuple[float, float]:
    """The largest difference between two instances in one class, and its standard error; each is compared
    with what all got in the same seconds: one that came late is not held against what was served before."""
    above: dict[int, float] = defaultdict(float)
    count: Counter[int] = Counter()
    spread: dict[int, float] = defaultdict(float)
    for (name, _), by_instance in tries.items():
        if name == kind:
            everybody = sum(by_instance.values(), Counter[str]())
            share = everybody["served"] / everybody.total()
            for i, ends in by_instance.items():
                above[i] += ends["served"] - share * ends.total()
                count[i] += ends.total()
                spread[i] += share * (1 - share) * ends.total()
    rest = sorted((above[i] / n, spread[i] / n**2) for i, n in count.items() if n >= MIN_REQUESTS_OVERALL)
    if not rest:
        return 0.0, 0.0
    (low, one), (high, other) = rest[0], rest[-1]
    return high - low, math.sqrt(one + other)


def _max_budget_use(day: Scenario, lines: Iterable[LogLine]) -> float:
    """The most work that came to an engine within its window while it was cold, against what tips it over
    then."""
    tip, window = float(day.traits.get("tip", 0.0)), float(day.traits.get("tip_window", 1000.0)) / 1000
    warm, started, most = float(day.traits.get("warm", 3000.0)) / 1000, -math.inf, 0.0
    cold, came = float(day.traits.get("cold", 3.0)), list[tuple[float, float]]()
    for at, what, _, *more in lines if tip else ():
        if what == "start":
            started, came = at, []
        elif what == "get" and at - started < warm:
            came = [(t, w) for t, w in came if t >= at - window] + [(at, float(more[3]))]
            bears = tip * cold / cold_slowdown((at - started) * 1000, cold, warm * 1000)
            most = max(most, sum(w for _, w in came) / bears)
    return most
