"""Engines in a swap: words, who counts as what, and whole runs of the model with faults and defects."""

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
from cottonhold.store import records as kept_records
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
def test_a_report_is_decoded_as_encoded_and_a_truncated_one_is_rejected(word: DrainReport) -> None:
    data = encode_report(word)
    assert decode_report(data) == word and len(data) <= MAX_MESSAGE_BYTES
    for cut in range(len(data)):
        with pytest.raises(MessageError):
            decode_report(data[:cut])


class ThreeDispatchers:
    """This instance (1) and two others, each of which has drained x0 if it reported."""

    def __init__(self) -> None:
        self.now = 0.0
        self.drains = EngineDrains(1, 5, 0.0, SETTINGS, [1, 2, 3])
        self.drains.set_listed_engines({"x0": MACHINES["a0"]})
        self.drains.drain("x0", 7, 2)
        self.set_live(self.now, 2, 3)

    def set_live(self, now: float, *members: int, incarnation: int = 5) -> None:
        self.now = now
        self.drains.set_live_members(now, dict.fromkeys(members, incarnation))

    def report(self, member: int, open_: int, incarnation: int = 5, version: int = 1, **row: int) -> None:
        other = EngineDrains(member, incarnation, 0.0, SETTINGS)
        other.version = version - 1
        if row.get("away", 0) == 0:
            other.set_listed_engines({"x0": MACHINES["a0"]})
        other.drain("x0", row.get("serial", 7), open_)
        for action in other.step(self.now, {"x0": MachineRecord(ReplacementStep.DRAINING, 7, driver=1)}):
            assert isinstance(action, SendReport)
            self.drains.on_message(self.now, action.payload)

    def open_requests(self) -> int | None:
        return self.drains.open_requests(self.now, "x0", 7)


def test_a_dispatcher_without_a_report_since_the_drain_counts_as_unknown() -> None:
    three = ThreeDispatchers()
    assert three.open_requests() is None
    three.report(2, 3)
    assert three.open_requests() is None and three.drains.missing_reports(0.0, "x0", 7) == {3}
    three.report(3, 0, serial=6)  # of an earlier swap of the same engine
    assert three.open_requests() is None
    three.report(3, 0, version=2)
    assert three.open_requests() == 5
    three.report(2, 9, version=1)  # late, again
    assert three.open_requests() == 5
    three.drains.set_open_requests("x0", 0)
    three.report(2, 0, version=4)
    assert three.open_requests() == 0


def test_reports_of_an_earlier_incarnation_and_outdated_ones_do_not_count() -> None:
    three = ThreeDispatchers()
    three.report(2, 0)
    three.report(3, 0)
    assert three.open_requests() == 2
    three.set_live(100.0, 2, 3, incarnation=6)  # both have started anew
    assert three.open_requests() is None
    three.report(2, 0, incarnation=6)
    three.report(3, 0, incarnation=6)
    assert three.open_requests() == 2
    three.set_live(100.0 + SETTINGS.max_report_age_ms + 1, 2, 3, incarnation=6)
    assert three.open_requests() is None


def test_an_absent_dispatcher_counts_as_zero_after_a_while() -> None:
    three = ThreeDispatchers()
    three.report(2, 0)
    three.set_live(100.0, 2)
    assert three.open_requests() is None and three.drains.missing_reports(100.0, "x0", 7) == {3}
    three.set_live(SETTINGS.member_absence_ms + 101.0, 2)
    three.report(2, 1, version=9)
    assert three.open_requests() == 3
    three.set_live(SETTINGS.member_absence_ms + 102.0, 2, 3)  # it is back
    assert three.open_requests() is None


def test_open_requests_are_unknown_until_this_instance_has_drained_the_engine() -> None:
    three = ThreeDispatchers()
    three.report(2, 0)
    three.report(3, 0)
    three.drains.undrain("x0")
    assert three.open_requests() is None


def test_an_engine_is_absent_once_more_than_half_report_it_for_a_while() -> None:
    three = ThreeDispatchers()
    for _ in range(3):
        three.drains.on_liveness_check("x0", False)
    three.report(2, 0)
    three.report(3, 0)
    three.drains.step(0.0, CHAIN)
    three.set_live(SETTINGS.engine_absence_ms + 1, 2, 3)
    three.drains.step(three.now, CHAIN)
    assert not three.drains.is_absent("x0"), "one alone may have lost its own way"
    three.report(2, 0, version=2, away=1)
    three.drains.step(three.now, CHAIN)
    three.set_live(three.now + SETTINGS.engine_absence_ms, 2, 3)
    three.report(2, 0, version=3, away=1)
    three.drains.step(three.now, CHAIN)
    assert three.drains.is_absent("x0") and not three.drains.present_engines({})
    three.drains.on_liveness_check("x0", True)
    three.report(2, 0, version=4)
    three.drains.step(three.now, CHAIN)
    assert not three.drains.is_absent("x0") and three.drains.is_answering("x0")


def test_removed_engines_are_checked_at_intervals_and_changes_are_reported_at_once() -> None:
    drains = EngineDrains(1, 5, 0.0, SETTINGS)
    drains.set_listed_engines(MACHINES)
    drains.drain("a0", 7, 2)
    drains.drain("b0", 7, 0)
    drains.drain("c0", 7, 0)
    chain = {e: MachineRecord(step, 7, driver=2) for e, step in zip(("a0", "b0", "c0"), STEPS, strict=True)}
    assert drains.step(0.0, chain)[0] == CheckLiveness("a0")
    assert drains.step(50.0, chain) == [], "nothing new"
    drains.set_open_requests("a0", 1)
    (tell,) = drains.step(100.0, chain)
    assert isinstance(tell, SendReport) and tell.member == 2
    rows = decode_report(tell.payload).rows
    assert [rows[engine_number(e)].open_requests for e in ("a0", "b0")] == [1, 0] and len(rows) == 2
    assert [type(a) for a in drains.step(300.0, chain)] == [CheckLiveness, SendReport]


def test_loads_wait_for_the_registers_unless_no_majority_is_there() -> None:
    settled = StartupGate(0.0, SETTINGS)
    assert not settled.step(SETTINGS.no_majority_timeout_ms * 2, False, True) and settled.step(
        SETTINGS.no_majority_timeout_ms * 2, True, True
    )
    settled = StartupGate(0.0, SETTINGS)
    assert not settled.step(SETTINGS.no_majority_timeout_ms - 1, False, False) and settled.step(
        SETTINGS.no_majority_timeout_ms, False, False
    )
    settled = StartupGate(0.0, SETTINGS)
    assert settled.step(SETTINGS.startup_timeout_ms, False, True), "a fleet that has forgotten all serves"
    assert not settled.check_pause(SETTINGS.pause_threshold_ms - 1) and settled.check_pause(
        3 * SETTINGS.pause_threshold_ms
    )
    assert not settled.step(3 * SETTINGS.pause_threshold_ms, False, True), (
        "one that stood still knows nothing any more"
    )


@pytest.mark.parametrize(
    "drained, over",
    [((), ["a0", "b0"]), (("a0",), ["b0"]), (("a0", "b0", "c0"), [])],
    ids=["over meanwhile", "one of two", "out as before"],
)
def test_drains_of_the_previous_start_stay_until_it_is_known_which_have_ended(
    drained: tuple[str, ...], over: list[str]
) -> None:
    kept, folder = DrainRecords({}), dict[bytes, bytes]()

    def write(records: Iterable[kept_records.Record]) -> None:
        for record in records:
            assert record.kind is RecordKind.ENGINE_DRAIN and TRUST_BY_KIND[record.kind] is Trust.HINT
            folder.pop(record.key, None)
            if record.value is not None:
                folder[record.key] = record.value

    for engine in ("a0", "b0", "c0", "c0"):
        write(kept.drain(engine))
    write(kept.undrain("c0"))
    assert kept.release_previous(()) == [] and kept.undrain("c0") == []
    again = DrainRecords(folder)
    assert again.from_previous_start == {"a0", "b0"}
    assert again.release_previous(drained) == over and again.release_previous(()) == []
    for engine in over:
        write(again.undrain(engine))
    assert DrainRecords(folder).from_previous_start == {"a0", "b0"} - set(over)
    assert DrainRecords({b"\xff": b""}).from_previous_start, "what can't be read holds too"


def test_a_quarantined_engine_is_published_as_draining_until_it_is_released() -> None:
    held = Quarantine()
    a, b = Engine("a", zone=1, started_at=5.0), Engine("b", state=EngineState.DRAINING)
    shown = held.on_change(EngineListChange((a, b), {}, is_complete=True))
    assert shown.engines == (a, b) and set(held.live_engines()) == {"a"}
    change = held.quarantine("a")
    assert change is not None and change.engines[0].state is EngineState.DRAINING
    assert held.quarantine("a") is None and not held.live_engines()
    back = held.release("a", 70.0)
    assert back is not None and back.engines == (Engine("a", zone=1, started_at=70.0),)
    assert held.release("a") is None
    again = held.on_change(
        EngineListChange((a, Engine("b", state=EngineState.REMOVED)), {}, is_complete=False)
    )
    assert again.engines[0].started_at == 70.0 and again.engines[1].state is EngineState.REMOVED
    assert set(held.listed) == {"a"} and held.quarantine("z") is None


@pytest.mark.parametrize(
    "rows, says",
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
def test_a_request_for_engines_says_what_is_wrong(rows: list[object], says: str) -> None:
    with pytest.raises(PlanError, match=says):
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


def test_starts_check_capacity_with_the_engines_cores_and_count_none_twice() -> None:
    checked: list[dict[str, float]] = []
    starts = StartConditions(1, 1000.0, lambda cores: checked.append(dict(cores)) or [])  # type: ignore[func-returns-value]
    chain = chain_of(ReplacementStep.OUT, ReplacementStep.AGREED)
    for counted, cores in ((True, 16.0), (False, 8.0)):
        checked.clear()
        there = MACHINES | {"a0": Machine("a0", "a", 8.0, True, is_counted=counted)}
        whole = ReplacementPlan(active_machine_ids=(machine_id("a0"),), max_concurrent=2, max_zones=3)
        assert starts.blockers(0.0, "a1", whole, chain, there) == []
        assert {sum(out.values()) for out in checked} >= {cores}, checked
        starts.key = ()
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
    starts.blockers(0.0, "a1", ReplacementPlan(), smaller | {"a1": chain["a1"]}, MACHINES)
    assert [sum(out.values()) for out in checked] == [8.0], "the list has the smaller one's cores already"


def test_a_smaller_replacement_is_reported_and_an_engine_never_absent_is_the_old_one() -> None:
    record = chain_of(ReplacementStep.OUT)["a0"]
    view, settings = MachineView(0.0, {"a0": Machine("a0", "a", 4.0, True)}), StepSettings()
    assert decide_step("a0", record, view, settings).record is None
    away = decide_step("a0", record, MachineView(0.0, {}), settings).record
    assert away is not None and away.has_flag(MachineFlag.WAS_AWAY) and away.step is ReplacementStep.OUT
    placed = decide_step("a0", away, view, settings).record
    assert placed is not None and (placed.step, placed.arrived_cores_tenths) == (ReplacementStep.IN_PLACE, 40)
    ramping = decide_step("a0", placed, view, settings).record
    assert ramping is not None and (ramping.step, ramping.reason) == (
        ReplacementStep.RAMPING,
        StepReason.SMALLER,
    )


# All of them are played by benchmarks/fleet/swap_engines.py.
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
