"""A model of a rolling replacement in virtual time: dispatchers whose registers need a majority, and faults.

The coordinators are the real ones. Sticky keys and open requests are modelled only by their numbers.
Operators power a machine off after they are notified that it is ready. The seed determines the whole run.
Times are in ms.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping

from cottonhold.emulator.replacement_fleet import (
    DEATH_NOTICE_MS,
    JOIN_NOTICE_MS,
    Host,
    Link,
    NetworkFaults,
    SimulatedFleet,
)
from cottonhold.emulator.replacement_invariants import ReplacementInvariants
from cottonhold.emulator.replacement_registers import RegisterOperations
from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator
from cottonhold.fleet.rolling_replacement.machine_driver import ReplacementSettings
from cottonhold.fleet.rolling_replacement.plan import (
    Machine,
    MachineRequest,
    ReplacementRequest,
    ReplacementStep,
)
from cottonhold.fleet.rolling_replacement.start_conditions import CapacityCheck
from cottonhold.fleet.rolling_replacement.step_decision import (
    Action,
    Drain,
    LogStep,
    MoveKeys,
    ReadyToPowerOff,
    RequestAnswered,
    StepSettings,
    Undrain,
)

TICK_MS = 50.0
KEY_MOVE_MS = 50.0
POWER_OFF_MS = 200.0  # time from the notification of operators until they power a machine off
RESTART_INTERVAL_MS = 300.0  # interval between the restarts of two hosts after a power loss


class ReplacementWorld(SimulatedFleet):
    """A fleet whose machines can be replaced, killed, paused and partitioned.

    Attributes:
        arrival_delay_ms: Time from a machine's power-off until its replacement starts, by the machine's name,
            in ms; None if the replacement never arrives.
        replacement_cores: Cores of a new machine by the old one's name, where they differ.
        voting_delay_ms: Time until a machine with an empty folder votes, in ms.
        capacity_check: Check of the capacity that remains while machines are out.
    """

    def __init__(
        self,
        seed: int,
        host_count: int = 8,
        network_faults: NetworkFaults | None = None,
        arrival_delay_ms: Callable[[str], float | None] | None = None,
        replacement_cores: Mapping[str, float] | None = None,
        voting_delay_ms: float = 1500.0,
        capacity_check: CapacityCheck | None = None,
        settings: ReplacementSettings | None = None,
    ) -> None:
        super().__init__(seed, host_count, network_faults or NetworkFaults())
        self.capacity_check, self.voting_delay_ms = capacity_check, voting_delay_ms
        self.settings = settings or ReplacementSettings(
            voters=host_count,
            steps=StepSettings(step_timeout_ms=60_000.0, arrival_timeout_ms=10_000.0, ramp_ms=1000.0),
        )
        self.arrival_delay_ms = arrival_delay_ms or (lambda name: 500.0 + 1500.0 * self.draw.random())
        self.replacement_cores = dict(replacement_cores or {})
        self.invariants = self.make_invariants()
        self.register_operations = RegisterOperations(self, self.invariants)
        self.removed_hosts: set[str] = set()  # hosts that are powered off until they are replaced
        self.power_off_ordered: set[str] = set()
        self.answers: list[RequestAnswered] = []
        self.logged_steps: list[tuple[float, str, LogStep]] = []
        self.move_listeners: list[Callable[[str, MoveKeys], None]] = []  # called with the moving host's name
        for host in self.hosts.values():
            self._start_coordinator(host)
        self.call_at(0.0, self._tick)

    def make_invariants(self) -> ReplacementInvariants:
        """Return the invariants that this model is checked against."""
        return ReplacementInvariants(self)

    def request(
        self,
        host: str,
        requested_by: str,
        *machines: MachineRequest,
        max_concurrent: int = 1,
        max_zones: int = 1,
    ) -> None:
        """Request a replacement at a host."""
        coordinator = self.hosts[host].coordinator
        assert coordinator is not None
        coordinator.request(self.now, ReplacementRequest(requested_by, machines, max_concurrent, max_zones))

    def place(self, host: Host, new: str) -> None:
        """Start a new machine, with an empty folder, in the place of an old one."""
        cores = self.replacement_cores.get(host.name, host.cores)
        self.removed_hosts.discard(new)
        if new == host.name:
            host.cores, host.votes_from = cores, self.now + self.voting_delay_ms
            self.start(new)
            return
        new_host = self.hosts[new] = Host(new, host.zone, cores)
        new_host.votes_from = self.now + self.voting_delay_ms
        self.partitions[new] = self.partitions.get(host.name, 0)
        self._start_coordinator(new_host)

    def kill(self, name: str) -> None:
        """Kill a process; its folder is kept."""
        self.hosts[name].is_up = False
        self.hosts[name].undelivered.clear()

    def start(self, name: str) -> None:
        """Start a process again."""
        host = self.hosts[name]
        if name not in self.removed_hosts:
            host.is_up, host.incarnation, host.paused_until = True, host.incarnation + 1, 0.0
            self._start_coordinator(host)

    def pause(self, name: str, duration_ms: float) -> None:
        """Pause a process; it then runs a step before it receives what arrived during the pause."""
        host, incarnation = self.hosts[name], self.hosts[name].incarnation
        host.paused_until = self.now + duration_ms

        def resume() -> None:
            if host.is_up and host.incarnation == incarnation:
                assert host.coordinator is not None
                host.coordinator.next_step_at = self.now
                self._step(host)
                undelivered, host.undelivered = host.undelivered, []
                for action in undelivered:
                    action()

        self.call_at(self.now + duration_ms, resume)

    def cut_power(self, outage_ms: float) -> None:
        """Kill all processes at the same time; they restart one after another."""
        for i, name in enumerate(n for n, h in self.hosts.items() if h.is_up):
            self.kill(name)
            started_at = self.now + outage_ms + RESTART_INTERVAL_MS * i
            self.call_at(started_at, lambda name=name: self.start(name))  # type: ignore[misc]

    def partition(self, *sizes: int) -> None:
        """Partition the network into groups of hosts of these sizes; without sizes, heal the partition."""
        groups = [i for i, size in enumerate(sizes) for _ in range(size)]
        self.partitions = dict(zip(self.hosts, groups, strict=False))

    def set_zone_trouble(self, zone: str, trouble: str) -> None:
        """Report a problem of a zone to all hosts, or its end if the text is empty."""
        if trouble:
            self.zone_troubles[zone] = trouble, self.now
        else:
            self.zone_troubles.pop(zone, None)
        for host in self.hosts.values():
            assert host.coordinator is not None
            host.coordinator.set_zone_trouble(self.now, zone, trouble)

    def _start_coordinator(self, host: Host) -> None:
        seed = self.draw.getrandbits(40)
        host.coordinator = ReplacementCoordinator(
            host.name, self.now, self.settings, seed, self.capacity_check
        )
        host.is_drained, host.open_requests = False, 3
        for zone, (trouble, _) in self.zone_troubles.items():
            host.coordinator.set_zone_trouble(self.now, zone, trouble)

    def _tick(self) -> None:
        self.call_at(self.now + TICK_MS, self._tick)
        self._update_links()
        for host in list(self.hosts.values()):
            self._update_load(host)
            if self.is_running(host):
                self._feed(host)
                self._step(host)
        self.invariants.on_tick()

    def _update_links(self) -> None:
        if not self.now:
            return  # at the start no host has detected another yet
        for host, other in itertools.permutations(self.hosts.values(), 2):
            is_connected = self.is_running(other) and self.are_connected(host.name, other.name)
            if is_connected != self._is_linked(host, other):
                self.links[host.name, other.name] = Link(is_connected, self.now)

    def _is_linked(self, host: Host, other: Host) -> bool:
        link = self.links.get((host.name, other.name))
        return link is not None and link.is_connected

    def _update_load(self, host: Host) -> None:
        """Draw a host's open requests, and whether it leaves the membership table.

        A host leaves the table only while its process is down, or after it is drained and has no keys.
        """
        if host.is_drained or self.draw.random() < 0.3:
            host.open_requests = (
                max(host.open_requests - 1, 0) if host.is_drained else self.draw.randint(0, 4)
            )
        is_leaving = host.is_drained and not host.sticky_keys or not host.is_up
        host.is_in_membership_table = (
            self.draw.random() < 0.7 and host.is_in_membership_table if is_leaving else True
        )

    def _visible_machines(self, host: Host) -> list[Machine]:
        """Return the machines in a host's view of the membership."""
        return [
            Machine(
                other.name, other.zone, other.cores, False, other.incarnation, True, self.is_voting(other)
            )
            for other in self.hosts.values()
            if other is host or self._is_visible(host, other)
        ]

    def _is_visible(self, host: Host, other: Host) -> bool:
        link = self.links.get((host.name, other.name))
        if link is None:
            return False
        age_ms = self.now - link.since
        return age_ms >= JOIN_NOTICE_MS if link.is_connected else age_ms < DEATH_NOTICE_MS

    def _feed(self, host: Host) -> None:
        """Give a host's coordinator the information that is available to it now."""
        coordinator = host.coordinator
        assert coordinator is not None
        coordinator.set_machines(self.now, self._visible_machines(host))
        coordinator.set_open_requests(self.now, host.name, host.open_requests)
        if self.has_majority(host):
            for other in self.hosts.values():
                if self.are_connected(host.name, other.name) or not other.is_up:
                    record = coordinator.view.records.get(other.name)
                    is_draining = record is not None and record.step is ReplacementStep.DRAINING
                    table_slots = int(is_draining and other.is_in_membership_table)
                    coordinator.set_remaining_keys(self.now, other.name, other.sticky_keys + table_slots)

    def _step(self, host: Host) -> None:
        assert host.coordinator is not None
        for action in host.coordinator.step(self.now):
            self._act(host, action)

    def _act(self, host: Host, action: Action) -> None:
        if isinstance(action, ChangeRegister | ReadRegister):
            self.register_operations.operate(host, action)
        elif isinstance(action, MoveKeys):
            self.invariants.on_effect(host, action.machine, action.epoch)
            for listener in self.move_listeners:
                listener(host.name, action)
            self.call_at(self.now + KEY_MOVE_MS, lambda: self._move_keys(action))
        elif isinstance(action, Drain):
            host.is_drained = True
        elif isinstance(action, Undrain):
            host.is_drained = False
        elif isinstance(action, ReadyToPowerOff):
            if host.name != action.machine:
                self.invariants.on_effect(host, action.machine, action.epoch)
            self._power_off(action.machine)
        elif isinstance(action, RequestAnswered):
            self.answers.append(action)
        else:
            self.logged_steps.append((self.now, host.name, action))

    def _move_keys(self, action: MoveKeys) -> None:
        source, target = self.hosts[action.machine], self.hosts.get(action.target)
        if self.invariants.is_fenced(action.machine, action.epoch) or target is None or not target.is_up:
            return
        if self.draw.random() >= self.network_faults.loss:
            count = min(action.max_keys, source.sticky_keys)
            source.sticky_keys -= count
            target.sticky_keys += count

    def _power_off(self, machine: str) -> None:
        """Power a machine off, as operators do, and start its replacement later."""
        record = self.record(machine)
        if machine in self.power_off_ordered or record is None or record.step is not ReplacementStep.OUT:
            return
        self.power_off_ordered.add(machine)
        host, delay_ms = self.hosts[machine], self.arrival_delay_ms(machine)
        self.call_at(self.now + POWER_OFF_MS, lambda: self.kill(machine))
        self.removed_hosts.add(machine)
        if delay_ms is not None:
            arrival_at = self.now + POWER_OFF_MS + delay_ms
            self.call_at(arrival_at, lambda: self.place(host, record.replacement))
