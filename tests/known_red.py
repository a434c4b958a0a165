"""Parses KNOWN-RED.txt, the list of tests that are known to fail.

Each line is `test node id | cause | issue`; empty lines are ignored.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedError(Exception):
    """The list can't be used; the message gives the reason in one line."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails because of a known fault."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def parse_known_red(text: str) -> dict[str, KnownRed]:
    """Parse the list of known failing tests.

    Returns:
        The entries by node id.

    Raises:
        KnownRedError: A line is malformed, a test is listed twice, or there are more than MAX_ENTRIES.
    """
    entries: dict[str, KnownRed] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        # The id of a parametrised test may contain the separator, so only the last two separate fields.
        parts = [part.strip() for part in line.rsplit("|", 2)]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{FILE_NAME}, line {number}: not `test node id | cause | issue`")
        entry = KnownRed(*parts)
        if entry.test in entries:
            raise KnownRedError(f"{FILE_NAME}, line {number}: {entry.test} is listed twice")
        entries[entry.test] = entry
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{FILE_NAME}: {len(entries)} tests, {MAX_ENTRIES} at most may be known to fail")
    return entries


def check_all_collected(known: Collection[str], collected: Collection[str]) -> None:
    """Check that all listed tests exist.

    Raises:
        KnownRedError: A listed test is not among the collected ones.
    """
    if unknown := sorted(set(known) - set(collected)):
        raise KnownRedError(f"{FILE_NAME}: no such test: {', '.join(unknown)}")
