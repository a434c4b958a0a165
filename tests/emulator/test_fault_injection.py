"""The parts of the harness: links with faults, encoding of scenarios, and a checker that finds defects."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from cottonhold.cli.main import app
from cottonhold.emulator.fault_injection.checker import check_run, summary
from cottonhold.emulator.fault_injection.client_model import RequestClass
from cottonhold.emulator.fault_injection.event_log import LogLine, Mark, RunLogs
from cottonhold.emulator.fault_injection.links import DatagramSwitch, Link, NetworkPath, TcpLink
from cottonhold.emulator.fault_injection.report import page
from cottonhold.emulator.fault_injection.scenarios import SCENARIOS, without_fleet
from cottonhold.emulator.fault_injection.script import (
    Fault,
    Scenario,
    ScriptError,
    check_scenario,
    decode_scenario,
    encode_scenario,
)


async def exchange(link: TcpLink, data: bytes = b"ask") -> str:
    """Return the response of an echo server behind a link, or how the exchange failed."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    except ConnectionRefusedError:
        return "refused"
    try:
        writer.write(data)
        return (await asyncio.wait_for(reader.readexactly(len(data)), 0.3)).decode()
    except TimeoutError:
        return "silent"
    except (ConnectionError, asyncio.IncompleteReadError):
        return "broken"
    finally:
        writer.close()


@pytest.mark.parametrize(
    "link, wanted",
    [
        (Link(), "ask"),
        (Link(refuses=True), "refused"),
        (Link(resets=True), "broken"),
        (Link(forth=NetworkPath(is_blocked=True)), "silent"),
        (Link(back=NetworkPath(is_blocked=True)), "silent"),
        (Link(forth=NetworkPath(delay_ms=5.0), back=NetworkPath(bytes_per_s=1e4)), "ask"),
    ],
    ids=["well", "refused", "reset", "cut forth", "cut back", "slow"],
)
def test_a_tcp_link_fails_as_set_and_recovers(link: Link, wanted: str) -> None:
    received = list[bytes]()

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)
        writer.close()

    async def scenario() -> tuple[str, str]:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        tested = TcpLink(("127.0.0.1", server.sockets[0].getsockname()[1]), 1)
        port = await tested.start()
        await tested.set(link)
        faulty = await exchange(tested)
        if link.forth.is_blocked:
            assert not received, "the path to the server is blocked: nothing must arrive"
        if link.back.is_blocked:
            assert received == [b"ask"], "only the path back is blocked: the request must arrive"
        await tested.set(Link())
        assert tested.port == port
        recovered = await exchange(tested)
        await tested.stop()
        server.close()
        return faulty, recovered

    assert asyncio.run(scenario()) == (wanted, "ask")


def test_the_end_of_an_attempt_is_observed_before_all_of_it_is_forwarded() -> None:
    events = list[tuple[str, str]]()

    async def scenario() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        tested = TcpLink(
            ("127.0.0.1", server.sockets[0].getsockname()[1]), 1, lambda *words: events.append(words)
        )
        await tested.start()
        await tested.set(Link(forth=NetworkPath(is_blocked=True)))
        _, writer = await asyncio.open_connection("127.0.0.1", tested.port)
        writer.write(b"*2\r\n$3\r\nGET\r\n$2\r\nr1\r\n")
        writer.close()
        for _ in range(1000):
            if len(events) > 1:
                break
            await asyncio.sleep(0.01)
        events_while_blocked = list(events)
        await tested.stop()
        server.close()
        assert events_while_blocked == [("get", "r1"), ("closed", "r1")]

    asyncio.run(scenario())
    assert events == [("get", "r1"), ("closed", "r1")], "each is recorded once only"


@pytest.mark.parametrize(
    "path, min_received, max_received",
    [
        (NetworkPath(), 100, 100),
        (NetworkPath(is_blocked=True), 0, 0),
        (NetworkPath(loss_share=0.5), 25, 75),
        (NetworkPath(duplicate_share=1.0), 200, 200),
        (NetworkPath(delay_ms=1.0, jitter_ms=5.0), 100, 100),
    ],
    ids=["well", "cut", "loss", "twice", "jitter"],
)
def test_a_switch_passes_datagrams_from_public_address_to_own_port(
    path: NetworkPath, min_received: int, max_received: int
) -> None:
    received = list[tuple[bytes, int]]()

    class Port(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
            received.append((data, addr[1]))

    async def scenario() -> tuple[DatagramSwitch, list[int]]:
        loop = asyncio.get_running_loop()
        ends = [await loop.create_datagram_endpoint(Port, local_addr=("127.0.0.1", 0)) for _ in range(3)]
        ports = [int(t.get_extra_info("sockname")[1]) for t, _ in ends]
        switch = DatagramSwitch(ports[:2], 1)
        public = await switch.start()
        switch.paths[0, 1] = path
        for n in range(100):
            ends[0][0].sendto(bytes([n]), ("127.0.0.1", public[1]))
            if n % 20 == 19:
                await asyncio.sleep(0.01)
        ends[2][0].sendto(b"?", ("127.0.0.1", public[1]))
        for _ in range(100):
            await asyncio.sleep(0.01)
            if switch.unknown_senders and len(received) >= min_received:
                break
        for transport, _ in ends:
            transport.close()
        switch.stop()
        return switch, public

    switch, public = asyncio.run(scenario())
    assert min_received <= len(received) <= max_received and switch.unknown_senders == 1
    assert {port for _, port in received} <= {public[0]}, "the sender's address is its public one"
    if path.jitter_ms:
        assert [d for d, _ in received] != sorted(d for d, _ in received), "some are reordered"


def test_processes_end_with_the_harness_that_started_them(tmp_path: Path) -> None:
    """The harness is killed, so that it cannot end its processes itself."""
    pids = tmp_path / "pids"
    guard = "cottonhold.emulator.fault_injection.parent_death_signal"
    code = (
        "import os, subprocess, sys, time\n"
        f"p = subprocess.Popen([sys.executable, '-m', '{guard}', str(os.getpid()), sys.executable,"
        " '-c', 'import time; print(1, flush=True); time.sleep(600)'], stdout=subprocess.PIPE)\n"
        "p.stdout.readline()\n"
        f"open({str(pids)!r}, 'w').write(str(p.pid))\n"
        "print('ready', flush=True); time.sleep(600)\n"
    )
    harness = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert harness.stdout is not None and harness.stdout.readline() == b"ready\n"
    child = int(pids.read_text())
    os.kill(harness.pid, signal.SIGKILL)
    harness.wait()
    harness.stdout.close()
    for _ in range(500):
        try:
            state = Path(f"/proc/{child}/stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            return
        if state == "Z":  # it has ended, but has not been reaped
            return
        time.sleep(0.01)
    raise AssertionError("the child still runs")


@pytest.mark.parametrize("scenario", SCENARIOS, ids=[d.name for d in SCENARIOS])
def test_a_scenario_is_encoded_and_decoded(scenario: Scenario) -> None:
    assert decode_scenario(encode_scenario(scenario)) == scenario
    assert all(str(fault) for fault in scenario.faults)
    assert not without_fleet(scenario).has_fleet


@pytest.mark.parametrize(
    "changes",
    [
        {"instances": 0},
        {"instances": 99},
        {"rate": 1e9},
        {"seconds": 1e9},
        {"faults": [{"at": 1.0, "verb": "explode"}]},
        {"faults": [{"at": 1.0, "verb": "drain", "target": "a1"}]},
        {"faults": [{"at": 1.0, "verb": "kill", "target": "nobody"}]},
        {"faults": [{"at": 1.0, "verb": "kill", "target": "n4-9"}]},
        {"unknown": 1},
        {"rate": "many"},
    ],
    ids=str,
)
def test_an_invalid_scenario_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(ScriptError):
        decode_scenario(json.dumps({"name": "bad", "about": "bad", **changes}).encode())


SCENARIO = check_scenario(
    Scenario(
        name="judged",
        description="a run by hand",
        instances=2,
        zones=("a", "b"),
        engines_per_zone=1,
        duration_s=4.0,
        request_classes=(
            RequestClass("cheap", 0.5, 1000.0, 100.0),
            RequestClass("load", 0.5, 1000.0, 100.0, is_load=True),
        ),
        engine_traits={"cold": 1.0},
    )
)


def clean_logs() -> RunLogs:
    """Return logs with four requests, one each second, all served; two of them are loads on one key."""
    engines: dict[str, list[LogLine]] = {"a0": [[99.0, "start", ""]], "b0": [[99.0, "start", ""]]}
    clients, links = list[LogLine](), list[LogLine]()
    for n in range(4):
        ref, at, kind = f"r{n}", 100.0 + n, "load" if n % 2 else "cheap"
        engine = "ab"[n % 2] + "0"
        clients += [[at, "ask", ref, kind, 0, 0, n, 1000], [at + 0.2, "served", ref, engine]]
        key = ["k1", n] if n % 2 else ["", 0]
        engines[engine] += [
            [at + 0.01, "get", ref, kind, *key, 100.0],
            [at + 0.02, "run", ref],
            [at + 0.19, "done", ref],
        ]
        links += [[at + 0.01, "get", ref, "n0", engine], [at + 0.19, "served", ref, "n0", engine]]
    return RunLogs(engines, clients, 100.0, links=links)


def remove_lines(lines: list[LogLine], *words: object) -> None:
    lines[:] = [line for line in lines if not all(word in line for word in words)]


Defect = Callable[[RunLogs], object]


def add_line(lines: list[LogLine], *line: object) -> None:
    lines.append(list(line))


def overlap_attempts(logs: RunLogs) -> None:
    logs.links[1:1] = [[100.05, "get", "r0", "n1", "b0"], [100.06, "served", "r0", "n1", "b0"]]
    logs.links[3][0] = 101.9


DEFECTS: dict[str, tuple[str, Defect]] = {
    "no answer": ("answers", lambda s: remove_lines(s.clients, "served", "r1")),
    "nothing in time": ("answers", lambda s: add_line(s.clients, 103.0, "nothing", "r2", "")),
    "two answers": ("answers", lambda s: add_line(s.clients, 102.5, "refused", "r2", "")),
    "served by nobody": ("made", lambda s: remove_lines(s.engines["a0"], "done", "r2")),
    "served as by another": ("made", lambda s: s.clients[1].__setitem__(3, "b0")),
    "a load twice": ("loads", lambda s: add_line(s.links, 101.5, "get", "r1", "n0", "a0")),
    "two at once": (
        "one out",
        overlap_attempts,
    ),
    "out of order": ("order", lambda s: s.engines["b0"].insert(2, [103.5, "run", "r1"])),
    "after a drain": ("drain", lambda s: s.marks.append(Mark(101.2, "drain", "a0"))),
    "after a drain and a deaf spell": (
        "drain",
        lambda s: s.marks.extend(
            [Mark(99.5, "drain", "a0"), Mark(99.4, "deaf", "n0"), Mark(101.0, "hears", "n0")]
        ),
    ),
    "pushed over": ("cold", lambda s: add_line(s.engines["a0"], 102.0, "tipped", "")),
}


def test_a_clean_run_has_no_findings_and_full_utility() -> None:
    verdict = check_run(SCENARIO, clean_logs())
    assert verdict.findings == [] and verdict.figures["worth"] == 1.0
    assert verdict.figures["attempts_per_served"] == 1.0 and sum(verdict.series["sends a"]) == 2
    assert len(summary([("judged", verdict)])) == 3


@pytest.mark.parametrize("name", DEFECTS)
def test_the_checker_finds_a_planted_defect(name: str) -> None:
    kind, plant_defect = DEFECTS[name]
    logs = clean_logs()
    if name == "out of order":
        remove_lines(logs.engines["b0"], "run", "r1")
    plant_defect(logs)
    findings = check_run(SCENARIO, logs).findings
    assert findings and all(finding.startswith(kind) for finding in findings)


@pytest.mark.parametrize("end, found", [(101.85, 0), (101.5, 1)], ids=["the whole overlap", "a part of it"])
def test_overlapping_attempts_are_excused_by_stalls_of_the_harness(end: float, found: int) -> None:
    logs = clean_logs()
    overlap_attempts(logs)
    logs.stalls += [(90.0, 100.0), (100.05, end)]
    assert len(check_run(SCENARIO, logs).findings) == found


@pytest.mark.parametrize(
    "excuse",
    [
        lambda s: s.marks.append(Mark(101.5, "kill", "n0")),
        lambda s: s.marks.extend([Mark(101.1, "stop", "n0"), Mark(109.0, "go", "n0")]),
    ],
    ids=["killed", "stopped"],
)
def test_no_answer_is_expected_of_a_killed_or_stopped_instance(excuse: Defect) -> None:
    logs = clean_logs()
    remove_lines(logs.clients, "served", "r1")
    excuse(logs)
    assert check_run(SCENARIO, logs).findings == []


def test_a_load_that_was_rejected_or_cancelled_may_be_sent_to_another_engine() -> None:
    logs = clean_logs()
    logs.links[2:2] = [[101.001, "get", "r1", "n0", "a0"], [101.002, "overload", "r1", "n0", "a0"]]
    logs.links[0:0] = [[100.005, "get", "r0", "n0", "b0"], [100.009, "drop", "r0", "n0", "b0"]]
    assert check_run(SCENARIO, logs).findings == []


@pytest.mark.parametrize(
    "marks",
    [
        [Mark(101.8, "drain", "a0")],
        [Mark(101.2, "drain", "a0"), Mark(101.7, "undrain", "a0")],
        [Mark(101.2, "drain", "a0"), Mark(101.1, "deaf", "n0")],
        [Mark(101.2, "drain", "a0"), Mark(101.3, "stop", "n0"), Mark(101.9, "go", "n0")],
    ],
    ids=["just announced", "revoked", "disconnected", "stopped"],
)
def test_a_send_to_a_draining_engine_is_excused_while_the_drain_is_unknown(
    marks: list[Mark],
) -> None:
    logs = clean_logs()
    logs.marks += marks
    assert check_run(SCENARIO, logs).findings == []


def test_utility_is_compared_with_what_the_engines_could_do() -> None:
    logs = clean_logs()
    for lines in (logs.engines["a0"], logs.engines["b0"]):
        lines.insert(1, [99.5, "set", "", "slow", 40.0])
    half = copy.deepcopy(logs)
    remove_lines(half.clients, "served", "r3")
    assert check_run(SCENARIO, half).figures["worth"] < check_run(SCENARIO, logs).figures["worth"]
    dead = clean_logs()
    dead.marks += [Mark(99.9, "kill", "a0"), Mark(99.9, "kill", "b0")]
    assert sum(check_run(SCENARIO, dead).series["worth most"]) == 0.0


def test_a_report_is_one_page_and_invalid_commands_fail(tmp_path: Path) -> None:
    verdict = check_run(SCENARIO, clean_logs())
    (tmp_path / "day.json").write_bytes(encode_scenario(SCENARIO))
    kept = {
        "verdict": {"findings": ["made: <r1>"], "figures": verdict.figures, "series": verdict.series},
        "timeline": [str(Fault(1.0, "kill", "a"))],
        "views": {"n0": {"zones": [{"zone": "a", "phase": "in", "why": ""}]}},
    }
    (tmp_path / "result.json").write_text(json.dumps(kept))
    text = page(tmp_path)
    assert "<svg" in text and "made: &lt;r1&gt;" in text and "http-equiv" not in text
    run = CliRunner().invoke
    assert run(app, ["trial", "report", str(tmp_path)]).exit_code == 0
    assert run(app, ["trial", "report", str(tmp_path / "none")]).exit_code == 2
    assert run(app, ["trial", "run", "no-such-day"]).exit_code == 2
    assert "zone-killed" in run(app, ["trial", "list"]).output
