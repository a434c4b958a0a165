"""Errors of recvfrom, sendto and the status socket's accept cause no busy loop and do not end the service."""

from __future__ import annotations

import asyncio
import errno
import socket
from pathlib import Path

import pytest
import uvloop

from cottonhold.discovery.model import Address
from cottonhold.node import status
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import PeerMessage
from cottonhold.transport.datagram import MAX_DATAGRAMS_PER_READ
from cottonhold.transport.event_loop import EventLoop
from tests.support.faulty_sockets import Faults
from tests.support.loopback import HANG_S

TRANSIENT = [errno.EAGAIN, errno.EINTR]
ERRORS = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.EPERM]


class Peer:
    """A dispatcher's datagram socket, and the socket of one peer, which the test uses."""

    def __init__(self) -> None:
        self.faults, self.counters, self.received = Faults(), Counters(), list[PeerMessage]()
        self.event_loop = EventLoop(asyncio.get_running_loop(), self.counters, print, self.faults.make)
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.peer_address = Address(*self.peer.getsockname())
        self.socket = self.event_loop.datagrams.open(Address("127.0.0.1", 0))
        peers = PeerDatagrams((self.peer_address,), None, self.counters)

        def on_datagram(data: bytes, sender: Address) -> None:
            if message := peers.decode(data, (sender.host, sender.port)):
                self.received.append(message)

        self.event_loop.datagrams.receive(self.socket, on_datagram)
        self.address = self.socket.getsockname()

    async def expect_received(self, data: bytes) -> None:
        self.peer.sendto(data, self.address)
        async with asyncio.timeout(HANG_S):
            while not self.received or self.received[-1].payload != data:
                await asyncio.sleep(0)

    def close(self) -> None:
        self.event_loop.loop.remove_reader(self.socket)
        self.socket.close()
        self.peer.close()
        assert not self.faults.open


@pytest.mark.parametrize("error", [*TRANSIENT, *ERRORS])
def test_receiving_resumes_after_errors(error: int) -> None:
    async def scenario() -> None:
        peer = Peer()
        peer.faults.plan("recvfrom", *[error] * 3)
        await peer.expect_received(b"one")
        await peer.expect_received(b"two")
        assert len(peer.received) == 2
        peer.close()

    uvloop.run(scenario())


@pytest.mark.parametrize("error", ERRORS)
def test_a_lasting_read_error_does_not_spin(error: int) -> None:
    """The number of calls is limited for each pause; a pause ends when the reader is added again."""

    async def scenario() -> None:
        peer, reader_starts = Peer(), 0
        add_reader = peer.event_loop.loop.add_reader

        def counting_add_reader(*args: object) -> None:
            nonlocal reader_starts
            reader_starts += 1
            add_reader(*args)  # type: ignore[arg-type]

        peer.event_loop.loop.add_reader = counting_add_reader  # type: ignore[assignment, method-assign]
        peer.faults.always("recvfrom", error)
        peer.peer.sendto(b"x", peer.address)
        async with asyncio.timeout(HANG_S):
            while reader_starts < 5:
                await asyncio.sleep(0)
        assert peer.faults.calls["recvfrom"] <= 6 * MAX_DATAGRAMS_PER_READ
        peer.faults.heal("recvfrom")
        await peer.expect_received(b"later")
        peer.close()

    uvloop.run(scenario())


@pytest.mark.parametrize("error", [*TRANSIENT, *ERRORS, errno.EMSGSIZE])
def test_a_datagram_that_cannot_be_sent_is_dropped(error: int) -> None:
    async def scenario() -> None:
        peer = Peer()
        peer.faults.plan("sendto", error)
        peer.event_loop.datagrams.send(b"lost", peer.peer_address)
        peer.event_loop.datagrams.send(b"kept", peer.peer_address)
        assert peer.peer.recv(10) == b"kept"
        assert (peer.counters.counts["peer_broken"], peer.counters.counts["peer_sent"]) == (1, 1)
        peer.close()

    uvloop.run(scenario())


@pytest.mark.parametrize(
    "error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EINTR]
)
def test_local_calls_are_answered_after_accept_errors(error: int, tmp_path: Path) -> None:
    """A temporary lack of descriptors must not close the status socket until the process ends."""

    async def scenario() -> bytes:
        loop, faults = asyncio.get_running_loop(), Faults()
        event_loop = EventLoop(loop, Counters(), print)
        listener = faults.adopt(status.listen(tmp_path / "s"))
        serving = event_loop.spawn(status.serve(event_loop, listener, lambda call: {"served": True}))
        faults.plan("accept", error, error)
        with socket.socket(socket.AF_UNIX) as client:
            client.setblocking(False)
            await loop.sock_connect(client, str(tmp_path / "s"))
            await loop.sock_sendall(client, b"{}\n")
            async with asyncio.timeout(HANG_S):
                data = await loop.sock_recv(client, 100)
        serving.cancel()
        await asyncio.gather(*event_loop.tasks, return_exceptions=True)
        assert not faults.open
        return data

    assert uvloop.run(scenario()) == b'{"served":true}'
