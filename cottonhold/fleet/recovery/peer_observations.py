"""What one instance has heard of another: its life, its boot, and what it says of third ones. Pure.

Lives are told apart by a number drawn at each start. Start times are this instance's clock's, from told up
times: at the latest, by how long a word was under way. Words merge in any order: of one life the one with the
longest up time counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cottonhold.fleet.recovery.messages import Here, MemoryState, Pair


@dataclass(slots=True)
class Life:
    """One process that speaks for a number. start: at the latest, on this clock. up: as last told."""

    life: int
    start: float
    up: float


@dataclass(slots=True)
class Silent:
    """What another last heard of a number: at the latest at `heard`, as it told at `told` at the earliest."""

    heard: float
    told: float


@dataclass(slots=True)
class Peer:
    """Another configured dispatcher. boot: the highest known. past: the life before. flips: how often the two
    lives spoke in turns. rivals: words of other members in its name while it was there. stale: the life
    began with a boot that was known already. echo: when the newest of our words that it has heard was
    said."""

    number: int
    member: int = 0
    boot: int = 0
    base: int = 0
    now: Life | None = None
    past: Life | None = None
    flips: int = 0
    rivals: int = 0
    stale: bool = False
    clean: bool = True
    memory: MemoryState = MemoryState.EMPTY
    heard_at: float = -math.inf
    echo: float = -math.inf
    of_us: Pair | None = None
    silent: dict[int, Silent] = field(default_factory=dict)

    def take(self, now: float, word: Here) -> bool:
        """Merge a word; false where it is no news."""
        life = self._life(now, word)
        if life is None:
            return False
        life.up, life.start = word.up, min(life.start, now - word.up)
        # Danger: an old folder started often enough comes to a boot that nobody knew; its base stays.
        self.stale |= word.base < self.base
        self.stale &= word.memory is MemoryState.KEPT
        self.boot, self.base = max(self.boot, word.boot), max(self.base, word.base)
        self.heard_at, self.memory, self.clean = now, word.memory, word.clean
        return True

    def _life(self, now: float, word: Here) -> Life | None:
        """The life that a word is of, which is the current one from now on; None where the word is old."""
        current, past = self.now, self.past
        if current is not None and current.life == word.life:
            return current if word.up > current.up else None
        if past is not None and past.life == word.life:
            if word.up <= past.up:
                return None
            # Danger: two processes on one folder look like restarts; only that they speak in turns tells.
            self.flips += 1
            self.past, self.now = current, past
            return past
        self.flips, self.rivals, self.past, self.stale = 0, 0, current, False
        self.now = Life(word.life, now - word.up, -1.0)
        self.silent, self.of_us, self.echo = {}, None, -math.inf
        return self.now

    def tells_of_us(self, pair: Pair, life: int, started: float) -> None:
        """What it knows of this instance, whose life began at `started`."""
        self.of_us = pair
        if pair.life == life and pair.age is not None:
            self.echo = max(self.echo, started + pair.up)

    def tells_of(self, now: float, pair: Pair, fresh: float) -> None:
        """What it knows of a third one. Call after `tells_of_us` of the same word."""
        assert self.now is not None
        if pair.age is not None and pair.age <= fresh:
            self.silent.pop(pair.number, None)
            return
        # Danger: one that is just back has not heard it in this life, but its last life may have.
        heard = self.now.start if pair.age is None else now - pair.age
        self.silent[pair.number] = Silent(heard, self.echo)

    def pair(self, now: float, flips: int) -> Pair:
        """What is known of it, for another. flips: so many turns are two lives at once."""
        life = self.now
        if life is None:
            return Pair(self.number, self.boot)
        twice = max(self.flips, self.rivals) >= flips
        # Danger: by a rival of another name the life before this one isn't meant: it has ended.
        if self.flips >= flips and self.past is not None and self.past.start < life.start:
            life = self.past
        return Pair(self.number, self.boot, life.life, life.up, now - self.heard_at, twice, self.stale)
