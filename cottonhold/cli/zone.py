"""`cottonhold zone`: shows the state of each zone and sets operators' overrides."""

from __future__ import annotations

import getpass
import json
import re
import time
from typing import Annotated, Any

import typer

from cottonhold.cli.instance_socket import JsonOption, SocketOption, call_instance, print_table

app = typer.Typer(help="Show zones; leave one or return to it by hand, as a fleet.", no_args_is_help=True)
ZoneArgument = Annotated[str, typer.Argument(help="The zone's name.")]
DurationOption = Annotated[str, typer.Option("--for", help="How long the order holds, as 90s, 10m or 2h.")]
ReasonOption = Annotated[str, typer.Option("--why", help="The reason, for the others on call.")]
OperatorOption = Annotated[str, typer.Option("--who", help="Who orders it; the user, if not given.")]
UNIT_MS = {"s": 1000, "m": 60_000, "h": 3_600_000}
CONFIRM_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.1


def parse_duration_ms(text: str) -> int:
    """Return a duration such as `10m` in ms. Raises typer.BadParameter."""
    match = re.fullmatch(r"(\d{1,6})([smh])", text)
    if not match or not int(match[1]):
        raise typer.BadParameter(f"'{text}' is no time like 90s, 10m or 2h")
    return int(match[1]) * UNIT_MS[match[2]]


@app.command()
def show(path: SocketOption, as_json: JsonOption = False) -> None:
    """Print each zone as this instance sees it, with the order by hand on it and who hasn't confirmed it."""
    rows = _zone_rows(call_instance(path))
    if as_json:
        print(json.dumps(rows))
        return
    columns = ["zone", "phase", "why", "since_ms", "pace", "votes_out", "heard", "electorate", "hold_ms"]
    print_table(rows, columns)
    for row in rows:
        if override := row["order"]:
            print(f"{row['zone']}: {_format_override(override)}")


@app.command()
def leave(
    zone: ZoneArgument,
    path: SocketOption,
    duration: DurationOption,
    reason: ReasonOption,
    operator: OperatorOption = "",
) -> None:
    """Have all instances send nothing there until the time is over, whatever its engines answer."""
    _set_override("leave", zone, path, duration, reason, operator)


@app.command(name="return")
def return_(
    zone: ZoneArgument,
    path: SocketOption,
    duration: DurationOption,
    reason: ReasonOption,
    operator: OperatorOption = "",
) -> None:
    """Have all instances return to a zone, at its pace, and pass over evidence until the time is over."""
    _set_override("return", zone, path, duration, reason, operator)


@app.command()
def free(zone: ZoneArgument, path: SocketOption, reason: ReasonOption, operator: OperatorOption = "") -> None:
    """Take the order on a zone back: evidence counts again."""
    _set_override("free", zone, path, "1h", reason, operator)


def _set_override(
    mode: str, zone: str, path: SocketOption, duration_text: str, reason: str, operator: str
) -> None:
    """Set an override and wait for the other instances to confirm it.

    Raises:
        typer.Exit: Code 1 if an instance has not confirmed within CONFIRM_TIMEOUT_S, else 0.
    """
    call = {
        "call": "order",
        "mode": mode,
        "zone": zone,
        "for_ms": parse_duration_ms(duration_text),
        "who": operator or getpass.getuser(),
        "why": reason,
    }
    override = _find_override(call_instance(path, call), zone)
    deadline = time.monotonic() + CONFIRM_TIMEOUT_S
    while override and override["unconfirmed"] and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        override = _find_override(call_instance(path), zone)
    if override:
        print(f"{zone}: {_format_override(override)}")
        raise typer.Exit(1 if override["unconfirmed"] else 0)
    print(f"{zone}: no order")


def _find_override(answer: dict[str, Any], zone: str) -> dict[str, Any] | None:
    return next((row["order"] for row in _zone_rows(answer) if row["zone"] == zone), None)


def _zone_rows(answer: dict[str, Any]) -> list[dict[str, Any]]:
    if "zones" not in answer:
        print("this instance has no section 'fleet'")
        raise typer.Exit(2)
    rows: list[dict[str, Any]] = answer["zones"]
    return rows


def _format_override(override: dict[str, Any]) -> str:
    unconfirmed_by = ", ".join(override["unconfirmed"])
    remaining = f"{override['left_ms'] / 1000:.0f} s left"
    state = f"not confirmed by: {unconfirmed_by}" if unconfirmed_by else "confirmed by all that are there"
    return f"{override['mode']} by {override['who']} ({override['why']}), {remaining}, {state}"
