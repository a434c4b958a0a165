"""`cottonhold zone`: what the fleet does with each zone, and orders by hand. Any instance takes them."""

from __future__ import annotations

import getpass
import json
import re
import time
from typing import Annotated, Any

import typer

from cottonhold.cli.local import JsonOption, SocketOption, ask, table

app = typer.Typer(help="Show zones; leave one or return to it by hand, as a fleet.", no_args_is_help=True)
ZoneArgument = Annotated[str, typer.Argument(help="The zone's name.")]
ForOption = Annotated[str, typer.Option("--for", help="How long the order holds, as 90s, 10m or 2h.")]
WhyOption = Annotated[str, typer.Option("--why", help="The reason, for the others on call.")]
WhoOption = Annotated[str, typer.Option("--who", help="Who orders it; the user, if not given.")]
UNITS = {"s": 1000, "m": 60_000, "h": 3_600_000}
CONFIRM_S = 3.0  # so long `leave` and `return` wait for the others to confirm


def duration(text: str) -> int:
    """Milliseconds of a time like 10m. Raises typer.BadParameter."""
    found = re.fullmatch(r"(\d{1,6})([smh])", text)
    if not found or not int(found[1]):
        raise typer.BadParameter(f"'{text}' is no time like 90s, 10m or 2h")
    return int(found[1]) * UNITS[found[2]]


@app.command()
def show(path: SocketOption, as_json: JsonOption = False) -> None:
    """Print each zone as this instance sees it, with the order by hand on it and who hasn't confirmed it."""
    rows = _rows(ask(path))
    if as_json:
        print(json.dumps(rows))
        return
    columns = ["zone", "phase", "why", "since_ms", "pace", "votes_out", "heard", "electorate", "hold_ms"]
    table(rows, columns)
    for row in rows:
        if order := row["order"]:
            print(f"{row['zone']}: {_order_line(order)}")


@app.command()
def leave(
    zone: ZoneArgument, path: SocketOption, last: ForOption, why: WhyOption, who: WhoOption = ""
) -> None:
    """Have all instances send nothing there until the time is over, whatever its engines answer."""
    _order("leave", zone, path, last, why, who)


@app.command(name="return")
def return_(
    zone: ZoneArgument, path: SocketOption, last: ForOption, why: WhyOption, who: WhoOption = ""
) -> None:
    """Have all instances return to a zone, at its pace, and pass over evidence until the time is over."""
    _order("return", zone, path, last, why, who)


@app.command()
def free(zone: ZoneArgument, path: SocketOption, why: WhyOption, who: WhoOption = "") -> None:
    """Take the order on a zone back: evidence counts again."""
    _order("free", zone, path, "1h", why, who)


def _order(mode: str, zone: str, path: SocketOption, last: str, why: str, who: str) -> None:
    who = who or getpass.getuser()
    call = {"call": "order", "mode": mode, "zone": zone, "for_ms": duration(last), "who": who, "why": why}
    answer, until = ask(path, call), time.monotonic() + CONFIRM_S
    order = _find(answer, zone)
    while order and order["unconfirmed"] and time.monotonic() < until:
        time.sleep(0.1)
        order = _find(ask(path), zone)
    if order:
        print(f"{zone}: {_order_line(order)}")
        raise typer.Exit(1 if order["unconfirmed"] else 0)
    print(f"{zone}: no order")


def _find(answer: dict[str, Any], zone: str) -> dict[str, Any] | None:
    return next((row["order"] for row in _rows(answer) if row["zone"] == zone), None)


def _rows(answer: dict[str, Any]) -> list[dict[str, Any]]:
    if "zones" not in answer:
        print("this instance has no section 'fleet'")
        raise typer.Exit(2)
    rows: list[dict[str, Any]] = answer["zones"]
    return rows


def _order_line(order: dict[str, Any]) -> str:
    missing = ", ".join(order["unconfirmed"])
    left = f"{order['left_ms'] / 1000:.0f} s left"
    state = f"not confirmed by: {missing}" if missing else "confirmed by all that are there"
    return f"{order['mode']} by {order['who']} ({order['why']}), {left}, {state}"
