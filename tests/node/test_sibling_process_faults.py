"""Errors of slot files in $TMPDIR: the dispatcher still starts, serves and updates its siblings."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cottonhold.config.relay import load_config
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.node.sibling_processes import ProcessRecord, SiblingProcesses
from cottonhold.observe.counters import Counters
from tests.node.test_small_parts import write

CALLS = ["os.open", "os.pread", "os.pwrite", "fcntl.flock"]
ERRORS = [errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EMFILE, errno.ENOLCK, errno.EROFS]


class RecordedLog:
    """A log that stores its lines."""

    def __init__(self) -> None:
        self.lines = list[str]()

    def write_line(self, text: str) -> None:
        self.lines.append(text)

    def note(self, event: str, **fields: object) -> None:
        self.lines.append(event)


def failing(error: int) -> Callable[..., Any]:
    def call(*args: Any) -> Any:
        raise OSError(error, os.strerror(error))

    return call


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("call", CALLS)
def test_a_dispatcher_starts_and_updates_siblings_though_slot_files_fail(
    call: str, error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    config = load_config(write(tmp_path, listen="127.0.0.1:80"), Counters())
    log, descriptors_before = RecordedLog(), descriptors()

    async def scenario() -> None:
        descriptors_inside = descriptors()
        with monkeypatch.context() as patched:
            patched.setattr(f"cottonhold.node.sibling_processes.{call}", failing(error))
            dispatcher = Dispatcher(config, Counters(), asyncio.get_running_loop(), log)
            for _ in range(3):
                dispatcher.update_siblings()
            assert (
                dispatcher.sibling_count == 0 and len([x for x in log.lines if "slot in $TMPDIR" in x]) <= 1
            )
        dispatcher.update_siblings()
        if dispatcher.sibling_processes.file >= 0:
            assert (
                ProcessRecord.decode(Path(dispatcher.sibling_processes._path(0)).read_bytes())
                == dispatcher.sibling_processes.record
            )
            os.close(dispatcher.sibling_processes.file)
        assert descriptors() == descriptors_inside

    asyncio.run(scenario())
    assert descriptors() == descriptors_before


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("call", CALLS)
def test_slot_files_are_reused_after_errors(
    call: str, error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = list[str]()
    first, second = (SiblingProcesses(str(tmp_path), "here", log.append) for _ in range(2))
    with monkeypatch.context() as patched:
        patched.setattr(f"cottonhold.node.sibling_processes.{call}", failing(error))
        for clients in range(3):
            first.publish(ProcessRecord(first.record.start_number, clients + 1))
            second.others()
            first.is_newer_starting()
        assert len(log) == (call == "os.pwrite")
    first.publish(ProcessRecord(first.record.start_number, 3))
    assert second.others() == [first.record]
    os.close(first.file)
    os.close(second.file)


def test_a_write_of_a_partly_written_record_is_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = list[str]()
    first, second = (SiblingProcesses(str(tmp_path), "here", log.append) for _ in range(2))
    pwrite = os.pwrite
    with monkeypatch.context() as patched:
        patched.setattr(
            "cottonhold.node.sibling_processes.os.pwrite", lambda file, data, at: pwrite(file, data[:9], at)
        )
        first.publish(ProcessRecord(first.record.start_number, 3))
    first.publish(ProcessRecord(first.record.start_number, 3))
    assert second.others() == [first.record] and len(log) == 1
    os.close(first.file)
    os.close(second.file)
