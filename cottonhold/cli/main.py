"""`cottonhold`: the command line of standalone dispatchers.

Exit codes: 0 for success, 1 for a failure, 2 if the configuration or the command can't be used.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from cottonhold.cli import emulate, trial, zone
from cottonhold.cli.instance_socket import JsonOption, SocketOption, call_instance, print_table

app = typer.Typer(
    help="A dispatcher between clients and a fleet of query engines.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(emulate.app, name="emulate")
app.add_typer(zone.app, name="zone")
app.add_typer(trial.app, name="trial")
SECRET_KEYS = ("token", "secret")
FileArgument = Annotated[Path, typer.Argument(help="A Jsonnet template, or plain JSON.", metavar="FILE")]


@app.command()
def serve(
    config: Annotated[
        Path | None, typer.Option("--config", help="The configuration; without it RELAY_CONFIG counts.")
    ] = None,
) -> None:
    """Run one dispatcher until SIGTERM; SIGHUP reloads."""
    if config is None:
        from cottonhold.__main__ import serve as serve_platform

        raise typer.Exit(serve_platform())
    from cottonhold.node.standalone.dispatcher import serve as serve_standalone

    raise typer.Exit(serve_standalone(config))


@app.command()
def check(file: FileArgument) -> None:
    """Check a configuration: one line a problem, and code 2 if there are any."""
    from cottonhold.config.installation import UnusableConfigError, read_installation

    try:
        installation = read_installation(file)
    except UnusableConfigError as error:
        for problem in error.problems:
            print(problem)
        raise typer.Exit(2) from None
    sources = ", ".join(name for name, _ in installation.sources)
    classes = ", ".join(c.name for c in installation.file.classes)
    print(f"{file}: good: {installation.file.name}, sources {sources}, classes {classes}")


@app.command()
def show(
    file: FileArgument,
    defaults: Annotated[bool, typer.Option("--defaults", help="With every default filled in.")] = False,
) -> None:
    """Print a configuration's evaluated values, tokens hidden."""
    import msgspec

    from cottonhold.config.installation import UnusableConfigError, evaluate_values, read_installation

    try:
        values = msgspec.to_builtins(read_installation(file).file) if defaults else evaluate_values(file)
    except UnusableConfigError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        raise typer.Exit(2) from None
    print(json.dumps(_hide_secrets(values), indent=2, ensure_ascii=False))


@app.command()
def members(path: SocketOption, as_json: JsonOption = False) -> None:
    """Print the other instances as a running one sees them."""
    view = call_instance(path)
    rows = view.get("members", [])
    if as_json:
        print(json.dumps({"name": view["name"], "members": rows}))
    else:
        print_table(rows, ["name", "address", "status", "incarnation", "since_ms"])


@app.command()
def duties(path: SocketOption, as_json: JsonOption = False) -> None:
    """Print who holds which duty as a running instance sees it."""
    view = call_instance(path)
    rows = view.get("duties", [])
    if as_json:
        print(json.dumps({"name": view["name"], "duties": rows, "runs": view.get("runs", {})}))
    else:
        print_table(rows, ["duty", "subject", "holder", "done_ms_ago"])


@app.command()
def metrics(path: SocketOption) -> None:
    """Print a running instance's counters and gauges, as Prometheus reads them."""
    print(call_instance(path, {"call": "metrics"})["metrics"], end="")


def _hide_secrets(value: object) -> object:
    """Return values without secrets, at any depth; the names of secret files are kept."""
    if isinstance(value, dict):
        return {
            key: "(hidden)" if key in SECRET_KEYS and inner else _hide_secrets(inner)
            for key, inner in value.items()
        }
    return [_hide_secrets(inner) for inner in value] if isinstance(value, list | tuple) else value


def main() -> None:
    """Run the command line; the entry point of the console script."""
    app()


if __name__ == "__main__":
    main()
