"""Entry point of the scheduler, which decides for one query gateway in front of analytic query engines.

Input and output are defined in settings.py, events.py and actions.py. `Scheduler` dispatches each event to
its handler in another module of this package; the handlers share one state (gateway_state.py).

The scheduler implements the utility density plan of O4A and DO4A ("Online Approximation Scheme for Scheduling
Heterogeneous Utility Jobs in Edge Computing"). docs/design/scheduler.md describes the differences.
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
    TRAFFIC_TIME_CONSTANT_MS,
)
from cottonhold.scheduler.peer_load import MAX_PEER_MESSAGE_COST
from cottonhold.scheduler.settings import Settings

__all__ = ["MAX_PEER_MESSAGE_COST", "THREADS_PER_CORE", "Scheduler"]

MAX_HEALTH_CHECKS_PER_QUERY = 0.3  # upper limit of the health checks sent per accepted query
MAX_HEALTH_CHECK_COST = 0.003  # share of the utility that health checks may cost; limits their number


class Scheduler(GatewayState):
    """Decides for one gateway.

    The caller passes the time and the events that have happened to `step`, and carries out the actions that
    it returns.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the state of a new gateway; the seed determines all of its random draws."""
        share = 1.0 / settings.gateway_count
        super().__init__(settings, random.Random(seed), traffic_share=share, assigned_engine_share=share)
        self.apply_settings(settings)

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Process the events that have happened up to `now` and return the actions to carry out.

        Consecutive changes of the engine list are applied together, as each application recomputes the
        capacity of the fleet.
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
        """Apply new settings; queries that arrived before keep their class and their number of attempts.

        The history of a class or a tenant is kept only if all its values are unchanged.
        """
        known = dict(zip(self.settings.classes, self.class_histories, strict=False))
        self.class_histories = [
            known.get(query_class) or ClassHistory.empty(EJECTION_MS) for query_class in settings.classes
        ]
        known_traffic = dict(zip(self.settings.tenants, self.tenant_traffic, strict=False))
        self.tenant_traffic = [
            known_traffic.get(tenant) or ArrivalRate(TRAFFIC_TIME_CONSTANT_MS) for tenant in settings.tenants
        ]
        self.settings = settings
        # Longest time between two steps, in ms; a query is answered this long before its deadline.
        self.answer_margin_ms = HEARTBEAT_MS + 2 * settings.tick_ms
        affordable = MAX_HEALTH_CHECK_COST / max(settings.overhead_costs.per_health_check, 1e-9)
        self.health_checks_per_query = min(MAX_HEALTH_CHECKS_PER_QUERY, affordable)
        has_peers = settings.features.has_peer_messages and settings.gateway_count > 1
        if not has_peers:
            self.next_peer_message_at = math.inf
        elif self.next_peer_message_at == math.inf:
            self.next_peer_message_at = 0.0

    def _on_heartbeat(self) -> None:
        """Check for silent engines, stragglers and expired ejections; plan again every REPLAN_INTERVAL_MS."""
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
    """Do nothing: every step handles all times that have been reached."""


# Handlers by event type; each handler receives only events of the type that is its key.
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
