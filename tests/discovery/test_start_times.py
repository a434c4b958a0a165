"""Start times reported in Unix time: the cold budget must apply even if the local wall clock is wrong."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from cottonhold import Scheduler
from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.event_stream import SOURCE, EventStream, PollConnection, decode_events
from cottonhold.discovery.model import ConfiguredNames, PublishChange, SourceGuard, SourceReport
from cottonhold.discovery.source_view import MAX_PAST_STARTS
from cottonhold.discovery.start_times import StartTimes
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import EngineList
from cottonhold.transport.clock import ORIGIN_MS, LoopClock
from tests.support.scheduler_events import RULES, settings

STEPS = [0.0, 5.0, -5.0, 3600.0, -3600.0]  # steps of a wall clock, in s
UNIX, DAY = 1_790_000_000_000.0, 86_400_000.0
WARM = RULES.warm_up_ms


class Machine:
    """A machine's clocks: the wall clock has an error, the monotonic one starts at the machine's boot."""

    def __init__(self, clock_error_s: float = 0.0, up_s: float = 7.0) -> None:
        self.up_s, self.clock_error_s = up_s, clock_error_s
        self.booted = UNIX - up_s * 1000
        self.clock = LoopClock(asyncio.new_event_loop(), lambda: self.up_s, lambda: self.wall_s())
        self.clock.loop.close()

    def wall_s(self) -> float:
        return self.true() / 1000 + self.clock_error_s

    def true(self) -> float:
        """Return the true Unix time in ms."""
        return self.booted + self.up_s * 1000


class CatalogUnderTest:
    """The path of an answer of the event stream through the catalog to the scheduler."""

    def __init__(self, machine: Machine, *known: tuple[str, float]) -> None:
        self.machine, self.counters = machine, Counters()
        self.names, self.offset = ConfiguredNames(("z",), ("a",)), 0
        self.catalog = EngineCatalog(((SOURCE, SourceGuard(is_trusted=True)),), 1, machine.clock.unix_offset)
        self.scheduler = Scheduler(settings(), 1)
        offset, reports = decode_events(self.batch(*known), self.names, self.counters)
        self.bus = EventStream("h", offset, self.names, self.counters, lambda report: self.apply(report))
        self.connection = PollConnection(self.bus)
        self.bus.on_complete_answer = lambda: self.catalog.on_complete_answer(machine.clock.now(), SOURCE)
        self.apply(*reports)
        self.bus.on_complete_answer()

    def batch(self, *engines: tuple[str, float], state: str = "Ready") -> dict[str, object]:
        entries = [
            {"instanceId": name, "hostPort": "127.0.0.9:1", "lifecycle": state, "startedAtMs": started}
            for name, started in engines
        ]
        events = []
        for entry in entries:  # one engine each; event number 1 is a complete list
            self.offset += 1
            events.append({"offset": self.offset, "topology": {"instances": [entry]}})
        return {"offset": self.offset, "batch": events}

    def answer(self, *engines: tuple[str, float], state: str = "Ready") -> None:
        """Receive an answer of the event stream; one without engines contains nothing new."""
        body = orjson.dumps(self.batch(*engines, state=state))
        assert self.connection.receive(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def apply(self, *reports: SourceReport) -> None:
        now = self.machine.clock.now()
        for action in self.catalog.step(now, reports):
            if isinstance(action, PublishChange):
                self.scheduler.step(now, [EngineList(action.change.engines, is_complete=False)])

    def wait(self, seconds: float, step: float = 0.0) -> None:
        self.machine.up_s += seconds
        self.machine.clock_error_s += step

    def cold_for(self, engine: str) -> float:
        """Return for how many more ms the engine is limited to the cold budget."""
        return max(self.scheduler.engines[engine].cold_until - self.machine.clock.now(), 0.0)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_of_the_wall_clock_does_not_move_the_loop_clock(step: float) -> None:
    machine = Machine()
    before = machine.clock.now()
    machine.clock_error_s += step
    assert machine.clock.now() == before
    machine.up_s += 2.5
    assert machine.clock.now() - before == 2500.0 and before == ORIGIN_MS + 7000.0


@pytest.mark.parametrize("late", [0.0, 0.3, 1.9, 8.0], ids=lambda s: f"reported {s} s late")
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("clock_error_s", STEPS)
def test_a_late_reported_start_is_cold_for_its_time_and_hardly_longer(
    clock_error_s: float, step: float, late: float
) -> None:
    """The wall clock is wrong at the start and is stepped later; the source is down for `late` seconds."""
    node = CatalogUnderTest(Machine(clock_error_s), ("old", 0.0))
    node.wait(60.0, step)
    node.answer()
    started = node.machine.true()
    node.wait(late)
    node.answer(("new", started))
    assert node.cold_for("old") == 0.0
    assert WARM - late * 1000 <= node.cold_for("new") <= WARM


@pytest.mark.parametrize("clock_error_s", STEPS)
def test_after_a_promptly_reported_start_late_ones_are_derived_correctly(clock_error_s: float) -> None:
    node = CatalogUnderTest(Machine(clock_error_s), ("old", 0.0))
    node.answer(("first", node.machine.true()))
    node.wait(1.0)
    started = node.machine.true()
    node.wait(4.0)
    node.answer(("second", started))
    expected = WARM if clock_error_s < 0 else WARM - 4000.0  # a wall clock that is behind gives later starts
    assert node.cold_for("second") == pytest.approx(expected, abs=1.0)


@pytest.mark.parametrize("clock_error_s", STEPS)
def test_recently_started_engines_of_the_first_list_are_cold_and_none_for_long(clock_error_s: float) -> None:
    machine = Machine(clock_error_s)
    began = {"just now": 100.0, "before": 4000.0, "long": 600_000.0, "ages": 30 * DAY}
    node = CatalogUnderTest(machine, *((name, machine.true() - ago) for name, ago in began.items()))
    for name, ago in began.items():
        assert max(WARM - ago, 0.0) <= node.cold_for(name) <= WARM
    assert node.cold_for("ages") == 0.0 and (clock_error_s < 0 or node.cold_for("long") == 0.0)


@pytest.mark.parametrize("clock_error_s", STEPS)
def test_a_fleet_that_started_long_ago_is_warm_at_this_start(clock_error_s: float) -> None:
    machine = Machine(clock_error_s)
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


@pytest.mark.parametrize("clock_error_s", STEPS)
def test_a_start_reported_again_is_unchanged_and_a_new_one_is_cold(clock_error_s: float) -> None:
    node = CatalogUnderTest(Machine(clock_error_s), ("e", 0.0))
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
@pytest.mark.parametrize("clock_error_s", STEPS)
def test_an_engine_that_was_only_unlisted_for_a_while_stays_warm(clock_error_s: float, state: str) -> None:
    node = CatalogUnderTest(Machine(clock_error_s), ("old", 0.0))
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
    assert len(node.catalog.views[SOURCE].past_starts) == MAX_PAST_STARTS


@pytest.mark.parametrize("clock_error_s", STEPS)
def test_on_a_machine_just_booted_a_cold_engine_is_not_regarded_as_warm(clock_error_s: float) -> None:
    machine = Machine(clock_error_s, up_s=0.5)
    node = CatalogUnderTest(machine, ("e", machine.true() - 2000.0))
    assert WARM - 2000.0 <= node.cold_for("e") <= WARM
    assert StartTimes(0.0).local_start(500.0, 1.0) > 0  # 0 would mean warm


@pytest.mark.parametrize("stamp", [1e308, 1e300, 0.5, 1.79e9])
def test_an_invalid_stamp_counts_as_now_once_the_list_is_known(stamp: float) -> None:
    node = CatalogUnderTest(Machine(), ("old", 0.0))
    node.wait(1.0)
    node.answer(("odd", stamp))
    assert node.cold_for("odd") == WARM


@pytest.mark.parametrize("clock_error_s", STEPS)
@pytest.mark.parametrize("late", [0.5, 2.0, 4.5], ids=lambda s: f"reported {s} s late")
def test_a_start_reported_with_a_usual_delay_is_derived_by_an_agreeing_wall_clock(
    clock_error_s: float, late: float
) -> None:
    """Guards against starts dated to their report, which left new engines underused for seconds."""
    node = CatalogUnderTest(Machine(clock_error_s), ("old", 0.0))
    node.wait(60.0)
    node.answer()
    started = node.machine.true()
    node.wait(late / 2)
    node.answer()  # the source is polled in the meantime, and doesn't list the engine yet
    node.wait(late / 2)
    node.answer(("new", started))
    expected = WARM if clock_error_s else WARM - late * 1000
    assert node.cold_for("new") == pytest.approx(expected, abs=1.0)
