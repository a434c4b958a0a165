"""Two processes as one dispatcher: slots, connection ids, a shared address, upgrades of real processes."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cottonhold.config.relay import load_config
from cottonhold.discovery.model import Address
from cottonhold.emulator.engine import StandInEngine
from cottonhold.emulator.process_fleet import free_ports
from cottonhold.frontend.client_sessions import ClientSessions
from cottonhold.frontend.connection_ids import ConnectionIdRange, slot_of
from cottonhold.node.descriptors import MIN_QUOTA, SIBLING_OVERHEAD, DescriptorQuotas
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.node.sibling_processes import ProcessRecord, SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.observe.log import Log
from cottonhold.transport.event_loop import EventLoop
from tests.node.test_small_parts import ENTRY, PROGRAM, write
from tests.support.scenario import LOGIN, World, packet


def join_folder(folder: Path | str | None, log: list[str] | None = None) -> SiblingProcesses:
    return SiblingProcesses(
        None if folder is None else str(folder), "here", (log if log is not None else []).append
    )


def first_and_last_id(ids: ConnectionIdRange) -> set[int]:
    return {ids.base + 1, ids.base + ids.count}


def test_two_processes_see_each_other_and_a_dead_one_frees_its_slot(tmp_path: Path) -> None:
    first = join_folder(tmp_path)
    assert first.others() == [] and not first.is_newer_starting()
    second = join_folder(tmp_path)
    assert first.is_newer_starting() and not second.is_newer_starting()
    second.publish(
        ProcessRecord(second.record.start_number, client_connections=5, engine_connections=3, is_serving=True)
    )
    assert first.others() == [second.record] and second.others() == [first.record]
    assert not first.is_newer_starting()
    os.close(first.file)  # as at the end of its process
    assert second.others() == []
    third = join_folder(tmp_path)
    assert third.slot == first.slot and third.record.start_number > second.record.start_number


@pytest.mark.parametrize("content", [b"", b"CHS1", b"x" * 4096, ProcessRecord(7).encode()])
def test_a_stale_file_is_a_free_slot_and_its_start_number_is_not_reused(
    tmp_path: Path, content: bytes
) -> None:
    (tmp_path / "cottonhold-here.seat0").write_bytes(content)
    claimed = join_folder(tmp_path)
    assert (claimed.slot, claimed.record.start_number) == (0, 8 if len(content) == 17 else 1)


def test_without_a_writable_folder_the_process_serves_and_logs_it(tmp_path: Path) -> None:
    log: list[str] = []
    for process in (join_folder(None, log), join_folder(tmp_path / "absent", log)):
        process.publish(ProcessRecord(1, 2, 3))
        assert (
            process.others() == []
            and process.connection_ids().base >> 32 == 0
            and process.connection_ids().count >= 1023
        )
    assert len(log) == 1 and "no slot in $TMPDIR" in log[0]
    full = [join_folder(tmp_path, log) for _ in range(5)]
    assert [s.slot for s in full] == [0, 1, 2, 3, -1] and "all 4 slots are taken" in log[1]


def test_connection_ids_of_two_processes_differ() -> None:
    """A KILL QUERY that reaches the other process must not end another client's query there."""
    given = [ConnectionIdRange.for_slot(start, slot) for start in (0, 1, 1023) for slot in range(4)]
    assert sorted(b for ids in given for b in first_and_last_id(ids)) == [
        b for ids in given for b in sorted(first_and_last_id(ids))
    ]
    assert len(set.union(*map(first_and_last_id, given))) == 24
    assert first_and_last_id(ConnectionIdRange.for_process(4194303, 4194304)).isdisjoint(
        first_and_last_id(ConnectionIdRange.for_process(4194302, 4194304))
    )
    assert (
        max(first_and_last_id(ConnectionIdRange.for_process(4194303, 4194304)) | first_and_last_id(given[-1]))
        < 1 << 32
    )


def test_connection_ids_of_two_dispatchers_begin_apart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a KILL QUERY that a front leads to another dispatcher, where it ends a stranger's query.

    Each dispatcher has an empty $TMPDIR, so all have the same start number and slot.
    """

    async def first_ids(seed: int) -> list[int]:
        folder = tmp_path / str(seed)
        folder.mkdir()
        monkeypatch.setenv("TMPDIR", str(folder))
        config = load_config(write(folder, listen="127.0.0.1:80", seed=f"{seed:x}"), Counters())
        dispatcher = Dispatcher(config, Counters(), asyncio.get_running_loop(), Log())
        try:
            return [dispatcher.sessions.open().connection_id for _ in range(100)]
        finally:
            os.close(dispatcher.sibling_processes.file)

    given = [asyncio.run(first_ids(seed)) for seed in range(1, 9)]
    assert len({connection_id for ids in given for connection_id in ids}) == 800
    assert {slot_of(connection_id) for ids in given for connection_id in ids} == {0}


def test_a_kill_at_the_wrong_process_kills_nothing(tmp_path: Path) -> None:
    worlds = [World(), World()]
    for world in worlds:
        world.sessions.connection_ids = join_folder(tmp_path).connection_ids()
        world.sessions.last_id = world.sessions.connection_ids.base
        world.run("c1 query load r1 allow=20000\ne1 expect GET r1 *")
    other = worlds[1].clients["c1"].session.connection_id
    worlds[0].run(f"c2 say KILL QUERY {other}\nc2 expect error 1094 *")
    assert all(w.clients["c1"].session.withdraw_request is not None for w in worlds)


def test_connection_ids_in_use_are_skipped_when_they_wrap() -> None:
    world = World()
    sessions = ClientSessions(
        world.gateway, world.clock, world.counters, world.lifecycle, 99, ConnectionIdRange(1 << 20, 3)
    )
    open_session = sessions.open()
    numbers = [open_session.connection_id]
    for _ in range(4):
        session = sessions.open()
        numbers.append(session.connection_id)
        session.on_closed()
    assert numbers == [(1 << 20) + n for n in (1, 2, 3, 2, 3)]


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([], (122, 84)),
        ([ProcessRecord(1, 40, 10)], (122 - 40 - SIBLING_OVERHEAD, 74)),
        ([ProcessRecord(1, 400, 400)], (MIN_QUOTA, MIN_QUOTA)),
    ],
)
def test_two_processes_stay_below_one_descriptor_limit(
    others: list[ProcessRecord], expected: tuple[int, int]
) -> None:
    quotas = DescriptorQuotas.divide(256)
    remaining = quotas.remaining_after(others)
    assert (remaining.clients, remaining.engines) == expected
    for limit in (128, 256, 512, 1024):
        quotas = DescriptorQuotas.divide(limit)
        assert quotas.clients + quotas.engines + quotas.admin + SIBLING_OVERHEAD < limit
        assert quotas.clients > limit / 3


def test_new_connections_and_datagrams_go_to_the_newer_process_and_the_older_may_close() -> None:
    """SO_REUSEPORT alone would divide connections, and closing the older socket would reset queued ones."""

    async def scenario() -> list[int]:
        event_loops = [EventLoop(asyncio.get_running_loop(), Counters(), print) for _ in range(2)]
        at = Address("127.0.0.1", free_ports(1, socket.SOCK_STREAM)[0])
        older, newer = [event_loop.listener.listen(at, is_shared=True) for event_loop in event_loops]
        datagram_sockets = [event_loop.datagrams.open(at) for event_loop in event_loops]
        counts = []
        for is_alone in (False, True):
            if is_alone:
                older.close()
                datagram_sockets[0].close()
            clients = [socket.create_connection((at.host, at.port)) for _ in range(40)]
            for client in clients:
                client.close()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for _ in range(40):
                    sender.sendto(b"x", (at.host, at.port))
            counts += [count_waiting(newer), count_waiting(datagram_sockets[1])]
        newer.close()
        datagram_sockets[1].close()
        return counts

    assert asyncio.run(scenario()) == [40, 40, 40, 40]


def count_waiting(sock: socket.socket) -> int:
    count = 0
    while receive_one(sock):
        count += 1
    return count


def receive_one(sock: socket.socket) -> bool:
    try:
        if sock.type == socket.SOCK_DGRAM:
            sock.recv(10)
        else:
            sock.accept()[0].close()
    except BlockingIOError:
        return False
    return True


class UpgradeSite:
    """An event stream without events, one stand-in engine, and dispatcher processes at one address."""

    def __init__(self, folder: Path, engine: StandInEngine, addresses: list[str]) -> None:
        self.folder, self.engine = folder, engine
        self.listen, self.bus, self.engine_at, *self.ops = addresses
        self.programs: list[asyncio.subprocess.Process] = []
        self.limits: dict[str, Any] = {}
        self.preexec: Callable[[], None] | None = None  # called in a new process before the program

    async def start(self) -> asyncio.subprocess.Process:
        """Start one more dispatcher process; return once its health check succeeds."""
        ops = self.ops[len(self.programs)]
        entry = {**ENTRY, "hostPort": self.engine_at, "machineType": "a", "startedAtMs": 0}
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"reset": True, "instances": [entry]}}]}
        folder = self.folder / f"{len(self.programs)}"
        folder.mkdir()
        environ = write(folder, listen=self.listen, bus=self.bus, ops=ops, known=known, limits=self.limits)
        program = await asyncio.create_subprocess_exec(
            *PROGRAM,
            env={**os.environ, **environ, "TMPDIR": str(self.folder)},
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=self.preexec,
        )
        self.programs.append(program)
        while not (await admin_call(ops, "GET /healthcheck")).startswith("HTTP/1.1 200"):
            assert program.returncode is None
            await asyncio.sleep(0.01)
        return program


async def admin_call(at: str, request_line: str) -> str:
    """Return the response to an operator's call; empty if the address can't be reached."""
    host, _, port = at.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{request_line} HTTP/1.1\r\nHost: {at}\r\n\r\n".encode())
        answer = await reader.read()
        writer.close()
        return answer.decode()
    except OSError:
        return ""


async def send_query(at: str, ref: int) -> bytes:
    """Send one request on a new connection and return the response."""
    host, _, port = at.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    text = f"/* service=lookup,ref={ref:016x},allow=20000 */ SELECT a FROM s_7.t"
    writer.write(packet(1, LOGIN) + packet(0, b"\x03" + text.encode()))
    got = b""
    while got.count(b"\xfe\x00\x00\x02\x00") < 2 and b"\xff" not in got:
        data = await reader.read(4096)
        if not data:
            break
        got += data
    writer.close()
    return got


@asynccontextmanager
async def running_site(folder: Path, work_ms: float) -> AsyncIterator[UpgradeSite]:
    addresses = [f"127.0.0.1:{port}" for port in free_ports(7, socket.SOCK_STREAM)]
    engine = StandInEngine("s-1", work_ms)
    await engine.start("127.0.0.1", int(addresses[2].rpartition(":")[2]))

    async def keep_connection_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    host, _, port = addresses[1].partition(":")
    bus = await asyncio.start_server(keep_connection_open, host, int(port))
    created = UpgradeSite(folder, engine, addresses)
    try:
        yield created
    finally:
        for program in created.programs:
            if program.returncode is None:
                program.kill()
            await program.communicate()
        bus.close()
        await engine.stop()


def run_scenario(scenario: Any) -> None:
    asyncio.run(asyncio.wait_for(scenario, 60))


def test_every_request_is_answered_once_through_two_upgrades(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=300.0) as site:
            await site.start()
            queries: list[asyncio.Task[bytes]] = []

            async def traffic() -> None:
                while True:
                    queries.append(asyncio.create_task(send_query(site.listen, len(queries))))
                    await asyncio.sleep(0.01)

            sender = asyncio.create_task(traffic())
            for _ in range(2):
                await asyncio.sleep(0.1)
                newer = await site.start()
                old = site.programs[-2]
                old.send_signal(signal.SIGTERM)
                _, errors = await old.communicate()
                assert old.returncode == 0 and newer.returncode is None, errors
            sender.cancel()
            answers = await asyncio.gather(*queries)
            served = {f"{ref:016x}" for ref, answer in enumerate(answers) if b"s-1" in answer}
            # On a slow machine the scheduler may reject requests, but each must be answered.
            assert all(b"s-1" in answer or b"\xff\xca\x04#42000" in answer for answer in answers)
            assert served and served <= site.engine.runs.keys() and set(site.engine.runs.values()) == {1}

    run_scenario(scenario())


class MysqlClient:
    """A client's connection to a dispatcher process, with its connection id."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.connection_id = reader, writer, 0

    @classmethod
    async def connect(cls, at: str) -> MysqlClient:
        host, _, port = at.partition(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        greeting = await client.read()
        id_at = greeting.index(b"\0") + 1
        client.connection_id = int.from_bytes(greeting[id_at : id_at + 4], "little")
        # A client that has sent a command may be idle for longer than one that has only logged in.
        client.writer.write(packet(1, LOGIN) + packet(0, b"\x0e"))
        for _ in range(2):
            await client.read()
        return client

    async def read(self) -> bytes:
        """Return the payload of the next packet."""
        head = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(head[:3], "little"))

    def send(self, text: str) -> None:
        self.writer.write(packet(0, b"\x03" + text.encode()))


@pytest.mark.parametrize("owner, killer", [(0, 1), (1, 0)], ids=["older owns", "newer owns"])
def test_a_query_cancelled_through_the_other_process_of_an_upgrade_ends(
    tmp_path: Path, owner: int, killer: int
) -> None:
    """Guards against a query that starts or goes on though its client cancelled it.

    New connections go to the newer process, which used to answer KILL QUERY with "unknown thread id".
    """

    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=20000.0) as site:
            clients = []
            for _ in range(2):
                await site.start()
                clients.append(await MysqlClient.connect(site.listen))
            clients[owner].send("/* service=lookup,ref=00000000000000a1,allow=20000 */ SELECT a FROM s_7.t")
            while not site.engine.in_flight:
                await asyncio.sleep(0.005)
            clients[killer].send(f"KILL QUERY {clients[owner].connection_id}")
            assert (await clients[killer].read()).startswith(b"\0")  # OK
            assert (await clients[owner].read()).startswith(b"\xff\x25\x05")  # error 1317, interrupted
            while site.engine.in_flight:
                await asyncio.sleep(0.005)
            for client in clients:
                client.writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("called", [0, 1], ids=["at the older", "at the newer"])
def test_a_drain_during_an_upgrade_reaches_both_processes(tmp_path: Path, called: int) -> None:
    """Guards against a drained dispatcher that still says yes, or holds clients, in its other process."""

    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=1.0) as site:
            clients = []
            for _ in range(2):
                await site.start()
                clients.append(await MysqlClient.connect(site.listen))
            assert (await admin_call(site.ops[called], "POST /healthcheck/fail")).startswith("HTTP/1.1 200")
            assert b"\xff\x1d\x04#08S01" in await send_ping(site.listen)
            for client in clients:  # idle connections are closed by both
                assert await client.reader.read() == b""
            assert (await admin_call(site.ops[called], "POST /healthcheck/ok")).startswith("HTTP/1.1 200")
            assert (await send_ping(site.listen)).endswith(b"\0\0\0\x02\0\0\0")
            for ops in site.ops[:2]:
                assert (await admin_call(ops, "GET /healthcheck")).startswith("HTTP/1.1 200")

    run_scenario(scenario())


@pytest.mark.parametrize("end_signal", [signal.SIGKILL, signal.SIGTERM])
def test_the_remaining_process_serves_on(tmp_path: Path, end_signal: signal.Signals) -> None:
    """If the newer process is killed or shut down, the older one continues to serve."""

    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=1.0) as site:
            old = await site.start()
            newer = await site.start()
            newer.send_signal(end_signal)
            await newer.communicate()
            answers = [await send_query(site.listen, ref) for ref in range(10)]
            assert all(b"s-1" in answer for answer in answers) and old.returncode is None
            assert (await admin_call(site.ops[0], "POST /healthcheck/fail")).startswith("HTTP/1.1 200")
            assert b"\xff\x1d\x04#08S01" in await send_ping(site.listen)

    run_scenario(scenario())


def test_a_process_shutting_down_accepts_clients_until_the_newer_one_serves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=1.0) as site:
            old = await site.start()
            newer = SiblingProcesses(str(tmp_path), site.listen, print)  # a process that does not serve yet
            old.send_signal(signal.SIGTERM)
            assert old.stderr is not None
            while b"shutdown_started" not in await old.stderr.readline():
                pass
            await asyncio.sleep(1.2)  # longer than a process accepts clients if there is no newer one
            assert (await send_ping(site.listen)).endswith(b"\x00\x00\x00\x02\x00\x00\x00")
            newer.publish(ProcessRecord(newer.record.start_number, is_serving=True))
            _, errors = await old.communicate()
            assert b"listener_closed" in errors and old.returncode == 0

    run_scenario(scenario())


def test_admin_calls_are_answered_though_clients_and_slow_callers_use_their_quotas(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=1.0) as site:
            site.limits = {"sockets": 64}
            await site.start()
            host, _, port = site.listen.partition(":")
            crowd = [await asyncio.open_connection(host, int(port)) for _ in range(100)]
            host, _, port = site.ops[0].partition(":")
            slow = [await asyncio.open_connection(host, int(port)) for _ in range(40)]
            for _, writer in slow[::2]:
                writer.write(b"GET /health")
            for request_line in ("GET /healthcheck", "POST /healthcheck/fail", "POST /healthcheck/ok"):
                assert (await admin_call(site.ops[0], request_line)).startswith("HTTP/1.1 200")
            assert b"s-1" in await send_query(site.listen, 1)
            open_descriptors = os.listdir(f"/proc/{site.programs[0].pid}/fd")
            assert len(open_descriptors) <= 64
            for _, writer in crowd + slow:
                writer.close()

    run_scenario(scenario())


def test_a_lower_limit_of_the_process_is_divided_in_place_of_the_configured_one(tmp_path: Path) -> None:
    """Guards against a crowd that takes every descriptor, so that none is left for engines and operators."""

    async def scenario() -> None:
        async with running_site(tmp_path, work_ms=1.0) as site:
            site.limits = {"sockets": 1024}
            hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            site.preexec = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, hard_limit))
            program = await site.start()
            host, _, port = site.listen.partition(":")
            crowd = [await asyncio.open_connection(host, int(port)) for _ in range(100)]
            assert (await admin_call(site.ops[0], "GET /healthcheck")).startswith("HTTP/1.1 200")
            assert b"s-1" in await send_query(site.listen, 1)
            assert program.stderr is not None
            assert b"max_descriptors=64 " in await program.stderr.readline()
            for _, writer in crowd:
                writer.close()
            program.terminate()
            _, errors = await program.communicate()
            assert b"accept_failed" not in errors

    run_scenario(scenario())


async def send_ping(at: str) -> bytes:
    host, _, port = at.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(packet(1, LOGIN) + packet(0, b"\x0e"))
    answer = b""
    while answer.count(b"\x02\x00\x00\x00") < 2 and b"\xff\x1d\x04" not in answer:
        answer += await reader.read(4096) or b"\xff\x1d\x04 ended"
    writer.close()
    return answer


def test_an_admin_address_in_use_is_a_clear_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            at = "{}:{}".format(*taken.getsockname())
            environ = {**os.environ, **write(tmp_path, listen="127.0.0.1:1", ops=at)}
            program = await asyncio.create_subprocess_exec(
                *PROGRAM, env=environ, stderr=asyncio.subprocess.PIPE
            )
            _, errors = await program.communicate()
            assert program.returncode == 1 and f"can't listen at {at}".encode() in errors

    run_scenario(scenario())
