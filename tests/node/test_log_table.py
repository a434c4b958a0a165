"""The operators' table of log events (docs/operators/log.md) lists each event in the code and its fields."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGES = ("discovery", "fleet_adapters", "node")
LOGGING_CALLS = {"note", "log_event", "log", "_log", "_log_open_work", "LogEvent"}
EVENT = re.compile(r"[a-z]+(_[a-z]+)*")
ROW = re.compile(r"\| ((?:`[a-z_]+`(?:, )?)+) \| [^|]* \| ([^|]*) \|")
NOT_FIELDS = {"counted_as"}  # parameters of the logging calls themselves


def logged_events() -> Iterator[tuple[str, set[str]]]:
    """Yield each event that is logged, with the names of the fields that the call passes as keywords."""
    for package in PACKAGES:
        for path in sorted((ROOT / "cottonhold" / package).rglob("*.py")):
            for call in ast.walk(ast.parse(path.read_text())):
                if isinstance(call, ast.Call) and call.args and called_name(call) in LOGGING_CALLS:
                    event = call.args[0]
                    if isinstance(event, ast.Constant) and EVENT.fullmatch(str(event.value)):
                        names = {keyword.arg for keyword in call.keywords if keyword.arg is not None}
                        yield str(event.value), names - NOT_FIELDS


def called_name(call: ast.Call) -> str:
    return call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")


def documented_events() -> dict[str, set[str]]:
    """Return the events of the table with their fields."""
    text = (ROOT / "docs" / "operators" / "log.md").read_text()
    return {
        event: set(re.findall(r"`([a-z_]+)`", fields))
        for events, fields in ROW.findall(text)
        for event in re.findall(r"`([a-z_]+)`", events)
    }


def test_the_table_names_every_event_and_no_other() -> None:
    assert documented_events().keys() == {event for event, _ in logged_events()}


def test_the_table_names_every_field() -> None:
    documented = documented_events()
    missing = {event: fields - documented[event] for event, fields in logged_events()}
    assert not {event: fields for event, fields in missing.items() if fields}
