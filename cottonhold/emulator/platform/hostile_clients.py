"""Clients that cost a dispatcher memory or time: slow, halted, unsound, or never reading."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from cottonhold.emulator.platform.client import (
    COM_QUERY,
    HEADER_BYTES,
    Answer,
    Client,
    Verdict,
    encode_login,
    encode_packet,
    encode_query,
    new_request_id,
)


async def _connect(address: str) -> Client:
    client = Client(address)
    await client.open()
    client.writer.write(encode_login())
    return client


async def _ask(client: Client, packet: bytes) -> Answer:
    """Send a packet and return the answer; its verdict is NONE once the connection has ended."""
    client.writer.write(packet)
    return await client.read_answer()


async def halt_in_packet(address: str, size: int) -> None:
    """Announce a request of `size` bytes, send all but the last byte, and stop until closed."""
    client = await _connect(address)
    head = size.to_bytes(3, "little") + b"\x00"
    client.writer.write(head + COM_QUERY + b"/* " + b"x" * (size - HEADER_BYTES - 1))
    await client.reader.read()
    client.close()


async def write_slowly(address: str, size: int) -> None:
    """Send a request of `size` bytes in parts, over 2 s."""
    client = await _connect(address)
    packet = encode_query("lookup", new_request_id(), 3000, padding=max(size - 200, 1))
    parts = 10
    for number in range(parts):
        start, end = len(packet) * number // parts, len(packet) * (number + 1) // parts
        client.writer.write(packet[start:end])
        await client.writer.drain()
        await asyncio.sleep(2.0 / parts)
    await client.reader.read()
    client.close()


async def send_many_fields(address: str, size: int) -> None:
    """Send requests whose heads have as many short fields as fit into `size` bytes, one after another."""
    client = await _connect(address)
    fields = ",".join(f"a{number}=1" for number in range(size // 8))[: size - 100]
    packet = encode_packet(COM_QUERY + f"/* service=lookup,{fields} */ SELECT 1".encode())
    await client.read_login_answer()
    while (await _ask(client, packet)).verdict is not Verdict.NONE:
        pass
    client.close()


async def send_unsound_requests(address: str) -> None:
    """Send small unsound requests on one connection at full speed, each under a new name."""
    client = await _connect(address)
    await client.read_login_answer()
    number = 0
    while True:
        number += 1
        text = f"/* service=class{number},ref={new_request_id()},allow=1000,project=p{number} */ SELECT 1"
        if (await _ask(client, encode_packet(COM_QUERY + text.encode()))).verdict is Verdict.NONE:
            client.close()
            return


async def send_sound_requests(address: str) -> None:
    """Send small requests on one connection at full speed, each with a new key and group of tables."""
    client = await _connect(address)
    await client.read_login_answer()
    number = 0
    while True:
        number += 1
        request_id = new_request_id()
        text = f"/* service=lookup,ref={request_id},allow=2000,lookup={request_id * 4} */"
        text += f" SELECT a FROM s_{number}.t"
        if (await _ask(client, encode_packet(COM_QUERY + text.encode()))).verdict is Verdict.NONE:
            client.close()
            return


async def flood(address: str) -> None:
    """Send small commands on one connection at full speed, without waiting for answers, and read them."""
    client = await _connect(address)
    reading = asyncio.create_task(client.reader.read(-1))
    number = 0
    try:
        while not reading.done():
            number += 1
            text = f"/* service=class{number},ref={new_request_id()},allow=1000 */ SELECT 1"
            client.writer.write(encode_packet(b"\x0e") * 8 + encode_packet(COM_QUERY + text.encode()))
            await client.writer.drain()
            await asyncio.sleep(0)
    finally:
        reading.cancel()
        client.close()


async def never_read(address: str, count: int) -> None:
    """Send requests, one at a time on average, and read no answer."""
    client = await _connect(address)
    for _ in range(count):
        client.writer.write(encode_query("lookup", new_request_id(), 3000))
        await asyncio.sleep(0.05)
    await asyncio.sleep(5.0)
    client.close()


async def pipeline(address: str, count: int, padding: int) -> None:
    """Send many requests at once, and read what comes."""
    client = await _connect(address)
    packets = [encode_query("lookup", new_request_id(), 3000, padding=padding) for _ in range(count)]
    client.writer.write(b"".join(packets))
    await client.reader.read()
    client.close()


async def stay_silent(address: str) -> None:
    """Connect and send nothing, until closed."""
    client = Client(address)
    await client.open()
    await client.reader.read()
    client.close()


Behaviour = Callable[[str], Awaitable[None]]


async def repeat(behaviour: Behaviour, address: str) -> None:
    """Repeat a behaviour on new connections until cancelled."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ConnectionError):
            await behaviour(address)
        await asyncio.sleep(random.uniform(0.01, 0.05))
