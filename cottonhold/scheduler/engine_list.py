"""The engine list and the fleet's quotas: tracks which engines exist and what may be sent to each."""

from __future__ import annotations

import dataclasses
import math

from cottonhold.scheduler import capacity, engine_health, placement, slow_start
from cottonhold.scheduler.actions import Subscribe
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import Engine, EngineList, EngineListFailed, EngineQuotas, EngineState
from cottonhold.scheduler.gateway_state import GatewayState

RESUBSCRIBE_DELAY_MS = 400.0  # time after a failed request for the list until the next request


def on_engine_list(gateway: GatewayState, event: EngineList) -> None:
    """Apply a complete list or changed entries, and requeue the queries of engines that are not live.

    An engine that is missing from a complete list is removed. Removed engines are dropped once no attempt is
    in flight on them.
    """
    moved = [gateway.engines[entry.id] for entry in event.engines if _apply_entry(gateway, entry)]
    listed = {entry.id: gateway.engines[entry.id] for entry in event.engines}
    if event.is_complete:
        for engine in gateway.engines.values():
            if engine.id not in listed:
                engine.entry = dataclasses.replace(engine.entry, state=EngineState.REMOVED)
    changed = dict(gateway.engines) if event.is_complete else listed | gateway.departing_engines
    for engine in changed.values():
        _requeue_departed(gateway, engine)
    for query in [query for engine in moved for query in engine.clear_plan()]:
        placement.place(gateway, query)
    gateway.changed_engines |= changed


def _requeue_departed(gateway: GatewayState, engine: EngineView) -> None:
    """Requeue the queries of an engine that is not live, and drop a removed engine without attempts."""
    gateway.departing_engines.pop(engine.id, None)
    if engine.entry.state is EngineState.LIVE:
        return
    engine_health.readmit(gateway, engine)
    for query in engine.clear_plan():
        placement.place(gateway, query)
    if engine.entry.state is EngineState.REMOVED and engine.in_flight:
        gateway.departing_engines[engine.id] = engine
    elif engine.entry.state is EngineState.REMOVED:
        gateway.engines.pop(engine.id, None)


def _apply_entry(gateway: GatewayState, entry: Engine) -> bool:
    """Apply one entry of the list; a changed start time means a restart, which resets learned values.

    Returns:
        Whether the place or the machine type changed, by which queries are permitted on the engine.
    """
    engine = gateway.engines.get(entry.id)
    has_moved = engine is not None and _placement_of(engine.entry) != _placement_of(entry)
    if engine is None:
        engine = EngineView.from_entry(entry, gateway.settings.machine_types, gateway.now)
        gateway.engines[entry.id] = engine
    elif entry.started_at != engine.entry.started_at:
        engine.reset_process_statistics()
        engine_health.readmit(gateway, engine)
    engine.entry = entry
    if entry.started_at > 0:
        slow_start.start_warming(gateway, engine, entry.started_at + gateway.settings.rules.warm_up_ms)
    return has_moved


def _placement_of(entry: Engine) -> tuple[int, int, int]:
    return entry.zone, entry.cell, entry.machine_type


def on_engine_list_failed(gateway: GatewayState, event: EngineListFailed) -> None:
    """Schedule a new subscription after a failed request for the list; the last list remains valid."""
    gateway.next_subscribe_at = gateway.now + RESUBSCRIBE_DELAY_MS


def subscribe(gateway: GatewayState) -> None:
    """Subscribe to changes of the list, if the deployment does not send them unrequested."""
    gateway.next_subscribe_at = math.inf
    if gateway.settings.features.polls_engine_list:
        gateway.actions.append(Subscribe(True))


def on_engine_quotas(gateway: GatewayState, event: EngineQuotas) -> None:
    """Apply the fleet's new quotas.

    Quotas that close every live engine are assumed to be wrong, and all quotas are lifted instead. An engine
    that is reopened is readmitted, as the cause of its ejection is assumed to be over.
    """
    has_open_engine = any(
        event.work_rate_by_engine.get(engine.id, math.inf) for engine in gateway.live_engines
    )
    quota_rates = event.work_rate_by_engine if has_open_engine else {}
    for engine in gateway.engines.values():
        quota_rate = quota_rates.get(engine.id, math.inf)
        if engine.set_quota(gateway.now, quota_rate, event.expires_at):
            engine_health.readmit(gateway, engine)
    capacity.recompute_all(gateway)
    closed = [engine for engine in gateway.engines.values() if not engine.quota_rate]
    for query in [query for engine in closed for query in engine.clear_plan()]:
        placement.place(gateway, query)
