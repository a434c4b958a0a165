"""Loads by what they are, whatever asked for them and wherever: run once, one at a time on a key, in order.

A client that asks again comes with another id, maybe at another instance, so ids tell nothing. What a load is
stands in its statement: its key and its number. Pure.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cottonhold.emulator.fault_injection.event_log import Execution, RequestLog, Send, Verdict
from cottonhold.emulator.fault_injection.script import Scenario

NEVER_RAN = ("overload", "nobody", "crashed")  # answers that prove that nothing of it was done


@dataclass(slots=True)
class LoadWork:
    """One load: its tries and its executions, by time."""

    key: str
    number: int
    tries: list[RequestLog] = field(default_factory=list)
    runs: list[Execution] = field(default_factory=list)

    @property
    def told(self) -> float:
        """When its client had heard of its last end."""
        return max((t.ended for t in self.tries), default=math.inf)

    @property
    def asked(self) -> float:
        """When its client first asked."""
        return min((t.at for t in self.tries), default=-math.inf)


def load_works(asks: Mapping[str, RequestLog], runs: Mapping[str, Sequence[Execution]]) -> list[LoadWork]:
    """All loads that came to an engine. An attempt that never began is no execution."""
    works: dict[tuple[str, int], LoadWork] = {}
    tries: dict[int, list[RequestLog]] = defaultdict(list)
    for ask in asks.values():
        tries[ask.client].append(ask)
    for ref, found in runs.items():
        for run in found:
            if run.key:
                work = works.setdefault((run.key, run.number), LoadWork(run.key, run.number))
                if not work.tries and ref in asks:
                    work.tries = tries[asks[ref].client]
                if run.began < math.inf:
                    work.runs.append(run)
    for work in works.values():
        work.runs.sort(key=lambda r: r.began)
    return list(works.values())


def check_executions(
    day: Scenario,
    asks: Mapping[str, RequestLog],
    runs: Mapping[str, Sequence[Execution]],
    sends: Mapping[str, Sequence[Send]],
    verdict: Verdict,
) -> None:
    """Each load is run once. Where the day says so: one of a key at a time over all instances, and one that
    was asked for after the other's end was told begins after it."""
    works = load_works(asks, runs)
    _check_duplicates(works, verdict)
    _count_retries(asks, runs, sends, verdict)
    found = _overlaps(works) + _reversed(works)
    verdict.figures["order_across"] = float(len(found))
    if day.order_across:
        verdict.findings += found


def _check_duplicates(works: Sequence[LoadWork], verdict: Verdict) -> None:
    twice = 0
    for work in works:
        if len(work.runs) > 1:
            twice += 1
            where = ", ".join(f"{r.engine} ({r.how or 'open'})" for r in work.runs)
            verdict.findings.append(f"twice: load {work.number} on {work.key} was run by {where}")
    verdict.figures["loads"] = float(len(works))
    verdict.figures["loads_run_twice"] = float(twice)


def _count_retries(
    asks: Mapping[str, RequestLog],
    runs: Mapping[str, Sequence[Execution]],
    sends: Mapping[str, Sequence[Send]],
    verdict: Verdict,
) -> None:
    """Loads that went to an engine although an earlier attempt may have run: luck, if it had not."""
    loads = {ref for ref, found in runs.items() if any(r.key for r in found)}
    out: dict[int, list[Send]] = defaultdict(list)
    for ref in loads & asks.keys():
        out[asks[ref].client] += [s for s in sends.get(ref, ()) if s.how not in NEVER_RAN]
    verdict.figures["loads_sent_again"] = float(sum(len(found) > 1 for found in out.values()))


def _by_key(works: Sequence[LoadWork]) -> dict[str, list[tuple[Execution, LoadWork]]]:
    keyed: dict[str, list[tuple[Execution, LoadWork]]] = defaultdict(list)
    for work in works:
        keyed[work.key] += [(run, work) for run in work.runs]
    for found in keyed.values():
        found.sort(key=lambda row: row[0].began)
    return keyed


def _overlaps(works: Sequence[LoadWork]) -> list[str]:
    found = []
    for key, rows in _by_key(works).items():
        last: tuple[Execution, LoadWork] | None = None  # of those that began, the one that ends last
        for run, work in rows:
            if last is not None and last[1] is not work and run.began < last[0].ended:
                where = f"{last[0].engine} and {run.engine}"
                found.append(
                    f"order: loads {last[1].number} and {work.number} on {key} ran at once ({where})"
                )
            if last is None or run.ended > last[0].ended:
                last = run, work
    return found


def _reversed(works: Sequence[LoadWork]) -> list[str]:
    """One whose end was told before another of its key was asked for must not begin after that."""
    found = []
    for key, rows in _by_key(works).items():
        last: LoadWork | None = None  # of those that have begun, the one that was asked for last
        for _, work in rows:
            if last is not None and work.told < last.asked:
                found.append(
                    f"order: load {work.number} on {key} began after load {last.number}, "
                    "which was asked for when it had ended"
                )
            if last is None or work.asked > last.asked:
                last = work
    return found
