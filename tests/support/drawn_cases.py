"""Shared parts of the tests that feed random input to readers."""

from __future__ import annotations

import copy
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

from tests.support.scenario import World

CASES = settings(max_examples=300)
FAULTS = ("step_faults", "action_faults", "answer_faults", "connection_faults")
ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=6),
    st.lists(st.integers(0, 3), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(0, 3), max_size=2),
)


def has_no_faults(world: World) -> bool:
    """Return whether no unexpected exception was caught."""
    return not any(world.counters.counts[name] for name in FAULTS)


def value_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths to all values in a JSON object."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [path] * bool(path) + [nested for key, part in inner for nested in value_paths(part, (*path, key))]


def with_value(source: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy with another value at a path; ... removes the value."""
    copied = copy.deepcopy(source)
    part = copied
    for key in path[:-1]:
        part = part[key]
    if value is ...:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return copied
