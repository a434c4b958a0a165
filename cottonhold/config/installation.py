"""The configuration of another installation: template -> values -> sections -> what the program's parts
take.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cottonhold.config import contradictions, schema
from cottonhold.config.decode import decode
from cottonhold.config.locate import lines_of
from cottonhold.config.problems import Problem, path_text
from cottonhold.config.relay import Config, ConnectionSettings
from cottonhold.config.template import evaluate
from cottonhold.discovery.consul.checks import Reading
from cottonhold.discovery.consul.registration import RegistrationSettings
from cottonhold.discovery.consul.watch import WatchSettings
from cottonhold.discovery.event_stream import SOURCE
from cottonhold.discovery.model import (
    Address,
    ConfiguredNames,
    Observation,
    ServiceStatus,
    SourceGuard,
    SourceReport,
)
from cottonhold.membership.codec import KeyRing
from cottonhold.scheduler.settings import (
    DeduplicationScope,
    Features,
    Idempotency,
    MachineType,
    QueryClass,
    Rules,
    Settings,
)

MOST_SECRET = 4096


class UnusableConfigError(Exception):
    """A configuration with problems, all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True, frozen=True)
class Watched:
    """A Consul source: what is watched, how its entries are read, and how its server is checked."""

    settings: WatchSettings
    reading: Reading
    guard: SourceGuard
    tls: schema.Tls | None


@dataclass(slots=True, frozen=True)
class Installation:
    """All that `serve` needs. `sources` are in the order of their precedence; `secrets` are never to be
    printed.
    """

    file: schema.File
    config: Config
    sources: tuple[tuple[str, SourceGuard], ...]
    watched: tuple[Watched, ...]
    known: tuple[Observation, ...]
    registration: RegistrationSettings | None
    registration_tls: schema.Tls | None
    keys: KeyRing
    secrets: tuple[str, ...]
    announce: Address | None = None  # where the other instances reach this one, if not where it listens


def read(path: Path) -> Installation:
    """The configuration in a file. Raises Unusable with every problem found."""
    value, problems = evaluate(path)
    if problems:
        raise UnusableConfigError(problems)
    lines = lines_of(path.read_text(encoding="utf-8"))

    def report(where: tuple[str | int, ...], why: str) -> None:
        line = lines.get(where, 0)
        above = where[:-1]
        while not line and above and "is missing" in why:  # what isn't there has the line of what lacks it
            line, above = lines.get(above, 0), above[:-1]
        problems.append(Problem(str(path), path_text(where), why, line))

    file: schema.File | None = decode(value, schema.File, report)
    if file is not None:
        contradictions.check(file, report)
        installation = _build(file, path.resolve().parent, report)
        if not problems:
            return installation
    raise UnusableConfigError(sorted(problems, key=lambda p: (p.line == 0, p.line, p.path)))


def values(path: Path) -> Any:
    """The evaluated values of a file, for `show`. Raises Unusable."""
    value, problems = evaluate(path)
    if problems:
        raise UnusableConfigError(problems)
    return value


def _build(file: schema.File, folder: Path, report: contradictions.Report) -> Installation:
    names = ConfiguredNames(file.zones, tuple(m.name for m in file.machine_types))
    watched: list[Watched] = []
    sources: list[tuple[str, SourceGuard]] = []
    bus: Address | None = None
    for i, source in enumerate(file.sources):
        if isinstance(source, schema.ConsulSource):
            watched.append(_watched(source, folder, ("sources", i), report))
            sources.append((source.name, watched[-1].guard))
        else:
            bus = _address(source.address)
            sources.append((SOURCE, SourceGuard(is_trusted=True)))
    if not sources:
        sources.append(("known", SourceGuard(is_trusted=True)))
    seed = secrets.randbits(64) if file.seed is None else file.seed
    peers = file.peers
    config = Config(
        name=file.name,
        listen=_address(file.listen),
        seed=seed,
        max_descriptors=file.sockets,
        admin_listen=None,
        peer_listen=_address(peers.listen) if peers else None,
        peers=tuple(_address(a) for a in peers.all) if peers else (),
        peers_all=None,
        event_stream=bus,
        event_offset=0,
        initial_reports=(),
        names=names,
        settings=_settings(file),
        connections=ConnectionSettings(file.links.idle_ms, file.links.connect_ms, file.links.streams),
    )
    registration, tls = None, None
    if file.register is not None:
        registration = _registration(file, file.register, folder, report)
        tls = _tls(file.register.tls, folder, ("register",), report)
    tokens = [w.settings.token for w in watched] + ([registration.token] if registration else [])
    keys = _keys(file.membership, folder, report)
    tokens += [key.decode() for key in keys.keys.values()]
    return Installation(
        file=file,
        config=config,
        sources=tuple(sources),
        watched=tuple(watched),
        known=tuple(_known(k, names) for k in file.known),
        registration=registration,
        registration_tls=tls,
        keys=keys,
        secrets=tuple(sorted({token for token in tokens if token})),
        announce=_address(peers.announce) if peers and peers.announce else None,
    )


def _watched(
    source: schema.ConsulSource, folder: Path, path: tuple[str | int, ...], report: contradictions.Report
) -> Watched:
    guard = source.guard
    return Watched(
        settings=WatchSettings(
            name=source.name,
            addresses=tuple(_address(a) for a in source.addresses),
            service=source.service,
            datacenter=source.datacenter,
            filter=source.filter,
            tag=source.tag,
            consistency=source.consistency,
            token=source.token or _secret(source.token_file, folder, (*path, "token_file"), report),
            wait=source.wait_ms,
            first=source.first_byte_ms,
            rest=source.rest_ms,
            pause=source.pause_ms,
            pause_most=source.pause_most_ms,
            gap=source.gap_ms,
            stale_most=source.stale_most_ms,
            most_bytes=source.most_bytes,
        ),
        reading=Reading(
            warning=ServiceStatus(source.warning),
            unchecked=ServiceStatus(source.unchecked),
            by_node=source.id_from == "node/service",
            zone=source.zone,
        ),
        guard=SourceGuard(
            min_in_service=guard.floor,
            min_quiet_ms=guard.quiet_ms,
            max_quiet_ms=guard.quiet_most_ms,
            flap_half_life_ms=guard.flap_half_ms,
            jitter=guard.jitter,
        ),
        tls=_tls(source.tls, folder, path, report),
    )


def _registration(
    file: schema.File, register: schema.Register, folder: Path, report: contradictions.Report
) -> RegistrationSettings:
    return RegistrationSettings(
        agent=_address(register.agent),
        id=register.id or file.name,
        service=register.service,
        address=_address(register.address or file.listen),
        tags=register.tags,
        meta=register.meta,
        token=register.token or _secret(register.token_file, folder, ("register", "token_file"), report),
        ttl=register.ttl_ms,
        lag=register.lag_ms,
        forget=register.forget_ms,
    )


def _keys(section: schema.Membership | None, folder: Path, report: contradictions.Report) -> KeyRing:
    """The keys of the datagrams; the one sent with is the first, unless another is named."""
    keys = {}
    for i, key in enumerate(section.keys if section else ()):
        path = ("membership", "keys", i, "secret_file")
        secret = key.secret or _secret(key.secret_file, folder, path, report)
        if not 8 <= len(secret.encode()) <= 64:
            report(("membership", "keys", i), "has a secret of fewer than 8 or more than 64 bytes")
        keys[key.number] = secret.encode()
    sending = section.send_key if section and section.send_key else next(iter(keys), 0)
    return KeyRing(keys, sending)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


def _known(known: schema.Known, names: ConfiguredNames) -> Observation:
    return Observation(
        known.id,
        ServiceStatus.IN_SERVICE,
        "known from the configuration",
        _address(known.address),
        zone=names.zone_index(known.zone),
        machine_type=names.machine_type_index(known.machine_type),
        size=known.size,
    )


def _secret(name: str, folder: Path, path: tuple[str | int, ...], report: contradictions.Report) -> str:
    if not name:
        return ""
    try:
        with (folder / name).open(encoding="ascii") as file:
            text = file.read(MOST_SECRET).strip()
    except (OSError, UnicodeDecodeError) as error:
        report(path, f"can't be read: {getattr(error, 'strerror', None) or 'not plain text'}")
        return ""
    if not text or any(ord(c) < 33 for c in text):
        report(path, "holds no token, or more than one word")
    return text


def _tls(
    tls: schema.Tls | None, folder: Path, path: tuple[str | int, ...], report: contradictions.Report
) -> schema.Tls | None:
    """The section with whole paths; files that aren't there are problems now, not at the first connection."""
    if tls is None:
        return None
    found = {}
    for field in ("ca_file", "cert_file", "key_file"):
        name = getattr(tls, field)
        found[field] = str(folder / name) if name else ""
        if name and not (folder / name).is_file():
            report((*path, "tls", field), f"there is no file '{name}'")
    return schema.Tls(**found, server_name=tls.server_name)


EFFECTS = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}


def _settings(file: schema.File) -> Settings:
    """The decision module's settings."""
    types = [m.name for m in file.machine_types]
    permits, rules = file.permits, file.rules
    return Settings(
        classes=tuple(
            QueryClass(
                name=c.name,
                latency_objective_ms=c.aim_ms,
                deadline_ms=c.deadline_ms,
                utility=c.worth,
                late_utility=c.late_worth,
                latency_objective_stretch=c.aim_stretch,
                idempotency=EFFECTS[c.effect],
                deduplication_scope=DeduplicationScope(c.group),
                deduplication_window_ms=c.window_ms,
                is_ordered_by_key=c.in_order,
                zones=None
                if c.zones is None
                else tuple(file.zones.index(z) for z in c.zones if z in file.zones),
                machine_types=None
                if c.machine_types is None
                else tuple(types.index(m) for m in c.machine_types if m in types),
                threads=c.threads,
                is_load=c.loads,
                waits_for_loads=c.waits,
            )
            for c in file.classes
        ),
        machine_types=tuple(MachineType(m.cores, m.memory_mb) for m in file.machine_types)
        or (MachineType(),),
        features=Features(
            can_cancel=permits.cancel,
            has_priorities=permits.priorities,
            has_health_checks=permits.probes,
            has_peer_messages=file.peers is not None,
            has_retry_after=permits.cooldown_most_ms > 0,
            max_retry_after_ms=permits.cooldown_most_ms,
            max_attempts=permits.attempts,
        ),
        rules=Rules(
            answer_slack_ms=rules.answer_slack_ms,
            drain_grace_ms=rules.drain_grace_ms,
            cold_capacity_share=rules.cold_from,
            warm_up_ms=rules.warm_within_ms,
            overload_factor=rules.overload_factor,
            overload_window_ms=rules.tip_after_ms,
            key_quiet_ms=rules.key_quiet_ms,
        ),
        gateway_index=file.number,
        gateway_count=file.dispatchers,
        load_report_fields=file.report_fields,
        reports_actual_work=True,
    )


def known_report(installation: Installation) -> SourceReport:
    """The known engines as the one answer of an installation without sources."""
    return SourceReport(installation.sources[0][0], 0, installation.known, is_complete=True)
