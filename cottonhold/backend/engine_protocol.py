"""The protocol of the engines: encodes requests and decodes answers.

An answer is an array of REQUEST-ID, KIND, FIELDS and, if it contains rows, BODY.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cottonhold.backend.resp import RespError, decode_fields, encode_array
from cottonhold.config.settings import LOAD_REPORT_FIELDS

EXECUTE, CHANGE_PRIORITY, CANCEL = b"GET", b"RANK", b"DROP"
FETCH_PAGE, CLOSE_RESULT, LOAD_REPORT = b"PAGE", b"CLOSE", b"LOAD"
FAILED_HEALTH_CHECK = b"red"
MAX_REPORT_VALUES = 32  # of a load report; the settings name a few
MAX_REPORTED_NUMBER = 1e8  # upper bound, in ms or MB, of numbers in an answer


class AnswerKind(Enum):
    """The kind of an engine's answer to an attempt."""

    SERVED = b"served"  # contains page 0 of the result and the number of pages
    PAGE = b"rows"
    OVERLOADED = b"overload"
    CRASHED = b"crashed"
    UNKNOWN_REQUEST = b"nobody"  # no attempt with this id runs at the engine


ANSWER_KINDS = {kind.value: kind for kind in AnswerKind}


class Answer(NamedTuple):
    """An answer whose kind is not decoded yet."""

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
    """Encode a request to execute a statement.

    The idempotency key, if any, lets the engine recognize a retry of a request that it has already executed.
    """
    fields = f"kind={class_name},ms={timeout_ms},order={priority}"
    if idempotency_key is not None:
        fields += f",token={idempotency_key}"
    return encode_array(EXECUTE, request_id, fields.encode(), statement)


def encode_change_priority(request_id: bytes, priority: int) -> bytes:
    """Encode a request to change the priority of an attempt."""
    return encode_array(CHANGE_PRIORITY, request_id, b"%d" % priority)


def encode_cancel(request_id: bytes) -> bytes:
    """Encode a request to cancel an attempt."""
    return encode_array(CANCEL, request_id)


def encode_fetch_page(request_id: bytes, page: int) -> bytes:
    """Encode a request for another page of a result."""
    return encode_array(FETCH_PAGE, request_id, b"%d" % page)


def encode_close_result(request_id: bytes) -> bytes:
    """Encode a request to release a result of several pages."""
    return encode_array(CLOSE_RESULT, request_id)


def encode_load_report_request(tag: bytes) -> bytes:
    """Encode a request for a load report, whose answer has the tag as its request id."""
    return encode_array(LOAD_REPORT, tag)


def decode_answer(elements: list[bytes]) -> Answer:
    """Decode an answer. Raises RespError if the number of elements is wrong."""
    if len(elements) not in (3, 4):
        raise RespError(f"an answer has {len(elements)} elements instead of 3 or 4")
    return Answer(
        elements[0], elements[1], decode_fields(elements[2]), elements[3] if len(elements) == 4 else b""
    )


def decode_kind(kind: bytes) -> AnswerKind:
    """Decode the kind of an answer to an attempt. Raises RespError if it is unknown."""
    answer_kind = ANSWER_KINDS.get(kind)
    if answer_kind is None:
        raise RespError(f"unknown kind of answer: {kind[:40]!r}")
    return answer_kind


def decode_number(text: str | None) -> float:
    """Decode a number of an answer; return 0 if it is absent, malformed or out of range."""
    try:
        value = float(text) if text else 0.0
    except ValueError:
        return 0.0
    return value if 0 <= value < MAX_REPORTED_NUMBER else 0.0


def decode_load_report(fields: dict[str, str]) -> dict[str, float]:
    """Decode an answer's load report, such as inflight:7;util:0.61, with the scheduler's names as keys."""
    report = {}
    for part in fields.get("gauges", "").split(";", MAX_REPORT_VALUES)[:MAX_REPORT_VALUES]:
        name, separator, value = part.partition(":")
        if separator:
            try:
                report[LOAD_REPORT_FIELDS.get(name, name)] = float(value)
            except ValueError:
                continue
    return report
