"""Carries out rolling replacement: registers over the voters, durable promises, and actions on this machine.

Decides nothing. With session affinity a machine's keys move before it goes; without it, it is out once its
open requests have ended. What concerns engines is in engine_drain.py.
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
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator
from cottonhold.fleet.rolling_replacement.machine_driver import ReplacementSettings
from cottonhold.fleet.rolling_replacement.plan import Machine, PlanError
from cottonhold.fleet.rolling_replacement.request_parsing import parse_request
from cottonhold.fleet.zone_failover.evacuation import Phase
from cottonhold.fleet_adapters.engine_drain import EngineDrainAdapter
from cottonhold.fleet_adapters.write_queue import OrderedWriteQueue
from cottonhold.membership.codec import member_id
from cottonhold.membership.swim import Swim
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.observe.counters import Counters
from cottonhold.store.health import Completeness as Folder
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from cottonhold.transport.clock import Clock, Timer

FIRST_KIND, LAST_KIND = 64, 79  # first bytes of messages
MIN_STEP_INTERVAL_MS, MAX_STEP_INTERVAL_MS = 5.0, 250.0
WON_BY_RESULT = {
    ChangeResult.WON: True,
    ChangeResult.LOST: False,
    ChangeResult.UNKNOWN: None,
}
OUTAGE_VERDICTS = (OutageVerdict.FLEET, OutageVerdict.ZONE, OutageVerdict.CUT_OFF)


class KeyMover(Protocol):
    """What the replacement needs of session affinity."""

    def remaining_here(self) -> int:
        """Return how much is left here before this machine may be taken out."""

    def remaining_elsewhere(self) -> dict[str, int | None]:
        """Return the same of other machines that are being replaced, as far as it is known here."""

    def move_keys(self, max_keys: int) -> None:
        """Move at most so many keys to others."""

    def on_outcome(self, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended."""

    def on_register_changed(self, name: str, version: int, value: bytes) -> None:
        """A register has changed."""


class ReplacementCallError(Exception):
    """A call that cannot be accepted; its text says what is wrong in it."""


class RollingReplacementAdapter:
    """Feeds one instance's replacement and registers, and carries out their actions."""

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
        drains: EngineDrainAdapter,
    ) -> None:
        file, now = installation.file, clock.now()
        assert file.membership is not None
        self.swim, self.fleet, self.census, self.lifecycle = swim, fleet, census, lifecycle
        self.record_writer = OrderedWriteQueue(ledger, hop, clock.call_in)
        self.clock, self.send, self.open_requests = clock, say, open_requests
        self.counters, self.log, self.name, self.drains = counters, note, file.name, drains
        self.zones_by_number = file.peers.zones if file.peers is not None else ()
        self.voters = {member_id(name) for name in file.membership.voters}
        # A voter with an empty or old folder starts without records, and recovers them from the others.
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
        self.coordinator = ReplacementCoordinator(
            file.name, now, ReplacementSettings(len(self.voters)), secrets.randbits(63), bearable
        )
        self.answers: list[dict[str, str]] = []
        self.ready_epochs: dict[str, int] = {}
        self.timer: Timer | None = None
        self.key_mover: KeyMover | None = None

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        self._step()

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def on_message(self, member: int, payload: bytes) -> bool:
        """Apply a datagram's payload; return whether it is a register's, or of drained engines."""
        if self.drains.on_message(payload):
            return True
        if not payload or not FIRST_KIND <= payload[0] <= LAST_KIND:
            return False
        self._carry_out_registers(self.registers.on_message(self.clock.now(), member, payload))
        self._schedule_step(MIN_STEP_INTERVAL_MS)
        return True

    def call(self, call: Mapping[str, Any]) -> dict[str, Any]:
        """Handle a call at this instance's socket: `swap` or `abort`. Raises ReplacementCallError."""
        who, why = call.get("who"), call.get("why")
        if not isinstance(who, str) or not who:
            raise ReplacementCallError("who has to be given")
        try:
            if call.get("call") == "abort":
                if not isinstance(why, str) or not why:
                    raise ReplacementCallError("why has to be given")
                self.coordinator.abort(self.clock.now(), who, why, str(call.get("machine") or ""))
            else:
                self.coordinator.request(
                    self.clock.now(), parse_request(who, call, self.coordinator.view.machines)
                )
        except PlanError as error:
            raise ReplacementCallError(str(error)) from None
        self._step()
        return self.status()

    def status(self) -> dict[str, Any]:
        """Return the view of this instance, for operators."""
        now = self.clock.now()
        rows = [
            {
                "machine": row.machine,
                "new": row.replacement,
                "step": row.step.name.lower(),
                "since_ms": round(now - row.changed_at),
                "asked_by": row.requested_by,
                "driver": row.driver,
                "epoch": row.epoch,
                "why": row.reasons,
                "ready": self.ready_epochs.get(row.machine) == row.epoch,
            }
            | self.drains.row(now, self.coordinator, row.machine)
            for row in self.coordinator.status()
        ]
        return {"swap": {"machines": rows, "answers": self.answers[-4:], "votes": self.registers.is_voting()}}

    def _step(self) -> None:
        now = self.clock.now()
        self._update_view(now)
        self.registers.set_listeners(self.swim.live_members())
        self._carry_out_registers(self.registers.step(now))
        for action in self.coordinator.step(now):
            self._carry_out_replacement(now, action)
        self.drains.step(now, self.coordinator)
        self._schedule_step(min(self.registers.next_at(), self.coordinator.next_at()) - now)

    def _schedule_step(self, delay_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(
            min(max(delay_ms, MIN_STEP_INTERVAL_MS), MAX_STEP_INTERVAL_MS), self._step
        )

    def _update_view(self, now: float) -> None:
        """Pass on what this instance sees."""
        swap, live = self.coordinator, set(self.swim.live_members())
        there = [self._machine(self.name, self.swim.id, self.census.number, self.census.incarnation)]
        there[0] = replace(there[0], is_voting=self.registers.is_voting())
        for member in self.swim.members.values():
            number = self.census.number_of(member.id)
            if member.id in live and number is not None:
                there.append(
                    self._machine(member.name, member.id, number, self.census.incarnation_of(number))
                )
        swap.set_machines(now, [*self.drains.machines(now, swap), *there])
        self.drains.update_view(now, swap)
        swap.set_open_requests(now, self.name, self.open_requests())
        swap.set_remaining_keys(
            now, self.name, self.key_mover.remaining_here() if self.key_mover is not None else 0
        )
        for machine, count in (
            self.key_mover.remaining_elsewhere() if self.key_mover is not None else {}
        ).items():
            swap.set_remaining_keys(now, machine, count)
        for zone, state in self.fleet.evacuation.states.items():
            swap.set_zone_trouble(
                now, zone, "" if state.phase is Phase.IN_SERVICE else f"is {state.phase.value}"
            )
        loads = self.fleet.demand
        shed = loads is not None and loads.threshold is not None and loads.threshold.step > 0
        # Shedding has a name of its own: a draining engine may cause it, and must not block itself.
        swap.set_fleet_trouble(now, "sheds", "the fleet turns requests away" if shed else "")
        verdict = self.census.view.verdict
        ramping = self.fleet.slow_start is not None and self.fleet.slow_start.is_active
        unrest = verdict in OUTAGE_VERDICTS and (
            ramping or not self.census.view.is_settled or verdict is OutageVerdict.CUT_OFF
        )
        swap.set_fleet_trouble(now, "recovery", f"the fleet recovers: {verdict.value}" if unrest else "")

    def _machine(self, name: str, member: int, number: int, life: int) -> Machine:
        zone = self.zones_by_number[number] if number < len(self.zones_by_number) else ""
        # Capacity planning knows engines only, so a dispatcher counts as 0 cores.
        return Machine(name, zone, 0.0, False, life, member in self.voters)

    def _carry_out_replacement(self, now: float, action: steps_of.Action) -> None:
        match action:
            case ChangeRegister() | ReadRegister():
                self.use_register(action)
            case steps_of.MoveKeys(machine, _, most) if machine == self.name and self.key_mover is not None:
                self.key_mover.move_keys(most)
            case steps_of.Drain(machine) | steps_of.Undrain(machine) if machine != self.name:
                self.drains.act(now, self.coordinator, action)
            case steps_of.Drain(machine):
                self.counters.add("swap_drains")
                self.lifecycle.drain(now)
            case steps_of.Undrain(machine):
                self.lifecycle.restore()
            case steps_of.ReadyToPowerOff(machine, epoch):
                self.ready_epochs[machine] = epoch
                self.log("machine_ready_to_power_off", machine=machine, epoch=epoch)
            case steps_of.LogStep(machine, step, why):
                name = step.name.lower() if step is not None else ""
                self.log("replacement_step", machine=machine, step=name, reason=why)
            case steps_of.RequestAnswered(request, refused):
                self.answers.append({"who": request.requested_by, "refused": refused})
                self.log(
                    "replacement_answered", requested_by=request.requested_by, rejection=refused or "none"
                )

    def use_register(self, action: ChangeRegister | ReadRegister) -> None:
        """Change or read a register, for this part or for session affinity; both get the outcome."""
        now = self.clock.now()
        if isinstance(action, ReadRegister):
            self._carry_out_registers(self.registers.read(now, action.name, action.token))
        else:
            words = action.name, action.version, action.value, action.token
            self._carry_out_registers(self.registers.change(now, *words))
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def _carry_out_registers(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.send(member, data)
                case PersistState(name, data, then):
                    self._persist(name, data, then)
                case RegisterChanged(name, version, value):
                    self.coordinator.on_register_changed(self.clock.now(), name, version, value)
                    if self.key_mover is not None:
                        self.key_mover.on_register_changed(name, version, value)
                case OperationOutcome(token, how, version, value) if token:
                    # An operation that was lost without an answer says nothing of the register.
                    won = WON_BY_RESULT[how] if version >= 0 else None
                    self.coordinator.on_outcome(self.clock.now(), token, won, version, value)
                    if self.key_mover is not None:
                        self.key_mover.on_outcome(token, won, version, value)

    def _persist(self, name: str, data: bytes, token: int) -> None:
        # An answer is sent only once its record is on disk, or a power loss could break a promise. A failed
        # write is repeated, since the voter stays silent until then.
        record = Record(RecordKind.PROMISE, name.encode(), data or None)
        self.record_writer.put(record, lambda: self._on_persisted(token))

    def _on_persisted(self, token: int) -> None:
        self._carry_out_registers(self.registers.on_persisted(self.clock.now(), token))
        self._schedule_step(MIN_STEP_INTERVAL_MS)
