"""Measures the latency and throughput of durable writes, by the number of concurrent callers.

    python benchmarks/store/run.py FOLDER [--seconds 2] [--rounds 3]
    python benchmarks/store/run.py FOLDER --syncs

Each caller writes one load's record of 130 bytes at a time and the next one once it is durable. One writer
commits all waiting records in one transaction with a full sync. Each transaction of every storage writes the
records and increments a counter in the row `proof`. `ledger` is the complete ledger of the dispatcher. Prints
a table in Markdown. The storages are measured in alternation, so that changes in the machine's other load
affect all of them alike. With --syncs it prints how often SQLite syncs and writes per transaction.
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

CALLER_COUNTS = (1, 4, 16, 64, 256)
COUNTED_TRANSACTIONS = 100
LEDGER = "ledger"
Commit = Callable[[list[Record]], None]
OnWritten = Callable[[bool], None]
Put = Callable[[Record, OnWritten], None]


def make_record(number: int) -> Record:
    """Return a load's record as the dispatcher writes it."""
    return LoadRecord(
        number.to_bytes(16, "big"), "r" * 32, "k" * 24, b"d" * 16, "engine-1", 1, 1.0, LoadState.SENT
    ).to_record()


def open_sqlite(folder: Path, journal: str, log_bytes: int = 0, vfs: str | None = None) -> Commit:
    """Open an SQLite database with full sync; return the function that commits a batch.

    Args:
        folder: Folder of the database.
        journal: SQLite's journal mode.
        log_bytes: Size to which the write-ahead log is extended first; 0 to leave it.
        vfs: Name of SQLite's virtual file system; None for the default one.
    """
    path = folder / "x.db"
    database = apsw.Connection(str(path), vfs=vfs)
    database.execute("PRAGMA locking_mode = EXCLUSIVE")
    database.execute(f"PRAGMA journal_mode = {journal}")
    database.execute("PRAGMA synchronous = FULL")
    database.execute("CREATE TABLE record (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID")
    database.execute("CREATE TABLE proof (one INTEGER PRIMARY KEY, turn INTEGER)")
    database.execute("INSERT INTO proof VALUES (1, 0)")
    if log_bytes:
        with open(f"{path}-wal", "r+b") as log:
            log.seek(0, os.SEEK_END)
            log.write(bytes(log_bytes - log.tell()))
            os.fsync(log.fileno())

    def commit(batch: list[Record]) -> None:
        with database:
            database.executemany(
                "INSERT OR REPLACE INTO record VALUES (?, ?)", [(r.key, r.value) for r in batch]
            )
            database.execute("UPDATE proof SET turn = turn + 1")

    return commit


def open_lmdb(folder: Path) -> Commit:
    """Open an LMDB environment that syncs data and meta page in each transaction; return the function that
    commits a batch."""
    # lmdb is not a dependency of the project: pip install lmdb==3.0.0
    environment = importlib.import_module("lmdb").open(str(folder), map_size=1 << 28)
    transactions = 0

    def commit(batch: list[Record]) -> None:
        nonlocal transactions
        transactions += 1
        with environment.begin(write=True) as transaction:
            for record in batch:
                transaction.put(record.key, record.value or b"")
            transaction.put(b"proof", transactions.to_bytes(8, "big"))

    return commit


STORAGE_OPENERS: dict[str, Callable[[Path], Commit]] = {
    "SQLite, rollback, deleted": lambda folder: open_sqlite(folder, "DELETE"),
    "SQLite, rollback, kept": lambda folder: open_sqlite(folder, "PERSIST"),
    "SQLite, WAL": lambda folder: open_sqlite(folder, "WAL"),
    "SQLite, WAL, 4 MiB filled first": lambda folder: open_sqlite(folder, "WAL", 4 << 20),
    "LMDB": open_lmdb,
}


class GroupWriter:
    """Writes like the ledger, without its limits: one thread commits all waiting records together."""

    def __init__(self, open_storage: Callable[[Path], Commit], folder: Path) -> None:
        self.open_storage, self.folder = open_storage, folder
        self.pending: queue.SimpleQueue[tuple[Record, OnWritten] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def put(self, record: Record, on_written: OnWritten) -> None:
        """Queue a record; the callback is called in the writer's thread once the record is durable."""
        self.pending.put((record, on_written))

    def close(self) -> None:
        """Write what is queued and end the thread."""
        self.pending.put(None)
        self.thread.join()

    def _run(self) -> None:
        commit, is_closing = self.open_storage(self.folder), False
        while not is_closing:
            entries = [self.pending.get()]
            while not self.pending.empty():
                entries.append(self.pending.get())
            group = [entry for entry in entries if entry is not None]
            is_closing = len(group) < len(entries)
            if group:
                commit([record for record, _ in group])
            for _, on_written in group:
                on_written(True)


class Callers:
    """Concurrent callers that each write one record after another for a limited time."""

    def __init__(self, put: Put, count: int, seconds: float) -> None:
        self.put, self.count = put, count
        self.latencies_ms: list[float] = []
        self._numbers = iter(range(1, 1 << 40))
        self._lock, self._all_callers_ended = threading.Lock(), threading.Event()
        self._running = count
        self._end = time.perf_counter() + seconds

    def run(self) -> tuple[list[float], float]:
        """Run the callers to their end; return the latencies in ms and the loads per second."""
        started_at = time.perf_counter()
        for _ in range(self.count):
            self._put_next()
        self._all_callers_ended.wait()
        return self.latencies_ms, len(self.latencies_ms) / (time.perf_counter() - started_at)

    def _put_next(self) -> None:
        started_at = time.perf_counter()

        def on_written(is_durable: bool) -> None:
            assert is_durable
            now = time.perf_counter()
            self.latencies_ms.append((now - started_at) * 1000.0)
            if now < self._end:
                self._put_next()
            else:
                self._on_caller_ended()

        self.put(make_record(next(self._numbers)), on_written)

    def _on_caller_ended(self) -> None:
        with self._lock:
            self._running -= 1
            if not self._running:
                self._all_callers_ended.set()


def measure(name: str, callers: int, folder: Path, seconds: float) -> tuple[list[float], float]:
    """Measure a storage in an empty folder; return the latencies in ms and the loads per second."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        if name != LEDGER:
            writer = GroupWriter(STORAGE_OPENERS[name], folder)
            try:
                return Callers(writer.put, callers, seconds).run()
            finally:
                writer.close()
        ledger = Ledger.open(folder, "a", settings=LedgerSettings(stall_timeout_ms=60_000.0))
        try:
            return Callers(
                lambda record, on_written: ledger.put([record], on_written), callers, seconds
            ).run()
        finally:
            ledger.close(True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def print_syncs(folder: Path) -> None:
    """Print how often SQLite syncs and writes per transaction, counted by the emulated disk."""
    print("| journal | syncs a transaction | writes a transaction |\n| --- | --- | --- |")
    for journal in ("DELETE", "TRUNCATE", "PERSIST", "WAL"):
        journal_folder = folder / journal
        journal_folder.mkdir(parents=True)
        disk, counts = install("counting"), Counter[str]()
        commit = open_sqlite(journal_folder, journal, vfs="counting")
        disk.before = lambda _count, operation, counts=counts: counts.update([operation])  # type: ignore[misc]
        for number in range(COUNTED_TRANSACTIONS):
            commit([make_record(number)])
        syncs, writes = counts["sync"] / COUNTED_TRANSACTIONS, counts["write"] / COUNTED_TRANSACTIONS
        print(f"| {journal} | {syncs:.2f} | {writes:.2f} |")
        del commit
        shutil.rmtree(journal_folder)


def print_latencies(folder: Path, rounds: int, seconds: float) -> None:
    """Print the latency and throughput of all storages, by the number of callers."""
    names = [*STORAGE_OPENERS, LEDGER]
    print("| storage | callers | p50 ms | p99 ms | loads/s | loads/s, lowest to highest |")
    print("| --- | --- | --- | --- | --- | --- |")
    for callers in CALLER_COUNTS:
        runs: dict[str, list[tuple[list[float], float]]] = {name: [] for name in names}
        for _ in range(rounds):
            for name in names:
                runs[name].append(measure(name, callers, folder / "play", seconds))
        for name in names:
            latencies_ms = sorted(ms for latencies, _ in runs[name] for ms in latencies)
            rates = sorted(rate for _, rate in runs[name])
            p99 = latencies_ms[min(len(latencies_ms) - 1, len(latencies_ms) * 99 // 100)]
            print(
                f"| {name} | {callers} | {statistics.median(latencies_ms):.2f} | {p99:.2f} "
                f"| {statistics.median(rates):.0f} | {rates[0]:.0f} to {rates[-1]:.0f} |",
                flush=True,
            )


def main() -> None:
    """Run the measurement that the arguments select."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=Path)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--syncs", action="store_true")
    arguments = parser.parse_args()
    if arguments.syncs:
        print_syncs(arguments.folder)
    else:
        print_latencies(arguments.folder, arguments.rounds, arguments.seconds)


if __name__ == "__main__":
    main()
