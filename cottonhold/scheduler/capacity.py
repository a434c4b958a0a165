"""Capacity: the room of the live engines, those that this gateway draws on, and its own part of all room."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from cottonhold.scheduler.events import EngineState
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import CANDIDATES, PEER_GAPS, REPORT_FRESH_MS, THREADS_PER_CORE
from cottonhold.scheduler.state import EngineView

MEMORY_ROOM = 0.9  # share of an engine's memory planned for; needs are estimates
CHANCE = 1.5  # standard deviations of an engine's memory in use left free for chance
OWN_COVERED = 1.25  # times the engines that its traffic could fill: a gateway draws on that many at least
FEW_ENGINES = 250  # up to which the room of all is counted each time
COUNT_EACH_MS = 1.0  # so many for each live engine, before the room of all is counted again
CHANCE_MOST = 0.5  # of the memory, at most, is left free for chance
BOUND_ROOM_LEAST = 0.05  # of its room stays to an engine that the fleet bounds, however tightly


def take_list(gateway: GatewayState) -> None:
    """The list has changed: who is live, in which order, known by which code, and with what room."""
    changed, gateway.relisted = gateway.relisted, {}
    gateway.live = [e for e in gateway.engines.values() if e.info.state is EngineState.LIVE]
    gateway.ranked = sorted(gateway.live, key=lambda e: e.id)
    gateway.by_code = {}
    for rank, engine in enumerate(gateway.ranked):
        engine.rank = rank
        gateway.by_code.setdefault(engine.code, []).append(engine)
    _lay_ring(gateway)
    if len(gateway.live) <= FEW_ENGINES:
        count_room(gateway)
        return
    gateway.sound = sum(e.sound() for e in gateway.live)
    _count_used(gateway, changed)
    _sum_room(gateway)


def count_room(gateway: GatewayState) -> None:
    """Live engines, weighted in the draw by the cores they have now, and their thread and memory room."""
    gateway.counted_at = gateway.now
    gateway.sound = sum(e.sound() for e in gateway.live)
    gateway.homes.clear()
    _weigh_news(gateway)
    for engine in gateway.live:
        _size(gateway, engine)
    _draw_own(gateway)
    _sum_room(gateway)
    _share_room(gateway, gateway.live)


def follow_room(gateway: GatewayState) -> None:
    """Time has passed: count the room of all engines anew, or where they are many of those in use."""
    # Danger: counted for all four times a second, the room of thousands of engines, of which a gateway uses
    # a few, took more than all its requests. So few are counted in a second, and those in use each time.
    count = len(gateway.live)
    if count <= FEW_ENGINES or gateway.now - gateway.counted_at >= count * COUNT_EACH_MS:
        count_room(gateway)
        return
    _count_used(gateway, {})


def _count_used(gateway: GatewayState, more: dict[str, EngineView]) -> None:
    """Count the room of the engines in use, and of some more."""
    gateway.homes.clear()
    _weigh_news(gateway)
    _draw_own(gateway)
    used = {e.id: e for e in gateway.near} | gateway.active | more
    for engine in used.values():
        _size(gateway, engine)
    _share_room(gateway, used.values())


def _sum_room(gateway: GatewayState) -> None:
    """Room of the whole fleet."""
    gateway.full_room = sum(e.room for e in gateway.live) or 1.0
    gateway.full_memory = sum(e.memory_room for e in gateway.live) or math.inf


def _weigh_news(gateway: GatewayState) -> None:
    """How rarely this gateway hears of each engine, and whether peers tell of theirs."""
    # Danger: engines fill unevenly by chance, what others sent is hardly seen, one that pages jams. So
    # memory is left free for chance the more, the rarer this gateway hears of each engine.
    own_per_s = max(gateway.traffic.per_s(gateway.now), 1e-3)
    heard_each_ms = 1000 * len(gateway.live) / own_per_s
    gateway.heard = gateway.now - gateway.heard_at < PEER_GAPS * gateway.gap
    gateway.blind = (1 - gateway.share) * (1 - math.exp(-heard_each_ms / REPORT_FRESH_MS))


def _size(gateway: GatewayState, engine: EngineView) -> None:
    """Thread and memory room of one engine."""
    threads = engine.cores * THREADS_PER_CORE
    engine.room = threads * engine.warmth(gateway.now, gateway.settings.rules)
    if engine.bound:
        bound = max(engine.bound / (engine.cores * gateway.share), BOUND_ROOM_LEAST)
        engine.room *= min(1.0, bound)
    chance = min(CHANCE * math.sqrt(gateway.blind / threads), CHANCE_MOST)
    engine.memory_room = engine.memory * MEMORY_ROOM * (1 - chance) or math.inf


def _draw_own(gateway: GatewayState) -> None:
    """The engines that this gateway's queries are drawn to."""
    ranked = gateway.ranked
    # Danger: where engines are rarely heard of, the best of k is the one last seen by luck, and all fill
    # unevenly. So k are drawn from engines of this gateway's own, evenly covered, which it gets to know;
    # k at least. Suspect ones are replaced. Hurts if `me` is not set.
    # Danger: with k times its share of the fleet a gateway connected to most of thousands of small engines,
    # each for a query or two. So the spare ones grow with the root of its share, and the share is covered.
    first = round(gateway.settings.gateway_index * len(ranked) / gateway.settings.gateway_count)
    own = len(ranked) * gateway.share  # engines that its traffic could fill
    count = math.ceil(max(CANDIDATES * math.sqrt(max(1.0, own)), OWN_COVERED * own))
    turned = ranked[first:] + ranked[:first]
    # Danger: taken from the list, left engines changed whom peers tell of loads, and the others idled.
    gateway.near = list(itertools.islice((e for e in turned if e.sound()), count))
    gateway.mine = set()
    if gateway.near:
        last = gateway.near[-1].rank
        gateway.mine = {e.id for e in turned[: (last - first) % len(ranked) + 1]}
    gateway.reach = min(1.0, gateway.sound / max(len(gateway.near), 1) * gateway.share) or 1.0


def _lay_ring(gateway: GatewayState) -> None:
    """The engines by rank, each as often as it has the cores of the smallest: homes are dealt from it."""
    ranked = gateway.ranked
    least = min((e.cores for e in gateway.live), default=1.0)
    gateway.ring = []
    if len(ranked) > 1:
        gateway.ring = [e for e in ranked for _ in range(round(e.cores / least))]


def _share_room(gateway: GatewayState, engines: Iterable[EngineView]) -> None:
    """What of the room of the whole fleet, and of these engines, is this gateway's."""
    gateway.own_room = gateway.full_room * gateway.share
    own_memory = gateway.full_memory * gateway.share
    # Own held work is drained by the own part of its engine, by all of it where peers tell of theirs, and
    # by the own part of the whole fleet where engines are unseen.
    part = 1.0 if gateway.heard else gateway.share
    gateway.alike = (1 / gateway.reach - 1) * gateway.heard
    blind = gateway.blind
    for engine in engines:
        room, memory = engine.room, engine.memory_room
        engine.own_room = max(room * part, blind * min(room, gateway.own_room))
        engine.own_memory = max(memory * part, blind * min(memory, own_memory))
