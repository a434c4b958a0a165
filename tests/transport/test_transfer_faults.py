"""Errors of reads and writes that Linux documents: one answer per request, and no load runs twice."""

from __future__ import annotations

import errno
from collections.abc import Callable

import pytest

from tests.support.faulty_sockets import ACCEPTED, MADE, OK, Short, Step
from tests.support.loopback import GREETED, REQUEST_ID, ROWS, Loopback, run_scenario

# The call had no effect, and a later one may succeed.
TRANSIENT = [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM]
FATAL = [
    errno.ECONNRESET,
    errno.EPIPE,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENOTCONN,
]


FAULT_SEQUENCES: dict[str, Callable[[int], list[Step]]] = {
    "at once": lambda error: [error],
    "after a part": lambda error: [Short(3), error],
    "again and again": lambda error: [Short(1), error, error, Short(2), error, Short(7)],
}


@pytest.mark.parametrize("sequence", FAULT_SEQUENCES)
@pytest.mark.parametrize("error", TRANSIENT)
@pytest.mark.parametrize("call", ["recv_into", "send"])
@pytest.mark.parametrize("role", [ACCEPTED, MADE])
def test_a_transient_error_costs_no_answer(role: str, call: str, error: int, sequence: str) -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        loopback.faults.plan(call, *FAULT_SEQUENCES[sequence](error), on=role)
        client.send_query(1, "load")
        await loopback.serve(1)
        await loopback.until(lambda: client.responses() == ROWS)
        client.send_query(2, "load")
        await loopback.serve(2)
        await loopback.until(lambda: client.responses() == [*ROWS, "eof", "eof"])
        assert sorted(loopback.request_ids()) == [REQUEST_ID % 1, REQUEST_ID % 2]

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize("error", FATAL)
@pytest.mark.parametrize("call", ["recv_into", "send"])
def test_a_broken_client_connection_is_removed_without_affecting_others(call: str, error: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        first, second = loopback.client(), loopback.client()
        await loopback.until(lambda: first.responses() == second.responses() == GREETED)
        second.send_query(2, "load")
        await loopback.until(lambda: loopback.request_ids() == [REQUEST_ID % 2])
        loopback.faults.plan(call, error, on=ACCEPTED)
        first.send_query(1)
        if call == "send":
            await loopback.serve(1)
        await loopback.until(lambda: len(loopback.world.sessions.sessions) == 1)
        await loopback.serve(2)
        await loopback.until(lambda: second.responses() == ROWS)
        assert loopback.counts["connection_faults"] == 0

    run_scenario(scenario)


@pytest.mark.parametrize("before", [(), (Short(5),)])
@pytest.mark.parametrize("error", FATAL)
def test_a_request_may_have_run_if_its_engine_connection_breaks_in_a_write(
    error: int, before: tuple[Short, ...]
) -> None:
    """A load fails without a retry, an idempotent query is retried elsewhere; both get one answer."""

    async def scenario(loopback: Loopback) -> None:
        clients = [loopback.client() for _ in range(2)]
        await loopback.until(lambda: all(client.responses() == GREETED for client in clients))
        for number, service in enumerate(("load", "lookup")):
            loopback.faults.plan("send", *before, error, on=MADE)
            clients[number].send_query(number, service)
            if service == "load":
                await loopback.until(lambda: len(clients[0].responses()) > 2)
                assert clients[0].responses() == [*GREETED, "error 1105"] and not loopback.request_ids()
        await loopback.serve(1)
        await loopback.until(lambda: clients[1].responses() == ROWS)
        assert loopback.request_ids() == [REQUEST_ID % 1] and clients[0].responses()[2:] == ["error 1105"]

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize("error", FATAL)
def test_a_request_may_have_run_if_its_engine_connection_breaks_in_a_read(error: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        client.send_query(1, "load")
        await loopback.until(lambda: loopback.request_ids() == [REQUEST_ID % 1])
        loopback.faults.plan("recv_into", error, on=MADE)
        next(engine for engine in loopback.engines if engine.request_ids).connections[-1][0].send(b"*")
        await loopback.until(lambda: len(client.responses()) > 2)
        assert client.responses() == [*GREETED, "error 1105"] and loopback.request_ids() == [REQUEST_ID % 1]

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize("error", TRANSIENT)
def test_a_cancel_is_still_written_first_after_a_transient_error(error: int) -> None:
    """EINTR in the immediate write must not end the connection and the other attempts on it."""

    async def scenario(loopback: Loopback) -> None:
        clients = [loopback.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.send_query(number, "lookup")
        await loopback.until(lambda: sorted(loopback.request_ids()) == [REQUEST_ID % 0, REQUEST_ID % 1])
        loopback.faults.plan("send", error, on=MADE)
        clients[0].sock.close()
        await loopback.until(lambda: b"DROP" in loopback.engines[0].verbs)
        loopback.engines[0].serve(REQUEST_ID % 1)
        await loopback.until(lambda: clients[1].responses() == ROWS)
        assert len(loopback.engines[0].connections) == 1 and loopback.counts["attempts_reset"] == 0

    run_scenario(scenario)


@pytest.mark.parametrize("error", [errno.ENOTCONN, errno.EINVAL])
def test_a_failed_socket_shutdown_still_closes(error: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        loopback.faults.plan("shutdown", error, error, on=ACCEPTED)
        client.sock.send(b"\x01\x00\x00\x00\x01")  # COM_QUIT
        await loopback.until(lambda: not loopback.world.sessions.sessions)
        assert len(loopback.faults.open) == 1

    run_scenario(scenario)


def test_an_answer_larger_than_the_buffers_is_complete_after_short_writes() -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        steps: list[Step] = [Short(1), errno.EAGAIN, Short(17), errno.EINTR, OK]
        loopback.faults.plan("send", *steps * 20, on=ACCEPTED)
        client.send_query(1)
        await loopback.until(lambda: loopback.request_ids() == [REQUEST_ID % 1])
        loopback.engines[0].serve(REQUEST_ID % 1, b"a\tb\tc\n" * 900)
        await loopback.until(lambda: client.responses() == ROWS)

    run_scenario(scenario)
