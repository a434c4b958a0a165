"""Placement: which engine holds a query, and at which place of its plan (Algorithms 1 and 3).

Each engine has a plan of the queries held for it, densest first. A query goes to the engine with the earliest
tentative finish among a few drawn at random.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from cottonhold.scheduler import estimates, rate_estimation, responses, retry_policy, slow_start, utilization
from cottonhold.scheduler.events import EngineState
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import ALPHA, CANDIDATES, EPSILON, LEFT_LEAST, PASSED
from cottonhold.scheduler.settings import Idempotency
from cottonhold.scheduler.state import EngineView, Query

BETA = 0.2  # share of the slack that is reserved: tentative run time is 1.4 p
REDRAWN = 2  # engines drawn anew for a held query where engines are rarely heard of: more is only CPU
HOMES = 0.4  # share of the engines that take the loads on a set of tables: the others serve its readers
RATE_LEAST = 0.02  # no engine is planned slower than that
ERROR_DELAY = 3  # times the wait by which an engine that only gives errors looks later
LANE_MOST = 3  # highest priority that engines know; 1 is the usual one
TRICKLE_MS = 150.0  # gap between the safe queries that all gateways together send to a suspect engine


class Tentative(NamedTuple):
    """What would become of a query on one engine."""

    finish: float
    place: int
    density: float
    run_time: float


def tentative(gateway: GatewayState, query: Query, engine: EngineView) -> Tentative:
    """What would become of a query on an engine, at the densest place that it may take there."""
    work = query.cost * (1 + query.learned.delta)
    run_time = work / (query.cls.threads * max(rate_estimation.rate(gateway, engine), RATE_LEAST))
    start = _earliest_finish(gateway, query, engine, run_time)
    area, space = engine.held_area, engine.held_space
    finish = start + max(area / engine.own_room, space / engine.own_memory)
    place, best = len(engine.plan), estimates.density(query, run_time, finish)
    if engine.plan:
        finish, place, best = _passing(query, engine, run_time, start, (finish, place, best))
    finish += engine.errors * (finish - gateway.now) * ERROR_DELAY
    return Tentative(finish, place, best, run_time)


def _earliest_finish(gateway: GatewayState, query: Query, engine: EngineView, run_time: float) -> float:
    """When the query would end on the engine if nothing were held there before it."""
    now, cls = gateway.now, query.cls
    finish = now + (1 + BETA * EPSILON) * run_time
    passing = 0.0
    if gateway.settings.features.has_priorities:
        passing = estimates.density(query, run_time, finish)
    finish += engine.ahead(now, LEFT_LEAST, passing, ALPHA, PASSED)
    others = engine.sum_told(now, gateway.alike)
    wide = max(1 / engine.room, others.memory / max(others.threads, 1) / engine.memory_room)
    finish += others.area * wide * utilization.not_passed(gateway, passing)
    if engine.locks and (
        cls.waits_for_loads or cls.is_load
    ):  # it stands still behind a load that holds its tables
        finish += max(0.0, engine.locks.get(query.tables, 0.0) - now)
    if cls.is_load and engine.line:  # loads on the same tables run one at a time, all gateways' in turn
        finish += engine.line.get(query.tables, 0.0) / gateway.share
    return finish


def _passing(
    query: Query, engine: EngineView, run_time: float, start: float, last: tuple[float, int, float]
) -> tuple[float, int, float]:
    """Finish, place and density further to the front than the last place, where the query beats by ALPHA all
    that it would make wait."""
    best_finish, best_place, best = last
    area, space = engine.held_area, engine.held_space
    room, memory = engine.own_room, engine.own_memory
    ceiling = estimates.density(query, run_time, start)
    behind = 0.0  # highest density that is made to wait
    own_delay = run_time * query.cls.threads / room
    for place in range(len(engine.plan) - 1, -1, -1):
        other = engine.plan[place]
        if other.finish + own_delay > other.aim_at:  # else it loses nothing by waiting
            behind = max(behind, other.density)
        if ceiling <= ALPHA * behind or ceiling <= best:
            break
        area -= other.area
        space -= other.p * other.memory
        if place and engine.plan[place - 1].density <= behind:
            continue
        finish = start + max(area / room, space / memory)
        density = estimates.density(query, run_time, finish)
        if density > best and density > ALPHA * behind:
            best_finish, best_place, best = finish, place, density
    return best_finish, best_place, best


def candidates(gateway: GatewayState, query: Query, count: int = CANDIDATES) -> list[EngineView]:
    """Random engines drawn by size; suspect ones and those just tried only if nothing else is left."""
    near = gateway.near
    if query.cls.is_load or query.cls.waits_for_loads:
        if query.cls.is_load and (pool := _homes_for_load(gateway, query)):
            return pool
        # Danger: readers kept off all homes at all times left homes of much read tables half idle,
        # and waited in line elsewhere till they were refused. So they keep off while a load is there.
        if any(e.loads_on(query.tables, gateway.now) for e in near):  # else nothing asks who the homes are
            homes = homes_of(gateway, query.tables)
            near = [e for e in near if not e.loads_on(query.tables, gateway.now) or e not in homes] or near
    draw = gateway.random.random
    drawn = heapq.nlargest(count, near, key=lambda e: draw() ** (1 / e.room))
    fresh = [e for e in drawn if not e.suspect and e.id not in query.tried and fits(query, e)]
    ready = [e for e in fresh if gateway.now >= e.rest_until and not slow_start.barred(gateway, query, e)]
    return ready or _any_that_fits(gateway, query)


def _homes_for_load(gateway: GatewayState, query: Query) -> list[EngineView]:
    """The homes of its tables that a load may be sent to."""
    homes = homes_of(gateway, query.tables)
    pool = [e for e in homes if e.id not in query.tried and fits(query, e)]
    # Danger: loads went to homes that this gateway hears nothing of, which looked empty to it.
    known = [e for e in pool if e.id in gateway.mine] or pool
    return [e for e in known if not slow_start.barred(gateway, query, e)] or known


def _any_that_fits(gateway: GatewayState, query: Query) -> list[EngineView]:
    """All engines that fit: sound ones not tried yet, else sound ones, else any."""
    live = [e for e in gateway.live if fits(query, e)]
    sound = [e for e in live if e.sound()]
    return [e for e in sound if e.id not in query.tried] or sound or live


def homes_of(gateway: GatewayState, tables: int) -> list[EngineView]:
    """The engines that take the loads on these tables, the same at every gateway; readers avoid them."""
    # Danger: readers stand still behind any load on their tables. Spread over all engines, a few loads a
    # second held every table on every engine, and the fleet idled full of waiting queries. So the loads
    # on one set keep to its homes, sets taking turns round the engines; may hurt where one set is most.
    ring, homes = gateway.ring, gateway.homes
    if tables not in homes and ring:
        first = tables % len(ring)
        turn = dict.fromkeys(ring[first:] + ring[:first])
        homes[tables] = [e for e in turn if e.sound()][: math.ceil(len(turn) * HOMES)]
    return homes.get(tables, [])


def fits(query: Query, engine: EngineView) -> bool:
    """Rules that hold for this query and engine at any time: drain, placement, keyed group."""
    cls, info = query.cls, engine.info
    if info.state is not EngineState.LIVE:
        return False
    if cls.zones is not None and info.zone not in cls.zones:
        return False
    if cls.machine_types is not None and info.machine_type not in cls.machine_types:
        return False
    return retry_policy.in_first_group(query, engine)


def place(gateway: GatewayState, query: Query, count: int = CANDIDATES) -> None:
    """Put a query into the plan of the candidate with the earliest tentative finish."""
    gateway.homeless.pop(query.id, None)
    estimates.appraise(gateway, query)
    engine = _trickle(gateway, query)
    if engine is not None:
        chosen = tentative(gateway, query, engine)._replace(place=0)
    else:
        options = [(tentative(gateway, query, e), e) for e in candidates(gateway, query, count)]
        if not options:
            query.engine = None
            gateway.homeless[query.id] = query
            return
        chosen, engine = min(options, key=lambda option: option[0].finish)
    _hold(gateway, query, engine, chosen)


def _hold(gateway: GatewayState, query: Query, engine: EngineView, chosen: Tentative) -> None:
    """Hold the query in the engine's plan; those behind it finish later, those it passes set its priority."""
    query.finish, at, query.density, query.p = chosen
    query.engine = engine
    query.area = query.p * query.cls.threads
    behind = engine.plan[at:]
    for other in behind:
        other.finish += query.area / engine.own_room
    lanes = [other.lane for other in behind]
    lanes += engine.levels.lanes_below(query.density, ALPHA)
    priorities = gateway.settings.features.has_priorities
    query.lane = min(LANE_MOST, 1 + max(lanes)) if lanes and priorities else 1
    gateway.active[engine.id] = engine
    gateway.changed = True
    engine.hold(at, query)


def _trickle(gateway: GatewayState, query: Query) -> EngineView | None:
    """A suspect engine gets single safe queries, so that its recovery is seen at little risk."""
    if (
        query.cls.idempotency is not Idempotency.IDEMPOTENT
        or query.attempts
        or query.cost > query.cls.latency_objective_ms
    ):
        return None
    for engine in gateway.doubted.values():
        if gateway.now < engine.trickle_at or not fits(query, engine):
            continue
        if not slow_start.barred(gateway, query, engine):
            engine.trickle_at = gateway.now + TRICKLE_MS / gateway.share
            query.trickle = True
            return engine
    return None


def replan(gateway: GatewayState) -> None:
    """Replay the held arrivals against what is known now: rates, aims missed, engines come and gone."""
    held = [q for e in gateway.active.values() for q in e.empty()] + list(gateway.homeless.values())
    count = round(CANDIDATES - (CANDIDATES - REDRAWN) * gateway.blind)
    for query in sorted(held, key=lambda q: q.order):
        place(gateway, query, count)
        if query.engine is not None and (query.density <= 0 or gateway.now + query.p > query.due):
            responses.answer(gateway, query)
