"""The bound of the time that a connection has waited in a listener's queue."""

from __future__ import annotations

from cottonhold.transport.accept_progress import MARK_INTERVAL_MS, MAX_MARKS, AcceptProgress


def accept(progress: AcceptProgress, count: int) -> None:
    for _ in range(count):
        progress.on_accepted()


def test_an_empty_queue_holds_nothing_older() -> None:
    progress = AcceptProgress(100.0)
    assert progress.max_wait_ms(130.0) == 30.0
    progress.on_queue_length(200.0, 0)
    assert progress.max_wait_ms(200.0) == 0.0


def test_the_bound_follows_the_connections_that_were_queued() -> None:
    progress = AcceptProgress(0.0)
    progress.on_queue_length(10.0, 3)
    progress.on_queue_length(50.0, 8)  # five more
    accept(progress, 2)
    assert progress.max_wait_ms(60.0) == 60.0
    accept(progress, 1)
    assert progress.max_wait_ms(60.0) == 50.0
    accept(progress, 5)
    assert progress.max_wait_ms(60.0) == 10.0


def test_a_queue_that_stands_still_keeps_a_limited_number_of_marks() -> None:
    progress = AcceptProgress(0.0)
    for number in range(1, 3 * MAX_MARKS):
        progress.on_queue_length(number * MARK_INTERVAL_MS, 9)
        progress.on_queue_length(number * MARK_INTERVAL_MS + 1, 9)
    assert len(progress.marks) == MAX_MARKS
    end = 4 * MAX_MARKS * MARK_INTERVAL_MS
    assert progress.max_wait_ms(end) == end
    accept(progress, 9)
    assert progress.max_wait_ms(end) == end - MAX_MARKS * MARK_INTERVAL_MS
