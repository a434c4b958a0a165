"""A stand-in of the event bus: numbered events, read by long polls."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

from cottonhold.emulator.serving import Listener

REQUEST = re.compile(rb"GET /bus/read\?from=(\d+)&hold=(\d+) ")
READY, TERMINATING, GONE = "Ready", "Terminating", "Gone"


def entry(engine_id: str, address: str, lifecycle: str = READY, started_at_ms: int = 0) -> dict[str, Any]:
    """Return an engine's entry in an event."""
    return {
        "instanceId": engine_id,
        "hostPort": address,
        "zone": "z0",
        "machineType": "m8",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1,
        "startedAtMs": started_at_ms,
    }


class EventBus(Listener):
    """The event bus; the first event holds the whole list."""

    expected_errors = (*Listener.expected_errors, asyncio.IncompleteReadError)

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def publish(self, *entries: dict[str, Any]) -> None:
        """Append an event with these entries."""
        topology = {"generation": len(self.events) + 1, "reset": not self.events, "instances": list(entries)}
        self.events.append({"offset": len(self.events) + 1, "topology": topology})
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, after: int) -> dict[str, Any]:
        """Return the answer to a poll: the events after a number."""
        return {"offset": len(self.events), "batch": self.events[after:]}

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            match = REQUEST.match(head)
            if match is None:
                return
            after, hold_s = int(match[1]), int(match[2]) / 1000
            if len(self.events) <= after:
                await _wait(self.changed, hold_s)
            body = json.dumps(self.answer(after)).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
