"""Conformance rows of the PROTOCOL page on real sockets whose system calls fail as the test plans."""

from __future__ import annotations

import asyncio
import errno

from tests.conformance.rows import Assertion, Row
from tests.support.faulty_sockets import ACCEPTED, MADE, OK, Short
from tests.support.loopback import GREETED, REQUEST_ID, Loopback, run_scenario
from tests.support.loopback import ROWS as RESULT

SOCKETS, ENGINES = "The rules on sockets, {}".format, "Dispatchers to engines, {}".format


def accept_failures() -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan("accept", errno.ECONNABORTED, errno.EMFILE)
        loopback.faults.plan("setsockopt", errno.EINVAL, on=ACCEPTED)
        client = loopback.client()
        client.send_query(1)
        await loopback.serve(1)
        await loopback.until(client.finished)
        assert client.responses() == RESULT

    run_scenario(scenario)


def queue_failures() -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.accepting.cancel()
        await asyncio.gather(loopback.accepting, return_exceptions=True)
        clients = [loopback.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.send_query(number)
        loopback.faults.plan("accept", errno.ECONNABORTED, OK, errno.ENFILE)
        await loopback.event_loop.listener.accept_queued(loopback.listener, loopback.world.sessions)
        loopback.listener.close()
        for number, client in enumerate(clients):
            await loopback.serve(number)
            await loopback.until(client.finished)
            assert client.responses() == RESULT

    run_scenario(scenario)


def write_failures() -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        loopback.faults.plan(
            "send", Short(7), errno.ENOBUFS, Short(1), errno.EINTR, errno.ENOMEM, on=ACCEPTED
        )
        client.send_query(1)
        await loopback.serve(1)
        await loopback.until(client.finished)
        assert client.responses() == RESULT

    run_scenario(scenario)


def connect_failure() -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan("connect", errno.EHOSTUNREACH, on=MADE)
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.serve(1)
        await loopback.until(client.finished)
        assert loopback.request_ids() == [REQUEST_ID % 1] and loopback.counts["attempts_connect_failed"] == 1

    run_scenario(scenario, engines=2)


def read_failure() -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.until(lambda: loopback.request_ids() == [REQUEST_ID % 1])
        loopback.faults.plan("recv_into", errno.ETIMEDOUT, on=MADE)
        next(engine for engine in loopback.engines if engine.request_ids).connections[-1][0].send(b"*")
        await loopback.until(lambda: len(client.responses()) > len(GREETED))
        await loopback.pass_ms(100)
        assert client.responses() == [*GREETED, "error 1105"] and loopback.request_ids() == [REQUEST_ID % 1]

    run_scenario(scenario, engines=2)


ROWS = (
    Row(
        "pro-sock-accepted",
        SOCKETS("item 1, sentence 1"),
        "A request on an accepted connection is answered, even if accept or setsockopt fails meanwhile",
        Assertion(accept_failures),
    ),
    Row(
        "pro-sock-queued",
        SOCKETS("item 1, sentence 1"),
        "A request that waits in the accept queue when the listener closes is answered",
        Assertion(queue_failures),
    ),
    Row(
        "pro-sock-whole",
        SOCKETS("item 1, sentence 2"),
        "An answer is sent completely, even if writes are short, interrupted or fail for lack of memory",
        Assertion(write_failures),
    ),
    Row(
        "pro-sock-unreached",
        ENGINES("list, item 5, sentence 1"),
        "A connect that fails in the operating system proves that the query did not run",
        Assertion(connect_failure),
    ),
    Row(
        "pro-sock-broken",
        ENGINES("list, item 5, sentence 2"),
        "A connection that ends in any error does not prove that written requests did not run",
        Assertion(read_failure),
    ),
)
