"""Power losses at every write and sync: no record reported as durable is lost, and the ledger opens again."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cottonhold.emulator import disk as disk_module
from cottonhold.emulator.disk import install
from cottonhold.emulator.lossy_disk import Orders
from cottonhold.store import ledger_folder
from cottonhold.store.files import Files
from cottonhold.store.health import DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.record_file import RecordFile
from cottonhold.store.records import LoadState
from tests.store.history import SMALL, VFS, LedgerRun, script


def count_operations(folder: Path) -> int:
    """Return the number of writes and syncs in the whole script."""
    play = LedgerRun(folder)
    assert play.open()
    script(play)
    return play.disk.operations


def lose_power_at_each_operation(
    folder: Path, counts: Iterable[int], keeps_some_writes: bool = False
) -> None:
    """Run the script once for each count, with a power loss at this operation.

    With `keeps_some_writes`, a random part of the unsynced writes reaches the disk.
    """
    for count in counts:
        play = LedgerRun(folder / f"{count}-{keeps_some_writes}")
        play.folder.mkdir(parents=True)
        chance = random.Random(count) if keeps_some_writes else None
        run_with_power_loss(play, count, chance)
        play.cut_power()
        for _ in range(2):
            assert play.open(), "it didn't open"
            assert play.send(100) and play.mark_complete()
            play.cut_power(chance)


def run_with_power_loss(play: LedgerRun, count: int, chance: random.Random | None) -> None:
    """Run the script with a power loss at the `count`th operation, which may be while the ledger opens."""
    play.disk = install(VFS)
    play.cut_power_at(count, chance)
    if play.reopen():
        script(play)


@pytest.mark.parametrize("keeps_some_writes", [False, True], ids=["unsynced-lost", "some-unsynced-kept"])
def test_a_power_loss_at_any_write_or_sync_loses_nothing_reported(
    tmp_path: Path, keeps_some_writes: bool
) -> None:
    last = count_operations(tmp_path / "whole")
    assert last > 100
    lose_power_at_each_operation(tmp_path, range(1, last + 1), keeps_some_writes)


LOSS_ERROR = "became|a power loss made it incomplete"


def done_before_sync(ledger: Ledger, group: list[Any], commit: Callable[..., bool]) -> bool:
    ledger._report(group, True)
    for write in group:
        write.on_written = None
    return commit(ledger, group)


def failed_sync_is_done(ledger: Ledger, group: list[Any], commit: Callable[..., bool]) -> bool:
    commit(ledger, group)
    return True


@pytest.mark.parametrize("defect", [done_before_sync, failed_sync_is_done])
def test_a_commit_reported_without_a_successful_sync_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, defect: Callable[..., bool]
) -> None:
    commit = Ledger._commit
    last = count_operations(tmp_path / "whole")
    monkeypatch.setattr(Ledger, "_commit", lambda ledger, group: defect(ledger, group, commit))
    with pytest.raises(AssertionError, match=LOSS_ERROR):
        lose_power_at_each_operation(tmp_path, range(1, last + 1))


def test_a_missing_sync_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pragma = RecordFile._pragma
    full, off = "synchronous = FULL", "synchronous = OFF"
    monkeypatch.setattr(
        RecordFile, "_pragma", lambda record_file, step: pragma(record_file, off if step == full else step)
    )
    with pytest.raises(AssertionError, match=LOSS_ERROR):
        lose_power_at_each_operation(tmp_path, range(1, 200))


def test_a_record_written_after_its_send_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    put = Ledger.put

    def report_before_write(ledger: Ledger, records: Any, done: Callable[[bool], None]) -> None:
        done(True)
        put(ledger, records)

    monkeypatch.setattr(Ledger, "put", report_before_write)
    with pytest.raises(AssertionError, match=LOSS_ERROR):
        lose_power_at_each_operation(tmp_path, range(1, 200))


def test_a_rename_before_the_sync_of_its_content_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def replace_without_sync(files: Files, path: Path, content: bytes) -> None:
        new = path.with_name(path.name + ".new")
        files.append(new, content, truncate=True)
        files.move(new, path)
        files.sync_folder(path.parent)

    for has_defect in (False, True):
        with monkeypatch.context() as patched:
            if has_defect:
                patched.setattr(Files, "replace", replace_without_sync)
            play = LedgerRun(tmp_path / str(has_defect))
            play.folder.mkdir()
            assert play.open() and play.send(1)
            play.cut_power()
            empty = (play.folder / "a.life").read_bytes() == b""
            assert empty == has_defect


def fail_one_sync(play: LedgerRun) -> None:
    """Fail one sync, then write a load successfully, and lose power."""
    assert play.open() and play.send(1) and play.mark_complete()
    play.disk.orders = Orders(fail_sync=1)
    assert not play.send(2)
    play.disk.orders = Orders()
    play.wait_until_healthy()
    assert play.send(4, LoadState.NEVER_SENT)
    play.cut_power()
    assert play.open()


def test_after_a_failed_sync_all_records_are_rewritten(tmp_path: Path) -> None:
    play = LedgerRun(tmp_path)
    fail_one_sync(play)
    assert play.ledger is not None and play.ledger.folder.generation == 3, "the failure and the power loss"
    play.close(True)


def test_a_repeated_sync_after_a_failure_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def repeat(file: disk_module._File, _flags: int) -> None:
        try:
            file.disk.sync(file.node)
        except OSError:
            file.disk.orders = Orders()
            file.disk.sync(file.node)

    monkeypatch.setattr(disk_module._File, "xSync", repeat)
    play = LedgerRun(tmp_path)
    assert play.open() and play.send(1) and play.mark_complete()
    play.disk.orders = Orders(fail_sync=1)
    assert play.send(2), "the second sync reported success"
    play.cut_power()
    with pytest.raises(AssertionError, match=LOSS_ERROR):
        play.open()


def restart_after_a_failed_sync(play: LedgerRun) -> None:
    """Restart without a power loss: the kernel's cache still has what the failed sync should have written."""
    assert play.open() and play.send(1) and play.mark_complete()
    play.disk.orders = Orders(fail_sync=1)
    assert not play.send(2)
    play.close(True)
    play.disk.orders = Orders()
    assert play.reopen() and play.send(3)
    play.cut_power()
    assert play.open()
    play.close(True)


def test_a_restart_does_not_rely_on_the_kernels_cache(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Without checkpoints, which would write the lost pages again by chance.
    settings = replace(SMALL, file_sizes=replace(SMALL.file_sizes, checkpoint_pages=1000))
    restart_after_a_failed_sync(LedgerRun(tmp_path / "right", settings))
    monkeypatch.setattr(ledger_folder, "_was_closed_cleanly", lambda boot_file: boot_file is not None)
    with pytest.raises(AssertionError, match=LOSS_ERROR):
        restart_after_a_failed_sync(LedgerRun(tmp_path / "with-defect", settings))


def test_a_disk_that_ignores_syncs_is_detected(tmp_path: Path) -> None:
    """No ledger can protect against such a disk, but the checker must detect the loss."""
    play = LedgerRun(tmp_path)
    assert play.open() and play.send(1) and play.mark_complete()
    play.disk.orders = Orders(lie_sync=True)
    assert play.send(2)
    play.cut_power()
    with pytest.raises(AssertionError, match=LOSS_ERROR):
        play.open()


def test_the_ledger_stays_failed_while_the_disk_fails(tmp_path: Path) -> None:
    play = LedgerRun(tmp_path)
    assert play.open() and play.send(1) and play.mark_complete()
    play.disk.orders = Orders(fail_sync=1)
    for number in range(2, 6):
        assert not play.send(number)
    assert play.ledger is not None and play.ledger.health(0.0).state is DiskState.FAILED
    play.cut_power()
    assert play.open()
    play.close(True)


STEPS = st.one_of(
    st.tuples(st.just("send"), st.integers(1, 12)),
    st.tuples(st.just("end"), st.integers(1, 12)),
    st.tuples(st.just("forget"), st.integers(1, 12)),
    st.tuples(st.just("settle"), st.just(0)),
    st.tuples(st.just("close"), st.just(0)),
    st.tuples(st.just("cut"), st.integers(0, 40)),
    st.tuples(st.just("fail"), st.integers(0, 1)),
)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(steps=st.lists(STEPS, max_size=25), seed=st.integers(0, 2**32))
def test_any_history_of_faults_loses_nothing_reported(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int]], seed: int
) -> None:
    play, chance = LedgerRun(tmp_path_factory.mktemp("history")), random.Random(seed)
    assert play.open()
    for step, number in steps:
        if step == "send":
            play.send(number)
        elif step == "end":
            play.send(number, LoadState.COMPLETED)
        elif step == "forget":
            play.remove(number)
        elif step == "settle":
            play.mark_complete()
        elif step == "fail":
            play.disk.orders = Orders(fail_sync=0.2, fail_write=0.1, leak=0.2) if number else Orders()
        elif step == "cut":
            play.cut_power_at(number, chance)
        if step == "close" or play.disk.is_off:
            # The power loss may happen during the close.
            play.disk.orders = play.disk.orders if play.disk.is_off else Orders()
            play.close(True)
            if play.disk.is_off or not play.reopen():
                assert play.disk.is_off and play.open()
    play.cut_power(chance)
    assert play.open()
    play.close(True)
