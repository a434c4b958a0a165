"""Reads the list of known failing tests. Pure.

One line each: `test node id | cause | issue`. Empty lines mean nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedError(Exception):
    """The list can't be used; the text says why, in one line."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails for a known fault."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def parse_known_red(text: str) -> dict[str, KnownRed]:
    """The known failing tests by node id. Raises KnownRedError."""
    found: dict[str, KnownRed] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        # A parametrised test's id may have the separator in it: the last two are the line's.
        parts = [part.strip() for part in line.rsplit("|", 2)]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{NAME}, line {number}: not `test node id | cause | issue`")
        entry = KnownRed(*parts)
        if entry.test in found:
            raise KnownRedError(f"{NAME}, line {number}: {entry.test} is there twice")
        found[entry.test] = entry
    if len(found) > MAX_ENTRIES:
        raise KnownRedError(f"{NAME}: {len(found)} tests, {MAX_ENTRIES} at most may be known to fail")
    return found


def check_all_collected(known: Collection[str], collected: Collection[str]) -> None:
    """Raises KnownRedError where a listed test isn't among those collected."""
    if unknown := sorted(set(known) - set(collected)):
        raise KnownRedError(f"{NAME}: no such test: {', '.join(unknown)}")
