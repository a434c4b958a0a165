"""A dispatcher on real sockets with emulated Consul agents and engines, all in one event loop.

Each test waits for a state and not for a time, so the results don't depend on the machine's speed.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import ssl
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from io import StringIO
from pathlib import Path
from typing import Any

import pytest
import trustme
import uvloop

from cottonhold.config.installation import read_installation
from cottonhold.emulator.consul.script import parse
from cottonhold.emulator.consul.server import Server
from cottonhold.emulator.engine import StandInEngine
from cottonhold.emulator.process_fleet import free_ports
from cottonhold.node.consul_client import LoopLagMeter
from cottonhold.node.standalone.dispatcher import StandaloneDispatcher
from cottonhold.observe.structured import StructuredLog
from cottonhold.scheduler.events import EngineState
from tests.support.scenario import LOGIN, packet

LIVE, DRAINING = EngineState.LIVE, EngineState.DRAINING
BASE_CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": 3,
    "machine_types": [{"name": "std", "cores": 8, "memory_mb": 16384}],
    "classes": [
        {"name": "lookup", "aim_ms": 5000, "deadline_ms": 20000, "effect": "safe"},
        {"name": "load", "aim_ms": 5000, "deadline_ms": 20000, "effect": "unsafe", "loads": True},
    ],
    "log": {"per_second": 1000, "burst": 1000},
}
SOURCE: dict[str, Any] = {
    "kind": "consul",
    "name": "dc1",
    "service": "engine",
    "wait_ms": 1000,
    "gap_ms": 1,
    "pause_ms": 5,
    "pause_most_ms": 50,
    "guard": {"quiet_ms": 30, "jitter": 0},
}


class Site:
    """Emulated Consul agents and engines, and one dispatcher."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.path = folder, folder / "site.json"
        self.servers: list[Server] = []
        self.engines: dict[str, StandInEngine] = {}
        self.addresses: dict[str, str] = {}
        self.node: StandaloneDispatcher
        self.log = StringIO()
        self.sessions: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def consul(self, token: str = "", host: str = "127.0.0.1", context: Any = None) -> str:
        server = Server(token)
        self.servers.append(server)
        port = await server.start(host, 0, context)
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    async def engine(self, engine_id: str, work_ms: float = 1.0) -> str:
        self.engines[engine_id] = engine = StandInEngine(engine_id, work_ms)
        self.addresses[engine_id] = f"127.0.0.1:{await engine.start()}"
        return self.addresses[engine_id]

    async def engines_in(self, server: int, *ids: str, work_ms: float = 1.0) -> None:
        for engine_id in ids:
            if engine_id not in self.engines:
                await self.engine(engine_id, work_ms)
            self.servers[server].add_engine(engine_id, self.addresses[engine_id])

    def write(self, sources: list[dict[str, Any]], **more: Any) -> None:
        # The configuration check rejects port 0, so the test's listener is set afterwards.
        listen = {"listen": "127.0.0.1:2"}
        self.path.write_text(json.dumps({**BASE_CONFIG, **listen, "sources": sources, **more}))

    async def start(self, *sources: dict[str, Any], **more: Any) -> None:
        self.write(list(sources), **more)
        installation = read_installation(self.path)
        settings = installation.file.log
        log = StructuredLog(
            "logfmt", settings.lines_per_second, settings.burst_lines, installation.secrets, self.log
        )
        self.node = StandaloneDispatcher(self.path, installation, log, asyncio.get_running_loop())
        driver = self.node.event_loop
        self.listener = driver.listener.listen(self.node.config.listen.__class__("127.0.0.1", 0))
        driver.spawn(driver.listener.accept(self.listener, self.node.sessions))
        self.node.follow_sources()

    def states(self) -> dict[str, EngineState]:
        return {
            engine_id: place.engine.state for engine_id, place in sorted(self.node.engines.endpoints.items())
        }

    def live(self) -> list[str]:
        return [engine_id for engine_id, state in self.states().items() if state is LIVE]

    def script(self, text: str, server: int = 0) -> None:
        for step in parse(text):
            self.servers[server].apply(step)

    async def until(self, holds: Callable[[], object], what: str) -> None:
        for _ in range(3000):
            if holds():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{what}: {self.states()}\n{self.log.getvalue()}")

    async def query(self, ref: int, kind: str = "lookup") -> bytes:
        """Run one query on a new session; return the last packet but one of the answer."""
        reader, writer = await asyncio.open_connection(*self.listener.getsockname())
        self.sessions.append((reader, writer))
        sql = f"/* service={kind},ref={ref:016x},allow=15000 */ SELECT a FROM sales_{ref % 9}.t"
        writer.write(packet(1, LOGIN) + packet(0, b"\x03" + sql.encode()))
        got = b""
        for _ in range(30):  # the greeting, an OK packet, and the answer up to its second EOF or an error
            head = await reader.readexactly(4)
            body = await reader.readexactly(int.from_bytes(head[:3], "little"))
            if body[:1] == b"\xff" or (body[:1] == b"\xfe" and got[:1] not in (b"", b"\x00", b"\x03")):
                return body if body[:1] == b"\xff" else got
            got = body if body[:1] != b"\xfe" else got
            if body[:1] == b"\xfe":
                got = b"\x03"
        raise AssertionError("no end")

    def events(self, name: str) -> list[str]:
        return [line for line in self.log.getvalue().splitlines() if f"event={name} " in line]


@asynccontextmanager
async def running_site(folder: Path) -> AsyncIterator[Site]:
    site = Site(folder)
    try:
        yield site
    finally:
        for _, writer in site.sessions:
            writer.close()
        for task in list(site.node.event_loop.tasks):
            task.cancel()
        await asyncio.gather(*site.node.event_loop.tasks, return_exceptions=True)
        site.listener.close()
        for server in site.servers:
            await server.stop()
        for engine in site.engines.values():
            await engine.stop()


Scenario = Callable[[Site], Coroutine[Any, Any, None]]


def run_scenario(folder: Path, scenario: Scenario) -> None:
    async def main() -> None:
        async with running_site(folder) as site:
            await asyncio.wait_for(scenario(site), 60)

    uvloop.run(main())


async def start_serving(site: Site, *ids: str, **more: Any) -> None:
    address = await site.consul()
    await site.engines_in(0, *ids)
    await site.start({**SOURCE, "addresses": [address]}, **more)
    await site.until(lambda: site.live() == list(ids), "all engines known")


def test_queries_run_on_what_consul_lists_and_follow_its_changes(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await start_serving(site, "e1", "e2", "e3")
        assert b"e" in await site.query(1)
        site.script("0 critical e1\n0 maintenance e2 on")
        await site.until(lambda: site.live() == ["e3"], "two engines out of service")
        for ref in range(2, 12):
            assert b"e3" in await site.query(ref)
        site.script("0 passing e1\n0 maintenance e2 off\n0 deregister e3")
        await site.until(lambda: site.live() == ["e1", "e2"], "two engines back, one removed")
        # The engine is cold, since nothing proves that it is the same process.
        assert site.node.engines.endpoints["e1"].engine.started_at > 0

    run_scenario(tmp_path, scenario)


FAULTS = [
    "hang 60",
    "cut 60",
    "empty 60",
    "garbage 60",
    "status 500 60",
    "status 429 60",
    "noleader 60",
    "drip 60",
    "truncate 60",
]


@pytest.mark.parametrize("fault", FAULTS)
def test_no_fault_of_consul_empties_the_list_and_changes_follow_after_it(tmp_path: Path, fault: str) -> None:
    async def scenario(site: Site) -> None:
        await start_serving(site, "e1", "e2", "e3", "e4")
        server = site.servers[0]
        answered = len(server.calls)
        site.script(f"0 fault {fault}\n0 critical e4")
        await site.until(
            lambda: len(server.calls) > answered + 1 or "hang" in fault or "drip" in fault, "another request"
        )
        for ref in range(5):
            assert b"e" in await site.query(ref)
        assert len(site.live()) >= 3
        server.faults.clear()
        if fault.startswith("hang"):
            await server.stop()  # its connections are closed, and another agent replaces it
            site.servers.append(Server())
            site.servers[1].catalog.services, site.servers[1].catalog.checks = (
                server.catalog.services,
                server.catalog.checks,
            )
            site.servers[1].catalog.indexes = server.catalog.indexes
            await site.servers[1].start(
                "127.0.0.1", site.node.installation.consul_sources[0].watch_settings.addresses[0].port
            )
        await site.until(lambda: site.live() == ["e1", "e2", "e3"], "the change after the fault")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["gzip 60", "chunked 60", "backwards 60"])
def test_responses_in_other_forms_are_understood(tmp_path: Path, fault: str) -> None:
    async def scenario(site: Site) -> None:
        await start_serving(site, "e1", "e2", "e3")
        site.script(f"0 fault {fault}\n0 critical e1")
        await site.until(lambda: site.live() == ["e2", "e3"], "the change")
        site.script("0 passing e1")
        await site.until(lambda: len(site.live()) == 3, "the engine back in service")

    run_scenario(tmp_path, scenario)


def test_all_critical_in_one_response_leaves_the_last_list_in_effect(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await start_serving(site, "e1", "e2", "e3", "e4")
        site.script("\n".join(f"0 critical e{i}" for i in (1, 2, 3, 4)))
        await site.until(lambda: site.events("engine_losses_held"), "the deferred losses")
        assert len(site.live()) >= 2 and b"e" in await site.query(1)

    run_scenario(tmp_path, scenario)


def test_an_engine_that_flaps_ten_times_returns_a_few_times_only(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        source = {**SOURCE, "guard": {"quiet_ms": 200, "jitter": 0}}
        address = await site.consul()
        await site.engines_in(0, "e1", "e2", "e3")
        await site.start({**source, "addresses": [address]})
        await site.until(lambda: len(site.live()) == 3, "all engines known")
        for _ in range(10):
            site.script("0 critical e1")
            await site.until(lambda: site.states()["e1"] is DRAINING, "out of service immediately")
            site.script("0 passing e1")
            index = site.servers[0].catalog.service_index("engine")
            await site.until(lambda at=index: site.node.engine_catalog.views["dc1"].index >= at, "the change")  # type: ignore[misc]
        assert len(site.events("engine_in_service")) <= 3

    run_scenario(tmp_path, scenario)


def test_a_drain_lets_a_running_load_finish_and_sends_nothing_new(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        address = await site.consul()
        await site.engines_in(0, "e1", work_ms=1500)
        await site.start({**SOURCE, "addresses": [address]})
        await site.until(lambda: site.live() == ["e1"], "one engine")
        load = asyncio.ensure_future(site.query(1, "load"))
        await site.until(lambda: site.engines["e1"].in_flight == 1, "the load runs")
        site.script("0 maintenance e1 on")
        await site.until(lambda: not site.live(), "drained")
        await site.engines_in(0, "e2")
        await site.until(lambda: site.live() == ["e2"], "the other engine")
        assert b"e2" in await site.query(2, "load")
        assert b"e1" in await load
        assert site.engines["e1"].runs == {f"{1:016x}": 1} and site.engines["e2"].runs == {f"{2:016x}": 1}

    run_scenario(tmp_path, scenario)


def test_an_engine_registered_anew_at_a_new_address_serves_there(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await start_serving(site, "e1", "e2")
        old = site.addresses["e1"]
        new = await site.engine("e1")
        assert new != old
        site.script(f"0 deregister e1\n0 register e1 {new}")
        await site.until(
            lambda: str(site.node.engines.endpoints["e1"].address) == new and "e1" in site.live(),
            "the new one",
        )
        assert site.node.engines.endpoints["e1"].engine.started_at > 0

    run_scenario(tmp_path, scenario)


def test_of_two_sources_that_disagree_the_cautious_claim_wins(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        addresses = [await site.consul(), await site.consul()]
        await site.engines_in(0, "e1", "e2", "e3")
        await site.engines_in(1, "e2", "e3", "e4")
        sources = [{**SOURCE, "name": f"dc{i}", "addresses": [a]} for i, a in enumerate(addresses)]
        await site.start(*sources)
        await site.until(lambda: len(site.live()) == 4, "both lists")
        site.script("0 critical e2", server=1)
        await site.until(lambda: site.live() == ["e1", "e3", "e4"], "the more cautious claim")
        site.script("0 deregister e3", server=0)
        await site.until(
            lambda: "e3" in site.live() and "e3" not in site.node.engine_catalog.views["dc0"].claims,
            "the claim of the other source",
        )

    run_scenario(tmp_path, scenario)


def test_with_consul_unreachable_at_start_initial_engines_serve_and_it_is_logged(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        address = await site.engine("e1")
        await site.start({**SOURCE, "addresses": ["127.0.0.1:1"]}, known=[{"id": "e1", "address": address}])
        assert b"e1" in await site.query(1)
        await site.until(lambda: site.events("source_lost"), "the logged loss of the source")
        assert "known_engines=1" in site.events("source_lost")[0]
        site.node._log_silent_sources()
        assert "known_engines=1" in site.events("source_silent")[0]

    run_scenario(tmp_path, scenario)


def test_an_initial_engine_that_consul_does_not_list_goes_with_its_first_response(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        address = await site.consul()
        await site.engines_in(0, "e1", "e2")
        known = [
            {"id": engine_id, "address": a}
            for engine_id, a in [*site.addresses.items(), ("e9", "127.0.0.1:3")]
        ]
        await site.start({**SOURCE, "addresses": [address]}, known=known)
        assert site.live() == ["e1", "e2", "e9"]
        await site.until(lambda: site.live() == ["e1", "e2"], "the list from Consul")
        # The engines were known before, so they aren't cold.
        assert {p.engine.started_at for p in site.node.engines.endpoints.values()} == {0.0}

    run_scenario(tmp_path, scenario)


def test_a_wrong_initial_list_is_replaced_once_the_catalogue_confirms(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        address = await site.consul()
        await site.engines_in(0, "e1")
        known = [{"id": f"old{i}", "address": f"127.0.0.1:{i + 3}"} for i in range(4)]
        await site.start({**SOURCE, "addresses": [address]}, known=known)
        await site.until(lambda: site.live() == ["e1"], "the absence confirmed by a consistent read")
        assert any("/v1/catalog/service/engine?consistent" in url for _, _, url in site.servers[0].calls)

    run_scenario(tmp_path, scenario)


def test_the_lag_of_a_stalled_loop_is_measured() -> None:
    async def main() -> float:
        meter = LoopLagMeter(asyncio.get_running_loop())
        await asyncio.sleep(0)
        time.sleep(0.2)  # blocks the event loop; a tick was due after 50 ms
        return meter.pop_max_lag_ms()

    assert uvloop.run(main()) > 100


def test_an_unreachable_agent_is_replaced_by_another_and_returns(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        addresses = [await site.consul(), await site.consul()]
        await site.engines_in(0, "e1", "e2")
        site.servers[1].catalog.services, site.servers[1].catalog.checks = (
            site.servers[0].catalog.services,
            site.servers[0].catalog.checks,
        )
        await site.start({**SOURCE, "addresses": addresses})
        await site.until(lambda: len(site.live()) == 2, "both engines")
        await site.servers[0].stop()
        site.script("0 critical e1", server=1)
        await site.until(lambda: site.live() == ["e2"], "the change from the second agent")
        await site.servers[1].stop()
        await site.until(lambda: site.node.counters.counts["consul_failures"] > 8, "many attempts")
        assert site.live() == ["e2"] and b"e2" in await site.query(1)

    run_scenario(tmp_path, scenario)


def test_after_a_revoked_token_the_list_remains_and_a_reload_applies_a_new_token(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        address = await site.consul(token="first-token")
        await site.engines_in(0, "e1", "e2")
        (tmp_path / "token").write_text("first-token\n")
        source = {**SOURCE, "addresses": [address], "token_file": "token"}
        await site.start(source)
        await site.until(lambda: len(site.live()) == 2, "both engines")
        site.servers[0].token = "second-token"
        site.script("0 critical e1")  # completes the blocking query, whose answer may still be accepted
        await site.until(lambda: site.events("source_lost"), "the rejected token")
        assert "status 403" in site.log.getvalue() and site.live()
        (tmp_path / "token").write_text("second-token")
        site.node.reload()
        await site.until(
            lambda: site.events("source_recovered") and site.live() == ["e2"], "back with the new token"
        )
        assert "first-token" not in site.log.getvalue() and "second-token" not in site.log.getvalue()

    run_scenario(tmp_path, scenario)


def test_a_reload_adds_and_removes_sources_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        addresses = [await site.consul(), await site.consul()]
        await site.engines_in(0, "e1", "e2")
        await site.engines_in(1, "e3", "e4")
        sources = [{**SOURCE, "name": f"dc{i}", "addresses": [a]} for i, a in enumerate(addresses)]
        await site.start(sources[0])
        await site.until(lambda: len(site.live()) == 2, "the first source")
        site.path.write_text("{")
        site.node.reload()
        assert site.events("config_reload_failed") and len(site.live()) == 2
        site.write(sources, number=0, dispatchers=2)
        site.node.reload()
        assert "restart_needed_for=dispatchers" in site.events("config_reloaded")[0]
        await site.until(lambda: len(site.live()) == 4, "the engines of both sources")
        site.write(sources[1:])
        site.node.reload()
        assert site.live() == ["e3", "e4"]

    run_scenario(tmp_path, scenario)


def test_a_response_of_20_mb_is_applied_and_one_past_the_limit_refused(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        await start_serving(site, "e1", "e2")
        server = site.servers[0]
        for i in range(200):
            server.add_engine(f"big{i}", f"127.0.0.2:{1000 + i}", pad="x" * 100_000)
        await site.until(lambda: len(site.live()) == 202, "20 MB")
        assert site.node.counters.counts["consul_bytes"] > 20_000_000
        site.write(
            [
                {
                    **SOURCE,
                    "addresses": [str(site.node.installation.consul_sources[0].watch_settings.addresses[0])],
                    "most_bytes": 1_000_000,
                }
            ]
        )
        site.node.reload()
        await site.until(lambda: site.events("source_lost"), "the rejected token")
        assert "more than 1000000 bytes" in site.events("source_lost")[0] and len(site.live()) == 202

    run_scenario(tmp_path, scenario)


def test_https_with_a_private_authority_a_client_certificate_and_ipv6(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        authority = trustme.CA()
        ours, theirs = authority.issue_cert("::1", "consul.test"), authority.issue_cert("n1.test")
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        ours.configure_cert(context)
        authority.configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
        authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        theirs.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))
        theirs.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
        address = await site.consul(host="::1", context=context)
        await site.engines_in(0, "e1", "e2")
        tls = {
            "ca_file": "ca.pem",
            "cert_file": "cert.pem",
            "key_file": "key.pem",
            "server_name": "consul.test",
        }
        await site.start({**SOURCE, "addresses": [address], "tls": tls})
        await site.until(lambda: len(site.live()) == 2, "both engines by HTTPS")
        site.script("0 critical e1")
        await site.until(lambda: site.live() == ["e2"], "a change by HTTPS")
        site.write(
            [{**SOURCE, "addresses": [address], "tls": {"ca_file": "ca.pem", "server_name": "other.test"}}]
        )
        site.node.reload()
        await site.until(lambda: site.events("source_lost"), "the certificate of another name rejected")
        assert "ertificate" in site.events("source_lost")[0] and site.live() == ["e2"]

    run_scenario(tmp_path, scenario)


def test_the_registration_survives_an_agent_without_data_and_ends_with_the_dispatcher(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        address = await site.consul()
        await site.engines_in(0, "e1")
        register = {"agent": address, "ttl_ms": 1000, "lag_ms": 900, "address": "127.0.0.1:1"}
        await site.start({**SOURCE, "addresses": [address]}, register=register)
        catalog = site.servers[0].catalog

        def there() -> bool:
            return ("agent-1", "n1") in catalog.services

        await site.until(there, "registered")
        catalog.remove_service("agent-1", "n1")
        await site.until(there, "registered again")
        leaving: list[Awaitable[object]] = list(site.node.shutdown_tasks())
        await asyncio.gather(*leaving)
        assert (
            not there()
            and site.node.registration_task is not None
            and site.node.registration_task.registration.is_finished()
        )

    run_scenario(tmp_path, scenario)


def test_the_command_serves_reloads_and_shuts_down_gracefully(tmp_path: Path) -> None:
    """The whole program as operators run it: emulators, `serve --config`, SIGHUP and SIGTERM."""
    program = [sys.executable, "-m", "cottonhold.cli.main"]
    environ = {**os.environ, "PYTHONUNBUFFERED": "1"}
    started: list[subprocess.Popen[str]] = []

    def start(*arguments: str) -> subprocess.Popen[str]:
        started.append(
            subprocess.Popen(
                [*program, *arguments],
                env=environ,
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
        )
        return started[-1]

    def wait_for_line(process: subprocess.Popen[str], text_part: str) -> str:
        assert process.stdout is not None
        for text in process.stdout:
            if text_part in text:
                return text
        raise AssertionError(f"'{text_part}' was not printed")

    try:
        consul = start("emulate", "consul", "--listen", "127.0.0.1:0")
        agent = wait_for_line(consul, "listens at").split()[-1]
        engine = start("emulate", "engine", "--id", "e1", "--consul", agent)
        wait_for_line(engine, "listens at")
        path = tmp_path / "site.jsonnet"
        config = {
            **BASE_CONFIG,
            "listen": f"127.0.0.1:{free_ports(1, socket.SOCK_STREAM)[0]}",
            "sources": [{**SOURCE, "addresses": [agent]}],
            "register": {"agent": agent},
        }
        path.write_text(json.dumps(config))
        node = start("serve", "--config", str(path))
        wait_for_line(node, "phase=there")
        path.write_text("{ name: 1 }")
        node.send_signal(signal.SIGHUP)
        assert "name: Expected a text" in wait_for_line(node, "config_reload_failed")
        path.write_text(json.dumps({**config, "log": {"format": "json"}}))
        node.send_signal(signal.SIGHUP)
        assert json.loads(wait_for_line(node, "config_reloaded"))["restart_needed_for"] == "nothing"
        node.send_signal(signal.SIGTERM)
        assert json.loads(wait_for_line(node, "left"))["phase"] == "left"
        assert "reloads=1 reloads_failed=1" in wait_for_line(node, "counters")
        assert node.wait(30) == 0
        engine.send_signal(signal.SIGTERM)
        assert "ran 0 queries" in wait_for_line(engine, "ran") and engine.wait(30) == 0
    finally:
        for process in started:
            process.kill()
            process.wait()
