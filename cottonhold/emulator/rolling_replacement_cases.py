"""The hard cases of a rolling swap, each a whole run of the model; shared by tests and the measurement.
Times are ms."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cottonhold.emulator.rolling_replacement import NOTICE, Trouble, World
from cottonhold.fleet.rolling_replacement.plan import (
    MachineRecord,
    MachineRequest,
    PlanState,
    ReplacementStep,
    StepReason,
    machine_id,
)
from cottonhold.fleet.rolling_replacement.step_decision import MoveKeys

STEPS = (
    ReplacementStep.AGREED,
    ReplacementStep.MOVING,
    ReplacementStep.DRAINING,
    ReplacementStep.OUT,
    ReplacementStep.IN_PLACE,
    ReplacementStep.RAMPING,
)
ONE = "d3"  # whose steps the faults wait for
LONG = 240_000.0
TAKEOVER = 2000.0
BAD = Trouble(loss=0.3, twice=0.3, delay=150.0)


@dataclass(slots=True)
class Found:
    """A run's end: what was broken, and how long take-overs took."""

    breaches: list[str]
    takeovers: list[float]
    lasted: float


def items(count: int = 8, every: int = 1) -> list[MachineRequest]:
    """All dispatchers, every other one by another id."""
    return [MachineRequest(f"d{i}", f"e{i}" if i % 2 and every else "") for i in range(count)]


def begin(seed: int, count: int = 8, most_out: int = 2, trouble: Trouble | None = None) -> World:
    """A fleet of which all machines are to be swapped."""
    world = World(seed, count, trouble)
    world.run(2000.0 + seed % 100)
    world.ask("d0", "ann", *items(count), most_out=most_out)
    return world


def finish(world: World, count: int = 8, *, swift: bool = True) -> Found:
    """Let it come to its end, and say what was broken."""
    names = [f"d{i}" for i in range(count)]
    world.run_until(lambda: bool(world.answers), 30_000.0)
    if any(answer.rejection for answer in world.answers):
        # Not one could be settled in time: whoever asked does so again.
        most = world.answers[0].request.max_concurrent
        world.answers.clear()
        world.ask("d1" if world.hosts["d1"].up else "d2", "ann", *items(count), most_out=most)
    if not world.run_until(lambda: world.over(*names), LONG):
        left = {n: r.step.name if (r := world.record(n)) else "unasked" for n in names}
        world.breach(f"not at its end: {left}, out {world.whole().active_machine_ids}")
    for name in names:
        record = world.record(name)
        host = (
            world.hosts.get(record.replacement)
            if record is not None and record.step is ReplacementStep.DONE
            else None
        )
        if host is not None and (not host.up or host.drained):
            world.breach(f"{host.name} is {'drained' if host.up else 'off'} at the end")
    return result(world, swift)


def result(world: World, swift: bool = True) -> Found:
    """What was broken so far; a slow take-over counts unless messages are lost."""
    slow = [t for t in world.takeovers if t > TAKEOVER]
    if slow and swift:
        world.breach(f"take-overs in {slow} ms")
    return Found(world.breaches, world.takeovers, world.now)


def once(world: World, step: ReplacementStep, do: Callable[[], None], wait: float = 300.0) -> None:
    """Do something soon after the one machine has come to a step, once."""
    done: list[bool] = []

    def hook(machine: str, record: MachineRecord) -> None:
        if machine == ONE and record.step is step and not done:
            done.append(True)
            world.at(world.now + wait * world.draw.random(), do)

    world.hooks.append(hook)


def down(world: World, name: str, last: float) -> None:
    """A process dies, and is started again later."""
    if name and world.hosts[name].up:
        world.kill(name)
        world.at(world.now + last, lambda: None if world.hosts[name].up else world.start(name))


def calm(seed: int) -> Found:
    """Nothing goes wrong."""
    return finish(begin(seed))


def driver_dies(seed: int, step: ReplacementStep) -> Found:
    """Whoever drives a machine dies soon after a step began."""
    world = begin(seed)
    once(world, step, lambda: down(world, world.driver(ONE), 6000.0 + 4000.0 * world.draw.random()))
    return finish(world)


def targets(world: World, both: bool) -> Found:
    """The target of pins dies having accepted, maybe the mover too."""
    hit: list[str] = []

    def hook(mover: str, action: MoveKeys) -> None:
        if action.machine == ONE and not hit:
            hit.append(action.target)
            world.at(world.now + 60.0, lambda: down(world, action.target, 5000.0))
            if both:
                world.at(world.now + 100.0 * world.draw.random(), lambda: down(world, mover, 7000.0))

    world.on_move.append(hook)
    return finish(world)


def target_dies(seed: int) -> Found:
    """The target dies having accepted."""
    return targets(begin(seed), False)


def both_die(seed: int) -> Found:
    """Mover and target die."""
    return targets(begin(seed), True)


def power(seed: int, step: ReplacementStep) -> Found:
    """The power goes at a step: all are killed, registers are kept."""
    world = begin(seed)
    once(world, step, lambda: world.power_cut(2000.0))
    return finish(world)


def stopped(seed: int, step: ReplacementStep) -> Found:
    """The driver stands still for 5 s and goes on with what it believed."""
    world = begin(seed)

    def stop() -> None:
        if name := world.driver(ONE):
            world.stop(name, 5000.0)

    once(world, step, stop)
    return finish(world)


def halves(seed: int, *sizes: int) -> Found:
    """The fleet falls apart for 8 s at some moment."""
    count = sum(sizes)
    world = begin(seed, count)
    when = 2000.0 + 15_000.0 * random.Random(seed).random()
    world.at(when, lambda: world.part(*random.Random(seed).sample(sizes, len(sizes))))
    world.at(when + 8000.0, world.part)
    return finish(world, count)


def lossy(seed: int) -> Found:
    """30% of messages lost, operations carried out twice and out of order."""
    return finish(begin(seed, trouble=BAD), swift=False)


def two_ask(seed: int) -> Found:
    """Two people ask for contradicting swaps in the same moment at two sockets."""
    world = World(seed)
    world.run(2000.0 + seed % 100)
    world.ask("d0", "ann", MachineRequest("d1", "e1"), MachineRequest("d2"))
    world.at(
        world.now + seed % 120,
        lambda: world.ask("d5", "bob", MachineRequest("d4"), MachineRequest("d1", "f1")),
    )
    world.run(8000.0)
    refused = sorted(a.rejection for a in world.answers)
    if len(refused) != 2 or refused[0] or "already asked" not in refused[1]:
        world.breach(f"answers {refused}")
    who = "ann" if any(a.request.requested_by == "ann" and not a.rejection for a in world.answers) else "bob"
    if len(refused) == 2 and f"by {who}" not in refused[1]:
        world.breach(f"the refusal names not {who}: {refused[1]}")
    names = ["d1", "d2"] if who == "ann" else ["d1", "d4"]
    if not world.run_until(lambda: world.over(*names), LONG):
        world.breach("not at its end")
    return result(world)


def limit(most: float) -> Callable[[Mapping[str, float]], list[str]]:
    """An outlook that bears so many cores lost."""

    def bearable(out: Mapping[str, float]) -> list[str]:
        lost = sum(out.values())
        return [f"{lost:g} cores out, {most:g} can be borne"] if lost > most else []

    return bearable


def never_comes(seed: int) -> Found:
    """New hardware never comes: the swap waits and says so, others go on only as far as can be borne."""
    world = World(seed, hardware=lambda name: None if name == ONE else 1000.0, bearable=limit(8.0))
    world.run(2000.0)
    world.ask("d0", "ann", *items(), most_out=2, zones=3)
    world.run_until(lambda: (r := world.record(ONE)) is not None and r.reason is StepReason.NOT_ARRIVED, LONG)
    before = {n: r.step for n in world.hosts if (r := world.record(n))}
    world.run(world.now + 20_000.0)
    after = {n: r.step for n in world.hosts if (r := world.record(n))}
    record = world.record(ONE)
    if (
        record is None
        or record.step is not ReplacementStep.OUT
        or record.reason is not StepReason.NOT_ARRIVED
    ):
        world.breach(f"{ONE}: {record}")
    if before != after:
        world.breach(f"others went on: {before}, {after}")
    return result(world)


def smaller(seed: int) -> Found:
    """One comes with 2 cores of 8: said, and what the outlook no longer bears does not start."""
    world = World(seed, sizes={ONE: 2.0}, bearable=limit(12.0))
    world.run(2000.0)
    world.ask("d0", "ann", *items(), zones=3)
    world.run_until(lambda: (r := world.record(ONE)) is not None and r.is_over, LONG)
    world.run(world.now + 10_000.0)
    steps = [r.step for n in world.hosts if (r := world.record(n)) and not r.is_over]
    if world.whole().active_machine_ids or any(step > ReplacementStep.AGREED for step in steps):
        world.breach(f"others went on: {steps}")
    rows = [row for h in world.hosts.values() if h.up and h.swap for row in h.swap.status()]
    if not any("2 cores of 8" in text for row in rows for text in row.reasons):
        world.breach("nobody says that it is smaller")
    if steps and not any("can be borne" in text for row in rows for text in row.reasons):
        world.breach("nobody says why the others wait")
    return result(world)


def aborted(seed: int, step: ReplacementStep) -> Found:
    """One machine's swap is aborted by hand at a step; the others go on."""
    world = begin(seed)

    def abort() -> None:
        # Asked at one that stays: one that is powered off a moment later takes the word with it.
        out = {ONE, *(n for n in world.hosts if machine_id(n) in world.whole().active_machine_ids)}
        for host in world.hosts.values():
            if host.swap is not None and host.up and ONE in host.swap.view.records and host.name not in out:
                host.swap.abort(world.now, "bob", "wrong rack", ONE)
                return

    once(world, step, abort)
    found = finish(world)
    record = world.record(ONE)
    if record is None or record.step is not ReplacementStep.ABORTED:
        world.breach(f"{ONE}: {record}")
    elif not any(
        world.hosts[n].up and not world.hosts[n].drained
        for n in (ONE, record.replacement)
        if n in world.hosts
    ):
        world.breach(f"neither {ONE} nor {record.replacement} serves")
    return found


def zone_lost(seed: int, step: ReplacementStep) -> Found:
    """A zone is left in the middle, and returns 6 s later."""
    world = begin(seed)
    once(world, step, lambda: world.zone_trouble("b", "left"))
    once(world, step, lambda: world.at(world.now + 6000.0, lambda: world.zone_trouble("b", "")), 0.0)
    return finish(world)


def author_dies(seed: int) -> Found:
    """Whoever lays a request dies in the middle: all of it stands, or nothing; then it is asked again."""
    world = begin(seed)
    world.at(world.now + 100.0 * random.Random(seed).random(), lambda: down(world, "d0", 4000.0))
    world.run(world.now + 9000.0)
    if world.whole().state is not PlanState.OPEN:
        world.breach("still locked")
    if not world.whole().first_machine:
        world.ask("d5", "ann", *items(), most_out=2)
    return finish(world)


def majority_stays(seed: int) -> Found:
    """Four of five may be out at once, but for the voters."""
    world = World(seed, 5)
    world.run(2000.0)
    world.ask("d0", "ann", *items(5), most_out=4, zones=3)
    return finish(world, 5)


def empty_voter(seed: int) -> Found:
    """New ones come with an empty folder and may not vote for 6 s."""
    world = World(seed, empty=6000.0)
    world.run(2000.0)
    world.ask("d0", "ann", *items(), most_out=2)
    return finish(world)


def storm(seed: int) -> Found:
    """Kills, stops and a parting at random moments under loss, then peace."""
    world, draw = begin(seed, trouble=BAD), random.Random(seed)
    for _ in range(draw.randint(2, 5)):
        when = 2500.0 + 20_000.0 * draw.random()
        name = f"d{draw.randrange(8)}"
        fault = draw.choice(("kill", "stop", "part"))
        if fault == "kill":
            world.at(when, lambda name=name: down(world, name, 5000.0))  # type: ignore[misc]
        elif fault == "stop":
            world.at(when, lambda name=name: world.stop(name, 5000.0))  # type: ignore[misc]
        else:
            world.at(when, lambda: world.part(3, 5))
            world.at(when + 3 * NOTICE, world.part)
    return finish(world, swift=False)


def _stepped(case: Callable[[int, ReplacementStep], Found]) -> dict[str, Callable[[int], Found]]:
    name = case.__name__.replace("_", " ")
    return {f"{name}: {step.name.lower()}": lambda seed, step=step: case(seed, step) for step in STEPS}  # type: ignore[misc]


CASES: dict[str, Callable[[int], Found]] = {
    "calm": calm,
    **_stepped(driver_dies),
    "target dies": target_dies,
    "mover and target die": both_die,
    **_stepped(power),
    **_stepped(stopped),
    "parted 3/3": lambda seed: halves(seed, 3, 3),
    "parted 2/3/3": lambda seed: halves(seed, 2, 3, 3),
    "30% lost, twice, disorder": lossy,
    "two contradicting requests": two_ask,
    "hardware never comes": never_comes,
    "smaller hardware": smaller,
    **_stepped(aborted),
    **_stepped(zone_lost),
    "author dies": author_dies,
    "empty folder": empty_voter,
    "four at once": majority_stays,
    "storm": storm,
}
