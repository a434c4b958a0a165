"""Decodes the comment before a statement, which contains the request's fields, and finds the table group.

The names of fields on the wire are mapped here to the names that the code uses.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

COMMENT = re.compile(rb"\s*/\*(.*?)\*/\s*", re.DOTALL)
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
    comment = COMMENT.match(text)
    if comment is None:
        raise FieldError("no comment with fields before the statement: field 'service' is missing")
    fields = decode_fields(comment[1])
    check_fields(fields)
    timeout_ms = decode_number(fields, "allow")
    if timeout_ms <= 0:
        raise FieldError("field 'allow' leaves no time")
    body = text[comment.end() :]
    return Statement(
        class_name=fields["service"],
        request_id=fields["ref"],
        timeout_ms=timeout_ms,
        is_retry=decode_retry(fields),
        idempotency_key=decode_idempotency_key(fields),
        estimated_work_ms=decode_number(fields, "effort"),
        estimated_memory_mb=decode_number(fields, "room"),
        ordering_key=fields.get("lookup") or None,
        body=body,
        table_group=table_group(body.decode("utf-8", "replace")),
        tenant=fields.get("project"),
    )


def decode_fields(comment: bytes) -> dict[str, str]:
    """Return the comment's fields by name.

    Raises:
        FieldError: A field occurs twice with different values.
    """
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
    tokens = [(m.lastgroup, m[0]) for m in SQL_TOKEN.finditer(sql) if m.lastgroup]
    fallback, is_table = -1, False
    for position, (kind, text) in enumerate(tokens):
        if kind != "name":
            is_table = is_table and kind != "other"
            continue
        if text.upper() in TABLE_KEYWORDS:
            is_table = True
            continue
        group = schema_group(text) if is_qualifier(tokens, position) else None
        if group is None:
            continue
        if is_table:
            return group
        fallback = group if fallback < 0 else fallback
    return fallback


def is_qualifier(tokens: Sequence[tuple[str, str]], position: int) -> bool:
    """Return whether the token at a position is the first part of a qualified name."""
    if position + 1 >= len(tokens) or tokens[position + 1][0] != "dot":
        return False
    return position == 0 or tokens[position - 1][0] != "dot"


def schema_group(text: str) -> int | None:
    """Return the number at the end of a schema's name; None if it has none or is the staging schema."""
    name = text.strip("`")
    match = NUMBERED_SCHEMA.match(name)
    if name.lower() == "staging" or match is None:
        return None
    return int(match[1])
