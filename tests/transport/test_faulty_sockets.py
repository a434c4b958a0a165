"""The scripted sockets of the fault tests: calls have the planned results under both event loops."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

import pytest
import uvloop

from tests.support.faulty_sockets import ACCEPTED, OK, Faults, Short

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def test_planned_steps_run_in_order_before_the_system_decides() -> None:
    faults = Faults()
    faults.plan("send", Short(2), errno.ENOBUFS, OK)
    sender, receiver = (
        faults.make(socket.AF_INET, socket.SOCK_DGRAM),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
    )
    receiver.bind(("127.0.0.1", 0))
    sender.connect(receiver.getsockname())
    assert sender.send(b"abc") == 2
    with pytest.raises(OSError) as failed:
        sender.send(b"abc")
    assert failed.value.errno == errno.ENOBUFS
    assert [sender.send(b"abc"), sender.send(b"abc")] == [3, 3] and faults.calls["send"] == 4
    assert len(faults.open) == 1
    sender.close()
    receiver.close()
    assert not faults.open


@pytest.mark.parametrize("new_loop", LOOPS)
def test_socket_calls_of_the_event_loop_are_scripted(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def scenario() -> tuple[bytes, int]:
        loop, faults = asyncio.get_running_loop(), Faults()
        listener, client = [faults.make(socket.AF_INET, socket.SOCK_STREAM) for _ in range(2)]
        for sock in (listener, client):
            sock.setblocking(False)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        faults.plan("connect", errno.EINTR)
        faults.plan("accept", errno.EINTR)
        await loop.sock_connect(client, listener.getsockname())
        server, _ = await loop.sock_accept(listener)
        faults.plan("send", Short(1), errno.EAGAIN, Short(2))
        faults.plan("recv_into", errno.EINTR, Short(2), on=ACCEPTED)
        await loop.sock_sendall(client, b"abcdef")
        buffer, received = bytearray(10), b""
        while len(received) < 6:
            count = await loop.sock_recv_into(server, buffer)
            received += bytes(buffer[:count])
        for sock in (listener, client, server):
            sock.close()
        assert faults.calls["send"] >= 4 and faults.calls["recv_into"] >= 3 and not faults.open
        return received, faults.calls["accept"]

    loop = new_loop()
    try:
        assert loop.run_until_complete(scenario()) == (b"abcdef", 2)
    finally:
        loop.close()
