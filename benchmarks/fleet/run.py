"""Measures the fleet's pure core in virtual time and writes docs/measurements/fleet-core.md:

    python benchmarks/fleet/run.py [--seeds 1000] [--jobs 6] [--many]

Leaving and return at 5 and 50 instances, with --many also at 500 (four minutes a run), words and CPU each,
and false leavings with 30% of words lost.
"""

from __future__ import annotations

import argparse
import math
from multiprocessing import Pool
from pathlib import Path

import numpy as np

from cottonhold.emulator.fleet import World
from cottonhold.fleet.zone_failover.zone_state import ZonePhase

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "fleet-core.md"
FAULT, MEND, END = 4000.0, 10_000.0, 20_000.0
SKEW = (1, 1, 1, 2, 3, 4)
PER_INSTANCE = 45.0  # requests a second
MANY = ("killed", "ten times slower")
SIZES = [(5, 20), (50, 3)]  # instances, and runs of each
FAULTS: dict[str, dict[str, float]] = {
    "killed": {"is_dead": True},
    "silent": {"silent_until": MEND},
    "ten times slower": {"slow_factor": 10.0},
    "three in ten fail": {"failing_share": 0.3},
}


def world(seed: int, instances: int, rate: float, loss: float) -> World:
    """Engines in three zones for a load of 0.6 of what they can do at 45 requests a second an instance."""
    engines = math.ceil(instances * PER_INSTANCE / 0.6 / 50 / 3)
    return World(seed, instances, rate, engines=engines, skew=lambda i: SKEW[i % 6], loss=loss)


def calm(job: tuple[int, float]) -> tuple[int, int]:
    """Leavings of single instances, and of a fleet, in 20 s without a fault and with 30% of words lost."""
    seed, times = job
    w = world(seed, 6, 6 * PER_INSTANCE * times, 0.3)
    w.run(END)
    outs = [
        turn
        for node in w.nodes.values()
        for _, turn in node.phase_changes
        if turn.phase is ZonePhase.EVACUATED
    ]
    followed = {"the fleet leaves", "others are sure"}
    return len(outs), int(any(turn.reason in followed for turn in outs))


def faulty(job: tuple[int, int, str, float]) -> dict[str, float]:
    """One run with a fault from 4 s to 10 s."""
    seed, instances, fault, loss = job
    w = world(seed, instances, instances * PER_INSTANCE, loss)
    w.run(FAULT)
    calm_bytes, calm_cpu = w.network.bytes, sum(n.cpu_seconds for n in w.nodes.values())
    for engine in w.engines.values():
        for name, value in FAULTS[fault].items() if engine.zone == "a" else ():
            setattr(engine, name, value)
    w.run(MEND)
    bytes_, cpu = w.network.bytes - calm_bytes, sum(n.cpu_seconds for n in w.nodes.values()) - calm_cpu
    for engine in w.engines.values():
        if engine.zone == "a":
            engine.is_dead, engine.slow_factor, engine.failing_share = False, 1.0, 0.0
            if fault == "killed":
                engine.busy_until, engine.cold_until = MEND, MEND + 3000.0
    w.run(END)
    left = [
        min(
            (t for t, turn in n.phase_changes if turn.zone == "a" and turn.phase is ZonePhase.EVACUATED),
            default=np.inf,
        )
        - FAULT
        for n in w.nodes.values()
    ]
    fair = w.share("a", 1000.0, FAULT)
    after = [w.share("a", t, t + 1000) for t in range(int(MEND), int(END) - 1000, 250)]
    full = [i * 250 for i, share in enumerate(after) if share >= 0.8 * fair]
    return {
        "first": min(left),
        "all": max(left),
        "share out": w.share("a", FAULT + 3000, MEND),
        "first second back": after[0],
        "most": max(after) / fair,
        "full": full[0] if full else np.inf,
        "wrong": sum(
            t.zone != "a" and t.phase is ZonePhase.EVACUATED
            for n in w.nodes.values()
            for _, t in n.phase_changes
        ),
        "calm bytes": calm_bytes / instances / (FAULT / 1000),
        "bytes": bytes_ / instances / ((MEND - FAULT) / 1000),
        "calm cpu": 1000 * calm_cpu / instances / (FAULT / 1000),
        "cpu": 1000 * cpu / instances / ((MEND - FAULT) / 1000),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--many", action="store_true")
    given = parser.parse_args()
    sizes = SIZES + ([(500, 1)] if given.many else [])
    lines = [
        "# The fleet's core in virtual time: measured",
        "",
        f"By `python benchmarks/fleet/run.py --seeds {given.seeds}{' --many' * given.many}` (the model of",
        "`emulator/fleet.py`; faults from 4 s to 10 s; engines cold for 3 s after a kill). Times in ms from",
        "the fault or its end, each the median and the worst of all: 20 at 5 instances, 3 at 50, 1 at 500.",
        "",
        "| instances | fault | words lost | first leaves | all have left | sends there from 3 s on "
        "| back: first second | most, of the fair share | 0.8 of it after | wrong zones left |",
        "| --- " * 10 + "|",
    ]
    cases = [(n, seeds, f, loss) for n, seeds in sizes for f in FAULTS for loss in (0.0, 0.3)]
    cases = [case for case in cases if case[0] < 500 or case[2] in MANY and case[3]]  # those take minutes
    jobs = [(seed, n, f, loss) for n, seeds, f, loss in reversed(cases) for seed in range(seeds)]
    with Pool(given.jobs) as pool:
        costs = list(zip(jobs, pool.map(faulty, jobs, 1), strict=True))
        for instances, _, fault, loss in cases:
            rows = [row for job, row in costs if job[1:] == (instances, fault, loss)]

            def cell(name: str, form: str = "{:.0f}", rows: list[dict[str, float]] = rows) -> str:
                values = [row[name] for row in rows]
                return f"{form} / {form}".format(np.median(values), max(values))

            cells = [cell("first"), cell("all"), cell("share out", "{:.3f}")]
            cells += [cell("first second back", "{:.3f}"), cell("most", "{:.2f}"), cell("full")]
            cells.append(str(int(sum(row["wrong"] for row in rows))))
            lines.append(f"| {instances} | {fault} | {loss:.0%} | " + " | ".join(cells) + " |")
            print(lines[-1], flush=True)
        lines += [
            "",
            "| instances | bytes a second, calm | in trouble | CPU ms a second, calm | in trouble |",
        ]
        lines.append("| --- " * 5 + "|")
        for instances, _ in sizes:
            rows = [row for job, row in costs if job[1] == instances]
            means = [
                np.mean([row[name] for row in rows]) for name in ("calm bytes", "bytes", "calm cpu", "cpu")
            ]
            lines.append(
                f"| {instances} | " + " | ".join(f"{m:.0f}" if m > 10 else f"{m:.1f}" for m in means) + " |"
            )
            print(lines[-1], flush=True)
        lines += [
            "",
            "Each instance sends and receives as much. CPU is that of the core in this process.",
            "",
        ]
        lines += [
            "| load, of what engines can do | runs | leavings by one alone | runs in which the fleet left |"
        ]
        lines.append("| --- " * 4 + "|")
        for times, seeds in ((1.0, given.seeds), (1.6, given.seeds // 3)):
            found = pool.map(calm, [(seed, times) for seed in range(seeds)], chunksize=4)
            alone, fleet = sum(a for a, _ in found), sum(f for _, f in found)
            lines.append(f"| {0.6 * times:.2f} | {seeds} | {alone} | {fleet} |")
            print(lines[-1], flush=True)
    lines += ["", "Six instances, skewed 1:1:1:2:3:4, 20 s each without a fault, 30% of words lost.", ""]
    OUT.write_text("\n".join(lines))


if __name__ == "__main__":
    main()
