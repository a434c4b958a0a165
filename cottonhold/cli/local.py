"""Calls at a running instance's local socket, and tables of what it answers."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import typer

SocketOption = Annotated[Path, typer.Option("--socket", help="The instance's status_socket.")]
JsonOption = Annotated[bool, typer.Option("--json", help="For scripts.")]


def ask(path: Path, call: dict[str, Any] | None = None) -> dict[str, Any]:
    """An instance's answer; code 1 where it can't be had, 2 where the call can't be taken."""
    from cottonhold.node.status import ask as ask_socket

    try:
        answer = ask_socket(path, call or {"call": "view"})
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    if "error" in answer:
        print(f"{path}: {answer['error']}", file=sys.stderr)
        raise typer.Exit(2)
    return answer


def table(rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Rows as lines with their columns under one another."""
    shown = [columns, *[[str("" if row[c] is None else row[c]) for c in columns] for row in rows]]
    widths = [max(len(row[i]) for row in shown) for i in range(len(columns))]
    for row in shown:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())
