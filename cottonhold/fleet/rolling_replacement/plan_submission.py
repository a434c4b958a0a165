"""One request on its way into the registers: locked, laid, opened. Pure.

Each moment asks only what the registers show, so an operation whose end was not heard is no special case.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.rolling_replacement.plan import (
    NAME,
    Item,
    Machine,
    PlanError,
    Record,
    Request,
    State,
    Whole,
    fits,
    lay,
    opened,
    pack_record,
    pack_whole,
    register,
)
from cottonhold.fleet.rolling_replacement.step_decision import Action


class Laying:
    """A request of this instance. `until`: then it is given up. `answer`: its end, why it was refused, "" if
    it was taken."""

    def __init__(self, me: int, request: Request, until: float) -> None:
        self.me, self.request, self.until = me, request, until
        self.serial = self.asked = 0  # ours, once locked; and what a lock of ours would bear
        self.items: tuple[Item, ...] = ()
        self.records: dict[str, Record] = {}
        self.answer: str | None = None

    def step(
        self,
        now: float,
        ledger: RegisterCache,
        whole: Whole,
        chain: Mapping[str, Record] | None,
        there: Mapping[str, Machine],
        zones: Mapping[str, int],
    ) -> list[Action]:
        """What to ask of registers now. `chain`: nothing while parts of it are not known."""
        mine = whole.state is State.LAYING and whole.locker == self.me
        if mine and whole.serial == self.asked:
            self.serial = self.asked
        if now > self.until:
            return self._give_up(now, ledger, whole, mine)
        if mine and whole.serial == self.serial:
            return self._write(now, ledger, whole, there, zones)
        if chain is None or whole.state is State.LAYING:
            return list(ledger.read(now, NAME, 100.0))
        if self.serial and self._taken(chain):
            self.answer = ""
            return []
        return self._lock(now, ledger, whole, chain)

    def _taken(self, chain: Mapping[str, Record]) -> bool:
        first = chain.get(self.items[0].machine)
        return first is not None and first.serial == self.serial

    def _lock(
        self, now: float, ledger: RegisterCache, whole: Whole, chain: Mapping[str, Record]
    ) -> list[Action]:
        # Danger: refused or taken by what was known of old, two requests would both be told yes.
        if not ledger.is_confirmed(now, NAME, 1000.0):
            return list(ledger.read(now, NAME, 100.0))
        try:
            self.items = fits(self.request, chain)
        except PlanError as error:
            self.answer = str(error)
            return []
        if not self.items:
            self.answer = ""  # the same was asked before
            return []
        self.serial, self.records, self.asked = 0, {}, whole.serial + 1
        locked = replace(whole, state=State.LAYING, serial=self.asked, locker=self.me)
        return list(ledger.change(now, NAME, pack_whole(locked)))

    def _write(
        self,
        now: float,
        ledger: RegisterCache,
        whole: Whole,
        there: Mapping[str, Machine],
        zones: Mapping[str, int],
    ) -> list[Action]:
        if not self.records:
            if gone := [item.machine for item in self.items if item.machine not in there]:
                self.until, self.answer = now, f"'{gone[0]}' is not there any more"
                return self._give_up(now, ledger, whole, True)
            self.records = lay(self.request, self.items, there, whole, zones)
        actions, left = list[Action](), 0
        for machine, record in self.records.items():
            value, cell = pack_record(record), ledger.received(register(machine))
            if cell is None or cell.value != value:
                left += 1
                actions += ledger.change(now, register(machine), value)
        if not left:
            whole = opened(whole, self.request, self.items[0].machine)
            actions += ledger.change(now, NAME, pack_whole(whole))
        return actions

    def _give_up(self, now: float, ledger: RegisterCache, whole: Whole, mine: bool) -> list[Action]:
        self.answer = self.answer or "the registers could not be changed in time"
        if not mine:
            return []
        return list(ledger.change(now, NAME, pack_whole(unlocked(whole))))


def unlocked(whole: Whole) -> Whole:
    """The whole without the request that was being laid. Its serial is not used again."""
    return replace(whole, state=State.OPEN, locker=0, epoch=whole.epoch + 1)
