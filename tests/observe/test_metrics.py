"""Tests of the metrics as a Prometheus client parses them."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from io import StringIO
from pathlib import Path
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

from cottonhold.config.installation import UnusableConfigError, read_installation
from cottonhold.node.standalone.dispatcher import StandaloneDispatcher
from cottonhold.observe.metrics import Metrics, MetricsSnapshot, count_by_label, enum_labels
from cottonhold.observe.structured import StructuredLog

FILE: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:2",
    "machine_types": [{"name": "std", "cores": 8, "memory_mb": 16384}],
    "classes": [{"name": "lookup", "aim_ms": 1000, "deadline_ms": 5000, "effect": "safe"}],
    "sources": [{"kind": "consul", "name": "dc1", "service": "engine", "addresses": ["127.0.0.1:9"]}],
    "known": [{"id": "e1", "address": "127.0.0.1:3"}, {"id": "e2", "address": "127.0.0.1:4"}],
    "status_socket": "n1.sock",
}
VOTERS = {"keys": [{"number": 1, "secret": "a shared key"}], "voters": ["n1", "n2", "n3"]}
PEER_ADDRESSES = ["127.0.0.1:5", "127.0.0.1:6", "127.0.0.1:7"]
FLEET = {
    "metrics": True,
    "dispatchers": 3,
    "zones": ["a", "b"],
    "peers": {"listen": PEER_ADDRESSES[0], "all": PEER_ADDRESSES, "zones": ["a", "b", "b"]},
    "membership": VOTERS,
    "fleet": {},
    "state_dir": "state",
}
Series = dict[tuple[str, str], float]


def parse_series(text: str) -> Series:
    families = text_string_to_metric_families(text)
    return {(s.name, "".join(s.labels.values())): s.value for f in families for s in f.samples}


class Step(Enum):
    NONE = "none"
    SOME = "some"


def test_series_are_current_and_any_counter_name_is_escaped() -> None:
    counts = {"answers_served": 3, 'odd "name"\n': 1}
    metrics = Metrics(
        lambda: MetricsSnapshot(counts, 7, steps=count_by_label(enum_labels(Step), ["some", "some"]))
    )
    counts["answers_served"] += 1
    assert parse_series(metrics.text()) == {
        ("cottonhold_events_total", "answers_served"): 4,
        ("cottonhold_events_total", 'odd "name"\n'): 1,
        ("cottonhold_open_requests", ""): 7,
        ("cottonhold_swap_machines", "none"): 0,
        ("cottonhold_swap_machines", "some"): 2,
    }


def query_metrics(folder: Path, **changes: Any) -> dict[str, Any]:
    """Return a new instance's answer to the call `metrics`."""
    path = folder / "n1.json"
    path.write_text(json.dumps(FILE | changes))

    async def scenario() -> dict[str, Any]:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        node.publish_initial_engines()
        node.counters.add("answers_served", 5)
        for part in (node.rolling_replacement, node.recovery):
            if part is not None:
                part.close()
        return node.operator_calls.answer({"call": "metrics"})

    return asyncio.run(scenario())


@pytest.mark.parametrize("changes", [{"metrics": True}, FLEET], ids=["one alone", "one of a fleet"])
def test_an_instance_reports_its_counters_and_its_enabled_components(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    got = parse_series(query_metrics(tmp_path, **changes)["metrics"])
    assert got["cottonhold_events_total", "answers_served"] == 5
    assert got["cottonhold_open_requests", ""] == 0
    assert got["cottonhold_engines", "live"] == 2 and got["cottonhold_engines", "draining"] == 0
    names = {name.removeprefix("cottonhold_") for name, _ in got}
    fleet_metrics = {"members", "recovery_verdict", "swap_machines"}
    assert names & fleet_metrics == (fleet_metrics if "fleet" in changes else set())
    if "fleet" in changes:
        assert sum(value for (name, _), value in got.items() if name.endswith("recovery_verdict")) == 1


def test_disabled_metrics_are_an_error_and_enabled_ones_need_a_socket(tmp_path: Path) -> None:
    assert "off" in query_metrics(tmp_path)["error"]
    with pytest.raises(UnusableConfigError, match="metrics: needs status_socket"):
        query_metrics(tmp_path, status_socket="", metrics=True)
