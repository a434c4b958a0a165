"""Replacement of engines: reports, absence, requests, and runs of the simulation with faults and defects."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cottonhold.discovery.model import EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.emulator.engine_replacement_cases import CASES, DEFECTS
from cottonhold.emulator.rolling_replacement_defects import planted_defect
from cottonhold.fleet.engine_drain import (
    CheckLiveness,
    DrainRecords,
    DrainSettings,
    EngineDrains,
    SendReport,
    StartupGate,
)
from cottonhold.fleet.engine_drain_messages import (
    MAX_ROWS,
    DrainedEngineRow,
    DrainReport,
    decode_report,
    encode_report,
)
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.recovery.warmup_messages import engine_number
from cottonhold.fleet.rolling_replacement import plan
from cottonhold.fleet.rolling_replacement.plan import (
    Machine,
    MachineFlag,
    MachineRecord,
    MachineRequest,
    PlanError,
    ReplacementPlan,
    ReplacementStep,
    StepReason,
    machine_id,
)
from cottonhold.fleet.rolling_replacement.request_parsing import parse_request
from cottonhold.fleet.rolling_replacement.start_conditions import StartConditions
from cottonhold.fleet.rolling_replacement.step_decision import MachineView, StepSettings, decide_step
from cottonhold.scheduler.events import Engine, EngineState
from cottonhold.store import records as store_records
from cottonhold.store.records import TRUST_BY_KIND, RecordKind, Trust

U16, U32, U64 = (st.integers(0, 2**bits - 1) for bits in (16, 32, 64))
ROWS = st.dictionaries(U32, st.builds(DrainedEngineRow, U32, U16, st.booleans()), max_size=MAX_ROWS)
MACHINES = {"d0": Machine("d0", "a", 0.0)} | {
    f"{z}{i}": Machine(f"{z}{i}", z, 8.0, True) for z in "abc" for i in (0, 1)
}
SETTINGS = DrainSettings()
CHAIN = {"x0": MachineRecord(ReplacementStep.OUT, 7)}
STEPS = (ReplacementStep.OUT, ReplacementStep.DRAINING, ReplacementStep.DONE)


@given(st.builds(DrainReport, st.integers(1, 2**64 - 1), U32, U32, ROWS))
def test_a_report_is_decoded_as_encoded_and_a_truncated_one_is_rejected(report: DrainReport) -> None:
    data = encode_report(report)
    assert decode_report(data) == report and len(data) <= MAX_MESSAGE_BYTES
    for cut in range(len(data)):
        with pytest.raises(MessageError):
            decode_report(data[:cut])


class ThreeDispatchers:
    """This instance (1) and two others (2, 3); each has drained the engine x0 once it has reported."""

    def __init__(self) -> None:
        self.now = 0.0
        self.drains = EngineDrains(1, 5, 0.0, SETTINGS, [1, 2, 3])
        self.drains.set_listed_engines({"x0": MACHINES["a0"]})
        self.drains.drain("x0", 7, 2)
        self.set_live(self.now, 2, 3)

    def set_live(self, now: float, *members: int, incarnation: int = 5) -> None:
        self.now = now
        self.drains.set_live_members(now, dict.fromkeys(members, incarnation))

    def report(
        self, member: int, open_requests: int, incarnation: int = 5, version: int = 1, **row: int
    ) -> None:
        other = EngineDrains(member, incarnation, 0.0, SETTINGS)
        other.version = version - 1
        if row.get("away", 0) == 0:
            other.set_listed_engines({"x0": MACHINES["a0"]})
        other.drain("x0", row.get("serial", 7), open_requests)
        for action in other.step(self.now, {"x0": MachineRecord(ReplacementStep.DRAINING, 7, driver=1)}):
            assert isinstance(action, SendReport)
            self.drains.on_message(self.now, action.payload)

    def open_requests(self) -> int | None:
        return self.drains.open_requests(self.now, "x0", 7)


def test_open_requests_are_unknown_while_a_dispatchers_report_since_the_drain_is_missing() -> None:
    fleet = ThreeDispatchers()
    assert fleet.open_requests() is None
    fleet.report(2, 3)
    assert fleet.open_requests() is None and fleet.drains.missing_reports(0.0, "x0", 7) == {3}
    fleet.report(3, 0, serial=6)  # for an earlier replacement of the same engine
    assert fleet.open_requests() is None
    fleet.report(3, 0, version=2)
    assert fleet.open_requests() == 5
    fleet.report(2, 9, version=1)  # delayed, and received a second time
    assert fleet.open_requests() == 5
    fleet.drains.set_open_requests("x0", 0)
    fleet.report(2, 0, version=4)
    assert fleet.open_requests() == 0


def test_reports_of_an_earlier_incarnation_and_outdated_ones_are_ignored() -> None:
    fleet = ThreeDispatchers()
    fleet.report(2, 0)
    fleet.report(3, 0)
    assert fleet.open_requests() == 2
    fleet.set_live(100.0, 2, 3, incarnation=6)  # both have been restarted
    assert fleet.open_requests() is None
    fleet.report(2, 0, incarnation=6)
    fleet.report(3, 0, incarnation=6)
    assert fleet.open_requests() == 2
    fleet.set_live(100.0 + SETTINGS.max_report_age_ms + 1, 2, 3, incarnation=6)
    assert fleet.open_requests() is None


def test_an_absent_dispatchers_requests_are_regarded_as_ended_after_a_timeout() -> None:
    fleet = ThreeDispatchers()
    fleet.report(2, 0)
    fleet.set_live(100.0, 2)
    assert fleet.open_requests() is None and fleet.drains.missing_reports(100.0, "x0", 7) == {3}
    fleet.set_live(SETTINGS.member_absence_ms + 101.0, 2)
    fleet.report(2, 1, version=9)
    assert fleet.open_requests() == 3
    fleet.set_live(SETTINGS.member_absence_ms + 102.0, 2, 3)  # dispatcher 3 is live again
    assert fleet.open_requests() is None


def test_open_requests_are_unknown_until_this_instance_has_drained_the_engine() -> None:
    fleet = ThreeDispatchers()
    fleet.report(2, 0)
    fleet.report(3, 0)
    fleet.drains.undrain("x0")
    assert fleet.open_requests() is None


def test_an_engine_is_absent_once_more_than_half_have_reported_it_for_a_time() -> None:
    fleet = ThreeDispatchers()
    for _ in range(3):
        fleet.drains.on_liveness_check("x0", False)
    fleet.report(2, 0)
    fleet.report(3, 0)
    fleet.drains.step(0.0, CHAIN)
    fleet.set_live(SETTINGS.engine_absence_ms + 1, 2, 3)
    fleet.drains.step(fleet.now, CHAIN)
    assert not fleet.drains.is_absent("x0"), "a single dispatcher may have lost its route"
    fleet.report(2, 0, version=2, away=1)
    fleet.drains.step(fleet.now, CHAIN)
    fleet.set_live(fleet.now + SETTINGS.engine_absence_ms, 2, 3)
    fleet.report(2, 0, version=3, away=1)
    fleet.drains.step(fleet.now, CHAIN)
    assert fleet.drains.is_absent("x0") and not fleet.drains.present_engines({})
    fleet.drains.on_liveness_check("x0", True)
    fleet.report(2, 0, version=4)
    fleet.drains.step(fleet.now, CHAIN)
    assert not fleet.drains.is_absent("x0") and fleet.drains.is_answering("x0")


def test_removed_engines_are_checked_at_intervals_and_changes_are_reported_immediately() -> None:
    drains = EngineDrains(1, 5, 0.0, SETTINGS)
    drains.set_listed_engines(MACHINES)
    drains.drain("a0", 7, 2)
    drains.drain("b0", 7, 0)
    drains.drain("c0", 7, 0)
    chain = {e: MachineRecord(step, 7, driver=2) for e, step in zip(("a0", "b0", "c0"), STEPS, strict=True)}
    assert drains.step(0.0, chain)[0] == CheckLiveness("a0")
    assert drains.step(50.0, chain) == [], "nothing has changed"
    drains.set_open_requests("a0", 1)
    (action,) = drains.step(100.0, chain)
    assert isinstance(action, SendReport) and action.member == 2
    rows = decode_report(action.payload).rows
    assert [rows[engine_number(e)].open_requests for e in ("a0", "b0")] == [1, 0] and len(rows) == 2
    assert [type(action) for action in drains.step(300.0, chain)] == [CheckLiveness, SendReport]


def test_loads_wait_for_the_registers_unless_there_is_no_majority() -> None:
    gate = StartupGate(0.0, SETTINGS)
    assert not gate.step(SETTINGS.no_majority_timeout_ms * 2, False, True) and gate.step(
        SETTINGS.no_majority_timeout_ms * 2, True, True
    )
    gate = StartupGate(0.0, SETTINGS)
    assert not gate.step(SETTINGS.no_majority_timeout_ms - 1, False, False) and gate.step(
        SETTINGS.no_majority_timeout_ms, False, False
    )
    gate = StartupGate(0.0, SETTINGS)
    assert gate.step(SETTINGS.startup_timeout_ms, False, True), (
        "a fleet that cannot read the registers must serve"
    )
    assert not gate.check_pause(SETTINGS.pause_threshold_ms - 1) and gate.check_pause(
        3 * SETTINGS.pause_threshold_ms
    )
    assert not gate.step(3 * SETTINGS.pause_threshold_ms, False, True), (
        "after a pause the registers must be read again"
    )


@pytest.mark.parametrize(
    "drained, ended",
    [((), ["a0", "b0"]), (("a0",), ["b0"]), (("a0", "b0", "c0"), [])],
    ids=["both ended", "one of two ended", "none ended"],
)
def test_drains_of_the_previous_start_remain_until_it_is_known_which_have_ended(
    drained: tuple[str, ...], ended: list[str]
) -> None:
    drain_records, folder = DrainRecords({}), dict[bytes, bytes]()

    def write(records: Iterable[store_records.Record]) -> None:
        for record in records:
            assert record.kind is RecordKind.ENGINE_DRAIN and TRUST_BY_KIND[record.kind] is Trust.HINT
            folder.pop(record.key, None)
            if record.value is not None:
                folder[record.key] = record.value

    for engine in ("a0", "b0", "c0", "c0"):
        write(drain_records.drain(engine))
    write(drain_records.undrain("c0"))
    assert drain_records.release_previous(()) == [] and drain_records.undrain("c0") == []
    reloaded = DrainRecords(folder)
    assert reloaded.from_previous_start == {"a0", "b0"}
    assert reloaded.release_previous(drained) == ended and reloaded.release_previous(()) == []
    for engine in ended:
        write(reloaded.undrain(engine))
    assert DrainRecords(folder).from_previous_start == {"a0", "b0"} - set(ended)
    assert DrainRecords({b"\xff": b""}).from_previous_start, "a record that cannot be decoded is used too"


def test_a_quarantined_engine_is_published_as_draining_until_it_is_released() -> None:
    quarantine = Quarantine()
    a, b = Engine("a", zone=1, started_at=5.0), Engine("b", state=EngineState.DRAINING)
    published = quarantine.on_change(EngineListChange((a, b), {}, is_complete=True))
    assert published.engines == (a, b) and set(quarantine.live_engines()) == {"a"}
    change = quarantine.quarantine("a")
    assert change is not None and change.engines[0].state is EngineState.DRAINING
    assert quarantine.quarantine("a") is None and not quarantine.live_engines()
    released = quarantine.release("a", 70.0)
    assert released is not None and released.engines == (Engine("a", zone=1, started_at=70.0),)
    assert quarantine.release("a") is None
    republished = quarantine.on_change(
        EngineListChange((a, Engine("b", state=EngineState.REMOVED)), {}, is_complete=False)
    )
    assert republished.engines[0].started_at == 70.0 and republished.engines[1].state is EngineState.REMOVED
    assert set(quarantine.listed) == {"a"} and quarantine.quarantine("z") is None


@pytest.mark.parametrize(
    "rows, reason",
    [
        ([], "at least one"),
        ([{"zone": "q"}], "no engine is in a zone 'q'; there are: a, b, c"),
        ([{"zone": "a", "name": "a0"}], "either a name or a zone"),
        ([{"name": "a0", "core": 3}], "no field 'core'"),
        ([{"name": "a0", "cores": "3"}], "cores of 'a0' is no number"),
        ([{"name": "a0", "new": 3}], "new of 'a0' is no name"),
        ([{"zone": "b", "new": "x"}], "can't all become 'x'"),
        ([{"name": "a9"}], "'a9' is no machine that is there"),
        ([{"zone": "a"}, {"name": "a1"}], "'a1' is named twice"),
        ([{"name": "a0", "new": "b0"}], "'b0' is an engine that is in use already"),
        ([{"name": "a0", "new": "d0"}], "no machine of the kind"),
    ],
)
def test_an_invalid_request_for_engines_is_rejected_with_the_reason(rows: list[object], reason: str) -> None:
    with pytest.raises(PlanError, match=reason):
        plan.check_request(parse_request("ann", {"machines": rows}, MACHINES), MACHINES)


def test_a_request_for_a_zone_names_all_its_engines() -> None:
    request = parse_request("ann", {"machines": [{"zone": "b", "cores": 4}, {"name": "d0"}]}, MACHINES)
    assert request.items == (
        MachineRequest("b0", cores=4.0),
        MachineRequest("b1", cores=4.0),
        MachineRequest("d0"),
    )
    plan.check_request(request, MACHINES)


def chain_of(*steps: ReplacementStep) -> dict[str, MachineRecord]:
    names = sorted(n for n, m in MACHINES.items() if m.is_engine)
    return {
        name: MachineRecord(
            step,
            1,
            flags=MachineFlag.ENGINE,
            zone=ord(name[0]),
            cores_tenths=80,
            requested_cores_tenths=80,
            replacement=name,
        )
        for name, step in zip(names, steps, strict=False)
    }


def test_starts_check_capacity_without_subtracting_an_engine_twice() -> None:
    checked: list[dict[str, float]] = []
    conditions = StartConditions(1, 1000.0, lambda cores: checked.append(dict(cores)) or [])  # type: ignore[func-returns-value]
    chain = chain_of(ReplacementStep.OUT, ReplacementStep.AGREED)
    for is_counted, cores in ((True, 16.0), (False, 8.0)):
        checked.clear()
        machines = MACHINES | {"a0": Machine("a0", "a", 8.0, True, is_counted=is_counted)}
        current_plan = ReplacementPlan(active_machine_ids=(machine_id("a0"),), max_concurrent=2, max_zones=3)
        assert conditions.blockers(0.0, "a1", current_plan, chain, machines) == []
        assert {sum(missing_cores.values()) for missing_cores in checked} >= {cores}, checked
        conditions.key = ()
    smaller = {
        "a0": MachineRecord(
            ReplacementStep.DONE,
            1,
            flags=MachineFlag.ENGINE,
            zone=ord("a"),
            cores_tenths=80,
            arrived_cores_tenths=40,
            replacement="a0",
        )
    }
    checked.clear()
    conditions.blockers(0.0, "a1", ReplacementPlan(), smaller | {"a1": chain["a1"]}, MACHINES)
    assert [sum(missing_cores.values()) for missing_cores in checked] == [8.0], (
        "the list already contains the cores of the smaller engine"
    )


def test_a_smaller_replacement_is_reported_and_an_engine_never_absent_is_the_old_one() -> None:
    record = chain_of(ReplacementStep.OUT)["a0"]
    view, settings = MachineView(0.0, {"a0": Machine("a0", "a", 4.0, True)}), StepSettings()
    assert decide_step("a0", record, view, settings).record is None
    absent = decide_step("a0", record, MachineView(0.0, {}), settings).record
    assert absent is not None and absent.has_flag(MachineFlag.WAS_AWAY) and absent.step is ReplacementStep.OUT
    in_place = decide_step("a0", absent, view, settings).record
    assert in_place is not None and (in_place.step, in_place.arrived_cores_tenths) == (
        ReplacementStep.IN_PLACE,
        40,
    )
    ramping = decide_step("a0", in_place, view, settings).record
    assert ramping is not None and (ramping.step, ramping.reason) == (
        ReplacementStep.RAMPING,
        StepReason.SMALLER,
    )


# benchmarks/fleet/swap_engines.py runs all cases.
PLAYED_CASES = ["calm", "lossy", "driver dies: draining", "all restart: draining", "all restart: out"]
PLAYED_CASES += ["stands 13 s: agreed", "another is long away: draining", "link lost: out", "power: out"]
PLAYED_CASES += ["engine pauses: out"]
PLAYED_CASES += [f"aborted: {step}" for step in ("agreed", "draining", "out", "ramping")]


@pytest.mark.parametrize("name", PLAYED_CASES)
def test_no_request_fails_and_all_replacements_finish(name: str) -> None:
    assert CASES[name](3) == []


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_detected(name: str) -> None:
    defect = DEFECTS[name]
    with planted_defect(defect):
        breaches = CASES[defect.case](1)
    assert any(defect.breach in breach for breach in breaches), breaches
