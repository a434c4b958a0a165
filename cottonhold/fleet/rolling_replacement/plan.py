"""What a rolling replacement consists of: machines, requests, the plan and its records, and their checks.
Pure.

The plan lies in the register `swap`, and the record of each machine in `swap/<machine>`; see plan_codec.py.
The machines form a chain: the plan names the first, each record the next, so a request may be of any length,
and whoever knows the one name `swap` finds all of it. A request is submitted in two phases: its author locks
the plan, writes the machines' records, and opens the plan with the new first machine. A record that is not
on the chain means nothing, so an author that fails half way leaves nothing behind.
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
MAX_KEY_BYTES = 11  # of a machine's name in the name of its register
MAX_MACHINES = 256
PLAN_REGISTER = "swap"
U16 = 0xFFFF


@lru_cache(1024)
def machine_id(name: str) -> int:
    """Return a machine's id among members."""
    return member_id(name)


class PlanError(Exception):
    """A request that cannot be accepted; its text says what is wrong with which machine."""


class ReplacementStep(IntEnum):
    """How far the replacement of one machine is. Lower-case names are shown to operators and metrics."""

    ASKED = 1
    AGREED = 2  # a dispatcher drives it and waits for its turn
    MOVING = 3  # its keys move to others
    DRAINING = 4
    OUT = 5  # may be powered off
    IN_PLACE = 6  # the replacement has arrived
    RAMPING = 7
    DONE = 8
    ABORTED = 9
    FAILED = 10


FINAL_STEPS = frozenset({ReplacementStep.DONE, ReplacementStep.ABORTED, ReplacementStep.FAILED})
WAITING_STEPS = frozenset({ReplacementStep.ASKED, ReplacementStep.AGREED})


class MachineFlag(IntFlag):
    """What else a machine's record says."""

    ENGINE = 1
    VOTER = 2
    EMPTY_FOLDER = 4  # the replacement comes with an empty folder
    ABORTING = 8
    WAS_AWAY = 16  # an engine that was absent at some time since it was out


class StepReason(IntEnum):
    """Why a machine's replacement is as it is, where all instances should know."""

    NONE = 0
    NOT_ARRIVED = 1  # the replacement has not arrived in time
    SMALLER = 2  # it arrived with fewer cores than requested
    OPERATOR = 3
    TIMED_OUT = 4  # moving or draining took too long
    LEFT_AGAIN = 5  # the replacement left again


class PlanState(IntEnum):
    """The state of the plan."""

    OPEN = 1
    SUBMITTING = 2  # the member that locked it writes a request


@dataclass(slots=True, frozen=True)
class Machine:
    """A machine as it is now.

    incarnation: another one after each start; 0 for an engine if the endpoint list does not report it.
    is_voting: it is a configured voter whose memory is complete. is_counted: capacity planning counts its
    cores, as those of an engine in service.
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
        """Its id among members."""
        return machine_id(self.name)


@dataclass(slots=True, frozen=True)
class MachineRequest:
    """One machine of a request.

    replacement: the name of what replaces it; empty for the same name. cores: of the replacement; 0 for as
    many as before. empty_folder: it arrives without the old one's folder.
    """

    machine: str
    replacement: str = ""
    cores: float = 0.0
    empty_folder: bool = False


@dataclass(slots=True, frozen=True)
class ReplacementRequest:
    """What one person requests: at most max_concurrent machines at once, in at most max_zones zones at
    once."""

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
    """The register `swap`.

    serial: of the newest request; first_serial: of the first one of this chain. active_machine_ids: of
    the machines that have begun and are not over.
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
    """The register of one machine. duration_tenths: of a second."""

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
        """Whether nothing more happens to the machine."""
        return self.step in FINAL_STEPS

    def has_flag(self, flag: MachineFlag) -> bool:
        """Whether the record has a flag."""
        return bool(int(self.flags) & int(flag))

    def missing_cores_tenths(self) -> int:
        """Return by how many tenths of cores an arrived replacement is smaller than the old machine."""
        return max(self.cores_tenths - self.arrived_cores_tenths, 0) if self.arrived_cores_tenths else 0


@lru_cache(1024)
def register_name(machine: str) -> str:
    """Return the name of a machine's register, of at most 16 bytes: a long name is hashed."""
    if len(machine.encode()) > MAX_KEY_BYTES:
        digest = hashlib.blake2b(machine.encode(), digest_size=6).digest()
        machine = "." + base64.b32encode(digest).decode()[: MAX_KEY_BYTES - 1]
    return f"{PLAN_REGISTER}/{machine}"


def to_tenths(cores: float) -> int:
    """Return cores as they are stored in registers."""
    return min(max(round(cores * 10), 0), U16)


def check_request(request: ReplacementRequest, machines: Mapping[str, Machine]) -> None:
    """Check a request against the present machines. Raises PlanError."""
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
        new = item.replacement or item.machine
        _check_item(item, new, machines)
        if item.machine in replaced:
            raise PlanError(f"'{item.machine}' is named twice")
        if new in replacements or new != item.machine and new in {i.machine for i in request.items}:
            raise PlanError(f"'{new}' would replace two machines, or is to be replaced itself")
        replaced.add(item.machine)
        replacements.add(new)


def _check_item(item: MachineRequest, new: str, machines: Mapping[str, Machine]) -> None:
    name = item.machine
    if name not in machines:
        raise PlanError(f"'{name}' is no machine that is there")
    if max(len(name.encode()), len(new.encode())) > MAX_NAME_BYTES:
        raise PlanError(f"'{name}' or '{new}' is longer than {MAX_NAME_BYTES} bytes")
    if new in machines and machines[new].is_engine != machines[name].is_engine:
        raise PlanError(f"'{new}' is no machine of the kind of '{name}'")
    if machines[name].is_engine and new != name and new in machines:
        raise PlanError(f"'{name}': '{new}' is an engine that is in use already")
    if not 0 <= item.cores <= U16 / 10:
        raise PlanError(f"'{name}': {item.cores} cores")


def select_new_items(
    request: ReplacementRequest, records: Mapping[str, MachineRecord]
) -> tuple[MachineRequest, ...]:
    """Return the items of a request that are not requested yet.

    Raises PlanError if the request contradicts an earlier one, naming who made that.
    """
    new_items, requested_replacements = (
        [],
        {r.replacement: name for name, r in records.items() if not r.is_over},
    )
    for item in request.items:
        new, before = item.replacement or item.machine, records.get(item.machine)
        if before is not None and before.is_over:
            raise PlanError(
                f"'{item.machine}' is {before.step.name.lower()} in a swap that still runs: ask when it ends"
            )
        if before is not None and (
            before.replacement != new or item.cores and to_tenths(item.cores) != before.requested_cores_tenths
        ):
            cores = before.requested_cores_tenths / 10
            raise PlanError(
                f"'{item.machine}' is already asked to become '{before.replacement}' with {cores:g} cores "
                f"by {before.requested_by}"
            )
        if before is None and new in requested_replacements:
            other = requested_replacements[new]
            raise PlanError(f"'{new}' already replaces '{other}', asked by {records[other].requested_by}")
        if before is None:
            new_items.append(item)
    return tuple(new_items)


def build_records(
    request: ReplacementRequest,
    items: tuple[MachineRequest, ...],
    machines: Mapping[str, Machine],
    plan: ReplacementPlan,
    zones: Mapping[str, int],
) -> dict[str, MachineRecord]:
    """Build the records of a request, chained before those that are in the plan already."""
    names, records = [item.machine for item in items], {}
    for item, after in zip(items, [*names[1:], plan.first_machine], strict=True):
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
            next_machine=after,
            requested_by=truncate_utf8(request.requested_by, MAX_REQUESTER_BYTES),
        )
    return records


def with_request(plan: ReplacementPlan, request: ReplacementRequest, first_machine: str) -> ReplacementPlan:
    """Return the plan with a submitted request; of several requests' limits the stricter ones count."""
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
