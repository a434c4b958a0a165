"""Many power losses of one small fleet: drawn from a seed, and what became of each load. Pure.

A load is identified by the number in its statement, which is its client's. Times are seconds of the logs'
clock.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.event_log import REQUEST_ENDS, LogLine

SENT_BEFORE = "was sent before"  # in an instance's answer to a retry that it did not send
POWER_LOSS_MARGIN_S = 1.0  # an attempt that was open so close to a power loss may stay unanswered

ABSENCE_PROBABILITY, MAX_ABSENT_RETURNS = 0.12, 3
BACKUP_PROBABILITY = 0.7  # of a backup that is put back, when a hold has passed
EMPTIED_PROBABILITY, COPY_PROBABILITY = 0.08, 0.15
MAX_RETURNS_UNTIL_REST = 2
MAX_RETURNS_UNTIL_PUT_BACK = 4
CLOCK_PROBABILITY = 0.1
CLOCK_OFFSETS_S = (-94e6, -3600.0, 86400.0, 31e6)
DISK_STALL_S = (0.03, 0.4)
OUTAGE_S = (0.05, 0.6)
LEAK_SHARES = (0.0, 0.0, 0.3, 0.7)


class PowerLossMoment(Enum):
    """When power is lost: ANY, while loads are served; FSYNC, the same with all disks stalled in a sync;
    START, right after instances were started; RECOVERY, after the first of them is up."""

    ANY = "any"
    FSYNC = "fsync"
    START = "start"
    RECOVERY = "recovery"


MOMENT_WEIGHTS = (4, 3, 1, 2)  # in the order of the members
MAX_DELAY_S = {
    PowerLossMoment.ANY: 1.5,
    PowerLossMoment.FSYNC: 1.0,
    PowerLossMoment.START: 0.4,
    PowerLossMoment.RECOVERY: 1.2,
}


@dataclass(slots=True, frozen=True)
class PowerLoss:
    """One power loss and the return after it.

    delay_s: after its moment. stalled_s: so long the disks hung in a sync before it. outage_s: until anything
    is back. order, gaps_s: instances that return, and the time before each. engine_delay_s: when the engines
    are back, counted from the first instance. away: instances that do not return yet. emptied, restored:
    whose folder is lost, or put back as it was at an earlier loss; copied: whose folder is copied while there
    is no power. backup: whose folder was copied long before this loss, while all were at rest, and is put
    back now. clock_offsets_s: how far wall clocks are off. leak_share: of unsynced writes that got to the
    disks all the same. waits_for_rest: this loss comes only after a whole hold has passed.
    """

    number: int
    moment: PowerLossMoment
    delay_s: float
    stalled_s: float
    outage_s: float
    order: tuple[str, ...]
    gaps_s: tuple[float, ...]
    engine_delay_s: float
    away: tuple[str, ...] = ()
    emptied: str = ""
    restored: str = ""
    copied: str = ""
    backup: str = ""
    clock_offsets_s: tuple[tuple[str, float], ...] = ()
    leak_share: float = 0.0
    waits_for_rest: bool = False

    def __str__(self) -> str:
        parts = [
            f"cut {self.number}: {self.moment.value} +{self.delay_s:.2f} s, dark {self.outage_s:.2f} s",
            f"engines {self.engine_delay_s:+.2f} s, back: {' '.join(self.order)}",
        ]
        folders = {
            "emptied": self.emptied,
            "old": self.restored,
            "kept": self.copied,
            "backup": self.backup,
        }
        parts += [f"{change} {name}" for change, name in folders.items() if name]
        parts += [f"away {' '.join(self.away)}"] if self.away else []
        parts += [f"leak {self.leak_share:g}"] if self.leak_share else []
        return ", ".join(parts)


@dataclass(slots=True, frozen=True)
class Countdown:
    """An instance, and how many further power losses something about it lasts."""

    instance: str
    remaining: int


@dataclass(slots=True, frozen=True)
class FolderChanges:
    """Whose folder is emptied, put back and copied at one power loss."""

    emptied: str = ""
    restored: str = ""
    copied: str = ""


class PowerLossDraw:
    """Draws the power losses of one fleet, one after another. At most one folder is wrong at a time: while no
    instance is up that remembers more, several old folders cannot be detected (docs/design/power-loss.md)."""

    def __init__(self, seed: int, instances: Sequence[str]) -> None:
        self.random, self.instances = random.Random(seed), tuple(instances)
        self.away: dict[str, int] = {}  # instances, and for how many returns more
        self.copy: Countdown | None = None  # a folder that was copied, until it is put back
        self.wrong_folder: Countdown | None = None  # until all are at rest again

    def power_losses(self, count: int) -> Iterator[PowerLoss]:
        """Draw so many."""
        for number in range(1, count + 1):
            yield self._draw(number)

    def _draw(self, number: int) -> PowerLoss:
        """Draw one. The order of the draws is part of what a seed means."""
        draw = self.random
        waits_for_rest = self._pass_return()
        self._draw_absence()
        backup = self._draw_backup() if waits_for_rest else ""
        folders = FolderChanges() if backup else self._draw_folders()
        order = [name for name in self.instances if name not in self.away]
        draw.shuffle(order)
        clock_offsets_s = self._draw_clock_offsets(order)
        moment = draw.choices(list(PowerLossMoment), MOMENT_WEIGHTS)[0]
        return PowerLoss(
            number,
            moment,
            delay_s=draw.uniform(0.0, MAX_DELAY_S[moment]),
            stalled_s=draw.uniform(*DISK_STALL_S) if moment is PowerLossMoment.FSYNC else 0.0,
            outage_s=draw.uniform(*OUTAGE_S),
            order=tuple(order),
            gaps_s=self._draw_gaps_s(len(order)),
            engine_delay_s=draw.choice((-0.6, 0.0, 0.0, draw.uniform(0.0, 1.0))),
            away=tuple(self.away),
            emptied=folders.emptied,
            restored=folders.restored,
            copied=folders.copied,
            backup=backup,
            clock_offsets_s=clock_offsets_s,
            leak_share=draw.choice(LEAK_SHARES),
            waits_for_rest=waits_for_rest,
        )

    def _pass_return(self) -> bool:
        """Count the return after the last power loss; return whether the next one waits until all rest."""
        self.away = {name: remaining - 1 for name, remaining in self.away.items() if remaining > 1}
        if self.wrong_folder is None:
            return False
        wrong, waits_for_rest = self.wrong_folder, self.wrong_folder.remaining == 0
        self.wrong_folder = None if waits_for_rest else Countdown(wrong.instance, wrong.remaining - 1)
        return waits_for_rest

    def _draw_absence(self) -> None:
        draw = self.random
        if not self.away and draw.random() < ABSENCE_PROBABILITY:
            wrong = self.wrong_folder.instance if self.wrong_folder is not None else ""
            candidates = [name for name in self.instances if name != wrong]
            self.away = {draw.choice(candidates): draw.randint(1, MAX_ABSENT_RETURNS)}

    def _draw_backup(self) -> str:
        """Draw whose folder is put back as it was while all were at rest; empty for nobody's."""
        draw = self.random
        if self.away or draw.random() >= BACKUP_PROBABILITY:
            return ""
        backup = draw.choice(self.instances)
        self.wrong_folder = Countdown(backup, draw.randint(0, MAX_RETURNS_UNTIL_REST))
        self.copy = None
        return backup

    def _draw_folders(self) -> FolderChanges:
        draw = self.random
        present = [name for name in self.instances if name not in self.away]
        if self.copy is not None:
            copy = self.copy
            if copy.remaining > 0 or copy.instance in self.away:
                self.copy = Countdown(copy.instance, max(copy.remaining - 1, 0))
                return FolderChanges()
            self.copy = None
            if self.wrong_folder is None:
                self.wrong_folder = Countdown(copy.instance, draw.randint(0, MAX_RETURNS_UNTIL_REST))
                return FolderChanges(restored=copy.instance)
        if self.wrong_folder is None and draw.random() < EMPTIED_PROBABILITY:
            emptied = draw.choice(present)
            self.wrong_folder = Countdown(emptied, draw.randint(0, MAX_RETURNS_UNTIL_REST))
            return FolderChanges(emptied=emptied)
        if draw.random() < COPY_PROBABILITY:
            copied = draw.choice(present)
            self.copy = Countdown(copied, draw.randint(0, MAX_RETURNS_UNTIL_PUT_BACK))
            return FolderChanges(copied=copied)
        return FolderChanges()

    def _draw_clock_offsets(self, present: Sequence[str]) -> tuple[tuple[str, float], ...]:
        if self.random.random() >= CLOCK_PROBABILITY:
            return ()
        return ((self.random.choice(present), self.random.choice(CLOCK_OFFSETS_S)),)

    def _draw_gaps_s(self, count: int) -> tuple[float, ...]:
        """Draw the times between starts: all in one instant, one by one, or half of them late."""
        draw, kind = self.random, self.random.random()
        if kind < 0.3:
            return (0.0,) * count
        late = count // 2 if kind > 0.8 else -1
        return tuple(draw.uniform(1.0, 2.0) if i == late else draw.uniform(0.0, 0.4) for i in range(count))


@dataclass(slots=True)
class LoadExecution:
    """One time that a load began at an engine."""

    engine: str
    request_id: str
    began_at: float
    ended_at: float = math.inf


class RetryAnswer(StrEnum):
    """What a client was answered: SERVED_BEFORE, MAY_HAVE_RUN and LATER without a send, SENT if its request
    was sent to an engine."""

    SERVED_BEFORE = "well"
    MAY_HAVE_RUN = "may"
    SENT = "sent"
    LATER = "later"
    NONE = "nobody"
    OPEN = "open"


@dataclass(slots=True)
class Attempt:
    """One attempt of a client. number: counted from 0. sent_at: when its connection was open. end: None while
    it is open."""

    request_id: str
    started_at: float
    number: int
    instance: int
    timeout_ms: float
    sent_at: float = math.inf
    ended_at: float = math.inf
    end: RequestEnd | None = None
    text: str = ""

    @property
    def answer(self) -> RetryAnswer:
        """What its client was answered."""
        if self.end is None:
            return RetryAnswer.OPEN
        if self.end is RequestEnd.SERVED:
            return RetryAnswer.SENT if self.text else RetryAnswer.SERVED_BEFORE
        if self.end is RequestEnd.FAILED:
            return RetryAnswer.MAY_HAVE_RUN if SENT_BEFORE in self.text else RetryAnswer.SENT
        return RetryAnswer.LATER if self.end is RequestEnd.REFUSED else RetryAnswer.NONE


@dataclass(slots=True)
class ObservedLoad:
    """All that was seen of one load. arrivals: (time, request id) of what arrived at engines."""

    number: int
    attempts: list[Attempt] = field(default_factory=list)
    executions: list[LoadExecution] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    @property
    def served_at(self) -> float:
        """When its client first received that it was served."""
        return min((a.ended_at for a in self.attempts if a.end is RequestEnd.SERVED), default=math.inf)


class Tally:
    """Loads as clients and engines saw them, line by line."""

    def __init__(self) -> None:
        self.loads: dict[int, ObservedLoad] = {}
        self.attempts: dict[str, Attempt] = {}
        self.present: dict[tuple[str, str], ObservedLoad] = {}  # by engine and request id: what came last
        self.running: dict[tuple[str, str], LoadExecution] = {}
        self.duplicates: list[int] = []  # loads that began twice, in the order in which that was seen

    def load(self, number: int) -> ObservedLoad:
        """Return what is known of a load."""
        return self.loads.setdefault(number, ObservedLoad(number))

    def on_client_lines(self, lines: Iterable[LogLine]) -> None:
        """Read new lines of the clients' log."""
        for at, event, request_id, *details in lines:
            if event == "ask" and details[0] == "load":
                _, instance, number, client, timeout_ms, *_ = details
                attempt = Attempt(request_id, at, number, instance, timeout_ms)
                self.attempts[request_id] = attempt
                self.load(client).attempts.append(attempt)
            elif event == "sent" and request_id in self.attempts:
                self.attempts[request_id].sent_at = at
            elif event in REQUEST_ENDS and request_id in self.attempts:
                attempt = self.attempts[request_id]
                attempt.ended_at, attempt.end = at, RequestEnd(event)
                attempt.text = details[0] if details else ""

    def on_engine_lines(self, engine: str, lines: Iterable[LogLine]) -> None:
        """Read new lines of an engine's log."""
        for at, event, request_id, *details in lines:
            place = engine, request_id
            if event == "get" and details[1]:
                load = self.present[place] = self.load(details[2])
                load.arrivals.append((at, request_id))
            elif event == "run" and place in self.present:
                self._on_begun(place, at)
            elif event in ("done", "drop", "broke"):
                self.present.pop(place, None)
                execution = self.running.pop(place, None)
                if execution is not None:
                    execution.ended_at = at

    def _on_begun(self, place: tuple[str, str], at: float) -> None:
        load, execution = self.present[place], LoadExecution(*place, at)
        self.running[place] = execution
        load.executions.append(execution)
        if len(load.executions) == 2:
            self.duplicates.append(load.number)

    def on_power_loss(self, at: float) -> None:
        """End all engines; call it with all lines up to then read."""
        for execution in self.running.values():
            execution.ended_at = min(execution.ended_at, at)
        self.running.clear()
        self.present.clear()


@dataclass(slots=True)
class ObservedPowerLoss:
    """What one power loss met: loads whose clients waited, those that ran at an engine, those that had begun
    (and maybe ended) while their client had received nothing; and what retries were answered until the next
    one."""

    in_flight: int = 0
    at_engines: int = 0
    unreported: int = 0
    answers: Counter[str] = field(default_factory=Counter)


def observe_power_loss(tally: Tally, at: float, next_at: float = math.inf) -> ObservedPowerLoss:
    """Return what the power loss at a time met. next_at: the next one's time."""
    observed = ObservedPowerLoss()
    for load in tally.loads.values():
        is_open = any(attempt.started_at <= at < attempt.ended_at for attempt in load.attempts)
        has_begun = any(execution.began_at <= at for execution in load.executions)
        observed.in_flight += is_open
        observed.at_engines += any(e.began_at <= at <= e.ended_at for e in load.executions)
        observed.unreported += is_open and has_begun and load.served_at > at
        for attempt in load.attempts:
            if attempt.number and at < attempt.ended_at <= next_at:
                observed.answers[attempt.answer] += 1
    return observed


def unanswered(
    tally: Tally,
    power_losses: Sequence[float],
    until: float,
    stalls: Sequence[tuple[float, float]] = (),
) -> list[Attempt]:
    """Return the attempts made by then that had no answer although no power loss was near. stalls: times in
    which the harness was not scheduled, so that late and missing answers cannot be told apart."""
    return [
        attempt
        for load in tally.loads.values()
        for attempt in load.attempts
        if attempt.end in (None, RequestEnd.TIMED_OUT)
        and attempt.started_at < until
        and not _is_near_power_loss(attempt, power_losses)
        and not any(begin <= attempt.ended_at and end >= attempt.started_at for begin, end in stalls)
    ]


def _is_near_power_loss(attempt: Attempt, power_losses: Sequence[float]) -> bool:
    begin = attempt.started_at - POWER_LOSS_MARGIN_S
    return any(begin <= at <= attempt.ended_at + POWER_LOSS_MARGIN_S for at in power_losses)


def timeline(load: ObservedLoad, started_at: float, marks: Iterable[tuple[float, str, str]]) -> list[str]:
    """Return what happened to a load, a line for each event, with what was killed and started meanwhile."""
    rows = [
        (a.started_at, f"asked at n{a.instance}, ref {a.request_id}, try {a.number}") for a in load.attempts
    ]
    rows += [
        (a.ended_at, f"ref {a.request_id} at n{a.instance}: {a.end} '{a.text}'")
        for a in load.attempts
        if a.end is not None
    ]
    rows += [(at, f"came to an engine, ref {request_id}") for at, request_id in load.arrivals]
    rows += [(e.began_at, f"BEGAN at {e.engine}, ref {e.request_id}") for e in load.executions]
    rows += [
        (e.ended_at, f"ended at {e.engine}, ref {e.request_id}")
        for e in load.executions
        if e.ended_at < math.inf
    ]
    first, last = min(rows)[0], max(rows)[0]
    rows += [(at, f"{verb} {name}") for at, verb, name in marks if first - 1 <= at <= last + 1]
    return [f"{at - started_at:9.3f} s  {text}" for at, text in sorted(rows)]
