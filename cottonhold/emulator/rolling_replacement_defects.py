"""Defects planted into the swap on purpose: the model's checks have to notice each."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from cottonhold.fleet.rolling_replacement import start_conditions, step_decision
from cottonhold.fleet.rolling_replacement.machine_driver import MachineDriver
from cottonhold.fleet.rolling_replacement.plan import ReplacementStep
from cottonhold.fleet.rolling_replacement.schedule import Limits

_limits = start_conditions.StartConditions._limits


def _spare(*given: Any) -> Limits:
    return replace(_limits(*given), spare_voters=99)


def _zones(*given: Any) -> Limits:
    return replace(_limits(*given), max_zones=9)


def _unmoved(name: str, record: Any, view: Any, settings: Any) -> step_decision.StepDecision:
    return step_decision.StepDecision(replace(record, step=ReplacementStep.DRAINING))


def _count_of_before(name: str, record: Any, view: Any, settings: Any) -> step_decision.StepDecision:
    pins = 0 if view.remaining_keys is None else view.remaining_keys
    return step_decision._decide_draining(name, record, replace(view, remaining_keys=pins), settings)


# name -> the case that shows it, what the check says, and what is put in whose place
DEFECTS: dict[str, tuple[str, str, list[tuple[Any, str, Any]]]] = {
    "no epoch fence": (
        "stopped: moving",
        "under epoch",
        [(MachineDriver, "_is_sole_driver", lambda *a: True)],
    ),
    "no quorum check": (
        "four at once",
        "goes out and leaves",
        [
            (start_conditions.StartConditions, "_limits", _spare),
            (MachineDriver, "_keeps_quorum", lambda *a: True),
        ],
    ),
    "start while a zone is out": (
        "zone lost: moving",
        "is in trouble",
        [(MachineDriver, "_blocked_reasons", lambda *a: [])],
    ),
    "two zones at once": (
        "calm",
        "in more than 1 zones",
        [(start_conditions.StartConditions, "_limits", _zones)],
    ),
    "drained before its pins are moved": ("calm", "pins", [(step_decision.STEPS, "MOVING", _unmoved)]),
    "a count of the step before": (
        "calm",
        "with its place in the table",
        [(step_decision.STEPS, "DRAINING", _count_of_before)],
    ),
    "nobody takes over": (
        "driver dies: out",
        "not at its end",
        [(MachineDriver, "_is_undriven", lambda *a: False)],
    ),
}


@contextmanager
def planted(name: str) -> Iterator[tuple[str, str]]:
    """With this defect in place: the case that shows it, and what its check says."""
    case, says, puts = DEFECTS[name]
    before: list[tuple[Any, Any, Any]] = []
    for where, key, value in puts:
        if isinstance(where, dict):
            before.append((where, ReplacementStep[key], where[ReplacementStep[key]]))
            where[ReplacementStep[key]] = value
        else:
            before.append((where, key, getattr(where, key)))
            setattr(where, key, value)
    try:
        yield case, says
    finally:
        for where, key, value in before:
            if isinstance(where, dict):
                where[key] = value
            else:
                setattr(where, key, value)
