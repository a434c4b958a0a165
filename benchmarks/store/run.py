"""What durability costs: latency from put to done, and loads a second, by how many wait at the same time.

    python benchmarks/store/run.py FOLDER [--seconds 2] [--rounds 3]
    python benchmarks/store/run.py FOLDER --syncs

Each of so many callers puts one load's record of 130 bytes and puts the next once it is told `done`; one
writer takes all that wait into one transaction with a full sync. All storages do the same work: the record
and a row of proof. `ledger` is the product's own, whole. Prints a table in Markdown; the storages take
turns, so that the machine's moods fall on all of them.
"""

from __future__ import annotations

import argparse
import importlib
import os
import queue
import shutil
import statistics
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import apsw

from cottonhold.emulator.disk import install
from cottonhold.store.ledger import Ledger, LedgerSettings
from cottonhold.store.records import LoadRecord, LoadState, Record

GROUPS = (1, 4, 16, 64, 256)
Commit = Callable[[list[Record]], None]


def record(number: int) -> Record:
    """A load's record as the product writes it."""
    return LoadRecord(
        number.to_bytes(16, "big"), "r" * 32, "k" * 24, b"d" * 16, "engine-1", 1, 1.0, LoadState.SENT
    ).to_record()


def sqlite(folder: Path, journal: str, reserve: int = 0, vfs: str | None = None) -> Commit:
    """SQLite with a full sync under this journal; `reserve`: the log is filled up to so many bytes first."""
    path = folder / "x.db"
    db = apsw.Connection(str(path), vfs=vfs)
    db.execute("PRAGMA locking_mode = EXCLUSIVE")
    db.execute(f"PRAGMA journal_mode = {journal}")
    db.execute("PRAGMA synchronous = FULL")
    db.execute("CREATE TABLE record (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID")
    db.execute("CREATE TABLE proof (one INTEGER PRIMARY KEY, turn INTEGER)")
    db.execute("INSERT INTO proof VALUES (1, 0)")
    if reserve:
        with open(f"{path}-wal", "r+b") as log:
            log.seek(0, os.SEEK_END)
            log.write(bytes(reserve - log.tell()))
            os.fsync(log.fileno())

    def commit(batch: list[Record]) -> None:
        with db:
            db.executemany("INSERT OR REPLACE INTO record VALUES (?, ?)", [(r.key, r.value) for r in batch])
            db.execute("UPDATE proof SET turn = turn + 1")

    return commit


def lmdb_store(folder: Path) -> Commit:
    """LMDB as it syncs by default: data and meta page in each transaction."""
    # Not a dependency: pip install lmdb==3.0.0
    env = importlib.import_module("lmdb").open(str(folder), map_size=1 << 28)
    turn = 0

    def commit(batch: list[Record]) -> None:
        nonlocal turn
        turn += 1
        with env.begin(write=True) as txn:
            for each in batch:
                txn.put(each.key, each.value or b"")
            txn.put(b"proof", turn.to_bytes(8, "big"))

    return commit


STORES: dict[str, Callable[[Path], Commit]] = {
    "SQLite, rollback, deleted": lambda folder: sqlite(folder, "DELETE"),
    "SQLite, rollback, kept": lambda folder: sqlite(folder, "PERSIST"),
    "SQLite, WAL": lambda folder: sqlite(folder, "WAL"),
    "SQLite, WAL, 4 MiB filled first": lambda folder: sqlite(folder, "WAL", 4 << 20),
    "LMDB": lmdb_store,
}


class Writer:
    """The product's writer without its guards: one thread, all that waits in one transaction."""

    def __init__(self, make: Callable[[Path], Commit], folder: Path) -> None:
        self.make, self.folder = make, folder
        self.waiting: queue.SimpleQueue[tuple[Record, Callable[[bool], None]] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def put(self, one: Record, done: Callable[[bool], None]) -> None:
        """As Ledger.put."""
        self.waiting.put((one, done))

    def close(self) -> None:
        """Ends the thread."""
        self.waiting.put(None)
        self.thread.join()

    def _run(self) -> None:
        commit, ending = self.make(self.folder), False
        while not ending:
            group = [self.waiting.get()]
            while not self.waiting.empty():
                group.append(self.waiting.get())
            taken = [each for each in group if each is not None]
            ending = len(taken) < len(group)
            if taken:
                commit([one for one, _ in taken])
            for _, done in taken:
                done(True)


Put = Callable[[Record, Callable[[bool], None]], None]


def drive(put: Put, callers: int, seconds: float) -> tuple[list[float], float]:
    """Latencies in ms, and loads a second."""
    times: list[float] = []
    lock, quiet, numbers = threading.Lock(), threading.Event(), iter(range(1, 1 << 40))
    end = time.perf_counter() + seconds
    left = callers

    def one() -> None:
        began = time.perf_counter()

        def done(well: bool) -> None:
            nonlocal left
            assert well
            now = time.perf_counter()
            times.append((now - began) * 1000.0)
            if now < end:
                one()
            else:
                with lock:
                    left -= 1
                    if not left:
                        quiet.set()

        put(record(next(numbers)), done)

    began = time.perf_counter()
    for _ in range(callers):
        one()
    quiet.wait()
    return times, len(times) / (time.perf_counter() - began)


def once(name: str, callers: int, folder: Path, seconds: float) -> tuple[list[float], float]:
    """One storage, one number of callers, in a fresh folder."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        if name in STORES:
            writer = Writer(STORES[name], folder)
            try:
                return drive(writer.put, callers, seconds)
            finally:
                writer.close()
        ledger = Ledger.open(folder, "a", settings=LedgerSettings(stall_timeout_ms=60_000.0))
        try:
            return drive(lambda one, done: ledger.put([one], done), callers, seconds)
        finally:
            ledger.close(True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def syncs(folder: Path) -> None:
    """How often SQLite waits for the disk in a transaction, counted by the disk of the tests."""
    print("| journal | syncs a transaction | writes a transaction |\n| --- | --- | --- |")
    for journal in ("DELETE", "TRUNCATE", "PERSIST", "WAL"):
        play = folder / journal
        play.mkdir(parents=True)
        disk, seen = install("counting"), Counter[str]()
        commit = sqlite(play, journal, vfs="counting")
        disk.before = lambda _count, what, seen=seen: seen.update([what])  # type: ignore[misc]
        for number in range(100):
            commit([record(number)])
        print(f"| {journal} | {seen['sync'] / 100:.2f} | {seen['write'] / 100:.2f} |")
        del commit
        shutil.rmtree(play)


def main() -> None:
    """See the module."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=Path)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--syncs", action="store_true")
    told = parser.parse_args()
    if told.syncs:
        syncs(told.folder)
        return
    names = [*STORES, "ledger"]
    print("| storage | callers | p50 ms | p99 ms | loads/s | loads/s, lowest to highest |")
    print("| --- | --- | --- | --- | --- | --- |")
    for callers in GROUPS:
        found: dict[str, list[tuple[list[float], float]]] = {name: [] for name in names}
        for _ in range(told.rounds):
            for name in names:
                found[name].append(once(name, callers, told.folder / "play", told.seconds))
        for name in names:
            times = sorted(ms for some, _ in found[name] for ms in some)
            rates = sorted(rate for _, rate in found[name])
            p99 = times[min(len(times) - 1, len(times) * 99 // 100)]
            print(
                f"| {name} | {callers} | {statistics.median(times):.2f} | {p99:.2f} "
                f"| {statistics.median(rates):.0f} | {rates[0]:.0f} to {rates[-1]:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
