"""Requests handed on between dispatchers: taken once and in time, one true end, whatever the network does."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

import pytest

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.request_forwarding import messages as words
from cottonhold.fleet.request_forwarding.forwarder import End, Ended, HandOn, HandSettings
from cottonhold.fleet.request_forwarding.origin import Offering, Phase
from cottonhold.fleet.request_forwarding.owner import Taking
from tests.support.forwarding_network import LIAR, A, B, C, HandNet, bad_day


@pytest.mark.parametrize("block", range(10))
def test_bad_days(block: int) -> None:
    for seed in range(block * 20, block * 20 + 20):
        bad_day(seed).check()


# --- the rules are broken by each of these, so the checker sees them ---


def forgets_what_it_took(at: pytest.MonkeyPatch) -> None:
    whole = Taking._whole

    def defect(self: Taking, now: float, caller: Any, guest: Any, record: Any) -> None:
        whole(self, now, caller, guest, record)
        if guest.records.pop(record.number & words.U32, None) is None:
            guest.over.clear()

    at.setattr(Taking, "_whole", defect)


def forgets_what_it_answered(at: pytest.MonkeyPatch) -> None:
    close = Taking._close

    def defect(self: Taking, caller: Any, guest: Any, count: int, taken: bool) -> None:
        close(self, caller, guest, count, taken)
        if taken:
            guest.over.pop(count)

    at.setattr(Taking, "_close", defect)


def forgets_what_was_withdrawn(at: pytest.MonkeyPatch) -> None:
    ack = Taking._ack

    def defect(self: Taking, now: float, caller: Any, guest: Any, number: int, left: bool = False) -> None:
        ack(self, now, caller, guest, number, left)
        if guest.over.get(number & words.U32) is False:
            guest.over.pop(number & words.U32)

    at.setattr(Taking, "_ack", defect)


def takes_what_was_meant_for_an_earlier_life(at: pytest.MonkeyPatch) -> None:
    part = Taking.part

    def defect(self: Taking, now: float, sender: int, w: words.Part) -> None:
        h = w.head
        stamp = h.stamp if h.life == self.life else int(now * 1000)
        held = h.held if h.life == self.life else 0.0
        head = words.Head(h.number, self.life, stamp, held, h.left, h.floor)
        part(self, now, sender, words.Part(head, w.index, w.size, w.data))

    at.setattr(Taking, "part", defect)


def does_not_age_the_time_left(at: pytest.MonkeyPatch) -> None:
    at.setattr(Taking, "_until", lambda self, now, head: now + head.left)


def says_nobody_after_all_was_sent(at: pytest.MonkeyPatch) -> None:
    tell = Offering._tell

    def defect(self: Offering, order: Any, end: End, ms: float = 0.0, data: bytes = b"") -> None:
        unsure = end is End.FAILED and order.phase is Phase.ASKING
        tell(self, order, End.NOBODY if unsure else end, ms, data)

    at.setattr(Offering, "_tell", defect)


def sends_anew_what_an_earlier_life_may_have_taken(at: pytest.MonkeyPatch) -> None:
    def defect(self: Offering, peer: Any, life: int) -> None:
        for order in [o for o in peer.open.values() if o.life == life and not o.told]:
            peer.lane.drop(order.number)
            order.parcel.reset()
            order.phase = Phase.SENDING
            peer.lane.add(order.parcel)

    at.setattr(Offering, "_restarted", defect)


def keeps_no_order(at: pytest.MonkeyPatch) -> None:
    at.setattr(Offering, "_join", lambda self, peer, order: self._offer(peer, order))


def tells_its_client_too_late(at: pytest.MonkeyPatch) -> None:
    wake = Offering._wake
    at.setattr(Offering, "_wake", lambda self, order, due: wake(self, order, due + 25))


def tells_its_client_twice(at: pytest.MonkeyPatch) -> None:
    tell = Offering._tell

    def defect(self: Offering, order: Any, end: End, ms: float = 0.0, data: bytes = b"") -> None:
        tell(self, order, end, ms, data)
        if end is End.FAILED:
            self.out.append(Ended(order.ref, end, ms, data))

    at.setattr(Offering, "_tell", defect)


DEFECTS: dict[Callable[[pytest.MonkeyPatch], None], str] = {
    forgets_what_it_took: "taken twice",
    forgets_what_it_answered: "taken twice",
    forgets_what_was_withdrawn: "nobody|nothing ran",
    takes_what_was_meant_for_an_earlier_life: "taken twice",
    does_not_age_the_time_left: "left_ms",
    says_nobody_after_all_was_sent: "nobody|nothing ran",
    sends_anew_what_an_earlier_life_may_have_taken: "taken twice",
    keeps_no_order: "order",
    tells_its_client_too_late: "in time",
    tells_its_client_twice: "one end",
}


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda d: d.__name__)
def test_the_checker_sees(
    defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defect(monkeypatch)
    for seed in range(150):
        try:
            bad_day(seed).check()
        except AssertionError as broken:
            if re.search(DEFECTS[defect], str(broken)):
                return
    pytest.fail("not seen")


# --- single rules ---


def test_the_largest_goes_over_a_bad_network_and_what_is_larger_is_refused() -> None:
    net = HandNet(3)
    net.loss, net.twice, net.slow = 0.3, 0.3, 20.0
    largest, larger = net.hand(A, B, words.LARGEST, 8000), net.hand(A, B, words.LARGEST + 1, 8000)
    net.run(8000)
    net.check()
    assert largest.ends[0][1].end is End.SERVED and larger.ends[0][1].end is End.TOO_LARGE


@pytest.mark.parametrize(("size", "loss", "most"), [(100, 0.0, 10), (900, 0.0, 10), (100, 0.3, 300)])
def test_many_at_once_are_all_served_without_waiting_for_one_another(
    size: int, loss: float, most: float
) -> None:
    net = HandNet(4)
    net.loss, net.slow = loss, 2.0
    for n in range(400):
        net.post(n * 2.5, A, 1, lambda: net.hand(A, B, size, 3000))
    net.run(4000)
    net.check()
    assert {a.ends[0][1].end for a in net.attempts} == {End.SERVED}
    waits = sorted(a.takes[0][0] - a.until + 3000 for a in net.attempts)
    assert waits[360] <= most


def test_a_dead_neighbour_gets_little_and_most_may_go_elsewhere() -> None:
    net = HandNet(4)
    net.hand(A, B, 900, 300)
    net.run(400)
    net.cut = {frozenset((A, B))}
    before = net.sent
    for _ in range(300):
        net.hand(A, B, 900, 1000)
    net.run(100)
    assert net.sent - before <= 2 * net.settings.window
    net.run(3000)
    net.check()
    ends = [a.ends[0][1].end for a in net.attempts[1:]]
    assert ends.count(End.FAILED) <= 15 and ends.count(End.NOBODY) >= 285


@pytest.mark.parametrize("sure", [True, False])
def test_an_owner_that_restarts_is_known_by_its_life(sure: bool) -> None:
    net = HandNet(5)
    net.serve = lambda: (2000.0, End.SERVED)
    if sure:
        net.cut = {frozenset((A, B))}
    attempt = net.hand(A, B, 50, 8000)
    net.run(100)
    net.stop(B)
    net.start(B)
    net.cut = set()
    net.run(7500)
    assert attempt.ends[0][1].end is (End.SERVED if sure else End.FAILED)
    assert sure or attempt.ends[0][0] < 1000
    net.check()


def test_a_whole_request_that_was_long_on_its_way_is_not_taken_after_the_client_was_told() -> None:
    net = HandNet(6)
    net.hand(A, B, 10, 500)
    net.run(400)  # so that the owner's life is known
    net.slow, net.late = 3000.0, 1.0
    held = net.hand(A, B, 10, 1000)
    net.run(8000)
    net.check()
    assert held.ends[0][1].end is End.FAILED and not held.takes


@pytest.mark.parametrize("taken", [True, False])
def test_the_owner_learns_that_a_client_left(taken: bool) -> None:
    net = HandNet(7)
    net.serve = lambda: (5000.0, End.SERVED)
    if not taken:
        net.loss = 1.0
    attempt = net.hand(A, B, 50, 9000)
    net.run(50)
    net.loss = 0.3
    net.leave(attempt)
    net.run(2000)
    assert bool(attempt.takes) is taken and len(net.told_gone) == taken
    assert not attempt.ends and not net.one(A).status()["open"]


def part(number: int, index: int = 0, size: int = 1000, left: float = 500_000.0) -> bytes:
    head = words.Head(number, 1, 0, 0.0, left, 1)
    room = words.PART_ROOM
    return words.pack(words.Part(head, index, size, bytes(min(room, size - index * room))))


def test_forged_parts_fill_only_the_part_of_who_sent_them() -> None:
    settings = HandSettings(gathering=64 * 1024, remembered=100, callers=4, lives=2)
    owner = HandOn(B, 1, settings, 1)
    for number in range(1, 5000):
        owner.on_message(1.0, LIAR, part(words.number_of(number % 7 + 1, number), size=16_000))
        owner.on_message(1.0, 1000 + number, part(words.number_of(1, 1)))
    status = owner.status()
    assert status["gathering_bytes"] <= 64 * 1024 + 3 * 1000 and status["here"] <= 8
    assert len(owner.taking.callers) == 4
    for number in range(1, 5000):
        head = words.Head(words.number_of(1, number), 1, 0, 0.0, 500_000.0, 1)
        owner.on_message(1.0, LIAR, words.pack(words.Withdraw(head, False)))
    assert owner.status()["remembered"] <= 100
    owner.step(600_000.0)
    assert not owner.taking.callers and owner.next_at() == math.inf  # their time is over


def test_words_that_make_no_sense_change_nothing() -> None:
    net = HandNet(8)
    net.serve = lambda: (500.0, End.SERVED)
    attempt = net.hand(A, B, 1000, 4000)
    net.run(100)
    origin, owner = net.one(A), net.one(B)
    now_a, now_b = net.up[A].at(net.now), net.up[B].at(net.now)
    number = words.number_of(origin.life, 1)
    future = words.Head(number + 1, owner.life, int(now_b * 1000) + 10**9, 0.0, 100.0, 1)
    held = words.Head(number + 1, owner.life, int(now_b * 1000), 1000.0, 100.0, 1)
    before = origin.status(), owner.status()
    for word in (
        words.Part(future, 0, 0, b""),
        words.Part(held, 0, 0, b""),
        words.Withdraw(words.Head(number + 1, owner.life, 0, 0.0, 1e7, 1), True),
    ):
        assert owner.on_message(now_b, A, words.pack(word)) == []
    for data in (words.Ack(number + 1, owner.life, 1, words.State.VOID),):
        assert origin.on_message(now_a, B, words.pack(data)) == []
        assert origin.on_message(now_a, LIAR, words.pack(data)) == []
    for noise in (b"", b"O", b"O\x07", b"O\x01" + bytes(16), b"O\x02" + bytes(40), b"O\x06" + bytes(9)):
        assert origin.on_message(now_a, B, noise) == owner.on_message(now_b, A, noise) == []
    for one, was, count in ((origin, before[0], 8), (owner, before[1], 9)):
        assert one.status() == {**was, "malformed": count}
    net.run(4000)
    net.check()
    assert attempt.ends[0][1].end is End.SERVED


def test_each_word_reads_as_it_was_written_and_no_part_of_one_does() -> None:
    head = words.Head(words.number_of(5, 9), 7, 123456, 1.25, 999.5, 3)
    for word in (
        words.Probe(4),
        words.Lives(4, 5, 6),
        words.Part(head, 1, 170, bytes(7)),
        words.Withdraw(head, True),
        words.Ack(8, 5, 77, words.State.TAKEN, 2**100),
        words.Answer(8, 5, End.REFUSED, 2.5, 3, 0, b"abc"),
        words.Got(8, False, 5),
    ):
        data = words.pack(word)
        assert words.read(data) == word and len(data) <= MAX_MESSAGE_BYTES
        for cut in range(len(data)):
            with pytest.raises(MessageError):
                words.read(data[:cut])
        with pytest.raises(MessageError):
            words.read(data + b"\0")


def test_a_ref_in_use_and_ones_own_are_errors_and_too_many_are_refused() -> None:
    origin = HandOn(A, 1, HandSettings(open=2), 1)
    origin.hand(0.0, "a", B, b"", 900.0)
    for ref, owner in (("a", C), ("b", A)):
        with pytest.raises(ValueError):
            origin.hand(0.0, ref, owner, b"", 900.0)
    origin.hand(0.0, "b", C, b"", 900.0)
    assert origin.hand(0.0, "c", C, b"", 900.0) == [Ended("c", End.REFUSED, 100.0)]
    assert origin.hand(0.0, "d", C, b"", 10.0) == [Ended("d", End.NOBODY)]
