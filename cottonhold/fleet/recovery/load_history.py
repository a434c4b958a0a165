"""Which loads may have run, as far as any dispatcher of the fleet remembers. Pure.

A load is known by its `load_identity`, 16 bytes. The caller says what happens to it here:

    begin(now, load)           before its record is made durable, for a request that is not marked as a retry.
                               False: it must be queried first, as if it were marked
    on_sent(now, load)         its record is durable and its first byte is sent now
    on_ended(now, load, result)
                               its end; NEVER_RAN with proof of that (also where nothing was sent after
                               `begin`)
    on_retry(now, request_id, load, deadline)
                               a client's retry. Known at once, or None: then a LoadSettled follows from
                               `step` or `on_message`, at the client's deadline at the latest
    cancel(now, request_id)    its client has left, or the load will not be sent after all

and what the membership survey found: `step(now, FleetState(...))`, at `next_at` and after each step of the
survey. `on_message(now, number, message)` takes others' messages, by the number that the survey bound the
sender to. Both return actions. LoadKnowledge: SUCCEEDED; MAY_HAVE_RUN: it is failed and never sent;
NEVER_SENT: it is this instance's to send at once (`on_sent` follows, or `cancel`); NOT_KNOWN_YET within the
client's deadline: it is rejected and may be retried after `retry_after_ms`.

Rule: an own record decides at once. Else every other configured dispatcher has to have said that it never
sent it, on a query of this very retry, or to be proven silent. One whose memory is empty or stale says
UNKNOWN for a retention after its start, never NEVER_SENT; one whose memory nobody has confirmed yet says
NOT_KNOWN_YET. While `has_pending`, the survey has to `expedite`: what it says of silent ones must be newer
than the retry.

No two send one load (proof). Whoever has a retry pending answers others' queries with MAY_HAVE_RUN, unless
theirs ranks higher (by a hash of number and load): then it gives its own up, as MAY_HAVE_RUN. Of two that
both got the other's NEVER_SENT, each would have answered before it began to query and so each before the
other (Ricart and Agrawala, "An Optimal Algorithm for Mutual Exclusion in Computer Networks"). Where one is
taken for silent, more than half of the configured ones have said so since, and have answered; two such
queries meet at one of these, and the second is answered ALSO_QUERIED, which is MAY_HAVE_RUN where anybody is
silent. A first request that is queued here and that another has queried is not sent: `begin` is False.

Retention: a client sends its first request at t and waits for at most the longest deadline L; at t + L at the
latest it knows that its load failed, and retries; that retry waits for at most L too. So what was sent at t
is queried until t + 2 L, and a slack covers retries after a pause. A retry that was answered NOT_KNOWN_YET
may be repeated after that: so a retry counts from the first time it was known, here or where it is queried.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery.load_history_interface import (
    Action,
    FleetState,
    LoadHistorySettings,
    LoadSettled,
    SendToDispatcher,
)
from cottonhold.fleet.recovery.load_queries import QUERY_LIFETIME_RETRIES, LoadQueries, PendingRetry
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
    """One instance's side. number: its own, of 0 to `dispatchers` - 1; boot_count: of this start; recorded:
    the folder's loads; seed: for serials."""

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
        self.granted: dict[bytes, str] = {}  # settled as NEVER_SENT, and not sent yet: by which request
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
        """A load that isn't marked as a retry is about to be made durable and sent. False if another has
        queried it: its client may have given up here, and it runs elsewhere by this instance's answer."""
        if load in self.local.queried or load in self.granted:
            return False
        if self.local.is_full(load):
            self.counters["full"] += 1
            return False
        self.local.begin(load)
        return True

    def on_sent(self, now: float, load: bytes) -> None:
        """It is sent now: after `begin`, or after a retry was answered NEVER_SENT."""
        request_id = self.granted.pop(load, None)
        if request_id is not None:
            self.load_by_request.pop(request_id, None)
            self.local.begin(load)

    def on_ended(self, now: float, load: bytes, result: LoadResult) -> None:
        """A run has ended."""
        self.local.end(now, load, result)

    def on_retry(self, now: float, request_id: str, load: bytes, deadline: float) -> LoadKnowledge | None:
        """A client's retry of a load. None: a LoadSettled follows."""
        knowledge = self._knowledge(now, load)
        if knowledge is not None:
            return knowledge
        pending = self.pending.get(load)
        if pending is not None:
            pending.deadlines[request_id], self.load_by_request[request_id] = deadline, load
            return None
        queried = None if self.local.is_full(load) else self.local.note_query(now, load, self.number)
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
        """Whoever sent a retry went away."""
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
        """The answer to a client's retry while this instance can't accept its load at all."""
        knowledge = self._knowledge(now, load)
        if knowledge is not None:
            return knowledge
        if self.local.note_query(now, load, self.number) is None:
            return LoadKnowledge.MAY_HAVE_RUN
        return self._unconfirmed(now, load)

    def _knowledge(self, now: float, load: bytes) -> LoadKnowledge | None:
        """What this instance knows without a query, if that decides."""
        return LoadKnowledge.MAY_HAVE_RUN if load in self.granted else self.local.knowledge(now, load)

    def on_message(
        self, now: float, number: int, message: LoadQuery | LoadAnswer | OpenLoads
    ) -> list[Action]:
        """A message of another dispatcher."""
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
        """What this instance says of a load to another that has a retry of it.

        Never NEVER_SENT from an empty folder, which has no record of what its last boot sent.
        """
        queried = self.local.note_query(now, load, number)
        if queried is None:
            return LoadStatement.UNKNOWN  # nothing is noted of it here, while NOT_KNOWN_YET says that it is
        knowledge = self._knowledge(now, load)
        if knowledge is not None:
            succeeded = knowledge is LoadKnowledge.SUCCEEDED
            return LoadStatement.SUCCEEDED if succeeded else LoadStatement.MAY_HAVE_RUN
        if load in self.pending:
            if _rank(self.number, load) > _rank(number, load):
                return LoadStatement.MAY_HAVE_RUN
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
        if self.local.is_late(now, queried):
            return LoadStatement.UNKNOWN
        if self.local.may_predate_start(queried):
            if self.fleet.memory is not MemoryState.INTACT:
                return LoadStatement.UNKNOWN
            if not self.fleet.has_confirmed_memory:
                return LoadStatement.NOT_KNOWN_YET
        has_other = bool(queried.dispatchers - {number})
        return LoadStatement.ALSO_QUERIED if has_other else LoadStatement.NEVER_SENT

    def _on_answer(self, now: float, number: int, answer: LoadAnswer) -> None:
        """An answer; void where it is of no query of this boot. One to a query from before the retry began
        doesn't bind whoever gave it any more."""
        query = self.queries.match(number, answer)
        if query is None:
            self.counters["void"] += 1
            return
        for verdict in answer.verdicts:
            load = query.loads[verdict.index] if verdict.index < len(query.loads) else b""
            pending = self.pending.get(load)
            if pending is None or query.sent_at < pending.started_at:
                continue
            pending.noted_by.add(number)
            if verdict.statement is not LoadStatement.NOT_KNOWN_YET:
                pending.statements[number] = verdict.statement
                pending.query_at.pop(number, None)
                self._try_to_settle(now, load, pending)

    def next_at(self) -> float:
        """When `step` is due."""
        times = [self.next_cleanup]
        if self._has_announcement():
            times.append(self.next_announcement)
        for pending in self.pending.values():
            times += [*pending.query_at.values(), *pending.deadlines.values()]
        return min(times)

    def step(self, now: float, fleet: FleetState) -> list[Action]:
        """Time has passed, or the survey found something."""
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
        """Settle a retry as soon as what is known decides."""
        statements = pending.statements.values()
        if LoadStatement.SUCCEEDED in statements:
            self._settle(load, LoadKnowledge.SUCCEEDED)
            return
        if LoadStatement.MAY_HAVE_RUN in statements:
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
            return
        unanswered = [number for number in self.others if number not in pending.statements]
        # One that isn't proven silent may have sent it, and be back with its record in a moment.
        if not all(self._cannot_have_sent(n, pending.started_at, pending) for n in unanswered):
            return
        queried = self.local.queried[load]
        may_predate = self.local.may_predate_start(queried)
        if self._is_in_doubt(now, queried, pending, unanswered):
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
        elif self.fleet.may_send_loads and (self.fleet.has_confirmed_memory or not may_predate):
            self._settle(load, LoadKnowledge.NEVER_SENT)

    def _is_in_doubt(
        self, now: float, queried: QueriedLoad, pending: PendingRetry, unanswered: list[int]
    ) -> bool:
        """Whether a load may have run though nobody says so.

        One that answers doesn't know, or this instance's own memory is not intact. Or another has queried it
        too, and both take each other for silent. Or the client has retried for so long that the sender, on
        either side of a partition, may have forgotten its load.
        """
        statements = pending.statements.values()
        if LoadStatement.UNKNOWN in statements or self.local.is_late(now, queried):
            return True
        if self.local.may_predate_start(queried) and self.fleet.memory is not MemoryState.INTACT:
            return True
        is_queried_by_others = bool(queried.dispatchers - {self.number})
        if unanswered and (LoadStatement.ALSO_QUERIED in statements or is_queried_by_others):
            return True
        return not all(self._cannot_have_sent(n, queried.first_at, pending) for n in unanswered)

    def _cannot_have_sent(self, number: int, first_query_at: float, pending: PendingRetry) -> bool:
        """Whether a dispatcher is proven silent since so long before the first query that whatever it sent
        can't be the load in question."""
        silence = self.fleet.silent.get(number)
        if silence is None or silence.valid_until < pending.started_at:
            return False
        return silence.nothing_sent_after + self.settings.retention_ms < first_query_at

    def _settle(self, load: bytes, knowledge: LoadKnowledge) -> None:
        """All that wait for a load learn what is known; where nobody sent it, the first of them sends it."""
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
            self._conclude(request_id, load, self._unsettled(now, load, pending))
        if not pending.deadlines:
            del self.pending[load]

    def _unsettled(self, now: float, load: bytes, pending: PendingRetry) -> LoadKnowledge:
        """The answer to a retry that could not be settled in time.

        One that doesn't know may say NEVER_SENT later on, of what it sent before it lost its memory: so the
        load is given up. Else the client may retry later, if half of the fleet knows of its retry: they are
        among any that can settle it as NEVER_SENT, and say then for how long it has been queried.
        """
        if LoadStatement.UNKNOWN in pending.statements.values():
            return LoadKnowledge.MAY_HAVE_RUN
        is_noted = 2 * (1 + len(pending.noted_by)) > len(self.others)
        return LoadKnowledge.NOT_KNOWN_YET if is_noted else self._unconfirmed(now, load)

    def _unconfirmed(self, now: float, load: bytes) -> LoadKnowledge:
        """The answer to a retry that too few others know of: to retry later, but not for long, since
        whoever sent its load will forget it."""
        queried_ms = now - self.local.queried[load].first_at
        may_retry = queried_ms <= self.settings.max_unconfirmed_ms
        return LoadKnowledge.NOT_KNOWN_YET if may_retry else LoadKnowledge.MAY_HAVE_RUN

    def _conclude(self, request_id: str, load: bytes, knowledge: LoadKnowledge) -> None:
        self.load_by_request.pop(request_id, None)
        may_retry = knowledge is LoadKnowledge.NOT_KNOWN_YET
        retry_after_ms = self.settings.retry_after_ms if may_retry else 0.0
        self.actions.append(LoadSettled(request_id, load, knowledge, retry_after_ms))

    def _send_queries(self, now: float) -> None:
        """All queries that are due, a message for as many loads as fit."""
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
        return bool(self.local.open) and self.announced < self.settings.announcements

    def _announce(self, now: float) -> None:
        """Announce at once which loads of earlier boots have no end."""
        if not self._has_announcement() or now < self.next_announcement:
            return
        self.announced += 1
        self.next_announcement = now + self.settings.max_retry_ms
        for batch in batches(self.local.open):
            data = encode(OpenLoads(batch))
            self.actions += [SendToDispatcher(number, data) for number in self.others]


def _rank(number: int, load: bytes) -> bytes:
    """Which of two dispatchers with the same pending load goes on: the higher one; each as often as the
    other."""
    return hashlib.blake2b(number.to_bytes(2, "big") + load, digest_size=8).digest()
