"""The comment before a statement, which holds the request's fields, and the tables that it reads."""

from __future__ import annotations

import re
from dataclasses import dataclass

HEAD = re.compile(rb"\s*/\*(.*?)\*/\s*", re.DOTALL)
REF = re.compile(r"[0-9a-fA-F]{16}\Z")
TOKEN_TEXT = re.compile(r"[0-9A-Za-z_.:+/-]{1,128}\Z")  # an idempotency key: passed on to engines as it is
NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,20})?\Z")  # float() takes more, as nan or 1_0
MOST_MS = 3.6e6  # an hour; no query here may take or wait for longer
# Strings and comments are matched first, so that names inside them do not count; one without an end has all.
# Danger: each opening mark without an end was looked for an end anew, and 60 KB of them took 7 s of the loop.
TOKEN = re.compile(
    r"""'(?:[^'\\]|\\(?:.|\Z)|'')*+(?:'|\Z)|"(?:[^"\\]|\\(?:.|\Z)|"")*+(?:"|\Z)"""
    r"""|/\*.*?(?:\*/|\Z)|\#[^\n]*|--(?=\s|\Z)[^\n]*"""
    r"""|(?P<name>`(?:[^`]|``)*+(?:`|\Z)|[A-Za-z_$\u0080-\uffff][\w$]*)|(?P<dot>\.)|(?P<comma>,)|(?P<other>\S)""",
    re.DOTALL,
)
GROUP = re.compile(r".*_(\d{1,9})\Z", re.DOTALL)
PLAIN = re.compile(r"\b(?:FROM|INTO|UPDATE|JOIN)\s+[A-Za-z][\w$]*_(\d{1,9})\.\w", re.IGNORECASE | re.ASCII)
QUOTED = re.compile(r"['\"`#]|--|/\*")
SOURCES = {"FROM", "JOIN", "INTO", "UPDATE", "TABLE", "USING"}


class FieldError(Exception):
    """A field that is missing or can't be used; the text names it."""


@dataclass(slots=True, frozen=True)
class Statement:
    """A request's fields and its statement without the comment that held them."""

    class_name: str
    request_id: str
    timeout_ms: float
    is_retry: bool
    estimated_work_ms: float
    estimated_memory_mb: float
    ordering_key: str | None
    body: bytes
    table_group: int
    tenant: str | None = None  # by name; None where the client names none
    idempotency_key: str | None = None  # the idempotency key, the same for all tries of one request


def parse(text: bytes) -> Statement:
    """Read the comment's fields and find the group of tables."""
    head = HEAD.match(text)
    if head is None:
        raise FieldError("no comment with fields before the statement: field 'service' is missing")
    fields: dict[str, str] = {}
    for part in head[1].decode("utf-8", "replace").split(","):
        name, mark, value = part.strip().partition("=")
        if mark and fields.setdefault(name, value) != value:
            raise FieldError(f"field '{name[:40]}' is there twice")
    for name in ("service", "ref", "allow"):
        if name not in fields:
            raise FieldError(f"field '{name}' is missing")
    if not REF.match(fields["ref"]):
        raise FieldError("field 'ref' is not 16 hex digits")
    allow = number(fields, "allow")
    if allow <= 0:
        raise FieldError("field 'allow' leaves no time")
    if fields.get("dup", "0") not in ("0", "1"):
        raise FieldError("field 'dup' is neither 0 nor 1")
    token = fields.get("replay")
    if token is not None and not TOKEN_TEXT.match(token):
        raise FieldError("field 'replay' can't be passed on as a key")
    body = text[head.end() :]
    return Statement(
        class_name=fields["service"],
        request_id=fields["ref"],
        timeout_ms=allow,
        is_retry=fields.get("dup") == "1",
        estimated_work_ms=number(fields, "effort"),
        estimated_memory_mb=number(fields, "room"),
        ordering_key=fields.get("lookup") or None,
        body=body,
        table_group=table_group(body.decode("utf-8", "replace")),
        tenant=fields.get("project"),
        idempotency_key=token,
    )


def number(fields: dict[str, str], name: str) -> float:
    """A field that holds a number that is not negative; 0 where it is absent."""
    text = fields.get(name, "0")
    if not NUMBER.match(text) or (value := float(text)) > MOST_MS:
        raise FieldError(f"field '{name}' is not a number, or out of range")
    return value


def table_group(sql: str) -> int:
    """The number after the underscore in the schema's name; -1 where no schema has one.

    A name behind FROM, INTO or the like is a table for certain; `a_1.x` elsewhere may be an alias's column.
    """
    plain = PLAIN.search(sql)
    if plain and not QUOTED.search(sql, 0, plain.start()):  # most statements: no need to look at each word
        return int(plain[1])
    tokens = [(m.lastgroup, m[0]) for m in TOKEN.finditer(sql) if m.lastgroup]
    fallback, source = -1, False
    for i, (kind, text) in enumerate(tokens):
        if kind != "name":
            source = source and kind != "other"
            continue
        if text.upper() in SOURCES:
            source = True
            continue
        if i + 1 >= len(tokens) or tokens[i + 1][0] != "dot" or i and tokens[i - 1][0] == "dot":
            continue
        name = text.strip("`")
        if name.lower() == "staging" or not (found := GROUP.match(name)):
            continue
        if source:
            return int(found[1])
        fallback = int(found[1]) if fallback < 0 else fallback
    return fallback
