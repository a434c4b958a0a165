"""A stream knows that its peer has closed the connection before it has read what precedes the end."""

from __future__ import annotations

import socket

import pytest

from cottonhold.transport import stream as stream_module
from cottonhold.transport.stream import Stream
from tests.support.loopback import Loopback, run_scenario


def stream_of_only_session(loopback: Loopback) -> Stream:
    (session,) = loopback.world.sessions.sessions.values()
    assert isinstance(session.stream, Stream)
    return session.stream


@pytest.mark.parametrize("unread", [b"", b"x" * 60_000])
def test_the_end_is_seen_behind_unread_data(unread: bytes) -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: len(client.responses()) == 2)
        stream = stream_of_only_session(loopback)
        assert not stream.has_peer_closed()
        client.sock.setblocking(True)
        client.sock.sendall(unread)
        client.sock.close()
        assert stream.has_peer_closed()

    run_scenario(scenario)


def test_without_the_systems_word_a_read_finds_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    def unknown(sock: socket.socket) -> None:
        return None

    monkeypatch.setattr(stream_module, "has_peer_closed", unknown)

    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: len(client.responses()) == 2)
        stream = stream_of_only_session(loopback)
        assert not stream.has_peer_closed()
        client.sock.close()
        assert stream.has_peer_closed()

    run_scenario(scenario)
