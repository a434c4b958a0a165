"""Histogram of the work that was recently offered to an instance, by utility density; does no I/O.

Density is utility for each ms of work. A step of the histogram is a quarter octave of density, so the error
of a threshold is at most a fifth. Work is measured in cores, that is, in ms of work for each ms of time.
Messages contain the steps with the most work, in two bytes each. The histograms of several instances can be
added.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

STEPS_PER_OCTAVE = 4
MIN_DENSITY = 2.0**-24  # utility for each ms of work; lower densities are treated as this one
DENSITY_STEPS = 160  # number of steps
MIN_WORK_MS = 1e-3  # less work is treated as this
MIN_REMAINING_MS = 1e-3  # a step whose work has decayed to this or less is dropped
MAX_ENCODED_STEPS = 10  # maximum number of steps in a message
MAX_CODE = 255  # highest encoded value of a number of cores
# Cores are encoded in one byte as MIN_CODED_CORES * CODE_GROWTH ** byte, at most 490 cores.
MIN_CODED_CORES, CODE_GROWTH = 0.002, 1.05


def density_step(utility: float, work_ms: float) -> int:
    """Return the step of a request; 0 if it has no utility."""
    if utility <= 0:
        return 0
    octaves = math.log2(max(utility / max(work_ms, MIN_WORK_MS), MIN_DENSITY) / MIN_DENSITY)
    return min(int(octaves * STEPS_PER_OCTAVE), DENSITY_STEPS - 1)


def density_of_step(step: int) -> float:
    """Return the lowest density of a step, in utility for each ms of work; 0 for the lowest step."""
    return MIN_DENSITY * 2 ** (step / STEPS_PER_OCTAVE) if step else 0.0


class Demand:
    """The offered work by step, with exponential decay by the time constant `memory_ms`."""

    def __init__(self, now: float, memory_ms: float = 2000.0) -> None:
        self.memory_ms = memory_ms
        self.started_at = self.updated_at = now
        self.work_ms_by_step: dict[int, float] = {}

    def add(self, now: float, step: int, work_ms: float) -> None:
        """Add the work of a request that arrived."""
        # The sums are valid for the time of the last decay, so the work is scaled up to that time. This
        # avoids an update of all steps for each request.
        weight = math.exp((now - self.updated_at) / self.memory_ms)
        self.work_ms_by_step[step] = self.work_ms_by_step.get(step, 0.0) + work_ms * weight

    def rates(self, now: float) -> dict[int, float]:
        """Return the offered work by step, in cores.

        Just after the start, when requests were counted for less than `memory_ms`, the sums are scaled up
        accordingly.
        """
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
    """Encode the steps with the most work.

    The work of other steps is added to the next lower encoded step. If it were left out, the demand would
    look smaller than it is and the threshold would be too low.
    """
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
    """Encode a number of cores as a byte; numbers out of range become the lowest or the highest code."""
    code = round(math.log(max(cores, MIN_CODED_CORES) / MIN_CODED_CORES) / math.log(CODE_GROWTH))
    return min(code, MAX_CODE)


def decode_cores(code: int) -> float:
    """Return the number of cores that a byte encodes."""
    return MIN_CODED_CORES * CODE_GROWTH**code


def decode_rates(data: bytes) -> dict[int, float] | None:
    """Decode rates, as cores by step; return None if they are malformed."""
    steps, codes = data[::2], data[1::2]
    if len(data) % 2 or len(steps) > MAX_ENCODED_STEPS or any(step >= DENSITY_STEPS for step in steps):
        return None
    return {step: decode_cores(code) for step, code in zip(steps, codes, strict=True)}


def merge_rates(demands: Iterable[Mapping[int, float]], max_cores_each: float) -> dict[int, float]:
    """Return the sum of several demands, using only the densest `max_cores_each` cores of each.

    If a large demand were scaled down uniformly instead, its dense requests would be underestimated and the
    threshold would be too low.
    """
    total: dict[int, float] = {}
    for rates in demands:
        remaining = max_cores_each
        for step in sorted(rates, reverse=True):
            cores = min(rates[step], remaining)
            remaining -= cores
            total[step] = total.get(step, 0.0) + cores
    return total
