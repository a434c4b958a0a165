"""Scenarios in which service in another zone has a cost: zones are distant, and engines hold only some data
sets in memory.

There are two instances and three engines in each of three zones, and clients read data sets of their own
zone. Two zones are close to each other, the third is distant.
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
    "datasets": 14,  # enough for the data sets of two zones; three zones have 21
    "set_cold": 1.8,
    "set_ms": 3000.0,
}


def failover_cost_scenario(name: str, description: str, *faults: Fault, **fields: Any) -> Scenario:
    """Return a scenario in which a zone fails, wholly or in part, from 8 to 18 s.

    Args:
        name: Name of the scenario.
        description: Description in a few words.
        faults: Faults to inject.
        fields: Further fields of the scenario, which override the defaults.
    """
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
    """Return faults that kill each target at the outage and start it again at the recovery."""
    return tuple(
        f for t in targets for f in (Fault(OUTAGE_AT_S, "power", t), Fault(RECOVERED_AT_S, "start", t))
    )


SLOW = (
    Fault(OUTAGE_AT_S, "traits", "a", options={"slow": 10}),
    Fault(RECOVERED_AT_S, "traits", "a", options={"slow": 1}),
)

SCENARIOS = [
    failover_cost_scenario("outlook-calm", "nothing fails, with distance between zones"),
    failover_cost_scenario("outlook-lost", "a zone's engines fail, its instances do not", *outage("a")),
    failover_cost_scenario("outlook-dark", "all hosts of a zone fail", *outage("zone-a")),
    failover_cost_scenario("outlook-ill", "a zone is ten times slower", *SLOW),
    failover_cost_scenario(
        "outlook-half", "a zone and one engine of the next fail", *outage("a", "b0"), requests_per_s=200.0
    ),
    failover_cost_scenario(
        "outlook-uneven",
        "a zone fails to which half of all clients belong",
        *outage("a"),
        instance_weights=(4, 4, 2, 2, 2, 2),
    ),
    failover_cost_scenario(
        "outlook-full",
        "a zone fails, and the others can't serve all requests",
        *outage("a"),
        requests_per_s=340.0,
    ),
    failover_cost_scenario(
        "outlook-lossy",
        "a zone fails, and half of the datagrams are lost",
        Fault(2.0, "peers", "n*", "n*", {"loss": 0.5}),
        *outage("a"),
    ),
    failover_cost_scenario(
        "outlook-short",
        "a zone of a small fleet fails; played in every run of the tests",
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
