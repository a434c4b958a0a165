"""What the event stream sends takes a bounded amount of memory."""

from __future__ import annotations

import json
from typing import Any

import pytest

from cottonhold.discovery.event_stream import MAX_HEAD_BYTES, MAX_ID_CHARACTERS, EventStream, PollConnection
from cottonhold.discovery.model import ConfiguredNames, SourceReport
from cottonhold.emulator.platform.bus import entry
from cottonhold.message_validation import WireError
from cottonhold.observe.counters import Counters


def new_stream(reports: list[SourceReport]) -> EventStream:
    return EventStream("bus", 0, ConfiguredNames(("z0",), ("m8",)), Counters(), reports.append)


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def engine_list(count: int, **changes: Any) -> bytes:
    entries = [entry(f"s-{number:08x}", f"127.0.0.1:{number + 1}") | changes for number in range(count)]
    topology = {"generation": 1, "reset": True, "instances": entries}
    event = {"offset": 1, "topology": topology}
    return json.dumps({"offset": 1, "batch": [event]}, separators=(",", ":")).encode()


@pytest.mark.parametrize("count", [0, 1, 8, 3200])
def test_a_list_of_engines_is_accepted(count: int) -> None:
    reports = list[SourceReport]()
    assert PollConnection(new_stream(reports)).receive(answer(engine_list(count)))
    assert len(reports[0].observations) == count


@pytest.mark.parametrize("part", [b"[],", b"{},", b"[[[]]],"])
def test_an_answer_of_very_many_lists_is_refused(part: bytes) -> None:
    """Guards against an answer that takes twenty times its size once it is parsed."""
    body = b'{"offset":1,"batch":[' + part * 20_000 + b"0]}"
    with pytest.raises(WireError, match="lists and objects"):
        PollConnection(new_stream([])).receive(answer(body))


def test_an_answer_over_the_quota_is_refused() -> None:
    stream = new_stream([])
    stream.max_answer_bytes = 10_000
    with pytest.raises(WireError, match="too large"):
        PollConnection(stream).receive(answer(engine_list(100)))


@pytest.mark.parametrize(
    "head", [b"X-A: b\r\n" * 4000, b"X-" + b"a" * 2 * MAX_HEAD_BYTES, b"X-A: " + b"b" * 2 * MAX_HEAD_BYTES]
)
def test_a_head_that_does_not_end_is_refused(head: bytes) -> None:
    connection, data = PollConnection(new_stream([])), b"HTTP/1.1 200 OK\r\n" + head
    with pytest.raises(WireError):
        for at in range(0, len(data), 1000):
            connection.receive(data[at : at + 1000])


def test_an_engine_with_a_very_long_id_is_skipped() -> None:
    reports = list[SourceReport]()
    stream = new_stream(reports)
    PollConnection(stream).receive(answer(engine_list(1, instanceId="s" * (MAX_ID_CHARACTERS + 1))))
    assert reports[0].observations == () and stream.counters.counts["bus_malformed"] == 1


def test_polls_that_are_answered_with_nothing_go_on_for_ever() -> None:
    connection = PollConnection(new_stream([]))
    for _ in range(1000):
        connection.request()
        assert connection.receive(answer(b'{"offset":0,"batch":[]}'))
