"""Socket errors at the start: temporary ones delay it, and lasting ones end it with one line and status 1."""

from __future__ import annotations

import asyncio
import dataclasses
import errno
from pathlib import Path

import pytest
import uvloop

from cottonhold.config.relay import Config, load_config
from cottonhold.discovery.model import Address
from cottonhold.node.dispatcher import Dispatcher, run_program
from cottonhold.observe.counters import Counters
from cottonhold.observe.log import Log
from tests.node.test_small_parts import write
from tests.support.faulty_sockets import OK, Faults
from tests.support.loopback import HANG_S

LACKING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
FREE = Address("127.0.0.1", 0)
PLACES = [("socket", 0), ("socket", 1), ("socket", 2), ("bind", 0), ("bind", 2), ("listen", 0), ("listen", 1)]
FINAL = [
    ("bind", errno.EADDRINUSE),
    ("bind", errno.EACCES),
    ("bind", errno.EADDRNOTAVAIL),
    ("listen", errno.EADDRINUSE),
    ("socket", errno.EAFNOSUPPORT),
    ("setsockopt", errno.ENOPROTOOPT),
]


@pytest.fixture
def config(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Config:
    """Configure sockets for peers, operators and clients, opened in this order, and an unreachable bus."""
    monkeypatch.delenv("TMPDIR", raising=False)
    usual = load_config(write(tmp_path, listen="127.0.0.1:80"), Counters())
    return dataclasses.replace(usual, listen=FREE, admin_listen=FREE, peer_listen=FREE)


@pytest.mark.parametrize("error", LACKING)
@pytest.mark.parametrize(("call", "place"), PLACES)
def test_a_brief_lack_of_resources_delays_the_start(
    call: str, place: int, error: int, config: Config
) -> None:
    async def scenario() -> None:
        faults = Faults()
        dispatcher = Dispatcher(
            config, Counters(), asyncio.get_running_loop(), Log(), make_socket=faults.make
        )
        faults.plan(call, *[OK] * place, error, error)
        running = asyncio.create_task(dispatcher.run())
        async with asyncio.timeout(HANG_S):
            while not dispatcher.is_serving and not running.done():
                await asyncio.sleep(0)
        assert not running.done() and dispatcher.counters.counts["sockets_lacking"] == 2
        for task in [running, *dispatcher.event_loop.tasks]:
            task.cancel()
        await asyncio.gather(running, *dispatcher.event_loop.tasks, return_exceptions=True)
        assert len(faults.open) == 3

    uvloop.run(scenario())


@pytest.mark.parametrize(("call", "error"), [*FINAL, *[("socket", error) for error in LACKING]])
def test_a_lasting_socket_error_ends_the_start(
    call: str, error: int, config: Config, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("cottonhold.transport.listener.OPEN_TIMEOUT_S", 0.1)
    faults = Faults()
    faults.always(call, error)

    def make(loop: asyncio.AbstractEventLoop) -> Dispatcher:
        return Dispatcher(config, Counters(), loop, Log(), make_socket=faults.make)

    assert run_program("n0", make) == 1
    lines = [x for x in capsys.readouterr().err.splitlines() if not x.startswith("counters")]
    assert len(lines) == 1 and lines[0].startswith("cottonhold: n0: "), lines
    assert not faults.open or call == "listen"  # the peers' socket stays open, as it doesn't call listen


def test_an_address_in_use_is_named(config: Config, capsys: pytest.CaptureFixture[str]) -> None:
    faults = Faults()
    faults.plan("bind", OK, OK, errno.EADDRINUSE)

    def make(loop: asyncio.AbstractEventLoop) -> Dispatcher:
        return Dispatcher(config, Counters(), loop, Log(), make_socket=faults.make)

    assert run_program("n0", make) == 1
    assert "can't listen at 127.0.0.1:0: Address already in use" in capsys.readouterr().err
