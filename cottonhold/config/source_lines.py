"""Finds the lines of the fields that a Jsonnet template contains literally.

The template is parsed but not evaluated. The parser handles objects, arrays and objects that are merged with
another value (`base + { ... }`, `base { ... }`), and skips everything else. Computed fields have no line,
since a wrong line would be worse than none.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from cottonhold.config.problems import FieldPath

TOKEN = re.compile(
    r"""
    (?P<space>\s+|//[^\n]*|\#[^\n]*|/\*.*?\*/)
  | (?P<block>\|\|\|-?[ \t]*\n.*?\n[ \t]*\|\|\|)
  | (?P<string>@"(?:[^"]|"")*"|@'(?:[^']|'')*'|"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
  | (?P<name>[A-Za-z_][A-Za-z0-9_]*)
  | (?P<number>\d[\d.eE+-]*)
  | (?P<colon>\+?:{1,3})
  | (?P<mark>[{}\[\](),;])
  | (?P<other>.)
    """,
    re.VERBOSE | re.DOTALL,
)
OPENING, CLOSING = "{[(", "}])"


class Token(NamedTuple):
    """A token of a template.

    Attributes:
        kind: Name of the group in TOKEN that matched, or "end".
        text: The text of the token.
        line: The line on which it starts, from 1.
    """

    kind: str
    text: str
    line: int

    @property
    def is_end(self) -> bool:
        """Return whether this token is the end of the template."""
        return self.kind == "end"

    @property
    def is_opening(self) -> bool:
        """Return whether this token opens a bracket."""
        return self.kind == "mark" and self.text in OPENING

    @property
    def is_closing(self) -> bool:
        """Return whether this token closes a bracket."""
        return self.kind == "mark" and self.text in CLOSING


END = Token("end", "", 0)


def find_field_lines(source: str) -> dict[FieldPath, int]:
    """Return the line of each field and list element that a template contains literally."""
    parser = _Parser(tokenize(source))
    parser.parse_template()
    return parser.lines


def tokenize(source: str) -> list[Token]:
    """Split a template into tokens, without whitespace and comments."""
    tokens: list[Token] = []
    line = 1
    for match in TOKEN.finditer(source):
        kind = match.lastgroup or ""
        if kind != "space":
            tokens.append(Token(kind, match.group(), line))
        line += match.group().count("\n")
    return tokens


class _Parser:
    def __init__(self, tokens: list[Token]) -> None:
        self.tokens = tokens
        self.position = 0
        self.lines: dict[FieldPath, int] = {}

    def parse_template(self) -> None:
        while self._peek().text in ("local", "assert"):
            self._skip_to(";")
            self.position += 1
        self._parse_value((), terminators="")

    def _peek(self, ahead: int = 0) -> Token:
        position = self.position + ahead
        return self.tokens[position] if position < len(self.tokens) else END

    def _parse_value(self, path: FieldPath, terminators: str) -> None:
        """Parse one expression, up to a terminator outside its brackets; records the lines of its fields."""
        is_first = True
        while not (token := self._peek()).is_end and not (token.text and token.text in terminators):
            if token.text == "{":
                self._parse_object(path)
            elif token.text == "[" and is_first:
                self._parse_array(path)
            else:
                self._skip()
            is_first = False

    def _parse_object(self, path: FieldPath) -> None:
        self.position += 1
        while not (token := self._peek()).is_end and token.text != "}":
            if token.kind in ("name", "string") and self._peek(1).kind == "colon":
                name = token.text if token.kind == "name" else token.text.lstrip("@")[1:-1]
                self.lines[(*path, name)] = token.line
                self.position += 2
                self._parse_value((*path, name), terminators=",}")
            elif token.text == ",":
                self.position += 1
            else:  # a local, an assert, a computed field name or a comprehension
                self._skip_to(",}")
        self.position += 1

    def _parse_array(self, path: FieldPath) -> None:
        start, index = self.position, 0
        self.position += 1
        while not (token := self._peek()).is_end and token.text != "]":
            if token.text == ",":
                self.position += 1
                continue
            self.lines[(*path, index)] = token.line
            self._parse_value((*path, index), terminators=",]")
            index += 1
        if any(token.kind == "name" and token.text == "for" for token in self.tokens[start : self.position]):
            self._forget_elements(path)
        self.position += 1

    def _forget_elements(self, path: FieldPath) -> None:
        """Remove the lines recorded in a list comprehension, since its elements are computed."""
        for inner in [p for p in self.lines if p[: len(path)] == path and len(p) > len(path)]:
            del self.lines[inner]

    def _skip_to(self, terminators: str) -> None:
        """Skip to a terminator outside brackets, or to the end."""
        while not (token := self._peek()).is_end and not (token.text and token.text in terminators):
            self._skip()

    def _skip(self) -> None:
        """Skip one token, or an opening bracket and everything up to its closing bracket."""
        depth = 0
        while not (token := self._peek()).is_end:
            self.position += 1
            if token.is_opening:
                depth += 1
            elif token.is_closing:
                depth -= 1
            if depth <= 0:
                return
