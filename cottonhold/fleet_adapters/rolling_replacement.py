"""The rim of rolling swaps: registers over the voters, durable promises, what a step asks of this machine.

Decides nothing. Where pins are in service (pins.py), they go before the machine does; else its open requests
end before it is out, and that is all. What concerns engines is in drains.py.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from cottonhold.config.installation import Installation
from cottonhold.fleet.consensus.actions import (
    Action,
    ChangeRegister,
    ChangeResult,
    OperationOutcome,
    PersistState,
    ReadRegister,
    RegisterChanged,
    SendMessage,
)
from cottonhold.fleet.consensus.register import Registers
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.recovery.membership_survey import MembershipSurvey
from cottonhold.fleet.recovery.survey_results import OutageVerdict
from cottonhold.fleet.rolling_replacement import step_decision as steps_of
from cottonhold.fleet.rolling_replacement.coordinator import Swap
from cottonhold.fleet.rolling_replacement.machine_driver import SwapSettings
from cottonhold.fleet.rolling_replacement.plan import Machine, PlanError
from cottonhold.fleet.rolling_replacement.request_parsing import request_of
from cottonhold.fleet.zone_failover.evacuation import Phase
from cottonhold.fleet_adapters.engine_drain import DrainRim
from cottonhold.fleet_adapters.write_queue import OrderedWriteQueue
from cottonhold.membership.codec import member_id
from cottonhold.membership.swim import Swim
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.observe.counters import Counters
from cottonhold.store.health import Completeness as Folder
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from cottonhold.transport.clock import Clock, Timer

FIRST, LAST = 64, 79  # kinds of message
LEAST_MS, MOST_MS = 5.0, 250.0
ENDS = {
    ChangeResult.WON: True,
    ChangeResult.LOST: False,
    ChangeResult.UNKNOWN: None,
}
UNREST = (OutageVerdict.FLEET, OutageVerdict.ZONE, OutageVerdict.CUT_OFF)


class KeyMover(Protocol):
    """The rim of pins, as the swap needs it."""

    def remaining_here(self) -> int:
        """What still has to go before this machine may be taken out."""

    def remaining_elsewhere(self) -> dict[str, int | None]:
        """The same of all others on their way out, as far as it is known here."""

    def move_keys(self, max_keys: int) -> None:
        """At most so many pins go to others."""

    def on_outcome(self, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended."""

    def on_register_changed(self, name: str, version: int, value: bytes) -> None:
        """A register has changed."""


class SwapError(Exception):
    """A call that can't be taken, with what is wrong in it."""


class SwapRim:
    """Feeds one instance's swap and registers, and carries out what they say."""

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim,
        fleet: FleetCoordinator,
        census: MembershipSurvey,
        lifecycle: Lifecycle,
        clock: Clock,
        hop: Callable[[Callable[[], None]], object],
        say: Callable[[int, bytes], None],
        open_requests: Callable[[], int],
        counters: Counters,
        note: Callable[..., None],
        drains: DrainRim,
    ) -> None:
        file, now = installation.file, clock.now()
        assert file.membership is not None
        self.swim, self.fleet, self.census, self.lifecycle = swim, fleet, census, lifecycle
        self.promises = OrderedWriteQueue(ledger, hop, clock.call_in)
        self.clock, self.say, self.open_requests = clock, say, open_requests
        self.counters, self.note, self.name, self.drains = counters, note, file.name, drains
        self.homes = file.peers.zones if file.peers is not None else ()
        self.voters = {member_id(name) for name in file.membership.voters}
        # Danger: an empty or old folder may have promised; its voice counts once the others have told it all.
        kept = ledger.records(RecordKind.PROMISE) if ledger.completeness is Folder.COMPLETE else {}
        self.registers = Registers(
            swim.id,
            self.voters,
            ledger.boot_count,
            ledger.boot_count,
            secrets.randbits(63),
            {key.decode(): value for key, value in kept.items()},
        )
        bearable = fleet.failover_cost.removal_objections if fleet.failover_cost is not None else None
        self.swap = Swap(file.name, now, SwapSettings(len(self.voters)), secrets.randbits(63), bearable)
        self.answers: list[dict[str, str]] = []
        self.ready: dict[str, int] = {}
        self.timer: Timer | None = None
        self.pins: KeyMover | None = None

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        self._step()

    def close(self) -> None:
        """The end of this life."""
        if self.timer is not None:
            self.timer.cancel()

    def told(self, member: int, payload: bytes) -> bool:
        """Whether bytes from another instance are a register's."""
        if self.drains.told(payload):
            return True
        if not payload or not FIRST <= payload[0] <= LAST:
            return False
        self._carry_out(self.registers.on_message(self.clock.now(), member, payload))
        self._arm(LEAST_MS)
        return True

    # --- by hand ---

    def call(self, call: Mapping[str, Any]) -> dict[str, Any]:
        """A call at this instance's socket: `swap` or `abort`. Raises SwapError."""
        who, why = call.get("who"), call.get("why")
        if not isinstance(who, str) or not who:
            raise SwapError("who has to be given")
        try:
            if call.get("call") == "abort":
                if not isinstance(why, str) or not why:
                    raise SwapError("why has to be given")
                self.swap.abort(self.clock.now(), who, why, str(call.get("machine") or ""))
            else:
                self.swap.ask(self.clock.now(), request_of(who, call, self.swap.scene.there))
        except PlanError as error:
            raise SwapError(str(error)) from None
        self._step()
        return self.status()

    def status(self) -> dict[str, Any]:
        """The view of this instance, for operators."""
        now = self.clock.now()
        rows = [
            {
                "machine": row.machine,
                "new": row.new,
                "step": row.step.name.lower(),
                "since_ms": round(now - row.since),
                "asked_by": row.by,
                "driver": row.driver,
                "epoch": row.epoch,
                "why": row.why,
                "ready": self.ready.get(row.machine) == row.epoch,
            }
            | self.drains.row(now, self.swap, row.machine)
            for row in self.swap.status()
        ]
        return {"swap": {"machines": rows, "answers": self.answers[-4:], "votes": self.registers.is_voting()}}

    # --- steps ---

    def _step(self) -> None:
        now = self.clock.now()
        self._tell(now)
        self.registers.set_listeners(self.swim.live_members())
        self._carry_out(self.registers.step(now))
        for action in self.swap.step(now):
            self._act(now, action)
        self.drains.step(now, self.swap)
        self._arm(min(self.registers.next_at(), self.swap.next_at()) - now)

    def _arm(self, ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(min(max(ms, LEAST_MS), MOST_MS), self._step)

    def _tell(self, now: float) -> None:
        """What this instance sees."""
        swap, live = self.swap, set(self.swim.live_members())
        there = [self._machine(self.name, self.swim.id, self.census.number, self.census.incarnation)]
        there[0] = replace(there[0], votes=self.registers.is_voting())
        for member in self.swim.members.values():
            number = self.census.number_of(member.id)
            if member.id in live and number is not None:
                there.append(
                    self._machine(member.name, member.id, number, self.census.incarnation_of(number))
                )
        swap.present(now, [*self.drains.machines(now, swap), *there])
        self.drains.tell(now, swap)
        swap.open_left(now, self.name, self.open_requests())
        swap.pins_left(now, self.name, self.pins.remaining_here() if self.pins is not None else 0)
        for machine, count in (self.pins.remaining_elsewhere() if self.pins is not None else {}).items():
            swap.pins_left(now, machine, count)
        for zone, state in self.fleet.evacuation.states.items():
            swap.zone(now, zone, "" if state.phase is Phase.IN_SERVICE else f"is {state.phase.value}")
        loads = self.fleet.demand
        shed = loads is not None and loads.threshold is not None and loads.threshold.step > 0
        # Danger: told as anything else than "sheds", an engine that drains held up its own swap for good:
        # requests were turned away for want of it.
        swap.fleet(now, "sheds", "the fleet turns requests away" if shed else "")
        verdict = self.census.view.verdict
        ramping = self.fleet.slow_start is not None and self.fleet.slow_start.is_active
        unrest = verdict in UNREST and (
            ramping or not self.census.view.is_settled or verdict is OutageVerdict.CUT_OFF
        )
        swap.fleet(now, "recovery", f"the fleet recovers: {verdict.value}" if unrest else "")

    def _machine(self, name: str, member: int, number: int, life: int) -> Machine:
        zone = self.homes[number] if number < len(self.homes) else ""
        # Danger: the outlook knows engines only, and took a dispatcher's cores for an engine's of its zone.
        return Machine(name, zone, 0.0, False, life, member in self.voters)

    def _act(self, now: float, action: steps_of.Action) -> None:
        match action:
            case ChangeRegister() | ReadRegister():
                self.ask(action)
            case steps_of.MovePins(machine, _, most) if machine == self.name and self.pins is not None:
                self.pins.move_keys(most)
            case steps_of.Drain(machine) | steps_of.Undrain(machine) if machine != self.name:
                self.drains.act(now, self.swap, action)
            case steps_of.Drain(machine):
                self.counters.add("swap_drains")
                self.lifecycle.drain(now)
            case steps_of.Undrain(machine):
                self.lifecycle.restore()
            case steps_of.Ready(machine, epoch):
                self.ready[machine] = epoch
                self.note("swap_ready", machine=machine, epoch=epoch)
            case steps_of.Say(machine, step, why):
                name = step.name.lower() if step is not None else ""
                self.note("swap", machine=machine, step=name, why=why)
            case steps_of.Answer(request, refused):
                self.answers.append({"who": request.who, "refused": refused})
                self.note("swap_answer", who=request.who, refused=refused or "no")

    def ask(self, action: ChangeRegister | ReadRegister) -> None:
        """A change or read of a register, for this part or for pins; its outcome goes to both."""
        now = self.clock.now()
        if isinstance(action, ReadRegister):
            self._carry_out(self.registers.read(now, action.name, action.token))
        else:
            words = action.name, action.version, action.value, action.token
            self._carry_out(self.registers.change(now, *words))
        self._arm(LEAST_MS)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.say(member, data)
                case PersistState(name, data, then):
                    self._keep(name, data, then)
                case RegisterChanged(name, version, value):
                    self.swap.changed(self.clock.now(), name, version, value)
                    if self.pins is not None:
                        self.pins.on_register_changed(name, version, value)
                case OperationOutcome(token, how, version, value) if token:
                    # One that was lost without an answer says nothing of what stands.
                    won = ENDS[how] if version >= 0 else None
                    self.swap.outcome(self.clock.now(), token, won, version, value)
                    if self.pins is not None:
                        self.pins.on_outcome(token, won, version, value)

    def _keep(self, name: str, data: bytes, then: int) -> None:
        # Danger: a promise that is told before the disk has it is broken by a power loss, and two decisions
        # stand. One that the disk does not take is told once it does: never put again, it left a voter silent
        # for the rest of its life.
        record = Record(RecordKind.PROMISE, name.encode(), data or None)
        self.promises.put(record, lambda: self._kept(then))

    def _kept(self, then: int) -> None:
        self._carry_out(self.registers.on_persisted(self.clock.now(), then))
        self._arm(LEAST_MS)
