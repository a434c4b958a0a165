"""What a run was, from the ledgers of engines, clients and links alone. Pure.

A finding is a rule that was broken, with its evidence. What was served is compared with the most that could
have been: the offered requests, dearest a ms of work first, against what the engines that were well could do.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from cottonhold.emulator.fault_injection.engine import cold_slowdown
from cottonhold.emulator.fault_injection.event_log import (
    BIN_S,
    Execution,
    RequestLog,
    RunLogs,
    Send,
    Verdict,
    bin_count,
    executions_of,
    requests_of,
    sends_of,
)
from cottonhold.emulator.fault_injection.executions import check_executions
from cottonhold.emulator.fault_injection.projection_check import measure_projection
from cottonhold.emulator.fault_injection.recovery_quality import measure_recovery
from cottonhold.emulator.fault_injection.remote_service_cost import measure_distance
from cottonhold.emulator.fault_injection.script import Scenario

SOMETIMES = (
    "return_first_3s",
    "return_ramp",
    "return_warm",
    "unlike_return",
    "added_ms_out",
    "extra_work_out",
    "off_worth",
    "off_added",
    "off_extra",
    "pins_moved",
    "ownerless_p99_ms",
)
ANSWER_SLACK_S = 0.5
INSTANCE_START_S = 3.0  # until a process from nothing has heard of the list
LINK_DELAY_S = 0.1  # between a drop and its being seen on the link, in a busy rig


def check_run(day: Scenario, seen: RunLogs) -> Verdict:
    """Everything about a run."""
    verdict = Verdict()
    asks = requests_of(seen)
    runs = executions_of(seen)
    _check_answers(day, seen, asks, runs, verdict)
    sends = sends_of(seen)
    _check_loads(day, asks, sends, verdict)
    _check_single_attempt(seen, sends, verdict)
    _check_order(day, asks, runs, verdict)
    check_executions(day, asks, runs, sends, verdict)
    _check_engine_overload(seen, verdict)
    _check_drains(seen, sends, verdict)
    _measure_utility(day, seen, asks, verdict)
    _measure_requests(day, seen, asks, verdict)
    _measure_sends(day, seen, sends, verdict)
    _measure_fairness(day, asks, verdict)
    if seen.ownerless:
        _measure_moves(seen.ownerless, verdict)
    if day.returns:
        measure_recovery(day, seen, asks, verdict)
    if day.homes:
        measure_distance(day, seen, asks, runs, verdict)
        measure_projection(day, seen, asks, runs, verdict)
    return verdict


# --- rules ---


def _disturbed(seen: RunLogs, name: str, begin: float, end: float) -> bool:
    """Whether a process was killed or stood still within a time: nobody can answer then."""
    stopped = None
    for at, verb, who in sorted(seen.marks):
        if who != name:
            continue
        if verb == "stop":
            stopped = at
        elif verb == "go" and stopped is not None:
            if stopped <= end and at >= begin:
                return True
            stopped = None
        elif verb == "kill" and begin <= at <= end:
            return True
    return stopped is not None and stopped <= end


def _excused(seen: RunLogs, ask: RequestLog) -> bool:
    """Whether the instance that was asked was dead or stood still."""
    return _disturbed(seen, f"n{ask.instance}", ask.at - 1.0, ask.at + ask.left / 1000 + ANSWER_SLACK_S)


def _check_answers(
    day: Scenario,
    seen: RunLogs,
    asks: Mapping[str, RequestLog],
    runs: Mapping[str, list[Execution]],
    verdict: Verdict,
) -> None:
    """One final answer in time, and nothing served that no engine made."""
    for ref, ask in asks.items():
        if ask.ends > 1:
            verdict.findings.append(f"answers: {ref} has {ask.ends} ends")
        if ask.word in ("nothing", "broken", "") and not _excused(seen, ask):
            verdict.findings.append(f"answers: {ref} at n{ask.instance} got none in its time")
        if ask.word == "served":
            made = [r for r in runs.get(ref, []) if r.engine == ask.text and r.how == "done"]
            if not made:
                verdict.findings.append(f"made: {ref} was served as by '{ask.text}', which did not make it")


def _check_loads(
    day: Scenario, asks: Mapping[str, RequestLog], sends: Mapping[str, list[Send]], verdict: Verdict
) -> None:
    """No load goes out again once it may have run: only some answers prove that it did not."""
    loads = {k.name for k in day.kinds if k.load}
    for ref, found in sends.items():
        if ref in asks and asks[ref].kind in loads:
            maybe = [s for s in found if s.how not in ("overload", "nobody")]
            if len(maybe) > 1:
                where = ", ".join(f"{s.engine} ({s.how or 'open'})" for s in maybe)
                verdict.findings.append(f"loads: {ref} may have run more than once: {where}")


def _check_single_attempt(seen: RunLogs, sends: Mapping[str, list[Send]], verdict: Verdict) -> None:
    """One attempt of a request is out at a time; the link sees a drop a moment after the next send, at
    most, and later only by what it stood still itself.
    """
    for ref, found in sends.items():
        for one, other in zip(found, found[1:], strict=False):
            if one.ended - other.at > LINK_DELAY_S + seen.stalled_s(other.at, one.ended):
                verdict.findings.append(f"one out: {ref} was at {one.engine} and {other.engine} at once")


def _check_order(
    day: Scenario, asks: Mapping[str, RequestLog], runs: Mapping[str, list[Execution]], verdict: Verdict
) -> None:
    """Loads on one key, taken by one instance one after another, begin in that order."""
    keyed: dict[tuple[int, str], list[tuple[float, float, str]]] = defaultdict(list)
    for ref, found in runs.items():
        began = [r for r in found if r.key and r.began < math.inf]
        if began and ref in asks:
            ask = asks[ref]
            came = ask.sent if ask.sent < math.inf else ask.at
            keyed[ask.instance, began[0].key].append((came, began[0].began, ref))
    for (instance, key), rows in keyed.items():
        rows.sort()
        for (asked, start, ref), (later, sooner, other) in zip(rows, rows[1:], strict=False):
            if sooner < start and later - asked > 0.05:  # closer ones may come in either order
                verdict.findings.append(f"order: {other} overtook {ref} on {key} at n{instance}")


def _check_engine_overload(seen: RunLogs, verdict: Verdict) -> None:
    """No cold engine is pushed over by all together."""
    for engine, lines in seen.engines.items():
        for at, what, *_ in lines:
            if what == "tipped":
                verdict.findings.append(
                    f"cold: {engine} was pushed over {at - seen.begun:.1f} s into the day"
                )


def _check_drains(seen: RunLogs, sends: Mapping[str, list[Send]], verdict: Verdict) -> None:
    """Nothing new to an engine from half a second after a told drain on, by whoever could be told."""
    drained: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for at, verb, engine in sorted(seen.marks):
        if verb == "drain":
            drained[engine].append((at, math.inf))
        elif verb == "undrain" and drained[engine]:
            drained[engine][-1] = (drained[engine][-1][0], at)
    for ref, found in sends.items():
        for send in found:
            for begin, end in drained[send.engine]:
                if _notified_at(seen, send.instance, begin) + ANSWER_SLACK_S < send.at < end:
                    late = send.at - begin
                    verdict.findings.append(
                        f"drain: {ref} went to {send.engine} {late:.2f} s after its drain, by {send.instance}"
                    )


def _notified_at(seen: RunLogs, instance: str, at: float) -> float:
    """When an instance can have heard of what was told at a time: later, if it was deaf or stood still
    then.
    """
    since = math.inf
    for when, verb, who in sorted(seen.marks):
        if who == instance and verb in ("deaf", "stop", "kill"):
            since = min(since, when)
        elif who == instance and verb in ("hears", "go", "start"):
            if since <= at + ANSWER_SLACK_S and when >= at:
                return when + (INSTANCE_START_S if verb == "start" else 0.0)
            since = math.inf
    return at if since > at + ANSWER_SLACK_S else math.inf


# --- figures ---


def capacity(day: Scenario, seen: RunLogs) -> list[float]:
    """Work in ms that the engines could do, by bin: those that are there, at the speed that they have."""
    room = [0.0] * bin_count(day)
    for engine, lines in seen.engines.items():
        traits = {"servers": 1, "slow": 1.0, "failing": 0.0, "cold": 3.0, "warm": 3000.0, **day.traits}
        events = [(at, what, more) for at, what, _, *more in lines if what in ("start", "set", "tipped")]
        events += [(at, verb, []) for at, verb, who in seen.marks if who == engine and verb != "start"]
        events.sort(key=lambda e: e[0])
        there, started, at_event = False, -math.inf, 0
        for b in range(len(room)):
            middle = seen.begun + (b + 0.5) * BIN_S
            while at_event < len(events) and events[at_event][0] <= middle:
                at, what, more = events[at_event]
                at_event += 1
                if what == "start":
                    there, started = True, at
                elif what == "set":
                    traits[more[0]] = more[1]
                elif what in ("kill", "stop", "tipped"):
                    there = False
                elif what == "go":
                    there = True
            age = (middle - started) * 1000
            cold = cold_slowdown(age, traits["cold"], traits["warm"])
            speed = (1 - traits["failing"]) / (traits["slow"] * cold)
            room[b] += traits["servers"] * BIN_S * 1000 * speed if there else 0.0
    return room


def _measure_utility(day: Scenario, seen: RunLogs, asks: Mapping[str, RequestLog], verdict: Verdict) -> None:
    """Worth that was served, against the most that could be: bin by bin, what is worth most a ms first."""
    steps, room = bin_count(day), capacity(day, seen)
    efforts = {k.name: k.effort for k in day.kinds}
    offered = [Counter[str]() for _ in range(steps)]
    served = [Counter[str]() for _ in range(steps)]
    first: dict[int, RequestLog] = {}
    good: set[int] = set()
    for ask in sorted(asks.values(), key=lambda a: a.at):
        # What only met dead or stopped instances could not have been served by anybody's decision.
        if ask.word == "unreached" or ask.word in ("nothing", "broken") and _excused(seen, ask):
            continue
        first.setdefault(ask.client, ask)
        if ask.word == "served":
            good.add(ask.client)
    for client, ask in first.items():
        b = min(int((ask.at - seen.begun) / BIN_S), steps - 1)
        offered[b][ask.kind] += 1
        served[b][ask.kind] += client in good
    most, got, left = [0.0] * steps, [0.0] * steps, 0.0
    for b in range(steps):
        space = room[b] + left
        for kind in sorted(efforts, key=lambda k: -day.worth[k] / efforts[k]):
            fits = min(offered[b][kind], space / efforts[kind])
            space -= fits * efforts[kind]
            most[b] += fits * day.worth[kind]
        left = min(space, 0.0)
        got[b] = sum(n * day.worth[kind] for kind, n in served[b].items())
    verdict.series["worth most"], verdict.series["worth served"] = most, got
    verdict.series["capacity"] = room
    verdict.figures["worth"] = _ratio(got, most, 0, steps)
    if day.out:
        begin, end = int((day.out + 1.0) / BIN_S), int(day.back / BIN_S)
        verdict.figures["worth_out"] = _ratio(got, most, begin, end)
        verdict.figures["worth_after_5s"] = _ratio(got, most, int((day.back + 5.0) / BIN_S), steps)
    for kind in efforts:
        total = sum(o[kind] for o in offered)
        verdict.figures[f"served_{kind}"] = sum(s[kind] for s in served) / max(total, 1)
    times = sorted(a.ended - a.at for a in asks.values() if a.word == "served")
    for share in (50, 99):
        verdict.figures[f"p{share}_ms"] = 1000 * times[int(len(times) * share / 100)] if times else 0.0
    words = Counter(a.word for a in asks.values())
    verdict.figures |= {f"asks_{word or 'open'}": float(n) for word, n in words.items()}


def _measure_requests(day: Scenario, seen: RunLogs, asks: Mapping[str, RequestLog], verdict: Verdict) -> None:
    """Worth of all that clients asked for, also where they met nobody, and what of it was served; by when
    each asked first."""
    asked, served = [0.0] * bin_count(day), [0.0] * bin_count(day)
    first: dict[int, RequestLog] = {}
    for ask in asks.values():
        first.setdefault(ask.client, ask)
    good = {ask.client for ask in asks.values() if ask.word == "served"}
    for client, ask in first.items():
        b = min(int((ask.at - seen.begun) / BIN_S), len(asked) - 1)
        asked[b] += day.worth[ask.kind]
        served[b] += day.worth[ask.kind] if client in good else 0.0
    verdict.series["worth asked"], verdict.series["worth of asked"] = asked, served
    verdict.figures["worth_of_asked"] = _ratio(served, asked, 0, len(asked))
    if day.out:
        begin, end = int(day.out / BIN_S), int(day.back / BIN_S)
        lost = sum(asked[begin:end]) - sum(served[begin:end])
        verdict.figures["worth_out_of_asked"] = _ratio(served, asked, begin, end)
        verdict.figures["worth_lost_a_second"] = lost / (day.back - day.out)
        verdict.figures["worth_before_of_asked"] = _ratio(served, asked, 0, begin)
    if any(verb == "lives" for _, verb, _ in seen.marks):
        verdict.figures["second_processes_alive"] = float(sum(v == "lives" for _, v, _ in seen.marks))


def relative_utility(one: Verdict, other: Verdict) -> float:
    """The worth served in one run against another of the same load."""
    return sum(one.series["worth served"]) / max(sum(other.series["worth served"]), 1e-9)


def _ratio(got: list[float], most: list[float], begin: int, end: int) -> float:
    return sum(got[begin:end]) / sum(most[begin:end]) if sum(most[begin:end]) else 1.0


def _measure_sends(day: Scenario, seen: RunLogs, found: Mapping[str, list[Send]], verdict: Verdict) -> None:
    """Sends by zone over time, and for the zone that was out: when they ended, and how they came back."""
    steps = bin_count(day)
    sends = {zone: [0.0] * steps for zone in day.zones}
    times = sorted((s.at - seen.begun, s.engine) for sends_ in found.values() for s in sends_)
    for at, engine in times:
        if 0 <= at < day.seconds:
            sends[engine.rstrip("0123456789")][int(at / BIN_S)] += 1
    for zone, row in sends.items():
        verdict.series[f"sends {zone}"] = row
    total = [sum(row[b] for row in sends.values()) for b in range(steps)]
    served = sum(s.how == "served" for sends_ in found.values() for s in sends_)
    verdict.figures["attempts_per_served"] = len(times) / max(served, 1)
    probes = sum(1 for lines in seen.engines.values() for line in lines if line[1] == "probe")
    verdict.figures["probes"] = float(probes)
    if not day.out:
        return

    def share(begin: float, end: float) -> float:
        b, e = int(begin / BIN_S), max(int(end / BIN_S), int(begin / BIN_S) + 1)
        return sum(sends[day.zone][b:e]) / max(sum(total[b:e]), 1)

    figures, fair = verdict.figures, share(1.0, day.out)
    figures["share_before"] = fair
    figures["share_out_0_1s"] = share(day.out, day.out + 1.0)
    figures["share_out_1_3s"] = share(day.out + 1.0, day.out + 3.0)
    figures["share_out_3s_on"] = share(day.out + 3.0, day.back) if day.back > day.out + 3.5 else 0.0
    figures["share_back_first_s"] = share(day.back, day.back + 1.0)
    after = [share(t, t + 1.0) for t in _steps(day.back, day.seconds - 1.0, BIN_S)]
    figures["share_back_most"] = max(after, default=0.0)
    full = [
        t for t, s in zip(_steps(day.back, day.seconds - 1.0, BIN_S), after, strict=True) if s >= 0.8 * fair
    ]
    figures["back_full_after_s"] = full[0] - day.back if full else math.nan


def _steps(begin: float, end: float, step: float) -> list[float]:
    return [begin + i * step for i in range(max(int((end - begin) / step), 0))]


def _measure_fairness(day: Scenario, asks: Mapping[str, RequestLog], verdict: Verdict) -> None:
    """How differently instances with 100 or more of a class treat it."""
    worst = 0.0
    for kind in day.kinds:
        shares = []
        for i in range(day.instances):
            own = [a for a in asks.values() if a.kind == kind.name and a.instance == i and a.number == 0]
            if len(own) >= 100:
                shares.append(sum(a.word == "served" for a in own) / len(own))
        if shares:
            worst = max(worst, max(shares) - min(shares))
    verdict.figures["unlike_between_instances"] = worst


def _measure_moves(ownerless: Mapping[float, int], verdict: Verdict) -> None:
    """Keys that were moved, and for how long at most 99 of 100 of them had no owner: a step of a
    histogram."""
    total, passed = sum(ownerless.values()), 0
    verdict.figures["pins_moved"] = float(total)
    for ms, count in sorted(ownerless.items()):
        passed += count
        if passed >= 0.99 * total:
            verdict.figures["ownerless_p99_ms"] = ms
            return


def summary(rows: Iterable[tuple[str, Verdict]]) -> list[str]:
    """A table of runs, as lines of Markdown."""
    columns = ["worth", "worth_out", "worth_after_5s", "share_out_0_1s", "share_out_1_3s", "share_out_3s_on"]
    columns += ["share_back_first_s", "share_back_most", "back_full_after_s", "p99_ms"]
    rows = list(rows)
    columns += [c for c in SOMETIMES if any(c in verdict.figures for _, verdict in rows)]
    lines = ["| day | findings | " + " | ".join(columns) + " |", "| --- " * (len(columns) + 2) + "|"]
    for name, verdict in rows:
        shown = [f"{verdict.figures[c]:.3g}" if c in verdict.figures else "" for c in columns]
        lines.append(f"| {name} | {len(verdict.findings)} | " + " | ".join(shown) + " |")
    return lines
