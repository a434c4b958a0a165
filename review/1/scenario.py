"""A client cancels its held load while an upgrade runs; the load is sent all the same."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
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

FIRST_LOAD_MS = 2000.0  # run time of the load that holds the key
CANCEL_AFTER_MS = 1600.0  # time after the first load at which the second client stops waiting
# A client that has cancelled is gone: an attempt may begin 0.1 s later at most; on sockets 50 ms more.
LATEST_BEGIN_MS = 100.0 + 50.0
SIGTERM_AFTER_S = 5.0  # time from the yes of the new process to SIGTERM; the pages allow up to 6 s


async def scenario(record: Record, folder: Path, with_trouble: bool) -> list[str]:
    """Play the scenario; return the breaks of the rule."""
    bus = Bus(record)
    await bus.start()
    first, second = new_ref(), new_ref()
    work = {first: FIRST_LOAD_MS, second: 300.0}
    engines = [Engine(f"e{n}", record, lambda _class, ref: work.get(ref, 50.0)) for n in (1, 2)]
    for engine in engines:
        await engine.start()
    await bus.put(*(instance(engine) for engine in engines))
    dispatcher = Dispatcher(record, folder, bus)
    try:
        return await _play(record, dispatcher, engines, first, second, with_trouble)
    finally:
        dispatcher.stop_all()


async def _play(
    record: Record, dispatcher: Dispatcher, engines: list[Engine], first: str, second: str, with_trouble: bool
) -> list[str]:
    ops = free_port()
    old = dispatcher.start(ops)
    await dispatcher.wait_until_ready(ops)
    a = await Client("client-a", record).connect(dispatcher.port)
    b = await Client("client-b", record).connect(dispatcher.port)
    for client in (a, b):
        if not await client.ping():
            raise NotRunError("a ping was not answered with OK")
    if with_trouble:
        new_ops = free_port()
        dispatcher.start(new_ops)
        await dispatcher.wait_until_ready(new_ops)
    ready_at = record.now()
    key = "7f3a9c21e0b4d655"
    first_answer = asyncio.create_task(a.query("load", first, 5000, key, FIRST_LOAD_MS))
    first_sent_at = record.now()
    await asyncio.sleep(0.3)
    second_answer = asyncio.create_task(b.query("load", second, 5000, key, 300.0))
    await asyncio.sleep((CANCEL_AFTER_MS - (record.now() - first_sent_at)) / 1000)
    if any(attempt.ref == second for engine in engines for attempt in engine.received):
        raise NotRunError("the second load of the key was not held")
    cancelled_at = await b.kill(dispatcher.port, b.connection_id)
    await asyncio.sleep(0.5 - (record.now() - cancelled_at) / 1000)
    b.close()
    if (await first_answer).kind != "served":
        raise NotRunError("the first load was not served")
    await asyncio.sleep(max(SIGTERM_AFTER_S - (record.now() - ready_at) / 1000, 1.0))
    second_answer.cancel()
    dispatcher.terminate(old)
    a.close()
    for _ in range(120):
        if old.poll() is not None:
            break
        await asyncio.sleep(0.05)
    record.note("platform", f"the old process ended with code {old.poll()}")
    return [
        f"the attempt of {second} began at {engine.name} {attempt.at - cancelled_at:.0f} ms after its client "
        f"had cancelled it (allowed: {LATEST_BEGIN_MS:.0f} ms); its end: {attempt.end}"
        for engine in engines
        for attempt in engine.received
        if attempt.ref == second and attempt.at > cancelled_at + LATEST_BEGIN_MS
    ]


if __name__ == "__main__":
    sys.exit(play(FOLDER, scenario))
