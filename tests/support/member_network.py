"""Members with disks on a network in virtual time: loss, repeats, disorder, crashes, stops."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage


class Net:
    """`make(member, life, disk)` gives a machine with hear, kept, step and next_at. Times in ms."""

    def __init__(
        self, members: Iterable[int], make: Callable[[int, int, dict[str, bytes]], Any], seed: int = 1
    ) -> None:
        self.draw, self.now, self.order = random.Random(seed), 0.0, itertools.count()
        self.make, self.ids = make, list(members)
        self.disks: dict[int, dict[str, bytes]] = {m: {} for m in self.ids}
        self.life = dict.fromkeys(self.ids, 0)
        self.up: dict[int, Any] = {}
        self.loss = self.twice = 0.0
        self.slow = 8.0
        self.cut: set[frozenset[int]] = set()
        self.stuck: set[int] = set()  # members whose disk takes nothing
        self.stopped: set[int] = set()  # members that get no processor time
        self.events: list[tuple[float, int, int, int, Any]] = []
        self.disk_free = dict.fromkeys(self.ids, 0.0)
        self.seen: list[tuple[float, int, Any]] = []  # actions that are neither Say nor Keep
        self.watch: Callable[[], None] = lambda: None
        for member in self.ids:
            self.start(member)

    def start(self, member: int, empty: bool = False) -> None:
        if empty:
            self.disks[member] = {}
        self.life[member] += 1
        self.up[member] = self.make(member, self.life[member], dict(self.disks[member]))
        self.act(member, self.up[member].step(self.now))

    def stop(self, member: int) -> None:
        """Its process is gone, with all that isn't on disk."""
        self.up.pop(member, None)
        self.stopped.discard(member)

    def pause(self, member: int) -> None:
        """It stands still: what comes waits."""
        self.stopped.add(member)

    def resume(self, member: int) -> None:
        self.stopped.discard(member)

    def act(self, member: int, actions: Iterable[Any]) -> None:
        for a in actions:
            if isinstance(a, SendConsensusMessage):
                assert a.member != member and len(a.payload) <= 200
                if self.draw.random() < self.loss or frozenset((member, a.member)) in self.cut:
                    continue
                for _ in range(1 + (self.draw.random() < self.twice)):
                    delay = self.draw.uniform(0.2, self.slow)
                    heapq.heappush(
                        self.events, (self.now + delay, next(self.order), a.member, 0, (member, a.payload))
                    )
            elif isinstance(a, PersistState):
                if member not in self.stuck:
                    free = max(self.disk_free[member], self.now) + self.draw.uniform(0.1, 0.4)
                    self.disk_free[member] = free
                    heapq.heappush(self.events, (free, next(self.order), member, self.life[member], a))
            else:
                self.seen.append((self.now, member, a))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while True:
            due = min(
                ((m.next_at(), i) for i, m in self.up.items() if i not in self.stopped), default=(until, 0)
            )
            event = self.events[0][0] if self.events else until
            when = max(min(due[0], event), self.now)
            if when >= until:
                break
            self.now = when
            if event <= when:
                self.deliver(*heapq.heappop(self.events)[2:])
            else:
                self.act(due[1], self.up[due[1]].step(self.now))
            self.watch()
        self.now = until

    def deliver(self, member: int, life: int, what: Any) -> None:
        one = self.up.get(member)
        if one is None or (life and life != self.life[member]):
            return
        if member in self.stopped:
            heapq.heappush(self.events, (self.now + 20, next(self.order), member, life, what))
        elif isinstance(what, PersistState):
            self.disks[member].pop(what.name, None)
            if what.data:
                self.disks[member][what.name] = what.data
            self.act(member, one.on_persisted(self.now, what.token))
        else:
            self.act(member, one.on_message(self.now, *what))

    def of(self, kind: type) -> list[Any]:
        return [a for _, _, a in self.seen if isinstance(a, kind)]
