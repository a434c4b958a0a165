"""What a dispatcher does for each request, or as time passes, does not grow with the fleet: in counts."""

from __future__ import annotations

import pytest

from cottonhold.discovery.model import Address
from cottonhold.node.engines import Engines, Place
from tests.scenario import World

MOST = 3200  # engines of the largest fleets


def looked_at(count: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Places looked at in five seconds, where three queries have gone to engines and one has left."""
    world = World(engines=" ".join(f"a{i}" for i in range(count)))
    for number in (1, 2, 3):
        world.run(f"c{number} query lookup r{number}")
    looks: list[str] = []
    real = Engines._left

    def left(self: Engines, place: Place) -> None:
        looks.append(place.info.id)
        real(self, place)

    monkeypatch.setattr(Engines, "_left", left)
    world.wait(5000)
    return len(looks)


def test_checks_of_connections_do_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    few = looked_at(8, monkeypatch)
    assert 0 < looked_at(MOST, monkeypatch) <= 2 * few


@pytest.mark.parametrize("answered", [False, True])
def test_a_new_engine_under_the_id_of_one_that_has_gone_keeps_its_place(answered: bool) -> None:
    """Gone with nothing out or with an attempt that ends later: a check of the old leaves the new alone."""
    world = World(engines="a").run("c1 query lookup r1\ne1 expect GET r1 *")
    if answered:
        world.run("e1 send r1 served count=1,ticks=5 x")
    world.change(["a"], "gone")
    world.wait(1 if answered else 2000)
    world.change(["a"], "live")
    world.wait(1000)
    assert world.engines.places["a"].address == Address("a", 1)
    world.run("c2 query lookup r2")
    assert any(words[1] == b"%016x" % 2 for line in world.lines for words in line.heard)
