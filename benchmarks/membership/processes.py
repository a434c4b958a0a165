"""Measures takeover between five real instances and writes docs/measurements/membership-processes.md:

    python benchmarks/membership/processes.py [--rounds 20]

In each round two of the five instances are killed at the same time and then started again.
"""

from __future__ import annotations

import argparse
import random
import tempfile
import time
from pathlib import Path

import numpy as np

from cottonhold.emulator.process_fleet import HEALTH_CHECK_INTERVAL_MS, ProcessFleet

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "membership-processes.md"
INSTANCES, KILLED_AT_ONCE = 5, 2
POLL_INTERVAL_S = 0.01


def takeover_times_ms(fleet: ProcessFleet, draw: random.Random) -> tuple[float, float]:
    """Kill instances; return the ms until the others agree on their duties, and until the next health check
    of every engine."""
    killed_at = time.monotonic()
    for number in draw.sample(sorted(fleet.processes), KILLED_AT_ONCE):
        fleet.kill(number)
    fleet.wait_until(fleet.has_converged, "takeover", POLL_INTERVAL_S)
    agreed_at = time.monotonic()
    counts = {engine_id: len(engine.health_checks) for engine_id, engine in fleet.engines.items()}
    fleet.wait_until(
        lambda: all(len(e.health_checks) > counts[engine_id] for engine_id, e in fleet.engines.items()),
        "health checks",
        POLL_INTERVAL_S,
    )
    return (agreed_at - killed_at) * 1000, (time.monotonic() - killed_at) * 1000


def measure(rounds: int, folder: Path) -> tuple[list[tuple[float, float]], int]:
    """Return the times of each round and the number of engines that several instances check at the end."""
    draw, times_ms = random.Random(1), []
    fleet = ProcessFleet(folder, INSTANCES)
    try:
        for number in range(INSTANCES):
            fleet.start(number)
        fleet.wait_until(fleet.has_converged, "all instances")
        for _ in range(rounds):
            times_ms.append(takeover_times_ms(fleet, draw))
            for number in set(range(INSTANCES)) - set(fleet.processes):
                fleet.start(number)
            fleet.wait_until(fleet.has_converged, "all instances again")
        return times_ms, sum(len(ports) > 1 for ports in fleet.checkers().values())
    finally:
        fleet.stop()


def main() -> None:
    """Measure, write the page and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=20)
    rounds = parser.parse_args().rounds
    with tempfile.TemporaryDirectory() as folder:
        times_ms, doubly_checked = measure(rounds, Path(folder))
    lines = [
        "# Takeover between real instances: measured",
        "",
        f"By `python benchmarks/membership/processes.py --rounds {rounds}`: five processes on one shared "
        f"machine, two killed at once in each round, engines probed each {HEALTH_CHECK_INTERVAL_MS} ms by "
        "one of all.",
        "",
        "| from the kill until | p50 ms | p99 ms | max ms |",
        "| --- | --- | --- | --- |",
    ]
    events = ("survivors agree on all duties", "each engine was probed again")
    for event, values in zip(events, zip(*times_ms, strict=True), strict=True):
        p50, p99 = np.percentile(values, [50, 99])
        lines.append(f"| {event} | {p50:.0f} | {p99:.0f} | {max(values):.0f} |")
    lines += ["", f"At the end {doubly_checked} engines were probed by more than one instance.", ""]
    OUTPUT.write_text("\n".join(lines))
    print(OUTPUT.read_text())


if __name__ == "__main__":
    main()
