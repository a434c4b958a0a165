"""One dispatcher put together: its parts, its lifecycle from start to end, and its reload."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import math
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol

import uvloop

from cottonhold.backend.connection_pool import Engines
from cottonhold.config.relay import Config, ConfigError, check_change, load
from cottonhold.discovery.bus import SOURCE, Bus
from cottonhold.discovery.engine_catalog import Belief
from cottonhold.discovery.model import Address, Change, Confirm, Event, Guard, Publish, Remark
from cottonhold.frontend.mysql_session import Front
from cottonhold.node.admin_api import Calls
from cottonhold.node.clock import Timer
from cottonhold.node.descriptors import Descriptors
from cottonhold.node.gateway import Gateway
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.node.peer_datagrams import Peers
from cottonhold.node.sibling_processes import Record, Seats
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.transport.event_loop import Driver
from cottonhold.transport.socket_factory import MakeSocket

CHECK_S = 0.02
BESIDE_MS = 300.0  # so often other processes of this dispatcher are looked for
SEEN_MS = 250.0  # so long clients have to close, once all is said
STARTING_MS = 3000.0  # so long one that leaves stays for a newer one that does not serve yet
BUS_ONLY = ((SOURCE, Guard(trusted=True)),)


class Logs(Protocol):
    """Where lines for the operators go."""

    def say(self, text: str) -> None:
        """A line."""

    def note(self, event: str, **fields: object) -> None:
        """An event with its fields."""


class Dispatcher:
    """The parts of one dispatcher, put together."""

    def __init__(
        self,
        config: Config,
        counters: Counters,
        loop: asyncio.AbstractEventLoop,
        log: Logs,
        sources: Sequence[tuple[str, Guard]] = BUS_ONLY,
        make_socket: MakeSocket = socket.socket,
    ) -> None:
        self.config, self.counters, self.log = config, counters, log
        say = self.log.say
        self.driver = Driver(loop, counters, say, make_socket)
        self.driver.connect_s = config.links.connect_ms / 1000
        clock = self.driver.clock
        self.lifecycle, self.parts = Lifecycle(), Descriptors.divide(config.sockets)
        self.seats = Seats(os.environ.get("TMPDIR"), str(config.listen), say)
        self.beside = 0
        self.engines = Engines(config.links, clock, counters, say, self.parts.engines)
        self.engines.connect = self.driver.connect
        self.gateway = Gateway(config.settings, config.seed, clock, self.engines, counters, say)
        self.front = Front(
            self.gateway, clock, counters, self.lifecycle, self.parts.clients, self.seats.ids()
        )
        self.calls = Calls(self.lifecycle, clock, counters, log.note, self.parts.calls)
        self.peers = Peers(config.peers, config.peers_all, counters, say)
        self.gateway.tell = self.tell
        self.belief = Belief(sources, config.seed, clock.unix_offset)
        self.belief_timer: Timer | None = None
        host = config.bus.host if config.bus else ""
        self.bus = Bus(
            host, config.offset, config.names, counters, lambda report: self.believe([report]), say
        )
        self.bus.current = lambda: self.belief.current(clock.now(), SOURCE)
        self.stop, self.serving = asyncio.Event(), False
        self.following: asyncio.Task[None] | None = None

    def tell(self, tell: SendToPeer) -> None:
        """Send a message to a peer."""
        target = self.peers.target(tell)
        if target is not None:
            self.driver.tell(tell.payload, target)

    def believe(self, events: Iterable[Event]) -> None:
        """Sources have told something, or a wait is over: what follows from it is carried out at once."""
        now = self.driver.clock.now()
        for action in self.belief.step(now, events):
            match action:
                case Publish(change):
                    self.publish(change)
                case Confirm(source, absent):
                    self.confirm(source, absent)
                case Remark(event, fields):
                    self.counters.add(f"discovery_{event}")
                    self.log.note(event, **fields)
        if self.belief_timer is not None:
            self.belief_timer.cancel()
            self.belief_timer = None
        at = self.belief.next_at()
        if at < float("inf"):
            self.belief_timer = self.driver.clock.call_in(at - now + 1, lambda: self.believe(()))

    def publish(self, change: Change) -> None:
        """Tell the parts of a change of the engine list."""
        self.gateway.change_list(change)

    def confirm(self, source: str, absent: tuple[str, ...]) -> None:
        """Have a source asked once more; the event bus needs no second word."""

    def follow(self) -> None:
        """Follow the sources from now on."""
        if self.config.bus is not None:
            self.following = self.driver.spawn(self.driver.follow(self.bus, self.config.bus))

    def hear_others(self, data: bytes, sender: Address) -> bool:
        """Whether a datagram is another part's; the platform's dispatcher has none."""
        return False

    def leave(self) -> Iterable[Awaitable[object]]:
        """What is to be done beside serving on once the end is decided."""
        return ()

    def look_beside(self) -> None:
        """Tell other processes of this dispatcher what is held here, and keep within what they leave."""
        others = self.seats.others()
        held = Record(self.seats.record.start, len(self.front.sessions), self.engines.open, self.serving)
        self.seats.tell(held)
        left = self.parts.beside(others)
        self.front.most, self.engines.most = left.clients, left.engines
        if len(others) != self.beside:
            self.beside = len(others)
            self.retune()
            self.log.note("beside", others=self.beside, clients=left.clients, engines=left.engines)
        self.driver.clock.call_in(BESIDE_MS, self.look_beside)

    def retune(self) -> None:
        """Have the settings in force follow the file, and the processes that stand for this dispatcher."""
        self.gateway.retune(dataclasses.replace(self.config.settings, concurrent_processes=1 + self.beside))

    async def stay_for_newer(self) -> None:
        """Go on taking clients while a newer process does not serve yet, within limits."""
        until = min(self.driver.clock.now() + STARTING_MS, self.lifecycle.closes_at())
        while self.seats.newer_starts() and self.driver.clock.now() < until:
            await asyncio.sleep(CHECK_S)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is open."""
        driver, config = self.driver, self.config
        self.believe(config.known)
        self.bus.current()
        if (peer_listen := config.peer_listen) is not None:
            udp = await driver.opened(lambda: driver.udp_socket(peer_listen))
            driver.hear_peers(udp, self.peers, self.gateway.push, self.hear_others)
        operators = None
        if (ops := config.ops) is not None:
            operators = await driver.opened(lambda: driver.listen(ops))
        listener = await driver.opened(lambda: driver.listen(config.listen, shared=True))
        accepting = driver.spawn(driver.accept(listener, self.front))
        self.follow()
        if operators is not None:
            driver.spawn(driver.answer_calls(operators, self.calls))
        self.serving = True
        parts = self.parts
        self.log.note(
            "start",
            listen=config.listen,
            ops=config.ops,
            descriptors=config.sockets,
            clients=parts.clients,
            engines=parts.engines,
            calls=parts.calls,
            others=config.sockets - parts.clients - parts.engines - parts.calls,
        )
        self.look_beside()
        await self.stop.wait()
        self.gateway.leave(self.lifecycle.ends_at())
        self.log.note("leaving", open=self.gateway.open, clients=len(self.front.sessions))
        door_s = max(self.lifecycle.door_at() - driver.clock.now(), 0.0) / 1000
        await asyncio.gather(asyncio.sleep(door_s), *self.leave(), return_exceptions=True)
        await self.stay_for_newer()
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        await driver.empty_queue(listener, self.front)
        listener.close()
        self.log.note("closed_door", open=self.gateway.open, clients=len(self.front.sessions))
        await self.finish()

    async def finish(self) -> None:
        """Go on until all is answered and every client has seen the end of its connection, within limits.

        Danger: ended behind the last answer, with bytes of a client unread, its connection was reset, and the
        answer went with it; one that was written in part stopped short.
        """
        clock, lifecycle, done_at = self.driver.clock, self.lifecycle, math.inf
        while self.front.sessions or self.gateway.open:
            self.front.close_spare()
            now = clock.now()
            if self.gateway.open or self.front.owes() and now < lifecycle.ends_at():
                done_at = math.inf
            else:
                done_at = min(done_at, now)
                if now >= min(done_at + SEEN_MS, lifecycle.ends_at()):
                    break
            await asyncio.sleep(CHECK_S)

    def reload(self) -> None:
        """Read the configuration again: its settings, and the event bus it names, on from the last event.

        Danger: without a handler SIGHUP ended the program. A file that can't be used must change nothing.
        """
        try:
            config = load(os.environ, self.counters)
            check_change(self.config, config)
        except ConfigError as error:
            self.counters.add("reloads_failed")
            self.log.say(f"reload: the configuration stays as it is: {error}")
            return
        self.counters.add("reloads")
        was, now = ({cls.name for cls in c.settings.classes} for c in (self.config, config))
        self.log.note("reloaded", classes=len(now), added=",".join(now - was), dropped=",".join(was - now))
        self.config = config
        self.engines.links, self.driver.connect_s = config.links, config.links.connect_ms / 1000
        self.retune()
        if config.bus is None:
            return
        self.bus.host = config.bus.host
        if self.following is not None:
            self.following.cancel()
            self.following = self.driver.spawn(self.driver.follow(self.bus, config.bus))

    def end(self) -> None:
        """Leave: from now on, not from when the loop comes to it."""
        longest = max(cls.deadline_ms for cls in self.gateway.settings.classes)
        self.lifecycle.leave(self.driver.clock.now(), longest)
        self.stop.set()

    def print_counters(self) -> None:
        """Counters, whatever the log's rate."""
        print(self.counters.line(), file=sys.stderr, flush=True)

    async def live(self) -> None:
        """A program's lifecycle as this dispatcher: signals, serving, and the counters at the end."""
        self.handle_signals(self.driver.loop)
        gc.collect()
        gc.freeze()  # what lives as long as the program need not be looked through again and again
        try:
            await self.run()
        finally:
            self.print_counters()

    def handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """SIGTERM and SIGINT end it, SIGHUP reloads, SIGUSR1 prints the counters."""
        loop.set_exception_handler(lambda _, context: self.log.say(f"loop: {context}"))
        loop.add_signal_handler(signal.SIGTERM, self.end)
        loop.add_signal_handler(signal.SIGINT, self.end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)


def run_program(name: str, make: Callable[[asyncio.AbstractEventLoop], Dispatcher]) -> int:
    """Run the dispatcher that `make` gives until told to stop; 1 if its address can't be had, else 0."""

    async def main() -> None:
        await make(asyncio.get_running_loop()).live()

    try:
        uvloop.run(main())
    except OSError as error:
        print(f"cottonhold: {name}: {error}", file=sys.stderr)
        return 1
    return 0
