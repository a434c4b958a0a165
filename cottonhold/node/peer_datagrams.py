"""Datagrams between dispatchers."""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.scheduler.events import PeerMessage

MOST_BYTES = 256


class PeerDatagrams:
    """Which peer an address is, and where a message for a peer goes."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        all_peers: Address | None,
        counters: Counters,
        say: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.addresses, self.all_peers, self.counters, self.say = addresses, all_peers, counters, say
        self.numbers = {(a.host, a.port): number for number, a in enumerate(addresses)}

    def decode(self, data: bytes, sender: tuple[str, int]) -> PeerMessage | None:
        """A datagram as an event; one of a stranger is passed over."""
        number = self.numbers.get(sender)
        if number is None or len(data) > MOST_BYTES:
            self.counters.add("peer_malformed")
            self.say(f"peers: {len(data)} bytes from {sender[0]}:{sender[1]} are no message of a peer")
            return None
        self.counters.add("peer_received")
        return PeerMessage(number, data)

    def destination(self, tell: SendToPeer) -> Address | None:
        """Where a message goes; None where it can't: a datagram over the limit would void the run."""
        if len(tell.payload) > MOST_BYTES:
            self.counters.add("peer_too_long")
            return None
        if tell.peer is None:
            return self.all_peers
        return self.addresses[tell.peer] if 0 <= tell.peer < len(self.addresses) else None
