"""Fault cases of a rolling replacement, each a whole run of the model; shared by tests and benchmarks.

Times are in ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cottonhold.emulator.replacement_fleet import DEATH_NOTICE_MS, NetworkFaults
from cottonhold.emulator.rolling_replacement import ReplacementWorld
from cottonhold.fleet.rolling_replacement.plan import (
    MachineRecord,
    MachineRequest,
    PlanState,
    ReplacementStep,
    StepReason,
    machine_id,
)
from cottonhold.fleet.rolling_replacement.start_conditions import CapacityCheck
from cottonhold.fleet.rolling_replacement.step_decision import MoveKeys

STEPS = (
    ReplacementStep.AGREED,
    ReplacementStep.MOVING,
    ReplacementStep.DRAINING,
    ReplacementStep.OUT,
    ReplacementStep.IN_PLACE,
    ReplacementStep.RAMPING,
)
WATCHED_MACHINE = "d3"  # the machine whose replacement triggers a fault at a given step
MAX_RUN_MS = 240_000.0
MAX_TAKEOVER_MS = 2000.0
LOSSY_NETWORK = NetworkFaults(loss=0.3, duplication=0.3, max_delay_ms=150.0)


@dataclass(slots=True)
class CaseResult:
    """The result of a run: violated invariants, takeover times, and its duration in virtual time."""

    breaches: list[str]
    takeover_times_ms: list[float]
    duration_ms: float


Case = Callable[[int], CaseResult]


def machine_requests(count: int = 8) -> list[MachineRequest]:
    """Return requests to replace all dispatchers; every other one gets a new name."""
    return [MachineRequest(f"d{i}", f"e{i}" if i % 2 else "") for i in range(count)]


def start_replacement(
    seed: int, count: int = 8, max_concurrent: int = 2, network_faults: NetworkFaults | None = None
) -> ReplacementWorld:
    """Return a fleet in which the replacement of all machines was requested."""
    world = ReplacementWorld(seed, count, network_faults)
    world.run(2000.0 + seed % 100)
    world.request("d0", "ann", *machine_requests(count), max_concurrent=max_concurrent)
    return world


def finish(world: ReplacementWorld, count: int = 8, *, checks_takeovers: bool = True) -> CaseResult:
    """Run to the end of the replacement, and check the final state."""
    world.run_until(lambda: bool(world.answers), 30_000.0)
    if any(answer.rejection for answer in world.answers):
        # The request was rejected since it could not be answered in time, so the client retries it.
        max_concurrent = world.answers[0].request.max_concurrent
        world.answers.clear()
        retry_host = "d1" if world.hosts["d1"].is_up else "d2"
        world.request(retry_host, "ann", *machine_requests(count), max_concurrent=max_concurrent)
    names = [f"d{i}" for i in range(count)]
    if not world.run_until(lambda: world.are_over(*names), MAX_RUN_MS):
        unfinished = {n: r.step.name if (r := world.record(n)) else "unasked" for n in names}
        world.invariants.breach(f"not at its end: {unfinished}, out {world.plan().active_machine_ids}")
    for name in names:
        check_replacement_serves(world, name)
    return result(world, checks_takeovers)


def check_replacement_serves(world: ReplacementWorld, name: str) -> None:
    """Check that the host in the place of a replaced machine is up and not drained."""
    record = world.record(name)
    if record is None or record.step is not ReplacementStep.DONE:
        return
    host = world.hosts.get(record.replacement)
    if host is not None and (not host.is_up or host.is_drained):
        world.invariants.breach(f"{host.name} is {'drained' if host.is_up else 'off'} at the end")


def result(world: ReplacementWorld, checks_takeovers: bool = True) -> CaseResult:
    """Return the result so far; slow takeovers are not checked if messages are lost."""
    takeovers = world.invariants.takeover_times_ms
    slow = [time_ms for time_ms in takeovers if time_ms > MAX_TAKEOVER_MS]
    if slow and checks_takeovers:
        world.invariants.breach(f"slow takeovers: {slow} ms")
    return CaseResult(world.invariants.breaches, takeovers, world.now)


def once_at_step(
    world: ReplacementWorld, step: ReplacementStep, action: Callable[[], None], max_delay_ms: float = 300.0
) -> None:
    """Run an action once, a random time after the watched machine's replacement reaches a step."""
    has_run = False

    def on_record_changed(machine: str, record: MachineRecord) -> None:
        nonlocal has_run
        if machine == WATCHED_MACHINE and record.step is step and not has_run:
            has_run = True
            world.call_at(world.now + max_delay_ms * world.draw.random(), action)

    world.invariants.record_listeners.append(on_record_changed)


def restart(world: ReplacementWorld, name: str, downtime_ms: float) -> None:
    """Kill a process, and restart it later unless it is up by then."""
    if name and world.hosts[name].is_up:
        world.kill(name)
        world.call_at(world.now + downtime_ms, lambda: None if world.hosts[name].is_up else world.start(name))


def no_fault(seed: int) -> CaseResult:
    """Run a replacement without faults."""
    return finish(start_replacement(seed))


def driver_dies(seed: int, step: ReplacementStep) -> CaseResult:
    """Kill the driver of a machine soon after a step began."""
    world = start_replacement(seed)

    def kill_driver() -> None:
        restart(world, world.driver(WATCHED_MACHINE), 6000.0 + 4000.0 * world.draw.random())

    once_at_step(world, step, kill_driver)
    return finish(world)


def _target_dies(seed: int, source_dies: bool) -> CaseResult:
    world = start_replacement(seed)
    has_run = False

    def on_move(source: str, action: MoveKeys) -> None:
        nonlocal has_run
        if action.machine == WATCHED_MACHINE and not has_run:
            has_run = True
            world.call_at(world.now + 60.0, lambda: restart(world, action.target, 5000.0))
            if source_dies:
                delay_ms = 100.0 * world.draw.random()
                world.call_at(world.now + delay_ms, lambda: restart(world, source, 7000.0))

    world.move_listeners.append(on_move)
    return finish(world)


def target_dies(seed: int) -> CaseResult:
    """Kill the target of moved keys after it has accepted them."""
    return _target_dies(seed, source_dies=False)


def source_and_target_die(seed: int) -> CaseResult:
    """Kill the moving host and the target of moved keys."""
    return _target_dies(seed, source_dies=True)


def power_cut(seed: int, step: ReplacementStep) -> CaseResult:
    """Cut the power at a step: all processes are killed, registers are durable."""
    world = start_replacement(seed)
    once_at_step(world, step, lambda: world.cut_power(2000.0))
    return finish(world)


def driver_pauses(seed: int, step: ReplacementStep) -> CaseResult:
    """Pause the driver for 5 s; it continues with its old state."""
    world = start_replacement(seed)

    def pause_driver() -> None:
        if name := world.driver(WATCHED_MACHINE):
            world.pause(name, 5000.0)

    once_at_step(world, step, pause_driver)
    return finish(world)


def network_partition(seed: int, *sizes: int) -> CaseResult:
    """Partition the fleet for 8 s at a random time."""
    count = sum(sizes)
    world = start_replacement(seed, count)
    begins_at = 2000.0 + 15_000.0 * random.Random(seed).random()
    world.call_at(begins_at, lambda: world.partition(*random.Random(seed).sample(sizes, len(sizes))))
    world.call_at(begins_at + 8000.0, world.partition)
    return finish(world, count)


def lossy_network(seed: int) -> CaseResult:
    """Lose 30% of messages, and execute operations twice and out of order."""
    return finish(start_replacement(seed, network_faults=LOSSY_NETWORK), checks_takeovers=False)


def contradicting_requests(seed: int) -> CaseResult:
    """Request conflicting replacements at two hosts at the same time."""
    world = ReplacementWorld(seed)
    world.run(2000.0 + seed % 100)
    world.request("d0", "ann", MachineRequest("d1", "e1"), MachineRequest("d2"))
    world.call_at(
        world.now + seed % 120,
        lambda: world.request("d5", "bob", MachineRequest("d4"), MachineRequest("d1", "f1")),
    )
    world.run(8000.0)
    breach = world.invariants.breach
    rejections = sorted(a.rejection for a in world.answers)
    if len(rejections) != 2 or rejections[0] or "already asked" not in rejections[1]:
        breach(f"answers {rejections}")
    is_ann_accepted = any(a.request.requested_by == "ann" and not a.rejection for a in world.answers)
    accepted = "ann" if is_ann_accepted else "bob"
    if len(rejections) == 2 and f"by {accepted}" not in rejections[1]:
        breach(f"the refusal names not {accepted}: {rejections[1]}")
    names = ["d1", "d2"] if is_ann_accepted else ["d1", "d4"]
    if not world.run_until(lambda: world.are_over(*names), MAX_RUN_MS):
        breach("not at its end")
    return result(world)


def capacity_limit(max_cores: float) -> CapacityCheck:
    """Return a check that permits at most this many cores to be out."""

    def check(cores_out: Mapping[str, float]) -> list[str]:
        cores = sum(cores_out.values())
        return [f"{cores:g} cores out, {max_cores:g} can be borne"] if cores > max_cores else []

    return check


def hardware_never_arrives(seed: int) -> CaseResult:
    """Let new hardware never arrive; other machines are replaced only as far as capacity permits."""
    world = ReplacementWorld(
        seed,
        arrival_delay_ms=lambda name: None if name == WATCHED_MACHINE else 1000.0,
        capacity_check=capacity_limit(8.0),
    )
    world.run(2000.0)
    world.request("d0", "ann", *machine_requests(), max_concurrent=2, max_zones=3)

    def is_overdue() -> bool:
        record = world.record(WATCHED_MACHINE)
        return record is not None and record.reason is StepReason.NOT_ARRIVED

    world.run_until(is_overdue, MAX_RUN_MS)
    before = {n: r.step for n in world.hosts if (r := world.record(n))}
    world.run(world.now + 20_000.0)
    after = {n: r.step for n in world.hosts if (r := world.record(n))}
    record = world.record(WATCHED_MACHINE)
    if record is None or record.step is not ReplacementStep.OUT or not is_overdue():
        world.invariants.breach(f"{WATCHED_MACHINE}: {record}")
    if before != after:
        world.invariants.breach(f"others went on: {before}, {after}")
    return result(world)


def smaller_hardware(seed: int) -> CaseResult:
    """Let a machine arrive with 2 cores instead of 8; it is reported, and capacity limits further starts."""
    world = ReplacementWorld(
        seed, replacement_cores={WATCHED_MACHINE: 2.0}, capacity_check=capacity_limit(12.0)
    )
    world.run(2000.0)
    world.request("d0", "ann", *machine_requests(), max_zones=3)
    world.run_until(lambda: (r := world.record(WATCHED_MACHINE)) is not None and r.is_over, MAX_RUN_MS)
    world.run(world.now + 10_000.0)
    breach = world.invariants.breach
    steps = [r.step for n in world.hosts if (r := world.record(n)) and not r.is_over]
    if world.plan().active_machine_ids or any(step > ReplacementStep.AGREED for step in steps):
        breach(f"others went on: {steps}")
    coordinators = [h.coordinator for h in world.hosts.values() if h.is_up and h.coordinator]
    reasons = [reason for c in coordinators for row in c.status() for reason in row.reasons]
    if not any("2 cores of 8" in reason for reason in reasons):
        breach("nobody says that it is smaller")
    if steps and not any("can be borne" in reason for reason in reasons):
        breach("nobody says why the others wait")
    return result(world)


def aborted(seed: int, step: ReplacementStep) -> CaseResult:
    """Abort one machine's replacement at a step; the others continue."""
    world = start_replacement(seed)

    def abort() -> None:
        # The request is sent to a host that stays up, since a host that is powered off soon would lose it.
        active = world.plan().active_machine_ids
        leaving = {WATCHED_MACHINE, *(n for n in world.hosts if machine_id(n) in active)}
        for host in world.hosts.values():
            coordinator = host.coordinator
            if coordinator is None or not host.is_up or host.name in leaving:
                continue
            if WATCHED_MACHINE in coordinator.view.records:
                coordinator.abort(world.now, "bob", "wrong rack", WATCHED_MACHINE)
                return

    once_at_step(world, step, abort)
    finished = finish(world)
    record = world.record(WATCHED_MACHINE)
    if record is None or record.step is not ReplacementStep.ABORTED:
        world.invariants.breach(f"{WATCHED_MACHINE}: {record}")
        return finished
    hosts = [world.hosts[n] for n in (WATCHED_MACHINE, record.replacement) if n in world.hosts]
    if not any(host.is_up and not host.is_drained for host in hosts):
        world.invariants.breach(f"neither {WATCHED_MACHINE} nor {record.replacement} serves")
    return finished


def zone_evacuated(seed: int, step: ReplacementStep) -> CaseResult:
    """Evacuate a zone during the replacement, and return it 6 s later."""
    world = start_replacement(seed)
    once_at_step(world, step, lambda: world.set_zone_trouble("b", "left"))

    def schedule_return() -> None:
        world.call_at(world.now + 6000.0, lambda: world.set_zone_trouble("b", ""))

    once_at_step(world, step, schedule_return, 0.0)
    return finish(world)


def submitting_host_dies(seed: int) -> CaseResult:
    """Kill the host that writes a request, which must be complete or absent, and retry it."""
    world = start_replacement(seed)
    dies_at = world.now + 100.0 * random.Random(seed).random()
    world.call_at(dies_at, lambda: restart(world, "d0", 4000.0))
    world.run(world.now + 9000.0)
    if world.plan().state is not PlanState.OPEN:
        world.invariants.breach("still locked")
    if not world.plan().first_machine:
        world.request("d5", "ann", *machine_requests(), max_concurrent=2)
    return finish(world)


def four_of_five_at_once(seed: int) -> CaseResult:
    """Permit four of five machines to be out, which the voters' majority has to prevent."""
    world = ReplacementWorld(seed, 5)
    world.run(2000.0)
    world.request("d0", "ann", *machine_requests(5), max_concurrent=4, max_zones=3)
    return finish(world, 5)


def empty_folders(seed: int) -> CaseResult:
    """Let new machines arrive with an empty folder and without a vote for 6 s."""
    world = ReplacementWorld(seed, voting_delay_ms=6000.0)
    world.run(2000.0)
    world.request("d0", "ann", *machine_requests(), max_concurrent=2)
    return finish(world)


def random_faults(seed: int) -> CaseResult:
    """Cause kills, pauses and a partition at random times while messages are lost, then no more faults."""
    world, draw = start_replacement(seed, network_faults=LOSSY_NETWORK), random.Random(seed)
    for _ in range(draw.randint(2, 5)):
        when = 2500.0 + 20_000.0 * draw.random()
        name = f"d{draw.randrange(8)}"
        fault = draw.choice(("kill", "pause", "partition"))
        if fault == "kill":
            world.call_at(when, lambda name=name: restart(world, name, 5000.0))  # type: ignore[misc]
        elif fault == "pause":
            world.call_at(when, lambda name=name: world.pause(name, 5000.0))  # type: ignore[misc]
        else:
            world.call_at(when, lambda: world.partition(3, 5))
            world.call_at(when + 3 * DEATH_NOTICE_MS, world.partition)
    return finish(world, checks_takeovers=False)


def _at_each_step(name: str, case: Callable[[int, ReplacementStep], CaseResult]) -> dict[str, Case]:
    return {f"{name}: {step.name.lower()}": lambda seed, step=step: case(seed, step) for step in STEPS}  # type: ignore[misc]


CASES: dict[str, Case] = {
    "calm": no_fault,
    **_at_each_step("driver dies", driver_dies),
    "target dies": target_dies,
    "mover and target die": source_and_target_die,
    **_at_each_step("power", power_cut),
    **_at_each_step("stopped", driver_pauses),
    "parted 3/3": lambda seed: network_partition(seed, 3, 3),
    "parted 2/3/3": lambda seed: network_partition(seed, 2, 3, 3),
    "30% lost, twice, disorder": lossy_network,
    "two contradicting requests": contradicting_requests,
    "hardware never comes": hardware_never_arrives,
    "smaller hardware": smaller_hardware,
    **_at_each_step("aborted", aborted),
    **_at_each_step("zone lost", zone_evacuated),
    "author dies": submitting_host_dies,
    "empty folder": empty_folders,
    "four at once": four_of_five_at_once,
    "storm": random_faults,
}
