"""Further attempts: never one where an earlier one may have run, whatever comes late, twice or not at all."""

from __future__ import annotations

import pytest

from tests.test_client_gone import NAMES, SITES, Turns, nothing_left


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("again", ["overload", "crashed", "nobody", "served count=1 x|y|z/"])
def test_a_copy_of_the_answer_to_an_attempt_is_no_answer_to_the_next(
    again: str, copies: int, name: str, site: str
) -> None:
    """On one engine alone, so that the next attempt goes there too."""
    world = Turns(SITES[site], engines="a")
    world.run(f"c1 query {name} r1 allow=20000\ne1 expect GET r1 *\ne1 send r1 overload -\ntime wait 1500")
    second = next(line for line in world.lines if line.heard)
    second.heard.clear()
    for _ in range(copies):
        world.run(f"e1 send r1 {again}\nc1 expect nothing\ntime wait 1500\nany nothing there")
    number = world.lines.index(second) + 1
    world.run(f"e1.{number} send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    nothing_left(world)
