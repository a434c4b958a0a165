"""The latest report of each member, merged by version. Pure.

Reports merge by (incarnation, version): in any order and any number of times, with the same result. A report
that is older than the known one changes nothing, so a replayed datagram has no effect.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from cottonhold.fleet.message_format import MAX_UINT32

MAX_RELAYED_REPORTS = 16  # more than fit a datagram

Stamp = tuple[int, int]  # incarnation and version; of two reports of a member the higher one is newer


class VersionedReport(Protocol):
    """A report by a member on itself, sent each time with a higher version."""

    @property
    def member(self) -> int:
        """The id of the member that reports."""

    @property
    def version(self) -> int:
        """Grows with each report of one incarnation."""

    @property
    def stamp(self) -> Stamp:
        """Incarnation and version."""


ReportT = TypeVar("ReportT", bound=VersionedReport)


@dataclass(slots=True)
class ReceivedReport(Generic[ReportT]):
    """The latest report of a member, and when it arrived in ms."""

    report: ReportT
    received_at: float


class LatestReports(Generic[ReportT]):
    """The latest report of each other member."""

    def __init__(self, self_id: int) -> None:
        self.self_id = self_id
        self.received: dict[int, ReceivedReport[ReportT]] = {}
        self.highest_own_stamp: Stamp = (0, 0)  # of the reports that others relayed in this member's name

    def apply(self, now: float, report: ReportT) -> bool:
        """Merge a report that arrived at `now`, in ms; returns whether it is newer than the known one."""
        if report.member == self.self_id:
            # A forged report, or one of an earlier incarnation whose wall clock was ahead, would otherwise
            # outrank this member's own ones for good; `next_stamp` exceeds whatever is recorded here.
            self.highest_own_stamp = max(self.highest_own_stamp, report.stamp)
            return False
        known = self.received.get(report.member)
        if known is not None and report.stamp <= known.report.stamp:
            return False
        self.received.pop(report.member, None)  # keeps the entries in the order of their arrival
        self.received[report.member] = ReceivedReport(report, now)
        return True

    def next_stamp(self, incarnation: int, version: int) -> Stamp:
        """The stamp of this member's next report, above its last one and any relayed in its name."""
        incarnation, version = max((incarnation, version), self.highest_own_stamp)
        if version < MAX_UINT32:
            return incarnation, version + 1
        return (incarnation + 1, 1) if incarnation < MAX_UINT32 else (incarnation, version)

    def newer_than(self, sender: int, reports: Iterable[ReportT]) -> ReportT | None:
        """The known report of a sender that has just sent an older one of its own; None if it is up to date.

        An incarnation may be numbered by a wall clock that was set back between two starts. Sent back to its
        owner, the known report makes the owner continue above its stamp.
        """
        known = self.received.get(sender)
        if known is None:
            return None
        is_behind = any(r.member == sender and r.stamp < known.report.stamp for r in reports)
        return known.report if is_behind else None

    def newest(self) -> Iterable[ReceivedReport[ReportT]]:
        """Reports worth relaying, the last received ones first."""
        return itertools.islice(reversed(self.received.values()), MAX_RELAYED_REPORTS)

    def fresh(self, now: float, max_age_ms: float, members: Iterable[int]) -> list[ReportT]:
        """Reports of these members that are at most so old."""
        received = (self.received.get(member) for member in members)
        return [r.report for r in received if r is not None and now - r.received_at <= max_age_ms]

    def forget(self, members: Iterable[int]) -> None:
        """Drop the reports of members that have left for good."""
        for member in members:
            self.received.pop(member, None)
