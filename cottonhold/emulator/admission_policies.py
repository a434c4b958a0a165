"""Admission policies that the model of overload compares. Times are in ms."""

from __future__ import annotations

import heapq

from cottonhold.emulator.overload import Instance, Policy, Request
from cottonhold.fleet.admission.threshold import threshold_for


class AdaptiveShare(Policy):
    """Each instance adapts the share that it admits, densest first, by its own timeouts (AIMD)."""

    decrease_factor, increase = 0.9, 0.01

    def __init__(self) -> None:
        self.share, self.has_timeouts = 1.0, False

    def on_admitted(self, wait: float, is_timed_out: bool) -> None:
        """Record that a request timed out; ignore requests that were sent."""
        self.has_timeouts = self.has_timeouts or is_timed_out

    def step(self, now: float, instance: Instance) -> None:
        """Adapt the share and its threshold."""
        if self.has_timeouts:
            self.share *= self.decrease_factor
        else:
            self.share = min(self.share + self.increase, 1.0)
        self.has_timeouts = False
        rates = instance.demand.demand.rates(now)
        self.threshold = threshold_for(rates, self.share * sum(rates.values())) if self.share < 1.0 else None


class QueueDelay(Policy):
    """Each instance drops its least dense queued requests while its queueing delay is too long (CoDel)."""

    target_ms, interval_ms = 100.0, 500.0

    def __init__(self) -> None:
        self.above_target_since, self.drops = -1.0, 0

    def step(self, now: float, instance: Instance) -> None:
        """Drop one more request at each step above the target."""
        delay_ms = max((now - request.arrived_at for _, _, request in instance.queue), default=0.0)
        if delay_ms < self.target_ms:
            self.above_target_since, self.drops = -1.0, 0
            return
        if self.above_target_since < 0:
            self.above_target_since = now
        if now - self.above_target_since >= self.interval_ms:
            self.drops += 1
            for _ in range(min(self.drops, len(instance.queue))):
                least_dense = max(instance.queue)
                instance.queue.remove(least_dense)
                instance.world.reject(now, least_dense[2])
            heapq.heapify(instance.queue)


class Credits(Policy):
    """Each instance gets a share of the capacity by its demand, and admits its own densest requests."""

    def step(self, now: float, instance: Instance) -> None:
        """Set the threshold by the demand that all instances report."""
        world = instance.world
        own_rates = instance.demand.demand.rates(now)
        members = range(1, len(world.instances) + 1)
        reports = instance.demand.reported_loads(now, members)
        total = sum(own_rates.values()) + sum(sum(report.rates.values()) for report in reports)
        capacity = world.capacity() * sum(own_rates.values()) / max(total, 1e-9)
        self.threshold = threshold_for(own_rates, capacity) if total > world.capacity() else None


class SharedThreshold(Policy):
    """All instances have one threshold, computed from the demand that all report."""

    def admits(self, instance: Instance, request: Request, step: int) -> bool:
        """Return whether the request passes the threshold."""
        threshold = instance.demand.threshold
        return threshold is None or threshold.admits(step, request.draw)
