"""A voter's memory of registers: what it promised and accepted, and how one with an empty folder votes again.
Pure.

Each promise and each accepted state is on disk before its answer goes out: an answer waits for the token of
the record that it rests on.

One that has forgotten must not vote: what two voters of three accepted would be unknown to the next two. It
*returns* so (each step is sent again until it is answered, each answer is on disk before it goes out):

1. It asks how often the others know it to have returned (its epoch), and takes the next number.
2. Each of the others records that number and from then on tells it with each promise and acceptance; in the
   same moment it copies its registers for the one that returns.
3. With the copies of more than half of *the others* it holds for each register the newest accepted state and
   skips all rounds up to the highest promised.

Why that is enough: a round's quorum with the one that forgot has at least half of the others in it, so one of
them also gave a copy. If that one promised (accepted) first, the copy tells of it. If it gave the copy first,
its answer tells the proposer the new epoch, and the forgotten answer of the lower epoch counts no more.

A fleet that is new has only empty folders. Only where each of *all* voters says in two rounds, one after the
other, that it has never voted, under the same drawn number (`run`) of its folder, is the fleet new: then all
of them had forgotten at one moment, and there is nothing left to keep. One whose run was there at that birth
has missed nothing since and votes at once.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.messages import (
    NONE,
    Asked,
    Ballot,
    Greeting,
    Keep,
    Message,
    Recalled,
    Say,
    State,
)
from cottonhold.fleet.message_format import MessageError

VOTER, REGISTER = "voter", "reg/"  # names of records
MOST_WHO = 2**64 - 1
HEAD = struct.Struct("!Q?I")


@dataclass(slots=True)
class Register:
    """One register at a voter: the highest round promised, and what was accepted last."""

    promised: Ballot = NONE
    state: State = State()


def pack_register(register: Register) -> bytes:
    """A register's record on disk."""
    return messages.BALLOT.pack(register.promised.number, register.promised.who) + messages.pack_state(
        register.state
    )


def read_register(data: bytes) -> Register:
    """A register from its record. Raises WordError."""
    reader = messages.Reader(data)
    register = Register(reader.ballot(), reader.state())
    reader.end()
    return register


@dataclass(slots=True)
class Copies:
    """What another voter told of its registers to the one that returns."""

    pages: dict[int, Recalled] = field(default_factory=dict)

    def whole(self) -> bool:
        """All pages of one copy are there."""
        return 0 in self.pages and len(self.pages) >= max(self.pages[0].count, 1)


class Acceptor:
    """One voter. `run`: drawn, used where the folder is empty; `most`: so many registers at most."""

    def __init__(
        self, me: int, voters: Sequence[int], run: int, kept: Mapping[str, bytes], most: int, retry: float
    ) -> None:
        self.me, self.voters, self.most, self.retry = me, tuple(voters), most, retry
        self.index = self.voters.index(me)
        self.others = [v for v in self.voters if v != me]
        self.enough = len(self.others) // 2 + 1  # more than half of the others
        self.run, self.votes, self.floor = run, False, 0
        self.epochs = [0] * len(self.voters)
        self.runs = [0] * len(self.voters)  # of those that returned: whose epoch that is
        self.born = [0] * len(self.voters)
        self.registers: dict[str, Register] = {}
        self.token = 0
        self.durable = False  # this folder's run is on disk: until then it tells nobody of it
        self.waiting: dict[int, list[Say]] = {}  # answers by the token that they wait for
        self.pending: dict[str, int] = {}  # the last record of a name that isn't on disk yet
        self.dropping: dict[int, list[str]] = {}  # registers to be removed once the floor is on disk
        self.copied: dict[int, tuple[int, list[tuple[str, Register]]]] = {}  # by voter: its round, our copy
        self.round = run & 0x7FFFFFFF
        self.greeted: dict[int, Greeting] = {}
        self.before: dict[int, int] = {}  # runs of those that had never voted in the round before
        self.wanted = 0  # the epoch under which it returns
        self.copies: dict[int, Copies] = {}
        self.paged = 0  # pages of copies at the last asking
        self.returning: int | None = None  # waits for this token to vote
        self.next_ask = 0.0
        self.actions: list[Say | Keep] = []
        self._read(kept)

    # --- what happens ---

    def take(self) -> list[Say | Keep]:
        """What is to be done now; once."""
        actions, self.actions = self.actions, []
        return actions

    def step(self, now: float) -> None:
        """Time has passed; one that doesn't vote yet asks again."""
        if self.votes or now < self.next_ask or self.returning is not None:
            return
        self.next_ask = now + self.retry
        if not self.durable:
            if VOTER not in self.pending:
                self._keep_voter()
            return
        if not self.others:
            self._begin()
            return
        self._ask()

    def kept(self, token: int) -> None:
        """The disk has the record of this token; tokens come in the order in which they were asked."""
        for name in [name for name, last in self.pending.items() if last == token]:
            del self.pending[name]
            if name == VOTER:
                self.durable = True
        self.actions += self.waiting.pop(token, [])
        for name in self.dropping.pop(token, []):
            if name not in self.registers:
                self._keep(REGISTER + name, b"")
        if self.returning == token:
            self.returning, self.votes = None, True

    def hear(self, sender: int, data: bytes) -> None:
        """A message for a voter. Raises WordError."""
        kind = data[0]
        if kind in (messages.PREPARE, messages.ACCEPT, messages.FORGET):
            message = messages.read_message(data)
            if self.votes:
                {messages.PREPARE: self._promise, messages.ACCEPT: self._accept}.get(kind, self._forget)(
                    sender, message
                )
        elif sender not in self.others:
            return
        elif kind == messages.HELLO:
            self._greet(sender, messages.read_asked(data).round)
        elif kind == messages.RECALL:
            self._copy(sender, messages.read_asked(data))
        elif kind == messages.HELLO_BACK:
            self._greeted(sender, messages.read_greeting(data))
        elif kind == messages.RECALLED:
            self._recalled(sender, messages.read_recalled(data))

    # --- voting ---

    def _promise(self, sender: int, m: Message) -> None:
        register = self._known(m.name)
        if m.ballot < register.promised or not self._room(m.name):
            self._refuse(sender, m, register)
            return
        if m.ballot > register.promised:
            register.promised = m.ballot
            self._hold(m.name, register)
        answer = Message(messages.PROMISE, m.name, m.ballot, register.state, tuple(self.epochs))
        self._answer(REGISTER + m.name, sender, messages.pack_message(answer))

    def _accept(self, sender: int, m: Message) -> None:
        register = self._known(m.name)
        if m.ballot < register.promised or m.state.ballot != m.ballot or not self._room(m.name):
            self._refuse(sender, m, register)
            return
        if register.state.ballot != m.ballot:
            register.promised, register.state = m.ballot, m.state
            self._hold(m.name, register)
        answer = Message(messages.ACCEPTED, m.name, m.ballot, epochs=tuple(self.epochs))
        self._answer(REGISTER + m.name, sender, messages.pack_message(answer))

    def _forget(self, sender: int, m: Message) -> None:
        """All voters have accepted that this register is finished: it may go."""
        register = self.registers.get(m.name)
        if register is None or register.promised != m.ballot or register.state.ballot != m.ballot:
            return
        if not register.state.value:
            self._drop(m.name)

    def _room(self, name: str) -> bool:
        """There is room for this register. Those that were only asked for give way: the floor keeps their
        promise."""
        if name in self.registers or len(self.registers) < self.most:
            return True
        empty = [n for n, r in self.registers.items() if r.state.ballot == NONE]
        for other in empty:
            self._drop(other)
        return bool(empty)

    def _drop(self, name: str) -> None:
        """Danger: without the floor, an ACCEPT of an old round that comes late would bring an old value
        back; so the record goes only once the floor is on disk."""
        self.floor = max(self.floor, self.registers.pop(name).promised.number)
        self.dropping.setdefault(self._keep_voter(), []).append(name)

    def _known(self, name: str) -> Register:
        return self.registers.get(name) or Register(Ballot(self.floor, MOST_WHO if self.floor else 0))

    def _hold(self, name: str, register: Register) -> None:
        self.registers[name] = register
        self._keep(REGISTER + name, pack_register(register))

    def _refuse(self, sender: int, m: Message, register: Register) -> None:
        refusal = Message(messages.REFUSED, m.name, m.ballot, State(register.promised))
        self.actions.append(Say(sender, messages.pack_message(refusal)))

    def _answer(self, record: str, member: int, data: bytes) -> None:
        """Say it once what it rests on is on disk."""
        token = self.pending.get(record)
        if token is None:
            self.actions.append(Say(member, data))
            return
        waiting = self.waiting.setdefault(token, [])
        if Say(member, data) not in waiting:
            waiting.append(Say(member, data))

    def _keep(self, name: str, data: bytes) -> int:
        self.token += 1
        earlier = self.pending.get(name)
        self.pending[name] = self.token
        # Danger: the earlier record is overwritten and may never be on disk; its answers rest on this one.
        if earlier is not None and earlier in self.waiting:
            self.waiting.setdefault(self.token, []).extend(self.waiting.pop(earlier))
        if earlier is not None and earlier in self.dropping:
            self.dropping.setdefault(self.token, []).extend(self.dropping.pop(earlier))
        self.actions.append(Keep(name, data, self.token))
        return self.token

    # --- for one that returns ---

    def _greet(self, sender: int, round_: int) -> None:
        if not self.durable:
            return
        votes = self.votes
        data = messages.pack_greeting(Greeting(self.run, round_, votes, tuple(self.epochs), tuple(self.born)))
        self._answer(VOTER, sender, data)

    def _copy(self, sender: int, asked: Asked) -> None:
        if not self.votes:
            return
        at = self.voters.index(sender)
        known = self.epochs[at], self.runs[at]
        if asked.epoch < known[0] or (asked.epoch == known[0] and asked.run != known[1]):
            self._greet(sender, asked.round)  # late, or another return of it took this number
            return
        if asked.epoch > known[0]:
            self.epochs[at], self.runs[at] = asked.epoch, asked.run
            self._keep_voter()
        if asked.index == 0 and self.copied.get(sender, (-1, []))[0] != asked.round:
            copy = [(n, Register(r.promised, r.state)) for n, r in sorted(self.registers.items())]
            self.copied[sender] = asked.round, copy
        round_, copy = self.copied.get(sender, (-1, []))
        # Danger: after a restart there is another copy; pages of two copies may miss what moved between them.
        if round_ != asked.round or asked.index >= max(len(copy), 1):
            return
        name, register = copy[asked.index] if copy else ("", Register())
        page = Recalled(
            asked.round, asked.epoch, asked.index, len(copy), self.floor, name, register.promised,
            register.state, tuple(self.epochs),
        )  # fmt: skip
        self._answer(VOTER, sender, messages.pack_recalled(page))

    # --- as one that returns ---

    def _ask(self) -> None:
        """Another round of HELLO; and RECALL for the pages that lack."""
        young = {v: g.run for v, g in self.greeted.items() if not g.votes}
        if len(young) == len(self.others):
            if young == self.before:
                self.born = [self.run if v == self.me else young[v] for v in self.voters]
                self._begin()
                return
            self.before = young
        else:
            self.before = {}
        pages = sum(len(copy.pages) for copy in self.copies.values())
        if pages > self.paged:  # it goes on: only what was lost is asked again
            self.paged = pages
            for voter, copy in self.copies.items():
                lacking = [i for i in range(copy.pages[min(copy.pages)].count) if i not in copy.pages]
                if lacking:
                    self._recall(voter, lacking[0])
            return
        self.paged = 0
        self.round = (self.round + 1) & 0xFFFFFFFF
        self.greeted, self.copies = {}, {}
        for voter in self.others:
            self.actions.append(Say(voter, messages.pack_asked(Asked(messages.HELLO, self.run, self.round))))

    def _greeted(self, sender: int, g: Greeting) -> None:
        if self.votes or g.round != self.round or len(g.epochs) != len(self.voters):
            return
        if self.returning is not None or len(g.born) != len(self.voters):
            return
        self.greeted[sender] = g
        if not g.votes:
            return
        if g.born[self.index] == self.run:
            self.born = list(g.born)
            self._begin()
            return
        voting = {v: h for v, h in self.greeted.items() if h.votes}
        if len(voting) >= self.enough:
            self.wanted = max([self.wanted, *(h.epochs[self.index] + 1 for h in voting.values())])
            if self.wanted < 256:
                for voter in voting:
                    self._recall(voter, 0)

    def _recall(self, voter: int, index: int) -> None:
        asked = Asked(messages.RECALL, self.run, self.round, self.wanted, index)
        self.actions.append(Say(voter, messages.pack_asked(asked)))

    def _recalled(self, sender: int, page: Recalled) -> None:
        if self.votes or self.returning is not None or len(page.epochs) != len(self.voters):
            return
        if page.round != self.round or page.epoch != self.wanted:
            return
        copy = self.copies.setdefault(sender, Copies())
        copy.pages[page.index] = page
        lacking = [i for i in range(page.count) if i not in copy.pages]
        if lacking:
            self._recall(sender, lacking[0])
            return
        whole = [v for v, c in self.copies.items() if c.whole()]
        # Danger: two may return at once. A copy by one that has itself forgotten since is void.
        told = [self.copies[v].pages[0].epochs for v in whole]
        newest = [max(column) for column in zip(*told, strict=True)]
        whole = [v for v in whole if self._epoch(v, self.copies[v]) >= newest[self.voters.index(v)]]
        if len(whole) >= self.enough:
            self._return([self.copies[v] for v in whole], newest)

    def _epoch(self, voter: int, copy: Copies) -> int:
        return copy.pages[0].epochs[self.voters.index(voter)]

    def _return(self, copies: list[Copies], epochs: list[int]) -> None:
        self.registers = {}
        for page in (page for copy in copies for page in copy.pages.values()):
            self.floor = max(self.floor, page.floor)
            if page.name:
                register = self.registers.setdefault(page.name, Register())
                register.promised = max(register.promised, page.promised)
                register.state = max(register.state, page.state, key=lambda s: s.ballot)
        self.epochs = epochs
        self.epochs[self.index] = self.wanted
        for name, register in self.registers.items():
            self._keep(REGISTER + name, pack_register(register))
        self._begin()

    def _begin(self) -> None:
        """Votes once this is on disk."""
        self.returning = self._keep_voter(votes=True)

    # --- the own record ---

    def _keep_voter(self, votes: bool = False) -> int:
        epochs = bytes((len(self.epochs), *self.epochs))
        runs = b"".join(messages.LONG.pack(run) for run in [*self.runs, *self.born])
        return self._keep(VOTER, HEAD.pack(self.run, self.votes or votes, self.floor) + epochs + runs)

    def _read(self, kept: Mapping[str, bytes]) -> None:
        if VOTER not in kept:
            return
        reader = messages.Reader(kept[VOTER])
        run, votes, self.floor = reader.fixed(HEAD)
        epochs = list(reader.counted(messages.VOTERS_MOST))
        # Danger: epochs by place in another list of voters would be another's. Voters never change in place.
        if len(epochs) != len(self.voters):
            raise MessageError("voters have changed")
        self.run, self.votes, self.epochs, self.durable = run, bool(votes), epochs, True
        drawn = [reader.fixed(messages.LONG)[0] for _ in range(2 * len(epochs))]
        self.runs, self.born = drawn[: len(epochs)], drawn[len(epochs) :]
        reader.end()
        if self.votes:
            self.registers = {
                name.removeprefix(REGISTER): read_register(data)
                for name, data in kept.items()
                if name.startswith(REGISTER) and data
            }
