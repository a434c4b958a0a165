"""The guard of loads with keys on a fake clock: owners, forwarding, expired leases, and order per key."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.forwarder import ForwardingEnded, ForwardResult
from cottonhold.fleet.request_forwarding.request_codec import (
    ForwardedRequest,
    affinity_key,
    decode_request,
    decode_rows,
    encode_request,
    encode_rows,
)
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet_adapters.keyed_loads import (
    MAX_FORWARDED_WAIT_MS,
    MAX_WAIT_MS,
    KeyedLoadGuard,
    OriginRound,
)
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.gateway import Gateway
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.node.load_guard import LoadOutcomeCallback as Tell
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from tests.support.scenario import FakeClock

ME, X, Y = 11, 12, 13
OWNED_HERE = OwnedHere(1, 1e9)


class RecordingLoadGuard:
    """The wrapped load guard, which accepts all loads and stores the callbacks of their records."""

    def __init__(self) -> None:
        self.recorded_callbacks: list[Callable[[bool], None]] = []

    def guards(self, query_class: int) -> bool:
        return True

    def on_load_arrived(self, client_request: ClientRequest, deadline: float, on_outcome: Tell) -> None:
        on_outcome(LoadOutcome.NEVER_RAN, 0.0)

    def before_attempt_sent(
        self, attempt: Attempt, client_request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        self.recorded_callbacks.append(on_recorded)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None: ...

    def on_request_closed(self, request_id: str) -> None: ...


class World:
    """One guard, with stand-ins for its router and gateway; the test sets the owner of all keys."""

    member, retry_after_ms = ME, 40.0

    def __init__(self) -> None:
        self.clock, self.loads = FakeClock(), RecordingLoadGuard()
        self.current_route: OwnedHere | OwnedElsewhere | RetryAfter = OWNED_HERE
        self.forwarded: list[tuple[str, int]] = []
        self.outcomes: list[tuple[str, str]] = []
        self.rounds: list[int] = []
        self.events: list[Any] = []
        self.table = {ME, X, Y}
        self.guard = KeyedLoadGuard(self.loads, self, cast(Gateway, self), self.clock, Counters())

    def route(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        return self.current_route

    def is_owner(self, key: bytes) -> bool:
        return isinstance(self.current_route, OwnedHere)

    def is_member(self, member: int) -> bool:
        return member in self.table

    def will_not_start(self, key: bytes) -> bool:
        return not self.is_owner(key)

    def on_request_opened(self, key: bytes, load: int) -> None:
        self.events.append(("opened", load))

    def on_request_ended(self, key: bytes, load: int, is_outcome_known: bool) -> None:
        self.events.append(("ended", load, is_outcome_known))

    def forward(
        self, client_request: ClientRequest, owner: int, key: bytes, deadline: float, round_number: int
    ) -> None:
        self.forwarded.append((client_request.request_id, owner))
        self.rounds.append(round_number)

    def abandon(self, request_id: str) -> None:
        self.events.append(("left", request_id))

    def finish_without_attempt(self, request_id: str, outcome: str, answer: Callable[[Any], None]) -> None:
        self.outcomes.append((request_id, outcome))
        self.guard.on_request_closed(request_id)

    def arrive(self, request_id: str, key: str | None = "k", timeout_ms: float = 8000.0) -> None:
        client_request = ClientRequest(
            request_id, 1, "load", self.clock.now(), timeout_ms, 1.0, 0.0, -1, key, False, b"INSERT"
        )

        def settled(outcome: LoadOutcome, ms: float) -> None:
            self.outcomes.append((request_id, outcome.value))
            if outcome is not LoadOutcome.NEVER_RAN:
                self.guard.on_request_closed(request_id)

        self.guard.on_load_arrived(client_request, self.clock.now() + timeout_ms * 0.8, settled)

    def send(self, request_id: str) -> tuple[Attempt, list[bool]]:
        attempt, recorded = Attempt(request_id, 0, "e1", "load", b"", 1, 0.0, 1e9), list[bool]()
        self.guard.before_attempt_sent(attempt, cast(ClientRequest, None), recorded.append)
        return attempt, recorded

    def advance(self, ms: float) -> None:
        self.clock.now_ms += ms
        self.guard.step()

    def end_forwarding(self, request_id: str, end: ForwardResult, data: bytes = b"") -> None:
        self.guard.on_forwarding_ended(ForwardingEnded(request_id, end, 0.0, data))


def test_a_request_of_an_owned_key_starts_here_and_one_without_a_key_is_not_routed() -> None:
    world = World()
    world.arrive("a")
    world.current_route = RetryAfter(40.0)
    world.arrive("b", key=None)
    assert world.outcomes == [("a", "never"), ("b", "never")] and world.events == [("opened", 1)]


@pytest.mark.parametrize(
    ("outcome", "known"), [(Outcome.OK, True), (Outcome.TIMEOUT, False), (Outcome.CONNECT_FAILED, True)]
)
def test_a_load_is_open_until_its_last_attempt_has_ended(outcome: Outcome, known: bool) -> None:
    world = World()
    world.arrive("a")
    attempt, _ = world.send("a")
    world.guard.on_request_closed("a")
    assert world.events == [("opened", 1)]
    world.guard.on_attempt_ended(attempt, outcome)
    assert world.events[1:] == [("ended", 1, known)]


def test_no_attempt_is_sent_once_another_member_owns_the_key() -> None:
    """The ownership is checked before an attempt is recorded, and again once the record is durable."""
    world = World()
    world.arrive("a")
    world.arrive("b")
    _, recorded = world.send("a")
    world.current_route = OwnedElsewhere(b"", X)
    world.loads.recorded_callbacks[0](True)
    _, other = world.send("b")
    assert recorded == other == [False] and len(world.loads.recorded_callbacks) == 1
    assert world.outcomes[2:] == [("a", "refused"), ("b", "refused")]


def test_a_queued_request_is_rejected_when_its_key_gets_another_owner() -> None:
    world = World()
    world.arrive("a")
    world.arrive("b")
    world.send("b")
    world.current_route = RetryAfter(40.0)
    world.advance(10)
    assert world.outcomes[2:] == [("a", "refused")]


def test_requests_wait_for_an_owner_in_order_and_for_a_limited_time() -> None:
    world = World()
    world.current_route = RetryAfter(40.0)
    for ref in "abc":
        world.arrive(ref)
    world.advance(500)
    assert world.outcomes == []
    world.guard.on_request_closed("b")  # as its client has disconnected
    world.current_route = OWNED_HERE
    world.advance(1)
    assert world.outcomes == [("a", "never"), ("c", "never")]
    world.guard.on_request_closed("a")
    world.guard.on_request_closed("c")
    world.current_route = RetryAfter(40.0)
    world.arrive("d")
    world.advance(MAX_WAIT_MS)
    assert world.outcomes[2:] == [("d", "later")]


def test_a_request_of_another_members_key_is_forwarded_and_its_result_passed_on() -> None:
    world = World()
    world.current_route = OwnedElsewhere(b"", X)
    for ref in "abc":
        world.arrive(ref)
    assert world.forwarded == [("a", X), ("b", X), ("c", X)]
    world.end_forwarding("a", ForwardResult.ANSWERED, encode_rows([[b"1", b"2", b"3"]]))
    world.end_forwarding("b", ForwardResult.FAILED)
    world.guard.on_request_closed("c")
    world.end_forwarding("c", ForwardResult.ANSWERED)
    assert world.outcomes == [("a", "served"), ("b", "may")] and world.events == [("left", "c")]
    assert not world.guard.requests and not world.guard.forwarding_rounds


def test_a_forwarded_request_follows_the_owner_that_the_home_reports() -> None:
    world = World()
    world.current_route = OwnedElsewhere(b"", X)
    world.arrive("a")
    world.end_forwarding("a", ForwardResult.NOT_OWNER, Y.to_bytes(8, "big"))
    world.arrive("b")
    assert world.forwarded == [("a", X), ("a", Y), ("b", Y)]
    world.table.discard(Y)  # as its machine was replaced
    world.end_forwarding("a", ForwardResult.NOT_OWNER)
    world.advance(50)
    assert len(world.forwarded) == 3  # the key's next request is still at the previous owner
    world.end_forwarding("b", ForwardResult.NOT_OWNER)
    world.advance(50)
    assert world.forwarded[3:] == [("a", X), ("b", X)]
    assert len(set(world.rounds)) == 3 and world.rounds[3] == world.rounds[4]


def test_no_request_overtakes_one_that_is_with_a_previous_owner() -> None:
    world = World()
    world.current_route = OwnedElsewhere(b"", X)
    world.arrive("a")
    world.current_route = OWNED_HERE
    world.arrive("b")
    world.advance(100)
    assert world.outcomes == []
    world.end_forwarding("a", ForwardResult.NOT_OWNER)
    world.advance(100)
    assert world.outcomes == [("a", "never"), ("b", "never")]


def test_forwarding_between_two_members_that_are_not_the_owner_pauses() -> None:
    world = World()
    world.current_route = OwnedElsewhere(b"", X)
    world.arrive("a")
    for _ in range(20):
        world.end_forwarding("a", ForwardResult.NOT_OWNER, X.to_bytes(8, "big"))
    assert len(world.forwarded) == 3
    world.advance(50)
    assert len(world.forwarded) == 4


def test_a_request_forwarded_to_the_wrong_member_is_returned_with_the_owner() -> None:
    world = World()
    world.guard.origin_rounds |= {"a": OriginRound(Y, 1), "b": OriginRound(Y, 2), "c": OriginRound(Y, 2)}
    world.current_route = OwnedElsewhere(b"", X)
    world.arrive("a")
    assert world.outcomes == [("a", "later")] and world.guard.owners_by_returned == {"a": X}
    world.current_route = RetryAfter(40.0)
    world.arrive("b")
    world.arrive("c")
    world.advance(MAX_FORWARDED_WAIT_MS / 2)
    world.current_route = OWNED_HERE
    world.advance(1)
    assert world.outcomes[1:] == [("b", "never"), ("c", "never")] and not world.forwarded


def test_later_requests_of_a_returned_round_do_not_start_before_it() -> None:
    """The origin forwarded the later ones before it received the first one back; a new round starts."""
    world = World()
    world.guard.origin_rounds |= {
        "a": OriginRound(Y, 1),
        "b": OriginRound(Y, 1),
        "c": OriginRound(Y, 1),
        "d": OriginRound(Y, 2),
        "e": OriginRound(X, 1),
    }
    world.current_route = RetryAfter(40.0)
    world.arrive("a")
    world.arrive("b")
    world.advance(MAX_FORWARDED_WAIT_MS)
    world.current_route = OWNED_HERE
    world.arrive("c")
    assert [h for h, _ in world.outcomes] == ["a", "b", "c"] and set(world.guard.owners_by_returned) == {
        "a",
        "b",
        "c",
    }
    world.arrive("d")
    world.arrive("e")
    assert world.outcomes[3:] == [("d", "never"), ("e", "never")]


def test_forwarded_requests_and_rows_are_decoded_as_encoded() -> None:
    request = ForwardedRequest("00ff", "load", "k\u00e9y", 20.0, 0.5, -1, True, b"INSERT INTO t", 2**63)
    assert decode_request(encode_request(request)) == request
    for tenant, token in (("acme", ""), ("", "5c0f"), ("acme", "5c0f")):
        named = replace(request, tenant=tenant, idempotency_key=token)
        assert decode_request(encode_request(named)) == named
    rows = [[b"a", b"", b"c" * 300], [], [b"\t\n"]]
    assert decode_rows(encode_rows(rows)) == rows and len(affinity_key("k")) == 8
    for cut in (0, 5, 25, 30):
        with pytest.raises(MessageError):
            decode_request(encode_request(request)[:cut])
    for bad in (b"", encode_rows(rows)[:-1], encode_rows(rows) + b"x"):
        with pytest.raises(MessageError):
            decode_rows(bad)
