"""What this instance knows of registers: values, how sure it is of them, and what is on its way. Pure.

A value is *confirmed* for a while from the moment at which a read or a change that showed it was asked:
whoever acts only on confirmed values has stopped before another, who waits that long after a take-over,
begins.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from cottonhold.fleet.rolling_replacement.step_decision import Change, Read

REREAD = 1000.0  # ms: a read does no harm, so it is asked again soon


@dataclass(slots=True)
class Cell:
    """One register. seen_at: when this version was first seen here. changed: a change of ours is on its
    way."""

    version: int = -1
    value: bytes = b""
    seen_at: float = 0.0
    confirmed_at: float = -math.inf
    learnt_at: float = -math.inf
    token: int = 0
    asked_at: float = -math.inf
    changed: bool = False
    dirty: bool = False  # an operation's end is not known: read before the next change


class Ledger:
    """All registers of the swap. `late`: ms after which an operation counts as lost."""

    def __init__(self, draw: random.Random, late: float) -> None:
        self.draw, self.late = draw, late
        self.cells: dict[str, Cell] = {}
        self.tokens: dict[int, str] = {}
        self.token = draw.getrandbits(30) << 20

    def cell(self, name: str) -> Cell:
        """A register, known or not."""
        return self.cells.setdefault(name, Cell())

    def known(self, name: str) -> Cell | None:
        """A register of which something has been heard."""
        cell = self.cells.get(name)
        return cell if cell is not None and cell.version >= 0 else None

    def free(self, now: float, name: str) -> bool:
        """Nothing of ours is on its way to it."""
        cell = self.cell(name)
        late = self.late if cell.changed else min(self.late, REREAD)
        return not cell.token or now - cell.asked_at > late

    def read(self, now: float, name: str, every: float = 0.0) -> list[Read]:
        """Ask for it, unless it was asked within so many ms or something is on its way."""
        cell = self.cell(name)
        if not self.free(now, name) or now - cell.asked_at < every and not cell.dirty:
            return []
        return [Read(name, self._ask(now, name, cell, False))]

    def change(self, now: float, name: str, value: bytes) -> list[Change | Read]:
        """Set it, if nothing is on its way; read it first where the last end is not known."""
        cell = self.cell(name)
        # Danger: held up by reads, which go out whenever there is nothing on its way, a change waited for
        # good where answers take longer than the time between two reads.
        if cell.changed and not self.free(now, name):
            return []
        if cell.dirty or cell.version < 0 or cell.token and cell.changed:
            return list(self.read(now, name))
        return [Change(name, cell.version, value, self._ask(now, name, cell, True))]

    def outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> str:
        """An operation has ended; the register's name, nothing if it is none of ours."""
        name = self.tokens.pop(token, "")
        if not name:
            return ""
        cell, unknown = self.cell(name), won is None or version < 0
        asked = cell.asked_at if cell.token == token else -math.inf
        if cell.token == token:
            cell.token, cell.dirty, cell.changed = 0, unknown, False
        if not unknown:
            self._learn(now, cell, version, value, asked)
        return name

    def heard(self, now: float, name: str, version: int, value: bytes) -> None:
        """Another tells of a register: a hint, which confirms nothing."""
        self._learn(now, self.cell(name), version, value, -math.inf)

    def confirmed(self, now: float, name: str, within: float) -> bool:
        """Whether the value was the register's at some moment within the last so many ms."""
        cell = self.cells.get(name)
        return cell is not None and now - cell.confirmed_at <= within

    def _learn(self, now: float, cell: Cell, version: int, value: bytes, asked: float) -> None:
        # Danger: an answer that was overtaken shows an older version; taken, it would undo what is known.
        # Only a register that was finished and forgotten counts from the beginning.
        if version < cell.version and asked < cell.learnt_at:
            return
        if version != cell.version:
            if value != cell.value or cell.version < 0:
                cell.seen_at = now
            cell.learnt_at = now
            cell.version, cell.value, cell.confirmed_at = version, value, -math.inf
        cell.confirmed_at = max(cell.confirmed_at, asked)

    def _ask(self, now: float, name: str, cell: Cell, changed: bool) -> int:
        if cell.token:
            cell.dirty = cell.dirty or cell.changed
            self.tokens.pop(cell.token, None)
        self.token += 1
        cell.token, cell.asked_at, cell.changed = self.token, now, changed
        self.tokens[self.token] = name
        return self.token
