"""Keep the latest report of each member; does no I/O.

Of two reports of a member the one with the higher (incarnation, version) is kept. So the result depends
neither on the order nor on repetitions, and a replayed datagram has no effect.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from cottonhold.fleet.message_format import MAX_UINT32

MAX_RELAYED_REPORTS = 16  # maximum number of relayed reports; more than fit into one datagram

Stamp = tuple[int, int]  # incarnation and version; a higher stamp marks a newer report of the same member


class VersionedReport(Protocol):
    """A report by a member on itself; each new report has a higher version."""

    @property
    def member(self) -> int:
        """Id of the member that reports."""

    @property
    def version(self) -> int:
        """Number of the report; grows with each report of one incarnation."""

    @property
    def stamp(self) -> Stamp:
        """Incarnation and version."""


ReportT = TypeVar("ReportT", bound=VersionedReport)


@dataclass(slots=True)
class ReceivedReport(Generic[ReportT]):
    """The latest report of a member and the time of its arrival, in ms."""

    report: ReportT
    received_at: float


class LatestReports(Generic[ReportT]):
    """Keeps the latest report of each other member."""

    def __init__(self, self_id: int) -> None:
        self.self_id = self_id
        self.received: dict[int, ReceivedReport[ReportT]] = {}
        self.highest_received_stamp: Stamp = (0, 0)  # highest stamp that others sent in this member's name

    def apply(self, now: float, report: ReportT) -> bool:
        """Merge a report that arrived at `now`, in ms; return whether it is newer than the stored one."""
        if report.member == self.self_id:
            # A forged report, or one by an earlier incarnation whose wall clock was ahead, would otherwise
            # take precedence over this member's own reports for ever. `next_stamp` exceeds this stamp.
            self.highest_received_stamp = max(self.highest_received_stamp, report.stamp)
            return False
        known = self.received.get(report.member)
        if known is not None and report.stamp <= known.report.stamp:
            return False
        self.received.pop(report.member, None)  # keeps the entries in the order of their arrival
        self.received[report.member] = ReceivedReport(report, now)
        return True

    def next_stamp(self, incarnation: int, version: int) -> Stamp:
        """Return the stamp of this member's next report, given the incarnation and version of its last one.

        It is higher than that and than any stamp that others sent in this member's name.
        """
        incarnation, version = max((incarnation, version), self.highest_received_stamp)
        if version < MAX_UINT32:
            return incarnation, version + 1
        return (incarnation + 1, 1) if incarnation < MAX_UINT32 else (incarnation, version)

    def newer_than(self, sender: int, reports: Iterable[ReportT]) -> ReportT | None:
        """Return the stored report of a sender if it is newer than the one just received from it, else None.

        This happens if incarnations are numbered by a wall clock that was set back between two starts. When
        the stored report is sent back to the sender, the sender continues with a higher stamp.
        """
        known = self.received.get(sender)
        if known is None:
            return None
        is_behind = any(r.member == sender and r.stamp < known.report.stamp for r in reports)
        return known.report if is_behind else None

    def newest(self) -> Iterable[ReceivedReport[ReportT]]:
        """Return the reports to relay, in the reverse order of their arrival."""
        return itertools.islice(reversed(self.received.values()), MAX_RELAYED_REPORTS)

    def fresh(self, now: float, max_age_ms: float, members: Iterable[int]) -> list[ReportT]:
        """Return the reports of these members that arrived at most max_age_ms ago."""
        received = (self.received.get(member) for member in members)
        return [r.report for r in received if r is not None and now - r.received_at <= max_age_ms]

    def forget(self, members: Iterable[int]) -> None:
        """Drop the reports of members that have left the fleet."""
        for member in members:
            self.received.pop(member, None)
