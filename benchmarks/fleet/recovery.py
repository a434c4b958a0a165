"""Compares in virtual time the return from a power loss without and with a ramp of all, and prints the
rows of docs/measurements/power-loss-core.md:

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

USUAL_LOAD = 0.6  # of what warm engines do
ENGINES = {5: 9, 50: 75, 500: 150}  # by number of instances
MANY_INSTANCES = 50
RUN_MS = 9000.0
SLOT_MS, GROUPS = 500.0, 5  # requests are compared within slots, instances in groups by order of start
SHUFFLES = 20
MIN_IN_GROUP, MIN_IN_GROUPS = 10, 50  # requests of a class, in one run and in all
WEIGHTS = (1.0, 1.0, 1.0, 2.0, 3.0)
BEFORE, WITH_RAMP = "before", "ramp"

Attempts = dict[tuple[int, int], list[float]]  # by group and class: requests, and how many more were served
Slots = dict[int, list[tuple[int, bool]]]  # requests by slot: the group, and whether it was served


@dataclass(slots=True, frozen=True)
class Case:
    """How power returns.

    engines_after_ms: engines after the instances, negative if before. instances_within_ms: from the first
    instance to the last. second_half_delay_ms: how much later half of them return. load: of the usual.
    """

    name: str
    engines_after_ms: float = 0.0
    instances_within_ms: float = 2500.0
    second_half_delay_ms: float = 0.0
    load: float = 1.0
    until: float = RUN_MS
    options: dict[str, Any] = field(default_factory=dict)  # of PowerReturn
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
    """What one run showed.

    second_shares: utility of what was possible, by second after the return. arrived_share: in the first
    three seconds, of what arrived. possible_share, permitted_share: in the first four, of what engines could
    do, and of what slow start permitted. warm_share: once engines are warm. group_excess: of
    `excess_difference`.
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
    """A world of a case at its start."""
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
    engines = ENGINES[instances]
    rate = case.load * USUAL_LOAD * engines * 1000 / MEAN_WORK_MS
    weights = [WEIGHTS[i % len(WEIGHTS)] for i in range(instances)] if case.is_skewed else ()
    return PowerReturn(seed, rate, instances, engines, plan, settings, weights=weights, **case.options)


def measure(case: Case, instances: int, seed: int, has_slow_start: bool) -> RunResult:
    """Run a case."""
    world = make_world(case, instances, seed, has_slow_start)
    world.run(case.until)
    power_at = world.plan.power_returned_at(case.until)
    returned_at = power_at + abs(case.engines_after_ms)  # of both engines and instances
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
    """Utility served in the two seconds after engines are warm, of what arrived or was possible."""
    end = warm_at + 2000.0
    begin_of_estimate = warm_at - 2000.0  # what was queued by then counts as well
    possible = world.possible_utility(begin_of_estimate, end)
    possible -= world.possible_utility(begin_of_estimate, warm_at)
    expected = min(world.arrived_utility(warm_at, end), possible)
    return world.served_utility(warm_at, end) / max(expected, 1e-9)


def group_of(world: PowerReturn, instance: int) -> int:
    """The group of an instance, in the order of start."""
    return instance * GROUPS // len(world.running)


def group_attempts(world: PowerReturn, begin: float, end: float) -> Attempts:
    """Requests by group and class, and how many more of them were served than of all in the same slot."""
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
    """The largest difference between groups, over classes, beyond chance.

    Chance: the mean of what the same results give where they are dealt out anew among the requests of a slot.
    """
    draw, worst = random.Random(1), 0.0
    for class_number in range(len(REQUEST_CLASSES)):
        slots: Slots = defaultdict(list)
        for request in world.finished:
            if begin <= request.arrived_at < end and request.class_number == class_number:
                entry = group_of(world, request.instance), request.is_in_time
                slots[int(request.arrived_at // SLOT_MS)].append(entry)
        by_chance = [_difference(_shuffled(slots, draw)) for _ in range(SHUFFLES)]
        worst = max(worst, _difference(slots) - sum(by_chance) / SHUFFLES)
    return worst


def _shuffled(slots: Slots, draw: random.Random) -> Slots:
    """The same requests with their results dealt out anew within each slot."""
    shuffled: Slots = {}
    for slot, entries in slots.items():
        results = [is_served for _, is_served in entries]
        draw.shuffle(results)
        groups = [group for group, _ in entries]
        shuffled[slot] = list(zip(groups, results, strict=True))
    return shuffled


def _difference(slots: Slots) -> float:
    """The largest difference between groups in the share that is served."""
    sums: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for entries in slots.values():
        mean = sum(is_served for _, is_served in entries) / len(entries)
        for group, is_served in entries:
            sums[group][0] += 1
            sums[group][1] += is_served - mean
    rates = [extra / count for count, extra in sums.values() if count >= MIN_IN_GROUP]
    return max(rates, default=0.0) - min(rates, default=0.0)


def difference_over_runs(results: list[RunResult]) -> float:
    """The largest difference between groups in the share of a class that is served, over all runs."""
    worst = 0.0
    for class_number in range(len(REQUEST_CLASSES)):
        sums = [
            [sum(r.attempts.get((group, class_number), [0, 0])[i] for r in results) for i in (0, 1)]
            for group in range(GROUPS)
        ]
        rates = [extra / count for count, extra in sums if count >= MIN_IN_GROUPS]
        worst = max(worst, max(rates, default=0.0) - min(rates, default=0.0))
    return worst


def row(case: Case, instances: int, has_slow_start: bool, results: list[RunResult]) -> str:
    """A row of the table: medians, and the worst of the first three seconds."""

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
        WITH_RAMP if has_slow_start else BEFORE,
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
    """Run the chosen cases, and print their rows with the seconds so far."""
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
        for instances, case, has_slow_start in chosen_runs(arguments):
            seeds = range(arguments.seeds if instances < MANY_INSTANCES else arguments.many)
            runs = pool.map(measure, repeat(case), repeat(instances), seeds, repeat(has_slow_start))
            line = row(case, instances, has_slow_start, list(runs))
            print(line, round(time.monotonic() - started_at), flush=True)


def chosen_runs(arguments: argparse.Namespace) -> Iterable[tuple[int, Case, bool]]:
    """The number of instances, case and mode of each row, without those that take too long."""
    for instances in map(int, arguments.sizes.split(",")):
        for case in CASES:
            is_long = instances == 500 and case is not CASES[0]
            is_long = is_long or instances > 5 and case.second_half_delay_ms > 0
            if arguments.cases not in case.name or is_long:
                continue
            for has_slow_start in (False, True):
                if not arguments.only or has_slow_start == (arguments.only == WITH_RAMP):
                    yield instances, case, has_slow_start


if __name__ == "__main__":
    main()
