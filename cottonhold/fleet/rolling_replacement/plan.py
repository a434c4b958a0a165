"""The data of a rolling replacement: machines, requests, the plan and machine records, with checks;
does no I/O.

The plan is stored in the register `swap`, and the record of each machine in `swap/<machine>`; plan_codec.py
encodes them. The machines form a linked list, called the chain: the plan names the first machine and each
record the next one. So a request may name any number of machines, and all records can be found from the
register `swap`.

An instance submits a request in three steps: it locks the plan, writes the machines' records, and opens the
plan with the new first machine. Records that are not on the chain are ignored, so an instance that fails
before the last step has no effect.
"""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum, IntFlag
from functools import lru_cache

from cottonhold.fleet.zone_failover.operator_overrides import truncate_utf8
from cottonhold.membership.codec import MAX_NAME_BYTES, member_id

MAX_REQUESTER_BYTES = 16
MAX_CONCURRENT_REPLACEMENTS = 5
MAX_RECORD_BYTES = 120
MAX_KEY_BYTES = 11  # length of a machine's part in the name of its register
MAX_MACHINES = 256
PLAN_REGISTER = "swap"
MAX_UINT16 = 0xFFFF


@lru_cache(1024)
def machine_id(name: str) -> int:
    """Return the member id of a machine."""
    return member_id(name)


class PlanError(Exception):
    """A request that cannot be accepted; the text names the machine and the reason."""


class ReplacementStep(IntEnum):
    """The steps of the replacement of one machine; metrics and operators' tools show lower-case names."""

    ASKED = 1
    AGREED = 2  # a dispatcher drives the replacement and waits until it may start
    MOVING = 3  # its keys are moved to other dispatchers
    DRAINING = 4  # accepts no new requests; open requests end
    OUT = 5  # out of service: may be powered off
    IN_PLACE = 6  # the replacement has arrived
    RAMPING = 7  # the replacement's share of traffic grows
    DONE = 8
    ABORTED = 9
    FAILED = 10


FINAL_STEPS = frozenset({ReplacementStep.DONE, ReplacementStep.ABORTED, ReplacementStep.FAILED})
WAITING_STEPS = frozenset({ReplacementStep.ASKED, ReplacementStep.AGREED})


class MachineFlag(IntFlag):
    """Flags of a machine's record."""

    ENGINE = 1
    VOTER = 2
    EMPTY_FOLDER = 4  # the replacement starts with an empty state folder
    ABORTING = 8  # an operator has requested to abort the replacement
    WAS_AWAY = 16  # the engine was absent at some time since step OUT


class StepReason(IntEnum):
    """The reason for a machine's step, as far as all instances need it."""

    NONE = 0
    NOT_ARRIVED = 1  # the replacement has not arrived in time
    SMALLER = 2  # the replacement arrived with fewer cores than requested
    OPERATOR = 3  # an operator aborted the replacement
    TIMED_OUT = 4  # moving or draining took too long
    REPLACEMENT_LEFT = 5  # the replacement disappeared while ramping up


class PlanState(IntEnum):
    """The state of the plan."""

    OPEN = 1
    SUBMITTING = 2  # locked by the member that is writing a request


@dataclass(slots=True, frozen=True)
class Machine:
    """The current state of a machine.

    Attributes:
        name: Name of the machine.
        zone: Name of its zone.
        cores: Number of its cores.
        is_engine: Whether it is an engine; otherwise it is a dispatcher.
        incarnation: Differs after each start; 0 for an engine if the endpoint list does not report it.
        is_voter: Whether it is a configured voter.
        is_voting: Whether its memory as a voter is complete, so that it may vote.
        is_counted: Whether capacity planning counts its cores, as it does for an engine in service.
    """

    name: str
    zone: str
    cores: float
    is_engine: bool = False
    incarnation: int = 0
    is_voter: bool = False
    is_voting: bool = True
    is_counted: bool = True

    @property
    def id(self) -> int:
        """The member id of the machine."""
        return machine_id(self.name)


@dataclass(slots=True, frozen=True)
class MachineRequest:
    """One machine of a request.

    Attributes:
        machine: Name of the machine to be replaced.
        replacement: Name of the replacing machine; empty if it has the same name.
        cores: Number of cores of the replacement; 0 if it has as many as the old machine.
        empty_folder: Whether the replacement starts without the old machine's state folder.
    """

    machine: str
    replacement: str = ""
    cores: float = 0.0
    empty_folder: bool = False


@dataclass(slots=True, frozen=True)
class ReplacementRequest:
    """One operator's request: at most max_concurrent machines at a time, in at most max_zones zones."""

    requested_by: str
    items: tuple[MachineRequest, ...]
    max_concurrent: int = 1
    max_zones: int = 1


def request_for_zone(
    requested_by: str, zone: str, machines: Iterable[Machine], max_concurrent: int = 1
) -> ReplacementRequest:
    """Return a request for all machines of a zone, each replaced under its own name."""
    names = sorted(m.name for m in machines if m.zone == zone)
    return ReplacementRequest(requested_by, tuple(MachineRequest(name) for name in names), max_concurrent)


@dataclass(slots=True, frozen=True)
class ReplacementPlan:
    """The contents of the register `swap`.

    Attributes:
        state: Whether the plan is locked for the submission of a request.
        serial: Serial number of the newest request.
        first_serial: Serial number of the first request of the current chain.
        epoch: Number of requests whose submission was undone.
        locked_by: Id of the member that locked the plan, or 0.
        max_concurrent: Maximum number of machines that are replaced at a time.
        max_zones: Maximum number of zones in which machines are replaced at a time.
        first_machine: Name of the first machine of the chain, or empty.
        requested_by: Who made the newest request.
        active_machine_ids: Ids of the machines whose replacement has started and not ended.
    """

    state: PlanState = PlanState.OPEN
    serial: int = 0
    first_serial: int = 0
    epoch: int = 0
    locked_by: int = 0
    max_concurrent: int = 1
    max_zones: int = 1
    first_machine: str = ""
    requested_by: str = ""
    active_machine_ids: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class MachineRecord:
    """The register of one machine; `duration_tenths` is in tenths of a second, cores are in tenths."""

    step: ReplacementStep
    serial: int
    epoch: int = 0
    driver: int = 0
    duration_tenths: int = 0
    flags: MachineFlag = MachineFlag(0)
    zone: int = 0
    cores_tenths: int = 0
    requested_cores_tenths: int = 0
    arrived_cores_tenths: int = 0
    incarnation: int = 0
    reason: StepReason = StepReason.NONE
    replacement: str = ""
    next_machine: str = ""
    requested_by: str = ""

    @property
    def is_over(self) -> bool:
        """Whether the replacement has ended."""
        return self.step in FINAL_STEPS

    def has_flag(self, flag: MachineFlag) -> bool:
        """Return whether the flag is set."""
        return bool(int(self.flags) & int(flag))

    def missing_cores_tenths(self) -> int:
        """Return how many tenths of a core an arrived replacement has less than the old machine."""
        return max(self.cores_tenths - self.arrived_cores_tenths, 0) if self.arrived_cores_tenths else 0


@lru_cache(1024)
def register_name(machine: str) -> str:
    """Return the name of a machine's register, in which a long machine name is replaced by a hash."""
    if len(machine.encode()) > MAX_KEY_BYTES:
        digest = hashlib.blake2b(machine.encode(), digest_size=6).digest()
        machine = "." + base64.b32encode(digest).decode()[: MAX_KEY_BYTES - 1]
    return f"{PLAN_REGISTER}/{machine}"


def to_tenths(cores: float) -> int:
    """Return a number of cores in tenths, as stored in registers."""
    return min(max(round(cores * 10), 0), MAX_UINT16)


def check_request(request: ReplacementRequest, machines: Mapping[str, Machine]) -> None:
    """Check a request against the current machines. Raises PlanError."""
    if not request.items:
        raise PlanError("names no machine")
    if len(request.items) > MAX_MACHINES:
        raise PlanError(f"names {len(request.items)} machines, at most {MAX_MACHINES}")
    if not 1 <= request.max_concurrent <= MAX_CONCURRENT_REPLACEMENTS:
        raise PlanError(
            f"{request.max_concurrent} machines out at once: must be 1 to {MAX_CONCURRENT_REPLACEMENTS}"
        )
    if request.max_zones < 1:
        raise PlanError(f"{request.max_zones} zones at once: must be at least 1")
    if not request.requested_by:
        raise PlanError("says not who asks")
    replaced, replacements = set[str](), set[str]()
    for item in request.items:
        replacement = item.replacement or item.machine
        _check_item(item, replacement, machines)
        if item.machine in replaced:
            raise PlanError(f"'{item.machine}' is named twice")
        if (
            replacement in replacements
            or replacement != item.machine
            and replacement in {i.machine for i in request.items}
        ):
            raise PlanError(f"'{replacement}' would replace two machines, or is to be replaced itself")
        replaced.add(item.machine)
        replacements.add(replacement)


def _check_item(item: MachineRequest, replacement: str, machines: Mapping[str, Machine]) -> None:
    name = item.machine
    if name not in machines:
        raise PlanError(f"'{name}' is no machine that is there")
    if max(len(name.encode()), len(replacement.encode())) > MAX_NAME_BYTES:
        raise PlanError(f"'{name}' or '{replacement}' is longer than {MAX_NAME_BYTES} bytes")
    if replacement in machines and machines[replacement].is_engine != machines[name].is_engine:
        raise PlanError(f"'{replacement}' is no machine of the kind of '{name}'")
    if machines[name].is_engine and replacement != name and replacement in machines:
        raise PlanError(f"'{name}': '{replacement}' is an engine that is in use already")
    if not 0 <= item.cores <= MAX_UINT16 / 10:
        raise PlanError(f"'{name}': {item.cores} cores")


def select_new_items(
    request: ReplacementRequest, records: Mapping[str, MachineRecord]
) -> tuple[MachineRequest, ...]:
    """Return the items of a request that were not requested earlier.

    Raises:
        PlanError: The request contradicts an earlier one; the text names who made that one.
    """
    new_items, requested_replacements = (
        [],
        {r.replacement: name for name, r in records.items() if not r.is_over},
    )
    for item in request.items:
        replacement, earlier = item.replacement or item.machine, records.get(item.machine)
        if earlier is not None and earlier.is_over:
            raise PlanError(
                f"'{item.machine}' is {earlier.step.name.lower()} in a swap that still runs: ask when it ends"
            )
        if earlier is not None and (
            earlier.replacement != replacement
            or item.cores
            and to_tenths(item.cores) != earlier.requested_cores_tenths
        ):
            cores = earlier.requested_cores_tenths / 10
            raise PlanError(
                f"'{item.machine}' is already asked to become '{earlier.replacement}' with {cores:g} cores "
                f"by {earlier.requested_by}"
            )
        if earlier is None and replacement in requested_replacements:
            other = requested_replacements[replacement]
            raise PlanError(
                f"'{replacement}' already replaces '{other}', asked by {records[other].requested_by}"
            )
        if earlier is None:
            new_items.append(item)
    return tuple(new_items)


def build_records(
    request: ReplacementRequest,
    items: tuple[MachineRequest, ...],
    machines: Mapping[str, Machine],
    plan: ReplacementPlan,
    zones: Mapping[str, int],
) -> dict[str, MachineRecord]:
    """Return the records of a request, linked in front of the existing chain."""
    names, records = [item.machine for item in items], {}
    for item, next_machine in zip(items, [*names[1:], plan.first_machine], strict=True):
        machine = machines[item.machine]
        flags = (
            MachineFlag.ENGINE * machine.is_engine
            | MachineFlag.VOTER * machine.is_voter
            | MachineFlag.EMPTY_FOLDER * item.empty_folder
        )
        records[item.machine] = MachineRecord(
            ReplacementStep.ASKED,
            plan.serial,
            flags=MachineFlag(flags),
            zone=zones.get(machine.zone, 0),
            cores_tenths=to_tenths(machine.cores),
            requested_cores_tenths=to_tenths(item.cores or machine.cores),
            incarnation=machine.incarnation & 0xFFFFFFFF,
            replacement=item.replacement or item.machine,
            next_machine=next_machine,
            requested_by=truncate_utf8(request.requested_by, MAX_REQUESTER_BYTES),
        )
    return records


def with_request(plan: ReplacementPlan, request: ReplacementRequest, first_machine: str) -> ReplacementPlan:
    """Return the plan with a submitted request; the strictest limits of all its requests apply."""
    max_concurrent, max_zones = request.max_concurrent, request.max_zones
    if plan.first_machine:
        max_concurrent, max_zones = min(max_concurrent, plan.max_concurrent), min(max_zones, plan.max_zones)
    return replace(
        plan,
        state=PlanState.OPEN,
        locked_by=0,
        first_serial=plan.first_serial if plan.first_machine else plan.serial,
        first_machine=first_machine,
        max_concurrent=max_concurrent,
        max_zones=min(max_zones, 255),
        requested_by=truncate_utf8(request.requested_by, MAX_REQUESTER_BYTES),
    )
