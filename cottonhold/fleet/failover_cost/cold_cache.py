"""Estimates how often requests use data that is not cached, at first and where data sets evict others;
does no I/O.

An engine caches a limited number of data sets, those used last. The first use of a cold set is cold; later
uses are cold if the set has been evicted since. An unused set is evicted after the time in which as many sets
are used as the engine caches (Che's approximation of LRU). Rates are uses per second over all engines of a
zone; times are in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

MAX_SECONDS = 1e6
EVICTION_ROUNDS = 40  # bisection steps for the eviction time
WARM_ROUNDS = 30  # bisection steps for the warm-up time


def seconds_until_evicted(rates: Iterable[float], engines: int, cached_sets: int) -> float:
    """Return the time after which an unused set is evicted; infinity if all sets fit.

    Args:
        rates: Uses per second of each set, over all engines.
        engines: Number of engines that share these uses.
        cached_sets: Data sets that an engine caches; 0 for no limit.
    """
    per_engine = sorted(rate / max(engines, 1) for rate in rates if rate > 0)
    if not cached_sets or len(per_engine) <= cached_sets:
        return math.inf

    def used_within(seconds: float) -> float:
        return math.fsum(1 - math.exp(-rate * seconds) for rate in per_engine)

    low, high = 0.0, 1.0
    while used_within(high) < cached_sets and high < MAX_SECONDS:
        high *= 2
    for _ in range(EVICTION_ROUNDS):
        middle = (low + high) / 2
        if used_within(middle) < cached_sets:
            low = middle
        else:
            high = middle
    return high


def cold_uses(rate: float, engines: int, is_warm: bool, window: float, eviction: float) -> float:
    """Return the number of cold uses of a set within a time window.

    A warm set may be evicted before its first use in the window; it is assumed that its last use was half the
    eviction time ago.

    Args:
        rate: Uses per second, over all engines.
        engines: Number of engines that share these uses.
        is_warm: Whether the set is cached in all engines at the start.
        window: Length of the window, in seconds.
        eviction: Time after which an unused set is evicted, as returned by seconds_until_evicted.
    """
    if is_warm and eviction == math.inf:
        return 0.0
    engines = max(engines, 1)
    per_engine = rate / engines
    steady = rate * math.exp(-per_engine * eviction) if eviction < math.inf else 0.0
    if is_warm:
        return max(window - eviction / 2, 0.0) * steady if steady else 0.0
    first = engines * (1 - math.exp(-per_engine * min(window, eviction)))
    return first + max(window - eviction, 0.0) * steady


def seconds_until_warm(
    rates: Mapping[int, float], engines: int, max_cold_share: float = 0.1, max_seconds: float = 600.0
) -> float:
    """Return the time until at most `max_cold_share` of the uses of these cold sets are the first at an
    engine. `rates` are uses per second by data set; the result is at most `max_seconds`."""
    total = math.fsum(rates.values())
    if total <= 0:
        return 0.0

    def cold_share(after: float) -> float:
        cold = (rate * math.exp(-rate * after / max(engines, 1)) for rate in rates.values())
        return math.fsum(cold) / total

    low, high = 0.0, max_seconds
    if cold_share(high) > max_cold_share:
        return max_seconds
    for _ in range(WARM_ROUNDS):
        middle = (low + high) / 2
        low, high = (middle, high) if cold_share(middle) > max_cold_share else (low, middle)
    return high
