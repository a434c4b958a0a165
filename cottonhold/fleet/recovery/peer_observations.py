"""What one instance has heard of another: its life, its boot, and what it says of third ones. Pure.

Lives are told apart by a number drawn at each start. Start times are this instance's clock's, from told up
times: at the latest, by how long a word was under way. Words merge in any order: of one life the one with the
longest up time counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cottonhold.fleet.recovery.messages import MemoryState, PeerState, Presence


@dataclass(slots=True)
class Incarnation:
    """One process that speaks for a number. start: at the latest, on this clock. up: as last told."""

    id: int
    started_at: float
    uptime_ms: float


@dataclass(slots=True)
class SilenceReport:
    """What another last heard of a number: at the latest at `heard`, as it told at `told` at the earliest."""

    heard_before: float
    reported_after: float


@dataclass(slots=True)
class PeerObservation:
    """Another configured dispatcher. boot: the highest known. past: the life before. flips: how often the two
    lives spoke in turns. rivals: words of other members in its name while it was there. stale: the life
    began with a boot that was known already. echo: when the newest of our words that it has heard was
    said."""

    number: int
    member: int = 0
    boot: int = 0
    base: int = 0
    current: Incarnation | None = None
    previous: Incarnation | None = None
    alternations: int = 0
    rivals: int = 0
    has_stale_folder: bool = False
    was_clean_shutdown: bool = True
    memory: MemoryState = MemoryState.EMPTY
    received_at: float = -math.inf
    echoed_at: float = -math.inf
    view_of_self: PeerState | None = None
    silences: dict[int, SilenceReport] = field(default_factory=dict)

    def apply(self, now: float, word: Presence) -> bool:
        """Merge a word; false where it is no news."""
        life = self._life(now, word)
        if life is None:
            return False
        life.uptime_ms, life.started_at = word.uptime_ms, min(life.started_at, now - word.uptime_ms)
        # Danger: an old folder started often enough comes to a boot that nobody knew; its base stays.
        self.has_stale_folder |= word.base < self.base
        self.has_stale_folder &= word.memory is MemoryState.INTACT
        self.boot, self.base = max(self.boot, word.boot), max(self.base, word.base)
        self.received_at, self.memory, self.was_clean_shutdown = now, word.memory, word.was_clean_shutdown
        return True

    def _life(self, now: float, word: Presence) -> Incarnation | None:
        """The life that a word is of, which is the current one from now on; None where the word is old."""
        current, past = self.current, self.previous
        if current is not None and current.id == word.incarnation:
            return current if word.uptime_ms > current.uptime_ms else None
        if past is not None and past.id == word.incarnation:
            if word.uptime_ms <= past.uptime_ms:
                return None
            # Danger: two processes on one folder look like restarts; only that they speak in turns tells.
            self.alternations += 1
            self.previous, self.current = current, past
            return past
        self.alternations, self.rivals, self.previous, self.has_stale_folder = 0, 0, current, False
        self.current = Incarnation(word.incarnation, now - word.uptime_ms, -1.0)
        self.silences, self.view_of_self, self.echoed_at = {}, None, -math.inf
        return self.current

    def on_view_of_self(self, pair: PeerState, life: int, started: float) -> None:
        """What it knows of this instance, whose life began at `started`."""
        self.view_of_self = pair
        if pair.incarnation == life and pair.age_ms is not None:
            self.echoed_at = max(self.echoed_at, started + pair.uptime_ms)

    def on_view_of_third(self, now: float, pair: PeerState, fresh: float) -> None:
        """What it knows of a third one. Call after `tells_of_us` of the same word."""
        assert self.current is not None
        if pair.age_ms is not None and pair.age_ms <= fresh:
            self.silences.pop(pair.number, None)
            return
        # Danger: one that is just back has not heard it in this life, but its last life may have.
        heard = self.current.started_at if pair.age_ms is None else now - pair.age_ms
        self.silences[pair.number] = SilenceReport(heard, self.echoed_at)

    def state(self, now: float, flips: int) -> PeerState:
        """What is known of it, for another. flips: so many turns are two lives at once."""
        life = self.current
        if life is None:
            return PeerState(self.number, self.boot)
        twice = max(self.alternations, self.rivals) >= flips
        # Danger: by a rival of another name the life before this one isn't meant: it has ended.
        if (
            self.alternations >= flips
            and self.previous is not None
            and self.previous.started_at < life.started_at
        ):
            life = self.previous
        return PeerState(
            self.number,
            self.boot,
            life.id,
            life.uptime_ms,
            now - self.received_at,
            twice,
            self.has_stale_folder,
        )
