"""PROTOCOL on real sockets whose calls fail by script: its rules hold whatever the system says."""

from __future__ import annotations

import asyncio
import errno

from tests.conformance.rows import Direct, Row
from tests.support.faulty_sockets import ACCEPTED, MADE, OK, Short
from tests.support.loopback import GREETED, REF, Loopback, play
from tests.support.loopback import ROWS as RESULT

S, E = "The rules on sockets, {}".format, "Dispatchers to engines, {}".format


def accepted() -> None:
    async def story(rig: Loopback) -> None:
        rig.faults.plan("accept", errno.ECONNABORTED, errno.EMFILE)
        rig.faults.plan("setsockopt", errno.EINVAL, on=ACCEPTED)
        client = rig.client()
        client.ask(1)
        await rig.serve(1)
        await rig.until(client.finished)
        assert client.answers() == RESULT

    play(story)


def queued() -> None:
    async def story(rig: Loopback) -> None:
        rig.accepting.cancel()
        await asyncio.gather(rig.accepting, return_exceptions=True)
        clients = [rig.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.ask(number)
        rig.faults.plan("accept", errno.ECONNABORTED, OK, errno.ENFILE)
        await rig.event_loop.listener.accept_queued(rig.listener, rig.world.sessions)
        rig.listener.close()
        for number, client in enumerate(clients):
            await rig.serve(number)
            await rig.until(client.finished)
            assert client.answers() == RESULT

    play(story)


def whole() -> None:
    async def story(rig: Loopback) -> None:
        client = rig.client()
        await rig.until(lambda: client.answers() == GREETED)
        rig.faults.plan("send", Short(7), errno.ENOBUFS, Short(1), errno.EINTR, errno.ENOMEM, on=ACCEPTED)
        client.ask(1)
        await rig.serve(1)
        await rig.until(client.finished)
        assert client.answers() == RESULT

    play(story)


def unreached() -> None:
    async def story(rig: Loopback) -> None:
        rig.faults.plan("connect", errno.EHOSTUNREACH, on=MADE)
        client = rig.client()
        client.ask(1, "load")
        await rig.serve(1)
        await rig.until(client.finished)
        assert rig.asked() == [REF % 1] and rig.counts["attempts_connect_failed"] == 1

    play(story, engines=2)


def broken() -> None:
    async def story(rig: Loopback) -> None:
        client = rig.client()
        client.ask(1, "load")
        await rig.until(lambda: rig.asked() == [REF % 1])
        rig.faults.plan("recv_into", errno.ETIMEDOUT, on=MADE)
        next(engine for engine in rig.engines if engine.asked).lines[-1][0].send(b"*")
        await rig.until(lambda: len(client.answers()) > len(GREETED))
        await rig.pass_ms(100)
        assert client.answers() == [*GREETED, "error 1105"] and rig.asked() == [REF % 1]

    play(story, engines=2)


ROWS = (
    Row(
        "pro-sock-accepted",
        S("item 1, sentence 1"),
        "A request on a connection that the machine accepted is answered though accept or an option failed",
        Direct(accepted),
    ),
    Row(
        "pro-sock-queued",
        S("item 1, sentence 1"),
        "and so is one that waits in the queue as the listener closes",
        Direct(queued),
    ),
    Row(
        "pro-sock-whole",
        S("item 1, sentence 2"),
        "Its answer goes out whole though writes are short, interrupted or lack memory",
        Direct(whole),
    ),
    Row(
        "pro-sock-unreached",
        E("list, item 5, sentence 1"),
        "A connect that the system could not make proves that nothing ran",
        Direct(unreached),
    ),
    Row(
        "pro-sock-broken",
        E("list, item 5, sentence 2"),
        "A connection that ends in another error than a reset proves as little of what was written",
        Direct(broken),
    ),
)
