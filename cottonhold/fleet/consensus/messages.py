"""Messages of registers, and what the pure parts of a swap ask of the rim. Pure.

    kind 1 | name's length 1, name | the kind's fixed part | value's length 1, value | voters' epochs, 1 each

Each message stands for itself, may come any number of times and in any order: what it is about (name, ballot,
run) is in it, and who takes it compares that with what it waits for.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

PREPARE, PROMISE, ACCEPT, ACCEPTED, REFUSED, CHOSEN, FORGET = range(64, 71)
HELLO, HELLO_BACK, RECALL, RECALLED = range(71, 75)
NUMBER_MOST = 2**31  # of a round: it can always be passed by one
NAME_MOST, VALUE_MOST, VOTERS_MOST = 16, 120, 9
BALLOT = struct.Struct("!IQ")
STATE = struct.Struct("!IQIQI")  # accepted ballot, version, writer


@dataclass(slots=True, frozen=True)
class Say:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Keep:
    """A record to be made durable under a name (emptied: removed); the rim calls `kept(now, then)` once the
    disk has it, and never where it failed: whatever waits for it then stays unsaid."""

    name: str
    data: bytes
    then: int


@dataclass(slots=True, frozen=True, order=True)
class Ballot:
    """A round of a register. `who` is drawn for each start of a proposer, so two starts never share one."""

    number: int = 0
    who: int = 0


NONE = Ballot()


@dataclass(slots=True, frozen=True)
class State:
    """What a voter has accepted: in which round, the register's version and value, and which change wrote it
    (`writer`: a proposer's start, and its count)."""

    ballot: Ballot = NONE
    version: int = 0
    value: bytes = b""
    writer: tuple[int, int] = (0, 0)


@dataclass(slots=True, frozen=True)
class Message:
    """A message about one register. epochs: PROMISE and ACCEPTED tell how often the sender knows each voter
    to have returned from nothing."""

    kind: int
    name: str
    ballot: Ballot
    state: State = State()
    epochs: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Asked:
    """One with an empty memory asks (HELLO, RECALL). run: drawn for its folder. round: of its asking. epoch:
    how often it will have returned from nothing. index: which register it wants next."""

    kind: int
    run: int
    round: int
    epoch: int = 0
    index: int = 0


@dataclass(slots=True, frozen=True)
class Greeting:
    """A voter's answer to HELLO: its own run, whether it votes, what it knows of epochs, and with which runs
    the fleet was born, as far as it knows."""

    run: int
    round: int
    votes: bool
    epochs: tuple[int, ...]
    born: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Recalled:
    """A voter's answer to RECALL: one of its `count` registers, in the order of names."""

    round: int
    epoch: int
    index: int
    count: int
    floor: int
    name: str
    promised: Ballot
    state: State
    epochs: tuple[int, ...]


def pack_state(state: State) -> bytes:
    """A state's bytes."""
    fixed = STATE.pack(state.ballot.number, state.ballot.who, state.version, *state.writer)
    return fixed + bytes((len(state.value),)) + state.value


class Reader:
    """Reads a message from the front. Raises WordError where it ends too early or makes no sense."""

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data, self.at = data, at

    def fixed(self, form: struct.Struct) -> tuple[int, ...]:
        """A fixed part."""
        try:
            found = form.unpack_from(self.data, self.at)
        except struct.error:
            raise MessageError("truncated") from None
        self.at += form.size
        return found

    def counted(self, most: int) -> bytes:
        """Bytes after their count."""
        (size,) = self.fixed(BYTE)
        found = self.data[self.at : self.at + size]
        if size > most or len(found) != size:
            raise MessageError("length")
        self.at += size
        return found

    def name(self) -> str:
        """A register's name."""
        try:
            return self.counted(NAME_MOST).decode()
        except UnicodeDecodeError:
            raise MessageError("name") from None

    def ballot(self) -> Ballot:
        """A round."""
        number, who = self.fixed(BALLOT)
        if number > NUMBER_MOST:
            raise MessageError("ballot")
        return Ballot(number, who)

    def state(self) -> State:
        """An accepted state."""
        number, who, version, start, count = self.fixed(STATE)
        return State(Ballot(number, who), version, self.counted(VALUE_MOST), (start, count))

    def runs(self) -> tuple[int, ...]:
        """Drawn numbers of 8 bytes after their count."""
        (count,) = self.fixed(BYTE)
        if count > VOTERS_MOST:
            raise MessageError("voters")
        return tuple(self.fixed(LONG)[0] for _ in range(count))

    def end(self) -> None:
        """Nothing may follow."""
        if self.at != len(self.data):
            raise MessageError("too long")


BYTE, LONG = struct.Struct("!B"), struct.Struct("!Q")
ASKED, GREETING = struct.Struct("!QIBB"), struct.Struct("!QI?")
RECALL_HEAD = struct.Struct("!IBBBI")
WITH_STATE = (PROMISE, ACCEPT, CHOSEN)
WITH_EPOCHS = (PROMISE, ACCEPTED)


def pack_message(m: Message) -> bytes:
    """A message about a register."""
    name = m.name.encode()
    data = bytes((m.kind, len(name))) + name + BALLOT.pack(m.ballot.number, m.ballot.who)
    if m.kind in WITH_STATE:
        data += pack_state(m.state)
    elif m.kind == REFUSED:
        data += BALLOT.pack(m.state.ballot.number, m.state.ballot.who)
    if m.kind in WITH_EPOCHS:
        data += bytes((len(m.epochs), *m.epochs))
    assert len(data) <= MAX_MESSAGE_BYTES
    return data


def read_message(data: bytes) -> Message:
    """The meaning of a message about a register. Raises WordError."""
    if not data or not PREPARE <= data[0] <= FORGET:
        raise MessageError("kind")
    reader, kind, state, epochs = Reader(data, 1), data[0], State(), b""
    name, ballot = reader.name(), reader.ballot()
    if kind in WITH_STATE:
        state = reader.state()
    elif kind == REFUSED:
        state = State(reader.ballot())
    if kind in WITH_EPOCHS:
        epochs = reader.counted(VOTERS_MOST)
    reader.end()
    if not name:
        raise MessageError("no name")
    return Message(kind, name, ballot, state, tuple(epochs))


def pack_asked(a: Asked) -> bytes:
    """A HELLO or RECALL."""
    return bytes((a.kind,)) + ASKED.pack(a.run, a.round, a.epoch, a.index)


def read_asked(data: bytes) -> Asked:
    """The meaning of a HELLO or RECALL. Raises WordError."""
    reader = Reader(data, 1)
    asked = Asked(data[0], *reader.fixed(ASKED))
    reader.end()
    return asked


def pack_greeting(g: Greeting) -> bytes:
    """An answer to HELLO."""
    born = bytes((len(g.born),)) + b"".join(LONG.pack(run) for run in g.born)
    fixed = GREETING.pack(g.run, g.round, g.votes)
    return bytes((HELLO_BACK,)) + fixed + bytes((len(g.epochs), *g.epochs)) + born


def read_greeting(data: bytes) -> Greeting:
    """The meaning of an answer to HELLO. Raises WordError."""
    reader = Reader(data, 1)
    run, round_, votes = reader.fixed(GREETING)
    greeting = Greeting(run, round_, bool(votes), tuple(reader.counted(VOTERS_MOST)), reader.runs())
    reader.end()
    return greeting


def pack_recalled(r: Recalled) -> bytes:
    """An answer to RECALL."""
    name = r.name.encode()
    head = RECALL_HEAD.pack(r.round, r.epoch, r.index, r.count, r.floor)
    what = bytes((len(name),)) + name + BALLOT.pack(r.promised.number, r.promised.who) + pack_state(r.state)
    data = bytes((RECALLED,)) + head + what + bytes((len(r.epochs), *r.epochs))
    return data


def read_recalled(data: bytes) -> Recalled:
    """The meaning of an answer to RECALL. Raises WordError."""
    reader = Reader(data, 1)
    round_, epoch, index, count, floor = reader.fixed(RECALL_HEAD)
    name, promised, state = reader.name(), reader.ballot(), reader.state()
    epochs = tuple(reader.counted(VOTERS_MOST))
    reader.end()
    return Recalled(round_, epoch, index, count, floor, name, promised, state, epochs)
