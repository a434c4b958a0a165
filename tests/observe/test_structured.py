"""Tests of structured log lines: formats, rate limit and secrets."""

from __future__ import annotations

import io
import json

from cottonhold.observe.structured import StructuredLog


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_log(form: str = "json", secrets: tuple[str, ...] = ()) -> tuple[StructuredLog, io.StringIO, Clock]:
    stream, clock = io.StringIO(), Clock()
    return StructuredLog(form, 10.0, 5.0, secrets, stream, clock, name="n1"), stream, clock


def read_lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_an_event_is_one_line_in_either_format() -> None:
    for form, expected in (("json", '"event": "engine_out"'), ("logfmt", "event=engine_out")):
        log, stream, _ = make_log(form)
        log.note("engine_out", engine="e 1", why='a "quoted"\nreason')
        assert expected in stream.getvalue() and stream.getvalue().count("\n") == 1


def test_a_burst_is_limited_and_the_next_line_reports_the_dropped_events() -> None:
    log, stream, clock = make_log()
    for i in range(1000):
        log.note("storm" if i % 10 else "other", i=i)
    clock.now = 1.0
    log.write_line("calm")
    got = read_lines(stream)
    assert len(got) == 6 and got[-1]["dropped"] == 995 and got[-1]["dropped_most"] == "storm"


def test_dropped_events_of_many_names_are_counted_in_bounded_memory() -> None:
    log, _, _ = make_log()
    for i in range(5000):
        log.note(f"event {i}")
    assert len(log.limiter.dropped) <= 65 and sum(log.limiter.dropped.values()) == 4995


def test_secrets_are_never_printed_in_any_field() -> None:
    log, stream, _ = make_log(secrets=("s3cr3t",))
    log.note("call", token="x", X_Consul_Token="y", why="403 for s3cr3t", deep={"list": ["s3cr3t!"]})
    log.write_line("s3cr3t")
    text = stream.getvalue()
    assert "s3cr3t" not in text and text.count("(hidden)") == 5
    log.reconfigure("logfmt", 10.0, 5.0, ["new-one"])
    log.note("after", why="s3cr3t and new-one")
    assert "s3cr3t" not in stream.getvalue() and "new-one" not in stream.getvalue()
