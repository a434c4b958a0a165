"""The engine list and the fleet's bounds: which engines there are, and what may be sent to each."""

from __future__ import annotations

import dataclasses
import math

from cottonhold.scheduler import capacity, engine_health, placement, slow_start
from cottonhold.scheduler.actions import Subscribe
from cottonhold.scheduler.events import Engine, EngineList, EngineListFailed, EngineQuotas, EngineState
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.state import EngineView

ASK_AGAIN_MS = 400.0  # after a call for the list that failed


def on_list(gateway: GatewayState, event: EngineList) -> None:
    """The list, whole or what changed: queries held for engines that leave are placed anew."""
    for info in event.engines:
        _on_entry(gateway, info)
    told = {info.id: gateway.engines[info.id] for info in event.engines}
    if event.is_complete:
        for engine in gateway.engines.values():
            if engine.id not in told:
                engine.info = dataclasses.replace(engine.info, state=EngineState.REMOVED)
    changed = dict(gateway.engines) if event.is_complete else told | gateway.leaving
    for engine in changed.values():
        _leave(gateway, engine)
    gateway.relisted |= changed


def _leave(gateway: GatewayState, engine: EngineView) -> None:
    """Take away what is held for an engine that drains or is gone; forget one gone with nothing out."""
    gateway.leaving.pop(engine.id, None)
    if engine.info.state is EngineState.LIVE:
        return
    engine_health.trust(gateway, engine)
    for query in engine.empty():
        placement.place(gateway, query)
    if engine.info.state is EngineState.REMOVED and engine.out:
        gateway.leaving[engine.id] = engine
    elif engine.info.state is EngineState.REMOVED:
        gateway.engines.pop(engine.id, None)


def _on_entry(gateway: GatewayState, info: Engine) -> None:
    """A new start time means a restart: what was learned of the old process is void."""
    engine = gateway.engines.get(info.id)
    if engine is None:
        engine = EngineView.listed(info, gateway.settings.machine_types, gateway.now)
        gateway.engines[info.id] = engine
    elif info.started_at != engine.info.started_at:
        engine.restart()
        engine_health.trust(gateway, engine)
    engine.info = info
    if info.started_at > 0:
        slow_start.begin(gateway, engine, info.started_at + gateway.settings.rules.warm_up_ms)


def on_list_failed(gateway: GatewayState, event: EngineListFailed) -> None:
    """A call for the list failed: the old one holds, and it is asked for again."""
    gateway.next_ask = gateway.now + ASK_AGAIN_MS


def ask(gateway: GatewayState) -> None:
    """Ask for list changes, where they do not come by themselves."""
    gateway.next_ask = math.inf
    if gateway.settings.features.polls_engine_list:
        gateway.actions.append(Subscribe(True))


def on_bounds(gateway: GatewayState, event: EngineQuotas) -> None:
    """The fleet bounds what is sent to some engines."""
    # Danger: each gateway left a failing zone by itself, engine by engine, and came back in a herd. So
    # the fleet's word bounds what is sent. May hurt where it is wrong: one that leaves nobody is skipped.
    leaves_some = any(event.work_rate_by_engine.get(e.id, math.inf) for e in gateway.live)
    work = event.work_rate_by_engine if leaves_some else {}
    for engine in gateway.engines.values():
        if engine.set_bound(gateway.now, work.get(engine.id, math.inf), event.expires_at):
            engine_health.trust(gateway, engine)  # the fleet returns to it: what it was doubted for is past
    capacity.count_room(gateway)
    held = [query for engine in gateway.engines.values() if not engine.bound for query in engine.empty()]
    for query in held:
        placement.place(gateway, query)
