"""The budget of a cold engine in whole fleets: simulates the work that all gateways send together."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from cottonhold.scheduler import slow_start
from cottonhold.scheduler.events import Engine, EngineList
from cottonhold.scheduler.scheduler import Scheduler
from tests.support.cold_fleet import COLD_MS, START_MS, ColdFleet, Site

COLDER = {"cold_capacity_share": 0.1, "overload_factor": 2.0, "overload_window_ms": 2000.0}
SITES = {
    "one": Site(1, 4, 60.0),
    "one, colder": Site(1, 4, 60.0, **COLDER),  # type: ignore[arg-type]
    "two": Site(2, 6, 60.0),
    "two, small engines": Site(2, 6, 60.0, cores=2, costs=(100.0, 3000.0), **COLDER),  # type: ignore[arg-type]
    "three": Site(3, 8, 60.0),
    "three, large engines": Site(3, 4, 60.0, cores=64, costs=(60.0, 3000.0)),
    "five": Site(5, 10, 40.0, uneven=1.0),
    "five, listed late": Site(5, 10, 40.0, list_delay_ms=2000.0),
    "twenty": Site(20, 12, 10.0),
    "twenty, uneven": Site(20, 6, 20.0, uneven=1.0),
    "twenty, colder": Site(20, 12, 10.0, **COLDER),  # type: ignore[arg-type]
    "sixty": Site(60, 30, 6.0),
    "sixty, small engines": Site(60, 20, 6.0, cores=2, costs=(100.0, 3000.0), **COLDER),  # type: ignore[arg-type]
    "two hundred, large engines": Site(200, 24, 3.0, cores=16, costs=(60.0, 3000.0)),
    "two hundred": Site(200, 40, 3.0),
}
LENGTH_MS = {
    200: 1600.0,
    60: 2500.0,
}  # after the start, by number of gateways; many gateways run little longer than one window


@pytest.mark.parametrize("site", SITES.values(), ids=SITES)
def test_all_gateways_together_do_not_overload_cold_engines_in_a_burst(site: Site) -> None:
    fleet = ColdFleet(site).play(COLD_MS + LENGTH_MS.get(site.gateways, 3000.0))
    assert fleet.max_load_by_work() < 1 and fleet.max_load_by_usual_work() < 1


@pytest.mark.parametrize("gateways", [2, 20, 60])
def test_gateways_that_all_restart_in_the_burst_do_not_overload_cold_engines(gateways: int) -> None:
    """Their first reports contain little traffic, and the work sent before the restart is unknown."""
    fleet = ColdFleet(Site(gateways, 12, 200.0 / gateways))
    for gateway_index in range(gateways):
        fleet.at(COLD_MS + 700.0 + 3 * gateway_index, partial(fleet.start, gateway_index=gateway_index))
    fleet.play(COLD_MS + 3500.0)
    assert fleet.max_load_by_work() < 1 and fleet.max_load_by_usual_work() < 1


@pytest.mark.parametrize("gateways", [2, 20, 200])
def test_parts_add_up_to_no_more_than_the_budget_for_any_traffic_shares(gateways: int) -> None:
    site = Site(gateways, 4, 10.0)
    parts = 0.0
    for gateway_index in range(gateways):
        gateway = Scheduler(replace(site.settings(), gateway_index=gateway_index), gateway_index)
        gateway.step(1000.0, [EngineList((Engine("e0", started_at=900.0),), is_complete=True)])
        gateway.traffic_share = gateway.assigned_engine_share = 1.0  # as if peers reported no traffic
        parts += slow_start.local_budget_rate(gateway, gateway.engines["e0"])
    budget = site.overload_factor * site.cold_capacity_share * site.cores
    assert 0.2 * budget < 2 * parts < budget


@pytest.mark.parametrize("gateways", [3, 20])
def test_cold_engines_are_not_starved(gateways: int) -> None:
    until = COLD_MS + 4000.0
    fleet = ColdFleet(Site(gateways, 8, 120.0 / gateways)).play(until)
    assert fleet.used_share(until) > 0.1


@pytest.mark.parametrize("gateways", [5, 20, 60])
def test_traffic_shares_add_up_to_about_one_while_gateways_start(gateways: int) -> None:
    site = Site(gateways, 12, 200.0 / gateways, uneven=0.5)
    for seconds in (0.5, 1.0, 1.5, 2.0, 2.4):
        fleet = ColdFleet(site).play(START_MS + 1000 * seconds)
        assert sum(gateway.traffic_share for gateway in fleet.gateways if gateway is not None) < 1.6
