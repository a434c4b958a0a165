"""Loads and disk errors, hangs and power losses: none runs twice, and no success is reported without one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.recovery.load_history import LoadHistory
from cottonhold.fleet.recovery.load_history_interface import LoadHistorySettings
from cottonhold.fleet_adapters import load_conversions, load_records
from cottonhold.fleet_adapters.load_conversions import recorded_loads
from cottonhold.fleet_adapters.load_records import LoadRecorder
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.store.health import DiskHealth, DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, decode_loads
from tests.support.scenario import FakeClock

OnWritten = Callable[[bool], None]
RETENTION_MS = 1e9


class FaultyLedger:
    """A ledger whose writes end when the test calls `answer`; a kill leaves some of them on the disk."""

    def __init__(self, disk: dict[bytes, bytes], boot_count: int) -> None:
        self.disk, self.boot_count, self.state = disk, boot_count, DiskState.HEALTHY
        self.writes_in_flight: list[tuple[Sequence[Record], OnWritten | None]] = []

    def health(self, now: float) -> DiskHealth:
        return DiskHealth(self.state, "as told")

    def put(self, records: Sequence[Record], done: OnWritten | None = None) -> None:
        if self.state is DiskState.HEALTHY:
            self.writes_in_flight.append((records, done))
        elif done is not None:
            done(False)

    def write(self, records: Sequence[Record]) -> None:
        for record in records:
            self.disk.pop(record.key, None)
            if record.value is not None:
                self.disk[record.key] = record.value

    def answer(self, succeeded: bool | None) -> None:
        """End the oldest write; None: it reports a failure although its records are on the disk."""
        if not self.writes_in_flight:
            return
        records, done = self.writes_in_flight.pop(0)
        if succeeded is not False:
            self.write(records)
        if not succeeded:
            self.state = DiskState.FAILED
        if done is not None:
            done(bool(succeeded))

    def kill(self, written_count: int) -> None:
        """Kill the process, with the first `written_count` writes in flight on the disk."""
        for records, _ in self.writes_in_flight[:written_count]:
            self.write(records)


@dataclass(eq=False)
class Request:
    """One request of a load by its client."""

    load: int
    attempt: Attempt
    is_sent: bool = False  # to the engine
    is_over: bool = False


class World:
    """One dispatcher and its clients, which retry until they succeed."""

    def __init__(self) -> None:
        self.clock, self.disk, self.boot_count = FakeClock(), dict[bytes, bytes](), 0
        self.ran, self.ended_well = Counter[int](), set[int]()
        self.requested_loads, self.serial = set[int](), 0
        self.start()

    def start(self) -> None:
        self.boot_count += 1
        self.ledger = FaultyLedger(self.disk, self.boot_count)
        self.requests = list[Request]()
        recorded, records = recorded_loads(self.disk)
        settings = LoadHistorySettings(RETENTION_MS)
        history = LoadHistory(0, 1, self.boot_count, self.clock.now(), recorded, settings, 1)
        self.loads = LoadRecorder(
            history,
            cast(Ledger, self.ledger),
            records,
            {1: True},
            RETENTION_MS,
            self.clock.now,
            self.clock.now,
            self.clock.call_in,
            lambda then: then(),
            lambda: True,
            lambda actions: None,
            Counters(),
            lambda event, **fields: None,
        )

    def send_request(self, load: int) -> None:
        """Send a client's request; later requests of the same load are marked as retries."""
        self.serial += 1
        now, body = self.clock.now(), b"INSERT %d" % load
        request_id, retry = f"r{self.serial}", load in self.requested_loads
        self.requested_loads.add(load)
        client_request = ClientRequest(
            request_id, 1, "load", now, 8000.0, 0.0, 0.0, -1, f"k{load}", retry, body
        )
        request = Request(load, Attempt(request_id, 0, "e", "load", body, 1, now, now + 5000))
        self.loads.on_load_arrived(
            client_request,
            now + 5000.0,
            lambda outcome, ms: self.on_outcome(request, client_request, outcome),
        )

    def on_outcome(self, request: Request, client_request: ClientRequest, outcome: LoadOutcome) -> None:
        if outcome is LoadOutcome.NEVER_RAN:
            self.requests.append(request)
            self.loads.before_attempt_sent(
                request.attempt, client_request, lambda is_recorded: self.on_recorded(request, is_recorded)
            )
            return
        if outcome is LoadOutcome.SUCCEEDED:
            assert request.load in self.ended_well, "told as well"
        self.loads.on_request_closed(client_request.request_id)

    def on_recorded(self, request: Request, is_recorded: bool) -> None:
        if request.is_over or request.is_sent:
            return
        if is_recorded:
            self.ran[request.load] += 1
            assert self.ran[request.load] == 1, f"load {request.load} ran twice"
            request.is_sent = True
        else:
            self.close(request, None)

    def close(self, request: Request, outcome: Outcome | None) -> None:
        """End an attempt together with its request."""
        request.is_over = True
        if outcome is Outcome.OK:
            self.ended_well.add(request.load)
        if outcome is Outcome.OVERLOADED:
            self.ran[request.load] -= 1
        self.loads.on_attempt_ended(request.attempt, outcome)
        self.loads.on_request_closed(request.attempt.request_id)
        self.requests.remove(request)

    def end(self, outcome: Outcome) -> None:
        for request in [r for r in self.requests if r.is_sent][:1]:
            self.close(request, outcome)

    def leave(self) -> None:
        """Disconnect a client, or let its deadline pass, while its load's record is written."""
        for request in [r for r in self.requests if not r.is_sent][:1]:
            self.close(request, None)

    def kill(self, written_count: int) -> None:
        self.ledger.kill(written_count)
        self.start()

    def play(self, steps: Sequence[tuple[str, Any]]) -> None:
        for what, argument in steps:
            if what == "health":
                self.ledger.state = argument
            elif what == "answer":
                self.ledger.answer(argument)
            elif what == "wait":
                self.clock.run_until(self.clock.now() + argument, lambda: None)
                self.loads.expire()
            elif what == "ask":
                self.send_request(argument)
            elif what == "end":
                self.end(argument)
            elif what == "kill":
                self.kill(argument)
            else:
                self.leave()
        self.check_service_after_faults()

    def check_service_after_faults(self) -> None:
        """Check that after the faults, without a restart, a new load runs and its record survives a kill."""
        self.ledger.state = DiskState.HEALTHY
        self.send_request(99)
        while self.ledger.writes_in_flight:
            self.ledger.answer(True)
        assert self.ran[99] == 1
        self.kill(0)
        self.send_request(99)
        while self.ledger.writes_in_flight:
            self.ledger.answer(True)
        assert self.ran[99] == 1


ENDS = [Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.OVERLOADED]
STEP = st.one_of(
    st.tuples(st.just("ask"), st.integers(1, 3)),
    st.tuples(st.just("ask"), st.integers(1, 3)),
    st.tuples(st.just("answer"), st.sampled_from([True, False, None])),
    st.tuples(st.just("answer"), st.just(True)),
    st.tuples(st.just("health"), st.sampled_from(list(DiskState))),
    st.tuples(st.just("health"), st.just(DiskState.HEALTHY)),
    st.tuples(st.just("end"), st.sampled_from(ENDS)),
    st.tuples(st.just("leave"), st.none()),
    st.tuples(st.just("wait"), st.integers(1, 10_000)),
    st.tuples(st.just("kill"), st.integers(0, 4)),
)


@settings(max_examples=400, deadline=None)
@given(st.lists(STEP, max_size=40))
def test_any_history_runs_no_load_twice(steps: list[tuple[str, Any]]) -> None:
    World().play(steps)


WRITTEN, REFUSED = ("answer", True), ("answer", False)
RAN_AND_KILLED = [("ask", 1), WRITTEN, ("kill", 0), ("ask", 1), WRITTEN]
RESET_AND_KILLED = [("ask", 1), WRITTEN, ("end", Outcome.RESET), WRITTEN, ("kill", 0), ("ask", 1), WRITTEN]
FAILED = [
    ("ask", 1),
    REFUSED,
    ("wait", 10_000),
    ("health", DiskState.HEALTHY),
    ("ask", 1),
    WRITTEN,
    ("kill", 0),
]
END_NOT_RECORDED = [
    ("ask", 1),
    WRITTEN,
    ("health", DiskState.FULL),
    ("end", Outcome.OK),
    ("kill", 0),
    ("ask", 1),
    WRITTEN,
]


WRITTEN_THOUGH_FAILED = [("ask", 1), ("answer", None), ("kill", 0), ("ask", 1), WRITTEN]


@pytest.mark.parametrize(
    "steps", [RAN_AND_KILLED, RESET_AND_KILLED, FAILED, END_NOT_RECORDED, WRITTEN_THOUGH_FAILED]
)
def test_a_load_that_may_have_run_is_not_sent_again(steps: list[tuple[str, Any]]) -> None:
    World().play(steps)


def test_a_load_that_the_disk_refused_is_sent_once_it_can_be_recorded() -> None:
    world = World()
    world.play(FAILED[:-1])
    assert world.ran[1] == 1


def sends_before_the_record_is_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    put = FaultyLedger.put

    def hasty(ledger: FaultyLedger, records: Sequence[Record], done: OnWritten | None = None) -> None:
        if done is not None:
            done(True)
        put(ledger, records, None)

    monkeypatch.setattr(FaultyLedger, "put", hasty)


def takes_a_reset_for_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load_records, "NEVER_RAN", (*load_conversions.NEVER_RAN, Outcome.RESET))


def forgets_records_at_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        load_conversions, "decode_loads", lambda folder: replace(decode_loads(folder), by_identity={})
    )


@pytest.mark.parametrize(
    "plant, steps",
    [
        (sends_before_the_record_is_durable, [("ask", 1), ("kill", 0), ("ask", 1)]),
        (takes_a_reset_for_never_ran, RESET_AND_KILLED),
        (forgets_records_at_the_start, RAN_AND_KILLED),
    ],
)
def test_a_planted_defect_is_detected(
    monkeypatch: pytest.MonkeyPatch,
    plant: Callable[[pytest.MonkeyPatch], None],
    steps: list[tuple[str, Any]],
) -> None:
    World().play(steps)
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="ran twice"):
        World().play(steps)
