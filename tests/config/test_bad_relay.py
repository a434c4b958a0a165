"""Tests that an unusable RELAY_CONFIG file is rejected with an error of one line."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.__main__ import serve
from cottonhold.config.relay import ConfigError, decode_config, load_config
from cottonhold.message_validation import WireError
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.observe.counters import Counters
from cottonhold.observe.log import Log
from cottonhold.scheduler.scheduler import Scheduler
from tests.node.test_small_parts import CONFIG
from tests.support.drawn_cases import ODD, has_no_faults, value_paths, with_value
from tests.support.scenario import World

USABLE = {**CONFIG, "listen": "127.0.0.1:80"}
VALUES = st.one_of(ODD, st.just(...), st.sampled_from([0, -1, 1e308, 1e-308, 2**63, -0.0, ""]))


@settings(max_examples=1500)
@given(st.sampled_from(value_paths(USABLE)), VALUES)
def test_a_drawn_configuration_is_refused_or_a_dispatcher_works_under_it(
    path: tuple[Any, ...], value: Any
) -> None:
    """Guards against values that are accepted and make the dispatcher fail later."""
    try:
        config = decode_config(with_value(USABLE, path, value), {}, Counters())
    except (WireError, ValueError, TypeError):  # load_config raises ConfigError in their place
        return
    world = World(config.settings)
    world.run("c1 query lookup r1" if "lookup" in world.gateway.decoder.class_indexes else "")
    world.wait(50.0)
    assert has_no_faults(world), world.log
    Scheduler(config.settings, 1)


FILES: dict[str, bytes] = {
    "empty": b"",
    "cut off": orjson.dumps(USABLE)[:-40],
    "not UTF-8": b'{"name":"\xff\xfe"}',
    "no object": b"[]",
    "deep": b"[" * 100000,
    "NaN": orjson.dumps(with_value(USABLE, ("settings", "tick"), 12345)).replace(b"12345", b"NaN"),
    "Infinity": orjson.dumps(with_value(USABLE, ("settings", "tick"), 12345)).replace(b"12345", b"1e999"),
    "huge": b" " * (64 << 20),
}


@pytest.mark.parametrize("content", FILES.values(), ids=FILES)
def test_the_error_for_an_unusable_file_is_one_short_line(content: bytes, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(content)
    with pytest.raises(ConfigError) as error:
        load_config({"RELAY_CONFIG": str(path)}, Counters())
    assert len(str(error.value).splitlines()) == 1 and len(str(error.value)) < 500


def test_the_error_for_a_path_that_is_no_regular_file_is_one_line(tmp_path: Path) -> None:
    for path in (tmp_path, tmp_path / "none", Path("/dev/zero"), Path("a\0b")):
        with pytest.raises(ConfigError) as error:
            load_config({"RELAY_CONFIG": str(path)}, Counters())
        assert len(str(error.value).splitlines()) == 1


NOT_POSITIVE = ["aim", "hard_limit"]


@pytest.mark.parametrize("value", [0, -1, None, "5000", True])
@pytest.mark.parametrize("key", NOT_POSITIVE)
def test_a_class_without_a_positive_objective_and_deadline_is_refused(key: str, value: Any) -> None:
    with pytest.raises(WireError, match=key):
        decode_config(with_value(USABLE, ("settings", "classes", 0, key), value), {}, Counters())


def write_usable_config(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(USABLE))
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    return path


@pytest.mark.parametrize("content", FILES.values(), ids=FILES)
def test_a_start_under_an_unusable_file_ends_with_one_line_and_code_2(
    content: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    write_usable_config(tmp_path, monkeypatch).write_bytes(content)
    assert serve() == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and lines[0].startswith("cottonhold: configuration: ")


@pytest.mark.parametrize("content", FILES.values(), ids=FILES)
def test_a_reload_of_an_unusable_file_changes_nothing(
    content: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path, counters = write_usable_config(tmp_path, monkeypatch), Counters()
    config = load_config(os.environ, counters)

    async def scenario() -> None:
        dispatcher = Dispatcher(config, counters, asyncio.get_running_loop(), Log())
        events = list(dispatcher.gateway.events)
        path.write_bytes(content)
        dispatcher.reload()
        assert dispatcher.config is config and dispatcher.gateway.events == events
        path.write_bytes(orjson.dumps(with_value(USABLE, ("settings", "classes", 0, "aim"), 1500.0)))
        dispatcher.reload()
        assert dispatcher.config.settings.classes[0].latency_objective_ms == 1500.0

    asyncio.run(scenario())
    assert (counters.counts["reloads_failed"], counters.counts["reloads"]) == (1, 1)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and "config_reload_failed problem=" in lines[0]
