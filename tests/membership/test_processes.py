"""Five real instances on loopback: two killed, one stopped and continued, one returned; counted at engines.

Waits for states, not for times; benchmarks/membership measures the times.
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
from cottonhold.emulator.process_fleet import Tier

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = pytest.mark.xdist_group("fleet processes")


@pytest.fixture
def tier(tmp_path: Path) -> Iterator[Tier]:
    made = Tier(tmp_path, 5)
    yield made
    made.stop()


def test_five_instances_share_health_checks_through_deaths_a_stop_and_a_return(tier: Tier) -> None:
    for i in range(5):
        tier.start(i)
    tier.until(tier.agreed, "all five know one another")
    assert all(len(ports) == 1 for ports in tier.probers().values()), "an engine is probed by one of all"
    tier.kill(1)
    tier.kill(3)
    tier.until(tier.agreed, "three know that two are gone, and hold their duties")
    assert all(len(ports) == 1 for ports in tier.probers().values())
    stopped = tier.processes[2]
    stopped.send_signal(signal.SIGSTOP)
    try:
        others = [i for i in tier.processes if i != 2]
        tier.until(
            lambda: all(status(tier.view(i), "n2") != "alive" for i in others), "the stopped one is missed"
        )
    finally:
        stopped.send_signal(signal.SIGCONT)
    tier.until(tier.agreed, "it is back, and nobody is dead for it")
    tier.start(1)
    tier.until(tier.agreed, "one returned from nothing")
    assert all(len(ports) == 1 for ports in tier.probers().values())
    shown = CliRunner().invoke(app, ["members", "--socket", str(tier.folder / "n0.sock")])
    assert shown.exit_code == 0 and "n1" in shown.output and "alive" in shown.output
    table = CliRunner().invoke(app, ["duties", "--socket", str(tier.folder / "n0.sock"), "--json"])
    assert {d["subject"] for d in json.loads(table.output)["duties"]} == {*tier.engines, "fleet"}
    assert CliRunner().invoke(app, ["members", "--socket", str(tier.folder / "none")]).exit_code == 1


def status(view: dict[str, Any], name: str) -> str:
    return next((str(m["status"]) for m in view["members"] if m["name"] == name), "unknown")
