"""What the scheduler keeps by name stays bounded, though clients name ever new tables and keys."""

from __future__ import annotations

from dataclasses import replace

from cottonhold.scheduler.engine_state import MAX_LOCKS
from cottonhold.scheduler.placement import MAX_PREFERRED_GROUPS
from tests.support.scenario import LOAD, READ, SETTINGS, World

GROUPS = 600


def entries_by_group(world: World) -> dict[str, int]:
    gateway = world.gateway.scheduler
    engines = gateway.engines.values()
    return {
        "preferred": len(gateway.preferred_engines),
        "locks": max(len(engine.locked_until) for engine in engines),
        "queued loads": max(len(engine.queued_load_ms) for engine in engines),
        "loads in flight": max(len(engine.loads_in_flight) for engine in engines),
        "keys": len(gateway.key_queues.queries_by_key) + len(gateway.key_queues.quiet_until),
        "queries": len(gateway.queries),
    }


def test_loads_on_ever_new_tables_and_keys_leave_nothing_behind() -> None:
    """Guards against memory that grows while one client names ever new tables."""
    world = World(replace(SETTINGS, classes=(READ, replace(LOAD, is_load=True))))
    for number in range(1, GROUPS):
        fields = f"service=load,ref={number:016x},allow=5000,lookup=k{number}"
        world.run(f"c1 say /* {fields} */ INSERT INTO s_{number}.t SELECT 1")
        for stream in world.engine_streams:
            for request in list(stream.received):
                if request[0] == b"GET":
                    stream.received.remove(request)
                    world.run(f"{stream.engine} send {request[1].decode()} served count=1 a|b|c/")
        world.wait(20)
    assert len(world.clients["c1"].received) == GROUPS - 1
    world.wait(10_000)
    found = entries_by_group(world)
    assert found.pop("preferred") <= MAX_PREFERRED_GROUPS
    assert found.pop("locks") <= MAX_LOCKS
    assert found == {"queued loads": 0, "loads in flight": 0, "keys": 0, "queries": 0}
