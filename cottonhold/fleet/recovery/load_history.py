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

from cottonhold.fleet.recovery.local_loads import How, Known, LoadKept, Own, hold_for, identity
from cottonhold.fleet.recovery.membership_survey import Gone
from cottonhold.fleet.recovery.messages import (
    LONG,
    Answer,
    Ask,
    MemoryState,
    Open,
    Said,
    Verdict,
    batches,
    pack,
)

__all__ = ["Around", "How", "Known", "LoadKept", "Memory", "MemorySettings", "Settled", "To"]
__all__ += ["hold_for", "identity"]


@dataclass(slots=True, frozen=True)
class MemorySettings:
    """Times in ms. hold: see `hold_for`. again, most_again: an ask that isn't answered goes out again after
    so long, doubled up to the second. cooldown: told with LATER. alone: for so long a retry that too few
    others have heard of is told LATER; less than the slack of `hold_for` by a few cooldowns. announce: loads
    of earlier boots are told of so many times. most: loads remembered, asked about and in hand, each; beyond,
    retries are told LATER at once."""

    hold: float
    again: float = 60.0
    most_again: float = 1000.0
    cooldown: float = 1000.0
    alone: float = 5000.0
    announce: int = 3
    most: int = 20_000


@dataclass(slots=True, frozen=True)
class Around:
    """What the census knows. may_send: this instance may send loads. confirmed: its own memory is whole.
    memory: its state, OLD once that was found out. apart: one that isn't gone can't be heard."""

    may_send: bool
    confirmed: bool
    memory: MemoryState
    gone: Mapping[int, Gone]
    apart: bool = False


@dataclass(slots=True, frozen=True)
class To:
    """A message for a number."""

    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Settled:
    """What is known now of the load that `ref` asked about. cooldown: ms, with LATER."""

    ref: str
    load: bytes
    known: Known
    cooldown: float = 0.0


Action = To | Settled


@dataclass(slots=True)
class Pending:
    """A retry in hand. refs: who waits, and until when. noted: who has heard of it. said, next_at, wait: by
    number."""

    begun: float
    refs: dict[str, float]
    said: dict[int, Said] = field(default_factory=dict)
    next_at: dict[int, float] = field(default_factory=dict)
    wait: dict[int, float] = field(default_factory=dict)
    noted: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Sent:
    """An ask that went out, so that its answer can be told from a forged or late one."""

    at: float
    number: int
    loads: tuple[bytes, ...]


class Memory:
    """One instance's side. me: its number, of 0 to `dispatchers` - 1; boot: of this start; remembered: the
    folder's loads; seed: for serials."""

    def __init__(
        self,
        me: int,
        dispatchers: int,
        boot: int,
        now: float,
        remembered: Iterable[LoadKept],
        settings: MemorySettings,
        seed: int,
    ) -> None:
        self.me, self.boot, self.settings = me, boot & LONG, settings
        self.others = [n for n in range(dispatchers) if n != me]
        self.around = Around(dispatchers == 1, dispatchers == 1, MemoryState.KEPT, {})
        self.own = Own(now, list(remembered), settings.hold, settings.most)
        self.pending: dict[bytes, Pending] = {}
        self.granted: dict[bytes, str] = {}  # settled as NEVER, and not sent yet
        self.refs: dict[str, bytes] = {}
        self.asks: dict[int, Sent] = {}
        self.serial = random.Random(seed).getrandbits(32)
        self.announced, self.next_announce = 0, now
        self.actions: list[Action] = []
        self.next_clean = now + 1000.0
        self.counts = {"asks": 0, "void": 0, "full": 0}

    @property
    def waiting(self) -> bool:
        """A retry waits for others' words."""
        return bool(self.pending)

    # --- loads of this instance ---

    def take(self, now: float, load: bytes) -> bool:
        """A load that isn't marked as a retry is about to be made durable and sent; see the module."""
        # Danger: a first request stood in line here, its client gave up and asked elsewhere, where it was run
        # on this instance's word; then the line moved.
        if load in self.own.asked or load in self.granted:
            return False
        if self.own.full(load):
            self.counts["full"] += 1
            return False
        self.own.begin(load)
        return True

    def sent(self, now: float, load: bytes) -> None:
        """It goes out now: after `take`, or as what a retry was told NEVER for."""
        ref = self.granted.pop(load, None)
        if ref is not None:
            self.refs.pop(ref, None)
            self.own.begin(load)

    def ended(self, now: float, load: bytes, how: How) -> None:
        """Its end."""
        self.own.end(now, load, how)

    # --- retries ---

    def ask(self, now: float, ref: str, load: bytes, until: float) -> Known | None:
        """A client's retry of a load. None: a Settled follows."""
        known = self._known(now, load)
        if known is not None:
            return known
        pending = self.pending.get(load)
        if pending is not None:
            pending.refs[ref], self.refs[ref] = until, load
            return None
        asked = None if self.own.full(load) else self.own.note(now, load, self.me)
        if asked is None or len(self.pending) >= self.settings.most:
            self.counts["full"] += 1
            return Known.LATER
        if self.around.memory is not MemoryState.KEPT and self.own.blind(asked):
            return Known.MAY
        if not self.others and self.around.may_send:
            self.granted[load], self.refs[ref] = ref, load
            return Known.NEVER
        self.refs[ref] = load
        self.pending[load] = Pending(now, {ref: until}, next_at=dict.fromkeys(self.others, now))
        return None

    def drop(self, now: float, ref: str) -> None:
        """Whoever asked went away."""
        load = self.refs.pop(ref, None)
        if load is None:
            return
        if self.granted.get(load) == ref:
            del self.granted[load]
        pending = self.pending.get(load)
        if pending is not None:
            pending.refs.pop(ref, None)
            if not pending.refs:
                del self.pending[load]

    def _known(self, now: float, load: bytes) -> Known | None:
        """What this instance knows without asking, if that decides."""
        return Known.MAY if load in self.granted else self.own.known(now, load)

    # --- others ---

    def hear(self, now: float, number: int, word: Ask | Answer | Open) -> list[Action]:
        """A word of another number."""
        self.actions = []
        if number not in self.others:
            return []
        if isinstance(word, Ask):
            said = tuple(Verdict(i, self._said(now, number, load)) for i, load in enumerate(word.loads))
            self.actions.append(To(number, pack(Answer(word.boot, word.serial, said))))
        elif isinstance(word, Answer):
            self._answered(now, number, word)
        else:
            self.own.tell(now, word.loads)
        return self.actions

    def _said(self, now: float, number: int, load: bytes) -> Said:
        """What this instance says of a load to another that has a retry of it."""
        asked = self.own.note(now, load, number)
        if asked is None:
            return Said.UNKNOWN  # nothing is noted of it here, while WAIT says that it is
        known = self._known(now, load)
        if known is not None:
            return Said.WELL if known is Known.WELL else Said.MAY
        if load in self.pending:
            if _rank(self.me, load) > _rank(number, load):
                return Said.MAY
            self._settle(load, Known.MAY)
        if self.own.late(now, asked):
            return Said.UNKNOWN
        if self.own.blind(asked):
            # Danger: an empty folder has no record of what its last boot sent; that is not 'never'.
            if self.around.memory is not MemoryState.KEPT:
                return Said.UNKNOWN
            if not self.around.confirmed:
                return Said.WAIT
        return Said.ASKED if asked.by - {number} else Said.NEVER

    def _answered(self, now: float, number: int, answer: Answer) -> None:
        sent = self.asks.get(answer.serial)
        if sent is None or answer.boot != self.boot or sent.number != number:
            self.counts["void"] += 1
            return
        for verdict in answer.verdicts:
            load = sent.loads[verdict.place] if verdict.place < len(sent.loads) else b""
            pending = self.pending.get(load)
            # Danger: an answer from before this retry began doesn't bind whoever gave it any more.
            if pending is None or sent.at < pending.begun:
                continue
            pending.noted.add(number)
            if verdict.said is not Said.WAIT:
                pending.said[number] = verdict.said
                pending.next_at.pop(number, None)
                self._weigh(now, load, pending)

    # --- step ---

    def next_at(self) -> float:
        """When `step` is due."""
        times = [self.next_clean]
        if self.own.open and self.announced < self.settings.announce:
            times.append(self.next_announce)
        for pending in self.pending.values():
            times += [*pending.next_at.values(), *pending.refs.values()]
        return min(times)

    def step(self, now: float, around: Around) -> list[Action]:
        """Time has passed, or the census found something."""
        self.actions, self.around = [], around
        if around.apart:
            self.own.apart_at = now
        for load, pending in list(self.pending.items()):
            self._weigh(now, load, pending)
            if self.pending.get(load) is pending:
                self._lapse(now, load, pending)
        self._ask(now)
        self._announce(now)
        if now >= self.next_clean:
            self.next_clean = now + 1000.0
            self.own.forget(now, self.pending.keys() | self.granted.keys())
            late = now - 10 * self.settings.most_again
            self.asks = {serial: sent for serial, sent in self.asks.items() if sent.at > late}
        return self.actions

    def _weigh(self, now: float, load: bytes, pending: Pending) -> None:
        """Settle a retry as soon as what is known decides."""
        said = pending.said.values()
        if Said.WELL in said or Said.MAY in said:
            self._settle(load, Known.WELL if Said.WELL in said else Known.MAY)
            return
        asked = self.own.asked[load]
        silent = [n for n in self.others if n not in pending.said]
        # Danger: one that isn't heard may have sent it, and be back with its record in a moment.
        if not all(self._gone(n, pending.begun, pending) for n in silent):
            return
        # Danger: told LATER often enough, a client came back after the time that it was thought to wait.
        doubt = not all(self._gone(n, asked.first, pending) for n in silent)
        blind = self.own.blind(asked)
        # Danger: two that take each other for gone both got everyone else's word; who asked second was told.
        disputed = bool(silent) and (Said.ASKED in said or bool(asked.by - {self.me}))
        # Danger: told LATER on one side of a cut, a client came back to a sender on the other that had
        # forgotten its load by then, and it ran again.
        doubt |= self.own.late(now, asked)
        if Said.UNKNOWN in said or disputed or doubt or blind and self.around.memory is not MemoryState.KEPT:
            self._settle(load, Known.MAY)
        elif self.around.may_send and (self.around.confirmed or not blind):
            self._settle(load, Known.NEVER)

    def _gone(self, number: int, asked: float, pending: Pending) -> bool:
        """Nothing that a number sent is first asked about so late, and it has sent nothing since."""
        gone = self.around.gone.get(number)
        if gone is None or gone.as_of < pending.begun:
            return False
        return gone.sent_before + self.settings.hold < asked

    def _settle(self, load: bytes, known: Known) -> None:
        """All that wait for a load learn what is known; where nobody sent it, the first of them sends it."""
        for ref in self.pending.pop(load).refs:
            if known is Known.NEVER and load not in self.granted:
                self.granted[load] = ref
                self.actions.append(Settled(ref, load, known))
            else:
                self._tell(ref, load, Known.MAY if known is Known.NEVER else known)

    def _lapse(self, now: float, load: bytes, pending: Pending) -> None:
        """Clients whose patience is over."""
        for ref in [ref for ref, until in pending.refs.items() if until <= now]:
            del pending.refs[ref]
            self._tell(ref, load, self._put_off(now, load, pending))
        if not pending.refs:
            del self.pending[load]

    def _put_off(self, now: float, load: bytes, pending: Pending) -> Known:
        """What a retry is told that could not be settled in time."""
        # Danger: an emptied one said that it did not know, the client was told LATER for another that was
        # away, and by then the first said NEVER of what it had sent before it was emptied.
        if Said.UNKNOWN in pending.said.values():
            return Known.MAY
        # Danger: one that nobody heard told a client LATER until whoever had sent its load had forgotten it;
        # the client went elsewhere, and it ran again. Half that heard of the retry are among any that can
        # settle it as NEVER, and say then for how long it has been asked about.
        noted = 2 * (1 + len(pending.noted)) > len(self.others)
        return Known.LATER if noted else self._alone(now, load)

    def later(self, now: float, load: bytes) -> Known:
        """What a client's retry is told while this instance can't take its load at all."""
        known = self._known(now, load)
        if known is not None:
            return known
        return Known.MAY if self.own.note(now, load, self.me) is None else self._alone(now, load)

    def _alone(self, now: float, load: bytes) -> Known:
        """What a retry is told that too few others have heard of: to come later, but not for long."""
        return Known.LATER if now - self.own.asked[load].first <= self.settings.alone else Known.MAY

    def _tell(self, ref: str, load: bytes, known: Known) -> None:
        self.refs.pop(ref, None)
        cooldown = self.settings.cooldown if known is Known.LATER else 0.0
        self.actions.append(Settled(ref, load, known, cooldown))

    def _ask(self, now: float) -> None:
        """All asks that are due, a datagram for as many loads as fit."""
        due: dict[int, list[bytes]] = {}
        for load, pending in self.pending.items():
            for number, at in pending.next_at.items():
                if at <= now:
                    wait = pending.wait.get(number, self.settings.again)
                    pending.wait[number] = min(2 * wait, self.settings.most_again)
                    pending.next_at[number] = now + wait
                    due.setdefault(number, []).append(load)
        for number, loads in due.items():
            for lot in batches(loads):
                self.serial = (self.serial + 1) & LONG
                self.asks[self.serial] = Sent(now, number, lot)
                self.actions.append(To(number, pack(Ask(self.boot, self.serial, lot))))
                self.counts["asks"] += 1

    def _announce(self, now: float) -> None:
        """Tell others at once which loads of earlier boots have no end."""
        left = self.announced < self.settings.announce and bool(self.own.open)
        if left and now >= self.next_announce:
            self.announced, self.next_announce = self.announced + 1, now + self.settings.most_again
            for lot in batches(self.own.open):
                data = pack(Open(lot))
                self.actions += [To(number, data) for number in self.others]


def _rank(number: int, load: bytes) -> bytes:
    """Who of two with the same load in hand goes on: the higher; each as often as the other."""
    return hashlib.blake2b(number.to_bytes(2, "big") + load, digest_size=8).digest()
