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

import matplotlib
import numpy as np

from cottonhold.discovery.model import Address
from cottonhold.emulator.network import Network
from cottonhold.membership.codec import KeyRing, MemberStatus, member_id
from cottonhold.membership.events import DatagramReceived, MemberChanged, SendDatagram
from cottonhold.membership.rendezvous import Rendezvous, score
from cottonhold.membership.swim import Swim
from cottonhold.membership.swim_settings import SwimSettings

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

OUT = Path(__file__).resolve().parents[2] / "docs" / "measurements"
EPOCH = 10_000_000
MEET_MS, WATCH_MS = 20_000.0, 10_000.0


class Instance:
    """One core on the network; notes when each member was first called dead here."""

    def __init__(self, swim: Swim) -> None:
        self.swim = swim
        self.dead: list[tuple[float, int]] = []

    def step(self, now: float, received: list[tuple[bytes, Address]]) -> Iterable[tuple[bytes, Address]]:
        """As the network asks for it."""
        out = []
        for action in self.swim.step(now, [DatagramReceived(data, sender) for data, sender in received]):
            if isinstance(action, SendDatagram):
                out.append((action.data, action.address))
            elif isinstance(action, MemberChanged) and action.status is MemberStatus.DEAD:
                self.dead.append((now, action.member))
        return out

    def next_at(self) -> float:
        """As the network asks for it."""
        return self.swim.next_at()


@dataclass(slots=True, frozen=True)
class Day:
    """One run: how many members, how much is lost, with Lifeguard or without."""

    seed: int
    size: int
    loss: float = 0.0
    lifeguard: bool = True
    kill: int = 2


def fleet(day: Day) -> tuple[Network, list[Instance], list[Address]]:
    network = Network(day.seed, loss=0.0)
    settings = replace(SwimSettings(), uses_lifeguard=day.lifeguard)
    addresses = [Address(f"10.{i // 60000}.{i // 250 % 240}.{i % 250 + 1}", 7946) for i in range(day.size)]
    instances = []
    for i, address in enumerate(addresses):
        seed = day.seed * 10_000 + i
        swim = Swim(f"n{i}", address, settings, seed, EPOCH, KeyRing({1: b"k"}, 1), addresses[:3])
        instances.append(Instance(swim))
        network.add(address, instances[-1])
    network.run(MEET_MS)
    network.loss = day.loss
    return network, instances, addresses


def takeover(day: Day) -> tuple[Day, list[float], int]:
    """Ms until each survivor knows of each death, and how many of the living were called dead meanwhile."""
    network, instances, addresses = fleet(day)
    network.run(network.now + 1000 * network.draw.random())
    killed = network.draw.sample(range(day.size), day.kill)
    ids = {member_id(f"n{i}") for i in killed}
    for i in killed:
        network.kill(addresses[i])
    begun = network.now
    network.run(begun + WATCH_MS)
    found, wrong = [], 0
    for i, instance in enumerate(instances):
        if i in killed:
            continue
        first: dict[int, float] = {}
        for at, member in instance.dead:
            if at >= begun:
                first.setdefault(member, at - begun)
        found += [first.get(engine_id, float("inf")) for engine_id in ids]
        wrong += sum(member not in ids for _, member in instance.dead)
    return day, found, wrong


def quiet(day: Day) -> tuple[Day, float, float, float]:
    """Wrong deaths an hour and member, bytes a second and member, CPU microseconds a second and member."""
    network, instances, _ = fleet(day)
    for instance in instances:
        instance.dead.clear()
    sent, seconds = network.bytes, 120.0 if day.size <= 50 else 20.0
    begun = time.process_time()
    network.run(network.now + seconds * 1000)
    cpu = time.process_time() - begun
    deaths = sum(len(i.dead) for i in instances)
    return (
        day,
        deaths / day.size / seconds * 3600,
        (network.bytes - sent) / seconds / day.size,
        cpu * 1e6 / seconds / day.size,
    )


def reassignment(members: int, subjects: int) -> tuple[float, float]:
    """Ms to take one member out and in again, and ms to do the same by scoring all pairs."""
    shares = Rendezvous()
    for member in range(1, members + 1):
        shares.add_member(member)
    names = [f"e{i}" for i in range(subjects)]
    for name in names:
        shares.add_subject(name)
    begun = time.perf_counter()
    for member in (1, 2, 3):
        shares.remove_member(member)
        shares.add_member(member)
    mine = (time.perf_counter() - begun) / 6 * 1000
    begun = time.perf_counter()
    for name in names:
        max((score(m, 1.0, name), m) for m in range(1, members + 1))
    return mine, (time.perf_counter() - begun) * 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--large", action="store_true", help="also 500 members, which takes many minutes")
    arguments = parser.parse_args()
    n = arguments.seeds
    kills = [Day(seed, 5, loss) for loss in (0.0, 0.1, 0.3) for seed in range(n)]
    kills += [Day(seed, 50, loss) for loss in (0.0, 0.3) for seed in range(max(n // 50, 2))]
    if arguments.large:
        kills += [Day(seed, 500, 0.0) for seed in range(max(n // 500, 1))]
    calm = [
        Day(s, 5, loss, lg)
        for loss in (0.0, 0.1, 0.3)
        for lg in (True, False)
        for s in range(max(n // 20, 2))
    ]
    calm += [Day(s, size) for size in ((50, 500) if arguments.large else (50,)) for s in range(2)]
    with multiprocessing.Pool(arguments.jobs) as pool:
        found = pool.map(takeover, kills, chunksize=4)
        rest = pool.map(quiet, calm, chunksize=1)
    write(n, found, rest)
    print((OUT / "membership.md").read_text())


def write(
    seeds: int, found: list[tuple[Day, list[float], int]], rest: list[tuple[Day, float, float, float]]
) -> None:
    OUT.mkdir(parents=True, exist_ok=True)
    text = [
        "# Membership: measured",
        "",
        f"By `python benchmarks/membership/run.py --seeds {seeds}`, in virtual "
        "time: one-way delay 0.2 to 2 ms, two members killed at once, default settings.",
        "",
        "## From a death to each survivor's knowing it",
        "",
        "| members | loss | runs | p50 ms | p99 ms | max ms | over 2 s | the living called dead |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.6))
    for size, loss in sorted({(d.size, d.loss) for d, _, _ in found}):
        some = [(v, w) for d, v, w in found if (d.size, d.loss) == (size, loss)]
        values = np.array([x for v, _ in some for x in v])
        p50, p99 = np.percentile(values, [50, 99])
        late = int((values > 2000).sum())
        text.append(
            f"| {size} | {loss:.0%} | {len(some)} | {p50:.0f} | {p99:.0f} | {values.max():.0f} | "
            f"{late} of {len(values)} | {sum(w for _, w in some)} |"
        )
        ordered = np.sort(values)
        left.plot(ordered, np.arange(1, len(ordered) + 1) / len(ordered), label=f"{size}, {loss:.0%} lost")
    text += [
        "",
        "![takeover and wrong deaths](membership.svg)",
        "",
        "## Wrong deaths on a day without deaths",
        "",
        "| loss | Lifeguard | wrong deaths an hour and member |",
        "| --- | --- | --- |",
    ]
    bars: dict[bool, list[float]] = {True: [], False: []}
    for loss in (0.0, 0.1, 0.3):
        for lifeguard in (True, False):
            mean = float(
                np.mean([w for d, w, _, _ in rest if (d.size, d.loss, d.lifeguard) == (5, loss, lifeguard)])
            )
            bars[lifeguard].append(mean)
            text.append(f"| {loss:.0%} | {'on' if lifeguard else 'off'} | {mean:.1f} |")
    text += [
        "",
        "## Cost of a quiet second",
        "",
        "| members | bytes a member | CPU microseconds a member |",
        "| --- | --- | --- |",
    ]
    for size in sorted({d.size for d, *_ in rest}):
        some_rest = [(b, c) for d, _, b, c in rest if d.size == size and d.loss == 0.0 and d.lifeguard]
        text.append(
            f"| {size} | {np.mean([row[0] for row in some_rest]):.0f} | "
            f"{np.mean([row[1] for row in some_rest]):.0f} |"
        )
    text += [
        "",
        "## One member out or in",
        "",
        "| members | subjects | kept up, ms | all pairs, ms |",
        "| --- | --- | --- | --- |",
    ]
    for members, subjects in ((5, 100), (50, 1000), (50, 10_000)):
        mine, plain = reassignment(members, subjects)
        text.append(f"| {members} | {subjects} | {mine:.2f} | {plain:.2f} |")
    (OUT / "membership.md").write_text("\n".join([*text, ""]))
    left.set(xlabel="ms", ylabel="share", title="From a death to knowing it", xlim=(0, 4000))
    left.legend(fontsize=7)
    places = np.arange(3)
    right.bar(places - 0.2, bars[True], 0.4, label="with Lifeguard")
    right.bar(places + 0.2, bars[False], 0.4, label="without")
    right.set(
        xticks=places,
        xticklabels=["0%", "10%", "30%"],
        xlabel="loss",
        ylabel="an hour and member",
        title="Wrong deaths",
    )
    right.legend()
    figure.tight_layout()
    figure.savefig(OUT / "membership.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
