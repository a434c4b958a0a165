"""Engines' starts are told in Unix time; the own wall clock may be off, and the cold budget has to bind."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from cottonhold import Scheduler
from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.event_stream import SOURCE, EventStream, decode_events
from cottonhold.discovery.model import ConfiguredNames, PublishChange, SourceGuard, SourceReport
from cottonhold.discovery.source_view import MAX_PAST_STARTS
from cottonhold.discovery.start_times import StartTimes
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import EngineList
from cottonhold.transport.clock import ORIGIN_MS, LoopClock
from tests.support.scheduler_events import RULES, settings

STEPS = [0.0, 5.0, -5.0, 3600.0, -3600.0]  # seconds that a wall clock is stepped by
UNIX, DAY = 1_790_000_000_000.0, 86_400_000.0
WARM = RULES.warm_up_ms


class Machine:
    """A machine's clocks: the wall clock is off by `wrong`, the monotonic one counts from the boot."""

    def __init__(self, wrong_s: float = 0.0, up_s: float = 7.0) -> None:
        self.up_s, self.wrong_s = up_s, wrong_s
        self.booted = UNIX - up_s * 1000
        self.clock = LoopClock(asyncio.new_event_loop(), lambda: self.up_s, lambda: self.wall_s())
        self.clock.loop.close()

    def wall_s(self) -> float:
        return self.true() / 1000 + self.wrong_s

    def true(self) -> float:
        """Unix ms as they are."""
        return self.booted + self.up_s * 1000


class CatalogUnderTest:
    """What the dispatcher does with an answer of the event bus, up to its module's view of each engine."""

    def __init__(self, machine: Machine, *known: tuple[str, float]) -> None:
        self.machine, self.counters = machine, Counters()
        self.names, self.offset = ConfiguredNames(("z",), ("a",)), 0
        self.belief = EngineCatalog(((SOURCE, SourceGuard(is_trusted=True)),), 1, machine.clock.unix_offset)
        self.module = Scheduler(settings(), 1)
        offset, reports = decode_events(self.batch(*known), self.names, self.counters)
        self.bus = EventStream("h", offset, self.names, self.counters, lambda report: self.believe(report))
        self.bus.on_complete_answer = lambda: self.belief.on_complete_answer(machine.clock.now(), SOURCE)
        self.believe(*reports)
        self.bus.on_complete_answer()

    def batch(self, *engines: tuple[str, float], state: str = "Ready") -> dict[str, object]:
        entries = [
            {"instanceId": name, "hostPort": "127.0.0.9:1", "lifecycle": state, "startedAtMs": started}
            for name, started in engines
        ]
        events = []
        for entry in entries:  # one engine each; the very first event is a whole list by its number
            self.offset += 1
            events.append({"offset": self.offset, "topology": {"instances": [entry]}})
        return {"offset": self.offset, "batch": events}

    def answer(self, *engines: tuple[str, float], state: str = "Ready") -> None:
        """An answer of the event bus; without engines one that tells nothing new."""
        body = orjson.dumps(self.batch(*engines, state=state))
        assert self.bus.receive(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def believe(self, *reports: SourceReport) -> None:
        now = self.machine.clock.now()
        for action in self.belief.step(now, reports):
            if isinstance(action, PublishChange):
                self.module.step(now, [EngineList(action.change.engines, is_complete=False)])

    def wait(self, seconds: float, step: float = 0.0) -> None:
        self.machine.up_s += seconds
        self.machine.wrong_s += step

    def cold_for(self, engine: str) -> float:
        """For so many ms more the engine is held to the cold budget."""
        return max(self.module.engines[engine].cold_until - self.machine.clock.now(), 0.0)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_of_the_wall_clock_does_not_move_the_loop_clock(step: float) -> None:
    machine = Machine()
    before = machine.clock.now()
    machine.wrong_s += step
    assert machine.clock.now() == before
    machine.up_s += 2.5
    assert machine.clock.now() - before == 2500.0 and before == ORIGIN_MS + 7000.0


@pytest.mark.parametrize("late", [0.0, 0.3, 1.9, 8.0], ids=lambda s: f"told {s} s late")
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("wrong", STEPS)
def test_a_late_reported_start_is_cold_for_its_time_and_hardly_longer(
    wrong: float, step: float, late: float
) -> None:
    """wrong: the wall clock's error at the own start; step: in service; late: the list was down meanwhile."""
    node = CatalogUnderTest(Machine(wrong), ("old", 0.0))
    node.wait(60.0, step)
    node.answer()
    started = node.machine.true()
    node.wait(late)
    node.answer(("new", started))
    assert node.cold_for("old") == 0.0
    assert WARM - late * 1000 <= node.cold_for("new") <= WARM


@pytest.mark.parametrize("wrong", STEPS)
def test_after_a_promptly_reported_start_late_ones_are_derived_correctly(wrong: float) -> None:
    node = CatalogUnderTest(Machine(wrong), ("old", 0.0))
    node.answer(("first", node.machine.true()))
    node.wait(1.0)
    started = node.machine.true()
    node.wait(4.0)
    node.answer(("second", started))
    expected = WARM if wrong < 0 else WARM - 4000.0  # behind, the own wall clock makes a start later
    assert node.cold_for("second") == pytest.approx(expected, abs=1.0)


@pytest.mark.parametrize("wrong", STEPS)
def test_recently_started_engines_of_the_first_list_are_cold_and_none_for_long(wrong: float) -> None:
    machine = Machine(wrong)
    began = {"just now": 100.0, "before": 4000.0, "long": 600_000.0, "ages": 30 * DAY}
    node = CatalogUnderTest(machine, *((name, machine.true() - ago) for name, ago in began.items()))
    for name, ago in began.items():
        assert max(WARM - ago, 0.0) <= node.cold_for(name) <= WARM
    assert node.cold_for("ages") == 0.0 and (wrong < 0 or node.cold_for("long") == 0.0)


@pytest.mark.parametrize("wrong", STEPS)
def test_a_fleet_that_started_long_ago_is_warm_at_this_start(wrong: float) -> None:
    machine = Machine(wrong)
    node = CatalogUnderTest(machine, *((f"e{i}", machine.true() - DAY) for i in range(3)))
    assert [node.cold_for(f"e{i}") for i in range(3)] == [0.0] * 3


@pytest.mark.parametrize("stamped", [-3600.0, -5.0, 5.0, 3600.0])
def test_a_stamp_of_a_wrong_clock_counts_as_now_and_affects_no_other(stamped: float) -> None:
    node = CatalogUnderTest(Machine(), ("old", 0.0))
    node.wait(1.0)
    node.answer()
    node.wait(0.5)
    node.answer(("odd", node.machine.true() + stamped * 1000))
    assert node.cold_for("odd") == WARM
    node.wait(3.0)
    node.answer(("good", node.machine.true()))
    assert node.cold_for("good") == WARM


@pytest.mark.parametrize("wrong", STEPS)
def test_a_start_reported_again_stays_and_a_new_one_is_cold_anew(wrong: float) -> None:
    node = CatalogUnderTest(Machine(wrong), ("e", 0.0))
    node.wait(10.0)
    first = node.machine.true()
    node.answer(("e", first))
    node.wait(6.0)
    node.answer(("e", first))
    assert node.cold_for("e") == WARM - 6000.0
    node.wait(6.0)
    node.answer(("e", node.machine.true()))
    assert node.cold_for("e") == WARM


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
@pytest.mark.parametrize("wrong", STEPS)
def test_an_engine_that_was_only_unlisted_for_a_while_is_not_cold_anew(wrong: float, state: str) -> None:
    node = CatalogUnderTest(Machine(wrong), ("old", 0.0))
    started = node.machine.true()
    node.answer(("e", started))
    node.wait(WARM / 2000)
    node.answer(("e", started), state=state)
    node.wait(1.0)
    node.answer(("e", started))
    assert node.cold_for("e") == pytest.approx(WARM / 2 - 1000.0, abs=1.0)
    node.answer(("e", started), state=state)
    node.wait(1.0)
    node.answer(("e", node.machine.true()))
    assert node.cold_for("e") == WARM


def test_starts_of_removed_engines_are_retained_up_to_a_limit() -> None:
    node = CatalogUnderTest(Machine(), ("old", 0.0))
    for i in range(MAX_PAST_STARTS + 10):
        node.answer((f"e{i}", node.machine.true()))
        node.answer((f"e{i}", 0.0), state="Gone")
    assert len(node.belief.views[SOURCE].past_starts) == MAX_PAST_STARTS


@pytest.mark.parametrize("wrong", STEPS)
def test_on_a_machine_just_booted_a_cold_engine_is_not_taken_for_warm(wrong: float) -> None:
    machine = Machine(wrong, up_s=0.5)
    node = CatalogUnderTest(machine, ("e", machine.true() - 2000.0))
    assert WARM - 2000.0 <= node.cold_for("e") <= WARM
    assert StartTimes(0.0).local_start(500.0, 1.0) > 0  # 0 would say: warm


@pytest.mark.parametrize("stamp", [1e308, 1e300, 0.5, 1.79e9])
def test_an_invalid_stamp_counts_as_now_once_the_list_is_known(stamp: float) -> None:
    node = CatalogUnderTest(Machine(), ("old", 0.0))
    node.wait(1.0)
    node.answer(("odd", stamp))
    assert node.cold_for("odd") == WARM


@pytest.mark.parametrize("wrong", STEPS)
@pytest.mark.parametrize("late", [0.5, 2.0, 4.5], ids=lambda s: f"told {s} s late")
def test_a_start_reported_with_a_usual_delay_is_derived_by_an_agreeing_wall_clock(
    wrong: float, late: float
) -> None:
    """Danger: counted from when they were told, new engines stood idle beside full ones for seconds."""
    node = CatalogUnderTest(Machine(wrong), ("old", 0.0))
    node.wait(60.0)
    node.answer()
    started = node.machine.true()
    node.wait(late / 2)
    node.answer()  # the list is asked all the while, and knows of nothing yet
    node.wait(late / 2)
    node.answer(("new", started))
    expected = WARM if wrong else WARM - late * 1000
    assert node.cold_for("new") == pytest.approx(expected, abs=1.0)
