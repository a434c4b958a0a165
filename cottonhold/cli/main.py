"""`cottonhold`: the command line of other installations. Thin: each command parses, calls one part, and
prints.

Exit codes: 0 done, 1 it failed, 2 the configuration or the command can't be used.
"""

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from cottonhold.cli import emulate

app = typer.Typer(
    help="A dispatcher between clients and a fleet of query engines.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(emulate.app, name="emulate")
FileArgument = Annotated[Path, typer.Argument(help="A Jsonnet template, or plain JSON.", metavar="FILE")]


@app.command()
def serve(
    config: Annotated[
        Path | None, typer.Option("--config", help="The configuration; without it RELAY_CONFIG counts.")
    ] = None,
) -> None:
    """Run one dispatcher until SIGTERM; SIGHUP reloads."""
    if config is None:
        from cottonhold.__main__ import serve as serve_relay

        raise typer.Exit(serve_relay())
    from cottonhold.node.installation import serve as serve_installation

    raise typer.Exit(serve_installation(config))


@app.command()
def check(file: FileArgument) -> None:
    """Check a configuration: one line a problem, and code 2 if there are any."""
    from cottonhold.config.installation import Unusable, read

    try:
        installation = read(file)
    except Unusable as error:
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

    from cottonhold.config.installation import Unusable, read, values

    try:
        shown = msgspec.to_builtins(read(file).file) if defaults else values(file)
    except Unusable as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        raise typer.Exit(2) from None
    print(json.dumps(_hide(shown), indent=2, ensure_ascii=False))


SocketOption = Annotated[Path, typer.Option("--socket", help="The instance's status_socket.")]
JsonOption = Annotated[bool, typer.Option("--json", help="For scripts.")]


def _ask(path: Path) -> dict[str, Any]:
    """An instance's view from its local socket; code 1 where it can't be had."""
    data = b""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(5)
            sock.connect(str(path))
            while part := sock.recv(65536):
                data += part
        view: dict[str, Any] = json.loads(data)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    return view


def _table(rows: list[dict[str, Any]], columns: list[str]) -> None:
    shown = [columns, *[[str("" if row[c] is None else row[c]) for c in columns] for row in rows]]
    widths = [max(len(row[i]) for row in shown) for i in range(len(columns))]
    for row in shown:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())


@app.command()
def members(path: SocketOption, as_json: JsonOption = False) -> None:
    """Print the other instances as a running one sees them."""
    view = _ask(path)
    rows = view.get("members", [])
    if as_json:
        print(json.dumps({"name": view["name"], "members": rows}))
    else:
        _table(rows, ["name", "address", "status", "incarnation", "since_ms"])


@app.command()
def duties(path: SocketOption, as_json: JsonOption = False) -> None:
    """Print who holds which duty as a running instance sees it."""
    view = _ask(path)
    rows = view.get("duties", [])
    if as_json:
        print(json.dumps({"name": view["name"], "duties": rows, "runs": view.get("runs", {})}))
    else:
        _table(rows, ["duty", "subject", "holder", "done_ms_ago"])


def _hide(value: object) -> object:
    """Sections without what is named like a secret; the names of secret files may be seen."""
    if isinstance(value, dict):
        hidden = ("token", "secret")
        return {k: "(hidden)" if k in hidden and inner else _hide(inner) for k, inner in value.items()}
    return [_hide(inner) for inner in value] if isinstance(value, list | tuple) else value


def main() -> None:
    """The console script."""
    app()


if __name__ == "__main__":
    main()
