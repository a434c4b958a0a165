"""Consul's protocol without sockets: service statuses, responses, HTTP, the watch and the registration."""

from __future__ import annotations

import contextlib
import gzip
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.discovery.consul.health_entry import EntryInterpretation
from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.http_exchange import HttpRequest, HttpResponse, HttpResponseParser
from cottonhold.discovery.consul.registration import Registration, RegistrationPhase, RegistrationSettings
from cottonhold.discovery.consul.watch import ServiceWatch, WatchSettings
from cottonhold.discovery.model import (
    Address,
    ConfiguredNames,
    ServiceStatus,
    SourceReport,
    SourceUnavailable,
)
from cottonhold.message_validation import WireError
from tests.support.drawn_cases import ODD, value_paths, with_value

NAMES = ConfiguredNames(("z0", "z1"), ("std", "big"))
SERF = {"CheckID": "serfHealth", "Status": "passing", "Output": "Agent alive"}


def entry(
    engine_id: str = "e1", *checks: dict[str, Any], service: dict[str, Any] | None = None, **meta: str
) -> Any:
    own_check = {"CheckID": f"check:{engine_id}", "Status": "passing", "Output": "ok", "ServiceID": engine_id}
    return {
        "Node": {"Node": "node-1", "Address": "10.0.0.1", "Datacenter": "z1"},
        "Service": {"ID": engine_id, "Port": 1000, "CreateIndex": 5, "Meta": meta, **(service or {})},
        "Checks": [SERF, *(checks or [own_check])],
    }


def body(*entries: Any) -> bytes:
    return json.dumps(entries).encode()


def make_decoder(reading: EntryInterpretation | None = None) -> tuple[HealthResponseDecoder, list[str]]:
    malformed: list[str] = []
    return HealthResponseDecoder(NAMES, reading or EntryInterpretation(), malformed.append), malformed


def check(status: str, engine_id: str = "check:e1", service: str = "e1", **more: str) -> dict[str, str]:
    return {"CheckID": engine_id, "Status": status, "ServiceID": service, "Output": "words", **more}


@pytest.mark.parametrize(
    "checks, reading, verdict, reason",
    [
        ([check("passing")], {}, ServiceStatus.IN_SERVICE, "passing"),
        ([check("warning")], {}, ServiceStatus.IN_SERVICE, "check check:e1 is warning: words"),
        (
            [check("warning")],
            {"status_if_warning": ServiceStatus.UNHEALTHY},
            ServiceStatus.UNHEALTHY,
            "check check:e1 is warning",
        ),
        ([check("critical")], {}, ServiceStatus.UNHEALTHY, "check check:e1 is critical: words"),
        ([check("odd")], {}, ServiceStatus.UNHEALTHY, "check check:e1 is 'odd', which isn't known"),
        (
            [check("passing"), check("critical", "serfHealth", "")],
            {},
            ServiceStatus.UNHEALTHY,
            "the node has failed",
        ),
        ([check("passing", "x", "other")], {}, ServiceStatus.IN_SERVICE, "no check of its own"),
        (
            [check("passing", "x", "")],
            {"status_if_unchecked": ServiceStatus.UNHEALTHY},
            ServiceStatus.UNHEALTHY,
            "no check of its own",
        ),
        (
            [check("critical"), check("critical", "_service_maintenance:e1", notes="", Notes="disk swap")],
            {},
            ServiceStatus.DRAINED,
            "service maintenance: disk swap",
        ),
        (
            [check("passing"), check("critical", "_node_maintenance", "")],
            {},
            ServiceStatus.DRAINED,
            "node maintenance: words",
        ),
    ],
)
def test_checks_map_to_a_service_status_and_its_reason(
    checks: list[Any], reading: dict[str, Any], verdict: ServiceStatus, reason: str
) -> None:
    reader, _ = make_decoder(EntryInterpretation(**reading))
    (got,) = reader.decode_health_response(body(entry("e1", *checks))).observations
    assert got.status is verdict and got.reason.startswith(reason)


def test_an_entry_becomes_an_observation() -> None:
    reader, malformed = make_decoder()
    service = {"Address": "10.0.0.7", "Weights": {"Passing": 4, "Warning": 2}}
    meta = {"machine_type": "big", "cell": "3", "started_at_ms": "1700000000000"}
    got = reader.decode_health_response(
        body(entry(service=service, **meta), entry("e2", cell="x", started_at_ms="nan"))
    ).observations
    first, second = got
    assert first.address == Address("10.0.0.7", 1000) and (first.zone, first.machine_type, first.cell) == (
        1,
        1,
        3,
    )
    assert (first.size, first.started_at, first.process_id) == (4.0, 1.7e12, "1700000000000")
    assert second.address == Address("10.0.0.1", 1000) and (second.cell, second.process_id) == (0, "")
    assert not malformed


def test_only_changed_entries_are_decoded_and_reported() -> None:
    reader, _ = make_decoder()
    many = [entry(f"e{i}") for i in range(1000)]
    assert len(reader.decode_health_response(body(*many)).observations) == 1000
    many[7] = entry("e7", check("critical", service="e7"))
    del many[500]
    got = reader.decode_health_response(body(*reversed(many)))
    assert [o.id for o in got.observations] == ["e7"] and got.absent_ids == ("e500",)
    assert reader.decoded_count == 1001


@pytest.mark.parametrize(
    "spoil", [{"Service": {"ID": "e1"}}, 7, {**entry(), "Checks": None}, entry(service={"Port": 0})]
)
def test_an_unreadable_entry_is_counted_and_its_engine_is_not_absent(spoil: Any) -> None:
    reader, malformed = make_decoder()
    reader.decode_health_response(body(entry("e1"), entry("e2")))
    got = reader.decode_health_response(body(spoil, entry("e2")))
    assert (got.observations, got.absent_ids, len(malformed)) == ((), (), 1)
    assert not got.is_complete
    assert reader.decode_health_response(body(entry("e2"))).absent_ids == ("e1",)


@pytest.mark.parametrize("malformed_value", [b"", b"{}", b"[", b'[{"Node":\xff}]', b"7"])
def test_an_unreadable_response_changes_nothing(malformed_value: bytes) -> None:
    reader, _ = make_decoder()
    reader.decode_health_response(body(entry("e1")))
    with pytest.raises(WireError):
        reader.decode_health_response(malformed_value)
    assert reader.decode_health_response(body(entry("e1"))).observations == ()


def test_while_an_engine_moves_the_later_registration_counts() -> None:
    reader, _ = make_decoder()
    old, new = entry(), entry(service={"CreateIndex": 9, "Address": "10.0.0.9"})
    for order in ((old, new), (new, old)):
        reader.reset()
        (got,) = reader.decode_health_response(body(*order)).observations
        assert got.address == Address("10.0.0.9", 1000)
    by_node, _ = make_decoder(EntryInterpretation(ids_include_node=True))
    assert by_node.decode_health_response(body(old)).observations[0].id == "node-1/e1"


def test_the_first_response_is_complete_unless_an_entry_is_unreadable() -> None:
    """Guards against configured engines that stay forever although Consul's first answer lacks them."""
    reader, _ = make_decoder()
    assert not reader.decode_health_response(body(entry("e1"), 7)).is_complete
    second = reader.decode_health_response(body(entry("e1"), entry("e2")))
    assert second.is_complete and [o.id for o in second.observations] == ["e1", "e2"]
    assert not reader.decode_health_response(body(entry("e1"))).is_complete
    reader.reset()
    assert reader.decode_health_response(body(entry("e1"))).is_complete


def response(data: bytes, *headers: str, status: str = "200 OK") -> bytes:
    lines = [f"HTTP/1.1 {status}", *(headers or [f"Content-Length: {len(data)}"]), "", ""]
    return "\r\n".join(lines).encode() + data


def chunked(data: bytes) -> bytes:
    parts = [data[i : i + 7] for i in range(0, len(data), 7)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 3, 10_000])
@pytest.mark.parametrize(
    "wire",
    [
        response(b"some text"),
        response(chunked(b"some text"), "Transfer-Encoding: chunked"),
        response(
            chunked(gzip.compress(b"some text", mtime=0)),
            "Transfer-Encoding: chunked",
            "Content-Encoding: gzip",
        ),
    ],
)
def test_a_response_is_parsed_however_it_is_split(wire: bytes, size: int) -> None:
    exchange = HttpResponseParser(1000)
    got = [exchange.receive(wire[i : i + size]) for i in range(0, len(wire), size)]
    assert (
        got[-1] is not None
        and got[-1].body == b"some text"
        and not any(got[:-1])
        and exchange.is_connection_reusable
    )


BOMB = gzip.compress(b"0" * 1_000_000, mtime=0)


@pytest.mark.parametrize(
    "wire, why",
    [
        (b"garbage\r\n\r\n", "can't be read"),
        (response(b"x" * 1001), "more than 1000 bytes"),
        (response(BOMB, f"Content-Length: {len(BOMB)}", "Content-Encoding: gzip"), "more than 1000 bytes"),
        (response(b"12345", "Content-Length: 5", "Content-Encoding: gzip"), "compressed body can't be read"),
        (response(b"12345", "Content-Length: 5", "Content-Encoding: br"), "wasn't requested"),
        (
            response(gzip.compress(b"abc", mtime=0)[:-9], "Content-Length: 14", "Content-Encoding: gzip"),
            "body is truncated",
        ),
        (response(b"", *[f"X-{i}: 1" for i in range(200)]), "too many headers"),
        (response(b"a") + response(b"b"), "can't be read|more bytes"),
    ],
)
def test_an_invalid_response_is_refused(wire: bytes, why: str) -> None:
    exchange = HttpResponseParser(1000)
    with pytest.raises(WireError, match=why):
        exchange.receive(wire)
        exchange.receive(b"more")


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_a_response_an_error_or_incomplete(data: bytes, with_head: bool) -> None:
    exchange = HttpResponseParser(1000)
    with contextlib.suppress(WireError):
        exchange.receive(b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + data if with_head else data)


ENTRY = entry("e1", zone="z1", model="big", started_at="5", cell="3", size="2")


@settings(max_examples=500)
@given(
    st.sampled_from(value_paths(ENTRY)),
    st.one_of(ODD, st.just(...), st.sampled_from(["²", "9" * 5000, "nan"])),
)
def test_an_entry_of_odd_values_affects_only_itself(path: tuple[Any, ...], value: Any) -> None:
    odd, malformed = make_decoder()
    observations = odd.decode_health_response(body(with_value(ENTRY, path, value), entry("e2"))).observations
    assert "e2" in [o.id for o in observations] and len(malformed) <= 1
    catalogue = {"Node": "n", "ServiceID": "e1"}
    with contextlib.suppress(WireError):
        odd.decode_catalog_response(
            body(with_value(catalogue, (("Node", "ServiceID")[len(path) % 2],), value))
        )


def test_a_header_with_a_line_break_is_rejected() -> None:
    with pytest.raises(WireError):
        HttpRequest("GET", "/", {"X-Consul-Token": "a\r\nX: b"}).encode("h")


AGENTS = (Address("10.0.0.1", 8500), Address("10.0.0.2", 8500))


def make_watch(**more: Any) -> ServiceWatch:
    return ServiceWatch(WatchSettings("dc1", AGENTS, "engine", **more), make_decoder()[0], 1)


def ok_response(data: bytes, index: int | str = 7, **headers: str) -> HttpResponse:
    named = {k.replace("_", "-"): v for k, v in headers.items()}
    return HttpResponse(200, {"x-consul-index": str(index), **named}, data)


def test_the_first_request_does_not_block_and_the_next_does() -> None:
    w = make_watch(
        datacenter="z1", filter='Service.Meta.a == "b"', tag="t", token="secret", max_wait_ms=8000.0
    )
    first = w.next_request()
    assert first.target == "/v1/health/service/engine?dc=z1&filter=Service.Meta.a+%3D%3D+%22b%22&tag=t&stale"
    assert first.headers == {"X-Consul-Token": "secret"} and first.first_byte_timeout_ms == 1000
    (report,) = w.on_response(ok_response(body(entry())))
    assert isinstance(report, SourceReport) and [o.id for o in report.observations] == ["e1"]
    second = w.next_request()
    # The timeout is the wait time, a sixteenth of it, and a second.
    assert "index=7&wait=8000ms" in second.target and second.first_byte_timeout_ms == 9500


def test_an_equal_response_after_the_wait_reports_no_change() -> None:
    w = make_watch()
    w.on_response(ok_response(body(entry())))
    assert (
        w.on_response(ok_response(body(entry()))) == [SourceReport("dc1", 7)] and w.decoder.decoded_count == 1
    )


def test_a_full_list_after_an_empty_one_under_the_same_index_is_read() -> None:
    """Guards against the assumption that an unchanged index alone proves an unchanged list."""
    w = make_watch()
    w.on_response(ok_response(body(entry())))
    assert w.on_response(ok_response(b"[]")) == [SourceReport("dc1", 7, absent=("e1",))]
    (report,) = w.on_response(ok_response(body(entry())))
    assert isinstance(report, SourceReport) and [o.id for o in report.observations] == ["e1"]


@pytest.mark.parametrize("index, following", [("3", ""), ("0", ""), ("9", "index=9")])
def test_an_index_that_goes_backwards_starts_anew(index: str, following: str) -> None:
    w = make_watch()
    w.on_response(ok_response(body(entry())))
    w.on_response(ok_response(body(entry()), index))
    assert ("index=" in w.next_request().target) is bool(following) and following in w.next_request().target


def test_an_index_of_0_counts_as_1() -> None:
    w = make_watch()
    w.on_response(ok_response(body(entry()), 0))
    assert "index=1&" in w.next_request().target


@pytest.mark.parametrize("malformed_value", [{"x-consul-index": "x"}, {}, {"x-consul-index": "-1"}])
def test_a_response_without_a_usable_index_is_a_failure(malformed_value: dict[str, str]) -> None:
    (event,) = make_watch().on_response(HttpResponse(200, malformed_value, body(entry())))
    assert isinstance(event, SourceUnavailable) and "X-Consul-Index" in event.reason


@pytest.mark.parametrize("headers", [{"x_consul_knownleader": "false"}, {"x_consul_lastcontact": "5000"}])
def test_after_a_stale_response_the_leader_is_queried(headers: dict[str, str]) -> None:
    w = make_watch()
    assert w.on_response(ok_response(b"[]", **headers)) == [] and "stale" not in w.next_request().target
    (event,) = w.on_response(ok_response(b"[]", **headers))
    assert isinstance(event, SourceUnavailable)
    assert w.next_request().target.endswith("?stale")


def test_after_a_failure_the_next_agent_is_tried_and_the_backoff_grows_once_all_have_failed() -> None:
    w = make_watch(min_backoff_ms=100.0, max_backoff_ms=400.0)
    w.on_response(ok_response(body(entry())))
    pauses, addresses = [], []
    for _ in range(10):
        addresses.append(w.address)
        w.on_failure("refused")
        pauses.append(w.next_call_in_ms)
        assert "index" not in w.next_request().target
    assert addresses[:4] == [*AGENTS, *AGENTS]
    for i, max_ms in enumerate([100, 100, 200, 200, 400, 400, 400, 400]):
        assert max_ms / 2 <= pauses[i] <= max_ms
    w.on_response(ok_response(body(entry())))
    assert w.next_call_in_ms == 20.0


@pytest.mark.parametrize(
    "status, headers, min_ms, max_ms",
    [
        (403, {}, 1000, 1000),
        (429, {"retry-after": "3"}, 3000, 3000),
        (429, {"retry-after": "99"}, 5000, 5000),
        (500, {}, 25, 50),
    ],
)
def test_an_error_status_is_a_failure_with_a_pause(
    status: int, headers: dict[str, str], min_ms: float, max_ms: float
) -> None:
    w = make_watch()
    (event,) = w.on_response(HttpResponse(status, headers, b"Permission\ndenied"))
    assert event == SourceUnavailable("dc1", f"10.0.0.1:8500: status {status}: Permission denied")
    assert min_ms <= w.next_call_in_ms <= max_ms


def test_an_absence_is_confirmed_at_the_leader_and_an_empty_catalogue_proves_nothing() -> None:
    w = make_watch()
    w.on_response(ok_response(body(entry("e1"), entry("e2"))))
    w.on_response(ok_response(b"[]", 8))
    w.confirm_absence(("e1", "e2"))
    assert w.next_request().target == "/v1/catalog/service/engine?consistent"
    assert w.on_response(HttpResponse(200, {}, b"[]")) == []
    assert "health" in w.next_request().target
    w.confirm_absence(("e1", "e2"))
    listed = json.dumps([{"Node": "n", "ServiceID": "e2"}]).encode()
    assert w.on_response(HttpResponse(200, {}, listed)) == [
        SourceReport("dc1", 8, absent=("e1",), is_confirmed=True)
    ]
    assert "health" in w.next_request().target
    w.confirm_absence(("e1",))
    w.on_failure("cut")
    assert "health" in w.next_request().target  # a new answer must show first what is still absent


def make_registration(**more: Any) -> Registration:
    settings = RegistrationSettings(
        AGENTS[0], "n 1", "cottonhold", Address("10.1.0.1", 3306), token="t", **more
    )
    return Registration(settings)


OK_RESPONSE = HttpResponse(200, {}, b"")


def test_the_dispatcher_registers_sends_heartbeats_and_deregisters() -> None:
    r = make_registration()
    made = r.next_request(0, 0)
    assert made.target == "/v1/agent/service/register?replace-existing-checks=true"
    wanted = json.loads(made.body)
    assert (wanted["ID"], wanted["Port"], wanted["Check"]["TTL"]) == ("n 1", 3306, "6000ms")
    r.on_response(OK_RESPONSE)
    beat = r.next_request(12, 3)
    assert beat.target == "/v1/agent/check/update/service%3An%201" and r.next_call_in_ms == 2000
    assert json.loads(beat.body) == {
        "Status": "passing",
        "Output": "loop at most 12 ms late; 3 requests open",
    }
    r.on_response(OK_RESPONSE)
    r.begin_deregistration()
    assert r.next_request(0, 0).target == "/v1/agent/service/deregister/n%201"
    r.on_response(OK_RESPONSE)
    assert r.phase is RegistrationPhase.DEREGISTERED


def test_a_lagging_loop_is_critical_until_two_heartbeats_without_lag() -> None:
    r = make_registration()
    r.next_request(0, 0)
    r.on_response(OK_RESPONSE)
    states = []
    for lag in (0, 800, 10, 10, 10):
        states.append(json.loads(r.next_request(lag, 0).body)["Status"])
        r.on_response(OK_RESPONSE)
    assert states == ["passing", "critical", "critical", "passing", "passing"]


@pytest.mark.parametrize("status", [404, 500])
def test_an_agent_without_the_registration_gets_it_again_immediately(status: int) -> None:
    r = make_registration()
    r.next_request(0, 0)
    r.on_response(OK_RESPONSE)
    r.next_request(0, 0)
    r.on_response(HttpResponse(status, {}, b'Unknown check ID "service:n 1"'))
    assert r.phase is RegistrationPhase.ABSENT and r.next_call_in_ms == 0
    assert "register" in r.next_request(0, 0).target
    r.on_response(OK_RESPONSE)
    assert r.registration_count == 2


def test_failures_back_off_to_the_heartbeat_interval_and_deregistration_gives_up() -> None:
    r = make_registration()
    pauses = []
    for _ in range(8):
        r.next_request(0, 0)
        r.on_failure("refused")
        pauses.append(r.next_call_in_ms)
    assert pauses[:3] == [100, 200, 400] and pauses[-1] == 2000
    r.begin_deregistration()
    for _ in range(3):
        assert not r.is_finished()
        r.next_request(0, 0)
        r.on_failure("refused")
    assert r.is_finished()
