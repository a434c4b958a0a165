"""Finds on which line of a Jsonnet template a field is written literally.

A small reader of Jsonnet's shapes, not of its meaning: it follows objects, arrays and what is laid over them
(`base + { ... }`, `base { ... }`), and passes over all else. A field that is computed has no line; nothing is
guessed, since a wrong line is worse than none.
"""

from __future__ import annotations

import re

Path = tuple[str | int, ...]
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
OPEN, CLOSE = "{[(", "}])"


def lines_of(source: str) -> dict[Path, int]:
    """The line of each field and element that is written literally."""
    reader = _Reader(source)
    reader.value((), "")
    return reader.lines


class _Reader:
    def __init__(self, source: str) -> None:
        self.tokens: list[tuple[str, str, int]] = []
        line = 1
        for match in TOKEN.finditer(source):
            kind = match.lastgroup or ""
            if kind != "space":
                self.tokens.append((kind, match.group(), line))
            line += match.group().count("\n")
        self.at = 0
        self.lines: dict[Path, int] = {}

    def peek(self, ahead: int = 0) -> tuple[str, str, int]:
        place = self.at + ahead
        return self.tokens[place] if place < len(self.tokens) else ("end", "", 0)

    def value(self, path: Path, until: str) -> None:
        """One expression, up to one of the marks in `until` at its own depth."""
        first = True
        if self.peek()[1] in ("local", "assert") and not path:
            self._skip_locals()
        while (token := self.peek())[0] != "end" and not (token[1] in until and token[1]):
            text = token[1]
            if text == "{":
                self._object(path)
            elif text == "[" and first:
                self._array(path)
            elif text in OPEN and token[0] == "mark":
                self._skip()
            else:
                self.at += 1
            first = False

    def _skip_locals(self) -> None:
        """`local x = 1, y = 2;` before the value, again and again."""
        while self.peek()[1] in ("local", "assert"):
            while self.peek()[0] != "end" and self.peek()[1] != ";":
                if self.peek()[1] in OPEN and self.peek()[0] == "mark":
                    self._skip()
                else:
                    self.at += 1
            self.at += 1

    def _skip(self) -> None:
        depth = 0
        while self.peek()[0] != "end":
            kind, text, _ = self.peek()
            self.at += 1
            if kind == "mark" and text in OPEN:
                depth += 1
            elif kind == "mark" and text in CLOSE:
                depth -= 1
                if depth == 0:
                    return

    def _object(self, path: Path) -> None:
        self.at += 1
        while self.peek()[0] != "end" and self.peek()[1] != "}":
            kind, text, line = self.peek()
            if kind in ("name", "string") and self.peek(1)[0] == "colon":
                name = text if kind == "name" else text.lstrip("@")[1:-1]
                self.lines[(*path, name)] = line
                self.at += 2
                self.value((*path, name), ",}")
            elif text == ",":
                self.at += 1
            else:  # a local, an assert, a computed name, a comprehension: passed over
                while self.peek()[0] != "end" and self.peek()[1] not in (",", "}"):
                    if self.peek()[0] == "mark" and self.peek()[1] in OPEN:
                        self._skip()
                    else:
                        self.at += 1
        self.at += 1

    def _array(self, path: Path) -> None:
        begin, number = self.at, 0
        self.at += 1
        while self.peek()[0] != "end" and self.peek()[1] != "]":
            if self.peek()[1] == ",":
                self.at += 1
                continue
            self.lines[(*path, number)] = self.peek()[2]
            self.value((*path, number), ",]")
            number += 1
        if any(t[0] == "name" and t[1] == "for" for t in self.tokens[begin : self.at]):
            # A comprehension: which element it is that is wrong can't be told.
            for known in [p for p in self.lines if p[: len(path)] == path and len(p) > len(path)]:
                del self.lines[known]
        self.at += 1
