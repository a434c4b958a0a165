"""What a census finds and asks for: verdicts, actions, and the times it goes by."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class CensusSettings:
    """Times in ms.

    young: so long after its start an instance counts as just back: longer than the slowest start of a
    machine after another of the same power loss, and than the ramp of cold engines. wait: so long those
    missing are waited for before what is known counts as settled: a process's start and three rounds of words
    with a third of them lost. fresh: so old may a word be of one that counts as heard: five rounds at rest.
    period: a round of words while somebody is young or a load waits for one. rest: a round else. most: so
    many words a step: what others take in must not grow with the square of the fleet. lease: see the module;
    infinity: never cut off, and nobody is ever known to be gone. drift: margin for clocks' rates. rebind: a
    number whose member was silent for so long is another's that claims it: a machine that was replaced.
    hold: as MemorySettings.hold. flips: so many times two lives must have spoken in turns to be two at once:
    late datagrams of an ended one come by themselves. mark, mark_each: a base grows so often, and for each
    configured dispatcher so much less often, since all others write it down: ten records a second at most. A
    copy of a folder is found out if a mark was made and told after it.
    """

    young: float = 60_000.0
    wait: float = 3000.0
    fresh: float = 5000.0
    period: float = 200.0
    rest: float = 1000.0
    most: int = 64
    lease: float = 30_000.0
    drift: float = 0.02
    rebind: float = 30_000.0
    flips: int = 3
    hold: float = 60_000.0
    mark: float = 2000.0
    mark_each: float = 100.0


class Verdict(Enum):
    """What was away. ALONE: this instance and no other. SOME: one or several, no whole zone of them. ZONE:
    all dispatchers of a zone or more. FLEET: more than half of the configured ones. CUT_OFF: fewer than half
    are heard, this one counted, and not more than half are known to be young."""

    NOTHING = "nothing"
    ALONE = "alone"
    SOME = "some"
    ZONE = "zone"
    FLEET = "fleet"
    CUT_OFF = "cut_off"


@dataclass(slots=True, frozen=True)
class View:
    """What is known. since: start of the first that was lost, on this clock. settled: nobody is waited for
    any more. lost, heard, missing: numbers; zones: those lost whole."""

    verdict: Verdict = Verdict.NOTHING
    since: float = -math.inf
    settled: bool = False
    zones: frozenset[str] = frozenset()
    lost: frozenset[int] = frozenset()
    heard: frozenset[int] = frozenset()
    missing: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class Say:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Changed:
    """What is known has changed."""

    view: View


@dataclass(slots=True, frozen=True)
class Boot:
    """The boot must be raised to at least this and stored."""

    least: int


@dataclass(slots=True, frozen=True)
class Twice:
    """Another process stands for this number. later: it was there first, and this one must not serve
    loads."""

    later: bool


@dataclass(slots=True, frozen=True)
class Knew:
    """A hint to store: the highest boot and base known of a number."""

    number: int
    boot: int
    base: int = 0


@dataclass(slots=True, frozen=True)
class Whole:
    """To be stored as the folder's base: the boot and the mark up to which its loads are whole; 0: they are
    not. Danger: an empty or old folder that is started twice would be taken for whole."""

    base: int


Action = Say | Changed | Boot | Twice | Knew | Whole


@dataclass(slots=True, frozen=True)
class Gone:
    """No load was sent by it between these two moments; what holds after `as_of` is not known yet."""

    sent_before: float
    as_of: float
