"""The order of a swap: what may be out together, against the best that brute force finds, and why one
waits."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Mapping, Sequence

import pytest

from cottonhold.fleet.rolling_replacement.schedule import Limits, ReplacementJob, ScheduleConstraints


def capacity_check(lost: Mapping[int, float]) -> list[str]:
    """An outlook that bears 12 cores out, and 8 of one zone."""
    return ["too much is out"] * (sum(lost.values()) > 12 or max(lost.values(), default=0) > 8)


def draw_jobs(seed: int, most: int = 7) -> tuple[list[ReplacementJob], Limits]:
    """Some machines of three zones and what holds for them."""
    draw = random.Random(seed)
    jobs = [
        ReplacementJob(
            f"m{i}", draw.randrange(3), draw.choice([2.0, 4.0, 8.0]), draw.random() < 0.6, draw.randint(1, 9)
        )
        for i in range(draw.randint(2, most))
    ]
    return jobs, Limits(draw.randint(1, 3), draw.randint(1, 2), draw.randint(1, 3))


def allowed(out: Sequence[ReplacementJob], limits: Limits) -> bool:
    """Said anew, so that a mistake in the order's own rule is seen."""
    lost = {z: sum(j.cores for j in out if j.zone == z) for z in {j.zone for j in out}}
    few = len(out) <= limits.max_concurrent and len(lost) <= limits.max_zones
    return few and sum(j.is_voter for j in out) <= limits.spare_voters and not capacity_check(lost)


def best(jobs: Sequence[ReplacementJob], limits: Limits) -> float:
    """The shortest makespan: each list of machines, minute by minute, each as early as it may."""
    found = math.inf
    for order in itertools.permutations(jobs):
        minutes = dict[int, list[ReplacementJob]]()
        end = 0
        for job in order:
            start, lasts = 0, int(job.duration_ms)
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
def test_the_makespan_is_near_the_shortest_possible(seed: int) -> None:
    jobs, limits = draw_jobs(seed, 6)
    schedule = ScheduleConstraints(limits, capacity_check).find_schedule(jobs)
    assert schedule.duration_ms <= 1.2 * best(jobs, limits)
    moments = sorted({*schedule.start_times.values()})
    for t in moments:
        out = [
            j
            for j in jobs
            if schedule.start_times[j.name] <= t < schedule.start_times[j.name] + j.duration_ms
        ]
        assert allowed(out, limits)


def test_the_schedule_does_not_depend_on_the_order_of_the_input() -> None:
    for seed in range(20):
        jobs, limits = draw_jobs(seed, 9)
        mixed = random.Random(seed).sample(jobs, len(jobs))
        assert ScheduleConstraints(limits, capacity_check).find_schedule(jobs) == ScheduleConstraints(
            limits, capacity_check
        ).find_schedule(mixed)


def test_a_machine_that_never_fits_never_starts_and_says_why() -> None:
    jobs = [ReplacementJob("big", 1, 9.0, False, 5.0), ReplacementJob("small", 1, 2.0, True, 5.0)]
    order = ScheduleConstraints(Limits(2, 1, 0), capacity_check)
    schedule = order.find_schedule(jobs)
    assert schedule.start_times == {"big": math.inf, "small": math.inf}
    assert order.wait_reasons(jobs[0], [], math.inf) == ["outlook: too much is out"]
    assert order.wait_reasons(jobs[1], [], math.inf) == ["a majority of voters: 1 out, 0 to spare"]
    other = ReplacementJob("other", 2, 1.0, False, 5.0)
    assert order.wait_reasons(other, [ReplacementJob("out", 3, 1.0, False, 5.0)], 5.0) == [
        "1 zone at once (out: out)"
    ]
