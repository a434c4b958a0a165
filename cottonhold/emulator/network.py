"""A datagram network in virtual time with delay, loss, one-way links, partitions, pauses and crashes.

Times are ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from cottonhold.discovery.model import Address
from cottonhold.emulator.virtual_time import Action, VirtualClock

WAKE_UP_MARGIN_MS = 0.001

Datagram = tuple[bytes, Address]


class Process(Protocol):
    """A process on the network: a pure step function and the time of its next step."""

    def step(self, now: float, received: list[Datagram]) -> Iterable[Datagram]:
        """Process datagrams with their senders; return datagrams to send with their receivers."""

    def next_at(self) -> float:
        """Return the latest time of the next step."""


@dataclass(slots=True)
class Host:
    """An address on the network and its process.

    Attributes:
        address: Address of the host.
        process: The process; None if none runs.
        paused_until: Time until which the process does not run; it loses no datagrams.
        undelivered: Datagrams that arrived during the pause, or since the last step.
        clock_skew_ms: Difference of the process's clock from the simulated clock, in ms.
        wake_up: Number of the last scheduled wake-up; earlier ones have no effect.
    """

    address: Address
    process: Process | None
    paused_until: float = 0.0
    undelivered: list[Datagram] = field(default_factory=list)
    clock_skew_ms: float = 0.0
    wake_up: int = 0


class Network:
    """Hosts in virtual time; the seed determines the whole run.

    Attributes:
        is_cut: Returns whether all datagrams from a sender to a receiver are lost.
        after_step: Called with the host after each step.
    """

    def __init__(self, seed: int, delay_ms: tuple[float, float] = (0.2, 2.0), loss: float = 0.0) -> None:
        self.clock = VirtualClock()
        self.draw = random.Random(seed)
        self.delay_ms, self.loss = delay_ms, loss
        self.hosts: dict[Address, Host] = {}
        self.is_disconnected: Callable[[Address, Address], bool] = lambda sender, receiver: False
        self.after_step: Callable[[Host], None] = lambda host: None
        self.sent_datagrams = self.sent_bytes = 0

    @property
    def now(self) -> float:
        """Return the time of the simulated clock, in ms."""
        return self.clock.now

    def call_at(self, when: float, action: Action) -> None:
        """Run an action at a time, or immediately if that has passed."""
        self.clock.call_at(max(when, self.now), action)

    def run(self, until: float) -> None:
        """Run the network up to a time in ms."""
        self.clock.run(until)

    def add(self, address: Address, process: Process, clock_skew_ms: float = 0.0) -> Host:
        """Start a process at an address; it replaces a former one."""
        host = self.hosts.get(address)
        if host is None:
            host = self.hosts[address] = Host(address, process)
        host.process, host.clock_skew_ms = process, clock_skew_ms
        host.paused_until, host.undelivered = 0.0, []
        self._schedule_step(host)
        return host

    def kill(self, address: Address) -> None:
        """End a process; datagrams that it has not received are lost."""
        host = self.hosts[address]
        host.process, host.undelivered = None, []

    def pause(self, address: Address, duration_ms: float) -> None:
        """Pause a process for some time; its datagrams are kept until then."""
        host = self.hosts[address]
        host.paused_until = max(host.paused_until, self.now + duration_ms)
        self.call_at(host.paused_until, lambda: self.step(host))

    def step(self, host: Host) -> None:
        """Run a step of a host's process now, unless it is paused or has ended."""
        if host.process is None or self.now < host.paused_until:
            return
        received, host.undelivered = host.undelivered, []
        for data, target in host.process.step(self.now + host.clock_skew_ms, received):
            self.send(host.address, target, data)
        self._schedule_step(host)
        self.after_step(host)

    def send(self, sender: Address, target: Address, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        if self.draw.random() < self.loss or self.is_disconnected(sender, target):
            return
        host = self.hosts.get(target)
        if host is not None:
            received_at = self.now + self.draw.uniform(*self.delay_ms)
            self.call_at(received_at, lambda: self._deliver(host, data, sender))

    def _schedule_step(self, host: Host) -> None:
        host.wake_up += 1
        number = host.wake_up
        if host.process is not None:
            # (x - skew) + skew may be a little less than x: without a margin the process would be woken
            # before it is due, again and again at the same time.
            due_at = max(host.process.next_at() - host.clock_skew_ms, self.now) + WAKE_UP_MARGIN_MS
            self.call_at(due_at, lambda: self.step(host) if host.wake_up == number else None)

    def _deliver(self, host: Host, data: bytes, sender: Address) -> None:
        if host.process is not None:
            host.undelivered.append((data, sender))
            self.step(host)
