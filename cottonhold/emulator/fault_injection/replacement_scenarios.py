"""Scenarios of a rolling replacement: instances, or engines, are taken out and started again one after
another.

A fifth of the requests are loads. An instance is absent for 1.5 s. `swap-none` has the same load without a
replacement, for comparison.
"""

from __future__ import annotations

from typing import Any

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour
from cottonhold.emulator.fault_injection.recovery_scenarios import LOADS_AND_READS
from cottonhold.emulator.fault_injection.script import Fault, Scenario

FIRST_AT_S, INTERVAL_S, ABSENCE_S = 3.0, 2.5, 1.5


def replacement_scenario(name: str, description: str, *faults: Fault, **fields: Any) -> Scenario:
    """Return a scenario in which clients repeat a load whose end they did not receive."""
    defaults: dict[str, Any] = {
        "duration_s": 22.0,
        "request_classes": LOADS_AND_READS,
        "client_behaviour": ClientBehaviour(max_attempts=3, retries_unfinished_loads=True),
        "has_admission": True,
        "has_state_folders": True,
        "instance_weights": (2, 2, 2, 2, 2, 2, 2, 2),
    }
    return Scenario(name=name, description=description, faults=faults, **(defaults | fields))


def one_by_one(verb: str, *verbs_during_absence: str, count: int = 6) -> tuple[Fault, ...]:
    """Take each instance out by a verb and start it again; further verbs are applied while it is out."""
    faults = []
    for i in range(count):
        at, name = FIRST_AT_S + INTERVAL_S * i, f"n{i}"
        faults.append(Fault(at, verb, name))
        faults += [
            Fault(at + ABSENCE_S - 0.1, verb_while_out, name) for verb_while_out in verbs_during_absence
        ]
        faults.append(Fault(at + ABSENCE_S, "start", name))
    return tuple(faults)


SCENARIOS = [
    replacement_scenario("swap-none", "the load of a swap without a swap"),
    replacement_scenario(
        "swap-killed", "instances are killed and started one after another", *one_by_one("kill")
    ),
    replacement_scenario(
        "swap-ended", "instances are ended and started one after another", *one_by_one("end")
    ),
    replacement_scenario(
        "swap-emptied",
        "new machines: instances come back with empty folders",
        *one_by_one("end", "empty"),
    ),
    replacement_scenario(
        "swap-engines",
        "new engines: they are ended one after another and come back cold",
        *(
            Fault(FIRST_AT_S + 1.5 * i + begin, verb, engine)
            for i, engine in enumerate(("a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"))
            for begin, verb in ((0.0, "power"), (1.0, "start"))
        ),
    ),
    replacement_scenario(
        "swap-engines-asked",
        "new engines by one request: each is drained first, and comes back cold",
        Fault(FIRST_AT_S, "swap", "n0", options={"machines": [{"zone": "a"}, {"zone": "b"}, {"zone": "c"}]}),
        duration_s=120.0,
        instances=3,
        engines_per_zone=2,
        requests_per_s=70.0,
    ),
    replacement_scenario(
        "swap-short",
        "a small fleet is swapped: for every run of the tests",
        *one_by_one("end", count=3),
        duration_s=12.0,
        instances=3,
        engines_per_zone=1,
        requests_per_s=70.0,
    ),
    replacement_scenario(
        "swap-power",
        "power goes in the middle of a swap",
        *(f for f in one_by_one("end", count=3) if f.at_s < 9.0),
        Fault(9.0, "power", "*"),
        Fault(11.0, "start", "*"),
        power_restored_at_s=11.0,
    ),
    replacement_scenario(
        "swap-stopped",
        "one stands still for 5 s while others are swapped",
        *(f for f in one_by_one("end") if f.target != "n5"),
        Fault(6.0, "stop", "n5"),
        Fault(11.0, "go", "n5"),
    ),
    replacement_scenario(
        "swap-parted",
        "datagrams are cut between halves while instances are swapped, then heal",
        Fault(4.0, "peers", "n0-2", "n3-5", {"cut": True}),
        *one_by_one("end"),
        Fault(12.0, "peers", "n0-2", "n3-5", {"heal": True}),
    ),
    replacement_scenario(
        "swap-lossy",
        "30% of datagrams are lost, some come twice and in disorder, while instances are swapped",
        Fault(0.0, "peers", "n*", "n*", {"loss": 0.3, "twice": 0.2, "jitter": 200}),
        *one_by_one("end"),
    ),
]

REPLACE_ALL = Fault(FIRST_AT_S, "swap", "n0", options={"machines": "n*", "gone": ABSENCE_S})
# 20 ms at each of nine engines with one core: 360 a second are 0.8 of what they can do.
WITH_AFFINITY: dict[str, Any] = {
    "has_affinity": True,
    "orders_across": True,
    "key_count": 2000,
    "duration_s": 60.0,
}
WITH_AFFINITY |= {"instances": 8, "requests_per_s": 360.0}
SMALL_WITH_AFFINITY: dict[str, Any] = {
    "has_affinity": True,
    "orders_across": True,
    "key_count": 200,
    "duration_s": 60.0,
}
SMALL_WITH_AFFINITY |= {"instances": 4, "engines_per_zone": 1, "requests_per_s": 60.0}
SCENARIOS += [
    replacement_scenario("swap-pins-none", "the load of a swap with pins, without a swap", **WITH_AFFINITY),
    replacement_scenario(
        "swap-pins", "all are swapped by the fleet's own swap, with pins", REPLACE_ALL, **WITH_AFFINITY
    ),
    replacement_scenario(
        "swap-pins-few-none", "a small fleet with pins, without a swap", **SMALL_WITH_AFFINITY
    ),
    replacement_scenario(
        "swap-pins-few",
        "a small fleet is swapped by its own swap, with pins",
        REPLACE_ALL,
        **SMALL_WITH_AFFINITY,
    ),
    replacement_scenario(
        "swap-pins-emptied",
        "a small fleet's machines are swapped for new ones, with nothing in their folders",
        Fault(FIRST_AT_S, "swap", "n0", options={"machines": "n*", "gone": ABSENCE_S, "empty": True}),
        **SMALL_WITH_AFFINITY,
    ),
    replacement_scenario(
        "swap-pins-power",
        "power goes in the middle of a swap with pins",
        REPLACE_ALL,
        Fault(10.0, "power", "*"),
        Fault(12.0, "start", "*"),
        power_restored_at_s=12.0,
        **(SMALL_WITH_AFFINITY | {"orders_across": False}),
    ),
]
