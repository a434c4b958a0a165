"""Parses an operator's call that requests the replacement of machines by name or engines by zone;
does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from cottonhold.fleet.rolling_replacement.plan import Machine, MachineRequest, PlanError, ReplacementRequest


def parse_request(
    requested_by: str, call: Mapping[str, Any], machines: Mapping[str, Machine]
) -> ReplacementRequest:
    """Return the request that a call's fields `machines`, `most_out` and `zones` describe.

    Each row of `machines` names a machine (`name`), or a zone (`zone`) to select all of its engines.

    Raises:
        PlanError: The call is invalid; the text names the row and the reason.
    """
    rows = call.get("machines")
    if not isinstance(rows, list) or not rows:
        raise PlanError("machines has to be a list that names at least one")
    items = [item for row in rows for item in _parse_row(row, machines)]
    max_concurrent, max_zones = call.get("most_out", 1), call.get("zones", 1)
    if not all(
        isinstance(n, int) and not isinstance(n, bool) and n >= 1 for n in (max_concurrent, max_zones)
    ):
        raise PlanError("most_out and zones have to be whole numbers from 1")
    return ReplacementRequest(requested_by, tuple(items), int(max_concurrent), int(max_zones))


def _parse_row(row: Any, machines: Mapping[str, Machine]) -> list[MachineRequest]:
    if not isinstance(row, dict) or isinstance(row.get("name"), str) == isinstance(row.get("zone"), str):
        raise PlanError(f"a row needs either a name or a zone: {row!r}")
    if unknown := sorted(set(row) - {"name", "zone", "new", "cores", "empty"}):
        raise PlanError(f"{row!r}: there is no field '{unknown[0]}'")
    cores, replacement = row.get("cores", 0.0), row.get("new") or ""
    if not isinstance(cores, int | float) or isinstance(cores, bool):
        raise PlanError(f"cores of '{row.get('name', row.get('zone'))}' is no number: {cores!r}")
    if not isinstance(replacement, str):
        raise PlanError(f"new of '{row.get('name', row.get('zone'))}' is no name: {replacement!r}")
    if "name" in row:
        return [MachineRequest(row["name"], replacement, float(cores), bool(row.get("empty")))]
    zone, zones = row["zone"], sorted({m.zone for m in machines.values() if m.is_engine})
    if replacement:
        raise PlanError(f"zone '{zone}': its engines can't all become '{replacement}'; name each of them")
    if zone not in zones:
        raise PlanError(f"no engine is in a zone '{zone}'; there are: {', '.join(zones) or 'none'}")
    names = sorted(m.name for m in machines.values() if m.is_engine and m.zone == zone)
    return [MachineRequest(name, "", float(cores)) for name in names]
