"""The records that recovery stores in an instance's state folder, and reads from it at the start."""

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

SITE_KEY = b"site"  # key of the instance's own site report, a hint
# Key of the boot up to which the folder's loads are complete; without this record they are not complete.
CHECKPOINT_BOOT_KEY = b"base"
# Key of the mark within that boot. It is a separate record, so that software that has no marks can still
# read the boot.
CHECKPOINT_MARK_KEY = b"mark"
NUMBER_BYTES = 2  # length of a dispatcher's number as a key
COUNT_BYTES = 8  # length of a boot count or checkpoint

INCARNATIONS_PER_BOOT = 1 << 42  # above all incarnations that are Unix times in ms
FIRST_COUNTED_INCARNATION = 0x8000_0000  # above all incarnations that are Unix times in s


class KnownPeer(NamedTuple):
    """The highest boot count and checkpoint known of another dispatcher."""

    boot_count: int
    checkpoint: int


@dataclass(slots=True, frozen=True)
class FolderState:
    """The state of a folder as it was read at the start."""

    checkpoint: int  # 0: the folder's loads are not complete
    memory: MemoryState
    peers: dict[int, KnownPeer]  # hints about other dispatchers, by number


def open_ledger(installation: Installation, folder: Path) -> Ledger | None:
    """Open the instance's ledger; return None if the configuration has none.

    Raises:
        StoreError: The folder can't be used.
    """
    if not installation.file.state_dir:
        return None
    return Ledger.open(folder / installation.file.state_dir, installation.file.name)


def incarnation_of(ledger: Ledger) -> int:
    """Return the incarnation that an instance's reports carry."""
    return FIRST_COUNTED_INCARNATION + ledger.boot_count & MAX_UINT32


def read_folder(ledger: Ledger) -> FolderState:
    """Read the state that a folder had when its ledger was opened."""
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
    """Return the records that store a checkpoint."""
    parts = zip(
        (CHECKPOINT_BOOT_KEY, CHECKPOINT_MARK_KEY), divmod(checkpoint, CHECKPOINTS_PER_BOOT), strict=True
    )
    return [Record(RecordKind.INCARNATION, key, part.to_bytes(COUNT_BYTES, "big")) for key, part in parts]


def peer_record(number: int, peer: KnownPeer) -> Record:
    """Return the record that stores the boot count and checkpoint of another dispatcher."""
    value = peer.boot_count.to_bytes(COUNT_BYTES, "big") + peer.checkpoint.to_bytes(COUNT_BYTES, "big")
    return Record(RecordKind.MEMBER, number.to_bytes(NUMBER_BYTES, "big"), Hint(value, 0.0).encode())


def _known_peers(ledger: Ledger) -> dict[int, KnownPeer]:
    """Return the boot counts and checkpoints of other dispatchers, without unreadable records."""
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
    """Restore the site report from before the power loss; return False if it can't be decoded."""
    value = ledger.records(RecordKind.WARM_DATA).get(SITE_KEY)
    try:
        if value is not None:
            cost.restore(Hint.decode(value).value)
    except (RecordError, MessageError):
        return False
    return True


def save_site_report(ledger: Ledger, cost: CostEstimator, now: float) -> None:
    """Write the site report to the disk if it is due."""
    if data := cost.report_to_save(now):
        ledger.put([Record(RecordKind.WARM_DATA, SITE_KEY, Hint(data, 0.0).encode())])
