"""Forwarded requests are accepted once and in time and have one correct result, whatever the network does."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

import pytest

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.request_forwarding import messages
from cottonhold.fleet.request_forwarding.forwarder import (
    ForwardingEnded,
    ForwardingSettings,
    ForwardResult,
    RequestForwarder,
)
from cottonhold.fleet.request_forwarding.origin import RequestOrigin
from cottonhold.fleet.request_forwarding.outgoing import SendPhase
from cottonhold.fleet.request_forwarding.owner import RequestOwner
from tests.support.forwarding_network import LIAR, A, B, C, ForwardingNetwork, random_faults


@pytest.mark.parametrize("block", range(10))
def test_the_rules_hold_under_random_faults(block: int) -> None:
    for seed in range(block * 20, block * 20 + 20):
        random_faults(seed).check()


def forgets_an_accepted_request(monkeypatch: pytest.MonkeyPatch) -> None:
    on_fully_received = RequestOwner._on_fully_received

    def defect(self: RequestOwner, now: float, origin: Any, incarnation: Any, request: Any) -> None:
        on_fully_received(self, now, origin, incarnation, request)
        if incarnation.requests.pop(request.number & messages.U32, None) is None:
            incarnation.was_accepted.clear()

    monkeypatch.setattr(RequestOwner, "_on_fully_received", defect)


def forgets_an_answered_request(monkeypatch: pytest.MonkeyPatch) -> None:
    close = RequestOwner._close

    def defect(self: RequestOwner, origin: Any, incarnation: Any, count: int, accepted: bool) -> None:
        close(self, origin, incarnation, count, accepted)
        if accepted:
            incarnation.was_accepted.pop(count)

    monkeypatch.setattr(RequestOwner, "_close", defect)


def forgets_a_withdrawn_request(monkeypatch: pytest.MonkeyPatch) -> None:
    send_ack = RequestOwner._send_ack

    def defect(
        self: RequestOwner, now: float, origin: Any, incarnation: Any, number: int, is_cancelled: bool = False
    ) -> None:
        send_ack(self, now, origin, incarnation, number, is_cancelled)
        if incarnation.was_accepted.get(number & messages.U32) is False:
            incarnation.was_accepted.pop(number & messages.U32)

    monkeypatch.setattr(RequestOwner, "_send_ack", defect)


def accepts_a_request_for_an_earlier_incarnation(monkeypatch: pytest.MonkeyPatch) -> None:
    on_request_fragment = RequestOwner.on_request_fragment

    def defect(self: RequestOwner, now: float, sender: int, fragment: messages.RequestFragment) -> None:
        received = fragment.header
        timestamp = received.timestamp if received.owner_incarnation == self.incarnation else int(now * 1000)
        age_ms = received.timestamp_age_ms if received.owner_incarnation == self.incarnation else 0.0
        header = messages.RequestHeader(
            received.number,
            self.incarnation,
            timestamp,
            age_ms,
            received.remaining_ms,
            received.lowest_open_count,
        )
        on_request_fragment(
            self,
            now,
            sender,
            messages.RequestFragment(header, fragment.index, fragment.body_bytes, fragment.data),
        )

    monkeypatch.setattr(RequestOwner, "on_request_fragment", defect)


def does_not_reduce_the_remaining_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        RequestOwner, "_earliest_deadline", lambda self, now, header: now + header.remaining_ms
    )


def reports_not_accepted_after_all_was_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    end = RequestOrigin._end

    def defect(
        self: RequestOrigin,
        request: Any,
        result: ForwardResult,
        retry_after_ms: float = 0.0,
        data: bytes = b"",
    ) -> None:
        is_unsure = result is ForwardResult.FAILED and request.phase is SendPhase.WITHDRAWING
        end(self, request, ForwardResult.NOT_ACCEPTED if is_unsure else result, retry_after_ms, data)

    monkeypatch.setattr(RequestOrigin, "_end", defect)


def resends_what_an_earlier_incarnation_may_have_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    def defect(self: RequestOrigin, owner: Any, previous_incarnation: int) -> None:
        for request in owner.open_requests.values():
            if request.owner_incarnation == previous_incarnation and not request.is_ended:
                owner.window.remove(request.number)
                request.body.reset()
                request.phase = SendPhase.SENDING
                owner.window.add(request.body)

    monkeypatch.setattr(RequestOrigin, "_on_owner_restarted", defect)


def ignores_the_order(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        RequestOrigin, "_enqueue", lambda self, owner, request: self._start_sending(owner, request)
    )


def reports_too_late(monkeypatch: pytest.MonkeyPatch) -> None:
    schedule = RequestOrigin._schedule
    monkeypatch.setattr(
        RequestOrigin, "_schedule", lambda self, request, action_at: schedule(self, request, action_at + 25)
    )


def reports_two_results(monkeypatch: pytest.MonkeyPatch) -> None:
    end = RequestOrigin._end

    def defect(
        self: RequestOrigin,
        request: Any,
        result: ForwardResult,
        retry_after_ms: float = 0.0,
        data: bytes = b"",
    ) -> None:
        end(self, request, result, retry_after_ms, data)
        if result is ForwardResult.FAILED:
            self.actions.append(ForwardingEnded(request.request_id, result, retry_after_ms, data))

    monkeypatch.setattr(RequestOrigin, "_end", defect)


DEFECTS: dict[Callable[[pytest.MonkeyPatch], None], str] = {
    forgets_an_accepted_request: "accepted twice",
    forgets_an_answered_request: "accepted twice",
    forgets_a_withdrawn_request: "nobody|nothing ran",
    accepts_a_request_for_an_earlier_incarnation: "accepted twice",
    does_not_reduce_the_remaining_time: "left_ms",
    reports_not_accepted_after_all_was_sent: "nobody|nothing ran",
    resends_what_an_earlier_incarnation_may_have_accepted: "accepted twice",
    ignores_the_order: "order",
    reports_too_late: "in time",
    reports_two_results: "one end",
}


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda d: d.__name__)
def test_the_checker_finds_a_defect(
    defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defect(monkeypatch)
    for seed in range(150):
        try:
            random_faults(seed).check()
        except AssertionError as broken:
            if re.search(DEFECTS[defect], str(broken)):
                return
    pytest.fail("the checker did not report the defect")


def test_the_largest_request_passes_a_faulty_network_and_a_larger_one_is_refused() -> None:
    net = ForwardingNetwork(3)
    net.loss, net.duplicate_chance, net.max_delay_ms = 0.3, 0.3, 20.0
    largest, larger = (
        net.forward(A, B, messages.MAX_BODY_BYTES, 8000),
        net.forward(A, B, messages.MAX_BODY_BYTES + 1, 8000),
    )
    net.run(8000)
    net.check()
    assert (
        largest.results[0][1].result is ForwardResult.ANSWERED
        and larger.results[0][1].result is ForwardResult.TOO_LARGE
    )


@pytest.mark.parametrize(("size", "loss", "max_wait_ms"), [(100, 0.0, 10), (900, 0.0, 10), (100, 0.3, 300)])
def test_many_concurrent_requests_do_not_delay_one_another(
    size: int, loss: float, max_wait_ms: float
) -> None:
    net = ForwardingNetwork(4)
    net.loss, net.max_delay_ms = loss, 2.0
    for i in range(400):
        net.post(i * 2.5, A, 1, lambda: net.forward(A, B, size, 3000))
    net.run(4000)
    net.check()
    assert {attempt.results[0][1].result for attempt in net.attempts} == {ForwardResult.ANSWERED}
    waits = sorted(attempt.accepts[0][0] - attempt.deadline + 3000 for attempt in net.attempts)
    assert waits[360] <= max_wait_ms


def test_few_requests_are_fully_sent_to_a_failed_owner() -> None:
    net = ForwardingNetwork(4)
    net.forward(A, B, 900, 300)
    net.run(400)
    net.cut_links = {frozenset((A, B))}
    before = net.sent
    for _ in range(300):
        net.forward(A, B, 900, 1000)
    net.run(100)
    assert net.sent - before <= 2 * net.settings.max_fragments_in_flight
    net.run(3000)
    net.check()
    results = [a.results[0][1].result for a in net.attempts[1:]]
    assert results.count(ForwardResult.FAILED) <= 15 and results.count(ForwardResult.NOT_ACCEPTED) >= 285


@pytest.mark.parametrize("nothing_sent", [True, False])
def test_a_restarted_owner_is_recognised_by_its_incarnation(nothing_sent: bool) -> None:
    net = ForwardingNetwork(5)
    net.serve = lambda: (2000.0, ForwardResult.ANSWERED)
    if nothing_sent:
        net.cut_links = {frozenset((A, B))}
    attempt = net.forward(A, B, 50, 8000)
    net.run(100)
    net.stop(B)
    net.start(B)
    net.cut_links = set()
    net.run(7500)
    assert attempt.results[0][1].result is (ForwardResult.ANSWERED if nothing_sent else ForwardResult.FAILED)
    assert nothing_sent or attempt.results[0][0] < 1000
    net.check()


def test_a_delayed_request_is_not_accepted_after_the_client_got_its_result() -> None:
    net = ForwardingNetwork(6)
    net.forward(A, B, 10, 500)
    net.run(400)  # the origin needs the owner's incarnation
    net.max_delay_ms, net.late = 3000.0, 1.0
    delayed = net.forward(A, B, 10, 1000)
    net.run(8000)
    net.check()
    assert delayed.results[0][1].result is ForwardResult.FAILED and not delayed.accepts


@pytest.mark.parametrize("is_accepted", [True, False])
def test_the_owner_is_informed_that_the_client_disconnected(is_accepted: bool) -> None:
    net = ForwardingNetwork(7)
    net.serve = lambda: (5000.0, ForwardResult.ANSWERED)
    if not is_accepted:
        net.loss = 1.0
    attempt = net.forward(A, B, 50, 9000)
    net.run(50)
    net.loss = 0.3
    net.leave(attempt)
    net.run(2000)
    assert bool(attempt.accepts) is is_accepted and len(net.abandoned) == is_accepted
    assert not attempt.results and not net.forwarder_of(A).status()["open"]


def encoded_fragment(number: int, index: int = 0, size: int = 1000, remaining_ms: float = 500_000.0) -> bytes:
    header = messages.RequestHeader(number, 1, 0, 0.0, remaining_ms, 1)
    fragment_bytes = messages.REQUEST_FRAGMENT_BYTES
    return messages.encode(
        messages.RequestFragment(
            header, index, size, bytes(min(fragment_bytes, size - index * fragment_bytes))
        )
    )


def test_forged_fragments_use_up_only_their_senders_share() -> None:
    settings = ForwardingSettings(
        max_receiving_bytes=64 * 1024, max_remembered_requests=100, max_origins=4, max_origin_incarnations=2
    )
    owner = RequestForwarder(B, 1, settings, 1)
    for number in range(1, 5000):
        owner.on_message(
            1.0, LIAR, encoded_fragment(messages.request_number(number % 7 + 1, number), size=16_000)
        )
        owner.on_message(1.0, 1000 + number, encoded_fragment(messages.request_number(1, 1)))
    status = owner.status()
    assert status["gathering_bytes"] <= 64 * 1024 + 3 * 1000 and status["here"] <= 8
    assert len(owner.owner.origins) == 4
    for number in range(1, 5000):
        header = messages.RequestHeader(messages.request_number(1, number), 1, 0, 0.0, 500_000.0, 1)
        owner.on_message(1.0, LIAR, messages.encode(messages.WithdrawRequest(header, False)))
    assert owner.status()["remembered"] <= 100
    owner.step(600_000.0)
    assert not owner.owner.origins and owner.next_at() == math.inf  # all deadlines have passed


def test_impossible_messages_change_nothing() -> None:
    net = ForwardingNetwork(8)
    net.serve = lambda: (500.0, ForwardResult.ANSWERED)
    attempt = net.forward(A, B, 1000, 4000)
    net.run(100)
    origin, owner = net.forwarder_of(A), net.forwarder_of(B)
    now_a, now_b = net.running[A].at(net.now), net.running[B].at(net.now)
    number = messages.request_number(origin.incarnation, 1)
    future = messages.RequestHeader(number + 1, owner.incarnation, int(now_b * 1000) + 10**9, 0.0, 100.0, 1)
    impossible_age = messages.RequestHeader(
        number + 1, owner.incarnation, int(now_b * 1000), 1000.0, 100.0, 1
    )
    before = origin.status(), owner.status()
    for message in (
        messages.RequestFragment(future, 0, 0, b""),
        messages.RequestFragment(impossible_age, 0, 0, b""),
        messages.WithdrawRequest(messages.RequestHeader(number + 1, owner.incarnation, 0, 0.0, 1e7, 1), True),
    ):
        assert owner.on_message(now_b, A, messages.encode(message)) == []
    for ack in (messages.RequestAck(number + 1, owner.incarnation, 1, messages.RequestState.NOT_ACCEPTED),):
        assert origin.on_message(now_a, B, messages.encode(ack)) == []
        assert origin.on_message(now_a, LIAR, messages.encode(ack)) == []
    for data in (b"", b"O", b"O\x07", b"O\x01" + bytes(16), b"O\x02" + bytes(40), b"O\x06" + bytes(9)):
        assert origin.on_message(now_a, B, data) == owner.on_message(now_b, A, data) == []
    for forwarder, status_before, count in ((origin, before[0], 8), (owner, before[1], 9)):
        assert forwarder.status() == {**status_before, "malformed": count}
    net.run(4000)
    net.check()
    assert attempt.results[0][1].result is ForwardResult.ANSWERED


def test_a_message_decodes_as_encoded_and_a_truncated_one_does_not() -> None:
    header = messages.RequestHeader(messages.request_number(5, 9), 7, 123456, 1.25, 999.5, 3)
    for message in (
        messages.IncarnationQuery(4),
        messages.IncarnationReply(4, 5, 6),
        messages.RequestFragment(header, 1, 170, bytes(7)),
        messages.WithdrawRequest(header, True),
        messages.RequestAck(8, 5, 77, messages.RequestState.ACCEPTED, 2**100),
        messages.AnswerFragment(8, 5, ForwardResult.REJECTED, 2.5, 3, 0, b"abc"),
        messages.AnswerAck(8, False, 5),
    ):
        data = messages.encode(message)
        assert messages.decode(data) == message and len(data) <= MAX_MESSAGE_BYTES
        for end in range(len(data)):
            with pytest.raises(MessageError):
                messages.decode(data[:end])
        with pytest.raises(MessageError):
            messages.decode(data + b"\0")


def test_duplicate_and_self_addressed_requests_are_errors_and_too_many_are_rejected() -> None:
    origin = RequestForwarder(A, 1, ForwardingSettings(max_open_requests=2), 1)
    origin.forward(0.0, "a", B, b"", 900.0)
    for request_id, owner in (("a", C), ("b", A)):
        with pytest.raises(ValueError):
            origin.forward(0.0, request_id, owner, b"", 900.0)
    origin.forward(0.0, "b", C, b"", 900.0)
    assert origin.forward(0.0, "c", C, b"", 900.0) == [ForwardingEnded("c", ForwardResult.REJECTED, 100.0)]
    assert origin.forward(0.0, "d", C, b"", 10.0) == [ForwardingEnded("d", ForwardResult.NOT_ACCEPTED)]
