"""The faults that a script has activated."""

from __future__ import annotations

import json
import math
from collections.abc import Callable

from cottonhold.emulator.consul.script import FaultKind

# These faults interrupt blocking queries instead of waiting for their end.
INTERRUPTING = (
    FaultKind.CUT,
    FaultKind.TRUNCATE,
    FaultKind.EMPTY,
    FaultKind.GARBAGE,
    FaultKind.DRIP,
    FaultKind.STATUS,
    FaultKind.HANG,
    FaultKind.NO_LEADER,
    FaultKind.BACKWARDS,
)


class ActiveFaults:
    """The active faults by kind, each with its end; `now` returns the caller's time in s."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self._active: dict[FaultKind, tuple[float, tuple[str, ...]]] = {}  # time of the end, and arguments

    def start(self, kind: FaultKind, duration_s: float, arguments: tuple[str, ...]) -> None:
        """Activate a fault."""
        self._active[kind] = (self.now() + duration_s, arguments)

    def clear(self) -> None:
        """Deactivate all faults."""
        self._active.clear()

    def arguments(self, kind: FaultKind) -> tuple[str, ...] | None:
        """Return a fault's arguments; None if it is not active."""
        expires_at, arguments = self._active.get(kind, (0.0, ()))
        return arguments if expires_at > self.now() else None

    def is_active(self, kind: FaultKind) -> bool:
        """Return whether a fault is active."""
        return self.arguments(kind) is not None

    def remaining_s(self, kind: FaultKind) -> float:
        """Return the seconds until an active fault ends."""
        return max(self._active[kind][0] - self.now(), 0)

    def interrupts_watchers(self) -> bool:
        """Return whether a fault is active that interrupts blocking queries."""
        return any(self.is_active(kind) for kind in INTERRUPTING)

    def corrupt(self, body: bytes) -> bytes:
        """Return a health response's body with the active faults applied."""
        if self.is_active(FaultKind.GARBAGE):
            return b'[{"Node":{"Node":\xff\xfe' + body[:40]
        if self.is_active(FaultKind.EMPTY):
            return b"[]"
        if self.is_active(FaultKind.TRUNCATE):
            rows = json.loads(body)
            return json.dumps(rows[: math.ceil(len(rows) / 4)]).encode()
        return body
