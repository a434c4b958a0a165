"""Fault cases of replacing engines, each a whole run of the model, and defects that the model has to detect.

Times are in ms.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from cottonhold.emulator import engine_replacement
from cottonhold.emulator.engine_replacement import EngineWorld, serving_world
from cottonhold.emulator.replacement_fleet import NetworkFaults
from cottonhold.emulator.rolling_replacement_defects import Defect, Patch
from cottonhold.fleet.engine_drain import DrainSettings, EngineDrains, StartupGate
from cottonhold.fleet.rolling_replacement import step_decision
from cottonhold.fleet.rolling_replacement.plan import MachineRecord, MachineRequest, ReplacementStep

WATCHED_ENGINE = "x0"  # the engine whose replacement triggers a fault at a given step
REQUESTS = (MachineRequest("x0"), MachineRequest("x1", "y1"), MachineRequest("x2", cores=16.0))
ENGINES = tuple(request.machine for request in REQUESTS)
LOSSY_NETWORK = NetworkFaults(loss=0.3, duplication=0.3, max_delay_ms=150.0)
MAX_RUN_MS = 180_000.0
MAX_FAULT_DELAY_MS = 200.0
STEPS = (
    ReplacementStep.AGREED,
    ReplacementStep.DRAINING,
    ReplacementStep.OUT,
    ReplacementStep.IN_PLACE,
    ReplacementStep.RAMPING,
)
Fault = Callable[[EngineWorld], None]


def run_case(
    seed: int,
    step: ReplacementStep | None,
    fault: Fault,
    network_faults: NetworkFaults | None = None,
    **options: Any,
) -> list[str]:
    """Replace all engines, with a fault soon after the watched one's replacement reaches a step.

    Args:
        seed: Seed of the run.
        step: Step of the watched engine's replacement after which the fault occurs; None for no fault.
        fault: Causes the fault.
        network_faults: Faults of the network during the whole run.
        options: Options of EngineWorld.

    Returns:
        The violated invariants.
    """
    world = serving_world(seed, network_faults, **options)
    has_occurred = False

    def on_record_changed(machine: str, record: MachineRecord) -> None:
        nonlocal has_occurred
        if machine == WATCHED_ENGINE and record.step is step and not has_occurred:
            has_occurred = True
            delay_ms = MAX_FAULT_DELAY_MS * world.draw.random()
            world.call_at(world.now + delay_ms, lambda: fault(world))

    world.invariants.record_listeners.append(on_record_changed)
    world.request("d0", "ann", *REQUESTS)
    world.run_until(lambda: bool(world.answers), 30_000.0)
    if not world.answers or world.answers[0].rejection:
        world.invariants.breach(f"not taken: {world.answers}")
    if not world.run_until(lambda: world.are_over(*ENGINES), MAX_RUN_MS):
        unfinished = {n: r.step.name if (r := world.record(n)) else "unasked" for n in ENGINES}
        world.invariants.breach(f"not at its end: {unfinished}")
    world.invariants.check_at_end(*ENGINES)
    return world.invariants.breaches


def _other_than_driver(world: EngineWorld) -> str:
    driver = world.driver(WATCHED_ENGINE)
    return next(name for name in world.hosts if name != driver)


def restart_dispatcher(downtime_ms: float, of_driver: bool) -> Fault:
    """Return a fault that kills the watched engine's driver, or another dispatcher, and restarts it."""

    def fault(world: EngineWorld) -> None:
        name = world.driver(WATCHED_ENGINE) if of_driver else _other_than_driver(world)
        if name and world.hosts[name].is_up:
            world.kill(name)
            world.call_at(world.now + downtime_ms, lambda: world.start(name))

    return fault


def restart_all(world: EngineWorld) -> None:
    """Restart all dispatchers, one shortly after another."""
    for i, name in enumerate(list(world.hosts)):
        killed_at = world.now + 700.0 * i
        world.call_at(killed_at, lambda name=name: world.kill(name))  # type: ignore[misc]
        world.call_at(killed_at + 100.0, lambda name=name: world.start(name))  # type: ignore[misc]


def pause_other(duration_ms: float) -> Fault:
    """Pause a dispatcher that does not drive the watched engine."""
    return lambda world: world.pause(_other_than_driver(world), duration_ms)


def abort(world: EngineWorld) -> None:
    """Abort the watched engine's replacement, as an operator, at the first host that has its record."""
    for host in world.hosts.values():
        coordinator = host.coordinator
        if coordinator is None or not world.is_running(host):
            continue
        record = coordinator.view.records.get(WATCHED_ENGINE)
        if record is not None:
            if not record.is_over:
                coordinator.abort(world.now, "ann", "typo", WATCHED_ENGINE)
            return


def break_driver_link(world: EngineWorld) -> None:
    """Disconnect only the driver from the watched engine for some time."""
    link = world.driver(WATCHED_ENGINE), WATCHED_ENGINE
    world.broken_links.add(link)
    world.call_at(world.now + 2500.0, lambda: world.broken_links.discard(link))


def pause_engine(world: EngineWorld) -> None:
    """Pause the watched engine for some time, so that it answers no dispatcher."""
    links = {(name, WATCHED_ENGINE) for name in world.hosts}
    world.broken_links |= links
    world.call_at(world.now + 2500.0, lambda: world.broken_links.difference_update(links))


def cut_power(world: EngineWorld) -> None:
    """Restart all dispatchers after a power loss, during which none observes the engines."""
    world.cut_power(2000.0)


def no_fault(world: EngineWorld) -> None:
    """Cause no fault."""


FAULTS: dict[str, Fault] = {
    "driver dies": restart_dispatcher(4000.0, of_driver=True),
    "driver restarts": restart_dispatcher(150.0, of_driver=True),
    "another restarts": restart_dispatcher(150.0, of_driver=False),
    "another is long away": restart_dispatcher(14_000.0, of_driver=False),
    "all restart": restart_all,
    "stands 3 s": pause_other(3000.0),
    "stands 13 s": pause_other(13_000.0),
    "aborted": abort,
    "link lost": break_driver_link,
    "engine pauses": pause_engine,
    "power": cut_power,
}
# Slow operators keep the old engine powered on while it cannot be reached.
POWER_OFF_DELAYS_MS = {"link lost": 5000.0, "engine pauses": 5000.0}


def _cases() -> dict[str, Callable[[int], list[str]]]:
    cases: dict[str, Callable[[int], list[str]]] = {
        "calm": partial(run_case, step=None, fault=no_fault),
        "lossy": partial(run_case, step=None, fault=no_fault, network_faults=LOSSY_NETWORK),
    }
    for name, fault in FAULTS.items():
        delay_ms = POWER_OFF_DELAYS_MS.get(name, 400.0)
        for step in STEPS:
            case = partial(run_case, step=step, fault=fault, power_off_delay_ms=delay_ms)
            cases[f"{name}: {step.name.lower()}"] = case
            cases[f"{name}, lossy: {step.name.lower()}"] = partial(case, network_faults=LOSSY_NETWORK)
    return cases


CASES = _cases()


def _always(*args: Any) -> bool:
    return True


def _never(*args: Any) -> bool:
    return False


def _counts_only_itself(drains: EngineDrains, now: float, engine: str, serial: int) -> set[int]:
    """Replace missing_reports, so that no other dispatcher's report is waited for."""
    return set() if engine in drains.drained else {drains.member}


def _seems_absent_here(drains: EngineDrains, engine: str) -> bool:
    """Replace is_absent, so that no other dispatcher's check is needed."""
    return drains._seems_absent(engine, drains.drained[engine])


DEFECTS: dict[str, Defect] = {
    "zero for who has not told": Defect(
        "lossy", "is OUT with", (Patch(EngineDrains, "missing_reports", _counts_only_itself),)
    ),
    "a restarted one forgets": Defect(
        "all restart: out", "which is out", (Patch(StartupGate, "step", _always),)
    ),
    "one that stood still goes on": Defect(
        "stands 13 s: agreed", "which is out", (Patch(StartupGate, "check_pause", _never),)
    ),
    "the old one passes for the new": Defect(
        "calm", "has put a new one", (Patch(step_decision, "_is_other_incarnation", _always),)
    ),
    "one instance's word for away": Defect(
        "link lost: out", "has put a new one", (Patch(EngineDrains, "is_absent", _seems_absent_here),)
    ),
    "a pause passes for a new one": Defect(
        "engine pauses: out",
        "has put a new one",
        (Patch(engine_replacement, "SETTINGS", DrainSettings(engine_absence_ms=1000.0)),),
    ),
}
