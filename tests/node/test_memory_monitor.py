"""The memory of the process in the log and the counters."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from cottonhold.config.relay import ConfigError, load_config
from cottonhold.node.memory_monitor import MemoryMonitor
from cottonhold.observe.counters import Counters
from tests.node.test_small_parts import write
from tests.support.scenario import FakeClock

LIMIT = 32_000_000


def test_each_change_of_the_level_is_logged_once() -> None:
    """Guards against a process that passes its limit without a line that tells what the memory was for."""
    events, counters = list[tuple[str, dict[str, Any]]](), Counters()
    monitor = MemoryMonitor(
        LIMIT,
        FakeClock(),
        counters,
        lambda event, **fields: events.append((event, fields)),
        lambda: {"open_requests": 7},
    )
    for resident in (20_000_000, 29_000_000, 31_000_000, 33_000_000, 34_000_000, 0):
        monitor.on_sample(resident)
    assert [fields["level"] for _, fields in events] == ["high", "over", "normal"]
    assert events[1] == (
        "memory_level_changed",
        {"level": "over", "resident_mb": 33.0, "limit_mb": 32.0, "open_requests": 7},
    )
    assert counters.counts["memory_over"] == 1


def test_the_counters_tell_the_memory_now_and_at_its_peak() -> None:
    counters = Counters()
    MemoryMonitor(None, FakeClock(), counters, lambda event: None, dict).publish()
    assert 1000 < counters.counts["memory_resident_kb"] <= counters.counts["memory_peak_kb"]


def test_the_limit_is_read_from_the_configuration(tmp_path: Path) -> None:
    environ = write(tmp_path, listen="127.0.0.1:80", limits={"memory_mb": 32, "sockets": 256})
    assert load_config(environ, Counters()).memory_limit_bytes == LIMIT
    assert (
        load_config(write(tmp_path, listen="127.0.0.1:80", limits={}), Counters()).memory_limit_bytes is None
    )


@pytest.mark.parametrize("limit", [0, -1, "32", 1e15])
def test_an_unusable_limit_is_an_error(tmp_path: Path, limit: Any) -> None:
    with pytest.raises(ConfigError, match="memory_mb"):
        load_config(write(tmp_path, listen="127.0.0.1:80", limits={"memory_mb": limit}), Counters())
