"""The keys of settings, by which a reload of an incomplete file is rejected."""

from __future__ import annotations

from pathlib import Path

import orjson

from cottonhold.config.relay import load_config
from cottonhold.config.settings_keys import SettingsKeys
from cottonhold.observe.counters import Counters
from tests.node.test_small_parts import CONFIG

DEPTH = 1000  # the parser takes a little more, and Python's stack a little less
LONG_NAME = "a\nb" * 1000


def test_deeply_nested_settings_are_looked_into_to_a_limited_depth(tmp_path: Path) -> None:
    """Guards against a start or a reload that ends in an error of recursion, or that takes much memory."""
    deep = b'{"k":' * DEPTH + b"1" + b"}" * DEPTH
    source = {**CONFIG, "listen": "127.0.0.1:80"}
    source["settings"] = {**source["settings"], "deep": "DEEP"}
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(source).replace(b'"DEEP"', deep))
    keys = load_config({"RELAY_CONFIG": str(path)}, Counters()).settings_keys
    assert keys is not None and keys.sections["deep"] == {"k"}


def test_a_missing_key_is_named_in_one_short_line_whatever_the_name_of_its_class() -> None:
    old = SettingsKeys.of({"classes": [{"name": LONG_NAME, "group": "zone"}]})
    (missing,) = old.missing_in(SettingsKeys.of({"classes": [{"name": LONG_NAME}]}))
    assert "\n" not in missing and len(missing) < 100 and missing.endswith(".group")


def test_entries_without_a_name_and_values_of_null_are_no_keys() -> None:
    keys = SettingsKeys.of({"a": None, "b": {"c": None, "d": 1}, "classes": [{"x": 1}, 2, {"name": 3}]})
    assert keys.sections == {"": {"b", "classes"}, "b": {"d"}} and not keys.entries
