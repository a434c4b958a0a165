"""Release: held queries are sent in plan order while engines and the own share of the fleet have room."""

from __future__ import annotations

import math

from cottonhold.scheduler import (
    engine_health,
    estimates,
    key_ordering,
    peer_load,
    placement,
    rate_estimation,
    retry_policy,
    slow_start,
    utilization,
)
from cottonhold.scheduler.actions import Send, UpdateAttempt
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import ALPHA, GOLDEN, PASSED, REPLAN_MS
from cottonhold.scheduler.settings import MemoryShortage
from cottonhold.scheduler.state import EngineView, Query

OVERFULL = 1.25  # times the room is too full also for what passes: work done falls steeply from there


def release(gateway: GatewayState) -> None:
    """Send held queries in plan order while there is room; the densest plan goes first."""
    waiting = [engine for engine in gateway.active.values() if engine.plan]
    waiting.sort(key=lambda engine: -engine.plan[0].density)
    for engine in waiting:
        _release_plan(gateway, engine)


def _release_plan(gateway: GatewayState, engine: EngineView) -> None:
    """Send what may go of one engine's plan."""
    place, blocked = 0, 0.0
    while place < len(engine.plan):
        query = engine.plan[place]
        # Danger: one without room at the head held all back, also those that pass it on the engine.
        # A load behind another would only stand still there, and keep readers waiting the longer;
        # asked for room at each step, those that wait for their tables took most of the CPU.
        if blocked and query.density <= ALPHA * blocked:
            place += 1
        elif query.cls.is_load and engine.loading.get(query.tables):
            place += 1
        elif not has_room(gateway, query, engine) or _worthless_on_full_fleet(gateway, query):
            blocked = query.density  # above any before it, else it was passed over
            if not blocked or not gateway.settings.features.has_priorities:
                return
            place += 1
        elif barred(gateway, query, engine):
            place += 1
        else:
            query.leave_plan()
            _send(gateway, query, engine)


def _worthless_on_full_fleet(gateway: GatewayState, query: Query) -> bool:
    """Whether a query that looks worthless would cost another one its room."""
    return query.density <= 0 and utilization.fleet_fill(gateway, gateway.util) > utilization.IDLE_FILL


def barred(gateway: GatewayState, query: Query, engine: EngineView) -> str:
    """Checks every rule before a send; names the rule that bars it, or nothing."""
    if query.out or query.over or not placement.fits(query, engine):
        return "attempt out, drain or placement"
    # Danger: a step looks at deadlines behind its events. One that had come with next to no time went out
    # if another one was tried again in the same step, though nothing could answer it in time.
    if query.due <= gateway.now + gateway.slack:
        return "time"
    if key_ordering.out_of_turn(gateway, query):
        return "order"
    if query.attempts and (why := retry_policy.repeat_barred(gateway, query)):
        return why
    if slow_start.barred(gateway, query, engine):
        return "cold engine"
    return ""


def has_room(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Thread and memory room bind only under pressure; one query of this gateway may always be out."""
    pressed = utilization.pressed(gateway, engine)
    # Danger: a lookup waited for room until reports of seconds ended, and was refused as too late, though
    # the engine would have let it pass them. So what q passes holds it back in part only.
    passing = query.density if gateway.settings.features.has_priorities else 0.0
    if _engine_full(gateway, query, engine, pressed, passing):
        return False
    return _share_has_room(gateway, query, pressed, passing)


def _engine_full(
    gateway: GatewayState, query: Query, engine: EngineView, pressed: bool, passing: float
) -> bool:
    """Whether the engine has no room for the query beside what it doesn't pass; never so with nothing out."""
    others = engine.sum_told(gateway.now, gateway.alike)
    if not engine.out and not others.threads:
        return False
    above, memory_above, _ = engine.levels.held_by(passing, ALPHA)
    threads = above + (engine.threads_out - above) * PASSED + query.cls.threads
    memory = memory_above + ((engine.memory_out - memory_above) * PASSED + query.memory)
    part = utilization.not_passed(gateway, passing)
    wide = (threads + others.threads * part) / engine.room
    needed = (memory + others.memory * part) / engine.memory_room
    # Danger: each of forty saw its own few out and let more in, till memory ran over and all spilled.
    threads_used = (engine.threads_out + others.threads) / engine.room
    memory_used = (engine.memory_out + others.memory) / engine.memory_room
    if max(threads_used, memory_used) / OVERFULL > 1:
        return True
    limit = 1.0 if gateway.heard else gateway.share
    return pressed and wide > limit or (pressed or gateway.heard) and needed > limit


def _share_has_room(gateway: GatewayState, query: Query, pressed: bool, passing: float) -> bool:
    """Whether this gateway's share of the whole fleet has room for one more query."""
    # Danger: one query of each gateway on each engine floods the fleet; paging shows only in the jam. So
    # the share is of the whole fleet; any spare above it adds up. What q passes does not hold it back.
    # Rounded down, 1.8 queries were one, and clients that a fleet's one price had let in waited in vain.
    threads, memory, busy = gateway.pool.sound.held_by(passing, ALPHA)
    # Danger: a timed-out attempt that nothing cancels runs on unseen; it counts for the time planned.
    unseen = [query for until, query in gateway.unseen if until > gateway.now]
    filled = (memory + sum(q.memory for q in unseen) + query.memory) / gateway.full_memory
    used = (threads + sum(q.cls.threads for q in unseen) + query.cls.threads) / gateway.full_room
    used = max(used, filled) if pressed else filled * math.sqrt(gateway.blind) * _memory_binds(gateway)
    if not busy:
        return used <= gateway.share or gateway.now >= gateway.pool_rest
    return used <= gateway.share + _turn(gateway, query) * query.cls.threads / gateway.full_room


def _memory_binds(gateway: GatewayState) -> float:
    """How far the share of memory binds without pressure."""
    # Memory binds also without pressure: paging shows only in the jam. Where grants are trimmed one query
    # pays, not all, so there it binds as far as the fleet is reported busy.
    short = gateway.settings.on_memory_shortage
    if short is MemoryShortage.WAIT:
        return 0.0
    return gateway.util if short is MemoryShortage.SHRINK else 1.0


def _turn(gateway: GatewayState, query: Query) -> float:
    """Part of a query that the share is stretched by now: gateways take turns with what is left over."""
    if not gateway.threshold.is_fleet_wide:
        return 0.0
    turn = gateway.settings.gateway_index + gateway.now // max(REPLAN_MS, query.p)
    return turn * GOLDEN % 1


def _send(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Start an attempt of the query on the engine."""
    _tell_terms(gateway, query, engine)
    timeout = 0.0
    if query.trickle:
        timeout = rate_estimation.TEACH_LIMIT * query.p + engine_health.SILENCE_MIN_MS
    begin_by = retry_policy.latest_begin(gateway, query)
    gateway.actions.append(Send(query.id, engine.id, timeout, begin_by))
    if query.attempts:
        retry_policy.count_further_attempt(gateway)
    query.attempts += 1
    query.begin_attempt(gateway.now, engine)
    gateway.pool.add_out(query, engine)
    slow_start.spend(query, engine)
    if query.cls.is_load:
        until = gateway.now + query.p
        engine.locks[query.tables] = max(engine.locks.get(query.tables, 0.0), until)
        peer_load.tell_load(gateway, query, engine)


def _tell_terms(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Tell the memory grant and the priority of the next attempts, where they are others than before."""
    grant = estimates.grant(gateway, query, engine)
    if grant != query.grant or query.lane != query.lane_told:
        gateway.actions.append(UpdateAttempt(query.id, grant, query.lane))
        query.grant = grant
        query.lane_told = query.lane


def rest_after_wide(gateway: GatewayState, query: Query) -> None:
    """An attempt has ended: after one wider than the own share the share rests."""
    # Danger: one query may always be out, and one wider than the own room, from each of hundreds of
    # gateways, thrashes the fleet for good. So a rest follows such a one: the mean stays in room.
    of_fleet = max(query.cls.threads / gateway.full_room, query.memory / gateway.full_memory)
    wide = of_fleet / gateway.share
    if wide > 1:
        rest_from = max(gateway.pool_rest, gateway.now)
        gateway.pool_rest = rest_from + (gateway.now - query.sent_at) * (wide - 1)
