"""Selects the instance that drives a machine's replacement, and carries out the driver's steps; does no I/O.

The machine's record names the driver with an epoch. The driver changes the record by compare-and-set. Before
other actions (moving keys, notifying operators) it must have read its own epoch from the record within
`max_read_age_ms`; a new driver first waits for longer than that, so that the previous one has stopped acting.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace

from cottonhold.fleet.consensus.register_cache import CachedRegister, RegisterCache
from cottonhold.fleet.rolling_replacement import plan, plan_codec
from cottonhold.fleet.rolling_replacement.plan import (
    PLAN_REGISTER,
    Machine,
    MachineFlag,
    MachineRecord,
    ReplacementPlan,
    ReplacementStep,
    StepReason,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.start_conditions import (
    CapacityCheck,
    StartConditions,
    available_voters,
)
from cottonhold.fleet.rolling_replacement.step_decision import (
    Action,
    MachineView,
    MoveKeys,
    ReadyToPowerOff,
    StepSettings,
    decide_step,
)
from cottonhold.fleet.zone_failover.evacuation import majority


@dataclass(slots=True, frozen=True)
class ReplacementSettings:
    """Times of rolling replacement.

    Attributes:
        voters: Number of configured voters.
        step_interval_ms: Interval between steps while a replacement is in progress, in ms.
        idle_interval_ms: Interval between steps otherwise, in ms.
        max_read_age_ms: Maximum age of a driver's last read of the record when it acts, in ms.
        driver_read_interval_ms: Interval at which a driver reads its machine's register, in ms.
        read_interval_ms: Interval at which other instances read registers, in ms.
        takeover_stagger_ms: Delay between one instance's turn to take over and the next one's, in ms.
        startup_grace_ms: Time after its start until an instance takes over its own replacement again, in ms;
            also the time until it undoes a submission that no live instance continues.
        stalled_step_ms: Time without a change of an active step until another instance takes over, in ms.
        stable_period_ms: Time without trouble before a machine may be taken out, in ms.
        operation_timeout_ms: Time after which a pending change of a register is given up, in ms.
        submission_timeout_ms: Maximum time of a request's submission, and of setting the abort flag, in ms.
        default_duration_ms: Assumed duration of a replacement until one has been completed, in ms.
        steps: Times of the steps.
    """

    voters: int = 1
    step_interval_ms: float = 50.0
    idle_interval_ms: float = 250.0
    max_read_age_ms: float = 400.0
    driver_read_interval_ms: float = 150.0
    read_interval_ms: float = 1000.0
    takeover_stagger_ms: float = 250.0
    startup_grace_ms: float = 1000.0
    stalled_step_ms: float = 30_000.0
    stable_period_ms: float = 1000.0
    operation_timeout_ms: float = 6000.0
    submission_timeout_ms: float = 20_000.0
    default_duration_ms: float = 20_000.0
    steps: StepSettings = field(default_factory=StepSettings)


@dataclass(slots=True)
class LocalProgress:
    """This instance's observations of a machine's replacement since its start, apart from the record."""

    won_epoch: int = -1  # epoch under which this instance is the driver
    won_at: float = 0.0
    claimed_epoch: int = -1  # epoch of this instance's last attempt to become the driver
    driver_needed_since: float | None = None
    moving_since: float | None = None
    step: ReplacementStep | None = None
    step_seen_at: float = 0.0
    last_move_at: float = -1e12
    ready_epoch: int = -1  # last epoch for which operators were notified that it may be powered off
    reasons: list[str] = field(default_factory=list)


@dataclass(slots=True)
class FleetView:
    """This instance's view of the fleet and of the registers.

    Attributes:
        local_machine: Name of this instance.
        started_at: When this instance started.
        machines: Present machines by name.
        last_seen_at: When each machine was last present, by name.
        remaining_keys: Number of keys that machines still own, by name.
        open_requests: Number of open requests at machines, by name.
        traffic_shares: Fraction of their normal traffic that replacements receive, by name.
        zone_troubles: Reasons why zones are not in normal use, by zone.
        fleet_troubles: Reasons why the fleet is not in normal operation, by condition.
        last_trouble_at: When such a reason was last removed, or the start of this instance.
        plan: The plan.
        records: Machine records by name, in the order of the chain.
        is_complete: Whether the plan and all records of the chain are known.
    """

    local_machine: str
    started_at: float
    machines: dict[str, Machine] = field(default_factory=dict)
    last_seen_at: dict[str, float] = field(default_factory=dict)
    remaining_keys: dict[str, int] = field(default_factory=dict)
    open_requests: dict[str, int] = field(default_factory=dict)
    traffic_shares: dict[str, float] = field(default_factory=dict)
    zone_troubles: dict[str, str] = field(default_factory=dict)
    fleet_troubles: dict[str, str] = field(default_factory=dict)
    last_trouble_at: float = 0.0
    plan: ReplacementPlan = field(default_factory=ReplacementPlan)
    records: dict[str, MachineRecord] = field(default_factory=dict)
    is_complete: bool = False

    @property
    def local_id(self) -> int:
        """The member id of this instance."""
        return machine_id(self.local_machine)

    def dispatchers(self) -> list[Machine]:
        """Return the present dispatchers."""
        return [m for m in self.machines.values() if not m.is_engine]

    def is_outdated(self, name: str, record: MachineRecord) -> bool:
        """Return whether the record is older than the plan: it is in progress, but not active in the plan."""
        return (
            not record.is_over
            and record.step not in plan.WAITING_STEPS
            and machine_id(name) not in self.plan.active_machine_ids
        )


class MachineDriver:
    """Drives replacements at this instance, and takes over those whose driver is absent."""

    def __init__(
        self,
        view: FleetView,
        registers: RegisterCache,
        settings: ReplacementSettings,
        capacity_check: CapacityCheck | None,
    ) -> None:
        self.view, self.registers, self.settings = view, registers, settings
        self.start_conditions = StartConditions(settings.voters, settings.default_duration_ms, capacity_check)
        self.progress: dict[str, LocalProgress] = {}
        self.keys_by_target: dict[str, int] = {}  # number of keys requested to be moved, by proposed target
        self.abort_deadlines: dict[str, float] = {}  # by machine: time at which a requested abort is given up

    def step(self, now: float, name: str, record: MachineRecord) -> list[Action]:
        """Return the actions that abort, drive or take over a machine's replacement."""
        progress, cached = self.progress[name], self.registers.register(register_name(name))
        if record.is_over:
            progress.driver_needed_since, progress.reasons = None, record_reasons(record)
            self.abort_deadlines.pop(name, None)
            return []
        if self.abort_deadlines.get(name, 0.0) > now and not record.has_flag(MachineFlag.ABORTING):
            return self._change_record(now, name, replace(record, flags=record.flags | MachineFlag.ABORTING))
        if (
            record.driver == self.view.local_id
            and record.epoch == progress.claimed_epoch != progress.won_epoch
        ):
            progress.won_epoch, progress.won_at = record.epoch, now
        if record.driver == self.view.local_id and record.epoch == progress.won_epoch:
            progress.driver_needed_since = None
            return self._drive(now, name, record, progress, cached)
        progress.reasons = [*record_reasons(record), "driven by another"]
        return self._take_over(now, name, record, progress, cached)

    def _take_over(
        self, now: float, name: str, record: MachineRecord, progress: LocalProgress, cached: CachedRegister
    ) -> list[Action]:
        if not self._needs_new_driver(now, name, record, cached):
            progress.driver_needed_since = None
            return []
        if progress.driver_needed_since is None:
            progress.driver_needed_since = now
        # If the record names this instance, its previous incarnation was the driver; no other takes over.
        rank = 0 if record.driver == self.view.local_id else self._takeover_position(name, record)
        if rank is None or now - progress.driver_needed_since < rank * self.settings.takeover_stagger_ms:
            return []
        progress.claimed_epoch = record.epoch + 1
        step = ReplacementStep.AGREED if record.step is ReplacementStep.ASKED else record.step
        return self._change_record(
            now, name, replace(record, step=step, driver=self.view.local_id, epoch=record.epoch + 1)
        )

    def _needs_new_driver(self, now: float, name: str, record: MachineRecord, cached: CachedRegister) -> bool:
        """Return whether the driver must be replaced: it is absent, stalled, or must not drive this step."""
        if record.driver == self.view.local_id:
            return record.step <= ReplacementStep.DRAINING or name != self.view.local_machine
        if (
            self.view.local_machine == name
            and record.step <= ReplacementStep.DRAINING
            and not record.has_flag(MachineFlag.ENGINE)
        ):
            # After a restart this dispatcher drives its own replacement again.
            return now - self.view.started_at > self.settings.startup_grace_ms
        live = {m.id for m in self.view.machines.values() if not m.is_engine}
        if (
            record.driver not in live
            or record.driver == machine_id(name)
            and record.step > ReplacementStep.DRAINING
        ):
            return True
        active = record.step in (ReplacementStep.MOVING, ReplacementStep.DRAINING, ReplacementStep.IN_PLACE)
        return active and now - cached.first_seen_at > self.settings.stalled_step_ms

    def _takeover_position(self, name: str, record: MachineRecord) -> int | None:
        """Return this instance's position in the order of takeover, or None if it may not take over."""
        ranked = self._candidates(name, record)
        return ranked.index(self.view.local_machine) if self.view.local_machine in ranked else None

    def _candidates(self, name: str, record: MachineRecord) -> list[str]:
        active_ids = set(self.view.plan.active_machine_ids)
        live = self.view.dispatchers()
        others = [
            m.name for m in live if m.name != name and m.id not in active_ids and m.name != record.replacement
        ]
        ranked = sorted(others, key=lambda other: takeover_order(name, other))
        drives_itself = (
            name in self.view.machines
            and not self.view.machines[name].is_engine
            and record.step <= ReplacementStep.DRAINING
        )
        return [name, *ranked] if drives_itself else ranked

    def _drive(
        self, now: float, name: str, record: MachineRecord, progress: LocalProgress, cached: CachedRegister
    ) -> list[Action]:
        if record.step is ReplacementStep.AGREED and not record.has_flag(MachineFlag.ABORTING):
            return self._start(now, name, record, progress)
        view = self._machine_view(now, name, record, progress, cached)
        decision = decide_step(name, record, view, self.settings.steps)
        progress.reasons = [*record_reasons(record), *decision.reasons]
        if decision.record is not None:
            return self._change_record(now, name, self._with_next_driver(name, record, decision.record))
        if not self._is_sole_driver(now, name, progress):
            return []
        actions = list[Action]()
        for action in decision.actions:
            if isinstance(action, MoveKeys):
                progress.last_move_at = now
                self.keys_by_target[action.target] = self.keys_by_target.get(action.target, 0) + min(
                    action.max_keys, self.view.remaining_keys.get(name, 0)
                )
            if isinstance(action, ReadyToPowerOff):
                if progress.ready_epoch == record.epoch:
                    continue
                progress.ready_epoch = record.epoch
            actions.append(action)
        return actions

    def _is_sole_driver(self, now: float, name: str, progress: LocalProgress) -> bool:
        """Return whether this instance is the only driver now.

        It has read its epoch from the record recently, and the previous driver has stopped acting.
        """
        settings = self.settings
        return (
            self.registers.is_confirmed(now, register_name(name), settings.max_read_age_ms)
            and now - progress.won_at > settings.max_read_age_ms * 1.1
        )

    def _with_next_driver(
        self, name: str, record: MachineRecord, next_record: MachineRecord
    ) -> MachineRecord:
        """Return the record; if it takes this instance out, it names another instance as driver."""
        if next_record.step is not ReplacementStep.OUT or name != self.view.local_machine:
            return next_record
        others = self._candidates(name, next_record)
        driver = machine_id(others[0]) if others else 0
        return replace(next_record, driver=driver, epoch=record.epoch + 1)

    def _machine_view(
        self, now: float, name: str, record: MachineRecord, progress: LocalProgress, cached: CachedRegister
    ) -> MachineView:
        # An engine that only the driver cannot reach may still run requests of other dispatchers.
        is_present = name == self.view.local_machine or record.has_flag(MachineFlag.ENGINE)
        return MachineView(
            step_age_ms=now - progress.step_seen_at,
            machines=self.view.machines,
            blocked_reasons=self._blocked_reasons(now, record.step),
            remaining_keys=self.view.remaining_keys.get(name),
            open_requests=self.view.open_requests.get(name),
            absent_ms=0.0 if is_present else now - self.view.last_seen_at.get(name, self.view.started_at),
            replacement_absent_ms=now - self.view.last_seen_at.get(record.replacement, self.view.started_at),
            traffic_share=self.view.traffic_shares.get(record.replacement),
            leaves_quorum=not record.has_flag(MachineFlag.VOTER) or self._leaves_quorum(),
            target=self._move_target(name),
            last_move_age_ms=now - progress.last_move_at,
            running_ms=now - progress.moving_since if progress.moving_since is not None else 0.0,
        )

    def _leaves_quorum(self) -> bool:
        return available_voters(self.view.plan, self.view.records, self.view.machines) >= majority(
            self.settings.voters
        )

    def _move_target(self, name: str) -> str:
        """Return the dispatcher that has received the fewest keys per core so far, or ""."""
        active_ids = set(self.view.plan.active_machine_ids)
        candidates = [
            m
            for m in self.view.machines.values()
            if not m.is_engine and m.name != name and m.id not in active_ids
        ]
        best = min(
            candidates,
            key=lambda m: (self.keys_by_target.get(m.name, 0) / max(m.cores, 0.1), m.name),
            default=None,
        )
        return best.name if best is not None else ""

    def _blocked_reasons(self, now: float, step: ReplacementStep) -> list[str]:
        """Return why no machine may be taken out now.

        Load shedding does not block DRAINING, since a draining engine may cause it.
        """
        trouble = {
            k: v
            for k, v in self.view.fleet_troubles.items()
            if k != "sheds" or step is not ReplacementStep.DRAINING
        }
        reasons = [*self.view.zone_troubles.values(), *trouble.values()]
        if not reasons and now - self.view.last_trouble_at < self.settings.stable_period_ms:
            reasons = ["all is calm only since a moment"]
        return reasons

    def _start(self, now: float, name: str, record: MachineRecord, progress: LocalProgress) -> list[Action]:
        started_id = machine_id(name)
        if started_id in self.view.plan.active_machine_ids:
            return self._change_record(now, name, replace(record, step=ReplacementStep.MOVING))
        progress.reasons = self._start_blockers(now, name)
        if progress.reasons:
            return []
        # All starts change this register, so two machines cannot start based on the same state of the plan.
        started_plan = replace(
            self.view.plan, active_machine_ids=(*self.view.plan.active_machine_ids, started_id)
        )
        return list(self.registers.change(now, PLAN_REGISTER, plan_codec.encode_plan(started_plan)))

    def _start_blockers(self, now: float, name: str) -> list[str]:
        """Return why a machine may not start now."""
        if not self.view.is_complete:
            return ["not all registers are known yet"]
        if outdated := [n for n, r in self.view.records.items() if self.view.is_outdated(n, r)]:
            return [f"the end of '{outdated[0]}' is not known yet"]
        if name not in self.view.machines:
            return [f"'{name}' is not there"]
        if reasons := self._blocked_reasons(now, ReplacementStep.AGREED):
            return reasons
        return self.start_conditions.blockers(
            now, name, self.view.plan, self.view.records, self.view.machines
        )

    def _change_record(self, now: float, name: str, record: MachineRecord) -> list[Action]:
        return list(self.registers.change(now, register_name(name), plan_codec.encode_record(record)))


def takeover_order(machine: str, other: str) -> bytes:
    """Return the sort key of the order in which instances take over a machine."""
    return hashlib.blake2b(f"{machine}/{other}".encode(), digest_size=8).digest()


def record_reasons(record: MachineRecord) -> list[str]:
    """Return the reasons that a record holds, as shown to operators."""
    reasons = []
    if (
        record.reason is StepReason.SMALLER
        or record.arrived_cores_tenths
        and record.arrived_cores_tenths < record.requested_cores_tenths
    ):
        arrived, requested = record.arrived_cores_tenths / 10, record.requested_cores_tenths / 10
        reasons.append(f"'{record.replacement}' came with {arrived:g} cores of {requested:g} told")
    if record.reason is StepReason.TIMED_OUT:
        reasons.append("moving or draining took too long")
    if record.has_flag(MachineFlag.ABORTING):
        reasons.append("aborted by hand")
    return reasons
