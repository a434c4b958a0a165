"""A crowd of clients that halt half way: an accepted load is run too late, and its client gets no answer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    HOST,
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

# Fewer than the pages' "thousands", so that all connections fit into the listener's queue.
CROWD = 550
HALF_LOGIN = b"\x50\x00\x00\x01\x05"  # the head of a packet and one of its 80 bytes
REMAIN_S = 4.0  # time for which the crowd stays
SOCKETS = 256  # descriptors: the lowest limit that the pages name
ALLOW_MS, WORK_MS = 1500, 1000.0
REQUESTS = 6
LATEST_MS = ALLOW_MS + 500.0 + 50.0  # half a second after its time; on sockets every limit is 50 ms longer


async def scenario(record: Record, folder: Path, with_trouble: bool) -> list[str]:
    """Play the scenario; return the breaks of the rule."""
    bus = Bus(record)
    await bus.start()
    engines = [Engine(f"e{n}", record, lambda _class, _ref: WORK_MS) for n in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    await bus.put(*(instance(engine) for engine in engines))
    dispatcher = Dispatcher(record, folder, bus)
    dispatcher.limits["sockets"] = SOCKETS
    try:
        return await _play(record, dispatcher, engines, with_trouble)
    finally:
        dispatcher.stop_all()


async def _play(
    record: Record, dispatcher: Dispatcher, engines: list[Engine], with_trouble: bool
) -> list[str]:
    ops = free_port()
    dispatcher.start(ops)
    await dispatcher.wait_until_ready(ops)
    crowd: list[asyncio.Task[None]] = []
    if with_trouble:
        connected = asyncio.Semaphore(0)
        crowd = [asyncio.create_task(_halt_half_way(dispatcher.port, connected)) for _ in range(CROWD)]
        for _ in range(CROWD):
            await connected.acquire()
        record.note("crowd", f"{CROWD} clients have connected and stopped within their login")
    results = await asyncio.gather(*(_ask(record, dispatcher.port, n) for n in range(REQUESTS)))
    await asyncio.sleep(2 * WORK_MS / 1000)
    for task in crowd:
        task.cancel()
    breaks = []
    for ref, sent_at, answer in results:
        if answer is not None:
            continue
        attempts = [a for engine in engines for a in engine.received if a.ref == ref]
        runs = [f"came to {a.engine} after {a.at - sent_at:.0f} ms, its end: {a.end}" for a in attempts]
        breaks.append(
            f"{ref}, allow={ALLOW_MS}: no answer {LATEST_MS:.0f} ms after its last byte, connection open; "
            f"the load {', '.join(runs) or 'was never forwarded'}"
        )
    return breaks


async def _halt_half_way(port: int, connected: asyncio.Semaphore) -> None:
    try:
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(HALF_LOGIN)
        connected.release()
        await asyncio.sleep(REMAIN_S)
        writer.close()
    except ConnectionError:
        connected.release()


async def _ask(record: Record, port: int, number: int) -> tuple[str, float, Answer | None]:
    """Send a load on a new connection, with the login.

    Returns:
        Its id, the time of its last byte, and its answer; None if none came in time on an open connection.
    """
    client, ref = Client(f"client-{number}", record), new_ref()
    started_at = record.now()
    await client.connect_and_write_login(port)
    if record.now() - started_at > 500:
        raise NotRunError("the connection came up late: the listener's queue was full")
    client.write_packet(b"\x03" + client.statement("load", ref, ALLOW_MS, ref, WORK_MS))
    await client.writer.drain()
    sent_at = record.note(client.name, f"has written its login and load {ref} allow={ALLOW_MS}")
    answer: Answer | None = None
    try:
        async with asyncio.timeout((LATEST_MS - (record.now() - sent_at)) / 1000):
            await client.read_greeting()
            answer = await client.answer()
            record.note(client.name, f"answer to {ref}: {answer.kind} {answer.text}")
    except TimeoutError:
        record.note(client.name, f"no answer to {ref}")
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        answer = Answer("none", type(error).__name__)
        record.note(client.name, f"the connection of {ref} ended: {answer.text}")
    client.close()  # half a second after it has stopped waiting; without a greeting it can't send KILL QUERY
    return ref, sent_at, answer


if __name__ == "__main__":
    sys.exit(play(FOLDER, scenario))
