"""The shutdown of a process, as observed by clients and engines: all requests are answered before SIGKILL."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cottonhold.config.relay import load_config
from cottonhold.discovery.model import Address
from cottonhold.emulator.process_fleet import free_ports
from cottonhold.node.dispatcher import MAX_NEWER_START_MS, Dispatcher
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.node.sibling_processes import ProcessRecord, SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.settings import Idempotency
from cottonhold.transport.event_loop import EventLoop
from tests.node.test_settings_reload import RecordedLog
from tests.node.test_small_parts import CONFIG, write
from tests.support.scenario import READ, SETTINGS, World, packet

DEADLINES = (100.0, 400.0, 1000.0, 3000.0, 25000.0)
ARRIVAL_MS = 600.0  # time after SIGTERM during which requests arrive on open connections


def world_with_deadline(deadline: float, effect: Idempotency = Idempotency.IDEMPOTENT) -> World:
    return World(replace(SETTINGS, classes=(replace(READ, deadline_ms=deadline, idempotency=effect),)))


def kill_delay_ms(deadline: float) -> float:
    """Return the shortest time from SIGTERM to SIGKILL that the platform guarantees, in ms."""
    return min(deadline, 3000.0) + 700.0


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT])
@pytest.mark.parametrize("allow", [0.0, 20000.0])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_every_request_is_answered_at_shutdown_though_engines_hang(
    deadline: float, allow: float, effect: Idempotency
) -> None:
    """Clients wait until the deadline or longer; they wait longer if a reload has shortened the deadlines."""
    world, clients = world_with_deadline(deadline, effect), list[str]()

    def send_query() -> None:
        name = f"c{len(clients) + 1}"
        clients.append(name)
        world.run(f"{name} query lookup r{len(clients)} allow={max(deadline, allow):.0f}")

    world.client("c90"), world.client("c91")
    world.run("c90 send 010000000e\nc90 expect ok\nc91 send 010000000e\nc91 expect ok")
    send_query()
    world.wait(min(deadline / 2, 50.0))
    send_query()
    world.run("ops terminate")
    started_at = world.clock.now()
    while world.clock.now() < started_at + ARRIVAL_MS - 25.0:
        send_query()
        world.wait(25.0)
    world.run("c91 query lookup r91 allow=20000")  # may be rejected
    world.wait(started_at + kill_delay_ms(deadline) - 100.0 - world.clock.now())
    assert [len(world.clients[name].received) for name in clients] == [1] * len(clients)
    assert (
        all(client.session.is_closing for client in world.clients.values()) and world.gateway.open_count == 0
    )


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_requests_queued_behind_a_hanging_one_are_answered_at_shutdown(
    deadline: float, effect: Idempotency
) -> None:
    world = world_with_deadline(deadline, effect)
    world.client("c1")
    for ref in range(1, 6):
        text = f"/* service=lookup,ref={ref:016x},allow=20000 */ SELECT a FROM s_7.t"
        world.send_bytes("c1", packet(0, b"\x03" + text.encode()))
    world.run("ops terminate")
    world.wait(kill_delay_ms(deadline) - 150.0)
    responses = world.clients["c1"].received
    assert len(responses) == 5 and all(
        answer.startswith(("error 1226", "error 1105")) for answer in responses
    )
    assert world.clients["c1"].session.is_closing


def test_a_hanging_request_is_rejected_only_if_it_may_be_repeated() -> None:
    for effect, answer in (
        (Idempotency.IDEMPOTENT, "error 1226 *"),
        (Idempotency.NOT_IDEMPOTENT, "error 1105 *may have run"),
    ):
        world = world_with_deadline(400.0, effect).run(
            "c1 query lookup r1 allow=20000\nany expect GET r1 *\nops terminate"
        )
        world.run(f"time wait 900\nc1 expect {answer}\nc1 closing")


@pytest.mark.parametrize("deadline", DEADLINES)
def test_shutdown_deadlines_follow_from_the_settings(deadline: float) -> None:
    lifecycle = Lifecycle()
    lifecycle.begin_shutdown(1000.0, deadline)
    kill_at = 1000.0 + kill_delay_ms(deadline)
    assert lifecycle.kill_deadline == kill_at and lifecycle.answer_deadline() <= kill_at - 200.0
    assert (
        1000.0 + 400.0
        <= lifecycle.accept_deadline()
        <= lifecycle.close_deadline()
        < lifecycle.answer_deadline()
    )
    # Even the latest request is accepted if its client waits no longer than the class's deadline.
    assert lifecycle.accepts_query(1000.0 + ARRIVAL_MS, 1000.0 + ARRIVAL_MS + min(deadline, 3000.0))
    assert not lifecycle.accepts_query(1000.0 + ARRIVAL_MS, kill_at + 1.0)


def test_a_second_sigterm_or_a_reload_does_not_postpone_the_shutdown() -> None:
    """A second SIGTERM or other settings must not move the deadlines beyond SIGKILL."""
    lifecycle = Lifecycle()
    lifecycle.begin_shutdown(1000.0, 400.0)
    lifecycle.begin_shutdown(1500.0, 5000.0)
    assert (lifecycle.shutdown_since, lifecycle.kill_deadline) == (1000.0, 2100.0)


def test_a_drain_persists_through_shutdown() -> None:
    world = world_with_deadline(400.0).run(
        "ops drain\ntime wait 1600\nops terminate\nc1 query lookup r1 allow=400"
    )
    world.run(
        "c1 expect error 1226 *did not run*\nc1 closing\nc2 send 010000000e\nc2 expect error 1053 *drained"
    )
    assert not world.lifecycle.restore() and not world.lifecycle.is_ready()


def with_deadline(deadline: float) -> dict[str, Any]:
    settings = CONFIG["settings"]
    classes = [{**cls, "hard_limit": deadline} for cls in settings["classes"]]
    return {"settings": {**settings, "classes": classes}}


def dispatcher(folder: Path, monkeypatch: pytest.MonkeyPatch, **changes: Any) -> Dispatcher:
    monkeypatch.setenv("RELAY_CONFIG", write(folder, **changes)["RELAY_CONFIG"])
    monkeypatch.delenv("TMPDIR", raising=False)
    counters = Counters()
    return Dispatcher(load_config(os.environ, counters), counters, asyncio.get_running_loop(), RecordedLog())


def sighup(node: Dispatcher, folder: Path, deadline: float) -> None:
    """Reload as after SIGHUP, with another deadline in the file."""
    write(folder, listen=str(node.config.listen), **with_deadline(deadline))
    node.reload()


def sighup_with_invalid_file(node: Dispatcher, folder: Path, deadline: float) -> None:
    """Reload as after SIGHUP, with an invalid file."""
    (folder / "config.json").write_bytes(b"{")
    node.reload()


def sigterm(node: Dispatcher, folder: Path, deadline: float) -> None:
    """Begin a shutdown as after SIGTERM."""
    node.begin_shutdown()


@pytest.mark.parametrize(
    ("signals", "deadline"),
    [
        ([sigterm], 2000.0),
        ([sigterm, sigterm], 2000.0),
        ([sighup, sigterm], 400.0),
        ([sighup_with_invalid_file, sigterm], 2000.0),
        ([sigterm, sighup], 2000.0),
        ([sigterm, sighup, sigterm], 2000.0),
        ([sighup, sighup_with_invalid_file, sigterm, sighup, sigterm], 400.0),
    ],
)
def test_the_first_sigterm_counts_under_the_settings_in_force(
    signals: list[Callable[[Dispatcher, Path, float], None]],
    deadline: float,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = dispatcher(tmp_path, monkeypatch, listen="127.0.0.1:1", **with_deadline(2000.0))
        for signal in signals:
            signal(node, tmp_path, 400.0)
        assert node.lifecycle.kill_deadline - node.lifecycle.shutdown_since == pytest.approx(deadline + 700.0)
        assert node.shutdown_requested.is_set()

    asyncio.run(scenario())


def test_a_sigterm_before_serving_still_accepts_clients_and_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new process of an upgrade may get SIGTERM early, when clients may already have connected to it."""

    async def scenario() -> None:
        listen = f"127.0.0.1:{free_ports(1, socket.SOCK_STREAM)[0]}"
        node = dispatcher(tmp_path, monkeypatch, listen=listen, **with_deadline(100.0))
        node.begin_shutdown()
        run = asyncio.create_task(node.run())
        while not node.is_serving:
            await asyncio.sleep(0)
        host, _, port = listen.partition(":")
        reader, _ = await asyncio.open_connection(host, int(port))
        assert b"cottonhold" in await reader.read(100)
        await run
        assert await reader.read() == b"" and not node.sessions.has_unfinished()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("deadline", "max_wait_ms"), [(100.0, 500.0), (400.0, 800.0), (25000.0, MAX_NEWER_START_MS)]
)
def test_shutdown_waits_for_a_newer_process_only_while_it_can_end_in_time(
    deadline: float, max_wait_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wait for a newer process must leave enough time to answer all clients before SIGKILL."""
    monkeypatch.setattr("cottonhold.node.dispatcher.SHUTDOWN_POLL_S", 0.0)
    world = world_with_deadline(deadline).run("ops terminate")
    started_at = world.clock.now()

    def is_newer_starting() -> bool:
        world.clock.now_ms += 10.0
        return True

    parts = SimpleNamespace(
        event_loop=SimpleNamespace(clock=world.clock),
        lifecycle=world.lifecycle,
        sibling_processes=SimpleNamespace(is_newer_starting=is_newer_starting),
    )
    asyncio.run(Dispatcher.wait_for_newer_process(cast(Dispatcher, parts)))
    assert (
        started_at + max_wait_ms
        <= world.clock.now()
        <= min(started_at + max_wait_ms + 10.0, world.lifecycle.answer_deadline())
    )


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_slot_that_cannot_be_written_costs_no_service(
    code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write error must neither fail the start nor end the periodic update of sibling processes."""
    log: list[str] = []
    first = SiblingProcesses(str(tmp_path), "here", log.append)
    second = SiblingProcesses(str(tmp_path), "here", log.append)

    def raise_error(*_: Any) -> int:
        raise OSError(code, os.strerror(code))

    with monkeypatch.context() as faulty:
        faulty.setattr(os, "pwrite", raise_error)
        for clients in range(3):
            second.publish(
                ProcessRecord(second.record.start_number, client_connections=clients, is_serving=True)
            )
        assert first.is_newer_starting() and len(log) == 1 and os.strerror(code) in log[0]
        third = SiblingProcesses(str(tmp_path), "here", log.append)
    second.publish(ProcessRecord(second.record.start_number, client_connections=7, is_serving=True))
    assert [other.client_connections for other in first.others()][:1] == [
        7
    ] and third.connection_ids() != second.connection_ids()


@pytest.mark.parametrize(("call", "expected"), [("open", []), ("pread", [ProcessRecord(0)])])
def test_a_slot_that_cannot_be_read_costs_no_service(
    call: str, expected: list[ProcessRecord], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = (SiblingProcesses(str(tmp_path), "here", print) for _ in range(2))

    def raise_error(*_: Any) -> Any:
        raise OSError(errno.EIO, "broken")

    with monkeypatch.context() as faulty:
        faulty.setattr(os, call, raise_error)
        assert first.others() == expected
    assert first.others() == [second.record]


@pytest.mark.parametrize("is_shared", [False, True])
def test_no_socket_delays_small_writes(is_shared: bool) -> None:
    """Data that the kernel delays (Nagle's algorithm) would be lost in a connection reset."""

    async def scenario() -> None:
        event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        listener = event_loop.listener.listen(Address("127.0.0.1", 0), is_shared)
        host, port = listener.getsockname()
        dialed = await event_loop.connector.dial(Address(host, port), 1.0)
        accepted, _ = listener.accept()
        with listener, dialed, accepted:
            for sock in (dialed, accepted):
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    asyncio.run(scenario())
