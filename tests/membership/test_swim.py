"""The membership protocol in virtual time: crashes, restarts, stalls, partitions, packet loss, one-way links.

A seed repeats a run exactly.
"""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from cottonhold.discovery.model import Address
from cottonhold.emulator.network import Network
from cottonhold.membership.codec import KeyRing, MemberStatus, Message, MessageKind, member_id
from cottonhold.membership.events import DatagramReceived, MemberChanged, SendDatagram
from cottonhold.membership.swim import Swim
from cottonhold.membership.swim_settings import SwimSettings

EPOCH = 10_000_000  # added to start times, since real incarnations are Unix times and never near 0


class Instance:
    """A `Swim` on the emulated network, with the status changes that it reported."""

    def __init__(self, swim: Swim) -> None:
        self.swim = swim
        self.status_changes: list[tuple[float, MemberChanged]] = []

    def step(self, now: float, received: list[tuple[bytes, Address]]) -> Iterable[tuple[bytes, Address]]:
        actions = self.swim.step(now, [DatagramReceived(data, sender) for data, sender in received])
        self.status_changes += [(now, action) for action in actions if isinstance(action, MemberChanged)]
        return [(action.data, action.address) for action in actions if isinstance(action, SendDatagram)]

    def next_at(self) -> float:
        return self.swim.next_at()


class Fleet:
    """Instances n0, n1, ... whose seeds are the first three of them."""

    def __init__(self, size: int, seed: int, loss: float = 0.0, settings: SwimSettings | None = None) -> None:
        self.network = Network(seed, loss=loss)
        self.settings = settings or SwimSettings()
        self.seed, self.start_count = seed, 0
        self.addresses = [Address(f"10.0.{i // 250}.{i % 250 + 1}", 7946) for i in range(size)]
        self.instances: dict[int, Instance] = {}
        for i in range(size):
            self.start(i)

    def start(self, i: int, skew: float = 0.0) -> Instance:
        self.start_count += 1
        started_at = int(self.network.now + skew) + EPOCH
        seeds = self.addresses[:3]
        swim = Swim(
            f"n{i}",
            self.addresses[i],
            self.settings,
            self.seed * 1000 + self.start_count,
            started_at,
            KeyRing({1: b"k"}, 1),
            seeds,
        )
        instance = self.instances[i] = Instance(swim)
        self.network.add(self.addresses[i], instance, skew)
        return instance

    def kill(self, *numbers: int) -> None:
        for i in numbers:
            self.network.kill(self.addresses[i])
            del self.instances[i]

    def run(self, ms: float) -> None:
        self.network.run(self.network.now + ms)

    def agree(self) -> bool:
        """Whether each running instance sees exactly the running instances as live."""
        ids = sorted(member_id(f"n{i}") for i in self.instances)
        return all(instance.swim.live_members() == ids for instance in self.instances.values())

    def until_agreed(self, timeout_ms: float, step: float = 20.0) -> float:
        started_at = self.network.now
        while not self.agree():
            assert self.network.now - started_at < timeout_ms, self.views()
            self.run(step)
        return self.network.now - started_at

    def views(self) -> dict[str, dict[str, str]]:
        return {
            f"n{i}": {m.name: m.status.name for m in instance.swim.members_by_name()}
            for i, instance in self.instances.items()
        }

    def deaths(self) -> int:
        return sum(
            c.status is MemberStatus.DEAD for i in self.instances.values() for _, c in i.status_changes
        )

    def trace(self) -> list[tuple[int, float, str, str]]:
        return [
            (i, t, c.name, c.status.name)
            for i, n in sorted(self.instances.items())
            for t, c in n.status_changes
        ]


def run_until_agreed(
    size: int = 5, seed: int = 1, loss: float = 0.0, settings: SwimSettings | None = None
) -> Fleet:
    fleet = Fleet(size, seed, loss, settings)
    fleet.until_agreed(60_000)
    return fleet


@pytest.mark.parametrize("size", [2, 5, 50])
def test_without_faults_all_members_meet_and_none_is_declared_dead(size: int) -> None:
    fleet = run_until_agreed(size)
    fleet.run(60_000)
    assert fleet.agree() and fleet.deaths() == 0


@pytest.mark.parametrize("seed", range(20))
def test_two_of_five_killed_at_once_are_declared_dead_within_two_seconds(seed: int) -> None:
    fleet = run_until_agreed(seed=seed)
    fleet.run(5000)
    fleet.kill(1, 3)
    assert fleet.until_agreed(2000) <= 2000


@pytest.mark.parametrize("seed", range(5))
def test_a_process_stopped_for_5_s_returns_and_declares_nobody_dead(seed: int) -> None:
    fleet = run_until_agreed(seed=seed)
    fleet.run(2000)
    fleet.network.pause(fleet.addresses[2], 5000)
    fleet.run(5000)
    stopped = fleet.instances[2]
    fleet.until_agreed(5000)
    assert not [c for _, c in stopped.status_changes if c.status is MemberStatus.DEAD]
    fleet.run(20_000)
    assert fleet.agree()


@pytest.mark.parametrize("seed", range(5))
def test_an_instance_that_stalls_half_of_the_time_becomes_alive_again(seed: int) -> None:
    fleet = run_until_agreed(seed=seed)
    for _ in range(10):
        fleet.network.pause(fleet.addresses[2], 1500)
        fleet.run(3000)
    assert not [c for _, c in fleet.instances[2].status_changes if c.status is MemberStatus.DEAD]
    fleet.until_agreed(5000)
    fleet.run(20_000)
    assert fleet.agree()


@pytest.mark.parametrize("end", ["suspected", "dead", "left"])
@pytest.mark.parametrize("skew", [0.0, 5000.0, -5000.0, 3_600_000.0, -3_600_000.0])
def test_a_restart_without_state_outranks_its_earlier_incarnation(skew: float, end: str) -> None:
    """Also if its clock went backwards: it receives its old incarnation and chooses a higher one."""
    fleet = run_until_agreed()
    fleet.run(3_000)
    if end == "left":
        for action in fleet.instances[2].swim.leave(fleet.network.now):
            assert isinstance(action, SendDatagram)
            fleet.network.send(fleet.addresses[2], action.address, action.data)
        fleet.run(100)
    fleet.kill(2)
    fleet.run(15_000 if end == "dead" else 600)
    seen = {m.status for i in fleet.instances.values() for m in i.swim.members_by_name() if m.name == "n2"}
    assert (
        seen == {MemberStatus[end.upper()]}
        if end != "suspected"
        else seen <= {MemberStatus.ALIVE, MemberStatus.SUSPECT}
    )
    fleet.start(2, skew=skew)
    fleet.until_agreed(6000)
    fleet.run(10_000)
    assert fleet.agree()


def test_a_partition_of_two_and_three_heals() -> None:
    fleet = run_until_agreed()
    half = set(fleet.addresses[:2])
    fleet.network.is_disconnected = lambda a, b: (a in half) is not (b in half)
    fleet.run(20_000)
    assert (
        len(fleet.instances[0].swim.live_members()) == 2 and len(fleet.instances[4].swim.live_members()) == 3
    )
    fleet.network.is_disconnected = lambda a, b: False
    fleet.until_agreed(15_000)


def test_indirect_pings_compensate_for_a_one_way_link() -> None:
    fleet = run_until_agreed()
    receiver_address, sender_address = fleet.addresses[0], fleet.addresses[1]
    fleet.network.is_disconnected = lambda a, b: a == sender_address and b == receiver_address
    fleet.run(60_000)
    assert fleet.deaths() == 0


def test_lifeguard_reduces_false_deaths_at_thirty_percent_loss() -> None:
    def wrong(lifeguard: bool) -> int:
        fleet = Fleet(5, 3, 0.3, SwimSettings(uses_lifeguard=lifeguard))
        fleet.run(120_000)
        return fleet.deaths()

    assert wrong(True) < wrong(False)


def test_a_member_that_leaves_is_not_suspected_first() -> None:
    fleet = run_until_agreed()
    leaving = fleet.instances.pop(2)
    for action in leaving.swim.leave(fleet.network.now):
        assert isinstance(action, SendDatagram)
        fleet.network.send(fleet.addresses[2], action.address, action.data)
    fleet.network.kill(fleet.addresses[2])
    fleet.until_agreed(1000)
    assert {c.status for i in fleet.instances.values() for _, c in i.status_changes if c.name == "n2"} == {
        MemberStatus.ALIVE,
        MemberStatus.LEFT,
    }


def test_ten_members_restarted_one_by_one_are_all_alive_afterwards() -> None:
    fleet = run_until_agreed(10)
    for i in range(10):
        fleet.kill(i)
        fleet.run(300)
        fleet.start(i)
        fleet.run(1500)
    fleet.until_agreed(10_000)


def test_forged_replayed_and_malformed_datagrams_change_nothing() -> None:
    fleet = run_until_agreed()
    swim = fleet.instances[0].swim
    before, now = fleet.views(), fleet.network.now
    other = fleet.instances[1].swim
    forged = other.codec.encode(Message(MessageKind.PING, other.id, 1, swim.id), b"")
    swim.step(now, [DatagramReceived(forged, fleet.addresses[1])])
    for data in (forged, forged[:-1] + b"\x00", b"\xc7\x01", b"", b"\x01old"):
        assert not [
            a
            for a in swim.step(now, [DatagramReceived(data, fleet.addresses[1])])
            if isinstance(a, MemberChanged)
        ]
    assert fleet.views() == before
    named = {k: v for k, v in swim.counts.items() if k.startswith("malformed")}
    assert (
        named == {"malformed_replay": 1, "malformed_mac": 1, "malformed_truncated": 2, "malformed_magic": 1}
        or sum(named.values()) == 5
    )


def run_with_faults(seed: int) -> Fleet:
    """Random faults by a seed (crashes, restarts, pauses, packet loss, partitions), then none for a while."""
    fleet = Fleet(5, seed)
    draw = fleet.network.draw
    fleet.run(3000)
    for _ in range(8):
        running = sorted(fleet.instances)
        kind = draw.choice(["kill", "start", "stop", "loss", "split", "calm"])
        if kind == "kill" and len(running) > 2:
            fleet.kill(draw.choice(running))
        elif kind == "start" and len(running) < 5:
            fleet.start(
                draw.choice([i for i in range(5) if i not in running]), skew=draw.choice([0, -5000, 5000])
            )
        elif kind == "stop":
            fleet.network.pause(fleet.addresses[draw.choice(running)], draw.uniform(100, 5000))
        elif kind == "loss":
            fleet.network.loss = draw.choice([0.0, 0.1, 0.3])
        elif kind == "split":
            half = set(draw.sample(fleet.addresses, 2))
            fleet.network.is_disconnected = lambda a, b, half=half: (a in half) is not (b in half)  # type: ignore[misc]
        else:
            fleet.network.is_disconnected, fleet.network.loss = lambda a, b: False, 0.0
        fleet.run(draw.uniform(200, 4000))
    fleet.network.is_disconnected, fleet.network.loss = lambda a, b: False, 0.0
    fleet.run(6000)  # all pauses are over
    return fleet


@pytest.mark.parametrize("seed", range(40))
def test_views_converge_after_any_faults_and_a_seed_repeats_the_run(seed: int) -> None:
    fleet = run_with_faults(seed)
    fleet.until_agreed(30_000)
    if seed % 8 == 0:
        repeated = run_with_faults(seed)
        repeated.until_agreed(30_000)
        assert repeated.trace() == fleet.trace()
