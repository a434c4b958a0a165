"""Writes responses to a connection, and applies the active faults to those of health queries."""

from __future__ import annotations

import asyncio
import gzip

from cottonhold.emulator.consul.faults import ActiveFaults
from cottonhold.emulator.consul.http import Response
from cottonhold.emulator.consul.script import FaultKind

CHUNK_BYTES = 4096
DRIP_INTERVAL_S = 0.1


async def write_response(writer: asyncio.StreamWriter, response: Response) -> None:
    """Write a response without faults."""
    headers = {**response.headers, "Content-Length": str(len(response.body))}
    writer.write(_head(response.status, headers) + response.body)
    await writer.drain()


async def write_watched_response(
    writer: asyncio.StreamWriter, response: Response, faults: ActiveFaults
) -> bool:
    """Write a response to a health query; return whether the connection stays open."""
    body, headers = response.body, dict(response.headers)
    if response.status == 200:
        if faults.is_active(FaultKind.HANG):
            await asyncio.sleep(faults.remaining_s(FaultKind.HANG))
            return False
        body = faults.corrupt(body)
    is_chunked = faults.is_active(FaultKind.CHUNKED)
    if faults.is_active(FaultKind.GZIP):
        body = gzip.compress(body, 1)
        headers["Content-Encoding"] = "gzip"
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
    else:
        headers["Content-Length"] = str(len(body))
    writer.write(_head(response.status, headers))
    if faults.is_active(FaultKind.CUT):
        writer.write(body[: len(body) // 2])
        await writer.drain()
        return False
    if faults.is_active(FaultKind.DRIP):
        return await _drip(writer, body, faults)
    writer.write(_chunks(body) if is_chunked else body)
    await writer.drain()
    return True


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = "".join(
        f"{name}: {value}\r\n" for name, value in {"Content-Type": "application/json", **headers}.items()
    )
    return f"HTTP/1.1 {status} {'OK' if status == 200 else 'Scripted'}\r\n{lines}\r\n".encode()


def _chunks(body: bytes) -> bytes:
    chunks = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""])


async def _drip(writer: asyncio.StreamWriter, body: bytes, faults: ActiveFaults) -> bool:
    """Write single bytes with pauses while the fault is active; return whether all were written."""
    for position in range(len(body)):
        writer.write(body[position : position + 1])
        await writer.drain()
        await asyncio.sleep(DRIP_INTERVAL_S)
        if not faults.is_active(FaultKind.DRIP):
            return False
    return True
