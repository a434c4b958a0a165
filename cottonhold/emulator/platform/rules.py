"""The rules that a run is judged by, from what clients sent and were answered and what engines received."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from cottonhold.emulator.platform.client import Answer, Verdict
from cottonhold.emulator.platform.configuration import LOAD
from cottonhold.emulator.platform.engine import DROPPED, LOST, RUNNING, SERVED, TIMED_OUT, ReceivedAttempt

LATE_S = 0.55  # time after a request's deadline until which its answer must come, with 50 ms of slack
GONE_S = 0.15  # time after a client left from which no attempt may begin, with 50 ms of slack
OVERLAP_S = 0.05  # two attempts of one request may seem to overlap for so long
MAY_HAVE_RUN = (RUNNING, SERVED, DROPPED, LOST, TIMED_OUT)


@dataclass(slots=True)
class SentRequest:
    """A request as its client saw it; times are in s of the monotonic clock.

    Attributes:
        class_name: The class.
        request_id: The id.
        sent_at: When its last byte was written.
        timeout_s: Timeout of the client.
        answer: The answer; None if none came.
        answered_at: When the answer was whole; 0 without one.
        left_at: When the client closed its connection without waiting on; 0 if it did not.
        is_excused: Whether no answer is owed: the process was killed, or the client left.
    """

    class_name: str
    request_id: str
    sent_at: float
    timeout_s: float
    answer: Answer | None = None
    answered_at: float = 0.0
    left_at: float = 0.0
    is_excused: bool = False


def broken_rules(
    requests: Iterable[SentRequest], attempts: Iterable[ReceivedAttempt], lag_s: float
) -> list[str]:
    """Return one line for each break of a rule.

    Args:
        requests: What clients sent.
        attempts: What engines received.
        lag_s: By how much the times that were noted may be late.
    """
    by_id: dict[str, list[ReceivedAttempt]] = defaultdict(list)
    for attempt in attempts:
        by_id[attempt.request_id].append(attempt)
    breaks = list[str]()
    for request in requests:
        own = sorted(by_id.get(request.request_id, []), key=lambda attempt: attempt.received_at)
        for text in [*_answer_breaks(request, own, lag_s), *_attempt_breaks(request, own, lag_s)]:
            breaks.append(f"{request.class_name} {request.request_id}: {text}")
    return breaks


def _answer_breaks(request: SentRequest, attempts: list[ReceivedAttempt], lag_s: float) -> list[str]:
    """Check that the request has one readable answer in time, and that it is true."""
    if request.answer is None or request.answer.verdict is Verdict.NONE:
        return [] if request.is_excused else [f"lost: no answer ({request.answer})"]
    if request.answer.verdict is Verdict.UNREADABLE:
        return [f"lost: {request.answer.text}"]
    breaks = list[str]()
    if request.answered_at > request.sent_at + request.timeout_s + LATE_S + lag_s and not request.is_excused:
        breaks.append(f"late: {request.answered_at - request.sent_at:.2f} s of {request.timeout_s:.2f} s")
    ran = [attempt for attempt in attempts if attempt.state in MAY_HAVE_RUN]
    if request.answer.verdict is Verdict.SERVED and not any(attempt.state == SERVED for attempt in attempts):
        breaks.append("served without a run")
    if request.answer.verdict is Verdict.REFUSED and request.class_name == LOAD and ran:
        breaks.append(f"refused though it may have run: {[attempt.state for attempt in ran]}")
    return breaks


def _attempt_breaks(request: SentRequest, attempts: list[ReceivedAttempt], lag_s: float) -> list[str]:
    """Check that the request ran as often as it may, one attempt at a time, and only for a waiting client."""
    breaks = list[str]()
    if request.class_name == LOAD and len(attempts) > 1:
        breaks.append(f"duplicate: {len(attempts)} attempts of a load")
    for earlier, later in zip(attempts, attempts[1:], strict=False):
        if earlier.state == RUNNING or earlier.ended_at > later.received_at + OVERLAP_S + lag_s:
            breaks.append(f"one out: at {earlier.engine} and {later.engine} at the same time")
    if request.left_at and attempts and attempts[-1].received_at > request.left_at + GONE_S + lag_s:
        after_s = attempts[-1].received_at - request.left_at
        breaks.append(f"lost: sent {after_s:.2f} s after its client left")
    return breaks
