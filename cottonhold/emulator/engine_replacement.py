"""A model of a rolling replacement of engines in virtual time, with dispatchers that drain them and restart.

It adds engines and requests to the model of rolling_replacement.py. All requests are loads, since other
queries may be retried. A load runs until it ends, its dispatcher dies, or its engine is powered off.
Operators power an engine off after they are notified that it is out of service. Times are in ms.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from cottonhold.emulator.replacement_fleet import JOIN_NOTICE_MS, Host, NetworkFaults
from cottonhold.emulator.replacement_invariants import ReplacementInvariants
from cottonhold.emulator.rolling_replacement import TICK_MS, ReplacementWorld
from cottonhold.fleet.engine_drain import (
    CheckLiveness,
    DrainSettings,
    EngineDrains,
    SendReport,
    StartupGate,
    is_new_process,
)
from cottonhold.fleet.rolling_replacement.plan import (
    Machine,
    MachineFlag,
    MachineRecord,
    ReplacementStep,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.plan_codec import decode_record
from cottonhold.fleet.rolling_replacement.step_decision import Action, Drain, ReadyToPowerOff, Undrain

SETTINGS = DrainSettings()
ENGINE_COUNT = 3
LIVENESS_CHECK_MS = 15.0
REQUEST_END_PROBABILITY = 0.35  # per tick, engine and dispatcher; up to two requests end
WARMUP_MS = 1500.0  # time until a new engine receives its full share of the traffic
WARMING_SHARE = 0.3
MAX_DUPLICATE_DELAY_MS = 3000.0  # maximum delay of the duplicate of a drain report
RESTART_NOTICE_MS = 15_000.0  # time until operators see that an engine they restarted is still out
FINAL_CHECK_TICKS = 100


@dataclass(slots=True, eq=False)
class Engine:
    """An engine, with the number of its running requests by dispatcher and the dispatcher's incarnation."""

    name: str
    zone: str
    cores: float = 16.0
    is_up: bool = True
    started_at: float = 0.0
    in_flight: dict[tuple[str, int], int] = field(default_factory=dict)
    received: int = 0


@dataclass(slots=True, eq=False)
class EngineView:
    """The state of engines and their drains in one dispatcher process."""

    drains: EngineDrains
    startup_gate: StartupGate
    withheld: set[str] = field(default_factory=set)
    is_waiting: bool = True  # no requests are sent until the startup gate opens

    def on_report(self, now: float, data: bytes) -> None:
        """Process another dispatcher's drain report."""
        self.drains.on_message(now, data)


class EngineInvariants(ReplacementInvariants):
    """Checks the invariants of replaced engines, in addition to those of replaced dispatchers."""

    fleet: EngineWorld

    def on_register_changed(self, name: str, before: bytes, after: bytes) -> None:
        """Check a register's new value."""
        machine = next((m for m in self.fleet.engines if register_name(m) == name), "")
        record = decode_record(after) if machine else None
        old_record = decode_record(before) if machine else None
        if record is None:
            super().on_register_changed(name, before, after)
            return
        if old_record is None or old_record.step is not record.step:
            self.steps_seen.setdefault(machine, []).append(record.step)
            old_step = old_record.step if old_record is not None else ReplacementStep.DRAINING
            is_first_out = record.arrived_cores_tenths == 0 and old_step is ReplacementStep.DRAINING
            if record.step is ReplacementStep.OUT and is_first_out:
                self._check_idle(machine)
            if record.step is ReplacementStep.IN_PLACE and not record.has_flag(MachineFlag.ABORTING):
                self._check_replaced(machine, record)
        self.notify_listeners(machine, record)

    def _check_idle(self, machine: str) -> None:
        """Check that no request of a live dispatcher runs at an engine that is taken out of service."""
        for (name, incarnation), count in self.fleet.engines[machine].in_flight.items():
            host = self.fleet.hosts[name]
            if count and host.is_up and host.incarnation == incarnation:
                self.breach(f"{machine} is OUT with {count} requests of {name}")

    def _check_replaced(self, machine: str, record: MachineRecord) -> None:
        """Check that the new engine is up, since the record reports that the replacement has arrived."""
        engine = self.fleet.engines.get(record.replacement)
        if engine is None or not engine.is_up or engine.started_at <= 0:
            self.breach(f"{machine} is IN_PLACE, and nobody has put a new one there")

    def check_at_end(self, *names: str) -> None:
        """Check that the replacements of these engines have ended, and that the engines receive requests."""
        fleet = self.fleet
        received = {name: engine.received for name, engine in fleet.engines.items()}
        fleet.run(fleet.now + FINAL_CHECK_TICKS * TICK_MS)
        for name in names:
            record = fleet.record(name)
            if record is None or not record.is_over:
                self.breach(f"{name} is not at its end")
                continue
            serving = record.replacement if record.step is ReplacementStep.DONE else name
            serving = serving if serving in fleet.listed else record.replacement
            if serving in fleet.engines and fleet.engines[serving].received == received.get(serving, 0):
                self.breach(f"{serving} receives no requests after the end")


class EngineWorld(ReplacementWorld):
    """Dispatchers d0, d1, ... and engines x0, x1, x2, one in each zone.

    Attributes:
        power_off_delay_ms: Time from the notification of operators until an engine is powered off, in ms.
        hardware_delay_ms: Time from the power-off until the new engine starts, in ms.
    """

    invariants: EngineInvariants

    def __init__(
        self,
        seed: int,
        host_count: int = 4,
        network_faults: NetworkFaults | None = None,
        power_off_delay_ms: float = 400.0,
        hardware_delay_ms: float = 8000.0,
    ) -> None:
        self.engines = {f"x{i}": Engine(f"x{i}", "abc"[i]) for i in range(ENGINE_COUNT)}
        self.listed = dict(self.engines)
        self.views: dict[str, EngineView] = {}
        self.started_at: dict[str, float] = {}  # start of the process, by host
        self.broken_links: set[tuple[str, str]] = set()  # pairs of host and engine
        self.power_off_delay_ms, self.hardware_delay_ms = power_off_delay_ms, hardware_delay_ms
        super().__init__(seed, host_count, network_faults)

    def make_invariants(self) -> EngineInvariants:
        """Return the invariants that this model is checked against."""
        return EngineInvariants(self)

    def _start_coordinator(self, host: Host) -> None:
        super()._start_coordinator(host)
        members = [machine_id(f"d{i}") for i in range(self.host_count)]
        drains = EngineDrains(machine_id(host.name), host.incarnation, self.now, SETTINGS, members)
        self.views[host.name] = EngineView(drains, StartupGate(self.now, SETTINGS))
        self.started_at[host.name] = self.now

    def _visible_machines(self, host: Host) -> list[Machine]:
        view, coordinator = self.views[host.name], host.coordinator
        assert coordinator is not None
        if view.startup_gate.check_pause(self.now):
            coordinator.on_pause(self.now)
            view.is_waiting = True
        serving = self.listed.keys() - view.withheld
        view.drains.set_listed_engines(
            {n: Machine(n, e.zone, e.cores, True, is_counted=n in serving) for n, e in self.listed.items()}
        )
        return [
            *view.drains.present_engines(coordinator.view.records),
            *super()._visible_machines(host),
        ]

    def _feed(self, host: Host) -> None:
        super()._feed(host)
        view, coordinator = self.views[host.name], host.coordinator
        assert coordinator is not None
        for name, record in self._engine_records(host).items():
            open_requests = view.drains.open_requests(self.now, name, record.serial)
            coordinator.set_open_requests(self.now, name, open_requests)
            engine = self.engines.get(record.replacement)
            if engine is not None and record.step in (ReplacementStep.IN_PLACE, ReplacementStep.RAMPING):
                is_warm = self.now - engine.started_at > WARMUP_MS
                share = 1.0 if is_warm else WARMING_SHARE
                coordinator.set_traffic_share(self.now, record.replacement, share)
        self._send_requests(host)

    def _engine_records(self, host: Host) -> Mapping[str, MachineRecord]:
        """Return the records of engines in a host's view of the registers."""
        assert host.coordinator is not None
        records = host.coordinator.view.records
        return {n: r for n, r in records.items() if r.has_flag(MachineFlag.ENGINE)}

    def _step(self, host: Host) -> None:
        super()._step(host)
        view, coordinator = self.views[host.name], host.coordinator
        assert coordinator is not None
        view.drains.set_live_members(self.now, self._known_incarnations(host))
        if view.is_waiting:
            view.is_waiting = not view.startup_gate.step(
                self.now, coordinator.has_read_all(), self.has_majority(host)
            )
        for name in view.drains.drained:
            view.drains.set_open_requests(name, self._in_flight(host, name))
        for action in view.drains.step(self.now, coordinator.view.records):
            if isinstance(action, CheckLiveness):
                self._check_liveness(host, action.engine)
            else:
                self._send_report(action)

    def _known_incarnations(self, host: Host) -> dict[int, int]:
        """Return the incarnations of the live members in a host's view, which shows restarts with a delay."""
        return {
            machine_id(other.name): (
                other.incarnation - (self.now - self.started_at[other.name] < JOIN_NOTICE_MS)
            )
            for other in self.hosts.values()
            if other is not host and self._is_linked(host, other)
        }

    def _act(self, host: Host, action: Action) -> None:
        if isinstance(action, Drain | Undrain) and action.machine in self.engines:
            view, engine = self.views[host.name], action.machine
            record = self._engine_records(host).get(engine)
            if isinstance(action, Undrain):
                view.withheld.discard(engine)
                view.drains.undrain(engine)
                assert record is None or is_new_process(record) or record.arrived_cores_tenths == 0
            elif record is not None:
                view.withheld.add(engine)
                view.drains.drain(engine, record.serial, self._in_flight(host, engine))
        elif isinstance(action, ReadyToPowerOff) and action.machine in self.engines:
            self.invariants.on_effect(host, action.machine, action.epoch)
            self._schedule_power_off(action.machine)
        else:
            super()._act(host, action)

    def _send_report(self, report: SendReport) -> None:
        """Send a drain report, which may be lost or arrive twice."""
        host = next((h for h in self.hosts.values() if machine_id(h.name) == report.member), None)
        if host is None:
            return
        incarnation, view = host.incarnation, self.views[host.name]
        faults, draw = self.network_faults, self.draw
        delays_ms = [0.0] if draw.random() >= faults.loss else []
        if draw.random() < faults.duplication:
            delays_ms.append(MAX_DUPLICATE_DELAY_MS * draw.random())

        def receive() -> None:
            self.deliver(host, incarnation, lambda: view.on_report(self.now, report.payload))

        for delay_ms in delays_ms:
            self.call_at(self.now + (delay_ms + faults.max_delay_ms * (0.2 + draw.random())), receive)

    def _check_liveness(self, host: Host, name: str) -> None:
        engine, incarnation = self.listed.get(name), host.incarnation
        is_alive = engine is not None and engine.is_up and (host.name, name) not in self.broken_links

        def on_result() -> None:
            self.views[host.name].drains.on_liveness_check(name, is_alive)

        self.call_at(self.now + LIVENESS_CHECK_MS, lambda: self.deliver(host, incarnation, on_result))

    def _in_flight(self, host: Host, name: str) -> int:
        """Return the number of a dispatcher's requests that run at an engine."""
        return self.engines[name].in_flight.get((host.name, host.incarnation), 0)

    def _send_requests(self, host: Host) -> None:
        view = self.views[host.name]
        for name, engine in self.listed.items():
            if view.is_waiting or name in view.withheld or (host.name, name) in self.broken_links:
                continue
            record = self.record(name)
            if record is not None and record.step is ReplacementStep.OUT:
                self.invariants.breach(f"{host.name} sends to {name}, which is out")
            if engine.is_up:
                count = self._in_flight(host, name) + self.draw.randint(0, 1)
                engine.in_flight[host.name, host.incarnation] = count
                engine.received += 1

    def _tick(self) -> None:
        for engine in self.engines.values():
            for key in list(engine.in_flight):
                name, incarnation = key
                host = self.hosts[name]
                if not host.is_up or host.incarnation != incarnation:
                    del engine.in_flight[key]  # the dispatcher's connections were closed with its process
                elif self.draw.random() < REQUEST_END_PROBABILITY:
                    engine.in_flight[key] = max(engine.in_flight[key] - 2, 0)
        super()._tick()

    def _schedule_power_off(self, name: str) -> None:
        if name in self.power_off_ordered:
            return
        self.power_off_ordered.add(name)
        self.call_at(self.now + self.power_off_delay_ms, lambda: self._power_off_engine(name))

    def _power_off_engine(self, name: str) -> None:
        """Power an engine off if it is still out of service, and start its replacement later."""
        record, engine = self.record(name), self.engines[name]
        if record is None or record.step is not ReplacementStep.OUT or record.has_flag(MachineFlag.ABORTING):
            self.power_off_ordered.discard(name)
            return
        if running := sum(engine.in_flight.values()):
            self.invariants.breach(f"{running} requests fail because {name} is powered off")
        engine.is_up = False
        engine.in_flight.clear()
        arrival_at = self.now + self.hardware_delay_ms
        self.call_at(arrival_at, lambda: self._place_engine(engine, record.replacement))

    def _restart_if_undetected(self, name: str) -> None:
        """Restart an engine a second time, as operators do, if no dispatcher has detected its restart."""
        record, engine = self.record(name), self.engines[name]
        if record is None or record.step is not ReplacementStep.OUT or not engine.is_up:
            return
        if not record.has_flag(MachineFlag.WAS_AWAY):
            self._power_off_engine(name)

    def _place_engine(self, old: Engine, new: str) -> None:
        cores = self.replacement_cores.get(old.name, old.cores)
        if new == old.name:
            old.is_up, old.started_at, old.cores = True, self.now, cores
            self.call_at(self.now + RESTART_NOTICE_MS, lambda: self._restart_if_undetected(new))
        else:
            self.listed.pop(old.name, None)
            self.engines[new] = self.listed[new] = Engine(new, old.zone, cores, True, self.now)


def serving_world(seed: int, network_faults: NetworkFaults | None = None, **options: Any) -> EngineWorld:
    """Return a fleet that has started and serves requests; the options are those of EngineWorld."""
    world = EngineWorld(seed, network_faults=network_faults, **options)
    world.run(2500.0 + seed % 100)
    return world
