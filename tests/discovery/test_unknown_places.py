"""Engines in a zone that is not configured: other installations count them in none of their zones."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

from cottonhold.discovery.model import Address, ConfiguredNames, EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.fleet.recovery.cached_engines import EngineCache
from cottonhold.node.standalone.engine_list import EngineListPublisher
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine
from cottonhold.scheduler.settings import MachineType

ENGINES = (Engine("e1", zone=0), Engine("e2", zone=UNKNOWN_PLACE, cell=UNKNOWN_PLACE))
CHANGE = EngineListChange(ENGINES, {engine.id: Address("10.0.0.1", 7000) for engine in ENGINES}, True)


def new_publisher() -> EngineListPublisher:
    """Return a publisher with the engines, which publishes nothing."""
    quarantine = Quarantine()
    quarantine.on_change(CHANGE)
    parts = SimpleNamespace(
        zone_names=lambda: ["a", "b"],
        machine_types=(MachineType(8, 16000.0),),
        quarantine=quarantine,
        _incarnation=lambda engine_id: 0,
    )
    return cast(EngineListPublisher, parts)


def test_an_engine_of_an_unknown_zone_is_not_part_of_the_last_one() -> None:
    """Guards against decisions on a zone by the number of an engine's zone, which is -1."""
    publisher = new_publisher()
    live = {engine.id: engine for engine in ENGINES}
    assert EngineListPublisher.cores_by_zone(publisher, live) == {"a": {"e1": 8.0}}
    machines = EngineListPublisher.listed(publisher)
    assert [machines[engine_id].zone for engine_id in ("e1", "e2")] == ["a", ""]


def test_an_engine_of_an_unknown_zone_is_not_cached_as_one_of_the_last() -> None:
    cache = EngineCache({}, ConfiguredNames(("a", "b"), ()))
    cache.apply(CHANGE)
    assert [cache.engines[engine_id].zone for engine_id in ("e1", "e2")] == ["a", ""]
    assert [observation.id for observation in cache.observations()] == ["e1"]
