"""How often work meets data that is not warm: at first, and for good where sets push one another out. Pure.

An engine keeps so many data sets, the last used ones. A set that
starts cold has its first use cold; later ones are cold where the set was pushed out since. The time
after which an unused set is pushed out is the one in which as many sets are used as the engine keeps (Che's
approximation of LRU). Rates are uses a second over all engines of a zone, times are seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping


def seconds_until_evicted(rates: Iterable[float], engines: int, keeps: int) -> float:
    """Seconds after which an unused set is pushed out; infinite where all fit."""
    each = sorted(rate / max(engines, 1) for rate in rates if rate > 0)
    if not keeps or len(each) <= keeps:
        return math.inf
    low, high = 0.0, 1.0
    while math.fsum(1 - math.exp(-r * high) for r in each) < keeps and high < 1e6:
        high *= 2
    for _ in range(40):
        middle = (low + high) / 2
        if math.fsum(1 - math.exp(-r * middle) for r in each) < keeps:
            low = middle
        else:
            high = middle
    return high


def cold_uses(rate: float, engines: int, warm: bool, window: float, stay: float) -> float:
    """Cold uses of a set within so many seconds. warm: at the start, in all engines of the zone."""
    if warm and stay == math.inf:
        return 0.0
    each, count = rate / max(engines, 1), max(engines, 1)
    lasting = rate * math.exp(-each * stay) if stay < math.inf else 0.0
    later = max(window - stay, 0.0) * lasting
    if warm:
        # Whether a warm set is pushed out before its first use here depends on when it was last used; it is
        # taken as used half a stay ago.
        return max(window - stay / 2, 0.0) * lasting if lasting else 0.0
    return count * (1 - math.exp(-each * min(window, stay))) + later


def seconds_until_warm(
    rates: Mapping[int, float], engines: int, within: float = 0.1, most: float = 600.0
) -> float:
    """Seconds until at most a part `within` of the uses of these cold sets are first ones at an engine."""
    total = math.fsum(rates.values())
    if total <= 0:
        return 0.0

    def cold(after: float) -> float:
        return math.fsum(r * math.exp(-r * after / max(engines, 1)) for r in rates.values()) / total

    low, high = 0.0, most
    if cold(high) > within:
        return most
    for _ in range(30):
        middle = (low + high) / 2
        low, high = (middle, high) if cold(middle) > within else (low, middle)
    return high
