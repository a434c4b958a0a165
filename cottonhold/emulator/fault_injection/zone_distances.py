"""How far zones are from one another, as a scenario says it. Pure."""

from __future__ import annotations

from collections.abc import Mapping


def distance_ms(distances: Mapping[str, float], zone: str, other: str) -> float:
    """Return the delay one way between two zones, by pairs as "a-b"; 0 where none is given."""
    if zone == other:
        return 0.0
    return distances.get(f"{zone}-{other}", distances.get(f"{other}-{zone}", 0.0))


def zone_of(engine: str) -> str:
    """Return the zone in which an engine stands, by its name."""
    return engine.rstrip("0123456789")
