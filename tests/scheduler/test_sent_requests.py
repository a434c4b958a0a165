"""The table of sent requests: fixed in size, and the oldest entries yield."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cottonhold.scheduler.sent_requests import (
    BUCKETS,
    ENTRIES_PER_BUCKET,
    TABLE_BYTES,
    SentRequest,
    SentRequestTable,
    number_of,
)

IDS = st.integers(0, 2**64 - 1)


def entry(request_id: int, sent_at: int = 5, is_repeatable: bool = False) -> SentRequest:
    return SentRequest(request_id, sent_at, is_repeatable)


@given(st.builds(SentRequest, IDS, st.integers(1, 2**62), st.booleans()))
def test_an_entry_is_decoded_as_it_was_encoded(sent: SentRequest) -> None:
    assert SentRequest.decode(sent.encode()) == sent


@given(st.lists(IDS, max_size=50))
def test_ids_are_found_until_they_are_removed(ids: list[int]) -> None:
    table = SentRequestTable()
    for request_id in ids:
        table.add(entry(request_id))
    assert all(table.find(request_id) == entry(request_id) for request_id in ids)
    for request_id in set(ids):
        assert table.remove(request_id) is not None and table.remove(request_id) is None
    assert table.data == bytes(TABLE_BYTES)


def test_a_full_bucket_forgets_its_oldest_id() -> None:
    """Guards against a record of ids that grows with what clients send."""
    table = SentRequestTable()
    ids = [1 + number * BUCKETS for number in range(ENTRIES_PER_BUCKET + 3)]
    for sent_at, request_id in enumerate(ids, 1):
        table.add(entry(request_id, sent_at))
    assert [table.find(request_id) is None for request_id in ids] == [True] * 3 + [False] * ENTRIES_PER_BUCKET
    assert len(table.data) == TABLE_BYTES


def test_the_first_time_is_kept_and_an_ended_process_leaves_what_may_not_be_repeated() -> None:
    ended, table = SentRequestTable(), SentRequestTable()
    ended.add(entry(1, 5))
    ended.add(entry(1, 9))
    ended.add(entry(2, 5, is_repeatable=True))
    table.merge(bytes(ended.data)[:-3])
    assert table.find(1) == entry(1, 5) and table.find(2) is None


def test_the_id_of_zeros_is_an_id_like_others() -> None:
    table = SentRequestTable()
    zeros, one = number_of("0" * 16), number_of("0" * 15 + "1")
    table.add(entry(one))
    assert table.find(zeros) is None
    table.add(entry(zeros))
    assert table.find(zeros) == entry(zeros) and table.remove(one) is not None
    assert table.find(zeros) == entry(zeros)
