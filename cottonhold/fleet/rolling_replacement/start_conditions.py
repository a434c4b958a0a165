"""Whether a machine's replacement may start now, by what registers and members show. Pure."""

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

CapacityCheck = Callable[[Mapping[str, float]], list[str]]
MAX_CHECK_AGE_MS = 500.0


def available_voters(
    plan: ReplacementPlan, records: Mapping[str, MachineRecord], machines: Mapping[str, Machine]
) -> int:
    """Return how many voters are up and stay so: neither out, nor replacing one that is out."""
    out = set(plan.machines_out)
    away = {r.replacement for name, r in records.items() if machine_id(name) in out}
    return sum(
        m.is_voter and m.is_voting and m.id not in out and m.name not in away for m in machines.values()
    )


class StartConditions:
    """Conditions on starting a machine's replacement.

    voters: configured ones. default_duration_ms: of a replacement, until one was seen. capacity_check:
    reasons against losing cores by zone.
    """

    def __init__(self, voters: int, default_duration_ms: float, capacity_check: CapacityCheck | None) -> None:
        self.voters, self.default_duration_ms = voters, default_duration_ms
        self.capacity_check = capacity_check or (lambda out: [])
        self.checked_at, self.key = 0.0, tuple[object, ...]()
        self.constraints = ScheduleConstraints(Limits(), lambda out: [])
        self.schedule: Schedule | None = None

    def blockers(
        self,
        now: float,
        name: str,
        plan: ReplacementPlan,
        records: Mapping[str, MachineRecord],
        machines: Mapping[str, Machine],
    ) -> list[str]:
        """Return why a machine may not start now."""
        jobs = self._jobs(plan, records, machines)
        out = [jobs[n] for n in jobs if machine_id(n) in plan.machines_out]
        waiting = [jobs[n] for n, r in records.items() if r.step in WAITING_STEPS and jobs[n] not in out]
        limits, zones = (
            self._limits(plan, records, machines),
            {zone_number(m.zone): m.zone for m in machines.values()},
        )
        key = (
            tuple(out),
            tuple(waiting),
            limits.max_out,
            limits.max_zones,
            limits.spare_voters,
            tuple(limits.missing_cores.items()),
        )
        if key != self.key or now - self.checked_at > MAX_CHECK_AGE_MS:
            self.key, self.checked_at, self.schedule = key, now, None
            self.constraints = ScheduleConstraints(limits, lambda lost: self._check_capacity(lost, zones))
        # The schedule is costly, so it is sought only for a machine that could start.
        why = self.constraints.wait_reasons(jobs[name], out, 0.0)
        if why:
            return why
        if self.schedule is None:
            self.schedule = self.constraints.find_schedule(waiting, out)
        return self.constraints.wait_reasons(jobs[name], out, self.schedule.start_times[name])

    def _check_capacity(self, lost: Mapping[int, float], zones: Mapping[int, str]) -> list[str]:
        return self.capacity_check({zones.get(zone, str(zone)): cores for zone, cores in lost.items()})

    def _limits(
        self, plan: ReplacementPlan, records: Mapping[str, MachineRecord], machines: Mapping[str, Machine]
    ) -> Limits:
        out = [n for n in records if machine_id(n) in plan.machines_out]
        voters_out = sum(records[n].has_flag(MachineFlag.VOTER) for n in out)
        down = max(self.voters - available_voters(plan, records, machines) - voters_out, 0)
        lacking = dict[int, float]()
        for name, record in records.items():
            # A smaller engine in place is in the endpoint list with its cores, so they are known there.
            known = record.has_flag(MachineFlag.ENGINE) and record.replacement in machines
            if name not in out and record.missing_cores_tenths() and not known:
                lacking[record.zone] = lacking.get(record.zone, 0.0) + record.missing_cores_tenths() / 10
        spare = self.voters - majority(self.voters) - down
        return Limits(plan.max_out, plan.max_zones, spare, lacking)

    def _jobs(
        self, plan: ReplacementPlan, records: Mapping[str, MachineRecord], machines: Mapping[str, Machine]
    ) -> dict[str, ReplacementJob]:
        durations: dict[bool, list[int]] = {True: [], False: []}
        for r in records.values():
            if r.duration_tenths:
                durations[r.has_flag(MachineFlag.ENGINE)].append(r.duration_tenths)
        jobs = {}
        for name, r in records.items():
            known = durations[r.has_flag(MachineFlag.ENGINE)]
            duration_ms = 100.0 * sum(known) / len(known) if known else self.default_duration_ms
            duration_ms = (
                STUCK_DURATION_MS
                if r.reason in (StepReason.NOT_ARRIVED, StepReason.LEFT_AGAIN)
                else duration_ms
            )
            jobs[name] = ReplacementJob(
                name,
                r.zone,
                self._lost_cores(name, r, plan, machines),
                r.has_flag(MachineFlag.VOTER),
                duration_ms,
            )
        return jobs

    def _lost_cores(
        self, name: str, record: MachineRecord, plan: ReplacementPlan, machines: Mapping[str, Machine]
    ) -> float:
        """Return the cores that are lost, besides those that are counted no longer."""
        machine = machines.get(name)
        # An engine that is out is not in the fleet snapshot any more; its cores must not be counted twice.
        gone = record.has_flag(MachineFlag.ENGINE) and (machine is None or not machine.is_counted)
        return 0.0 if gone and machine_id(name) in plan.machines_out else record.cores_tenths / 10
