"""Checks of words that come by wire: a field's presence, type and meaning. On the ground floor."""

from __future__ import annotations

from typing import Any

Json = dict[str, Any]

NUMBER = (int, float)
REQUIRED = object()


class WireError(Exception):
    """A line that does not follow the wire, with what is wrong in it."""


def read(source: Json, key: str, expected: type | tuple[type, ...], default: Any = REQUIRED) -> Any:
    """The field's value if it has the right type; the default where it is absent or null."""
    value = source.get(key)
    if value is None:
        if default is REQUIRED:
            raise WireError(f"field '{key}' is missing")
        return default
    accepted_types = expected if isinstance(expected, tuple) else (expected,)
    if not isinstance(value, accepted_types) or (isinstance(value, bool) and bool not in accepted_types):
        raise WireError(f"field '{key}' has the wrong type: {value!r}"[:200])
    return value


def read_list(source: Json, key: str, expected: type | tuple[type, ...]) -> list[Any]:
    """The field's list if all in it has the right type; empty where it is absent or null."""
    values = read(source, key, list, [])
    for index, value in enumerate(values):
        read({f"{key}[{index}]": value}, f"{key}[{index}]", expected)
    return list(values)


def read_mapped(
    source: Json, key: str, table: dict[Any, Any], kind: type = str, default: Any = REQUIRED
) -> Any:
    """The field's value translated by a table of the wire's words."""
    value = read(source, key, kind, default)
    if value is default:
        return default
    if value not in table:
        raise WireError(f"field '{key}' has an unknown value: {value!r}"[:200])
    return table[value]
