"""The days of trials, by name: those of zones and of overload here, the others in modules of their own. Most
play the load that the operators measured: six instances, nine engines in three zones, 270 requests a second,
two classes worth 1 and 6.
"""

from __future__ import annotations

from typing import Any

import msgspec

from cottonhold.emulator.fault_injection.clients import Kind, Manner
from cottonhold.emulator.fault_injection.failover_cost_scenarios import SCENARIOS as OUTLOOK
from cottonhold.emulator.fault_injection.recovery_scenarios import SCENARIOS as RECOVER
from cottonhold.emulator.fault_injection.replacement_scenarios import SCENARIOS as SWAP
from cottonhold.emulator.fault_injection.script import Fault, Scenario

OUT, BACK = 5.0, 13.0


def zone_scenario(name: str, about: str, *faults: Fault, **fields: Any) -> Scenario:
    """A day on which zone a fails at 5 s and is well again at 13 s."""
    usual: dict[str, Any] = {"seconds": 24.0, "out": OUT, "back": BACK}
    return Scenario(name=name, about=about, faults=faults, **(usual | fields))


def killed(target: str = "a") -> tuple[Fault, Fault]:
    """Engines killed, and started again from nothing."""
    return Fault(OUT, "kill", target), Fault(BACK, "start", target)


SLOW = (Fault(OUT, "traits", "a", options={"slow": 10}), Fault(BACK, "traits", "a", options={"slow": 1}))
CUT = {"cut": True}
HEAL = {"heal": True}

SCENARIOS = [
    Scenario(name="calm", about="nothing fails", seconds=12.0),
    zone_scenario("zone-killed", "a zone is killed and returns cold", *killed()),
    zone_scenario(
        "zone-silent", "a zone stalls and goes on", Fault(OUT, "stop", "a"), Fault(BACK, "go", "a")
    ),
    zone_scenario("zone-slow", "a zone is ten times slower", *SLOW),
    zone_scenario(
        "zone-failing",
        "a zone fails three in ten",
        Fault(OUT, "traits", "a", options={"failing": 0.3}),
        Fault(BACK, "traits", "a", options={"failing": 0.0}),
    ),
    zone_scenario(
        "failing-light",
        "a zone fails three in ten where the others can carry all",
        Fault(OUT, "traits", "a", options={"failing": 0.3}),
        Fault(BACK, "traits", "a", options={"failing": 0.0}),
        rate=200.0,
    ),
    zone_scenario(
        "zone-flapping",
        "a zone stalls and goes on each three seconds",
        *(Fault(OUT + 3 * i, "go" if i % 2 else "stop", "a") for i in range(4)),
        seconds=30.0,
    ),
    zone_scenario(
        "returns-and-falls",
        "a killed zone falls again a second after its return",
        *killed(),
        Fault(BACK + 1.5, "kill", "a"),
        Fault(BACK + 4.0, "start", "a"),
        seconds=32.0,
    ),
    zone_scenario(
        "one-link",
        "one instance's way to a zone is cut",
        Fault(OUT, "link", "n5", "a", CUT),
        Fault(BACK, "link", "n5", "a", HEAL),
    ),
    zone_scenario(
        "half-cut",
        "a zone is cut from one half of the fleet",
        Fault(OUT, "link", "n0-2", "a", CUT),
        Fault(BACK, "link", "n0-2", "a", HEAL),
    ),
    zone_scenario(
        "lossy-words",
        "30% of datagrams are lost, and a zone slows",
        Fault(0.0, "peers", "*", "*", {"loss": 0.3}),
        *SLOW,
    ),
    zone_scenario(
        "late-words",
        "datagrams take a second, and a zone slows",
        Fault(3.0, "peers", "*", "*", {"delay": 1000}),
        *SLOW,
    ),
    zone_scenario(
        "shuffled-words",
        "datagrams take up to a second and overtake one another, and a zone slows",
        Fault(3.0, "peers", "*", "*", {"jitter": 1000}),
        *SLOW,
    ),
    zone_scenario(
        "two-halves",
        "datagrams are cut between two halves, and a zone is killed",
        Fault(OUT - 1.0, "peers", "n0-2", "n3-5", CUT),
        *killed(),
        Fault(BACK + 3.0, "peers", "n0-2", "n3-5", HEAL),
    ),
    zone_scenario(
        "three-of-eight",
        "three of eight instances are killed while a zone is left",
        *SLOW,
        *(Fault(OUT + 0.4, "kill", f"n{i}") for i in (0, 3, 5)),
        instances=8,
    ),
    zone_scenario(
        "one-stands-still",
        "one instance is stopped for 5 s across leaving, and again across the return",
        *SLOW,
        Fault(OUT + 0.2, "stop", "n4"),
        Fault(OUT + 5.2, "go", "n4"),
        Fault(BACK - 0.5, "stop", "n5"),
        Fault(BACK + 4.5, "go", "n5"),
    ),
    zone_scenario(
        "forged",
        "one instance's words are forged",
        Fault(OUT, "forge", "n2", options={"zone": "a"}),
        seconds=14.0,
    ),
    zone_scenario(
        "replayed",
        "words of a slow zone are sent again when it is long well",
        *SLOW,
        *(Fault(20.0 + i, "replay") for i in range(3)),
        seconds=26.0,
    ),
    zone_scenario("too-small", "the zones that remain can't carry all", *killed(), rate=400.0),
    zone_scenario(
        "storm",
        "two of three zones are killed at 380 a second, and clients come again",
        *killed("a"),
        *killed("b"),
        rate=380.0,
        manner=Manner(tries=3),
        seconds=30.0,
    ),
    zone_scenario(
        "drains",
        "engines are drained while a zone is left, and one instance's source is cut",
        *SLOW,
        Fault(OUT - 1.0, "drain", "b0"),
        Fault(OUT + 1.0, "drain", "c1"),
        Fault(OUT + 2.0, "source", "n4", options=CUT),
        Fault(OUT + 3.0, "undrain", "b0"),
        Fault(OUT + 4.0, "drain", "b1"),
        Fault(OUT + 6.0, "source", "n4", options=HEAL),
        Fault(BACK + 2.0, "undrain", "c1"),
        Fault(BACK + 3.0, "drain", "a1"),
        consul=True,
        rate=200.0,
    ),
    zone_scenario(
        "loads",
        "loads on keys while answers are lost, connections reset and engines killed",
        Fault(4.0, "link", "n0-2", "a", {"back": True}),
        Fault(7.0, "link", "n0-2", "a", HEAL),
        Fault(8.0, "kill", "b1"),
        Fault(10.0, "start", "b1"),
        Fault(11.0, "link", "n3-5", "c0", {"reset": True}),
        Fault(13.0, "link", "n3-5", "c0", HEAL),
        Fault(14.0, "kill", "n4"),
        Fault(16.0, "start", "n4"),
        kinds=(
            Kind("cheap", 0.5, 2000.0, 20.0),
            Kind("dear", 0.3, 2000.0, 20.0),
            Kind("load", 0.2, 4000.0, 20.0, True),
        ),
        rate=200.0,
        out=0.0,
        back=0.0,
    ),
    zone_scenario(
        "by-hand",
        "a zone is left by hand, and the instance that took the order dies",
        Fault(OUT, "order", "n1", options={"zone": "a", "mode": "leave"}),
        Fault(OUT + 2.0, "kill", "n1"),
        Fault(BACK, "order", "n2", options={"zone": "a", "mode": "free"}),
    ),
]
# Overload: work of 60 ms, so that nine engines do 150 a second and a small machine can offer five times that.
HEAVY = (Kind("cheap", 0.6, 2000.0, 60.0), Kind("dear", 0.4, 2000.0, 60.0))


def overload_scenario(name: str, about: str, times: float, *faults: Fault, **fields: Any) -> Scenario:
    """So many times what the engines can do, from clients that come up to three times."""
    usual: dict[str, Any] = {"seconds": 20.0, "kinds": HEAVY, "manner": Manner(tries=3), "price": True}
    usual["traits"] = {"work": 60.0, "tip": 1000.0, "tip_window": 1500.0}
    return Scenario(name=name, about=about, faults=faults, rate=150.0 * times, **(usual | fields))


SCENARIOS += [
    overload_scenario("overload-1.5", "half as much again as the engines can do", 1.5),
    overload_scenario("overload-3", "three times what the engines can do", 3.0),
    overload_scenario("overload-5", "five times what the engines can do", 5.0),
    overload_scenario(
        "overload-skew", "twice, and one instance has 20 of 25 parts", 2.0, weights=(1, 1, 1, 1, 1, 20)
    ),
    overload_scenario(
        "overload-deaf", "twice, and clients pass over the advice", 2.0, manner=Manner(3, honours=0.0)
    ),
    overload_scenario(
        "overload-lossy",
        "twice, and 30% of datagrams are lost",
        2.0,
        Fault(0.0, "peers", "*", "*", {"loss": 0.3}),
    ),
    overload_scenario(
        "overload-halves",
        "twice, and datagrams are cut between two halves",
        2.0,
        Fault(5.0, "peers", "n0-2", "n3-5", CUT),
    ),
    overload_scenario(
        "overload-killed",
        "twice, and three of eight instances are killed",
        2.0,
        *(Fault(8.0, "kill", f"n{i}") for i in (0, 3, 5)),
        instances=8,
    ),
    overload_scenario(
        "overload-stopped",
        "twice, and one is stopped for 5 s",
        2.0,
        Fault(6.0, "stop", "n4"),
        Fault(11.0, "go", "n4"),
    ),
    overload_scenario(
        "overload-back",
        "two of three zones are killed at 0.84 of what all can do, and come back",
        0.84,
        *killed("a"),
        *killed("b"),
        seconds=24.0,
        out=OUT,
        back=BACK,
    ),
]
SCENARIOS += [*RECOVER, *OUTLOOK, *SWAP]
SHORT = ("recover-short", "outlook-short", "swap-short")  # together under two minutes
BY_NAME = {day.name: day for day in SCENARIOS}


def without_admission(day: Scenario) -> Scenario:
    """The same day, where each instance sheds by its own plan."""
    return msgspec.structs.replace(day, price=False)


def without_fleet(day: Scenario) -> Scenario:
    """The same day with the section `fleet` off, for comparison."""
    return msgspec.structs.replace(day, fleet=False)
