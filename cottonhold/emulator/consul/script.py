"""Scripts for the emulated Consul agent: changes and faults with their times. Each line is a step:

    # seconds from the start, kind, and arguments
    2.0  critical e1
    2.5  fault cut 3        # for 3 s, answers to watchers break off in mid-body
    8    maintenance e2 on
    9.5  deregister e3
    10   register e3 127.0.0.1:9103

Faults: hang, cut, truncate, empty, garbage, drip, status CODE, noleader, backwards, stale SECONDS_BEHIND,
gzip, chunked. The last argument of a fault is how long it lasts, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Kinds of faults in a script; each has a duration."""

    HANG = "hang"
    CUT = "cut"
    TRUNCATE = "truncate"
    EMPTY = "empty"
    GARBAGE = "garbage"
    DRIP = "drip"
    STATUS = "status"
    NO_LEADER = "noleader"
    BACKWARDS = "backwards"
    STALE = "stale"
    GZIP = "gzip"
    CHUNKED = "chunked"


class ChangeKind(StrEnum):
    """Kinds of changes of the catalogue in a script."""

    CRITICAL = "critical"
    WARNING = "warning"
    PASSING = "passing"
    NODE_FAIL = "nodefail"
    NODE_WELL = "nodewell"
    MAINTENANCE = "maintenance"
    DEREGISTER = "deregister"
    REGISTER = "register"
    REVOKE = "revoke"
    GRANT = "grant"


FAULT_KEYWORD = "fault"
FAULT_ARGUMENTS: dict[str, int] = {
    kind: int(kind in (FaultKind.STATUS, FaultKind.STALE)) for kind in FaultKind
}
CHANGE_ARGUMENTS: dict[str, int] = {
    kind: 2 if kind in (ChangeKind.MAINTENANCE, ChangeKind.REGISTER) else 1 for kind in ChangeKind
}


class ScriptError(Exception):
    """An invalid line, with its number."""


@dataclass(slots=True, frozen=True)
class Step:
    """One line of a script: time, kind, arguments, and for faults the duration."""

    at_s: float
    kind: FaultKind | ChangeKind
    args: tuple[str, ...] = ()
    duration_s: float = 0.0


def parse(text: str) -> list[Step]:
    """Return all steps of a script in order of time. Raises ScriptError."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.split("#")[0].split()
        if not fields:
            continue
        try:
            steps.append(_parse_step(fields))
        except (ValueError, IndexError) as error:
            raise ScriptError(f"line {number}: {error}: {line.strip()}") from error
    return sorted(steps, key=lambda step: step.at_s)


def _parse_step(fields: list[str]) -> Step:
    at_s = float(fields[0])
    if at_s < 0:
        raise ValueError("a time before the start")
    if len(fields) < 2:
        raise ValueError("nothing to do")
    if fields[1] == FAULT_KEYWORD:
        return _parse_fault(at_s, fields[2:])
    if fields[1] not in CHANGE_ARGUMENTS:
        raise ValueError(f"a step is 'fault' or one of {', '.join(ChangeKind)}")
    kind, args = ChangeKind(fields[1]), fields[2:]
    if len(args) != CHANGE_ARGUMENTS[kind]:
        raise ValueError(f"'{kind}' takes {CHANGE_ARGUMENTS[kind]} arguments")
    return Step(at_s, kind, tuple(args))


def _parse_fault(at_s: float, fields: list[str]) -> Step:
    if not fields or fields[0] not in FAULT_ARGUMENTS:
        raise ValueError(f"a fault is one of {', '.join(FaultKind)}")
    kind, args = FaultKind(fields[0]), fields[1:]
    if len(args) != FAULT_ARGUMENTS[kind] + 1:
        raise ValueError(f"'{kind}' takes {FAULT_ARGUMENTS[kind]} arguments and how long it lasts")
    numbers = [float(arg) for arg in args]
    return Step(at_s, kind, tuple(args[:-1]), numbers[-1])
