"""Processes share the ids of sent requests in files; a failing file harms neither process."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from cottonhold.node.sent_request_files import KnownRequest, SentRequests
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.sent_requests import TABLE_BYTES
from tests.support.scenario import FakeClock

ID, OTHER_ID = "00000000000000aa", "00000000000000bb"


def process(folder: Path, slot: int, running: tuple[int, ...], log: list[str] | None = None) -> SentRequests:
    sent = SentRequests(
        FakeClock(),
        Counters(),
        (log if log is not None else []).append,
        lambda number: str(folder / f"sent{number}"),
        slot,
    )
    sent.start(running)
    return sent


def two_processes(folder: Path) -> tuple[SentRequests, SentRequests]:
    older, newer = process(folder, 0, ()), process(folder, 1, (0,))
    older.on_running_processes((1,))
    newer.on_running_processes((0,))
    return older, newer


def test_alone_a_process_writes_nothing(tmp_path: Path) -> None:
    sent = process(tmp_path, 0, ())
    assert sent.begin(ID, is_repeatable=False) is KnownRequest.NEW
    assert sent.find(ID) is KnownRequest.MAY_HAVE_RUN and list(tmp_path.iterdir()) == []


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_each_process_knows_what_the_other_has_sent(tmp_path: Path, is_repeatable: bool) -> None:
    older, newer = two_processes(tmp_path)
    known = KnownRequest.OUT if is_repeatable else KnownRequest.MAY_HAVE_RUN
    older.begin(ID, is_repeatable)
    newer.begin(OTHER_ID, is_repeatable)
    assert newer.find(ID) is known and older.find(OTHER_ID) is known
    older.end(ID)
    assert newer.find(ID) is KnownRequest.NEW


def test_what_was_sent_before_the_other_process_began_is_known_to_it(tmp_path: Path) -> None:
    older = process(tmp_path, 0, ())
    older.begin(ID, is_repeatable=False)
    older.on_running_processes((1,))
    assert process(tmp_path, 1, (0,)).find(ID) is KnownRequest.MAY_HAVE_RUN


def test_two_processes_that_begin_at_the_same_time_do_not_both_send(tmp_path: Path) -> None:
    older, newer = two_processes(tmp_path)
    begun = [older.begin(ID, is_repeatable=False), newer.begin(ID, is_repeatable=False)]
    assert begun.count(KnownRequest.NEW) <= 1


def test_what_an_ended_process_may_have_run_is_taken_over(tmp_path: Path) -> None:
    older, newer = two_processes(tmp_path)
    older.begin(ID, is_repeatable=False)
    older.begin(OTHER_ID, is_repeatable=True)
    newer.on_running_processes(())
    assert newer.find(ID) is KnownRequest.MAY_HAVE_RUN and newer.find(OTHER_ID) is KnownRequest.NEW
    assert newer.files_of_others == {}
    assert process(tmp_path, 2, (1,)).find(ID) is KnownRequest.MAY_HAVE_RUN


@pytest.mark.parametrize("content", [b"", b"x" * 100, b"\xff" * (TABLE_BYTES + 5)])
def test_a_strange_file_harms_nothing(tmp_path: Path, content: bytes) -> None:
    (tmp_path / "sent1").write_bytes(content)
    sent = process(tmp_path, 0, (1,))
    assert sent.find(ID) is KnownRequest.NEW and sent.begin(ID, is_repeatable=True) is KnownRequest.NEW


def test_failing_writes_are_logged_once_and_requests_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*arguments: object) -> int:
        raise OSError(28, "No space left on device")

    log = list[str]()
    monkeypatch.setattr(os, "pwrite", fail)
    sent = process(tmp_path, 0, (1,), log)
    for _ in range(3):
        assert sent.begin(ID, is_repeatable=False) is KnownRequest.NEW
    assert len(log) == 1 and "can't be shared" in log[0]
    assert sent.counters.counts["sent_requests_unshared"] == 4


def test_failing_reads_are_counted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*arguments: object) -> bytes:
        raise OSError(5, "Input/output error")

    older, newer = two_processes(tmp_path)
    older.begin(ID, is_repeatable=False)
    monkeypatch.setattr(os, "pread", fail)
    assert newer.find(ID) is KnownRequest.NEW and newer.counters.counts["sent_requests_unread"] == 1


def test_without_a_slot_nothing_is_shared() -> None:
    sent = SentRequests(FakeClock(), Counters(), print)
    sent.start(())
    sent.on_running_processes(())
    sent.begin(ID, is_repeatable=False)
    assert sent.find(ID) is KnownRequest.MAY_HAVE_RUN and not os.path.exists("-1")
