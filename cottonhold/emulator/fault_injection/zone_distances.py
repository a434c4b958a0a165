"""Network distances between the zones of a scenario; does no I/O."""

from __future__ import annotations

from collections.abc import Mapping


def distance_ms(distances: Mapping[str, float], zone: str, other: str) -> float:
    """Return the one-way delay between two zones, in ms; 0 if none is given.

    Args:
        distances: Delays by pairs of zones such as "a-b", in ms.
        zone: One zone.
        other: The other zone.
    """
    if zone == other:
        return 0.0
    return distances.get(f"{zone}-{other}", distances.get(f"{other}-{zone}", 0.0))


def zone_of(engine: str) -> str:
    """Return the zone of an engine, which is the first part of its name."""
    return engine.rstrip("0123456789")
