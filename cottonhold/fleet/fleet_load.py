"""Estimate the work that clients offer to each instance and to the whole fleet; does no I/O."""

from __future__ import annotations

from collections.abc import Collection

from cottonhold.fleet.admission.demand_sharing import DemandSharing
from cottonhold.fleet.zone_failover.offered_load import OfferedLoad
from cottonhold.fleet.zone_failover.reporting import ZoneReporting


class FleetLoad:
    """Computes the load of all instances from this instance's own load and the reports of others.

    Args:
        self_id: Id of this instance.
        offered_load: Load of this instance, from the usual work of its requests.
        reporting: Reports of the other instances.
        declared_demand: Demand from the work that requests declare, or None. If given, it is used for the
            shares of the load: after a restart an instance has not yet learned the usual work of its
            requests.
    """

    def __init__(
        self,
        self_id: int,
        offered_load: OfferedLoad,
        reporting: ZoneReporting,
        declared_demand: DemandSharing | None,
    ) -> None:
        self.self_id, self.offered_load, self.reporting = self_id, offered_load, reporting
        self.declared_demand = declared_demand

    def total_cores(self, now: float, live: Collection[int]) -> float:
        """Return the work offered to the whole fleet, in cores.

        `live` are the other members; those without a report are assumed to have the mean load.
        """
        return _total(self._offered_cores(now), 1 + len(live))

    def shares(self, now: float, live: Collection[int]) -> dict[int, float]:
        """Return each member's share of the load of the whole fleet; empty without any load."""
        members = {self.self_id, *live}
        if self.declared_demand is not None:
            cores = self.declared_demand.offered_cores(now, live)
        else:
            cores = self._offered_cores(now)
        total = _total(cores, len(members))
        if total <= 0:
            return {}
        mean = total / len(members)
        return {member: cores.get(member, mean) / total for member in members}

    def _offered_cores(self, now: float) -> dict[int, float]:
        """Return the work offered to each instance with a fresh report and to this one, in cores."""
        local_cores = self.offered_load.cores(now)
        others = {report.member: report.offered_centicores / 100 for report in self.reporting.fresh}
        return {self.self_id: local_cores, **others}


def _total(cores: dict[int, float], member_count: int) -> float:
    """Return the sum over all members, assuming the mean for those without an entry."""
    return sum(cores.values()) * member_count / len(cores)
