"""Decides whether a machine's replacement may start, by the registers and the present machines;
does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cottonhold.fleet.rolling_replacement.plan import (
    WAITING_STEPS,
    Machine,
    MachineFlag,
    MachineRecord,
    ReplacementPlan,
    StepReason,
    machine_id,
)
from cottonhold.fleet.rolling_replacement.schedule import (
    STUCK_DURATION_MS,
    Limits,
    ReplacementJob,
    Schedule,
    ScheduleConstraints,
)
from cottonhold.fleet.zone_failover.evacuation import majority
from cottonhold.fleet.zone_failover.messages import zone_number

# Receives the missing cores by zone; returns the reasons why they must not be missing.
CapacityCheck = Callable[[Mapping[str, float]], list[str]]
MAX_CHECK_AGE_MS = 500.0  # time for which results of the capacity check are reused


def available_voters(
    plan: ReplacementPlan, records: Mapping[str, MachineRecord], machines: Mapping[str, Machine]
) -> int:
    """Return how many voters are up and neither being replaced nor replacing a machine."""
    active_ids = set(plan.active_machine_ids)
    arriving = {r.replacement for name, r in records.items() if machine_id(name) in active_ids}
    return sum(
        m.is_voter and m.is_voting and m.id not in active_ids and m.name not in arriving
        for m in machines.values()
    )


class StartConditions:
    """Conditions for starting a machine's replacement.

    Args:
        voters: Number of configured voters.
        default_duration_ms: Assumed duration of a replacement until one has been completed, in ms.
        capacity_check: Returns reasons against losing cores, by zone; None to skip the check.
    """

    def __init__(self, voters: int, default_duration_ms: float, capacity_check: CapacityCheck | None) -> None:
        self.voters, self.default_duration_ms = voters, default_duration_ms
        self.capacity_check = capacity_check or (lambda missing_cores: [])
        self.checked_at, self.key = 0.0, tuple[object, ...]()
        self.constraints = ScheduleConstraints(Limits(), lambda missing_cores: [])
        self.schedule: Schedule | None = None

    def blockers(
        self,
        now: float,
        name: str,
        plan: ReplacementPlan,
        records: Mapping[str, MachineRecord],
        machines: Mapping[str, Machine],
    ) -> list[str]:
        """Return why a machine's replacement must not start now; empty if it may."""
        jobs = self._jobs(plan, records, machines)
        active = [jobs[n] for n in jobs if machine_id(n) in plan.active_machine_ids]
        waiting = [jobs[n] for n, r in records.items() if r.step in WAITING_STEPS and jobs[n] not in active]
        limits, zones = (
            self._limits(plan, records, machines),
            {zone_number(m.zone): m.zone for m in machines.values()},
        )
        key = (
            tuple(active),
            tuple(waiting),
            limits.max_concurrent,
            limits.max_zones,
            limits.spare_voters,
            tuple(limits.missing_cores.items()),
        )
        if key != self.key or now - self.checked_at > MAX_CHECK_AGE_MS:
            self.key, self.checked_at, self.schedule = key, now, None
            self.constraints = ScheduleConstraints(
                limits, lambda missing_cores: self._check_capacity(missing_cores, zones)
            )
        # Finding a schedule is expensive, so it is done only for a machine that could start.
        reasons = self.constraints.wait_reasons(jobs[name], active, 0.0)
        if reasons:
            return reasons
        if self.schedule is None:
            self.schedule = self.constraints.find_schedule(waiting, active)
        return self.constraints.wait_reasons(jobs[name], active, self.schedule.start_times[name])

    def _check_capacity(self, missing_cores: Mapping[int, float], zones: Mapping[int, str]) -> list[str]:
        return self.capacity_check(
            {zones.get(zone, str(zone)): cores for zone, cores in missing_cores.items()}
        )

    def _limits(
        self, plan: ReplacementPlan, records: Mapping[str, MachineRecord], machines: Mapping[str, Machine]
    ) -> Limits:
        active = [n for n in records if machine_id(n) in plan.active_machine_ids]
        active_voters = sum(records[n].has_flag(MachineFlag.VOTER) for n in active)
        voters_down = max(self.voters - available_voters(plan, records, machines) - active_voters, 0)
        missing_cores = dict[int, float]()
        for name, record in records.items():
            # For an engine in place, the capacity check reads the lower number of cores from the engine list.
            is_known = record.has_flag(MachineFlag.ENGINE) and record.replacement in machines
            if name not in active and record.missing_cores_tenths() and not is_known:
                missing_cores[record.zone] = (
                    missing_cores.get(record.zone, 0.0) + record.missing_cores_tenths() / 10
                )
        spare_voters = self.voters - majority(self.voters) - voters_down
        return Limits(plan.max_concurrent, plan.max_zones, spare_voters, missing_cores)

    def _jobs(
        self, plan: ReplacementPlan, records: Mapping[str, MachineRecord], machines: Mapping[str, Machine]
    ) -> dict[str, ReplacementJob]:
        durations: dict[bool, list[int]] = {True: [], False: []}
        for r in records.values():
            if r.duration_tenths:
                durations[r.has_flag(MachineFlag.ENGINE)].append(r.duration_tenths)
        jobs = {}
        for name, r in records.items():
            known_durations = durations[r.has_flag(MachineFlag.ENGINE)]
            duration_ms = (
                100.0 * sum(known_durations) / len(known_durations)
                if known_durations
                else self.default_duration_ms
            )
            duration_ms = (
                STUCK_DURATION_MS
                if r.reason in (StepReason.NOT_ARRIVED, StepReason.REPLACEMENT_LEFT)
                else duration_ms
            )
            jobs[name] = ReplacementJob(
                name,
                r.zone,
                self._removed_cores(name, r, plan, machines),
                r.has_flag(MachineFlag.VOTER),
                duration_ms,
            )
        return jobs

    def _removed_cores(
        self, name: str, record: MachineRecord, plan: ReplacementPlan, machines: Mapping[str, Machine]
    ) -> float:
        """Return the cores that are lost while the machine is out, unless they are no longer counted."""
        machine = machines.get(name)
        # An engine that is out is already missing in the fleet snapshot; it must not be subtracted twice.
        is_uncounted = record.has_flag(MachineFlag.ENGINE) and (machine is None or not machine.is_counted)
        return (
            0.0 if is_uncounted and machine_id(name) in plan.active_machine_ids else record.cores_tenths / 10
        )
