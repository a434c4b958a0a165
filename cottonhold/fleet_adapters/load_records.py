"""The gateway's load guard: records loads on disk before they are sent, and queries others about retries.

The load history decides whether a load may be sent, and the store reports what is durable. A load that can't
be recorded is rejected here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.recovery.load_history import LoadHistory
from cottonhold.fleet.recovery.load_history_interface import Action, LoadSettled
from cottonhold.fleet.recovery.local_loads import LoadKnowledge, LoadResult
from cottonhold.fleet_adapters.load_conversions import (
    EXPIRE_INTERVAL_MS,
    NEVER_RAN,
    STATE_OF_RESULT,
    identity_of,
    outcome_of,
)
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome, LoadOutcomeCallback
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.store.health import DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import LoadRecord, LoadState, Record, RecordKind, evict_loads

DIGEST_BYTES = 8  # length of the prefix of a load's identity that its record stores as the statement's digest


@dataclass(slots=True, eq=False)
class LoadRun:
    """The execution of a request's load, from its first attempt to its end."""

    load: bytes  # identity of the load
    is_begun: bool = False  # the history has recorded the load as sent
    is_attempt_in_flight: bool = False
    is_closed: bool = False  # the client has the final response or has disconnected


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A load that waits for the result of an earlier retry with the same ordering key."""

    request: ClientRequest
    deadline: float  # ms of the clock
    on_settled: LoadOutcomeCallback


class SettlementWaiter(NamedTuple):
    """The callback for the outcome of a retry's earlier executions."""

    on_settled: LoadOutcomeCallback
    may_report_success: bool  # whether a success may be reported to the client without the result


class LoadRecorder:
    """Implements `LoadGuard` (node/load_guard.py) on top of the load history and the ledger.

    Args:
        records: The loads recorded in the state folder, by identity.
        classes: Indexes of the guarded classes, and whether a success may be reported without the result.
        retention_ms: Time after sending during which a load can still be queried, in ms.
        now: Returns the time of this process's clock, in ms.
        disk_now: Returns the time of the ledger's clock, in ms.
        call_in: Calls a function after a delay in ms.
        call_in_loop: Calls a function in the event loop's thread; may be called in any thread.
        may_send_loads: Returns whether this instance may send loads now.
        execute: Executes actions of the load history.
    """

    def __init__(
        self,
        history: LoadHistory,
        ledger: Ledger,
        records: dict[bytes, LoadRecord],
        classes: Mapping[int, bool],
        retention_ms: float,
        now: Callable[[], float],
        disk_now: Callable[[], float],
        call_in: Callable[[float, Callable[[], None]], object],
        call_in_loop: Callable[[Callable[[], None]], object],
        may_send_loads: Callable[[], bool],
        execute: Callable[[Iterable[Action]], None],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.history, self.ledger, self.records, self.classes = history, ledger, records, classes
        self.retention_ms, self.now, self.disk_now, self.call_in, self.call_in_loop = (
            retention_ms,
            now,
            disk_now,
            call_in,
            call_in_loop,
        )
        self.may_send_loads, self.execute, self.counters, self.log = may_send_loads, execute, counters, log
        self.started_at = self.expired_at = now()
        self.runs: dict[str, LoadRun] = {}  # by request id
        self.pending: dict[str, SettlementWaiter] = {}  # by request id
        self.queues: dict[str, deque[QueuedRequest]] = {}  # by ordering key of a retry without an outcome yet
        self.ordering_key_by_retry: dict[str, str] = {}  # by request id
        self.disk_state = DiskState.HEALTHY

    def guards(self, query_class: int) -> bool:
        """Return whether requests of a class are recorded."""
        return query_class in self.classes

    def on_load_arrived(
        self, client_request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        """Reject a load that can't be recorded, queue it behind a retry, or look up its earlier executions.

        A load is queued while a retry with its ordering key has no outcome yet, so that loads run in order.
        """
        if self._reject_unrecordable(client_request, on_outcome):
            return
        key = client_request.ordering_key
        if key is not None and key in self.queues:
            queued = QueuedRequest(client_request, deadline, on_outcome)
            self.queues[key].append(queued)
            self.call_in(max(deadline - self.now(), 0.0), lambda: self._on_queue_timeout(queued))
        else:
            self._query(client_request, deadline, on_outcome)

    def _reject_unrecordable(self, request: ClientRequest, on_settled: LoadOutcomeCallback) -> bool:
        """Reject a request whose load can't be recorded or may not be sent now; return whether it did.

        The history records a retry, and limits how long its client is told to retry later.
        """
        can_record = self._check_disk() is DiskState.HEALTHY
        if can_record and (request.is_retry or self.may_send_loads()):
            return False
        self.counters.add("loads_unheard" if can_record else "loads_unkept")
        knowledge = LoadKnowledge.NOT_KNOWN_YET
        if request.is_retry:
            knowledge = self.history.answer_unavailable(self.now(), identity_of(request))
        outcome = outcome_of(knowledge, self.classes[request.query_class])
        on_settled(outcome, self.history.settings.retry_after_ms)
        return True

    def _query(self, request: ClientRequest, deadline: float, on_settled: LoadOutcomeCallback) -> None:
        """Query the other instances about a retry; a load that is no retry may be sent right away."""
        if not request.is_retry:
            on_settled(LoadOutcome.NEVER_RAN, 0.0)
            return
        self.counters.add("loads_asked")
        request_id, key = request.request_id, request.ordering_key
        self.pending[request_id] = SettlementWaiter(on_settled, self.classes[request.query_class])
        knowledge = self.history.on_retry(self.now(), request_id, identity_of(request), deadline)
        if knowledge is not None:
            self._answer(request_id, knowledge, self.history.settings.retry_after_ms)
            return
        if key is not None:
            self.ordering_key_by_retry[request_id] = key
            self.queues[key] = deque()
        self.execute(())

    def _on_queue_timeout(self, queued: QueuedRequest) -> None:
        """Answer that the client must retry later if its request is still queued at its deadline."""
        queue = self.queues.get(queued.request.ordering_key or "", deque())
        if queued in queue:
            queue.remove(queued)
            queued.on_settled(LoadOutcome.NOT_KNOWN_YET, self.history.settings.retry_after_ms)

    def _release_queue(self, request_id: str) -> None:
        """Process the loads that were queued behind a retry, up to the next retry with the same key."""
        key = self.ordering_key_by_retry.pop(request_id, None)
        queue = self.queues.pop(key, None) if key is not None else None
        while queue:
            queued = queue.popleft()
            self._query(queued.request, queued.deadline, queued.on_settled)
            if key in self.queues:
                self.queues[key].extend(queue)
                return

    def before_attempt_sent(
        self, attempt: Attempt, client_request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        """Record an attempt, and call `on_recorded` once the record is durable.

        The history records the load as sent before the write: an instance that queries it during the write
        must not get the answer that it was never sent.
        """
        now = self.now()
        run = self.runs.setdefault(client_request.request_id, LoadRun(identity_of(client_request)))
        if not run.is_begun:
            if run.load in self.history.granted and client_request.is_retry:
                self.history.on_sent(now, run.load)
            elif not self.history.begin(now, run.load):
                self.counters.add("loads_asked_elsewhere")
                on_recorded(False)
                return
            run.is_begun = True
        run.is_attempt_in_flight = True
        record = LoadRecord(
            identity=run.load,
            request_id=client_request.request_id,
            ordering_key=client_request.ordering_key or "",
            statement_digest=run.load[:DIGEST_BYTES],
            engine=attempt.engine,
            boot_count=self.ledger.boot_count,
            sent_at_ms=now,
            state=LoadState.SENT,
        )
        self.records[run.load] = record

        def on_written(durable: bool) -> None:
            self.call_in_loop(lambda: on_recorded(durable))

        self.ledger.put([record.to_record()], on_written)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Record the outcome of an attempt; None if the attempt was never started."""
        run = self.runs.get(attempt.request_id)
        if run is None:
            return
        run.is_attempt_in_flight = False
        if outcome not in NEVER_RAN:
            result = LoadResult.SUCCEEDED if outcome is Outcome.OK else LoadResult.FAILED
            self._finish(attempt.request_id, run, result)
        elif run.is_closed:
            self._finish(attempt.request_id, run, LoadResult.NEVER_RAN)

    def on_request_closed(self, request_id: str) -> None:
        """Record that a client has its final response; an attempt of the request may still be in flight."""
        self.pending.pop(request_id, None)
        self.history.cancel(self.now(), request_id)
        self._release_queue(request_id)
        run = self.runs.get(request_id)
        if run is not None and run.is_attempt_in_flight:
            run.is_closed = True
        elif run is not None:
            self._finish(request_id, run, LoadResult.NEVER_RAN)

    def on_settled(self, action: LoadSettled) -> None:
        """Report the outcome of a retry's earlier executions to the gateway."""
        self._answer(action.request_id, action.knowledge, action.retry_after_ms)

    def _finish(self, request_id: str, run: LoadRun, result: LoadResult) -> None:
        """Record the result of a request's load.

        Several requests may carry the same load: its record is closed once none of its runs is open.
        """
        del self.runs[request_id]
        if not run.is_begun:
            return
        now = self.now()
        self.history.on_ended(now, run.load, result)
        record, entry = self.records.get(run.load), self.history.local.entries.get(run.load)
        if record is not None and (entry is None or not entry.open_runs):
            self.records[run.load] = ended = replace(record, state=STATE_OF_RESULT[result], ended_at_ms=now)
            self.ledger.put([ended.to_record()])

    def _answer(self, request_id: str, knowledge: LoadKnowledge, retry_after_ms: float) -> None:
        pending = self.pending.pop(request_id, None)
        if pending is None:
            self.history.cancel(self.now(), request_id)
            return
        pending.on_settled(outcome_of(knowledge, pending.may_report_success), retry_after_ms)
        self._release_queue(request_id)

    def _check_disk(self) -> DiskState:
        """Return the state of the disk; count and log a change."""
        health = self.ledger.health(self.disk_now())
        if health.state is not self.disk_state:
            self.disk_state = health.state
            self.counters.add(f"disk_{health.state.value}")
            self.log("disk_state_changed", state=health.state.value, reason=health.reason)
        return self.disk_state

    def expire(self) -> None:
        """Remove records of loads that can't be queried any more; does so once a second at most."""
        now = self.now()
        if now - self.expired_at < EXPIRE_INTERVAL_MS:
            return
        self.expired_at = now
        self._check_disk()
        evicted = evict_loads(
            self.records.values(),
            now_ms=now,
            boot_count=self.ledger.boot_count,
            boot_started_at_ms=self.started_at,
            retention_ms=self.retention_ms,
            free_slots=0,
        )
        if evicted.early_count:
            self.counters.add("loads_forgotten_early", evicted.early_count)
        # A load that the history still holds can be queried, also after a power loss.
        known = self.history.local.entries
        keys = [key for key in evicted.keys if evicted.early_count or key not in known]
        if keys and self.disk_state is DiskState.HEALTHY:
            self._remove(keys)

    def _remove(self, keys: Iterable[bytes]) -> None:
        """Remove records from disk; restore the entries of those that can't be removed, to retry later."""
        removed = {key: self.records.pop(key) for key in keys}

        def on_written(durable: bool) -> None:
            if not durable:
                self.call_in_loop(lambda: self._restore(removed))

        self.ledger.put([Record(RecordKind.LOAD, key, None) for key in removed], on_written)

    def _restore(self, removed: Mapping[bytes, LoadRecord]) -> None:
        self.records = {**removed, **self.records}
