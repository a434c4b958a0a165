"""Engines in a swap: words, who counts as what, and whole runs of the model with faults and defects."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cottonhold.discovery.model import EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.emulator.engine_replacement_cases import CASES, DEFECTS, planted
from cottonhold.fleet.engine_drain import (
    MAX_ROWS,
    CheckLiveness,
    DrainedEngineRow,
    DrainRecords,
    DrainReport,
    DrainSettings,
    EngineDrains,
    SendReport,
    StartupGate,
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
THERE = {"d0": Machine("d0", "a", 0.0)} | {
    f"{z}{i}": Machine(f"{z}{i}", z, 8.0, True) for z in "abc" for i in (0, 1)
}
S = DrainSettings()
CHAIN = {"x0": MachineRecord(ReplacementStep.OUT, 7)}
SEEN = (ReplacementStep.OUT, ReplacementStep.DRAINING, ReplacementStep.DONE)


@given(st.builds(DrainReport, st.integers(1, 2**64 - 1), U32, U32, ROWS))
def test_a_word_comes_back_fits_and_is_refused_cut(word: DrainReport) -> None:
    data = encode_report(word)
    assert decode_report(data) == word and len(data) <= MAX_MESSAGE_BYTES
    for cut in range(len(data)):
        with pytest.raises(MessageError):
            decode_report(data[:cut])


class Three:
    """This instance (1) and two others, of which each has drained x0 if it told."""

    def __init__(self) -> None:
        self.now = 0.0
        self.drains = EngineDrains(1, 5, 0.0, S, [1, 2, 3])
        self.drains.set_listed_engines({"x0": THERE["a0"]})
        self.drains.drain("x0", 7, 2)
        self.live(self.now, 2, 3)

    def live(self, now: float, *members: int, life: int = 5) -> None:
        self.now = now
        self.drains.set_live_members(now, dict.fromkeys(members, life))

    def tell(self, member: int, open_: int, life: int = 5, version: int = 1, **row: int) -> None:
        other = EngineDrains(member, life, 0.0, S)
        other.version = version - 1
        if row.get("away", 0) == 0:
            other.set_listed_engines({"x0": THERE["a0"]})
        other.drain("x0", row.get("serial", 7), open_)
        for action in other.step(self.now, {"x0": MachineRecord(ReplacementStep.DRAINING, 7, driver=1)}):
            assert isinstance(action, SendReport)
            self.drains.on_message(self.now, action.payload)

    def open(self) -> int | None:
        return self.drains.open_requests(self.now, "x0", 7)


def test_who_has_not_told_since_the_drain_is_unknown_and_not_zero() -> None:
    three = Three()
    assert three.open() is None
    three.tell(2, 3)
    assert three.open() is None and three.drains.missing_reports(0.0, "x0", 7) == {3}
    three.tell(3, 0, serial=6)  # of an earlier swap of the same engine
    assert three.open() is None
    three.tell(3, 0, version=2)
    assert three.open() == 5
    three.tell(2, 9, version=1)  # late, again
    assert three.open() == 5
    three.drains.set_open_requests("x0", 0)
    three.tell(2, 0, version=4)
    assert three.open() == 0


def test_a_word_of_an_earlier_life_or_an_old_one_tells_nothing() -> None:
    three = Three()
    three.tell(2, 0)
    three.tell(3, 0)
    assert three.open() == 2
    three.live(100.0, 2, 3, life=6)  # both have started anew
    assert three.open() is None
    three.tell(2, 0, life=6)
    three.tell(3, 0, life=6)
    assert three.open() == 2
    three.live(100.0 + S.max_report_age_ms + 1, 2, 3, life=6)
    assert three.open() is None


def test_a_dead_one_counts_as_zero_after_a_while_and_one_never_seen_does_too() -> None:
    three = Three()
    three.tell(2, 0)
    three.live(100.0, 2)
    assert three.open() is None and three.drains.missing_reports(100.0, "x0", 7) == {3}
    three.live(S.member_absence_ms + 101.0, 2)
    three.tell(2, 1, version=9)
    assert three.open() == 3
    three.live(S.member_absence_ms + 102.0, 2, 3)  # it is back
    assert three.open() is None


def test_what_this_instance_has_not_drained_itself_is_unknown() -> None:
    three = Three()
    three.tell(2, 0)
    three.tell(3, 0)
    three.drains.undrain("x0")
    assert three.open() is None


def test_an_engine_is_away_by_more_than_half_for_a_while() -> None:
    three = Three()
    for _ in range(3):
        three.drains.on_liveness_check("x0", False)
    three.tell(2, 0)
    three.tell(3, 0)
    three.drains.step(0.0, CHAIN)
    three.live(S.engine_absence_ms + 1, 2, 3)
    three.drains.step(three.now, CHAIN)
    assert not three.drains.is_absent("x0"), "one alone may have lost its own way"
    three.tell(2, 0, version=2, away=1)
    three.drains.step(three.now, CHAIN)
    three.live(three.now + S.engine_absence_ms, 2, 3)
    three.tell(2, 0, version=3, away=1)
    three.drains.step(three.now, CHAIN)
    assert three.drains.is_absent("x0") and not three.drains.present_engines({})
    three.drains.on_liveness_check("x0", True)
    three.tell(2, 0, version=4)
    three.drains.step(three.now, CHAIN)
    assert not three.drains.is_absent("x0") and three.drains.is_answering("x0")


def test_engines_that_are_out_are_asked_now_and_then_and_drivers_are_told_at_once() -> None:
    drains = EngineDrains(1, 5, 0.0, S)
    drains.set_listed_engines(THERE)
    drains.drain("a0", 7, 2)
    drains.drain("b0", 7, 0)
    drains.drain("c0", 7, 0)
    chain = {e: MachineRecord(step, 7, driver=2) for e, step in zip(("a0", "b0", "c0"), SEEN, strict=True)}
    assert drains.step(0.0, chain)[0] == CheckLiveness("a0")
    assert drains.step(50.0, chain) == [], "nothing new"
    drains.set_open_requests("a0", 1)
    (tell,) = drains.step(100.0, chain)
    assert isinstance(tell, SendReport) and tell.member == 2
    rows = decode_report(tell.payload).rows
    assert [rows[engine_number(e)].open_requests for e in ("a0", "b0")] == [1, 0] and len(rows) == 2
    assert [type(a) for a in drains.step(300.0, chain)] == [CheckLiveness, SendReport]


def test_no_load_goes_out_before_registers_are_read_unless_nobody_is_there() -> None:
    settled = StartupGate(0.0, S)
    assert not settled.step(S.no_majority_timeout_ms * 2, False, True) and settled.step(
        S.no_majority_timeout_ms * 2, True, True
    )
    settled = StartupGate(0.0, S)
    assert not settled.step(S.no_majority_timeout_ms - 1, False, False) and settled.step(
        S.no_majority_timeout_ms, False, False
    )
    settled = StartupGate(0.0, S)
    assert settled.step(S.startup_timeout_ms, False, True), "a fleet that has forgotten all serves"
    assert not settled.check_pause(S.pause_threshold_ms - 1) and settled.check_pause(3 * S.pause_threshold_ms)
    assert not settled.step(3 * S.pause_threshold_ms, False, True), (
        "one that stood still knows nothing any more"
    )


@pytest.mark.parametrize(
    "drained, over",
    [((), ["a0", "b0"]), (("a0",), ["b0"]), (("a0", "b0", "c0"), [])],
    ids=["over meanwhile", "one of two", "out as before"],
)
def test_drains_of_a_life_before_hold_until_it_is_known_which_are_over(
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


def test_what_is_held_comes_through_as_draining_and_back_as_the_list_has_it() -> None:
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
        plan.check_request(parse_request("ann", {"machines": rows}, THERE), THERE)


def test_a_zone_stands_for_its_engines() -> None:
    request = parse_request("ann", {"machines": [{"zone": "b", "cores": 4}, {"name": "d0"}]}, THERE)
    assert request.items == (
        MachineRequest("b0", cores=4.0),
        MachineRequest("b1", cores=4.0),
        MachineRequest("d0"),
    )
    plan.check_request(request, THERE)


def chain_of(*steps: ReplacementStep) -> dict[str, MachineRecord]:
    names = sorted(n for n, m in THERE.items() if m.is_engine)
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


def test_starts_ask_the_outlook_with_engines_cores_and_count_none_twice() -> None:
    asked: list[dict[str, float]] = []
    starts = StartConditions(1, 1000.0, lambda out: asked.append(dict(out)) or [])  # type: ignore[func-returns-value]
    chain = chain_of(ReplacementStep.OUT, ReplacementStep.AGREED)
    for counted, cores in ((True, 16.0), (False, 8.0)):
        asked.clear()
        there = THERE | {"a0": Machine("a0", "a", 8.0, True, is_counted=counted)}
        whole = ReplacementPlan(machines_out=(machine_id("a0"),), max_out=2, max_zones=3)
        assert starts.blockers(0.0, "a1", whole, chain, there) == []
        assert {sum(out.values()) for out in asked} >= {cores}, asked
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
    asked.clear()
    starts.blockers(0.0, "a1", ReplacementPlan(), smaller | {"a1": chain["a1"]}, THERE)
    assert [sum(out.values()) for out in asked] == [8.0], "the list has the smaller one's cores already"


def test_an_engine_that_comes_smaller_is_said_and_one_not_away_is_the_old_one() -> None:
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
PLAYED = ["calm", "lossy", "driver dies: draining", "all restart: draining", "all restart: out"]
PLAYED += ["stands 13 s: agreed", "another is long away: draining", "link lost: out", "power: out"]
PLAYED += ["engine pauses: out"]
PLAYED += [f"aborted: {step}" for step in ("agreed", "draining", "out", "ramping")]


@pytest.mark.parametrize("name", PLAYED)
def test_no_request_is_broken_and_all_come_to_their_end(name: str) -> None:
    assert CASES[name](3) == []


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_noticed(name: str) -> None:
    with planted(name) as (case, says):
        found = CASES[case](1)
    assert any(says in breach for breach in found), found
