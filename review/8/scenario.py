"""New configurations in quick succession while discovery is slow: does a draining engine get new work?"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

from rig import Client, Record, RecordingEngine, Rig, Verdict, Work, has_trouble, run_case

from cottonhold.emulator.platform.bus import REQUEST, EventBus
from cottonhold.emulator.platform.client import new_request_id
from cottonhold.emulator.platform.configuration import LOOKUP

ANSWER_DELAY_S = 1.3  # how late the slow event bus answers
RELOADS, RELOAD_INTERVAL_S = 12, 1.0
TOLD_S = 7.0  # what the event bus has to tell counts as told after this time at the latest
STOP_SENDING_S = 0.55  # 500 ms, and 50 ms as for every time limit on sockets
RUN_MS, REQUEST_INTERVAL_S, DURATION_S = 20.0, 0.02, 11.0
SERVING_S = 1.2  # SIGHUP never comes within the first second
DRAINING = "s-0"


def work(class_name: str, request_id: str) -> Work:
    """Return the work of a request."""
    return Work(RUN_MS)


class SlowBus(EventBus):
    """An event bus that answers each call some time after it has the answer."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection."""
        while True:
            match = REQUEST.match(await reader.readuntil(b"\r\n\r\n"))
            if match is None:
                return
            after, hold_s = int(match[1]), int(match[2]) / 1000
            self.record.write(f"event bus: asked for what follows {after}, hold {hold_s:.1f} s")
            deadline = time.monotonic() + hold_s
            while len(self.events) <= after and time.monotonic() < deadline:
                await asyncio.sleep(0.01)
            body = json.dumps(self.answer(after)).encode()
            await asyncio.sleep(ANSWER_DELAY_S)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            self.record.write(f"event bus: answered up to {json.loads(body)['offset']}")


async def send_requests(rig: Rig, until: float) -> None:
    """Send short requests on one connection, at an even rate."""
    client = await Client(rig.address).connect()
    while time.monotonic() < until:
        request_id = new_request_id()
        rig.record.write(f"client: sent lookup {request_id}")
        answer = await client.query(LOOKUP, request_id, 3000)
        rig.record.write(f"client: {request_id} {answer.verdict.value} {answer.text}")
        if answer.verdict in (Verdict.NONE, Verdict.UNREADABLE):
            break
        await asyncio.sleep(REQUEST_INTERVAL_S)
    client.close()


async def scenario(record: Record) -> list[str]:
    """Tell that an engine drains while the configuration is loaded again and again."""
    engines = [RecordingEngine(f"s-{number}", "z0", 0, work) for number in range(4)]
    rig = Rig(record, engines)
    rig.bus = SlowBus(record)
    try:
        process = await rig.start()
        requests = [
            asyncio.create_task(send_requests(rig, time.monotonic() + DURATION_S + 1)) for _ in range(4)
        ]
        await asyncio.sleep(SERVING_S)
        told_at = time.monotonic()
        rig.bus.publish(rig.engine(DRAINING).entry("Terminating"))
        record.write(f"event bus: {DRAINING} is Terminating, which counts as told after {TOLD_S:.0f} s")
        for number in range(RELOADS if has_trouble() else 0):
            await asyncio.sleep(max(0.0, told_at + number * RELOAD_INTERVAL_S + 0.8 - time.monotonic()))
            if time.monotonic() > told_at + DURATION_S - 1:
                break
            rig.write_config()
            process.send_signal(signal.SIGHUP)
            record.write("trouble: a new configuration, SIGHUP")
        await asyncio.gather(*requests)
        rig.record_runs()
        return broken(rig, told_at)
    finally:
        await rig.close()


def broken(rig: Rig, told_at: float) -> list[str]:
    """Return the attempts that the draining engine received too late."""
    engine = rig.engine(DRAINING)
    lines = []
    for attempt in engine.attempts:
        after_s = attempt.received_at - told_at
        if after_s > TOLD_S + STOP_SENDING_S:
            text = f"{attempt.class_name} {attempt.request_id} came to {engine.id} {after_s:.2f} s"
            lines.append(f"{text} after the event bus had its drain")
    return lines


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
