"""Who drives a machine's swap, and what the driver does. Pure.

A driver is named in the machine's register with an epoch. It changes registers by compare-and-set; for
effects that are none (moving pins, telling operators) it must have seen its own epoch there a moment ago,
and a new one waits until the moment of the one before is over.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace

from cottonhold.fleet.consensus.register_cache import CachedRegister, RegisterCache
from cottonhold.fleet.rolling_replacement import plan
from cottonhold.fleet.rolling_replacement.plan import (
    NAME,
    Flag,
    Machine,
    Reason,
    Record,
    Step,
    Whole,
    ident,
    register,
)
from cottonhold.fleet.rolling_replacement.start_conditions import Bearable, Starts, up
from cottonhold.fleet.rolling_replacement.step_decision import (
    Action,
    MovePins,
    Ready,
    StepSettings,
    View,
    decide,
)
from cottonhold.fleet.zone_failover.evacuation import majority


@dataclass(slots=True, frozen=True)
class SwapSettings:
    """Times in ms.

    voters: configured ones. period: a step; rest: while no swap runs. confirm: so old may a driver's
    knowledge of its register be when it acts; a new driver waits that long first. poll: a driver reads so
    often, follow: others. spread: between two that could take over. settle: so long a machine must be back
    before it drives its own swap again, and nothing is begun after a start. stale: so long an active step
    may stand still before another drives it. calm: so long must nothing have stood against a start. late: an
    operation on a register counts as lost. lay: so long a request may take until it is laid. lasts: a swap
    of a machine takes that long where none was seen yet.
    """

    voters: int = 1
    period: float = 50.0
    rest: float = 250.0
    confirm: float = 400.0
    poll: float = 150.0
    follow: float = 1000.0
    spread: float = 250.0
    settle: float = 1000.0
    stale: float = 30_000.0
    calm: float = 1000.0
    late: float = 6000.0
    lay: float = 20_000.0
    lasts: float = 20_000.0
    steps: StepSettings = field(default_factory=StepSettings)


@dataclass(slots=True)
class Mine:
    """What this life knows of a machine's swap beside its register."""

    epoch: int = -1  # which this life has won
    won_at: float = 0.0
    claim: int = -1  # which it has asked for
    orphan_at: float | None = None  # since when nobody drives it
    began_at: float | None = None  # when it was first seen moving
    step: Step | None = None
    step_at: float = 0.0
    moved_at: float = -1e12
    readied: int = -1
    why: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Scene:
    """What this instance sees. zones, trouble: why a zone, the fleet is not as usual. unrest_at: when that
    was last so. complete: all of the chain is known."""

    me: str
    started: float
    there: dict[str, Machine] = field(default_factory=dict)
    seen: dict[str, float] = field(default_factory=dict)
    pins: dict[str, int] = field(default_factory=dict)
    open: dict[str, int] = field(default_factory=dict)
    paces: dict[str, float] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    trouble: dict[str, str] = field(default_factory=dict)
    unrest_at: float = 0.0
    whole: Whole = field(default_factory=Whole)
    chain: dict[str, Record] = field(default_factory=dict)
    complete: bool = False

    @property
    def id(self) -> int:
        """This instance's id among members."""
        return ident(self.me)

    def dispatchers(self) -> list[Machine]:
        """Those that are there."""
        return [m for m in self.there.values() if not m.engine]

    def behind(self, name: str, record: Record) -> bool:
        """Known to be on its way, and `swap` says that it is not: what is known here is older."""
        return not record.over and record.step not in plan.BEFORE and ident(name) not in self.whole.out


class Driver:
    """This instance's side of all swaps that it drives or may take over."""

    def __init__(
        self, scene: Scene, ledger: RegisterCache, settings: SwapSettings, bearable: Bearable | None
    ) -> None:
        self.scene, self.ledger, self.settings = scene, ledger, settings
        self.starts = Starts(settings.voters, settings.lasts, bearable)
        self.mine: dict[str, Mine] = {}
        self.given: dict[str, int] = {}  # pins asked to go to each target
        self.aborts: dict[str, float] = {}  # machine -> until when it is tried

    def step(self, now: float, name: str, record: Record) -> list[Action]:
        mine, cell = self.mine[name], self.ledger.register(register(name))
        if record.over:
            mine.orphan_at, mine.why = None, told(record)
            self.aborts.pop(name, None)
            return []
        if self.aborts.get(name, 0.0) > now and not record.has(Flag.ABORT):
            return self._set(now, name, replace(record, flags=record.flags | Flag.ABORT))
        if record.driver == self.scene.id and record.epoch == mine.claim != mine.epoch:
            mine.epoch, mine.won_at = record.epoch, now
        if record.driver == self.scene.id and record.epoch == mine.epoch:
            mine.orphan_at = None
            return self._drive(now, name, record, mine, cell)
        mine.why = [*told(record), "driven by another"]
        return self._take_over(now, name, record, mine, cell)

    def _take_over(
        self, now: float, name: str, record: Record, mine: Mine, cell: CachedRegister
    ) -> list[Action]:
        if not self._orphaned(now, name, record, cell):
            mine.orphan_at = None
            return []
        if mine.orphan_at is None:
            mine.orphan_at = now
        # One that finds its own name there drove it in its last life: nobody else will.
        rank = 0 if record.driver == self.scene.id else self._rank(name, record)
        if rank is None or now - mine.orphan_at < rank * self.settings.spread:
            return []
        mine.claim = record.epoch + 1
        step = Step.AGREED if record.step is Step.ASKED else record.step
        return self._set(now, name, replace(record, step=step, driver=self.scene.id, epoch=record.epoch + 1))

    def _orphaned(self, now: float, name: str, record: Record, cell: CachedRegister) -> bool:
        """Nobody who may drive this machine does."""
        if record.driver == self.scene.id:
            return record.step <= Step.DRAINING or name != self.scene.me
        if self.scene.me == name and record.step <= Step.DRAINING and not record.has(Flag.ENGINE):
            return now - self.scene.started > self.settings.settle  # its own, once it is back
        live = {m.id for m in self.scene.there.values() if not m.engine}
        if record.driver not in live or record.driver == ident(name) and record.step > Step.DRAINING:
            return True
        active = record.step in (Step.MOVING, Step.DRAINING, Step.IN_PLACE)
        return active and now - cell.first_seen_at > self.settings.stale

    def _rank(self, name: str, record: Record) -> int | None:
        """This one's place among those that may drive a machine; nothing if it may not."""
        ranked = self._candidates(name, record)
        return ranked.index(self.scene.me) if self.scene.me in ranked else None

    def _candidates(self, name: str, record: Record) -> list[str]:
        out = set(self.scene.whole.out)
        live = self.scene.dispatchers()
        others = [m.name for m in live if m.name != name and m.id not in out and m.name != record.new]
        found = sorted(others, key=lambda other: order_of(name, other))
        own = name in self.scene.there and not self.scene.there[name].engine and record.step <= Step.DRAINING
        return [name, *found] if own else found

    # --- as the driver ---

    def _drive(self, now: float, name: str, record: Record, mine: Mine, cell: CachedRegister) -> list[Action]:
        if record.step is Step.AGREED and not record.has(Flag.ABORT):
            return self._start(now, name, record, mine)
        view = self._view(now, name, record, mine, cell)
        verdict = decide(name, record, view, self.settings.steps)
        mine.why = [*told(record), *verdict.why]
        if verdict.next is not None:
            return self._set(now, name, self._handed(name, record, verdict.next))
        if not self._fenced(now, name, mine):
            return []
        actions = list[Action]()
        for effect in verdict.effects:
            if isinstance(effect, MovePins):
                mine.moved_at = now
                self.given[effect.target] = self.given.get(effect.target, 0) + min(
                    effect.most, self.scene.pins.get(name, 0)
                )
            if isinstance(effect, Ready):
                if mine.readied == record.epoch:
                    continue
                mine.readied = record.epoch
            actions.append(effect)
        return actions

    def _fenced(self, now: float, name: str, mine: Mine) -> bool:
        """Whether this is the one driver at this moment: its epoch was the register's lately, and the one
        before has stopped."""
        s = self.settings
        return (
            self.ledger.is_confirmed(now, register(name), s.confirm) and now - mine.won_at > s.confirm * 1.1
        )

    def _handed(self, name: str, record: Record, after: Record) -> Record:
        """A machine that goes out can't drive what follows."""
        if after.step is not Step.OUT or name != self.scene.me:
            return after
        others = self._candidates(name, after)
        driver = ident(others[0]) if others else 0
        return replace(after, driver=driver, epoch=record.epoch + 1)

    def _view(self, now: float, name: str, record: Record, mine: Mine, cell: CachedRegister) -> View:
        # Danger: an engine that only its driver can't reach still runs what others have out there.
        here = name == self.scene.me or record.has(Flag.ENGINE)
        return View(
            since=now - mine.step_at,
            there=self.scene.there,
            held=self._held(now, record.step),
            pins=self.scene.pins.get(name),
            open=self.scene.open.get(name),
            away=0.0 if here else now - self.scene.seen.get(name, self.scene.started),
            missing=now - self.scene.seen.get(record.new, self.scene.started),
            pace=self.scene.paces.get(record.new),
            spare=not record.has(Flag.VOTER) or self._spare(),
            target=self._target(name),
            moved=now - mine.moved_at,
            ran=now - mine.began_at if mine.began_at is not None else 0.0,
        )

    def _spare(self) -> bool:
        return up(self.scene.whole, self.scene.chain, self.scene.there) >= majority(self.settings.voters)

    def _target(self, name: str) -> str:
        """The dispatcher that has been given the fewest pins so far, by its cores."""
        out = set(self.scene.whole.out)
        fit = [m for m in self.scene.there.values() if not m.engine and m.name != name and m.id not in out]
        best = min(fit, key=lambda m: (self.given.get(m.name, 0) / max(m.cores, 0.1), m.name), default=None)
        return best.name if best is not None else ""

    # --- starting ---

    def _held(self, now: float, step: Step) -> list[str]:
        """Why nothing may be taken out now. An engine that drains is itself a cause of shedding."""
        trouble = {k: v for k, v in self.scene.trouble.items() if k != "sheds" or step is not Step.DRAINING}
        why = [*self.scene.zones.values(), *trouble.values()]
        if not why and now - self.scene.unrest_at < self.settings.calm:
            why = ["all is calm only since a moment"]
        return why

    def _start(self, now: float, name: str, record: Record, mine: Mine) -> list[Action]:
        me = ident(name)
        if me in self.scene.whole.out:
            return self._set(now, name, replace(record, step=Step.MOVING))
        mine.why = self._against(now, name)
        if mine.why:
            return []
        # Both that nobody else has begun since, and that all count it: the one register that all starts
        # share.
        whole = replace(self.scene.whole, out=(*self.scene.whole.out, me))
        return list(self.ledger.change(now, NAME, plan.pack_whole(whole)))

    def _against(self, now: float, name: str) -> list[str]:
        """Why a machine may not start now."""
        if not self.scene.complete:
            return ["not all registers are known yet"]
        if behind := [n for n, r in self.scene.chain.items() if self.scene.behind(n, r)]:
            return [f"the end of '{behind[0]}' is not known yet"]
        if name not in self.scene.there:
            return [f"'{name}' is not there"]
        if held := self._held(now, Step.AGREED):
            return held
        return self.starts.against(now, name, self.scene.whole, self.scene.chain, self.scene.there)

    def _set(self, now: float, name: str, record: Record) -> list[Action]:
        return list(self.ledger.change(now, register(name), plan.pack_record(record)))


def order_of(machine: str, other: str) -> bytes:
    return hashlib.blake2b(f"{machine}/{other}".encode(), digest_size=8).digest()


def told(record: Record) -> list[str]:
    """What its register says beside the step."""
    why = []
    if record.reason is Reason.SMALLER or record.seen and record.seen < record.told:
        why.append(f"'{record.new}' came with {record.seen / 10:g} cores of {record.told / 10:g} told")
    if record.reason is Reason.LATE:
        why.append("moving or draining took too long")
    if record.has(Flag.ABORT):
        why.append("aborted by hand")
    return why
