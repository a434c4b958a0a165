"""Which instance drives a machine's replacement, and what the driver does. Pure.

A driver is named in the machine's record with an epoch. It changes records by compare-and-set. For other
actions (moving keys, notifying operators) it must have read its own epoch there a moment ago, and a new
driver waits until that moment of the previous one is over.
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

    voters: number of configured voters. step_interval_ms: between steps; idle_interval_ms: while no
    replacement runs. max_read_age_ms: how old a driver's knowledge of its record may be when it acts; a new
    driver waits that long first. driver_read_interval_ms: between reads of a driver; read_interval_ms: of
    others. takeover_stagger_ms: between two that could take over. startup_grace_ms: how long a machine must
    be back before it drives its own replacement again, and nothing is begun after a start. stalled_step_ms:
    an active step that stands still so long is driven by another. calm_period_ms: how long there must have
    been no trouble before a start. operation_timeout_ms: of a register's change. submission_timeout_ms: of a
    request. default_duration_ms: of a machine's replacement, until one was seen.
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
    calm_period_ms: float = 1000.0
    operation_timeout_ms: float = 6000.0
    submission_timeout_ms: float = 20_000.0
    default_duration_ms: float = 20_000.0
    steps: StepSettings = field(default_factory=StepSettings)


@dataclass(slots=True)
class LocalProgress:
    """What this incarnation knows of a machine's replacement besides its record."""

    won_epoch: int = -1
    won_at: float = 0.0
    claimed_epoch: int = -1
    undriven_since: float | None = None
    moving_since: float | None = None
    step: ReplacementStep | None = None
    step_seen_at: float = 0.0
    last_move_at: float = -1e12
    ready_epoch: int = -1
    reasons: list[str] = field(default_factory=list)


@dataclass(slots=True)
class FleetView:
    """What this instance sees.

    zone_troubles, fleet_troubles: why a zone or the fleet is not as usual; last_trouble_at: when that was
    last so. is_complete: the whole chain is known.
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
        """This instance's id among members."""
        return machine_id(self.local_machine)

    def dispatchers(self) -> list[Machine]:
        """Return the dispatchers that are there."""
        return [m for m in self.machines.values() if not m.is_engine]

    def is_outdated(self, name: str, record: MachineRecord) -> bool:
        """Whether the record is older than the plan: it is in progress, and the plan says that it is not."""
        return (
            not record.is_over
            and record.step not in plan.WAITING_STEPS
            and machine_id(name) not in self.plan.active_machine_ids
        )


class MachineDriver:
    """This instance's side of all replacements that it drives or may take over."""

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
        self.keys_by_target: dict[str, int] = {}  # keys moved to each target
        self.abort_deadlines: dict[str, float] = {}  # by machine

    def step(self, now: float, name: str, record: MachineRecord) -> list[Action]:
        """Return what to do about a machine: abort it, drive it, or take it over."""
        progress, cached = self.progress[name], self.registers.register(register_name(name))
        if record.is_over:
            progress.undriven_since, progress.reasons = None, record_reasons(record)
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
            progress.undriven_since = None
            return self._drive(now, name, record, progress, cached)
        progress.reasons = [*record_reasons(record), "driven by another"]
        return self._take_over(now, name, record, progress, cached)

    def _take_over(
        self, now: float, name: str, record: MachineRecord, progress: LocalProgress, cached: CachedRegister
    ) -> list[Action]:
        if not self._is_undriven(now, name, record, cached):
            progress.undriven_since = None
            return []
        if progress.undriven_since is None:
            progress.undriven_since = now
        # An instance that finds its own name there drove it in its previous incarnation: no other will.
        rank = 0 if record.driver == self.view.local_id else self._takeover_position(name, record)
        if rank is None or now - progress.undriven_since < rank * self.settings.takeover_stagger_ms:
            return []
        progress.claimed_epoch = record.epoch + 1
        step = ReplacementStep.AGREED if record.step is ReplacementStep.ASKED else record.step
        return self._change_record(
            now, name, replace(record, step=step, driver=self.view.local_id, epoch=record.epoch + 1)
        )

    def _is_undriven(self, now: float, name: str, record: MachineRecord, cached: CachedRegister) -> bool:
        """Whether no instance that may drive this machine does."""
        if record.driver == self.view.local_id:
            return record.step <= ReplacementStep.DRAINING or name != self.view.local_machine
        if (
            self.view.local_machine == name
            and record.step <= ReplacementStep.DRAINING
            and not record.has_flag(MachineFlag.ENGINE)
        ):
            return (
                now - self.view.started_at > self.settings.startup_grace_ms
            )  # its own again, once it is back
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
        """Return this instance's place among those that may drive a machine; None if it may not."""
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
        """Whether this is the only driver at this moment.

        Its epoch was read from the record lately, and the previous driver has stopped.
        """
        s = self.settings
        return (
            self.registers.is_confirmed(now, register_name(name), s.max_read_age_ms)
            and now - progress.won_at > s.max_read_age_ms * 1.1
        )

    def _with_next_driver(
        self, name: str, record: MachineRecord, next_record: MachineRecord
    ) -> MachineRecord:
        """The record, with another driver for what follows where this machine is taken out itself."""
        if next_record.step is not ReplacementStep.OUT or name != self.view.local_machine:
            return next_record
        others = self._candidates(name, next_record)
        driver = machine_id(others[0]) if others else 0
        return replace(next_record, driver=driver, epoch=record.epoch + 1)

    def _machine_view(
        self, now: float, name: str, record: MachineRecord, progress: LocalProgress, cached: CachedRegister
    ) -> MachineView:
        # An engine that only its driver cannot reach still runs what others have in flight there.
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
            keeps_quorum=not record.has_flag(MachineFlag.VOTER) or self._keeps_quorum(),
            target=self._move_target(name),
            last_move_age_ms=now - progress.last_move_at,
            running_ms=now - progress.moving_since if progress.moving_since is not None else 0.0,
        )

    def _keeps_quorum(self) -> bool:
        return available_voters(self.view.plan, self.view.records, self.view.machines) >= majority(
            self.settings.voters
        )

    def _move_target(self, name: str) -> str:
        """Return the dispatcher that was given the fewest keys so far, in proportion to its cores."""
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
        """Return why nothing may be taken out now; an engine that drains causes load shedding itself."""
        trouble = {
            k: v
            for k, v in self.view.fleet_troubles.items()
            if k != "sheds" or step is not ReplacementStep.DRAINING
        }
        reasons = [*self.view.zone_troubles.values(), *trouble.values()]
        if not reasons and now - self.view.last_trouble_at < self.settings.calm_period_ms:
            reasons = ["all is calm only since a moment"]
        return reasons

    def _start(self, now: float, name: str, record: MachineRecord, progress: LocalProgress) -> list[Action]:
        started_id = machine_id(name)
        if started_id in self.view.plan.active_machine_ids:
            return self._change_record(now, name, replace(record, step=ReplacementStep.MOVING))
        progress.reasons = self._start_blockers(now, name)
        if progress.reasons:
            return []
        # All starts change this one register, so two cannot begin on the same view of the plan.
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
    """Return a sort key: in this order instances take over a machine."""
    return hashlib.blake2b(f"{machine}/{other}".encode(), digest_size=8).digest()


def record_reasons(record: MachineRecord) -> list[str]:
    """Return what a record says besides the step."""
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
