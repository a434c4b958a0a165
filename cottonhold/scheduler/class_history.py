"""What answers taught of one class of queries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cottonhold.scheduler.moving_average import Traffic

if TYPE_CHECKING:
    from cottonhold.scheduler.state import Query


@dataclass(slots=True)
class Learned:
    """What answers taught of one class: log bias of told cost, of memory, mean cost and error; how often
    queries came with a time left unlike that of most, and how often one was turned away or given up."""

    unlike: Traffic
    turned: Traffic
    bias: float = 0.0
    memory_bias: float = 0.0
    cost: float = 0.0
    memory: float = 0.0
    delta: float = 0.0
    patience: float = 0.0
    votes: int = 0
    seen: int = 0

    @classmethod
    def blank(cls, memory_ms: float) -> Learned:
        """Of a class that nothing is known of."""
        return cls(Traffic(memory_ms), Traffic(memory_ms))

    def answer(self, gain: float, query: Query, cost: float, implied: float, memory: float) -> None:
        """Move towards the cost and memory that one answer told or implied."""
        self.seen += 1
        if query.told > 0:
            self.bias += gain * (math.log(implied / query.told) - self.bias)
        # Danger: begun at nothing, the mean was half of the first answer, and gateways that had just started
        # sent cold engines twice the work of their bounds.
        self.cost += max(gain, 1 / self.seen) * (cost - self.cost)
        if memory > 0:
            self.memory += gain * (memory - self.memory)
            if query.told_memory > 0:
                self.needed(gain, query, memory)

    def needed(self, gain: float, query: Query, memory: float) -> None:
        """Move the bias towards the memory that a query with a told need took."""
        self.memory_bias += gain * (math.log(memory / query.told_memory) - self.memory_bias)

    def left_alike(self, now: float, left: float, within: float, votes: int | None) -> bool:
        """Whether a query comes with a time left like that of most; its vote on that, where it has one."""
        alike = abs(left - self.patience) <= within * self.patience
        if votes is not None:
            self.votes = min(self.votes + (1 if alike else -1), votes)
            if self.votes < 0:
                self.patience = left
                self.votes = 0
        if not alike:
            self.unlike.add(now)
        return alike


def centre_bias(classes: list[Learned]) -> None:
    """Take the mean bias of the classes seen from each of them."""
    seen = [c for c in classes if c.seen]
    # Danger: an answer for a class that a reload had taken away came before any for a class in force; the
    # division failed the whole step, and with it other requests that ended in the same one.
    if not seen:
        return
    mean = sum(c.bias for c in seen) / len(seen)
    for c in seen:
        c.bias -= mean
