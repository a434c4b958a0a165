"""All scenarios by name, and the definitions of those about zones and overload.

Most have the load that the operators measured: six instances, nine engines in three zones, 270 requests a
second, and two classes with utilities 1 and 6.
"""

from __future__ import annotations

from typing import Any

import msgspec

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour, RequestClass
from cottonhold.emulator.fault_injection.failover_cost_scenarios import SCENARIOS as FAILOVER_COST_SCENARIOS
from cottonhold.emulator.fault_injection.recovery_scenarios import SCENARIOS as RECOVERY_SCENARIOS
from cottonhold.emulator.fault_injection.replacement_scenarios import SCENARIOS as REPLACEMENT_SCENARIOS
from cottonhold.emulator.fault_injection.script import Fault, Scenario

OUTAGE_AT_S, RECOVERED_AT_S = 5.0, 13.0


def zone_scenario(name: str, description: str, *faults: Fault, **fields: Any) -> Scenario:
    """Return a scenario in which zone a fails at 5 s and recovers at 13 s.

    Args:
        name: Name of the scenario.
        description: Description in a few words.
        faults: Faults to inject.
        fields: Further fields of the scenario, which override the defaults.
    """
    defaults: dict[str, Any] = {
        "duration_s": 24.0,
        "outage_at_s": OUTAGE_AT_S,
        "recovered_at_s": RECOVERED_AT_S,
    }
    return Scenario(name=name, description=description, faults=faults, **(defaults | fields))


def kill_and_restart(target: str = "a") -> tuple[Fault, Fault]:
    """Return faults that kill engines at the outage and start them again at the recovery."""
    return Fault(OUTAGE_AT_S, "kill", target), Fault(RECOVERED_AT_S, "start", target)


SLOW = (
    Fault(OUTAGE_AT_S, "traits", "a", options={"slow": 10}),
    Fault(RECOVERED_AT_S, "traits", "a", options={"slow": 1}),
)
DISCONNECT = {"cut": True}
RECONNECT = {"heal": True}

SCENARIOS = [
    Scenario(name="calm", description="nothing fails", duration_s=12.0),
    zone_scenario("zone-killed", "a zone is killed and returns cold", *kill_and_restart()),
    zone_scenario(
        "zone-silent",
        "a zone stalls and resumes",
        Fault(OUTAGE_AT_S, "stop", "a"),
        Fault(RECOVERED_AT_S, "go", "a"),
    ),
    zone_scenario("zone-slow", "a zone is ten times slower", *SLOW),
    zone_scenario(
        "zone-failing",
        "a zone fails three in ten requests",
        Fault(OUTAGE_AT_S, "traits", "a", options={"failing": 0.3}),
        Fault(RECOVERED_AT_S, "traits", "a", options={"failing": 0.0}),
    ),
    zone_scenario(
        "failing-light",
        "a zone fails three in ten requests, and the others can serve all",
        Fault(OUTAGE_AT_S, "traits", "a", options={"failing": 0.3}),
        Fault(RECOVERED_AT_S, "traits", "a", options={"failing": 0.0}),
        requests_per_s=200.0,
    ),
    zone_scenario(
        "zone-flapping",
        "a zone stalls and resumes every three seconds",
        *(Fault(OUTAGE_AT_S + 3 * i, "go" if i % 2 else "stop", "a") for i in range(4)),
        duration_s=30.0,
    ),
    zone_scenario(
        "returns-and-falls",
        "a killed zone fails again a second after its return",
        *kill_and_restart(),
        Fault(RECOVERED_AT_S + 1.5, "kill", "a"),
        Fault(RECOVERED_AT_S + 4.0, "start", "a"),
        duration_s=32.0,
    ),
    zone_scenario(
        "one-link",
        "one instance's links to a zone are blocked",
        Fault(OUTAGE_AT_S, "link", "n5", "a", DISCONNECT),
        Fault(RECOVERED_AT_S, "link", "n5", "a", RECONNECT),
    ),
    zone_scenario(
        "half-cut",
        "the links from one half of the fleet to a zone are blocked",
        Fault(OUTAGE_AT_S, "link", "n0-2", "a", DISCONNECT),
        Fault(RECOVERED_AT_S, "link", "n0-2", "a", RECONNECT),
    ),
    zone_scenario(
        "lossy-words",
        "30% of datagrams are lost, and a zone becomes slow",
        Fault(0.0, "peers", "*", "*", {"loss": 0.3}),
        *SLOW,
    ),
    zone_scenario(
        "late-words",
        "datagrams are delayed by a second, and a zone becomes slow",
        Fault(3.0, "peers", "*", "*", {"delay": 1000}),
        *SLOW,
    ),
    zone_scenario(
        "shuffled-words",
        "datagrams are delayed by up to a second and reordered, and a zone becomes slow",
        Fault(3.0, "peers", "*", "*", {"jitter": 1000}),
        *SLOW,
    ),
    zone_scenario(
        "two-halves",
        "datagrams between two halves are blocked, and a zone is killed",
        Fault(OUTAGE_AT_S - 1.0, "peers", "n0-2", "n3-5", DISCONNECT),
        *kill_and_restart(),
        Fault(RECOVERED_AT_S + 3.0, "peers", "n0-2", "n3-5", RECONNECT),
    ),
    zone_scenario(
        "three-of-eight",
        "three of eight instances are killed while a zone is evacuated",
        *SLOW,
        *(Fault(OUTAGE_AT_S + 0.4, "kill", f"n{i}") for i in (0, 3, 5)),
        instances=8,
    ),
    zone_scenario(
        "one-stands-still",
        "instances are stopped for 5 s during a zone's evacuation and during its return",
        *SLOW,
        Fault(OUTAGE_AT_S + 0.2, "stop", "n4"),
        Fault(OUTAGE_AT_S + 5.2, "go", "n4"),
        Fault(RECOVERED_AT_S - 0.5, "stop", "n5"),
        Fault(RECOVERED_AT_S + 4.5, "go", "n5"),
    ),
    zone_scenario(
        "forged",
        "one instance's reports are forged",
        Fault(OUTAGE_AT_S, "forge", "n2", options={"zone": "a"}),
        duration_s=14.0,
    ),
    zone_scenario(
        "replayed",
        "reports on a slow zone are replayed after it has recovered",
        *SLOW,
        *(Fault(20.0 + i, "replay") for i in range(3)),
        duration_s=26.0,
    ),
    zone_scenario(
        "too-small", "the remaining zones can't serve all requests", *kill_and_restart(), requests_per_s=400.0
    ),
    zone_scenario(
        "storm",
        "two of three zones are killed at 380 requests a second, and clients retry",
        *kill_and_restart("a"),
        *kill_and_restart("b"),
        requests_per_s=380.0,
        client_behaviour=ClientBehaviour(max_attempts=3),
        duration_s=30.0,
    ),
    zone_scenario(
        "drains",
        "engines are drained while a zone is evacuated, and one instance's source is blocked",
        *SLOW,
        Fault(OUTAGE_AT_S - 1.0, "drain", "b0"),
        Fault(OUTAGE_AT_S + 1.0, "drain", "c1"),
        Fault(OUTAGE_AT_S + 2.0, "source", "n4", options=DISCONNECT),
        Fault(OUTAGE_AT_S + 3.0, "undrain", "b0"),
        Fault(OUTAGE_AT_S + 4.0, "drain", "b1"),
        Fault(OUTAGE_AT_S + 6.0, "source", "n4", options=RECONNECT),
        Fault(RECOVERED_AT_S + 2.0, "undrain", "c1"),
        Fault(RECOVERED_AT_S + 3.0, "drain", "a1"),
        has_consul=True,
        requests_per_s=200.0,
    ),
    zone_scenario(
        "loads",
        "loads on keys while responses are lost, connections reset and engines killed",
        Fault(4.0, "link", "n0-2", "a", {"back": True}),
        Fault(7.0, "link", "n0-2", "a", RECONNECT),
        Fault(8.0, "kill", "b1"),
        Fault(10.0, "start", "b1"),
        Fault(11.0, "link", "n3-5", "c0", {"reset": True}),
        Fault(13.0, "link", "n3-5", "c0", RECONNECT),
        Fault(14.0, "kill", "n4"),
        Fault(16.0, "start", "n4"),
        request_classes=(
            RequestClass("cheap", 0.5, 2000.0, 20.0),
            RequestClass("dear", 0.3, 2000.0, 20.0),
            RequestClass("load", 0.2, 4000.0, 20.0, True),
        ),
        requests_per_s=200.0,
        outage_at_s=0.0,
        recovered_at_s=0.0,
    ),
    zone_scenario(
        "by-hand",
        "a zone is evacuated by an operator, and the instance that received the order is killed",
        Fault(OUTAGE_AT_S, "order", "n1", options={"zone": "a", "mode": "leave"}),
        Fault(OUTAGE_AT_S + 2.0, "kill", "n1"),
        Fault(RECOVERED_AT_S, "order", "n2", options={"zone": "a", "mode": "free"}),
    ),
]
# For overload: with 60 ms of work, nine engines serve 150 requests a second, and a small machine can generate
# five times that rate.
HEAVY = (RequestClass("cheap", 0.6, 2000.0, 60.0), RequestClass("dear", 0.4, 2000.0, 60.0))


def overload_scenario(
    name: str, description: str, load_factor: float, *faults: Fault, **fields: Any
) -> Scenario:
    """Return a scenario in which clients retry twice, with a multiple of the load that the engines can serve.

    Args:
        name: Name of the scenario.
        description: Description in a few words.
        load_factor: Request rate as a multiple of what all engines can serve.
        faults: Faults to inject.
        fields: Further fields of the scenario, which override the defaults.
    """
    defaults: dict[str, Any] = {
        "duration_s": 20.0,
        "request_classes": HEAVY,
        "client_behaviour": ClientBehaviour(max_attempts=3),
        "has_admission": True,
    }
    defaults["engine_traits"] = {"work": 60.0, "tip": 1000.0, "tip_window": 1500.0}
    return Scenario(
        name=name,
        description=description,
        faults=faults,
        requests_per_s=150.0 * load_factor,
        **(defaults | fields),
    )


SCENARIOS += [
    overload_scenario("overload-1.5", "1.5 times the load that the engines can serve", 1.5),
    overload_scenario("overload-3", "three times the load that the engines can serve", 3.0),
    overload_scenario("overload-5", "five times the load that the engines can serve", 5.0),
    overload_scenario(
        "overload-skew",
        "twice the load, and one instance receives 20 of 25 parts",
        2.0,
        instance_weights=(1, 1, 1, 1, 1, 20),
    ),
    overload_scenario(
        "overload-deaf",
        "twice the load, and clients ignore the advised retry delay",
        2.0,
        client_behaviour=ClientBehaviour(3, retry_after_share=0.0),
    ),
    overload_scenario(
        "overload-lossy",
        "twice the load, and 30% of datagrams are lost",
        2.0,
        Fault(0.0, "peers", "*", "*", {"loss": 0.3}),
    ),
    overload_scenario(
        "overload-halves",
        "twice the load, and datagrams between two halves are blocked",
        2.0,
        Fault(5.0, "peers", "n0-2", "n3-5", DISCONNECT),
    ),
    overload_scenario(
        "overload-killed",
        "twice the load, and three of eight instances are killed",
        2.0,
        *(Fault(8.0, "kill", f"n{i}") for i in (0, 3, 5)),
        instances=8,
    ),
    overload_scenario(
        "overload-stopped",
        "twice the load, and one instance is stopped for 5 s",
        2.0,
        Fault(6.0, "stop", "n4"),
        Fault(11.0, "go", "n4"),
    ),
    overload_scenario(
        "overload-back",
        "two of three zones are killed at 0.84 of the capacity, and return",
        0.84,
        *kill_and_restart("a"),
        *kill_and_restart("b"),
        duration_s=24.0,
        outage_at_s=OUTAGE_AT_S,
        recovered_at_s=RECOVERED_AT_S,
    ),
]
SCENARIOS += [*RECOVERY_SCENARIOS, *FAILOVER_COST_SCENARIOS, *REPLACEMENT_SCENARIOS]
SHORT_SCENARIOS = ("recover-short", "outlook-short", "swap-short")  # played in every run of the tests
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def without_admission(scenario: Scenario) -> Scenario:
    """Return the scenario without shared admission control, so that each instance sheds load on its own."""
    return msgspec.structs.replace(scenario, has_admission=False)


def without_fleet(scenario: Scenario) -> Scenario:
    """Return the scenario without the section `fleet` in the configuration, for comparison."""
    return msgspec.structs.replace(scenario, has_fleet=False)
