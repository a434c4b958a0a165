"""Determine which members vote on zones; does no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


class Electorate:
    """The members with a vote: all that were alive within the last `memory_ms`, but at most `max_voters`.

    If there are more, the voters are chosen by a hash of their ids, so that all instances choose the same.
    Unreachable members stay in the electorate for `memory_ms`: if only reachable members were counted, each
    half of a partitioned fleet would have a majority of its own. The number of voters is limited so that the
    cost of a vote does not grow with the fleet.
    """

    def __init__(self, self_id: int, memory_ms: float, max_voters: int) -> None:
        self.self_id, self.memory_ms, self.max_voters = self_id, memory_ms, max_voters
        self.last_seen: dict[int, float] = {}  # other member -> time at which it was last alive, in ms
        self._chosen, self._chosen_from = [self_id], frozenset[int]()

    def record_live(self, now: float, live: Iterable[int]) -> None:
        """Record that these members are alive at `now`, in ms."""
        self.last_seen.update(dict.fromkeys(live, now))

    def remove(self, members: Iterable[int]) -> None:
        """Remove members that announced that they leave."""
        for member in members:
            self.last_seen.pop(member, None)

    def voters(self, now: float) -> list[int]:
        """Return the members that vote at `now`, in ms; this instance is not always among them."""
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
