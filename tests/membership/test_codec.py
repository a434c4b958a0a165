"""The datagram codec: malformed, forged and replayed datagrams are rejected and change no state."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import (
    MAGIC,
    MAX_DATAGRAM_BYTES,
    Codec,
    CodecError,
    KeyRing,
    MemberStatus,
    Message,
    MessageKind,
    Update,
    encode_update,
    member_id,
)

ADDRESSES = st.builds(
    Address,
    st.one_of(st.ip_addresses(v=4), st.ip_addresses(v=6)).map(str),
    st.integers(1, 65535),
)
U64 = st.integers(0, 2**64 - 1)
UPDATES = st.one_of(
    st.builds(
        Update, st.sampled_from([MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT]), U64, U64, U64
    ),
    st.builds(Update, st.just(MemberStatus.ALIVE), U64, U64, st.just(0), ADDRESSES, st.text(max_size=8)),
)
KEYS = KeyRing({1: b"old key", 2: b"new key"}, 2)


def make_codecs(sending: KeyRing | None = None, receiving: KeyRing | None = None) -> tuple[Codec, Codec]:
    return Codec(member_id("a"), 7, sending), Codec(member_id("b"), 9, receiving)


def ping(codec: Codec, updates: bytes = b"") -> bytes:
    return codec.encode(Message(MessageKind.PING, codec.sender, 5, 6), updates)


def rejection_reason(codec: Codec, data: bytes) -> str:
    with pytest.raises(CodecError) as caught:
        codec.decode(data)
    return caught.value.reason


@settings(max_examples=150, deadline=None)
@given(
    st.sampled_from(MessageKind), st.integers(0, 2**32 - 1), U64, st.lists(UPDATES, max_size=3), st.booleans()
)
def test_an_encoded_message_decodes_to_the_same(
    kind: MessageKind, sequence: int, subject: int, updates: list[Update], keyed: bool
) -> None:
    keys = KEYS if keyed else None
    a, b = make_codecs(keys, keys)
    tail = b"".join(map(encode_update, updates))
    data = a.encode(Message(kind, a.sender, sequence, subject), tail)
    assert len(data) <= MAX_DATAGRAM_BYTES and data[0] == MAGIC not in (1, 2)
    if kind is MessageKind.FLEET:  # a payload in place of updates
        assert b.decode(data) == Message(kind, a.sender, sequence, subject, payload=tail)
    else:
        assert b.decode(data) == Message(kind, a.sender, sequence, subject, tuple(updates))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_a_message_or_a_named_error(data: bytes, with_head: bool) -> None:
    a, b = make_codecs()
    data = ping(a)[:-5] + data if with_head else data
    try:
        b.decode(data)
    except CodecError as error:
        assert error.reason and not b.replay_windows  # no state was changed


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 60), st.integers(1, 255))
def test_a_datagram_changed_in_any_byte_is_refused(at: int, by: int) -> None:
    a, b = make_codecs(KEYS, KEYS)
    data = bytearray(ping(a, encode_update(Update(MemberStatus.DEAD, 1, 2, 3))))
    data[at % len(data)] ^= by
    assert rejection_reason(b, bytes(data)) in ("mac", "key", "magic", "version") and not b.replay_windows


def test_truncated_long_and_unknown_datagrams_have_distinct_reasons() -> None:
    a, b = make_codecs()
    data = ping(a, encode_update(Update(MemberStatus.DEAD, 1, 2, 3)))
    assert {rejection_reason(b, data[:n]) for n in range(1, 32)} == {"truncated"}
    assert rejection_reason(b, data + bytes(300)) == "long"
    assert rejection_reason(b, b"\x01" + data[1:]) == "magic"
    assert rejection_reason(b, data[:1] + b"\x02" + data[2:]) == "version"
    assert rejection_reason(b, data[:19] + b"\x63" + data[20:]) == "kind"
    assert rejection_reason(a, ping(a)) == "sender"  # the codec's own datagram


def test_a_replay_is_refused_and_a_reordered_datagram_is_not() -> None:
    a, b = make_codecs(KEYS, KEYS)
    datagrams = [ping(a) for _ in range(300)]
    b.decode(datagrams[200])
    for i in (199, 100, 0, 299):
        b.decode(datagrams[i])
    for i in (200, 100, 299):
        assert rejection_reason(b, datagrams[i]) == "replay"
    assert rejection_reason(b, datagrams[1]) == "replay"  # outside of the replay window
    restarted = Codec(a.sender, 8, KEYS)
    b.decode(ping(restarted))  # the counts of a new session are independent
    assert rejection_reason(b, datagrams[299]) == "replay"


def test_keys_rotate_without_a_gap() -> None:
    old, both_old, both_new, new = (
        KeyRing({1: b"old"}, 1),
        KeyRing({1: b"old", 2: b"new"}, 1),
        KeyRing({1: b"old", 2: b"new"}, 2),
        KeyRing({2: b"new"}, 2),
    )
    steps = [(old, both_old), (both_old, both_new), (both_new, new)]
    for before, after in steps:
        for sending, receiving in ((before, after), (after, before)):
            a, b = make_codecs(sending, receiving)
            assert b.decode(ping(a)).kind is MessageKind.PING
    a, b = make_codecs(old, new)
    assert rejection_reason(b, ping(a)) == "key"
    plain, keyed = make_codecs(None, KEYS)
    assert rejection_reason(keyed, ping(plain)) in ("mac", "key")
    assert rejection_reason(plain, ping(Codec(member_id("c"), 1, KEYS))) == "key"


def test_a_name_too_long_is_refused_before_it_is_sent() -> None:
    with pytest.raises(ValueError, match="longer than 32"):
        encode_update(Update(MemberStatus.ALIVE, 1, 1, 0, Address("127.0.0.1", 1), "x" * 33))
