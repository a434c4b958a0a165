"""The configuration file, decoded once into the values that the dispatcher uses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import orjson

from cottonhold.config.settings import NUMBER, Json, WireError, read, read_settings
from cottonhold.decide import interface as io
from cottonhold.discovery.bus import read_batch
from cottonhold.discovery.model import Address, Names, Report
from cottonhold.observe.counters import Counters


class ConfigError(Exception):
    """Configuration that can't be used; the text is the one line to print."""


@dataclass(slots=True, frozen=True)
class Links:
    """What the settings say of connections to engines."""

    idle_ms: float
    connect_ms: float
    streams: int


@dataclass(slots=True, frozen=True)
class Config:
    """All that a dispatcher is told at its start."""

    name: str
    listen: Address
    seed: int
    sockets: int
    ops: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    bus: Address | None
    offset: int
    known: tuple[Report, ...]
    names: Names
    settings: io.Settings
    links: Links


def load(environ: Mapping[str, str], counters: Counters) -> Config:
    """Read the file that RELAY_CONFIG names."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        source = orjson.loads(Path(path).read_bytes())
        if not isinstance(source, dict):
            raise WireError("not an object")
        return decode(source, environ, counters)
    except (OSError, orjson.JSONDecodeError, WireError, ValueError, TypeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def decode(source: Json, environ: Mapping[str, str], counters: Counters) -> Config:
    """The configuration's JSON as typed values."""

    def address(key: str, variable: str = "") -> Address | None:
        text = read(source, key, str, None) or environ.get(variable)
        try:
            return Address.parse(text) if text else None
        except WireError as error:
            raise WireError(f"field '{key}': {error}") from error

    listen = address("listen", "RELAY_LISTEN")
    if listen is None:
        raise WireError("field 'listen' is missing")
    bus = address("bus")
    if bus is None:
        raise WireError("field 'bus' is missing")
    params, limits = read(source, "settings", dict), read(source, "limits", dict, {})
    caps = read(params, "caps", dict)
    names = Names(tuple(read(params, "zones", list, [])), tuple(read(params, "models", list, [])))
    offset, known = read_batch(read(source, "known", dict), names, counters)
    return Config(
        name=read(source, "name", str, environ.get("RELAY_NAME", "")),
        listen=listen,
        seed=int(read(source, "seed", str, "0"), 16),
        sockets=read(limits, "sockets", int, 1024),
        ops=address("ops", "RELAY_OPS"),
        peer_listen=address("peer_listen"),
        peers=tuple(Address.parse(p) for p in read(source, "peers", list, [])),
        peers_all=address("peers_all"),
        bus=bus,
        offset=offset,
        known=tuple(known),
        names=names,
        settings=read_settings(params),
        links=Links(
            idle_ms=read(caps, "conn_idle", NUMBER, 15000.0),
            connect_ms=read(caps, "connect_timeout", NUMBER, 250.0),
            streams=read(caps, "streams_per_conn", int, 32),
        ),
    )
