"""Measures membership in virtual time and writes docs/measurements/membership.*:

    python benchmarks/membership/run.py [--seeds 1000] [--jobs 8] [--large]

The members run on an emulated network without sockets, so only the CPU times and the times of
reassignment depend on the machine.
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
SMALL_SIZE, MEDIUM_SIZE, LARGE_SIZE = 5, 50, 500  # numbers of members
KILL_LOSSES, CALM_LOSSES = (0.0, 0.1, 0.3), (0.0, 0.1, 0.3)
JOIN_MS, TAKEOVER_MS = 20_000.0, 10_000.0
CALM_SECONDS, CALM_SECONDS_LARGE = 120.0, 20.0
SLOW_TAKEOVER_MS = 2000


class Instance:
    """A member on the emulated network; records when it regards other members as dead."""

    def __init__(self, swim: Swim) -> None:
        self.swim = swim
        self.deaths: list[tuple[float, int]] = []  # time in ms, and id of the member

    def step(self, now: float, received: list[Datagram]) -> Iterable[Datagram]:
        """Process received datagrams; return datagrams to send with their targets."""
        sent = []
        for action in self.swim.step(now, [DatagramReceived(data, sender) for data, sender in received]):
            if isinstance(action, SendDatagram):
                sent.append((action.data, action.address))
            elif isinstance(action, MemberChanged) and action.status is MemberStatus.DEAD:
                self.deaths.append((now, action.member))
        return sent

    def next_at(self) -> float:
        """Return the time by which the next step is due."""
        return self.swim.next_at()


@dataclass(slots=True, frozen=True)
class Run:
    """The settings of a run.

    Attributes:
        seed: Seed of the network's random generator.
        size: Number of members.
        loss: Share of datagrams that are lost.
        uses_lifeguard: Whether members use the Lifeguard extensions.
        kills: Number of members that `measure_takeover` kills at the same time.
    """

    seed: int
    size: int
    loss: float = 0.0
    uses_lifeguard: bool = True
    kills: int = 2


class Takeover(NamedTuple):
    """The result of a run in which members are killed.

    Attributes:
        run: The settings.
        times_ms: Time from each kill until each survivor detects it; infinite if it does not.
        false_deaths: Number of times that a member regarded a living one as dead.
    """

    run: Run
    times_ms: list[float]
    false_deaths: int


class CalmRun(NamedTuple):
    """The result of a run in which nobody is killed, as means per member.

    Attributes:
        run: The settings.
        false_deaths: Number of living members regarded as dead, per hour.
        sent_bytes: Bytes sent per second.
        cpu_us: CPU time used per second, in microseconds.
    """

    run: Run
    false_deaths: float
    sent_bytes: float
    cpu_us: float


def make_joined_members(run: Run) -> tuple[Network, list[Instance], list[Address]]:
    """Return members that have joined without loss; the network loses datagrams from now on."""
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
    """Kill members at the same time and measure when the survivors detect it."""
    network, instances, addresses = make_joined_members(run)
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
        detected_after_ms: dict[int, float] = {}
        for at, member in instance.deaths:
            if at >= killed_at:
                detected_after_ms.setdefault(member, at - killed_at)
        times_ms += [detected_after_ms.get(member, float("inf")) for member in killed_ids]
        false_deaths += sum(member not in killed_ids for _, member in instance.deaths)
    return Takeover(run, times_ms, false_deaths)


def measure_calm(run: Run) -> CalmRun:
    """Measure false deaths and costs while no member is killed."""
    network, instances, _ = make_joined_members(run)
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
    """Return the ms to remove or add one member, and the ms to reassign all subjects by scoring all pairs."""
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


def takeover_runs(seeds: int, includes_large: bool) -> list[Run]:
    """Return the runs in which members are killed."""
    runs = [Run(seed, SMALL_SIZE, loss) for loss in KILL_LOSSES for seed in range(seeds)]
    runs += [Run(seed, MEDIUM_SIZE, loss) for loss in (0.0, 0.3) for seed in range(max(seeds // 50, 2))]
    if includes_large:
        runs += [Run(seed, LARGE_SIZE, 0.0) for seed in range(max(seeds // 500, 1))]
    return runs


def calm_runs(seeds: int, includes_large: bool) -> list[Run]:
    """Return the runs in which no member is killed."""
    runs = [
        Run(seed, SMALL_SIZE, loss, uses_lifeguard)
        for loss in CALM_LOSSES
        for uses_lifeguard in (True, False)
        for seed in range(max(seeds // 20, 2))
    ]
    sizes = (MEDIUM_SIZE, LARGE_SIZE) if includes_large else (MEDIUM_SIZE,)
    return runs + [Run(seed, size) for size in sizes for seed in range(2)]


def takeover_section(takeovers: list[Takeover], axes: Axes) -> list[str]:
    """Return a table of detection times by size and loss; plot their distribution."""
    lines = [
        "## From a death to each survivor's knowing it",
        "",
        "| members | loss | runs | p50 ms | p99 ms | max ms | over 2 s | the living called dead |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for size, loss in sorted({(t.run.size, t.run.loss) for t in takeovers}):
        matching = [t for t in takeovers if (t.run.size, t.run.loss) == (size, loss)]
        times_ms = np.array([time_ms for t in matching for time_ms in t.times_ms])
        p50, p99 = np.percentile(times_ms, [50, 99])
        slow = int((times_ms > SLOW_TAKEOVER_MS).sum())
        lines.append(
            f"| {size} | {loss:.0%} | {len(matching)} | {p50:.0f} | {p99:.0f} | {times_ms.max():.0f} | "
            f"{slow} of {len(times_ms)} | {sum(t.false_deaths for t in matching)} |"
        )
        ordered = np.sort(times_ms)
        axes.plot(ordered, np.arange(1, len(ordered) + 1) / len(ordered), label=f"{size}, {loss:.0%} lost")
    axes.set(xlabel="ms", ylabel="share", title="From a death to knowing it", xlim=(0, 4000))
    axes.legend(fontsize=7)
    return lines


def false_deaths_section(calm: list[CalmRun], axes: Axes) -> list[str]:
    """Return a table of false deaths by loss, with and without Lifeguard; draw the same as bars."""
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
            matching = [c for c in calm if (c.run.size, c.run.loss, c.run.uses_lifeguard) == conditions]
            mean = float(np.mean([c.false_deaths for c in matching]))
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
    """Return a table of bytes sent and CPU time by the number of members."""
    lines = [
        "## Cost of a quiet second",
        "",
        "| members | bytes a member | CPU microseconds a member |",
        "| --- | --- | --- |",
    ]
    for size in sorted({c.run.size for c in calm}):
        matching = [c for c in calm if c.run.size == size and c.run.loss == 0.0 and c.run.uses_lifeguard]
        sent_bytes = np.mean([c.sent_bytes for c in matching])
        lines.append(f"| {size} | {sent_bytes:.0f} | {np.mean([c.cpu_us for c in matching]):.0f} |")
    return lines


def reassignment_section() -> list[str]:
    """Return a table of the cost of adding or removing a member."""
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


def write_page(seeds: int, takeovers: list[Takeover], calm: list[CalmRun]) -> None:
    """Write the page and its figure."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    figure, (takeover_axes, false_deaths_axes) = pyplot.subplots(1, 2, figsize=(10, 3.6))
    lines = [
        "# Membership: measured",
        "",
        f"By `python benchmarks/membership/run.py --seeds {seeds}`, in virtual "
        "time: one-way delay 0.2 to 2 ms, two members killed at once, default settings.",
        "",
        *takeover_section(takeovers, takeover_axes),
        "",
        "![takeover and wrong deaths](membership.svg)",
        "",
        *false_deaths_section(calm, false_deaths_axes),
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
    """Run all cases, write the page and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--large", action="store_true", help="also 500 members, which takes many minutes")
    arguments = parser.parse_args()
    seeds, includes_large = arguments.seeds, arguments.large
    with multiprocessing.Pool(arguments.jobs) as pool:
        takeovers = pool.map(measure_takeover, takeover_runs(seeds, includes_large), chunksize=4)
        calm = pool.map(measure_calm, calm_runs(seeds, includes_large), chunksize=1)
    write_page(seeds, takeovers, calm)
    print((OUTPUT / "membership.md").read_text())


if __name__ == "__main__":
    main()
