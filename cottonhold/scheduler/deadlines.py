"""Deadlines and wake-ups: what is answered because its time is up, and when the next step is due."""

from __future__ import annotations

import math

from cottonhold.scheduler import responses
from cottonhold.scheduler.actions import SetTimer
from cottonhold.scheduler.events import ShutdownStarted
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import HEARTBEAT_MS, TRAFFIC_YOUNG_MS


def is_due(gateway: GatewayState, at: float) -> bool:
    """Whether a time has come, to half a tick: timers are that exact."""
    return gateway.now >= at - gateway.settings.tick_ms / 2


def begin_step(gateway: GatewayState, now: float) -> None:
    """A step begins: a wake-up that has come counts no more."""
    gateway.now = now
    if not gateway.begun:
        # Danger: what a gateway told as it started was next to no traffic, and all that started with it took
        # themselves for busy ones: their shares of the fleet added up to more than three for some seconds.
        gateway.begun = True
        gateway.next_peer = max(gateway.next_peer, now + TRAFFIC_YOUNG_MS)
    gateway.actions = []
    gateway.changed = False
    if is_due(gateway, gateway.wake_at):
        gateway.wake_at = math.inf


def answer_due(gateway: GatewayState) -> None:
    """Answer the queries whose time is up; those with an attempt out wait for its end."""
    for query in gateway.deadlines.take(gateway.now + gateway.slack):
        if not query.out and not query.over:
            responses.answer(gateway, query)


def on_leaving(gateway: GatewayState, event: ShutdownStarted) -> None:
    """This gateway ends: no query has longer than until then."""
    gateway.deadlines.cut(event.ends_at)


def wake(gateway: GatewayState) -> None:
    """Ask to be woken for what is due next: a gateway with nothing held or out costs nothing."""
    if gateway.active or gateway.doubted or gateway.homeless:
        gateway.next_beat = min(gateway.next_beat, gateway.now + HEARTBEAT_MS)
    first_deadline = gateway.deadlines.first() - gateway.slack
    due = min(gateway.next_beat, gateway.next_peer, gateway.next_ask, first_deadline)
    if due < gateway.wake_at:
        gateway.wake_at = due
        gateway.actions.append(SetTimer(max(due - gateway.now, gateway.settings.tick_ms), 0))
