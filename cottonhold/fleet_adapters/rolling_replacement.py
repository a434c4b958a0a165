"""Runs rolling replacement: registers shared by the voters, durable promises, and actions on this machine.

The adapter makes no decisions of its own. With session affinity a machine's keys move to others before it is
removed; without it, a machine can be removed once its open requests have ended. Engines are drained by
engine_drain.py.
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
    SendConsensusMessage,
)
from cottonhold.fleet.consensus.register import Registers
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.recovery.membership_survey import MembershipSurvey
from cottonhold.fleet.recovery.survey_results import OutageVerdict
from cottonhold.fleet.rolling_replacement import step_decision
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator
from cottonhold.fleet.rolling_replacement.machine_driver import ReplacementSettings
from cottonhold.fleet.rolling_replacement.plan import Machine, PlanError
from cottonhold.fleet.rolling_replacement.request_parsing import parse_request
from cottonhold.fleet.zone_failover.zone_state import ZonePhase
from cottonhold.fleet_adapters.engine_drain import EngineDrainAdapter
from cottonhold.fleet_adapters.write_queue import OrderedWriteQueue
from cottonhold.membership.codec import member_id
from cottonhold.membership.swim import Swim
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.observe.counters import Counters
from cottonhold.store.health import Completeness
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from cottonhold.transport.clock import Clock, Timer

FIRST_MESSAGE_TYPE, LAST_MESSAGE_TYPE = 64, 79  # range of the first byte of the registers' messages
MIN_STEP_INTERVAL_MS, MAX_STEP_INTERVAL_MS = 5.0, 250.0
WON_BY_RESULT = {  # whether a change took effect; None: not known
    ChangeResult.WON: True,
    ChangeResult.LOST: False,
    ChangeResult.UNKNOWN: None,
}
OUTAGE_VERDICTS = (OutageVerdict.FLEET, OutageVerdict.ZONE, OutageVerdict.CUT_OFF)


class KeyMover(Protocol):
    """The part of session affinity that rolling replacement uses."""

    def remaining_here(self) -> int:
        """Return the number of keys and requests that still prevent this machine's removal."""

    def remaining_elsewhere(self) -> dict[str, int | None]:
        """Return `remaining_here` of the other machines in replacement; None without a report of one."""

    def move_keys(self, max_keys: int) -> None:
        """Move at most `max_keys` keys to other members."""

    def on_outcome(self, token: int, won: bool | None, version: int, value: bytes) -> None:
        """Receive the outcome of a register change or read; `won` is None if it is not known."""

    def on_register_changed(self, name: str, version: int, value: bytes) -> None:
        """Receive a new version of a register."""


class ReplacementCallError(Exception):
    """An operator's call is invalid; the message states the reason."""


class RollingReplacementAdapter:
    """Passes events and time to one instance's replacement and registers, and executes their actions.

    Args:
        survey: The membership survey, which provides dispatcher numbers and incarnations.
        lifecycle: The lifecycle of this process, which a replacement of this machine drains.
        call_in_loop: Calls a function in the event loop's thread; may be called in any thread.
        send: Sends a payload to a member.
        open_requests: Returns the number of open requests of this instance.
        log: Logs an event with its fields.
        drains: The drains of engines.
    """

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim,
        fleet: FleetCoordinator,
        survey: MembershipSurvey,
        lifecycle: Lifecycle,
        clock: Clock,
        call_in_loop: Callable[[Callable[[], None]], object],
        send: Callable[[int, bytes], None],
        open_requests: Callable[[], int],
        counters: Counters,
        log: Callable[..., None],
        drains: EngineDrainAdapter,
    ) -> None:
        file, now = installation.file, clock.now()
        assert file.membership is not None
        self.swim, self.fleet, self.survey, self.lifecycle = swim, fleet, survey, lifecycle
        self.record_writer = OrderedWriteQueue(ledger, call_in_loop, clock.call_in)
        self.clock, self.send, self.open_requests = clock, send, open_requests
        self.counters, self.log, self.name, self.drains = counters, log, file.name, drains
        self.zones_by_number = file.peers.zones if file.peers is not None else ()
        self.voters = {member_id(name) for name in file.membership.voters}
        self.registers = self._make_registers(ledger)
        removal_objections = (
            fleet.failover_cost.removal_objections if fleet.failover_cost is not None else None
        )
        self.coordinator = ReplacementCoordinator(
            file.name, now, ReplacementSettings(len(self.voters)), secrets.randbits(63), removal_objections
        )
        self.answers: list[dict[str, str]] = []
        self.ready_epochs: dict[str, int] = {}
        self.timer: Timer | None = None
        self.key_mover: KeyMover | None = None

    def _make_registers(self, ledger: Ledger) -> Registers:
        """Make the registers with the promises that this voter made before its start.

        A voter whose folder is empty or stale starts without promises, and recovers them from the others.
        """
        promises = ledger.records(RecordKind.PROMISE) if ledger.completeness is Completeness.COMPLETE else {}
        return Registers(
            self.swim.id,
            self.voters,
            ledger.boot_count,
            ledger.boot_count,
            secrets.randbits(63),
            {key.decode(): value for key, value in promises.items()},
        )

    def start(self) -> None:
        """Run the first step; later steps run by the adapter's own timer."""
        self._step()

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def on_message(self, member: int, payload: bytes) -> bool:
        """Apply a member's payload; return whether it is a register message or a drain report."""
        if self.drains.on_message(payload):
            return True
        if not payload or not FIRST_MESSAGE_TYPE <= payload[0] <= LAST_MESSAGE_TYPE:
            return False
        self._execute_register_actions(self.registers.on_message(self.clock.now(), member, payload))
        self._schedule_step(MIN_STEP_INTERVAL_MS)
        return True

    def call(self, call: Mapping[str, Any]) -> dict[str, Any]:
        """Handle an operator's call `swap` or `abort`, and return the status.

        Raises:
            ReplacementCallError: The call is invalid.
        """
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
        """Return the replacements that this instance knows, for the status socket."""
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
            | self.drains.status_row(now, self.coordinator, row.machine)
            for row in self.coordinator.status()
        ]
        return {"swap": {"machines": rows, "answers": self.answers[-4:], "votes": self.registers.is_voting()}}

    def _step(self) -> None:
        now = self.clock.now()
        self._update_view(now)
        self.registers.set_listeners(self.swim.live_members())
        self._execute_register_actions(self.registers.step(now))
        for action in self.coordinator.step(now):
            self._execute_replacement_action(now, action)
        self.drains.step(now, self.coordinator)
        self._schedule_step(min(self.registers.next_at(), self.coordinator.next_at()) - now)

    def _schedule_step(self, delay_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(
            min(max(delay_ms, MIN_STEP_INTERVAL_MS), MAX_STEP_INTERVAL_MS), self._step
        )

    def _update_view(self, now: float) -> None:
        """Pass the machines, open requests and faults that this instance observes to the coordinator."""
        coordinator, live = self.coordinator, set(self.swim.live_members())
        dispatchers = [self._machine(self.name, self.swim.id, self.survey.number, self.survey.incarnation)]
        dispatchers[0] = replace(dispatchers[0], is_voting=self.registers.is_voting())
        for member in self.swim.members.values():
            number = self.survey.number_of(member.id)
            if member.id in live and number is not None:
                dispatchers.append(
                    self._machine(member.name, member.id, number, self.survey.incarnation_of(number))
                )
        coordinator.set_machines(now, [*self.drains.machines(now, coordinator), *dispatchers])
        self.drains.update_view(now, coordinator)
        coordinator.set_open_requests(now, self.name, self.open_requests())
        coordinator.set_remaining_keys(
            now, self.name, self.key_mover.remaining_here() if self.key_mover is not None else 0
        )
        for machine, count in (
            self.key_mover.remaining_elsewhere() if self.key_mover is not None else {}
        ).items():
            coordinator.set_remaining_keys(now, machine, count)
        for zone, state in self.fleet.evacuation.states.items():
            coordinator.set_zone_trouble(
                now, zone, "" if state.phase is ZonePhase.IN_SERVICE else f"is {state.phase.value}"
            )
        demand = self.fleet.demand
        is_shedding_load = demand is not None and demand.threshold is not None and demand.threshold.step > 0
        # Load shedding is reported as a reason of its own: a draining engine may cause it, and it
        # does not stop a machine that is already draining.
        coordinator.set_fleet_trouble(
            now, "sheds", "the fleet turns requests away" if is_shedding_load else ""
        )
        verdict = self.survey.view.verdict
        is_warming_up = self.fleet.slow_start is not None and self.fleet.slow_start.is_active
        is_recovering = verdict in OUTAGE_VERDICTS and (
            is_warming_up or not self.survey.view.is_settled or verdict is OutageVerdict.CUT_OFF
        )
        coordinator.set_fleet_trouble(
            now, "recovery", f"the fleet recovers: {verdict.value}" if is_recovering else ""
        )

    def _machine(self, name: str, member: int, number: int, incarnation: int) -> Machine:
        zone = self.zones_by_number[number] if number < len(self.zones_by_number) else ""
        # Capacity planning covers engines only, so a dispatcher has 0 cores.
        return Machine(name, zone, 0.0, False, incarnation, member in self.voters)

    def _execute_replacement_action(self, now: float, action: step_decision.Action) -> None:
        match action:
            case ChangeRegister() | ReadRegister():
                self.use_register(action)
            case step_decision.MoveKeys(machine, _, max_keys) if (
                machine == self.name and self.key_mover is not None
            ):
                self.key_mover.move_keys(max_keys)
            case step_decision.Drain(machine) | step_decision.Undrain(machine) if machine != self.name:
                self.drains.apply_action(now, self.coordinator, action)
            case step_decision.Drain(machine):
                self.counters.add("swap_drains")
                self.lifecycle.drain(now)
            case step_decision.Undrain(machine):
                self.lifecycle.restore()
            case step_decision.ReadyToPowerOff(machine, epoch):
                self.ready_epochs[machine] = epoch
                self.log("machine_ready_to_power_off", machine=machine, epoch=epoch)
            case step_decision.LogStep(machine, step, reason):
                name = step.name.lower() if step is not None else ""
                self.log("replacement_step", machine=machine, step=name, reason=reason)
            case step_decision.RequestAnswered(request, refused):
                self.answers.append({"who": request.requested_by, "refused": refused})
                self.log(
                    "replacement_answered", requested_by=request.requested_by, rejection=refused or "none"
                )

    def use_register(self, action: ChangeRegister | ReadRegister) -> None:
        """Change or read a register for rolling replacement or session affinity; both receive the outcome."""
        now = self.clock.now()
        if isinstance(action, ReadRegister):
            self._execute_register_actions(self.registers.read(now, action.name, action.token))
        else:
            change = action.name, action.version, action.value, action.token
            self._execute_register_actions(self.registers.change(now, *change))
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def _execute_register_actions(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendConsensusMessage(member, data):
                    self.send(member, data)
                case PersistState(name, data, token):
                    self._persist(name, data, token)
                case RegisterChanged(name, version, value):
                    self.coordinator.on_register_changed(self.clock.now(), name, version, value)
                    if self.key_mover is not None:
                        self.key_mover.on_register_changed(name, version, value)
                case OperationOutcome(token, result, version, value) if token:
                    # An operation that was lost without an answer gives no information about the register.
                    won = WON_BY_RESULT[result] if version >= 0 else None
                    self.coordinator.on_outcome(self.clock.now(), token, won, version, value)
                    if self.key_mover is not None:
                        self.key_mover.on_outcome(token, won, version, value)

    def _persist(self, name: str, data: bytes, token: int) -> None:
        # The voter answers only once the record is on disk, or a power loss could break a promise. A failed
        # write is retried, since the voter does not answer before it succeeds.
        record = Record(RecordKind.PROMISE, name.encode(), data or None)
        self.record_writer.put(record, lambda: self._on_persisted(token))

    def _on_persisted(self, token: int) -> None:
        self._execute_register_actions(self.registers.on_persisted(self.clock.now(), token))
        self._schedule_step(MIN_STEP_INTERVAL_MS)
