"""What an instance was offered lately, as work by worth density: a sketch that adds up over instances. Pure.

Density is worth a ms of work. A step is a quarter octave of it, so that a price errs by a fifth at most. Work
is in cores: ms of work a ms. Words carry the steps with the most work, two bytes each.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

STEPS_PER_OCTAVE = 4
LOWEST = 2.0**-24  # worth a ms; what is below counts as it
STEPS = 160
TOLD = 10  # steps that a word carries
LEAST, GROWTH = 0.002, 1.05  # cores of work on the wire: LEAST * GROWTH ** byte, to 490 cores


def step_of(worth: float, work: float) -> int:
    """The step of a request with so much worth and so many ms of work; 0 for what is worth nothing."""
    if worth <= 0:
        return 0
    octaves = math.log2(max(worth / max(work, 1e-3), LOWEST) / LOWEST)
    return min(int(octaves * STEPS_PER_OCTAVE), STEPS - 1)


class Demand:
    """Work offered by step, forgotten with a time constant in ms."""

    def __init__(self, now: float, memory: float = 2000.0) -> None:
        self.memory, self.at = memory, now
        self.began = now
        self.work: dict[int, float] = {}

    def add(self, now: float, step: int, work: float) -> None:
        """A request has come; work in ms."""
        # What comes between two fadings is weighed as of the last one: a request must not cost all steps.
        self.work[step] = self.work.get(step, 0.0) + work * math.exp((now - self.at) / self.memory)

    def rates(self, now: float) -> dict[int, float]:
        """Work offered by step, in cores."""
        self._fade(now)
        # Danger: a young one has seen less than its memory holds, and would look idle.
        seen = self.memory * (1 - math.exp(-(now - self.began) / self.memory))
        return {step: work / max(seen, 1.0) for step, work in self.work.items()}

    def _fade(self, now: float) -> None:
        kept = math.exp((self.at - now) / self.memory)
        self.work = {step: work * kept for step, work in self.work.items() if work * kept > 1e-3}
        self.at = now


def pack(rates: Mapping[int, float]) -> bytes:
    """The steps with the most work; what no longer fits counts to the next lower step that is told."""
    told = sorted(sorted(rates, key=lambda s: -rates[s])[:TOLD], reverse=True)
    sums = dict.fromkeys(told, 0.0)
    for step, work in rates.items():
        # Danger: left out, small steps would make the demand look less than it is, and the price too low.
        sums[next((s for s in told if s <= step), told[-1])] += work
    parts = bytearray()
    for step in told:
        if sums[step] >= LEAST:
            parts += bytes((step, code_of(sums[step])))
    return bytes(parts)


def code_of(work: float) -> int:
    """Work in cores as a byte; the lowest one also for less."""
    return min(round(math.log(max(work, LEAST) / LEAST) / math.log(GROWTH)), 255)


def work_of(code: int) -> float:
    """What a byte says, in cores."""
    return LEAST * GROWTH**code


def read(data: bytes) -> dict[int, float] | None:
    """A told demand; None if it makes no sense."""
    if len(data) % 2 or len(data) > 2 * TOLD or any(step >= STEPS for step in data[::2]):
        return None
    return {step: work_of(code) for step, code in zip(data[::2], data[1::2], strict=True)}


def merge(demands: Iterable[Mapping[int, float]], most: float) -> dict[int, float]:
    """The sum of all; of each the densest `most` cores count.

    Danger: scaled down as a whole, one that has much of all kinds counted for less of the dear ones than it
    had, and the price was too low.
    """
    total: dict[int, float] = {}
    for rates in demands:
        left = most
        for step in sorted(rates, reverse=True):
            work = min(rates[step], left)
            left -= work
            total[step] = total.get(step, 0.0) + work
    return total
