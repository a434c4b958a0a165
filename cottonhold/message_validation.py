"""Reads fields of received JSON objects and checks their presence, type and value.

This module imports no other part of the program, so that every layer can use it.
"""

from __future__ import annotations

from typing import Any

Json = dict[str, Any]

NUMBER = (int, float)
REQUIRED = object()


class WireError(Exception):
    """A received message does not follow the protocol; the text gives the reason."""


def read(source: Json, key: str, expected: type | tuple[type, ...], default: Any = REQUIRED) -> Any:
    """Return the value of a field.

    Args:
        source: The JSON object.
        key: Name of the field.
        expected: The accepted type or types; a bool is accepted only if `bool` is among them.
        default: Value if the field is absent or null; without a default the field is required.

    Raises:
        WireError: A required field is missing, or the value has the wrong type.
    """
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
    """Return the list in a field; empty if the field is absent or null.

    Raises:
        WireError: The value is not a list, or an element has the wrong type.
    """
    values = read(source, key, list, [])
    for index, value in enumerate(values):
        read({f"{key}[{index}]": value}, f"{key}[{index}]", expected)
    return list(values)


def read_mapped(
    source: Json, key: str, table: dict[Any, Any], kind: type = str, default: Any = REQUIRED
) -> Any:
    """Return the entry of a table for the value of a field.

    Args:
        source: The JSON object.
        key: Name of the field.
        table: The known values of the field and what each is decoded to.
        expected: The accepted type.
        default: Result if the field is absent or null; without a default the field is required.

    Raises:
        WireError: A required field is missing, or its value has the wrong type or is unknown.
    """
    value = read(source, key, kind, default)
    if value is default:
        return default
    if value not in table:
        raise WireError(f"field '{key}' has an unknown value: {value!r}"[:200])
    return table[value]
