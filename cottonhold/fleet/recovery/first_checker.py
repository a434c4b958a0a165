"""The choice of the dispatcher that checks an engine's health before membership has settled; does no I/O."""

from __future__ import annotations

import functools

from cottonhold.membership.rendezvous import score

CACHED_ORDERS = 4096


@functools.lru_cache(maxsize=CACHED_ORDERS)
def _check_order(engine: str, dispatchers: int) -> tuple[int, ...]:
    return tuple(sorted(range(dispatchers), key=lambda number: -score(number + 1, 1.0, engine)))


def first_checker(engine: str, passed_ms: float, dispatchers: int, slot_ms: float = 100.0) -> int:
    """Return the number of the configured dispatcher that checks an engine now.

    Each dispatcher has time slots, in an order by hash, so that an engine is found even if most dispatchers
    have not returned yet.

    Args:
        engine: The engine's id.
        passed_ms: Time since this instance's start, or since the loss.
        dispatchers: Number of configured dispatchers.
        slot_ms: Length of a time slot, in ms.
    """
    order = _check_order(engine, dispatchers)
    return order[int(max(passed_ms, 0.0) / slot_ms) % dispatchers]
