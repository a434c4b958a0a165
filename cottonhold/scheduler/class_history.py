"""Statistics of one class of queries: its work, its memory and the time that its clients wait."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cottonhold.scheduler.moving_average import ArrivalRate


@dataclass(slots=True)
class ClassHistory:
    """Averages over the answers of one class.

    Attributes:
        unusual_remaining_times: Rate of queries with an unusual time between arrival and deadline.
        unserved: Rate of queries that were rejected, failed or abandoned by their client.
        work_log_bias: Mean logarithm of actual by estimated work; its exponential corrects an estimate.
        memory_log_bias: Mean logarithm of used by estimated memory; its exponential corrects an estimate.
        mean_work_ms: Mean work, in ms on one thread.
        mean_memory_mb: Mean memory used, in MB.
        run_time_error: Mean share by which runs take longer than planned.
        usual_remaining_ms: Time between arrival and deadline of most first tries, in ms.
        remaining_time_votes: Count of the majority vote on `usual_remaining_ms`.
        answers_seen: Number of answers recorded.
    """

    unusual_remaining_times: ArrivalRate
    unserved: ArrivalRate
    work_log_bias: float = 0.0
    memory_log_bias: float = 0.0
    mean_work_ms: float = 0.0
    mean_memory_mb: float = 0.0
    run_time_error: float = 0.0
    usual_remaining_ms: float = 0.0
    remaining_time_votes: int = 0
    answers_seen: int = 0

    @classmethod
    def empty(cls, time_constant_ms: float) -> ClassHistory:
        """Return the history of a class without answers; its rates decay over `time_constant_ms`."""
        return cls(ArrivalRate(time_constant_ms), ArrivalRate(time_constant_ms))

    def record_work(
        self, gain: float, work_ms: float, estimated_work_ms: float, implied_work_ms: float
    ) -> None:
        """Update the mean work and its bias with one answer.

        The mean starts at the first answer. An average that starts at 0 would underestimate the work of the
        first queries, so that they exceed the budgets of cold engines.

        Args:
            gain: Weight of the answer, from 0 to 1.
            work_ms: Work of the query, in ms; the planned work if the engine reports none.
            estimated_work_ms: The client's estimate, in ms; 0 without an estimate.
            implied_work_ms: Work of the query, in ms; derived from its run time if the engine reports none.
        """
        self.answers_seen += 1
        if estimated_work_ms > 0:
            self.work_log_bias += gain * (math.log(implied_work_ms / estimated_work_ms) - self.work_log_bias)
        self.mean_work_ms += max(gain, 1 / self.answers_seen) * (work_ms - self.mean_work_ms)

    def record_memory(self, gain: float, memory_mb: float, estimated_memory_mb: float) -> None:
        """Update the mean memory and its bias with one answer; an answer that reports none is ignored."""
        if memory_mb > 0:
            self.mean_memory_mb += gain * (memory_mb - self.mean_memory_mb)
            if estimated_memory_mb > 0:
                self.record_memory_bias(gain, memory_mb, estimated_memory_mb)

    def record_memory_bias(self, gain: float, memory_mb: float, estimated_memory_mb: float) -> None:
        """Update the memory bias with a query that had an estimate."""
        self.memory_log_bias += gain * (math.log(memory_mb / estimated_memory_mb) - self.memory_log_bias)

    def record_remaining_time(
        self, now: float, remaining_ms: float, tolerance: float, max_votes: int | None
    ) -> bool:
        """Record the time until the deadline of an arriving query, and return whether it is usual.

        The usual time is found by a Boyer-Moore majority vote.

        Args:
            now: Present time, in ms.
            remaining_ms: Time until the query's deadline, in ms.
            tolerance: Relative difference up to which a time equals the usual one.
            max_votes: Upper limit of the vote count; None if the query does not vote.
        """
        is_usual = abs(remaining_ms - self.usual_remaining_ms) <= tolerance * self.usual_remaining_ms
        if max_votes is not None:
            self.remaining_time_votes = min(self.remaining_time_votes + (1 if is_usual else -1), max_votes)
            if self.remaining_time_votes < 0:
                self.usual_remaining_ms = remaining_ms
                self.remaining_time_votes = 0
        if not is_usual:
            self.unusual_remaining_times.add(now)
        return is_usual


def centre_work_biases(histories: list[ClassHistory]) -> None:
    """Subtract the mean work bias of all classes with answers from the bias of each of them.

    Does nothing if no class has answers, as after a change of settings that removed the answer's class.
    """
    answered = [history for history in histories if history.answers_seen]
    if not answered:
        return
    mean = sum(history.work_log_bias for history in answered) / len(answered)
    for history in answered:
        history.work_log_bias -= mean
