"""A ledger on a full, failing or stalled disk: writes are rejected immediately until the disk recovers."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from cottonhold.emulator.disk import install
from cottonhold.emulator.lossy_disk import Orders
from cottonhold.store.health import Completeness, DiskState, StoreError
from cottonhold.store.ledger import Ledger
from cottonhold.store.ledger_folder import COMPLETE_MARK
from cottonhold.store.records import LoadRecord, Record, RecordKind
from tests.store.history import SMALL, VFS, LedgerRun, load


@pytest.fixture
def play(tmp_path: Path) -> Iterator[LedgerRun]:
    play = LedgerRun(tmp_path)
    assert play.open() and play.send(1) and play.mark_complete()
    yield play
    play.disk.orders = Orders()
    play.cut_power()


def disk_state(play: LedgerRun, now: float = 0.0) -> DiskState:
    assert play.ledger is not None
    return play.ledger.health(now).state


def test_a_full_disk_refuses_and_recovers(play: LedgerRun) -> None:
    play.disk.orders = Orders(full=True)
    assert not play.send(2)
    assert play.ledger is not None and play.ledger.health(0.0).reason == "[Errno 28] the disk is full"
    assert disk_state(play) is DiskState.FULL and not play.send(3)
    play.disk.orders = Orders()
    play.wait_until_healthy()
    assert play.send(4) and play.ledger.folder.generation == 1
    play.cut_power()
    assert play.open()


def test_a_full_disk_is_detected_by_a_checkpoint(play: LedgerRun) -> None:
    """Commits succeed, since the log already has its size; the checkpoint that extends the file fails."""
    play.disk.orders = Orders(room=0)
    accepted = [play.send(number) for number in range(2, 40)]
    assert True in accepted and False in accepted and accepted == sorted(accepted, reverse=True)
    assert disk_state(play) is DiskState.FULL
    play.disk.orders = Orders()
    play.wait_until_healthy()
    assert play.send(50)
    play.cut_power()
    assert play.open()


def test_a_stalled_disk_rejects_writes_immediately_and_recovers(tmp_path: Path) -> None:
    now = [0.0]
    disk = install(VFS)
    ledger = Ledger.open(tmp_path, "a", VFS, replace(SMALL, stall_timeout_ms=100.0), lambda: now[0])
    disk.orders = Orders(stall=True)
    is_written, refused = threading.Event(), []
    ledger.put([load(1).to_record()], lambda is_ok: is_written.set() if is_ok else None)
    assert ledger.health(50.0).state is DiskState.HEALTHY
    now[0] = 101.0
    assert ledger.health(now[0]).state is DiskState.STALLED
    caller = threading.get_ident()
    ledger.put([load(2).to_record()], lambda is_ok: refused.append((is_ok, threading.get_ident())))
    assert refused == [(False, caller)], "no caller must wait for a stalled disk"
    assert not is_written.is_set()
    disk.orders = Orders()
    assert is_written.wait(20.0)
    assert ledger.health(now[0]).state is DiskState.HEALTHY
    ledger.close(True)


def test_more_than_the_queue_holds_is_refused(tmp_path: Path) -> None:
    disk = install(VFS)
    ledger = Ledger.open(tmp_path, "a", VFS, replace(SMALL, max_queued_records=8))
    disk.orders = Orders(stall=True)
    results: list[bool] = []
    for number in range(40):
        ledger.put([load(number).to_record()], results.append)
    assert results.count(False) == len(results) and 40 - 8 - SMALL.max_group_records <= len(results) <= 40 - 8
    refused = len(results)
    disk.orders = Orders()
    ledger.close(True)
    assert results.count(True) == 40 - refused, "each is answered once"


def test_queued_writes_are_one_transaction(tmp_path: Path) -> None:
    disk = install(VFS)
    ledger = Ledger.open(
        tmp_path, "a", VFS, replace(SMALL, file_sizes=replace(SMALL.file_sizes, checkpoint_pages=1000))
    )
    syncs: list[str] = []
    disk.before = lambda _count, what: syncs.append(what) if what == "sync" else None
    disk.orders = Orders(stall=True)
    results: list[bool] = []
    for number in range(50):
        ledger.put([load(number).to_record()], results.append)
    disk.orders = Orders()
    ledger.close(False)
    assert results == [True] * 50 and len(syncs) <= 3


def test_after_the_close_writes_are_refused(play: LedgerRun) -> None:
    assert play.ledger is not None
    ledger = play.ledger
    results: list[bool] = []
    play.close(True)
    ledger.put([load(9).to_record()], results.append)
    assert results == [False]


@pytest.mark.parametrize("last", ["checkpoint", "life file"])
def test_a_disk_that_hangs_at_the_close_does_not_delay_the_exit(tmp_path: Path, last: str) -> None:
    """The next boot assumes that this one was interrupted, and has all durable records."""
    disk = install(VFS)
    ledger = Ledger.open(tmp_path, "a", VFS, replace(SMALL, stall_timeout_ms=50.0))
    is_durable = threading.Event()
    ledger.put([COMPLETE_MARK, load(1).to_record()], lambda is_ok: is_durable.set() if is_ok else None)
    assert is_durable.wait(20.0)
    syncs, hangs = [0], threading.Event()

    def hang(_count: int, what: str) -> None:
        syncs[0] += what == "sync"
        if syncs[0] == (1 if last == "checkpoint" else 3):
            disk.orders = Orders(stall=True)
            hangs.set()

    disk.before = hang
    closing = threading.Thread(target=ledger.close, args=(True,), daemon=True)
    closing.start()
    closing.join(20.0)
    assert not closing.is_alive() and hangs.wait(20.0)
    disk.cut_power()
    ledger._thread.join(20.0)
    ledger.folder.close()
    play = LedgerRun(tmp_path)
    play.may_be_complete = True
    assert play.open() and play.ledger is not None
    assert not play.ledger.closed_cleanly and load(1).identity in play.ledger.records(RecordKind.LOAD)
    assert play.ledger.completeness is Completeness.COMPLETE
    play.close(True)


@pytest.mark.parametrize("orders", [Orders(full=True), Orders(fail_sync=1), Orders(fail_write=1)])
def test_a_boot_count_that_can_not_be_written_is_an_error(play: LedgerRun, orders: Orders) -> None:
    play.cut_power()
    before = sorted(path.name for path in play.folder.iterdir())
    install(VFS).orders = orders
    with pytest.raises(StoreError) as caught:
        Ledger.open(play.folder, "a", VFS, SMALL)
    assert (
        caught.value.completeness is Completeness.COMPLETE
        and load(1).identity in caught.value.records[RecordKind.LOAD]
    )
    assert sorted(path.name for path in play.folder.iterdir()) == before, (
        "no partial file must remain on a full disk"
    )
    assert play.open(), "the folder must still be usable"


def test_records_of_an_unknown_kind_survive_a_rewrite(play: LedgerRun) -> None:
    assert play.ledger is not None and play.ledger.folder.record_file is not None
    later = Record(RecordKind.OPERATOR_OVERRIDE, b"later", b"\x09")
    assert play.put([later])
    rows = play.ledger.folder.record_file.rows
    rows[99, b"unknown kind"] = b"value"  # as a later version of the program would have written it
    play.disk.orders = Orders(fail_sync=1)
    assert not play.send(2)
    play.disk.orders = Orders()
    play.wait_until_healthy()
    play.cut_power()
    assert play.open() and play.ledger.records(RecordKind.OPERATOR_OVERRIDE) == {b"later": b"\x09"}
    assert (
        play.ledger.folder.record_file is not None
        and (99, b"unknown kind") in play.ledger.folder.record_file.rows
    )


CHILD = """
import sys, threading
from pathlib import Path
from cottonhold.emulator.disk import install
from cottonhold.store.ledger import Ledger
from cottonhold.store.ledger_folder import COMPLETE_MARK
from tests.store.history import SMALL, load
folder, control, defect = Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3]
install("killed", control)
ledger = Ledger.open(folder, "a", "killed", SMALL)
def put(records):
    is_durable = threading.Event()
    ledger.put(records, lambda is_ok: is_ok and is_durable.set())
    is_durable.wait()
put([COMPLETE_MARK])
for number in range(200):
    if defect == "after":
        ledger.put([load(number).to_record()])
    else:
        put([load(number).to_record()])
    print(number, flush=True)
"""


@pytest.mark.parametrize("defect", ["", "after"])
def test_a_killed_process_loses_nothing_reported_as_written(tmp_path: Path, defect: str) -> None:
    """With the defect `after`, the child reports a load as written before it is durable."""
    control = tmp_path / "control.json"
    control.write_text(json.dumps({"leak": 0.3, "seed": 5, "stall_ms": 1 if defect else 0}))
    arguments = [sys.executable, "-c", CHILD, str(tmp_path / "folder"), str(control), defect]
    with subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True) as child:
        assert child.stdout is not None
        for line in child.stdout:
            if int(line) == 60:
                break
        os.kill(child.pid, signal.SIGKILL)
        sent = 60 + len(child.stdout.read().split())
    ledger = Ledger.open(tmp_path / "folder", "a", "", SMALL)
    records = ledger.records(RecordKind.LOAD)
    missing = [number for number in range(sent + 1) if load(number).identity not in records]
    assert ledger.completeness is Completeness.COMPLETE and bool(missing) == bool(defect)
    assert all(LoadRecord.decode(key, value).is_open for key, value in records.items())
    ledger.close(False)
