"""Checks that the fields of a configuration file don't contradict each other. Does no I/O.
The types and ranges of single fields are checked earlier, by `config.decode`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from cottonhold.config.problems import FieldPath, ReportProblem
from cottonhold.config.schema import (
    ConfigFile,
    ConsulConfig,
    FleetConfig,
    MembershipConfig,
    PeersConfig,
    QueryClassConfig,
    RegistrationConfig,
)
from cottonhold.fleet.session_affinity.membership_table import MAX_MEMBERS
from cottonhold.fleet.zone_failover.messages import MAX_ZONES, zone_number

MAX_MEMBER_NAME_BYTES = 32
MIN_VOTERS = 3  # with fewer, no majority remains after the loss of one voter


def check_consistency(file: ConfigFile, report: ReportProblem) -> None:
    """Report each contradiction with the path of the field that has to change."""
    for i, section in enumerate(file.classes):
        _check_class(("classes", i), section, file, report)
    _check_unique_names(file, report)
    _check_addresses(file, report)
    _check_sources(file, report)
    if file.dispatcher_index >= file.dispatcher_count:
        reason = f"is {file.dispatcher_index}, but numbers count from 0 and there are {file.dispatcher_count}"
        report(("number",), reason)
    if file.peers is not None:
        _check_peers(file.peers, file, report)
    if file.state_dir and file.membership is None and file.dispatcher_count > 1:
        report(("state_dir",), "needs membership: the others have to be asked which loads they recorded")
    if file.has_metrics and not file.status_socket:
        report(("metrics",), "needs status_socket, which serves the metrics")
    if file.registration is not None:
        _check_registration(file.registration, report)
    if file.membership is not None:
        _check_membership(file.membership, file, report)
    if file.fleet is not None:
        _check_fleet(file.fleet, file, report)


def _check_peers(peers: PeersConfig, file: ConfigFile, report: ReportProblem) -> None:
    index, count = file.dispatcher_index, file.dispatcher_count
    if len(peers.all) != count:
        report(("peers", "all"), f"names {len(peers.all)} of {count} dispatchers")
    elif index < count and peers.all[index] != announced_address(peers):
        field = "announce" if peers.announce else "listen"
        report(("peers", field), f"isn't peers.all[{index}], the address of this dispatcher")
    if peers.zones and len(peers.zones) != len(peers.all):
        report(("peers", "zones"), f"names {len(peers.zones)} zones for {len(peers.all)} dispatchers")
    for i, zone in enumerate(peers.zones):
        if zone not in file.zones:
            report(("peers", "zones", i), f"'{zone}' isn't in zones")


def announced_address(peers: PeersConfig) -> str:
    """Return the address at which the other dispatchers reach this one."""
    return peers.announce or peers.listen


def _check_class(path: FieldPath, section: QueryClassConfig, file: ConfigFile, report: ReportProblem) -> None:
    if section.deadline_ms < section.latency_objective_ms:
        report(
            (*path, "deadline_ms"),
            f"{section.deadline_ms:g} is shorter than aim_ms, {section.latency_objective_ms:g}",
        )
    if section.is_load and section.idempotency == "safe":
        report((*path, "effect"), "a load must not be 'safe': it would be sent again though it may have run")
    if section.idempotency == "keyed" and not section.deduplication_window_ms:
        report((*path, "window_ms"), "is missing: a keyed class repeats queries only within this window")
    if section.idempotency != "keyed" and section.deduplication_window_ms:
        report((*path, "window_ms"), f"has no meaning where effect is '{section.idempotency}'")
    if section.completed_retry_answer == "served" and not file.state_dir:
        report((*path, "again"), "needs state_dir, which holds the record of completed queries")
    for zone in section.zones or ():
        if zone not in file.zones:
            report((*path, "zones"), f"'{zone}' isn't in zones")
    for name in section.machine_types or ():
        if name not in [m.name for m in file.machine_types]:
            report((*path, "machine_types"), f"'{name}' isn't in machine_types")


def _check_unique_names(file: ConfigFile, report: ReportProblem) -> None:
    lists: dict[str, Sequence[str]] = {
        "classes": [section.name for section in file.classes],
        "machine_types": [section.name for section in file.machine_types],
        "sources": [section.name for section in file.sources],
        "known": [engine.id for engine in file.initial_engines],
        "zones": file.zones,
    }
    for key, names in lists.items():
        first_positions: dict[str, int] = {}
        for i, name in enumerate(names):
            first = first_positions.setdefault(name, i)
            if first != i:
                report((key, i), f"'{name}' is there already, as {key}[{first}]")


def _check_addresses(file: ConfigFile, report: ReportProblem) -> None:
    for path, address in _addresses(file):
        if not 0 < int(address.rpartition(":")[2]) < 65536:
            report(path, f"'{address}' names no port from 1 to 65535")
        elif path != ("listen",) and address == file.listen:
            report(path, f"'{address}' is where this dispatcher itself listens")


def _addresses(file: ConfigFile) -> Iterable[tuple[FieldPath, str]]:
    """Yield the addresses to check with the paths of their fields; peers.listen may have any port."""
    yield ("listen",), file.listen
    for i, engine in enumerate(file.initial_engines):
        yield ("known", i, "address"), engine.address
    for i, source in enumerate(file.sources):
        if isinstance(source, ConsulConfig):
            for j, agent in enumerate(source.addresses):
                yield ("sources", i, "addresses", j), agent
        else:
            yield ("sources", i, "address"), source.address
    if file.peers is not None:
        for i, peer in enumerate(file.peers.all):
            yield ("peers", "all", i), peer
        if file.peers.announce:
            yield ("peers", "announce"), file.peers.announce
    if file.registration is not None:
        yield ("register", "agent"), file.registration.agent


def _check_sources(file: ConfigFile, report: ReportProblem) -> None:
    if not file.sources and not file.initial_engines:
        report(("sources",), "no source and no known engine: no query could be served")
    event_streams = [i for i, source in enumerate(file.sources) if not isinstance(source, ConsulConfig)]
    for i in event_streams[1:]:
        report(("sources", i), f"only one event bus is supported; sources[{event_streams[0]}] is one already")
    first_positions: dict[tuple[str, ...], int] = {}
    for i, source in enumerate(file.sources):
        if not isinstance(source, ConsulConfig):
            continue
        _check_consul_source(("sources", i), source, file, report)
        watched = (source.service, source.datacenter, source.tag, source.filter, *sorted(source.addresses))
        first = first_positions.setdefault(watched, i)
        if first != i:
            report(("sources", i), f"watches the same service as sources[{first}]")


def _check_consul_source(
    path: FieldPath, source: ConsulConfig, file: ConfigFile, report: ReportProblem
) -> None:
    _check_token(path, source.token, source.token_file, report)
    if source.zone and source.zone not in file.zones:
        report((*path, "zone"), f"'{source.zone}' isn't in zones")
    if source.guard.max_quiet_ms < source.guard.min_quiet_ms:
        report((*path, "guard", "quiet_most_ms"), "is shorter than quiet_ms")
    if source.max_backoff_ms < source.min_backoff_ms:
        report((*path, "pause_most_ms"), "is shorter than pause_ms")
    if source.tls is not None and source.tls.key_file and not source.tls.cert_file:
        report((*path, "tls", "cert_file"), "is missing, though there is a key_file")


def _check_membership(membership: MembershipConfig, file: ConfigFile, report: ReportProblem) -> None:
    path: FieldPath = ("membership",)
    if file.peers is None:
        report(path, "needs peers: its datagrams are sent between the addresses in peers.all")
    elif not re.fullmatch(r"[0-9.]+:[0-9]+", announced_address(file.peers)):
        field = "announce" if file.peers.announce else "listen"
        report(("peers", field), "must be an IPv4 address if membership is enabled: it is sent to others")
    if len(file.name.encode()) > MAX_MEMBER_NAME_BYTES:
        report(("name",), f"is longer than the {MAX_MEMBER_NAME_BYTES} bytes that a member's name may have")
    if 2 * membership.ping_timeout_ms > membership.ping_interval_ms:
        report((*path, "timeout_ms"), "must be half of period_ms at most: the rest is for an indirect ping")
    key_ids = [key.key_id for key in membership.keys]
    if len(set(key_ids)) < len(key_ids):
        report((*path, "keys"), f"contain a number twice: {', '.join(map(str, key_ids))}")
    if membership.send_key_id and membership.send_key_id not in key_ids:
        report((*path, "send_key"), f"{membership.send_key_id} is none of the keys")
    for i, key in enumerate(membership.keys):
        if bool(key.secret) == bool(key.secret_file):
            report((*path, "keys", i), "needs either secret or secret_file")
    if membership.voters and file.name not in membership.voters and len(membership.voters) < MIN_VOTERS:
        report((*path, "voters"), "has fewer than three: no majority would remain after the loss of one")


def _check_fleet(fleet: FleetConfig, file: ConfigFile, report: ReportProblem) -> None:
    if file.membership is None:
        report(("fleet",), "needs membership: its messages are sent in the same datagrams")
    if len(file.zones) < 2:
        report(("zones",), "names fewer than two: an evacuation needs another zone")
    if fleet.estimates_failover_cost and not (file.peers is not None and file.peers.zones):
        report(("fleet", "outlook"), "needs peers.zones: the projection uses the zone of each dispatcher")
    if fleet.estimates_failover_cost and not fleet.sheds_load:
        report(("fleet", "outlook"), "needs price: the projection uses the utilities that it reports")
    if fleet.has_session_affinity:
        _check_session_affinity(file, report)
    if len(file.zones) > MAX_ZONES:
        report(("zones",), f"names {len(file.zones)}; a datagram has room for {MAX_ZONES}")
    _check_zone_numbers(file, report)
    if fleet.max_hold_down_ms < fleet.hold_down_ms:
        report(("fleet", "hold_ms"), f"is longer than hold_most_ms, {fleet.max_hold_down_ms:g}")


def _check_zone_numbers(file: ConfigFile, report: ReportProblem) -> None:
    """Report zones whose numbers collide; datagrams carry a hash of the name in place of the name."""
    first_zones: dict[int, str] = {}
    for i, zone in enumerate(file.zones):
        first = first_zones.setdefault(zone_number(zone), zone)
        if first != zone:
            report(("zones", i), f"'{zone}' has the same number as '{first}' in datagrams: rename one")


def _check_session_affinity(file: ConfigFile, report: ReportProblem) -> None:
    path = ("fleet", "pins")
    if not file.state_dir:
        report(path, "needs state_dir: the owners of keys must be known after a power loss")
    if file.membership is None or not file.membership.voters:
        report(path, "needs membership.voters: a majority of them decides who owns a key")
    if file.dispatcher_count > MAX_MEMBERS:
        report(path, f"has room for {MAX_MEMBERS} dispatchers, not {file.dispatcher_count}")


def _check_registration(registration: RegistrationConfig, report: ReportProblem) -> None:
    _check_token(("register",), registration.token, registration.token_file, report)
    if registration.max_loop_lag_ms >= registration.ttl_ms:
        report(
            ("register", "lag_ms"), "isn't shorter than ttl_ms: the check would expire before a lag is found"
        )


def _check_token(path: FieldPath, token: str, token_file: str, report: ReportProblem) -> None:
    if token and token_file:
        report((*path, "token_file"), "is given beside token: only one of them is allowed")
    if any(not 33 <= ord(c) <= 126 for c in token):
        report((*path, "token"), "holds a blank or a character that HTTP headers can't contain")
