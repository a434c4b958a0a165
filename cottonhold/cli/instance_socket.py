"""Calls a running instance through its local socket and prints its answers as tables."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import typer

SocketOption = Annotated[Path, typer.Option("--socket", help="The instance's status_socket.")]
JsonOption = Annotated[bool, typer.Option("--json", help="For scripts.")]


def call_instance(socket_path: Path, call: dict[str, Any] | None = None) -> dict[str, Any]:
    """Call an instance and return its answer; the default call is `view`.

    Raises:
        typer.Exit: With code 1 if the instance doesn't answer, and with code 2 if it refuses the call.
    """
    from cottonhold.node.status import call_instance

    try:
        answer = call_instance(socket_path, call or {"call": "view"})
    except (OSError, ValueError) as error:
        print(f"{socket_path}: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    if "error" in answer:
        print(f"{socket_path}: {answer['error']}", file=sys.stderr)
        raise typer.Exit(2)
    return answer


def print_table(rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Print rows as lines with aligned columns."""
    cells = [columns, *[[str("" if row[c] is None else row[c]) for c in columns] for row in rows]]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip())
