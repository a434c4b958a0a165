"""Days of a power loss: everything is killed at once and comes back from what its disks have kept.

Power is gone at 6 s. The engines are back cold at 8 s, the instances one by one from 8 to 10.5 s. A fifth of
the requests are loads, and clients ask again for one whose end they did not hear.
"""

from __future__ import annotations

from typing import Any

from cottonhold.emulator.fault_injection.clients import Kind, Manner
from cottonhold.emulator.fault_injection.script import Fault, Scenario

GONE, POWER = 6.0, 8.0
APART = 0.5  # from one instance's start to the next one's
KINDS = (
    Kind("cheap", 0.5, 2000.0, 20.0),
    Kind("dear", 0.3, 2000.0, 20.0),
    Kind("load", 0.2, 8000.0, 20.0, True),
)
ALL = range(6)


def starts(numbers: Any = ALL, begin: float = POWER, apart: float = APART) -> tuple[Fault, ...]:
    """Instances started one by one."""
    return tuple(Fault(begin + apart * i, "start", f"n{n}") for i, n in enumerate(numbers))


def recovery_scenario(name: str, about: str, *faults: Fault, gone: float = GONE, **fields: Any) -> Scenario:
    """A day on which all lose power, usually at 6 s; what comes back, and when, the faults say."""
    usual: dict[str, Any] = {
        "seconds": 22.0,
        "kinds": KINDS,
        "manner": Manner(tries=3, asks_again=True),
        "price": True,
        "state": True,
        "returns": POWER,
    }
    first = Fault(gone, "power", "*")
    return Scenario(name=name, about=about, faults=(first, *faults), **(usual | fields))


BACK = Fault(POWER, "start", "e*")
ONE_BY_ONE = (BACK, *starts())
HOMES = ("a", "a", "b", "b", "c", "c")
# Work of 60 ms, so that a small machine can offer three times what is usual: the engines do 150 a second.
HEAVY = tuple(Kind(k.name, k.share, k.patience, 60.0, k.load) for k in KINDS)


def repeated_power_losses(*cuts: float) -> tuple[Fault, ...]:
    """Power goes at such times too, and is back a second later each time."""
    back = (Fault(at + 1.0, "start", "e*") for at in cuts)
    ones = (fault for at in cuts for fault in starts(begin=at + 1.0))
    gone = [Fault(at, "power", "*") for at in cuts]
    # Danger: an instance whose turn is after the next cut must not be started while there is no power.
    dark = [(at, at + 1.0) for at in cuts]
    kept = [f for f in (*starts(), *ones) if not any(begin <= f.at < end for begin, end in dark)]
    return (BACK, *gone, *back, *kept)


SCENARIOS = [
    recovery_scenario("recover-all", "everything is killed at once and comes back", *ONE_BY_ONE),
    recovery_scenario(
        "recover-again",
        "power goes again three times while all come back",
        *repeated_power_losses(9.5, 12.0, 14.5),
        seconds=28.0,
        returns=15.5,
    ),
    recovery_scenario(
        "recover-half-late",
        "half of the instances come back 20 s after the others",
        BACK,
        *starts(range(3)),
        *starts(range(3, 6), POWER + 20.0),
        seconds=36.0,
    ),
    recovery_scenario(
        "recover-emptied", "one comes back with an empty folder", Fault(7.0, "empty", "n2"), *ONE_BY_ONE
    ),
    recovery_scenario(
        "recover-old",
        "one comes back with a copy of its folder that was made while it ran",
        Fault(0.5, "keep", "n2"),  # marks are made and told until power goes, on a busy machine too
        Fault(7.0, "old", "n2"),
        *ONE_BY_ONE,
    ),
    recovery_scenario(
        "recover-twice", "one folder is started twice", *ONE_BY_ONE, Fault(POWER + 1.6, "twice", "n2")
    ),
    recovery_scenario(
        "recover-engines-before",
        "the engines are back 4 s before the instances",
        BACK,
        *starts(begin=POWER + 4.0),
        seconds=26.0,
    ),
    recovery_scenario("recover-engines-with", "all are back in one instant", Fault(POWER, "start", "*")),
    recovery_scenario(
        "recover-engines-after",
        "the engines are back 5 s after the first instance",
        *starts(),
        Fault(POWER + 5.0, "start", "e*"),
        seconds=27.0,
        returns=POWER + 5.0,
    ),
    recovery_scenario(
        "recover-source-last",
        "the source of the list is back after all others",
        Fault(GONE, "source", "n*", options={"cut": True}),
        *ONE_BY_ONE,
        Fault(POWER + 6.0, "source", "n*", options={"heal": True}),
        consul=True,
        seconds=26.0,
    ),
    recovery_scenario(
        "recover-zone-dark",
        "a zone's hosts do not come back",
        Fault(POWER, "start", "a"),
        Fault(POWER, "start", "b"),
        *starts(range(4)),
        homes=HOMES,
    ),
    recovery_scenario(
        "recover-lossy",
        "30% of datagrams are lost and halves cut while all come back",
        Fault(GONE, "peers", "n*", "n*", {"loss": 0.3}),
        Fault(GONE + 1.0, "peers", "n0-2", "n3-5", {"cut": True}),
        *ONE_BY_ONE,
        Fault(POWER + 5.0, "peers", "n0-2", "n3-5", {"loss": 0.3}),
    ),
    recovery_scenario(
        "recover-disk-full",
        "one comes back to a full disk, one to a stalled one, one to one that fails later",
        Fault(7.0, "disk", "n1", options={"state": "full"}),
        Fault(7.0, "disk", "n3", options={"state": "stalled"}),
        *ONE_BY_ONE,
        Fault(13.0, "disk", "n4", options={"state": "failing"}),
        Fault(16.0, "disk", "n*", options={"state": "well"}),
    ),
    recovery_scenario(
        "recover-clocks",
        "machines come back with clocks that are years off",
        Fault(7.0, "clock", "n0-2", options={"offset_s": -94_000_000.0}),
        Fault(7.0, "clock", "n4", options={"offset_s": 31_000_000.0}),
        *ONE_BY_ONE,
    ),
    recovery_scenario(
        "recover-threefold",
        "clients come back at three times the usual",
        *ONE_BY_ONE,
        kinds=HEAVY,
        rate=90.0,
        steps=((POWER, 3.0),),
        traits={"work": 60.0, "tip": 1000.0, "tip_window": 1500.0},
    ),
    recovery_scenario(
        "recover-short",
        "a small fleet is killed at once and comes back: for every run of the tests",
        Fault(5.0, "start", "e*"),
        *starts(range(3), 5.0, 0.3),
        gone=3.5,
        seconds=13.0,
        returns=5.0,
        instances=3,
        engines=1,
        rate=70.0,
    ),
]
