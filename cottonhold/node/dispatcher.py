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
from cottonhold.config.relay import Config, ConfigError, check_change, load_config
from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.event_stream import SOURCE, EventStream
from cottonhold.discovery.model import (
    Address,
    ConfirmAbsence,
    EngineListChange,
    Event,
    LogEvent,
    PublishChange,
    SourceGuard,
)
from cottonhold.frontend.client_sessions import ClientSessions
from cottonhold.node.admin_api import AdminApi
from cottonhold.node.descriptors import DescriptorQuotas
from cottonhold.node.gateway import Gateway
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.node.sibling_processes import ProcessRecord, SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.transport.clock import Timer
from cottonhold.transport.event_loop import EventLoop
from cottonhold.transport.socket_factory import MakeSocket

SHUTDOWN_POLL_S = 0.02  # between two looks at what is open, while shutting down
SIBLINGS_INTERVAL_MS = 300.0
CLIENT_CLOSE_MS = 250.0  # that clients have to close, once all is answered
MAX_NEWER_START_MS = 3000.0  # that a shutdown waits for a newer process that does not serve yet
EVENT_STREAM_ONLY = ((SOURCE, SourceGuard(is_trusted=True)),)


class OperatorLog(Protocol):
    """The operators' log."""

    def write_line(self, text: str) -> None:
        """Write a line of text."""

    def note(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""


class Dispatcher:
    """The parts of one dispatcher, put together."""

    def __init__(
        self,
        config: Config,
        counters: Counters,
        loop: asyncio.AbstractEventLoop,
        log: OperatorLog,
        sources: Sequence[tuple[str, SourceGuard]] = EVENT_STREAM_ONLY,
        make_socket: MakeSocket = socket.socket,
    ) -> None:
        self.config, self.counters, self.log = config, counters, log
        say = self.log.write_line
        self.event_loop = EventLoop(loop, counters, say, make_socket)
        self.event_loop.connector.timeout_s = config.connections.connect_timeout_ms / 1000
        clock = self.event_loop.clock
        self.lifecycle, self.descriptor_quotas = Lifecycle(), DescriptorQuotas.divide(config.max_descriptors)
        self.sibling_processes = SiblingProcesses(os.environ.get("TMPDIR"), str(config.listen), say)
        self.sibling_count = 0
        self.engines = EngineConnections(
            config.connections, clock, counters, say, self.descriptor_quotas.engines
        )
        self.engines.connect = self.event_loop.connector.connect
        self.gateway = Gateway(config.settings, config.seed, clock, self.engines, counters, say)
        self.sessions = ClientSessions(
            self.gateway,
            clock,
            counters,
            self.lifecycle,
            self.descriptor_quotas.clients,
            self.sibling_processes.connection_ids(),
        )
        self.admin_api = AdminApi(self.lifecycle, clock, counters, log.note, self.descriptor_quotas.admin)
        self.peer_datagrams = PeerDatagrams(config.peers, config.peers_all, counters, say)
        self.gateway.send_to_peer = self.send_to_peer
        self.engine_catalog = EngineCatalog(sources, config.seed, clock.unix_offset)
        self.catalog_timer: Timer | None = None
        self.event_stream = self._new_event_stream()
        self.shutdown_requested, self.is_serving = asyncio.Event(), False
        self.event_stream_task: asyncio.Task[None] | None = None

    def _new_event_stream(self) -> EventStream:
        config = self.config
        event_stream = EventStream(
            config.event_stream.host if config.event_stream else "",
            config.event_offset,
            config.names,
            self.counters,
            lambda report: self.on_discovery_events([report]),
            self.log.write_line,
        )
        clock = self.event_loop.clock
        event_stream.on_complete_answer = lambda: self.engine_catalog.on_complete_answer(clock.now(), SOURCE)
        return event_stream

    def send_to_peer(self, message: SendToPeer) -> None:
        """Send a message to a peer."""
        target = self.peer_datagrams.destination(message)
        if target is not None:
            self.event_loop.datagrams.send(message.payload, target)

    def on_discovery_events(self, events: Iterable[Event]) -> None:
        """Sources have sent events, or a timer is over: the catalog's actions are carried out at once."""
        now = self.event_loop.clock.now()
        for action in self.engine_catalog.step(now, events):
            match action:
                case PublishChange(change):
                    self.on_engine_list(change)
                case ConfirmAbsence(source, absent):
                    self.confirm_absent(source, absent)
                case LogEvent(event, fields, counted_as):
                    self.counters.add(f"discovery_{counted_as or event}")
                    self.log.note(event, **fields)
        if self.catalog_timer is not None:
            self.catalog_timer.cancel()
            self.catalog_timer = None
        at = self.engine_catalog.next_at()
        if at < float("inf"):
            self.catalog_timer = self.event_loop.clock.call_in(
                at - now + 1, lambda: self.on_discovery_events(())
            )

    def on_engine_list(self, change: EngineListChange) -> None:
        """The engine list has changed."""
        self.gateway.on_engine_list(change)

    def confirm_absent(self, source: str, absent: tuple[str, ...]) -> None:
        """Poll a source once more for engines that it lacks; the event stream needs no confirmation."""

    def follow_sources(self) -> None:
        """Follow the sources from now on."""
        if self.config.event_stream is not None:
            self.event_stream_task = self.event_loop.spawn(
                self.event_loop.event_stream.follow(self.event_stream, self.config.event_stream)
            )

    def on_other_datagram(self, data: bytes, sender: Address) -> bool:
        """Whether a datagram is another part's; the platform's dispatcher has none."""
        return False

    def shutdown_tasks(self) -> Iterable[Awaitable[object]]:
        """What runs once shutdown has begun, while requests are still served."""
        return ()

    def update_siblings(self) -> None:
        """Publish what this process holds, and keep within the descriptors that its siblings leave."""
        others = self.sibling_processes.others()
        own_record = ProcessRecord(
            self.sibling_processes.record.start_number,
            len(self.sessions.sessions),
            self.engines.open_connections,
            self.is_serving,
        )
        self.sibling_processes.publish(own_record)
        quotas = self.descriptor_quotas.remaining_after(others)
        self.sessions.max_sessions, self.engines.max_connections = quotas.clients, quotas.engines
        if len(others) != self.sibling_count:
            self.sibling_count = len(others)
            self.apply_settings()
            self.log.note(
                "sibling_processes_changed",
                siblings=self.sibling_count,
                client_descriptors=quotas.clients,
                engine_descriptors=quotas.engines,
            )
        self.event_loop.clock.call_in(SIBLINGS_INTERVAL_MS, self.update_siblings)

    def apply_settings(self) -> None:
        """Apply the file's settings, with the number of processes that stand for this dispatcher."""
        self.gateway.apply_settings(
            dataclasses.replace(self.config.settings, concurrent_processes=1 + self.sibling_count)
        )

    async def wait_for_newer_process(self) -> None:
        """Go on accepting clients while a newer process does not serve yet, within limits."""
        deadline = min(self.event_loop.clock.now() + MAX_NEWER_START_MS, self.lifecycle.close_deadline())
        while self.sibling_processes.is_newer_starting() and self.event_loop.clock.now() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_S)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is open."""
        listeners = self.event_loop.listener
        self.on_discovery_events(self.config.initial_reports)
        self.event_stream.on_complete_answer()
        await self._open_datagrams()
        admin_socket = await self._open_admin_socket()
        client_socket = await listeners.open_with_retry(
            lambda: listeners.listen(self.config.listen, is_shared=True)
        )
        accepting = self.event_loop.spawn(listeners.accept(client_socket, self.sessions))
        self.follow_sources()
        if admin_socket is not None:
            self.event_loop.spawn(listeners.serve_admin_api(admin_socket, self.admin_api))
        self.is_serving = True
        self._log_serving()
        self.update_siblings()
        await self.shutdown_requested.wait()
        await self._shut_down(client_socket, accepting)

    async def _open_datagrams(self) -> None:
        address = self.config.peer_listen
        if address is None:
            return
        datagrams = self.event_loop.datagrams
        sock = await self.event_loop.listener.open_with_retry(lambda: datagrams.open(address))
        datagrams.receive(sock, self.on_datagram)

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """A datagram has arrived: another part's, or a peer's message for the scheduler."""
        if self.on_other_datagram(data, sender):
            return
        if message := self.peer_datagrams.decode(data, (sender.host, sender.port)):
            self.gateway.push(message)

    async def _open_admin_socket(self) -> socket.socket | None:
        address = self.config.admin_listen
        if address is None:
            return None
        listeners = self.event_loop.listener
        return await listeners.open_with_retry(lambda: listeners.listen(address))

    def _log_serving(self) -> None:
        quotas, max_descriptors = self.descriptor_quotas, self.config.max_descriptors
        self.log.note(
            "serving",
            listen=self.config.listen,
            admin_listen=self.config.admin_listen,
            max_descriptors=max_descriptors,
            client_descriptors=quotas.clients,
            engine_descriptors=quotas.engines,
            admin_descriptors=quotas.admin,
            other_descriptors=max_descriptors - quotas.clients - quotas.engines - quotas.admin,
        )

    async def _shut_down(self, client_socket: socket.socket, accepting: asyncio.Task[None]) -> None:
        """Go on accepting clients for a while, then close the listener and finish what is open."""
        self.gateway.begin_shutdown(self.lifecycle.answer_deadline())
        self._log_open_work("shutdown_started")
        remaining_ms = max(self.lifecycle.accept_deadline() - self.event_loop.clock.now(), 0.0)
        await asyncio.gather(
            asyncio.sleep(remaining_ms / 1000), *self.shutdown_tasks(), return_exceptions=True
        )
        await self.wait_for_newer_process()
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        await self.event_loop.listener.accept_queued(client_socket, self.sessions)
        client_socket.close()
        self._log_open_work("listener_closed")
        await self.finish_open_requests()

    def _log_open_work(self, event: str) -> None:
        self.log.note(
            event, open_requests=self.gateway.open_count, client_connections=len(self.sessions.sessions)
        )

    async def finish_open_requests(self) -> None:
        """Go on until all is answered and every client has seen the end of its connection, within limits.

        A connection that ends with bytes of its client unread is reset, and the last response lost.
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
                if now >= min(done_at + CLIENT_CLOSE_MS, lifecycle.answer_deadline()):
                    break
            await asyncio.sleep(SHUTDOWN_POLL_S)

    def reload(self) -> None:
        """Read the configuration again: apply its settings, and follow the event stream that it names.

        A file that can't be used changes nothing.
        """
        try:
            config = load_config(os.environ, self.counters)
            check_change(self.config, config)
        except ConfigError as error:
            self.counters.add("reloads_failed")
            self.log.note("config_reload_failed", problem=str(error))
            return
        self.counters.add("reloads")
        self._log_reload(config)
        self.config = config
        self.engines.settings = config.connections
        self.event_loop.connector.timeout_s = config.connections.connect_timeout_ms / 1000
        self.apply_settings()
        if config.event_stream is None:
            return
        self.event_stream.host = config.event_stream.host
        if self.event_stream_task is not None:
            self.event_stream_task.cancel()
            self.event_stream_task = self.event_loop.spawn(
                self.event_loop.event_stream.follow(self.event_stream, config.event_stream)
            )

    def _log_reload(self, config: Config) -> None:
        """Log which classes the new configuration adds and removes."""
        before = {cls.name for cls in self.config.settings.classes}
        after = {cls.name for cls in config.settings.classes}
        added, removed = ",".join(after - before), ",".join(before - after)
        self.log.note("config_reloaded", classes=len(after), added=added, removed=removed)

    def begin_shutdown(self) -> None:
        """Shut down: from now on, not from when the loop comes to it."""
        max_deadline_ms = max(cls.deadline_ms for cls in self.gateway.settings.classes)
        self.lifecycle.begin_shutdown(self.event_loop.clock.now(), max_deadline_ms)
        self.shutdown_requested.set()

    def print_counters(self) -> None:
        """Print the counters, whatever the log's rate."""
        print(self.counters.format_line(), file=sys.stderr, flush=True)

    async def run_until_stopped(self) -> None:
        """Run as a program: signals, serving, and the counters at the end."""
        self.handle_signals(self.event_loop.loop)
        gc.collect()
        gc.freeze()  # objects of the program's lifetime need not be traversed at each collection
        try:
            await self.run()
        finally:
            self.print_counters()

    def handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """Have SIGTERM and SIGINT shut down, SIGHUP reload, and SIGUSR1 print the counters."""
        loop.set_exception_handler(lambda _, context: self.log.note("event_loop_error", context=context))
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
