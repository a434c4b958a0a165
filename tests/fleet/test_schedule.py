"""The order of a swap: what may be out together, against the best that brute force finds, and why one
waits."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Mapping, Sequence

import pytest

from cottonhold.fleet.rolling_replacement.schedule import Job, Limits, Order


def bears(lost: Mapping[int, float]) -> list[str]:
    """An outlook that bears 12 cores out, and 8 of one zone."""
    return ["too much is out"] * (sum(lost.values()) > 12 or max(lost.values(), default=0) > 8)


def case(seed: int, most: int = 7) -> tuple[list[Job], Limits]:
    """Some machines of three zones and what holds for them."""
    draw = random.Random(seed)
    jobs = [
        Job(f"m{i}", draw.randrange(3), draw.choice([2.0, 4.0, 8.0]), draw.random() < 0.6, draw.randint(1, 9))
        for i in range(draw.randint(2, most))
    ]
    return jobs, Limits(draw.randint(1, 3), draw.randint(1, 2), draw.randint(1, 3))


def allowed(out: Sequence[Job], limits: Limits) -> bool:
    """Said anew, so that a mistake in the order's own rule is seen."""
    lost = {z: sum(j.cores for j in out if j.zone == z) for z in {j.zone for j in out}}
    few = len(out) <= limits.most_out and len(lost) <= limits.zones
    return few and sum(j.voter for j in out) <= limits.spare and not bears(lost)


def best(jobs: Sequence[Job], limits: Limits) -> float:
    """The shortest makespan: each list of machines, minute by minute, each as early as it may."""
    found = math.inf
    for order in itertools.permutations(jobs):
        minutes = dict[int, list[Job]]()
        end = 0
        for job in order:
            start, lasts = 0, int(job.lasts)
            while not all(allowed([*minutes.get(t, []), job], limits) for t in range(start, start + lasts)):
                start += 1
            for t in range(start, start + lasts):
                minutes.setdefault(t, []).append(job)
            end = max(end, start + lasts)
            if end >= found:
                break
        found = min(found, end)
    return found


@pytest.mark.parametrize("seed", range(25))
def test_the_makespan_is_near_the_best_there_is(seed: int) -> None:
    jobs, limits = case(seed, 6)
    schedule = Order(limits, bears).settle(jobs)
    assert schedule.lasts <= 1.2 * best(jobs, limits)
    moments = sorted({*schedule.starts.values()})
    for t in moments:
        out = [j for j in jobs if schedule.starts[j.name] <= t < schedule.starts[j.name] + j.lasts]
        assert allowed(out, limits)


def test_all_settle_the_same_order_whatever_order_they_read_in() -> None:
    for seed in range(20):
        jobs, limits = case(seed, 9)
        mixed = random.Random(seed).sample(jobs, len(jobs))
        assert Order(limits, bears).settle(jobs) == Order(limits, bears).settle(mixed)


def test_what_never_fits_never_starts_and_says_why() -> None:
    jobs = [Job("big", 1, 9.0, False, 5.0), Job("small", 1, 2.0, True, 5.0)]
    order = Order(Limits(2, 1, 0), bears)
    schedule = order.settle(jobs)
    assert schedule.starts == {"big": math.inf, "small": math.inf}
    assert order.waits(jobs[0], [], math.inf) == ["outlook: too much is out"]
    assert order.waits(jobs[1], [], math.inf) == ["a majority of voters: 1 out, 0 to spare"]
    other = Job("other", 2, 1.0, False, 5.0)
    assert order.waits(other, [Job("out", 3, 1.0, False, 5.0)], 5.0) == ["1 zone at once (out: out)"]
