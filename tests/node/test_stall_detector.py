"""After a stall, decisions wait until all input has been read."""

from __future__ import annotations

from cottonhold.node.stall_detector import ITERATIONS, STALL_MS, TICK_MS, StallDetector
from tests.support.scenario import FakeClock


def settle() -> None:
    """Do nothing between two timers."""


def test_without_a_stall_nothing_is_delayed() -> None:
    clock = FakeClock()
    detector = StallDetector(clock)
    for _ in range(50):
        clock.run_until(clock.now_ms + 10.0, settle)
        assert not detector.delay(settle)


def test_after_a_stall_decisions_follow_the_input_of_some_iterations() -> None:
    clock, order = FakeClock(), list[str]()
    detector = StallDetector(clock)
    clock.now_ms += TICK_MS + STALL_MS + 1.0
    assert detector.delay(lambda: order.append("decision"))

    def read(remaining: int) -> None:
        order.append("input")
        if remaining:
            clock.call_soon(lambda: read(remaining - 1))

    clock.call_soon(lambda: read(ITERATIONS - 2))
    clock.run_until(clock.now_ms, settle)
    assert order == ["input"] * (ITERATIONS - 1) + ["decision"]
    assert not detector.delay(settle)


def test_a_stall_during_the_delay_is_noticed() -> None:
    clock = FakeClock()
    detector = StallDetector(clock)
    for _ in range(3):
        clock.now_ms += TICK_MS + STALL_MS + 1.0
        assert detector.delay(settle)
        clock.run_until(clock.now_ms, settle)
    assert not detector.delay(settle)
