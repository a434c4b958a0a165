"""Problems of a configuration: each is one line, with the place of the field that has to change."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

FieldPath = tuple[str | int, ...]  # keys and list positions, from the file's top level
ReportProblem = Callable[[FieldPath, str], None]  # takes a field's path and what is wrong with it


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One problem: the file, the field's path (empty: the whole file), the reason, the line (0: unknown)."""

    file: str
    path: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.path}: {self.reason}" if self.path else f"{place}: {self.reason}"


def format_field_path(path: FieldPath) -> str:
    """A path as in sources[0].guard.floor."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
