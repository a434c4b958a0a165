"""The settings, views and actions of the membership survey; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class SurveySettings:
    """Settings of the membership survey; times are in ms.

    Attributes:
        recent_start_ms: Time after its start during which an instance is regarded as restarted. Longer than
            the difference between the slowest and the fastest start of a machine after the same power loss,
            and than the warm-up of engines.
        settle_ms: Time after the start for which missing instances are waited for. It allows for the start of
            a process and three rounds of reports of which a third is lost.
        max_report_age_ms: Age of its last report from which an instance is regarded as missing: five idle
            rounds.
        busy_interval_ms: Time between two rounds of reports while an instance is regarded as restarted or a
            load waits for reports.
        idle_interval_ms: Time between two rounds of reports otherwise.
        max_messages: Messages per step, so that received messages don't grow with the square of the fleet.
        lease_ms: How long a confirmed report allows an instance to send loads (see silence_proof). With
            infinity no instance is ever proven silent, and a confirmation never expires.
        clock_drift: Margin for different clock rates, as a share of the lease.
        rebind_ms: Silence of the member bound to a number after which another may claim it, for instance
            because its machine was replaced.
        retention_ms: As in LoadHistorySettings.
        min_alternations: Number of times that two incarnations must have reported in turns to be regarded as
            simultaneous processes; delayed datagrams of an ended one arrive singly.
        checkpoint_interval_ms: Minimum time between two checkpoints. A copy of a folder is detected if a
            checkpoint was made and reported after the copy.
        checkpoint_interval_per_dispatcher_ms: Minimum time between two checkpoints per configured dispatcher.
            All others record each checkpoint; this limits them to ten records a second.
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
    """The extent of an outage: which instances were away.

    NOTHING   no instance
    ALONE     only this instance
    SOME      one or more instances, but no whole zone
    ZONE      all dispatchers of one or more zones
    FLEET     more than half of the configured dispatchers
    CUT_OFF   fewer than half are reachable, including this one, and no majority has restarted
    """

    NOTHING = "nothing"
    ALONE = "alone"
    SOME = "some"
    ZONE = "zone"
    FLEET = "fleet"
    CUT_OFF = "cut_off"


@dataclass(slots=True, frozen=True)
class SurveyView:
    """The findings of the survey.

    Attributes:
        verdict: The extent of the outage.
        first_start: Earliest start of the restarted instances, in ms of this instance's clock.
        is_settled: Whether no instance is waited for any more.
        restarted_zones: Zones all of whose dispatchers restarted.
        restarted: Numbers of the restarted instances.
        reachable: Numbers of the instances with a recent report, including this one.
        missing: Numbers of all other configured instances.
    """

    verdict: OutageVerdict = OutageVerdict.NOTHING
    first_start: float = -math.inf
    is_settled: bool = False
    restarted_zones: frozenset[str] = frozenset()
    restarted: frozenset[int] = frozenset()
    reachable: frozenset[int] = frozenset()
    missing: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class SendSurveyMessage:
    """Action: send a datagram to a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """Action: use a new view."""

    view: SurveyView


@dataclass(slots=True, frozen=True)
class RaiseBootCount:
    """Action: store a boot count of at least `min_boot_count`, since the folder was empty or outdated."""

    min_boot_count: int


@dataclass(slots=True, frozen=True)
class DuplicateIdentity:
    """Action: report that another process uses this number.

    Attributes:
        is_later: Whether this process started later; then it must not serve loads.
    """

    is_later: bool


@dataclass(slots=True, frozen=True)
class PeerBootCountLearned:
    """Action: store the highest known boot count and checkpoint of another number, for the next start."""

    number: int
    boot_count: int
    checkpoint: int = 0


@dataclass(slots=True, frozen=True)
class StoreCheckpoint:
    """Action: store the folder's checkpoint.

    The checkpoint identifies the boot and the mark up to which the folder's loads are complete. 0 means that
    they are incomplete, so that an empty or old folder that is started twice is not regarded as complete.
    """

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
    """Proof that a dispatcher sent no load after `nothing_sent_after`; it covers the time up to
    `valid_until`."""

    nothing_sent_after: float
    valid_until: float
