"""What engines that have just started show, told by all and pooled. Pure.

    kind 16 | count 1 | words, each: member 8 | life 4 | version 4 | rows 1 | rows, each:
    engine 4 | speed 1 | done 1 | share 1 | age 1

speed: how fast good answers were, done: how much work they were, both as a part of what the engine does when
warm, within `WINDOW` ms. Both are lower bounds of what it can do: an answer that waited in a line looks slow,
and nobody is served more than the engine does. So the larger of both counts. share: what the teller would let
all instances together send there; age: since when it has held the engine for started. Words merge by
(life, version), as those on zones do.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.zone_failover.evacuation import lower_median

WARMUP_REPORTS = 16  # the kind of message
HEAD = struct.Struct("!QIIB")
ROW = struct.Struct("!IBBBB")
WINDOW_MS = 600.0  # ms of answers that a row tells of
SPEED_STEPS = 170.0  # steps of a speed of one on the wire, so that 1.5 can be told
WORK_STEPS = 1000.0  # steps of work done: its square root is told, since one of many does little
UNLIMITED_SHARE = 1.0  # a share that bounds nothing
AGE_STEP_MS = 100.0  # ms of a step of age
MAX_ENGINES = (MAX_MESSAGE_BYTES - 2 - HEAD.size) // ROW.size


@dataclass(slots=True, frozen=True)
class EngineObservation:
    """What one instance saw of one engine. No speed: it had no answer within the window."""

    speed: float
    work_done: float
    share: float
    age_ms: float


@dataclass(slots=True, frozen=True)
class WarmupReport:
    """All that one instance tells of engines that are not warm, by their numbers."""

    member: int
    incarnation: int
    version: int
    engines: dict[int, EngineObservation]

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two words of one member is newer."""
        return self.incarnation, self.version


def engine_number(engine: str) -> int:
    """An engine's number on the wire, the same at every instance."""
    return zlib.crc32(engine.encode())


def encode_warmup_reports(words: Iterable[WarmupReport]) -> bytes:
    """A message with as many of these words as fit, first ones first."""
    parts, left = list[bytes](), MAX_MESSAGE_BYTES - 2
    for word in words:
        size = HEAD.size + len(word.engines) * ROW.size
        if size > left:
            break
        rows = [
            ROW.pack(
                number,
                min(math.ceil(row.speed * SPEED_STEPS), 255),
                min(round(math.sqrt(max(row.work_done, 0.0) * WORK_STEPS) * 5), 255),
                min(round(row.share * 255), 255),
                min(int(row.age_ms / AGE_STEP_MS), 255),
            )
            for number, row in word.engines.items()
        ]
        parts.append(HEAD.pack(word.member, word.incarnation, word.version, len(rows)) + b"".join(rows))
        left -= size
    return bytes((WARMUP_REPORTS, len(parts))) + b"".join(parts)


def decode_warmup_reports(data: bytes) -> list[WarmupReport]:
    """The words of a message. Raises MessageError; then none of them counts."""
    if len(data) < 2 or data[0] != WARMUP_REPORTS:
        raise MessageError("no ramp")
    words, at = [], 2
    try:
        for _ in range(data[1]):
            member, life, version, count = HEAD.unpack_from(data, at)
            at += HEAD.size
            if not member or count > MAX_ENGINES:
                raise MessageError("member or rows")
            rows = {}
            for _ in range(count):
                number, speed, done, share, age = ROW.unpack_from(data, at)
                at += ROW.size
                rows[number] = EngineObservation(
                    speed / SPEED_STEPS, (done / 5) ** 2 / WORK_STEPS, share / 255, age * AGE_STEP_MS
                )
            words.append(WarmupReport(member, life, version, rows))
    except struct.error:
        raise MessageError("truncated") from None
    if at != len(data):
        raise MessageError("too long")
    return words


@dataclass(slots=True, frozen=True)
class PooledObservation:
    """What all that are heard of saw of an engine: its speed, the work done, and the share they would give.
    No share: too few tell."""

    speed: float
    work_done: float
    share: float | None


def upper_quartile(values: Sequence[float]) -> float:
    """The upper quarter's lowest value.

    Danger: by the middle, engines under full load, where most answers waited, looked slow; by the highest,
    one estimate of work that is far off would speak for all.
    """
    return sorted(values)[math.ceil(0.75 * len(values)) - 1]


def pool_observations(
    rows: Sequence[EngineObservation], unheard: float, quorum: int = 3
) -> PooledObservation:
    """Rows of one engine taken together. unheard: so many times as many are there as were heard."""
    seen = [row for row in rows if row.speed > 0]
    done = [row.work_done for row in seen]
    # Danger: one that claims to have done what the whole engine could would lift the ramp for all.
    most = 3 * lower_median(done) if len(done) > 2 else math.inf
    share = lower_median([row.share for row in rows]) if len(rows) >= quorum else None
    speeds = sorted(row.speed for row in seen)
    # Danger: of several tellers one that lies must not be the one that counts.
    speed = upper_quartile(speeds[:-1] if len(speeds) > 2 else speeds) if speeds else 0.0
    return PooledObservation(speed, sum(min(d, most) for d in done) * unheard, share)
