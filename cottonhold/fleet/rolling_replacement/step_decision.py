"""Decides the next step of one machine's replacement, with one function for each step; does no I/O.

A decision holds a new record to be set by compare-and-set, actions, and reasons to wait.

An abort before OUT ends the replacement immediately: keys that were already moved stay with their new owners,
and the machine accepts clients again. From OUT on, the old machine or the replacement must first be put in
place and take its full share of traffic; then the replacement ends as aborted.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.rolling_replacement.plan import (
    Machine,
    MachineFlag,
    MachineRecord,
    ReplacementRequest,
    ReplacementStep,
    StepReason,
    to_tenths,
)


@dataclass(slots=True, frozen=True)
class MoveKeys:
    """Move at most `max_keys` keys away from a machine. Session affinity chooses the targets itself."""

    machine: str
    target: str
    max_keys: int
    epoch: int


@dataclass(slots=True, frozen=True)
class Drain:
    """Drain a machine: this instance stops accepting clients, or stops sending requests to an engine."""

    machine: str


@dataclass(slots=True, frozen=True)
class Undrain:
    """Reverse a Drain."""

    machine: str


@dataclass(slots=True, frozen=True)
class ReadyToPowerOff:
    """Notify operators that a machine may be powered off."""

    machine: str
    epoch: int


@dataclass(slots=True, frozen=True)
class LogStep:
    """Log that a machine's step has changed, or the event that `reason` describes if `step` is None."""

    machine: str
    step: ReplacementStep | None
    reason: str


@dataclass(slots=True, frozen=True)
class RequestAnswered:
    """Report the result of a request made here: why it was rejected, or "" if it was accepted."""

    request: ReplacementRequest
    rejection: str


QUORUM_REASON = "a majority of voters must stay up"
Action = (
    ChangeRegister | ReadRegister | MoveKeys | Drain | Undrain | ReadyToPowerOff | LogStep | RequestAnswered
)


@dataclass(slots=True, frozen=True)
class StepSettings:
    """Times of the steps.

    Attributes:
        move_interval_ms: Minimum interval between moves of a machine's keys, in ms.
        max_keys_per_move: Maximum number of keys that are moved at a time.
        step_timeout_ms: Maximum time of MOVING or DRAINING, in ms; after it the replacement fails, so that it
            does not block others forever.
        arrival_timeout_ms: Time after which a replacement that has not arrived is late, in ms.
        ramp_ms: Time of RAMPING if no traffic share is reported, in ms.
        absence_timeout_ms: Time after which an absent machine's open requests are regarded as ended, and an
            absent replacement as gone, in ms.
        quorum_wait_ms: Time after which a draining machine that is needed for the voters' majority accepts
            clients again, in ms.
    """

    move_interval_ms: float = 250.0
    max_keys_per_move: int = 100
    step_timeout_ms: float = 600_000.0
    arrival_timeout_ms: float = 900_000.0
    ramp_ms: float = 3000.0
    absence_timeout_ms: float = 10_000.0
    quorum_wait_ms: float = 3000.0


@dataclass(slots=True, frozen=True)
class MachineView:
    """The state of one machine's replacement on which its driver's decision depends.

    Attributes:
        step_age_ms: Time since this instance has seen the current step, in ms.
        machines: Present machines by name.
        blocked_reasons: Reasons why no machine may be taken out now.
        remaining_keys: Number of keys that the old machine still owns; None if not reported.
        open_requests: Number of open requests at the old machine; None if not reported.
        absent_ms: Time since the old machine was last seen, in ms.
        replacement_absent_ms: Time since the replacement was last seen, in ms.
        traffic_share: Fraction of its normal traffic that the replacement receives; None if not reported.
        leaves_quorum: Whether a majority of voters stays up without the machine.
        target: Name of the dispatcher to which its keys are moved; empty if there is none.
        last_move_age_ms: Time since keys were last moved, in ms.
        running_ms: Time since the start of MOVING, in ms.
    """

    step_age_ms: float
    machines: Mapping[str, Machine]
    blocked_reasons: list[str] = field(default_factory=list)
    remaining_keys: int | None = None
    open_requests: int | None = None
    absent_ms: float = 0.0
    replacement_absent_ms: float = 0.0
    traffic_share: float | None = None
    leaves_quorum: bool = True
    target: str = ""
    last_move_age_ms: float = float("inf")
    running_ms: float = 0.0


@dataclass(slots=True)
class StepDecision:
    """The next record if it changes, actions, and reasons to wait."""

    record: MachineRecord | None = None
    actions: list[Action] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)


def decide_step(name: str, record: MachineRecord, view: MachineView, settings: StepSettings) -> StepDecision:
    """Decide the next step of a machine whose replacement has started or is aborted."""
    if record.has_flag(MachineFlag.ABORTING) and record.step <= ReplacementStep.DRAINING:
        return StepDecision(replace(record, step=ReplacementStep.ABORTED, reason=StepReason.OPERATOR))
    step = STEPS.get(record.step)
    return step(name, record, view, settings) if step is not None else StepDecision()


def _decide_moving(
    name: str, record: MachineRecord, view: MachineView, settings: StepSettings
) -> StepDecision:
    if view.step_age_ms > settings.step_timeout_ms:
        return StepDecision(replace(record, step=ReplacementStep.FAILED, reason=StepReason.TIMED_OUT))
    if view.blocked_reasons:
        return StepDecision(reasons=view.blocked_reasons)
    if record.has_flag(MachineFlag.ENGINE) or view.remaining_keys == 0:
        return (
            StepDecision(replace(record, step=ReplacementStep.DRAINING))
            if view.leaves_quorum
            else StepDecision(reasons=[QUORUM_REASON])
        )
    return _move_keys(name, record, view, settings)


def _move_keys(name: str, record: MachineRecord, view: MachineView, settings: StepSettings) -> StepDecision:
    if view.remaining_keys is None:
        return StepDecision(reasons=["its pins are not counted yet"])
    if not view.target:
        return StepDecision(reasons=[f"{view.remaining_keys} pins, and nobody to take them"])
    reasons = [f"{view.remaining_keys} pins left"]
    if view.last_move_age_ms < settings.move_interval_ms:
        return StepDecision(reasons=reasons)
    return StepDecision(
        None, [MoveKeys(name, view.target, settings.max_keys_per_move, record.epoch)], reasons
    )


def _decide_draining(
    name: str, record: MachineRecord, view: MachineView, settings: StepSettings
) -> StepDecision:
    if view.step_age_ms > settings.step_timeout_ms:
        return StepDecision(replace(record, step=ReplacementStep.FAILED, reason=StepReason.TIMED_OUT))
    if not view.leaves_quorum and view.step_age_ms > settings.quorum_wait_ms:
        # The machine accepts clients again, because it cannot be taken out until another voter is up.
        return StepDecision(replace(record, step=ReplacementStep.MOVING), reasons=[QUORUM_REASON])
    if view.blocked_reasons:
        return StepDecision(reasons=view.blocked_reasons)
    # A request that arrived between the last move and the drain may have added a key.
    if not record.has_flag(MachineFlag.ENGINE) and view.remaining_keys != 0:
        return _move_keys(name, record, view, settings)
    is_absent = view.absent_ms > settings.absence_timeout_ms
    if view.open_requests is None and not is_absent:
        return StepDecision(reasons=["its open requests are not counted yet"])
    if view.open_requests and not is_absent:
        return StepDecision(reasons=[f"{view.open_requests} requests open"])
    if not view.leaves_quorum:
        return StepDecision(reasons=[QUORUM_REASON])
    old = view.machines.get(name)
    incarnation = old.incarnation & 0xFFFFFFFF if old is not None else record.incarnation
    return StepDecision(replace(record, step=ReplacementStep.OUT, incarnation=incarnation))


def arrived_machine(name: str, record: MachineRecord, machines: Mapping[str, Machine]) -> Machine | None:
    """Return the machine that is in place now: one with another name, or a new incarnation of the old one.

    When the replacement is aborted, this may also be the old machine if it was never powered off.
    """
    replacement = machines.get(record.replacement)
    if replacement is not None and (record.replacement != name or _is_other_incarnation(record, replacement)):
        return replacement
    return machines.get(name) if record.has_flag(MachineFlag.ABORTING) else None


def _is_other_incarnation(record: MachineRecord, arrived: Machine) -> bool:
    """Return whether the machine with the old machine's name was started after the old machine was out."""
    incarnation = arrived.incarnation & 0xFFFFFFFF
    if not record.has_flag(MachineFlag.ENGINE):
        return incarnation != record.incarnation
    # In a list without start times, an old engine that is not powered off yet looks like the new one. So the
    # engine must have been absent first; this is recorded, because the next driver may not have seen it.
    return record.has_flag(MachineFlag.WAS_AWAY) or bool(
        incarnation and record.incarnation and incarnation != record.incarnation
    )


def _decide_out(name: str, record: MachineRecord, view: MachineView, settings: StepSettings) -> StepDecision:
    arrived = arrived_machine(name, record, view.machines)
    if arrived is not None:
        return StepDecision(
            replace(
                record,
                step=ReplacementStep.IN_PLACE,
                arrived_cores_tenths=max(to_tenths(arrived.cores), 1),
                reason=StepReason.NONE,
            )
        )
    if (
        record.has_flag(MachineFlag.ENGINE)
        and not record.has_flag(MachineFlag.WAS_AWAY)
        and name not in view.machines
    ):
        return StepDecision(
            replace(record, flags=record.flags | MachineFlag.WAS_AWAY), reasons=[f"'{name}' is away"]
        )
    notifications: list[Action] = [ReadyToPowerOff(name, record.epoch)]
    if record.has_flag(MachineFlag.ABORTING):
        return StepDecision(None, [], [f"aborted: '{name}' or '{record.replacement}' has to be put back"])
    if view.step_age_ms > settings.arrival_timeout_ms:
        late_record = (
            replace(record, reason=StepReason.NOT_ARRIVED)
            if record.reason is not StepReason.NOT_ARRIVED
            else None
        )
        return StepDecision(
            late_record,
            notifications,
            [f"'{record.replacement}' has not come in {settings.arrival_timeout_ms / 1000:g} s"],
        )
    is_still_listed = record.has_flag(MachineFlag.ENGINE) and name in view.machines
    reason = (
        f"'{name}' is there still, as before it was out"
        if is_still_listed
        else f"waits for '{record.replacement}'"
    )
    return StepDecision(None, notifications, [reason])


def _decide_in_place(
    name: str, record: MachineRecord, view: MachineView, settings: StepSettings
) -> StepDecision:
    is_smaller = record.arrived_cores_tenths < (
        record.requested_cores_tenths if not record.has_flag(MachineFlag.ABORTING) else record.cores_tenths
    )
    return StepDecision(
        replace(
            record, step=ReplacementStep.RAMPING, reason=StepReason.SMALLER if is_smaller else StepReason.NONE
        )
    )


def _decide_ramping(
    name: str, record: MachineRecord, view: MachineView, settings: StepSettings
) -> StepDecision:
    arrived = arrived_machine(name, record, view.machines)
    if arrived is None:
        if view.replacement_absent_ms < settings.absence_timeout_ms:
            return StepDecision(reasons=[f"'{record.replacement}' is not seen"])
        return StepDecision(
            replace(
                record, step=ReplacementStep.OUT, arrived_cores_tenths=0, reason=StepReason.REPLACEMENT_LEFT
            )
        )
    if record.has_flag(MachineFlag.VOTER) and not arrived.is_voting:
        return StepDecision(reasons=[f"'{arrived.name}' has an empty memory: it may not vote yet"])
    if (
        view.traffic_share is not None
        and view.traffic_share < 1.0
        or view.traffic_share is None
        and view.step_age_ms < settings.ramp_ms
    ):
        return StepDecision(reasons=[f"takes {view.traffic_share or 0.0:.0%} of its part"])
    if record.has_flag(MachineFlag.ABORTING):
        return StepDecision(replace(record, step=ReplacementStep.ABORTED, reason=StepReason.OPERATOR))
    return StepDecision(
        replace(record, step=ReplacementStep.DONE, duration_tenths=min(int(view.running_ms / 100), 0xFFFF))
    )


Decider = Callable[[str, MachineRecord, MachineView, StepSettings], StepDecision]
STEPS: dict[ReplacementStep, Decider] = {
    ReplacementStep.MOVING: _decide_moving,
    ReplacementStep.DRAINING: _decide_draining,
    ReplacementStep.OUT: _decide_out,
    ReplacementStep.IN_PLACE: _decide_in_place,
    ReplacementStep.RAMPING: _decide_ramping,
}
