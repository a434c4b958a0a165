"""Reads the views that the instances of a run report at their local sockets."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from pathlib import Path
from typing import Any

from cottonhold.node.status import call_instance


def read_view(folder: Path, name: str) -> dict[str, Any]:
    """Return an instance's view of the fleet; empty if it does not respond."""
    try:
        return call_instance(folder / f"{name}.sock", {"call": "view"})
    except (OSError, ValueError):
        return {}


def sees_all_alive(view: Mapping[str, Any], name: str, names: Collection[str]) -> bool:
    """Return whether a view of the instance `name` lists all other instances in `names` as alive."""
    alive = {member["name"] for member in view.get("members", []) if member["status"] == "alive"}
    return alive | {name} == set(names)


def first_projected_costs(views: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """Return the failover cost of each zone, from the first view that contains projections."""
    projections = (view.get("outlook") for view in views)
    return next((dict(projection) for projection in projections if projection), {})
