"""Messages between instances: encoding, malformed data, and merging in any order and with repetitions."""

from __future__ import annotations

import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.zone_failover.messages import (
    MemberReport,
    Vote,
    ZoneReport,
    decode_zone_reports,
    encode_zone_report,
    encode_zone_reports,
    zone_number,
)
from cottonhold.fleet.zone_failover.operator_overrides import (
    MAX_OVERRIDES,
    Override,
    OverrideMode,
    Overrides,
    decode_overrides,
    encode_overrides,
)
from cottonhold.fleet.zone_failover.quota_lending import (
    QuotaGrant,
    QuotaRequest,
    decode_quota_message,
    encode_quota_message,
)

UINT8 = st.integers(0, 255)
ZONE_REPORT = st.builds(
    ZoneReport,
    st.sampled_from(Vote),
    UINT8,
    UINT8,
    UINT8,
    UINT8.map(lambda n: n / 255),
    st.booleans(),
    st.booleans(),
)
MEMBER_REPORT = st.builds(
    MemberReport,
    st.integers(1, 5),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 65535),
    st.integers(0, 2**32 - 1),
    st.dictionaries(st.integers(0, 65535), ZONE_REPORT, max_size=4),
)
OVERRIDE = st.builds(
    Override,
    st.integers(0, 3),
    st.sampled_from(OverrideMode),
    st.integers(0, 3),
    st.integers(1, 4),
    st.integers(0, 10**6).map(float),
    st.text(max_size=6),
    st.text(max_size=20),
)


@given(st.lists(MEMBER_REPORT, max_size=6))
def test_reports_are_decoded_as_encoded(reports: list[MemberReport]) -> None:
    data = encode_zone_reports(reports, 200)
    assert len(data) <= 200
    decoded = decode_zone_reports(data)
    remaining = iter(reports)
    assert all(any(report == other for other in remaining) for report in decoded), "in their order"
    assert decoded[:1] == reports[:1]


@given(st.lists(MEMBER_REPORT, max_size=12), st.randoms())
def test_reports_merge_in_any_order_and_any_number_of_times(
    reports: list[MemberReport], random_source: random.Random
) -> None:
    newest = dict[object, MemberReport]()
    for report in reports:  # an instance never sends two different reports with one stamp
        newest.setdefault((report.member, report.stamp), report)
    results = []
    for _ in range(2):
        arrivals = [*newest.values(), *random_source.sample(list(newest.values()), len(newest) // 2)]
        random_source.shuffle(arrivals)
        merged = LatestReports[MemberReport](5)
        for report in arrivals:
            merged.apply(1.0, report)
        results.append({member: received.report for member, received in merged.received.items()})
    assert results[0] == results[1] and 5 not in results[0]


@given(st.lists(OVERRIDE, max_size=10), st.randoms())
def test_overrides_merge_in_any_order_and_are_decoded_as_encoded(
    overrides: list[Override], random_source: random.Random
) -> None:
    unique = list({(o.zone, o.stamp): o for o in overrides}.values())
    digests = set()
    for _ in range(3):
        random_source.shuffle(unique)
        merged = Overrides(9)
        for override in unique:
            (decoded,) = decode_overrides(0.0, encode_overrides(0.0, [override], 200))
            assert decoded == override
            merged.apply(decoded)
        digests.add(merged.digest())
    assert len(digests) == 1


@given(st.binary(max_size=220))
@settings(max_examples=300)
def test_malformed_bytes_raise_a_message_error(data: bytes) -> None:
    for decode in (decode_zone_reports, decode_quota_message, lambda d: decode_overrides(0.0, d)):
        with contextlib.suppress(MessageError):
            decode(data)


@pytest.mark.parametrize("end", [1, 5, 20, -1])
def test_a_truncated_or_overlong_report_is_rejected(end: int) -> None:
    data = encode_zone_reports([MemberReport(1, 1, 1, 0, 0, {7: ZoneReport()})], 200)
    with pytest.raises(MessageError):
        decode_zone_reports(data[:end] if end > 0 else data + b"\0")


def test_a_replayed_report_changes_nothing_and_a_forged_stamp_is_exceeded() -> None:
    reports = LatestReports[MemberReport](1)
    old, new = MemberReport(2, 1, 5, 0, 0, {}), MemberReport(2, 1, 6, 0, 0, {})
    assert reports.apply(1.0, new) and not reports.apply(2.0, old) and not reports.apply(3.0, new)
    assert reports.fresh(100.0, 50.0, [2]) == [] and reports.fresh(40.0, 50.0, [2]) == [new]
    assert not reports.apply(4.0, MemberReport(1, 1, 900, 0, 0, {})) and reports.next_stamp(1, 6) == (1, 901)


def test_overrides_are_bounded_and_the_newest_of_a_zone_counts() -> None:
    overrides = Overrides(1)
    first = overrides.issue(zone_number("a"), OverrideMode.EVACUATE, 100.0, "x" * 90, "why" * 90)
    assert overrides.in_force(50.0, first.zone) == first and overrides.in_force(100.0, first.zone) is None
    assert len(first.requested_by) == 24 and len(first.reason) == 80
    cleared = overrides.issue(first.zone, OverrideMode.CLEAR, 100.0, "someone", "done")
    assert overrides.in_force(50.0, first.zone) is None and not overrides.apply(first) and cleared.serial == 2
    assert not any(
        [overrides.apply(Override(n, OverrideMode.EVACUATE, 9, 9, 1e9, "", "")) for n in range(100)][
            MAX_OVERRIDES:
        ]
    )


@pytest.mark.parametrize("message", [QuotaRequest(7, 2**32 - 1, 65535), QuotaGrant(0, 0, 0)])
def test_quota_messages_are_decoded_as_encoded(message: QuotaRequest | QuotaGrant) -> None:
    assert decode_quota_message(encode_quota_message(message)) == message


def test_a_report_of_three_zones_is_small() -> None:
    """Without faults, each instance sends one such report per second to each of a few members."""
    report = MemberReport(2**63, 1, 1, 100, 0, {zone_number(z): ZoneReport() for z in "abc"})
    assert len(encode_zone_report(report)) == 44
