"""Schedules of rolling replacement, compared with the shortest ones found by brute force."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Mapping, Sequence

import pytest

from cottonhold.fleet.rolling_replacement.schedule import Limits, ReplacementJob, ScheduleConstraints


def capacity_check(missing_cores: Mapping[int, float]) -> list[str]:
    """Allow at most 12 cores to be missing, and at most 8 of one zone."""
    return ["too much is out"] * (
        sum(missing_cores.values()) > 12 or max(missing_cores.values(), default=0) > 8
    )


def draw_jobs(seed: int, max_jobs: int = 7) -> tuple[list[ReplacementJob], Limits]:
    """Return random machines in three zones, and random limits."""
    random_source = random.Random(seed)
    jobs = [
        ReplacementJob(
            f"m{i}",
            random_source.randrange(3),
            random_source.choice([2.0, 4.0, 8.0]),
            random_source.random() < 0.6,
            random_source.randint(1, 9),
        )
        for i in range(random_source.randint(2, max_jobs))
    ]
    return jobs, Limits(random_source.randint(1, 3), random_source.randint(1, 2), random_source.randint(1, 3))


def is_allowed(active: Sequence[ReplacementJob], limits: Limits) -> bool:
    """Whether the machines may be out at the same time; independent of the tested implementation."""
    missing_cores = {
        zone: sum(j.cores for j in active if j.zone == zone) for zone in {j.zone for j in active}
    }
    is_within_limits = len(active) <= limits.max_concurrent and len(missing_cores) <= limits.max_zones
    return (
        is_within_limits
        and sum(j.is_voter for j in active) <= limits.spare_voters
        and not capacity_check(missing_cores)
    )


def shortest_makespan(jobs: Sequence[ReplacementJob], limits: Limits) -> float:
    """Return the shortest possible duration, by placing all orders of machines in steps of 1 ms."""
    shortest = math.inf
    for order in itertools.permutations(jobs):
        active_at = dict[int, list[ReplacementJob]]()
        end = 0
        for job in order:
            start, duration = 0, int(job.duration_ms)
            while not all(
                is_allowed([*active_at.get(t, []), job], limits) for t in range(start, start + duration)
            ):
                start += 1
            for t in range(start, start + duration):
                active_at.setdefault(t, []).append(job)
            end = max(end, start + duration)
            if end >= shortest:
                break
        shortest = min(shortest, end)
    return shortest


@pytest.mark.parametrize("seed", range(25))
def test_the_schedule_is_nearly_as_short_as_possible(seed: int) -> None:
    jobs, limits = draw_jobs(seed, 6)
    schedule = ScheduleConstraints(limits, capacity_check).find_schedule(jobs)
    assert schedule.duration_ms <= 1.2 * shortest_makespan(jobs, limits)
    start_times = sorted({*schedule.start_times.values()})
    for t in start_times:
        active = [
            j
            for j in jobs
            if schedule.start_times[j.name] <= t < schedule.start_times[j.name] + j.duration_ms
        ]
        assert is_allowed(active, limits)


def test_the_schedule_does_not_depend_on_the_order_of_the_input() -> None:
    for seed in range(20):
        jobs, limits = draw_jobs(seed, 9)
        shuffled = random.Random(seed).sample(jobs, len(jobs))
        assert ScheduleConstraints(limits, capacity_check).find_schedule(jobs) == ScheduleConstraints(
            limits, capacity_check
        ).find_schedule(shuffled)


def test_a_machine_that_cannot_be_out_never_starts_and_the_reason_is_returned() -> None:
    jobs = [ReplacementJob("big", 1, 9.0, False, 5.0), ReplacementJob("small", 1, 2.0, True, 5.0)]
    constraints = ScheduleConstraints(Limits(2, 1, 0), capacity_check)
    schedule = constraints.find_schedule(jobs)
    assert schedule.start_times == {"big": math.inf, "small": math.inf}
    assert constraints.wait_reasons(jobs[0], [], math.inf) == ["outlook: too much is out"]
    assert constraints.wait_reasons(jobs[1], [], math.inf) == ["a majority of voters: 1 out, 0 to spare"]
    other = ReplacementJob("other", 2, 1.0, False, 5.0)
    assert constraints.wait_reasons(other, [ReplacementJob("out", 3, 1.0, False, 5.0)], 5.0) == [
        "1 zone at once (out: out)"
    ]
