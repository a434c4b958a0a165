"""Attempts out by density, on one engine and over all: threads, memory and priorities held by each level."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cottonhold.scheduler.state import EngineView, Query

LANES = 4  # priorities that engines know, from 0


@dataclass(slots=True)
class Level:
    """Attempts out of one density: threads, memory, and how many hold each priority."""

    threads: int = 0
    memory: float = 0.0
    lanes: list[int] = field(default_factory=lambda: [0] * LANES)


@dataclass(slots=True)
class Levels:
    """Attempts out by density. Densities are powers of two, so there are few, however many are out."""

    by_density: dict[float, Level] = field(default_factory=dict)

    def add(self, query: Query) -> None:
        """An attempt of the query is out."""
        level = self.by_density.setdefault(query.density, Level())
        level.threads += query.cls.threads
        level.memory += query.memory
        level.lanes[query.lane] += 1

    def drop(self, query: Query) -> None:
        """The attempt has ended; an empty level goes, and with it what rounding left over."""
        level = self.by_density[query.density]
        level.threads -= query.cls.threads
        level.memory -= query.memory
        level.lanes[query.lane] -= 1
        if not any(level.lanes):
            del self.by_density[query.density]

    def lanes_below(self, density: float, alpha: float) -> list[int]:
        """The priorities held by those that a density passes."""
        passed = [level for at, level in self.by_density.items() if density > alpha * at]
        return [lane for level in passed for lane in range(LANES) if level.lanes[lane]]

    def held_by(self, density: float, alpha: float) -> tuple[int, float, bool]:
        """Threads and memory of those that a density does not pass, and whether there are any."""
        threads, memory, some = 0, 0.0, False
        for at, level in self.by_density.items():
            if density <= alpha * at:
                threads += level.threads
                memory += level.memory
                some = True
        return threads, memory, some


@dataclass(slots=True)
class Pool:
    """All attempts out: threads, memory, and those on engines that are not suspect by density."""

    sound: Levels = field(default_factory=Levels)
    threads: int = 0
    memory: float = 0.0

    def add_out(self, query: Query, engine: EngineView) -> None:
        """An attempt of the query is out on an engine now."""
        engine.add_out(query)
        self.threads += query.cls.threads
        self.memory += query.memory
        if not engine.suspect:
            self.sound.add(query)

    def drop_out(self, query: Query, engine: EngineView, least: float) -> None:
        """The attempt that was out there has ended."""
        if engine.drop_out(query, least):
            self.threads -= query.cls.threads
            self.memory = self.memory - query.memory if self.threads else 0.0  # rounding must not add up
            if not engine.suspect:
                self.sound.drop(query)

    def hide(self, engine: EngineView) -> None:
        """The engine is suspect now."""
        for query in engine.out.values():
            self.sound.drop(query)

    def show(self, engine: EngineView) -> None:
        """The engine is trusted again."""
        for query in engine.out.values():
            self.sound.add(query)
