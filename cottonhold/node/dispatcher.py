"""The dispatcher process: constructs its parts, serves until shutdown, and reloads the configuration."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import gc
import math
import os
import random
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence

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
from cottonhold.node.gateway import Gateway
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.node.memory_monitor import MemoryMonitor
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.node.process_quotas import ProcessQuotas
from cottonhold.node.sent_request_files import SentRequests
from cottonhold.node.sibling_channel import SiblingChannel
from cottonhold.node.sibling_processes import ProcessRecord, SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.observe.operator_log import OperatorLog
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.transport.clock import Timer
from cottonhold.transport.event_loop import EventLoop
from cottonhold.transport.socket_factory import MakeSocket

SHUTDOWN_POLL_S = 0.02  # interval between checks of open requests and connections during a shutdown
SIBLINGS_INTERVAL_MS = 300.0  # interval between updates of the sibling processes' records
CLIENT_CLOSE_MS = 250.0  # time that clients have to close their connections after the last response
MAX_NEWER_START_MS = 3000.0  # longest time that a shutdown waits for a newer process to begin serving
EVENT_STREAM_ONLY = ((SOURCE, SourceGuard(is_trusted=True)),)


class Dispatcher:
    """A dispatcher process: owns its parts and connects them.

    Args:
        config: The configuration, which `reload` replaces.
        counters: The counters of this process.
        loop: The event loop to run in.
        log: The operators' log.
        sources: The name of each source of the engine list, and how far its reports are trusted.
        make_socket: Creates sockets; tests replace it.
    """

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
        log_line = self.log.write_line
        self.event_loop = EventLoop(loop, counters, log_line, make_socket)
        self.event_loop.connector.timeout_s = config.connections.connect_timeout_ms / 1000
        clock = self.event_loop.clock
        self.lifecycle = Lifecycle()
        self.quotas = ProcessQuotas(config.max_descriptors, config.memory_limit_bytes)
        self.sibling_processes = SiblingProcesses(os.environ.get("TMPDIR"), str(config.listen), log_line)
        self.sibling_count = 0
        self.engines = EngineConnections(
            config.connections, clock, counters, log_line, self.quotas.descriptors.engines
        )
        self.engines.connect = self.event_loop.connector.connect
        self.gateway = Gateway(config.settings, config.seed, clock, self.engines, counters, log_line)
        self.gateway.max_unread_ms = self.event_loop.listener.max_wait_ms
        self.gateway.repeat_guard.sent_requests = self._new_sent_requests()
        self.sessions = self._new_sessions()
        self.admin_api = AdminApi(self.lifecycle, clock, counters, log.note, self.quotas.descriptors.admin)
        self.sibling_channel = self._new_sibling_channel()
        self.memory_monitor = MemoryMonitor(
            config.memory_limit_bytes, clock, counters, log.note, self._memory_use
        )
        self.peer_datagrams = PeerDatagrams(config.peers, config.peers_all, counters, log_line)
        self.gateway.send_to_peer = self.send_to_peer
        self.engine_catalog = EngineCatalog(sources, config.seed, clock.unix_offset)
        self.catalog_timer: Timer | None = None
        self.event_stream = self._new_event_stream()
        self.shutdown_requested, self.is_serving = asyncio.Event(), False

    def _new_sessions(self) -> ClientSessions:
        connection_ids = self.sibling_processes.connection_ids()
        sessions = ClientSessions(
            self.gateway,
            self.event_loop.clock,
            self.counters,
            self.lifecycle,
            self.quotas.descriptors.clients,
            connection_ids,
        )
        self.engines.results.reclaim = sessions.on_result_buffered
        sessions.last_id = connection_ids.random_id(random.Random(self.config.seed))
        return sessions

    def _new_sent_requests(self) -> SentRequests:
        """Return the ids of sent requests, with those of processes that have ended or still run."""
        processes = self.sibling_processes
        sent_requests = SentRequests(
            self.event_loop.clock,
            self.counters,
            self.log.write_line,
            processes.sent_requests_path,
            processes.slot,
        )
        sent_requests.start(processes.others_by_slot().keys())
        return sent_requests

    def _new_sibling_channel(self) -> SiblingChannel:
        """Return the channel to sibling processes, connected with the sessions and the admin API."""
        channel = SiblingChannel(
            self.sibling_processes,
            self.event_loop,
            self.event_loop.clock,
            self.counters,
            self.log.write_line,
        )
        channel.kill_handler, self.sessions.kill_forwarder = self.sessions, channel
        channel.drain_handler, self.admin_api.share_drain = self.admin_api, channel.share_drain
        return channel

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
        """Pass events of sources to the engine catalog, and execute its actions; also called by its timer."""
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
        next_at = self.engine_catalog.next_at()
        if next_at < float("inf"):
            self.catalog_timer = self.event_loop.clock.call_in(
                next_at - now + 1, lambda: self.on_discovery_events(())
            )

    def on_engine_list(self, change: EngineListChange) -> None:
        """Apply a change of the engine list."""
        self.gateway.on_engine_list(change)

    def confirm_absent(self, source: str, absent: tuple[str, ...]) -> None:
        """Query a source again for engines missing from its list; the event stream needs no confirmation."""

    def follow_sources(self) -> None:
        """Start following the sources of the engine list."""
        if self.config.event_stream is not None:
            self.event_loop.event_stream.follow(self.event_stream, self.config.event_stream)

    def on_other_datagram(self, data: bytes, sender: Address) -> bool:
        """Process a datagram of a subclass's protocols; return whether it is one. The base class has none."""
        return False

    def shutdown_tasks(self) -> Iterable[Awaitable[object]]:
        """Return tasks to run at the start of a shutdown, while requests are still served."""
        return ()

    def update_siblings(self) -> None:
        """Publish this process's connection counts, and limit them to the descriptors that siblings leave."""
        others_by_slot = self.sibling_processes.others_by_slot()
        others = list(others_by_slot.values())
        self.gateway.repeat_guard.sent_requests.on_running_processes(others_by_slot.keys())
        if others:
            self.sibling_channel.open()
        record = ProcessRecord(
            self.sibling_processes.record.start_number,
            len(self.sessions.sessions),
            self.engines.open_connections,
            self.is_serving,
        )
        self.sibling_processes.publish(record)
        quotas = self.quotas.apply(others, self.sessions, self.engines, self.event_stream)
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
        """Apply the configured settings with the number of processes that run as this dispatcher."""
        self.gateway.apply_settings(
            dataclasses.replace(self.config.settings, concurrent_processes=1 + self.sibling_count)
        )

    async def wait_for_newer_process(self) -> None:
        """Keep accepting clients until a newer process serves, for a limited time."""
        deadline = min(self.event_loop.clock.now() + MAX_NEWER_START_MS, self.lifecycle.close_deadline())
        while self.sibling_processes.is_newer_starting() and self.event_loop.clock.now() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_S)

    async def run(self) -> None:
        """Serve until a shutdown is requested, then finish open requests."""
        listeners = self.event_loop.listener
        self.on_discovery_events(self.config.initial_reports)
        self.event_stream.on_complete_answer()
        await self._open_datagrams()
        admin_socket = await self._open_admin_socket()
        await self._open_sibling_channel()
        client_socket = await listeners.open_with_retry(
            lambda: listeners.listen(self.config.listen, is_shared=True)
        )
        accepting = self.event_loop.spawn(listeners.accept(client_socket, self.sessions))
        self.follow_sources()
        if admin_socket is not None:
            self.event_loop.spawn(listeners.serve_admin_api(admin_socket, self.admin_api))
        self.is_serving = True
        self.quotas.measure_idle()
        self._log_serving()
        self.memory_monitor.start()
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
        """Process a datagram: pass a peer's message to the scheduler, and others to `on_other_datagram`."""
        if self.on_other_datagram(data, sender):
            return
        if message := self.peer_datagrams.decode(data, (sender.host, sender.port)):
            self.gateway.push(message)

    async def _open_sibling_channel(self) -> None:
        """If this is not the dispatcher's only process, wait until all of them receive each other's calls."""
        if self.sibling_processes.others():
            self.sibling_channel.open()
            await self.sibling_channel.wait_for_pipes()

    async def _open_admin_socket(self) -> socket.socket | None:
        address = self.config.admin_listen
        if address is None:
            return None
        listeners = self.event_loop.listener
        return await listeners.open_with_retry(lambda: listeners.listen(address))

    def _log_serving(self) -> None:
        self.log.note(
            "serving",
            listen=self.config.listen,
            admin_listen=self.config.admin_listen,
            **self.quotas.log_fields(),
        )

    async def _shut_down(self, client_socket: socket.socket, accepting: asyncio.Task[None]) -> None:
        """Keep accepting clients for a limited time, then close the listener and finish open requests."""
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
        """Wait for responses to all requests, and then, until the answer deadline, for clients to close.

        Closing a connection that still has unread bytes of its client would reset it and lose the last
        response.
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

        An invalid configuration is logged and changes nothing.
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
        if self.event_loop.event_stream.is_following():
            self.event_loop.event_stream.follow(self.event_stream, config.event_stream)

    def _log_reload(self, config: Config) -> None:
        """Log which query classes the new configuration adds and removes."""
        before = {cls.name for cls in self.config.settings.classes}
        after = {cls.name for cls in config.settings.classes}
        added, removed = ",".join(after - before), ",".join(before - after)
        self.log.note("config_reloaded", classes=len(after), added=added, removed=removed)

    def begin_shutdown(self) -> None:
        """Begin a shutdown; its deadlines are measured from this call, not from when `run` resumes."""
        max_deadline_ms = max(cls.deadline_ms for cls in self.gateway.settings.classes)
        self.lifecycle.begin_shutdown(self.event_loop.clock.now(), max_deadline_ms)
        self.shutdown_requested.set()

    def _memory_use(self) -> dict[str, object]:
        """Return what the memory is used for, as fields of the log."""
        return {
            "client_connections": len(self.sessions.sessions),
            "open_requests": self.gateway.open_count,
            "engine_connections": self.engines.open_connections,
        }

    def print_counters(self) -> None:
        """Print the counters to stderr, regardless of the log's rate limit."""
        self.memory_monitor.publish()
        with contextlib.suppress(OSError):  # nobody reads the log
            print(self.counters.format_line(), file=sys.stderr, flush=True)

    async def run_until_stopped(self) -> None:
        """Handle signals and serve until a shutdown has ended, then print the counters."""
        self.handle_signals(self.event_loop.loop)
        gc.collect()
        gc.freeze()  # excludes long-lived objects from each later collection
        try:
            await self.run()
        finally:
            self.event_loop.event_stream.stop()
            self.sibling_channel.close()
            self.print_counters()

    def handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """Install handlers: SIGTERM and SIGINT shut down, SIGHUP reloads, SIGUSR1 prints the counters."""
        loop.set_exception_handler(lambda _, context: self.log.note("event_loop_error", context=context))
        loop.add_signal_handler(signal.SIGTERM, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGINT, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)


def run_program(name: str, make: Callable[[asyncio.AbstractEventLoop], Dispatcher]) -> int:
    """Run the dispatcher that `make` returns; return the exit status: 1 after an OSError, else 0."""

    async def main() -> None:
        await make(asyncio.get_running_loop()).run_until_stopped()

    try:
        uvloop.run(main())
    except OSError as error:
        print(f"cottonhold: {name}: {error}", file=sys.stderr)
        return 1
    return 0
