"""Codec of the datagrams between instances: at most 256 bytes, versioned, with an optional MAC. Free of I/O.

The fields, with their sizes in bytes:

    magic 1 | version 1 | key 1 | session 4 | count 4 | sender 8 | kind 1 | sequence 4 | subject 8 | updates |
    MAC 12

The first byte distinguishes them from the scheduler's messages, which begin with 1 or 2. `session` is a
random number drawn when the sender starts, and `count` is incremented for each datagram, so a receiver can
detect replays. The MAC is keyed BLAKE2b over all bytes before it; key 0 means that there is no MAC.
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
# Number of later datagrams after which a late one is rejected; larger than the number sent in one full sync.
REPLAY_WINDOW = 256
MAX_TRACKED_SESSIONS = 4096


class CodecError(Exception):
    """A datagram is malformed or rejected. `reason` is a short word that becomes part of a counter's name."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MessageKind(IntEnum):
    """The kinds of datagrams. The numbers are part of the wire format."""

    PING = 1
    ACK = 2
    PING_REQ = 3
    NACK = 4
    SYNC = 5  # part of the sender's member table; the receiver replies with part of its own
    SYNC_REPLY = 6
    LEASE_REQUEST = 7  # for all LEASE kinds, `sequence` is the term and `subject` the lease number
    LEASE_RELEASE = 8
    LEASE_GRANT = 9
    LEASE_DENY = 10
    DUTY_DONE = 11  # a run of a duty's subject is complete; `sequence` is a detail that the duty defines
    FLEET = 12  # a message of the package `fleet`; its payload takes the place of the updates


class MemberStatus(IntEnum):
    """A member's status in the view of one instance. The numbers are part of the wire format."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(slots=True, frozen=True)
class Update:
    """A change of one member's status.

    Attributes:
        status: The new status.
        member: The member's id.
        incarnation: The member's incarnation that the status applies to.
        source: The id of the member that suspects it or declares it dead; 0 with ALIVE.
        address: The member's address; present with ALIVE only.
        name: The member's name; present with ALIVE only.
    """

    status: MemberStatus
    member: int
    incarnation: int
    source: int = 0
    address: Address | None = None
    name: str = ""


@dataclass(slots=True, frozen=True)
class Message:
    """A decoded datagram.

    Attributes:
        kind: The kind of the datagram.
        sender: The sender's id.
        sequence: Matches a reply with its request; other kinds define their own meaning.
        subject: The id of the member that a ping is meant for, so that another process which has taken over
            its address doesn't reply; other kinds define their own meaning.
        updates: The piggybacked updates of members.
        payload: The payload of a FLEET message.
    """

    kind: MessageKind
    sender: int
    sequence: int
    subject: int = 0
    updates: tuple[Update, ...] = ()
    payload: bytes = b""


def member_id(name: str) -> int:
    """Return the 64-bit id of a member's name, which is the same on every instance."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") or 1


def encode_update(update: Update) -> bytes:
    """Encode an update. Raises ValueError if the host isn't an IP address or the name is too long."""
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
    """Return how many bytes of updates fit into a datagram, which has a MAC if `has_key`."""
    return MAX_DATAGRAM_BYTES - HEAD.size - BODY.size - (MAC_BYTES if has_key else 0)


class _Reader:
    """Reads the updates in a datagram."""

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
    """The counts received in one session of a sender.

    Attributes:
        highest: The highest count received; -1 if none.
        seen: A bit for each of the last `REPLAY_WINDOW` counts, the lowest bit for `highest`.
    """

    highest: int = -1
    seen: int = 0

    def accept(self, count: int) -> bool:
        """Record the count; return whether it was new."""
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
    """The shared keys of the MACs; without keys there is no MAC.

    To rotate keys without interruption, add the new key on all instances, then let all instances send with
    it, then remove the old key.

    Attributes:
        keys: The accepted keys by id, 1 to 255.
        send_key_id: The id of the key with which datagrams are sent.
    """

    keys: Mapping[int, bytes] = field(default_factory=dict)
    send_key_id: int = 0

    def mac(self, key_id: int, data: bytes) -> bytes:
        """Return the MAC of data under a key. Raises CodecError for an unknown key."""
        if key_id not in self.keys:
            raise CodecError("key")
        return hashlib.blake2b(data, key=self.keys[key_id], digest_size=MAC_BYTES).digest()


class Codec:
    """Encodes this instance's datagrams; decodes those of other instances, and rejects replays."""

    def __init__(self, sender: int, session: int, key_ring: KeyRing | None = None) -> None:
        self.sender, self.session, self.datagram_count = sender, session & 0xFFFFFFFF, 0
        self.key_ring = key_ring or KeyRing()
        self.replay_windows: OrderedDict[tuple[int, int], _ReplayWindow] = OrderedDict()

    def update_capacity(self) -> int:
        """Return how many bytes of updates fit into a datagram."""
        return update_capacity(bool(self.key_ring.keys))

    def encode(self, message: Message, updates: bytes) -> bytes:
        """Encode a datagram.

        Args:
            message: The message.
            updates: The encoded updates, or the payload of a FLEET message.
        """
        key_id = self.key_ring.send_key_id if self.key_ring.keys else 0
        self.datagram_count = (self.datagram_count + 1) & 0xFFFFFFFF
        data = b"".join(
            (
                HEAD.pack(MAGIC, VERSION, key_id, self.session, self.datagram_count, self.sender),
                BODY.pack(message.kind, message.sequence, message.subject),
                updates,
            )
        )
        data += self.key_ring.mac(key_id, data) if self.key_ring.keys else b""
        assert len(data) <= MAX_DATAGRAM_BYTES
        return data

    def decode(self, data: bytes) -> Message:
        """Decode a datagram. Raises CodecError, without a change of state, if it is malformed or rejected."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise CodecError("long")
        if len(data) < HEAD.size + BODY.size:
            raise CodecError("truncated")
        magic, version, key_id, session, count, sender = HEAD.unpack_from(data)
        if magic != MAGIC:
            raise CodecError("magic")
        if version != VERSION:
            raise CodecError("version")
        if self.key_ring.keys:
            data, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
            # A comparison in variable time would let a forger find out how many bytes of a MAC are right.
            if not hmac.compare_digest(mac, self.key_ring.mac(key_id, data)):
                raise CodecError("mac")
        elif key_id:
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
        """Record a datagram's count; return whether it isn't a replay.

        A replay from an unknown session isn't detected, but it has no effect since its incarnations are old.
        """
        key = (sender, session)
        window = self.replay_windows.pop(key, None) or _ReplayWindow()
        self.replay_windows[key] = window
        while len(self.replay_windows) > MAX_TRACKED_SESSIONS:
            self.replay_windows.popitem(last=False)
        return window.accept(count)
