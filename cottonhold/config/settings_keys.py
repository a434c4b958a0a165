"""Which keys the settings of a file have, so that a reload of a file that lacks some of them is rejected.

Many keys are optional, with defaults that are right only where the deployment never had them. So a file that
lacks a key of the file in force is incomplete, whatever the default.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from cottonhold.message_validation import Json

# Keys of a class that others have and a new one may lack.
OPTIONAL_CLASS_KEYS = frozenset({"aim_stretch", "by_arrival", "models_open", "zones_open"})
NAMED_ENTRY = re.compile(r"(\w+\[[^]]*\])\.(\w+)$")
CLASSES = "classes["


def key_paths(settings: Json) -> frozenset[str]:
    """Return the paths of all keys with a value, such as `caps.most_tries` and `classes[lookup].aim`.

    The entries of a list are told apart by their names; entries without a name are not looked into.
    """
    return frozenset(_paths(settings, ""))


def _paths(value: Json, prefix: str) -> Iterator[str]:
    for key, item in value.items():
        if item is None:
            continue
        path = f"{prefix}{key}"
        yield path
        if isinstance(item, dict):
            yield from _paths(item, f"{path}.")
        elif isinstance(item, list):
            yield from _entry_paths(item, path)


def _entry_paths(entries: list[Any], path: str) -> Iterator[str]:
    for entry in entries:
        if isinstance(entry, dict) and isinstance(entry.get("name"), str):
            name = entry["name"].replace("]", ")")
            yield f"{path}[{name}]"
            yield from _paths(entry, f"{path}[{name}].")


def missing_keys(old: frozenset[str], new: frozenset[str]) -> list[str]:
    """Return the paths that the new settings lack, sorted.

    Named entries may be dropped as a whole. A new class has the keys that all former classes have, except
    for the optional ones.

    Args:
        old: The paths of the settings in force.
        new: The paths of the settings that would replace them.
    """
    missing = {path for path in old - new if not _is_of_dropped_entry(path, new)}
    old_classes, new_classes = _class_keys(old), _class_keys(new)
    common = frozenset.intersection(*old_classes.values()) if old_classes else frozenset()
    for entry in new_classes.keys() - old_classes.keys():
        lacking = common - OPTIONAL_CLASS_KEYS - new_classes[entry]
        missing |= {f"{entry}.{key}" for key in lacking}
    return sorted(missing)


def _is_of_dropped_entry(path: str, new: frozenset[str]) -> bool:
    """Return whether a path is a named entry or within one that the new settings don't have."""
    entry = path.partition("]")[0] + "]" if "]" in path else ""
    return bool(entry) and entry not in new


def _class_keys(paths: frozenset[str]) -> dict[str, frozenset[str]]:
    """Return the keys of each class, by the path of the class."""
    keys: dict[str, set[str]] = {}
    for path in paths:
        if path.startswith(CLASSES) and (match := NAMED_ENTRY.match(path)):
            keys.setdefault(match[1], set()).add(match[2])
    return {entry: frozenset(names) for entry, names in keys.items()}
