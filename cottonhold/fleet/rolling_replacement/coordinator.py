"""The rolling swap at one instance: who drives which machine, and what each is told to do. Pure.

Feed it machines, zones, pins, open requests and the outcomes of registers; call `step` at `next_at` at the
latest. What a machine's register says is the state; this instance only remembers what it has seen of it. All
changes are compare-and-sets. A machine's swap has one driver, named in its register with an epoch: the
instance itself until it is out, then the one that a hash puts first. If the driver is away, the others take
over one after another; an earlier driver finds its epoch gone. See docs/design/swap.md.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.rolling_replacement import plan
from cottonhold.fleet.rolling_replacement.machine_driver import Driver, Mine, Scene, SwapSettings, order_of
from cottonhold.fleet.rolling_replacement.plan import (
    NAME,
    Flag,
    Machine,
    Record,
    Request,
    State,
    Step,
    Whole,
    ident,
    register,
)
from cottonhold.fleet.rolling_replacement.plan_submission import Laying, unlocked
from cottonhold.fleet.rolling_replacement.start_conditions import Bearable
from cottonhold.fleet.rolling_replacement.step_decision import (
    Action,
    Answer,
    Drain,
    Ready,
    Say,
    Undrain,
)
from cottonhold.fleet.zone_failover.messages import zone_number


@dataclass(slots=True, frozen=True)
class Row:
    """One machine's swap for operators. `since`: on this instance's clock, when its register last changed."""

    machine: str
    new: str
    step: Step
    since: float
    by: str
    driver: str
    epoch: int
    why: list[str]


class Swap:
    """One instance. `me`: its own machine's name."""

    def __init__(
        self, me: str, now: float, settings: SwapSettings, seed: int, bearable: Bearable | None = None
    ) -> None:
        self.settings, self.draw = settings, random.Random(seed)
        self.scene = Scene(me, now, unrest_at=now)
        self.ledger = RegisterCache(self.draw, settings.late)
        self.driver = Driver(self.scene, self.ledger, settings, bearable)
        self.drained: set[str] = set()
        self.laying: Laying | None = None
        self.tidy_at: float | None = None
        self.locked_at: tuple[int, float] = (0, now)
        self.said: list[Action] = []
        self.malformed = 0
        self.was_settled, self.settled_from = False, now
        self.next_step = now

    # --- what happens ---

    def ask(self, now: float, request: Request) -> None:
        """A request by hand here. Raises PlanError; an Answer follows when it is settled."""
        if self.laying is not None:
            raise plan.PlanError(f"a request by {self.laying.request.who} is being laid here")
        plan.check(request, self.scene.there)
        self.laying, self.next_step = Laying(self.scene.id, request, now + self.settings.lay), now

    def abort(self, now: float, who: str, why: str, machine: str = "") -> None:
        """Abort a machine's swap, or all of them. Raises PlanError if there is none."""
        names = [n for n, r in self.scene.chain.items() if not r.over and machine in ("", n)]
        if not names:
            raise plan.PlanError(f"no swap of '{machine}' runs" if machine else "no swap runs")
        for name in names:
            self.driver.aborts[name] = now + self.settings.lay
            self.said.append(Say(name, None, f"abort asked by {who}: {why}"))
        self.next_step = now

    def present(self, now: float, machines: Iterable[Machine]) -> None:
        """Exactly these machines are there, engines and dispatchers, this one among them."""
        self.scene.there = {m.name: m for m in machines}
        self.scene.seen.update(dict.fromkeys(self.scene.there, now))

    def zone(self, now: float, zone: str, trouble: str) -> None:
        """A zone is left or returns (why), or is in use as usual (nothing)."""
        self._note(now, self.scene.zones, zone, trouble and f"zone {zone}: {trouble}")

    def fleet(self, now: float, what: str, trouble: str) -> None:
        """The fleet as a whole sheds, recovers, or the like (`what`), or does no longer (no trouble)."""
        self._note(now, self.scene.trouble, what, trouble)

    def pins_left(self, now: float, machine: str, count: int | None) -> None:
        """So many pins are still a machine's own, by the step that it is in; nothing: that is not known (any
        more)."""
        if count is None:
            self.scene.pins.pop(machine, None)
        else:
            self.scene.pins[machine] = count

    def open_left(self, now: float, machine: str, count: int | None) -> None:
        """So many requests are open: at this dispatcher, or over all dispatchers at an engine; nothing: that
        is not known (any more)."""
        if count is None:
            self.scene.open.pop(machine, None)
        else:
            self.scene.open[machine] = count

    def pace(self, now: float, machine: str, share: float) -> None:
        """A machine that is new takes such a share of its part, 0 to 1."""
        self.scene.paces[machine] = share

    def outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended: won or lost with what it holds now, or not known
        (None)."""
        if self.ledger.on_outcome(now, token, won, version, value):
            self.next_step = now

    def changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Another has told of a register."""
        if name.startswith(NAME):
            self.ledger.on_hint(now, name, version, value)
            self.next_step = min(self.next_step, now + self.settings.period)

    def _note(self, now: float, where: dict[str, str], key: str, trouble: str) -> None:
        if trouble:
            where[key] = trouble
        elif where.pop(key, ""):
            self.scene.unrest_at = now

    # --- step ---

    def next_at(self) -> float:
        """When `step` is due."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """What to do now."""
        if now < self.next_step:
            return []
        idle = not self.scene.whole.first and self.laying is None and not self.said
        self.next_step = now + (self.settings.rest if idle else self.settings.period)
        self.scene.seen.update(dict.fromkeys(self.scene.there, now))
        actions, self.said = self.said, []
        actions += self._look(now)
        if self.laying is not None:
            actions += self._lay(now, self.laying)
        for name, record in self.scene.chain.items():
            actions += self.driver.step(now, name, record)
        actions += self._own(now)
        return actions + self._tidy(now)

    def status(self) -> list[Row]:
        """Each machine's swap, in the order of the chain."""
        names = {m.id: m.name for m in self.scene.there.values()}
        return [
            Row(
                name, r.new, r.step, self.ledger.register(register(name)).first_seen_at, r.who,
                names.get(r.driver, f"{r.driver:x}" if r.driver else ""), r.epoch, self.driver.mine[name].why,
            )
            for name, r in self.scene.chain.items()
        ]  # fmt: skip

    # --- registers ---

    def _look(self, now: float) -> list[Action]:
        """Read what is due, and walk the chain."""
        s, actions = self.settings, list[Action]()
        every = s.follow * (0.8 + 0.4 * self.draw.random())
        actions += self.ledger.read(now, NAME, every)
        cell = self.ledger.received(NAME)
        try:
            self.scene.whole = plan.read_whole(cell.value if cell else b"")
            chain = self._walk(now, actions, every)
        except MessageError:
            self.malformed += 1
            chain, self.scene.complete = {}, False
        self.scene.complete = self.scene.complete and cell is not None
        self.scene.chain = chain
        for name, record in chain.items():
            mine = self.driver.mine.setdefault(name, Mine())
            if mine.step is not record.step:
                actions.append(Say(name, record.step, ""))
                mine.step, mine.step_at = record.step, now
                # Danger: a machine with no pins left in MOVING went on from DRAINING to OUT in the very step
                # that first saw DRAINING: the 0 was counted before it had to leave the table as well. Taken
                # away by then, it still owned its keys, and nobody served them.
                self.scene.pins.pop(name, None)
                if record.step is Step.MOVING:
                    mine.began_at = now
        for name in self.driver.mine.keys() - chain.keys():
            if self.scene.complete:
                del self.driver.mine[name]
        return actions

    def _walk(self, now: float, actions: list[Action], every: float) -> dict[str, Record]:
        chain, name, whole = dict[str, Record](), self.scene.whole.first, self.scene.whole
        self.scene.complete = False
        while name and name not in chain:
            key = register(name)
            cell = self.ledger.received(key)
            record = plan.read_record(cell.value) if cell else None
            # Danger: what is known of an earlier swap's register would lead along an earlier chain.
            if (
                record is None
                or not whole.base <= record.serial <= whole.serial
                or self.scene.behind(name, record)
            ):
                actions += self.ledger.read(now, key, self.settings.poll)
                if record is None or not whole.base <= record.serial <= whole.serial:
                    return chain
            elif not record.over:
                mine = record.driver == self.scene.id and record.step not in plan.BEFORE
                actions += self.ledger.read(now, key, self.settings.poll if mine else every)
            chain[name], name = record, record.next
        self.scene.complete = not name
        return chain

    def _lay(self, now: float, laying: Laying) -> list[Action]:
        numbers = {m.zone: zone_number(m.zone) for m in self.scene.there.values()}
        chain = self.scene.chain if self.scene.complete else None
        actions = laying.step(now, self.ledger, self.scene.whole, chain, self.scene.there, numbers)
        if laying.answer is not None:
            actions.append(Answer(laying.request, laying.answer))
            self.laying = None
        return actions

    # --- this machine's own side, and the whole ---

    def _own(self, now: float) -> list[Action]:
        """Drain and take up again, as registers say: this machine, and any engine."""
        wanted = set[str]()
        for name, r in self.scene.chain.items():
            if r.has(Flag.ENGINE):
                wanted |= {name} if self._keeps_out(name, r) else set()
                continue
            left = name == self.scene.me and self._life() != r.life  # a new life after the old one was out
            if name == self.scene.me and (r.step is Step.DRAINING or r.step is Step.OUT and not left):
                wanted.add(name)
        actions: list[Action] = [Drain(name) for name in sorted(wanted - self.drained)]
        # Danger: while a part of the chain is being read anew, what was on it looks gone.
        over = self.drained - wanted if self.scene.complete else set[str]()
        actions += [Undrain(name) for name in sorted(over)]
        self.drained = (self.drained | wanted) - over
        record = self.scene.chain.get(self.scene.me)
        if record is not None and record.step is Step.OUT and self.scene.me in wanted:
            mine_ = self.driver.mine[self.scene.me]
            if mine_.readied != record.epoch and not record.has(Flag.ABORT):
                mine_.readied = record.epoch
                actions.append(Ready(self.scene.me, record.epoch))
        return actions

    def _keeps_out(self, name: str, r: Record) -> bool:
        """Whether nothing new may go to an engine: from DRAINING until it, or the one under its id, is back;
        one that another id replaces, for good."""
        after = r.step in (Step.IN_PLACE, Step.RAMPING, Step.DONE)
        return r.step in (Step.DRAINING, Step.OUT) or after and r.new != name and not r.has(Flag.ABORT)

    def settled(self) -> bool:
        """Whether all registers of the swap have been read over a majority since the start, or since
        `unsettle`."""
        if not self.was_settled and self.scene.complete:
            names = [NAME, *(register(n) for n, r in self.scene.chain.items() if not r.over)]
            self.was_settled = all(self.ledger.register(n).confirmed_at >= self.settled_from for n in names)
        return self.was_settled

    def unsettle(self, now: float) -> None:
        """This instance stood still: what it knows of registers may be old."""
        self.was_settled, self.settled_from, self.next_step = False, now, now

    def _life(self) -> int:
        machine = self.scene.there.get(self.scene.me)
        return machine.life & 0xFFFFFFFF if machine is not None else -1

    def _tidy(self, now: float) -> list[Action]:
        """Take those that are over off the whole, undo a request whose author died. Anyone may; one after
        another, so that they do not hinder each other."""
        after = self._tidied(now)
        if after == self.scene.whole:
            self.tidy_at = None
            return []
        if self.tidy_at is None:
            self.tidy_at = now
        live = sorted(
            (m.name for m in self.scene.there.values() if not m.engine), key=lambda n: order_of(NAME, n)
        )
        rank = live.index(self.scene.me) if self.scene.me in live else len(live)
        if now - self.tidy_at < rank * self.settings.spread:
            return []
        return list(self.ledger.change(now, NAME, plan.pack_whole(after)))

    def _tidied(self, now: float) -> Whole:
        whole = self.scene.whole
        over = {ident(name) for name, r in self.scene.chain.items() if r.over}
        if over & set(whole.out):
            whole = replace(whole, out=tuple(i for i in whole.out if i not in over))
        if whole.state is State.LAYING:
            if self.locked_at[0] != whole.serial:
                self.locked_at = whole.serial, now
            live = {m.id for m in self.scene.there.values()}
            ours = whole.locker == self.scene.id and self.laying is not None
            held = now - self.locked_at[1]
            if (
                held > self.settings.lay * 1.5
                or not ours
                and held > self.settings.settle
                and (whole.locker == self.scene.id or whole.locker not in live)
            ):
                whole = unlocked(whole)
        elif whole.first and self.scene.complete and all(r.over for r in self.scene.chain.values()):
            whole = replace(whole, first="", out=())
        return whole
