"""Measures membership in virtual time and writes docs/measurements/membership.*:

    python benchmarks/membership/run.py [--seeds 1000] [--jobs 8] [--large]

Nothing opens a socket: the cores run on the emulated network, so the figures do not depend on the machine,
but for those named CPU.
"""

from __future__ import annotations

import argparse
import multiprocessing
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import NamedTuple

import matplotlib
import numpy as np
from matplotlib.axes import Axes

from cottonhold.discovery.model import Address
from cottonhold.emulator.network import Datagram, Network
from cottonhold.membership.codec import KeyRing, MemberStatus, member_id
from cottonhold.membership.events import DatagramReceived, MemberChanged, SendDatagram
from cottonhold.membership.rendezvous import Rendezvous, score
from cottonhold.membership.swim import Swim
from cottonhold.membership.swim_settings import SwimSettings

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements"
EPOCH = 10_000_000
SMALL_SIZE, MEDIUM_SIZE, LARGE_SIZE = 5, 50, 500  # members
KILL_LOSSES, CALM_LOSSES = (0.0, 0.1, 0.3), (0.0, 0.1, 0.3)
JOIN_MS, TAKEOVER_MS = 20_000.0, 10_000.0
CALM_SECONDS, CALM_SECONDS_LARGE = 120.0, 20.0
SLOW_TAKEOVER_MS = 2000


class Instance:
    """One core on the network; notes when a member was called dead here."""

    def __init__(self, swim: Swim) -> None:
        self.swim = swim
        self.deaths: list[tuple[float, int]] = []  # time and member

    def step(self, now: float, received: list[Datagram]) -> Iterable[Datagram]:
        """See Process."""
        sent = []
        for action in self.swim.step(now, [DatagramReceived(data, sender) for data, sender in received]):
            if isinstance(action, SendDatagram):
                sent.append((action.data, action.address))
            elif isinstance(action, MemberChanged) and action.status is MemberStatus.DEAD:
                self.deaths.append((now, action.member))
        return sent

    def next_at(self) -> float:
        """See Process."""
        return self.swim.next_at()


@dataclass(slots=True, frozen=True)
class Run:
    """One run: how many members, the share of datagrams lost, with Lifeguard or without, and kills."""

    seed: int
    size: int
    loss: float = 0.0
    uses_lifeguard: bool = True
    kills: int = 2


class Takeover(NamedTuple):
    """Times from a death until each survivor knows of it, and how often living members were called dead."""

    run: Run
    times_ms: list[float]
    false_deaths: int


class CalmRun(NamedTuple):
    """False deaths an hour, bytes a second and CPU microseconds a second, of each member."""

    run: Run
    false_deaths: float
    sent_bytes: float
    cpu_us: float


def make_fleet(run: Run) -> tuple[Network, list[Instance], list[Address]]:
    """Members that have joined, on a network that loses datagrams from now on."""
    network = Network(run.seed, loss=0.0)
    settings = replace(SwimSettings(), uses_lifeguard=run.uses_lifeguard)
    addresses = [Address(f"10.{i // 60000}.{i // 250 % 240}.{i % 250 + 1}", 7946) for i in range(run.size)]
    instances = []
    for i, address in enumerate(addresses):
        seed = run.seed * 10_000 + i
        swim = Swim(f"n{i}", address, settings, seed, EPOCH, KeyRing({1: b"k"}, 1), addresses[:3])
        instances.append(Instance(swim))
        network.add(address, instances[-1])
    network.run(JOIN_MS)
    network.loss = run.loss
    return network, instances, addresses


def measure_takeover(run: Run) -> Takeover:
    """Kill members at once, and see when the survivors know."""
    network, instances, addresses = make_fleet(run)
    network.run(network.now + 1000 * network.draw.random())
    killed = network.draw.sample(range(run.size), run.kills)
    killed_ids = {member_id(f"n{i}") for i in killed}
    for i in killed:
        network.kill(addresses[i])
    killed_at = network.now
    network.run(killed_at + TAKEOVER_MS)
    times_ms, false_deaths = list[float](), 0
    for i, instance in enumerate(instances):
        if i in killed:
            continue
        known_after: dict[int, float] = {}
        for at, member in instance.deaths:
            if at >= killed_at:
                known_after.setdefault(member, at - killed_at)
        times_ms += [known_after.get(member, float("inf")) for member in killed_ids]
        false_deaths += sum(member not in killed_ids for _, member in instance.deaths)
    return Takeover(run, times_ms, false_deaths)


def measure_calm(run: Run) -> CalmRun:
    """Count false deaths and costs while nobody dies."""
    network, instances, _ = make_fleet(run)
    for instance in instances:
        instance.deaths.clear()
    sent_before = network.sent_bytes
    seconds = CALM_SECONDS if run.size <= MEDIUM_SIZE else CALM_SECONDS_LARGE
    started_at = time.process_time()
    network.run(network.now + seconds * 1000)
    cpu_s = time.process_time() - started_at
    deaths = sum(len(instance.deaths) for instance in instances)
    return CalmRun(
        run,
        deaths / run.size / seconds * 3600,
        (network.sent_bytes - sent_before) / seconds / run.size,
        cpu_s * 1e6 / seconds / run.size,
    )


def measure_reassignment(members: int, subjects: int) -> tuple[float, float]:
    """Ms to take one member out and in again, and ms to do the same by scoring all pairs."""
    shares = Rendezvous()
    for member in range(1, members + 1):
        shares.add_member(member)
    names = [f"e{i}" for i in range(subjects)]
    for name in names:
        shares.add_subject(name)
    started_at = time.perf_counter()
    for member in (1, 2, 3):
        shares.remove_member(member)
        shares.add_member(member)
    incremental_ms = (time.perf_counter() - started_at) / 6 * 1000
    started_at = time.perf_counter()
    for name in names:
        max((score(m, 1.0, name), m) for m in range(1, members + 1))
    return incremental_ms, (time.perf_counter() - started_at) * 1000


def takeover_runs(seeds: int, with_large: bool) -> list[Run]:
    """The runs in which members are killed."""
    runs = [Run(seed, SMALL_SIZE, loss) for loss in KILL_LOSSES for seed in range(seeds)]
    runs += [Run(seed, MEDIUM_SIZE, loss) for loss in (0.0, 0.3) for seed in range(max(seeds // 50, 2))]
    if with_large:
        runs += [Run(seed, LARGE_SIZE, 0.0) for seed in range(max(seeds // 500, 1))]
    return runs


def calm_runs(seeds: int, with_large: bool) -> list[Run]:
    """The runs in which nobody dies."""
    runs = [
        Run(seed, SMALL_SIZE, loss, uses_lifeguard)
        for loss in CALM_LOSSES
        for uses_lifeguard in (True, False)
        for seed in range(max(seeds // 20, 2))
    ]
    sizes = (MEDIUM_SIZE, LARGE_SIZE) if with_large else (MEDIUM_SIZE,)
    return runs + [Run(seed, size) for size in sizes for seed in range(2)]


def takeover_section(takeovers: list[Takeover], axes: Axes) -> list[str]:
    """A table of takeover times by size and loss, and their distribution as a plot."""
    lines = [
        "## From a death to each survivor's knowing it",
        "",
        "| members | loss | runs | p50 ms | p99 ms | max ms | over 2 s | the living called dead |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for size, loss in sorted({(t.run.size, t.run.loss) for t in takeovers}):
        alike = [t for t in takeovers if (t.run.size, t.run.loss) == (size, loss)]
        times_ms = np.array([time_ms for t in alike for time_ms in t.times_ms])
        p50, p99 = np.percentile(times_ms, [50, 99])
        slow = int((times_ms > SLOW_TAKEOVER_MS).sum())
        lines.append(
            f"| {size} | {loss:.0%} | {len(alike)} | {p50:.0f} | {p99:.0f} | {times_ms.max():.0f} | "
            f"{slow} of {len(times_ms)} | {sum(t.false_deaths for t in alike)} |"
        )
        ordered = np.sort(times_ms)
        axes.plot(ordered, np.arange(1, len(ordered) + 1) / len(ordered), label=f"{size}, {loss:.0%} lost")
    axes.set(xlabel="ms", ylabel="share", title="From a death to knowing it", xlim=(0, 4000))
    axes.legend(fontsize=7)
    return lines


def false_deaths_section(calm: list[CalmRun], axes: Axes) -> list[str]:
    """A table of false deaths by loss, with Lifeguard and without, and the same as bars."""
    lines = [
        "## Wrong deaths on a day without deaths",
        "",
        "| loss | Lifeguard | wrong deaths an hour and member |",
        "| --- | --- | --- |",
    ]
    means: dict[bool, list[float]] = {True: [], False: []}
    for loss in CALM_LOSSES:
        for uses_lifeguard in (True, False):
            conditions = SMALL_SIZE, loss, uses_lifeguard
            alike = [c for c in calm if (c.run.size, c.run.loss, c.run.uses_lifeguard) == conditions]
            mean = float(np.mean([c.false_deaths for c in alike]))
            means[uses_lifeguard].append(mean)
            lines.append(f"| {loss:.0%} | {'on' if uses_lifeguard else 'off'} | {mean:.1f} |")
    positions = np.arange(len(CALM_LOSSES))
    axes.bar(positions - 0.2, means[True], 0.4, label="with Lifeguard")
    axes.bar(positions + 0.2, means[False], 0.4, label="without")
    axes.set(
        xticks=positions,
        xticklabels=[f"{loss:.0%}" for loss in CALM_LOSSES],
        xlabel="loss",
        ylabel="an hour and member",
        title="Wrong deaths",
    )
    axes.legend()
    return lines


def cost_section(calm: list[CalmRun]) -> list[str]:
    """A table of bytes and CPU by size."""
    lines = [
        "## Cost of a quiet second",
        "",
        "| members | bytes a member | CPU microseconds a member |",
        "| --- | --- | --- |",
    ]
    for size in sorted({c.run.size for c in calm}):
        alike = [c for c in calm if c.run.size == size and c.run.loss == 0.0 and c.run.uses_lifeguard]
        sent_bytes = np.mean([c.sent_bytes for c in alike])
        lines.append(f"| {size} | {sent_bytes:.0f} | {np.mean([c.cpu_us for c in alike]):.0f} |")
    return lines


def reassignment_section() -> list[str]:
    """A table of what a change of members costs."""
    lines = [
        "## One member out or in",
        "",
        "| members | subjects | kept up, ms | all pairs, ms |",
        "| --- | --- | --- | --- |",
    ]
    for members, subjects in ((5, 100), (50, 1000), (50, 10_000)):
        incremental_ms, all_pairs_ms = measure_reassignment(members, subjects)
        lines.append(f"| {members} | {subjects} | {incremental_ms:.2f} | {all_pairs_ms:.2f} |")
    return lines


def write(seeds: int, takeovers: list[Takeover], calm: list[CalmRun]) -> None:
    """Write the page and its figure."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.6))
    lines = [
        "# Membership: measured",
        "",
        f"By `python benchmarks/membership/run.py --seeds {seeds}`, in virtual "
        "time: one-way delay 0.2 to 2 ms, two members killed at once, default settings.",
        "",
        *takeover_section(takeovers, left),
        "",
        "![takeover and wrong deaths](membership.svg)",
        "",
        *false_deaths_section(calm, right),
        "",
        *cost_section(calm),
        "",
        *reassignment_section(),
        "",
    ]
    (OUTPUT / "membership.md").write_text("\n".join(lines))
    figure.tight_layout()
    figure.savefig(OUTPUT / "membership.svg", metadata={"Date": None})


def main() -> None:
    """Run all, write the page and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--large", action="store_true", help="also 500 members, which takes many minutes")
    arguments = parser.parse_args()
    seeds, with_large = arguments.seeds, arguments.large
    with multiprocessing.Pool(arguments.jobs) as pool:
        takeovers = pool.map(measure_takeover, takeover_runs(seeds, with_large), chunksize=4)
        calm = pool.map(measure_calm, calm_runs(seeds, with_large), chunksize=1)
    write(seeds, takeovers, calm)
    print((OUTPUT / "membership.md").read_text())


if __name__ == "__main__":
    main()
