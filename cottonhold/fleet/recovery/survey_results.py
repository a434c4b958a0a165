"""Verdicts and actions of a membership survey, and its settings. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class SurveySettings:
    """Times in ms.

    recent_start_ms: so long after its start an instance counts as restarted: longer than the slowest start of
    a machine after another of the same power loss, and than the warm-up of engines. settle_ms: so long those
    missing are waited for before what is known counts as settled: a process's start and three rounds of
    reports with a third of them lost. max_report_age_ms: whoever's last report is older counts as missing;
    five idle rounds. busy_interval_ms: between two rounds while somebody is restarted or a load waits for
    one; idle_interval_ms: else. max_messages: of a step; what others receive must not grow with the square of
    the fleet. lease_ms: see silence_proof; infinity: never cut off, and nobody is ever proven silent.
    clock_drift: margin for clocks' rates. rebind_ms: a number whose member was silent for so long is bound to
    another that claims it: a machine that was replaced. retention_ms: as in LoadHistorySettings.
    min_alternations: so often two incarnations must have reported in turns to be two at once; late datagrams
    of an ended one arrive by themselves. checkpoint_interval_ms,
    checkpoint_interval_per_dispatcher_ms: a checkpoint is raised so often, and for each configured dispatcher
    so much less often, since all others record it: ten records a second at most. A copy of a folder is
    detected if a checkpoint was made and reported after it.
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
    retention_ms: float = 60_000.0
    checkpoint_interval_ms: float = 2000.0
    checkpoint_interval_per_dispatcher_ms: float = 100.0


class OutageVerdict(Enum):
    """What was away. ALONE: this instance and no other. SOME: one or several, no whole zone of them. ZONE:
    all dispatchers of a zone or more. FLEET: more than half of the configured ones. CUT_OFF: fewer than half
    are reachable, this one counted, and not more than half are known to have restarted."""

    NOTHING = "nothing"
    ALONE = "alone"
    SOME = "some"
    ZONE = "zone"
    FLEET = "fleet"
    CUT_OFF = "cut_off"


@dataclass(slots=True, frozen=True)
class SurveyView:
    """What is known. first_start: of those restarted, on this clock. is_settled: nobody is waited for any
    more. restarted, reachable, missing: numbers; lost_zones: those of which all dispatchers restarted."""

    verdict: OutageVerdict = OutageVerdict.NOTHING
    first_start: float = -math.inf
    is_settled: bool = False
    lost_zones: frozenset[str] = frozenset()
    restarted: frozenset[int] = frozenset()
    reachable: frozenset[int] = frozenset()
    missing: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class SendSurveyMessage:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """What is known has changed."""

    view: SurveyView


@dataclass(slots=True, frozen=True)
class RaiseBootCount:
    """The boot count must be raised to at least this and stored."""

    min_boot_count: int


@dataclass(slots=True, frozen=True)
class DuplicateIdentity:
    """Another process stands for this number. is_later: this one started later, and must not serve loads."""

    is_later: bool


@dataclass(slots=True, frozen=True)
class PeerBootCountLearned:
    """A hint to store: the highest boot count and checkpoint known of a number."""

    number: int
    boot_count: int
    checkpoint: int = 0


@dataclass(slots=True, frozen=True)
class StoreCheckpoint:
    """To be stored as the folder's checkpoint: the boot, and the mark in it, up to which its loads are
    complete; 0: they are not, so that an empty or old folder that is started twice is not taken for a
    complete one."""

    checkpoint: int


Action = (
    SendSurveyMessage
    | ViewChanged
    | RaiseBootCount
    | DuplicateIdentity
    | PeerBootCountLearned
    | StoreCheckpoint
)


@dataclass(slots=True, frozen=True)
class ProvenSilence:
    """It sent no load after `nothing_sent_after`; what happens after `valid_until` is not known yet."""

    nothing_sent_after: float
    valid_until: float
