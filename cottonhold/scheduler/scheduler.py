"""The decisions of one query gateway in front of analytic query engines: the entry point.

What goes in and out: settings.py, events.py, actions.py. `Scheduler` passes each event to the
part that it concerns; the parts are the other modules of this package, functions over one shared state
(gateway_state.py).

The mechanism is the worth-density plan of O4A and DO4A ("Online Approximation Scheme for Scheduling
Heterogeneous Utility Jobs in Edge Computing"); docs/design/scheduler.md tells what is kept and changed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from cottonhold.scheduler import (
    admission,
    attempt_outcomes,
    capacity,
    deadlines,
    engine_health,
    engine_list,
    peer_load,
    placement,
    rate_estimation,
    release,
    straggler_cancellation,
)
from cottonhold.scheduler.actions import Action
from cottonhold.scheduler.class_history import Learned
from cottonhold.scheduler.events import (
    AdmissionThreshold,
    AttemptEnded,
    ClientDisconnected,
    EngineList,
    EngineListFailed,
    EngineQuotas,
    Event,
    HealthCheckCompleted,
    PeerMessage,
    ProgressNote,
    QueryArrived,
    SettingsChanged,
    ShutdownStarted,
    StreamStarted,
    TimerExpired,
)
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.moving_average import Traffic
from cottonhold.scheduler.parameters import (
    HEARTBEAT_MS,
    REPLAN_MS,
    SUSPICION_MS,
    THREADS_PER_CORE,
    TRAFFIC_MEMORY_MS,
)
from cottonhold.scheduler.peer_load import PEER_PRICE
from cottonhold.scheduler.settings import Settings

__all__ = ["PEER_PRICE", "THREADS_PER_CORE", "Scheduler"]

PROBES_PER_QUERY = 0.3  # own probes for each own query, at most
PROBE_PRICE = 0.003  # of the result that probes may cost: where they are dear fewer are sent


class Scheduler(GatewayState):
    """Decides for one gateway: call step with the clock and what happened, carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """A gateway that has seen nothing yet; the seed sets all of its random draws."""
        share = 1.0 / settings.gateway_count
        super().__init__(settings, random.Random(seed), share=share, reach=share)
        self.adopt(settings)

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in what happened by now and decide; the one entry point."""
        deadlines.begin_step(self, now)
        for event in events:
            # Danger: counted anew for each change of a list of thousands, room took seconds in a release.
            if self.relisted and type(event) is not EngineList:
                capacity.take_list(self)
            HANDLERS[type(event)](self, event)
        if self.relisted:
            capacity.take_list(self)
        deadlines.answer_due(self)
        if deadlines.is_due(self, self.next_beat):
            self._sweep()
        if now >= self.next_peer:
            peer_load.tell_work(self)
        if now >= self.next_ask:
            engine_list.ask(self)
        if self.changed:
            release.release(self)
        deadlines.wake(self)
        return self.actions

    def adopt(self, settings: Settings) -> None:
        """The settings in force from now on; a query keeps its class and its attempts to its end."""
        # Danger: known by place, a class that moved or came back with another effect got what another taught.
        known = dict(zip(self.settings.classes, self.classes, strict=False))
        self.classes = [known.get(cls) or Learned.blank(SUSPICION_MS) for cls in settings.classes]
        self.tenants = [Traffic(TRAFFIC_MEMORY_MS) for _ in settings.tenants]
        self.settings = settings
        self.slack = HEARTBEAT_MS + 2 * settings.tick_ms
        self.probe_part = min(
            PROBES_PER_QUERY, PROBE_PRICE / max(settings.overhead_costs.per_health_check, 1e-9)
        )
        self.next_peer = (
            0.0 if settings.features.has_peer_messages and settings.gateway_count > 1 else math.inf
        )

    def _sweep(self) -> None:
        """Silence, failover retries and suspicions that end, every heartbeat; plans made anew less often."""
        self.next_beat = math.inf
        self.changed = True
        rate_estimation.follow_best(self)
        for engine in list(self.active.values()):
            engine_health.check_silence(self, engine)
            if self.settings.features.can_cancel:
                straggler_cancellation.cancel_stragglers(self, engine)
            if not engine.out and not engine.plan:
                del self.active[engine.id]
        engine_health.check_suspicions(self)
        if self.now >= self.next_replan:
            self.next_replan = self.now + REPLAN_MS
            capacity.follow_room(self)
            placement.replan(self)


def _on_retune(scheduler: Scheduler, event: SettingsChanged) -> None:
    scheduler.adopt(event.settings)


def _on_timer(scheduler: Scheduler, event: TimerExpired) -> None:
    """What is due is looked after in each step."""


# Each event with the part that takes it in: a handler's argument is of the type of its key.
HANDLERS: dict[type, Callable[[Scheduler, Any], None]] = {
    QueryArrived: admission.on_arrival,
    AttemptEnded: attempt_outcomes.on_ended,
    ProgressNote: attempt_outcomes.on_note,
    EngineList: engine_list.on_list,
    ClientDisconnected: admission.on_gone,
    HealthCheckCompleted: engine_health.on_probed,
    PeerMessage: peer_load.on_message,
    StreamStarted: attempt_outcomes.on_stream,
    EngineListFailed: engine_list.on_list_failed,
    EngineQuotas: engine_list.on_bounds,
    AdmissionThreshold: admission.on_threshold,
    ShutdownStarted: deadlines.on_leaving,
    SettingsChanged: _on_retune,
    TimerExpired: _on_timer,
}
