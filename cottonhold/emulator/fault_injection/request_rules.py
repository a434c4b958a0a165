"""Checks rules about single requests and sends; does no I/O.

Each request receives one final answer in time, has one attempt open at a time, and is not sent to an engine
that drains.
"""

from __future__ import annotations

import math
from collections import defaultdict

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.event_log import (
    ExecutionEnd,
    MarkVerb,
    RequestLog,
    RunHistory,
    RunLogs,
    Verdict,
)

RESPONSE_SLACK_S = 0.5  # tolerance for responses and announcements that are late on a busy machine
INSTANCE_START_S = 3.0  # time until a new process has received the engine list
LINK_DELAY_S = 0.1  # longest time between a cancel and its record on the link, when the harness is busy
DISTURBANCE_LEAD_S = 1.0  # a request within this time after its instance failed may receive no response
MIN_ORDER_GAP_S = 0.05  # loads that are sent with a shorter gap may arrive in either order
# Engine statuses that mean that the load has not run and may be sent again.
NOT_STARTED = ("overload", "nobody")
# An instance receives no announcements from a mark of the first kind until one of the second kind.
UNREACHABLE_FROM = (MarkVerb.SOURCE_DISCONNECTED, MarkVerb.STOP, MarkVerb.KILL)
REACHABLE_FROM = (MarkVerb.SOURCE_RECONNECTED, MarkVerb.CONTINUE, MarkVerb.START)


def is_disturbed(logs: RunLogs, name: str, begin: float, end: float) -> bool:
    """Return whether a process was killed or stopped between two times, so that it could not respond."""
    stopped_at = None
    for mark in sorted(logs.marks):
        if mark.name != name:
            continue
        if mark.verb == MarkVerb.STOP:
            stopped_at = mark.at
        elif mark.verb == MarkVerb.CONTINUE and stopped_at is not None:
            if stopped_at <= end and mark.at >= begin:
                return True
            stopped_at = None
        elif mark.verb == MarkVerb.KILL and begin <= mark.at <= end:
            return True
    return stopped_at is not None and stopped_at <= end


def is_excused(logs: RunLogs, request: RequestLog) -> bool:
    """Return whether the instance of a request was killed or stopped shortly before it or during it."""
    begin = request.started_at - DISTURBANCE_LEAD_S
    end = request.started_at + request.timeout_ms / 1000 + RESPONSE_SLACK_S
    return is_disturbed(logs, f"n{request.instance}", begin, end)


def check_requests(history: RunHistory, verdict: Verdict) -> None:
    """Check that each request has one final answer in time, and ran at the engine named in its result."""
    for request_id, request in history.requests.items():
        if request.end_count > 1:
            verdict.findings.append(f"answers: {request_id} has {request.end_count} ends")
        is_unanswered = request.end in (RequestEnd.TIMED_OUT, RequestEnd.BROKEN, None)
        if is_unanswered and not is_excused(history.logs, request):
            verdict.findings.append(
                f"answers: {request_id} at n{request.instance} received none within its timeout"
            )
        if request.end is RequestEnd.SERVED:
            engine = request.text
            executions = history.executions.get(request_id, [])
            if not any(e.engine == engine and e.end is ExecutionEnd.DONE for e in executions):
                verdict.findings.append(
                    f"made: {request_id} was answered as served by '{engine}', which did not run it"
                )


def check_sends(history: RunHistory, verdict: Verdict) -> None:
    """Check that no load is resent once it may have run, and that a request has one open attempt at most."""
    _check_loads(history, verdict)
    _check_single_attempt(history, verdict)


def _check_loads(history: RunHistory, verdict: Verdict) -> None:
    loads = {kind.name for kind in history.scenario.request_classes if kind.is_load}
    for request_id, sends in history.sends.items():
        if request_id in history.requests and history.requests[request_id].class_name in loads:
            may_have_run = [send for send in sends if send.end not in NOT_STARTED]
            if len(may_have_run) > 1:
                where = ", ".join(f"{send.engine} ({send.end or 'open'})" for send in may_have_run)
                verdict.findings.append(f"loads: {request_id} may have run more than once: {where}")


def _check_single_attempt(history: RunHistory, verdict: Verdict) -> None:
    """Check that the attempts of a request do not overlap.

    The record of a cancel on the link may follow the next send by LINK_DELAY_S, and by stalls of the harness.
    """
    for request_id, sends in history.sends.items():
        for send, following in zip(sends, sends[1:], strict=False):
            overlap_s = send.ended_at - following.sent_at
            stalled_s = history.logs.stalled_s(following.sent_at, send.ended_at)
            if overlap_s > LINK_DELAY_S + stalled_s:
                verdict.findings.append(
                    f"one out: {request_id} was open at {send.engine} and {following.engine} simultaneously"
                )


def check_order(history: RunHistory, verdict: Verdict) -> None:
    """Check that loads on one key begin in the order in which an instance accepted them."""
    by_key: dict[tuple[int, str], list[tuple[float, float, str]]] = defaultdict(list)
    for request_id, executions in history.executions.items():
        begun = [e for e in executions if e.key and e.began_at < math.inf]
        if begun and request_id in history.requests:
            request = history.requests[request_id]
            accepted_at = request.sent_at if request.sent_at < math.inf else request.started_at
            by_key[request.instance, begun[0].key].append((accepted_at, begun[0].began_at, request_id))
    for (instance, key), rows in by_key.items():
        rows.sort()
        for (accepted_at, began_at, earlier), (later_at, later_began_at, later) in zip(
            rows, rows[1:], strict=False
        ):
            if later_began_at < began_at and later_at - accepted_at > MIN_ORDER_GAP_S:
                verdict.findings.append(f"order: {later} overtook {earlier} on {key} at n{instance}")


def check_engine_overload(history: RunHistory, verdict: Verdict) -> None:
    """Check that the instances together did not overload a cold engine."""
    for engine, lines in history.logs.engines.items():
        for at, event, *_ in lines:
            if event == "tipped":
                since_start_s = at - history.logs.load_started_at
                verdict.findings.append(
                    f"cold: {engine} was overloaded {since_start_s:.1f} s after the start of the load"
                )


def check_drains(history: RunHistory, verdict: Verdict) -> None:
    """Check that no instance sends to a draining engine more than RESPONSE_SLACK_S after it was notified."""
    drains = _drains(history.logs)
    for request_id, sends in history.sends.items():
        for send in sends:
            for begin, end in drains[send.engine]:
                known_at = _notified_at(history.logs, send.instance, begin)
                if known_at + RESPONSE_SLACK_S < send.sent_at < end:
                    late_s = send.sent_at - begin
                    verdict.findings.append(
                        f"drain: {request_id} was sent to {send.engine} {late_s:.2f} s after its drain, "
                        f"by {send.instance}"
                    )


def _drains(logs: RunLogs) -> dict[str, list[tuple[float, float]]]:
    """Return the begin and end of each drain, by engine."""
    drains: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for mark in sorted(logs.marks):
        of_engine = drains[mark.name]
        if mark.verb == MarkVerb.DRAIN:
            of_engine.append((mark.at, math.inf))
        elif mark.verb == MarkVerb.UNDRAIN and of_engine:
            of_engine[-1] = (of_engine[-1][0], mark.at)
    return drains


def _notified_at(logs: RunLogs, instance: str, at: float) -> float:
    """Return the earliest time at which an instance can have received an announcement.

    That is later than the announcement if the instance was stopped, down or disconnected from the source of
    the engine list then; infinite if it never became reachable again.

    Args:
        logs: Logs of the run.
        instance: Name of the instance.
        at: Time of the announcement.
    """
    unreachable_since = math.inf
    for mark in sorted(logs.marks):
        if mark.name != instance:
            continue
        if mark.verb in UNREACHABLE_FROM:
            unreachable_since = min(unreachable_since, mark.at)
        elif mark.verb in REACHABLE_FROM:
            if unreachable_since <= at + RESPONSE_SLACK_S and mark.at >= at:
                return mark.at + (INSTANCE_START_S if mark.verb == MarkVerb.START else 0.0)
            unreachable_since = math.inf
    return at if unreachable_since > at + RESPONSE_SLACK_S else math.inf
