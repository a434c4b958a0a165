"""`cottonhold trial`: runs scenarios of scripted faults on several real processes and checks the results."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from cottonhold.emulator.fault_injection.event_log import Verdict
    from cottonhold.emulator.fault_injection.script import Scenario

MAX_FINDINGS_PRINTED = 10

app = typer.Typer(help="Play days of faults on several real processes.", no_args_is_help=True)


@app.command(name="list")
def list_() -> None:
    """Print the days by name."""
    from cottonhold.emulator.fault_injection.scenarios import SCENARIOS

    for scenario in SCENARIOS:
        print(f"{scenario.name:18} {scenario.duration_s:4.0f} s  {scenario.description}")


@app.command()
def run(
    scenario_names: Annotated[
        list[str], typer.Argument(help="Days by name, files of days, or `all`.", metavar="DAY")
    ],
    out: Annotated[Path | None, typer.Option(help="Where to keep the runs; else a new folder.")] = None,
    seed: Annotated[int | None, typer.Option(help="Another seed.")] = None,
    fleet: Annotated[bool, typer.Option(help="With the section `fleet` on.")] = True,
) -> None:
    """Play days, one after another; code 1 if a rule was broken."""
    import msgspec

    from cottonhold.emulator.fault_injection import script
    from cottonhold.emulator.fault_injection.checker import summary
    from cottonhold.emulator.fault_injection.harness import ScenarioRunError

    folder = out or Path(tempfile.mkdtemp(prefix="cottonhold-trial-"))
    verdicts: list[tuple[str, Verdict]] = []
    try:
        for scenario in _select_scenarios(scenario_names):
            configured = msgspec.structs.replace(
                scenario,
                seed=scenario.seed if seed is None else seed,
                has_fleet=fleet and scenario.has_fleet,
            )
            verdicts.append((scenario.name, _run_scenario(configured, folder)))
    except (script.ScriptError, ScenarioRunError) as error:
        print(error)
        raise typer.Exit(2) from None
    print("\n".join(summary(verdicts)))
    print(f"kept in {folder}")
    raise typer.Exit(1 if any(verdict.findings for _, verdict in verdicts) else 0)


def _select_scenarios(names: list[str]) -> list[Scenario]:
    """Return scenarios by name or file; `all` selects every built-in scenario."""
    from cottonhold.emulator.fault_injection.scenarios import SCENARIOS

    chosen: list[Scenario] = []
    for name in names:
        chosen += SCENARIOS if name == "all" else [_find_scenario(name)]
    return chosen


def _find_scenario(name: str) -> Scenario:
    from cottonhold.emulator.fault_injection import script
    from cottonhold.emulator.fault_injection.scenarios import BY_NAME

    if name in BY_NAME:
        return BY_NAME[name]
    path = Path(name)
    if not path.is_file():
        raise script.ScriptError(f"'{name}' is neither a day (see `trial list`) nor a file")
    return script.decode_scenario(path.read_bytes())


def _run_scenario(scenario: Scenario, folder: Path) -> Verdict:
    """Run a scenario with a progress bar, and print its timeline and findings."""
    from cottonhold.emulator.fault_injection.harness import play
    from cottonhold.emulator.fault_injection.projection_check import missed_projections

    run_folder = folder / f"{scenario.name}-{time.strftime('%H%M%S')}"
    with typer.progressbar(length=100, label=f"{scenario.name:18}") as bar:
        result = play(scenario, run_folder, lambda share, _: bar.update(int(100 * share) - bar.pos))
        bar.update(100 - bar.pos)
    for line in result.timeline:
        print(f"  {line}")
    for finding in result.verdict.findings[:MAX_FINDINGS_PRINTED]:
        print(f"  FOUND {finding}")
    for line in missed_projections(result.verdict):
        print(f"  OFF {line}")
    return result.verdict


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
        from cottonhold.emulator.fault_injection.report import page as render_page

        text = render_page(folder)
    except ImportError:
        print("a report needs matplotlib: pip install 'cottonhold[lab]'")
        raise typer.Exit(2) from None
    except (OSError, ScriptError) as error:
        print(error)
        raise typer.Exit(2) from None
    target = page or folder / "report.html"
    target.write_text(text)
    print(target)
