"""The decisions of one query gateway in front of analytic query engines: the entry point.

What goes in and out: settings.py, events.py, actions.py. `Scheduler` passes each event to the part that it
concerns; the parts are the other modules of this package, functions over one shared state (gateway_state.py).

The mechanism is the utility density plan of O4A and DO4A ("Online Approximation Scheme for Scheduling
Heterogeneous Utility Jobs in Edge Computing"); docs/design/scheduler.md says what is kept and changed.
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
from cottonhold.scheduler.class_history import ClassHistory
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
from cottonhold.scheduler.moving_average import ArrivalRate
from cottonhold.scheduler.parameters import (
    EJECTION_MS,
    HEARTBEAT_MS,
    REPLAN_INTERVAL_MS,
    THREADS_PER_CORE,
    TRAFFIC_MEMORY_MS,
)
from cottonhold.scheduler.peer_load import MAX_PEER_MESSAGE_COST
from cottonhold.scheduler.settings import Settings

__all__ = ["MAX_PEER_MESSAGE_COST", "THREADS_PER_CORE", "Scheduler"]

MAX_HEALTH_CHECKS_PER_QUERY = 0.3
MAX_HEALTH_CHECK_COST = 0.003  # of the result that health checks may cost: where they are dear fewer are sent


class Scheduler(GatewayState):
    """Decides for one gateway: call step with the clock and what happened, carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """A gateway that has seen nothing yet; the seed sets all of its random draws."""
        share = 1.0 / settings.gateway_count
        super().__init__(settings, random.Random(seed), traffic_share=share, assigned_engine_share=share)
        self.apply_settings(settings)

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in what happened by now and decide; the one entry point.

        Changes of the list that come together are applied once, as that counts the capacity of the fleet.
        """
        deadlines.begin_step(self, now)
        for event in events:
            if self.changed_engines and type(event) is not EngineList:
                capacity.apply_engine_changes(self)
            HANDLERS[type(event)](self, event)
        if self.changed_engines:
            capacity.apply_engine_changes(self)
        deadlines.answer_overdue(self)
        if deadlines.is_reached(self, self.next_heartbeat_at):
            self._on_heartbeat()
        if now >= self.next_peer_message_at:
            peer_load.publish_work(self)
        if now >= self.next_subscribe_at:
            engine_list.subscribe(self)
        if self.is_release_pending:
            release.release_queued(self)
        deadlines.set_timer(self)
        return self.actions

    def apply_settings(self, settings: Settings) -> None:
        """Put settings in force; a query keeps its class and its attempts to its end.

        What was learned goes on only with a class that is the same in all figures.
        """
        known = dict(zip(self.settings.classes, self.class_histories, strict=False))
        self.class_histories = [
            known.get(query_class) or ClassHistory.empty(EJECTION_MS) for query_class in settings.classes
        ]
        self.tenant_traffic = [ArrivalRate(TRAFFIC_MEMORY_MS) for _ in settings.tenants]
        self.settings = settings
        # A step comes this late at the longest, and a deadline must not pass between two steps.
        self.answer_margin_ms = HEARTBEAT_MS + 2 * settings.tick_ms
        affordable = MAX_HEALTH_CHECK_COST / max(settings.overhead_costs.per_health_check, 1e-9)
        self.health_checks_per_query = min(MAX_HEALTH_CHECKS_PER_QUERY, affordable)
        has_peers = settings.features.has_peer_messages and settings.gateway_count > 1
        self.next_peer_message_at = 0.0 if has_peers else math.inf

    def _on_heartbeat(self) -> None:
        """Look for silent engines, stragglers and ejections that end; less often, make the plans anew."""
        self.next_heartbeat_at = math.inf
        self.is_release_pending = True
        rate_estimation.update_best_rate(self)
        for engine in list(self.active_engines.values()):
            engine_health.check_silence(self, engine)
            if self.settings.features.can_cancel:
                straggler_cancellation.cancel_stragglers(self, engine)
            if not engine.in_flight and not engine.plan:
                del self.active_engines[engine.id]
        engine_health.review_ejections(self)
        if self.now >= self.next_replan_at:
            self.next_replan_at = self.now + REPLAN_INTERVAL_MS
            capacity.refresh(self)
            placement.replan(self)


def _on_settings_changed(scheduler: Scheduler, event: SettingsChanged) -> None:
    scheduler.apply_settings(event.settings)


def _on_timer_expired(scheduler: Scheduler, event: TimerExpired) -> None:
    """Nothing to do: each step looks after what is due."""


# Each event with the part that takes it in: a handler's argument is of the type of its key.
HANDLERS: dict[type, Callable[[Scheduler, Any], None]] = {
    QueryArrived: admission.on_query_arrived,
    AttemptEnded: attempt_outcomes.on_attempt_ended,
    ProgressNote: attempt_outcomes.on_progress_note,
    EngineList: engine_list.on_engine_list,
    ClientDisconnected: admission.on_client_disconnected,
    HealthCheckCompleted: engine_health.on_health_check_completed,
    PeerMessage: peer_load.on_peer_message,
    StreamStarted: attempt_outcomes.on_stream_started,
    EngineListFailed: engine_list.on_engine_list_failed,
    EngineQuotas: engine_list.on_engine_quotas,
    AdmissionThreshold: admission.on_admission_threshold,
    ShutdownStarted: deadlines.on_shutdown_started,
    SettingsChanged: _on_settings_changed,
    TimerExpired: _on_timer_expired,
}
