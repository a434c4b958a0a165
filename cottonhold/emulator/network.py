"""A datagram network in virtual time: delay, loss, one-way links, splits, and processes that stop and die."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from cottonhold.discovery.model import Address


class Process(Protocol):
    """What runs on the network: a pure step function with its own idea of when it is due."""

    def step(self, now: float, received: list[tuple[bytes, Address]]) -> Iterable[tuple[bytes, Address]]:
        """Take in datagrams; returns datagrams to send."""

    def next_at(self) -> float:
        """When the next step is due at the latest."""


@dataclass(slots=True)
class Host:
    """A place on the network and the process on it. `stopped_until`: it runs no more till then, and loses
    nothing.
    """

    address: Address
    process: Process | None
    stopped_until: float = 0.0
    waiting: list[tuple[bytes, Address]] = field(default_factory=list)
    clock_skew: float = 0.0
    wake: int = 0  # the number of its last wake-up: older ones are void


class Network:
    """Hosts in virtual time. One seed replays the whole run."""

    def __init__(self, seed: int, delay: tuple[float, float] = (0.2, 2.0), loss: float = 0.0) -> None:
        self.draw = random.Random(seed)
        self.delay, self.loss = delay, loss
        self.now = 0.0
        self.hosts: dict[Address, Host] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = itertools.count()
        self.cut: Callable[[Address, Address], bool] = lambda sender, receiver: False
        self.sent = self.bytes = 0
        self.after_step: Callable[[Host], None] = lambda host: None

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        heapq.heappush(self.events, (max(when, self.now), next(self.serial), action))

    def add(self, address: Address, process: Process, clock_skew: float = 0.0) -> Host:
        """Start a process at an address; one that was there is gone."""
        host = self.hosts.get(address)
        if host is None:
            host = self.hosts[address] = Host(address, process)
        host.process, host.clock_skew, host.stopped_until, host.waiting = process, clock_skew, 0.0, []
        self._arm(host)
        return host

    def kill(self, address: Address) -> None:
        """The process is gone at once, and what waits for it."""
        host = self.hosts[address]
        host.process, host.waiting = None, []

    def stop(self, address: Address, ms: float) -> None:
        """The process stands still; what comes waits in its socket."""
        host = self.hosts[address]
        host.stopped_until = max(host.stopped_until, self.now + ms)
        self.at(host.stopped_until, lambda: self._run(host))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def _arm(self, host: Host) -> None:
        host.wake += 1
        number = host.wake
        if host.process is not None:
            # Danger: with a skewed clock (x - skew) + skew may fall just short of x: the process would be
            # woken too early for ever, at one and the same moment. So it comes a microsecond late.
            due = max(host.process.next_at() - host.clock_skew, self.now) + 0.001
            self.at(due, lambda: self._run(host) if host.wake == number else None)

    def _run(self, host: Host) -> None:
        if host.process is None or self.now < host.stopped_until:
            return
        received, host.waiting = host.waiting, []
        for data, target in host.process.step(self.now + host.clock_skew, received):
            self._send(host.address, target, data)
        self._arm(host)
        self.after_step(host)

    def _send(self, sender: Address, target: Address, data: bytes) -> None:
        self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
        if self.draw.random() < self.loss or self.cut(sender, target):
            return
        host = self.hosts.get(target)
        if host is not None:
            self.at(self.now + self.draw.uniform(*self.delay), lambda: self._deliver(host, data, sender))

    def _deliver(self, host: Host, data: bytes, sender: Address) -> None:
        if host.process is not None:
            host.waiting.append((data, sender))
            self._run(host)
