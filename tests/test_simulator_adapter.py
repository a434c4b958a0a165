"""The simulator adapter: decoding of messages, replies, invalid input, and the size of the scheduler."""

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
YOUR_TURN = {"event_type": "YOUR_TURN"}


def serve(*messages: dict[str, Any] | str) -> tuple[int, list[dict[str, Any]], str]:
    lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    output, errors = io.StringIO(), io.StringIO()
    code = simulator_adapter.run(io.StringIO("\n".join(lines) + "\n"), output, errors)
    return code, [json.loads(line) for line in output.getvalue().splitlines()], errors.getvalue()


def test_a_query_is_sent_and_its_end_is_acknowledged() -> None:
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
    code, replies, errors = serve(
        tick(1),
        HELLO,
        REGISTER,
        VIEW,
        YOUR_TURN,
        tick(2, 5.0),
        REQUEST,
        YOUR_TURN,
        tick(3, 65.0),
        done,
        YOUR_TURN,
    )
    assert (code, errors) == (0, "")
    assert [message["round"] for message in replies if message["event_type"] == "ACK"] == [1, 2, 3]
    issued = [message for message in replies if message["event_type"] == "ISSUE"]
    assert [(message["gateway_id"], message["req"], message["node"]) for message in issued] == [
        (3, "r1", NODE)
    ]


def test_optional_settings_are_decoded() -> None:
    domain = {**PARAMS["domain"], "when_short": "trim", "note_period": 0.0, "grants_count": False}
    load = {**PARAMS["classes"][0], "effect": "fragile", "by_arrival": True, "models_open": [0]}
    caps = {**PARAMS["caps"], "probes": True}
    report = {"how": "on_probe", "fields": ["waiting", "cpu", "x1", "x0"]}
    rules = {"key_quiet": 500.0, "stop_sending_within": 1000.0}
    changes = {"domain": domain, "classes": [load], "caps": caps, "report": report, "obligations": rules}
    decoded = simulator_adapter.decode_settings({**PARAMS, **changes})
    assert (
        decoded.on_memory_shortage is MemoryShortage.SHRINK
        and decoded.progress_interval_ms == 0.0
        and not decoded.features.has_memory_grants
    )
    assert decoded.features.has_health_checks and decoded.load_report_fields == ("queue", "util", "x1", "x0")
    assert decoded.rules.key_quiet_ms == 500.0 and decoded.rules.drain_grace_ms == 1000.0
    (query_class,) = decoded.classes
    assert (
        query_class.is_ordered_by_key
        and query_class.machine_types == (0,)
        and query_class.idempotency is Idempotency.NOT_IDEMPOTENT
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
def test_a_health_check_result_is_decoded(
    ending: int, gauge: list[Any] | None, outcome: Outcome, report: dict[str, float]
) -> None:
    sampled = {"event_type": "SAMPLED", "gateway_id": 3, "elapsed": 1.4, "ending": ending, "node": NODE}
    event = simulator_adapter.decode_health_check(
        {**sampled, "gauge": gauge}, simulator_adapter.decode_settings(PARAMS)
    )
    assert event == HealthCheckCompleted(NODE, outcome, report)


def test_an_overdue_engine_is_checked_and_a_result_for_an_unknown_engine_is_ignored() -> None:
    hello = {**HELLO, "params": {**PARAMS, "caps": {**PARAMS["caps"], "probes": True}}}
    lines: list[dict[str, Any]] = [tick(1), hello, REGISTER, VIEW, YOUR_TURN]
    for index in range(8):
        lines += [tick(2 + index, 5.0 + index), {**REQUEST, "req": f"r{index}"}, YOUR_TURN]
    for index in range(20):
        wake = {"event_type": "ELAPSED", "gateway_id": 3, "name": 0}
        lines += [tick(10 + index, 100.0 + 100 * index), wake, YOUR_TURN]
    unknown_engine_sample = {
        "event_type": "SAMPLED",
        "gateway_id": 3,
        "elapsed": 250.0,
        "ending": 408,
        "node": "10.9.9.9:1",
    }
    code, replies, errors = serve(
        *lines, tick(30, 2200.0), {**unknown_engine_sample, "gauge": [float("nan")]}, YOUR_TURN
    )
    assert (code, errors) == (0, "")
    assert {message["node"] for message in replies if message["event_type"] == "HEALTH_CHECK"} == {NODE}
    assert not [message for message in replies if message["event_type"] == "GIVE_IN"]


def test_a_halted_instance_restarts_without_state() -> None:
    halt = {"event_type": "HALT", "gateway_id": 3}
    code, replies, _ = serve(
        tick(1), HELLO, REGISTER, VIEW, REQUEST, YOUR_TURN, tick(2, 5.0), halt, HELLO, VIEW, YOUR_TURN
    )
    assert code == 0 and [message["req"] for message in replies if message["event_type"] == "ISSUE"] == ["r1"]


@pytest.mark.parametrize(
    "invalid_message, expected_error",
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
def test_an_invalid_message_is_reported_by_line_and_field(
    invalid_message: dict[str, Any] | str, expected_error: str
) -> None:
    code, _, errors = serve(tick(1), HELLO, invalid_message)
    assert code != 0 and errors.startswith(expected_error) and "Traceback" not in errors


def test_an_exception_in_the_scheduler_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr("cottonhold.scheduler.scheduler.Scheduler.step", broken)
    _, replies, _ = serve(tick(1), HELLO, YOUR_TURN)
    assert replies[0] == {
        "event_type": "GIVE_IN",
        "gateway_id": 3,
        "reason_text": "RuntimeError: broken on purpose",
    }


def test_the_scheduler_module_stays_within_its_size() -> None:
    lines = (ROOT / "cottonhold" / "scheduler" / "scheduler.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 860
    assert max(map(len, lines)) <= 110


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
