"""Scenarios of a power loss: all processes are killed simultaneously and restart from their disks.

Power is lost at 6 s. The engines start cold at 8 s, the instances one by one from 8 to 10.5 s. A fifth of the
requests are loads, and clients retry a load whose result they did not receive.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour, RequestClass
from cottonhold.emulator.fault_injection.script import Fault, Scenario

POWER_LOSS_AT_S, POWER_RESTORED_AT_S = 6.0, 8.0
START_INTERVAL_S = 0.5  # time between the starts of two instances
LOADS_AND_READS = (
    RequestClass("cheap", 0.5, 2000.0, 20.0),
    RequestClass("dear", 0.3, 2000.0, 20.0),
    RequestClass("load", 0.2, 8000.0, 20.0, True),
)
ALL_INSTANCES = range(6)


def starts(
    numbers: Iterable[int] = ALL_INSTANCES,
    begin: float = POWER_RESTORED_AT_S,
    interval_s: float = START_INTERVAL_S,
) -> tuple[Fault, ...]:
    """Return faults that start instances one by one."""
    return tuple(Fault(begin + interval_s * i, "start", f"n{n}") for i, n in enumerate(numbers))


def recovery_scenario(
    name: str, description: str, *faults: Fault, power_loss_at_s: float = POWER_LOSS_AT_S, **fields: Any
) -> Scenario:
    """Return a scenario in which all processes lose power.

    Args:
        name: Name of the scenario.
        description: Description in a few words.
        faults: Further faults, including those that restart processes.
        power_loss_at_s: Time of the power loss, in s.
        fields: Further fields of the scenario, which override the defaults.
    """
    defaults: dict[str, Any] = {
        "duration_s": 22.0,
        "request_classes": LOADS_AND_READS,
        "client_behaviour": ClientBehaviour(max_attempts=3, retries_unfinished_loads=True),
        "has_admission": True,
        "has_state_folders": True,
        "power_restored_at_s": POWER_RESTORED_AT_S,
    }
    first = Fault(power_loss_at_s, "power", "*")
    return Scenario(name=name, description=description, faults=(first, *faults), **(defaults | fields))


ENGINES_START = Fault(POWER_RESTORED_AT_S, "start", "e*")
ONE_BY_ONE = (ENGINES_START, *starts())
INSTANCE_ZONES = ("a", "a", "b", "b", "c", "c")
# With 60 ms of work the engines serve 150 requests a second, and a small machine can generate three times the
# usual load.
HEAVY = tuple(RequestClass(k.name, k.share, k.patience_ms, 60.0, k.is_load) for k in LOADS_AND_READS)


def repeated_power_losses(*times_s: float) -> tuple[Fault, ...]:
    """Return faults that restart all processes, and cut the power for a second at further times.

    An instance whose start would fall into an outage is not started then.

    Args:
        times_s: Times of the further power losses, in s.
    """
    power_losses = [Fault(at, "power", "*") for at in times_s]
    engine_starts = [Fault(at + 1.0, "start", "e*") for at in times_s]
    instance_starts = [*starts(), *(fault for at in times_s for fault in starts(begin=at + 1.0))]
    with_power = [
        fault for fault in instance_starts if not any(at <= fault.at_s < at + 1.0 for at in times_s)
    ]
    return (ENGINES_START, *power_losses, *engine_starts, *with_power)


SCENARIOS = [
    recovery_scenario("recover-all", "all processes are killed simultaneously and restarted", *ONE_BY_ONE),
    recovery_scenario(
        "recover-again",
        "power is lost again three times during the restart",
        *repeated_power_losses(9.5, 12.0, 14.5),
        duration_s=28.0,
        power_restored_at_s=15.5,
    ),
    recovery_scenario(
        "recover-half-late",
        "half of the instances restart 20 s after the others",
        ENGINES_START,
        *starts(range(3)),
        *starts(range(3, 6), POWER_RESTORED_AT_S + 20.0),
        duration_s=36.0,
    ),
    recovery_scenario(
        "recover-emptied",
        "one instance restarts with an empty state folder",
        Fault(7.0, "empty", "n2"),
        *ONE_BY_ONE,
    ),
    recovery_scenario(
        "recover-old",
        "one instance restarts with an old copy of its state folder, made while it ran",
        # The copy is made early: even on a busy machine, newer records are written and reported to peers
        # before the power loss.
        Fault(0.5, "keep", "n2"),
        Fault(7.0, "old", "n2"),
        *ONE_BY_ONE,
    ),
    recovery_scenario(
        "recover-twice",
        "a second process is started on one state folder",
        *ONE_BY_ONE,
        Fault(POWER_RESTORED_AT_S + 1.6, "twice", "n2"),
    ),
    recovery_scenario(
        "recover-engines-before",
        "the engines restart 4 s before the instances",
        ENGINES_START,
        *starts(begin=POWER_RESTORED_AT_S + 4.0),
        duration_s=26.0,
    ),
    recovery_scenario(
        "recover-engines-with",
        "all processes restart simultaneously",
        Fault(POWER_RESTORED_AT_S, "start", "*"),
    ),
    recovery_scenario(
        "recover-engines-after",
        "the engines restart 5 s after the first instance",
        *starts(),
        Fault(POWER_RESTORED_AT_S + 5.0, "start", "e*"),
        duration_s=27.0,
        power_restored_at_s=POWER_RESTORED_AT_S + 5.0,
    ),
    recovery_scenario(
        "recover-source-last",
        "the source of the engine list returns after all others",
        Fault(POWER_LOSS_AT_S, "source", "n*", options={"cut": True}),
        *ONE_BY_ONE,
        Fault(POWER_RESTORED_AT_S + 6.0, "source", "n*", options={"heal": True}),
        has_consul=True,
        duration_s=26.0,
    ),
    recovery_scenario(
        "recover-zone-dark",
        "a zone's hosts do not restart",
        Fault(POWER_RESTORED_AT_S, "start", "a"),
        Fault(POWER_RESTORED_AT_S, "start", "b"),
        *starts(range(4)),
        instance_zones=INSTANCE_ZONES,
    ),
    recovery_scenario(
        "recover-lossy",
        "30% of datagrams are lost, and two halves are separated, during the restart",
        Fault(POWER_LOSS_AT_S, "peers", "n*", "n*", {"loss": 0.3}),
        Fault(POWER_LOSS_AT_S + 1.0, "peers", "n0-2", "n3-5", {"cut": True}),
        *ONE_BY_ONE,
        Fault(POWER_RESTORED_AT_S + 5.0, "peers", "n0-2", "n3-5", {"loss": 0.3}),
    ),
    recovery_scenario(
        "recover-disk-full",
        "instances restart with a full disk, a stalled disk and one that fails later",
        Fault(7.0, "disk", "n1", options={"state": "full"}),
        Fault(7.0, "disk", "n3", options={"state": "stalled"}),
        *ONE_BY_ONE,
        Fault(13.0, "disk", "n4", options={"state": "failing"}),
        Fault(16.0, "disk", "n*", options={"state": "well"}),
    ),
    recovery_scenario(
        "recover-clocks",
        "machines restart with clocks that are years off",
        Fault(7.0, "clock", "n0-2", options={"offset_s": -94_000_000.0}),
        Fault(7.0, "clock", "n4", options={"offset_s": 31_000_000.0}),
        *ONE_BY_ONE,
    ),
    recovery_scenario(
        "recover-threefold",
        "clients return with three times the usual load",
        *ONE_BY_ONE,
        request_classes=HEAVY,
        requests_per_s=90.0,
        rate_steps=((POWER_RESTORED_AT_S, 3.0),),
        engine_traits={"work": 60.0, "tip": 1000.0, "tip_window": 1500.0},
    ),
    recovery_scenario(
        "recover-short",
        "a small fleet is killed and restarted; played in every run of the tests",
        Fault(5.0, "start", "e*"),
        *starts(range(3), 5.0, 0.3),
        power_loss_at_s=3.5,
        duration_s=13.0,
        power_restored_at_s=5.0,
        instances=3,
        engines_per_zone=1,
        requests_per_s=70.0,
    ),
]
