"""Repeatedly cuts the power of a small fleet of processes and counts loads that ran twice:

    python benchmarks/fleet/cuts.py FOLDER [--fleets 4] [--cuts 50] [--jobs 2] [--seed 1]
    python benchmarks/fleet/cuts.py FOLDER --guard off            # must find loads that ran twice
    python benchmarks/fleet/cuts.py FOLDER --plant record-late    # likewise
    python benchmarks/fleet/cuts.py FOLDER --follow 1234          # the timeline of load 1234

A fleet has four dispatchers and three engines that take 300 ms for a load; clients send 24 loads per second.
All processes are killed together at random times, lose what was not synced to disk, and are restarted in
random order. Each fleet has its own folder, runs for ten minutes at most and continues after a finding. The
table is written to FOLDER/cuts.md. The exit code is 1 if there is any finding or a fleet has no result.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import uvloop

from cottonhold.emulator.fault_injection.defects import DEFECTS
from cottonhold.emulator.fault_injection.power_loss_run import (
    RESULT_FILE,
    PowerLossRun,
    PowerLossRunResult,
    power_loss_scenario,
    read_result,
)
from cottonhold.emulator.fault_injection.power_loss_tally import RetryAnswer, timeline
from cottonhold.emulator.fault_injection.power_losses import PowerLossMoment

POLL_INTERVAL_S = 0.2
ALL_MOMENTS = "all"
REPORTED_ANSWERS = (
    RetryAnswer.SERVED_BEFORE,
    RetryAnswer.MAY_HAVE_RUN,
    RetryAnswer.SENT,
    RetryAnswer.LATER,
    RetryAnswer.NONE,
)


def run_fleet(seed: int, folder: Path, count: int, has_ledger: bool, defect: str) -> None:
    """Run one fleet in this process."""
    run = PowerLossRun(power_loss_scenario(seed), folder, has_ledger, defect)
    try:
        uvloop.run(run.run(count))
    finally:
        run.kill_all()


def run_fleets_in_processes(arguments: argparse.Namespace) -> None:
    """Run each fleet in a separate process, at most `--jobs` at a time."""
    seeds = list(range(arguments.seed, arguments.seed + arguments.fleets))
    running = list[subprocess.Popen[bytes]]()
    options = ["--cuts", str(arguments.cuts), "--guard", arguments.guard]
    options += ["--plant", arguments.plant] if arguments.plant else []
    while seeds or running:
        while seeds and len(running) < arguments.jobs:
            seed = str(seeds.pop(0))
            program = [sys.executable, __file__, str(arguments.folder), "--one", "--seed", seed, *options]
            running.append(subprocess.Popen(program))
        running = [process for process in running if process.poll() is None]
        time.sleep(POLL_INTERVAL_S)


def moment_rows(results: list[PowerLossRunResult]) -> list[str]:
    """Return a table with a row for each moment of a power loss and one for all."""
    rows = [
        "| power goes | cuts | loads in flight | at an engine | begun, no end heard "
        "| retries told well | may have run | sent here | later | met nobody |",
        "| --- " * 10 + "|",
    ]
    for moment in [*(moment.value for moment in PowerLossMoment), ALL_MOMENTS]:
        observed = [
            counts
            for result in results
            for at_moment, counts in zip(result.moments, result.observed, strict=True)
            if moment in (at_moment, ALL_MOMENTS)
        ]
        answers: Counter[str] = Counter()
        for counts in observed:
            answers.update(counts.answers)
        cells = [
            moment,
            len(observed),
            sum(counts.in_flight for counts in observed),
            sum(counts.at_engines for counts in observed),
            sum(counts.unreported for counts in observed),
            *(answers[answer] for answer in REPORTED_ANSWERS),
        ]
        rows.append("| " + " | ".join(map(str, cells)) + " |")
    return rows


def summary(results: list[PowerLossRunResult]) -> list[str]:
    """Return lines with the sums over all fleets."""
    loads, duplicates = sum(r.loads for r in results), sum(len(r.duplicates) for r in results)
    resent, unanswered = sum(r.resent for r in results), sum(r.unanswered for r in results)
    wrong_folders = sum(sum(r.has_wrong_folder) for r in results)
    away = sum(sum(r.has_instance_away) for r in results)
    lines = [
        f"Loads: {loads}; run twice: {duplicates}; sent to engines twice: {resent}.",
        f"Returns with an empty or old folder: {wrong_folders}; with one dispatcher away: {away}.",
        f"Tries without an answer in their time, no cut near: {unanswered}.",
        f"Findings: {sum(len(r.findings) for r in results)}.",
    ]
    times_s = sorted(time_s for r in results for time_s in r.recovery_times_s)
    if times_s:
        lines.append(
            "From the first start to the first load at an engine: "
            f"median {times_s[len(times_s) // 2]:.1f} s, most {times_s[-1]:.1f} s, of {len(times_s)}."
        )
    return lines


def write_report(folder: Path, fleets: int) -> int:
    """Write and print the table; return 1 if there are findings or a fleet has no result, else 0."""
    results = [read_result(path) for path in sorted(folder.glob(f"*/{RESULT_FILE}"))]
    lines = [*moment_rows(results), "", *summary(results)]
    lines += [f"- seed {r.seed}: {finding}" for r in results for finding in r.findings]
    missing = fleets - len(results)
    lines += [f"- {missing} fleets did not come to their end"] if missing else []
    (folder / "cuts.md").write_text("\n".join([*lines, ""]))
    print(*lines, sep="\n")
    return int(bool(missing or any(r.findings for r in results)))


def print_timeline(folder: Path, number: int) -> None:
    """Print the timeline of a load from the logs of earlier runs."""
    for path in sorted(folder.rglob(RESULT_FILE)):
        result = read_result(path)
        run = PowerLossRun(power_loss_scenario(result.seed), path.parent, forks=False)
        run.read_logs()
        if number in run.tally.loads:
            print(f"seed {result.seed}")
            print(*timeline(run.tally.load(number), result.started_at, result.marks), sep="\n")


def main() -> int:
    """Run what the arguments select; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--fleets", type=int, default=4)
    parser.add_argument("--cuts", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--guard", choices=("on", "off"), default="on")
    parser.add_argument("--plant", choices=tuple(DEFECTS), default="")
    parser.add_argument("--follow", type=int)
    parser.add_argument("--one", action="store_true", help="play the fleet of this seed in this process")
    arguments = parser.parse_args()
    folder, seed = arguments.folder, arguments.seed
    if arguments.follow is not None:
        print_timeline(folder, arguments.follow)
        return 0
    if arguments.one:
        run_fleet(seed, folder / str(seed), arguments.cuts, arguments.guard == "on", arguments.plant)
        return 0
    run_fleets_in_processes(arguments)
    return write_report(folder, arguments.fleets)


if __name__ == "__main__":
    sys.exit(main())
