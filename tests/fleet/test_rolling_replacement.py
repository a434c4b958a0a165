"""Rolling replacement: requests, codecs, and runs of the simulation with faults and with planted defects."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cottonhold.emulator import rolling_replacement_cases
from cottonhold.emulator.replacement_fleet import NetworkFaults
from cottonhold.emulator.rolling_replacement import ReplacementWorld
from cottonhold.emulator.rolling_replacement_cases import CASES
from cottonhold.emulator.rolling_replacement_defects import DEFECTS, planted_defect
from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.rolling_replacement import plan, plan_codec
from cottonhold.fleet.rolling_replacement.plan import (
    Machine,
    MachineRecord,
    MachineRequest,
    PlanError,
    ReplacementPlan,
    ReplacementRequest,
    ReplacementStep,
)
from cottonhold.fleet.rolling_replacement.step_decision import MachineView, StepSettings, decide_step

MACHINES = {f"d{i}": Machine(f"d{i}", "abc"[i % 3], 8.0, is_voter=True) for i in range(6)} | {
    "x1": Machine("x1", "a", 16.0, is_engine=True)
}
NAMES = st.text(st.characters(codec="ascii", exclude_categories=["C"]), max_size=32)
U8, U16, U32, U64 = (st.integers(0, 2**bits - 1) for bits in (8, 16, 32, 64))


@pytest.mark.parametrize(
    "request_, reason",
    [
        (ReplacementRequest("ann", ()), "names no machine"),
        (ReplacementRequest("", (MachineRequest("d1"),)), "who asks"),
        (ReplacementRequest("ann", (MachineRequest("d9"),)), "'d9' is no machine"),
        (
            ReplacementRequest("ann", (MachineRequest("d1"), MachineRequest("d1", "e1"))),
            "'d1' is named twice",
        ),
        (
            ReplacementRequest("ann", (MachineRequest("d1", "e"), MachineRequest("d2", "e"))),
            "'e' would replace two",
        ),
        (
            ReplacementRequest("ann", (MachineRequest("d1", "d2"), MachineRequest("d2"))),
            "'d2' would replace two",
        ),
        (ReplacementRequest("ann", (MachineRequest("d1", "x1"),)), "'x1' is no machine of the kind"),
        (ReplacementRequest("ann", (MachineRequest("d1", "e" * 33),)), "longer than 32 bytes"),
        (ReplacementRequest("ann", (MachineRequest("d1", cores=-1.0),)), "-1.0 cores"),
        (ReplacementRequest("ann", (MachineRequest("d1"),), max_concurrent=9), "must be 1 to 5"),
    ],
)
def test_an_invalid_request_is_rejected_with_the_reason(request_: ReplacementRequest, reason: str) -> None:
    with pytest.raises(PlanError, match=reason):
        plan.check_request(request_, MACHINES)


@pytest.mark.parametrize(
    "step, step_age_ms, leaves_quorum, remaining_keys, next_step",
    [
        (ReplacementStep.MOVING, 0.0, True, 0, ReplacementStep.DRAINING),
        (ReplacementStep.MOVING, 1e4, False, 0, None),
        (ReplacementStep.MOVING, 0.0, False, 3, None),
        (ReplacementStep.DRAINING, 100.0, False, 0, None),
        (ReplacementStep.DRAINING, 1e4, False, 0, ReplacementStep.MOVING),
        (ReplacementStep.DRAINING, 1e4, True, 0, ReplacementStep.OUT),
        (ReplacementStep.DRAINING, 1e4, True, 3, None),
    ],
)
def test_a_machine_that_is_needed_for_the_quorum_serves_meanwhile(
    step: ReplacementStep,
    step_age_ms: float,
    leaves_quorum: bool,
    remaining_keys: int,
    next_step: ReplacementStep | None,
) -> None:
    view = MachineView(
        step_age_ms, MACHINES, remaining_keys=remaining_keys, open_requests=0, leaves_quorum=leaves_quorum
    )
    decision = decide_step(
        "d1", MachineRecord(step, 1, flags=plan.MachineFlag.VOTER, replacement="d1"), view, StepSettings()
    )
    assert (decision.record.step if decision.record is not None else None) is next_step
    assert leaves_quorum or remaining_keys or "a majority of voters must stay up" in decision.reasons


def test_a_contradicting_request_names_the_other_requester_and_repeated_items_are_ignored() -> None:
    request = ReplacementRequest("ann", (MachineRequest("d1", "e1"), MachineRequest("d2")))
    plan.check_request(request, MACHINES)
    chain = plan.build_records(request, request.items, MACHINES, ReplacementPlan(serial=1), {})
    assert [r.next_machine for r in chain.values()] == ["d2", ""]
    assert plan.select_new_items(
        ReplacementRequest("bob", (MachineRequest("d1", "e1"), MachineRequest("d3"))), chain
    ) == (MachineRequest("d3"),)
    for item in (MachineRequest("d1", "f1"), MachineRequest("d2", cores=2.0), MachineRequest("d3", "e1")):
        with pytest.raises(PlanError, match="by ann"):
            plan.select_new_items(ReplacementRequest("bob", (item,)), chain)
    assert [i.machine for i in plan.request_for_zone("ann", "a", MACHINES.values()).items] == [
        "d0",
        "d3",
        "x1",
    ]


@given(
    st.builds(
        MachineRecord, st.sampled_from(ReplacementStep), U32, U32, U64, U16, U8.map(plan.MachineFlag),
        U16, U16, U16, U16, U32,
        st.sampled_from(plan.StepReason), NAMES, NAMES, st.just("w" * 16),
    )
)  # fmt: skip
def test_an_encoded_record_fits_into_a_register_and_decodes_to_the_same(record: MachineRecord) -> None:
    data = plan_codec.encode_record(record)
    assert len(data) <= plan.MAX_RECORD_BYTES and plan_codec.decode_record(data) == record
    for cut in range(1, len(data)):
        with pytest.raises(MessageError):
            plan_codec.decode_record(data[:cut])


@given(
    st.builds(
        ReplacementPlan, st.sampled_from(plan.PlanState), U32, U32, U32, U64, U8, U8, NAMES,
        st.just("w" * 16),
        st.lists(U64, max_size=plan.MAX_CONCURRENT_REPLACEMENTS).map(tuple),
    )
)  # fmt: skip
def test_an_encoded_plan_fits_into_a_register_and_decodes_to_the_same(
    replacement_plan: ReplacementPlan,
) -> None:
    data = plan_codec.encode_plan(replacement_plan)
    assert len(data) <= plan.MAX_RECORD_BYTES and plan_codec.decode_plan(data) == replacement_plan
    with pytest.raises(MessageError):
        plan_codec.decode_plan(data[:-1])


@pytest.mark.parametrize("machine", ["d1", "a" * 11, "a" * 12, "é" * 16])
def test_the_name_of_a_machines_register_is_short(machine: str) -> None:
    assert len(plan.register_name(machine).encode()) <= 16


def test_an_outdated_value_is_ignored_and_an_unknown_outcome_causes_a_read() -> None:
    cache = RegisterCache(random.Random(1), 6000.0)
    (read,) = cache.read(0.0, "r")
    cache.on_outcome(10.0, read.token, True, 3, b"three")
    assert cache.is_confirmed(400.0, "r", 400.0) and not cache.is_confirmed(401.0, "r", 400.0)
    (change,) = cache.change(20.0, "r", b"four")
    assert isinstance(change, ChangeRegister) and change.version == 3
    assert cache.change(30.0, "r", b"four") == [], "a change is pending"
    cache.on_hint(35.0, "r", 5, b"five")
    cache.on_outcome(40.0, change.token, None, -1, b"")
    cache.on_hint(45.0, "r", 4, b"four")
    assert (cache.register("r").version, cache.register("r").value) == (5, b"five")
    assert not cache.is_confirmed(50.0, "r", 400.0), "announced values are not confirmed"
    (action,) = cache.change(50.0, "r", b"six")
    assert isinstance(action, ReadRegister)


def test_a_malformed_register_is_counted_and_ignored() -> None:
    world = ReplacementWorld(1, 3)
    world.registers["swap"] = 1, b"\x01garbage"
    world.run(3000.0)
    coordinator = world.hosts["d0"].coordinator
    assert coordinator is not None and coordinator.malformed_count and not coordinator.status()


# benchmarks/fleet/swap.py runs all cases, each at each step.
PLAYED_CASES = [
    name for name in CASES if name.endswith((" draining", ": out")) and "dies" in name or ":" not in name
]
PLAYED_CASES = [name for name in PLAYED_CASES if name not in ("storm", "calm", "target dies", "author dies")]
PLAYED_CASES += [
    "power: draining",
    "stopped: moving",
    "aborted: draining",
    "aborted: out",
    "zone lost: draining",
]


@pytest.mark.parametrize("name", PLAYED_CASES)
def test_no_rule_is_broken_and_all_replacements_finish(name: str) -> None:
    result = CASES[name](7)
    assert not result.breaches


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rolling_replacement_cases, "MAX_RUN_MS", 30_000.0)
    defect = DEFECTS[name]
    with planted_defect(defect):
        result = CASES[defect.case](2)
    assert any(defect.breach in breach for breach in result.breaches), result.breaches


def test_runs_with_the_same_seed_are_equal() -> None:
    def play() -> tuple[object, ...]:
        world = ReplacementWorld(5, 4, NetworkFaults(loss=0.2))
        world.run(2000.0)
        world.request("d0", "ann", MachineRequest("d1", "e1"), MachineRequest("d2"))
        world.run(12_000.0)
        return world.registers, world.logged_steps

    assert play() == play()


def test_the_status_shows_each_machines_step_and_wait_reasons() -> None:
    world = ReplacementWorld(2, 4)
    world.run(2000.0)
    world.request("d0", "ann", MachineRequest("d1", "e1"), MachineRequest("d2"), MachineRequest("d3"))
    world.run(3500.0)
    rows = {
        row.machine: row
        for host in world.hosts.values()
        if host.is_up and host.coordinator
        for row in host.coordinator.status()
        if row.reasons
    }
    assert set(rows) == {"d1", "d2", "d3"} and all(
        row.requested_by == "ann" and row.driver for row in rows.values()
    )
    reasons = [
        reason
        for host in world.hosts.values()
        if host.coordinator
        for row in host.coordinator.status()
        for reason in row.reasons
    ]
    assert any("1 at once (out: " in reason for reason in reasons)
    coordinator = world.hosts["d0"].coordinator
    assert coordinator is not None
    with pytest.raises(PlanError, match="no swap of 'd0' runs"):
        coordinator.abort(world.now, "ann", "typo", "d0")
