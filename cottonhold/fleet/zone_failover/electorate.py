"""Whose votes on zones count. Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


class Electorate:
    """All members that were alive within the last `memory_ms`; of many, `max_voters` chosen by hash.

    Members that are out of sight keep counting for a while: if only those that are seen now counted, each
    half of a partitioned fleet would be a majority of its own. The number of voters is bounded so that the
    cost of a vote does not grow with the fleet.
    """

    def __init__(self, self_id: int, memory_ms: float, max_voters: int) -> None:
        self.self_id, self.memory_ms, self.max_voters = self_id, memory_ms, max_voters
        self.last_seen: dict[int, float] = {}  # other members, and when each was last alive
        self._chosen, self._chosen_from = [self_id], frozenset[int]()

    def see(self, now: float, live: Iterable[int]) -> None:
        """These members are alive at `now`, in ms."""
        self.last_seen.update(dict.fromkeys(live, now))

    def remove(self, members: Iterable[int]) -> None:
        """These members have left by their own announcement."""
        for member in members:
            self.last_seen.pop(member, None)

    def voters(self, now: float) -> list[int]:
        """The members that vote at `now`; this instance may be among them."""
        oldest = now - self.memory_ms
        self.remove([member for member, at in self.last_seen.items() if at < oldest])
        if self.last_seen.keys() != self._chosen_from:
            self._chosen_from = frozenset(self.last_seen)
            members = [self.self_id, *self.last_seen]
            if len(members) > self.max_voters:
                members = sorted(members, key=_rank)[: self.max_voters]
            self._chosen = members
        return self._chosen


def _rank(member: int) -> bytes:
    return hashlib.blake2b(member.to_bytes(8, "big"), digest_size=8).digest()
