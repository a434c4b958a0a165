"""Defects that are planted into the rolling replacement; the model's checks have to detect each."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from cottonhold.fleet.rolling_replacement import step_decision
from cottonhold.fleet.rolling_replacement.machine_driver import MachineDriver
from cottonhold.fleet.rolling_replacement.plan import ReplacementStep
from cottonhold.fleet.rolling_replacement.schedule import Limits
from cottonhold.fleet.rolling_replacement.start_conditions import StartConditions

_limits = StartConditions._limits


@dataclass(slots=True, frozen=True)
class Patch:
    """A value to set as an attribute, or under a key of a table."""

    target: Any
    key: Any
    value: Any

    def apply(self) -> Patch:
        """Set the value; return the patch that restores the former one."""
        if isinstance(self.target, dict):
            original = self.target[self.key]
            self.target[self.key] = self.value
        else:
            original = getattr(self.target, self.key)
            setattr(self.target, self.key, self.value)
        return Patch(self.target, self.key, original)


@dataclass(slots=True, frozen=True)
class Defect:
    """A defect: the case that shows it, a part of the violation that is then reported, and its patches."""

    case: str
    breach: str
    patches: tuple[Patch, ...]


@contextmanager
def planted_defect(defect: Defect) -> Iterator[None]:
    """Apply a defect's patches, and undo them at the end."""
    originals = [patch.apply() for patch in defect.patches]
    try:
        yield
    finally:
        for original in originals:
            original.apply()


def _limits_without_quorum(*args: Any) -> Limits:
    return replace(_limits(*args), spare_voters=99)


def _limits_without_zones(*args: Any) -> Limits:
    return replace(_limits(*args), max_zones=9)


def _drain_at_once(name: str, record: Any, view: Any, settings: Any) -> step_decision.StepDecision:
    return step_decision.StepDecision(replace(record, step=ReplacementStep.DRAINING))


def _drain_with_old_key_count(name: str, record: Any, view: Any, settings: Any) -> step_decision.StepDecision:
    remaining_keys = 0 if view.remaining_keys is None else view.remaining_keys
    return step_decision._decide_draining(
        name, record, replace(view, remaining_keys=remaining_keys), settings
    )


def _always(*args: Any) -> bool:
    return True


def _never(*args: Any) -> bool:
    return False


DEFECTS: dict[str, Defect] = {
    "no epoch fence": Defect(
        "stopped: moving", "under epoch", (Patch(MachineDriver, "_is_sole_driver", _always),)
    ),
    "no quorum check": Defect(
        "four at once",
        "goes out and leaves",
        (
            Patch(StartConditions, "_limits", _limits_without_quorum),
            Patch(MachineDriver, "_leaves_quorum", _always),
        ),
    ),
    "start while a zone is out": Defect(
        "zone lost: moving",
        "is in trouble",
        (Patch(MachineDriver, "_blocked_reasons", lambda *args: []),),
    ),
    "two zones at once": Defect(
        "calm", "in more than 1 zones", (Patch(StartConditions, "_limits", _limits_without_zones),)
    ),
    "drained before its pins are moved": Defect(
        "calm", "pins", (Patch(step_decision.STEPS, ReplacementStep.MOVING, _drain_at_once),)
    ),
    "a count of the step before": Defect(
        "calm",
        "with its place in the table",
        (Patch(step_decision.STEPS, ReplacementStep.DRAINING, _drain_with_old_key_count),),
    ),
    "nobody takes over": Defect(
        "driver dies: out", "not at its end", (Patch(MachineDriver, "_needs_new_driver", _never),)
    ),
}
