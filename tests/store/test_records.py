"""Encoding, decoding and eviction of records."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cottonhold.store.records import (
    MAX_RECORDS,
    TRUST_BY_KIND,
    TRUST_REASONS,
    Hint,
    IncarnationRecord,
    LoadRecord,
    LoadState,
    RecordError,
    RecordKind,
    Trust,
    decode_loads,
    evict_loads,
    evict_records,
)

LOADS = st.builds(
    LoadRecord,
    st.binary(min_size=16, max_size=16),
    st.text(max_size=40),
    st.text(max_size=40),
    st.binary(max_size=32),
    st.text(max_size=20),
    st.integers(0, 2**64 - 1),
    st.floats(0, 1e12),
    st.sampled_from(LoadState),
    st.floats(0, 1e12),
)


@given(LOADS)
def test_an_encoded_load_decodes_to_the_same(load: LoadRecord) -> None:
    assert LoadRecord.decode(load.identity, load.encode()) == load


@given(LOADS, st.data())
def test_a_truncated_load_or_one_of_a_later_version_may_have_run(
    load: LoadRecord, data: st.DataObject
) -> None:
    packed = load.encode()
    for value in (packed[: data.draw(st.integers(0, len(packed) - 1))], b"\x02" + packed[1:], packed + b"x"):
        with pytest.raises(RecordError):
            LoadRecord.decode(load.identity, value)
        read = decode_loads({load.identity: value})
        assert read.unreadable == {load.identity} and not read.by_identity


@given(st.binary(max_size=200))
def test_garbage_is_a_record_error(value: bytes) -> None:
    for read in (lambda: LoadRecord.decode(b"i" * 16, value), lambda: IncarnationRecord.decode(value)):
        with contextlib.suppress(RecordError):
            read()


def test_incarnations_and_hints_decode_to_the_same() -> None:
    assert IncarnationRecord.decode(IncarnationRecord(3, 9, True).encode()) == IncarnationRecord(3, 9, True)
    assert Hint.decode(Hint(b"10.0.0.1", 250.0).encode()) == Hint(b"10.0.0.1", 250.0)
    for corrupt in (b"", b"\x01", Hint(b"", float("nan")).encode(), Hint(b"", -1.0).encode()):
        with pytest.raises(RecordError):
            Hint.decode(corrupt)


def test_each_kind_has_a_trust_a_reason_and_a_bound() -> None:
    assert set(TRUST_BY_KIND) == set(TRUST_REASONS) == set(MAX_RECORDS) == set(RecordKind)
    assert {kind for kind in RecordKind if TRUST_BY_KIND[kind] is Trust.AUTHORITATIVE} == {
        RecordKind.INCARNATION,
        RecordKind.LOAD,
        RecordKind.PROMISE,
        RecordKind.OPERATOR_OVERRIDE,
        RecordKind.AFFINITY,
    }


BOOT_COUNT, START_MS, RETENTION_MS = 5, 1_000.0, 500.0


def make_load(number: int, state: LoadState, boot_count: int = BOOT_COUNT, ended: float = 0.0) -> LoadRecord:
    return LoadRecord(bytes([number]) * 16, "", "", b"", "", boot_count, 0.0, state, ended)


@pytest.mark.parametrize(
    ("load", "now", "is_evicted"),
    [
        (make_load(1, LoadState.COMPLETED, ended=1_200.0), 1_700.0, False),
        (make_load(1, LoadState.COMPLETED, ended=1_200.0), 1_700.1, True),
        (make_load(1, LoadState.SENT), 1e9, False),
        # A load of an earlier boot: its times are ignored.
        (make_load(1, LoadState.SENT, BOOT_COUNT - 1), START_MS + RETENTION_MS, False),
        (make_load(1, LoadState.SENT, BOOT_COUNT - 1), START_MS + RETENTION_MS + 0.1, True),
        (make_load(1, LoadState.COMPLETED, BOOT_COUNT - 1, ended=-1e9), START_MS + RETENTION_MS, False),
        (make_load(1, LoadState.COMPLETED, BOOT_COUNT - 1, ended=1e9), START_MS + RETENTION_MS + 0.1, True),
        # A higher boot count, from a folder that was replaced by an older copy, is another boot as well.
        (make_load(1, LoadState.COMPLETED, BOOT_COUNT + 1, ended=1e9), START_MS + RETENTION_MS + 0.1, True),
    ],
)
def test_a_load_is_evicted_one_retention_after_its_end(
    load: LoadRecord, now: float, is_evicted: bool
) -> None:
    eviction = evict_loads(
        [load], now_ms=now, boot_count=BOOT_COUNT, boot_started_at_ms=START_MS, retention_ms=RETENTION_MS
    )
    assert (
        eviction.keys == ((load.identity,) if is_evicted else ())
        and not eviction.is_full
        and eviction.early_count == 0
    )


def test_early_eviction_is_by_the_end_and_never_of_open_loads() -> None:
    loads = [
        make_load(1, LoadState.SENT),
        make_load(2, LoadState.COMPLETED, ended=1_300.0),
        make_load(3, LoadState.FAILED, ended=1_200.0),
        make_load(4, LoadState.SENT, BOOT_COUNT - 1),
        make_load(5, LoadState.NEVER_SENT, BOOT_COUNT - 1, ended=1_400.0),
    ]

    def keys(max_records: int, free_slots: int = 1) -> tuple[list[int], int, bool]:
        eviction = evict_loads(
            loads,
            now_ms=START_MS,
            boot_count=BOOT_COUNT,
            boot_started_at_ms=START_MS,
            retention_ms=RETENTION_MS,
            max_records=max_records,
            free_slots=free_slots,
        )
        return [key[0] for key in eviction.keys], eviction.early_count, eviction.is_full

    assert keys(6) == ([], 0, False)
    assert keys(5) == ([5], 1, False)
    assert keys(4) == ([5, 3], 2, False)
    assert keys(3) == ([5, 3, 2], 3, False)
    assert keys(2) == ([5, 3, 2], 3, True)
    assert keys(5, free_slots=4) == ([5, 3, 2], 3, True)


DISTINCT = st.lists(LOADS, max_size=12, unique_by=lambda load: load.identity)


@given(DISTINCT, st.integers(0, 15), st.integers(0, 5), st.floats(0, 1e6))
def test_an_open_load_within_its_retention_is_never_evicted(
    loads: list[LoadRecord], max_records: int, free_slots: int, now: float
) -> None:
    eviction = evict_loads(
        loads,
        now_ms=now,
        boot_count=BOOT_COUNT,
        boot_started_at_ms=now,
        retention_ms=RETENTION_MS,
        max_records=max_records,
        free_slots=free_slots,
    )
    assert not set(eviction.keys) & {load.identity for load in loads if load.is_open}
    remaining = len(loads) - len(eviction.keys)
    assert remaining + free_slots <= max_records or eviction.is_full


def test_hints_are_evicted_by_age_and_authoritative_records_never() -> None:
    ages = {b"a": 3.0, b"b": 9.0, b"c": 5.0}
    assert evict_records(RecordKind.ENGINE_RATE, ages, max_records=3).keys == (b"b",)
    assert evict_records(RecordKind.ENGINE_RATE, ages, max_records=2).keys == (b"b", b"c")
    assert evict_records(RecordKind.ENGINE_RATE, ages, max_records=0).keys == ()
    for kind in (RecordKind.PROMISE, RecordKind.OPERATOR_OVERRIDE, RecordKind.AFFINITY):
        eviction = evict_records(kind, ages, max_records=3)
        assert eviction.keys == () and eviction.is_full
