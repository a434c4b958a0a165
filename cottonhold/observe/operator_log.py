"""The interface of the operators' log; the platform and other installations write it in different forms."""

from __future__ import annotations

from typing import Protocol


class OperatorLog(Protocol):
    """The operators' log."""

    def write_line(self, text: str) -> None:
        """Write a line of text."""

    def note(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""
