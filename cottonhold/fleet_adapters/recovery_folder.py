"""What recovery stores in an instance's folder, and reads from it at the start."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from cottonhold.config.installation import Installation
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.message_format import MAX_UINT32, MessageError
from cottonhold.fleet.recovery.messages import CHECKPOINTS_PER_BOOT, MemoryState
from cottonhold.store.health import Completeness
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Hint, Record, RecordError, RecordKind

SITE_KEY = b"site"  # the instance's own site report: a hint
CHECKPOINT_BOOT_KEY = b"base"  # the boot up to which a folder's loads are complete; none: they are not
CHECKPOINT_MARK_KEY = (
    b"mark"  # the mark in that boot; beside it, so that a program from before marks reads the boot
)
NUMBER_BYTES = 2  # of a dispatcher's number as a key
COUNT_BYTES = 8  # of a boot count or checkpoint

INCARNATIONS_PER_BOOT = 1 << 42  # more than an incarnation taken from a clock's ms ever was
FIRST_COUNTED_INCARNATION = 0x8000_0000  # of one counted by boots: above all that were taken from a clock


class KnownPeer(NamedTuple):
    """The highest boot count and checkpoint known of another dispatcher."""

    boot_count: int
    checkpoint: int


@dataclass(slots=True, frozen=True)
class FolderState:
    """What a folder showed at the start. checkpoint: 0 where its loads are not complete; peers: by number,
    hints."""

    checkpoint: int
    memory: MemoryState
    peers: dict[int, KnownPeer]


def open_ledger(installation: Installation, folder: Path) -> Ledger | None:
    """The instance's ledger; None where none is kept. Raises StoreError."""
    if not installation.file.state_dir:
        return None
    return Ledger.open(folder / installation.file.state_dir, installation.file.name)


def incarnation_of(ledger: Ledger) -> int:
    """The incarnation that an instance's reports carry."""
    return FIRST_COUNTED_INCARNATION + ledger.boot_count & MAX_UINT32


def read_folder(ledger: Ledger) -> FolderState:
    """The state of a folder as of its start."""
    records = ledger.records(RecordKind.INCARNATION)
    complete_boot, mark = (
        int.from_bytes(records.get(key, b""), "big") for key in (CHECKPOINT_BOOT_KEY, CHECKPOINT_MARK_KEY)
    )
    checkpoint = complete_boot * CHECKPOINTS_PER_BOOT + mark if complete_boot else 0
    if ledger.completeness is not Completeness.COMPLETE:
        memory = MemoryState.EMPTY
    else:
        memory = MemoryState.INTACT if checkpoint else MemoryState.STALE
    return FolderState(checkpoint, memory, _known_peers(ledger))


def checkpoint_records(checkpoint: int) -> list[Record]:
    """The records of a checkpoint."""
    parts = zip(
        (CHECKPOINT_BOOT_KEY, CHECKPOINT_MARK_KEY), divmod(checkpoint, CHECKPOINTS_PER_BOOT), strict=True
    )
    return [Record(RecordKind.INCARNATION, key, part.to_bytes(COUNT_BYTES, "big")) for key, part in parts]


def peer_record(number: int, peer: KnownPeer) -> Record:
    """The record of what is known of another dispatcher."""
    value = peer.boot_count.to_bytes(COUNT_BYTES, "big") + peer.checkpoint.to_bytes(COUNT_BYTES, "big")
    return Record(RecordKind.MEMBER, number.to_bytes(NUMBER_BYTES, "big"), Hint(value, 0.0).encode())


def _known_peers(ledger: Ledger) -> dict[int, KnownPeer]:
    """What is known of the others, as far as the folder can be read."""
    peers = {}
    for key, record in ledger.records(RecordKind.MEMBER).items():
        try:
            value = Hint.decode(record).value
        except RecordError:
            continue
        boot_count = int.from_bytes(value[:COUNT_BYTES], "big")
        checkpoint = int.from_bytes(value[COUNT_BYTES : 2 * COUNT_BYTES], "big")
        peers[int.from_bytes(key, "big")] = KnownPeer(boot_count, checkpoint)
    return peers


def restore_site_report(ledger: Ledger, cost: CostEstimator) -> bool:
    """Give the estimator the site report from before the power loss; returns false if that can't be read."""
    value = ledger.records(RecordKind.WARM_DATA).get(SITE_KEY)
    try:
        if value is not None:
            cost.restore(Hint.decode(value).value)
    except (RecordError, MessageError):
        return False
    return True


def save_site_report(ledger: Ledger, cost: CostEstimator, now: float) -> None:
    """Write the site report to the disk, if it is due."""
    if data := cost.report_to_save(now):
        ledger.put([Record(RecordKind.WARM_DATA, SITE_KEY, Hint(data, 0.0).encode())])
