"""A reloaded file lacks a key: do the old settings remain whole, so that repeats stay in their zone?"""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from pathlib import Path
from typing import Any

from rig import Answer, Client, Record, RecordingEngine, Rig, Work, has_trouble, run_case

from cottonhold.backend.resp import RespError
from cottonhold.emulator.platform.client import COM_QUERY, encode_packet, new_request_id
from cottonhold.emulator.platform.configuration import default_settings, query_class
from cottonhold.emulator.platform.engine import SERVED, Conversation
from cottonhold.emulator.serving import engine_calls

ZONES = {"east": 3, "middle": 3, "west": 2}
DEADLINE_MS, WINDOW_MS, RUN_MS = 12_000.0, 20_000.0, 100.0
REQUESTS, INTERVAL_S = 80, 0.05
SERVING_S = 1.2  # SIGHUP never comes within the first second
RELOADED_S = 1.2  # time after SIGHUP from which the settings in force are used


class FailingConversation(Conversation):
    """A connection to an engine that fails: it does the work, and answers with an error."""

    def _finish(self, request_id: bytes, work: Work) -> None:
        self._forget(self.open.pop(request_id), SERVED)
        self._write(request_id, b"crashed", b"-")


class FailingEngine(RecordingEngine):
    """An engine that fails."""

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        conversation = FailingConversation(self, writer)
        try:
            async for call in engine_calls(reader):
                conversation.on_call(call)
        except RespError:
            writer.close()
        finally:
            conversation.end()


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
    return {"classes": classes, "domain": domain, "zones": list(ZONES)}


async def request(rig: Rig, request_id: str) -> Answer:
    """Send a request of the keyed class on a connection of its own, and read its answer."""
    client = await Client(rig.address).connect()
    fields = f"service=ledger,ref={request_id},allow={DEADLINE_MS:.0f},effort=100.0,replay=k{request_id}"
    text = f"/* {fields} */ INSERT INTO sales_{int(request_id, 16) % 20}.ledger VALUES (1)"
    client.writer.write(encode_packet(COM_QUERY + text.encode()))
    rig.record.write(f"client: sent ledger {request_id}")
    answer = await client.read_answer()
    rig.record.write(f"client: {request_id} {answer.verdict.value} {answer.text}")
    client.close()
    return answer


async def scenario(record: Record) -> list[str]:
    """Reload a file that lacks a key, send requests, and look where each request ran."""
    engines: list[RecordingEngine] = []
    for cell, (zone, count) in enumerate(ZONES.items()):
        for number in range(count):
            kind = FailingEngine if (zone, number) == ("west", 0) else RecordingEngine
            engines.append(kind(f"s-{zone}-{number}", zone, cell, lambda kind, request_id: Work(RUN_MS)))
    rig = Rig(record, engines, settings(), deadline_ms=DEADLINE_MS)
    try:
        process = await rig.start()
        await asyncio.sleep(SERVING_S)
        if has_trouble():
            config = copy.deepcopy(rig.config())
            del config["settings"]["classes"][1]["group"]
            (rig.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
            record.write("trouble: SIGHUP with a file that lacks settings.classes[1].group")
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(RELOADED_S)
        ids = [new_request_id() for _ in range(REQUESTS)]
        tasks = []
        for request_id in ids:
            tasks.append(asyncio.create_task(request(rig, request_id)))
            await asyncio.sleep(INTERVAL_S)
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
            places = ", then at ".join(engine.id for _, engine, _ in runs)
            lines.append(f"ledger {request_id} ran at {places}")
    return lines


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
