"""Build the rows that `cottonhold zone show` prints; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts
from cottonhold.fleet.zone_failover.messages import MemberReport, Vote, ZoneReport
from cottonhold.fleet.zone_failover.operator_overrides import MODE_NAMES, Override
from cottonhold.fleet.zone_failover.zone_state import ZoneState


def zone_row(
    now: float,
    zone: str,
    state: ZoneState,
    counts: AttemptCounts,
    reports: list[ZoneReport],
    electorate: int,
    traffic_share: float,
    override: dict[str, Any] | None,
) -> dict[str, Any]:
    """Return one zone's row, under the keys of the local status socket."""
    evacuation_votes = sum(report.vote is Vote.EVACUATE for report in reports) + (state.vote is Vote.EVACUATE)
    return {
        "zone": zone,
        "phase": state.phase.value,
        "since_ms": round(now - state.since) if state.since > -math.inf else None,
        "why": state.reason,
        "fleet_out": state.is_fleet_evacuated,
        "votes_out": evacuation_votes,
        "heard": len(reports) + 1,
        "electorate": electorate,
        "pace": round(traffic_share, 3),
        "good": counts.good,
        "late": counts.late,
        "bad": counts.bad,
        "hold_ms": round(state.hold_down_ms),
        "order": override,
    }


def override_row(
    now: float,
    override: Override,
    digest: int,
    fresh: Mapping[int, MemberReport],
    members: Mapping[int, float],
    names: Mapping[int, str],
) -> dict[str, Any]:
    """Return the row of an override that is in force.

    Args:
        now: Current time, in ms.
        override: The override.
        digest: Hash of this instance's overrides.
        fresh: Fresh reports by member.
        members: Members that should have received the override; the values are not used.
        names: Names of members by id.
    """
    confirmed = {member for member, report in fresh.items() if report.overrides_digest == digest}
    return {
        "mode": MODE_NAMES[override.mode],
        "who": override.requested_by,
        "why": override.reason,
        "left_ms": round(override.expires_at - now),
        "author": names.get(override.author, str(override.author)),
        "unconfirmed": sorted(names.get(m, str(m)) for m in members if m not in confirmed),
    }
