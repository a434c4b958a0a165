"""`cottonhold trial`: several processes of the program with faults between them, judged from outside."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from cottonhold.emulator.fault_injection.script import Scenario

app = typer.Typer(help="Play days of faults on several real processes.", no_args_is_help=True)


@app.command(name="list")
def list_() -> None:
    """Print the days by name."""
    from cottonhold.emulator.fault_injection.scenarios import SCENARIOS

    for day in SCENARIOS:
        print(f"{day.name:18} {day.duration_s:4.0f} s  {day.description}")


@app.command()
def run(
    days: Annotated[list[str], typer.Argument(help="Days by name, files of days, or `all`.", metavar="DAY")],
    out: Annotated[Path | None, typer.Option(help="Where to keep the runs; else a new folder.")] = None,
    seed: Annotated[int | None, typer.Option(help="Another seed.")] = None,
    fleet: Annotated[bool, typer.Option(help="With the section `fleet` on.")] = True,
) -> None:
    """Play days, one after another; code 1 if a rule was broken."""
    import msgspec

    from cottonhold.emulator.fault_injection import script
    from cottonhold.emulator.fault_injection.checker import summary
    from cottonhold.emulator.fault_injection.harness import ScenarioRunError, play
    from cottonhold.emulator.fault_injection.projection_check import missed_projections
    from cottonhold.emulator.fault_injection.scenarios import BY_NAME, SCENARIOS

    folder = out or Path(tempfile.mkdtemp(prefix="cottonhold-trial-"))
    rows, broken = [], False
    try:
        chosen = [d for name in days for d in (SCENARIOS if name == "all" else [_day(name, BY_NAME)])]
        for day in chosen:
            changed = msgspec.structs.replace(
                day, seed=day.seed if seed is None else seed, has_fleet=fleet and day.has_fleet
            )
            where = folder / f"{day.name}-{time.strftime('%H%M%S')}"
            with typer.progressbar(length=100, label=f"{day.name:18}") as bar:
                result = play(changed, where, lambda share, _: bar.update(int(100 * share) - bar.pos))
                bar.update(100 - bar.pos)
            rows.append((day.name, result.verdict))
            broken = broken or bool(result.verdict.findings)
            for line in result.timeline:
                print(f"  {line}")
            for finding in result.verdict.findings[:10]:
                print(f"  FOUND {finding}")
            for line in missed_projections(result.verdict):
                print(f"  OFF {line}")
    except (script.ScriptError, ScenarioRunError) as error:
        print(error)
        raise typer.Exit(2) from None
    print("\n".join(summary(rows)))
    print(f"kept in {folder}")
    raise typer.Exit(1 if broken else 0)


def _day(name: str, known: dict[str, Scenario]) -> Scenario:
    from cottonhold.emulator.fault_injection import script

    if name in known:
        return known[name]
    path = Path(name)
    if not path.is_file():
        raise script.ScriptError(f"'{name}' is neither a day (see `trial list`) nor a file")
    return script.decode_scenario(path.read_bytes())


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="A run's folder.")],
    page: Annotated[
        Path | None, typer.Option(help="The page to write; else report.html in the folder.")
    ] = None,
) -> None:
    """Write one HTML page of a run, with charts. Needs the extra `lab`."""
    from cottonhold.emulator.fault_injection.script import ScriptError

    try:
        from cottonhold.emulator.fault_injection.report import page as make

        text = make(folder)
    except ImportError:
        print("a report needs matplotlib: pip install 'cottonhold[lab]'")
        raise typer.Exit(2) from None
    except (OSError, ScriptError) as error:
        print(error)
        raise typer.Exit(2) from None
    target = page or folder / "report.html"
    target.write_text(text)
    print(target)
