"""The proof that a dispatcher has sent no load for a while. Pure.

An instance sends loads only while half of the configured ones, itself counted, have reported that they heard
a report of its of less than `lease_ms` ago, by its own clock. Another takes it for silent by the reports of
more than half of them that did not hear it; each says so after it was heard by whoever counts, which dates
it. Half and more than half share one. What that one heard last was sent before it was heard, so nothing was
sent later than `lease_ms` after that, up to the oldest of these reports. What each heard is bounded from
above: its report arrived at most so long after it was sent as it arrived after the report that it answers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from cottonhold.fleet.recovery.peer_observations import SilenceReport
from cottonhold.fleet.recovery.survey_results import ProvenSilence, SurveySettings


def prove_silence(
    reports: Iterable[SilenceReport], dispatchers: int, settings: SurveySettings
) -> ProvenSilence | None:
    """What follows from these reports on one dispatcher; None where they prove nothing. dispatchers: how many
    are configured."""
    needed = dispatchers // 2 + 1
    newest = sorted(reports, key=lambda report: -report.reported_after)[:needed]
    if len(newest) < needed or settings.lease_ms == math.inf:
        return None
    last_contact_before = max(report.last_contact_before for report in newest)
    lease_ms = settings.lease_ms * (1 + settings.clock_drift)
    return ProvenSilence(last_contact_before + lease_ms, min(report.reported_after for report in newest))
