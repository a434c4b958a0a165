"""The network of a scenario run: the ports of all processes, and the links and datagram paths."""

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

# Called with an instance, an engine, an event on the link between them, and the request id.
OnLinkEvent = Callable[[str, str, str, str], None]
# Added to the scenario's seed, so that each link has its own random sequence.
CLIENT_LINK_SEED, SOURCE_LINK_SEED = 1000, 2000


class ScenarioNetwork:
    """All links of a run.

    Each instance has its own link to each engine and to its source of the engine list. Clients connect to
    each instance by one link. Datagrams between instances pass through one switch.
    """

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
        """Start a Consul for each instance, since each instance has its own addresses of the engines."""
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
        """Return the one-way delay between an instance and an engine or another instance, in ms."""
        if not self.scenario.instance_zones:
            return 0.0
        return distance_ms(self.scenario.zone_distances_ms, self._zone_of(instance), self._zone_of(other))

    def _zone_of(self, name: str) -> str:
        return self.scenario.instance_zones[int(name[1:])] if name in self.instance_ports else zone_of(name)

    def peer_path(self, sender: int, receiver: int, faults: Mapping[str, Any]) -> NetworkPath:
        """Return the path of datagrams between two instances, by their numbers, with the given faults."""
        delay_ms = self.distance_ms(f"n{sender}", f"n{receiver}")
        return network_path(dict(faults) | {"delay": faults.get("delay", 0.0) + delay_ms})


def link_state(options: Mapping[str, Any], distance_ms: float = 0.0) -> Link:
    """Return the state of a link under a fault.

    Args:
        options: Options of the fault. `cut` blocks both directions, `forth` or `back` only one.
        distance_ms: One-way delay of the link without faults, in ms.
    """
    shared = {name: value for name, value in options.items() if name in ("delay", "jitter", "slow")}
    shared["delay"] = shared.get("delay", 0.0) + distance_ms
    is_blocked = bool(options.get("cut"))
    return Link(
        forth=network_path(shared | {"cut": is_blocked or bool(options.get("forth"))}),
        back=network_path(shared | {"cut": is_blocked or bool(options.get("back"))}),
        refuses=bool(options.get("refuse")),
        resets=bool(options.get("reset")),
    )
