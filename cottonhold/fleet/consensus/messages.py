"""Codec of the messages between proposers and voters, and of states on disk; does no I/O.

Field sizes are in bytes; which fields a message has depends on its kind:

    kind 1 | length 1, name | fixed fields of the kind | length 1, value | count 1, epochs of voters 1 each

Messages may arrive any number of times and in any order. Each one identifies its subject (register, ballot or
state folder), which the receiver compares with the operation that it has in progress.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

PREPARE, PROMISE, ACCEPT, ACCEPTED, REFUSED, CHOSEN, FORGET = range(64, 71)
HELLO, HELLO_REPLY, PAGE_REQUEST, REGISTER_PAGE = range(71, 75)
KINDS_WITH_STATE = (PROMISE, ACCEPT, CHOSEN)
KINDS_WITH_EPOCHS = (PROMISE, ACCEPTED)
MAX_BALLOT_NUMBER = 2**31  # below the limit of 32 bits, so that the next ballot can have a higher number
MAX_NAME_BYTES, MAX_VALUE_BYTES, MAX_VOTERS = 16, 120, 9
BYTE_FORMAT = struct.Struct("!B")
UINT64_FORMAT = struct.Struct("!Q")
BALLOT_FORMAT = struct.Struct("!IQ")
STATE_FORMAT = struct.Struct("!IQIQI")  # accepted ballot, version, writer
RECOVERY_REQUEST_FORMAT = struct.Struct("!QIBB")
HELLO_REPLY_FORMAT = struct.Struct("!QI?")
REGISTER_PAGE_FORMAT = struct.Struct("!IBBBI")


@dataclass(slots=True, frozen=True, order=True)
class Ballot:
    """A ballot of a register: a number, and a proposer id that is drawn at each start of a member."""

    number: int = 0
    proposer_id: int = 0


NO_BALLOT = Ballot()


@dataclass(slots=True, frozen=True)
class AcceptedState:
    """The state that a voter has accepted: the ballot, the version and value, and the change that wrote it.

    `writer` identifies the change by its proposer's id and the number of this proposer's changes.
    """

    ballot: Ballot = NO_BALLOT
    version: int = 0
    value: bytes = b""
    writer: tuple[int, int] = (0, 0)


@dataclass(slots=True, frozen=True)
class RegisterMessage:
    """A message about one register.

    In PROMISE and ACCEPTED, `epochs` holds for each voter how often it has recovered from an empty state
    folder, as far as the sender has recorded it.
    """

    kind: int
    name: str
    ballot: Ballot
    state: AcceptedState = AcceptedState()
    epochs: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class RecoveryRequest:
    """A request of a voter with an empty state folder: HELLO or PAGE_REQUEST.

    Attributes:
        kind: HELLO or PAGE_REQUEST.
        folder_id: Number that was drawn when the sender's state folder was created.
        round: Number of the sender's round of requests.
        epoch: Number of the sender's recoveries, including this one.
        page_index: Index of the requested page, which holds one register.
    """

    kind: int
    folder_id: int
    round: int
    epoch: int = 0
    page_index: int = 0


@dataclass(slots=True, frozen=True)
class HelloReply:
    """A voter's answer to HELLO.

    Attributes:
        folder_id: Number that was drawn when the sender's state folder was created.
        round: Number of the round that is answered.
        is_voting: Whether the sender votes.
        epochs: Number of recoveries of each voter, as recorded by the sender.
        founding_folder_ids: State folder of each voter when the fleet was new; 0 if unknown to the
            sender.
    """

    folder_id: int
    round: int
    is_voting: bool
    epochs: tuple[int, ...]
    founding_folder_ids: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class RegisterPage:
    """A voter's answer to PAGE_REQUEST: one of its registers, which are paged in the order of names."""

    round: int
    epoch: int
    page_index: int
    page_count: int
    ballot_floor: int
    name: str
    promised: Ballot
    state: AcceptedState
    epochs: tuple[int, ...]


def encode_ballot(ballot: Ballot) -> bytes:
    """Encode a ballot."""
    return BALLOT_FORMAT.pack(ballot.number, ballot.proposer_id)


def encode_state(state: AcceptedState) -> bytes:
    """Encode an accepted state."""
    fixed = STATE_FORMAT.pack(state.ballot.number, state.ballot.proposer_id, state.version, *state.writer)
    return fixed + bytes((len(state.value),)) + state.value


class MessageReader:
    """Reads the fields of a message one by one; the methods raise MessageError if it is malformed."""

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data, self.position = data, position

    def read_struct(self, struct_format: struct.Struct) -> tuple[int, ...]:
        """Read fields of a fixed format."""
        try:
            fields = struct_format.unpack_from(self.data, self.position)
        except struct.error:
            raise MessageError("truncated consensus message or record") from None
        self.position += struct_format.size
        return fields

    def read_counted_bytes(self, max_bytes: int) -> bytes:
        """Read a count of bytes and the bytes that follow it."""
        (size,) = self.read_struct(BYTE_FORMAT)
        content = self.data[self.position : self.position + size]
        if size > max_bytes or len(content) != size:
            raise MessageError("counted bytes too long or truncated")
        self.position += size
        return content

    def read_name(self) -> str:
        """Read a register's name."""
        try:
            return self.read_counted_bytes(MAX_NAME_BYTES).decode()
        except UnicodeDecodeError:
            raise MessageError("register name is not UTF-8") from None

    def read_ballot(self) -> Ballot:
        """Read a ballot."""
        number, proposer_id = self.read_struct(BALLOT_FORMAT)
        if number > MAX_BALLOT_NUMBER:
            raise MessageError("ballot number out of range")
        return Ballot(number, proposer_id)

    def read_state(self) -> AcceptedState:
        """Read an accepted state."""
        number, proposer_id, version, writer_id, change_count = self.read_struct(STATE_FORMAT)
        value = self.read_counted_bytes(MAX_VALUE_BYTES)
        return AcceptedState(Ballot(number, proposer_id), version, value, (writer_id, change_count))

    def read_folder_ids(self) -> tuple[int, ...]:
        """Read a count of state folder ids and the ids that follow it."""
        (count,) = self.read_struct(BYTE_FORMAT)
        if count > MAX_VOTERS:
            raise MessageError("too many voters")
        return tuple(self.read_struct(UINT64_FORMAT)[0] for _ in range(count))

    def expect_end(self) -> None:
        """Check that all bytes have been read."""
        if self.position != len(self.data):
            raise MessageError("bytes after the last field")


def encode_message(message: RegisterMessage) -> bytes:
    """Encode a message about a register."""
    name = message.name.encode()
    data = bytes((message.kind, len(name))) + name + encode_ballot(message.ballot)
    if message.kind in KINDS_WITH_STATE:
        data += encode_state(message.state)
    elif message.kind == REFUSED:
        data += encode_ballot(message.state.ballot)
    if message.kind in KINDS_WITH_EPOCHS:
        data += bytes((len(message.epochs), *message.epochs))
    assert len(data) <= MAX_MESSAGE_BYTES
    return data


def decode_message(data: bytes) -> RegisterMessage:
    """Decode a message about a register. Raises MessageError."""
    if not data or not PREPARE <= data[0] <= FORGET:
        raise MessageError("unknown kind of register message")
    reader = MessageReader(data, 1)
    kind, name, ballot = data[0], reader.read_name(), reader.read_ballot()
    state, epochs = AcceptedState(), b""
    if kind in KINDS_WITH_STATE:
        state = reader.read_state()
    elif kind == REFUSED:
        state = AcceptedState(reader.read_ballot())
    if kind in KINDS_WITH_EPOCHS:
        epochs = reader.read_counted_bytes(MAX_VOTERS)
    reader.expect_end()
    if not name:
        raise MessageError("register message without a name")
    return RegisterMessage(kind, name, ballot, state, tuple(epochs))


def encode_recovery_request(request: RecoveryRequest) -> bytes:
    """Encode a HELLO or PAGE_REQUEST."""
    return bytes((request.kind,)) + RECOVERY_REQUEST_FORMAT.pack(
        request.folder_id, request.round, request.epoch, request.page_index
    )


def decode_recovery_request(data: bytes) -> RecoveryRequest:
    """Decode a HELLO or PAGE_REQUEST. Raises MessageError."""
    reader = MessageReader(data, 1)
    request = RecoveryRequest(data[0], *reader.read_struct(RECOVERY_REQUEST_FORMAT))
    reader.expect_end()
    return request


def encode_hello_reply(reply: HelloReply) -> bytes:
    """Encode an answer to HELLO."""
    fixed = HELLO_REPLY_FORMAT.pack(reply.folder_id, reply.round, reply.is_voting)
    epochs = bytes((len(reply.epochs), *reply.epochs))
    folder_ids = b"".join(UINT64_FORMAT.pack(folder_id) for folder_id in reply.founding_folder_ids)
    return bytes((HELLO_REPLY,)) + fixed + epochs + bytes((len(reply.founding_folder_ids),)) + folder_ids


def decode_hello_reply(data: bytes) -> HelloReply:
    """Decode an answer to HELLO. Raises MessageError."""
    reader = MessageReader(data, 1)
    folder_id, round_, is_voting = reader.read_struct(HELLO_REPLY_FORMAT)
    epochs = tuple(reader.read_counted_bytes(MAX_VOTERS))
    reply = HelloReply(folder_id, round_, bool(is_voting), epochs, reader.read_folder_ids())
    reader.expect_end()
    return reply


def encode_register_page(page: RegisterPage) -> bytes:
    """Encode an answer to PAGE_REQUEST."""
    name = page.name.encode()
    head = REGISTER_PAGE_FORMAT.pack(
        page.round, page.epoch, page.page_index, page.page_count, page.ballot_floor
    )
    register = bytes((len(name),)) + name + encode_ballot(page.promised) + encode_state(page.state)
    return bytes((REGISTER_PAGE,)) + head + register + bytes((len(page.epochs), *page.epochs))


def decode_register_page(data: bytes) -> RegisterPage:
    """Decode an answer to PAGE_REQUEST. Raises MessageError."""
    reader = MessageReader(data, 1)
    round_, epoch, page_index, page_count, ballot_floor = reader.read_struct(REGISTER_PAGE_FORMAT)
    name, promised, state = reader.read_name(), reader.read_ballot(), reader.read_state()
    epochs = tuple(reader.read_counted_bytes(MAX_VOTERS))
    reader.expect_end()
    return RegisterPage(round_, epoch, page_index, page_count, ballot_floor, name, promised, state, epochs)
