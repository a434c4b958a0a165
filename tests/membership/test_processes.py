"""Five instance processes on loopback: two are killed, one is stopped and continued, one is restarted.

The health checks are counted at the engines. The test waits for states only; benchmarks/membership measures
the times.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from cottonhold.cli.main import app
from cottonhold.emulator.process_fleet import ProcessFleet

# Tests that start several processes slow each other down, which looks like a fault: run few in parallel.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]


@pytest.fixture
def tier(tmp_path: Path) -> Iterator[ProcessFleet]:
    new_tier = ProcessFleet(tmp_path, 5)
    yield new_tier
    new_tier.stop()


def test_five_instances_share_health_checks_through_kills_a_stop_and_a_restart(tier: ProcessFleet) -> None:
    for i in range(5):
        tier.start(i)
    tier.wait_until(tier.has_converged, "all five see each other")
    assert all(len(ports) == 1 for ports in tier.checkers().values()), "one instance probes each engine"
    tier.kill(1)
    tier.kill(3)
    tier.wait_until(tier.has_converged, "three have detected two deaths and have taken over their duties")
    assert all(len(ports) == 1 for ports in tier.checkers().values())
    stopped = tier.processes[2]
    stopped.send_signal(signal.SIGSTOP)
    try:
        others = [i for i in tier.processes if i != 2]
        tier.wait_until(
            lambda: all(status(tier.view(i), "n2") != "alive" for i in others), "the stop is detected"
        )
    finally:
        stopped.send_signal(signal.SIGCONT)
    tier.wait_until(tier.has_converged, "it is alive again, and it regards no other as dead")
    tier.start(1)
    tier.wait_until(tier.has_converged, "the instance restarted without state is alive")
    assert all(len(ports) == 1 for ports in tier.checkers().values())
    members = CliRunner().invoke(app, ["members", "--socket", str(tier.folder / "n0.sock")])
    assert members.exit_code == 0 and "n1" in members.output and "alive" in members.output
    duties = CliRunner().invoke(app, ["duties", "--socket", str(tier.folder / "n0.sock"), "--json"])
    assert {d["subject"] for d in json.loads(duties.output)["duties"]} == {*tier.engines, "fleet"}
    assert CliRunner().invoke(app, ["members", "--socket", str(tier.folder / "none")]).exit_code == 1


def status(view: dict[str, Any], name: str) -> str:
    return next((str(m["status"]) for m in view["members"] if m["name"] == name), "unknown")
