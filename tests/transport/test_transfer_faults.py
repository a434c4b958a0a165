"""Reads and writes fail in the ways that Linux documents: one answer each, and nothing doubled."""

from __future__ import annotations

import errno
from collections.abc import Callable

import pytest

from tests.support.faulty_sockets import ACCEPTED, MADE, OK, Short, Step
from tests.support.loopback import GREETED, REF, ROWS, Loopback, play

BRIEF = [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM]  # the call did nothing; the next one may
ENDS = [errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENOTCONN]


SHAPES: dict[str, Callable[[int], list[Step]]] = {
    "at once": lambda error: [error],
    "after a part": lambda error: [Short(3), error],
    "again and again": lambda error: [Short(1), error, error, Short(2), error, Short(7)],
}


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("error", BRIEF)
@pytest.mark.parametrize("call", ["recv_into", "send"])
@pytest.mark.parametrize("role", [ACCEPTED, MADE])
def test_a_call_that_fails_for_a_moment_costs_no_answer(role: str, call: str, error: int, shape: str) -> None:
    async def story(rig: Loopback) -> None:
        client = rig.client()
        await rig.until(lambda: client.answers() == GREETED)
        rig.faults.plan(call, *SHAPES[shape](error), on=role)
        client.ask(1, "load")
        await rig.serve(1)
        await rig.until(lambda: client.answers() == ROWS)
        client.ask(2, "load")
        await rig.serve(2)
        await rig.until(lambda: client.answers() == [*ROWS, "eof", "eof"])
        assert sorted(rig.asked()) == [REF % 1, REF % 2]

    play(story, engines=2)


@pytest.mark.parametrize("error", ENDS)
@pytest.mark.parametrize("call", ["recv_into", "send"])
def test_a_client_whose_connection_breaks_is_forgotten_and_others_keep_their_answers(
    call: str, error: int
) -> None:
    async def story(rig: Loopback) -> None:
        first, second = rig.client(), rig.client()
        await rig.until(lambda: first.answers() == second.answers() == GREETED)
        second.ask(2, "load")
        await rig.until(lambda: rig.asked() == [REF % 2])
        rig.faults.plan(call, error, on=ACCEPTED)
        first.ask(1)
        if call == "send":
            await rig.serve(1)
        await rig.until(lambda: len(rig.world.sessions.sessions) == 1)
        await rig.serve(2)
        await rig.until(lambda: second.answers() == ROWS)
        assert rig.counts["connection_faults"] == 0

    play(story)


@pytest.mark.parametrize("before", [(), (Short(5),)])
@pytest.mark.parametrize("error", ENDS)
def test_an_engine_whose_connection_breaks_in_a_write_may_have_run_it(
    error: int, before: tuple[Short, ...]
) -> None:
    """A load fails and goes nowhere else; what may be repeated does, and both get one answer."""

    async def story(rig: Loopback) -> None:
        clients = [rig.client() for _ in range(2)]
        await rig.until(lambda: all(client.answers() == GREETED for client in clients))
        for number, service in enumerate(("load", "lookup")):
            rig.faults.plan("send", *before, error, on=MADE)
            clients[number].ask(number, service)
            if service == "load":
                await rig.until(lambda: len(clients[0].answers()) > 2)
                assert clients[0].answers() == [*GREETED, "error 1105"] and not rig.asked()
        await rig.serve(1)
        await rig.until(lambda: clients[1].answers() == ROWS)
        assert rig.asked() == [REF % 1] and clients[0].answers()[2:] == ["error 1105"]

    play(story, engines=2)


@pytest.mark.parametrize("error", ENDS)
def test_an_engine_whose_connection_breaks_in_a_read_may_have_run_it(error: int) -> None:
    async def story(rig: Loopback) -> None:
        client = rig.client()
        await rig.until(lambda: client.answers() == GREETED)
        client.ask(1, "load")
        await rig.until(lambda: rig.asked() == [REF % 1])
        rig.faults.plan("recv_into", error, on=MADE)
        next(engine for engine in rig.engines if engine.asked).lines[-1][0].send(b"*")
        await rig.until(lambda: len(client.answers()) > 2)
        assert client.answers() == [*GREETED, "error 1105"] and rig.asked() == [REF % 1]

    play(story, engines=2)


@pytest.mark.parametrize("error", BRIEF)
def test_what_gives_an_attempt_up_still_goes_first_when_its_write_fails_for_a_moment(error: int) -> None:
    """EINTR in the immediate write must not end the connection, with all that is in flight on it."""

    async def story(rig: Loopback) -> None:
        clients = [rig.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.ask(number, "lookup")
        await rig.until(lambda: sorted(rig.asked()) == [REF % 0, REF % 1])
        rig.faults.plan("send", error, on=MADE)
        clients[0].sock.close()
        await rig.until(lambda: b"DROP" in rig.engines[0].verbs)
        rig.engines[0].serve(REF % 1)
        await rig.until(lambda: clients[1].answers() == ROWS)
        assert len(rig.engines[0].lines) == 1 and rig.counts["attempts_reset"] == 0

    play(story)


@pytest.mark.parametrize("error", [errno.ENOTCONN, errno.EINVAL])
def test_a_shutdown_that_fails_still_closes(error: int) -> None:
    async def story(rig: Loopback) -> None:
        client = rig.client()
        await rig.until(lambda: client.answers() == GREETED)
        rig.faults.plan("shutdown", error, error, on=ACCEPTED)
        client.sock.send(b"\x01\x00\x00\x00\x01")  # COM_QUIT
        await rig.until(lambda: not rig.world.sessions.sessions)
        assert len(rig.faults.open) == 1

    play(story)


def test_an_answer_larger_than_the_buffers_comes_whole_through_short_writes() -> None:
    async def story(rig: Loopback) -> None:
        client = rig.client()
        await rig.until(lambda: client.answers() == GREETED)
        steps: list[Step] = [Short(1), errno.EAGAIN, Short(17), errno.EINTR, OK]
        rig.faults.plan("send", *steps * 20, on=ACCEPTED)
        client.ask(1)
        await rig.until(lambda: rig.asked() == [REF % 1])
        rig.engines[0].serve(REF % 1, b"a\tb\tc\n" * 900)
        await rig.until(lambda: client.answers() == ROWS)

    play(story)
