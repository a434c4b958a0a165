"""The proof that a dispatcher has sent no load for a while; does no I/O.

An instance sends loads only while at least half of the configured instances, itself included, confirm that
they received a report that it sent less than `lease_ms` ago by its own clock. Another instance considers it
silent when more than half report that they no longer receive its reports. Any half and any majority have a
member in common, so the silent instance can't have used that member's confirmation for longer than `lease_ms`
after the member last received a report.

The instance that computes the proof bounds these times by its own clock. A member reports the age of its last
contact, so the contact was no later than the arrival of the member's report minus this age. The member sent
that report later than this instance sent the newest report that the member acknowledges.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from cottonhold.fleet.recovery.peer_observations import SilenceReport
from cottonhold.fleet.recovery.survey_results import ProvenSilence, SurveySettings


def prove_silence(
    reports: Iterable[SilenceReport], dispatchers: int, settings: SurveySettings
) -> ProvenSilence | None:
    """Return the silence that reports on one dispatcher prove; None if they prove none.

    Args:
        reports: Reports of the others on the last contact with the dispatcher.
        dispatchers: Number of configured dispatchers.
        settings: Settings of the survey, of which the lease and the clock drift are used.
    """
    needed = dispatchers // 2 + 1
    newest = sorted(reports, key=lambda report: -report.reported_after)[:needed]
    if len(newest) < needed or settings.lease_ms == math.inf:
        return None
    last_contact_before = max(report.last_contact_before for report in newest)
    lease_ms = settings.lease_ms * (1 + settings.clock_drift)
    return ProvenSilence(last_contact_before + lease_ms, min(report.reported_after for report in newest))
