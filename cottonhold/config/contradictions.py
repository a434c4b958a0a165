"""What is wrong with a file whose fields are each right: contradictions, and what would break a rule.
Pure.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence

from cottonhold.config.schema import Class, ConsulSource, File, Fleet, Membership, Peers, Register
from cottonhold.fleet.session_affinity.membership_table import MAX_MEMBERS
from cottonhold.fleet.zone_failover.messages import MAX_ZONES, zone_number

Path = tuple[str | int, ...]
Report = Callable[[Path, str], None]


def check(file: File, report: Report) -> None:
    """Tell `report` of each contradiction with the path of the field that would have to change."""
    for i, kind in enumerate(file.classes):
        _check_class(("classes", i), kind, file, report)
    lists: list[tuple[str, Sequence[str]]] = [
        ("classes", [c.name for c in file.classes]),
        ("machine_types", [m.name for m in file.machine_types]),
        ("sources", [s.name for s in file.sources]),
        ("known", [k.id for k in file.known]),
        ("zones", file.zones),
    ]
    for field, names in lists:
        _check_twice(field, names, report)
    _check_places(file, report)
    _check_sources(file, report)
    if file.number >= file.dispatchers:
        report(("number",), f"is {file.number}, but numbers count from 0 and there are {file.dispatchers}")
    if file.peers is not None:
        if len(file.peers.all) != file.dispatchers:
            report(("peers", "all"), f"names {len(file.peers.all)} of {file.dispatchers} dispatchers")
        elif file.number < file.dispatchers and file.peers.all[file.number] != announced(file.peers):
            field = "announce" if file.peers.announce else "listen"
            report(("peers", field), f"isn't peers.all[{file.number}], the address of this dispatcher")
        _check_homes(file.peers, file, report)
    if file.state_dir and file.membership is None and file.dispatchers > 1:
        report(("state_dir",), "needs membership: the others have to be asked what they remember")
    if file.metrics and not file.status_socket:
        report(("metrics",), "needs status_socket, where they are asked for")
    if file.register is not None:
        _check_register(file.register, report)
    if file.membership is not None:
        _check_membership(file.membership, file, report)
    if file.fleet is not None:
        _check_fleet(file.fleet, file, report)


def _check_homes(peers: Peers, file: File, report: Report) -> None:
    if peers.zones and len(peers.zones) != len(peers.all):
        report(("peers", "zones"), f"names {len(peers.zones)} zones for {len(peers.all)} dispatchers")
    for i, zone in enumerate(peers.zones):
        if zone not in file.zones:
            report(("peers", "zones", i), f"'{zone}' isn't in zones")


def announced(peers: Peers) -> str:
    """Where the others reach this dispatcher."""
    return peers.announce or peers.listen


def _check_class(path: Path, kind: Class, file: File, report: Report) -> None:
    if kind.deadline_ms < kind.aim_ms:
        report((*path, "deadline_ms"), f"{kind.deadline_ms:g} is shorter than aim_ms, {kind.aim_ms:g}")
    if kind.loads and kind.effect == "safe":
        report((*path, "effect"), "a load must not be 'safe': it would be sent again though it may have run")
    if kind.effect == "keyed" and not kind.window_ms:
        report((*path, "window_ms"), "is missing: a keyed class repeats only within a window")
    if kind.effect != "keyed" and kind.window_ms:
        report((*path, "window_ms"), f"has no meaning where effect is '{kind.effect}'")
    if kind.again == "served" and not file.state_dir:
        report((*path, "again"), "needs state_dir: without it nobody knows what has run")
    for zone in kind.zones or ():
        if zone not in file.zones:
            report((*path, "zones"), f"'{zone}' isn't in zones")
    for name in kind.machine_types or ():
        if name not in [m.name for m in file.machine_types]:
            report((*path, "machine_types"), f"'{name}' isn't in machine_types")


def _check_twice(field: str, names: Iterable[str], report: Report) -> None:
    first: dict[str, int] = {}
    for i, name in enumerate(names):
        if name in first:
            report((field, i), f"'{name}' is there already, as {field}[{first[name]}]")
        first.setdefault(name, i)


def _check_places(file: File, report: Report) -> None:
    places: list[tuple[Path, str]] = [(("listen",), file.listen)]
    places += [(("known", i, "address"), k.address) for i, k in enumerate(file.known)]
    for i, source in enumerate(file.sources):
        if isinstance(source, ConsulSource):
            places += [(("sources", i, "addresses", j), a) for j, a in enumerate(source.addresses)]
        else:
            places.append((("sources", i, "address"), source.address))
    if file.peers is not None:
        places += [(("peers", "all", i), a) for i, a in enumerate(file.peers.all)]
        if file.peers.announce:
            places.append((("peers", "announce"), file.peers.announce))
    if file.register is not None:
        places.append((("register", "agent"), file.register.agent))
    for path, text in places:
        if not 0 < int(text.rpartition(":")[2]) < 65536:
            report(path, f"'{text}' names no port from 1 to 65535")
        elif path != ("listen",) and text == file.listen:
            report(path, f"'{text}' is where this dispatcher itself listens")


def _check_sources(file: File, report: Report) -> None:
    if not file.sources and not file.known:
        report(("sources",), "no source and no known engine: nothing could ever be served")
    watched: dict[tuple[str, ...], int] = {}
    buses = [i for i, s in enumerate(file.sources) if not isinstance(s, ConsulSource)]
    for i in buses[1:]:
        report(("sources", i), f"only one event bus can be followed; sources[{buses[0]}] is one")
    for i, source in enumerate(file.sources):
        if not isinstance(source, ConsulSource):
            continue
        path: Path = ("sources", i)
        _check_secret(path, source.token, source.token_file, report)
        if source.zone and source.zone not in file.zones:
            report((*path, "zone"), f"'{source.zone}' isn't in zones")
        if source.guard.quiet_most_ms < source.guard.quiet_ms:
            report((*path, "guard", "quiet_most_ms"), "is shorter than quiet_ms")
        if source.pause_most_ms < source.pause_ms:
            report((*path, "pause_most_ms"), "is shorter than pause_ms")
        if source.tls is not None and source.tls.key_file and not source.tls.cert_file:
            report((*path, "tls", "cert_file"), "is missing, though there is a key_file")
        same = (source.service, source.datacenter, source.tag, source.filter, *sorted(source.addresses))
        if same in watched:
            report(path, f"watches the same as sources[{watched[same]}]")
        watched.setdefault(same, i)


def _check_membership(membership: Membership, file: File, report: Report) -> None:
    path: Path = ("membership",)
    if file.peers is None:
        report(path, "needs peers: its datagrams go to peers.listen and peers.all")
    elif not re.fullmatch(r"[0-9.]+:[0-9]+", announced(file.peers)):
        field = "announce" if file.peers.announce else "listen"
        report(("peers", field), "must be an IPv4 address where membership is on: others are told of it")
    if len(file.name.encode()) > 32:
        report(("name",), "is longer than the 32 bytes that a member's name may have")
    if 2 * membership.timeout_ms > membership.period_ms:
        report((*path, "timeout_ms"), "must be half of period_ms at most, so that an indirect ping fits in")
    numbers = [str(key.number) for key in membership.keys]
    if len(set(numbers)) < len(numbers):
        report((*path, "keys"), f"use a number twice: {', '.join(numbers)}")
    if membership.send_key and str(membership.send_key) not in numbers:
        report((*path, "send_key"), f"{membership.send_key} is none of the keys")
    for i, key in enumerate(membership.keys):
        if bool(key.secret) == bool(key.secret_file):
            report((*path, "keys", i), "needs either secret or secret_file")
    if membership.voters and file.name not in membership.voters and len(membership.voters) < 3:
        report((*path, "voters"), "fewer than three voters bear no loss of one")


def _check_fleet(fleet: Fleet, file: File, report: Report) -> None:
    if file.membership is None:
        report(("fleet",), "needs membership: its words travel in the same datagrams")
    if len(file.zones) < 2:
        report(("zones",), "names fewer than two: the fleet has nowhere to go")
    if fleet.outlook and not (file.peers is not None and file.peers.zones):
        report(("fleet", "outlook"), "needs peers.zones: whose clients are where has to be known")
    if fleet.outlook and not fleet.price:
        report(("fleet", "outlook"), "needs price: what requests are worth is told for it")
    if fleet.pins:
        _check_pins(file, report)
    if len(file.zones) > MAX_ZONES:
        report(("zones",), f"names {len(file.zones)}; a datagram has room for {MAX_ZONES}")
    numbers: dict[int, str] = {}
    for i, zone in enumerate(file.zones):
        other = numbers.setdefault(zone_number(zone), zone)
        if other != zone:
            report(("zones", i), f"'{zone}' has the number of '{other}' in datagrams: rename one")
    if fleet.hold_most_ms < fleet.hold_ms:
        report(("fleet", "hold_ms"), f"is longer than hold_most_ms, {fleet.hold_most_ms:g}")


def _check_pins(file: File, report: Report) -> None:
    where = ("fleet", "pins")
    if not file.state_dir:
        report(where, "needs state_dir: who owns a key must outlast a power loss")
    if file.membership is None or not file.membership.voters:
        report(where, "needs membership.voters: a majority of them says who owns a key")
    if file.dispatchers > MAX_MEMBERS:
        report(where, f"has room for {MAX_MEMBERS} dispatchers, not {file.dispatchers}")


def _check_register(register: Register, report: Report) -> None:
    _check_secret(("register",), register.token, register.token_file, report)
    if register.lag_ms >= register.ttl_ms:
        report(
            ("register", "lag_ms"), "isn't shorter than ttl_ms: the check would lapse before it could tell"
        )


def _check_secret(path: Path, token: str, token_file: str, report: Report) -> None:
    if token and token_file:
        report((*path, "token_file"), "is given beside token: which one counts?")
    if any(ord(c) < 33 or ord(c) > 126 for c in token):
        report((*path, "token"), "holds a blank or a sign that no header may hold")
