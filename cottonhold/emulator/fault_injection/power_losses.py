"""Generates random power losses of one small fleet from a seed; does no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

# Probability that an instance is not restarted, and the largest number of restarts that it misses.
ABSENCE_PROBABILITY, MAX_ABSENT_RETURNS = 0.12, 3
# Probability that a backup is restored at a power loss that waits until all instances have settled.
BACKUP_PROBABILITY = 0.7
EMPTIED_PROBABILITY, COPY_PROBABILITY = 0.08, 0.15
MAX_RETURNS_UNTIL_SETTLED = 2
MAX_RETURNS_UNTIL_PUT_BACK = 4
CLOCK_PROBABILITY = 0.1
CLOCK_OFFSETS_S = (-94e6, -3600.0, 86400.0, 31e6)
DISK_STALL_S = (0.03, 0.4)
OUTAGE_S = (0.05, 0.6)
LEAK_SHARES = (0.0, 0.0, 0.3, 0.7)


class PowerLossMoment(Enum):
    """When power is lost.

    Members:
        ANY: While loads are served.
        FSYNC: While loads are served and all disks are stalled in a sync.
        START: Shortly after the restart began; some instances may not have started.
        RECOVERY: After the first instance is up.
    """

    ANY = "any"
    FSYNC = "fsync"
    START = "start"
    RECOVERY = "recovery"


MOMENT_WEIGHTS = (4, 3, 1, 2)  # in the order of PowerLossMoment's members
MAX_DELAY_S = {
    PowerLossMoment.ANY: 1.5,
    PowerLossMoment.FSYNC: 1.0,
    PowerLossMoment.START: 0.4,
    PowerLossMoment.RECOVERY: 1.2,
}


@dataclass(slots=True, frozen=True)
class PowerLoss:
    """One power loss and the restart after it.

    Attributes:
        number: Number of the power loss, from 1.
        moment: What the fleet is doing when power is lost.
        delay_s: Delay after that moment, in s.
        stalled_s: How long the disks are stalled in a sync before the loss, in s.
        outage_s: Time without power, in s.
        order: Instances that are restarted, in this order.
        gaps_s: Time before the start of each of them, in s.
        engine_delay_s: Start of the engines relative to the begin of the first gap, in s; may be negative.
        away: Instances that are not restarted yet.
        emptied: Instance whose state folder is emptied; empty for none, like the next three.
        restored: Instance whose state folder is replaced by the copy from an earlier power loss.
        copied: Instance whose state folder is copied during the outage.
        backup: Instance whose state folder is replaced by a backup, which was made a retention time before
            this loss, while all instances sent loads.
        clock_offsets_s: Offset of wall clocks, by instance, in s.
        leak_share: Share of unsynced writes that reach the disks nevertheless.
        waits_until_settled: The loss occurs only once all instances send loads and the retention time of
            load records has passed since then.
    """

    number: int
    moment: PowerLossMoment
    delay_s: float
    stalled_s: float
    outage_s: float
    order: tuple[str, ...]
    gaps_s: tuple[float, ...]
    engine_delay_s: float
    absent: tuple[str, ...] = ()
    emptied: str = ""
    restored: str = ""
    copied: str = ""
    backup: str = ""
    clock_offsets_s: tuple[tuple[str, float], ...] = ()
    leak_share: float = 0.0
    waits_until_settled: bool = False

    def __str__(self) -> str:
        parts = [
            f"cut {self.number}: {self.moment.value} +{self.delay_s:.2f} s, outage {self.outage_s:.2f} s",
            f"engines {self.engine_delay_s:+.2f} s, back: {' '.join(self.order)}",
        ]
        folders = {
            "emptied": self.emptied,
            "old": self.restored,
            "kept": self.copied,
            "backup": self.backup,
        }
        parts += [f"{change} {name}" for change, name in folders.items() if name]
        parts += [f"away {' '.join(self.absent)}"] if self.absent else []
        parts += [f"leak {self.leak_share:g}"] if self.leak_share else []
        return ", ".join(parts)


@dataclass(slots=True, frozen=True)
class Countdown:
    """An instance in some condition, and the number of further power losses for which the condition lasts."""

    instance: str
    remaining: int


@dataclass(slots=True, frozen=True)
class FolderChanges:
    """The instances whose folder is emptied, restored or copied at one power loss; empty for none."""

    emptied: str = ""
    restored: str = ""
    copied: str = ""


class PowerLossGenerator:
    """Draws the power losses of one fleet, one after another.

    At most one folder is emptied or old at a time: several old folders cannot be detected unless an instance
    with newer records is up (docs/design/power-loss.md).
    """

    def __init__(self, seed: int, instances: Sequence[str]) -> None:
        self.random, self.instances = random.Random(seed), tuple(instances)
        self.absent: dict[str, int] = {}  # remaining restarts that each absent instance misses
        self.copy: Countdown | None = None  # the instance with a copied folder, until it is restored
        # The instance with an emptied or old folder, until all instances have settled.
        self.wrong_folder: Countdown | None = None

    def power_losses(self, count: int) -> Iterator[PowerLoss]:
        """Draw `count` power losses."""
        for number in range(1, count + 1):
            yield self._draw(number)

    def _draw(self, number: int) -> PowerLoss:
        """Draw one power loss. A change in the order of the draws changes the result for every seed."""
        draw = self.random
        waits_for_rest = self._advance_countdowns()
        self._draw_absence()
        backup = self._draw_backup() if waits_for_rest else ""
        folders = FolderChanges() if backup else self._draw_folders()
        order = [name for name in self.instances if name not in self.absent]
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
            absent=tuple(self.absent),
            emptied=folders.emptied,
            restored=folders.restored,
            copied=folders.copied,
            backup=backup,
            clock_offsets_s=clock_offsets_s,
            leak_share=draw.choice(LEAK_SHARES),
            waits_until_settled=waits_for_rest,
        )

    def _advance_countdowns(self) -> bool:
        """Count the last restart; return whether the next power loss waits until all have settled."""
        self.absent = {name: remaining - 1 for name, remaining in self.absent.items() if remaining > 1}
        if self.wrong_folder is None:
            return False
        wrong, waits_for_rest = self.wrong_folder, self.wrong_folder.remaining == 0
        self.wrong_folder = None if waits_for_rest else Countdown(wrong.instance, wrong.remaining - 1)
        return waits_for_rest

    def _draw_absence(self) -> None:
        draw = self.random
        if not self.absent and draw.random() < ABSENCE_PROBABILITY:
            wrong = self.wrong_folder.instance if self.wrong_folder is not None else ""
            candidates = [name for name in self.instances if name != wrong]
            self.absent = {draw.choice(candidates): draw.randint(1, MAX_ABSENT_RETURNS)}

    def _draw_backup(self) -> str:
        """Draw the instance whose folder is replaced by a backup; empty for none."""
        draw = self.random
        if self.absent or draw.random() >= BACKUP_PROBABILITY:
            return ""
        backup = draw.choice(self.instances)
        self.wrong_folder = Countdown(backup, draw.randint(0, MAX_RETURNS_UNTIL_SETTLED))
        self.copy = None
        return backup

    def _draw_folders(self) -> FolderChanges:
        draw = self.random
        present = [name for name in self.instances if name not in self.absent]
        if self.copy is not None:
            copy = self.copy
            if copy.remaining > 0 or copy.instance in self.absent:
                self.copy = Countdown(copy.instance, max(copy.remaining - 1, 0))
                return FolderChanges()
            self.copy = None
            if self.wrong_folder is None:
                self.wrong_folder = Countdown(copy.instance, draw.randint(0, MAX_RETURNS_UNTIL_SETTLED))
                return FolderChanges(restored=copy.instance)
        if self.wrong_folder is None and draw.random() < EMPTIED_PROBABILITY:
            emptied = draw.choice(present)
            self.wrong_folder = Countdown(emptied, draw.randint(0, MAX_RETURNS_UNTIL_SETTLED))
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
        """Draw the times between starts: all simultaneous, one by one, or half of them late."""
        draw, kind = self.random, self.random.random()
        if kind < 0.3:
            return (0.0,) * count
        late = count // 2 if kind > 0.8 else -1
        return tuple(draw.uniform(1.0, 2.0) if i == late else draw.uniform(0.0, 0.4) for i in range(count))
