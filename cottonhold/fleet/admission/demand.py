"""What an instance was offered lately, as work by utility density. Pure.

The sketches of several instances add up.

Density is utility a ms of work. A step is a quarter octave of it, so that a threshold is off by a fifth at
most. Work is in cores: ms of work a ms. Messages carry the steps with the most work, two bytes each.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

STEPS_PER_OCTAVE = 4
MIN_DENSITY = 2.0**-24  # utility a ms; what is below counts as it
DENSITY_STEPS = 160
MIN_WORK_MS = 1e-3  # what takes less counts as it
MIN_REMAINING_MS = 1e-3  # a step with less remaining work is dropped
MAX_ENCODED_STEPS = 10  # of a message
MAX_CODE = 255
MIN_CODED_CORES, CODE_GROWTH = 0.002, 1.05  # cores on the wire: MIN * GROWTH ** byte, to 490 cores


def density_step(utility: float, work_ms: float) -> int:
    """The step of a request with so much utility and work; 0 for one without any utility."""
    if utility <= 0:
        return 0
    octaves = math.log2(max(utility / max(work_ms, MIN_WORK_MS), MIN_DENSITY) / MIN_DENSITY)
    return min(int(octaves * STEPS_PER_OCTAVE), DENSITY_STEPS - 1)


def density_of_step(step: int) -> float:
    """The lowest utility a ms of work that belongs to a step; at the lowest one also nothing."""
    return MIN_DENSITY * 2 ** (step / STEPS_PER_OCTAVE) if step else 0.0


class Demand:
    """Work offered by step, forgotten with a time constant of `memory_ms`."""

    def __init__(self, now: float, memory_ms: float = 2000.0) -> None:
        self.memory_ms = memory_ms
        self.started_at = self.updated_at = now
        self.work_ms_by_step: dict[int, float] = {}

    def add(self, now: float, step: int, work_ms: float) -> None:
        """A request has arrived."""
        # Weighed as of the last decay: a request must not cost a pass over all steps.
        weight = math.exp((now - self.updated_at) / self.memory_ms)
        self.work_ms_by_step[step] = self.work_ms_by_step.get(step, 0.0) + work_ms * weight

    def rates(self, now: float) -> dict[int, float]:
        """Work offered by step, in cores. A sketch that has just started has seen less than its memory holds,
        and is scaled up accordingly."""
        self._decay(now)
        seen_ms = self.memory_ms * (1 - math.exp(-(now - self.started_at) / self.memory_ms))
        return {step: work_ms / max(seen_ms, 1.0) for step, work_ms in self.work_ms_by_step.items()}

    def _decay(self, now: float) -> None:
        remaining_share = math.exp((self.updated_at - now) / self.memory_ms)
        decayed = {step: work_ms * remaining_share for step, work_ms in self.work_ms_by_step.items()}
        self.work_ms_by_step = {
            step: work_ms for step, work_ms in decayed.items() if work_ms > MIN_REMAINING_MS
        }
        self.updated_at = now


def encode_rates(rates: Mapping[int, float]) -> bytes:
    """The steps with the most work. What is not encoded counts to the next lower step that is: left out,
    small steps would make the demand look less than it is, and the threshold too low."""
    encoded = sorted(sorted(rates, key=lambda step: -rates[step])[:MAX_ENCODED_STEPS], reverse=True)
    sums = dict.fromkeys(encoded, 0.0)
    for step, cores in rates.items():
        sums[next((s for s in encoded if s <= step), encoded[-1])] += cores
    parts = bytearray()
    for step in encoded:
        if sums[step] >= MIN_CODED_CORES:
            parts += bytes((step, encode_cores(sums[step])))
    return bytes(parts)


def encode_cores(cores: float) -> int:
    """Work in cores as a byte; the lowest one also for less."""
    code = round(math.log(max(cores, MIN_CODED_CORES) / MIN_CODED_CORES) / math.log(CODE_GROWTH))
    return min(code, MAX_CODE)


def decode_cores(code: int) -> float:
    """What a byte says, in cores."""
    return MIN_CODED_CORES * CODE_GROWTH**code


def decode_rates(data: bytes) -> dict[int, float] | None:
    """Encoded rates; None if they are malformed."""
    steps, codes = data[::2], data[1::2]
    if len(data) % 2 or len(steps) > MAX_ENCODED_STEPS or any(step >= DENSITY_STEPS for step in steps):
        return None
    return {step: decode_cores(code) for step, code in zip(steps, codes, strict=True)}


def merge_rates(demands: Iterable[Mapping[int, float]], max_cores_each: float) -> dict[int, float]:
    """The sum of all; of each the densest `max_cores_each` count.

    Scaled down as a whole, a demand with much of all kinds would count for less of the dense ones than it
    has, and the threshold would be too low.
    """
    total: dict[int, float] = {}
    for rates in demands:
        remaining = max_cores_each
        for step in sorted(rates, reverse=True):
            cores = min(rates[step], remaining)
            remaining -= cores
            total[step] = total.get(step, 0.0) + cores
    return total
