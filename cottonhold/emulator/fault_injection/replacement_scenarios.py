"""Scenarios of a rolling replacement: instances or engines are stopped and started again one by one.

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
    """Return a scenario in which clients retry a load whose result they did not receive.

    Args:
        name: Name of the scenario.
        description: Description in a few words.
        faults: Faults to inject.
        fields: Further fields of the scenario, which override the defaults.
    """
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
    """Return faults that stop each instance in turn and start it again.

    Args:
        verb: Verb that stops the instance.
        verbs_during_absence: Verbs applied to it shortly before it starts again.
        count: Number of instances.
    """
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
    replacement_scenario("swap-none", "the load of the replacements, without a replacement"),
    replacement_scenario("swap-killed", "instances are killed and restarted one by one", *one_by_one("kill")),
    replacement_scenario(
        "swap-ended", "instances are shut down and restarted one by one", *one_by_one("end")
    ),
    replacement_scenario(
        "swap-emptied",
        "instances are replaced by new machines with empty state folders",
        *one_by_one("end", "empty"),
    ),
    replacement_scenario(
        "swap-engines",
        "engines are killed one by one and restart cold",
        *(
            Fault(FIRST_AT_S + 1.5 * i + begin, verb, engine)
            for i, engine in enumerate(("a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"))
            for begin, verb in ((0.0, "power"), (1.0, "start"))
        ),
    ),
    replacement_scenario(
        "swap-engines-asked",
        "engines are replaced by one request: each is drained first and restarts cold",
        Fault(FIRST_AT_S, "swap", "n0", options={"machines": [{"zone": "a"}, {"zone": "b"}, {"zone": "c"}]}),
        duration_s=120.0,
        instances=3,
        engines_per_zone=2,
        requests_per_s=70.0,
    ),
    replacement_scenario(
        "swap-short",
        "a small fleet is replaced; played in every run of the tests",
        *one_by_one("end", count=3),
        duration_s=12.0,
        instances=3,
        engines_per_zone=1,
        requests_per_s=70.0,
    ),
    replacement_scenario(
        "swap-power",
        "power is lost during a replacement",
        *(f for f in one_by_one("end", count=3) if f.at_s < 9.0),
        Fault(9.0, "power", "*"),
        Fault(11.0, "start", "*"),
        power_restored_at_s=11.0,
    ),
    replacement_scenario(
        "swap-stopped",
        "one instance is stopped for 5 s while others are replaced",
        *(f for f in one_by_one("end") if f.target != "n5"),
        Fault(6.0, "stop", "n5"),
        Fault(11.0, "go", "n5"),
    ),
    replacement_scenario(
        "swap-parted",
        "datagrams between two halves are blocked for a time while instances are replaced",
        Fault(4.0, "peers", "n0-2", "n3-5", {"cut": True}),
        *one_by_one("end"),
        Fault(12.0, "peers", "n0-2", "n3-5", {"heal": True}),
    ),
    replacement_scenario(
        "swap-lossy",
        "30% of datagrams are lost, some duplicated and reordered, while instances are replaced",
        Fault(0.0, "peers", "n*", "n*", {"loss": 0.3, "twice": 0.2, "jitter": 200}),
        *one_by_one("end"),
    ),
]

REPLACE_ALL = Fault(FIRST_AT_S, "swap", "n0", options={"machines": "n*", "gone": ABSENCE_S})
# Nine engines with one core and 20 ms of work serve 450 requests a second; the rate of 360 is 0.8 of that.
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
    replacement_scenario(
        "swap-pins-none",
        "the load of a replacement with session affinity, without a replacement",
        **WITH_AFFINITY,
    ),
    replacement_scenario(
        "swap-pins", "one request replaces all instances, with session affinity", REPLACE_ALL, **WITH_AFFINITY
    ),
    replacement_scenario(
        "swap-pins-few-none",
        "a small fleet with session affinity, without a replacement",
        **SMALL_WITH_AFFINITY,
    ),
    replacement_scenario(
        "swap-pins-few",
        "one request replaces a small fleet, with session affinity",
        REPLACE_ALL,
        **SMALL_WITH_AFFINITY,
    ),
    replacement_scenario(
        "swap-pins-emptied",
        "one request replaces a small fleet by machines with empty state folders",
        Fault(FIRST_AT_S, "swap", "n0", options={"machines": "n*", "gone": ABSENCE_S, "empty": True}),
        **SMALL_WITH_AFFINITY,
    ),
    replacement_scenario(
        "swap-pins-power",
        "power is lost during a replacement with session affinity",
        REPLACE_ALL,
        Fault(10.0, "power", "*"),
        Fault(12.0, "start", "*"),
        power_restored_at_s=12.0,
        **(SMALL_WITH_AFFINITY | {"orders_across": False}),
    ),
]
