"""Queue of membership updates that are piggybacked on other messages, the least often sent first."""

from __future__ import annotations

import itertools
import math

from cottonhold.membership.codec import Update, encode_update

MIN_UPDATE_BYTES = 25  # size of the shortest update
# Number of updates sent equally often that are considered for one datagram, into which at most nine fit.
MAX_TRIED_PER_COUNT = 16


class UpdateQueue:
    """The updates to disseminate, at most one for each member.

    They are grouped by the number of times that they were sent, so that the least often sent ones are found
    without a search of all updates.

    Args:
        retransmit_factor: An update is sent this many times log10 of the number of members.
    """

    def __init__(self, retransmit_factor: float) -> None:
        self.retransmit_factor = retransmit_factor
        self._updates_by_times_sent: list[dict[int, bytes]] = []
        self._times_sent: dict[int, int] = {}  # by member

    def add(self, update: Update) -> None:
        """Queue an update; it replaces a queued update of the same member."""
        times = self._times_sent.get(update.member)
        if times is not None:
            del self._updates_by_times_sent[times][update.member]
        self._insert(update.member, encode_update(update), 0)

    def _insert(self, member: int, data: bytes, times: int) -> None:
        while len(self._updates_by_times_sent) <= times:
            self._updates_by_times_sent.append({})
        self._updates_by_times_sent[times][member] = data
        self._times_sent[member] = times

    def next_batch(self, capacity: int, member_count: int) -> list[bytes]:
        """Return encoded updates for one datagram, and record that they were sent.

        Args:
            capacity: The free space in the datagram, in bytes.
            member_count: The number of other members.
        """
        max_times_sent = math.ceil(self.retransmit_factor * math.log10(member_count + 2))
        batch: list[tuple[int, bytes, int]] = []
        for times, updates in enumerate(self._updates_by_times_sent):
            for member, data in itertools.islice(updates.items(), MAX_TRIED_PER_COUNT):
                if len(data) <= capacity:
                    batch.append((member, data, times))
                    capacity -= len(data)
            if capacity < MIN_UPDATE_BYTES:
                break
        for member, data, times in batch:
            del self._updates_by_times_sent[times][member], self._times_sent[member]
            if times + 1 < max_times_sent:
                self._insert(member, data, times + 1)
        return [data for _, data, _ in batch]
