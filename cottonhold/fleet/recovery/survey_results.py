"""What a census finds and asks for: verdicts, actions, and the times it goes by."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class SurveySettings:
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

    recent_start_ms: float = 60_000.0
    settle_ms: float = 3000.0
    max_report_age_ms: float = 5000.0
    busy_interval_ms: float = 200.0
    idle_interval_ms: float = 1000.0
    max_messages: int = 64
    lease_ms: float = 30_000.0
    clock_drift: float = 0.02
    rebind_ms: float = 30_000.0
    min_alternations: int = 3
    hold_ms: float = 60_000.0
    mark_interval_ms: float = 2000.0
    mark_interval_per_dispatcher_ms: float = 100.0


class OutageVerdict(Enum):
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
class SurveyView:
    """What is known. since: start of the first that was lost, on this clock. settled: nobody is waited for
    any more. lost, heard, missing: numbers; zones: those lost whole."""

    verdict: OutageVerdict = OutageVerdict.NOTHING
    first_start: float = -math.inf
    is_settled: bool = False
    lost_zones: frozenset[str] = frozenset()
    restarted: frozenset[int] = frozenset()
    reachable: frozenset[int] = frozenset()
    missing: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """What is known has changed."""

    view: SurveyView


@dataclass(slots=True, frozen=True)
class RaiseBoot:
    """The boot must be raised to at least this and stored."""

    min_boot: int


@dataclass(slots=True, frozen=True)
class DuplicateIdentity:
    """Another process stands for this number. later: it was there first, and this one must not serve
    loads."""

    is_later: bool


@dataclass(slots=True, frozen=True)
class PeerBootLearned:
    """A hint to store: the highest boot and base known of a number."""

    number: int
    boot: int
    base: int = 0


@dataclass(slots=True, frozen=True)
class StoreBase:
    """To be stored as the folder's base: the boot and the mark up to which its loads are whole; 0: they are
    not. Danger: an empty or old folder that is started twice would be taken for whole."""

    base: int


Action = SendMessage | ViewChanged | RaiseBoot | DuplicateIdentity | PeerBootLearned | StoreBase


@dataclass(slots=True, frozen=True)
class ProvenSilence:
    """No load was sent by it between these two moments; what holds after `as_of` is not known yet."""

    nothing_sent_after: float
    valid_until: float
