"""What follows from the observations of all peers together: starts, lost zones, whom a report names. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Set

from cottonhold.fleet.recovery.messages import MAX_PEER_STATES
from cottonhold.fleet.recovery.peer_observations import PeerObservation

MIN_REACHABLE_PEERS = 3  # entries of a report reserved for reachable peers


def unclean_starts(peers: Mapping[int, PeerObservation]) -> dict[int, float]:
    """When each peer started whose last incarnation had not ended by order."""
    return {
        number: peer.current.started_at
        for number, peer in peers.items()
        if peer.current is not None and not peer.was_clean_shutdown
    }


def zones_lost(zones: Mapping[int, str], restarted: Set[int]) -> frozenset[str]:
    """Zones all of whose dispatchers restarted. zones: by dispatcher."""
    lost = {zones[number] for number in restarted if number in zones}
    intact = {zone for number, zone in zones.items() if number not in restarted}
    return frozenset(lost - intact)


def peers_to_report(
    peers: Mapping[int, PeerObservation], oldest: float, receiver: int | None, rotation: int
) -> list[int]:
    """The numbers that a report names: its receiver first, then silent peers, then reachable ones.

    That a peer is silent is what others wait for. oldest: whoever last reported before is silent;
    rotation: grows with each report, so that all peers are named in the course of time.
    """
    numbers = [receiver] if receiver is not None else []
    silent = [n for n, peer in peers.items() if peer.received_at < oldest and n != receiver]
    reachable = [n for n, peer in peers.items() if peer.received_at >= oldest and n != receiver]
    max_silent = MAX_PEER_STATES - MIN_REACHABLE_PEERS - len(numbers)
    numbers += rotated(silent, rotation)[:max_silent]
    return numbers + rotated(reachable, rotation)[: MAX_PEER_STATES - len(numbers)]


def rotated(numbers: list[int], by: int) -> list[int]:
    """A list that begins `by` places further on, so that each number comes first once in a round."""
    start = by % len(numbers) if numbers else 0
    return numbers[start:] + numbers[:start]
