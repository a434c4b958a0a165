"""Random bytes from the event stream: valid parts are applied, and no number causes a later failure."""

from __future__ import annotations

from typing import Any

import orjson
from hypothesis import example, given
from hypothesis import strategies as st

from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.event_stream import SOURCE, EventStream, PollConnection
from cottonhold.discovery.model import ConfiguredNames, PublishChange, SourceGuard, SourceReport
from cottonhold.message_validation import WireError
from cottonhold.observe.counters import Counters
from tests.support.drawn_cases import CASES, ODD, has_no_faults
from tests.support.scenario import World

ENTRY: dict[str, Any] = {
    "instanceId": "s-1",
    "hostPort": "10.0.0.1:90",
    "zone": "z",
    "machineType": "a",
    "cell": 1,
    "lifecycle": "Ready",
    "weight": 4,
    "startedAtMs": 0,
}
ADDRESSES = st.sampled_from(["a:²", "a:" + "9" * 5000, ":1", "a", "[::1]:5", "\ud7ff:1", "1.2.3.4:0"])
ENTRIES = st.builds(
    lambda key, value: {**ENTRY, key: value}, st.sampled_from(sorted(ENTRY)), st.one_of(ODD, ADDRESSES)
)
EVENTS = st.one_of(
    ODD,
    st.builds(
        lambda offset, entries, reset: {"offset": offset, "topology": {"instances": entries, "reset": reset}},
        st.one_of(st.integers(0, 9), ODD),
        st.one_of(ODD, st.lists(st.one_of(ENTRIES, ODD), max_size=3)),
        st.one_of(st.booleans(), ODD),
    ),
)
LISTS = st.builds(
    lambda offset, batch: orjson.dumps({"offset": offset, "batch": batch}),
    st.one_of(st.integers(2, 9), ODD),
    st.one_of(ODD, st.lists(EVENTS, max_size=3)),
)


def bus(reports: list[SourceReport], counters: Counters) -> PollConnection:
    return PollConnection(EventStream("h", 1, ConfiguredNames(("z",), ("a",)), counters, reports.append))


def answered(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@CASES
@given(st.one_of(LISTS.map(answered), st.binary(max_size=80), st.binary(max_size=40).map(answered)))
@example(answered(orjson.dumps({"offset": 2, "batch": [{"offset": 2, "topology": {"instances": [
    {**ENTRY, "hostPort": "a:²"}, ENTRY]}}]})))  # fmt: skip
def test_an_event_list_of_any_bytes_is_applied_or_refused(data: bytes) -> None:
    """Valid parts reach the gateway, and no number in them makes the scheduler fail."""
    reports, counters = list[SourceReport](), Counters()
    try:
        bus(reports, counters).receive(data)
    except WireError:
        assert counters.counts["bus_malformed"]
    world = World().run("c1 query lookup r1\ne1 expect GET r1 *")
    world.label_engine = lambda name: name  # type: ignore[method-assign]  # any engine comes up, and never answers
    catalog = EngineCatalog(((SOURCE, SourceGuard(is_trusted=True)),), 1)
    for report in reports:
        for action in catalog.step(world.clock.now(), [report]):
            if isinstance(action, PublishChange):
                world.gateway.on_engine_list(action.change)
    world.wait(50.0)
    world.run("c2 query lookup r2")
    world.wait(50.0)
    assert has_no_faults(world), world.log
    world.wait(6000.0)
    assert has_no_faults(world) and len(world.clients["c2"].received) == 1, world.log


def test_an_unreadable_entry_affects_only_itself() -> None:
    """Guards against an invalid entry (a port with a non-ASCII digit) that makes a whole answer unusable."""
    entries = [{**ENTRY, "hostPort": "a:²"}, {**ENTRY, "hostPort": "a:" + "9" * 5000}, ENTRY]
    body = orjson.dumps({"offset": 2, "batch": [{"offset": 2, "topology": {"instances": entries}}]})
    reports, counters = list[SourceReport](), Counters()
    assert bus(reports, counters).receive(answered(body))
    assert [o.id for o in reports[0].observations] == ["s-1"] and counters.counts["bus_malformed"] == 2
