"""Decodes the comment before a statement, which contains the request's fields, and finds the table group.

The names of fields on the wire are mapped here to the names that the code uses.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

COMMENT_START, COMMENT_END, BLANKS = re.compile(rb"\s*/\*"), b"*/", re.compile(rb"\s*")
# Limits of what is decoded, since a request costs as much time as it has fields and tokens.
MAX_COMMENT_BYTES = 4096  # of the comment with the fields, and of the blanks before it
MAX_FIELDS = 64
MAX_KEY_CHARACTERS = 256  # of an ordering key
MAX_TOKENS = 2000  # of a statement in which a table's schema is looked for
REQUEST_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.:+/-]{1,128}\Z")  # sent to engines unchanged
REQUIRED_FIELDS = ("service", "ref", "allow")
NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,20})?\Z")  # float() accepts more, such as "nan" and "1_0"
MAX_NUMBER = 3.6e6  # one hour in ms, the longest time that a query may run or wait
# Strings and comments are matched first, so that names inside them are ignored.
# An unterminated string or comment matches the rest of the text, so that matching takes linear time.
SQL_TOKEN = re.compile(
    r"""'(?:[^'\\]|\\(?:.|\Z)|'')*+(?:'|\Z)|"(?:[^"\\]|\\(?:.|\Z)|"")*+(?:"|\Z)"""
    r"""|/\*.*?(?:\*/|\Z)|\#[^\n]*|--(?=\s|\Z)[^\n]*"""
    r"""|(?P<name>`(?:[^`]|``)*+(?:`|\Z)|[A-Za-z_$\u0080-\uffff][\w$]*)|(?P<dot>\.)|(?P<comma>,)|(?P<other>\S)""",
    re.DOTALL,
)
NUMBERED_SCHEMA = re.compile(r".*_(\d{1,9})\Z", re.DOTALL)
PLAIN_TABLE = re.compile(
    r"\b(?:FROM|INTO|UPDATE|JOIN)\s+[A-Za-z][\w$]*_(\d{1,9})\.\w", re.IGNORECASE | re.ASCII
)
QUOTE_OR_COMMENT = re.compile(r"['\"`#]|--|/\*")
TABLE_KEYWORDS = {"FROM", "JOIN", "INTO", "UPDATE", "TABLE", "USING"}


class FieldError(Exception):
    """A field is missing or invalid; the message names it."""


@dataclass(slots=True, frozen=True)
class Statement:
    """A request's fields, and its statement without the comment that contained them."""

    class_name: str
    request_id: str
    timeout_ms: float
    is_retry: bool
    estimated_work_ms: float
    estimated_memory_mb: float
    ordering_key: str | None
    body: bytes
    table_group: int
    tenant: str | None = None  # the tenant's name; None if the client names none
    idempotency_key: str | None = None  # identical on all attempts of one request


def parse(text: bytes) -> Statement:
    """Decode a statement with the comment before it.

    Raises:
        FieldError: The comment or a required field is missing, or a field is invalid.
    """
    comment, body = split_comment(text)
    fields = decode_fields(comment)
    check_fields(fields)
    timeout_ms = decode_number(fields, "allow")
    if timeout_ms <= 0:
        raise FieldError("field 'allow' leaves no time")
    return Statement(
        class_name=fields["service"],
        request_id=fields["ref"],
        timeout_ms=timeout_ms,
        is_retry=decode_retry(fields),
        idempotency_key=decode_idempotency_key(fields),
        estimated_work_ms=decode_number(fields, "effort"),
        estimated_memory_mb=decode_number(fields, "room"),
        ordering_key=decode_ordering_key(fields),
        body=body,
        table_group=table_group(body.decode("utf-8", "replace")),
        tenant=fields.get("project"),
    )


def split_comment(text: bytes) -> tuple[bytes, bytes]:
    """Return the content of the comment before a statement, and the statement after it.

    Raises:
        FieldError: There is no such comment, or it is too long.
    """
    start = COMMENT_START.match(text[:MAX_COMMENT_BYTES])
    if start is None:
        raise FieldError("no comment with fields before the statement: field 'service' is missing")
    end = text.find(COMMENT_END, start.end(), MAX_COMMENT_BYTES)
    if end < 0:
        raise FieldError(f"the comment with the fields does not end within {MAX_COMMENT_BYTES} bytes")
    blanks = BLANKS.match(text, end + len(COMMENT_END))
    assert blanks is not None
    return text[start.end() : end], text[blanks.end() :]


def decode_ordering_key(fields: dict[str, str]) -> str | None:
    """Return the key by which requests are ordered, or None if there is none. Raises FieldError."""
    key = fields.get("lookup") or None
    if key is not None and len(key) > MAX_KEY_CHARACTERS:
        raise FieldError(f"field 'lookup' has over {MAX_KEY_CHARACTERS} characters")
    return key


def decode_fields(comment: bytes) -> dict[str, str]:
    """Return the comment's fields by name.

    Raises:
        FieldError: A field occurs twice with different values, or there are too many fields.
    """
    if comment.count(b",") >= MAX_FIELDS:
        raise FieldError(f"the comment has over {MAX_FIELDS} fields")
    fields: dict[str, str] = {}
    for part in comment.decode("utf-8", "replace").split(","):
        name, separator, value = part.strip().partition("=")
        if separator and fields.setdefault(name, value) != value:
            raise FieldError(f"field '{name[:40]}' is there twice")
    return fields


def check_fields(fields: dict[str, str]) -> None:
    """Raise FieldError if a required field is missing or the request id is malformed."""
    for name in REQUIRED_FIELDS:
        if name not in fields:
            raise FieldError(f"field '{name}' is missing")
    if not REQUEST_ID.match(fields["ref"]):
        raise FieldError("field 'ref' is not 16 hex digits")


def decode_retry(fields: dict[str, str]) -> bool:
    """Return whether the client has sent the request before. Raises FieldError."""
    text = fields.get("dup", "0")
    if text not in ("0", "1"):
        raise FieldError("field 'dup' is neither 0 nor 1")
    return text == "1"


def decode_idempotency_key(fields: dict[str, str]) -> str | None:
    """Return the client's idempotency key, or None if there is none. Raises FieldError."""
    key = fields.get("replay")
    if key is not None and not IDEMPOTENCY_KEY.match(key):
        raise FieldError("field 'replay' can't be passed on as a key")
    return key


def decode_number(fields: dict[str, str], name: str) -> float:
    """Return the value of a numeric, non-negative field, 0 if it is absent. Raises FieldError."""
    text = fields.get(name, "0")
    if not NUMBER.match(text) or (value := float(text)) > MAX_NUMBER:
        raise FieldError(f"field '{name}' is not a number, or out of range")
    return value


def table_group(sql: str) -> int:
    """Return the number at the end of the schema's name, as 7 in `s_7`; -1 if no schema has one.

    A qualified name after one of TABLE_KEYWORDS is certainly a table and is preferred. Elsewhere `a_1.x` may
    also be a column of a table alias, so it is only used if there is no such table.
    """
    plain = PLAIN_TABLE.search(sql)
    # The fast path covers most statements.
    if plain and not QUOTE_OR_COMMENT.search(sql, 0, plain.start()):
        return int(plain[1])
    fallback, is_table = -1, False
    for kind, text, is_qualifier in _tokens(sql):
        if kind != "name":
            is_table = is_table and kind != "other"
            continue
        if text.upper() in TABLE_KEYWORDS:
            is_table = True
            continue
        group = schema_group(text) if is_qualifier else None
        if group is None:
            continue
        if is_table:
            return group
        fallback = group if fallback < 0 else fallback
    return fallback


class Token(NamedTuple):
    """A token of a statement; strings and comments are none."""

    kind: str  # name, dot, comma or other
    text: str
    is_qualifier: bool = False  # whether it is the first part of a qualified name


def _tokens(sql: str) -> Iterator[Token]:
    """Yield the first MAX_TOKENS tokens of a statement."""
    matches = (match for match in SQL_TOKEN.finditer(sql) if match.lastgroup)
    previous_kind, name = "", None
    for match in itertools.islice(matches, MAX_TOKENS):
        kind = str(match.lastgroup)
        if name is not None:
            yield Token("name", name, kind == "dot" and previous_kind != "dot")
            previous_kind, name = "name", None
        if kind == "name":
            name = match[0]
        else:
            yield Token(kind, match[0])
            previous_kind = kind
    if name is not None:
        yield Token("name", name)


def schema_group(text: str) -> int | None:
    """Return the number at the end of a schema's name; None if it has none or is the staging schema."""
    name = text.strip("`")
    match = NUMBERED_SCHEMA.match(name)
    if name.lower() == "staging" or match is None:
        return None
    return int(match[1])
