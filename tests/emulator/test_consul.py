"""The stand-in's fidelity, by a client that nobody here wrote: py-consul."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from typing import Any

import consul
import pytest

from cottonhold.emulator.consul.catalog import ApiError, Catalog, duration
from cottonhold.emulator.consul.script import ScriptError, parse
from cottonhold.emulator.consul.server import Server, matches


class Running:
    """A stand-in in a thread of its own."""

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
def running() -> Iterator[Running]:
    made = Running()
    yield made
    made.stop()


def client(running: Running, **more: Any) -> Any:
    return consul.Consul(host="127.0.0.1", port=running.port, **more)


def statuses(c: Any, **more: Any) -> list[str]:
    _, rows = c.health.service("engine", **more)
    return sorted(check["Status"] for row in rows for check in row["Checks"] if check["ServiceID"])


def test_a_service_is_registered_passed_failed_and_removed(running: Running) -> None:
    c = client(running)
    made = consul.Check.ttl("30s")
    assert c.agent.service.register("engine", "e1", "10.0.0.1", 9000, tags=["a"], check=made)
    assert statuses(c) == ["critical"]  # a TTL check begins critical, as the agent's page says
    assert c.agent.check.ttl_pass("service:e1", notes="fine")
    assert statuses(c) == ["passing"]
    assert c.agent.check.ttl_warn("service:e1") and statuses(c) == ["warning"]
    assert c.agent.check.ttl_fail("service:e1") and statuses(c) == ["critical"]
    assert c.health.service("engine", passing=True)[1] == []
    assert c.agent.services()["e1"]["Port"] == 9000 and "service:e1" in c.agent.checks()
    index, rows = c.catalog.service("engine")
    assert int(index) > 0 and rows[0]["ServiceID"] == "e1" and rows[0]["ServiceTags"] == ["a"]
    assert c.catalog.services()[1] == {"engine": ["a"]}
    assert c.agent.service.deregister("e1") and statuses(c) == []
    assert c.status.leader() and c.status.peers()


def test_maintenance_of_service_and_node_shows_as_a_critical_check(running: Running) -> None:
    c = client(running)
    c.agent.service.register("engine", "e1", "10.0.0.1", 9000)
    c.agent.service.maintenance("e1", "true", "disk swap")
    c.agent.maintenance("true", "kernel")
    checks = {x["CheckID"]: x for x in c.health.service("engine")[1][0]["Checks"]}
    assert checks["_service_maintenance:e1"]["Notes"] == "disk swap"
    assert checks["_node_maintenance"]["Status"] == "critical"
    c.agent.service.maintenance("e1", "false")
    c.agent.maintenance("false")
    assert statuses(c) == []


def test_a_blocking_query_returns_with_the_change(running: Running) -> None:
    c = client(running)
    c.agent.service.register("engine", "e1", "10.0.0.1", 9000, check=consul.Check.ttl("60s"))
    index, _ = c.health.service("engine")
    got: list[Any] = []
    waiting = threading.Thread(
        target=lambda: got.append(client(running).health.service("engine", index=index, wait="60s"))
    )
    waiting.start()
    while not running.server.waiting:  # it is held
        pass
    assert not got
    c.agent.check.ttl_pass("service:e1")
    waiting.join(30)
    new, rows = got[0]
    assert int(new) > int(index) and rows[0]["Checks"][-1]["Status"] == "passing"
    after, _ = c.health.service("engine", index=new, wait="10ms")
    assert after == new


def test_a_change_elsewhere_wakes_no_watcher_of_this_service(running: Running) -> None:
    c = client(running)
    c.agent.service.register("engine", "e1", "10.0.0.1", 9000)
    index, _ = c.health.service("engine")
    c.agent.service.register("other", "o1", "10.0.0.1", 9001)
    assert c.health.service("engine", index=index, wait="20ms")[0] == index


def test_other_nodes_come_by_the_catalogue(running: Running) -> None:
    c = client(running)
    service = {"Service": "engine", "ID": "e9", "Address": "10.0.0.9", "Port": 1}
    assert c.catalog.register("far", "10.0.0.9", service=service)
    assert [n["Node"] for n in c.catalog.nodes()[1]] == ["agent-1", "far"]
    assert c.health.service("engine")[1][0]["Node"]["Node"] == "far"
    c.catalog.deregister("far")
    assert c.health.service("engine")[1] == []


def test_a_token_is_asked_for_and_can_be_revoked() -> None:
    running = Running("right")
    try:
        with pytest.raises(consul.ACLPermissionDenied):
            client(running, token="wrong").health.service("engine")
        good = client(running, token="right")
        assert good.health.service("engine")[1] == []
        running.server.revoked = True
        with pytest.raises(consul.ACLPermissionDenied):
            good.health.service("engine")
    finally:
        running.stop()


# --- the model and the scripts, on a fake clock ---


def test_a_ttl_lapses_and_what_stays_critical_is_forgotten() -> None:
    now = [0.0]
    catalog = Catalog(lambda: now[0])
    service = catalog.put_service("agent-1", {"ID": "e1", "Name": "engine"})
    body = {"TTL": "2s", "Status": "passing", "DeregisterCriticalServiceAfter": "1m"}
    catalog.put_check("agent-1", body, service)
    assert catalog.tick() == 2.0
    now[0] = 2.0
    catalog.tick()
    (row,) = catalog.health("engine")
    assert row["Checks"][-1]["Status"] == "critical" and row["Checks"][-1]["Output"] == "TTL expired"
    now[0] = 61.9
    catalog.tick()
    assert catalog.health("engine")
    now[0] = 62.0
    catalog.tick()
    assert not catalog.health("engine")


def test_an_unchanged_status_moves_no_index() -> None:
    catalog = Catalog(lambda: 0.0)
    service = catalog.put_service("agent-1", {"ID": "e1", "Name": "engine"})
    catalog.put_check("agent-1", {"TTL": "2s", "Status": "passing"}, service)
    before = catalog.service_index("engine")
    catalog.set_status("agent-1", "service:e1", "passing")
    assert catalog.service_index("engine") == before
    catalog.set_status("agent-1", "service:e1", "fail")
    assert catalog.service_index("engine") > before


@pytest.mark.parametrize("text, seconds", [("10s", 10), ("1m30s", 90), ("500ms", 0.5), ("2h", 7200)])
def test_durations(text: str, seconds: float) -> None:
    assert duration(text) == seconds


@pytest.mark.parametrize("text", ["", "10", "s", "1x", "-1s", "1s2"])
def test_bad_durations(text: str) -> None:
    with pytest.raises(ApiError):
        duration(text)


def test_filters() -> None:
    row = {"Service": {"Tags": ["a", "b"], "Meta": {"k": "v"}, "ID": "e1"}}
    assert matches(row, 'Service.Meta["k"] == "v" and "a" in Service.Tags and Service.ID != "e2"')
    assert not matches(row, '"a" not in Service.Tags') and not matches(row, 'Service.Meta.k == "w"')
    with pytest.raises(ApiError):
        matches(row, "Service.ID ~ 3")


def test_a_script_is_read_in_order_and_bad_lines_are_named() -> None:
    steps = parse("2 fault status 500 3 # three seconds\n\n1 critical e1\n")
    assert [(s.at, s.what, s.args, s.lasts) for s in steps] == [
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
