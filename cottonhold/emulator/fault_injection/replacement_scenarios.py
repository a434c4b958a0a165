"""Days of a rolling swap of the instances: one after another they go and come back, with a fifth of loads.

An instance is gone for 1.5 s. `swap-none` is the same load without a swap, to be compared with.
"""

from __future__ import annotations

from typing import Any

from cottonhold.emulator.fault_injection.clients import Kind, Manner
from cottonhold.emulator.fault_injection.script import Fault, Scenario

FIRST, EACH, GONE = 3.0, 2.5, 1.5
KINDS = (
    Kind("cheap", 0.5, 2000.0, 20.0),
    Kind("dear", 0.3, 2000.0, 20.0),
    Kind("load", 0.2, 8000.0, 20.0, True),
)


def replacement_scenario(name: str, about: str, *faults: Fault, **fields: Any) -> Scenario:
    """A day on which clients ask again for a load whose end they did not hear."""
    usual: dict[str, Any] = {
        "seconds": 22.0,
        "kinds": KINDS,
        "manner": Manner(tries=3, asks_again=True),
        "price": True,
        "state": True,
        "weights": (2, 2, 2, 2, 2, 2, 2, 2),
    }
    return Scenario(name=name, about=about, faults=faults, **(usual | fields))


def one_by_one(verb: str, *more: str, count: int = 6) -> tuple[Fault, ...]:
    """Each goes by a verb and comes back; before it does, further verbs are done to it."""
    faults = []
    for i in range(count):
        at, name = FIRST + EACH * i, f"n{i}"
        faults.append(Fault(at, verb, name))
        faults += [Fault(at + GONE - 0.1, word, name) for word in more]
        faults.append(Fault(at + GONE, "start", name))
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
            Fault(FIRST + 1.5 * i + begin, verb, engine)
            for i, engine in enumerate(("a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"))
            for begin, verb in ((0.0, "power"), (1.0, "start"))
        ),
    ),
    replacement_scenario(
        "swap-engines-asked",
        "new engines by one request: each is drained first, and comes back cold",
        Fault(FIRST, "swap", "n0", options={"machines": [{"zone": "a"}, {"zone": "b"}, {"zone": "c"}]}),
        seconds=120.0,
        instances=3,
        engines=2,
        rate=70.0,
    ),
    replacement_scenario(
        "swap-short",
        "a small fleet is swapped: for every run of the tests",
        *one_by_one("end", count=3),
        seconds=12.0,
        instances=3,
        engines=1,
        rate=70.0,
    ),
    replacement_scenario(
        "swap-power",
        "power goes in the middle of a swap",
        *(f for f in one_by_one("end", count=3) if f.at < 9.0),
        Fault(9.0, "power", "*"),
        Fault(11.0, "start", "*"),
        returns=11.0,
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

SWAPPED = Fault(FIRST, "swap", "n0", options={"machines": "n*", "gone": GONE})
# 20 ms at each of nine engines with one core: 360 a second are 0.8 of what they can do.
PINS: dict[str, Any] = {"pins": True, "order_across": True, "keys": 2000, "seconds": 60.0}
PINS |= {"instances": 8, "rate": 360.0}
FEW: dict[str, Any] = {"pins": True, "order_across": True, "keys": 200, "seconds": 60.0}
FEW |= {"instances": 4, "engines": 1, "rate": 60.0}
SCENARIOS += [
    replacement_scenario("swap-pins-none", "the load of a swap with pins, without a swap", **PINS),
    replacement_scenario("swap-pins", "all are swapped by the fleet's own swap, with pins", SWAPPED, **PINS),
    replacement_scenario("swap-pins-few-none", "a small fleet with pins, without a swap", **FEW),
    replacement_scenario(
        "swap-pins-few", "a small fleet is swapped by its own swap, with pins", SWAPPED, **FEW
    ),
    replacement_scenario(
        "swap-pins-emptied",
        "a small fleet's machines are swapped for new ones, with nothing in their folders",
        Fault(FIRST, "swap", "n0", options={"machines": "n*", "gone": GONE, "empty": True}),
        **FEW,
    ),
    replacement_scenario(
        "swap-pins-power",
        "power goes in the middle of a swap with pins",
        SWAPPED,
        Fault(10.0, "power", "*"),
        Fault(12.0, "start", "*"),
        returns=12.0,
        **(FEW | {"order_across": False}),
    ),
]
