"""A day of the rig as values: the deployment, its load, and faults by time. Pure; kept as JSON, read again.

A fault's `target` names what it is about: an instance (`n3`), several (`n0-2`), an engine (`a1`), the
engines of a zone (`a`), all hosts of a zone, instances too (`zone-a`), all instances (`n*`) or engines
(`e*`), or `*`. Verbs and their words:

    traits ENGINES name=value ...       what an engine process is, from now on
    kill|start|stop|go PROCESSES        SIGKILL; a new process from nothing; SIGSTOP; SIGCONT
    end PROCESSES                       SIGTERM, and waited for; killed if it takes longer than `within` s
    power PROCESSES                     SIGKILL for all of them in the same instant
    keep|empty|old INSTANCES            their state folders: copied; emptied; put back as the copy was
    twice INSTANCE                      a second process on the same state folder, at other ports
    disk INSTANCES state=S              full, failing, stalled or well
    clock INSTANCES offset_s=S          the machine's wall clock is off by so much from the next start on
    link INSTANCES ENGINES state ...    instance to engine: cut, forth, back (one way), refuse, reset, heal
    door INSTANCES state ...            client to instance
    source INSTANCES state ...          source of the list to instance; needs `consul` of the day
    drain|undrain ENGINES               told by the source of the list
    peers INSTANCES INSTANCES state ... datagrams both ways, or `forth`: cut, loss, twice, delay, jitter
    forge INSTANCE zone=Z               that instance's words are said falsely, with a key, from now on
    replay                              all datagrams so far are sent once more, in disorder
    order INSTANCE zone=Z mode=M        an order by hand at its local socket
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from cottonhold.emulator.fault_injection.clients import Kind, Manner


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What happens at a time, in seconds from the start of the load."""

    at: float
    verb: str
    target: str = "*"
    other: str = "*"
    options: dict[str, Any] = msgspec.field(default_factory=dict, name="words")

    def __str__(self) -> str:
        options = " ".join(f"{k}={v}" if v is not True else k for k, v in self.options.items())
        other = f" {self.other}" if self.verb in ("link", "peers") else ""
        return f"{self.at:5.1f} s  {self.verb} {self.target}{other} {options}".rstrip()


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A deployment, a load and its faults. Rates are requests a second over all instances.

    out, back: seconds in which a zone was out and from which it was well again, for what the judge tells of
    it.
    """

    name: str
    about: str
    seed: int = 1
    instances: int = 6
    zones: tuple[str, ...] = ("a", "b", "c")
    engines: int = 3
    rate: float = 270.0
    seconds: float = 20.0
    weights: tuple[float, ...] = (1, 1, 1, 2, 3, 4, 2, 2)
    kinds: tuple[Kind, ...] = (Kind("cheap", 0.6, 2000.0, 20.0), Kind("dear", 0.4, 2000.0, 20.0))
    worth: dict[str, float] = msgspec.field(default_factory=lambda: {"cheap": 1.0, "dear": 6.0, "load": 6.0})
    manner: Manner = Manner()
    # A cold engine that gets more work within 1.5 s than twice what it could do then falls over.
    traits: dict[str, Any] = msgspec.field(default_factory=lambda: {"tip": 1000.0, "tip_window": 1500.0})
    fleet: bool = True
    price: bool = False
    outlook: bool = True  # where the fleet, its price and homes are there
    consul: bool = False  # the list comes from a stand-in Consul of each instance's own, else from the file
    zone: str = "a"
    out: float = 0.0
    back: float = 0.0
    returns: float = 0.0  # when power is back: the judge tells of the recovery from then on
    state: bool = False  # each instance has a state folder, on a disk that loses what was not synced
    keys: int = 50  # that loads have
    pins: bool = False  # loads of a key go through one instance, and move with a swap; needs state
    order_across: bool = False  # the order of loads on a key is a rule over all instances
    homes: tuple[str, ...] = ()  # the zone of each instance; none: they stand in no zone
    distance: dict[str, float] = {}  # ms one way between zones, as "a-b"; needs homes
    steps: tuple[tuple[float, float], ...] = ()  # from so many seconds on, so many times the rate
    faults: tuple[Fault, ...] = ()

    def engine_names(self) -> list[str]:
        """All engines, zone by zone."""
        return [f"{zone}{i}" for zone in self.zones for i in range(self.engines)]

    def instance_names(self) -> list[str]:
        """All instances."""
        return [f"n{i}" for i in range(self.instances)]

    def instances_of(self, zone: str) -> list[str]:
        """The instances that stand in a zone."""
        return [name for name, home in zip(self.instance_names(), self.homes, strict=False) if home == zone]

    def pick(self, target: str) -> list[str]:
        """The processes that a target names. Raises ScriptError."""
        names = [*self.instance_names(), *self.engine_names()]
        if target == "*":
            return names
        if target == "n*":
            return self.instance_names()
        if target == "e*":
            return self.engine_names()
        if target.startswith("zone-") and target[5:] in self.zones:
            return [*self.instances_of(target[5:]), *self.pick(target[5:])]
        if target in names:
            return [target]
        if target in self.zones:
            return [name for name in self.engine_names() if name.startswith(target)]
        if found := re.fullmatch(r"n(\d+)-(\d+)", target):
            some = [f"n{i}" for i in range(int(found[1]), int(found[2]) + 1)]
            if some and set(some) <= set(names):
                return some
        raise ScriptError(f"day '{self.name}': '{target}' names no process")


class ScriptError(Exception):
    """A day that can't be played, with what is wrong in it."""


VERBS = {"traits", "kill", "start", "stop", "go", "link", "door", "peers", "forge", "replay", "order"}
VERBS |= {"power", "end", "swap"}
FOLDER_VERBS = {"keep", "empty", "old", "twice", "disk", "clock"}
DISKS = ("full", "failing", "stalled", "well")
SOURCE_VERBS = {"source", "drain", "undrain"}


def check_scenario(day: Scenario) -> Scenario:
    """The day, if it can be played. Raises ScriptError."""
    if not 1 <= day.instances <= 16 or not 1 <= len(day.zones) * day.engines <= 64:
        raise ScriptError(f"day '{day.name}': 1 to 16 instances and 1 to 64 engines can be played")
    if len(day.weights) < day.instances or day.seconds > 600 or day.rate > 5000:
        raise ScriptError(f"day '{day.name}': a weight for each instance, 600 s and 5000/s at most")
    if day.homes and (len(day.homes) != day.instances or not set(day.homes) <= set(day.zones)):
        raise ScriptError(f"day '{day.name}': a home for each instance, each a zone of the day")
    far = [zone for pair in day.distance for zone in pair.split("-")]
    if far and (not day.homes or not set(far) <= set(day.zones)):
        raise ScriptError(f"day '{day.name}': distances are between zones of the day, and need homes")
    if day.pins and not (day.state and day.instances >= 3 and day.fleet):
        raise ScriptError(f"day '{day.name}': pins need state, the fleet, and three instances")
    for fault in day.faults:
        _check_fault(day, fault)
    return day


def _check_fault(day: Scenario, fault: Fault) -> None:
    if fault.verb in SOURCE_VERBS and not day.consul:
        raise ScriptError(f"day '{day.name}': '{fault.verb}' needs a source of the list: consul")
    if fault.verb == "swap" and not (day.state and day.instances >= 3 and "machines" in fault.options):
        raise ScriptError(f"day '{day.name}': 'swap' needs state, three instances, and names machines")
    if fault.verb in FOLDER_VERBS and not day.state:
        raise ScriptError(f"day '{day.name}': '{fault.verb}' needs state folders: state")
    if fault.verb == "disk" and fault.options.get("state") not in DISKS:
        raise ScriptError(f"day '{day.name}': a disk is one of {', '.join(DISKS)}")
    if fault.verb not in VERBS | SOURCE_VERBS | FOLDER_VERBS:
        raise ScriptError(f"day '{day.name}': there is no verb '{fault.verb}'")
    for target in (fault.target, fault.other):
        day.pick(target)


def encode_scenario(day: Scenario) -> bytes:
    """A day as JSON."""
    return msgspec.json.format(msgspec.json.encode(day))


def decode_scenario(data: bytes) -> Scenario:
    """A day from JSON. Raises ScriptError."""
    try:
        return check_scenario(msgspec.json.decode(data, type=Scenario))
    except msgspec.MsgspecError as error:
        raise ScriptError(f"the day can't be read: {error}") from None
