"""Members with disks on a network in virtual time, with loss, duplicates, reordering, crashes and pauses."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage


class Net:
    """The network. Times are in ms.

    Args:
        members: Ids of the members.
        make: Function of member, incarnation and disk contents that returns a state machine with the methods
            on_message, on_persisted, step and next_at.
        seed: Seed of the run.
    """

    def __init__(
        self, members: Iterable[int], make: Callable[[int, int, dict[str, bytes]], Any], seed: int = 1
    ) -> None:
        self.draw, self.now, self.order = random.Random(seed), 0.0, itertools.count()
        self.make, self.ids = make, list(members)
        self.disks: dict[int, dict[str, bytes]] = {m: {} for m in self.ids}
        self.incarnations = dict.fromkeys(self.ids, 0)
        self.running: dict[int, Any] = {}
        self.loss = self.duplicate_chance = 0.0
        self.max_delay_ms = 8.0
        self.cut_links: set[frozenset[int]] = set()
        self.failed_disks: set[int] = set()  # members whose disks never complete a write
        self.stopped: set[int] = set()  # members whose processes are paused
        self.events: list[tuple[float, int, int, int, Any]] = []
        self.disk_free = dict.fromkeys(self.ids, 0.0)
        self.other_actions: list[tuple[float, int, Any]] = []  # neither SendConsensusMessage nor PersistState
        self.after_event: Callable[[], None] = lambda: None
        for member in self.ids:
            self.start(member)

    def start(self, member: int, empty: bool = False) -> None:
        if empty:
            self.disks[member] = {}
        self.incarnations[member] += 1
        self.running[member] = self.make(member, self.incarnations[member], dict(self.disks[member]))
        self.act(member, self.running[member].step(self.now))

    def stop(self, member: int) -> None:
        """End a member's process; everything that is not on its disk is lost."""
        self.running.pop(member, None)
        self.stopped.discard(member)

    def pause(self, member: int) -> None:
        """Pause a member's process; messages wait until it resumes."""
        self.stopped.add(member)

    def resume(self, member: int) -> None:
        self.stopped.discard(member)

    def act(self, member: int, actions: Iterable[Any]) -> None:
        for a in actions:
            if isinstance(a, SendConsensusMessage):
                assert a.member != member and len(a.payload) <= 200
                if self.draw.random() < self.loss or frozenset((member, a.member)) in self.cut_links:
                    continue
                for _ in range(1 + (self.draw.random() < self.duplicate_chance)):
                    delay = self.draw.uniform(0.2, self.max_delay_ms)
                    heapq.heappush(
                        self.events, (self.now + delay, next(self.order), a.member, 0, (member, a.payload))
                    )
            elif isinstance(a, PersistState):
                if member not in self.failed_disks:
                    free = max(self.disk_free[member], self.now) + self.draw.uniform(0.1, 0.4)
                    self.disk_free[member] = free
                    heapq.heappush(
                        self.events, (free, next(self.order), member, self.incarnations[member], a)
                    )
            else:
                self.other_actions.append((self.now, member, a))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while True:
            next_step = min(
                ((m.next_at(), i) for i, m in self.running.items() if i not in self.stopped),
                default=(until, 0),
            )
            event = self.events[0][0] if self.events else until
            when = max(min(next_step[0], event), self.now)
            if when >= until:
                break
            self.now = when
            if event <= when:
                self.deliver(*heapq.heappop(self.events)[2:])
            else:
                self.act(next_step[1], self.running[next_step[1]].step(self.now))
            self.after_event()
        self.now = until

    def deliver(self, member: int, incarnation: int, delivery: Any) -> None:
        machine = self.running.get(member)
        if machine is None or (incarnation and incarnation != self.incarnations[member]):
            return
        if member in self.stopped:
            heapq.heappush(self.events, (self.now + 20, next(self.order), member, incarnation, delivery))
        elif isinstance(delivery, PersistState):
            self.disks[member].pop(delivery.name, None)
            if delivery.data:
                self.disks[member][delivery.name] = delivery.data
            self.act(member, machine.on_persisted(self.now, delivery.token))
        else:
            self.act(member, machine.on_message(self.now, *delivery))

    def actions_of(self, kind: type) -> list[Any]:
        return [a for _, _, a in self.other_actions if isinstance(a, kind)]
