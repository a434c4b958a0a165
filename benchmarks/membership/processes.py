"""Measures takeover between five real instances and writes docs/measurements/membership-processes.md:

    python benchmarks/membership/processes.py [--rounds 20]

In each round two of five are killed at once; then both are started again.
"""

from __future__ import annotations

import argparse
import random
import tempfile
import time
from pathlib import Path

import numpy as np

from cottonhold.emulator.process_fleet import PROBE_MS, Tier

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements" / "membership-processes.md"


def round_ms(tier: Tier, draw: random.Random) -> tuple[float, float]:
    """Ms from the kill until the survivors agree who holds what, and until each engine was probed again."""
    begun = time.monotonic()
    for i in draw.sample(sorted(tier.processes), 2):
        tier.kill(i)
    tier.until(tier.agreed, "takeover", every=0.01)
    agreed = time.monotonic()
    probed = {engine_id: len(engine.probes) for engine_id, engine in tier.engines.items()}
    tier.until(
        lambda: all(len(e.probes) > probed[engine_id] for engine_id, e in tier.engines.items()),
        "probes",
        every=0.01,
    )
    return (agreed - begun) * 1000, (time.monotonic() - begun) * 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=20)
    rounds, draw = parser.parse_args().rounds, random.Random(1)
    found = []
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(Path(folder), 5)
        try:
            for i in range(5):
                tier.start(i)
            tier.until(tier.agreed, "all five")
            for _ in range(rounds):
                found.append(round_ms(tier, draw))
                for i in range(5):
                    if i not in tier.processes:
                        tier.start(i)
                tier.until(tier.agreed, "all five again")
            doubled = sum(len(ports) > 1 for ports in tier.probers().values())
        finally:
            tier.stop()
    text = [
        "# Takeover between real instances: measured",
        "",
        f"By `python benchmarks/membership/processes.py --rounds {rounds}`: five processes on one shared "
        f"machine, two killed at once in each round, engines probed each {PROBE_MS} ms by one of all.",
        "",
        "| from the kill until | p50 ms | p99 ms | max ms |",
        "| --- | --- | --- | --- |",
    ]
    for name, values in zip(
        ("survivors agree on all duties", "each engine was probed again"),
        zip(*found, strict=True),
        strict=True,
    ):
        p50, p99 = np.percentile(values, [50, 99])
        text.append(f"| {name} | {p50:.0f} | {p99:.0f} | {max(values):.0f} |")
    text += ["", f"At the end {doubled} engines were probed by more than one instance.", ""]
    OUT.write_text("\n".join(text))
    print(OUT.read_text())


if __name__ == "__main__":
    main()
