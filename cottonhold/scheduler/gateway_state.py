"""The working state of one gateway's decisions, shared by all parts of this package.

Each part is a module of functions that take this state first; the comments name the parts that
write the fields below them. No decision is made here.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from cottonhold.scheduler.actions import Action
from cottonhold.scheduler.class_history import Learned
from cottonhold.scheduler.events import AdmissionThreshold
from cottonhold.scheduler.in_flight import Pool
from cottonhold.scheduler.moving_average import Rate, Traffic, Window
from cottonhold.scheduler.parameters import PEER_GAP_MOST_MS, TRAFFIC_MEMORY_MS, TRAFFIC_YOUNG_MS
from cottonhold.scheduler.queues import Deadlines, Turns
from cottonhold.scheduler.settings import Settings
from cottonhold.scheduler.state import EngineView, Peers, Query


@dataclass(slots=True, eq=False)
class GatewayState:
    """What one gateway knows, owes and has out, and the actions of the step under way."""

    settings: Settings
    random: random.Random

    # the step under way (scheduler)
    now: float = 0.0
    begun: bool = False  # there has been a step
    actions: list[Action] = field(default_factory=list)
    changed: bool = False  # something happened that may let a held query go
    slack: float = 0.0  # ms before a deadline at which a query without an attempt out is answered

    # queries, by id (admission)
    queries: dict[str, Query] = field(default_factory=dict)
    homeless: dict[str, Query] = field(default_factory=dict)  # those that no engine may take now
    deadlines: Deadlines = field(default_factory=Deadlines)
    turns: Turns = field(default_factory=Turns)
    serial: Iterator[int] = field(default_factory=itertools.count)
    threshold: AdmissionThreshold = field(default_factory=lambda: AdmissionThreshold(is_fleet_wide=False))

    # attempts and the allowance of further ones (retry)
    extra: Window = field(default_factory=Window)
    taken: Window = field(default_factory=Window)

    # engines, by id (engine list and health)
    engines: dict[str, EngineView] = field(default_factory=dict)
    active: dict[str, EngineView] = field(default_factory=dict)  # those that hold or run something of ours
    doubted: dict[str, EngineView] = field(default_factory=dict)
    best: float = 0.0  # best rate of the fleet seen lately, in ms of work a thread ms
    probes: float = 0.0  # probes that may be sent now
    probe_part: float = 0.0  # probes that each query taken adds

    relisted: dict[str, EngineView] = field(default_factory=dict)  # told of since room was counted
    leaving: dict[str, EngineView] = field(default_factory=dict)  # gone from the list with attempts out

    # capacity: what the live engines have room for, and this gateway's part of it (capacity)
    live: list[EngineView] = field(default_factory=list)
    ranked: list[EngineView] = field(default_factory=list)  # in an order that is the same at every gateway
    by_code: dict[int, list[EngineView]] = field(default_factory=dict)  # as messages name them
    counted_at: float = -math.inf  # when all room was last counted
    sound: int = 0  # engines that were sound then
    near: list[EngineView] = field(default_factory=list)  # those that queries are drawn to
    mine: set[str] = field(default_factory=set)  # ids of the engines that this gateway draws on
    reach: float = 1.0  # its part of what each of those is sent
    ring: list[EngineView] = field(default_factory=list)
    homes: dict[int, list[EngineView]] = field(default_factory=dict)
    blind: float = 1.0  # how little is heard of each engine: 0 for all of it, 1 for nothing
    alike: float = 0.0  # queries that others send for each of this gateway's own on the same engine
    full_room: float = 1.0  # threads, of all live engines
    full_memory: float = 1.0  # MB, of all live engines
    own_room: float = 1.0  # threads, this gateway's share
    pool: Pool = field(default_factory=Pool)
    pool_rest: float = 0.0  # until when no query wider than the own share follows another
    unseen: list[tuple[float, Query]] = field(default_factory=list)  # timed out; may run on until then

    # what was asked for (slow start)
    mean_work: float = 0.0  # ms, of the queries taken lately
    arrivals: int = 0  # queries that it is the mean of

    # what answers and reports taught (learning)
    classes: list[Learned] = field(default_factory=list)
    tenants: list[Traffic] = field(default_factory=list)
    fleet: Rate = field(default_factory=Rate)
    util: float = 1.0  # reported share of cores busy, smoothed over the fleet

    # other gateways (peers)
    traffic: Traffic = field(default_factory=lambda: Traffic(TRAFFIC_MEMORY_MS, TRAFFIC_YOUNG_MS))
    share: float = 1.0  # this gateway's share of all traffic
    peers: Peers = field(default_factory=Peers)
    gap: float = PEER_GAP_MOST_MS  # ms between messages on loads
    heard_at: float = -math.inf
    heard: bool = False  # peers tell of their loads

    # when something is due next (timeouts)
    next_peer: float = 0.0
    next_replan: float = 0.0
    next_ask: float = 0.0  # the list is asked for in the first step
    next_beat: float = math.inf
    wake_at: float = math.inf
