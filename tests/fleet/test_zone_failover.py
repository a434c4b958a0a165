"""Simulated fleets evacuate failing zones and return to them, also with lost and delayed reports."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cottonhold.discovery.model import Address
from cottonhold.emulator.fleet import FleetWorld
from cottonhold.fleet.zone_failover.zone_state import ZonePhase

FAULT_START, FAULT_END = 4000.0, 10_000.0
SKEW = (1, 1, 1, 2, 3, 4, 2, 2)
Fault = Callable[[FleetWorld, bool], None]


def set_zone(**fields: float) -> Fault:
    """Return a fault that sets these fields of zone a's engines, and resets them when it ends."""

    def fault(world: FleetWorld, is_active: bool) -> None:
        usual = {"is_dead": False, "slow_factor": 1.0, "failing_share": 0.0, "silent_until": 0.0}
        for engine in world.engines.values():
            if engine.zone == "a":
                for name, value in fields.items():
                    setattr(engine, name, value if is_active else usual[name])
                if not is_active and "is_dead" in fields:
                    engine.busy_until, engine.cold_until = FAULT_END, FAULT_END + 3000.0

    return fault


def play(
    fault: Fault, end: float = 20_000.0, instance_count: int = 6, loss: float = 0.0, seed: int = 1
) -> FleetWorld:
    """Simulate a fleet with a fault from 4 s to 10 s."""
    world = FleetWorld(seed, instance_count, 270.0, skew=lambda i: SKEW[i], loss=loss)
    world.run(FAULT_START)
    fault(world, True)
    world.run(FAULT_END)
    fault(world, False)
    world.run(end)
    return world


def evacuated_at(world: FleetWorld, zone: str = "a") -> dict[int, float]:
    """Return when each instance first evacuated a zone, in ms since the fault."""
    return {
        i: min(
            t
            for t, change in node.phase_changes
            if change.zone == zone and change.phase is ZonePhase.EVACUATED
        )
        - FAULT_START
        for i, node in world.nodes.items()
        if any(
            change.zone == zone and change.phase is ZonePhase.EVACUATED for _, change in node.phase_changes
        )
    }


FAULTS = {
    "killed": (set_zone(is_dead=True), 1000.0),
    "silent": (set_zone(silent_until=FAULT_END), 1000.0),
    "ten times slower": (set_zone(slow_factor=10.0), 3000.0),
    "three in ten fail": (set_zone(failing_share=0.3), 3000.0),
}


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_evacuate_a_faulty_zone_in_time_and_return_gradually(name: str, loss: float) -> None:
    fault, within_ms = FAULTS[name]
    world = play(fault, loss=loss)
    assert len(evacuated_at(world)) == 6 and max(evacuated_at(world).values()) <= within_ms
    assert world.share("a", FAULT_START + within_ms, FAULT_END) < 0.05
    assert not evacuated_at(world, "b") and not evacuated_at(world, "c")
    assert set(world.phases("a").values()) == {"in"}, "all have returned"
    usual_share = world.share("a", 1000.0, FAULT_START)
    shares = [world.share("a", t, t + 1000) for t in range(int(FAULT_END), 20_000, 500)]
    assert max(shares) < 1.25 * usual_share and shares[0] < 0.5 * usual_share, "no burst in the first second"


@pytest.mark.parametrize(
    "delay_ms, within_ms",
    [((990.0, 1010.0), 3500.0), ((0.0, 1000.0), 2500.0)],
    ids=["a second late", "out of order"],
)
@pytest.mark.parametrize("name", ["killed", "ten times slower"])
def test_late_and_reordered_reports_delay_but_evacuate_no_healthy_zone(
    name: str, delay_ms: tuple[float, float], within_ms: float
) -> None:
    world = FleetWorld(2, 6, 270.0, skew=lambda i: SKEW[i])
    world.network.delay_ms = delay_ms
    world.run(FAULT_START)
    FAULTS[name][0](world, True)
    world.run(FAULT_END)
    FAULTS[name][0](world, False)
    world.run(26_000.0)
    assert len(evacuated_at(world)) == 6 and max(evacuated_at(world).values()) <= within_ms
    assert not evacuated_at(world, "b") and not evacuated_at(world, "c")
    usual_share = world.share("a", 1000.0, FAULT_START)
    assert max(world.share("a", t, t + 1000) for t in range(int(FAULT_END), 25_000, 500)) < 1.25 * usual_share
    assert set(world.phases("a").values()) == {"in"}


@pytest.mark.parametrize(
    "isolated, instance_count", [([5], 6), ([0, 1, 2, 3], 8)], ids=["one link", "half of the fleet"]
)
def test_instances_that_cannot_reach_a_zone_evacuate_it_alone(
    isolated: list[int], instance_count: int
) -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        for i in isolated:
            world.nodes[i].unreachable_zones = {"a"} if is_active else set()

    world = play(fault, instance_count=instance_count)
    assert set(evacuated_at(world)) == set(isolated)
    assert set(world.phases("a").values()) == {"in"}


def test_a_partitioned_fleet_evacuates_by_local_evidence_and_converges_after_it() -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        set_zone(is_dead=True)(world, is_active)
        world.network.is_disconnected = lambda a, b: is_active and (a.port <= 3) != (b.port <= 3)

    world = play(fault, end=25_000.0)
    assert len(evacuated_at(world)) == 6 and set(world.phases("a").values()) == {"in"}
    assert not any(n.fleet.evacuation.states["a"].is_fleet_evacuated for n in world.nodes.values())


def test_instances_that_die_during_an_evacuation_delay_no_other() -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        set_zone(slow_factor=10.0)(world, is_active)
        for i in (5, 4, 0) if is_active else ():
            world.network.call_at(FAULT_START + 300.0, lambda i=i: world.kill(i))  # type: ignore[misc]

    world = play(fault, instance_count=8)
    assert set(evacuated_at(world)) == {1, 2, 3, 6, 7} and max(evacuated_at(world).values()) <= 4000.0
    assert set(world.phases("a").values()) == {"in"}


def test_an_instance_suspended_across_evacuation_and_return_sends_no_burst() -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        set_zone(is_dead=True)(world, is_active)
        if is_active:
            world.network.pause(Address("fleet", 6), 5000.0)

    world = play(fault)
    sends = [t for t, zone, _, _ in world.log if zone == "a" and FAULT_START + 5600 < t < FAULT_END]
    assert len(sends) <= 12 and set(world.phases("a").values()) == {"in"}


def test_all_zones_slow_at_once_is_overload_and_evacuates_none() -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        for engine in world.engines.values():
            engine.slow_factor = 4.0 if is_active else 1.0

    assert not any(evacuated_at(play(fault), zone) for zone in "abc")


def test_two_faulty_zones_are_evacuated_and_the_third_is_not() -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        for engine in world.engines.values():
            engine.is_dead = is_active and engine.zone in "ab"

    world = play(fault, end=25_000.0)
    assert len(evacuated_at(world, "a")) == len(evacuated_at(world, "b")) == 6 and not evacuated_at(
        world, "c"
    )


def test_a_failed_return_doubles_the_hold_down() -> None:
    def fault(world: FleetWorld, is_active: bool) -> None:
        set_zone(slow_factor=10.0)(world, is_active)

    world = play(fault, end=25_000.0)
    for node in world.nodes.values():
        evacuation_times = [
            t
            for t, change in node.phase_changes
            if change.zone == "a" and change.phase is ZonePhase.EVACUATED
        ]
        return_times = [
            t
            for t, change in node.phase_changes
            if change.zone == "a" and change.phase is ZonePhase.RETURNING
        ]
        hold_downs_ms = [end - begin for begin, end in zip(evacuation_times, return_times, strict=False)]
        hold_down_ms = world.settings.evacuation.hold_down_ms
        assert (
            len(hold_downs_ms) >= 2
            and hold_downs_ms[0] >= hold_down_ms
            and hold_downs_ms[1] >= 2 * hold_down_ms
        )


def test_a_zone_whose_load_the_others_cannot_carry_retains_a_share_unless_it_is_down() -> None:
    for failing_share, is_retained in ((0.4, True), (1.0, False)):
        world = FleetWorld(3, 6, 400.0)
        world.run(FAULT_START)
        for engine in world.engines.values():
            engine.failing_share = failing_share if engine.zone == "a" else 0.0
        world.run(FAULT_START + 2500.0)
        share = world.share("a", FAULT_START + 1500.0, FAULT_START + 2500.0)
        assert (share > 0.05) is is_retained, (failing_share, share)
