"""The engines' protocol: requests to engines are encoded and their answers decoded here alone.

An answer is an array of REQUEST-ID WORD FIELDS and, with results, BODY.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cottonhold.backend.resp import RespError, decode_fields, encode_array
from cottonhold.config.settings import LOAD_REPORT_FIELDS

EXECUTE, CHANGE_PRIORITY, CANCEL = b"GET", b"RANK", b"DROP"
FETCH_PAGE, CLOSE_RESULT, LOAD_REPORT = b"PAGE", b"CLOSE", b"LOAD"
FAILED_HEALTH_CHECK = b"red"
MAX_REPORTED_NUMBER = 1e8  # of milliseconds or megabytes in an answer


class AnswerKind(Enum):
    """What an engine says of an attempt."""

    SERVED = b"served"  # with page 0 of the result and the number of pages
    PAGE = b"rows"
    OVERLOADED = b"overload"
    CRASHED = b"crashed"
    UNKNOWN_REQUEST = b"nobody"  # no attempt of this id runs there


ANSWER_KINDS = {word.value: word for word in AnswerKind}


class Answer(NamedTuple):
    """An answer, its word not looked at yet."""

    request_id: bytes
    kind: bytes
    fields: dict[str, str]
    body: bytes


def encode_execute(
    request_id: bytes,
    class_name: str,
    timeout_ms: int,
    priority: int,
    idempotency_key: str | None,
    statement: bytes,
) -> bytes:
    """Execute a statement. By the idempotency key an engine tells a repeat from a new request."""
    fields = f"kind={class_name},ms={timeout_ms},order={priority}"
    if idempotency_key is not None:
        fields += f",token={idempotency_key}"
    return encode_array(EXECUTE, request_id, fields.encode(), statement)


def encode_change_priority(request_id: bytes, priority: int) -> bytes:
    """Change the priority of an attempt."""
    return encode_array(CHANGE_PRIORITY, request_id, b"%d" % priority)


def encode_cancel(request_id: bytes) -> bytes:
    """Cancel an attempt."""
    return encode_array(CANCEL, request_id)


def encode_fetch_page(request_id: bytes, page: int) -> bytes:
    """Request a further page of a result."""
    return encode_array(FETCH_PAGE, request_id, b"%d" % page)


def encode_close_result(request_id: bytes) -> bytes:
    """Release a result of several pages."""
    return encode_array(CLOSE_RESULT, request_id)


def encode_load_report_request(tag: bytes) -> bytes:
    """Request a load report; the answer carries the tag as its request id."""
    return encode_array(LOAD_REPORT, tag)


def decode_answer(elements: list[bytes]) -> Answer:
    """An answer of an engine. Raises RespError."""
    if len(elements) not in (3, 4):
        raise RespError(f"an answer of {len(elements)} words")
    return Answer(
        elements[0], elements[1], decode_fields(elements[2]), elements[3] if len(elements) == 4 else b""
    )


def decode_kind(kind: bytes) -> AnswerKind:
    """What an engine says of an attempt. Raises RespError."""
    known = ANSWER_KINDS.get(kind)
    if known is None:
        raise RespError(f"unknown word {kind[:40]!r}")
    return known


def decode_number(text: str | None) -> float:
    """A number of an answer; 0 where it is absent or makes no sense."""
    try:
        value = float(text) if text else 0.0
    except ValueError:
        return 0.0
    return value if 0 <= value < MAX_REPORTED_NUMBER else 0.0


def decode_load_report(fields: dict[str, str]) -> dict[str, float]:
    """An answer's load report, as in inflight:7;util:0.61, under the scheduler's names."""
    report = {}
    for part in fields.get("gauges", "").split(";"):
        name, separator, value = part.partition(":")
        if separator:
            try:
                report[LOAD_REPORT_FIELDS.get(name, name)] = float(value)
            except ValueError:
                continue
    return report
