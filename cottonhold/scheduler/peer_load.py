"""Peer messages: gateways report their traffic, loads and work to the peers that share their engines.

The traffic determines the traffic shares of the gateways. The reported work and loads occupy capacity.
"""

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
from cottonhold.scheduler.reported_load import ReportedTraffic, ReportedWork

MAX_PEER_MESSAGE_COST = 0.003  # share of the utility that work reports may cost; determines their interval
MIN_PEER_INTERVAL_MS = 250.0  # shortest interval between work reports
COST_UNIT_BYTES = 256  # number of bytes that cost `per_peer_message`
MIN_COST_TRAFFIC_PER_S = 0.1  # lowest traffic assumed for the cost of messages, in queries per second
MIN_TRAFFIC_SHARE = 0.2  # lowest traffic share assumed for a gateway, as a multiple of an equal share
TRAFFIC_MAX_AGE_MS = 10 * MAX_PEER_INTERVAL_MS  # older reports of a peer's traffic are ignored


def on_peer_message(gateway: GatewayState, event: PeerMessage) -> None:
    """Apply a peer's message on a load or its work report; ignore any other message."""
    if load := peer_messages.decode_load_sent(event.payload):
        _on_load_sent(gateway, load)
    elif report := peer_messages.decode_work(gateway.now, event.payload):
        _on_work_report(gateway, event.peer, report)


def _on_load_sent(gateway: GatewayState, load: peer_messages.LoadSent) -> None:
    """Record that a peer sent a load, which locks its tables on the engine.

    The lock is limited to the longest deadline of all classes, as no query may run longer.
    """
    max_run_ms = max(query_class.deadline_ms for query_class in gateway.settings.classes)
    locked_until = gateway.now + min(load.planned_run_ms, max_run_ms)
    for engine in gateway.engines_by_hash.get(load.engine_hash, ()):
        engine.lock_tables(load.table_group, gateway.now, locked_until)


def _on_work_report(gateway: GatewayState, peer: int, report: peer_messages.WorkReport) -> None:
    """Record a peer's traffic and its work on engines, in place of its last report."""
    gateway.work_report_received_at = gateway.now
    gateway.traffic_by_peer[peer] = ReportedTraffic(gateway.now, report.queries_per_s)
    for engine in gateway.engines_by_peer.pop(peer, ()):
        engine.apply_reported_work(peer, None, gateway.now)
    named = [
        (engine, load)
        for engine_hash, load in report.work_by_engine_hash.items()
        for engine in gateway.engines_by_hash.get(engine_hash, ())
    ]
    expires_at = gateway.now + PEER_TIMEOUT_INTERVALS * gateway.peer_interval_ms
    for engine, load in named:
        engine.apply_reported_work(peer, load, expires_at)
    gateway.engines_by_peer[peer] = [engine for engine, _ in named]


def announce_load(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Notify the gateways that share the engine of a load, as their readers would wait for its locks."""
    if gateway.settings.features.has_peer_messages:
        payload = peer_messages.encode_load_sent(engine, query.table_group, query.planned_run_ms)
        gateway.actions += [SendToPeer(payload, peer) for peer in peers_sharing(gateway, engine)]


def publish_work(gateway: GatewayState) -> None:
    """Send this gateway's traffic and its work on engines to the peers that share them.

    The time until the next messages is set by their cost, with random jitter so that the gateways don't all
    send at the same time.
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
    """Return, by peer, the engines whose work is reported to it.

    These are the engines that it shares with this gateway and where this gateway has queries queued or in
    flight. Also starts new counts of the queries sent since the report.
    """
    engines_by_peer = dict[int, list[EngineView]]()
    for engine in gateway.live_engines:
        if engine.id not in gateway.assigned_engine_ids and engine.id not in gateway.active_engines:
            continue
        engine.work_ahead_ms(gateway.now, MIN_REMAINING_SHARE, 0.0, OUTRANK_MARGIN, OUTRANKED_WEIGHT)
        engine.sent_since_report = ReportedWork(gateway.now, 0, 0.0, 0.0)
        in_use = [engine] if engine.in_flight or engine.plan else []
        for peer in peers_sharing(gateway, engine):
            engines_by_peer.setdefault(peer, []).extend(in_use)
    return engines_by_peer


def _update_traffic_share(gateway: GatewayState, local_per_s: float) -> None:
    """Update this gateway's share of all traffic; the mean is assumed for a peer without a recent report."""
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
    """Return the other gateways to which an engine is assigned, by their ranges of the ranked engines.

    The ranges are assumed to be as long as this gateway's.
    """
    gateway_count = gateway.settings.gateway_count
    gateways_per_engine = gateway_count / max(len(gateway.live_engines), 1)
    range_length = max(len(gateway.candidate_pool), CANDIDATES)
    first = math.ceil((engine.rank - range_length + 1) * gateways_per_engine)
    last = math.floor(engine.rank * gateways_per_engine)
    sharing = {index % gateway_count for index in range(first, last + 1)}
    return sorted(sharing - {gateway.settings.gateway_index})
