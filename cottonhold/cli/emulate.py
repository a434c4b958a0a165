"""`cottonhold emulate`: emulators of Consul and of an engine, on loopback."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(help="Stand-ins on loopback, for demos, tests and measurements.", no_args_is_help=True)


@app.command()
def consul(
    listen: Annotated[str, typer.Option(help="Where to listen, as 127.0.0.1:PORT.")] = "127.0.0.1:8500",
    script: Annotated[Path | None, typer.Option(help="Faults by time, one a line.")] = None,
    token: Annotated[str, typer.Option(help="If given, calls without this token get 403.")] = "",
) -> None:
    """Run the stand-in for Consul's agent, catalogue, health and status endpoints."""
    from cottonhold.emulator.consul.server import run

    raise typer.Exit(run(listen, script, token))


@app.command()
def engine(
    listen: Annotated[str, typer.Option(help="Where to listen, as 127.0.0.1:PORT.")] = "127.0.0.1:0",
    engine_id: Annotated[str, typer.Option("--id", help="The engine's id.")] = "e1",
    consul: Annotated[str, typer.Option(help="Register at this agent, as 127.0.0.1:PORT.")] = "",
    service: Annotated[str, typer.Option(help="The service's name in Consul.")] = "engine",
    work_ms: Annotated[float, typer.Option(help="How long each query runs.")] = 5.0,
) -> None:
    """Run a stand-in engine that answers each query with one row."""
    from cottonhold.emulator.engine import run

    raise typer.Exit(run(listen, engine_id, consul, service, work_ms))
