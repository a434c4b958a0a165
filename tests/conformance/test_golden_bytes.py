"""The exact bytes of each message and record that a codec writes, against the recorded table.

A rename inside the program changes the calls here and never `golden.json`: that table is what instances of
other versions, folders on disk, engines and clients rely on.
"""

from __future__ import annotations

import contextlib
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from cottonhold.discovery.model import Address, ConfiguredNames, EngineListChange
from cottonhold.fleet import engine_drain, engine_drain_messages
from cottonhold.fleet.admission import demand_messages
from cottonhold.fleet.admission.threshold import ReportedDemand
from cottonhold.fleet.consensus import acceptor, messages
from cottonhold.fleet.consensus.actions import PersistState
from cottonhold.fleet.consensus.messages import AcceptedState, Ballot
from cottonhold.fleet.failover_cost import messages as site_messages
from cottonhold.fleet.recovery import cached_engines, warmup_messages
from cottonhold.fleet.recovery import messages as recovery_messages
from cottonhold.fleet.request_forwarding import messages as forwarding
from cottonhold.fleet.request_forwarding import request_codec
from cottonhold.fleet.rolling_replacement import plan, plan_codec
from cottonhold.fleet.session_affinity import membership_table
from cottonhold.fleet.session_affinity import messages as affinity_messages
from cottonhold.fleet.session_affinity.membership_lease import MembershipLease
from cottonhold.fleet.session_affinity.ownership import KeyOwnership, OwnershipSettings
from cottonhold.fleet.zone_failover import messages as zone_messages
from cottonhold.fleet.zone_failover import operator_overrides, quota_lending
from cottonhold.fleet_adapters import membership as membership_adapter
from cottonhold.frontend.connection_ids import ConnectionIdRange
from cottonhold.membership import codec
from cottonhold.membership import leases as membership_leases
from cottonhold.membership.codec import Codec, KeyRing, MemberStatus, MessageKind, Update, encode_update
from cottonhold.node import sibling_processes
from cottonhold.scheduler import peer_messages
from cottonhold.scheduler.engine_state import EngineView, RemainingWork
from cottonhold.scheduler.events import Engine
from cottonhold.store import boot_file, records
from cottonhold.store.ledger import Ledger
from tests.conformance.golden import RECORD
from tests.support.member_network import Net

MEMBER, INCARNATION, VERSION = 0x0102030405060708, 0x80000011, 0x22
BALLOT = Ballot(7, 0x1122334455667788)
STATE = AcceptedState(Ballot(6, 0x99), 5, b"a value", (0xAA, 3))
IDENTITY = bytes(range(16))
HEAD = forwarding.RequestHeader(0x1234567800000009, 0x1234567, 0x55, 1.25, 987.654, 8)
KEYS = KeyRing({3: b"a shared key"}, 3)


def datagram(kind: MessageKind, sequence: int, updates: bytes = b"", keys: KeyRing | None = None) -> bytes:
    """Return the first datagram of a sender's incarnation."""
    message = codec.Message(kind, MEMBER, sequence, 0x42)
    return Codec(MEMBER, INCARNATION, keys).encode(message, updates)


def updates() -> bytes:
    """Return one membership update of each form."""
    return b"".join(
        (
            encode_update(Update(MemberStatus.ALIVE, 1, 2, 0, Address("10.1.2.3", 4500), "n1")),
            encode_update(Update(MemberStatus.ALIVE, 2, 3, 0, Address("fd00::7", 4501), "n2")),
            encode_update(Update(MemberStatus.SUSPECT, 3, 4, 5)),
            encode_update(Update(MemberStatus.DEAD, 4, 5, 6)),
            encode_update(Update(MemberStatus.LEFT, 5, 6, 7)),
        )
    )


def zone_report_bytes() -> bytes:
    """Return the zone reports of two instances."""
    failing = zone_messages.ZoneReport(zone_messages.Vote.EVACUATE, 1, 2, 300, 0.25, True, True)
    healthy = zone_messages.ZoneReport(zone_messages.Vote.SERVE, 9, 0, 0, 1.0)
    first = zone_messages.MemberReport(MEMBER, INCARNATION, VERSION, 70_000, 0x33, {9: failing, 4: healthy})
    return zone_messages.encode_zone_reports([first, zone_messages.MemberReport(2, 3, 4, 5, 6, {})], 200)


def zone_overrides() -> bytes:
    """Return operators' overrides of zones."""
    return operator_overrides.encode_overrides(
        1000.0,
        [
            operator_overrides.Override(
                9, operator_overrides.OverrideMode.EVACUATE, 3, MEMBER, 61_000.5, "ana", "fire"
            ),
            operator_overrides.Override(
                4, operator_overrides.OverrideMode.RETURN, 2, 7, 0.0, "\u0101" * 40, "w" * 90
            ),
            operator_overrides.Override(5, operator_overrides.OverrideMode.CLEAR, 1, 7, 2000.0, "", ""),
        ],
        200,
    )


def demand_report_bytes() -> bytes:
    """Return the demand reports of two instances."""
    busy = ReportedDemand({40: 3.25, 41: 0.5, 7: 0.001, 120: 700.0}, 1.25, 300.0, 0.5)
    return demand_messages.encode_demand_reports(
        [
            demand_messages.DemandReport(MEMBER, INCARNATION, VERSION, busy),
            demand_messages.DemandReport(2, 3, 4, ReportedDemand({})),
        ]
    )


def presence() -> bytes:
    """Return an instance's presence message of the recovery survey."""
    pairs = (
        recovery_messages.PeerState(1, 5, 0x77, 123_456.7, 999.0, True, False),
        recovery_messages.PeerState(2, 0),
        recovery_messages.PeerState(3, 6, 1, 2.0, 0.0, False, True),
    )
    memory = recovery_messages.MemoryState.STALE
    return recovery_messages.encode(
        recovery_messages.Presence(9, 12, 11 << 32 | 5, INCARNATION, 4321.9, memory, True, pairs)
    )


def warmups() -> bytes:
    """Return the warm-up reports of two instances on cold engines."""
    rows = {
        warmup_messages.engine_number("e1"): warmup_messages.EngineObservation(1.5, 0.25, 0.5, 1250.0),
        warmup_messages.engine_number("e2"): warmup_messages.EngineObservation(0.0, 0.0, 1.0, 0.0),
    }
    report = warmup_messages.WarmupReport(MEMBER, INCARNATION, VERSION, rows)
    return warmup_messages.encode_warmup_reports([report, warmup_messages.WarmupReport(2, 3, 4, {})])


def site() -> site_messages.SiteReport:
    """Return a site report with all fields."""
    zones = {
        9: site_messages.ZoneObservation(
            0.4, 0.75, site_messages.filter_bits(5) | site_messages.filter_bits(77)
        ),
        4: site_messages.ZoneObservation(31.0, 0.25, 0),
    }
    sets = {site_messages.data_set_number("7"): 0.6, site_messages.data_set_number("8"): 0.3999}
    return site_messages.SiteReport(
        MEMBER, INCARNATION, VERSION, 9, 187.5, {40: 3.25, 41: 0.5}, sets, zones, 1.75
    )


def sites() -> bytes:
    """Return two site reports, one of them empty."""
    return site_messages.encode_site_reports([site(), site_messages.SiteReport(2, 3, 4, 5)])


def register_message(kind: int, epochs: tuple[int, ...] = ()) -> bytes:
    """Return a message about a register."""
    return messages.encode_message(messages.RegisterMessage(kind, "swap/n1", BALLOT, STATE, epochs))


def affinity_table() -> bytes:
    """Return the membership table after some changes."""
    table = membership_table.MemberList()
    for member, is_admitted in ((MEMBER, True), (2, True), (3, True), (2, False)):
        table = table.with_change(member, is_admitted)
    return membership_table.encode_member_list(table)


def drain_report() -> bytes:
    """Return a dispatcher's drain report."""
    rows = {
        7: engine_drain_messages.DrainedEngineRow(3, 70_000, True),
        8: engine_drain_messages.DrainedEngineRow(4, 0),
    }
    return engine_drain_messages.encode_report(
        engine_drain_messages.DrainReport(MEMBER, INCARNATION, VERSION, rows)
    )


def forwarded_request(named: bool) -> bytes:
    """Return a forwarded request, with or without tenant and idempotency key."""
    names = ("acme", "key-1") if named else ("", "")
    return request_codec.encode_request(
        request_codec.ForwardedRequest("r1", "load", "k1", 250.5, 64.0, -1, True, b"INSERT 1", 77, *names)
    )


def plan_register() -> bytes:
    """Return the register of a replacement plan."""
    state = plan.PlanState.SUBMITTING
    return plan_codec.encode_plan(
        plan.ReplacementPlan(state, 5, 4, 3, MEMBER, 2, 1, "n1", "ana", (MEMBER, 9))
    )


def machine_register() -> bytes:
    """Return the register of one machine."""
    return plan_codec.encode_record(
        plan.MachineRecord(
            plan.ReplacementStep.DRAINING,
            5,
            epoch=4,
            driver=MEMBER,
            duration_tenths=33,
            flags=plan.MachineFlag.ENGINE | plan.MachineFlag.WAS_AWAY,
            zone=9,
            cores_tenths=80,
            requested_cores_tenths=160,
            arrived_cores_tenths=150,
            incarnation=INCARNATION,
            reason=plan.StepReason.TIMED_OUT,
            replacement="n1b",
            next_machine="n2",
            requested_by="ana",
        )
    )


def peer_work() -> bytes:
    """Return a gateway's message to its peers about its work on two engines."""
    busy = EngineView("e1", Engine("e1"), 8.0, 16_000.0, id_hash=0x01020304)
    busy.threads_in_flight, busy.memory_in_flight_mb, busy.queued_thread_ms = 300, 1234.5, 5678.9
    busy.remaining_by_density[0.5] = RemainingWork(1000.0, 2.0)
    idle = EngineView("e2", Engine("e2"), 8.0, 16_000.0, id_hash=5)
    return peer_messages.encode_work(12.5, [busy, idle])


def peer_load() -> bytes:
    """Return a gateway's message to its peers about a load that it sent."""
    engine = EngineView("e1", Engine("e1"), 8.0, 16_000.0, id_hash=0x01020304)
    return peer_messages.encode_load_sent(engine, 0x12345, 2750.25)


def load_record(state: records.LoadState) -> bytes:
    """Return the ledger's record of a load."""
    return records.LoadRecord(IDENTITY, "r1", "k1", b"digest", "e1", 9, 1234.5, state, 2345.75).encode()


def persisted_states(actions: list[object]) -> bytes:
    """Return the names and values of the states to be persisted."""
    return b"".join(a.name.encode() + b"=" + a.data + b";" for a in actions if isinstance(a, PersistState))


def voter_records() -> bytes:
    """Return the records of a voter that starts with an empty folder, and of a promise."""
    voter = acceptor.Acceptor(1, [1, 2, 3], 0x5566, {}, 10, 100.0)
    voter.step(0.0)
    return persisted_states(list(voter.drain_actions())) + acceptor.encode_register(
        acceptor.VoterRegister(BALLOT, STATE)
    )


def membership_table_record() -> bytes:
    """Return a member's record of the membership table."""
    settings = OwnershipSettings().lease
    lease = MembershipLease(2, [1, 2, 3], [1, 2, 3], 0.0, 1, {}, True, settings, 4, [9])
    return lease.persist(5).data


def key_move_records() -> bytes:
    """Return both members' records at each step of a key's move from one to the other."""
    states = dict[bytes, None]()

    def make(member: int, life: int, disk: dict[str, bytes]) -> KeyOwnership:
        return KeyOwnership(member, [1, 2], [1], 0.0, life, disk, OwnershipSettings(is_enabled=True), True)

    def watch() -> None:
        for disk in net.disks.values():
            states.update({f"{name}=".encode() + data: None for name, data in disk.items() if "pin/" in name})

    net = Net([1, 2], make)
    net.after_event = watch
    net.run(1000.0)
    net.act(1, net.running[1].move(net.now, [b"pinned-1"], 2))
    net.run(1000.0)
    return b";".join(states)


def engine_records() -> bytes:
    """Return the records of an engine in the engine list."""
    names = ConfiguredNames(("a", "b"), ("std", "big"))
    info = Engine("e1", zone=1, machine_type=1, cell=3, size=2.5)
    change = EngineListChange((info,), {"e1": Address("10.1.2.3", 4500)}, True)
    records_to_store = cached_engines.EngineCache({}, names).apply(change)
    return b"".join(bytes((r.kind,)) + r.key + b"=" + (r.value or b"") for r in records_to_store)


def drain_records() -> bytes:
    """Return the records of a drained engine."""
    records_to_store = engine_drain.DrainRecords({}).drain("e1")
    return b"".join(bytes((r.kind,)) + r.key + b"=" + (r.value or b"") for r in records_to_store)


def kinds() -> bytes:
    """Return the numbers of all kinds of records and of all states of a load."""
    return bytes(int(kind) for kind in records.RecordKind) + bytes(int(state) for state in records.LoadState)


PARTS = forwarding.RequestFragment(HEAD, 1, 200, bytes(200 - forwarding.REQUEST_FRAGMENT_BYTES))
ANSWERED = forwarding.AnswerFragment(9, 7, forwarding.ForwardResult.FAILED, 12.5, 5, 0, b"12345")
CASES: dict[str, Callable[[], bytes]] = {
    "membership ping with updates": lambda: datagram(MessageKind.PING, 7, updates()),
    "membership ping under a key": lambda: datagram(MessageKind.PING, 7, b"", KEYS),
    **{f"membership kind {int(kind)}": lambda kind=kind: datagram(kind, 9) for kind in MessageKind},  # type: ignore[misc]
    "member id": lambda: codec.member_id("n1").to_bytes(8, "big"),
    "probe report": lambda: membership_adapter.encode_load_report({"inflight": 70.0, "util": 0.5}).to_bytes(
        4, "big"
    ),
    "probe report unknown": lambda: membership_adapter.encode_load_report({}).to_bytes(4, "big"),
    "zone number": lambda: zone_messages.zone_number("a").to_bytes(2, "big"),
    "zone words": zone_report_bytes,
    "zone loan ask": lambda: quota_lending.encode_quota_message(quota_lending.QuotaRequest(9, 77, 1234)),
    "zone loan grant": lambda: quota_lending.encode_quota_message(quota_lending.QuotaGrant(9, 77, 1234)),
    "zone orders": zone_overrides,
    "price loads": demand_report_bytes,
    "recovery here": presence,
    "recovery ask": lambda: recovery_messages.encode(
        recovery_messages.LoadQuery(3, 4, (IDENTITY, bytes(16)))
    ),
    "recovery answer": lambda: recovery_messages.encode(
        recovery_messages.LoadAnswer(
            3,
            4,
            tuple(recovery_messages.LoadVerdict(i, s) for i, s in enumerate(recovery_messages.LoadStatement)),
        )
    ),
    "recovery open": lambda: recovery_messages.encode(recovery_messages.OpenLoads((IDENTITY,))),
    "warm-up words": warmups,
    "sites": sites,
    "register prepare": lambda: register_message(messages.PREPARE),
    "register promise": lambda: register_message(messages.PROMISE, (1, 2, 3)),
    "register accept": lambda: register_message(messages.ACCEPT),
    "register accepted": lambda: register_message(messages.ACCEPTED, (1, 2, 3)),
    "register refused": lambda: register_message(messages.REFUSED),
    "register chosen": lambda: register_message(messages.CHOSEN),
    "register forget": lambda: register_message(messages.FORGET),
    "register hello": lambda: messages.encode_recovery_request(
        messages.RecoveryRequest(messages.HELLO, 0x99, 3)
    ),
    "register recall": lambda: messages.encode_recovery_request(
        messages.RecoveryRequest(messages.PAGE_REQUEST, 0x99, 3, 2, 1)
    ),
    "register greeting": lambda: messages.encode_hello_reply(
        messages.HelloReply(0x99, 3, True, (1, 0), (5, 6))
    ),
    "register recalled": lambda: messages.encode_register_page(
        messages.RegisterPage(3, 2, 1, 4, 8, "swap", BALLOT, STATE, (1, 0, 2))
    ),
    **{
        f"pins step {int(step)}": lambda step=step: affinity_messages.encode_entries(  # type: ignore[misc]
            step,
            [
                affinity_messages.MigrationEntry(
                    b"12345678", 9, affinity_messages.MAY_HAVE_RUN | affinity_messages.TARGET_REMOVED
                ),
                affinity_messages.MigrationEntry(b"abcdefgh", 10, affinity_messages.TENTATIVE),
            ],
        )
        for step in affinity_messages.EntryKind
    },
    "pins lease ask": lambda: affinity_messages.encode_lease(membership_leases.LeaseRequest(3, 4), 5),
    "pins lease release": lambda: affinity_messages.encode_lease(
        membership_leases.LeaseRequest(3, 4, True), 5
    ),
    "pins lease grant": lambda: affinity_messages.encode_lease(membership_leases.LeaseReply(3, 4, True), 5),
    "pins lease deny": lambda: affinity_messages.encode_lease(
        membership_leases.LeaseReply(3, 4, False, 12.5), 5
    ),
    "pins refuse": lambda: affinity_messages.encode_notice(affinity_messages.REFUSE, False, MEMBER, 7),
    "pins done answer": lambda: affinity_messages.encode_notice(affinity_messages.ANNOUNCED, True, MEMBER, 7),
    "pins table": affinity_table,
    "forwarding probe": lambda: forwarding.encode(forwarding.IncarnationQuery(7)),
    "forwarding life": lambda: forwarding.encode(forwarding.IncarnationReply(7, 8, 9)),
    "forwarding part": lambda: forwarding.encode(PARTS),
    "forwarding withdraw": lambda: forwarding.encode(forwarding.WithdrawRequest(HEAD, True)),
    "forwarding ack": lambda: forwarding.encode(
        forwarding.RequestAck(9, 7, 5, forwarding.RequestState.CANCELLED, 0x105)
    ),
    "forwarding answer": lambda: forwarding.encode(ANSWERED),
    "forwarding got": lambda: forwarding.encode(forwarding.AnswerAck(9, True, 0x3)),
    "forwarding number": lambda: forwarding.request_number(INCARNATION, 9).to_bytes(8, "big"),
    "forwarding ends": lambda: bytes(int(end) for end in forwarding.ForwardResult),
    "forwarding states": lambda: bytes(int(state) for state in forwarding.RequestState),
    "forwarded request": lambda: forwarded_request(False),
    "forwarded request with names": lambda: forwarded_request(True),
    "forwarded rows": lambda: request_codec.encode_rows([[b"a", b"", b"c" * 300], []]),
    "pin of a key": lambda: request_codec.affinity_key("k1"),
    "replacement register": plan_register,
    "replacement machine register": machine_register,
    "replacement register name": lambda: plan.register_name("a machine with a long name").encode(),
    "drain word": drain_report,
    "gateway load": peer_load,
    "gateway work": peer_work,
    "ledger kinds": kinds,
    **{
        f"ledger load state {int(state)}": lambda state=state: load_record(state)  # type: ignore[misc]
        for state in records.LoadState
    },
    "ledger life": lambda: records.IncarnationRecord(9, 10, True).encode(),
    "ledger hint": lambda: records.Hint(b"anything", 12.5).encode(),
    "ledger voter": voter_records,
    "ledger pins table": membership_table_record,
    "ledger pin": key_move_records,
    "ledger engine": engine_records,
    "ledger drained engine": drain_records,
    "boot file": lambda: boot_file.BootFile(9, 3, 77).encode(),
    "boot file of an open life": lambda: boot_file.BootFile(9, 3, -1).encode(),
    "seat record": lambda: sibling_processes.ProcessRecord(5, 6, 7, True).encode(),
    "connection ids": lambda: ConnectionIdRange.for_slot(5, 2).base.to_bytes(4, "big"),
}


@pytest.mark.parametrize("name", CASES)
def test_bytes_of(name: str) -> None:
    assert CASES[name]().hex() == RECORD["bytes"][name]


def test_no_recorded_bytes_are_left_out() -> None:
    assert set(RECORD["bytes"]) == set(CASES)


def ledger_folder(folder: Path) -> dict[str, object]:
    """Return a ledger's files, its database's tables and rows, and the sizes reserved in advance."""
    ledger = Ledger.open(folder, "n1")
    durable = threading.Event()
    ledger.mark_complete(lambda well: durable.set())
    assert durable.wait(10.0)
    load = records.Record(records.RecordKind.LOAD, IDENTITY, load_record(records.LoadState.SENT))
    ledger.put([load, records.IncarnationRecord(1, 2, True).to_record()])
    ledger.close(clean=True)
    names = sorted(path.name for path in folder.iterdir())
    log_bytes = (
        (folder / "n1.1.db-wal").stat().st_size
    )  # read before sqlite3 opens the database, which removes the log
    with contextlib.closing(sqlite3.connect(folder / "n1.1.db")) as database:
        tables = [row[0] for row in database.execute("SELECT sql FROM sqlite_master WHERE sql NOT NULL")]
        rows = database.execute("SELECT * FROM record ORDER BY kind, key").fetchall()
        proof = database.execute("SELECT * FROM proof").fetchone()
        page = database.execute("PRAGMA page_size").fetchone()
    return {
        "names": names,
        "log bytes": log_bytes,
        "life": (folder / "n1.life").read_bytes().hex(),
        "tables": sorted(tables),
        "rows": [[kind, key.hex(), value.hex(), mark] for kind, key, value, mark in rows],
        "proof": [part.hex() if isinstance(part, bytes) else part for part in proof],
        "page": list(page),
    }


def test_the_ledgers_folder(tmp_path: Path) -> None:
    assert ledger_folder(tmp_path) == RECORD["folder"]
