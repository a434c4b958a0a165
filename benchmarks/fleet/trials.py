"""Plays the rig's days with the fleet on and off and writes docs/measurements/zones.md and zones.svg:

    python benchmarks/fleet/trials.py FOLDER [--read] [--overload]      # --read: only what is kept in FOLDER

With --overload it plays the days of overload with the price on and off and writes overload.md. FOLDER gets
one folder a run, `NAME-on` or `NAME-off`. Half a minute each; the machine should have nothing else to do.
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

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements"
COMPARED = ("zone-killed", "zone-silent", "zone-slow", "zone-failing", "storm", "half-cut")
DRAWN = ("zone-killed", "zone-silent", "zone-slow", "storm")


def kept(folder: Path, name: str) -> tuple[Verdict, dict[str, Any]] | None:
    """A run's verdict and all that was kept of it; None if it wasn't played."""
    path = folder / name / "result.json"
    if not path.is_file():
        return None
    return recheck_run(folder / name), json.loads(path.read_bytes())


def chart(folder: Path) -> None:
    """Sends to zone a and worth served over the most possible, on and off."""
    figure, axes = pyplot.subplots(2, len(DRAWN), figsize=(13, 5), sharex="col")
    for column, name in enumerate(DRAWN):
        for mode, colour in (("off", "#d55e00"), ("on", "#0072b2")):
            run = kept(folder, f"{name}-{mode}")
            if run is None:
                continue
            series = run[0].series
            times = [i * BIN_S for i in range(len(series["sends a"]))]
            axes[0][column].step(
                times, [n / BIN_S for n in series["sends a"]], where="post", color=colour, label=mode
            )
            pairs = zip(series["worth served"], series["worth most"], strict=True)
            shares = [min(got / most, 1.0) if most else 1.0 for got, most in pairs]
            axes[1][column].step(times, shares, where="post", color=colour, label=mode)
        axes[0][column].set_title(name)
        axes[1][column].set_ylim(0, 1.05)
        axes[1][column].set_xlabel("seconds (fault from 5 to 13)")
    axes[0][0].set_ylabel("sends a second to zone a")
    axes[1][0].set_ylabel("share of the worth")
    axes[0][0].legend(frameon=False, title="fleet")
    figure.tight_layout()
    figure.savefig(OUT / "zones.svg", metadata={"Date": None})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--read", action="store_true")
    parser.add_argument("--overload", action="store_true")
    given = parser.parse_args()
    if given.overload:
        overload(given.folder, given.read)
        return
    if not given.read:
        for day in (day for day in SCENARIOS if not day.has_admission):
            play(day, given.folder / f"{day.name}-on")
            if day.name in COMPARED:
                play(without_fleet(day), given.folder / f"{day.name}-off")
    text = [
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
    rows = [(f"{d.name} ({mode})", run[0]) for d in SCENARIOS for mode in ("off", "on")
            if (run := kept(given.folder, f"{d.name}-{mode}"))]  # fmt: skip
    text += summary(rows)
    text += ["", "## When each instance left, in seconds from the fault", ""]
    text += ["| day | by instance | wrong zones left |", "| --- | --- | --- |"]
    for day in SCENARIOS:
        if run := kept(given.folder, f"{day.name}-on"):
            begun = run[1]["begun_unix"] + day.outage_at_s
            left, wrong = leavings(given.folder / f"{day.name}-on", begun, day)
            shown = ", ".join(f"{name} {t:.1f}" for name, t in sorted(left.items()))
            text.append(f"| {day.name} | {shown or 'none'} | {wrong or ''} |")
    findings = [f"{name}: {finding}" for name, verdict in rows for finding in verdict.findings[:3]]
    text += ["", "## What the judge found", "", *([f"- {f}" for f in findings] or ["Nothing."]), ""]
    (OUT / "zones.md").write_text("\n".join(text))
    chart(given.folder)


def overload(folder: Path, read: bool) -> None:
    """The days of overload, each with the price and without."""
    days = [day for day in SCENARIOS if day.has_admission]
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
    for day in days:
        for mode, played in (("off", without_admission(day)), ("on", day)):
            if not read:
                play(played, folder / f"{day.name}-{mode}")
            if run := kept(folder, f"{day.name}-{mode}"):
                figures = run[0].figures
                shown = [f"{figures[c]:.3g}" if c in figures else "" for c in columns]
                lines.append(f"| {day.name} | {mode} | {len(run[0].findings)} | " + " | ".join(shown) + " |")
                print(lines[-1], *run[0].findings[:2], flush=True)
    (OUT / "overload.md").write_text("\n".join([*lines, ""]))


def leavings(folder: Path, fault: float, day: Scenario) -> tuple[dict[str, float], int]:
    """When each instance left the zone by its own log, and how often any left one that was well."""
    left, wrong = dict[str, float](), 0
    ill = {day.failing_zone} | {fault.target for fault in day.faults if fault.target in day.zones}
    for log in sorted(folder.glob("n*.log")):
        for line in log.read_text().splitlines():
            if " event=zone_phase_changed " in line and " phase=out " in line:
                if f" zone={day.failing_zone} " not in line:
                    wrong += not any(f" zone={zone} " in line for zone in ill)
                    continue
                at = datetime.fromisoformat(line.split()[0].removeprefix("ts=")).timestamp()
                left.setdefault(log.stem, at - fault)
    return left, wrong


if __name__ == "__main__":
    main()
