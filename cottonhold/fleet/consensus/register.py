"""Registers: small values that the fleet settles, each changed by compare-and-set over a majority of the
configured voters. Pure.

CASPaxos ("CASPaxos: Replicated State Machines without logs", Rystsov): a change draws a round (*ballot*), has
a majority promise it and tell what they last accepted, applies the change to the newest of those, and has a
majority accept the result. There is no leader and no log: any member proposes, and a register that nobody
touches costs nothing. A read is a change that changes nothing.

A change that somebody else's round cut short may have been carried on by that one. So each state says which
change wrote it: whoever finds its own was `WON`; one that finds the expected version gone and never had sent
an ACCEPT, or finds another's change in its place with nothing after it, was `LOST`; else it is `UNKNOWN`.

Loss, duplicates and disorder: what lacks an answer is sent again; an answer counts once a voter, for the
round that is asked, and only under the newest epoch that any answer tells of its voter (see voter.py).
"""

from __future__ import annotations

import hashlib
import math
import random
import struct
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.acceptor import Acceptor
from cottonhold.fleet.consensus.messages import Ballot, Keep, Message, Say, State
from cottonhold.fleet.message_format import MessageError

__all__ = ["Action", "Changed", "How", "Keep", "Outcome", "Registers", "RegisterSettings", "Say"]


@dataclass(slots=True, frozen=True)
class RegisterSettings:
    """Times in ms. retry: what lacks an answer is sent again. backoff: after a refusal a proposer waits a
    drawn part of this, doubled each time up to `longest`. patience: then the outcome is unknown. settle: a
    voter that accepted and hears nothing of the end finds it out itself. most: registers; asked: changes and
    reads at once. again: how often the end is told."""

    retry: float = 80.0
    backoff: float = 20.0
    longest: float = 640.0
    patience: float = 5000.0
    settle: float = 1000.0
    most: int = 64
    asked: int = 64
    again: int = 3


class How(Enum):
    """How a change or read ended. WON: it stands (or stood). LOST: it never took effect and never will.
    UNKNOWN: it may have taken effect, or may yet."""

    WON = "won"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Changed:
    """A register's value is settled; told once for each newer state that is heard of here."""

    name: str
    version: int
    value: bytes


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of one `change` or `read`. version and value: what stood last; -1 where nothing was learnt."""

    token: int
    how: How
    version: int
    value: bytes


Action = Say | Keep | Changed | Outcome


@dataclass(slots=True)
class Asking:
    """A change or read under way. expected None: a read."""

    name: str
    expected: int | None
    value: bytes
    token: int
    writer: tuple[int, int]
    until: float
    ballot: Ballot = messages.NONE
    accepting: State | None = None  # set in the second phase
    answers: dict[int, Message] = field(default_factory=dict)
    risked: bool = False  # an ACCEPT with this change has gone out
    refusals: int = 0
    due: float = -math.inf  # when it is sent again, or begun again (`answers` void)
    waits: bool = True  # for a new round


@dataclass(slots=True)
class Told:
    """A settled state that is told some times; a finished one, until all voters hold it."""

    state: State
    since: float
    due: float
    times: int = 0
    accepted: set[int] = field(default_factory=set)  # voters that hold it


class Proposer:
    """One member's changes and reads. `who`: drawn for this start; none before or after it has the same."""

    def __init__(
        self, me: int, voters: Iterable[int], who: int, settings: RegisterSettings, draw: random.Random
    ) -> None:
        self.me, self.voters, self.who, self.settings, self.draw = me, tuple(voters), who, settings, draw
        self.majority = len(self.voters) // 2 + 1
        self.highest = 0  # number of a round heard of
        self.count = 0
        self.asking: dict[str, Asking] = {}
        self.line: deque[Asking] = deque()
        self.settled: dict[str, State] = {}  # newest settled state heard of
        self.told: dict[str, Told] = {}
        self.listeners: set[int] = set()
        self.actions: list[Action] = []

    def ask(self, now: float, name: str, expected: int | None, value: bytes, token: int) -> None:
        """A change or a read."""
        self.count += 1
        until = now + self.settings.patience
        asking = Asking(name, expected, value, token, (self.who, self.count), until)
        if len(self.line) + len(self.asking) >= self.settings.asked:
            self.actions.append(Outcome(token, How.LOST, -1, b""))
        else:
            self.line.append(asking)
            self.step(now)

    def next_at(self) -> float:
        """When `step` is due."""
        times = [min(a.due, a.until) for a in self.asking.values()] + [a.until for a in self.line]
        return min([*times, *(t.due for t in self.told.values())], default=math.inf)

    def step(self, now: float) -> None:
        """Time has passed."""
        for asking in [a for a in [*self.asking.values(), *self.line] if now >= a.until]:
            self._end(now, asking, How.UNKNOWN if asking.risked else How.LOST, None)
        waiting = self.line
        self.line = deque()
        for asking in waiting:  # one a register at a time, in the order asked
            if asking.name in self.asking:
                self.line.append(asking)
            else:
                self.asking[asking.name] = asking
        for asking in self.asking.values():
            if now >= asking.due:
                self._send(now, asking)
        for name, told in list(self.told.items()):
            if now >= told.due:
                self._tell(now, name, told)

    def hear(self, now: float, sender: int, m: Message) -> None:
        """An answer from a voter, or a settled state."""
        self.highest = max(self.highest, m.ballot.number, m.state.ballot.number)
        if m.kind == messages.CHOSEN:
            self._learn(m.name, m.state)
            return
        if sender not in self.voters or (m.kind != messages.REFUSED and len(m.epochs) != len(self.voters)):
            return
        told = self.told.get(m.name)
        if m.kind == messages.ACCEPTED and told is not None and told.state.ballot == m.ballot:
            told.accepted.add(sender)
        asking = self.asking.get(m.name)
        # Danger: an answer to an earlier round, come late, is a promise that the voter has since outrun.
        if asking is None or asking.waits or asking.ballot != m.ballot:
            return
        if m.kind == messages.REFUSED:
            asking.refusals += 1
            most = min(self.settings.backoff * 2**asking.refusals, self.settings.longest)
            asking.waits, asking.due = True, now + most * (0.25 + 0.75 * self.draw.random())
            return
        if m.kind != (messages.PROMISE if asking.accepting is None else messages.ACCEPTED):
            return
        asking.answers[sender] = m
        valid = self._valid(asking.answers)
        if len(valid) < self.majority:
            return
        if asking.accepting is None:
            self._second(now, asking, [answer.state for answer in valid.values()])
        else:
            self._chosen(now, asking)

    # --- a round ---

    def _valid(self, answers: Mapping[int, Message]) -> dict[int, Message]:
        """Answers under the newest epoch that any of them tells of their voter.

        Danger: one that forgot after it answered would count for what it doesn't know any more.
        """
        newest = [max(column) for column in zip(*(a.epochs for a in answers.values()), strict=True)]
        place = {voter: i for i, voter in enumerate(self.voters)}
        return {v: a for v, a in answers.items() if a.epochs[place[v]] >= newest[place[v]]}

    def _send(self, now: float, asking: Asking) -> None:
        if asking.waits:
            self.highest += 1
            asking.ballot = Ballot(self.highest, self.who)
            asking.waits, asking.accepting, asking.answers = False, None, {}
        asking.due = now + self.settings.retry
        if asking.accepting is None:
            message = Message(messages.PREPARE, asking.name, asking.ballot)
        else:
            message = Message(messages.ACCEPT, asking.name, asking.ballot, asking.accepting)
        data = messages.pack_message(message)
        # Sent again to all: an answer under an old epoch is mended only by a new one.
        self.actions += [Say(voter, data) for voter in self.voters]

    def _second(self, now: float, asking: Asking, states: list[State]) -> None:
        """A majority has promised: the newest accepted state, changed or as it is, is to be accepted."""
        found = max(states, key=lambda state: state.ballot)
        version, value, writer = found.version, found.value, found.writer
        if found.ballot == messages.NONE and asking.expected != 0:
            # Nothing was there at the time; to write that down would only fill the voters.
            lost = How.UNKNOWN if asking.risked else How.LOST
            self._end(now, asking, How.WON if asking.expected is None else lost, found)
            return
        if asking.expected == found.version:
            version, value, writer = version + 1, asking.value, asking.writer
            asking.risked = True
        asking.accepting = State(asking.ballot, version, value, writer)
        asking.answers = {}
        self._send(now, asking)

    def _chosen(self, now: float, asking: Asking) -> None:
        state = asking.accepting
        assert state is not None
        self.told[asking.name] = Told(state, now, now, accepted=set(asking.answers))
        self._learn(asking.name, state)
        if asking.expected is None or state.writer == asking.writer:
            how = How.WON
        elif not asking.risked or state.version == asking.expected + 1:
            # It never asked anybody to accept it; or another's change stands in its only possible place.
            how = How.LOST
        else:
            how = How.UNKNOWN
        self._end(now, asking, how, state)

    def _end(self, now: float, asking: Asking, how: How, state: State | None) -> None:
        if self.asking.get(asking.name) is asking:
            del self.asking[asking.name]
        else:
            self.line = deque(a for a in self.line if a is not asking)
        version, value = (state.version, state.value) if state is not None else (-1, b"")
        self.actions.append(Outcome(asking.token, how, version, value))
        if state is not None:
            self.step(now)

    # --- what is settled ---

    def _learn(self, name: str, state: State) -> None:
        known = self.settled.get(name)
        if known is not None and state.ballot <= known.ballot:
            return
        self.settled[name] = state
        if known is None or (known.version, known.value) != (state.version, state.value):
            self.actions.append(Changed(name, state.version, state.value))

    def _tell(self, now: float, name: str, told: Told) -> None:
        """Tell the end a few times; where the register is finished, see to it that it is forgotten."""
        told.times += 1
        told.due = now + self.settings.retry * 2 ** min(told.times, 6)
        state, finished = told.state, not told.state.value
        if told.times > self.settings.again and not finished:
            del self.told[name]
            return
        if told.times <= self.settings.again:
            chosen = messages.pack_message(Message(messages.CHOSEN, name, state.ballot, state))
            self.actions += [Say(member, chosen) for member in sorted({*self.voters, *self.listeners})]
        if finished:
            self._finish(now, name, told)

    def _finish(self, now: float, name: str, told: Told) -> None:
        """A register that all voters hold as finished may be forgotten by all.

        Danger: forgotten by a majority, one that was away would bring its older value back. And whoever asks
        for a change that has gone out already must have given up: it would find the register not there, as
        before its own change, and make it a second time.
        """
        accept = messages.pack_message(Message(messages.ACCEPT, name, told.state.ballot, told.state))
        self.actions += [Say(voter, accept) for voter in self.voters if voter not in told.accepted]
        if now < told.since + self.settings.patience * 1.25:
            return
        if len(told.accepted) == len(self.voters):
            forget = messages.pack_message(Message(messages.FORGET, name, told.state.ballot))
            self.actions += [Say(voter, forget) for voter in self.voters]
        if now > told.since + self.settings.patience * 3:
            del self.told[name]  # by now it is done, or a voter is away: one of them looks again later


class Registers:
    """One member's side of all registers: proposer, and voter if it is one of `voters`.

    life, boot, seed: of this start; together with `me` they make rounds that no other start uses, so `seed`
    must be drawn anew (an emptied folder counts boots from the beginning). kept: records of the earlier
    start, by name; empty where the folder is, or is known to be old."""

    def __init__(
        self,
        me: int,
        voters: Iterable[int],
        life: int,
        boot: int,
        seed: int,
        kept: Mapping[str, bytes],
        settings: RegisterSettings | None = None,
    ) -> None:
        self.me, self.voters, self.settings = me, tuple(sorted(set(voters))), settings or RegisterSettings()
        if not 0 < len(self.voters) <= messages.VOTERS_MOST:
            raise ValueError(f"1 to {messages.VOTERS_MOST} voters, not {len(self.voters)}")
        self.draw = random.Random(seed)
        drawn = struct.pack("!QQQQ", me, life & (2**64 - 1), boot & (2**64 - 1), self.draw.getrandbits(64))
        who = int.from_bytes(hashlib.blake2b(drawn, digest_size=8).digest(), "big")
        self.proposer = Proposer(me, self.voters, who, self.settings, self.draw)
        self.acceptor: Acceptor | None = None
        if me in self.voters:
            run = int.from_bytes(hashlib.blake2b(drawn + b"folder", digest_size=8).digest(), "big")
            self.acceptor = Acceptor(me, self.voters, run, kept, self.settings.most, self.settings.retry)
        # Accepted here: whether its end was heard, and when it is looked at.
        self.unsettled: dict[str, tuple[Ballot, bool, float]] = {}
        self.counts = {"said": 0, "heard": 0, "malformed": 0}

    def change(self, now: float, name: str, expected: int, value: bytes, token: int) -> list[Action]:
        """Set a register to a value (at most 120 bytes; empty: it is finished and will be forgotten) if its
        version is `expected` (0: it isn't there). Ends in an Outcome with this token."""
        if not name or len(name.encode()) > messages.NAME_MOST or len(value) > messages.VALUE_MOST:
            raise ValueError("name or value too long")
        self.proposer.ask(now, name, expected, value, token)
        return self._run(now)

    def read(self, now: float, name: str, token: int) -> list[Action]:
        """What stands now, by a majority. Ends in an Outcome with this token: WON, or LOST: none was had."""
        self.proposer.ask(now, name, None, b"", token)
        return self._run(now)

    def hear(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A message of a register (first byte 64 to 74); one that makes no sense is counted."""
        self.counts["heard"] += 1
        self._take(now, sender, data)
        return self._run(now)

    def kept(self, now: float, token: int) -> list[Action]:
        """The disk has the record that was asked to be kept under this token."""
        if self.acceptor is not None:
            self.acceptor.kept(token)
        return self._run(now)

    def step(self, now: float) -> list[Action]:
        """Time has passed; call at `next_at` at the latest, and once at the start."""
        self.proposer.step(now)
        if self.acceptor is not None:
            self.acceptor.step(now)
            self._settle(now)
        return self._run(now)

    def next_at(self) -> float:
        """When `step` is due."""
        due = self.proposer.next_at()
        if self.acceptor is not None:
            if not self.acceptor.votes and self.acceptor.returning is None:
                due = min(due, self.acceptor.next_ask)
            due = min([due, *(at for _, _, at in self.unsettled.values())])
        return due

    def members(self, live: Iterable[int]) -> None:
        """Who hears of what is settled, beside the voters."""
        self.proposer.listeners = set(live) - {self.me}

    def votes(self) -> bool:
        """Whether this member's voice counts: it is a voter and has forgotten nothing."""
        return self.acceptor is not None and self.acceptor.votes

    def known(self, name: str) -> tuple[int, bytes]:
        """The newest settled version and value heard of here; (0, b"") where none was. A hint: a change
        checks it."""
        state = self.proposer.settled.get(name, State())
        return state.version, state.value

    def names(self) -> list[str]:
        """Registers that are heard of here and not finished."""
        return sorted(name for name, state in self.proposer.settled.items() if state.value)

    # --- inside ---

    def _take(self, now: float, sender: int, data: bytes) -> None:
        try:
            kind = data[0] if data else 0
            if kind in (messages.PROMISE, messages.ACCEPTED, messages.REFUSED, messages.CHOSEN):
                self.proposer.hear(now, sender, messages.read_message(data))
            elif not messages.PREPARE <= kind <= messages.RECALLED:
                raise MessageError("kind")
            elif self.acceptor is not None:
                self.acceptor.hear(sender, data)
        except MessageError:
            self.counts["malformed"] += 1

    def _run(self, now: float) -> list[Action]:
        """Carry messages to oneself until there are none, and give back what is left for the rim."""
        done: list[Action] = []
        while True:
            actions, self.proposer.actions = self.proposer.actions, []
            if self.acceptor is not None:
                actions += self.acceptor.take()
            if not actions:
                break
            for action in actions:
                if isinstance(action, Say) and action.member == self.me:
                    self._take(now, self.me, action.data)
                else:
                    done.append(action)
        self._forget()
        self.counts["said"] += sum(isinstance(action, Say) for action in done)
        if self.acceptor is not None:
            self._settle(now)
        return done

    def _settle(self, now: float) -> None:
        """What this voter accepted and heard no end of is read: whoever began it may be dead."""
        assert self.acceptor is not None
        settled, registers = self.proposer.settled, self.acceptor.registers
        for name, register in registers.items():
            ballot = register.state.ballot
            known = settled.get(name)
            heard = known is not None and known.ballot >= ballot
            if not ballot.number or (heard and register.state.value):
                self.unsettled.pop(name, None)
            elif self.unsettled.get(name, (messages.NONE, False, 0.0))[:2] != (ballot, heard):
                # One that is finished is looked at again until it is forgotten.
                wait = self.settings.settle + heard * 4 * self.settings.patience
                wait *= 0.75 + 0.5 * self.draw.random()
                self.unsettled[name] = ballot, heard, now + wait
        for name, (ballot, heard, at) in list(self.unsettled.items()):
            if name not in registers:
                del self.unsettled[name]
            elif now >= at:
                self.unsettled[name] = ballot, heard, now + self.settings.settle * (1 + self.draw.random())
                if name not in self.proposer.asking:
                    self.proposer.ask(now, name, None, b"", 0)

    def _forget(self) -> None:
        """Of finished registers only the newest are known as such."""
        settled = self.proposer.settled
        finished = [name for name, state in settled.items() if not state.value]
        for name in finished[: max(len(settled) - self.settings.most, 0)]:
            del settled[name]
