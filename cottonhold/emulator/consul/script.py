"""Scripts for the stand-in Consul: what goes wrong, when, and for how long. One step a line:

    # seconds from the start, what, and its arguments
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

FAULTS = {
    "hang": 0,
    "cut": 0,
    "truncate": 0,
    "empty": 0,
    "garbage": 0,
    "drip": 0,
    "status": 1,
    "noleader": 0,
    "backwards": 0,
    "stale": 1,
    "gzip": 0,
    "chunked": 0,
}
CHANGES = {
    "critical": 1,
    "warning": 1,
    "passing": 1,
    "nodefail": 1,
    "nodewell": 1,
    "maintenance": 2,
    "deregister": 1,
    "register": 2,
    "revoke": 1,
    "grant": 1,
}


class ScriptError(Exception):
    """A line that can't be used, with its number."""


@dataclass(slots=True, frozen=True)
class Step:
    """One line: when (seconds), what, its arguments, and for how long (faults only)."""

    at: float
    what: str
    args: tuple[str, ...] = ()
    lasts: float = 0.0


def parse(text: str) -> list[Step]:
    """All steps in order of time. Raises ScriptError."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            steps.append(_step(words))
        except (ValueError, IndexError) as error:
            raise ScriptError(f"line {number}: {error}: {line.strip()}") from error
    return sorted(steps, key=lambda step: step.at)


def _step(words: list[str]) -> Step:
    at = float(words[0])
    if at < 0:
        raise ValueError("a time before the start")
    if len(words) < 2:
        raise ValueError("nothing to do")
    if words[1] == "fault":
        if len(words) < 3 or words[2] not in FAULTS:
            raise ValueError(f"a fault is one of {', '.join(FAULTS)}")
        args = words[3:]
        if len(args) != FAULTS[words[2]] + 1:
            raise ValueError(f"'{words[2]}' takes {FAULTS[words[2]]} arguments and how long it lasts")
        numbers = [float(a) for a in args]
        return Step(at, words[2], tuple(args[:-1]), numbers[-1])
    if words[1] not in CHANGES:
        raise ValueError(f"a step is 'fault' or one of {', '.join(CHANGES)}")
    if len(words) - 2 != CHANGES[words[1]]:
        raise ValueError(f"'{words[1]}' takes {CHANGES[words[1]]} arguments")
    return Step(at, words[1], tuple(words[2:]))
