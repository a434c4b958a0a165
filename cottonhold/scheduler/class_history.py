"""What answers taught of one class of queries: its work, its memory and how long its clients wait."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cottonhold.scheduler.moving_average import ArrivalRate


@dataclass(slots=True)
class ClassHistory:
    """Averages over the answers of one class.

    A log bias is the mean logarithm of measured over estimated: its exponential corrects an estimate.
    """

    unusual_remaining_times: ArrivalRate  # queries that came with a time left unlike that of most
    unserved: ArrivalRate  # queries that were rejected or given up
    work_log_bias: float = 0.0
    memory_log_bias: float = 0.0
    mean_work_ms: float = 0.0
    mean_memory_mb: float = 0.0
    run_time_error: float = 0.0  # share by which runs take longer than planned
    usual_remaining_ms: float = 0.0  # the time that most clients leave a first try
    remaining_time_votes: int = 0  # majority vote on it
    answers_seen: int = 0

    @classmethod
    def empty(cls, memory_ms: float) -> ClassHistory:
        """Of a class without answers; its arrival rates forget over `memory_ms`."""
        return cls(ArrivalRate(memory_ms), ArrivalRate(memory_ms))

    def record_work(
        self, gain: float, work_ms: float, estimated_work_ms: float, implied_work_ms: float
    ) -> None:
        """Move towards the work of one answer.

        The mean starts at the first answer: an average that started at zero would plan the first queries
        at a fraction of their work and overrun the budgets of engines that are warming up.
        """
        self.answers_seen += 1
        if estimated_work_ms > 0:
            self.work_log_bias += gain * (math.log(implied_work_ms / estimated_work_ms) - self.work_log_bias)
        self.mean_work_ms += max(gain, 1 / self.answers_seen) * (work_ms - self.mean_work_ms)

    def record_memory(self, gain: float, memory_mb: float, estimated_memory_mb: float) -> None:
        """Move towards the memory of one answer; an answer that reports none teaches nothing."""
        if memory_mb > 0:
            self.mean_memory_mb += gain * (memory_mb - self.mean_memory_mb)
            if estimated_memory_mb > 0:
                self.record_memory_bias(gain, memory_mb, estimated_memory_mb)

    def record_memory_bias(self, gain: float, memory_mb: float, estimated_memory_mb: float) -> None:
        """Move the bias towards the memory that a query with an estimate took."""
        self.memory_log_bias += gain * (math.log(memory_mb / estimated_memory_mb) - self.memory_log_bias)

    def record_remaining_time(
        self, now: float, remaining_ms: float, tolerance: float, max_votes: int | None
    ) -> bool:
        """Whether a query comes with the time left that is usual in its class.

        With `max_votes` it votes on what is usual (Boyer-Moore majority); None for a query without a vote.
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
    """Subtract the mean work bias of the classes with answers from each of them.

    Without any there is no mean: the answer may be of a class that a change of settings has removed.
    """
    answered = [history for history in histories if history.answers_seen]
    if not answered:
        return
    mean = sum(history.work_log_bias for history in answered) / len(answered)
    for history in answered:
        history.work_log_bias -= mean
