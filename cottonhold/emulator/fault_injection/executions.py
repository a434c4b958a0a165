"""Checks rules about loads across requests and instances; does no I/O.

Each load runs once; loads on one key run one at a time and in order. A client that retries a load uses
another request id and maybe another instance, so a load is identified by the key and the number in its
statement.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cottonhold.emulator.fault_injection.event_log import (
    Execution,
    RequestLog,
    RunHistory,
    Send,
    Verdict,
)

NEVER_RAN = ("overload", "nobody", "crashed")  # engine statuses that mean that no part of the load has run


@dataclass(slots=True)
class LoadHistory:
    """One load, with its client's attempts, and its executions in the order in which they began."""

    key: str
    number: int
    attempts: list[RequestLog] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)

    @property
    def notified_at(self) -> float:
        """When the client's last attempt ended; infinite without attempts."""
        return max((attempt.ended_at for attempt in self.attempts), default=math.inf)

    @property
    def requested_at(self) -> float:
        """When the client made its first attempt."""
        return min((attempt.started_at for attempt in self.attempts), default=-math.inf)


def load_histories(
    requests: Mapping[str, RequestLog], executions: Mapping[str, Sequence[Execution]]
) -> list[LoadHistory]:
    """Return all loads that arrived at an engine, with those of their executions that began."""
    works: dict[tuple[str, int], LoadHistory] = {}
    attempts: dict[int, list[RequestLog]] = defaultdict(list)
    for request in requests.values():
        attempts[request.client].append(request)
    for request_id, of_request in executions.items():
        for execution in of_request:
            if not execution.key:
                continue
            identity = execution.key, execution.load_number
            work = works.setdefault(identity, LoadHistory(*identity))
            if not work.attempts and request_id in requests:
                work.attempts = attempts[requests[request_id].client]
            if execution.began_at < math.inf:
                work.executions.append(execution)
    for work in works.values():
        work.executions.sort(key=lambda execution: execution.began_at)
    return list(works.values())


def check_executions(history: RunHistory, verdict: Verdict) -> None:
    """Check that each load ran once and, if the scenario orders loads across instances, in order.

    In order means that loads on one key run one at a time, and that a load which was requested after the
    client of another load had received its end begins after that load.
    """
    works = load_histories(history.requests, history.executions)
    _check_duplicates(works, verdict)
    _count_retries(history, verdict)
    findings = _overlaps(works) + _reversals(works)
    verdict.figures["order_across"] = float(len(findings))
    if history.scenario.orders_across:
        verdict.findings += findings


def _check_duplicates(works: Sequence[LoadHistory], verdict: Verdict) -> None:
    duplicates = [work for work in works if len(work.executions) > 1]
    for work in duplicates:
        where = ", ".join(f"{e.engine} ({e.end or 'open'})" for e in work.executions)
        verdict.findings.append(f"twice: load {work.number} on {work.key} ran at {where}")
    verdict.figures["loads"] = float(len(works))
    verdict.figures["loads_run_twice"] = float(len(duplicates))


def _count_retries(history: RunHistory, verdict: Verdict) -> None:
    """Count the loads that were sent to an engine although an earlier attempt may have run."""
    loads = {
        request_id
        for request_id, executions in history.executions.items()
        if any(execution.key for execution in executions)
    }
    may_have_run: dict[int, list[Send]] = defaultdict(list)
    for request_id in loads & history.requests.keys():
        sends = history.sends.get(request_id, ())
        client = history.requests[request_id].client
        may_have_run[client] += [send for send in sends if send.end not in NEVER_RAN]
    verdict.figures["loads_sent_again"] = float(sum(len(sends) > 1 for sends in may_have_run.values()))


def _executions_by_key(works: Sequence[LoadHistory]) -> dict[str, list[tuple[Execution, LoadHistory]]]:
    """Return the executions of each key with their loads, in the order in which they began."""
    by_key: dict[str, list[tuple[Execution, LoadHistory]]] = defaultdict(list)
    for work in works:
        by_key[work.key] += [(execution, work) for execution in work.executions]
    for rows in by_key.values():
        rows.sort(key=lambda row: row[0].began_at)
    return by_key


def _overlaps(works: Sequence[LoadHistory]) -> list[str]:
    """Return a finding for each execution that began while another load of its key ran."""
    findings = []
    for key, rows in _executions_by_key(works).items():
        last: tuple[Execution, LoadHistory] | None = None  # ends last of all that began
        for execution, work in rows:
            if last is not None and last[1] is not work and execution.began_at < last[0].ended_at:
                where = f"{last[0].engine} and {execution.engine}"
                findings.append(
                    f"order: loads {last[1].number} and {work.number} on {key} ran at once ({where})"
                )
            if last is None or execution.ended_at > last[0].ended_at:
                last = execution, work
    return findings


def _reversals(works: Sequence[LoadHistory]) -> list[str]:
    """Return a finding for each load that began after a load of its key that was requested after its end."""
    findings = []
    for key, rows in _executions_by_key(works).items():
        last: LoadHistory | None = None  # requested last of all loads that began
        for _, work in rows:
            if last is not None and work.notified_at < last.requested_at:
                findings.append(
                    f"order: load {work.number} on {key} began after load {last.number}, "
                    "which was requested after it had ended"
                )
            if last is None or work.requested_at > last.requested_at:
                last = work
    return findings
