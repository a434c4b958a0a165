"""Datagrams between dispatchers: identifies their senders and determines their destinations."""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.scheduler.events import PeerMessage

MAX_BYTES = 256  # largest datagram that the platform permits


class PeerDatagrams:
    """Maps addresses to peers, and messages for peers to addresses.

    Args:
        addresses: The addresses of the peers, by peer number.
        all_peers: The address that reaches all peers; None without one.
        counters: The counters of this process.
        log: Writes a line to the operators' log.
    """

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
        """Convert a datagram to an event; return None if its sender is no peer or it is too long."""
        number = self.numbers.get(sender)
        if number is None or len(data) > MAX_BYTES:
            self.counters.add("peer_malformed")
            self.log(f"peers: {len(data)} bytes from {sender[0]}:{sender[1]} are not a message of a peer")
            return None
        self.counters.add("peer_received")
        return PeerMessage(number, data)

    def destination(self, message: SendToPeer) -> Address | None:
        """Return the address for a message; None if it is too long or its peer is not configured."""
        if len(message.payload) > MAX_BYTES:
            self.counters.add("peer_too_long")
            return None
        if message.peer is None:
            return self.all_peers
        return self.addresses[message.peer] if 0 <= message.peer < len(self.addresses) else None
