"""Operations on the simulated registers, which may be delayed, lost or executed twice at random.

An operation succeeds if its host reaches a majority of the voters at that moment. Times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.emulator.replacement_fleet import Host, SimulatedFleet
from cottonhold.emulator.replacement_invariants import ReplacementInvariants
from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator

OPERATION_TIMEOUT_MS = 5000.0
RETRY_INTERVAL_MS = 80.0
Operation = ChangeRegister | ReadRegister


@dataclass(slots=True, frozen=True)
class Outcome:
    """The outcome of an operation; `has_won` is None if it is unknown."""

    has_won: bool | None
    version: int
    value: bytes


UNKNOWN_OUTCOME = Outcome(None, -1, b"")


@dataclass(slots=True, frozen=True)
class PendingOperation:
    """An operation of one incarnation of a host's coordinator."""

    host: Host
    coordinator: ReplacementCoordinator
    incarnation: int
    operation: Operation
    requested_at: float


class RegisterOperations:
    """Executes the operations of a fleet's coordinators on its registers."""

    def __init__(self, fleet: SimulatedFleet, invariants: ReplacementInvariants) -> None:
        self.fleet, self.invariants = fleet, invariants

    def operate(self, host: Host, operation: Operation) -> None:
        """Start an operation; it is retried until it succeeds or times out."""
        assert host.coordinator is not None
        pending = PendingOperation(host, host.coordinator, host.incarnation, operation, self.fleet.now)
        self.fleet.call_at(self.fleet.now + self._draw_delay_ms(), lambda: self._attempt(pending))

    def _draw_delay_ms(self) -> float:
        return self.fleet.network_faults.max_delay_ms * (0.2 + self.fleet.draw.random())

    def _attempt(self, pending: PendingOperation) -> None:
        fleet, faults, draw = self.fleet, self.fleet.network_faults, self.fleet.draw
        host = pending.host
        if not (host.is_up and host.incarnation == pending.incarnation):
            return
        if fleet.now - pending.requested_at > OPERATION_TIMEOUT_MS:
            self._deliver_outcome(pending, UNKNOWN_OUTCOME)
        elif not fleet.has_majority(host) or draw.random() < faults.loss * faults.loss * 2:
            fleet.call_at(fleet.now + RETRY_INTERVAL_MS, lambda: self._attempt(pending))
        else:
            self._execute(pending)

    def _execute(self, pending: PendingOperation) -> None:
        fleet, faults, draw = self.fleet, self.fleet.network_faults, self.fleet.draw
        outcome = self._apply(pending.operation)
        if draw.random() < faults.duplication:
            again_at = fleet.now + 3 * faults.max_delay_ms * draw.random()
            fleet.call_at(again_at, lambda: self._apply_duplicate(pending.operation))
        if draw.random() < faults.loss / 30:
            # The message with the outcome is lost.
            timeout_at = pending.requested_at + OPERATION_TIMEOUT_MS
            fleet.call_at(timeout_at, lambda: self._deliver_outcome(pending, UNKNOWN_OUTCOME))
        else:
            received_at = fleet.now + self._draw_delay_ms()
            fleet.call_at(received_at, lambda: self._deliver_outcome(pending, outcome))

    def _apply_duplicate(self, operation: Operation) -> None:
        self._apply(operation)

    def _deliver_outcome(self, pending: PendingOperation, outcome: Outcome) -> None:
        def on_outcome() -> None:
            if pending.host.coordinator is pending.coordinator:
                pending.coordinator.on_outcome(
                    self.fleet.now,
                    pending.operation.token,
                    outcome.has_won,
                    outcome.version,
                    outcome.value,
                )

        self.fleet.deliver(pending.host, pending.incarnation, on_outcome)

    def _apply(self, operation: Operation) -> Outcome:
        version, value = self.fleet.registers.get(operation.name, (0, b""))
        if isinstance(operation, ReadRegister):
            return Outcome(True, version, value)
        if operation.version != version:
            return Outcome(False, version, value)
        self.fleet.registers[operation.name] = version + 1, operation.value
        self.invariants.on_register_changed(operation.name, value, operation.value)
        for host in self.fleet.hosts.values():
            if self.fleet.draw.random() >= self.fleet.network_faults.loss:
                self._notify(host, operation.name, version + 1, operation.value)
        return Outcome(True, version + 1, operation.value)

    def _notify(self, host: Host, name: str, version: int, value: bytes) -> None:
        """Send a host a notification of a register's new value."""
        incarnation, coordinator = host.incarnation, host.coordinator
        assert coordinator is not None

        def on_hint() -> None:
            if host.coordinator is coordinator and self.fleet.has_majority(host):
                coordinator.on_register_changed(self.fleet.now, name, version, value)

        delay_ms = self.fleet.network_faults.max_delay_ms * 2 * self.fleet.draw.random()
        self.fleet.call_at(self.fleet.now + delay_ms, lambda: self.fleet.deliver(host, incarnation, on_hint))
