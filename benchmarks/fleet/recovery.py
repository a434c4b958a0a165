"""Simulates recovery from a power loss without and with fleet-wide slow start, in virtual time.

Prints the rows of docs/measurements/power-loss-core.md:

python benchmarks/fleet/recovery.py [--seeds 20] [--sizes 5,50,500] [--cases "zone"] [--jobs 2]
"""

from __future__ import annotations

import argparse
import math
import random
import time
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import repeat
from typing import Any

import numpy as np

from cottonhold.emulator.power_return_plan import PowerReturnPlan
from cottonhold.emulator.recovery import MEAN_WORK_MS, REQUEST_CLASSES, PowerReturn
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.settings import FleetSettings

USUAL_LOAD = 0.6  # as a share of the capacity of warm engines
ENGINE_COUNTS = {5: 9, 50: 75, 500: 150}  # by number of instances
MANY_INSTANCES = 50
RUN_MS = 9000.0
# Requests are compared with those that arrived in the same time slot, instances by groups in order of start.
SLOT_MS, GROUPS = 500.0, 5
SHUFFLES = 20
# Minimum number of requests of a class for a group to be compared, in one run and over all runs.
MIN_GROUP_REQUESTS_PER_RUN, MIN_GROUP_REQUESTS_OVER_RUNS = 10, 50
WEIGHTS = (1.0, 1.0, 1.0, 2.0, 3.0)
WITHOUT_RAMP, WITH_RAMP = "before", "ramp"

# By group and class: the number of requests, and how many more of them were served than the mean of their
# slots.
Attempts = dict[tuple[int, int], list[float]]
Slots = dict[int, list[tuple[int, bool]]]  # by slot: each request's group, and whether it was served


@dataclass(slots=True, frozen=True)
class Case:
    """A way in which power returns; times are in ms.

    Attributes:
        name: The name in the table.
        engines_after_ms: Time from the return of the instances to that of the engines; negative if the
            engines return first.
        instances_within_ms: Time from the return of the first instance to that of the last.
        second_half_delay_ms: Additional delay of the second half of the instances.
        load: Request rate as a multiple of the usual one.
        until: Time at which the run ends.
        options: Further arguments of `PowerReturn`.
        second_loss_at: Time of a second power loss; None for none.
        is_skewed: Whether clients send more requests to some instances than to others.
    """

    name: str
    engines_after_ms: float = 0.0
    instances_within_ms: float = 2500.0
    second_half_delay_ms: float = 0.0
    load: float = 1.0
    until: float = RUN_MS
    options: dict[str, Any] = field(default_factory=dict)
    second_loss_at: float | None = None
    is_skewed: bool = False


CASES = (
    Case("with the dispatchers"),
    Case("engines 2 s before", -2000.0, 1000.0),
    Case("engines 2 s after", 2000.0, 500.0),
    Case("half of the dispatchers 20 s later", 0.0, 500.0, 20_000.0, until=26_000.0),
    Case("30% of datagrams lost", options={"loss": 0.3}),
    Case("a zone stays dark", options={"dark_zone": "c"}),
    Case("power gone again after 2 s", second_loss_at=2000.0, until=12_000.0),
    Case("clients at three times the usual", load=3.0),
    Case("clients 1:1:1:2:3 by instance", is_skewed=True),
)


@dataclass(slots=True)
class RunResult:
    """The measurements of one run.

    Shares are utility served as a part of another utility; times count from the return of both engines and
    instances.

    Attributes:
        second_shares: Of the greatest possible utility, for each of the first five seconds.
        arrived_share: Of the utility that arrived, in the first three seconds.
        possible_share: Of the greatest possible utility, in the first four seconds.
        permitted_share: Of the greatest utility that slow start permitted, in the first four seconds.
        warm_share: The result of `warm_share`.
        attempts: The result of `group_attempts`.
        group_excess: The result of `excess_difference`.
        bound_violations: Number of checks in which the bounds on an engine's work exceeded its slow-start
            share.
        bound_checks: Number of these checks.
        engine_failures: Number of times that a cold engine would have failed under the work sent to it.
        bytes_per_second: Bytes that each instance sent per second.
    """

    second_shares: list[float]
    arrived_share: float
    possible_share: float
    permitted_share: float
    warm_share: float
    attempts: Attempts
    group_excess: float
    bound_violations: int
    bound_checks: int
    engine_failures: int
    bytes_per_second: float


def make_world(case: Case, instances: int, seed: int, has_slow_start: bool) -> PowerReturn:
    """Return the model of a case, not yet run."""
    interval_ms, half = case.instances_within_ms / max(instances - 1, 1), instances // 2

    def instance_delay_ms(number: int) -> float:
        delay_ms = max(-case.engines_after_ms, 0.0) + interval_ms * number
        return delay_ms + (case.second_half_delay_ms if number > half else 0.0)

    plan = PowerReturnPlan(
        engine_delay_ms=lambda engine: max(case.engines_after_ms, 0.0),
        instance_delay_ms=instance_delay_ms,
        second_loss_at=case.second_loss_at,
    )
    slow_start = SlowStartSettings() if has_slow_start else None
    settings = FleetSettings(dispatchers=instances, sheds_load=True, slow_start=slow_start)
    engines = ENGINE_COUNTS[instances]
    rate = case.load * USUAL_LOAD * engines * 1000 / MEAN_WORK_MS
    weights = [WEIGHTS[i % len(WEIGHTS)] for i in range(instances)] if case.is_skewed else ()
    return PowerReturn(seed, rate, instances, engines, plan, settings, weights=weights, **case.options)


def measure(case: Case, instances: int, seed: int, has_slow_start: bool) -> RunResult:
    """Run a case once and return its measurements."""
    world = make_world(case, instances, seed, has_slow_start)
    world.run(case.until)
    power_at = world.plan.power_returned_at(case.until)
    returned_at = power_at + abs(case.engines_after_ms)  # when both engines and instances are back
    warm_at = power_at + max(case.engines_after_ms, 0.0) + world.plan.warmup_ms + 1000.0
    ends = [returned_at + 1000.0 * second for second in range(6)]
    possible = [world.possible_utility(power_at, end) for end in ends]
    permitted = [0.0, math.inf]
    if has_slow_start:
        permitted = [world.possible_utility(power_at, ends[i], by_slow_start=True) for i in (0, 4)]
    served = [world.served_utility(power_at, end) for end in ends]
    in_four_seconds = served[4] - served[0]
    return RunResult(
        second_shares=[
            (served[i + 1] - served[i]) / max(possible[i + 1] - possible[i], 1e-9) for i in range(5)
        ],
        arrived_share=world.served_utility(returned_at, ends[3])
        / world.arrived_utility(returned_at, ends[3]),
        possible_share=in_four_seconds / max(possible[4] - possible[0], 1e-9),
        permitted_share=in_four_seconds / max(permitted[1] - permitted[0], 1e-9),
        warm_share=warm_share(world, warm_at),
        attempts=group_attempts(world, power_at, warm_at - 500.0),
        group_excess=excess_difference(world, power_at, warm_at - 500.0),
        bound_violations=world.bound_violations,
        bound_checks=world.bound_checks,
        engine_failures=sum(overload.failures for overload in world.engine_overloads),
        bytes_per_second=world.sent_bytes / instances / (case.until / 1000),
    )


def warm_share(world: PowerReturn, warm_at: float) -> float:
    """Return the utility served in the two seconds after engines are warm, as a part of what arrived or of
    what was possible, whichever is less."""
    end = warm_at + 2000.0
    begin_of_estimate = warm_at - 2000.0  # so that requests queued before are included
    possible = world.possible_utility(begin_of_estimate, end)
    possible -= world.possible_utility(begin_of_estimate, warm_at)
    expected = min(world.arrived_utility(warm_at, end), possible)
    return world.served_utility(warm_at, end) / max(expected, 1e-9)


def group_of(world: PowerReturn, instance: int) -> int:
    """Return the group of an instance; groups follow the order of start."""
    return instance * GROUPS // len(world.running)


def group_attempts(world: PowerReturn, begin: float, end: float) -> Attempts:
    """Return, by group and class, the number of requests and how many more of them were served than the mean
    of their slots."""
    slot_counts: dict[tuple[int, int], list[int]] = defaultdict(lambda: [0, 0])
    requests = [request for request in world.finished if begin <= request.arrived_at < end]
    for request in requests:
        counts = slot_counts[int(request.arrived_at // SLOT_MS), request.class_number]
        counts[0] += 1
        counts[1] += request.is_in_time
    attempts: Attempts = defaultdict(lambda: [0.0, 0.0])
    for request in requests:
        count, served = slot_counts[int(request.arrived_at // SLOT_MS), request.class_number]
        entry = attempts[group_of(world, request.instance), request.class_number]
        entry[0] += 1
        entry[1] += request.is_in_time - served / count
    return dict(attempts)


def excess_difference(world: PowerReturn, begin: float, end: float) -> float:
    """Return the largest difference between groups of any class, less the difference expected by chance.

    The difference by chance is the mean over permutations of the results among the requests of each slot.
    """
    draw, worst = random.Random(1), 0.0
    for class_number in range(len(REQUEST_CLASSES)):
        slots: Slots = defaultdict(list)
        for request in world.finished:
            if begin <= request.arrived_at < end and request.class_number == class_number:
                entry = group_of(world, request.instance), request.is_in_time
                slots[int(request.arrived_at // SLOT_MS)].append(entry)
        chance_differences = [_difference(_shuffled(slots, draw)) for _ in range(SHUFFLES)]
        worst = max(worst, _difference(slots) - sum(chance_differences) / SHUFFLES)
    return worst


def _shuffled(slots: Slots, draw: random.Random) -> Slots:
    """Return the same requests with their results permuted within each slot."""
    shuffled: Slots = {}
    for slot, entries in slots.items():
        results = [is_served for _, is_served in entries]
        draw.shuffle(results)
        groups = [group for group, _ in entries]
        shuffled[slot] = list(zip(groups, results, strict=True))
    return shuffled


def _difference(slots: Slots) -> float:
    """Return the largest difference between groups in the share of requests served."""
    sums: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for entries in slots.values():
        mean = sum(is_served for _, is_served in entries) / len(entries)
        for group, is_served in entries:
            sums[group][0] += 1
            sums[group][1] += is_served - mean
    rates = [extra / count for count, extra in sums.values() if count >= MIN_GROUP_REQUESTS_PER_RUN]
    return max(rates, default=0.0) - min(rates, default=0.0)


def difference_over_runs(results: list[RunResult]) -> float:
    """Return the largest difference between groups in the share of a class that was served, over all runs."""
    worst = 0.0
    for class_number in range(len(REQUEST_CLASSES)):
        sums = [
            [sum(r.attempts.get((group, class_number), [0, 0])[i] for r in results) for i in (0, 1)]
            for group in range(GROUPS)
        ]
        rates = [extra / count for count, extra in sums if count >= MIN_GROUP_REQUESTS_OVER_RUNS]
        worst = max(worst, max(rates, default=0.0) - min(rates, default=0.0))
    return worst


def format_row(case: Case, instances: int, has_slow_start: bool, results: list[RunResult]) -> str:
    """Return a row of the table: medians, and the worst run where two values stand in a cell."""

    def median(values: Iterable[float]) -> float:
        return float(np.median(list(values)))

    seconds = np.median([result.second_shares for result in results], axis=0)
    arrived_shares = [result.arrived_share for result in results]
    excesses = [result.group_excess for result in results]
    permitted_share = f"{median(r.permitted_share for r in results):.2f}"
    violations, checks = sum(r.bound_violations for r in results), sum(r.bound_checks for r in results)
    cells = [
        str(instances),
        case.name,
        WITH_RAMP if has_slow_start else WITHOUT_RAMP,
        str(len(results)),
        " ".join(f"{share:.2f}" for share in seconds),
        f"{median(arrived_shares):.2f} / {min(arrived_shares):.2f}",
        f"{median(r.possible_share for r in results):.2f}",
        permitted_share if has_slow_start else "",
        f"{median(r.warm_share for r in results):.2f}",
        f"{difference_over_runs(results):.2f}",
        f"{median(excesses):.2f} / {max(excesses):.2f}",
        f"{violations} of {checks}",
        str(sum(r.engine_failures for r in results)),
        f"{median(r.bytes_per_second for r in results):.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Run the selected cases and print their rows with the elapsed seconds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--cases", default="")
    parser.add_argument("--sizes", default="5,50,500")
    parser.add_argument("--only", default="")
    parser.add_argument("--many", type=int, default=1, help="seeds of 50 instances and more")
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    arguments = parser.parse_args()
    started_at = time.monotonic()
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for instances, case, has_slow_start in selected_runs(arguments):
            seeds = range(arguments.seeds if instances < MANY_INSTANCES else arguments.many)
            runs = pool.map(measure, repeat(case), repeat(instances), seeds, repeat(has_slow_start))
            table_row = format_row(case, instances, has_slow_start, list(runs))
            print(table_row, round(time.monotonic() - started_at), flush=True)


def selected_runs(arguments: argparse.Namespace) -> Iterable[tuple[int, Case, bool]]:
    """Yield the number of instances, the case and whether slow start is on for each row, without rows that
    take too long."""
    for instances in map(int, arguments.sizes.split(",")):
        for case in CASES:
            takes_too_long = instances == 500 and case is not CASES[0]
            takes_too_long = takes_too_long or instances > 5 and case.second_half_delay_ms > 0
            if arguments.cases not in case.name or takes_too_long:
                continue
            for has_slow_start in (False, True):
                if not arguments.only or has_slow_start == (arguments.only == WITH_RAMP):
                    yield instances, case, has_slow_start


if __name__ == "__main__":
    main()
