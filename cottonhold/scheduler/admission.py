"""Admission: a query that arrives is held for an engine, or turned away at once."""

from __future__ import annotations

from cottonhold.scheduler import (
    engine_health,
    key_ordering,
    placement,
    responses,
    retry_policy,
    slow_start,
    straggler_cancellation,
)
from cottonhold.scheduler.actions import DemandEstimate
from cottonhold.scheduler.events import AdmissionThreshold, ClientDisconnected, QueryArrived
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import CANDIDATES, REPORT_FRESH_MS
from cottonhold.scheduler.settings import Idempotency
from cottonhold.scheduler.state import Query

PROBES_SPARE = 2  # probes that stay for doubts: load is asked for with what is left over
PATIENCE_ALIKE = 0.02  # of the time that most clients leave a first try: ticks and the way here scatter it
PATIENCE_VOTES = 40  # majority vote on it, at most: where clients differ too much, none counts as a repeat
PATIENCE_SETTLED = PATIENCE_VOTES / 4  # votes from which most clients are taken to be alike
REPEATS_MOST = 1.5  # repeats for each query turned away: clients of other gateways come too
WORK_LEAST_MS = 1e-3  # a query without a known cost has so much work where worth is divided by it


def on_arrival(gateway: GatewayState, event: QueryArrived) -> None:
    """A query was taken: hold it for an engine, or answer it where waiting would be in vain."""
    learned = gateway.classes[event.query_class]
    query = Query(event, gateway.settings, learned, gateway.now, next(gateway.serial))
    query.began = _first_tried(gateway, query, event.is_retry)
    gateway.queries[query.id] = query
    _count(gateway, query)
    key_ordering.join(gateway, query)
    gateway.deadlines.add(query)
    placement.place(gateway, query)
    slow_start.count(gateway, query)
    if event.admission_draw is not None:
        gateway.actions.append(DemandEstimate(query.id, query.top, query.work()))
    if query.engine is None:
        return
    worthless_repeat = query.density <= 0 and query.began < query.arrived
    if _late_load(query) or _below_threshold(gateway, query, event.admission_draw) or worthless_repeat:
        responses.answer(gateway, query)


def _count(gateway: GatewayState, query: Query) -> None:
    """Count what was taken: for the allowance of attempts, the traffic, the probes and its tenant."""
    retry_policy.count_taken(gateway)
    gateway.traffic.add(gateway.now)
    gateway.probes = min(gateway.probes + gateway.probe_part, CANDIDATES)
    _probe_oldest_report(gateway)
    if query.tenant < len(gateway.tenants):
        gateway.tenants[query.tenant].add(gateway.now)


def _probe_oldest_report(gateway: GatewayState) -> None:
    """Ask the engine that has told of its load the longest ago."""
    # Danger: where only probes tell load, or answers are rare, load is a guess. A probe fills in where
    # the report is oldest, within what is left over from doubts; may hurt where probes cost more.
    if gateway.settings.features.has_health_checks and gateway.probes >= PROBES_SPARE and gateway.near:
        oldest = min(gateway.near, key=lambda e: (max(e.report_at, e.probed_at), e.rank))
        if gateway.now - oldest.report_at > REPORT_FRESH_MS:
            engine_health.probe(gateway, oldest)


def _late_load(query: Query) -> bool:
    """Whether a load would be late behind those held for the same tables."""
    # Danger: loads that came faster than their tables come free stood in line to the deadline, all late,
    # each with a client's connection. So one is held if it can be in time; may hurt in a short burst.
    if not query.cls.is_load or query.finish <= query.aim_at or query.engine is None:
        return False
    return query.engine.line.get(query.tables, 0.0) > query.p


def _below_threshold(gateway: GatewayState, query: Query, draw: float | None) -> bool:
    """Whether the query is worth less than the fleet's admission threshold."""
    # Danger: each shed by its own plan: cheap ones were served at one gateway and dear ones refused at
    # another. May hurt where the price is wrong; it holds for a second at most.
    threshold = gateway.threshold
    if draw is None or gateway.now >= threshold.expires_at:
        return False
    worth = query.top / max(query.work(), WORK_LEAST_MS)
    return worth < (threshold.marginal_density if draw < threshold.marginal_share else threshold.full_density)


def _first_tried(gateway: GatewayState, query: Query, marked: bool) -> float:
    """When the client first tried: now, or for a repeat as long ago as it can have been."""
    # Danger: worth is judged from a client's first try; a repeat past its aim earns as little as any late
    # answer, yet looked as dense as a new query and filled engines. Unmarked, it is told by a time left
    # unlike that of most. Also covers clients' own time-outs; may hurt clients of unusual patience.
    learned, now = query.learned, gateway.now
    votes = None if marked else PATIENCE_VOTES
    alike = learned.left_alike(now, query.due - now, PATIENCE_ALIKE, votes)
    # Danger: clients that leave themselves little time looked like repeats and were refused as too late.
    # Only what was turned away can come again: more than that are no repeats.
    can_repeat = learned.unlike.per_s(now) <= REPEATS_MOST * learned.turned.per_s(now)
    repeat = marked or not alike and can_repeat and learned.votes > PATIENCE_SETTLED
    return min(now, query.due - query.cls.deadline_ms) if repeat else now


def on_gone(gateway: GatewayState, event: ClientDisconnected) -> None:
    """The client has left: the query is over."""
    query = gateway.queries.get(event.query_id)
    if query is None or query.over:
        return
    query.leave_plan()
    # Danger: the attempt of a client that left runs on for nobody. A load still runs to its end.
    if gateway.settings.features.can_cancel and query.cls.idempotency is not Idempotency.NOT_IDEMPOTENT:
        straggler_cancellation.cancel(gateway, query)
    responses.close(gateway, query)


def on_threshold(gateway: GatewayState, event: AdmissionThreshold) -> None:
    """The fleet has another admission threshold."""
    gateway.threshold = event
