"""The network of a scenario run: every process's port, and the links and datagram paths between them."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable, Mapping
from typing import Any

from cottonhold.emulator.consul.server import Server
from cottonhold.emulator.fault_injection.instance_config import InstanceAddresses
from cottonhold.emulator.fault_injection.links import DatagramSwitch, Link, NetworkPath, TcpLink, network_path
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import distance_ms, zone_of
from cottonhold.emulator.process_fleet import free_ports

# Instance, engine, what happened on the link between them, and the id of the request.
OnLinkEvent = Callable[[str, str, str, str], None]
# Added to the scenario's seed, so that no two links draw alike.
CLIENT_LINK_SEED, SOURCE_LINK_SEED = 1000, 2000


class ScenarioNetwork:
    """All links of a run. Each instance reaches each engine, and its source of the engine list, by a link of
    its own; clients reach each instance by one. Datagrams between instances go through one switch."""

    def __init__(self, scenario: Scenario, on_link_event: OnLinkEvent) -> None:
        self.scenario, self.on_link_event = scenario, on_link_event
        engines = scenario.engine_names()
        self.engine_ports = dict(zip(engines, free_ports(len(engines), socket.SOCK_STREAM), strict=True))
        names = scenario.instance_names()
        self.instance_ports = dict(zip(names, free_ports(len(names), socket.SOCK_STREAM), strict=True))
        self.switch = DatagramSwitch(free_ports(scenario.instances, socket.SOCK_DGRAM), scenario.seed)
        self.engine_links: dict[tuple[str, str], TcpLink] = {}  # by instance and engine
        self.client_links: dict[str, TcpLink] = {}
        self.source_links: dict[str, TcpLink] = {}
        self.consuls: dict[str, Server] = {}

    async def start(self) -> None:
        """Open all links, and start the sources of the engine list."""
        await self._start_engine_links()
        await self.switch.start()
        for sender, receiver in itertools.permutations(range(self.scenario.instances), 2):
            self.switch.paths[sender, receiver] = self.peer_path(sender, receiver, {})
        if self.scenario.has_consul:
            await self._start_sources()
        for number, (name, port) in enumerate(self.instance_ports.items()):
            link = TcpLink(("127.0.0.1", port), self.scenario.seed + CLIENT_LINK_SEED + number)
            self.client_links[name] = link
            await link.start()

    async def _start_engine_links(self) -> None:
        pairs = itertools.product(self.engine_ports, self.instance_ports)
        for serial, (engine, instance) in enumerate(pairs, start=1):
            target = ("127.0.0.1", self.engine_ports[engine])
            recorder = self._recorder(instance, engine)
            link = TcpLink(target, self.scenario.seed + serial, recorder)
            link.link = link_state({}, self.distance_ms(instance, engine))
            self.engine_links[instance, engine] = link
            await link.start()

    def _recorder(self, instance: str, engine: str) -> Callable[[str, str], None]:
        return lambda event, request_id: self.on_link_event(instance, engine, event, request_id)

    async def _start_sources(self) -> None:
        """Start a Consul for each instance, since each reaches the engines by links of its own."""
        for number, name in enumerate(self.instance_ports):
            server = self.consuls[name] = Server()
            for engine in self.engine_ports:
                address = f"127.0.0.1:{self.engine_links[name, engine].port}"
                server.add_engine(engine, address, zone=zone_of(engine), machine_type="std")
            port = await server.start("127.0.0.1", 0)
            seed = self.scenario.seed + SOURCE_LINK_SEED + number
            self.source_links[name] = TcpLink(("127.0.0.1", port), seed)
            await self.source_links[name].start()

    async def stop(self) -> None:
        """Close all links and sources."""
        for links in (self.engine_links, self.client_links, self.source_links):
            for link in links.values():
                await link.stop()
        for server in self.consuls.values():
            await server.stop()
        self.switch.stop()

    def addresses(self, name: str) -> InstanceAddresses:
        """Return the ports of an instance and of its links."""
        source = self.source_links.get(name)
        return InstanceAddresses(
            client_port=self.instance_ports[name],
            peer_port=self.switch.ports[int(name[1:])],
            peer_addresses=[f"127.0.0.1:{port}" for port in self.switch.addresses],
            engine_ports={engine: self.engine_links[name, engine].port for engine in self.engine_ports},
            source_port=source.port if source is not None else 0,
        )

    def distance_ms(self, instance: str, other: str) -> float:
        """Return the delay one way between an instance and an engine or another instance."""
        if not self.scenario.instance_zones:
            return 0.0
        return distance_ms(self.scenario.zone_distances_ms, self._zone_of(instance), self._zone_of(other))

    def _zone_of(self, name: str) -> str:
        return self.scenario.instance_zones[int(name[1:])] if name in self.instance_ports else zone_of(name)

    def peer_path(self, sender: int, receiver: int, faults: Mapping[str, Any]) -> NetworkPath:
        """Return the path of datagrams between two instances, by number, with such faults on it."""
        delay_ms = self.distance_ms(f"n{sender}", f"n{receiver}")
        return network_path(dict(faults) | {"delay": faults.get("delay", 0.0) + delay_ms})


def link_state(options: Mapping[str, Any], distance_ms: float = 0.0) -> Link:
    """Return the state of a link under a fault with these options; `forth` and `back` alone cut that
    direction. distance_ms: the delay one way that the link has without any fault."""
    shared = {name: value for name, value in options.items() if name in ("delay", "jitter", "slow")}
    shared["delay"] = shared.get("delay", 0.0) + distance_ms
    is_blocked = bool(options.get("cut"))
    return Link(
        forth=network_path(shared | {"cut": is_blocked or bool(options.get("forth"))}),
        back=network_path(shared | {"cut": is_blocked or bool(options.get("back"))}),
        refuses=bool(options.get("refuse")),
        resets=bool(options.get("reset")),
    )
