"""A local socket for this instance's operators: one JSON call a connection, one JSON answer, then the end.

A call is one line: `{"call": "view"}`, or an order by hand. Who says nothing gets the view.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from cottonhold.transport.event_loop import EventLoop

SEND_S = 1.0
CALL_S = 0.1  # so long is waited for a call: who says nothing wants the view
MOST_CALL = 4096
Answer = Callable[[dict[str, Any]], dict[str, Any]]


def listen(path: Path) -> socket.socket:
    """The socket, for this user only; what an earlier life left at its path is removed. Raises OSError."""
    with contextlib.suppress(FileNotFoundError):
        path.unlink()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    mask = os.umask(0o177)
    try:
        sock.bind(str(path))
    finally:
        os.umask(mask)
    sock.listen(8)
    return sock


def ask(path: Path, call: dict[str, Any]) -> dict[str, Any]:
    """A call to the instance at a path, from another process. Raises OSError and ValueError."""
    data = b""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(5)
        sock.connect(str(path))
        sock.sendall(json.dumps(call).encode() + b"\n")
        while part := sock.recv(65536):
            data += part
    answer: dict[str, Any] = json.loads(data)
    return answer


async def serve(driver: EventLoop, sock: socket.socket, answer: Answer) -> None:
    """Answer until cancelled. One that doesn't read costs itself only: it is given a second."""
    try:
        while True:
            # A moment without a free descriptor must not close this socket.
            client = await driver.listener.accept_one(sock, "status_accept", "local calls")
            driver.spawn(_serve_one(driver, client, answer))
    finally:
        sock.close()


async def _serve_one(driver: EventLoop, client: socket.socket, answer: Answer) -> None:
    try:
        call = await _read_call(driver, client)
        async with asyncio.timeout(SEND_S):
            await driver.loop.sock_sendall(client, orjson.dumps(answer(call)))
    except OSError:
        driver.counters.add("status_broken")
    except ValueError as error:
        driver.counters.add("status_malformed")
        with contextlib.suppress(OSError):
            client.send(orjson.dumps({"error": f"the call can't be read: {error}"}))
    finally:
        client.close()


async def _read_call(driver: EventLoop, client: socket.socket) -> dict[str, Any]:
    """The call's line. Raises ValueError for one that can't be read."""
    data = b""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CALL_S):
            while b"\n" not in data and (part := await driver.loop.sock_recv(client, MOST_CALL)):
                data += part
                if len(data) > MOST_CALL:
                    raise ValueError("too long")
    if not data:
        return {"call": "view"}
    call = orjson.loads(data.partition(b"\n")[0])
    if not isinstance(call, dict):
        raise ValueError("not an object")
    return call
