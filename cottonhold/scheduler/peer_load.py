"""Messages between gateways: each tells its traffic, for shares, and its loads and work out, for room."""

from __future__ import annotations

import math

from cottonhold.scheduler import peer_messages
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.scheduler.events import PeerMessage
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import ALPHA, CANDIDATES, LEFT_LEAST, PASSED, PEER_GAP_MOST_MS, PEER_GAPS
from cottonhold.scheduler.state import EngineView, Query, Told

PEER_PRICE = 0.003  # of the result that messages on loads may cost: their gap follows from it
PEER_GAP_LEAST_MS = 250.0  # the shortest gap between messages on loads
PRICED_BYTES = 256  # bytes to peers that the deployment sets a price for
TRAFFIC_LEAST_PER_S = 0.1  # a gateway without traffic is taken to have so much where its messages are priced
SHARE_LEAST = 0.2  # of an equal share is left to a gateway, however little of the traffic it has


def on_message(gateway: GatewayState, event: PeerMessage) -> None:
    """Peers tell their traffic, for shares, and their loads, for stalls; anything else is skipped."""
    if load := peer_messages.read_load(event.payload):
        _hear_load(gateway, *load)
    elif told := peer_messages.read_work(gateway.now, event.payload):
        traffic, by_code = told
        gateway.heard_at = gateway.now
        gateway.peers.heard[event.peer] = (gateway.now, traffic)
        # Danger: each message was told to all engines, on the largest fleets thousands for a few lines.
        for engine in gateway.peers.told_of.pop(event.peer, ()):
            engine.hear(event.peer, None, gateway.now)
        named = [(e, work) for code, work in by_code.items() for e in gateway.by_code.get(code, ())]
        for engine, work in named:
            engine.hear(event.peer, work, gateway.now + PEER_GAPS * gateway.gap)
        gateway.peers.told_of[event.peer] = [engine for engine, _ in named]


def _hear_load(gateway: GatewayState, code: int, tables: int, length: float) -> None:
    """A peer sent a load: its tables are locked on the engine, but not for good."""
    longest = max(cls.deadline_ms for cls in gateway.settings.classes)
    until = gateway.now + min(length, longest)
    for engine in gateway.by_code.get(code, ()):
        engine.locks[tables] = max(engine.locks.get(tables, 0.0), until)


def tell_load(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """A load was sent: tell those whose readers would stand still behind it."""
    if gateway.settings.features.has_peer_messages:
        data = peer_messages.pack_load(engine, query.tables, query.p)
        gateway.actions += [SendToPeer(data, peer) for peer in users(gateway, engine)]


def tell_work(gateway: GatewayState) -> None:
    """This gateway's traffic, for shares, and what it has on engines, to those that draw on them too."""
    now = gateway.now
    own_per_s = gateway.traffic.per_s(now)
    lists = _work_by_peer(gateway)
    told = {peer: peer_messages.pack_work(own_per_s, engines) for peer, engines in lists.items()}
    gateway.actions += [SendToPeer(data, peer) for peer, data in told.items()]
    price = (
        gateway.settings.overhead_costs.per_peer_message
        * sum(map(len, told.values()))
        / PRICED_BYTES
        / PEER_PRICE
    )
    paid_gap = 1000 * price / max(own_per_s, TRAFFIC_LEAST_PER_S)
    gateway.gap = min(max(PEER_GAP_LEAST_MS, paid_gap), PEER_GAP_MOST_MS)
    gateway.next_peer = now + gateway.gap * (0.5 + 0.5 * gateway.random.random())  # not in step with others
    _follow_share(gateway, own_per_s)


def _work_by_peer(gateway: GatewayState) -> dict[int, list[EngineView]]:
    """The engines that each peer is told of: those it draws on, with something of this gateway there."""
    lists = dict[int, list[EngineView]]()
    for engine in gateway.live:
        if engine.id not in gateway.mine and engine.id not in gateway.active:
            continue
        engine.ahead(gateway.now, LEFT_LEAST, 0.0, ALPHA, PASSED)
        engine.fresh = Told(gateway.now, 0, 0.0, 0.0)
        in_use = [engine] if engine.out or engine.plan else []
        for peer in users(gateway, engine):
            lists.setdefault(peer, []).extend(in_use)
    return lists


def _follow_share(gateway: GatewayState, own_per_s: float) -> None:
    """This gateway's share of all traffic, as peers told theirs."""
    gateways = gateway.settings.gateway_count
    total = gateway.peers.mean(own_per_s, gateway.now - 10 * PEER_GAP_MOST_MS) * gateways
    if total:
        gateway.share = min(1.0, max(own_per_s / total, SHARE_LEAST / gateways))


def users(gateway: GatewayState, engine: EngineView) -> list[int]:
    """The other gateways that draw on an engine: readers of theirs would stand still behind a load."""
    gateways = gateway.settings.gateway_count
    wide = gateways / max(len(gateway.live), 1)
    first = math.ceil((engine.rank - max(len(gateway.near), CANDIDATES) + 1) * wide)
    last = math.floor(engine.rank * wide)
    return sorted({number % gateways for number in range(first, last + 1)} - {gateway.settings.gateway_index})
