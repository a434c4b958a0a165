"""The rim of loads that may have run: records them on disk before they go out, asks others about retries.

Decides nothing: what may be sent is fleet/recovery's, what is durable is the store's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.recovery.load_history import Action, LoadHistory, LoadSettled
from cottonhold.fleet.recovery.local_loads import LoadKnowledge, LoadResult, RecordedLoad, load_identity
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.node.load_guard import LoadOutcomeCallback as Tell
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.settings import Idempotency, Settings
from cottonhold.store.health import DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import LoadRecord, LoadState, Record, RecordKind, decode_loads, evict_loads

NEVER_RAN = (
    None,
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.ALREADY_FINISHED,
)  # what proves that it never ran
STATES = {
    LoadResult.SUCCEEDED: LoadState.COMPLETED,
    LoadResult.FAILED: LoadState.FAILED,
    LoadResult.NEVER_RAN: LoadState.NEVER_SENT,
}
ENDS = {
    LoadState.SENT: None,
    LoadState.COMPLETED: LoadResult.SUCCEEDED,
    LoadState.FAILED: LoadResult.FAILED,
    LoadState.NEVER_SENT: LoadResult.NEVER_RAN,
}
FORGET_MS = 1000.0


def guarded_class_indices(settings: Settings) -> frozenset[int]:
    """The classes whose requests are remembered: loads, and all that must not run twice."""
    places = enumerate(settings.classes)
    return frozenset(i for i, c in places if c.is_load or c.idempotency is Idempotency.NOT_IDEMPOTENT)


def recorded_loads(folder: Mapping[bytes, bytes]) -> tuple[list[RecordedLoad], dict[bytes, LoadRecord]]:
    """What the folder remembers of loads; one that can't be read may have run."""
    found = decode_loads(folder)
    known = [RecordedLoad(load, ENDS.get(record.state)) for load, record in found.by_identity.items()]
    return [*known, *(RecordedLoad(load) for load in found.unreadable)], dict(found.by_identity)


class UnavailableLoadGuard:
    """The guard while there is no ledger: its folder is another process's still, or its disk fails. No load
    goes out, all else does."""

    def __init__(
        self,
        classes: Mapping[int, bool],
        cooldown: float,
        memory: LoadHistory,
        now: Callable[[], float],
        counters: Counters,
    ) -> None:
        self.classes, self.cooldown, self.memory, self.now = classes, cooldown, memory, now
        self.counters, self.forgotten_at = counters, now()

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class would have to be remembered."""
        return query_class in self.classes

    def on_load_arrived(self, taken: ClientRequest, until: float, settled: Tell) -> None:
        """Told at once: to come later, or what is known of a retry."""
        self.counters.add("loads_unkept")
        known, now = LoadKnowledge.NOT_KNOWN_YET, self.now()
        if taken.is_retry:
            # Danger: told to come later for as long as the folder could not be had, a client came back after
            # whoever had sent its load had forgotten it, and it ran again.
            known = self.memory.answer_unavailable(
                now, load_identity(taken.class_name, taken.ordering_key or "", taken.body)
            )
        settled(_past(known, self.classes[taken.query_class]), self.cooldown)
        if now - self.forgotten_at >= FORGET_MS:
            self.forgotten_at = now
            self.memory.local.expire(now, ())

    def before_attempt_sent(
        self, attempt: Attempt, taken: ClientRequest, kept: Callable[[bool], None]
    ) -> None:
        """One that was taken under another ledger."""
        kept(False)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Nothing is kept."""

    def on_request_closed(self, ref: str) -> None:
        """Nothing is kept."""


@dataclass(slots=True, eq=False)
class LoadRun:
    """A request's load, from its first attempt to its end."""

    load: bytes
    is_begun: bool = False  # the memory has it in flight
    is_attempt_in_flight: bool = False  # an attempt is on its way
    is_closed: bool = False  # the request is over


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A load that came behind a retry of its key which is still asked about."""

    taken: ClientRequest
    until: float
    settled: Tell


class LoadRecorder:
    """The gateway's guard: see gateway.LoadGuard."""

    def __init__(
        self,
        memory: LoadHistory,
        ledger: Ledger,
        records: dict[bytes, LoadRecord],
        classes: Mapping[int, bool],
        hold: float,
        now: Callable[[], float],
        clock_ms: Callable[[], float],
        call_in: Callable[[float, Callable[[], None]], object],
        hop: Callable[[Callable[[], None]], object],
        may_send: Callable[[], bool],
        carry_out: Callable[[Iterable[Action]], None],
        counters: Counters,
        note: Callable[..., None],
    ) -> None:
        self.memory, self.ledger, self.records, self.classes = memory, ledger, records, classes
        self.hold, self.now, self.clock_ms, self.call_in, self.hop = hold, now, clock_ms, call_in, hop
        self.may_send, self.carry_out, self.counters, self.note = may_send, carry_out, counters, note
        self.started, self.forgotten_at = now(), now()
        self.runs: dict[str, LoadRun] = {}
        self.waiting: dict[str, tuple[Tell, bool]] = {}  # who asked, and whether a good end may be said
        self.lines: dict[
            str, deque[QueuedRequest]
        ] = {}  # by key: who came behind a retry that is asked about
        self.heads: dict[str, str] = {}  # ref of such a retry -> its key
        self.state = DiskState.HEALTHY

    # --- the gateway's calls ---

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class are remembered."""
        return query_class in self.classes

    def on_load_arrived(self, taken: ClientRequest, until: float, settled: Tell) -> None:
        """A load has come; a retry is asked about."""
        unkept, unheard = self._disk() is not DiskState.HEALTHY, not self.may_send()
        if unkept or unheard and not taken.is_retry:
            self.counters.add("loads_unkept" if unkept else "loads_unheard")
            # Danger: told to come later without being noted, a client came back after its load was forgotten.
            known = (
                self.memory.answer_unavailable(self.now(), self._identity(taken))
                if taken.is_retry
                else LoadKnowledge.NOT_KNOWN_YET
            )
            settled(_past(known, self.classes[taken.query_class]), self.memory.settings.retry_after_ms)
            return
        if taken.ordering_key is not None and taken.ordering_key in self.lines:
            # Danger: what came behind a retry that was still asked about went out before it, out of its
            # key's order.
            waiter = QueuedRequest(taken, until, settled)
            self.lines[taken.ordering_key].append(waiter)
            self.call_in(max(until - self.now(), 0.0), lambda: self._too_late(waiter))
        else:
            self._settle(taken, until, settled)

    def _settle(self, taken: ClientRequest, until: float, settled: Tell) -> None:
        """The first of its key."""
        if not taken.is_retry:
            settled(LoadOutcome.NEVER_RAN, 0.0)
            return
        self.counters.add("loads_asked")
        load, said = self._identity(taken), self.classes[taken.query_class]
        self.waiting[taken.request_id] = settled, said
        known = self.memory.on_retry(self.now(), taken.request_id, load, until)
        if known is not None:
            self._tell(taken.request_id, known, self.memory.settings.retry_after_ms)
            return
        if taken.ordering_key is not None:
            self.heads[taken.request_id] = taken.ordering_key
            self.lines[taken.ordering_key] = deque()
        self.carry_out(())

    def _too_late(self, waiter: QueuedRequest) -> None:
        """One whose time ran out behind another."""
        line = self.lines.get(waiter.taken.ordering_key or "", deque())
        if waiter in line:
            line.remove(waiter)
            waiter.settled(LoadOutcome.UNKNOWN_YET, self.memory.settings.retry_after_ms)

    def _go_on(self, ref: str) -> None:
        """A retry is no longer asked about: those behind it come next, up to the next such one."""
        key = self.heads.pop(ref, None)
        line = self.lines.pop(key, None) if key is not None else None
        while line:
            waiter = line.popleft()
            self._settle(waiter.taken, waiter.until, waiter.settled)
            if key in self.lines:
                self.lines[key].extend(line)
                return

    def before_attempt_sent(
        self, attempt: Attempt, taken: ClientRequest, kept: Callable[[bool], None]
    ) -> None:
        """Remember it, and say so once the disk has it."""
        now = self.now()
        run = self.runs.setdefault(taken.request_id, LoadRun(self._identity(taken)))
        if not run.is_begun:
            # Danger: told to the memory only once durable, another instance that asks meanwhile would hear
            # 'never' of a load that is about to go out. So it counts as sent from here on.
            if run.load in self.memory.granted and taken.is_retry:
                self.memory.on_sent(now, run.load)
            elif not self.memory.begin(now, run.load):
                self.counters.add("loads_asked_elsewhere")
                kept(False)
                return
            run.is_begun = True
        run.is_attempt_in_flight = True
        record = LoadRecord(
            identity=run.load,
            request_id=taken.request_id,
            ordering_key=taken.ordering_key or "",
            statement_digest=run.load[:8],
            engine=attempt.engine,
            boot_count=self.ledger.boot_count,
            sent_at_ms=now,
            state=LoadState.SENT,
        )
        self.records[run.load] = record

        def done(durable: bool) -> None:
            self.hop(lambda: kept(durable))

        self.ledger.put([record.to_record()], done)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended."""
        run = self.runs.get(attempt.request_id)
        if run is None:
            return
        run.is_attempt_in_flight = False
        if outcome not in NEVER_RAN:
            self._finish(
                attempt.request_id, run, LoadResult.SUCCEEDED if outcome is Outcome.OK else LoadResult.FAILED
            )
        elif run.is_closed:
            self._finish(attempt.request_id, run, LoadResult.NEVER_RAN)

    def on_request_closed(self, ref: str) -> None:
        """A request is over for its client."""
        self.waiting.pop(ref, None)
        self.memory.cancel(self.now(), ref)
        self._go_on(ref)
        run = self.runs.get(ref)
        if run is not None and run.is_attempt_in_flight:
            run.is_closed = True
        elif run is not None:
            self._finish(ref, run, LoadResult.NEVER_RAN)

    # --- inside ---

    def _identity(self, taken: ClientRequest) -> bytes:
        return load_identity(taken.class_name, taken.ordering_key or "", taken.body)

    def _finish(self, ref: str, run: LoadRun, how: LoadResult) -> None:
        del self.runs[ref]
        if not run.is_begun:
            return
        now = self.now()
        self.memory.on_ended(now, run.load, how)
        record, entry = self.records.get(run.load), self.memory.local.entries.get(run.load)
        # Danger: two requests may be one load; a good end of the one must not hide that the other still runs.
        if record is not None and (entry is None or not entry.open_runs):
            self.records[run.load] = ended = replace(record, state=STATES[how], ended_at_ms=now)
            self.ledger.put([ended.to_record()])

    def on_settled(self, action: LoadSettled) -> None:
        """The memory knows what became of a load that was asked about."""
        self._tell(action.request_id, action.knowledge, action.retry_after_ms)

    def _tell(self, ref: str, known: LoadKnowledge, cooldown: float) -> None:
        tell, said = self.waiting.pop(ref, (None, False))
        if tell is None:
            self.memory.cancel(self.now(), ref)
            return
        tell(_past(known, said), cooldown)
        self._go_on(ref)

    def _disk(self) -> DiskState:
        """How the disk does; a change is told."""
        health = self.ledger.health(self.clock_ms())
        if health.state is not self.state:
            self.state = health.state
            self.counters.add(f"disk_{health.state.value}")
            self.note("disk", state=health.state.value, why=health.reason)
        return self.state

    def expire(self) -> None:
        """Once a second: what can't be asked about any more goes from the disk too."""
        now = self.now()
        if now - self.forgotten_at < FORGET_MS:
            return
        self.forgotten_at = now
        self._disk()
        found = evict_loads(
            self.records.values(),
            now_ms=now,
            boot_count=self.ledger.boot_count,
            boot_started_at_ms=self.started,
            retention_ms=self.hold,
            free_slots=0,
        )
        if found.early_count:
            self.counters.add("loads_forgotten_early", found.early_count)
        # What the memory still holds may yet be asked about, also after a power loss.
        keys = [key for key in found.keys if found.early_count or key not in self.memory.local.entries]
        if keys and self.state is DiskState.HEALTHY:
            gone = {key: self.records.pop(key) for key in keys}

            def done(durable: bool) -> None:
                if not durable:
                    self.hop(lambda: self._still_there(gone))

            self.ledger.put([Record(RecordKind.LOAD, key, None) for key in keys], done)

    def _still_there(self, gone: Mapping[bytes, LoadRecord]) -> None:
        """The disk did not forget them."""
        # Danger: forgotten here only, records stayed on the disk for the whole life, beyond their bound.
        self.records = {**gone, **self.records}


def _past(known: LoadKnowledge, said: bool) -> LoadOutcome:
    """What the gateway is told; said: a good end may be said."""
    past = {
        LoadKnowledge.NEVER_SENT: LoadOutcome.NEVER_RAN,
        LoadKnowledge.MAY_HAVE_RUN: LoadOutcome.MAY_HAVE_RUN,
        LoadKnowledge.NOT_KNOWN_YET: LoadOutcome.UNKNOWN_YET,
    }.get(known)
    return past or (LoadOutcome.COMPLETED if said else LoadOutcome.MAY_HAVE_RUN)
