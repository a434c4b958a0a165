"""The wire round trip, bad input, and the module's size."""

from __future__ import annotations

import io
import json
import re
from pathlib import Path
from typing import Any

import pytest

from cottonhold import simulator_adapter
from cottonhold.scheduler.events import HealthCheckCompleted, Outcome
from cottonhold.scheduler.settings import Idempotency, MemoryShortage

ROOT = Path(__file__).parent.parent
LOOKUP = {"aim": 1000.0, "hard_limit": 5000.0, "effect": "retryable", "worth": 1.0, "late_worth": 0.0}
PARAMS: dict[str, Any] = {
    "caps": {
        "conn_idle": 15000.0,
        "connect_timeout": 250.0,
        "max_retry_after": 0.0,
        "may_cancel": True,
        "most_tries": 3,
        "peers": False,
        "probes": False,
        "retry_after": False,
        "streams_per_conn": 32,
        "unknown": 1,
    },
    "classes": [{**LOOKUP, "name": "lookup"}],
    "costs": {"probe": 0.0, "peer": 0.0},
    "discovery": "push",
    "domain": {
        "class_waits": [False],
        "cost_in_answers": False,
        "grants_count": False,
        "holds_tables": [False],
        "max_grant_share": 1.0,
        "note_period": 0.0,
        "parallelism": [1],
        "priorities": False,
        "ram_of_kind_mb": [16384.0],
        "size_cores": [8],
        "when_short": "queue",
    },
    "models": [],
    "obligations": {
        "answer_slack": 20.0,
        "cold_from": 0.3,
        "overload_factor": 2.0,
        "stop_sending_within": 500.0,
        "tip_after": 2000.0,
        "warm_within": 13000.0,
    },
    "report": {"fields": ["cpu"], "how": "off"},
    "siblings": 1,
    "me": 0,
    "tick": 5.0,
    "zone": 0,
    "zones": [],
}
NODE = "10.0.0.1:11200"


def tick(number: int, time: float = 0.0) -> dict[str, Any]:
    return {"event_type": "TICK", "sim_time": time, "round": number}


HELLO = {"event_type": "HELLO", "gateway_id": 3, "init_seed": 7, "params": PARAMS}
REGISTER = {
    "event_type": "REGISTER",
    "sheet": 0,
    "entries": [
        {"node": NODE, "campus": 0, "type": 0, "pod": 0, "stage_state": "live", "heft": 1, "ready_at": None}
    ],
}
VIEW = {"event_type": "VIEW", "gateway_id": 3, "rev": 1, "sheet": 0, "form": "C"}
REQUEST = {
    "event_type": "NEW_REQUEST",
    "gateway_id": 3,
    "req": "r1",
    "order_key": None,
    "source_set": 1,
    "update": False,
    "kind": 0,
    "footprint_mb": 10,
    "due": 4000.0,
    "est_cost": 50.0,
    "party": 0,
    "retry": False,
    "extra": "skipped",
}
TURN = {"event_type": "YOUR_TURN"}


def serve(*messages: dict[str, Any] | str) -> tuple[int, list[dict[str, Any]], str]:
    lines = [m if isinstance(m, str) else json.dumps(m) for m in messages]
    out, errors = io.StringIO(), io.StringIO()
    code = simulator_adapter.run(io.StringIO("\n".join(lines) + "\n"), out, errors)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], errors.getvalue()


def test_a_query_goes_round_the_wire() -> None:
    done = {
        "event_type": "DONE",
        "gateway_id": 3,
        "req": "r1",
        "attempt": 0,
        "ending": 200,
        "node": NODE,
        "used_up": 50 * 4096 + 2,
        "last": True,
        "elapsed": 60.0,
        "gauge": [0.4],
    }
    code, out, errors = serve(
        tick(1), HELLO, REGISTER, VIEW, TURN, tick(2, 5.0), REQUEST, TURN, tick(3, 65.0), done, TURN
    )
    assert (code, errors) == (0, "")
    assert [m["round"] for m in out if m["event_type"] == "ACK"] == [1, 2, 3]
    issued = [m for m in out if m["event_type"] == "ISSUE"]
    assert [(m["gateway_id"], m["req"], m["node"]) for m in issued] == [(3, "r1", NODE)]


def test_settings_that_the_further_deployments_use_reach_the_module() -> None:
    domain = {**PARAMS["domain"], "when_short": "trim", "note_period": 0.0, "grants_count": False}
    load = {**PARAMS["classes"][0], "effect": "fragile", "by_arrival": True, "models_open": [0]}
    caps = {**PARAMS["caps"], "probes": True}
    report = {"how": "on_probe", "fields": ["waiting", "cpu", "x1", "x0"]}
    rules = {"key_quiet": 500.0, "stop_sending_within": 1000.0}
    more = {"domain": domain, "classes": [load], "caps": caps, "report": report, "obligations": rules}
    got = simulator_adapter.decode_settings({**PARAMS, **more})
    assert (
        got.on_memory_shortage is MemoryShortage.SHRINK
        and got.progress_interval_ms == 0.0
        and not got.features.has_memory_grants
    )
    assert got.features.has_health_checks and got.load_report_fields == ("queue", "util", "x1", "x0")
    assert got.rules.key_quiet_ms == 500.0 and got.rules.drain_grace_ms == 1000.0
    (cls,) = got.classes
    assert (
        cls.is_ordered_by_key and cls.machine_types == (0,) and cls.idempotency is Idempotency.NOT_IDEMPOTENT
    )


@pytest.mark.parametrize(
    "ending, gauge, outcome, report",
    [
        (200, [0.4], Outcome.OK, {"util": 0.4}),
        (408, None, Outcome.TIMEOUT, {}),
        (521, None, Outcome.CONNECT_FAILED, {}),
        (200, [], Outcome.OK, {}),
        (200, ["busy"], Outcome.OK, {}),
    ],
)
def test_a_probe_result_reaches_the_module(
    ending: int, gauge: list[Any] | None, outcome: Outcome, report: dict[str, float]
) -> None:
    sampled = {"event_type": "SAMPLED", "gateway_id": 3, "elapsed": 1.4, "ending": ending, "node": NODE}
    event = simulator_adapter.decode_health_check(
        {**sampled, "gauge": gauge}, simulator_adapter.decode_settings(PARAMS)
    )
    assert event == HealthCheckCompleted(NODE, outcome, report)


def test_an_overdue_engine_is_probed_over_the_wire_and_its_answer_survives_an_engine_that_left() -> None:
    hello = {**HELLO, "params": {**PARAMS, "caps": {**PARAMS["caps"], "probes": True}}}
    lines: list[dict[str, Any]] = [tick(1), hello, REGISTER, VIEW, TURN]
    for i in range(8):
        lines += [tick(2 + i, 5.0 + i), {**REQUEST, "req": f"r{i}"}, TURN]
    for i in range(20):
        wake = {"event_type": "ELAPSED", "gateway_id": 3, "name": 0}
        lines += [tick(10 + i, 100.0 + 100 * i), wake, TURN]
    gone = {"event_type": "SAMPLED", "gateway_id": 3, "elapsed": 250.0, "ending": 408, "node": "10.9.9.9:1"}
    code, out, errors = serve(*lines, tick(30, 2200.0), {**gone, "gauge": [float("nan")]}, TURN)
    assert (code, errors) == (0, "")
    assert {m["node"] for m in out if m["event_type"] == "HEALTH_CHECK"} == {NODE}
    assert not [m for m in out if m["event_type"] == "GIVE_IN"]


def test_a_halted_instance_starts_again_with_nothing() -> None:
    halt = {"event_type": "HALT", "gateway_id": 3}
    code, out, _ = serve(tick(1), HELLO, REGISTER, VIEW, REQUEST, TURN, tick(2, 5.0), halt, HELLO, VIEW, TURN)
    assert code == 0 and [m["req"] for m in out if m["event_type"] == "ISSUE"] == ["r1"]


@pytest.mark.parametrize(
    "line, message",
    [
        ("{nonsense", "line 3: not JSON"),
        ("[1]", "line 3: not an object"),
        ({"event_type": "SURPRISE", "gateway_id": 3}, "line 3: field 'event_type' names an unknown event"),
        ({k: v for k, v in REQUEST.items() if k != "due"}, "line 3: field 'due' is missing"),
        ({**REQUEST, "due": "soon"}, "line 3: field 'due' has the wrong type"),
        ({**REQUEST, "gateway_id": 9}, "line 3: field 'gateway_id' names an unknown instance: 9"),
        ({**HELLO, "params": {**PARAMS, "siblings": 0}}, "line 3: field 'params': settings field 'gateways'"),
    ],
)
def test_bad_input_is_named_with_its_line_and_field(line: dict[str, Any] | str, message: str) -> None:
    code, _, errors = serve(tick(1), HELLO, line)
    assert code != 0 and errors.startswith(message) and "Traceback" not in errors


def test_an_exception_in_the_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr("cottonhold.scheduler.scheduler.Scheduler.step", broken)
    _, out, _ = serve(tick(1), HELLO, TURN)
    assert out[0] == {
        "event_type": "GIVE_IN",
        "gateway_id": 3,
        "reason_text": "RuntimeError: broken on purpose",
    }


def test_the_module_stays_within_its_size() -> None:
    lines = (ROOT / "cottonhold" / "scheduler" / "scheduler.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 860
    assert max(map(len, lines)) <= 110


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
