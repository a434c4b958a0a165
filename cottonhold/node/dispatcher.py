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

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.config.relay import Config, ConfigError, check_change, load
from cottonhold.discovery.bus import SOURCE, Bus
from cottonhold.discovery.engine_catalog import Belief
from cottonhold.discovery.model import Address, Change, Confirm, Event, Guard, Publish, Remark
from cottonhold.frontend.mysql_session import ClientSessions
from cottonhold.node.admin_api import AdminApi
from cottonhold.node.clock import Timer
from cottonhold.node.descriptors import DescriptorQuotas
from cottonhold.node.gateway import Gateway
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.node.sibling_processes import ProcessRecord, SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.transport.event_loop import EventLoop
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
        self.event_loop = EventLoop(loop, counters, say, make_socket)
        self.event_loop.connect_s = config.connections.connect_timeout_ms / 1000
        clock = self.event_loop.clock
        self.lifecycle, self.descriptor_quotas = Lifecycle(), DescriptorQuotas.divide(config.max_descriptors)
        self.sibling_processes = SiblingProcesses(os.environ.get("TMPDIR"), str(config.listen), say)
        self.sibling_count = 0
        self.engines = EngineConnections(
            config.connections, clock, counters, say, self.descriptor_quotas.engines
        )
        self.engines.connect = self.event_loop.connect
        self.gateway = Gateway(config.settings, config.seed, clock, self.engines, counters, say)
        self.sessions = ClientSessions(
            self.gateway,
            clock,
            counters,
            self.lifecycle,
            self.descriptor_quotas.clients,
            self.sibling_processes.connection_ids(),
        )
        self.admin_api = AdminApi(self.lifecycle, clock, counters, log.note, self.descriptor_quotas.calls)
        self.peer_datagrams = PeerDatagrams(config.peers, config.peers_all, counters, say)
        self.gateway.send_to_peer = self.send_to_peer
        self.engine_catalog = Belief(sources, config.seed, clock.unix_offset)
        self.catalog_timer: Timer | None = None
        host = config.event_stream.host if config.event_stream else ""
        self.event_stream = Bus(
            host,
            config.event_offset,
            config.names,
            counters,
            lambda report: self.on_discovery_events([report]),
            say,
        )
        self.event_stream.current = lambda: self.engine_catalog.current(clock.now(), SOURCE)
        self.shutdown_requested, self.is_serving = asyncio.Event(), False
        self.event_stream_task: asyncio.Task[None] | None = None

    def send_to_peer(self, tell: SendToPeer) -> None:
        """Send a message to a peer."""
        target = self.peer_datagrams.destination(tell)
        if target is not None:
            self.event_loop.send_datagram(tell.payload, target)

    def on_discovery_events(self, events: Iterable[Event]) -> None:
        """Sources have told something, or a wait is over: what follows from it is carried out at once."""
        now = self.event_loop.clock.now()
        for action in self.engine_catalog.step(now, events):
            match action:
                case Publish(change):
                    self.on_engine_list(change)
                case Confirm(source, absent):
                    self.confirm_absent(source, absent)
                case Remark(event, fields):
                    self.counters.add(f"discovery_{event}")
                    self.log.note(event, **fields)
        if self.catalog_timer is not None:
            self.catalog_timer.cancel()
            self.catalog_timer = None
        at = self.engine_catalog.next_at()
        if at < float("inf"):
            self.catalog_timer = self.event_loop.clock.call_in(
                at - now + 1, lambda: self.on_discovery_events(())
            )

    def on_engine_list(self, change: Change) -> None:
        """Tell the parts of a change of the engine list."""
        self.gateway.on_engine_list(change)

    def confirm_absent(self, source: str, absent: tuple[str, ...]) -> None:
        """Have a source asked once more; the event bus needs no second word."""

    def follow_sources(self) -> None:
        """Follow the sources from now on."""
        if self.config.event_stream is not None:
            self.event_stream_task = self.event_loop.spawn(
                self.event_loop.follow_event_stream(self.event_stream, self.config.event_stream)
            )

    def on_other_datagram(self, data: bytes, sender: Address) -> bool:
        """Whether a datagram is another part's; the platform's dispatcher has none."""
        return False

    def shutdown_tasks(self) -> Iterable[Awaitable[object]]:
        """What is to be done beside serving on once the end is decided."""
        return ()

    def update_siblings(self) -> None:
        """Tell other processes of this dispatcher what is held here, and keep within what they leave."""
        others = self.sibling_processes.others()
        held = ProcessRecord(
            self.sibling_processes.record.start_number,
            len(self.sessions.sessions),
            self.engines.open_connections,
            self.is_serving,
        )
        self.sibling_processes.publish(held)
        left = self.descriptor_quotas.remaining_beside(others)
        self.sessions.max_sessions, self.engines.max_connections = left.clients, left.engines
        if len(others) != self.sibling_count:
            self.sibling_count = len(others)
            self.apply_settings()
            self.log.note("beside", others=self.sibling_count, clients=left.clients, engines=left.engines)
        self.event_loop.clock.call_in(BESIDE_MS, self.update_siblings)

    def apply_settings(self) -> None:
        """Have the settings in force follow the file, and the processes that stand for this dispatcher."""
        self.gateway.apply_settings(
            dataclasses.replace(self.config.settings, concurrent_processes=1 + self.sibling_count)
        )

    async def wait_for_newer_process(self) -> None:
        """Go on taking clients while a newer process does not serve yet, within limits."""
        until = min(self.event_loop.clock.now() + STARTING_MS, self.lifecycle.close_deadline())
        while self.sibling_processes.is_newer_starting() and self.event_loop.clock.now() < until:
            await asyncio.sleep(CHECK_S)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is open."""
        driver, config = self.event_loop, self.config
        self.on_discovery_events(config.initial_reports)
        self.event_stream.current()
        if (peer_listen := config.peer_listen) is not None:
            udp = await driver.open_with_retry(lambda: driver.udp_socket(peer_listen))
            driver.receive_datagrams(udp, self.peer_datagrams, self.gateway.push, self.on_other_datagram)
        operators = None
        if (ops := config.admin_listen) is not None:
            operators = await driver.open_with_retry(lambda: driver.listen(ops))
        listener = await driver.open_with_retry(lambda: driver.listen(config.listen, shared=True))
        accepting = driver.spawn(driver.accept(listener, self.sessions))
        self.follow_sources()
        if operators is not None:
            driver.spawn(driver.serve_admin_api(operators, self.admin_api))
        self.is_serving = True
        parts = self.descriptor_quotas
        self.log.note(
            "start",
            listen=config.listen,
            ops=config.admin_listen,
            descriptors=config.max_descriptors,
            clients=parts.clients,
            engines=parts.engines,
            calls=parts.calls,
            others=config.max_descriptors - parts.clients - parts.engines - parts.calls,
        )
        self.update_siblings()
        await self.shutdown_requested.wait()
        self.gateway.begin_shutdown(self.lifecycle.answer_deadline())
        self.log.note("leaving", open=self.gateway.open_count, clients=len(self.sessions.sessions))
        door_s = max(self.lifecycle.accept_deadline() - driver.clock.now(), 0.0) / 1000
        await asyncio.gather(asyncio.sleep(door_s), *self.shutdown_tasks(), return_exceptions=True)
        await self.wait_for_newer_process()
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        await driver.accept_queued(listener, self.sessions)
        listener.close()
        self.log.note("closed_door", open=self.gateway.open_count, clients=len(self.sessions.sessions))
        await self.finish_open_requests()

    async def finish_open_requests(self) -> None:
        """Go on until all is answered and every client has seen the end of its connection, within limits.

        Danger: ended behind the last answer, with bytes of a client unread, its connection was reset, and the
        answer went with it; one that was written in part stopped short.
        """
        clock, lifecycle, done_at = self.event_loop.clock, self.lifecycle, math.inf
        while self.sessions.sessions or self.gateway.open_count:
            self.sessions.check_timeouts()
            now = clock.now()
            if (
                self.gateway.open_count
                or self.sessions.has_unfinished()
                and now < lifecycle.answer_deadline()
            ):
                done_at = math.inf
            else:
                done_at = min(done_at, now)
                if now >= min(done_at + SEEN_MS, lifecycle.answer_deadline()):
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
        self.engines.settings, self.event_loop.connect_s = (
            config.connections,
            config.connections.connect_timeout_ms / 1000,
        )
        self.apply_settings()
        if config.event_stream is None:
            return
        self.event_stream.host = config.event_stream.host
        if self.event_stream_task is not None:
            self.event_stream_task.cancel()
            self.event_stream_task = self.event_loop.spawn(
                self.event_loop.follow_event_stream(self.event_stream, config.event_stream)
            )

    def begin_shutdown(self) -> None:
        """Leave: from now on, not from when the loop comes to it."""
        longest = max(cls.deadline_ms for cls in self.gateway.settings.classes)
        self.lifecycle.begin_shutdown(self.event_loop.clock.now(), longest)
        self.shutdown_requested.set()

    def print_counters(self) -> None:
        """Counters, whatever the log's rate."""
        print(self.counters.line(), file=sys.stderr, flush=True)

    async def run_until_stopped(self) -> None:
        """A program's lifecycle as this dispatcher: signals, serving, and the counters at the end."""
        self.handle_signals(self.event_loop.loop)
        gc.collect()
        gc.freeze()  # what lives as long as the program need not be looked through again and again
        try:
            await self.run()
        finally:
            self.print_counters()

    def handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """SIGTERM and SIGINT end it, SIGHUP reloads, SIGUSR1 prints the counters."""
        loop.set_exception_handler(lambda _, context: self.log.say(f"loop: {context}"))
        loop.add_signal_handler(signal.SIGTERM, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGINT, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)


def run_program(name: str, make: Callable[[asyncio.AbstractEventLoop], Dispatcher]) -> int:
    """Run the dispatcher that `make` gives until told to stop; 1 if its address can't be had, else 0."""

    async def main() -> None:
        await make(asyncio.get_running_loop()).run_until_stopped()

    try:
        uvloop.run(main())
    except OSError as error:
        print(f"cottonhold: {name}: {error}", file=sys.stderr)
        return 1
    return 0
