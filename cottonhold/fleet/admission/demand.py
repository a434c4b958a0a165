"""What an instance was offered lately, as work by worth density: a sketch that adds up over instances. Pure.

Density is worth a ms of work. A step is a quarter octave of it, so that a price errs by a fifth at most. Work
is in cores: ms of work a ms. Words carry the steps with the most work, two bytes each.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

STEPS_PER_OCTAVE = 4
MIN_DENSITY = 2.0**-24  # worth a ms; what is below counts as it
DENSITY_STEPS = 160
MAX_ENCODED_STEPS = 10  # steps that a word carries
MIN_CODED_CORES, CODE_GROWTH = 0.002, 1.05  # cores of work on the wire: LEAST * GROWTH ** byte, to 490 cores


def density_step(worth: float, work: float) -> int:
    """The step of a request with so much worth and so many ms of work; 0 for what is worth nothing."""
    if worth <= 0:
        return 0
    octaves = math.log2(max(worth / max(work, 1e-3), MIN_DENSITY) / MIN_DENSITY)
    return min(int(octaves * STEPS_PER_OCTAVE), DENSITY_STEPS - 1)


class Demand:
    """Work offered by step, forgotten with a time constant in ms."""

    def __init__(self, now: float, memory: float = 2000.0) -> None:
        self.memory_ms, self.updated_at = memory, now
        self.started_at = now
        self.work_ms_by_step: dict[int, float] = {}

    def add(self, now: float, step: int, work: float) -> None:
        """A request has come; work in ms."""
        # What comes between two fadings is weighed as of the last one: a request must not cost all steps.
        self.work_ms_by_step[step] = self.work_ms_by_step.get(step, 0.0) + work * math.exp(
            (now - self.updated_at) / self.memory_ms
        )

    def rates(self, now: float) -> dict[int, float]:
        """Work offered by step, in cores."""
        self._fade(now)
        # Danger: a young one has seen less than its memory holds, and would look idle.
        seen = self.memory_ms * (1 - math.exp(-(now - self.started_at) / self.memory_ms))
        return {step: work / max(seen, 1.0) for step, work in self.work_ms_by_step.items()}

    def _fade(self, now: float) -> None:
        kept = math.exp((self.updated_at - now) / self.memory_ms)
        self.work_ms_by_step = {
            step: work * kept for step, work in self.work_ms_by_step.items() if work * kept > 1e-3
        }
        self.updated_at = now


def encode_rates(rates: Mapping[int, float]) -> bytes:
    """The steps with the most work; what no longer fits counts to the next lower step that is told."""
    told = sorted(sorted(rates, key=lambda s: -rates[s])[:MAX_ENCODED_STEPS], reverse=True)
    sums = dict.fromkeys(told, 0.0)
    for step, work in rates.items():
        # Danger: left out, small steps would make the demand look less than it is, and the price too low.
        sums[next((s for s in told if s <= step), told[-1])] += work
    parts = bytearray()
    for step in told:
        if sums[step] >= MIN_CODED_CORES:
            parts += bytes((step, encode_cores(sums[step])))
    return bytes(parts)


def encode_cores(work: float) -> int:
    """Work in cores as a byte; the lowest one also for less."""
    return min(round(math.log(max(work, MIN_CODED_CORES) / MIN_CODED_CORES) / math.log(CODE_GROWTH)), 255)


def decode_cores(code: int) -> float:
    """What a byte says, in cores."""
    return MIN_CODED_CORES * CODE_GROWTH**code


def decode_rates(data: bytes) -> dict[int, float] | None:
    """A told demand; None if it makes no sense."""
    if len(data) % 2 or len(data) > 2 * MAX_ENCODED_STEPS or any(step >= DENSITY_STEPS for step in data[::2]):
        return None
    return {step: decode_cores(code) for step, code in zip(data[::2], data[1::2], strict=True)}


def merge_rates(demands: Iterable[Mapping[int, float]], most: float) -> dict[int, float]:
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
