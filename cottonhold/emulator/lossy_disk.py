"""A simulated disk that loses unsynced writes in a power loss, and has the faults that a control file sets.

Writes stay in this process's memory until a sync, which writes them to the real file. Killing the process
therefore has the effect of a power loss. The control file is a JSON object, read again whenever it changes:

    {"full": true}           every write fails as on a full disk
    {"room": 4096}           a write that extends a file by more than this many bytes fails
    {"fail_write": 0.5}      a write fails with this probability; likewise "fail_sync" and "fail_read"
    {"lie_sync": true}       a sync reports success without making anything durable
    {"stall": true}          writes and syncs block until this is reset
    {"stall_ms": 50}         each write and sync is delayed by this time
    {"leak": 0.3}            an unsynced write, or its first part, reaches the real file with this probability
    {"seed": 7}              seed of the random numbers

A failed sync behaves as on Linux (fsync, 2018): the data that it should have written is considered clean from
then on. It can still be read, but no later sync writes it to the disk.

Unlike on a real disk, a new file's name becomes durable with the first sync of its content. The move or
removal of a file becomes durable only with a sync of its folder.
"""

from __future__ import annotations

import errno
import json
import os
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from enum import StrEnum
from pathlib import Path

STALL_POLL_INTERVAL_S = 0.01
LEAK_PROBABILITY_AT_POWER_LOSS = 0.5
# An unsynced write that reaches the disk is complete with this probability; otherwise only its first part is
# written.
COMPLETE_WRITE_PROBABILITY = 0.5


@dataclass(slots=True, frozen=True)
class Orders:
    """The faults that the control file sets, by its keys; the module describes each."""

    full: bool = False
    room: int = -1
    fail_write: float = 0.0
    fail_sync: float = 0.0
    fail_read: float = 0.0
    lie_sync: bool = False
    stall: bool = False
    stall_ms: float = 0.0
    leak: float = 0.0
    seed: int = 0

    @classmethod
    def parse(cls, text: str) -> Orders:
        """Return the faults set in a control file's text; raises ValueError for bad JSON and unknown keys."""
        orders = json.loads(text)
        unknown = set(orders) - {key.name for key in fields(cls)}
        if unknown:
            raise ValueError(f"unknown keys in the control file: {', '.join(sorted(unknown))}")
        return cls(**orders)


class Operation(StrEnum):
    """Kinds of operations, as passed to `Disk.before`."""

    WRITE = "write"
    SYNC = "sync"
    CHANGE_NAMES = "names"


@dataclass(slots=True, frozen=True)
class Write:
    """Bytes written at an offset."""

    offset: int
    content: bytes


@dataclass(slots=True, frozen=True)
class Truncation:
    """A reduction of a file to a size in bytes."""

    size: int


Change = Write | Truncation


@dataclass(slots=True, eq=False)
class Node:
    """One file.

    Attributes:
        content: The content as this process sees it.
        durable_path: Path of the file on the real disk once `is_durable` is set.
        is_durable: Whether the file exists on the real disk.
        unsynced: Changes that are not durable yet.
    """

    content: bytearray
    durable_path: Path
    is_durable: bool = False
    unsynced: list[Change] = field(default_factory=list)


class Disk:
    """All files that were opened through the disk. Its methods raise OSError; any thread may call them.

    Attributes:
        operations: Number of writes, syncs and changes of names so far.
        reads: Number of reads so far.
        before: Called before each operation with its number and kind; may raise in its place.
        before_read: Called before each read with its number; may raise in its place.
    """

    def __init__(self, control: Path | None = None) -> None:
        self.control, self.orders = control, Orders()
        self.nodes: dict[Path, Node] = {}
        self.removed: set[Path] = set()
        self.moves: list[tuple[Node, Path | None]] = []  # not durable yet; None for a removal
        self.random = random.Random(0)
        self.lock = threading.RLock()
        self.is_off = False
        self.operations = self.reads = 0
        self.before: Callable[[int, str], None] = lambda _count, _operation: None
        self.before_read: Callable[[int], None] = lambda _count: None
        self._control_version: tuple[int, int] | None = None  # time and size of the control file

    def cut_power(self, draw: random.Random | None = None) -> None:
        """Fail all later operations. With `draw`, some unsynced changes reach the disk first."""
        self.is_off = True
        with self.lock:
            if draw is None:
                return
            for node in self.nodes.values():
                for change in node.unsynced:
                    if draw.random() < LEAK_PROBABILITY_AT_POWER_LOSS:
                        self._make_durable(node, self._torn(change, draw))
            for node, target in self.moves[: draw.randint(0, len(self.moves))]:
                self.make_move_durable(node, target)

    def node(self, path: Path) -> Node | None:
        """Return a file as this process sees it; None if it does not exist."""
        with self.lock:
            node = self.nodes.get(path)
            if node is None and path not in self.removed and path.is_file():
                node = self.nodes[path] = Node(bytearray(path.read_bytes()), path, True)
            return node

    def open(self, path: Path) -> Node:
        """Return a file; an empty one is created if it does not exist."""
        with self.lock:
            node = self.node(path)
            if node is None:
                if any(moved.durable_path == path for moved, _ in self.moves):
                    # Names are journalled in order, so those of the former file become durable first.
                    self._make_all_moves_durable()
                node = self.nodes[path] = Node(bytearray(), path)
                self.removed.discard(path)
            return node

    def write(self, node: Node, offset: int, content: bytes) -> None:
        """Write bytes; they can be read immediately and are durable after `sync`."""
        with self.lock:
            self._start(Operation.WRITE)
            growth = max(0, offset + len(content) - len(node.content))
            if self.orders.full or (0 <= self.orders.room < growth):
                raise OSError(errno.ENOSPC, "the disk is full")
            if growth:
                node.content.extend(bytes(growth))
            node.content[offset : offset + len(content)] = content
            self._add_unsynced(node, Write(offset, content))

    def truncate(self, node: Node, size: int) -> None:
        """Truncate a file to a size in bytes; durable after `sync`."""
        with self.lock:
            self._start(Operation.WRITE)
            del node.content[size:]
            self._add_unsynced(node, Truncation(size))

    def sync(self, node: Node) -> None:
        """Make a file's changes durable, unless `lie_sync` is set."""
        with self.lock:
            try:
                self._start(Operation.SYNC)
            except OSError:
                # The kernel considers the data clean from now on, so no later sync writes it.
                node.unsynced.clear()
                raise
            if self.orders.lie_sync:
                return
            for change in node.unsynced:
                self._make_durable(node, change)
            node.unsynced.clear()

    def move(self, old: Path, new: Path) -> None:
        """Rename a file; durable after `sync_names`."""
        with self.lock:
            self._start(Operation.CHANGE_NAMES)
            node = self.node(old)
            if node is None:
                raise FileNotFoundError(errno.ENOENT, str(old))
            self.nodes[new] = self.nodes.pop(old)
            self.removed.add(old)
            self.removed.discard(new)
            self.moves.append((node, new))

    def remove(self, path: Path) -> None:
        """Remove a file; durable after `sync_names`."""
        with self.lock:
            node = self.node(path)
            if node is None:
                return
            self._start(Operation.CHANGE_NAMES)
            del self.nodes[path]
            self.removed.add(path)
            self.moves.append((node, None))

    def sync_names(self) -> None:
        """Make all moves and removals so far durable, unless `lie_sync` is set."""
        with self.lock:
            self._start(Operation.SYNC)
            if self.orders.lie_sync:
                return
            self._make_all_moves_durable()

    def start_read(self) -> None:
        """Count the read of a file or folder, which may fail."""
        self.reads += 1
        self.before_read(self.reads)
        self._update_orders()
        if self.orders.fail_read and self.random.random() < self.orders.fail_read:
            raise OSError(errno.EIO, "a read failed, as the control file specifies")

    def _start(self, operation: Operation) -> None:
        """Count an operation, which may stall or fail."""
        self.operations += 1
        self.before(self.operations, operation)
        self._update_orders()
        while self.orders.stall and not self.is_off:
            time.sleep(STALL_POLL_INTERVAL_S)
            self._update_orders()
        if self.orders.stall_ms:
            time.sleep(self.orders.stall_ms / 1000.0)
        if self.is_off:
            raise OSError(errno.EIO, "the power is off")
        probability = self.orders.fail_write if operation is Operation.WRITE else self.orders.fail_sync
        can_fail = operation is not Operation.CHANGE_NAMES and probability
        if can_fail and self.random.random() < probability:
            raise OSError(errno.EIO, f"a {operation} failed, as the control file specifies")

    def _update_orders(self) -> None:
        """Read the control file again if it has changed; ignore it while it is invalid or half-written."""
        if self.control is None:
            return
        try:
            stat = self.control.stat()
            version = (stat.st_mtime_ns, stat.st_size)
            if version == self._control_version:
                return
            orders = Orders.parse(self.control.read_text() or "{}")
        except FileNotFoundError:
            orders, version = Orders(), (0, 0)
        except ValueError:
            return
        if orders.seed != self.orders.seed:
            self.random = random.Random(orders.seed)
        self.orders, self._control_version = orders, version

    def _add_unsynced(self, node: Node, change: Change) -> None:
        node.unsynced.append(change)
        if self.orders.leak and self.random.random() < self.orders.leak:
            self._make_durable(node, self._torn(change, self.random))

    @staticmethod
    def _torn(change: Change, draw: random.Random) -> Change:
        """Return a change, or a write of its first part."""
        if isinstance(change, Truncation) or draw.random() < COMPLETE_WRITE_PROBABILITY:
            return change
        return Write(change.offset, change.content[: draw.randint(0, len(change.content))])

    @staticmethod
    def _make_durable(node: Node, change: Change) -> None:
        if not node.is_durable:
            node.durable_path.write_bytes(b"")
            node.is_durable = True
        with open(node.durable_path, "r+b") as file:
            if isinstance(change, Truncation):
                file.truncate(change.size)
            else:
                file.seek(change.offset)
                file.write(change.content)

    def _make_all_moves_durable(self) -> None:
        for node, target in self.moves:
            self.make_move_durable(node, target)
        self.moves.clear()

    @staticmethod
    def make_move_durable(node: Node, target: Path | None) -> None:
        """Move a file on the real disk, or remove it there if the new path is None."""
        if target is None:
            if node.is_durable:
                node.durable_path.unlink(missing_ok=True)
            node.is_durable = False
            return
        if not node.is_durable:
            # The name becomes durable before the content: after a power loss the file is empty.
            node.durable_path.write_bytes(b"")
            node.is_durable = True
        os.replace(node.durable_path, target)
        node.durable_path = target
