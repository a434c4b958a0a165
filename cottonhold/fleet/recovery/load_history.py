"""Which loads may have run, as far as any dispatcher of the fleet remembers. Pure.

A load is known by `identity(service, key, body)`, 16 bytes. The caller tells what happens to it here:

    take(now, load)          before its record is made durable, for a request that is not marked as a retry.
                             False: it must be asked about first, as if it were marked
    sent(now, load)          its record is durable and its first byte goes out now
    ended(now, load, how)    its end: WELL, FAILED, or NEVER with proof that it never ran (also where nothing
                             was sent after `take`)
    ask(now, ref, load, until)
                             a client's retry. Known at once, or None: then a Settled(ref, ...) follows from
                             `step` or `hear`, at `until` at the latest (the client's patience)
    drop(now, ref)           its client went away, or what was to be sent won't be

and what the census found: `step(now, Around(...))`, at `next_at` and after each step of the census.
`hear(now, number, word)` takes others' words (by the number that the census bound the sender to). Both return
actions: To(number, data), Settled(ref, load, Known, cooldown). Known: WELL, it ran to its end well; MAY, it
may have run: it is failed and never sent; NEVER, nobody sent it: it is this instance's to send at once
(`sent` follows, or `drop`); LATER, not known within the client's patience: it is refused and may come back
after `cooldown` ms.

Rule: an own record decides at once. Else every other configured dispatcher has to have said that it never
sent it, on an ask of this very retry, or to be gone. One whose memory is empty or old says UNKNOWN for a
hold after its start, never NEVER; one whose memory nobody has confirmed yet says WAIT. While `waiting`, the
census has to `hurry`: what it says of those that are gone must be newer than the retry.

No two send one load (proof). Whoever has a retry in hand says MAY to others that ask, unless theirs ranks
higher (by a hash of number and load): then it gives its own up, as MAY. Of two that both got the other's
NEVER, each would have answered before it began to ask and so each before the other (Ricart and Agrawala, "An
Optimal Algorithm for Mutual Exclusion in Computer Networks"). Where one is taken for gone, more than half of
the configured ones have said so since, and have answered; two such asks meet at one of these, and the second
hears ASKED, which is MAY where anybody is gone. A first request that stands in line here and that another
has asked about is not sent: `take` is False.

Hold: a client asks first at t and waits for at most `longest`, the longest deadline; at t + longest at the
latest it knows that its load broke, and asks again; that retry waits for at most `longest` too. So what was
sent at t is asked about until t + 2 longest, and `slack` covers cooldowns. A retry that was told LATER may
come back after that: so a retry counts from the first time it was heard of, here or where it is asked about.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.recovery.local_loads import (
    LoadKnowledge,
    LoadResult,
    LocalLoads,
    RecordedLoad,
)
from cottonhold.fleet.recovery.messages import (
    MAX_UINT32,
    LoadAnswer,
    LoadQuery,
    LoadStatement,
    LoadVerdict,
    MemoryState,
    OpenLoads,
    batches,
    encode,
)
from cottonhold.fleet.recovery.survey_results import ProvenSilence


@dataclass(slots=True, frozen=True)
class LoadHistorySettings:
    """Times in ms. hold: see `hold_for`. again, most_again: an ask that isn't answered goes out again after
    so long, doubled up to the second. cooldown: told with LATER. alone: for so long a retry that too few
    others have heard of is told LATER; less than the slack of `hold_for` by a few cooldowns. announce: loads
    of earlier boots are told of so many times. most: loads remembered, asked about and in hand, each; beyond,
    retries are told LATER at once."""

    hold_ms: float
    retry_ms: float = 60.0
    max_retry_ms: float = 1000.0
    retry_after_ms: float = 1000.0
    max_unconfirmed_ms: float = 5000.0
    announcements: int = 3
    max_loads: int = 20_000


@dataclass(slots=True, frozen=True)
class FleetState:
    """What the census knows. may_send: this instance may send loads. confirmed: its own memory is whole.
    memory: its state, OLD once that was found out. apart: one that isn't gone can't be heard."""

    may_send_loads: bool
    has_confirmed_memory: bool
    memory: MemoryState
    silent: Mapping[int, ProvenSilence]
    is_partitioned: bool = False


@dataclass(slots=True, frozen=True)
class SendToDispatcher:
    """A message for a number."""

    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LoadSettled:
    """What is known now of the load that `ref` asked about. cooldown: ms, with LATER."""

    request_id: str
    load: bytes
    knowledge: LoadKnowledge
    retry_after_ms: float = 0.0


Action = SendToDispatcher | LoadSettled


@dataclass(slots=True)
class PendingRetry:
    """A retry in hand. refs: who waits, and until when. noted: who has heard of it. said, next_at, wait: by
    number."""

    started_at: float
    deadlines: dict[str, float]
    statements: dict[int, LoadStatement] = field(default_factory=dict)
    query_at: dict[int, float] = field(default_factory=dict)
    retry_ms: dict[int, float] = field(default_factory=dict)
    noted_by: set[int] = field(default_factory=set)


@dataclass(slots=True)
class SentQuery:
    """An ask that went out, so that its answer can be told from a forged or late one."""

    sent_at: float
    dispatcher: int
    loads: tuple[bytes, ...]


class LoadHistory:
    """One instance's side. me: its number, of 0 to `dispatchers` - 1; boot: of this start; remembered: the
    folder's loads; seed: for serials."""

    def __init__(
        self,
        me: int,
        dispatchers: int,
        boot: int,
        now: float,
        remembered: Iterable[RecordedLoad],
        settings: LoadHistorySettings,
        seed: int,
    ) -> None:
        self.number, self.boot, self.settings = me, boot & MAX_UINT32, settings
        self.others = [n for n in range(dispatchers) if n != me]
        self.fleet = FleetState(dispatchers == 1, dispatchers == 1, MemoryState.INTACT, {})
        self.local = LocalLoads(now, list(remembered), settings.hold_ms, settings.max_loads)
        self.pending: dict[bytes, PendingRetry] = {}
        self.granted: dict[bytes, str] = {}  # settled as NEVER, and not sent yet
        self.load_by_request: dict[str, bytes] = {}
        self.queries: dict[int, SentQuery] = {}
        self.serial = random.Random(seed).getrandbits(32)
        self.announced, self.next_announce = 0, now
        self.actions: list[Action] = []
        self.next_clean = now + 1000.0
        self.counters = {"asks": 0, "void": 0, "full": 0}

    @property
    def has_pending(self) -> bool:
        """A retry waits for others' words."""
        return bool(self.pending)

    # --- loads of this instance ---

    def begin(self, now: float, load: bytes) -> bool:
        """A load that isn't marked as a retry is about to be made durable and sent; see the module."""
        # Danger: a first request stood in line here, its client gave up and asked elsewhere, where it was run
        # on this instance's word; then the line moved.
        if load in self.local.queried or load in self.granted:
            return False
        if self.local.is_full(load):
            self.counters["full"] += 1
            return False
        self.local.begin(load)
        return True

    def on_sent(self, now: float, load: bytes) -> None:
        """It goes out now: after `take`, or as what a retry was told NEVER for."""
        ref = self.granted.pop(load, None)
        if ref is not None:
            self.load_by_request.pop(ref, None)
            self.local.begin(load)

    def on_ended(self, now: float, load: bytes, how: LoadResult) -> None:
        """Its end."""
        self.local.end(now, load, how)

    # --- retries ---

    def on_retry(self, now: float, ref: str, load: bytes, until: float) -> LoadKnowledge | None:
        """A client's retry of a load. None: a Settled follows."""
        known = self._known(now, load)
        if known is not None:
            return known
        pending = self.pending.get(load)
        if pending is not None:
            pending.deadlines[ref], self.load_by_request[ref] = until, load
            return None
        asked = None if self.local.is_full(load) else self.local.note_query(now, load, self.number)
        if asked is None or len(self.pending) >= self.settings.max_loads:
            self.counters["full"] += 1
            return LoadKnowledge.NOT_KNOWN_YET
        if self.fleet.memory is not MemoryState.INTACT and self.local.may_predate_start(asked):
            return LoadKnowledge.MAY_HAVE_RUN
        if not self.others and self.fleet.may_send_loads:
            self.granted[load], self.load_by_request[ref] = ref, load
            return LoadKnowledge.NEVER_SENT
        self.load_by_request[ref] = load
        self.pending[load] = PendingRetry(now, {ref: until}, query_at=dict.fromkeys(self.others, now))
        return None

    def cancel(self, now: float, ref: str) -> None:
        """Whoever asked went away."""
        load = self.load_by_request.pop(ref, None)
        if load is None:
            return
        if self.granted.get(load) == ref:
            del self.granted[load]
        pending = self.pending.get(load)
        if pending is not None:
            pending.deadlines.pop(ref, None)
            if not pending.deadlines:
                del self.pending[load]

    def _known(self, now: float, load: bytes) -> LoadKnowledge | None:
        """What this instance knows without asking, if that decides."""
        return LoadKnowledge.MAY_HAVE_RUN if load in self.granted else self.local.knowledge(now, load)

    # --- others ---

    def on_message(self, now: float, number: int, word: LoadQuery | LoadAnswer | OpenLoads) -> list[Action]:
        """A word of another number."""
        self.actions = []
        if number not in self.others:
            return []
        if isinstance(word, LoadQuery):
            said = tuple(LoadVerdict(i, self._said(now, number, load)) for i, load in enumerate(word.loads))
            self.actions.append(SendToDispatcher(number, encode(LoadAnswer(word.boot, word.serial, said))))
        elif isinstance(word, LoadAnswer):
            self._answered(now, number, word)
        else:
            self.local.add_reported(now, word.loads)
        return self.actions

    def _said(self, now: float, number: int, load: bytes) -> LoadStatement:
        """What this instance says of a load to another that has a retry of it."""
        asked = self.local.note_query(now, load, number)
        if asked is None:
            return LoadStatement.UNKNOWN  # nothing is noted of it here, while WAIT says that it is
        known = self._known(now, load)
        if known is not None:
            return LoadStatement.SUCCEEDED if known is LoadKnowledge.SUCCEEDED else LoadStatement.MAY_HAVE_RUN
        if load in self.pending:
            if _rank(self.number, load) > _rank(number, load):
                return LoadStatement.MAY_HAVE_RUN
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
        if self.local.is_late(now, asked):
            return LoadStatement.UNKNOWN
        if self.local.may_predate_start(asked):
            # Danger: an empty folder has no record of what its last boot sent; that is not 'never'.
            if self.fleet.memory is not MemoryState.INTACT:
                return LoadStatement.UNKNOWN
            if not self.fleet.has_confirmed_memory:
                return LoadStatement.NOT_KNOWN_YET
        return LoadStatement.ALSO_QUERIED if asked.dispatchers - {number} else LoadStatement.NEVER_SENT

    def _answered(self, now: float, number: int, answer: LoadAnswer) -> None:
        sent = self.queries.get(answer.serial)
        if sent is None or answer.boot != self.boot or sent.dispatcher != number:
            self.counters["void"] += 1
            return
        for verdict in answer.verdicts:
            load = sent.loads[verdict.index] if verdict.index < len(sent.loads) else b""
            pending = self.pending.get(load)
            # Danger: an answer from before this retry began doesn't bind whoever gave it any more.
            if pending is None or sent.sent_at < pending.started_at:
                continue
            pending.noted_by.add(number)
            if verdict.statement is not LoadStatement.NOT_KNOWN_YET:
                pending.statements[number] = verdict.statement
                pending.query_at.pop(number, None)
                self._weigh(now, load, pending)

    # --- step ---

    def next_at(self) -> float:
        """When `step` is due."""
        times = [self.next_clean]
        if self.local.open and self.announced < self.settings.announcements:
            times.append(self.next_announce)
        for pending in self.pending.values():
            times += [*pending.query_at.values(), *pending.deadlines.values()]
        return min(times)

    def step(self, now: float, around: FleetState) -> list[Action]:
        """Time has passed, or the census found something."""
        self.actions, self.fleet = [], around
        if around.is_partitioned:
            self.local.partitioned_at = now
        for load, pending in list(self.pending.items()):
            self._weigh(now, load, pending)
            if self.pending.get(load) is pending:
                self._lapse(now, load, pending)
        self._ask(now)
        self._announce(now)
        if now >= self.next_clean:
            self.next_clean = now + 1000.0
            self.local.expire(now, self.pending.keys() | self.granted.keys())
            late = now - 10 * self.settings.max_retry_ms
            self.queries = {serial: sent for serial, sent in self.queries.items() if sent.sent_at > late}
        return self.actions

    def _weigh(self, now: float, load: bytes, pending: PendingRetry) -> None:
        """Settle a retry as soon as what is known decides."""
        said = pending.statements.values()
        if LoadStatement.SUCCEEDED in said or LoadStatement.MAY_HAVE_RUN in said:
            self._settle(
                load,
                LoadKnowledge.SUCCEEDED if LoadStatement.SUCCEEDED in said else LoadKnowledge.MAY_HAVE_RUN,
            )
            return
        asked = self.local.queried[load]
        silent = [n for n in self.others if n not in pending.statements]
        # Danger: one that isn't heard may have sent it, and be back with its record in a moment.
        if not all(self._gone(n, pending.started_at, pending) for n in silent):
            return
        # Danger: told LATER often enough, a client came back after the time that it was thought to wait.
        doubt = not all(self._gone(n, asked.first_at, pending) for n in silent)
        blind = self.local.may_predate_start(asked)
        # Danger: two that take each other for gone both got everyone else's word; who asked second was told.
        disputed = bool(silent) and (
            LoadStatement.ALSO_QUERIED in said or bool(asked.dispatchers - {self.number})
        )
        # Danger: told LATER on one side of a cut, a client came back to a sender on the other that had
        # forgotten its load by then, and it ran again.
        doubt |= self.local.is_late(now, asked)
        if (
            LoadStatement.UNKNOWN in said
            or disputed
            or doubt
            or blind
            and self.fleet.memory is not MemoryState.INTACT
        ):
            self._settle(load, LoadKnowledge.MAY_HAVE_RUN)
        elif self.fleet.may_send_loads and (self.fleet.has_confirmed_memory or not blind):
            self._settle(load, LoadKnowledge.NEVER_SENT)

    def _gone(self, number: int, asked: float, pending: PendingRetry) -> bool:
        """Nothing that a number sent is first asked about so late, and it has sent nothing since."""
        gone = self.fleet.silent.get(number)
        if gone is None or gone.valid_until < pending.started_at:
            return False
        return gone.nothing_sent_after + self.settings.hold_ms < asked

    def _settle(self, load: bytes, known: LoadKnowledge) -> None:
        """All that wait for a load learn what is known; where nobody sent it, the first of them sends it."""
        for ref in self.pending.pop(load).deadlines:
            if known is LoadKnowledge.NEVER_SENT and load not in self.granted:
                self.granted[load] = ref
                self.actions.append(LoadSettled(ref, load, known))
            else:
                self._tell(
                    ref, load, LoadKnowledge.MAY_HAVE_RUN if known is LoadKnowledge.NEVER_SENT else known
                )

    def _lapse(self, now: float, load: bytes, pending: PendingRetry) -> None:
        """Clients whose patience is over."""
        for ref in [ref for ref, until in pending.deadlines.items() if until <= now]:
            del pending.deadlines[ref]
            self._tell(ref, load, self._put_off(now, load, pending))
        if not pending.deadlines:
            del self.pending[load]

    def _put_off(self, now: float, load: bytes, pending: PendingRetry) -> LoadKnowledge:
        """What a retry is told that could not be settled in time."""
        # Danger: an emptied one said that it did not know, the client was told LATER for another that was
        # away, and by then the first said NEVER of what it had sent before it was emptied.
        if LoadStatement.UNKNOWN in pending.statements.values():
            return LoadKnowledge.MAY_HAVE_RUN
        # Danger: one that nobody heard told a client LATER until whoever had sent its load had forgotten it;
        # the client went elsewhere, and it ran again. Half that heard of the retry are among any that can
        # settle it as NEVER, and say then for how long it has been asked about.
        noted = 2 * (1 + len(pending.noted_by)) > len(self.others)
        return LoadKnowledge.NOT_KNOWN_YET if noted else self._alone(now, load)

    def answer_unavailable(self, now: float, load: bytes) -> LoadKnowledge:
        """What a client's retry is told while this instance can't take its load at all."""
        known = self._known(now, load)
        if known is not None:
            return known
        return (
            LoadKnowledge.MAY_HAVE_RUN
            if self.local.note_query(now, load, self.number) is None
            else self._alone(now, load)
        )

    def _alone(self, now: float, load: bytes) -> LoadKnowledge:
        """What a retry is told that too few others have heard of: to come later, but not for long."""
        return (
            LoadKnowledge.NOT_KNOWN_YET
            if now - self.local.queried[load].first_at <= self.settings.max_unconfirmed_ms
            else LoadKnowledge.MAY_HAVE_RUN
        )

    def _tell(self, ref: str, load: bytes, known: LoadKnowledge) -> None:
        self.load_by_request.pop(ref, None)
        cooldown = self.settings.retry_after_ms if known is LoadKnowledge.NOT_KNOWN_YET else 0.0
        self.actions.append(LoadSettled(ref, load, known, cooldown))

    def _ask(self, now: float) -> None:
        """All asks that are due, a datagram for as many loads as fit."""
        due: dict[int, list[bytes]] = {}
        for load, pending in self.pending.items():
            for number, at in pending.query_at.items():
                if at <= now:
                    wait = pending.retry_ms.get(number, self.settings.retry_ms)
                    pending.retry_ms[number] = min(2 * wait, self.settings.max_retry_ms)
                    pending.query_at[number] = now + wait
                    due.setdefault(number, []).append(load)
        for number, loads in due.items():
            for lot in batches(loads):
                self.serial = (self.serial + 1) & MAX_UINT32
                self.queries[self.serial] = SentQuery(now, number, lot)
                self.actions.append(SendToDispatcher(number, encode(LoadQuery(self.boot, self.serial, lot))))
                self.counters["asks"] += 1

    def _announce(self, now: float) -> None:
        """Tell others at once which loads of earlier boots have no end."""
        left = self.announced < self.settings.announcements and bool(self.local.open)
        if left and now >= self.next_announce:
            self.announced, self.next_announce = self.announced + 1, now + self.settings.max_retry_ms
            for lot in batches(self.local.open):
                data = encode(OpenLoads(lot))
                self.actions += [SendToDispatcher(number, data) for number in self.others]


def _rank(number: int, load: bytes) -> bytes:
    """Who of two with the same load in hand goes on: the higher; each as often as the other."""
    return hashlib.blake2b(number.to_bytes(2, "big") + load, digest_size=8).digest()
