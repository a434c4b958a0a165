"""Filter expressions: `SELECTOR == "x"`, `SELECTOR != "x"` and `"x" in SELECTOR`, joined by `and`."""

from __future__ import annotations

import re
from typing import Any

from cottonhold.emulator.consul.entries import ApiError, Json

TERM = re.compile(
    r"""\s*(?:(?P<left>[\w.]+(?:\["[^"]*"\])?)\s*(?P<op>==|!=)\s*"(?P<value>[^"]*)"
        |"(?P<member>[^"]*)"\s+(?P<negated>not\s+)?in\s+(?P<of>[\w.]+))\s*""",
    re.VERBOSE,
)
SELECTOR_PART = re.compile(r'\["([^"]*)"\]|(\w+)')
CONJUNCTION = "and "


def matches(row: Json, expression: str) -> bool:
    """Return whether a row passes a filter. Raises ApiError for an unsupported expression."""
    position = 0
    while True:
        term = TERM.match(expression, position)
        if term is None:
            raise _unsupported(expression)
        if not _matches_term(row, term):
            return False
        position = term.end()
        if position == len(expression):
            return True
        if not expression.startswith(CONJUNCTION, position):
            raise _unsupported(expression)
        position += len(CONJUNCTION)


def _matches_term(row: Json, term: re.Match[str]) -> bool:
    if term["left"]:
        return (_select(row, term["left"]) == term["value"]) is (term["op"] == "==")
    return (term["member"] in (_select(row, term["of"]) or [])) is not bool(term["negated"])


def _select(row: Any, selector: str) -> Any:
    for quoted, plain in SELECTOR_PART.findall(selector):
        row = row.get(quoted or plain) if isinstance(row, dict) else None
    return row


def _unsupported(expression: str) -> ApiError:
    return ApiError(400, f"Failed to create boolean expression evaluator: {expression!r}")
