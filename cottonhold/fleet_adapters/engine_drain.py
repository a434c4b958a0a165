"""Runs engine drains: quarantines engines, counts their open requests and checks their liveness.

The adapter makes no decisions of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.discovery.model import EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_drain import (
    CheckLiveness,
    DrainRecords,
    DrainSettings,
    EngineDrains,
    SendReport,
    StartupGate,
    is_new_process,
)
from cottonhold.fleet.engine_drain_messages import DRAIN_REPORT
from cottonhold.fleet.rolling_replacement import step_decision
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator
from cottonhold.fleet.rolling_replacement.plan import Machine, MachineFlag, MachineRecord, ReplacementStep
from cottonhold.fleet_adapters.membership import MembershipAdapter
from cottonhold.fleet_adapters.recovery_folder import (
    FIRST_COUNTED_INCARNATION,
    INCARNATIONS_PER_BOOT,
    incarnation_of,
)
from cottonhold.fleet_adapters.write_queue import OrderedWriteQueue
from cottonhold.membership.codec import member_id
from cottonhold.observe.counters import Counters
from cottonhold.observe.operator_log import OperatorLog
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import RecordKind


class EngineListOwner(Protocol):
    """The part of the dispatcher that owns the engine list."""

    quarantine: Quarantine
    engines: EngineConnections
    counters: Counters
    log: OperatorLog

    def listed(self) -> dict[str, Machine]:
        """Return all engines of the list as machines, by engine id."""

    def republish(self, change: EngineListChange | None) -> None:
        """Publish a change of the quarantine; None changes nothing."""


class EngineDrainAdapter:
    """Passes events and time to one instance's engine drains, and executes their actions.

    Args:
        owner: The owner of the list in which the drains quarantine engines.
        ledger: The instance's open ledger.
        membership: The membership adapter.
        fleet: The fleet's coordinator.
        voters: The configured names of the voters.
        call_in_loop: Calls a function in the event loop's thread; may be called in any thread.
    """

    def __init__(
        self,
        owner: EngineListOwner,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: FleetCoordinator,
        voters: Iterable[str],
        call_in_loop: Callable[[Callable[[], None]], object],
    ) -> None:
        self.owner, self.ledger, self.membership, self.fleet = owner, ledger, membership, fleet
        self.records = OrderedWriteQueue(ledger, call_in_loop, membership.clock.call_in)
        self.swim, self.clock = membership.instance.swim, membership.clock
        swim, self.voters = self.swim, {member_id(name) for name in voters}
        now, settings = self.clock.now(), DrainSettings()
        self.drains = EngineDrains(swim.id, incarnation_of(ledger), now, settings, self.voters)
        self.startup_gate = StartupGate(now, settings)
        self.drain_records = DrainRecords(ledger.records(RecordKind.ENGINE_DRAIN))
        self.pending_drains: dict[str, MachineRecord] = {}  # drains whose records are not on disk yet
        for engine in self.drain_records.from_previous_start:
            owner.republish(owner.quarantine.quarantine(engine))

    def on_message(self, payload: bytes) -> bool:
        """Apply a member's payload; return whether it is a drain report."""
        if not payload or payload[0] != DRAIN_REPORT:
            return False
        self.drains.on_message(self.clock.now(), payload)
        return True

    def may_send_loads(self) -> bool:
        """Return whether this instance knows which engines are drained, so that loads may be sent."""
        return self.startup_gate.is_open

    def machines(self, now: float, replacement: ReplacementCoordinator) -> list[Machine]:
        """Return the engines that are present now; called first in each step."""
        if self.startup_gate.check_pause(now):
            replacement.on_pause(now)
        self.drains.set_listed_engines(self.owner.listed())
        return self.drains.present_engines(replacement.view.records)

    def update_view(self, now: float, replacement: ReplacementCoordinator) -> None:
        """Report open requests of engines in replacement, and the traffic share of new ones."""
        slow_start = self.fleet.slow_start
        for zone in replacement.view.zone_troubles.keys() - self.fleet.evacuation.states.keys():
            # The zone's last engine is quarantined, so nothing reports the zone's state any more.
            replacement.set_zone_trouble(now, zone, "")
        for name, record in _engines(replacement).items():
            replacement.set_open_requests(now, name, self.drains.open_requests(now, name, record.serial))
            if slow_start is not None and record.step in (ReplacementStep.IN_PLACE, ReplacementStep.RAMPING):
                replacement.set_traffic_share(
                    now,
                    record.replacement,
                    slow_start.share(record.replacement) if record.replacement in slow_start.engines else 0.0,
                )

    def apply_action(
        self,
        now: float,
        replacement: ReplacementCoordinator,
        action: step_decision.Drain | step_decision.Undrain,
    ) -> None:
        """Drain or undrain the engine that the action names."""
        engine, record = action.machine, replacement.view.records.get(action.machine)
        if isinstance(action, step_decision.Drain):
            if record is not None:
                self.owner.counters.add("engine_drains")
                self.owner.republish(self.owner.quarantine.quarantine(engine))
                self._drain(engine, record)
            return
        self.pending_drains.pop(engine, None)
        self.drains.undrain(engine)
        self._release(now, engine, record)

    def step(self, now: float, replacement: ReplacementCoordinator) -> None:
        """Send drain reports to the drivers of replacements, and check the liveness of drained engines."""
        drains, live = self.drains, set(self.swim.live_members())
        drains.incarnation = incarnation_of(self.ledger)
        min_incarnations = {
            key: _min_incarnation(m.incarnation) for key, m in self.swim.members.items() if key in live
        }
        drains.set_live_members(now, min_incarnations)
        self._step_startup(now, replacement, live)
        for engine in drains.drained:
            drains.set_open_requests(engine, self.owner.engines.attempts_in_flight(engine))
        for action in drains.step(now, replacement.view.records):
            match action:
                case SendReport(member, data):
                    self.membership.send_payload(member, data)
                case CheckLiveness(engine):
                    if not self.owner.engines.check_liveness(engine, self._on_liveness_check(engine)):
                        drains.on_liveness_check(engine, False)

    def status_row(self, now: float, replacement: ReplacementCoordinator, engine: str) -> dict[str, Any]:
        """Return the engine-specific status of a replacement; empty for a dispatcher's replacement."""
        record = replacement.view.records.get(engine)
        if record is None or not record.has_flag(MachineFlag.ENGINE):
            return {}
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        is_counting_here = record.driver == self.swim.id and record.step is ReplacementStep.DRAINING
        missing_members = (
            self.drains.missing_reports(now, engine, record.serial) if is_counting_here else set[int]()
        )
        return {
            "ready": record.step is ReplacementStep.OUT and not record.has_flag(MachineFlag.ABORTING),
            "drained": engine in self.drains.drained,
            "away": record.has_flag(MachineFlag.WAS_AWAY),
            "open": self.drains.open_requests(now, engine, record.serial) if is_counting_here else None,
            "untold": sorted(names.get(m, f"{m:x}") for m in missing_members),
        }

    def _drain(self, engine: str, record: MachineRecord) -> None:
        """Drain an engine once its record is on disk, or its write has failed."""

        def on_record_settled() -> None:
            if self.pending_drains.get(engine) is record:
                del self.pending_drains[engine]
                self.drains.drain(engine, record.serial, self.owner.engines.attempts_in_flight(engine))

        self.pending_drains[engine] = record
        if not (records := self.drain_records.drain(engine)):
            on_record_settled()
        for drain_record in records:
            # A failed write is retried, or the drain would be lost at the next restart.
            self.records.put(drain_record, on_record_settled, on_record_settled)

    def _release(self, now: float, engine: str, record: MachineRecord | None) -> None:
        for drain_record in self.drain_records.undrain(engine):
            self.records.put(drain_record)
        self.owner.republish(self.owner.quarantine.release(engine, now if is_new_process(record) else 0.0))

    def _step_startup(self, now: float, replacement: ReplacementCoordinator, live: set[int]) -> None:
        if not self.startup_gate.is_open:
            has_majority = 2 * len(self.voters & live) > len(self.voters)
            if self.startup_gate.step(now, replacement.has_read_all(), has_majority):
                after_ms = round(now - self.startup_gate.started_at)
                released = self.drain_records.release_previous(replacement.drained)
                for engine in released:
                    self._release(now, engine, replacement.view.records.get(engine))
                self.owner.log.note(
                    "engine_drains_recovered",
                    after_ms=after_ms,
                    has_read_registers=replacement.has_read_all(),
                    drained=len(replacement.drained),
                    released=",".join(released),
                )

    def _on_liveness_check(self, engine: str) -> Callable[[bool], None]:
        return lambda is_alive: self.drains.on_liveness_check(engine, is_alive)


def _engines(replacement: ReplacementCoordinator) -> Mapping[str, MachineRecord]:
    return {name: r for name, r in replacement.view.records.items() if r.has_flag(MachineFlag.ENGINE)}


def _min_incarnation(incarnation: int) -> int:
    """Return the lowest incarnation of a member's valid reports, from the boot count in its incarnation."""
    return FIRST_COUNTED_INCARNATION + incarnation // INCARNATIONS_PER_BOOT & 0xFFFFFFFF
