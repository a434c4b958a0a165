"""Submits a request to the registers: locks the plan, writes the records and opens the plan; does no I/O.

Each step depends only on the values of the registers, so an operation with an unknown outcome needs no
special handling.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.rolling_replacement.plan import (
    PLAN_REGISTER,
    Machine,
    MachineRecord,
    MachineRequest,
    PlanError,
    PlanState,
    ReplacementPlan,
    ReplacementRequest,
    build_records,
    register_name,
    select_new_items,
    with_request,
)
from cottonhold.fleet.rolling_replacement.plan_codec import encode_plan, encode_record
from cottonhold.fleet.rolling_replacement.step_decision import Action


class PlanSubmission:
    """The submission of a request by this instance.

    When it has ended, `answer` is the reason for which the request was rejected, or "" if it was accepted.

    Args:
        member: The member id of this instance.
        request: The request.
        deadline: The time at which the submission is given up.
    """

    def __init__(self, member: int, request: ReplacementRequest, deadline: float) -> None:
        self.member, self.request, self.deadline = member, request, deadline
        self.locked_serial = self.requested_serial = 0
        self.items: tuple[MachineRequest, ...] = ()
        self.records: dict[str, MachineRecord] = {}
        self.answer: str | None = None

    def step(
        self,
        now: float,
        registers: RegisterCache,
        plan: ReplacementPlan,
        records: Mapping[str, MachineRecord] | None,
        machines: Mapping[str, Machine],
        zones: Mapping[str, int],
    ) -> list[Action]:
        """Return the register operations that are due.

        Args:
            now: The current time.
            registers: This instance's cache of registers.
            plan: The current plan.
            records: The machine records by name; None while a part of the chain is unknown.
            machines: The present machines by name.
            zones: The numbers of zones by name.
        """
        is_locked = plan.state is PlanState.SUBMITTING and plan.locked_by == self.member
        if is_locked and plan.serial == self.requested_serial:
            self.locked_serial = self.requested_serial
        if now > self.deadline:
            return self._give_up(now, registers, plan, is_locked)
        if is_locked and plan.serial == self.locked_serial:
            return self._write_records(now, registers, plan, machines, zones)
        if records is None or plan.state is PlanState.SUBMITTING:
            return list(registers.read(now, PLAN_REGISTER, 100.0))
        if self.locked_serial and self._is_submitted(records):
            self.answer = ""
            return []
        return self._lock_plan(now, registers, plan, records)

    def _is_submitted(self, records: Mapping[str, MachineRecord]) -> bool:
        first = records.get(self.items[0].machine)
        return first is not None and first.serial == self.locked_serial

    def _lock_plan(
        self,
        now: float,
        registers: RegisterCache,
        plan: ReplacementPlan,
        records: Mapping[str, MachineRecord],
    ) -> list[Action]:
        # With outdated registers, two contradicting requests could both be accepted.
        if not registers.is_confirmed(now, PLAN_REGISTER, 1000.0):
            return list(registers.read(now, PLAN_REGISTER, 100.0))
        try:
            self.items = select_new_items(self.request, records)
        except PlanError as error:
            self.answer = str(error)
            return []
        if not self.items:
            self.answer = ""  # all items were requested before
            return []
        self.locked_serial, self.records, self.requested_serial = 0, {}, plan.serial + 1
        locked = replace(
            plan, state=PlanState.SUBMITTING, serial=self.requested_serial, locked_by=self.member
        )
        return list(registers.change(now, PLAN_REGISTER, encode_plan(locked)))

    def _write_records(
        self,
        now: float,
        registers: RegisterCache,
        plan: ReplacementPlan,
        machines: Mapping[str, Machine],
        zones: Mapping[str, int],
    ) -> list[Action]:
        if not self.records:
            if missing := [item.machine for item in self.items if item.machine not in machines]:
                self.deadline, self.answer = now, f"'{missing[0]}' is not there any more"
                return self._give_up(now, registers, plan, True)
            self.records = build_records(self.request, self.items, machines, plan, zones)
        actions, unwritten = list[Action](), 0
        for machine, record in self.records.items():
            value, cached = encode_record(record), registers.received(register_name(machine))
            if cached is None or cached.value != value:
                unwritten += 1
                actions += registers.change(now, register_name(machine), value)
        if not unwritten:
            plan = with_request(plan, self.request, self.items[0].machine)
            actions += registers.change(now, PLAN_REGISTER, encode_plan(plan))
        return actions

    def _give_up(
        self, now: float, registers: RegisterCache, plan: ReplacementPlan, is_locked: bool
    ) -> list[Action]:
        self.answer = self.answer or "the registers could not be changed in time"
        if not is_locked:
            return []
        return list(registers.change(now, PLAN_REGISTER, encode_plan(without_submission(plan))))


def without_submission(plan: ReplacementPlan) -> ReplacementPlan:
    """Return the plan without the request being submitted, whose serial number is not used again."""
    return replace(plan, state=PlanState.OPEN, locked_by=0, epoch=plan.epoch + 1)
