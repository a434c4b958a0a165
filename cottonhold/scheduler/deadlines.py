"""Deadlines and timers: answers queries whose deadline is near, and sets the timer for the next step."""

from __future__ import annotations

import math

from cottonhold.scheduler import responses
from cottonhold.scheduler.actions import SetTimer
from cottonhold.scheduler.events import ShutdownStarted
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import HEARTBEAT_MS, TRAFFIC_MIN_AGE_MS


def is_reached(gateway: GatewayState, at: float) -> bool:
    """Return whether a time is reached within half a tick, the precision of timers."""
    return gateway.now >= at - gateway.settings.tick_ms / 2


def begin_step(gateway: GatewayState, now: float) -> None:
    """Begin a step: set the time, clear the actions and a timer that has expired.

    Traffic is first reported to peers TRAFFIC_MIN_AGE_MS after the first step: if gateways that start
    together reported the little traffic seen so far, each would claim more than its share of the fleet.
    """
    gateway.now = now
    if not gateway.has_started:
        gateway.has_started = True
        gateway.next_peer_message_at = max(gateway.next_peer_message_at, now + TRAFFIC_MIN_AGE_MS)
    gateway.actions = []
    gateway.is_release_pending = False
    if is_reached(gateway, gateway.timer_at):
        gateway.timer_at = math.inf


def answer_overdue(gateway: GatewayState) -> None:
    """Reject or fail the queries whose deadline is near, except those with an attempt in flight."""
    for query in gateway.deadlines.pop_expired(gateway.now + gateway.answer_margin_ms):
        if not query.is_in_flight and not query.is_finished:
            responses.reject_or_fail(gateway, query)


def on_shutdown_started(gateway: GatewayState, event: ShutdownStarted) -> None:
    """Limit all deadlines to the time at which this gateway stops."""
    gateway.deadlines.cap(event.ends_at)


def set_timer(gateway: GatewayState) -> None:
    """Set a timer for the next step that is due, unless an earlier one is set already."""
    if gateway.active_engines or gateway.ejected_engines or gateway.unplaced:
        gateway.next_heartbeat_at = min(gateway.next_heartbeat_at, gateway.now + HEARTBEAT_MS)
    first_deadline = gateway.deadlines.earliest() - gateway.answer_margin_ms
    next_step_at = min(
        gateway.next_heartbeat_at, gateway.next_peer_message_at, gateway.next_subscribe_at, first_deadline
    )
    if next_step_at < gateway.timer_at:
        gateway.timer_at = next_step_at
        gateway.actions.append(SetTimer(max(next_step_at - gateway.now, gateway.settings.tick_ms), 0))
