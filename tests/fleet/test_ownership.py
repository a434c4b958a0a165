"""Ownership of keys over several members: one owner at each moment, whatever fails, stops or is lost."""

from __future__ import annotations

import math
import random

import pytest

from cottonhold.fleet.session_affinity import record_book
from cottonhold.fleet.session_affinity.ownership import (
    KeyOwnership,
    MoveEnded,
    OwnedElsewhere,
    OwnedHere,
    OwnershipAcquired,
    OwnershipSettings,
    RetryAfter,
)
from tests.support.member_network import Net

A, B, C, D = 101, 102, 103, 104
ON = OwnershipSettings(is_enabled=True)


def key(n: int) -> bytes:
    return n.to_bytes(8, "big")


class Fleet(Net):
    """Members with key ownership; checks at each moment that no key has two owners."""

    def __init__(
        self, members: int = 4, seed: int = 1, keys: int = 24, settings: OwnershipSettings = ON
    ) -> None:
        self.keys = [key(n) for n in range(keys)]
        self.whole = dict.fromkeys(range(101, 101 + members), True)
        self.table: list[tuple[int, bool]] = []
        self.events_seen = 0
        ids, draws = list(self.whole), random.Random(seed)

        def make(member: int, life: int, disk: dict[str, bytes]) -> KeyOwnership:
            return KeyOwnership(
                member, ids, ids[:3], self.now, draws.getrandbits(32), disk, settings, self.whole[member]
            )

        super().__init__(ids, make, seed)
        self.after_event = self.one_owner

    def one_owner(self) -> None:
        self.events_seen += 1
        if self.events_seen % 5:  # each event would take the test's whole time
            return
        for k in self.keys:
            owners = [m for m, p in self.running.items() if p.ownership_of(self.now, k) is not None]
            assert len(owners) <= 1, (self.now, k, owners)

    def owner(self, k: bytes) -> int:
        """The member at which a request of the key arrives, from anywhere; 0 if it gets nowhere."""
        at = min(self.running)
        for _ in range(6):
            found = self.running[at].route(self.now, k)
            if isinstance(found, OwnedHere):
                return at
            if isinstance(found, RetryAfter):
                return 0
            at = found.owner
            if at not in self.running:
                return 0
        return 0

    def fence(self, member: int, inside: bool = False) -> None:
        self.table.append((member, inside))
        for m in list(self.running):
            self.apply_table(m)

    def apply_table(self, member: int) -> None:
        """Apply all changes of the table at a member, once more."""
        for epoch, (who, inside) in enumerate(self.table, 1):
            ownership = self.running[member]
            self.act(member, (ownership.admit if inside else ownership.fence)(self.now, who, epoch))

    def move(self, member: int, target: int) -> list[bytes]:
        mine = [k for k in self.keys if self.running[member].ownership_of(self.now, k)]
        self.act(member, self.running[member].move(self.now, mine, target))
        return mine


def test_if_disabled_every_member_owns_every_key() -> None:
    ownership = KeyOwnership(A, [A, B], [A, B], 0.0, 1, {})
    assert isinstance(ownership.route(0.0, key(1)), OwnedHere)


def test_each_key_has_one_owner_that_all_members_find() -> None:
    fleet = Fleet()
    fleet.run(1500)
    owners = {k: fleet.owner(k) for k in fleet.keys}
    assert set(owners.values()) == {A, B, C, D}
    for k, owner in owners.items():
        assert fleet.running[B].route(fleet.now, k) in (
            OwnedElsewhere(k, owner),
            fleet.running[B].ownership_of(fleet.now, k),
        )


def test_moved_keys_belong_to_the_target_for_all_members() -> None:
    fleet = Fleet()
    fleet.run(1500)
    mine = fleet.move(A, D)
    fleet.run(1000)
    assert {m.key for m in fleet.actions_of(MoveEnded) if m.is_moved} == set(mine) and mine
    assert all(fleet.owner(k) == D for k in mine)
    assert {t.key for t in fleet.actions_of(OwnershipAcquired)} == set(mine)


@pytest.mark.parametrize(
    "runs, step",
    [(0.0, 50.0), (200.0, 50.0), (5000.0, 1000.0)],
    ids=["nothing runs", "loads run for a moment", "loads run on for a while"],
)
def test_the_time_without_an_owner_is_counted_for_each_moved_key(runs: float, step: float) -> None:
    """A key with an open request stays until that ends; after 300 ms no member starts its requests."""
    fleet = Fleet()
    fleet.run(1500)
    mine = [k for k in fleet.keys if fleet.running[A].ownership_of(fleet.now, k)]
    for k in mine if runs else ():
        fleet.act(A, fleet.running[A].on_request_opened(fleet.now, k, 1))
    fleet.move(A, D)
    truth, since = list[float](), dict[bytes, float]()
    ends = fleet.now + min(runs, 700.0)
    while fleet.now < 4000.0:
        fleet.run(2.0)
        for k in mine:
            if not any(p.ownership_of(fleet.now, k) for p in fleet.running.values()):
                since.setdefault(k, fleet.now)
            elif k in since:
                truth.append(fleet.now - since.pop(k))
        if runs and fleet.now >= ends:
            for k in mine:
                fleet.act(A, fleet.running[A].on_request_ended(fleet.now, k, 1))
            runs = 0.0
    gaps = dict(
        zip((*record_book.HANDOVER_STEPS_MS, math.inf), fleet.running[A].handover_histogram, strict=True)
    )
    assert sum(gaps.values()) == len(mine) and 0 < len(truth) <= len(mine)  # some are over between two looks
    # What is counted is a trip longer than what was seen from outside, and falls into its step or the next.
    longest = max(edge for edge, n in gaps.items() if n)
    assert max(truth) <= longest <= max(step, 1.0)


@pytest.mark.parametrize("seed", range(6))
def test_keys_of_a_failed_owner_are_taken_over_after_its_fence(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.loss, fleet.duplicate_chance = 0.2, 0.2
    fleet.run(2000)
    mine = fleet.move(A, D)
    fleet.run(seed * 7.0)
    fleet.pause(A) if seed % 2 else fleet.stop(A)
    fleet.run(1500)
    fleet.fence(A)
    fleet.run(2500)
    if seed % 2:
        fleet.resume(A)
        fleet.run(100)
    assert mine
    [fleet.owner(k) for k in fleet.keys]  # a home takes over the keys of requests that arrive
    fleet.run(200)
    assert all(fleet.owner(k) in (B, C, D) for k in fleet.keys)


@pytest.mark.parametrize("seed", range(4))
def test_keys_offered_to_a_failed_target_come_back_or_are_taken_over(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.run(1500)
    mine = fleet.move(A, D)
    fleet.run(1.5 + seed * 2)
    fleet.stop(D)
    fleet.run(1000)
    fleet.fence(D)
    fleet.run(2500)
    [fleet.owner(k) for k in fleet.keys]
    fleet.run(200)
    assert mine and all(fleet.owner(k) in (A, B, C) for k in fleet.keys)


@pytest.mark.parametrize("at", [0.3, 1, 2, 4, 8, 16])
def test_moves_continue_after_a_power_loss_of_all_members(at: float) -> None:
    fleet = Fleet()
    fleet.loss, fleet.duplicate_chance = 0.2, 0.3
    fleet.run(1500)
    mine = fleet.move(A, D)
    fleet.run(at)
    for member in list(fleet.running):
        fleet.stop(member)
    for member in fleet.ids:
        fleet.start(member)
    fleet.run(4000)
    assert mine and all(fleet.owner(k) for k in fleet.keys)


def test_an_open_request_delays_the_release_until_it_ends() -> None:
    fleet = Fleet()
    fleet.run(1500)
    k = next(k for k in fleet.keys if fleet.running[A].ownership_of(fleet.now, k))
    fleet.act(A, fleet.running[A].on_request_opened(fleet.now, k, 1))
    fleet.move(A, D)
    fleet.run(100)
    assert fleet.owner(k) == A  # not fenced yet
    fleet.run(800)
    assert fleet.owner(k) == 0  # fenced, and nobody starts
    fleet.act(A, fleet.running[A].on_request_ended(fleet.now, k, 1, outcome_known=False))
    fleet.run(300)
    own = fleet.running[D].route(fleet.now, k)
    assert isinstance(own, OwnedHere) and own.may_have_run


def test_a_move_is_cancelled_before_its_release() -> None:
    fleet = Fleet()
    fleet.run(1500)
    mine = [k for k in fleet.keys if fleet.running[A].ownership_of(fleet.now, k)]
    for k in mine:
        fleet.act(A, fleet.running[A].on_request_opened(fleet.now, k, 1))
    fleet.move(A, D)
    fleet.run(500)
    fleet.act(A, fleet.running[A].cancel_moves(fleet.now, mine))
    fleet.run(500)
    assert all(fleet.owner(k) == A for k in mine)
    assert [m.is_moved for m in fleet.actions_of(MoveEnded)] == [False] * len(mine)


def test_a_member_with_an_empty_folder_owns_nothing_until_fenced_and_admitted() -> None:
    fleet = Fleet()
    fleet.run(1500)
    moved = fleet.move(A, D)
    fleet.run(1000)
    fleet.stop(D)
    fleet.whole[D] = False
    fleet.start(D, empty=True)
    fleet.run(2000)
    assert not any(fleet.running[D].ownership_of(fleet.now, k) for k in fleet.keys)
    fleet.fence(D)
    fleet.run(2000)
    fleet.fence(D, inside=True)
    fleet.run(2000)
    [fleet.owner(k) for k in fleet.keys]
    fleet.run(200)
    assert moved and {fleet.owner(k) for k in fleet.keys} == {A, B, C, D}


def test_moves_are_rate_limited_and_old_records_are_purged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(record_book, "PURGE_BATCH", 20)
    fleet = Fleet(
        keys=300,
        settings=OwnershipSettings(is_enabled=True, max_moves_per_second=100.0, max_pending_offers=10),
    )
    fleet.after_event = lambda: None
    fleet.run(1500)
    mine = fleet.move(A, D)
    fleet.run(500)
    assert 30 <= sum(m.is_moved for m in fleet.actions_of(MoveEnded)) <= 60
    fleet.run(2000)
    back = fleet.move(D, B)
    fleet.run(4000)
    assert len(back) > len(mine) and all(fleet.owner(k) == B for k in back)
    assert len(fleet.running[D].records) < len(back)


def test_targets_get_keys_in_proportion_to_their_capacity() -> None:
    ownership = KeyOwnership(A, [A, B, C, D], [A, B, C], 0.0, 1, {}, ON)
    chosen = ownership.choose_targets([key(n) for n in range(300)], {B: 2.0, C: 1.0, D: 0.0})
    assert len(chosen) == 300 and D not in chosen.values()
    assert list(chosen.values()).count(C) <= 125
