"""Functions on the observations of all peers: unclean starts, lost zones, and the peers in a report;
does no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Set

from cottonhold.fleet.recovery.messages import MAX_PEER_STATES
from cottonhold.fleet.recovery.peer_observations import PeerObservation

MIN_REACHABLE_PEERS = 3  # entries in a report that are reserved for reachable peers


def unclean_starts(peers: Mapping[int, PeerObservation]) -> dict[int, float]:
    """Return the start time of each peer whose last incarnation was not shut down cleanly, by number."""
    return {
        number: peer.current.started_at
        for number, peer in peers.items()
        if peer.current is not None and not peer.was_clean_shutdown
    }


def fully_restarted_zones(zones: Mapping[int, str], restarted: Set[int]) -> frozenset[str]:
    """Return the zones all of whose dispatchers restarted.

    Args:
        zones: The zone of each dispatcher, by number.
        restarted: Numbers of the restarted dispatchers.
    """
    affected = {zones[number] for number in restarted if number in zones}
    intact = {zone for number, zone in zones.items() if number not in restarted}
    return frozenset(affected - intact)


def peers_to_report(
    peers: Mapping[int, PeerObservation], oldest: float, receiver: int | None, rotation: int
) -> list[int]:
    """Return the numbers that a report describes: its receiver, then silent peers, then reachable ones.

    Silent peers have precedence because others wait for proofs of silence.

    Args:
        peers: All peers, by number.
        oldest: A peer that last reported before this time is silent.
        receiver: Number of the receiver, if known.
        rotation: A number that grows with each report, so that every peer is included in some report.
    """
    numbers = [receiver] if receiver is not None else []
    silent = [n for n, peer in peers.items() if peer.received_at < oldest and n != receiver]
    reachable = [n for n, peer in peers.items() if peer.received_at >= oldest and n != receiver]
    max_silent = MAX_PEER_STATES - MIN_REACHABLE_PEERS - len(numbers)
    numbers += rotated(silent, rotation)[:max_silent]
    return numbers + rotated(reachable, rotation)[: MAX_PEER_STATES - len(numbers)]


def rotated(numbers: list[int], by: int) -> list[int]:
    """Return the list rotated left by `by` places, so that each number is first once in a full turn."""
    start = by % len(numbers) if numbers else 0
    return numbers[start:] + numbers[:start]
