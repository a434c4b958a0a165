"""Codec of the messages that forward a request to the member that owns its key; does no I/O.

Each message begins with the bytes 79 and its kind. Fields and their sizes in bytes:

    0 incarnation query   believed incarnation of the owner 4
    1 incarnation reply   incarnation from the query 4 | owner's incarnation 4 | timestamp 8
    2 request fragment    header | index 1 | size of the request 2 | bytes of the request
    3 withdraw            header | is abandoned 1
    4 request ack         number 8 | owner's incarnation 4 | timestamp 8 | state 1 | received bits 1 + n
    5 answer fragment     number 8 | owner's incarnation 4 | result 1 | retry after 4 | size of the answer 2 |
                          index 1 | bytes of the answer
    6 answer ack          number 8 | is complete 1 | received bits 1 + n

    header: number 8 | owner's incarnation 4 | timestamp 8 | age of the timestamp 4 | remaining time 4 |
            lowest open count 4

A request's number consists of the origin's incarnation (upper half) and the count of its requests to this
owner (lower half). A timestamp is a time of the owner's clock, in microseconds; the origin returns it with
its age. The age and the remaining time are in hundredths of a ms, rounded down; the retry delay is in ms.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

REQUEST_FORWARDING = 79
(
    INCARNATION_QUERY,
    INCARNATION_REPLY,
    REQUEST_FRAGMENT,
    WITHDRAW_REQUEST,
    REQUEST_ACK,
    ANSWER_FRAGMENT,
    ANSWER_ACK,
) = range(7)
U32 = 0xFFFF_FFFF
MAX_BODY_BYTES = 16 * 1024  # maximum size of a request or an answer
TIME_UNIT_MS = 0.01  # unit of the times in a header


class ForwardResult(IntEnum):
    """How the forwarding of a request ended.

    Attributes:
        ANSWERED: The owner answered it.
        REJECTED: A retry does no harm; the client may retry after a delay.
        FAILED: There is no answer, but the request may have run.
        NOT_OWNER: Nothing ran; the receiver does not own the key.
        NOT_ACCEPTED: Nothing ran; no owner accepted the request or will accept it.
        TOO_LARGE: Nothing ran; the request is too large to be forwarded.
    """

    ANSWERED = 0
    REJECTED = 1
    FAILED = 2
    NOT_OWNER = 3
    NOT_ACCEPTED = 4
    TOO_LARGE = 5


class RequestState(IntEnum):
    """The state of a request at its owner.

    Attributes:
        RECEIVING: Fragments are missing.
        ACCEPTED: The request was accepted.
        NOT_ACCEPTED: The request was not accepted and never will be.
        CANCELLED: The request was accepted, and the owner is informed that no client waits for it.
    """

    RECEIVING = 0
    ACCEPTED = 1
    NOT_ACCEPTED = 2
    CANCELLED = 3


@dataclass(slots=True, frozen=True)
class RequestHeader:
    """The common part of an origin's messages about a request.

    Attributes:
        number: Number of the request.
        owner_incarnation: Incarnation of the owner for which the message is intended.
        timestamp: Newest timestamp that the origin received from the owner.
        timestamp_age_ms: Time since its arrival at the origin, in ms.
        remaining_ms: Time until the request's deadline, in ms.
        lowest_open_count: Lowest count of an open request; all requests with a smaller count have ended at
            the origin.
    """

    number: int
    owner_incarnation: int
    timestamp: int
    timestamp_age_ms: float
    remaining_ms: float
    lowest_open_count: int


@dataclass(slots=True, frozen=True)
class RequestFragment:
    """A fragment of a request whose body has `body_bytes` bytes."""

    header: RequestHeader
    index: int
    body_bytes: int
    data: bytes


@dataclass(slots=True, frozen=True)
class WithdrawRequest:
    """Forbids the owner to accept a request; with is_abandoned it also cancels an accepted one."""

    header: RequestHeader
    is_abandoned: bool


@dataclass(slots=True, frozen=True)
class IncarnationQuery:
    """Queries an owner for its incarnation and a timestamp; believed_incarnation is 0 if unknown."""

    believed_incarnation: int


@dataclass(slots=True, frozen=True)
class IncarnationReply:
    """An owner's incarnation and timestamp; believed_incarnation repeats that of the IncarnationQuery."""

    believed_incarnation: int
    incarnation: int
    timestamp: int


@dataclass(slots=True, frozen=True)
class RequestAck:
    """The state of a request at its owner; received_bits has bit i set if fragment i was received."""

    number: int
    owner_incarnation: int
    timestamp: int
    state: RequestState
    received_bits: int = 0


@dataclass(slots=True, frozen=True)
class AnswerFragment:
    """A fragment of an answer whose body has `body_bytes` bytes."""

    number: int
    owner_incarnation: int
    result: ForwardResult
    retry_after_ms: float
    body_bytes: int
    index: int
    data: bytes


@dataclass(slots=True, frozen=True)
class AnswerAck:
    """The fragments of an answer that an origin has received; is_complete if it needs no more of them."""

    number: int
    is_complete: bool
    received_bits: int = 0


Message = (
    IncarnationQuery
    | IncarnationReply
    | RequestFragment
    | WithdrawRequest
    | RequestAck
    | AnswerFragment
    | AnswerAck
)

HEADER_FORMAT = struct.Struct("!BBQIQIII")
FRAGMENT_FORMAT = struct.Struct("!BH")
INCARNATION_QUERY_FORMAT = struct.Struct("!BBI")
INCARNATION_REPLY_FORMAT = struct.Struct("!BBIIQ")
REQUEST_ACK_FORMAT = struct.Struct("!BBQIQB")
ANSWER_FRAGMENT_FORMAT = struct.Struct("!BBQIBfHB")
ANSWER_ACK_FORMAT = struct.Struct("!BBQB")
REQUEST_FRAGMENT_BYTES = MAX_MESSAGE_BYTES - HEADER_FORMAT.size - FRAGMENT_FORMAT.size
ANSWER_FRAGMENT_BYTES = MAX_MESSAGE_BYTES - ANSWER_FRAGMENT_FORMAT.size
MAX_BITS_BYTES = 16  # one bit for each fragment of a body of MAX_BODY_BYTES


def request_number(incarnation: int, count: int) -> int:
    """Return a request's number from its origin's incarnation and its count."""
    return (incarnation & U32) << 32 | count


def fragment_count(body_bytes: int, fragment_bytes: int) -> int:
    """Return the number of fragments of a body; at least one."""
    return max(1, -(-body_bytes // fragment_bytes))


def encode_time(time_ms: float) -> int:
    """Return a time in units of TIME_UNIT_MS, rounded down and limited to 32 bits."""
    return int(min(max(time_ms / TIME_UNIT_MS, 0.0), U32))


def encode_header(kind: int, header: RequestHeader) -> bytes:
    """Encode the beginning of a request fragment or a withdrawal."""
    return HEADER_FORMAT.pack(
        REQUEST_FORWARDING,
        kind,
        header.number,
        header.owner_incarnation,
        header.timestamp,
        encode_time(header.timestamp_age_ms),
        encode_time(header.remaining_ms),
        header.lowest_open_count,
    )


def encode_bits(bits: int) -> bytes:
    """Encode bits in as few bytes as possible, preceded by the number of bytes."""
    size = (bits.bit_length() + 7) // 8
    return bytes((size,)) + bits.to_bytes(size, "big")


def encode(message: Message) -> bytes:
    """Encode a message; the result has at most MAX_MESSAGE_BYTES bytes."""
    match message:
        case RequestFragment():
            fragment_header = FRAGMENT_FORMAT.pack(message.index, message.body_bytes)
            return encode_header(REQUEST_FRAGMENT, message.header) + fragment_header + message.data
        case WithdrawRequest():
            return encode_header(WITHDRAW_REQUEST, message.header) + bytes((message.is_abandoned,))
        case IncarnationQuery():
            return INCARNATION_QUERY_FORMAT.pack(
                REQUEST_FORWARDING, INCARNATION_QUERY, message.believed_incarnation
            )
        case IncarnationReply(believed_incarnation, incarnation, timestamp):
            return INCARNATION_REPLY_FORMAT.pack(
                REQUEST_FORWARDING, INCARNATION_REPLY, believed_incarnation, incarnation, timestamp
            )
        case RequestAck():
            return _encode_request_ack(message)
        case AnswerFragment():
            return _encode_answer_fragment(message)
        case AnswerAck(number, is_complete, received_bits):
            fixed = ANSWER_ACK_FORMAT.pack(REQUEST_FORWARDING, ANSWER_ACK, number, is_complete)
            return fixed + encode_bits(received_bits)


def _encode_request_ack(ack: RequestAck) -> bytes:
    fixed = REQUEST_ACK_FORMAT.pack(
        REQUEST_FORWARDING, REQUEST_ACK, ack.number, ack.owner_incarnation, ack.timestamp, ack.state
    )
    return fixed + encode_bits(ack.received_bits)


def _encode_answer_fragment(fragment: AnswerFragment) -> bytes:
    fixed = ANSWER_FRAGMENT_FORMAT.pack(
        REQUEST_FORWARDING,
        ANSWER_FRAGMENT,
        fragment.number,
        fragment.owner_incarnation,
        fragment.result,
        fragment.retry_after_ms,
        fragment.body_bytes,
        fragment.index,
    )
    return fixed + fragment.data


def decode(data: bytes) -> Message:
    """Decode a message. Raises MessageError if it is malformed."""
    if not 2 <= len(data) <= MAX_MESSAGE_BYTES:
        raise MessageError("size of a request forwarding message out of range")
    if data[0] != REQUEST_FORWARDING or data[1] not in DECODERS:
        raise MessageError("unknown kind of request forwarding message")
    try:
        return DECODERS[data[1]](data)
    except struct.error:
        raise MessageError("truncated") from None
    except ValueError:
        raise MessageError("unknown result or request state") from None


def _decode_header(data: bytes) -> RequestHeader:
    _, _, number, incarnation, timestamp, age, remaining, lowest_open_count = HEADER_FORMAT.unpack_from(data)
    if not 0 < lowest_open_count <= number & U32 or not incarnation:
        raise MessageError("invalid lowest open count or incarnation")
    age_ms, remaining_ms = age * TIME_UNIT_MS, remaining * TIME_UNIT_MS
    return RequestHeader(number, incarnation, timestamp, age_ms, remaining_ms, lowest_open_count)


def _decode_request_fragment(data: bytes) -> RequestFragment:
    index, body_bytes = FRAGMENT_FORMAT.unpack_from(data, HEADER_FORMAT.size)
    body = data[HEADER_FORMAT.size + FRAGMENT_FORMAT.size :]
    _check_fragment(index, body_bytes, len(body), REQUEST_FRAGMENT_BYTES)
    return RequestFragment(_decode_header(data), index, body_bytes, body)


def _check_fragment(index: int, body_bytes: int, length: int, fragment_bytes: int) -> None:
    """Raise MessageError unless the index is valid and the length is that of this fragment of the body."""
    if body_bytes > MAX_BODY_BYTES or index >= fragment_count(body_bytes, fragment_bytes):
        raise MessageError("body size or index of a fragment out of range")
    if length != min(fragment_bytes, body_bytes - index * fragment_bytes):
        raise MessageError("wrong length of a fragment")


def _decode_withdraw(data: bytes) -> WithdrawRequest:
    if len(data) != HEADER_FORMAT.size + 1 or data[-1] > 1:
        raise MessageError("malformed withdrawal")
    return WithdrawRequest(_decode_header(data), bool(data[-1]))


def _decode_incarnation_query(data: bytes) -> IncarnationQuery:
    if len(data) != INCARNATION_QUERY_FORMAT.size:
        raise MessageError("wrong size of an incarnation query")
    return IncarnationQuery(INCARNATION_QUERY_FORMAT.unpack(data)[2])


def _decode_incarnation_reply(data: bytes) -> IncarnationReply:
    if len(data) != INCARNATION_REPLY_FORMAT.size:
        raise MessageError("wrong size of an incarnation reply")
    _, _, believed_incarnation, incarnation, timestamp = INCARNATION_REPLY_FORMAT.unpack(data)
    if not incarnation:
        raise MessageError("incarnation reply without an incarnation")
    return IncarnationReply(believed_incarnation, incarnation, timestamp)


def _decode_bits(data: bytes) -> int:
    if not data or data[0] > MAX_BITS_BYTES or len(data) != 1 + data[0]:
        raise MessageError("wrong number of bytes of received bits")
    return int.from_bytes(data[1:], "big")


def _decode_request_ack(data: bytes) -> RequestAck:
    _, _, number, incarnation, timestamp, state = REQUEST_ACK_FORMAT.unpack_from(data)
    received_bits = _decode_bits(data[REQUEST_ACK_FORMAT.size :])
    return RequestAck(number, incarnation, timestamp, RequestState(state), received_bits)


def _decode_answer_fragment(data: bytes) -> AnswerFragment:
    fields = ANSWER_FRAGMENT_FORMAT.unpack_from(data)
    _, _, number, incarnation, result, retry_after_ms, body_bytes, index = fields
    body = data[ANSWER_FRAGMENT_FORMAT.size :]
    _check_fragment(index, body_bytes, len(body), ANSWER_FRAGMENT_BYTES)
    if not (math.isfinite(retry_after_ms) and retry_after_ms >= 0.0):
        raise MessageError("retry delay is negative or not finite")
    return AnswerFragment(number, incarnation, ForwardResult(result), retry_after_ms, body_bytes, index, body)


def _decode_answer_ack(data: bytes) -> AnswerAck:
    _, _, number, is_complete = ANSWER_ACK_FORMAT.unpack_from(data)
    if is_complete > 1:
        raise MessageError("invalid flag in an answer acknowledgement")
    return AnswerAck(number, bool(is_complete), _decode_bits(data[ANSWER_ACK_FORMAT.size :]))


DECODERS: dict[int, Callable[[bytes], Message]] = {
    INCARNATION_QUERY: _decode_incarnation_query,
    INCARNATION_REPLY: _decode_incarnation_reply,
    REQUEST_FRAGMENT: _decode_request_fragment,
    WITHDRAW_REQUEST: _decode_withdraw,
    REQUEST_ACK: _decode_request_ack,
    ANSWER_FRAGMENT: _decode_answer_fragment,
    ANSWER_ACK: _decode_answer_ack,
}
