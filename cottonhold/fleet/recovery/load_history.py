"""Decides whether a load that a client retries may already have run, from the records of all dispatchers.
Does no I/O.

A load is identified by its 16-byte `load_identity`. The life of a load at one instance:

    begin      before a load that isn't marked as a retry is recorded on disk and sent
    on_sent    when its record is durable and its first byte is sent
    on_ended   when it has ended; with NEVER_RAN also if nothing was sent after `begin`
    on_retry   for a client's retry, which is answered immediately or by a LoadSettled action
    cancel     when the client of a retry has disconnected, or the load will not be sent after all

`step` processes the findings of the membership survey; call it at `next_at` and after each step of the
survey. `on_message` processes messages of other dispatchers. Both return actions. While `has_pending`, call
the survey's `expedite`, because its proofs of silence must be newer than the retry.

Rule: if this instance has a record of the load, that record decides. Otherwise every other configured
dispatcher must either answer a query about this retry that it never sent the load, or be proven silent. A
dispatcher whose memory is empty or stale answers UNKNOWN for one retention after its start, never NEVER_SENT;
one whose memory nobody has confirmed yet answers NOT_KNOWN_YET.

Proof that no two dispatchers send one load: a dispatcher with a pending retry answers queries of others with
MAY_HAVE_RUN, unless theirs has priority; then it settles its own retry as MAY_HAVE_RUN. If two dispatchers
had both received NEVER_SENT from each other, each would have answered before it sent its own query, and so
each before the other, which is impossible (Ricart and Agrawala, "An Optimal Algorithm for Mutual Exclusion in
Computer Networks"). If a dispatcher is proven silent, more than half of the configured dispatchers have
reported so since the retry, and have answered. Two such queries have one of these in common, which answers
ALSO_QUERIED to the second; where any dispatcher is silent, ALSO_QUERIED is settled as MAY_HAVE_RUN. A first
request that is still queued here and that another dispatcher has queried is not sent: `begin` returns False.
"""

from __future__ import annotations

from collections.abc import Iterable

from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery.load_history_interface import (
    Action,
    FleetState,
    LoadHistorySettings,
    LoadSettled,
    SendToDispatcher,
)
from cottonhold.fleet.recovery.load_queries import QUERY_LIFETIME_RETRIES, LoadQueries, PendingRetry, priority
from cottonhold.fleet.recovery.local_loads import (
    LoadKnowledge,
    LoadResult,
    LocalLoads,
    QueriedLoad,
    RecordedLoad,
)
from cottonhold.fleet.recovery.messages import (
    LoadAnswer,
    LoadQuery,
    LoadStatement,
    LoadVerdict,
    MemoryState,
    OpenLoads,
    batches,
    encode,
)

CLEANUP_INTERVAL_MS = 1000.0


class LoadHistory:
    """One instance's load history.

    Args:
        number: This instance's number, from 0 to `dispatchers` - 1.
        boot_count: Boot count of this start.
        recorded: The loads that the state folder recorded before this start.
        seed: Seed for the serial numbers of queries.
    """

    def __init__(
        self,
        number: int,
        dispatchers: int,
        boot_count: int,
        now: float,
        recorded: Iterable[RecordedLoad],
        settings: LoadHistorySettings,
        seed: int,
    ) -> None:
        self.number, self.boot_count, self.settings = number, boot_count & MAX_UINT32, settings
        self.others = [n for n in range(dispatchers) if n != number]
        is_alone = dispatchers == 1
        self.fleet = FleetState(is_alone, is_alone, MemoryState.INTACT, {})
        self.local = LocalLoads(now, list(recorded), settings.retention_ms, settings.max_loads)
        self.pending: dict[bytes, PendingRetry] = {}
        self.granted: dict[bytes, str] = {}  # request that may send a load settled as NEVER_SENT, until sent
        self.load_by_request: dict[str, bytes] = {}
        self.queries = LoadQueries(self.boot_count, seed)
        self.announced, self.next_announcement = 0, now
        self.actions: list[Action] = []
        self.next_cleanup = now + CLEANUP_INTERVAL_MS
        self.counters = {"asks": 0, "void": 0, "full": 0}

    @property
    def has_pending(self) -> bool:
        """Whether a retry waits for others' answers."""
        return bool(self.pending)

    def begin(self, now: float, load: bytes) -> bool:
        """Record that a load that isn't marked as a retry is about to be sent.

        Returns False if there is no capacity to record it, or if it must be queried first as a retry because
        it was queried already. Its client may then have given up here, and may run it elsewhere because of
        this instance's answer.
        """
        if load in self.local.queried or load in self.granted:
            return False
        if self.local.is_full(load):
            self.counters["full"] += 1
            return False
        self.local.begin(load)
        return True

    def on_sent(self, now: float, load: bytes) -> None:
        """Record that a load is being sent, after `begin` or after its retry was answered NEVER_SENT."""
        request_id = self.granted.pop(load, None)
        if request_id is not None:
            self.load_by_request.pop(request_id, None)
            self.local.begin(load)

    def on_ended(self, now: float, load: bytes, result: LoadResult) -> None:
        """Record the result of one run of a load."""
        self.local.end(now, load, result)

    def on_retry(self, now: float, request_id: str, load: bytes, deadline: float) -> LoadKnowledge | None:
        """Return what is known of a load that a client retries.

        None means that others are queried first; then `step` or `on_message` returns a LoadSettled, at
        `deadline` at the latest. See LoadKnowledge for what the caller must do.
        """
        knowledge = self._knowledge(now, load)
        if knowledge is not None:
            return knowledge
        pending = self.pending.get(load)
        if pending is not None:
            pending.deadlines[request_id], self.load_by_request[request_id] = deadline, load
            return None
        queried = None if self.local.is_full(load) else self.local.record_query(now, load, self.number)
        if queried is None or len(self.pending) >= self.settings.max_loads:
            self.counters["full"] += 1
            return LoadKnowledge.NOT_KNOWN_YET
        is_intact = self.fleet.memory is MemoryState.INTACT
        if not is_intact and self.local.may_predate_start(queried):
            return LoadKnowledge.MAY_HAVE_RUN
        self.load_by_request[request_id] = load
        if not self.others and self.fleet.may_send_loads:
            self.granted[load] = request_id
            return LoadKnowledge.NEVER_SENT
        query_at = dict.fromkeys(self.others, now)
        self.pending[load] = PendingRetry(now, {request_id: deadline}, query_at=query_at)
        return None

    def cancel(self, now: float, request_id: str) -> None:
        """Forget a retry whose client has disconnected or whose load will not be sent."""
        load = self.load_by_request.pop(request_id, None)
        if load is None:
            return
        if self.granted.get(load) == request_id:
            del self.granted[load]
        pending = self.pending.get(load)
        if pending is not None:
            pending.deadlines.pop(request_id, None)
            if not pending.deadlines:
                del self.pending[load]

    def answer_unavailable(self, now: float, load: bytes) -> LoadKnowledge:
        """Return the answer to a client's retry while this instance can't accept the load at all."""
        knowledge = self._knowledge(now, load)
        if knowledge is not None:
            return knowledge
        if self.local.record_query(now, load, self.number) is None:
            return LoadKnowledge.MAY_HAVE_RUN
        return self._unconfirmed_answer(now, load)

    def _knowledge(self, now: float, load: bytes) -> LoadKnowledge | None:
        """Return what this instance's own records decide; None if others must be queried."""
        return LoadKnowledge.MAY_HAVE_RUN if load in self.granted else self.local.knowledge(now, load)

    def on_message(
        self, now: float, number: int, message: LoadQuery | LoadAnswer | OpenLoads
    ) -> list[Action]:
        """Process a message of the dispatcher `number`, and return the actions that follow."""
        self.actions = []
        if number not in self.others:
            return []
        match message:
            case LoadQuery(boot_count, serial, loads):
                verdicts = [
                    LoadVerdict(i, self._statement(now, number, load)) for i, load in enumerate(loads)
                ]
                answer = LoadAnswer(boot_count, serial, tuple(verdicts))
                self.actions.append(SendToDispatcher(number, encode(answer)))
            case LoadAnswer():
                self._on_answer(now, number, message)
            case OpenLoads(loads):
                self.local.add_reported(now, loads)
        return self.actions

    def _statement(self, now: float, number: int, load: bytes) -> LoadStatement:
        """Return this instance's answer to another dispatcher that has a retry of a load.

        It is not NEVER_SENT for a load that may predate this start unless the memory is intact and
        confirmed, because the folder may lack records of what earlier boots sent.
        """
        queried = self.local.record_query(now, load, number)
        if queried is None:
            return LoadStatement.UNKNOWN  # NOT_KNOWN_YET would mean that this query has been recorded
        knowledge = self._knowledge(now, load)
        if knowledge is not None:
            succeeded = knowledge is LoadKnowledge.SUCCEEDED
            return LoadStatement.SUCCEEDED if succeeded else LoadStatement.MAY_HAVE_RUN
        if load in self.pending:
            if priority(self.number, load) > priority(number, load):
                return LoadStatement.MAY_HAVE_RUN
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
        if self.local.may_be_forgotten(now, queried):
            return LoadStatement.UNKNOWN
        if self.local.may_predate_start(queried):
            if self.fleet.memory is not MemoryState.INTACT:
                return LoadStatement.UNKNOWN
            if not self.fleet.has_confirmed_memory:
                return LoadStatement.NOT_KNOWN_YET
        has_other = bool(queried.dispatchers - {number})
        return LoadStatement.ALSO_QUERIED if has_other else LoadStatement.NEVER_SENT

    def _on_answer(self, now: float, number: int, answer: LoadAnswer) -> None:
        """Process an answer to a query of this boot; any other is ignored. An answer to a query from before
        the retry began is no longer binding for its sender."""
        query = self.queries.match(number, answer)
        if query is None:
            self.counters["void"] += 1
            return
        for verdict in answer.verdicts:
            load = query.loads[verdict.index] if verdict.index < len(query.loads) else b""
            pending = self.pending.get(load)
            if pending is None or query.sent_at < pending.started_at:
                continue
            pending.recorded_by.add(number)
            if verdict.statement is not LoadStatement.NOT_KNOWN_YET:
                pending.statements[number] = verdict.statement
                pending.query_at.pop(number, None)
                self._try_to_settle(now, load, pending)

    def next_at(self) -> float:
        """Return the time at which `step` must be called again."""
        times = [self.next_cleanup]
        if self._has_announcement():
            times.append(self.next_announcement)
        for pending in self.pending.values():
            times += [*pending.query_at.values(), *pending.deadlines.values()]
        return min(times)

    def step(self, now: float, fleet: FleetState) -> list[Action]:
        """Process the survey's findings and all expired timers; return the actions that follow."""
        self.actions, self.fleet = [], fleet
        if fleet.is_partitioned:
            self.local.partitioned_at = now
        for load, pending in list(self.pending.items()):
            self._try_to_settle(now, load, pending)
            if self.pending.get(load) is pending:
                self._expire_requests(now, load, pending)
        self._send_queries(now)
        self._announce(now)
        if now >= self.next_cleanup:
            self._clean_up(now)
        return self.actions

    def _clean_up(self, now: float) -> None:
        self.next_cleanup = now + CLEANUP_INTERVAL_MS
        self.local.expire(now, self.pending.keys() | self.granted.keys())
        self.queries.expire(now - QUERY_LIFETIME_RETRIES * self.settings.max_retry_ms)

    def _try_to_settle(self, now: float, load: bytes, pending: PendingRetry) -> None:
        """Settle a retry if the answers and the findings of the survey suffice."""
        statements = pending.statements.values()
        if LoadStatement.SUCCEEDED in statements:
            self._settle(load, LoadKnowledge.SUCCEEDED)
            return
        if LoadStatement.MAY_HAVE_RUN in statements:
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
            return
        unanswered = [number for number in self.others if number not in pending.statements]
        # A dispatcher that isn't proven silent may have sent the load and may answer soon.
        if not all(self._cannot_have_sent(n, pending.started_at, pending) for n in unanswered):
            return
        queried = self.local.queried[load]
        may_predate = self.local.may_predate_start(queried)
        if self._may_have_run(now, queried, pending, unanswered):
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
        elif self.fleet.may_send_loads and (self.fleet.has_confirmed_memory or not may_predate):
            self._settle(load, LoadKnowledge.NEVER_SENT)

    def _may_have_run(
        self, now: float, queried: QueriedLoad, pending: PendingRetry, unanswered: list[int]
    ) -> bool:
        """Return whether a load may have run although nobody reports it.

        This is so if a dispatcher answered UNKNOWN or this instance's own memory is not intact; if another
        dispatcher has queried the load too, and both may consider each other silent; or if the client has
        retried for so long that the sender, on either side of a partition, may have dropped its record.
        """
        statements = pending.statements.values()
        if LoadStatement.UNKNOWN in statements or self.local.may_be_forgotten(now, queried):
            return True
        if self.local.may_predate_start(queried) and self.fleet.memory is not MemoryState.INTACT:
            return True
        is_queried_by_others = bool(queried.dispatchers - {self.number})
        if unanswered and (LoadStatement.ALSO_QUERIED in statements or is_queried_by_others):
            return True
        return not all(self._cannot_have_sent(n, queried.first_at, pending) for n in unanswered)

    def _cannot_have_sent(self, number: int, first_query_at: float, pending: PendingRetry) -> bool:
        """Return whether a dispatcher is proven silent for so long before the first query that whatever it
        sent can't be the queried load."""
        silence = self.fleet.silent.get(number)
        if silence is None or silence.valid_until < pending.started_at:
            return False
        return silence.nothing_sent_after + self.settings.retention_ms < first_query_at

    def _settle(self, load: bytes, knowledge: LoadKnowledge) -> None:
        """Answer all requests that wait for a load; if nobody sent it, the first of them sends it."""
        for request_id in self.pending.pop(load).deadlines:
            if knowledge is not LoadKnowledge.NEVER_SENT:
                self._conclude(request_id, load, knowledge)
            elif load not in self.granted:
                self.granted[load] = request_id
                self.actions.append(LoadSettled(request_id, load, knowledge))
            else:
                self._conclude(request_id, load, LoadKnowledge.MAY_HAVE_RUN)

    def _expire_requests(self, now: float, load: bytes, pending: PendingRetry) -> None:
        """Answer clients whose deadline has passed."""
        for request_id in [i for i, deadline in pending.deadlines.items() if deadline <= now]:
            del pending.deadlines[request_id]
            self._conclude(request_id, load, self._unsettled_answer(now, load, pending))
        if not pending.deadlines:
            del self.pending[load]

    def _unsettled_answer(self, now: float, load: bytes, pending: PendingRetry) -> LoadKnowledge:
        """Return the answer to a retry that could not be settled before its deadline.

        A dispatcher that answered UNKNOWN may later answer NEVER_SENT for what it sent before it lost its
        memory, so the answer is MAY_HAVE_RUN. Otherwise the client may retry later if half of the fleet has
        recorded the retry: any set of dispatchers that settles it as NEVER_SENT includes one of these, which
        has recorded when the load was first queried.
        """
        if LoadStatement.UNKNOWN in pending.statements.values():
            return LoadKnowledge.MAY_HAVE_RUN
        is_noted = 2 * (1 + len(pending.recorded_by)) > len(self.others)
        return LoadKnowledge.NOT_KNOWN_YET if is_noted else self._unconfirmed_answer(now, load)

    def _unconfirmed_answer(self, now: float, load: bytes) -> LoadKnowledge:
        """Return the answer to a retry that too few others have recorded: the client may retry later, but not
        for long, since the sender of the load will drop its record."""
        queried_ms = now - self.local.queried[load].first_at
        may_retry = queried_ms <= self.settings.max_unconfirmed_ms
        return LoadKnowledge.NOT_KNOWN_YET if may_retry else LoadKnowledge.MAY_HAVE_RUN

    def _conclude(self, request_id: str, load: bytes, knowledge: LoadKnowledge) -> None:
        self.load_by_request.pop(request_id, None)
        may_retry = knowledge is LoadKnowledge.NOT_KNOWN_YET
        retry_after_ms = self.settings.retry_after_ms if may_retry else 0.0
        self.actions.append(LoadSettled(request_id, load, knowledge, retry_after_ms))

    def _send_queries(self, now: float) -> None:
        """Send all queries that are due, with as many loads in each message as fit."""
        loads_by_dispatcher: dict[int, list[bytes]] = {}
        for load, pending in self.pending.items():
            for number, query_at in pending.query_at.items():
                if query_at <= now:
                    retry_ms = pending.retry_ms.get(number, self.settings.retry_ms)
                    pending.retry_ms[number] = min(2 * retry_ms, self.settings.max_retry_ms)
                    pending.query_at[number] = now + retry_ms
                    loads_by_dispatcher.setdefault(number, []).append(load)
        for number, loads in loads_by_dispatcher.items():
            for query in self.queries.create(now, number, loads):
                self.actions.append(SendToDispatcher(number, encode(query)))
                self.counters["asks"] += 1

    def _has_announcement(self) -> bool:
        return bool(self.local.unfinished) and self.announced < self.settings.announcements

    def _announce(self, now: float) -> None:
        """Announce the loads of earlier boots whose end is not known, if an announcement is due."""
        if not self._has_announcement() or now < self.next_announcement:
            return
        self.announced += 1
        self.next_announcement = now + self.settings.max_retry_ms
        for batch in batches(self.local.unfinished):
            data = encode(OpenLoads(batch))
            self.actions += [SendToDispatcher(number, data) for number in self.others]
