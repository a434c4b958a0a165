"""The state of a simulated fleet during a rolling replacement: its hosts, their links and its registers.

A register is one true value and its version. Times are in ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cottonhold.emulator.virtual_time import Action, VirtualClock
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator
from cottonhold.fleet.rolling_replacement.plan import (
    PLAN_REGISTER,
    MachineRecord,
    ReplacementPlan,
    ReplacementStep,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.plan_codec import decode_plan, decode_record

DEATH_NOTICE_MS = 1200.0  # time until membership reports that a host died
JOIN_NOTICE_MS = 300.0  # time until membership reports a host that has joined
CHECK_INTERVAL_MS = 100.0  # interval at which run_until checks its condition
INITIAL_STICKY_KEYS = 350
ZONES = "abc"
ACTIVE_STEPS = frozenset(
    {
        ReplacementStep.MOVING,
        ReplacementStep.DRAINING,
        ReplacementStep.OUT,
        ReplacementStep.IN_PLACE,
        ReplacementStep.RAMPING,
    }
)


@dataclass(slots=True, eq=False)
class Host:
    """One machine with its dispatcher.

    Attributes:
        is_in_membership_table: Whether the host may own keys; a drained host leaves the membership table once
            its keys are moved.
        votes_from: Time from which the host votes.
        undelivered: Actions that were due while the process was paused.
    """

    name: str
    zone: str
    cores: float
    incarnation: int = 1
    is_up: bool = True
    paused_until: float = 0.0
    votes_from: float = 0.0
    is_drained: bool = False
    sticky_keys: int = 0
    open_requests: int = 3
    is_in_membership_table: bool = True
    coordinator: ReplacementCoordinator | None = None
    undelivered: list[Action] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class NetworkFaults:
    """Faults of the network, besides the faults of a case.

    Attributes:
        loss: Share of messages that are lost.
        duplication: Share of register operations that are executed twice.
        max_delay_ms: Maximum delay of a message, in ms.
    """

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_ms: float = 20.0


@dataclass(slots=True, frozen=True)
class Link:
    """The state of the link between two hosts, and the time since which it has that state."""

    is_connected: bool
    since: float


class SimulatedFleet:
    """Hosts d0, d1, ... in zones a, b, c on a simulated clock, and the values of their registers."""

    def __init__(self, seed: int, host_count: int, network_faults: NetworkFaults) -> None:
        self.clock = VirtualClock()
        self.draw = random.Random(seed)
        self.host_count, self.network_faults = host_count, network_faults
        self.hosts = {
            f"d{i}": Host(f"d{i}", ZONES[i % len(ZONES)], 8.0, sticky_keys=INITIAL_STICKY_KEYS)
            for i in range(host_count)
        }
        self.partitions: dict[str, int] = {}  # number of the partition, by host
        self.links: dict[tuple[str, str], Link] = {}
        self.zone_troubles: dict[str, tuple[str, float]] = {}  # description and begin, by zone
        self.registers: dict[str, tuple[int, bytes]] = {}  # version and value, by name

    @property
    def now(self) -> float:
        """Return the time of the simulated clock, in ms."""
        return self.clock.now

    def call_at(self, when: float, action: Action) -> None:
        """Run an action at a time."""
        self.clock.call_at(when, action)

    def run(self, until: float) -> None:
        """Run the model up to a time in ms."""
        self.clock.run(until)

    def run_until(self, is_done: Callable[[], bool], timeout_ms: float) -> bool:
        """Run the model until a condition holds; return whether it did in time."""
        end = self.now + timeout_ms
        while self.now < end and not is_done():
            self.run(self.now + CHECK_INTERVAL_MS)
        return is_done()

    def deliver(self, host: Host, incarnation: int, action: Action) -> None:
        """Run an action at a host's process, unless it was restarted; after its pause if it is paused."""
        if host.is_up and host.incarnation == incarnation:
            if host.paused_until > self.now:
                host.undelivered.append(action)
            else:
                action()

    def is_running(self, host: Host) -> bool:
        """Return whether a host's process is up and not paused."""
        return host.is_up and host.paused_until <= self.now

    def is_voting(self, host: Host) -> bool:
        """Return whether a host votes, which requires complete stored state."""
        return host.votes_from <= self.now

    def are_connected(self, name: str, other: str) -> bool:
        """Return whether two hosts are in the same partition."""
        return self.partitions.get(name, 0) == self.partitions.get(other, 0)

    def has_majority(self, host: Host) -> bool:
        """Return whether a host reaches more than half of the voters."""
        voters = [h for h in self.hosts.values() if self.is_running(h) and self.is_voting(h)]
        return 2 * sum(self.are_connected(host.name, h.name) for h in voters) > self.host_count

    def plan(self) -> ReplacementPlan:
        """Return the replacement plan in its register."""
        return decode_plan(self.registers.get(PLAN_REGISTER, (0, b""))[1])

    def record(self, machine: str) -> MachineRecord | None:
        """Return the record in a machine's register."""
        return decode_record(self.registers.get(register_name(machine), (0, b""))[1])

    def are_over(self, *machines: str) -> bool:
        """Return whether the replacements of all these machines have ended and no machine is out."""
        records = [self.record(m) for m in machines]
        return all(r is not None and r.is_over for r in records) and not self.plan().active_machine_ids

    def driver(self, machine: str) -> str:
        """Return the name of the host that drives a machine's replacement; empty if none does."""
        record = self.record(machine)
        names = {machine_id(name): name for name in self.hosts}
        return names.get(record.driver, "") if record is not None else ""
