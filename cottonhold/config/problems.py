"""What is wrong with a configuration: each problem is one line."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One problem: the file, the field's path (empty: the whole file), why, and its line (0: not known)."""

    file: str
    path: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.path}: {self.reason}" if self.path else f"{place}: {self.reason}"


def path_text(path: tuple[str | int, ...]) -> str:
    """A path as in sources[0].guard.floor."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text
