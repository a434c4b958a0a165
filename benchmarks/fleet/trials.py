"""Runs the zone scenarios with the fleet on and off and writes docs/measurements/zones.md and zones.svg:

    python benchmarks/fleet/trials.py FOLDER [--read] [--overload]

With --overload the overload scenarios are run with admission control on and off instead, and overload.md is
written. With --read nothing is run; the pages are written from the runs in FOLDER. Each run takes half a
minute and has its own folder in FOLDER, `NAME-on` or `NAME-off`. The machine should be idle otherwise.
"""

from __future__ import annotations

import argparse
import json
from datetime import datetime
from pathlib import Path
from typing import Any

import matplotlib

from cottonhold.emulator.fault_injection.checker import summary
from cottonhold.emulator.fault_injection.event_log import BIN_S, Verdict
from cottonhold.emulator.fault_injection.harness import play
from cottonhold.emulator.fault_injection.run_folder import recheck_run
from cottonhold.emulator.fault_injection.scenarios import SCENARIOS, without_admission, without_fleet
from cottonhold.emulator.fault_injection.script import Scenario

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

MEASUREMENTS = Path(__file__).resolve().parents[2] / "docs" / "measurements"
COMPARED_SCENARIOS = ("zone-killed", "zone-silent", "zone-slow", "zone-failing", "storm", "half-cut")
DRAWN_SCENARIOS = ("zone-killed", "zone-silent", "zone-slow", "storm")


def read_run(folder: Path, name: str) -> tuple[Verdict, dict[str, Any]] | None:
    """Return a run's verdict and its result; None if there was no such run."""
    path = folder / name / "result.json"
    if not path.is_file():
        return None
    return recheck_run(folder / name), json.loads(path.read_bytes())


def draw_chart(folder: Path) -> None:
    """Draw the sends to zone a and the served share of the possible utility, with the fleet on and off."""
    figure, axes = pyplot.subplots(2, len(DRAWN_SCENARIOS), figsize=(13, 5), sharex="col")
    for column, name in enumerate(DRAWN_SCENARIOS):
        for mode, colour in (("off", "#d55e00"), ("on", "#0072b2")):
            run = read_run(folder, f"{name}-{mode}")
            if run is None:
                continue
            series = run[0].series
            times = [i * BIN_S for i in range(len(series["sends a"]))]
            axes[0][column].step(
                times, [n / BIN_S for n in series["sends a"]], where="post", color=colour, label=mode
            )
            pairs = zip(series["worth served"], series["worth most"], strict=True)
            shares = [min(served / possible, 1.0) if possible else 1.0 for served, possible in pairs]
            axes[1][column].step(times, shares, where="post", color=colour, label=mode)
        axes[0][column].set_title(name)
        axes[1][column].set_ylim(0, 1.05)
        axes[1][column].set_xlabel("seconds (fault from 5 to 13)")
    axes[0][0].set_ylabel("sends a second to zone a")
    axes[1][0].set_ylabel("share of the worth")
    axes[0][0].legend(frameon=False, title="fleet")
    figure.tight_layout()
    figure.savefig(MEASUREMENTS / "zones.svg", metadata={"Date": None})


def main() -> None:
    """Write the page that the arguments select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--read", action="store_true")
    parser.add_argument("--overload", action="store_true")
    arguments = parser.parse_args()
    if arguments.overload:
        write_overload_page(arguments.folder, arguments.read)
        return
    write_zones_page(arguments.folder, arguments.read)


def run_zone_scenarios(folder: Path) -> None:
    """Run the zone scenarios with the fleet on, and some of them also with it off."""
    for scenario in (scenario for scenario in SCENARIOS if not scenario.has_admission):
        play(scenario, folder / f"{scenario.name}-on")
        if scenario.name in COMPARED_SCENARIOS:
            play(without_fleet(scenario), folder / f"{scenario.name}-off")


def write_zones_page(folder: Path, reads_only: bool) -> None:
    """Write the page on zones and its chart."""
    if not reads_only:
        run_zone_scenarios(folder)
    lines = [
        "# Zones on real processes: measured",
        "",
        "By `python benchmarks/fleet/trials.py` on one shared machine: six instances (eight on `three-of-",
        "eight`) with 1:1:1:2:3:4 of 270 requests a second, nine engines of 50/s in three zones, classes",
        "worth 1 and 6, faults from 5 s to 13 s. `worth`: served, of the most that the engines that were",
        "well could serve; `share`: of all sends, to the zone that failed; a third is its fair part.",
        "`back_full_after_s`: until it has 0.8 of that again; engines started anew are warm after 3 s.",
        "",
        "![sends and worth over time, fleet on and off](zones.svg)",
        "",
    ]
    rows = [(f"{scenario.name} ({mode})", run[0]) for scenario in SCENARIOS for mode in ("off", "on")
            if (run := read_run(folder, f"{scenario.name}-{mode}"))]  # fmt: skip
    lines += summary(rows)
    lines += ["", "## When each instance left, in seconds from the fault", ""]
    lines += ["| day | by instance | wrong zones left |", "| --- | --- | --- |"]
    for scenario in SCENARIOS:
        if run := read_run(folder, f"{scenario.name}-on"):
            fault_at = run[1]["begun_unix"] + scenario.outage_at_s
            evacuated_after_s, false_evacuations = evacuation_times(
                folder / f"{scenario.name}-on", fault_at, scenario
            )
            cells = ", ".join(f"{name} {t:.1f}" for name, t in sorted(evacuated_after_s.items()))
            lines.append(f"| {scenario.name} | {cells or 'none'} | {false_evacuations or ''} |")
    findings = [f"{name}: {finding}" for name, verdict in rows for finding in verdict.findings[:3]]
    lines += ["", "## What the judge found", "", *([f"- {f}" for f in findings] or ["Nothing."]), ""]
    (MEASUREMENTS / "zones.md").write_text("\n".join(lines))
    draw_chart(folder)


def write_overload_page(folder: Path, reads_only: bool) -> None:
    """Write the page on overload, from its scenarios with and without admission control."""
    scenarios = [scenario for scenario in SCENARIOS if scenario.has_admission]
    columns = ["worth", "worth_out", "worth_after_5s", "served_dear", "served_cheap"]
    columns += ["unlike_between_instances", "attempts_per_served", "p99_ms"]
    lines = [
        "# Overload on real processes: measured",
        "",
        "By `python benchmarks/fleet/trials.py --overload` on one shared machine: six instances (eight on",
        "`overload-killed`) with 1:1:1:2:3:4 of the requests, nine engines that do 150 a second together,",
        "classes worth 1 and 6 (60:40), clients that come up to three times. `worth`: served, of the most",
        "that the engines could; `unlike_between_instances`: the largest difference between two instances",
        "in the share of first tries of a class that they serve, where they had a hundred; on",
        "`overload-back` two zones are out from 5 to 13 s.",
        "",
        "| day | price | findings | " + " | ".join(columns) + " |",
        "| --- " * (len(columns) + 3) + "|",
    ]
    for scenario in scenarios:
        for mode, variant in (("off", without_admission(scenario)), ("on", scenario)):
            if not reads_only:
                play(variant, folder / f"{scenario.name}-{mode}")
            if run := read_run(folder, f"{scenario.name}-{mode}"):
                figures = run[0].figures
                cells = [f"{figures[c]:.3g}" if c in figures else "" for c in columns]
                lines.append(
                    f"| {scenario.name} | {mode} | {len(run[0].findings)} | " + " | ".join(cells) + " |"
                )
                print(lines[-1], *run[0].findings[:2], flush=True)
    (MEASUREMENTS / "overload.md").write_text("\n".join([*lines, ""]))


def evacuation_times(folder: Path, fault_at: float, scenario: Scenario) -> tuple[dict[str, float], int]:
    """Read the logs of a run for evacuations.

    Returns:
        By instance, the seconds from the fault to its first evacuation of the failing zone; and the number of
        evacuations of zones without a fault.
    """
    evacuated_after_s, false_evacuations = dict[str, float](), 0
    failing_zones = {scenario.failing_zone} | {
        fault.target for fault in scenario.faults if fault.target in scenario.zones
    }
    for log in sorted(folder.glob("n*.log")):
        for line in log.read_text().splitlines():
            if " event=zone_phase_changed " in line and " phase=out " in line:
                if f" zone={scenario.failing_zone} " not in line:
                    false_evacuations += not any(f" zone={zone} " in line for zone in failing_zones)
                    continue
                at = datetime.fromisoformat(line.split()[0].removeprefix("ts=")).timestamp()
                evacuated_after_s.setdefault(log.stem, at - fault_at)
    return evacuated_after_s, false_evacuations


if __name__ == "__main__":
    main()
