"""Problems of a configuration file, each with the location of the field that has to change."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

FieldPath = tuple[str | int, ...]  # keys and list indices from the top level of the file to the field
ReportProblem = Callable[[FieldPath, str], None]  # called with a field's path and the reason


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """A problem of a configuration file; its string is one line.

    Attributes:
        file: Name of the file.
        path: Formatted path of the field; empty for the whole file.
        reason: What is wrong.
        line: Line number of the field; 0 if unknown.
    """

    file: str
    path: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.path}: {self.reason}" if self.path else f"{place}: {self.reason}"


def format_field_path(path: FieldPath) -> str:
    """Format a path as in `sources[0].guard.floor`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
