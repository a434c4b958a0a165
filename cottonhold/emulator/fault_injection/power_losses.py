"""Many power losses of one small fleet: drawn from a seed, and what became of each load. Pure.

A load is known by the number in its statement, which is its client's; how it came, and how often, tells
nothing. Times are seconds of the ledgers' clock.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from cottonhold.emulator.fault_injection.event_log import REQUEST_ENDS, LogLine

SENT_BEFORE = "was sent before"  # how an instance says that it didn't send a retry


class PowerLossMoment(Enum):
    """When power goes: ANY, while loads are served; FSYNC, the same with all disks stalled in a sync; START,
    right after instances were told to start; RECOVERY, after the first of them is there."""

    ANY = "any"
    FSYNC = "fsync"
    START = "start"
    RECOVERY = "recovery"


@dataclass(slots=True, frozen=True)
class PowerLoss:
    """One power loss and the return after it. wait: after the moment that `when` means; stalled: so long the
    disks hung in a sync before it. dark: until anything is back. order, gaps: instances that come back, and
    the time before each. engines: when they are back, counted from the first instance. away: those that
    don't come back yet. emptied, old: whose folder is lost, or put back as it was at an earlier cut; kept:
    whose folder is copied in the dark. backup: whose folder was copied long before this cut, while all were
    at rest, and is put back now. clocks: s that wall clocks are off. leak: share of unsynced writes that got
    to the disks all the same. rest: this cut waits until a whole hold has passed."""

    number: int
    when: PowerLossMoment
    wait: float
    stalled: float
    dark: float
    order: tuple[str, ...]
    gaps: tuple[float, ...]
    engines: float
    away: tuple[str, ...] = ()
    emptied: str = ""
    old: str = ""
    kept: str = ""
    backup: str = ""
    clocks: tuple[tuple[str, float], ...] = ()
    leak: float = 0.0
    rest: bool = False

    def __str__(self) -> str:
        parts = [f"cut {self.number}: {self.when.value} +{self.wait:.2f} s, dark {self.dark:.2f} s"]
        parts.append(f"engines {self.engines:+.2f} s, back: {' '.join(self.order)}")
        parts += [
            f"{what} {name}" for what in ("emptied", "old", "kept", "backup") if (name := getattr(self, what))
        ]
        parts += [f"away {' '.join(self.away)}"] if self.away else []
        parts += [f"leak {self.leak:g}"] if self.leak else []
        return ", ".join(parts)


class PowerLossDraw:
    """Draws the cuts of one fleet, one after another. At most one folder is wrong at a time: where nobody is
    up who remembers more, several old folders can't be told (docs/design/power-loss.md)."""

    def __init__(self, seed: int, instances: Sequence[str]) -> None:
        self.random, self.instances = random.Random(seed), tuple(instances)
        self.away: dict[str, int] = {}  # who stays away, for how many returns more
        self.kept: tuple[str, int] | None = None  # whose folder was copied, and so many cuts ago
        self.wrong: tuple[str, int] | None = None  # whose folder is, and so many cuts until all rest

    def cuts(self, count: int) -> Iterator[PowerLoss]:
        """So many."""
        for number in range(1, count + 1):
            yield self._cut(number)

    def _cut(self, number: int) -> PowerLoss:
        draw = self.random
        self.away = {name: left - 1 for name, left in self.away.items() if left > 1}
        rest = self.wrong is not None and self.wrong[1] == 0
        if self.wrong is not None:
            self.wrong = None if rest else (self.wrong[0], self.wrong[1] - 1)
        if not self.away and draw.random() < 0.12:
            some = [name for name in self.instances if self.wrong is None or name != self.wrong[0]]
            self.away = {draw.choice(some): draw.randint(1, 3)}
        backup = draw.choice(self.instances) if rest and not self.away and draw.random() < 0.7 else ""
        if backup:
            self.wrong, self.kept = (backup, draw.randint(0, 2)), None
        emptied, old, kept = ("", "", "") if backup else self._folders()
        back = [name for name in self.instances if name not in self.away]
        draw.shuffle(back)
        clocks: tuple[tuple[str, float], ...] = ()
        if draw.random() < 0.1:
            clocks = ((draw.choice(back), draw.choice((-94e6, -3600.0, 86400.0, 31e6))),)
        when = draw.choices(list(PowerLossMoment), (4, 3, 1, 2))[0]
        most = {
            PowerLossMoment.ANY: 1.5,
            PowerLossMoment.FSYNC: 1.0,
            PowerLossMoment.START: 0.4,
            PowerLossMoment.RECOVERY: 1.2,
        }[when]
        return PowerLoss(
            number,
            when,
            draw.uniform(0.0, most),
            draw.uniform(0.03, 0.4) if when is PowerLossMoment.FSYNC else 0.0,
            draw.uniform(0.05, 0.6),
            tuple(back),
            self._gaps(len(back)),
            draw.choice((-0.6, 0.0, 0.0, draw.uniform(0.0, 1.0))),
            tuple(self.away),
            emptied,
            old,
            kept,
            backup,
            clocks,
            draw.choice((0.0, 0.0, 0.3, 0.7)),
            rest,
        )

    def _gaps(self, count: int) -> tuple[float, ...]:
        """In one instant, one by one, or half of them late."""
        draw, how = self.random, self.random.random()
        if how < 0.3:
            return (0.0,) * count
        late = count // 2 if how > 0.8 else -1
        return tuple(draw.uniform(1.0, 2.0) if i == late else draw.uniform(0.0, 0.4) for i in range(count))

    def _folders(self) -> tuple[str, str, str]:
        """Whose folder is emptied, put back, and copied."""
        draw = self.random
        there = [name for name in self.instances if name not in self.away]
        if self.kept is not None:
            name, ago = self.kept
            if ago > 0 or name in self.away:
                self.kept = name, max(ago - 1, 0)
                return "", "", ""
            self.kept = None
            if self.wrong is None:
                self.wrong = name, draw.randint(0, 2)
                return "", name, ""
        if self.wrong is None and draw.random() < 0.08:
            self.wrong = draw.choice(there), draw.randint(0, 2)
            return self.wrong[0], "", ""
        if draw.random() < 0.15:
            self.kept = draw.choice(there), draw.randint(0, 4)
            return "", "", self.kept[0]
        return "", "", ""


@dataclass(slots=True)
class Run:
    """One time that a load began at an engine."""

    engine: str
    ref: str
    began: float
    ended: float = math.inf


@dataclass(slots=True)
class Try:
    """One time that a client asked. number: counted from 0; left: its patience in ms."""

    ref: str
    at: float
    number: int
    instance: int
    left: float
    sent: float = math.inf  # when its connection was there
    ended: float = math.inf
    word: str = ""
    text: str = ""

    @property
    def told(self) -> str:
        """What a client was told: `well`, `may` and `later` without a send, `sent` if it was one's turn."""
        if self.word == "served":
            return "sent" if self.text else "well"
        if self.word == "failed":
            return "may" if SENT_BEFORE in self.text else "sent"
        return {"refused": "later", "": "open"}.get(self.word, "nobody")


@dataclass(slots=True)
class ObservedLoad:
    """All that was seen of one load. sends: (time, ref) of what came to engines."""

    number: int
    tries: list[Try] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    gets: list[tuple[float, str]] = field(default_factory=list)

    @property
    def heard(self) -> float:
        """When its client first heard that it was served."""
        return min((t.ended for t in self.tries if t.word == "served"), default=math.inf)


class Tally:
    """Loads as clients and engines saw them, line by line."""

    def __init__(self) -> None:
        self.loads: dict[int, ObservedLoad] = {}
        self.tries: dict[str, Try] = {}
        self.there: dict[tuple[str, str], ObservedLoad] = {}  # by engine and ref: what came last
        self.running: dict[tuple[str, str], Run] = {}
        self.twice: list[int] = []  # loads that began twice, in the order in which that was seen

    def load(self, number: int) -> ObservedLoad:
        """What is known of a load."""
        return self.loads.setdefault(number, ObservedLoad(number))

    def clients(self, lines: Iterable[LogLine]) -> None:
        """New lines of the clients."""
        for at, what, ref, *more in lines:
            if what == "ask" and more[0] == "load":
                one = self.tries[ref] = Try(ref, at, more[2], more[1], more[4])
                self.load(more[3]).tries.append(one)
            elif what == "sent" and ref in self.tries:
                self.tries[ref].sent = at
            elif what in REQUEST_ENDS and ref in self.tries:
                one = self.tries[ref]
                one.ended, one.word, one.text = at, what, more[0] if more else ""

    def engine(self, name: str, lines: Iterable[LogLine]) -> None:
        """New lines of an engine."""
        for at, what, ref, *more in lines:
            place = name, ref
            if what == "get" and more[1]:
                seen = self.there[place] = self.load(more[2])
                seen.gets.append((at, ref))
            elif what == "run" and place in self.there:
                seen, run = self.there[place], Run(name, ref, at)
                self.running[place] = run
                seen.runs.append(run)
                if len(seen.runs) == 2:
                    self.twice.append(seen.number)
            elif what in ("done", "drop", "broke"):
                self.there.pop(place, None)
                if (was := self.running.pop(place, None)) is not None:
                    was.ended = at

    def power(self, at: float) -> None:
        """All engines ended; call it with all lines up to then read."""
        for run in self.running.values():
            run.ended = min(run.ended, at)
        self.running.clear()
        self.there.clear()


@dataclass(slots=True)
class ObservedPowerLoss:
    """What one power loss met: loads whose clients waited, those that ran at an engine, those that had begun
    (and maybe ended) while their client had heard nothing; and what retries were told until the next one."""

    in_flight: int = 0
    at_engines: int = 0
    unheard: int = 0
    told: Counter[str] = field(default_factory=Counter)


def seen_at(tally: Tally, at: float, until: float = math.inf) -> ObservedPowerLoss:
    """What the power loss at a time met. until: the next one."""
    found = ObservedPowerLoss()
    for load in tally.loads.values():
        out = any(t.at <= at < t.ended for t in load.tries)
        found.in_flight += out
        found.at_engines += any(r.began <= at <= r.ended for r in load.runs)
        found.unheard += load.heard > at and any(r.began <= at for r in load.runs) and out
        for one in load.tries:
            if one.number and at < one.ended <= until:
                found.told[one.told] += 1
    return found


def unanswered(
    tally: Tally, power: Sequence[float], until: float, stood: Sequence[tuple[float, float]] = ()
) -> list[Try]:
    """Tries made by then that had no answer although no power loss was near. stood: times in which the rig
    itself stood still, on a machine too busy to tell what is late from what never comes."""
    return [
        t
        for load in tally.loads.values()
        for t in load.tries
        if t.word in ("", "nothing")
        and t.at < until
        and not any(t.at - 1 <= p <= t.ended + 1 for p in power)
        and not any(begin <= t.ended and end >= t.at for begin, end in stood)
    ]


def timeline(load: ObservedLoad, begun: float, marks: Iterable[tuple[float, str, str]]) -> list[str]:
    """A load's story by its number, one line each, with what was killed and started meanwhile."""
    rows = [(t.at, f"asked at n{t.instance}, ref {t.ref}, try {t.number}") for t in load.tries]
    rows += [(t.ended, f"ref {t.ref} at n{t.instance}: {t.word} '{t.text}'") for t in load.tries if t.word]
    rows += [(at, f"came to an engine, ref {ref}") for at, ref in load.gets]
    rows += [(r.began, f"BEGAN at {r.engine}, ref {r.ref}") for r in load.runs]
    rows += [(r.ended, f"ended at {r.engine}, ref {r.ref}") for r in load.runs if r.ended < math.inf]
    first, last = min(rows)[0], max(rows)[0]
    rows += [(at, f"{verb} {name}") for at, verb, name in marks if first - 1 <= at <= last + 1]
    return [f"{at - begun:9.3f} s  {text}" for at, text in sorted(rows)]
