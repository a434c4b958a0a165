"""The state of one gateway's scheduler, shared by all modules of this package.

Most modules consist of functions whose first argument is this state. The comments above groups of fields name
the modules that write them.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.scheduler.actions import Action
from cottonhold.scheduler.class_history import ClassHistory
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import AdmissionThreshold
from cottonhold.scheduler.fleet_in_flight import FleetInFlight
from cottonhold.scheduler.moving_average import ArrivalRate, SlidingSum, WorkRate
from cottonhold.scheduler.parameters import (
    MAX_PEER_INTERVAL_MS,
    TRAFFIC_MIN_AGE_MS,
    TRAFFIC_TIME_CONSTANT_MS,
)
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.queues import Deadlines, KeyQueues
from cottonhold.scheduler.reported_load import ReportedTraffic
from cottonhold.scheduler.settings import Settings


class UnobservedAttempt(NamedTuple):
    """An attempt that timed out at this gateway and may still run on its engine until its expected end."""

    expected_end_at: float
    query: Query


@dataclass(slots=True, eq=False)
class GatewayState:
    """The queries, engines, capacity and statistics of one gateway, and the actions of the current step.

    Times are in milliseconds on the caller's clock.
    """

    settings: Settings
    random: random.Random

    # the current step (scheduler, deadlines)
    now: float = 0.0
    has_started: bool = False  # whether the first step has begun
    actions: list[Action] = field(default_factory=list)
    is_release_pending: bool = False  # whether a queued query may have become ready to be sent
    answer_margin_ms: float = 0.0  # time before its deadline at which a query not in flight is answered

    # queries, by id (admission)
    queries: dict[str, Query] = field(default_factory=dict)
    unplaced: dict[str, Query] = field(default_factory=dict)  # queries that no engine may run now
    deadlines: Deadlines = field(default_factory=Deadlines)
    key_queues: KeyQueues = field(default_factory=KeyQueues)
    sequence_numbers: Iterator[int] = field(default_factory=itertools.count)
    threshold: AdmissionThreshold = field(default_factory=lambda: AdmissionThreshold(is_fleet_wide=False))

    # the retry budget (retry_policy)
    retries_sent: SlidingSum = field(default_factory=SlidingSum)
    queries_accepted: SlidingSum = field(default_factory=SlidingSum)

    # engines, by id (engine_list, engine_health)
    engines: dict[str, EngineView] = field(default_factory=dict)
    active_engines: dict[str, EngineView] = field(default_factory=dict)  # with queries queued or in flight
    ejected_engines: dict[str, EngineView] = field(default_factory=dict)
    best_work_rate: float = 0.0  # highest recent work rate of the fleet, in ms of work per thread ms
    health_check_budget: float = 0.0  # number of health checks that may be sent now
    health_checks_per_query: float = 0.0  # amount that each accepted query adds to the budget
    changed_engines: dict[str, EngineView] = field(default_factory=dict)  # changed entries not yet applied
    departing_engines: dict[str, EngineView] = field(default_factory=dict)  # removed with attempts in flight

    # capacity of the live engines, and this gateway's part of that capacity
    live_engines: list[EngineView] = field(default_factory=list)
    ranked_engines: list[EngineView] = field(default_factory=list)  # in the same order at every gateway
    engines_by_hash: dict[int, list[EngineView]] = field(default_factory=dict)
    capacity_computed_at: float = -math.inf  # when the capacity of all engines was last computed
    usable_engine_count: int = 0  # number of usable live engines when capacity was last computed or changed
    candidate_pool: list[EngineView] = field(default_factory=list)  # engines that candidates are drawn from
    assigned_engine_ids: set[str] = field(default_factory=set)  # the engines that this gateway sends to
    assigned_engine_share: float = 1.0  # this gateway's share of the traffic to each assigned engine
    affinity_ring: list[EngineView] = field(default_factory=list)
    preferred_engines: dict[int, list[EngineView]] = field(default_factory=dict)  # for loads, by table group
    unobserved_share: float = 1.0  # share of the engines' state that is not observed, from 0 to 1
    peer_sends_per_local: float = 0.0  # queries sent by peers per query of this gateway on the same engine
    fleet_thread_capacity: float = 1.0
    fleet_memory_capacity_mb: float = 1.0
    local_thread_capacity: float = 1.0  # this gateway's share of the fleet's thread capacity
    in_flight: FleetInFlight = field(default_factory=FleetInFlight)
    oversized_query_pause_until: float = 0.0  # end of the pause after a query larger than the local share
    unobserved_attempts: list[UnobservedAttempt] = field(default_factory=list)

    # the mean work of recently accepted queries (slow_start)
    mean_work_ms: float = 0.0
    mean_work_samples: int = 0

    # statistics of answers and load reports (rate_estimation)
    class_histories: list[ClassHistory] = field(default_factory=list)
    tenant_traffic: list[ArrivalRate] = field(default_factory=list)
    fleet_rate_average: WorkRate = field(default_factory=WorkRate)
    fleet_utilization: float = 1.0  # reported share of busy cores, smoothed over the fleet

    # peer gateways (peer_load)
    local_traffic: ArrivalRate = field(
        default_factory=lambda: ArrivalRate(TRAFFIC_TIME_CONSTANT_MS, TRAFFIC_MIN_AGE_MS)
    )
    traffic_share: float = 1.0  # this gateway's share of all traffic
    traffic_by_peer: dict[int, ReportedTraffic] = field(default_factory=dict)
    engines_by_peer: dict[int, list[EngineView]] = field(default_factory=dict)  # engines in its last report
    peer_interval_ms: float = MAX_PEER_INTERVAL_MS  # interval between work reports to peers
    work_report_received_at: float = -math.inf
    has_work_reports: bool = False  # whether peers have recently reported their work

    # times at which something is due next (deadlines)
    next_peer_message_at: float = 0.0
    next_replan_at: float = 0.0
    next_subscribe_at: float = 0.0  # 0: due in the first step
    next_heartbeat_at: float = math.inf
    timer_at: float = math.inf
