"""The local status socket for this instance's operators: one JSON call and one JSON answer per connection.

A call is one line, such as `{"call": "view"}`. A caller that sends nothing gets the view.
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

SEND_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 0.1  # time after which a caller that has sent nothing gets the view
ANSWER_TIMEOUT_S = 5.0
MAX_CALL_BYTES = 4096
Answer = Callable[[dict[str, Any]], dict[str, Any]]


def listen(path: Path) -> socket.socket:
    """Open a socket that only this user may connect to, and remove the file that a former process left.

    Raises:
        OSError: The socket can't be opened at this path.
    """
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


def call_instance(path: Path, call: dict[str, Any]) -> dict[str, Any]:
    """Call an instance from another process, and return its answer.

    Args:
        path: The path of the instance's status socket.
        call: The call, which names its kind under the key `call`.

    Raises:
        OSError: The instance can't be reached or does not answer in time.
        ValueError: The answer is not valid JSON.
    """
    data = b""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(ANSWER_TIMEOUT_S)
        sock.connect(str(path))
        sock.sendall(json.dumps(call).encode() + b"\n")
        while part := sock.recv(65536):
            data += part
    answer: dict[str, Any] = json.loads(data)
    return answer


async def serve(event_loop: EventLoop, sock: socket.socket, answer: Answer) -> None:
    """Answer calls until cancelled; each call has its own task, so that slow callers block no others."""
    try:
        while True:
            # A temporary lack of descriptors must not close this socket.
            client = await event_loop.listener.accept_one(sock, "status_accept", "local calls")
            event_loop.spawn(_serve_one(event_loop, client, answer))
    finally:
        sock.close()


async def _serve_one(event_loop: EventLoop, client: socket.socket, answer: Answer) -> None:
    try:
        call = await _read_call(event_loop, client)
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await event_loop.loop.sock_sendall(client, orjson.dumps(answer(call)))
    except OSError:
        event_loop.counters.add("status_broken")
    except ValueError as error:
        event_loop.counters.add("status_malformed")
        with contextlib.suppress(OSError):
            client.send(orjson.dumps({"error": f"the call can't be read: {error}"}))
    finally:
        client.close()


async def _read_call(event_loop: EventLoop, client: socket.socket) -> dict[str, Any]:
    """Read and decode a caller's call.

    Raises:
        ValueError: The call can't be decoded.
    """
    data = b""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CALL_TIMEOUT_S):
            while b"\n" not in data and (part := await event_loop.loop.sock_recv(client, MAX_CALL_BYTES)):
                data += part
                if len(data) > MAX_CALL_BYTES:
                    raise ValueError("too long")
    if not data:
        return {"call": "view"}
    call = orjson.loads(data.partition(b"\n")[0])
    if not isinstance(call, dict):
        raise ValueError("not an object")
    return call
