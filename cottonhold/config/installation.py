"""Loads the configuration file of a standalone dispatcher.

The file is evaluated as a Jsonnet template, decoded to typed sections, checked, and converted to settings.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from cottonhold.config import schema, sections
from cottonhold.config.consistency import check_consistency
from cottonhold.config.decode import decode_section
from cottonhold.config.jsonnet_template import evaluate_template
from cottonhold.config.problems import FieldPath, Problem, ReportProblem, format_field_path
from cottonhold.config.referenced_files import ReferencedFiles
from cottonhold.config.relay import Config
from cottonhold.config.sections import ConsulSource, parse_address
from cottonhold.config.source_lines import find_field_lines
from cottonhold.discovery.consul.registration import RegistrationSettings
from cottonhold.discovery.event_stream import SOURCE
from cottonhold.discovery.model import Address, ConfiguredNames, Observation, SourceGuard, SourceReport
from cottonhold.membership.codec import KeyRing

INITIAL_SOURCE = "known"  # name of the source in an installation whose engines are only in the file


class UnusableConfigError(Exception):
    """A configuration can't be used; holds all of its problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True, frozen=True)
class Installation:
    """The configuration of a standalone dispatcher.

    Attributes:
        file: The typed sections of the file.
        config: The settings that standalone dispatchers share with those of the platform.
        sources: Name and guard of each source, in the order of their precedence.
        consul_sources: The sources in Consul.
        initial_engines: The engines in the file, which are used until a source has answered.
        registration: Settings of the dispatcher's own entry in Consul; None for no entry.
        registration_tls: TLS settings for the registration; None for plain HTTP.
        key_ring: Keys that authenticate datagrams between dispatchers.
        secrets: All tokens and keys, which must never be printed.
        announced_address: Address at which other instances reach this one; None if it is the address on
            which it listens.
    """

    file: schema.ConfigFile
    config: Config
    sources: tuple[tuple[str, SourceGuard], ...]
    consul_sources: tuple[ConsulSource, ...]
    initial_engines: tuple[Observation, ...]
    registration: RegistrationSettings | None
    registration_tls: schema.TlsConfig | None
    key_ring: KeyRing
    secrets: tuple[str, ...]
    announced_address: Address | None = None


def read_installation(path: Path) -> Installation:
    """Read and check a configuration file.

    Raises:
        UnusableConfigError: The file has problems; the error holds all of them, in the order of their lines.
    """
    values = evaluate_values(path)
    lines = find_field_lines(path.read_text(encoding="utf-8"))
    problems: list[Problem] = []

    def report(field: FieldPath, reason: str) -> None:
        # A missing field has no line, so the line of its section is reported.
        line = _find_line(field, lines, is_missing="is missing" in reason)
        problems.append(Problem(str(path), format_field_path(field), reason, line))

    file: schema.ConfigFile | None = decode_section(values, schema.ConfigFile, report)
    if file is not None:
        check_consistency(file, report)
        installation = _build_installation(file, path.resolve().parent, report)
        if not problems:
            return installation
    raise UnusableConfigError(sorted(problems, key=lambda p: (p.line == 0, p.line, p.path)))


def evaluate_values(path: Path) -> Any:
    """Return the evaluated values of a file before they are decoded. Raises UnusableConfigError."""
    values, problems = evaluate_template(path)
    if problems:
        raise UnusableConfigError(problems)
    return values


def _find_line(field: FieldPath, lines: dict[FieldPath, int], is_missing: bool) -> int:
    """Return the line of a field, or of the innermost section that lacks a missing one; 0 if unknown."""
    line = lines.get(field, 0)
    while is_missing and not line and len(field) > 1:
        field = field[:-1]
        line = lines.get(field, 0)
    return line


def _build_installation(file: schema.ConfigFile, folder: Path, report: ReportProblem) -> Installation:
    files = ReferencedFiles(folder, report)
    names = ConfiguredNames(file.zones, tuple(m.name for m in file.machine_types))
    consul_sources = {
        i: sections.consul_source(source, ("sources", i), files)
        for i, source in enumerate(file.sources)
        if isinstance(source, schema.ConsulConfig)
    }
    registration, registration_tls = None, None
    if file.registration is not None:
        registration = sections.registration_settings(file, file.registration, files)
        registration_tls = files.resolve_tls(file.registration.tls, ("register",))
    tokens = {source.watch_settings.token for source in consul_sources.values()}
    if registration is not None:
        tokens.add(registration.token)
    key_ring = sections.key_ring(file.membership, files, report)
    tokens.update(key.decode() for key in key_ring.keys.values())
    announce = file.peers.announce if file.peers is not None else ""
    return Installation(
        file=file,
        config=_dispatcher_config(file, names),
        sources=_guarded_sources(file, consul_sources),
        consul_sources=tuple(consul_sources.values()),
        initial_engines=tuple(sections.initial_observation(e, names) for e in file.initial_engines),
        registration=registration,
        registration_tls=registration_tls,
        key_ring=key_ring,
        secrets=tuple(sorted(tokens - {""})),
        announced_address=parse_address(announce) if announce else None,
    )


def _dispatcher_config(file: schema.ConfigFile, names: ConfiguredNames) -> Config:
    """Return the settings that standalone dispatchers share with those of the platform."""
    peers = file.peers
    streams = [source for source in file.sources if isinstance(source, schema.EventStreamConfig)]
    return Config(
        name=file.name,
        listen=parse_address(file.listen),
        seed=secrets.randbits(64) if file.seed is None else file.seed,
        max_descriptors=file.max_descriptors,
        memory_limit_bytes=None,
        admin_listen=None,
        peer_listen=parse_address(peers.listen) if peers else None,
        peers=tuple(parse_address(a) for a in peers.all) if peers else (),
        peers_all=None,
        event_stream=parse_address(streams[-1].address) if streams else None,
        event_offset=0,
        initial_reports=(),
        names=names,
        settings=sections.scheduler_settings(file),
        connections=sections.connection_settings(file.connections),
    )


def _guarded_sources(
    file: schema.ConfigFile, consul_sources: dict[int, ConsulSource]
) -> tuple[tuple[str, SourceGuard], ...]:
    """Return the name and guard of each source, in the order of their precedence."""
    guarded = [
        (source.name, consul_sources[i].guard)
        if isinstance(source, schema.ConsulConfig)
        else (SOURCE, SourceGuard(is_trusted=True))
        for i, source in enumerate(file.sources)
    ]
    return tuple(guarded) or ((INITIAL_SOURCE, SourceGuard(is_trusted=True)),)


def initial_report(installation: Installation) -> SourceReport:
    """Return the initial engines as the only report of an installation without sources."""
    return SourceReport(installation.sources[0][0], 0, installation.initial_engines, is_complete=True)


def changed_keys(old: schema.ConfigFile, new: schema.ConfigFile) -> list[str]:
    """Return the top-level keys whose values differ between two files."""
    return [
        field.encode_name
        for field in msgspec.structs.fields(schema.ConfigFile)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
