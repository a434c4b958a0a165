"""The outlook: its words, the picture that all draw alike, what it decides, and whether that comes true."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.emulator.outages import Setup, World
from cottonhold.fleet.admission.demand import STEPS, step_of
from cottonhold.fleet.failover_cost import fleet_snapshot as pictures
from cottonhold.fleet.failover_cost.allocation import value
from cottonhold.fleet.failover_cost.estimator import Outlook, OutlookSettings
from cottonhold.fleet.failover_cost.fleet_snapshot import PictureSettings, draw
from cottonhold.fleet.failover_cost.hysteresis import Held, Steady
from cottonhold.fleet.failover_cost.messages import (
    BITS,
    Seen,
    Site,
    bits_of,
    pack_sites,
    read_sites,
    set_number,
)
from cottonhold.fleet.failover_cost.projection import CostSettings, Projection, project
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.zone_failover.messages import zone_number

ZONES = ("a", "b", "c")
ENGINES = {zone: {f"{zone}{i}": 1.0 for i in range(4)} for zone in ZONES}
FAR = {("a", "b"): 15.0, ("b", "c"): 25.0, ("a", "c"): 60.0}
TRIPS = {(x, y): 1.0 if x == y else FAR[min(x, y), max(x, y)] for x in ZONES for y in ZONES}
DEAR, CHEAP = step_of(6.0, 20.0), step_of(1.0, 20.0)
SETS = {zone: {set_number(f"{zone}/{i}"): 0.25 for i in range(4)} for zone in ZONES}


def site(member: int, home: str, dear: float = 0.6, cheap: float = 0.8, **fields: object) -> Site:
    """One instance's word: so many cores of each kind, own data sets warm at home."""
    warm = 0
    for number in SETS[home]:
        warm |= bits_of(number)
    zones = {zone_number(z): Seen(TRIPS[home, z], float(z == home), warm if z == home else 0) for z in ZONES}
    made = Site(member, 1, 1, zone_number(home), 20.0, {DEAR: dear, CHEAP: cheap}, dict(SETS[home]), zones)
    return replace(made, **fields)  # type: ignore[arg-type]


def fleet(**fields: object) -> list[Site]:
    """Two instances a zone; 8.4 cores of work on twelve."""
    return [site(i + 1, zone, **fields) for i, zone in enumerate((*ZONES, *ZONES))]  # type: ignore[arg-type]


def shown(sites: list[Site], **left: float) -> Projection:
    """The projection of a fleet with so much left of zones."""
    picture = draw(sites, ENGINES, len(sites))
    assert picture is not None
    return project(picture, left)


# --- words ---

SITES = st.builds(
    Site,
    st.integers(1, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**16 - 1),
    st.floats(0.0, 20_000.0),
    st.dictionaries(st.integers(0, STEPS - 1), st.floats(0.01, 50.0), max_size=20),
    st.lists(st.integers(0, 2**16 - 1), max_size=20, unique=True).map(
        lambda ns: {n: 1 / len(ns) for n in ns}
    ),
    st.dictionaries(
        st.integers(0, 2**16 - 1),
        st.builds(Seen, st.floats(0, 5000), st.floats(0, 1), st.integers(0, 2**BITS - 1)),
        max_size=12,
    ),
    st.one_of(st.just(-1.0), st.floats(0.0, 400.0)),
)


@settings(deadline=None)
@given(SITES)
def test_a_site_fits_a_datagram_and_is_read_as_it_was_told(told: Site) -> None:
    data = pack_sites([told])
    [read] = read_sites(data)
    assert len(data) <= MAX_MESSAGE_BYTES and read.stamp == told.stamp and read.home == told.home
    assert math.isclose(sum(read.rates.values()), sum(told.rates.values()), rel_tol=0.06, abs_tol=0.01)
    for number, seen in read.zones.items():
        assert seen.warm == told.zones[number].warm
        assert math.isclose(seen.trip, told.zones[number].trip, rel_tol=0.03, abs_tol=0.11)
    assert read_sites(pack_sites([read])) == [read]  # what was read is told on without change


@pytest.mark.parametrize("cut", [0, 1, 2, 10, 30, -1], ids=str)
def test_a_message_that_makes_no_sense_is_refused(cut: int) -> None:
    data = pack_sites([site(1, "a")])
    for bad in (data[:cut], data + b"\0", b"\x05" + data[1:], data[:2] + bytes(8) + data[10:]):
        with pytest.raises(MessageError):
            read_sites(bad)


@settings(deadline=None)
@given(st.randoms(use_true_random=False))
def test_sites_merge_in_any_order_any_number_of_times(order: random.Random) -> None:
    said = [
        site(m, "a", dear=v / 10, life=life, version=v) for m in (1, 2) for life in (1, 2) for v in (1, 2)
    ]
    order.shuffle(said)
    words = LatestReports[Site](9)
    for word in [*said, *said]:
        words.apply(0.0, word)
    assert {m: h.report.stamp for m, h in words.received.items()} == {1: (2, 2), 2: (2, 2)}


# --- the picture, and what follows from it ---


def orders_matter(shuffles: int = 60) -> bool:
    """Whether two instances that heard the same in another order project differently."""
    r = random.Random(3)
    sites = [site(i + 1, ZONES[i % 3], dear=r.random(), cheap=r.random()) for i in range(11)]
    first = shown(sites, a=0.0)
    for _ in range(shuffles):
        r.shuffle(sites)
        if shown(sites, a=0.0) != first:
            return True
    return False


def test_all_that_heard_the_same_project_the_same_to_the_bit(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not orders_matter()
    # Planted: sums in the order in which words came.
    monkeypatch.setattr(pictures, "sorted", lambda items, key=None: list(items), raising=False)
    monkeypatch.setattr(math, "fsum", sum)
    assert orders_matter()


def test_a_pair_is_no_sum_of_two_zones() -> None:
    sites = fleet()
    one, other, both = shown(sites, a=0.0), shown(sites, b=0.0), shown(sites, a=0.0, b=0.0)
    assert both.lost > 2 * (one.lost + other.lost) and both.worth <= 4 * 0.97 * value(DEAR)
    assert set(z for _, z in both.flows) == {"c"} and both.price is not None and both.price.step >= CHEAP
    assert both.added > one.added


def test_guests_never_take_their_hosts_part_even_if_they_are_dearer() -> None:
    sites = [site(1, "a", dear=9.0), site(2, "b", dear=0.0, cheap=3.0), site(3, "c", dear=0.0, cheap=3.0)]
    found = shown(sites, a=0.0)
    for zone in ("b", "c"):
        assert found.flows["a", zone] <= 4 * 0.97 - 4 * 0.97 * 0.4 + 1e-6
        assert found.flows[zone, zone] >= 1.2


def most_off(lie: Callable[[Site], Site]) -> float:
    """How much one liar of six shifts the part of the worth that is projected."""
    honest, sites = shown(fleet(), a=0.0), fleet()
    return abs(shown([*sites[:5], lie(sites[5])], a=0.0).share() - honest.share())


@pytest.mark.parametrize(
    "lie, bound",
    [
        (lambda s: replace(s, rates={DEAR: 400.0}), 0.1),
        (lambda s: replace(s, rates={}), 0.05),
        (lambda s: replace(s, zones={n: replace(z, warm=2**BITS - 1) for n, z in s.zones.items()}), 0.001),
        (lambda s: replace(s, zones={n: replace(z, trip=9000.0) for n, z in s.zones.items()}), 0.001),
        (lambda s: replace(s, zones={n: replace(z, served=0.0) for n, z in s.zones.items()}), 0.001),
        (lambda s: replace(s, mean=0.1, sets={1: 1.0}), 0.03),
    ],
    ids=["much", "nothing", "warm", "far", "served", "sets"],
)
def test_what_one_instance_tells_moves_the_projection_by_a_bounded_part(
    lie: Callable[[Site], Site], bound: float
) -> None:
    assert most_off(lie) <= bound


def test_a_claim_that_is_not_capped_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    def much(s: Site) -> Site:
        return replace(s, rates={DEAR: 400.0})

    assert most_off(much) <= 0.1
    monkeypatch.setattr(PictureSettings, "__init__", lambda self: None)
    for name, free in (("claim", 1e6), ("skew", 1e6), ("quorum", 0.5), ("trip", 50.0)):
        monkeypatch.setattr(PictureSettings, name, free)
    assert most_off(much) > 0.30


def test_cold_sets_far_zones_and_sets_pushed_out_cost() -> None:
    near = shown(fleet(), b=0.0)
    assert near.added > 10 and near.extra > 0 and near.warm_ms > 0 and near.back_ms > 1000
    picture = draw(fleet(), ENGINES, 6)
    assert picture is not None
    tight = project(picture, {"b": 0.0}, CostSettings(keeps=5))
    assert tight.extra > 2 * near.extra and tight.useful < near.useful and tight.worth < near.worth
    everywhere = [
        replace(s, zones={n: replace(z, warm=2**BITS - 1) for n, z in s.zones.items()}) for s in fleet()
    ]
    assert shown(everywhere, b=0.0).extra == pytest.approx(0.0, abs=1e-9)


def spread(s: Site) -> Site:
    """One whose clients are served in all zones alike."""
    return replace(s, zones={n: replace(z, served=1 / len(ZONES)) for n, z in s.zones.items()})


@pytest.mark.parametrize(
    "told, added, calm",
    [
        (lambda s: s, 20.0, {"a": 1.0}),
        (spread, -12.0, {"a": 1 / 3, "b": 1 / 3, "c": 1 / 3}),
        (lambda s: replace(s, zones={n: replace(z, served=0.0) for n, z in s.zones.items()}), 20.0, {}),
    ],
    ids=["at home", "in all zones", "not known"],
)
def test_a_loss_is_compared_with_where_clients_are_served_now(
    told: Callable[[Site], Site], added: float, calm: dict[str, float]
) -> None:
    sites = [told(s) for s in fleet(dear=0.3, cheap=0.4)]
    picture = draw(sites, ENGINES, len(sites))
    assert picture is not None and picture.homes["a"].served == pytest.approx(calm)
    found = project(picture, {"a": 0.0})
    assert found.added == pytest.approx(added, abs=6.0)
    assert found.worth == pytest.approx(found.offered, rel=0.01)  # only what the loss adds differs


@pytest.mark.parametrize(
    "told, now",  # a liar counts for a third of the twelve cores at most
    [([-1.0] * 6, 0.0), ([0.2] * 6, 1.2), ([0.2] * 3 + [-1.0] * 3, 1.2), ([0.2] * 5 + [50.0], 1.0 + 12 / 3)],
    ids=["not known", "told by all", "told by half", "one lies"],
)
def test_cold_work_is_compared_with_what_requests_take_now(told: list[float], now: float) -> None:
    sites = [replace(s, cold=cold) for s, cold in zip(fleet(dear=0.3, cheap=0.4), told, strict=True)]
    found, usual = shown(sites, a=0.0), shown(fleet(dear=0.3, cheap=0.4), a=0.0)
    assert usual.extra > 0.1 and found.extra == pytest.approx(usual.extra - now, abs=0.01)
    assert found.worth == usual.worth


def test_what_requests_take_beyond_what_they_were_told_to_need_is_told_once_it_is_known() -> None:
    made = told(fleet())
    assert made.site(2000.0).cold == -1.0
    for t in range(2000, 12_000, 50):  # each needs 20 ms; one in four takes 60
        made.offered(float(t), 6.0, 20.0, "x")
        made.answered(float(t), "a", "x", beyond=40.0 if t % 200 == 0 else 0.0)
        assert t > 4000 or made.site(float(t)).cold == -1.0
    [read] = read_sites(pack_sites([made.site(12_000.0)]))
    assert read.cold == pytest.approx(0.2, abs=0.03)  # five of 40 ms a second


def test_one_that_tells_wrongly_where_it_is_served_moves_the_way_by_its_part() -> None:
    honest = [spread(s) for s in fleet(dear=0.3, cheap=0.4)]
    far = {n: replace(z, served=float(n == zone_number("c"))) for n, z in honest[0].zones.items()}
    before, after = shown(honest, a=0.0), shown([replace(honest[0], zones=far), *honest[1:]], a=0.0)
    # It is half of its home, whose mean way can seem longer by half of the longest one at most.
    assert abs(after.added - before.added) <= TRIPS["a", "c"] / 2
    assert after.worth == before.worth


# --- what it decides ---


def told(sites: list[Site], now: float = 0.0, me: str = "a", **fields: object) -> Outlook:
    """An outlook with a plan, by these words of the others."""
    made = Outlook(99, 1, now, me, 1, OutlookSettings(**fields))  # type: ignore[arg-type]
    made.know(ENGINES)
    steps(made, sites, now, 2000.0)
    return made


def steps(made: Outlook, sites: list[Site], begin: float, last: float, **left: float) -> None:
    """So many ms of steps, in which these words come once a second, each time with a higher version."""
    for t in range(int(last // 100)):
        now = begin + t * 100.0
        if t % 10 == 0 and sites:
            for s in sites:
                made.hear(now, pack_sites([replace(s, version=int(now) + 1)]))
        made.step(now, {s.member for s in [*fleet(), *sites]}, left)


def test_neighbours_are_chosen_by_distance_and_room() -> None:
    made = told(fleet(dear=0.3, cheap=0.4))
    [(nearest, part), *_] = made.neighbours("a")
    assert nearest == "b" and part > 0.9
    full = told([*fleet(dear=0.3, cheap=0.4), site(7, "b", dear=1.5, cheap=0.5)])
    assert dict(full.neighbours("a")).get("c", 0.0) > 0.1
    assert dict(made.serving("b")) == {"b": 1.0} and made.serving("a", "a") == made.neighbours("a")
    assert made.projection("c", "a") is not None and made.projection("a", "b", "c") is None


def test_an_ill_zone_keeps_what_the_others_cannot_carry_and_it_still_serves() -> None:
    calm, full = told(fleet(dear=0.3, cheap=0.4)), told(fleet(dear=0.8, cheap=0.9))
    assert calm.share_kept(2000.0, "a", 0.5, 0.7) == 0.0
    kept = full.share_kept(2000.0, "a", 0.5, 0.7)
    assert kept is not None and 0.3 < kept <= 0.5
    assert full.share_kept(2000.0, "a", 0.0) == 0.0
    assert Outlook(1, 1, 0.0, "a", 1).share_kept(0.0, "a") is None


def test_a_swap_may_take_out_only_what_leaves_each_loss_bearable() -> None:
    calm, full = told(fleet(dear=0.3, cheap=0.4)), told(fleet(dear=0.6, cheap=0.8))
    assert not calm.bearable({}) and not calm.bearable({"a": 2.0}) and not full.bearable({})
    reasons = full.bearable({"a": 2.0}, {"b": 3.0})
    assert reasons and all("lost" in why for why in reasons)
    assert Outlook(1, 1, 0.0, "a", 1).bearable({})  # nothing known: nothing may start


def test_the_plan_of_today_stands_without_news_and_runs_out() -> None:
    made = told(fleet())
    before = made.neighbours("a")
    steps(made, [], 2000.0, 20_000.0)
    assert before and made.neighbours("a") == before and made.projection("a") is not None
    steps(made, [], 22_000.0, 15_000.0)
    assert made.neighbours("a") == () and made.bearable({}) and made.share_kept(37_000.0, "a") is None


def test_what_was_kept_over_a_power_loss_says_only_who_is_served_first() -> None:
    made = Outlook(99, 2, 0.0, "a", 1)
    made.know(ENGINES)
    made.hint(pack_sites([site(1, "a")]))
    made.hint(pack_sites([site(2, "b", dear=3.0)]))
    for t in range(0, 2000, 100):
        made.step(float(t), {1, 2, 3})
    assert made.first("b") and made.first("b")[0][0] == "b" and made.neighbours("b") == ()
    assert made.bearable({})


def test_small_changes_wait_and_large_ones_do_not() -> None:
    s, held = Steady(), Held({"b": 0.6, "c": 0.4})
    held.follow(0.0, {"b": 0.55, "c": 0.45}, s)
    held.follow(100.0, {"b": 0.4, "c": 0.6}, s)
    held.follow(3000.0, {"b": 0.4, "c": 0.6}, s)
    assert held.value == {"b": 0.6, "c": 0.4}
    held.follow(3200.0, {"b": 0.4, "c": 0.6}, s)
    assert held.value == {"b": 0.4, "c": 0.6}
    held.follow(3300.0, {"b": 1.0}, s)  # c can serve nothing any more
    assert held.value == {"b": 1.0}


@settings(max_examples=25, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 3.0)), min_size=3, max_size=6), st.data())
def test_a_projection_never_serves_more_than_was_asked_or_fits(
    kinds: list[tuple[float, float]], data: st.DataObject
) -> None:
    sites = [site(i + 1, ZONES[i % 3], dear, cheap) for i, (dear, cheap) in enumerate(kinds)]
    left = {z: data.draw(st.sampled_from([0.0, 0.5, 1.0])) for z in ZONES}
    found = shown(sites, **left)
    assert found.worth <= found.offered * (1 + 1e-9) and found.lost >= 0
    for zone in ZONES:
        served = sum(x for (_, z), x in found.flows.items() if z == zone)
        assert served <= 4 * 0.97 * left[zone] + 1e-6


def test_thirty_instances_hear_of_one_another_in_few_datagrams() -> None:
    instances = {m: Outlook(m, 1, 0.0, ZONES[m % 3], m, OutlookSettings(every=1e9)) for m in range(1, 31)}
    sent = 0
    for now in range(0, 10_000, 100):
        for one in instances.values():
            one.know(ENGINES)
            one.offered(float(now), 6.0, 20.0, "x")
            for member, data in one.step(float(now), instances):
                sent += len(data)
                instances[member].hear(float(now), data)
    heard = [len(one.words.fresh(10_000.0, 5000.0, instances)) for one in instances.values()]
    assert min(heard) >= 22 and sent / 30 / 10 < 3000  # bytes a second


def test_names_of_data_sets_that_come_once_are_forgotten() -> None:
    made = told(fleet())
    for i in range(2000):
        made.offered(2000.0, 1.0, 20.0, f"once/{i}")
        made.answered(2000.0, "a", f"once/{i}")
    made.site(200_000.0)
    assert not made.sets.weights and not made.answers.weights


# --- whether it comes true ---


def lost(seed: int, decides: str) -> tuple[Projection | None, float, float]:
    """A day on which zone a is lost: what was projected, the part of the worth served, cold work on top."""
    plans = OutlookSettings(every=3000.0, cost=CostSettings(keeps=10))
    rates = dict.fromkeys(ZONES, 140.0)
    world = World(seed, Setup(rates, TRIPS, keeps=10, decides=decides, settings=plans))
    world.play(5500)
    told = world.instances[0].outlook.projection("a")
    world.play(6000)
    world.lose("a")
    world.play(6500)
    world.see({"a": 0.0})
    world.play(13_000)
    extra = world.log.extra(6500, 11_500) - world.log.extra(2000, 6000)
    return told, world.log.share(8000, 11_000), extra


def test_the_loss_of_a_zone_comes_as_it_was_projected() -> None:
    worth, extra = [], []
    for seed in (4, 5, 6):
        told, served, cold = lost(seed, "outlook")
        assert told is not None
        worth.append(abs(told.share() - served))
        extra.append(abs(told.extra - cold) / cold)
    assert sorted(worth)[1] <= 0.05 and sorted(extra)[1] <= 0.35
    told, today, _ = lost(4, "today")
    assert told is None and today < 0.9


def test_six_instances_reach_one_plan_by_their_words() -> None:
    world = World(1, Setup(dict.fromkeys(ZONES, 60.0), TRIPS, loss=0.3))
    world.play(6000)
    plans = [i.outlook.neighbours("a") for i in world.instances]
    assert all(plan and plan[0][0] == "b" for plan in plans)
    parts = [dict(plan).get("b", 0.0) for plan in plans]
    assert max(parts) - min(parts) < 0.2
