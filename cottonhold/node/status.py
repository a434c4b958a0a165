"""A local socket that tells this instance's view to whoever connects: one JSON object, then the end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from cottonhold.node.driver import Driver

SEND_S = 1.0


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


async def serve(driver: Driver, sock: socket.socket, status: Callable[[], dict[str, Any]]) -> None:
    """Answer until cancelled. One that doesn't read costs itself only: it is given a second."""
    try:
        while True:
            client, _ = await driver.loop.sock_accept(sock)
            client.setblocking(False)
            driver.spawn(_answer(driver, client, orjson.dumps(status())))
    finally:
        sock.close()


async def _answer(driver: Driver, client: socket.socket, data: bytes) -> None:
    try:
        async with asyncio.timeout(SEND_S):
            await driver.loop.sock_sendall(client, data)
    except OSError:
        driver.counters.add("status_broken")
    finally:
        client.close()
