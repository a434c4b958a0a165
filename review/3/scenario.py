"""The event bus is slow: an engine that drains gets new work until the bus is fast again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    Answer,
    Bus,
    Client,
    Dispatcher,
    Engine,
    NotRunError,
    Record,
    free_port,
    instance,
    new_ref,
    play,
)

QUEUE_MS = 3500.0  # time that a call waits for its turn at the crowded bus: half of the 7 s below
TOLD_MS = 7000.0  # "counts as told 7 s later at the latest, whether it arrived or not"
GRACE_MS = 500.0 + 50.0  # `stop_sending_within` in the settings; on sockets every limit is 50 ms longer
DRAIN_S = 14.0  # time from the event of the drain to the end of the engine's process
LOAD_MS, LOOKUP_MS = 1000.0, 40.0


async def scenario(record: Record, folder: Path, with_trouble: bool) -> list[str]:
    """Play the scenario; return the breaks of the rule."""
    bus = Bus(record)
    await bus.start()
    work = {"load": LOAD_MS, "lookup": LOOKUP_MS}
    engines = [Engine(f"e{n}", record, lambda query_class, _ref: work[query_class]) for n in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    await bus.put(*(instance(engine) for engine in engines))
    dispatcher = Dispatcher(record, folder, bus)
    try:
        return await _play(record, bus, dispatcher, engines, with_trouble)
    finally:
        dispatcher.stop_all()


async def _play(
    record: Record, bus: Bus, dispatcher: Dispatcher, engines: list[Engine], with_trouble: bool
) -> list[str]:
    ops = free_port()
    dispatcher.start(ops)
    await dispatcher.wait_until_ready(ops)
    ended = asyncio.Event()
    answers: dict[str, Answer] = {}

    async def ask(name: str, query_class: str, pause_s: float) -> None:
        client = await Client(name, record).connect(dispatcher.port)
        while not ended.is_set():
            ref = new_ref()
            key = ref if query_class == "load" else None
            answers[ref] = await client.query(
                query_class, ref, 3000, key, work_ms=LOOKUP_MS if key is None else LOAD_MS
            )
            await asyncio.sleep(pause_s)
        client.close()

    clients = [asyncio.create_task(ask(f"client-{n}", "lookup", 0.1)) for n in range(3)]
    clients += [asyncio.create_task(ask(f"loader-{n}", "load", 0.2)) for n in range(4)]
    await asyncio.sleep(1)
    if with_trouble:
        bus.queue_ms = QUEUE_MS
        record.note("bus", f"is crowded: each call waits {QUEUE_MS:.0f} ms for its turn")
    await asyncio.sleep(2)
    leaving = engines[0]
    drained_at = await bus.put(instance(leaving, "Terminating"))
    await asyncio.sleep(DRAIN_S)
    leaving.end()
    await bus.put(instance(leaving, "Gone"))
    await asyncio.sleep(1)
    ended.set()
    await asyncio.gather(*clients)
    if not any(attempt.at < drained_at for attempt in leaving.received):
        raise NotRunError("the engine that drains had no work before its drain")
    latest = drained_at + TOLD_MS + GRACE_MS
    late = [attempt for attempt in leaving.received if attempt.at > latest]
    cut = [a for a in late if a.query_class == "load" and answers[a.ref].kind == "failed"]
    record.note(
        "case", f"{len(late)} attempts came too late; {len(cut)} of them are loads that the end cut off"
    )
    if not late:
        return []
    return [
        f"{len(late)} attempts came to {leaving.name} more than {TOLD_MS + GRACE_MS:.0f} ms after the event "
        f"of its drain, the last one {late[-1].at - drained_at:.0f} ms after it; loads among them that its "
        f"end cut off: {len(cut)}"
    ]


if __name__ == "__main__":
    sys.exit(play(FOLDER, scenario))
