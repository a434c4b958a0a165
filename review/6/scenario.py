"""A zone is lost: is a request whose repeats only its own zone drops sent to another zone?"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from rig import Answer, Client, Record, Rig, VanishingEngine, Work, has_trouble, run_case

from cottonhold.emulator.platform.client import COM_QUERY, encode_packet, new_request_id
from cottonhold.emulator.platform.configuration import default_settings, query_class

LOST_ZONE, LOST_S = "west", 5.0
TOLD_AFTER_S = 2.2  # the list tells the loss some seconds late
DEADLINE_MS, WINDOW_MS = 12_000.0, 20_000.0
RUN_MS = 1500.0
REQUESTS, INTERVAL_S = 40, 0.05


def settings() -> dict[str, Any]:
    """Return the settings: three zones, and a class of which one zone drops repeats."""
    classes = [
        query_class("point", "retryable", DEADLINE_MS),
        query_class("ledger", "dedup", DEADLINE_MS, group="zone", window=WINDOW_MS),
    ]
    domain = default_settings(DEADLINE_MS)["domain"] | {
        "class_waits": [True, False],
        "holds_tables": [False, False],
        "parallelism": [1, 1],
    }
    return {"classes": classes, "domain": domain, "zones": ["east", "middle", "west"]}


async def request(rig: Rig, request_id: str) -> Answer:
    """Send a request of the keyed class on a connection of its own, and read its answer."""
    client = await Client(rig.address).connect()
    fields = f"service=ledger,ref={request_id},allow={DEADLINE_MS:.0f},effort=500.0,replay=k{request_id}"
    text = f"/* {fields} */ INSERT INTO sales_{int(request_id, 16) % 20}.ledger VALUES (1)"
    client.writer.write(encode_packet(COM_QUERY + text.encode()))
    rig.record.write(f"client: sent ledger {request_id}")
    answer = await client.read_answer()
    rig.record.write(f"client: {request_id} {answer.verdict.value} {answer.text}")
    client.close()
    return answer


async def lose_zone(rig: Rig) -> None:
    """Let the machines of a zone vanish; the event bus tells it, and then their cold return."""
    lost = [e for e in rig.engines if isinstance(e, VanishingEngine) and e.zone == LOST_ZONE]
    rig.record.write(f"trouble: zone {LOST_ZONE} is lost")
    for engine in lost:
        engine.vanish()
    await asyncio.sleep(TOLD_AFTER_S)
    rig.record.write(f"event bus: the engines of {LOST_ZONE} are Gone")
    rig.bus.publish(*(engine.entry("Gone") for engine in lost))
    await asyncio.sleep(LOST_S - TOLD_AFTER_S)
    for engine in lost:
        await engine.come_back()
    rig.record.write(f"event bus: the engines of {LOST_ZONE} are Ready again, cold")
    rig.bus.publish(*(engine.entry("Ready", int(time.time() * 1000)) for engine in lost))


async def scenario(record: Record) -> list[str]:
    """Send requests, lose the zone while some run there, and look where each request ran."""
    engines = [
        VanishingEngine(f"s-{zone}-{number}", zone, cell, lambda kind, request_id: Work(RUN_MS))
        for cell, zone in enumerate(("east", "middle", "west"))
        for number in range(2)
    ]
    rig = Rig(record, engines, settings(), deadline_ms=DEADLINE_MS)
    try:
        await rig.start()
        ids = [new_request_id() for _ in range(REQUESTS)]
        tasks = []
        for request_id in ids:
            tasks.append(asyncio.create_task(request(rig, request_id)))
            await asyncio.sleep(INTERVAL_S)
        if has_trouble():
            await lose_zone(rig)
        await asyncio.gather(*tasks)
        rig.record_runs()
        return broken(rig, ids)
    finally:
        await rig.close()


def broken(rig: Rig, ids: list[str]) -> list[str]:
    """Return the requests that ran in two zones."""
    lines = []
    for request_id in ids:
        runs = rig.runs(request_id)
        if len({engine.zone for _, engine, _ in runs}) > 1:
            places = ", then ".join(f"{engine.id} ({state})" for _, engine, state in runs)
            lines.append(f"ledger {request_id} ran at {places}")
    return lines


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
