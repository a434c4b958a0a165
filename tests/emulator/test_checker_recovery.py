"""Figures about a recovery from a power loss and about service in another zone, from constructed logs.

Also tests what these figures depend on: data sets of an engine, delays between zones, clients with a zone.
"""

from __future__ import annotations

import asyncio
import io
import json
import random
import time
from collections.abc import Callable
from unittest.mock import Mock

import msgspec
import pytest

from cottonhold.emulator.fault_injection.checker import check_run, relative_utility, summary
from cottonhold.emulator.fault_injection.client_model import Load, RequestClass
from cottonhold.emulator.fault_injection.clients import Clients, Session
from cottonhold.emulator.fault_injection.engine import DataSetCache, FaultyEngine
from cottonhold.emulator.fault_injection.engine_traits import EngineTraits
from cottonhold.emulator.fault_injection.event_log import BIN_S, LogLine, RequestLog, RunLogs
from cottonhold.emulator.fault_injection.links import NetworkPath
from cottonhold.emulator.fault_injection.recovery_quality import possible_utility
from cottonhold.emulator.fault_injection.recovery_scenarios import repeated_power_losses
from cottonhold.emulator.fault_injection.scenarios import BY_NAME, SCENARIOS, SHORT_SCENARIOS
from cottonhold.emulator.fault_injection.script import Scenario, ScriptError, check_scenario
from cottonhold.emulator.fault_injection.zone_distances import distance_ms

RECOVERY = check_scenario(
    Scenario(
        name="returned",
        description="power is back at 2 s",
        instances=2,
        zones=("a", "b"),
        engines_per_zone=1,
        duration_s=10.0,
        request_classes=(RequestClass("cheap", 1.0, 1000.0, 10.0),),
        engine_traits={"cold": 1.0, "warm": 3000.0, "tip": 1000.0, "tip_window": 1000.0},
        power_restored_at_s=2.0,
        instance_zones=("a", "b"),
        zone_distances_ms={"a-b": 10.0},
        outage_at_s=5.0,
        recovered_at_s=9.0,
    )
)


def recovery_logs(served: Callable[[int, int, int], bool]) -> RunLogs:
    """Return logs with twenty requests a second at each instance.

    Args:
        served: Returns whether the engine of the instance's zone serves a request, by the second, the
            instance and the number of the request; others are refused.
    """
    engines: dict[str, list[LogLine]] = {"a0": [[99.0, "start", ""]], "b0": [[99.0, "start", ""]]}
    clients, client = list[LogLine](), 0
    for second in range(10):
        for instance in range(2):
            for n in range(20):
                client += 1
                ref, at, zone = f"r{client}", 100.0 + second + n / 21, "ab"[instance]
                clients.append([at, "ask", ref, "cheap", instance, 0, client, 1000, zone])
                if not served(second, instance, n):
                    clients.append([at + 0.02, "refused", ref, "cooldown=100"])
                    continue
                clients.append([at + 0.02, "served", ref, f"{zone}0"])
                engines[f"{zone}0"] += [
                    [at, "get", ref, "cheap", "", 0, 10.0],
                    [at, "run", ref, "warm"],
                    [at + 0.01, "done", ref],
                ]
    return RunLogs(engines, clients, 100.0)


def test_a_recovery_is_measured_second_by_second() -> None:
    verdict = check_run(RECOVERY, recovery_logs(lambda second, instance, n: second != 2 or n < 5))
    figures = verdict.figures
    assert verdict.findings == []
    assert figures["return_0s"] == pytest.approx(0.25) and figures["return_1s"] == 1.0
    assert figures["return_first_3s"] == pytest.approx(0.75) and figures["return_warm"] == 1.0
    assert figures["return_refused"] == 30 and figures["unlike_return"] == figures["unlike_second"] == 0.0
    assert "return_8s" not in figures, "it is after the end of the scenario"


def test_possible_utility_counts_requests_that_can_wait() -> None:
    """Twenty requests of 10 ms in each of two steps; the engines have capacity from the second step on."""
    requests = {str(n): RequestLog(100.0 + BIN_S * (n % 2), "cheap", 0, 0, n, 1000.0) for n in range(40)}
    logs = RunLogs({}, [], 100.0)
    assert possible_utility(RECOVERY, logs, requests, [0.0, 1000.0, 0.0]) == [20.0, 20.0, 0.0]
    assert possible_utility(RECOVERY, logs, requests, [0.0, 300.0, 50.0]) == [20.0, 15.0, 0.0], "35 of the 40"
    assert possible_utility(RECOVERY, logs, requests, [0.0, 0.0, 0.0]) == [0.0, 0.0, 0.0]


def test_instances_that_treat_equal_requests_differently_are_measured() -> None:
    """Half of the requests at n1 are refused in one second of the recovery, none at n0."""
    figures = check_run(
        RECOVERY, recovery_logs(lambda second, i, n: not (second == 3 and i == 1 and n % 2))
    ).figures
    assert figures["unlike_second"] == pytest.approx(0.5)
    assert figures["unlike_return"] == pytest.approx(10 / 120), "from 2 s to 8 s"
    assert figures["unlike_return_cheap"] == figures["unlike_return"]


def test_an_instance_that_started_late_is_not_compared_with_earlier_service() -> None:
    """n1 runs only from 4 s on, and n0 refuses all requests until then."""
    logs = recovery_logs(lambda second, i, n: second >= 4)
    early = {line[2] for line in logs.clients if line[1] == "ask" and line[4] == 1 and line[0] < 104.0}
    for line in logs.clients:
        if line[2] in early and line[1] == "refused":
            line[1] = "unreached"
    assert check_run(RECOVERY, logs).figures["unlike_return"] == 0.0


def test_budget_use_is_measured_for_cold_engines_only() -> None:
    logs = recovery_logs(lambda *_: True)
    before = check_run(RECOVERY, logs).figures
    assert before["budget_most"] == pytest.approx(0.2, abs=0.03) and before["engines_pushed_over"] == 0
    logs.engines["a0"][1:1] = [[101.0, "get", "x1", "cheap", "", 0, 900.0], [101.0, "tipped", ""]]
    logs.engines["b0"].append([109.9, "get", "x2", "cheap", "", 0, 5000.0])
    verdict = check_run(RECOVERY, logs)
    assert verdict.figures["budget_most"] > 1.0 and verdict.figures["engines_pushed_over"] == 1
    assert verdict.figures["budget_most"] < 2.0 and verdict.findings


def test_utility_relative_to_another_run() -> None:
    full, half = (
        check_run(RECOVERY, recovery_logs(s)) for s in (lambda *_: True, lambda s, i, n: n % 2 == 0)
    )
    assert relative_utility(half, full) == pytest.approx(0.5) and relative_utility(full, full) == 1.0


def test_service_in_another_zone_costs_latency_and_cold_work() -> None:
    logs = recovery_logs(lambda *_: True)
    scenario = msgspec.structs.replace(
        RECOVERY, engine_traits=RECOVERY.engine_traits | {"datasets": 2, "set_cold": 3.0}
    )
    near = check_run(scenario, logs).figures
    assert near["added_ms"] == near["away"] == near["extra_work"] == 0.0
    moved = {line[2] for line in logs.clients if line[1] == "ask" and line[8] == "a" and line[0] >= 105.0}
    for line in logs.clients:
        if line[2] in moved and line[1] == "served":
            line[3] = "b0"
    for line in [line for line in logs.engines["a0"] if line[2] in moved]:
        logs.engines["a0"].remove(line)
        logs.engines["b0"].append([*line[:3], "cold"] if line[1] == "run" else line)
    logs.engines["b0"].sort(key=lambda line: line[0])
    far = check_run(scenario, logs)
    assert far.findings == []
    assert far.figures["added_ms_before"] == 0.0 and far.figures["added_ms_out"] == pytest.approx(10.0)
    assert far.figures["added_ms_out_a"] == 20.0 and far.figures["added_ms_out_b"] == 0.0
    assert far.figures["away_out_a"] == 1.0 and far.figures["cold_sets_out"] == pytest.approx(0.5)
    assert far.figures["extra_work_out"] == pytest.approx(1.0), "half of the work takes two times more"


def test_an_engine_caches_the_data_sets_that_were_read_last() -> None:
    sets, traits = DataSetCache(), EngineTraits(warm_data_sets=2, data_set_expiry_ms=100.0)
    reads = [(b"s1", 0.0, False), (b"s1", 50.0, True), (b"s2", 60.0, False), (b"s1", 140.0, True)]
    reads += [(b"s3", 141.0, False), (b"s2", 142.0, False), (b"s3", 143.0, True), (b"s3", 244.0, False)]
    for name, now, warm in reads:
        assert sets.read(name, traits, now) is warm, (name, now)


def test_an_engine_without_data_sets_caches_none() -> None:
    assert not EngineTraits().warm_data_sets and not any(
        d.engine_traits.get("datasets") for d in SCENARIOS if not d.instance_zones
    )
    engine = FaultyEngine("a0", io.TextIOWrapper(io.BytesIO()), EngineTraits(), 1)
    assert engine.data_sets.read_at == {}


def test_a_delay_passes_for_all_bytes_at_once_and_a_bandwidth_does_not() -> None:
    draw = random.Random(1)
    assert [NetworkPath(delay_ms=10.0).transfer_ms(draw, 100, since) for since in (0.0, 4.0, 12.0)] == [
        10.0,
        6.0,
        0.0,
    ]
    assert NetworkPath(delay_ms=10.0, bytes_per_s=1000.0).transfer_ms(draw, 100, 12.0) == 100.0


def test_zone_distances_are_symmetric() -> None:
    distances = {"a-b": 3.0}
    assert distance_ms(distances, "a", "b") == distance_ms(distances, "b", "a") == 3.0
    assert distance_ms(distances, "a", "a") == distance_ms(distances, "a", "c") == 0.0


def test_clients_stay_in_their_zone_while_an_instance_of_it_is_up() -> None:
    load = Load([1, 2, 3, 4], 1.0, 1.0, [], [1, 1, 1, 1], "", 1, instance_zones=["a", "a", "b", "b"])
    clients = Clients(load, io.TextIOWrapper(io.BytesIO()))
    assert {clients._choose_instance("a") for _ in range(100)} == {0, 1}
    assert {clients._choose_instance("a", {1}) for _ in range(100)} == {0}
    assert {clients._choose_instance("a", {0, 1}) for _ in range(100)} == {2, 3}
    assert {clients._choose_instance("a", {0, 1, 2, 3}) for _ in range(100)} == {0, 1, 2, 3}
    clients.failed_at = {0: -100.0}
    assert {clients._choose_instance("a") for _ in range(100)} == {1}
    clients.failed_at[1] = -100.0
    assert {clients._choose_instance("a") for _ in range(100)} == {2, 3}
    assert {clients._data_set(n, "a") for n in range(70)} & {
        clients._data_set(n, "b") for n in range(70)
    } == set()


def test_zone_distances_need_instance_zones() -> None:
    for fields in ({"distance": {"a-b": 1.0}}, {"homes": ("a",) * 6, "distance": {"a-z": 1.0}}):
        with pytest.raises(ScriptError):
            check_scenario(msgspec.convert({"name": "d", "about": "", **fields}, Scenario))


def test_nothing_is_started_without_power() -> None:
    times_s = (9.5, 12.0, 14.5)
    for fault in repeated_power_losses(*times_s):
        assert fault.verb == "power" or not any(at <= fault.at_s < at + 1.0 for at in times_s), str(fault)


def test_every_scenario_is_valid_and_its_settings_are_json() -> None:
    for scenario in SCENARIOS:
        json.dumps(
            {
                "homes": scenario.instance_zones,
                "distance": scenario.zone_distances_ms,
                "steps": scenario.rate_steps,
            }
        )
        assert check_scenario(scenario).duration_s > max((f.at_s for f in scenario.faults), default=0.0)


def test_the_short_set_stays_short() -> None:
    assert sum(BY_NAME[name].duration_s for name in SHORT_SCENARIOS) < 40.0, (
        "with starts and the patience of clients they take two minutes"
    )


def test_a_summary_has_only_columns_that_some_run_has() -> None:
    verdict = check_run(RECOVERY, recovery_logs(lambda *_: True))
    assert "unlike_return" in summary([("returned", verdict)])[0]
    verdict.figures = {"worth": 1.0}
    assert "unlike_return" not in summary([("calm", verdict)])[0]


@pytest.mark.parametrize(
    ("age", "work", "is_overloaded"),
    [
        (0.0, 1000.0, False),
        (0.0, 1010.0, True),
        (1.5, 1490.0, False),
        (1.5, 1510.0, True),
        (3.1, 9000.0, False),
    ],
)
def test_a_cold_engine_tolerates_more_work_as_it_warms_up(
    age: float, work: float, is_overloaded: bool
) -> None:
    """The engine is three times slower at first and linearly faster until 3 s; its first limit is 1000 ms."""
    traits = EngineTraits(
        cold_slowdown=3.0, warm_after_ms=3000.0, overload_work_ms=1000.0, overload_window_ms=1500.0
    )
    engine = FaultyEngine("a0", io.TextIOWrapper(io.BytesIO()), traits, 1)
    engine.started_at -= age
    assert engine._is_overloaded_by(work) is is_overloaded


@pytest.mark.parametrize("is_closed", [False, True])
def test_a_client_does_not_reuse_a_connection_that_was_closed(is_closed: bool) -> None:
    async def scenario() -> None:
        load = Load([1], 1.0, 1.0, [], [1], "", 1)
        clients, session = (
            Clients(load, io.TextIOWrapper(io.BytesIO())),
            Session(asyncio.StreamReader(), Mock()),
        )
        session.used_at = time.monotonic()
        clients.idle_sessions[0].append(session)
        if is_closed:
            session.reader.feed_eof()
        assert clients._idle_session(0) is (None if is_closed else session)

    asyncio.run(scenario())
