"""Peer gateways: each publishes its traffic, for shares, and its loads and work in flight, for capacity."""

from __future__ import annotations

import math

from cottonhold.scheduler import peer_messages
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import PeerMessage
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import (
    CANDIDATES,
    MAX_PEER_INTERVAL_MS,
    MIN_REMAINING_SHARE,
    OUTRANK_MARGIN,
    OUTRANKED_WEIGHT,
    PEER_TIMEOUT_INTERVALS,
)
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.reported_load import ReportedLoad, ReportedTraffic

MAX_PEER_MESSAGE_COST = 0.003  # of the result that messages on loads may cost: their interval follows from it
MIN_PEER_INTERVAL_MS = 250.0  # the shortest interval between messages on loads
COST_UNIT_BYTES = 256  # bytes that one `per_peer_message` is the cost of
MIN_COST_TRAFFIC_PER_S = 0.1  # least traffic by which the cost of messages is weighed
MIN_TRAFFIC_SHARE = 0.2  # of an equal share is left to a gateway, however little of the traffic it has
TRAFFIC_MAX_AGE_MS = 10 * MAX_PEER_INTERVAL_MS  # older reports of a peer's traffic are ignored


def on_peer_message(gateway: GatewayState, event: PeerMessage) -> None:
    """Take over a peer's load or work; anything else is skipped."""
    if load := peer_messages.decode_load_sent(event.payload):
        _on_load_sent(gateway, load)
    elif report := peer_messages.decode_work(gateway.now, event.payload):
        _on_work_report(gateway, event.peer, report)


def _on_load_sent(gateway: GatewayState, load: peer_messages.LoadSent) -> None:
    """A peer sent a load: its tables are locked on the engine, no longer than any query may run."""
    max_run_ms = max(query_class.deadline_ms for query_class in gateway.settings.classes)
    locked_until = gateway.now + min(load.planned_run_ms, max_run_ms)
    for engine in gateway.engines_by_hash.get(load.engine_hash, ()):
        known_until = engine.locked_until.get(load.table_group, 0.0)
        engine.locked_until[load.table_group] = max(known_until, locked_until)


def _on_work_report(gateway: GatewayState, peer: int, report: peer_messages.WorkReport) -> None:
    """Take over a peer's traffic, and its work on the engines that it names in place of its last report."""
    gateway.peer_load_received_at = gateway.now
    gateway.traffic_by_peer[peer] = ReportedTraffic(gateway.now, report.queries_per_s)
    for engine in gateway.engines_by_peer.pop(peer, ()):
        engine.apply_peer_load(peer, None, gateway.now)
    named = [
        (engine, load)
        for engine_hash, load in report.load_by_engine_hash.items()
        for engine in gateway.engines_by_hash.get(engine_hash, ())
    ]
    expires_at = gateway.now + PEER_TIMEOUT_INTERVALS * gateway.peer_interval_ms
    for engine, load in named:
        engine.apply_peer_load(peer, load, expires_at)
    gateway.engines_by_peer[peer] = [engine for engine, _ in named]


def announce_load(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """A load was sent: notify the gateways whose readers would stand still behind it."""
    if gateway.settings.features.has_peer_messages:
        payload = peer_messages.encode_load_sent(engine, query.table_group, query.planned_run_ms)
        gateway.actions += [SendToPeer(payload, peer) for peer in peers_sharing(gateway, engine)]


def publish_work(gateway: GatewayState) -> None:
    """Send this gateway's traffic, and what it has on engines, to the peers that draw on them too.

    The interval to the next messages follows from their cost and is drawn, not to be in step with peers.
    """
    now = gateway.now
    local_per_s = gateway.local_traffic.per_s(now)
    payloads = {
        peer: peer_messages.encode_work(local_per_s, engines)
        for peer, engines in _engines_by_peer(gateway).items()
    }
    gateway.actions += [SendToPeer(payload, peer) for peer, payload in payloads.items()]
    cost_per_unit = gateway.settings.overhead_costs.per_peer_message
    cost = cost_per_unit * sum(map(len, payloads.values())) / COST_UNIT_BYTES / MAX_PEER_MESSAGE_COST
    affordable_interval_ms = 1000 * cost / max(local_per_s, MIN_COST_TRAFFIC_PER_S)
    gateway.peer_interval_ms = min(max(MIN_PEER_INTERVAL_MS, affordable_interval_ms), MAX_PEER_INTERVAL_MS)
    gateway.next_peer_message_at = now + gateway.peer_interval_ms * (0.5 + 0.5 * gateway.random.random())
    _update_traffic_share(gateway, local_per_s)


def _engines_by_peer(gateway: GatewayState) -> dict[int, list[EngineView]]:
    """The engines that each peer is sent: those it draws on, with something of this gateway there."""
    engines_by_peer = dict[int, list[EngineView]]()
    for engine in gateway.live_engines:
        if engine.id not in gateway.assigned_engine_ids and engine.id not in gateway.active_engines:
            continue
        engine.work_ahead_ms(gateway.now, MIN_REMAINING_SHARE, 0.0, OUTRANK_MARGIN, OUTRANKED_WEIGHT)
        engine.sent_since_report = ReportedLoad(gateway.now, 0, 0.0, 0.0)
        in_use = [engine] if engine.in_flight or engine.plan else []
        for peer in peers_sharing(gateway, engine):
            engines_by_peer.setdefault(peer, []).extend(in_use)
    return engines_by_peer


def _update_traffic_share(gateway: GatewayState, local_per_s: float) -> None:
    """Set this gateway's share of all traffic; peers that have not reported count as the mean."""
    since = gateway.now - TRAFFIC_MAX_AGE_MS
    rates = [local_per_s]
    rates += [
        report.queries_per_s for report in gateway.traffic_by_peer.values() if report.received_at > since
    ]
    gateway_count = gateway.settings.gateway_count
    total_per_s = sum(rates) / len(rates) * gateway_count
    if total_per_s:
        min_share = MIN_TRAFFIC_SHARE / gateway_count
        gateway.traffic_share = min(1.0, max(local_per_s / total_per_s, min_share))


def peers_sharing(gateway: GatewayState, engine: EngineView) -> list[int]:
    """The other gateways that draw on an engine, by the ranges of ranked engines that each has."""
    gateway_count = gateway.settings.gateway_count
    gateways_per_engine = gateway_count / max(len(gateway.live_engines), 1)
    range_length = max(len(gateway.candidate_pool), CANDIDATES)
    first = math.ceil((engine.rank - range_length + 1) * gateways_per_engine)
    last = math.floor(engine.rank * gateways_per_engine)
    sharing = {index % gateway_count for index in range(first, last + 1)}
    return sorted(sharing - {gateway.settings.gateway_index})
