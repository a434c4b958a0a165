"""The hard cases of swaps of engines, each a whole run of the model, and defects that it has to notice.
Times are ms."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

from cottonhold.emulator import engine_replacement
from cottonhold.emulator.engine_replacement import EngineWorld, world_of
from cottonhold.emulator.rolling_replacement import Trouble
from cottonhold.fleet.engine_drain import DrainSettings, EngineDrains, StartupGate
from cottonhold.fleet.rolling_replacement import step_decision
from cottonhold.fleet.rolling_replacement.plan import MachineRecord, MachineRequest, ReplacementStep

ONE = "x0"  # whose steps the faults wait for
ASKED = (MachineRequest("x0"), MachineRequest("x1", "y1"), MachineRequest("x2", cores=16.0))
NAMES = ("x0", "x1", "x2")
BAD = Trouble(loss=0.3, twice=0.3, delay=150.0)
LONG = 180_000.0
STEPS = (
    ReplacementStep.AGREED,
    ReplacementStep.DRAINING,
    ReplacementStep.OUT,
    ReplacementStep.IN_PLACE,
    ReplacementStep.RAMPING,
)
Do = Callable[[EngineWorld], None]


def play(
    seed: int, step: ReplacementStep | None, do: Do, trouble: Trouble | None = None, **given: Any
) -> list[str]:
    """All engines are swapped; soon after the one has come to a step something happens. What was broken."""
    world = world_of(seed, trouble, **given)
    done: list[bool] = []

    def hook(machine: str, record: MachineRecord) -> None:
        if machine == ONE and record.step is step and not done:
            done.append(True)
            world.at(world.now + 200.0 * world.draw.random(), lambda: do(world))

    world.hooks.append(hook)
    world.ask("d0", "ann", *ASKED)
    world.run_until(lambda: bool(world.answers), 30_000.0)
    if not world.answers or world.answers[0].rejection:
        world.breach(f"not taken: {world.answers}")
    if not world.run_until(lambda: world.over(*NAMES), LONG):
        left = {n: r.step.name if (r := world.record(n)) else "unasked" for n in NAMES}
        world.breach(f"not at its end: {left}")
    world.at_end(*NAMES)
    return world.breaches


def dies(away: float, driver: bool) -> Do:
    """The driver of the one, or another dispatcher, dies and comes back."""

    def do(world: EngineWorld) -> None:
        drives = world.driver(ONE)
        name = drives if driver else next(n for n in world.hosts if n != drives)
        if name and world.hosts[name].up:
            world.kill(name)
            world.at(world.now + away, lambda: world.start(name))

    return do


def all_restart(world: EngineWorld) -> None:
    """Each dispatcher is restarted at once, one soon after another."""
    for i, name in enumerate(list(world.hosts)):
        world.at(world.now + 700.0 * i, lambda name=name: world.kill(name))  # type: ignore[misc]
        world.at(world.now + 700.0 * i + 100.0, lambda name=name: world.start(name))  # type: ignore[misc]


def stands(last: float) -> Do:
    """A dispatcher that does not drive it stands still."""
    return lambda world: world.stop(next(n for n in world.hosts if n != world.driver(ONE)), last)


def aborts(world: EngineWorld) -> None:
    """Its swap is aborted by hand, at one that knows of it."""
    for host in world.hosts.values():
        if host.swap is not None and world.running(host) and ONE in host.swap.view.records:
            if not host.swap.view.records[ONE].is_over:
                host.swap.abort(world.now, "ann", "typo", ONE)
            return


def link_lost(world: EngineWorld) -> None:
    """Its driver alone can't reach it for a while."""
    key = world.driver(ONE), ONE
    world.loses.add(key)
    world.at(world.now + 2500.0, lambda: world.loses.discard(key))


def pauses(world: EngineWorld) -> None:
    """The engine itself answers nobody for a while, and goes on."""
    keys = {(name, ONE) for name in world.hosts}
    world.loses |= keys
    world.at(world.now + 2500.0, lambda: world.loses.difference_update(keys))


def power(world: EngineWorld) -> None:
    """All dispatchers go dark, and come back. Where an engine went and came meanwhile nobody has seen it."""
    world.power_cut(2000.0)


def nothing(world: EngineWorld) -> None:
    """All goes well."""


FAULTS: dict[str, Do] = {
    "driver dies": dies(4000.0, True),
    "driver restarts": dies(150.0, True),
    "another restarts": dies(150.0, False),
    "another is long away": dies(14_000.0, False),
    "all restart": all_restart,
    "stands 3 s": stands(3000.0),
    "stands 13 s": stands(13_000.0),
    "aborted": aborts,
    "link lost": link_lost,
    "engine pauses": pauses,
    "power": power,
}
CASES: dict[str, Callable[[int], list[str]]] = {
    "calm": lambda seed: play(seed, None, nothing),
    "lossy": lambda seed: play(seed, None, nothing, BAD),
}
for _name, _do in FAULTS.items():
    # Operators who are slow leave the old engine there while it can't be reached.
    _pull = 5000.0 if _name in ("link lost", "engine pauses") else 400.0
    for _step in STEPS:
        _one = partial(play, step=_step, do=_do, pull=_pull)
        CASES[f"{_name}: {_step.name.lower()}"] = _one
        CASES[f"{_name}, lossy: {_step.name.lower()}"] = partial(_one, trouble=BAD)

# name -> the case that shows it, what the check says, and what is put in whose place
DEFECTS: dict[str, tuple[str, str, Any, str, Any]] = {
    "zero for who has not told": (
        "lossy",
        "is OUT with",
        EngineDrains,
        "missing_reports",
        lambda self, now, engine, serial: set() if engine in self.drained else {self.member},
    ),
    "a restarted one forgets": ("all restart: out", "which is out", StartupGate, "step", lambda *a: True),
    "one that stood still goes on": (
        "stands 13 s: agreed",
        "which is out",
        StartupGate,
        "check_pause",
        lambda *a: False,
    ),
    "the old one passes for the new": (
        "calm",
        "has put a new one",
        step_decision,
        "_is_other_incarnation",
        lambda *a: True,
    ),
    "one instance's word for away": (
        "link lost: out",
        "has put a new one",
        EngineDrains,
        "is_absent",
        lambda self, engine: self._seems_absent(engine, self.drained[engine]),
    ),
    "a pause passes for a new one": (
        "engine pauses: out",
        "has put a new one",
        engine_replacement,
        "SETTINGS",
        DrainSettings(engine_absence_ms=1000.0),
    ),
}


@contextmanager
def planted(name: str) -> Iterator[tuple[str, str]]:
    """With this defect in place: the case that shows it, and what its check says."""
    case, says, where, key, value = DEFECTS[name]
    before = getattr(where, key)
    setattr(where, key, value)
    try:
        yield case, says
    finally:
        setattr(where, key, before)
