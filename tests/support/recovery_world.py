"""Membership surveys and load histories on a network in virtual time, with state folders, links and clients.

Each instance has its own monotonic clock, with an offset of up to years and a slightly different rate. A
client requests a load, and retries if it receives no result. The world counts the loads that actually ran.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cottonhold.fleet.recovery import (
    load_history,
    load_history_interface,
    local_loads,
    membership_survey,
    survey_results,
)
from cottonhold.fleet.recovery.messages import MemoryState, Presence, decode

LONGEST_DEADLINE_MS = 2000.0  # deadline of the clients' loads
RETENTION_MS = local_loads.retention_ms_for([LONGEST_DEADLINE_MS], slack_ms=2000.0)
SURVEY = survey_results.SurveySettings(
    recent_start_ms=12_000.0,
    lease_ms=3000.0,
    rebind_ms=3000.0,
    max_report_age_ms=2500.0,
    idle_interval_ms=500.0,
    retention_ms=RETENTION_MS,
)
HISTORY = load_history_interface.LoadHistorySettings(
    RETENTION_MS, retry_after_ms=300.0, max_unconfirmed_ms=1000.0
)


@dataclass
class Folder:
    """The state of an instance that survives its process."""

    boot_count: int = 0
    was_clean_shutdown: bool = True
    checkpoint: int = 0
    loads: dict[bytes, local_loads.LoadResult | None] = field(default_factory=dict)
    known: dict[int, survey_results.PeerBootCountLearned] = field(default_factory=dict)


@dataclass
class Node:
    """One process of an instance, with its clock."""

    number: int
    member: int
    survey: membership_survey.MembershipSurvey
    history: load_history.LoadHistory
    folder: Folder
    offset: float
    rate: float
    alive: bool = True
    views_seen: list[survey_results.SurveyView] = field(default_factory=list)
    duplicates_seen: list[bool] = field(default_factory=list)
    wake: float = math.inf

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate

    def world(self, clock: float) -> float:
        return (clock - self.offset) / self.rate


@dataclass
class Client:
    """A client that waits for a load; `answer` is its final answer."""

    load: bytes
    name: str
    answer: str = ""
    attempts: int = 0
    settled_at: float = math.inf


class World:
    """The whole model; `loss` and `duplicate_chance` are the shares of datagrams lost and duplicated."""

    def __init__(
        self, count: int, seed: int, zones: int = 3, loss: float = 0.0, duplicate_chance: float = 0.0
    ) -> None:
        self.count, self.draw, self.now = count, random.Random(seed), 0.0
        self.loss, self.duplicate_chance = loss, duplicate_chance
        self.zones = {n: f"z{n % zones}" for n in range(count)}
        self.folders = {n: Folder() for n in range(count)}
        self.earlier: dict[int, list[Folder]] = {n: [] for n in range(count)}
        self.nodes: dict[int, Node] = {}
        self.twins: list[Node] = []
        self.cut_links: set[frozenset[int]] = set()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.names = itertools.count(), itertools.count()
        self.runs: Counter[bytes] = Counter()
        self.clients: list[Client] = []
        self.waits: dict[str, Client] = {}
        self.violations: list[str] = []

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(when, self.now), next(self.order), what))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    def start(self, *numbers: int, folder: str = "kept", twin: bool = False) -> None:
        for number in numbers:
            if folder == "empty":
                self.folders[number] = Folder(was_clean_shutdown=False)
            elif folder == "old" and self.earlier[number]:
                self.folders[number] = copy.deepcopy(self.earlier[number][-1])
            self._start(number, twin)

    def _start(self, number: int, twin: bool) -> None:
        folder = self.folders[number]
        self.earlier[number].append(copy.deepcopy(folder))
        with_boot_count = MemoryState.INTACT if folder.checkpoint else MemoryState.STALE
        memory = with_boot_count if folder.boot_count else MemoryState.EMPTY
        folder.boot_count += 1
        offset, rate = self.draw.uniform(-1e11, 1e11), self.draw.uniform(0.998, 1.002)
        clock = offset + self.now * rate
        recorded = [local_loads.RecordedLoad(load, how) for load, how in folder.loads.items()]
        known_boot_counts = {n: hint.boot_count for n, hint in folder.known.items()}
        known_checkpoints = {n: hint.checkpoint for n, hint in folder.known.items()}
        incarnation, seed = self.draw.getrandbits(32), self.draw.getrandbits(32)
        node = Node(
            number,
            1000 + number,
            membership_survey.MembershipSurvey(
                number,
                self.count,
                self.zones,
                folder.boot_count,
                incarnation,
                memory,
                folder.was_clean_shutdown,
                known_boot_counts,
                clock,
                SURVEY,
                folder.checkpoint,
                known_checkpoints,
            ),
            load_history.LoadHistory(number, self.count, folder.boot_count, clock, recorded, HISTORY, seed),
            folder,
            offset,
            rate,
        )
        folder.was_clean_shutdown = False
        if twin:
            self.twins.append(node)
        else:
            self.nodes[number] = node
        self._tick(node)

    def kill(self, *numbers: int, clean: bool = False) -> None:
        for number in numbers:
            node = self.nodes[number]
            node.alive, node.folder.was_clean_shutdown = False, clean
            for client in [x for x in self.waits.values() if x.name.startswith(f"{number}/")]:
                del self.waits[client.name]
                self._retry_later(client)

    def partition(self, *sides: Iterable[int]) -> None:
        """Split the network, so that only instances of the same side reach each other."""
        where = {n: i for i, side in enumerate(sides) for n in side}
        pairs = itertools.combinations(range(self.count), 2)
        self.cut_links = {frozenset(pair) for pair in pairs if where.get(pair[0]) != where.get(pair[1])}

    def live_nodes(self) -> list[Node]:
        return [n for n in [*self.nodes.values(), *self.twins] if n.alive]

    def _tick(self, node: Node) -> None:
        if not node.alive:
            return
        clock = node.clock(self.now)
        node.survey.set_members(clock, [1000 + n for n in range(self.count) if n != node.number])
        if node.history.has_pending:
            node.survey.expedite(clock)
        self._execute(node, node.survey.step(clock))
        self._execute_history(node, node.history.step(clock, self._fleet_state(node)))
        self._schedule(node)

    def _fleet_state(self, node: Node) -> load_history_interface.FleetState:
        clock, survey = node.clock(self.now), node.survey
        silent = survey.proven_silent(clock)
        is_partitioned = survey.is_partitioned(silent)
        return load_history_interface.FleetState(
            survey.may_send_loads(clock),
            survey.has_confirmed_memory(),
            survey.memory,
            silent,
            is_partitioned,
        )

    def _schedule(self, node: Node) -> None:
        due = min(node.survey.next_at(), node.history.next_at())
        when = max(node.world(due), self.now + 1.0)
        if when < node.wake - 0.5 or node.wake <= self.now:
            node.wake = when
            self.at(when, lambda: self._tick(node) if node.wake == when else None)

    def _execute(self, node: Node, actions: list[survey_results.Action]) -> None:
        for action in actions:
            if isinstance(action, survey_results.SendSurveyMessage):
                self.send(node, action.member - 1000, action.data)
            elif isinstance(action, survey_results.RaiseBootCount):
                node.folder.boot_count = max(node.folder.boot_count, action.min_boot_count)
                node.survey.on_boot_count_stored(node.clock(self.now), action.min_boot_count)
            elif isinstance(action, survey_results.StoreCheckpoint):
                node.folder.checkpoint = action.checkpoint
                node.survey.on_checkpoint_stored(node.clock(self.now), action.checkpoint)
            elif isinstance(action, survey_results.PeerBootCountLearned):
                node.folder.known[action.number] = action
            elif isinstance(action, survey_results.ViewChanged):
                node.views_seen.append(action.view)
            else:
                node.duplicates_seen.append(action.is_later)

    def _execute_history(self, node: Node, actions: list[load_history_interface.Action]) -> None:
        for action in actions:
            if isinstance(action, load_history_interface.SendToDispatcher):
                self.send(node, action.number, action.data)
            else:
                client = self.waits.pop(action.request_id, None)
                if client is None:
                    node.history.cancel(node.clock(self.now), action.request_id)
                else:
                    self._settled(node, client, action.knowledge)

    def send(self, node: Node, number: int, data: bytes) -> None:
        assert len(data) <= 200
        for _ in range(1 + (self.draw.random() < self.duplicate_chance)):
            if self.draw.random() >= self.loss:
                delay = self.draw.uniform(0.2, 30.0)
                self.at(self.now + delay, lambda: self.deliver(node.member, node.number, number, data))

    def deliver(self, member: int, source: int, number: int, data: bytes) -> None:
        if frozenset((source, number)) in self.cut_links:
            return
        for node in [n for n in self.live_nodes() if n.number == number]:
            clock, message = node.clock(self.now), decode(data)
            if isinstance(message, Presence):
                node.survey.on_message(clock, member, message)
            else:
                of = node.survey.number_of(member)
                if of is not None:
                    self._execute_history(node, node.history.on_message(clock, of, message))
            self._schedule(node)

    def request_load(self, number: int, load: bytes, duration_ms: float, can_succeed: bool = True) -> Client:
        """Send a client's first request for a load.

        Args:
            number: Number of the instance that receives it.
            load: Identity of the load.
            duration_ms: Duration of the load, in ms.
            can_succeed: Whether the load may succeed; otherwise it ends as failed, and the client retries.
        """
        client = Client(load, f"{number}/{next(self.names)}")
        self.clients.append(client)
        node, took = self.nodes[number], False
        if node.alive and node.survey.may_send_loads(node.clock(self.now)):
            took = node.history.begin(node.clock(self.now), load)
        if took:
            self._sent(node, client, duration_ms, can_succeed)
        else:
            self._retry_later(client)
        return client

    def _sent(self, node: Node, client: Client, duration_ms: float, can_succeed: bool) -> None:
        node.folder.loads[client.load] = None
        node.history.on_sent(node.clock(self.now), client.load)
        self.runs[client.load] += 1
        if self.runs[client.load] > 1:
            self.violations.append(f"{client.load!r} was sent twice")
        self.waits[client.name] = client
        self.at(
            self.now + min(duration_ms, LONGEST_DEADLINE_MS),
            lambda: self._ended(node, client, can_succeed and duration_ms < LONGEST_DEADLINE_MS),
        )

    def _ended(self, node: Node, client: Client, succeeded: bool) -> None:
        if not node.alive:
            return
        result = local_loads.LoadResult.SUCCEEDED if succeeded else local_loads.LoadResult.FAILED
        node.folder.loads[client.load] = result
        node.history.on_ended(node.clock(self.now), client.load, result)
        if self.waits.pop(client.name, None) is not None:
            if succeeded:
                self._done(client, "ran")
            else:
                self._retry_later(client)

    def _retry_later(self, client: Client) -> None:
        """Retry at a random running instance, or give up."""
        there = [n.number for n in self.nodes.values() if n.alive]
        if client.attempts >= 6 or not there:
            self._done(client, "gave up")
            return
        client.attempts += 1
        number = self.draw.choice(there)
        self.at(self.now + self.draw.uniform(5, 300), lambda: self.retry(number, client))

    def retry(self, number: int, client: Client) -> None:
        node = self.nodes[number]
        if not node.alive:
            self._retry_later(client)
            return
        client.name = f"{number}/{next(self.names)}"
        clock = node.clock(self.now)
        known = node.history.on_retry(clock, client.name, client.load, clock + LONGEST_DEADLINE_MS)
        if known is None:
            self.waits[client.name] = client
            self._tick(node)
        else:
            self._settled(node, client, known)

    def _settled(self, node: Node, client: Client, known: local_loads.LoadKnowledge) -> None:
        if known is local_loads.LoadKnowledge.NEVER_SENT:
            if self.runs[client.load]:
                self.violations.append(f"{client.load!r} told NEVER at {node.number}, was sent")
            self._sent(node, client, 50.0, True)
        elif known is local_loads.LoadKnowledge.NOT_KNOWN_YET:
            client.answer = "NOT_KNOWN_YET"
            self.at(self.now + HISTORY.retry_after_ms, lambda: self._retry_later(client))
        else:
            if known is local_loads.LoadKnowledge.SUCCEEDED and not self.runs[client.load]:
                self.violations.append(f"{client.load!r} told WELL, never ran")
            self._done(client, known.name)

    def _done(self, client: Client, answer: str) -> None:
        client.answer, client.settled_at = answer, self.now

    def verdicts(self) -> set[survey_results.OutageVerdict]:
        return {node.survey.view.verdict for node in self.live_nodes()}


def settled(count: int, seed: int = 1, **links: float) -> World:
    """Return a fleet that has been up so long that no earlier outage affects it."""
    world = World(count, seed, **links)  # type: ignore[arg-type]
    world.start(*range(count), folder="kept")
    world.run(HISTORY.retention_ms + 1100.0)
    world.kill(*range(count), clean=True)  # the second start uses the folders of the first
    world.start(*range(count))
    world.run(SURVEY.recent_start_ms + 3000.0)
    return world


def client_retries(world: World, number: int, load: bytes) -> Client:
    """Retry at an instance a load that another client requested before."""
    client = Client(load, "")
    client.attempts = 6
    world.clients.append(client)
    world.retry(number, client)
    return client
