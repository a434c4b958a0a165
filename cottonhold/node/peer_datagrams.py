"""Datagrams between dispatchers: whom one is from, and where one goes."""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.scheduler.events import PeerMessage

MAX_BYTES = 256  # of a datagram, by the platform's rules


class PeerDatagrams:
    """Which peer an address is, and where a message for a peer goes."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        all_peers: Address | None,
        counters: Counters,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.addresses, self.all_peers, self.counters, self.log = addresses, all_peers, counters, log
        self.numbers = {(a.host, a.port): number for number, a in enumerate(addresses)}

    def decode(self, data: bytes, sender: tuple[str, int]) -> PeerMessage | None:
        """A datagram as an event; None for a stranger's."""
        number = self.numbers.get(sender)
        if number is None or len(data) > MAX_BYTES:
            self.counters.add("peer_malformed")
            self.log(f"peers: {len(data)} bytes from {sender[0]}:{sender[1]} are not a message of a peer")
            return None
        self.counters.add("peer_received")
        return PeerMessage(number, data)

    def destination(self, message: SendToPeer) -> Address | None:
        """Where a message goes; None where it can't: a datagram over the limit would break the rules."""
        if len(message.payload) > MAX_BYTES:
            self.counters.add("peer_too_long")
            return None
        if message.peer is None:
            return self.all_peers
        return self.addresses[message.peer] if 0 <= message.peer < len(self.addresses) else None
