"""Calls between the processes of one dispatcher, and errors of the named pipes that carry them."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cottonhold.frontend.connection_ids import slot_of
from cottonhold.node import sibling_channel
from cottonhold.node.admin_api import AdminApi
from cottonhold.node.lifecycle import Lifecycle, Phase
from cottonhold.node.sibling_channel import SiblingChannel
from cottonhold.node.sibling_messages import DrainCall, KillCall, KillResult, SiblingMessage, decode, encode
from cottonhold.node.sibling_processes import SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.transport import named_pipe
from cottonhold.transport.io_context import IoContext
from tests.support.scenario import World

SHORT_MS = 60.0  # replaces the longest wait for a result


class Process:
    """The channel of one process, with a scenario's sessions behind it."""

    def __init__(self, folder: Path) -> None:
        self.counters, self.log = Counters(), list[str]()
        context = IoContext(asyncio.get_running_loop(), self.counters, self.log.append)
        self.slots = SiblingProcesses(str(folder), "here", self.log.append)
        self.channel = SiblingChannel(self.slots, context, context.clock, self.counters, self.log.append)
        self.world = World()
        self.world.sessions.connection_ids = self.slots.connection_ids()
        self.world.sessions.last_id = self.world.sessions.connection_ids.base
        self.world.sessions.kill_forwarder = self.channel
        self.channel.kill_handler = self.world.sessions

    def start_query(self, client: str, request_id: str) -> int:
        """Let a client send a query that an engine runs; return the client's connection id."""
        self.world.run(f"{client} query lookup {request_id} allow=20000\ne1 expect GET {request_id} *")
        return self.world.clients[client].session.connection_id

    def close(self) -> None:
        self.channel.close()
        os.close(self.slots.file)


Scenario = Callable[[list[Process]], Awaitable[None]]


def run_processes(folder: Path, count: int, scenario: Scenario) -> None:
    async def main() -> None:
        processes = [Process(folder) for _ in range(count)]
        try:
            async with asyncio.timeout(10):
                await scenario(processes)
        finally:
            for process in processes:
                process.close()

    asyncio.run(main())


async def until(happened: Callable[[], bool]) -> None:
    while not happened():
        await asyncio.sleep(0.001)


async def responded(world: World, client: str = "c2") -> None:
    """Wait until a client has a response."""
    while not world.clients[client].received:
        await asyncio.sleep(0.001)
        world.wait(0)


@pytest.fixture
def short_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sibling_channel, "RESULT_TIMEOUT_MS", SHORT_MS)


@pytest.mark.parametrize("verb", ["KILL QUERY", "KILL"])
@pytest.mark.parametrize("owner, other", [(0, 1), (1, 0)], ids=["older", "newer"])
def test_a_kill_at_another_process_ends_the_query_before_it_is_answered(
    tmp_path: Path, verb: str, owner: int, other: int
) -> None:
    """Guards against a query that goes on, or starts, though its client cancelled it at the other process."""

    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            process.channel.open()
        world, killer = processes[owner].world, processes[other].world
        number = processes[owner].start_query("c1", "r1")
        killer.run(f"c2 say {verb} {number}\nc2 query lookup r9\nany nothing")
        await responded(killer)
        killer.run("c2 expect ok\nany expect GET r9 *")  # the command behind KILL is executed only now
        world.run("time wait 0\nc1 expect error 1317 *\ne1 expect DROP r1")
        assert world.clients["c1"].session.is_closing == (verb == "KILL")
        assert killer.counters.counts["kills"] == 0 and world.counters.counts["kills"] == 1

    run_processes(tmp_path, 2, scenario)


def test_a_kill_of_a_session_that_no_process_has_is_an_error(tmp_path: Path) -> None:
    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            process.channel.open()
        killer = processes[1].world
        base = processes[0].slots.connection_ids().base
        for number in (base + 77, base + (2 << 20) + 1, processes[1].slots.connection_ids().base + 77):
            killer.run(f"c2 say KILL QUERY {number}")
            await responded(killer)
            killer.run("c2 expect error 1094 *")

    run_processes(tmp_path, 2, scenario)


@pytest.mark.usefixtures("short_wait")
def test_a_process_that_hangs_or_ends_holds_up_no_client(tmp_path: Path) -> None:
    async def scenario(processes: list[Process]) -> None:
        hanging, killer = processes[0], processes[1].world
        hanging.channel.kill_handler = None
        hanging.channel.open()
        asyncio.get_running_loop().remove_reader(hanging.channel.pipe.file or 0)
        number = hanging.start_query("c1", "r1")
        killer.run(f"c2 say KILL QUERY {number}\nc2 expect nothing")
        await responded(killer)
        killer.run("c2 expect ok")
        assert processes[1].counters.counts["sibling_calls_unanswered"] == 1
        hanging.channel.close()
        killer.run(f"c2 say KILL QUERY {number}\nc2 expect error 1094 *")

    run_processes(tmp_path, 2, scenario)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EAGAIN, errno.ENOMEM])
@pytest.mark.parametrize("is_lasting", [False, True])
@pytest.mark.usefixtures("short_wait")
def test_a_call_that_can_not_be_sent_is_sent_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int, is_lasting: bool
) -> None:
    real, failures = named_pipe.write_to_pipe, list[int]()

    def write(path: str, data: bytes) -> None:
        if is_lasting or len(failures) < 3:
            failures.append(error)
            raise OSError(error, os.strerror(error))
        real(path, data)

    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            process.channel.open()
        number, killer = processes[0].start_query("c1", "r1"), processes[1].world
        monkeypatch.setattr(sibling_channel, "write_to_pipe", write)
        killer.run(f"c2 say KILL QUERY {number}")
        await responded(killer)
        killer.run("c2 expect error 1094 *" if is_lasting else "c2 expect ok")
        assert not processes[1].channel.pending

    run_processes(tmp_path, 2, scenario)


def test_a_client_that_closes_while_its_kill_is_passed_on_leaves_nothing_behind(tmp_path: Path) -> None:
    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            process.channel.open()
        number, killer = processes[0].start_query("c1", "r1"), processes[1].world
        killer.run(f"c2 say KILL QUERY {number}\nc2 close")
        await until(lambda: not processes[1].channel.pending)
        processes[0].world.run("time wait 0\nc1 expect error 1317 *")
        assert list(killer.sessions.sessions) == []

    run_processes(tmp_path, 2, scenario)


def test_a_drain_is_shared_with_every_process_though_the_first_write_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, failures = named_pipe.write_to_pipe, list[str]()

    def write(path: str, data: bytes) -> None:
        if path not in failures:
            failures.append(path)
            raise OSError(errno.EAGAIN, "full")
        real(path, data)

    async def scenario(processes: list[Process]) -> None:
        apis = []
        for process in processes:
            process.channel.open()
            api = AdminApi(Lifecycle(), process.world.clock, process.counters, lambda *_, **__: None, 4)
            api.share_drain, process.channel.drain_handler = process.channel.share_drain, api
            apis.append(api)
        monkeypatch.setattr(sibling_channel, "write_to_pipe", write)
        for path, phase in ((b"/healthcheck/fail", Phase.DRAINING), (b"/healthcheck/ok", Phase.SERVING)):
            assert apis[1].respond(b"POST", path).status == 200
            await until(lambda: all(api.lifecycle.phase() is phase for api in apis))  # noqa: B023
        assert len(failures) == 2  # both others

    run_processes(tmp_path, 3, scenario)


def test_malformed_messages_are_counted_and_others_are_read(tmp_path: Path) -> None:
    async def scenario(processes: list[Process]) -> None:
        receiver = processes[0]
        receiver.channel.open()
        number = receiver.start_query("c1", "r1")
        junk = [b"x" * 16, encode(KillCall(1, 1, 1, True)).replace(b"CHM1", b"CHM9"), b"CHM1\x07" + bytes(11)]
        named_pipe.write_to_pipe(
            receiver.slots.pipe_path(0), b"".join(junk) + encode(KillCall(3, 1, number, True)) + b"short"
        )
        await until(lambda: receiver.counters.counts["sibling_malformed"] == 4)
        receiver.world.run("time wait 0\nc1 expect error 1317 *")

    run_processes(tmp_path, 1, scenario)
    messages: list[SiblingMessage] = [
        KillCall(2, 7, 1 << 31, False),
        KillResult(0, 4294967295, True),
        DrainCall(3, True),
    ]
    assert list(decode(b"".join(map(encode, messages)))) == messages


def test_a_pipe_that_can_not_be_created_is_logged_once_and_created_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left")

    async def scenario(processes: list[Process]) -> None:
        process = processes[0]
        with monkeypatch.context() as patched:
            patched.setattr(os, "mkfifo", fail)
            process.channel.open()
            process.channel.open()
        assert len(process.log) == 1 and "No space left" in process.log[0]
        Path(process.slots.pipe_path(0)).write_text("left by something else")
        process.channel.open()
        processes[1].channel.open()
        await processes[1].channel.wait_for_pipes()
        assert processes[1].counters.counts["sibling_pipes_missing"] == 0

    run_processes(tmp_path, 2, scenario)


def test_a_new_process_waits_for_an_older_ones_pipe_for_a_limited_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sibling_channel, "PIPES_TIMEOUT_MS", SHORT_MS)

    async def scenario(processes: list[Process]) -> None:
        await processes[1].channel.wait_for_pipes()
        assert processes[1].counters.counts["sibling_pipes_missing"] == 1
        waiting = asyncio.create_task(processes[1].channel.wait_for_pipes())
        await asyncio.sleep(0)
        processes[0].channel.open()
        await waiting
        assert processes[1].counters.counts["sibling_pipes_missing"] == 1

    run_processes(tmp_path, 2, scenario)


def test_connection_ids_tell_the_slot_of_their_process(tmp_path: Path) -> None:
    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            ids = process.slots.connection_ids()
            assert {slot_of(ids.base + 1), slot_of(ids.base + ids.count)} == {process.slots.slot}

    run_processes(tmp_path, 4, scenario)
