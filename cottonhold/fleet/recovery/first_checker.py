"""Which dispatcher checks an engine's health before membership has settled. Pure."""

from __future__ import annotations

import functools

from cottonhold.membership.rendezvous import score

CACHED_ORDERS = 4096


@functools.lru_cache(maxsize=CACHED_ORDERS)
def _order(engine: str, dispatchers: int) -> tuple[int, ...]:
    return tuple(sorted(range(dispatchers), key=lambda number: -score(number + 1, 1.0, engine)))


def first_checker(engine: str, passed_ms: float, dispatchers: int, slot_ms: float = 100.0) -> int:
    """The number of the configured dispatcher that checks an engine now.

    passed_ms: since this one's start, or since the loss. Each dispatcher gets a time slot, in an order by
    hash, so that an engine is found though most of the others are not back yet.
    """
    order = _order(engine, dispatchers)
    return order[int(max(passed_ms, 0.0) / slot_ms) % dispatchers]
