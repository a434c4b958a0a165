"""A scenario as values: the deployment, its load, and faults by time. Pure; kept as JSON, read again.

A fault's `target` names what it is about: an instance (`n3`), several (`n0-2`), an engine (`a1`), the
engines of a zone (`a`), all hosts of a zone, instances too (`zone-a`), all instances (`n*`) or engines
(`e*`), or `*`. Verbs and their options:

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
from msgspec import field

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour, RequestClass

VERBS = {"traits", "kill", "start", "stop", "go", "link", "door", "peers", "forge", "replay", "order"}
VERBS |= {"power", "end", "swap"}
STATE_FOLDER_VERBS = {"keep", "empty", "old", "twice", "disk", "clock"}
SOURCE_VERBS = {"source", "drain", "undrain"}
DISK_STATES = ("full", "failing", "stalled", "well")
MAX_INSTANCES, MAX_ENGINES = 16, 64
MAX_DURATION_S, MAX_REQUESTS_PER_S = 600, 5000
MIN_VOTING_INSTANCES = 3  # that can agree while one of them is replaced


class ScriptError(Exception):
    """A scenario that cannot be played, with what is wrong in it."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What happens at a time, in seconds from the start of the load."""

    at_s: float = field(name="at")
    verb: str
    target: str = "*"
    other: str = "*"
    options: dict[str, Any] = field(default_factory=dict, name="words")

    def __str__(self) -> str:
        options = " ".join(
            name if value is True else f"{name}={value}" for name, value in self.options.items()
        )
        other = f" {self.other}" if self.verb in ("link", "peers") else ""
        return f"{self.at_s:5.1f} s  {self.verb} {self.target}{other} {options}".rstrip()


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A deployment, a load and its faults.

    requests_per_s: over all instances. rate_steps: (seconds, factor of the rate) from then on. utilities: by
    class. failing_zone, outage_at_s, recovered_at_s: a zone, and when it was out and well again, for figures
    about its outage. power_restored_at_s: likewise, for figures about the recovery. instance_zones: of each
    instance; empty: they stand in no zone. zone_distances_ms: one way, by pairs as "a-b"; needs instance
    zones. has_state_folders: each instance has one, on a disk that loses what was not synced. has_consul: the
    engine list comes from a stand-in Consul of each instance's own, else from its configuration.
    has_affinity: loads of a key go through one instance, and migrate at a replacement; needs state folders.
    orders_across: the order of loads on a key is a rule over all instances.
    """

    name: str
    description: str = field(name="about")
    seed: int = 1
    instances: int = 6
    zones: tuple[str, ...] = ("a", "b", "c")
    engines_per_zone: int = field(name="engines", default=3)
    requests_per_s: float = field(name="rate", default=270.0)
    duration_s: float = field(name="seconds", default=20.0)
    instance_weights: tuple[float, ...] = field(name="weights", default=(1, 1, 1, 2, 3, 4, 2, 2))
    request_classes: tuple[RequestClass, ...] = field(
        name="kinds",
        default=(RequestClass("cheap", 0.6, 2000.0, 20.0), RequestClass("dear", 0.4, 2000.0, 20.0)),
    )
    utilities: dict[str, float] = field(
        name="worth", default_factory=lambda: {"cheap": 1.0, "dear": 6.0, "load": 6.0}
    )
    client_behaviour: ClientBehaviour = field(name="manner", default=ClientBehaviour())
    # A cold engine that gets more work within 1.5 s than twice what it could do then stops for good.
    engine_traits: dict[str, Any] = field(
        name="traits", default_factory=lambda: {"tip": 1000.0, "tip_window": 1500.0}
    )
    has_fleet: bool = field(name="fleet", default=True)
    has_admission: bool = field(name="price", default=False)
    # Where the fleet, its admission and instance zones are there.
    has_failover_cost: bool = field(name="outlook", default=True)
    has_consul: bool = field(name="consul", default=False)
    failing_zone: str = field(name="zone", default="a")
    outage_at_s: float = field(name="out", default=0.0)
    recovered_at_s: float = field(name="back", default=0.0)
    power_restored_at_s: float = field(name="returns", default=0.0)
    has_state_folders: bool = field(name="state", default=False)
    key_count: int = field(name="keys", default=50)
    has_affinity: bool = field(name="pins", default=False)
    orders_across: bool = field(name="order_across", default=False)
    instance_zones: tuple[str, ...] = field(name="homes", default=())
    zone_distances_ms: dict[str, float] = field(name="distance", default_factory=dict)
    rate_steps: tuple[tuple[float, float], ...] = field(name="steps", default=())
    faults: tuple[Fault, ...] = ()

    def engine_names(self) -> list[str]:
        """Return all engines, zone by zone."""
        return [f"{zone}{i}" for zone in self.zones for i in range(self.engines_per_zone)]

    def instance_names(self) -> list[str]:
        """Return all instances."""
        return [f"n{i}" for i in range(self.instances)]

    def instances_of(self, zone: str) -> list[str]:
        """Return the instances that stand in a zone."""
        pairs = zip(self.instance_names(), self.instance_zones, strict=False)
        return [name for name, instance_zone in pairs if instance_zone == zone]

    def pick(self, target: str) -> list[str]:
        """Return the processes that a target names. Raises ScriptError."""
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
        if numbers := re.fullmatch(r"n(\d+)-(\d+)", target):
            instances = [f"n{i}" for i in range(int(numbers[1]), int(numbers[2]) + 1)]
            if instances and set(instances) <= set(names):
                return instances
        raise self.error(f"'{target}' names no process")

    def error(self, problem: str) -> ScriptError:
        """Return the error of this scenario that has such a problem."""
        return ScriptError(f"day '{self.name}': {problem}")


def check_scenario(scenario: Scenario) -> Scenario:
    """Return the scenario if it can be played. Raises ScriptError."""
    engines = len(scenario.zones) * scenario.engines_per_zone
    if not 1 <= scenario.instances <= MAX_INSTANCES or not 1 <= engines <= MAX_ENGINES:
        raise scenario.error("1 to 16 instances and 1 to 64 engines can be played")
    is_too_much = scenario.duration_s > MAX_DURATION_S or scenario.requests_per_s > MAX_REQUESTS_PER_S
    if len(scenario.instance_weights) < scenario.instances or is_too_much:
        raise scenario.error("a weight for each instance, 600 s and 5000/s at most")
    _check_zones(scenario)
    can_vote = scenario.has_state_folders and scenario.instances >= MIN_VOTING_INSTANCES
    if scenario.has_affinity and not (can_vote and scenario.has_fleet):
        raise scenario.error("pins need state, the fleet, and three instances")
    for fault in scenario.faults:
        _check_fault(scenario, fault, can_vote)
    return scenario


def _check_zones(scenario: Scenario) -> None:
    zones = scenario.instance_zones
    if zones and (len(zones) != scenario.instances or not set(zones) <= set(scenario.zones)):
        raise scenario.error("a home for each instance, each a zone of the day")
    distant = {zone for pair in scenario.zone_distances_ms for zone in pair.split("-")}
    if distant and (not zones or not distant <= set(scenario.zones)):
        raise scenario.error("distances are between zones of the day, and need homes")


def _check_fault(scenario: Scenario, fault: Fault, can_vote: bool) -> None:
    if fault.verb in SOURCE_VERBS and not scenario.has_consul:
        raise scenario.error(f"'{fault.verb}' needs a source of the list: consul")
    if fault.verb == "swap" and not (can_vote and "machines" in fault.options):
        raise scenario.error("'swap' needs state, three instances, and names machines")
    if fault.verb in STATE_FOLDER_VERBS and not scenario.has_state_folders:
        raise scenario.error(f"'{fault.verb}' needs state folders: state")
    if fault.verb == "disk" and fault.options.get("state") not in DISK_STATES:
        raise scenario.error(f"a disk is one of {', '.join(DISK_STATES)}")
    if fault.verb not in VERBS | SOURCE_VERBS | STATE_FOLDER_VERBS:
        raise scenario.error(f"there is no verb '{fault.verb}'")
    for target in (fault.target, fault.other):
        scenario.pick(target)


def encode_scenario(scenario: Scenario) -> bytes:
    """Return a scenario as JSON."""
    return msgspec.json.format(msgspec.json.encode(scenario))


def decode_scenario(data: bytes) -> Scenario:
    """Return a scenario from its JSON. Raises ScriptError."""
    try:
        return check_scenario(msgspec.json.decode(data, type=Scenario))
    except msgspec.MsgspecError as error:
        raise ScriptError(f"the day can't be read: {error}") from None
