"""Scenarios in which being served in another zone has a cost: zones are distant, and engines hold only some
data sets in memory.

Two instances and three engines stand in each of three zones; clients read data sets of their own zone. Two
zones are near one another, the third is far.
"""

from __future__ import annotations

from typing import Any

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour
from cottonhold.emulator.fault_injection.script import Fault, Scenario

OUTAGE_AT_S, RECOVERED_AT_S = 8.0, 18.0
DISTANCES_MS = {"a-b": 6.0, "b-c": 14.0, "a-c": 20.0}
TRAITS = {
    "tip": 1000.0,
    "tip_window": 1500.0,
    "datasets": 14,  # two zones' worth of the 21 that there are
    "set_cold": 1.8,
    "set_ms": 3000.0,
}


def failover_cost_scenario(name: str, description: str, *faults: Fault, **fields: Any) -> Scenario:
    """Return a scenario in which something of a zone is out from 8 to 18 s."""
    defaults: dict[str, Any] = {
        "duration_s": 28.0,
        "outage_at_s": OUTAGE_AT_S,
        "recovered_at_s": RECOVERED_AT_S,
        "has_admission": True,
        "client_behaviour": ClientBehaviour(max_attempts=3),
        "requests_per_s": 240.0,
        "instance_weights": (2, 2, 2, 2, 2, 2),
        "instance_zones": ("a", "a", "b", "b", "c", "c"),
        "zone_distances_ms": DISTANCES_MS,
        "engine_traits": TRAITS,
    }
    return Scenario(name=name, description=description, faults=faults, **(defaults | fields))


def outage(*targets: str) -> tuple[Fault, ...]:
    """Kill targets and start them again."""
    return tuple(
        f for t in targets for f in (Fault(OUTAGE_AT_S, "power", t), Fault(RECOVERED_AT_S, "start", t))
    )


SLOW = (
    Fault(OUTAGE_AT_S, "traits", "a", options={"slow": 10}),
    Fault(RECOVERED_AT_S, "traits", "a", options={"slow": 1}),
)

SCENARIOS = [
    failover_cost_scenario("outlook-calm", "nothing fails where zones are apart"),
    failover_cost_scenario(
        "outlook-lost", "a zone's engines are lost, its clients' instances are not", *outage("a")
    ),
    failover_cost_scenario("outlook-dark", "all hosts of a zone are lost", *outage("zone-a")),
    failover_cost_scenario("outlook-ill", "a zone is ten times slower", *SLOW),
    failover_cost_scenario(
        "outlook-half", "a zone and half of the next are lost", *outage("a", "b0"), requests_per_s=200.0
    ),
    failover_cost_scenario(
        "outlook-uneven",
        "half of all clients belong to the zone that is lost",
        *outage("a"),
        instance_weights=(4, 4, 2, 2, 2, 2),
    ),
    failover_cost_scenario(
        "outlook-full", "a zone is lost where the others can't carry all", *outage("a"), requests_per_s=340.0
    ),
    failover_cost_scenario(
        "outlook-lossy",
        "a zone is lost, and half of the datagrams",
        Fault(2.0, "peers", "n*", "n*", {"loss": 0.5}),
        *outage("a"),
    ),
    failover_cost_scenario(
        "outlook-short",
        "a small zone is lost: for every run of the tests",
        Fault(4.0, "power", "a"),
        Fault(8.0, "start", "a"),
        duration_s=12.0,
        outage_at_s=4.0,
        recovered_at_s=8.0,
        instances=3,
        engines_per_zone=1,
        instance_zones=("a", "b", "c"),
        requests_per_s=70.0,
    ),
]
