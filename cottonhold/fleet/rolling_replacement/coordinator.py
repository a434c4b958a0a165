"""Rolling replacement at one instance: drives machines' replacements and maintains the plan; does no I/O.

The state of a replacement is the machine's record in its register, which is changed only by compare-and-set;
an instance holds only what it has observed of it. Each replacement has one driver, which the record names
with an epoch: the machine itself until it is out, then the first instance in the order of a hash. If the
driver is absent, the other instances try in this order to take over; an earlier driver then finds that the
epoch has changed. See docs/design/swap.md.

The caller reports machines, zones, keys, open requests and the outcomes of register operations, and calls
`step` at `next_at` at the latest.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.rolling_replacement import plan, plan_codec
from cottonhold.fleet.rolling_replacement.machine_driver import (
    FleetView,
    LocalProgress,
    MachineDriver,
    ReplacementSettings,
    takeover_order,
)
from cottonhold.fleet.rolling_replacement.plan import (
    PLAN_REGISTER,
    Machine,
    MachineFlag,
    MachineRecord,
    PlanState,
    ReplacementPlan,
    ReplacementRequest,
    ReplacementStep,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.plan_submission import PlanSubmission, without_submission
from cottonhold.fleet.rolling_replacement.start_conditions import CapacityCheck
from cottonhold.fleet.rolling_replacement.step_decision import (
    Action,
    Drain,
    LogStep,
    ReadyToPowerOff,
    RequestAnswered,
    Undrain,
)
from cottonhold.fleet.zone_failover.messages import zone_number


@dataclass(slots=True, frozen=True)
class StatusRow:
    """The status of one machine's replacement; `changed_at` is when its record last changed (local clock)."""

    machine: str
    replacement: str
    step: ReplacementStep
    changed_at: float
    requested_by: str
    driver: str
    epoch: int
    reasons: list[str]


class ReplacementCoordinator:
    """Rolling replacement at one instance. Times are in ms of the local clock.

    Args:
        local_machine: The name of this instance.
        now: The current time.
        settings: Times of rolling replacement.
        seed: Seed of the random numbers for tokens and read intervals.
        capacity_check: Returns reasons against losing cores, by zone; None to skip the check.
    """

    def __init__(
        self,
        local_machine: str,
        now: float,
        settings: ReplacementSettings,
        seed: int,
        capacity_check: CapacityCheck | None = None,
    ) -> None:
        self.settings, self.random_source = settings, random.Random(seed)
        self.view = FleetView(local_machine, now, last_trouble_at=now)
        self.registers = RegisterCache(self.random_source, settings.operation_timeout_ms)
        self.driver = MachineDriver(self.view, self.registers, settings, capacity_check)
        self.drained: set[str] = set()
        self.submission: PlanSubmission | None = None
        self.cleanup_needed_since: float | None = None
        self.lock_seen: tuple[int, float] = (0, now)
        self.pending_actions: list[Action] = []
        self.malformed_count = 0
        self.all_read, self.read_since = False, now
        self.next_step_at = now

    def request(self, now: float, replacement: ReplacementRequest) -> None:
        """Submit an operator's request; `step` returns a RequestAnswered later.

        Raises:
            PlanError: The request is invalid, or another request is being submitted here.
        """
        if self.submission is not None:
            raise plan.PlanError(f"a request by {self.submission.request.requested_by} is being laid here")
        plan.check_request(replacement, self.view.machines)
        self.submission, self.next_step_at = (
            PlanSubmission(self.view.local_id, replacement, now + self.settings.submission_timeout_ms),
            now,
        )

    def abort(self, now: float, requested_by: str, reason: str, machine: str = "") -> None:
        """Abort a machine's replacement, or all replacements if `machine` is empty.

        Raises:
            PlanError: No such replacement is in progress.
        """
        names = [n for n, r in self.view.records.items() if not r.is_over and machine in ("", n)]
        if not names:
            raise plan.PlanError(f"no swap of '{machine}' runs" if machine else "no swap runs")
        for name in names:
            self.driver.abort_deadlines[name] = now + self.settings.submission_timeout_ms
            self.pending_actions.append(LogStep(name, None, f"abort requested by {requested_by}: {reason}"))
        self.next_step_at = now

    def set_machines(self, now: float, machines: Iterable[Machine]) -> None:
        """Set the present machines: engines and dispatchers, including this instance."""
        self.view.machines = {m.name: m for m in machines}
        self.view.last_seen_at.update(dict.fromkeys(self.view.machines, now))

    def set_zone_trouble(self, now: float, zone: str, trouble: str) -> None:
        """Set why a zone is evacuated or returning; "" if it is in normal use."""
        self._set_trouble(now, self.view.zone_troubles, zone, trouble and f"zone {zone}: {trouble}")

    def set_fleet_trouble(self, now: float, what: str, trouble: str) -> None:
        """Set a condition of the fleet because of which no machine may be taken out.

        Args:
            now: The current time.
            what: Name of the condition, such as load shedding or recovery.
            trouble: Description of the condition; "" once it is over.
        """
        self._set_trouble(now, self.view.fleet_troubles, what, trouble)

    def set_remaining_keys(self, now: float, machine: str, count: int | None) -> None:
        """Set how many keys a machine still owns, counted in its current step; None if unknown."""
        if count is None:
            self.view.remaining_keys.pop(machine, None)
        else:
            self.view.remaining_keys[machine] = count

    def set_open_requests(self, now: float, machine: str, count: int | None) -> None:
        """Set how many requests are open at a dispatcher, or at an engine from all dispatchers.

        `count` is None if the number is unknown.
        """
        if count is None:
            self.view.open_requests.pop(machine, None)
        else:
            self.view.open_requests[machine] = count

    def set_traffic_share(self, now: float, machine: str, share: float) -> None:
        """Set the fraction of its normal traffic that a replacement receives."""
        self.view.traffic_shares[machine] = share

    def on_outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """Apply the outcome of an operation on a register; `won` is None if the outcome is unknown."""
        if self.registers.on_outcome(now, token, won, version, value):
            self.next_step_at = now

    def on_register_changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Apply a register's value that another member announced."""
        if name.startswith(PLAN_REGISTER):
            self.registers.on_hint(now, name, version, value)
            self.next_step_at = min(self.next_step_at, now + self.settings.step_interval_ms)

    def _set_trouble(self, now: float, troubles: dict[str, str], key: str, trouble: str) -> None:
        if trouble:
            troubles[key] = trouble
        elif troubles.pop(key, ""):
            self.view.last_trouble_at = now

    def next_at(self) -> float:
        """Return when `step` is due."""
        return self.next_step_at

    def step(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        if now < self.next_step_at:
            return []
        is_idle = not self.view.plan.first_machine and self.submission is None and not self.pending_actions
        self.next_step_at = now + (
            self.settings.idle_interval_ms if is_idle else self.settings.step_interval_ms
        )
        self.view.last_seen_at.update(dict.fromkeys(self.view.machines, now))
        actions, self.pending_actions = self.pending_actions, []
        actions += self._read_registers(now)
        if self.submission is not None:
            actions += self._submit(now, self.submission)
        for name, record in self.view.records.items():
            actions += self.driver.step(now, name, record)
        actions += self._drain_actions(now)
        return actions + self._clean_up(now)

    def status(self) -> list[StatusRow]:
        """Return the status of each machine's replacement, in the order of the chain."""
        names = {m.id: m.name for m in self.view.machines.values()}
        rows = []
        for name, record in self.view.records.items():
            unknown_driver = f"{record.driver:x}" if record.driver else ""
            row = StatusRow(
                machine=name,
                replacement=record.replacement,
                step=record.step,
                changed_at=self.registers.register(register_name(name)).first_seen_at,
                requested_by=record.requested_by,
                driver=names.get(record.driver, unknown_driver),
                epoch=record.epoch,
                reasons=self.driver.progress[name].reasons,
            )
            rows.append(row)
        return rows

    def _read_registers(self, now: float) -> list[Action]:
        """Read the registers that are due and update the view from their values."""
        settings, actions = self.settings, list[Action]()
        interval_ms = settings.read_interval_ms * (0.8 + 0.4 * self.random_source.random())
        actions += self.registers.read(now, PLAN_REGISTER, interval_ms)
        cached = self.registers.received(PLAN_REGISTER)
        try:
            self.view.plan = plan_codec.decode_plan(cached.value if cached else b"")
            chain = self._walk_chain(now, actions, interval_ms)
        except MessageError:
            self.malformed_count += 1
            chain, self.view.is_complete = {}, False
        self.view.is_complete = self.view.is_complete and cached is not None
        self.view.records = chain
        for name, record in chain.items():
            progress = self.driver.progress.setdefault(name, LocalProgress())
            if progress.step is not record.step:
                actions.append(LogStep(name, record.step, ""))
                progress.step, progress.step_seen_at = record.step, now
                # In DRAINING the number includes the entry in the membership table; one from MOVING does not.
                self.view.remaining_keys.pop(name, None)
                if record.step is ReplacementStep.MOVING:
                    progress.moving_since = now
        for name in self.driver.progress.keys() - chain.keys():
            if self.view.is_complete:
                del self.driver.progress[name]
        return actions

    def _walk_chain(self, now: float, actions: list[Action], interval_ms: float) -> dict[str, MachineRecord]:
        chain, name, current_plan = dict[str, MachineRecord](), self.view.plan.first_machine, self.view.plan
        self.view.is_complete = False
        while name and name not in chain:
            key = register_name(name)
            cached = self.registers.received(key)
            record = plan_codec.decode_record(cached.value) if cached else None
            # A record of an earlier replacement would link to an earlier chain.
            if (
                record is None
                or not current_plan.first_serial <= record.serial <= current_plan.serial
                or self.view.is_outdated(name, record)
            ):
                actions += self.registers.read(now, key, self.settings.driver_read_interval_ms)
                if record is None or not current_plan.first_serial <= record.serial <= current_plan.serial:
                    return chain
            elif not record.is_over:
                is_driver = record.driver == self.view.local_id and record.step not in plan.WAITING_STEPS
                actions += self.registers.read(
                    now, key, self.settings.driver_read_interval_ms if is_driver else interval_ms
                )
            chain[name], name = record, record.next_machine
        self.view.is_complete = not name
        return chain

    def _submit(self, now: float, submission: PlanSubmission) -> list[Action]:
        numbers = {m.zone: zone_number(m.zone) for m in self.view.machines.values()}
        chain = self.view.records if self.view.is_complete else None
        actions = submission.step(now, self.registers, self.view.plan, chain, self.view.machines, numbers)
        if submission.answer is not None:
            actions.append(RequestAnswered(submission.request, submission.answer))
            self.submission = None
        return actions

    def _drain_actions(self, now: float) -> list[Action]:
        """Return the actions that drain or undrain this machine and engines according to their records."""
        wanted = set[str]()
        for name, r in self.view.records.items():
            if r.has_flag(MachineFlag.ENGINE):
                wanted |= {name} if self._is_withheld(name, r) else set()
                continue
            if name == self.view.local_machine and self._must_not_serve(r):
                wanted.add(name)
        actions: list[Action] = [Drain(name) for name in sorted(wanted - self.drained)]
        # While a part of the chain is being read again, its machines seem to have no records.
        released = self.drained - wanted if self.view.is_complete else set[str]()
        actions += [Undrain(name) for name in sorted(released)]
        self.drained = (self.drained | wanted) - released
        record = self.view.records.get(self.view.local_machine)
        if record is not None and record.step is ReplacementStep.OUT and self.view.local_machine in wanted:
            progress = self.driver.progress[self.view.local_machine]
            if progress.ready_epoch != record.epoch and not record.has_flag(MachineFlag.ABORTING):
                progress.ready_epoch = record.epoch
                actions.append(ReadyToPowerOff(self.view.local_machine, record.epoch))
        return actions

    def _must_not_serve(self, record: MachineRecord) -> bool:
        """Return whether this machine must reject clients: it is draining, or out and not restarted since."""
        if record.step is ReplacementStep.DRAINING:
            return True
        is_same_incarnation = self._local_incarnation() == record.incarnation
        return record.step is ReplacementStep.OUT and is_same_incarnation

    def _is_withheld(self, name: str, record: MachineRecord) -> bool:
        """Return whether no new requests may be sent to an engine.

        That holds from DRAINING until an engine with its name is in place, or permanently if its replacement
        has another name and is not aborted.
        """
        if record.step in (ReplacementStep.DRAINING, ReplacementStep.OUT):
            return True
        is_after = record.step in (ReplacementStep.IN_PLACE, ReplacementStep.RAMPING, ReplacementStep.DONE)
        is_replaced = record.replacement != name and not record.has_flag(MachineFlag.ABORTING)
        return is_after and is_replaced

    def has_read_all(self) -> bool:
        """Return whether all records were read from a majority since the start or the last `on_pause`."""
        if not self.all_read and self.view.is_complete:
            names = [
                PLAN_REGISTER,
                *(register_name(n) for n, r in self.view.records.items() if not r.is_over),
            ]
            self.all_read = all(self.registers.register(n).confirmed_at >= self.read_since for n in names)
        return self.all_read

    def on_pause(self, now: float) -> None:
        """Record that this instance was paused, so that its view of the registers may be out of date."""
        self.all_read, self.read_since, self.next_step_at = False, now, now

    def _local_incarnation(self) -> int:
        machine = self.view.machines.get(self.view.local_machine)
        return machine.incarnation & 0xFFFFFFFF if machine is not None else -1

    def _clean_up(self, now: float) -> list[Action]:
        """Remove finished machines from the plan, and undo a submission whose instance failed.

        Any instance may do this; they try one after the other, so that they seldom compete.
        """
        cleaned_plan = self._cleaned_plan(now)
        if cleaned_plan == self.view.plan:
            self.cleanup_needed_since = None
            return []
        if self.cleanup_needed_since is None:
            self.cleanup_needed_since = now
        live = sorted(
            (m.name for m in self.view.machines.values() if not m.is_engine),
            key=lambda n: takeover_order(PLAN_REGISTER, n),
        )
        rank = live.index(self.view.local_machine) if self.view.local_machine in live else len(live)
        if now - self.cleanup_needed_since < rank * self.settings.takeover_stagger_ms:
            return []
        return list(self.registers.change(now, PLAN_REGISTER, plan_codec.encode_plan(cleaned_plan)))

    def _cleaned_plan(self, now: float) -> ReplacementPlan:
        current_plan = self.view.plan
        finished_ids = {machine_id(name) for name, r in self.view.records.items() if r.is_over}
        if finished_ids & set(current_plan.active_machine_ids):
            current_plan = replace(
                current_plan,
                active_machine_ids=tuple(i for i in current_plan.active_machine_ids if i not in finished_ids),
            )
        if current_plan.state is PlanState.SUBMITTING:
            if self.lock_seen[0] != current_plan.serial:
                self.lock_seen = current_plan.serial, now
            live = {m.id for m in self.view.machines.values()}
            is_submitted_here = current_plan.locked_by == self.view.local_id and self.submission is not None
            locked_ms = now - self.lock_seen[1]
            if (
                locked_ms > self.settings.submission_timeout_ms * 1.5
                or not is_submitted_here
                and locked_ms > self.settings.startup_grace_ms
                and (current_plan.locked_by == self.view.local_id or current_plan.locked_by not in live)
            ):
                current_plan = without_submission(current_plan)
        elif (
            current_plan.first_machine
            and self.view.is_complete
            and all(r.is_over for r in self.view.records.values())
        ):
            current_plan = replace(current_plan, first_machine="", active_machine_ids=())
        return current_plan
