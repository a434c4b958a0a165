"""Datagrams between instances: at most 256 bytes, versioned, with an optional MAC. Free of I/O.

    magic 1 | version 1 | key 1 | session 4 | count 4 | sender 8 | kind 1 | sequence 4 | subject 8 | updates |
    MAC 12

The first byte tells them apart from the scheduler's own messages, which begin with 1 or 2. `session` is drawn
at the sender's start and `count` grows with each datagram, so a receiver can tell a replay. The MAC is
keyed BLAKE2b over all before it; key 0 means that there is none.
"""

from __future__ import annotations

import hashlib
import hmac
import ipaddress
import struct
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from cottonhold.discovery.model import Address

MAX_DATAGRAM_BYTES = 256
MAGIC, VERSION = 0xC7, 1
HEAD = struct.Struct("!BBBIIQ")
BODY = struct.Struct("!BIQ")
UPDATE = struct.Struct("!BQQ")
MAC_BYTES = 12
MAX_NAME_BYTES = 32
REPLAY_WINDOW = 256  # datagrams that may overtake one another: more than one full exchange sends at once
MAX_TRACKED_SESSIONS = 4096


class CodecError(Exception):
    """A datagram that can't be used; `reason` is a short name under which it is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MessageKind(IntEnum):
    """The kinds of datagrams. The numbers are on the wire."""

    PING = 1
    ACK = 2
    PING_REQ = 3
    NACK = 4
    SYNC = 5  # part of the sender's table; the receiver answers with part of its own
    SYNC_REPLY = 6
    LEASE_REQUEST = 7  # in all four, the sequence is the term, the subject the number of the lease
    LEASE_RELEASE = 8
    LEASE_GRANT = 9
    LEASE_DENY = 10
    DUTY_DONE = 11  # a duty's subject was done; the sequence is the duty's own detail
    FLEET = 12  # a message of fleet/, as bytes of its own in place of updates


class MemberStatus(IntEnum):
    """A member's status, as one instance knows it. The numbers are on the wire."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(slots=True, frozen=True)
class Update:
    """A change of one member. Address and name are present with ALIVE only. source: the member that suspects
    it or declares it dead.
    """

    status: MemberStatus
    member: int
    incarnation: int
    source: int = 0
    address: Address | None = None
    name: str = ""


@dataclass(slots=True, frozen=True)
class Message:
    """A decoded datagram. subject: the member that a ping is for, so that a new process at an old address
    doesn't answer.
    """

    kind: MessageKind
    sender: int
    sequence: int
    subject: int = 0
    updates: tuple[Update, ...] = ()
    payload: bytes = b""  # of a FLEET message


def member_id(name: str) -> int:
    """The 64-bit id of a member's name; the same on every instance."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") or 1


def encode_update(update: Update) -> bytes:
    """An update's bytes. Raises ValueError for an address that is no IP address, or a name too long."""
    head = UPDATE.pack(update.status, update.member, update.incarnation)
    if update.status is not MemberStatus.ALIVE:
        return head + struct.pack("!Q", update.source)
    assert update.address is not None
    packed = ipaddress.ip_address(update.address.host).packed
    name = update.name.encode()
    if len(name) > MAX_NAME_BYTES:
        raise ValueError(f"'{update.name}' is longer than {MAX_NAME_BYTES} bytes")
    tail = struct.pack("!HB", update.address.port, len(name)) + name
    return head + bytes([len(packed)]) + packed + tail


def update_capacity(has_key: bool) -> int:
    """Bytes that a datagram has for updates."""
    return MAX_DATAGRAM_BYTES - HEAD.size - BODY.size - (MAC_BYTES if has_key else 0)


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def read_bytes(self, size: int) -> bytes:
        part = self.data[self.position : self.position + size]
        if len(part) != size:
            raise CodecError("truncated")
        self.position += size
        return part

    def read_update(self) -> Update:
        status, member, incarnation = UPDATE.unpack(self.read_bytes(UPDATE.size))
        if status not in MemberStatus.__members__.values():
            raise CodecError("status")
        if status != MemberStatus.ALIVE:
            (source,) = struct.unpack("!Q", self.read_bytes(8))
            return Update(MemberStatus(status), member, incarnation, source)
        size = self.read_bytes(1)[0]
        if size not in (4, 16):
            raise CodecError("address")
        host = str(ipaddress.ip_address(self.read_bytes(size)))
        port, length = struct.unpack("!HB", self.read_bytes(3))
        if not port or length > MAX_NAME_BYTES:
            raise CodecError("address")
        try:
            name = self.read_bytes(length).decode()
        except UnicodeDecodeError:
            raise CodecError("name") from None
        return Update(MemberStatus.ALIVE, member, incarnation, 0, Address(host, port), name)


@dataclass(slots=True)
class _ReplayWindow:
    """The counts received in one session of a sender: the highest, and a bit for each of the last ones."""

    highest: int = -1
    seen: int = 0

    def accept(self, count: int) -> bool:
        """Whether the count is new; it is remembered."""
        if count > self.highest:
            self.seen = ((self.seen << (count - self.highest)) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = count
            return True
        behind = self.highest - count
        if behind >= REPLAY_WINDOW or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True


@dataclass(slots=True)
class KeyRing:
    """Shared keys by number, 1 to 255. All are accepted; datagrams are sent with `send_key_id`. Without keys
    there is no MAC.

    A rotation without a gap: give all instances the new key in addition to the old one, then have all send
    with the new one, then remove the old one.
    """

    keys: Mapping[int, bytes] = field(default_factory=dict)
    send_key_id: int = 0

    def mac(self, key_id: int, data: bytes) -> bytes:
        """The MAC under a key. Raises CodecError for a key that isn't there."""
        if key_id not in self.keys:
            raise CodecError("key")
        return hashlib.blake2b(data, key=self.keys[key_id], digest_size=MAC_BYTES).digest()


class Codec:
    """Encodes one sender's datagrams, and decodes all senders' with their replay windows."""

    def __init__(self, sender: int, session: int, key_ring: KeyRing | None = None) -> None:
        self.sender, self.session, self.datagram_count = sender, session & 0xFFFFFFFF, 0
        self.key_ring = key_ring or KeyRing()
        self.replay_windows: OrderedDict[tuple[int, int], _ReplayWindow] = OrderedDict()

    def update_capacity(self) -> int:
        """Bytes that a datagram has for updates."""
        return update_capacity(bool(self.key_ring.keys))

    def encode(self, message: Message, updates: bytes) -> bytes:
        """A datagram, with its updates or its payload already encoded."""
        number = self.key_ring.send_key_id if self.key_ring.keys else 0
        self.datagram_count = (self.datagram_count + 1) & 0xFFFFFFFF
        data = b"".join(
            (
                HEAD.pack(MAGIC, VERSION, number, self.session, self.datagram_count, self.sender),
                BODY.pack(message.kind, message.sequence, message.subject),
                updates,
            )
        )
        data += self.key_ring.mac(number, data) if self.key_ring.keys else b""
        assert len(data) <= MAX_DATAGRAM_BYTES
        return data

    def decode(self, data: bytes) -> Message:
        """The message in a datagram. Raises CodecError, and then no state has changed."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise CodecError("long")
        if len(data) < HEAD.size + BODY.size:
            raise CodecError("truncated")
        magic, version, number, session, count, sender = HEAD.unpack_from(data)
        if magic != MAGIC:
            raise CodecError("magic")
        if version != VERSION:
            raise CodecError("version")
        if self.key_ring.keys:
            data, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
            # In constant time: else the time of the reply would show how many bytes of a forgery were right.
            if not hmac.compare_digest(mac, self.key_ring.mac(number, data)):
                raise CodecError("mac")
        elif number:
            raise CodecError("key")
        message = self._decode_body(data, sender)
        if not self._is_new(sender, session, count):
            raise CodecError("replay")
        return message

    def _decode_body(self, data: bytes, sender: int) -> Message:
        if len(data) < HEAD.size + BODY.size:
            raise CodecError("truncated")
        kind, sequence, subject = BODY.unpack_from(data, HEAD.size)
        if kind not in MessageKind.__members__.values():
            raise CodecError("kind")
        if sender == self.sender or not sender:
            raise CodecError("sender")
        if kind == MessageKind.FLEET:
            return Message(
                MessageKind.FLEET, sender, sequence, subject, payload=data[HEAD.size + BODY.size :]
            )
        reader, updates = _Reader(data[HEAD.size + BODY.size :]), []
        while reader.position < len(reader.data):
            updates.append(reader.read_update())
        return Message(MessageKind(kind), sender, sequence, subject, tuple(updates))

    def _is_new(self, sender: int, session: int, count: int) -> bool:
        """Whether a datagram is no replay. A replay of an unknown session isn't recognized; its incarnations
        are old, and so it changes nothing.
        """
        key = (sender, session)
        window = self.replay_windows.pop(key, None) or _ReplayWindow()
        self.replay_windows[key] = window
        while len(self.replay_windows) > MAX_TRACKED_SESSIONS:
            self.replay_windows.popitem(last=False)
        return window.accept(count)
