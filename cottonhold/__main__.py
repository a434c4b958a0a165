"""The command line: `python -m cottonhold [serve]` runs one dispatcher until SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys

import uvloop

from cottonhold.config.relay import Config, ConfigError, load
from cottonhold.decide import interface as io
from cottonhold.discovery.bus import Bus
from cottonhold.node.driver import Driver
from cottonhold.node.engines import Engines
from cottonhold.node.gateway import Gateway
from cottonhold.node.mysql import Front
from cottonhold.node.peers import Peers
from cottonhold.observe.counters import Counters
from cottonhold.observe.log import Log

LEAVE_S = 0.8  # after SIGTERM new clients come for 0.4 s, and a request that came by 0.7 s is owed an answer
CHECK_S = 0.02


class Dispatcher:
    """The parts of one dispatcher, put together."""

    def __init__(self, config: Config, counters: Counters, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.counters, self.log = config, counters, Log()
        say = self.log.say
        self.driver = Driver(loop, counters, say)
        self.driver.connect_s = config.links.connect_ms / 1000
        clock = self.driver.clock
        self.engines = Engines(config.links, clock, counters, say, config.sockets)
        self.engines.connect = self.driver.connect
        self.gateway = Gateway(config.settings, config.seed, clock, self.engines, counters, say)
        self.front = Front(self.gateway, clock, counters, config.sockets)
        self.peers = Peers(config.peers, config.peers_all, counters)
        self.gateway.tell = self.tell
        self.bus = Bus(config.bus.host, config.offset, config.names, counters, self.gateway.change_list)
        self.stop = asyncio.Event()
        self.following: asyncio.Task[None] | None = None

    def tell(self, tell: io.Tell) -> None:
        """Send a message to a peer."""
        target = self.peers.target(tell)
        if target is not None:
            self.driver.tell(tell.data, target)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is open."""
        driver, config = self.driver, self.config
        for change in config.known:
            self.gateway.change_list(change)
        if config.peer_listen is not None:
            udp = driver.udp_socket(config.peer_listen)
            driver.hear_peers(udp, self.peers, self.gateway.push)
        listener = driver.listen(config.listen)
        accepting = driver.spawn(driver.accept(listener, self.front))
        self.following = driver.spawn(driver.follow(self.bus, config.bus))
        await self.stop.wait()
        await asyncio.sleep(LEAVE_S)
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        listener.close()
        self.front.leaving = True
        for session in list(self.front.sessions.values()):
            session.leave()
        while self.gateway.open or any(s.output for s in self.front.sessions.values()):
            await asyncio.sleep(CHECK_S)
        await asyncio.sleep(CHECK_S)  # the last answer's bytes are with the system now

    def reload(self) -> None:
        """Read the configuration again and follow the event bus that it names, on from the last event.

        Danger: without a handler SIGHUP ended the program. A file that can't be used must change nothing.
        """
        try:
            config = load(os.environ, self.counters)
        except ConfigError as error:
            self.counters.add("reloads_failed")
            self.log.say(f"reload: the configuration stays as it is: {error}")
            return
        self.counters.add("reloads")
        self.bus.host = config.bus.host
        if self.following is not None:
            self.following.cancel()
            self.following = self.driver.spawn(self.driver.follow(self.bus, config.bus))

    def print_counters(self) -> None:
        """Counters, whatever the log's rate."""
        print(self.counters.line(), file=sys.stderr, flush=True)


def serve() -> int:
    """Run one dispatcher; 2 if its configuration can't be used."""
    counters = Counters()
    try:
        config = load(os.environ, counters)
    except ConfigError as error:
        print(f"cottonhold: configuration: {error}", file=sys.stderr)
        return 2

    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = Dispatcher(config, counters, loop)
        loop.set_exception_handler(lambda _, context: dispatcher.log.say(f"loop: {context}"))
        loop.add_signal_handler(signal.SIGTERM, dispatcher.stop.set)
        loop.add_signal_handler(signal.SIGINT, dispatcher.stop.set)
        loop.add_signal_handler(signal.SIGHUP, dispatcher.reload)
        loop.add_signal_handler(signal.SIGUSR1, dispatcher.print_counters)
        gc.collect()
        gc.freeze()  # what lives as long as the program need not be looked through again and again
        try:
            await dispatcher.run()
        finally:
            dispatcher.print_counters()

    try:
        uvloop.run(main())
    except OSError as error:
        print(f"cottonhold: {config.name}: {error}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(prog="cottonhold", description=__doc__)
    commands = parser.add_subparsers(dest="command")
    commands.add_parser("serve", help="run one dispatcher (the default)")
    parser.parse_args()
    return serve()


if __name__ == "__main__":
    sys.exit(main())
