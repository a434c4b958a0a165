"""What is asked of a swap, and how it lies in registers: at most 120 bytes each. Pure.

One register `swap` for the whole, and one `swap/<machine>` for each machine. The machines form a chain:
`swap` names the first, each machine's register the next, so a request may be of any length, and whoever
knows the one name `swap` finds all of it.

    whole: form 1 | state 1 | serial 4 | base 4 | epoch 4 | locker 8 | most out 1 | zones 1 | first 1 + n |
           who 1 + n | out 1, each 8
    machine: form 1 | step 1 | serial 4 | epoch 4 | driver 8 | took 2 | flags 1 | zone 2 | cores 2 | told 2 |
             seen 2 | life 4 | reason 1 | new 1 + n | next 1 + n | who 1 + n

Cores are in tenths, `took` in tenths of a second. A request is laid in two phases: its author locks `swap`,
writes the machines' registers, and opens `swap` with the new first one. A machine's register that is not on
the chain means nothing, so an author who dies half way leaves nothing behind.
"""

from __future__ import annotations

import base64
import hashlib
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum, IntFlag
from functools import lru_cache

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.zone_failover.operator_overrides import truncate_utf8
from cottonhold.membership.codec import MAX_NAME_BYTES, member_id

WHOLE = struct.Struct("!BBIIIQBB")
RECORD = struct.Struct("!BBIIQHBHHHHIB")
FORM = 1
MOST_WHO = 16  # bytes
MOST_OUT = 5  # machines out at once
MOST_BYTES = 120
MOST_KEY = 11  # bytes of a machine's name in its register's
MOST_MACHINES = 256
NAME = "swap"
U16 = 0xFFFF


@lru_cache(1024)
def ident(name: str) -> int:
    """A machine's id among members."""
    return member_id(name)


class PlanError(Exception):
    """A request that can't be taken; its text says what is wrong with which machine."""


class Step(IntEnum):
    """How far the swap of one machine is."""

    ASKED = 1
    AGREED = 2  # one of the dispatchers drives it and waits for its turn
    MOVING = 3  # pins go to others
    DRAINING = 4
    OUT = 5  # may be powered off
    IN_PLACE = 6  # the new one has been seen
    RAMPING = 7
    DONE = 8
    ABORTED = 9
    FAILED = 10


OVER = frozenset({Step.DONE, Step.ABORTED, Step.FAILED})
BEFORE = frozenset({Step.ASKED, Step.AGREED})


class Flag(IntFlag):
    """What else a machine's register says."""

    ENGINE = 1
    VOTER = 2
    EMPTY = 4  # the new one is told to come with an empty folder
    ABORT = 8
    AWAY = 16  # an engine that has been seen to be away since it was out


class Reason(IntEnum):
    """Why a machine's swap is as it is, where all should know."""

    NONE = 0
    HARDWARE = 1  # the new one has not come in its time
    SMALLER = 2  # it came with fewer cores than told
    BY_HAND = 3
    LATE = 4  # moving or draining took too long
    GONE = 5  # the new one went away again


class State(IntEnum):
    """Of the whole."""

    OPEN = 1
    LAYING = 2  # its locker writes a request


@dataclass(slots=True, frozen=True)
class Machine:
    """A machine as it is there now. `id`: its member's id; `life`: another one after each start, of an engine
    0 where the list does not tell; `votes`: it is a configured voter whose memory is whole, so that it may
    vote; `counted`: the outlook counts its cores, as it does an engine's that is in service."""

    name: str
    zone: str
    cores: float
    engine: bool = False
    life: int = 0
    voter: bool = False
    votes: bool = True
    counted: bool = True

    @property
    def id(self) -> int:
        """Its id among members."""
        return ident(self.name)


@dataclass(slots=True, frozen=True)
class Item:
    """One machine of a request. `new`: what replaces it, the same name if empty; `cores` of that one, 0: as
    many as before; `empty`: it comes without the old one's folder."""

    machine: str
    new: str = ""
    cores: float = 0.0
    empty: bool = False


@dataclass(slots=True, frozen=True)
class Request:
    """What one person asks for. `most_out`: so many machines at once; `zones`: in so many zones at once."""

    who: str
    items: tuple[Item, ...]
    most_out: int = 1
    zones: int = 1


def of_zone(who: str, zone: str, there: Iterable[Machine], most_out: int = 1) -> Request:
    """A request for all machines of a zone, each replaced under its own name."""
    names = sorted(m.name for m in there if m.zone == zone)
    return Request(who, tuple(Item(name) for name in names), most_out)


@dataclass(slots=True, frozen=True)
class Whole:
    """The register `swap`. `serial`: of the newest request; `base`: of the first one of this chain; `out`:
    ids of the machines that have begun and are not over."""

    state: State = State.OPEN
    serial: int = 0
    base: int = 0
    epoch: int = 0
    locker: int = 0
    most_out: int = 1
    zones: int = 1
    first: str = ""
    who: str = ""
    out: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Record:
    """A machine's register."""

    step: Step
    serial: int
    epoch: int = 0
    driver: int = 0
    took: int = 0
    flags: Flag = Flag(0)
    zone: int = 0
    cores: int = 0
    told: int = 0
    seen: int = 0
    life: int = 0
    reason: Reason = Reason.NONE
    new: str = ""
    next: str = ""
    who: str = ""

    @property
    def over(self) -> bool:
        """Nothing more happens to it."""
        return self.step in OVER

    def has(self, flag: Flag) -> bool:
        """Whether its register says so."""
        return bool(int(self.flags) & int(flag))

    def lacks(self) -> int:
        """Tenths of cores by which the new one is smaller than the old one, once it has been seen."""
        return max(self.cores - self.seen, 0) if self.seen else 0


@lru_cache(1024)
def register(machine: str) -> str:
    """The name of a machine's register, at most 16 bytes: a long name is hashed."""
    if len(machine.encode()) > MOST_KEY:
        digest = hashlib.blake2b(machine.encode(), digest_size=6).digest()
        machine = "." + base64.b32encode(digest).decode()[: MOST_KEY - 1]
    return f"{NAME}/{machine}"


def tenths(cores: float) -> int:
    """Cores as they lie in registers."""
    return min(max(round(cores * 10), 0), U16)


def check(request: Request, there: Mapping[str, Machine]) -> None:
    """Whether a request makes sense for what is there. Raises PlanError."""
    if not request.items:
        raise PlanError("names no machine")
    if len(request.items) > MOST_MACHINES:
        raise PlanError(f"names {len(request.items)} machines, at most {MOST_MACHINES}")
    if not 1 <= request.most_out <= MOST_OUT:
        raise PlanError(f"{request.most_out} machines out at once: must be 1 to {MOST_OUT}")
    if request.zones < 1:
        raise PlanError(f"{request.zones} zones at once: must be at least 1")
    if not request.who:
        raise PlanError("says not who asks")
    old, news = set[str](), set[str]()
    for item in request.items:
        new = item.new or item.machine
        _check_item(item, new, there)
        if item.machine in old:
            raise PlanError(f"'{item.machine}' is named twice")
        if new in news or new != item.machine and new in {i.machine for i in request.items}:
            raise PlanError(f"'{new}' would replace two machines, or is to be replaced itself")
        old.add(item.machine)
        news.add(new)


def _check_item(item: Item, new: str, there: Mapping[str, Machine]) -> None:
    name = item.machine
    if name not in there:
        raise PlanError(f"'{name}' is no machine that is there")
    if max(len(name.encode()), len(new.encode())) > MAX_NAME_BYTES:
        raise PlanError(f"'{name}' or '{new}' is longer than {MAX_NAME_BYTES} bytes")
    if new in there and there[new].engine != there[name].engine:
        raise PlanError(f"'{new}' is no machine of the kind of '{name}'")
    if there[name].engine and new != name and new in there:
        raise PlanError(f"'{name}': '{new}' is an engine that is in use already")
    if not 0 <= item.cores <= U16 / 10:
        raise PlanError(f"'{name}': {item.cores} cores")


def fits(request: Request, chain: Mapping[str, Record]) -> tuple[Item, ...]:
    """The items that are not asked yet, beside what is on the chain. Raises PlanError where the two
    contradict each other, naming who asked the other."""
    left, news = [], {r.new: name for name, r in chain.items() if not r.over}
    for item in request.items:
        new, before = item.new or item.machine, chain.get(item.machine)
        if before is not None and before.over:
            raise PlanError(
                f"'{item.machine}' is {before.step.name.lower()} in a swap that still runs: ask when it ends"
            )
        if before is not None and (before.new != new or item.cores and tenths(item.cores) != before.told):
            raise PlanError(
                f"'{item.machine}' is already asked to become '{before.new}' with {before.told / 10:g} cores "
                f"by {before.who}"
            )
        if before is None and new in news:
            other = news[new]
            raise PlanError(f"'{new}' already replaces '{other}', asked by {chain[other].who}")
        if before is None:
            left.append(item)
    return tuple(left)


def lay(
    request: Request,
    items: tuple[Item, ...],
    there: Mapping[str, Machine],
    whole: Whole,
    zones: Mapping[str, int],
) -> dict[str, Record]:
    """The machines' registers of a request, chained before what is there already."""
    names, records = [item.machine for item in items], {}
    for item, after in zip(items, [*names[1:], whole.first], strict=True):
        machine = there[item.machine]
        flags = Flag.ENGINE * machine.engine | Flag.VOTER * machine.voter | Flag.EMPTY * item.empty
        records[item.machine] = Record(
            Step.ASKED,
            whole.serial,
            flags=Flag(flags),
            zone=zones.get(machine.zone, 0),
            cores=tenths(machine.cores),
            told=tenths(item.cores or machine.cores),
            life=machine.life & 0xFFFFFFFF,
            new=item.new or item.machine,
            next=after,
            who=truncate_utf8(request.who, MOST_WHO),
        )
    return records


def opened(whole: Whole, request: Request, first: str) -> Whole:
    """The whole after a request was laid: of two requests' limits the stricter ones count."""
    most, zones = request.most_out, request.zones
    if whole.first:
        most, zones = min(most, whole.most_out), min(zones, whole.zones)
    return replace(
        whole,
        state=State.OPEN,
        locker=0,
        base=whole.base if whole.first else whole.serial,
        first=first,
        most_out=most,
        zones=min(zones, 255),
        who=truncate_utf8(request.who, MOST_WHO),
    )


# --- bytes ---


def pack_whole(w: Whole) -> bytes:
    """Its bytes."""
    head = WHOLE.pack(FORM, w.state, w.serial, w.base, w.epoch, w.locker, w.most_out, w.zones)
    return head + _text(w.first) + _text(w.who) + bytes([len(w.out)]) + struct.pack(f"!{len(w.out)}Q", *w.out)


@lru_cache(64)
def read_whole(data: bytes) -> Whole:
    """Its meaning; nothing is one that was never set. Raises MessageError."""
    if not data:
        return Whole()
    try:
        form, state, serial, base, epoch, locker, most, zones = WHOLE.unpack_from(data)
        (first, who), at = _texts(data, WHOLE.size, (MAX_NAME_BYTES, MOST_WHO))
        out = struct.unpack(f"!{data[at]}Q", data[at + 1 :])
        if form != FORM or len(out) > MOST_OUT:
            raise MessageError("swap")
        return Whole(State(state), serial, base, epoch, locker, most, zones, first, who, out)
    except (struct.error, IndexError, ValueError):
        raise MessageError("swap") from None


def pack_record(r: Record) -> bytes:
    """Its bytes."""
    head = RECORD.pack(
        FORM, r.step, r.serial, r.epoch, r.driver, r.took, r.flags, r.zone, r.cores, r.told, r.seen, r.life,
        r.reason,
    )  # fmt: skip
    return head + _text(r.new) + _text(r.next) + _text(r.who)


@lru_cache(1024)
def read_record(data: bytes) -> Record | None:
    """Its meaning; nothing if it was never set. Raises MessageError."""
    if not data:
        return None
    try:
        form, step, serial, epoch, driver, took, flags, zone, cores, told, seen, life, reason = (
            RECORD.unpack_from(data)
        )
        texts, at = _texts(data, RECORD.size, (MAX_NAME_BYTES, MAX_NAME_BYTES, MOST_WHO))
        if form != FORM or at != len(data):
            raise MessageError("swap")
        return Record(
            Step(step), serial, epoch, driver, took, Flag(flags), zone, cores, told, seen, life,
            Reason(reason),
            *texts,
        )  # fmt: skip
    except (struct.error, IndexError, ValueError):
        raise MessageError("swap") from None


def _text(text: str) -> bytes:
    data = text.encode()
    return bytes([len(data)]) + data


def _texts(data: bytes, at: int, mosts: Iterable[int]) -> tuple[list[str], int]:
    texts = []
    for most in mosts:
        size = data[at]
        if size > most or at + 1 + size > len(data):
            raise MessageError("text")
        texts.append(data[at + 1 : at + 1 + size].decode())
        at += 1 + size
    return texts, at
