"""How far zones are from one another, as a day says it. Pure."""

from __future__ import annotations

from collections.abc import Mapping


def distance_ms(distance: Mapping[str, float], one: str, other: str) -> float:
    """ms one way between two zones; 0 within a zone, and where nothing is said."""
    if one == other:
        return 0.0
    return distance.get(f"{one}-{other}", distance.get(f"{other}-{one}", 0.0))


def zone_of(engine: str) -> str:
    """The zone in which an engine stands, by its name."""
    return engine.rstrip("0123456789")
