"""The wire format of observations of engines that warm up, and the pooling of these observations;
does no I/O.

    kind 16 | count 1 | reports, each: member 8 | incarnation 4 | version 4 | engines 1 | engines, each:
    engine 4 | speed 1 | work done 1 | share 1 | age 1

Numbers after the names are sizes in bytes, except the kind. Speed is the speed of successful answers and work
done is their amount of work, both within `WINDOW_MS` and as a part of what the engine does when warm. Both
are lower bounds of what it can do: an answer that waited in a queue looks slow, and the work done is limited
by the work sent. So the larger of the two is used. Share is the part of the engine's capacity that, according
to the sender, all instances together may send to it. Age is the time since the engine's start according to
the sender. Reports are merged as described in `latest_reports`.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cottonhold.fleet.latest_reports import Stamp
from cottonhold.fleet.message_format import (
    LIST_HEADER_BYTES,
    MAX_MESSAGE_BYTES,
    MessageError,
    decode_list,
    encode_list,
)
from cottonhold.fleet.zone_failover.attempt_pool import lower_median

WARMUP_REPORTS = 16  # the kind of message
HEADER = struct.Struct("!QIIB")
ENTRY = struct.Struct("!IBBBB")
MAX_ENGINES = (MAX_MESSAGE_BYTES - LIST_HEADER_BYTES - HEADER.size) // ENTRY.size  # in one report
MAX_BYTE = 255
SHARE_STEPS = 255
SPEED_STEPS = 170.0  # encoded value of a speed of one; 1.5 can be encoded too
WORK_STEPS = 1000.0  # scale of the work done; its square root is encoded, for resolution at small values
ROOT_STEPS = 5
AGE_STEP_MS = 100.0
WINDOW_MS = 600.0  # time that an observation covers
UNLIMITED_SHARE = 1.0  # share of an engine without a limit
SHARE_QUORUM = 3  # observations that are needed to agree on a share
CLAIM_FACTOR = 3  # the work done of one instance is capped at this many times the median


@dataclass(slots=True, frozen=True)
class EngineObservation:
    """What one instance observed of one engine; speed is 0 without an answer within the window."""

    speed: float
    work_done: float
    share: float
    age_ms: float


@dataclass(slots=True, frozen=True)
class WarmupReport:
    """One instance's report on engines that are not warm, by `engine_number`."""

    member: int
    incarnation: int
    version: int
    engines: dict[int, EngineObservation]

    @property
    def stamp(self) -> Stamp:
        """Return the stamp; of two reports of a member the one with the higher stamp is newer."""
        return self.incarnation, self.version


def engine_number(engine: str) -> int:
    """Return an engine's number on the wire, which is the same at every instance."""
    return zlib.crc32(engine.encode())


def encode_warmup_reports(reports: Iterable[WarmupReport]) -> bytes:
    """Return a message with as many of these reports as fit, from the first on."""
    return encode_list(WARMUP_REPORTS, map(_encode_report, reports))


def _encode_report(report: WarmupReport) -> bytes:
    header = HEADER.pack(report.member, report.incarnation, report.version, len(report.engines))
    return header + b"".join(
        _encode_entry(number, observation) for number, observation in report.engines.items()
    )


def _encode_entry(number: int, observation: EngineObservation) -> bytes:
    root = math.sqrt(max(observation.work_done, 0.0) * WORK_STEPS)
    return ENTRY.pack(
        number,
        min(math.ceil(observation.speed * SPEED_STEPS), MAX_BYTE),
        min(round(root * ROOT_STEPS), MAX_BYTE),
        min(round(observation.share * SHARE_STEPS), MAX_BYTE),
        min(int(observation.age_ms / AGE_STEP_MS), MAX_BYTE),
    )


def decode_warmup_reports(data: bytes) -> list[WarmupReport]:
    """Return the reports of a message. Raises MessageError; then none of them may be applied."""
    return decode_list(data, WARMUP_REPORTS, "warm-up reports", _decode_report)


def _decode_report(data: bytes, offset: int) -> tuple[WarmupReport, int]:
    """Return the report that begins at an offset, and the offset of its end."""
    member, incarnation, version, count = HEADER.unpack_from(data, offset)
    offset += HEADER.size
    if not member or count > MAX_ENGINES:
        raise MessageError("invalid member or number of engines")
    engines = {}
    for _ in range(count):
        number, speed, root, share, age = ENTRY.unpack_from(data, offset)
        offset += ENTRY.size
        work_done = (root / ROOT_STEPS) ** 2 / WORK_STEPS
        engines[number] = EngineObservation(
            speed / SPEED_STEPS, work_done, share / SHARE_STEPS, age * AGE_STEP_MS
        )
    return WarmupReport(member, incarnation, version, engines), offset


@dataclass(slots=True, frozen=True)
class PooledObservation:
    """What all reporting instances together observed of an engine.

    Attributes:
        speed: Speed of its answers.
        work_done: Work that it did for all instances, extrapolated to those that did not report.
        share: Median of the shares that they would allow; None if too few report.
    """

    speed: float
    work_done: float
    share: float | None


def upper_quartile(values: Sequence[float]) -> float:
    """Return the lowest value of the upper quarter.

    The median would make an engine under full load look slow, since most answers waited in its queue. The
    highest value may be one wrong estimate of work.
    """
    return sorted(values)[math.ceil(0.75 * len(values)) - 1]


def pool_observations(
    observations: Sequence[EngineObservation], extrapolation_factor: float, quorum: int = SHARE_QUORUM
) -> PooledObservation:
    """Pool the observations of one engine.

    No instance may claim far more work than the median, and of three or more reported speeds the highest is
    ignored, because a faulty instance must not raise the share for all.

    Args:
        observations: The observations, one of each reporting instance.
        extrapolation_factor: Number of instances for each one that reported.
        quorum: Observations that are needed to agree on a share.
    """
    with_answers = [observation for observation in observations if observation.speed > 0]
    work = [observation.work_done for observation in with_answers]
    max_work = CLAIM_FACTOR * lower_median(work) if len(work) > 2 else math.inf
    has_quorum = len(observations) >= quorum
    share = lower_median([observation.share for observation in observations]) if has_quorum else None
    speeds = sorted(observation.speed for observation in with_answers)
    credible = speeds[:-1] if len(speeds) > 2 else speeds
    speed = upper_quartile(credible) if speeds else 0.0
    return PooledObservation(speed, sum(min(done, max_work) for done in work) * extrapolation_factor, share)
