"""Capacity: the room of the live engines, those that this gateway draws on, and its own part of all room."""

from __future__ import annotations

import math

from cottonhold.decide.gateway_state import GatewayState
from cottonhold.decide.interface import EngineState
from cottonhold.decide.parameters import CANDIDATES, PEER_GAPS, REPORT_FRESH_MS, THREADS_PER_CORE
from cottonhold.decide.state import EngineView

MEMORY_ROOM = 0.9  # share of an engine's memory planned for; needs are estimates
CHANCE = 1.5  # standard deviations of an engine's memory in use left free for chance
CHANCE_MOST = 0.5  # of the memory, at most, is left free for chance
BOUND_ROOM_LEAST = 0.05  # of its room stays to an engine that the fleet bounds, however tightly


def count_room(gateway: GatewayState) -> None:
    """Live engines, weighted in the draw by the cores they have now, and their thread and memory room."""
    gateway.live = [e for e in gateway.engines.values() if e.info.state is EngineState.LIVE]
    _weigh_news(gateway)
    for engine in gateway.live:
        _size(gateway, engine)
    ranked = _rank(gateway)
    _draw_own(gateway, ranked)
    _lay_ring(gateway, ranked)
    _share_room(gateway)


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


def _rank(gateway: GatewayState) -> list[EngineView]:
    """The live engines in an order that is the same at every gateway."""
    ranked = sorted(gateway.live, key=lambda e: e.id)
    for rank, engine in enumerate(ranked):
        engine.rank = rank
    return ranked


def _draw_own(gateway: GatewayState, ranked: list[EngineView]) -> None:
    """The engines that this gateway's queries are drawn to."""
    # Danger: where engines are rarely heard of, the best of k is the one last seen by luck, and all fill
    # unevenly. So k are drawn from engines of this gateway's own, evenly covered, which it gets to know;
    # k times its share of the fleet, k at least. Suspect ones are replaced. Hurts if `me` is not set.
    first = round(gateway.settings.me * len(ranked) / gateway.settings.gateways)
    count = math.ceil(CANDIDATES * max(1.0, len(ranked) * gateway.share))
    turned = ranked[first:] + ranked[:first]
    # Danger: taken from the list, left engines changed whom peers tell of loads, and the others idled.
    gateway.near = [e for e in turned if e.sound()][:count]
    gateway.mine = set()
    if gateway.near:
        last = gateway.near[-1].rank
        gateway.mine = {e.id for e in turned[: (last - first) % len(ranked) + 1]}
    sound = sum(e.sound() for e in ranked)
    gateway.reach = min(1.0, sound / max(len(gateway.near), 1) * gateway.share) or 1.0


def _lay_ring(gateway: GatewayState, ranked: list[EngineView]) -> None:
    """The engines by rank, each as often as it has the cores of the smallest: homes are dealt from it."""
    least = min((e.cores for e in gateway.live), default=1.0)
    gateway.ring = []
    if len(ranked) > 1:
        gateway.ring = [e for e in ranked for _ in range(round(e.cores / least))]
    gateway.homes.clear()


def _share_room(gateway: GatewayState) -> None:
    """Room of the whole fleet, and what of it and of each engine is this gateway's."""
    gateway.full_room = sum(e.room for e in gateway.live) or 1.0
    gateway.full_memory = sum(e.memory_room for e in gateway.live) or math.inf
    gateway.own_room = gateway.full_room * gateway.share
    own_memory = gateway.full_memory * gateway.share
    # Own held work is drained by the own part of its engine, by all of it where peers tell of theirs, and
    # by the own part of the whole fleet where engines are unseen.
    part = 1.0 if gateway.heard else gateway.share
    gateway.alike = (1 / gateway.reach - 1) * gateway.heard
    blind = gateway.blind
    for engine in gateway.live:
        room, memory = engine.room, engine.memory_room
        engine.own_room = max(room * part, blind * min(room, gateway.own_room))
        engine.own_memory = max(memory * part, blind * min(memory, own_memory))
