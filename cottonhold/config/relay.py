"""Decodes RELAY_CONFIG, the platform's configuration file, into the values that the dispatcher uses.

The keys of the file differ from the code's terms and are mapped here and in `config.settings`.
"""

from __future__ import annotations

import dataclasses
import os
import stat
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson

from cottonhold.config.settings import KEYED_EFFECT, decode_settings
from cottonhold.config.settings_keys import SettingsKeys
from cottonhold.discovery.event_stream import decode_events
from cottonhold.discovery.model import Address, ConfiguredNames, SourceReport
from cottonhold.message_validation import NUMBER, Json, WireError, read, read_list
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.settings import Settings

# The keys used here that the platform always writes, by section; a file that lacks one was truncated.
# Settings from elsewhere, such as the simulator's, are decoded without this check and may have fewer keys.
REQUIRED_KEYS = {
    "": "caps classes costs discovery domain me models obligations report siblings tick zone zones",
    "caps": "conn_idle connect_timeout max_retry_after may_cancel most_tries peers probes retry_after"
    " streams_per_conn",
    "costs": "peer probe",
    "domain": "class_waits cost_in_answers grants_count holds_tables max_grant_share note_period parallelism"
    " priorities ram_of_kind_mb size_cores when_short",
    "obligations": "answer_slack cold_from overload_factor stop_sending_within tip_after warm_within",
    "report": "fields how",
}
REQUIRED_CLASS_KEYS = "name aim hard_limit effect worth late_worth"
REQUIRED_KEYED_CLASS_KEYS = "group window"  # of a class whose repeats are identified by a key
MAX_NUMBER = 1e12  # upper limit of every number in the settings
BYTES_PER_MB = 1_000_000  # the smaller reading of MB, so that a limit holds by either
MAX_FILE_BYTES = 4 << 20  # a file with 3,200 engines is smaller than 1 MiB


class ConfigError(Exception):
    """A configuration can't be used; the message is one line, which is printed unchanged."""


@dataclass(slots=True, frozen=True)
class ConnectionSettings:
    """The settings of connections to engines.

    Attributes:
        idle_timeout_ms: Time without requests after which a connection is closed, in ms.
        connect_timeout_ms: Longest time to open a connection, in ms.
        max_streams: Largest number of requests in progress on one connection.
        health_check_cost: Cost of one health check, in the utility of one accepted query.
    """

    idle_timeout_ms: float
    connect_timeout_ms: float
    max_streams: int
    health_check_cost: float = 0.0


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a dispatcher.

    Attributes:
        name: Name of the dispatcher.
        listen: Address on which clients connect.
        seed: Seed of the random generators.
        max_descriptors: Largest number of file descriptors that the process may use.
        memory_limit_bytes: Largest memory of all processes of the dispatcher; None if none is configured.
        admin_listen: Address of the admin API; None disables it.
        peer_listen: Address on which messages from the other dispatchers are received; None to receive none.
        peers: Addresses of all dispatchers by their index.
        peers_all: Address to which messages for all other dispatchers are sent; None for none.
        event_stream: Address of the event stream; None if the dispatcher follows none.
        event_offset: Offset of the last event of the stream that `initial_reports` include.
        initial_reports: Reports of the engines that are known at the start.
        names: Names of zones and machine types, by which engine entries are decoded.
        settings: Settings of the scheduler.
        connections: Settings of connections to engines.
        settings_keys: The keys of the file's `settings`; None without such a file.
    """

    name: str
    listen: Address
    seed: int
    max_descriptors: int
    memory_limit_bytes: int | None
    admin_listen: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    event_stream: Address | None
    event_offset: int
    initial_reports: tuple[SourceReport, ...]
    names: ConfiguredNames
    settings: Settings
    connections: ConnectionSettings
    settings_keys: SettingsKeys | None = None


def load_config(environ: Mapping[str, str], counters: Counters) -> Config:
    """Read the configuration file that RELAY_CONFIG names.

    Args:
        environ: Environment variables; besides RELAY_CONFIG they may hold defaults for the file's addresses
            and name.
        counters: Counts the malformed entries of the engine list.

    Raises:
        ConfigError: The file can't be read, is malformed or holds unusable values.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        source = orjson.loads(read_file(path))
        if not isinstance(source, dict):
            raise WireError("not an object")
        return decode_config(source, environ, counters)
    except (OSError, orjson.JSONDecodeError, WireError, ValueError, TypeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_file(path: str) -> bytes:
    """Return the content of a regular file of limited size.

    Other files are rejected, since reading a pipe would block and a huge file would exhaust the memory.

    Raises:
        OSError: The file can't be read.
        WireError: The file is not a regular file, or is too large.
    """
    with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            raise WireError("not a regular file")
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise WireError(f"over {MAX_FILE_BYTES} bytes")
    return data


def check_numbers(value: Any, name: str) -> None:
    """Check all numbers in a value, including nested fields and elements.

    Raises:
        WireError: A number is negative or above MAX_NUMBER.
    """
    if isinstance(value, NUMBER) and not 0 <= value <= MAX_NUMBER:
        raise WireError(f"'{name}' is {value!r}, not from 0 to {MAX_NUMBER:g}")
    if dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            check_numbers(getattr(value, field.name), f"{name}.{field.name}")
    elif isinstance(value, tuple):
        for index, element in enumerate(value):
            check_numbers(element, f"{name}[{index}]")


def check_complete(settings: Json) -> None:
    """Check that all required keys are present and that the classes are valid.

    Raises:
        WireError: A key is missing, a limit is not positive, or two classes have the same name.
    """
    for section, keys in REQUIRED_KEYS.items():
        section_values = read(settings, section, dict) if section else settings
        for key in keys.split():
            if section_values.get(key) is None:
                raise WireError(f"field 'settings.{section}{'.' if section else ''}{key}' is missing")
    if read(settings["caps"], "most_tries", int) <= 0:
        raise WireError("field 'settings.caps.most_tries' is not over 0")
    names = set()
    for index, entry in enumerate(read_list(settings, "classes", dict)):
        is_keyed = entry.get("effect") == KEYED_EFFECT
        required_keys = REQUIRED_CLASS_KEYS.split() + REQUIRED_KEYED_CLASS_KEYS.split() * is_keyed
        for key in required_keys:
            if entry.get(key) is None:
                raise WireError(f"field 'settings.classes[{index}].{key}' is missing")
        for key in ("aim", "hard_limit"):
            if read(entry, key, NUMBER) <= 0:
                raise WireError(f"field 'settings.classes[{index}].{key}' is not over 0")
        if entry["name"] in names:
            raise WireError(f"class '{entry['name']}' is there twice")
        names.add(entry["name"])


def check_change(old: Config, new: Config) -> None:
    """Check that a reload changes no setting that requires a restart, and that its file lacks no key.

    The settings that require a restart are the dispatcher's position in the fleet, and the names of zones
    and machine types, by which engine entries are decoded.

    Raises:
        ConfigError: Such a setting differs between the two configurations, or the new settings lack a key of
            the old ones.
    """
    fixed_values = {
        "settings.me": (old.settings.gateway_index, new.settings.gateway_index),
        "settings.siblings": (old.settings.gateway_count, new.settings.gateway_count),
        "settings.zone": (old.settings.zone, new.settings.zone),
        "settings.zones": (old.names.zones, new.names.zones),
        "settings.models": (old.names.machine_types, new.names.machine_types),
        "settings.domain.size_cores, ram_of_kind_mb": (
            old.settings.machine_types,
            new.settings.machine_types,
        ),
    }
    for key, (old_value, new_value) in fixed_values.items():
        if old_value != new_value:
            raise ConfigError(f"field '{key}' changes only with a restart")
    if old.settings_keys is not None and new.settings_keys is not None:
        for key in old.settings_keys.missing_in(new.settings_keys):
            raise ConfigError(f"field 'settings.{key}' is missing, which the settings in force have")


def decode_config(source: Json, environ: Mapping[str, str], counters: Counters) -> Config:
    """Decode the JSON of a configuration file. Raises WireError, ValueError or TypeError for bad values."""
    listen = _read_address(source, "listen", environ.get("RELAY_LISTEN"))
    if listen is None:
        raise WireError("field 'listen' is missing")
    event_stream = _read_address(source, "bus")
    if event_stream is None:
        raise WireError("field 'bus' is missing")
    params, limits = read(source, "settings", dict), read(source, "limits", dict, {})
    check_complete(params)
    caps = read(params, "caps", dict)
    connect_timeout_ms = read(caps, "connect_timeout", NUMBER, 250.0)
    settings = replace(decode_settings(params), max_connect_ms=connect_timeout_ms)
    check_numbers(settings, "settings")
    names = ConfiguredNames(tuple(read_list(params, "zones", str)), tuple(read_list(params, "models", str)))
    event_offset, initial_reports = decode_events(read(source, "known", dict), names, counters)
    return Config(
        name=read(source, "name", str, environ.get("RELAY_NAME", "")),
        listen=listen,
        seed=int(read(source, "seed", str, "0"), 16),
        max_descriptors=read(limits, "sockets", int, 1024),
        memory_limit_bytes=_memory_limit_bytes(limits),
        admin_listen=_read_address(source, "ops", environ.get("RELAY_OPS")),
        peer_listen=_read_address(source, "peer_listen"),
        peers=tuple(Address.parse(p) for p in read_list(source, "peers", str)),
        peers_all=_read_address(source, "peers_all"),
        event_stream=event_stream,
        event_offset=event_offset,
        initial_reports=tuple(initial_reports),
        names=names,
        settings=settings,
        connections=ConnectionSettings(
            idle_timeout_ms=read(caps, "conn_idle", NUMBER, 15000.0),
            connect_timeout_ms=connect_timeout_ms,
            max_streams=read(caps, "streams_per_conn", int, 32),
            health_check_cost=settings.overhead_costs.per_health_check,
        ),
        settings_keys=SettingsKeys.of(params),
    )


def _memory_limit_bytes(limits: Json) -> int | None:
    """Return the limit on memory; None if there is none. Raises WireError if it is not over 0."""
    limit_mb = read(limits, "memory_mb", NUMBER, None)
    if limit_mb is None:
        return None
    if not 0 < limit_mb <= MAX_NUMBER:
        raise WireError(f"field 'limits.memory_mb' is {limit_mb!r}, not over 0")
    return int(limit_mb * BYTES_PER_MB)


def _read_address(source: Json, key: str, default: str | None = None) -> Address | None:
    """Return the address in a field, else the default; None without both. Raises WireError."""
    text = read(source, key, str, None) or default
    try:
        return Address.parse(text) if text else None
    except WireError as error:
        raise WireError(f"field '{key}': {error}") from error
