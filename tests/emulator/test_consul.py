"""The emulated Consul agent: its API as used by an independent client (py-consul), catalogue and scripts."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from typing import Any

import consul
import pytest

from cottonhold.emulator.consul.catalog import Catalog
from cottonhold.emulator.consul.entries import ApiError, parse_duration
from cottonhold.emulator.consul.filters import matches
from cottonhold.emulator.consul.script import ScriptError, parse
from cottonhold.emulator.consul.server import Server


class ServerThread:
    """An emulated agent with its event loop in a thread."""

    def __init__(self, token: str = "") -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.server = Server(token)
        self.port: int = self.run(self.server.start("127.0.0.1", 0))

    def run(self, work: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def stop(self) -> None:
        self.run(self.server.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()


@pytest.fixture
def server_thread() -> Iterator[ServerThread]:
    server_thread = ServerThread()
    yield server_thread
    server_thread.stop()


def client(server_thread: ServerThread, **options: Any) -> Any:
    return consul.Consul(host="127.0.0.1", port=server_thread.port, **options)


def check_statuses(api: Any, **options: Any) -> list[str]:
    _, rows = api.health.service("engine", **options)
    return sorted(check["Status"] for row in rows for check in row["Checks"] if check["ServiceID"])


def test_service_registration_checks_and_deregistration(server_thread: ServerThread) -> None:
    api = client(server_thread)
    check = consul.Check.ttl("30s")
    assert api.agent.service.register("engine", "e1", "10.0.0.1", 9000, tags=["a"], check=check)
    # A TTL check is critical at first, as documented for the agent.
    assert check_statuses(api) == ["critical"]
    assert api.agent.check.ttl_pass("service:e1", notes="fine")
    assert check_statuses(api) == ["passing"]
    assert api.agent.check.ttl_warn("service:e1") and check_statuses(api) == ["warning"]
    assert api.agent.check.ttl_fail("service:e1") and check_statuses(api) == ["critical"]
    assert api.health.service("engine", passing=True)[1] == []
    assert api.agent.services()["e1"]["Port"] == 9000 and "service:e1" in api.agent.checks()
    index, rows = api.catalog.service("engine")
    assert int(index) > 0 and rows[0]["ServiceID"] == "e1" and rows[0]["ServiceTags"] == ["a"]
    assert api.catalog.services()[1] == {"engine": ["a"]}
    assert api.agent.service.deregister("e1") and check_statuses(api) == []
    assert api.status.leader() and api.status.peers()


def test_maintenance_of_service_or_node_is_a_critical_check(server_thread: ServerThread) -> None:
    api = client(server_thread)
    api.agent.service.register("engine", "e1", "10.0.0.1", 9000)
    api.agent.service.maintenance("e1", "true", "disk swap")
    api.agent.maintenance("true", "kernel")
    checks = {x["CheckID"]: x for x in api.health.service("engine")[1][0]["Checks"]}
    assert checks["_service_maintenance:e1"]["Notes"] == "disk swap"
    assert checks["_node_maintenance"]["Status"] == "critical"
    api.agent.service.maintenance("e1", "false")
    api.agent.maintenance("false")
    assert check_statuses(api) == []


def test_blocking_query_returns_at_a_change(server_thread: ServerThread) -> None:
    api = client(server_thread)
    api.agent.service.register("engine", "e1", "10.0.0.1", 9000, check=consul.Check.ttl("60s"))
    index, _ = api.health.service("engine")
    responses: list[Any] = []

    def wait_for_change() -> None:
        responses.append(client(server_thread).health.service("engine", index=index, wait="60s"))

    waiting = threading.Thread(target=wait_for_change)
    waiting.start()
    while not server_thread.server.waiting:
        pass
    assert not responses
    api.agent.check.ttl_pass("service:e1")
    waiting.join(30)
    new_index, rows = responses[0]
    assert int(new_index) > int(index) and rows[0]["Checks"][-1]["Status"] == "passing"
    after, _ = api.health.service("engine", index=new_index, wait="10ms")
    assert after == new_index


def test_blocking_query_ignores_changes_of_other_services(server_thread: ServerThread) -> None:
    api = client(server_thread)
    api.agent.service.register("engine", "e1", "10.0.0.1", 9000)
    index, _ = api.health.service("engine")
    api.agent.service.register("other", "o1", "10.0.0.1", 9001)
    assert api.health.service("engine", index=index, wait="20ms")[0] == index


def test_catalog_registers_and_removes_other_nodes(server_thread: ServerThread) -> None:
    api = client(server_thread)
    service = {"Service": "engine", "ID": "e9", "Address": "10.0.0.9", "Port": 1}
    assert api.catalog.register("far", "10.0.0.9", service=service)
    assert [n["Node"] for n in api.catalog.nodes()[1]] == ["agent-1", "far"]
    assert api.health.service("engine")[1][0]["Node"]["Node"] == "far"
    api.catalog.deregister("far")
    assert api.health.service("engine")[1] == []


def test_token_is_required_and_can_be_revoked() -> None:
    server_thread = ServerThread("right")
    try:
        with pytest.raises(consul.ACLPermissionDenied):
            client(server_thread, token="wrong").health.service("engine")
        permitted = client(server_thread, token="right")
        assert permitted.health.service("engine")[1] == []
        server_thread.server.is_token_revoked = True
        with pytest.raises(consul.ACLPermissionDenied):
            permitted.health.service("engine")
    finally:
        server_thread.stop()


def test_ttl_expires_and_a_service_that_stays_critical_is_removed() -> None:
    now = [0.0]
    catalog = Catalog(lambda: now[0])
    service = catalog.put_service("agent-1", {"ID": "e1", "Name": "engine"})
    body = {"TTL": "2s", "Status": "passing", "DeregisterCriticalServiceAfter": "1m"}
    catalog.put_check("agent-1", body, service)
    assert catalog.expire() == 2.0
    now[0] = 2.0
    catalog.expire()
    (row,) = catalog.health_rows("engine")
    assert row["Checks"][-1]["Status"] == "critical" and row["Checks"][-1]["Output"] == "TTL expired"
    now[0] = 61.9
    catalog.expire()
    assert catalog.health_rows("engine")
    now[0] = 62.0
    catalog.expire()
    assert not catalog.health_rows("engine")


def test_unchanged_status_does_not_change_the_index() -> None:
    catalog = Catalog(lambda: 0.0)
    service = catalog.put_service("agent-1", {"ID": "e1", "Name": "engine"})
    catalog.put_check("agent-1", {"TTL": "2s", "Status": "passing"}, service)
    before = catalog.service_index("engine")
    catalog.set_status("agent-1", "service:e1", "passing")
    assert catalog.service_index("engine") == before
    catalog.set_status("agent-1", "service:e1", "fail")
    assert catalog.service_index("engine") > before


@pytest.mark.parametrize("text, seconds", [("10s", 10), ("1m30s", 90), ("500ms", 0.5), ("2h", 7200)])
def test_parse_duration(text: str, seconds: float) -> None:
    assert parse_duration(text) == seconds


@pytest.mark.parametrize("text", ["", "10", "s", "1x", "-1s", "1s2"])
def test_parse_duration_rejects_malformed_text(text: str) -> None:
    with pytest.raises(ApiError):
        parse_duration(text)


def test_filter_expressions() -> None:
    row = {"Service": {"Tags": ["a", "b"], "Meta": {"k": "v"}, "ID": "e1"}}
    assert matches(row, 'Service.Meta["k"] == "v" and "a" in Service.Tags and Service.ID != "e2"')
    assert not matches(row, '"a" not in Service.Tags') and not matches(row, 'Service.Meta.k == "w"')
    with pytest.raises(ApiError):
        matches(row, "Service.ID ~ 3")


def test_script_steps_are_sorted_and_errors_name_the_line() -> None:
    steps = parse("2 fault status 500 3 # three seconds\n\n1 critical e1\n")
    assert [(s.at_s, s.kind, s.args, s.duration_s) for s in steps] == [
        (1.0, "critical", ("e1",), 0.0),
        (2.0, "status", ("500",), 3.0),
    ]
    for bad in (
        "x critical e1",
        "-1 critical e1",
        "1",
        "1 fault",
        "1 fault odd 3",
        "1 fault cut",
        "1 odd e1",
        "1 critical",
    ):
        with pytest.raises(ScriptError, match="line 2"):
            parse("1 passing e1\n" + bad)
