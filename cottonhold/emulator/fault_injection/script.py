"""Scenarios as values: the deployment, its load, and timed faults. Does no I/O; stored as JSON.

The `target` of a fault is an instance (`n3`), a range of instances (`n0-2`), an engine (`a1`), the engines of
a zone (`a`), the engines and instances of a zone (`zone-a`), all instances (`n*`), all engines (`e*`), or all
processes (`*`). Verbs and their options:

    traits ENGINES name=value ...       change traits of engines; see engine_traits.py
    kill|start|stop|go PROCESSES        send SIGKILL; start a new process; send SIGSTOP; send SIGCONT
    end PROCESSES within=S              send SIGTERM, and SIGKILL after `within` seconds
    power PROCESSES                     send SIGKILL to all of them simultaneously
    keep|empty|old INSTANCES            copy their state folders; empty them; replace them by the copy
    twice INSTANCE                      start a second process on the same state folder, at other ports
    disk INSTANCES state=S              set the disk's state: full, failing, stalled or well
    clock INSTANCES offset_s=S          shift the machine's wall clock by S seconds from the next start on
    link INSTANCES ENGINES state ...    instance to engine: cut, forth or back (one way), refuse, reset, heal
    door INSTANCES state ...            client to instance, with the states of `link`
    source INSTANCES state ...          instance to source of the engine list; needs `consul`
    drain|undrain ENGINES               announce a drain by the source of the engine list; needs `consul`
    peers INSTANCES INSTANCES state ... datagrams both ways, or one way with `forth`: cut, loss, twice, delay,
                                        jitter
    forge INSTANCE zone=Z               forge reports in the instance's name, signed with the shared key
    replay                              send recent datagrams again, out of order
    order INSTANCE zone=Z mode=M        issue an operator's override at the instance's local socket
    swap INSTANCE machines=M gone=S empty   request a rolling replacement; see operators.py
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
MIN_VOTING_INSTANCES = 3  # smallest number of which a majority remains while one is replaced


class ScriptError(Exception):
    """Raised for an invalid scenario; the text names the problem."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault to inject.

    Attributes:
        at_s: Time of the fault, in seconds from the start of the load.
        verb: Kind of fault; the module's docstring lists the verbs.
        target: Processes that the fault affects.
        other: Processes at the other end, for the verbs `link` and `peers`.
        options: Options of the verb, by name; True for an option without a value.
    """

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

    Times are in seconds from the start of the load.

    Attributes:
        name: Name of the scenario.
        description: Description in a few words.
        seed: Seed of all random choices.
        instances: Number of instances.
        zones: Names of the zones that contain engines.
        engines_per_zone: Number of engines in each zone.
        requests_per_s: Request rate over all instances.
        duration_s: Duration of the load.
        instance_weights: Relative share of the clients that each instance receives.
        request_classes: Classes of requests, with their shares.
        utilities: Utility of a served request, by class.
        client_behaviour: How clients retry and detect failures.
        engine_traits: Initial traits of all engines, by their names in a scenario.
        has_fleet: Whether the configuration has the section `fleet`.
        has_admission: Whether the fleet's shared admission control is on.
        has_failover_cost: Whether instances project the cost of failovers. It takes effect only with
            `has_fleet`, `has_admission` and `instance_zones`.
        has_consul: Whether each instance reads the engine list from its own emulated Consul instead of its
            configuration.
        failing_zone: Zone that the outage figures describe.
        outage_at_s: Start of that zone's outage; 0 for none.
        recovered_at_s: End of that zone's outage.
        power_restored_at_s: Time of the restart after a power loss, for the recovery figures; 0 for none.
        has_state_folders: Whether each instance has a state folder, on a disk that loses unsynced writes.
        key_count: Number of ordering keys that loads use.
        has_affinity: Whether all loads of a key are sent by one instance and the key migrates when that
            instance is replaced; needs state folders.
        orders_across: Whether the order of loads on a key is checked across all instances.
        instance_zones: Zone of each instance; empty if instances belong to no zone.
        zone_distances_ms: One-way delay between zones, by pairs such as "a-b"; needs `instance_zones`.
        rate_steps: Pairs of a time and the factor that the request rate has from then on.
        faults: Faults to inject.
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
    # A cold engine stops responding for good if it receives more than 1000 ms of work within 1.5 s, which is
    # twice what it can do in that time; the limit grows with the engine's speed.
    engine_traits: dict[str, Any] = field(
        name="traits", default_factory=lambda: {"tip": 1000.0, "tip_window": 1500.0}
    )
    has_fleet: bool = field(name="fleet", default=True)
    has_admission: bool = field(name="price", default=False)
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
        """Return the names of all engines, zone by zone."""
        return [f"{zone}{i}" for zone in self.zones for i in range(self.engines_per_zone)]

    def instance_names(self) -> list[str]:
        """Return the names of all instances."""
        return [f"n{i}" for i in range(self.instances)]

    def instances_of(self, zone: str) -> list[str]:
        """Return the names of the instances in a zone."""
        pairs = zip(self.instance_names(), self.instance_zones, strict=False)
        return [name for name, instance_zone in pairs if instance_zone == zone]

    def resolve_target(self, target: str) -> list[str]:
        """Return the names of the processes that a target selects.

        Raises:
            ScriptError: The target selects no process.
        """
        names = [*self.instance_names(), *self.engine_names()]
        if target == "*":
            return names
        if target == "n*":
            return self.instance_names()
        if target == "e*":
            return self.engine_names()
        if target.startswith("zone-") and target[5:] in self.zones:
            return [*self.instances_of(target[5:]), *self.resolve_target(target[5:])]
        if target in names:
            return [target]
        if target in self.zones:
            return [name for name in self.engine_names() if name.startswith(target)]
        if numbers := re.fullmatch(r"n(\d+)-(\d+)", target):
            instances = [f"n{i}" for i in range(int(numbers[1]), int(numbers[2]) + 1)]
            if instances and set(instances) <= set(names):
                return instances
        raise self.error(f"target '{target}' selects no process")

    def error(self, problem: str) -> ScriptError:
        """Return an error that names this scenario and the problem."""
        return ScriptError(f"scenario '{self.name}': {problem}")


def check_scenario(scenario: Scenario) -> Scenario:
    """Return the scenario unchanged if it is valid.

    Raises:
        ScriptError: The scenario is invalid.
    """
    engines = len(scenario.zones) * scenario.engines_per_zone
    if not 1 <= scenario.instances <= MAX_INSTANCES or not 1 <= engines <= MAX_ENGINES:
        raise scenario.error("the limits are 1 to 16 instances and 1 to 64 engines")
    is_too_much = scenario.duration_s > MAX_DURATION_S or scenario.requests_per_s > MAX_REQUESTS_PER_S
    if len(scenario.instance_weights) < scenario.instances or is_too_much:
        raise scenario.error("each instance needs a weight, and the limits are 600 s and 5000 requests/s")
    _check_zones(scenario)
    can_vote = scenario.has_state_folders and scenario.instances >= MIN_VOTING_INSTANCES
    if scenario.has_affinity and not (can_vote and scenario.has_fleet):
        raise scenario.error("'pins' needs 'state', 'fleet' and three instances")
    for fault in scenario.faults:
        _check_fault(scenario, fault, can_vote)
    return scenario


def _check_zones(scenario: Scenario) -> None:
    zones = scenario.instance_zones
    if zones and (len(zones) != scenario.instances or not set(zones) <= set(scenario.zones)):
        raise scenario.error("'homes' needs one zone of the scenario for each instance")
    distant = {zone for pair in scenario.zone_distances_ms for zone in pair.split("-")}
    if distant and (not zones or not distant <= set(scenario.zones)):
        raise scenario.error("'distance' needs 'homes', and names zones of the scenario only")


def _check_fault(scenario: Scenario, fault: Fault, can_vote: bool) -> None:
    if fault.verb in SOURCE_VERBS and not scenario.has_consul:
        raise scenario.error(f"'{fault.verb}' needs 'consul'")
    if fault.verb == "swap" and not (can_vote and "machines" in fault.options):
        raise scenario.error("'swap' needs 'state', three instances and 'machines'")
    if fault.verb in STATE_FOLDER_VERBS and not scenario.has_state_folders:
        raise scenario.error(f"'{fault.verb}' needs 'state'")
    if fault.verb == "disk" and fault.options.get("state") not in DISK_STATES:
        raise scenario.error(f"the state of a disk is one of {', '.join(DISK_STATES)}")
    if fault.verb not in VERBS | SOURCE_VERBS | STATE_FOLDER_VERBS:
        raise scenario.error(f"unknown verb '{fault.verb}'")
    for target in (fault.target, fault.other):
        scenario.resolve_target(target)


def encode_scenario(scenario: Scenario) -> bytes:
    """Return a scenario as JSON."""
    return msgspec.json.format(msgspec.json.encode(scenario))


def decode_scenario(data: bytes) -> Scenario:
    """Return a scenario from its JSON.

    Raises:
        ScriptError: The JSON is malformed, or the scenario is invalid.
    """
    try:
        return check_scenario(msgspec.json.decode(data, type=Scenario))
    except msgspec.MsgspecError as error:
        raise ScriptError(f"the scenario can't be read: {error}") from None
