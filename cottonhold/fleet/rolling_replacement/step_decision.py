"""The steps of one machine's swap: where it stands, what is seen, and so what comes next. Pure, one function
a step; each answer is a new record to be set by compare-and-set, effects to be carried out, and reasons to
wait.

The way back: before MOVING an abort ends at once. In MOVING and DRAINING pins that have moved stay where they
are, the machine takes clients again. From OUT on somebody must put a machine there first, the old one or the
new; it takes its part again, and then the swap counts as aborted.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.rolling_replacement.plan import Flag, Machine, Reason, Record, Request, Step, tenths


@dataclass(slots=True, frozen=True)
class MovePins:
    """At most so many of a machine's pins go to a target, under this epoch of the machine's swap."""

    machine: str
    target: str
    most: int
    epoch: int


@dataclass(slots=True, frozen=True)
class Drain:
    """This instance takes no new clients' connections and hands over; of an engine: nothing new goes to
    it."""

    machine: str


@dataclass(slots=True, frozen=True)
class Undrain:
    """The way back from Drain."""

    machine: str


@dataclass(slots=True, frozen=True)
class Ready:
    """A machine may be powered off: operators are told."""

    machine: str
    epoch: int


@dataclass(slots=True, frozen=True)
class Say:
    """For the log: a machine's step has changed, or why it waits; an empty machine is the request itself."""

    machine: str
    step: Step | None
    why: str


@dataclass(slots=True, frozen=True)
class Answer:
    """The end of a request made here: why it was refused, nothing if it was taken."""

    request: Request
    refused: str


SPARE = "a majority of voters must stay up"
Action = ChangeRegister | ReadRegister | MovePins | Drain | Undrain | Ready | Say | Answer


@dataclass(slots=True, frozen=True)
class StepSettings:
    """Times in ms. batch: so often pins are asked to move, and batch_most: so many at once. give_up: moving
    or draining longer than that fails the swap, so that it does not hold the others up for good. hardware:
    from then on a new machine counts as late. ramp: so long a machine takes to its full part where nobody
    tells its pace. gone: so long a machine must be away before its open requests count as ended with it.
    lonely: one that has drained so long and can't go, for want of voters, takes clients again."""

    batch: float = 250.0
    batch_most: int = 100
    give_up: float = 600_000.0
    hardware: float = 900_000.0
    ramp: float = 3000.0
    gone: float = 10_000.0
    lonely: float = 3000.0


@dataclass(slots=True, frozen=True)
class View:
    """What the driver of one machine knows of it.

    since: for how many ms it has been in its step, as far as this instance saw. held: why nothing may be
    taken out now. pins, open: of the old machine, nothing if never told. away, missing: for how long the old
    one and the new one have not been seen.
    pace: the share of its part that it takes, if told. spare: whether a majority of voters stays up without
    it. target: where its pins go. moved: ms since pins were last asked to move. ran: ms since MOVING.
    """

    since: float
    there: Mapping[str, Machine]
    held: list[str] = field(default_factory=list)
    pins: int | None = None
    open: int | None = None
    away: float = 0.0
    missing: float = 0.0
    pace: float | None = None
    spare: bool = True
    target: str = ""
    moved: float = float("inf")
    ran: float = 0.0


@dataclass(slots=True)
class Verdict:
    """What follows."""

    next: Record | None = None
    effects: list[Action] = field(default_factory=list)
    why: list[str] = field(default_factory=list)


def decide(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    """The next step of a machine that has begun, or that is aborted before."""
    if record.has(Flag.ABORT) and record.step <= Step.DRAINING:
        return Verdict(replace(record, step=Step.ABORTED, reason=Reason.BY_HAND))
    step = STEPS.get(record.step)
    return step(name, record, view, settings) if step is not None else Verdict()


def _moving(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    if view.since > settings.give_up:
        return Verdict(replace(record, step=Step.FAILED, reason=Reason.LATE))
    if view.held:
        return Verdict(why=view.held)
    if record.has(Flag.ENGINE) or view.pins == 0:
        return Verdict(replace(record, step=Step.DRAINING)) if view.spare else Verdict(why=[SPARE])
    return _move(name, record, view, settings)


def _move(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    if view.pins is None:
        return Verdict(why=["its pins are not counted yet"])
    if not view.target:
        return Verdict(why=[f"{view.pins} pins, and nobody to take them"])
    why = [f"{view.pins} pins left"]
    if view.moved < settings.batch:
        return Verdict(why=why)
    return Verdict(None, [MovePins(name, view.target, settings.batch_most, record.epoch)], why)


def _draining(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    if view.since > settings.give_up:
        return Verdict(replace(record, step=Step.FAILED, reason=Reason.LATE))
    if not view.spare and view.since > settings.lonely:
        # Danger: with a voter dead a drained machine could go nowhere, and turned its clients away for as
        # long as that lasted: two of three dispatchers served nobody.
        return Verdict(replace(record, step=Step.MOVING), why=[SPARE])
    if view.held:
        return Verdict(why=view.held)
    # Danger: a client that came between the last pin and the drain brought a new one, which was lost.
    if not record.has(Flag.ENGINE) and view.pins != 0:
        return _move(name, record, view, settings)
    dead = view.away > settings.gone
    if view.open is None and not dead:
        return Verdict(why=["its open requests are not counted yet"])
    if view.open and not dead:
        return Verdict(why=[f"{view.open} requests open"])
    if not view.spare:
        return Verdict(why=[SPARE])
    old = view.there.get(name)
    life = old.life & 0xFFFFFFFF if old is not None else record.life
    return Verdict(replace(record, step=Step.OUT, life=life))


def arrived(name: str, record: Record, there: Mapping[str, Machine]) -> Machine | None:
    """The machine that is to be in place: another id, or another life of the same one; after an abort also
    the old one that was never powered off."""
    new = there.get(record.new)
    if new is not None and (record.new != name or _another(record, new)):
        return new
    return there.get(name) if record.has(Flag.ABORT) else None


def _another(record: Record, new: Machine) -> bool:
    """Whether the machine under the old one's id has been started since that one was out."""
    life = new.life & 0xFFFFFFFF
    if not record.has(Flag.ENGINE):
        return life != record.life
    # Danger: a list that tells no starts shows the old engine, not powered off yet, as it would the new one.
    # So it has to have been away first, which lies in the register: whoever drives next may not have seen it.
    return record.has(Flag.AWAY) or bool(life and record.life and life != record.life)


def _out(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    new = arrived(name, record, view.there)
    if new is not None:
        return Verdict(
            replace(record, step=Step.IN_PLACE, seen=max(tenths(new.cores), 1), reason=Reason.NONE)
        )
    if record.has(Flag.ENGINE) and not record.has(Flag.AWAY) and name not in view.there:
        return Verdict(replace(record, flags=record.flags | Flag.AWAY), why=[f"'{name}' is away"])
    ready: list[Action] = [Ready(name, record.epoch)]
    if record.has(Flag.ABORT):
        return Verdict(None, [], [f"aborted: '{name}' or '{record.new}' has to be put back"])
    if view.since > settings.hardware:
        late = replace(record, reason=Reason.HARDWARE) if record.reason is not Reason.HARDWARE else None
        return Verdict(late, ready, [f"'{record.new}' has not come in {settings.hardware / 1000:g} s"])
    still = record.has(Flag.ENGINE) and name in view.there
    why = f"'{name}' is there still, as before it was out" if still else f"waits for '{record.new}'"
    return Verdict(None, ready, [why])


def _in_place(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    smaller = record.seen < (record.told if not record.has(Flag.ABORT) else record.cores)
    return Verdict(replace(record, step=Step.RAMPING, reason=Reason.SMALLER if smaller else Reason.NONE))


def _ramping(name: str, record: Record, view: View, settings: StepSettings) -> Verdict:
    new = arrived(name, record, view.there)
    if new is None:
        if view.missing < settings.gone:
            return Verdict(why=[f"'{record.new}' is not seen"])
        return Verdict(replace(record, step=Step.OUT, seen=0, reason=Reason.GONE))
    if record.has(Flag.VOTER) and not new.votes:
        return Verdict(why=[f"'{new.name}' has an empty memory: it may not vote yet"])
    if view.pace is not None and view.pace < 1.0 or view.pace is None and view.since < settings.ramp:
        return Verdict(why=[f"takes {view.pace or 0.0:.0%} of its part"])
    if record.has(Flag.ABORT):
        return Verdict(replace(record, step=Step.ABORTED, reason=Reason.BY_HAND))
    return Verdict(replace(record, step=Step.DONE, took=min(int(view.ran / 100), 0xFFFF)))


Decider = Callable[[str, Record, View, StepSettings], Verdict]
STEPS: dict[Step, Decider] = {
    Step.MOVING: _moving,
    Step.DRAINING: _draining,
    Step.OUT: _out,
    Step.IN_PLACE: _in_place,
    Step.RAMPING: _ramping,
}
