"""Majority leases for duties that must not run twice; a lease ends before the grants behind it expire;
does no I/O.

The member chosen by rendezvous hashing requests a lease, under a new term, from all voters. A voter grants it
unless its grant to another member is still valid. The holder needs grants of a majority of all *configured*
voters, not only of the reachable ones. Two majorities have a voter in common, so two holders would need valid
grants of this voter at the same time.

The holder measures its lease from the sending of its request, minus a margin for clocks that run at different
rates; a voter measures its grant from the receipt of the request, which is later. So the lease ends before
the grants expire. Each instance uses only differences of its own monotonic clock, so wall clocks may differ
and may be changed.

A voter loses its grants when it restarts, so it grants nothing for the duration of one lease after its start.
An incarnation never uses a term twice, and replies to an earlier term are ignored, which fences late replies.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Timing of leases.

    Attributes:
        duration_ms: Duration of a voter's grant, in ms; also the shortest time in which a lease can be taken
            over without a release.
        renew_fraction: Fraction of the duration after which the holder renews its lease.
        max_clock_drift: Margin for clocks that run at different rates, as a fraction of the duration.
        retry_interval_ms: Time from a request that no majority grants to the next request, in ms.
    """

    duration_ms: float = 1200.0
    renew_fraction: float = 0.3
    max_clock_drift: float = 0.1
    retry_interval_ms: float = 150.0


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """A request for a duty's lease under a term, or its release (`is_release`)."""

    duty: int
    term: int
    is_release: bool = False


@dataclass(slots=True, frozen=True)
class LeaseReply:
    """A voter's reply.

    Attributes:
        duty: The lease number of the duty.
        term: The term of the request.
        is_granted: Whether the voter grants the lease.
        retry_after_ms: Time until the voter can grant the lease, in ms, if it is denied.
    """

    duty: int
    term: int
    is_granted: bool
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class LeaseHeld:
    """This instance holds the duty's lease until `expires_at` on its clock; repeated with each renewal."""

    duty: int
    term: int
    expires_at: float


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """This instance no longer holds the duty's lease, and must stop working on it now."""

    duty: int
    term: int


@dataclass(slots=True, frozen=True)
class SendToMember:
    """Send a request to a voter, or a reply to the member that sent a request."""

    member: int
    message: LeaseRequest | LeaseReply


Action = SendToMember | LeaseHeld | LeaseLost


@dataclass(slots=True)
class Grant:
    """A voter's grant of a lease.

    Attributes:
        holder: The id of the member that holds the lease.
        term: The term of the request that was granted.
        expires_at: When the grant expires, in ms on the voter's clock.
    """

    holder: int
    term: int
    expires_at: float


@dataclass(slots=True)
class LeaseClaim:
    """A lease that this instance claims.

    Attributes:
        term: The term of the last request.
        requested_at: When the last request was sent.
        granted_by: The voters that have granted the last request.
        expires_at: When the lease expires; minus infinity if it isn't held.
        next_request_at: When the next request is due.
    """

    term: int
    requested_at: float
    granted_by: set[int] = field(default_factory=set)
    expires_at: float = -math.inf
    next_request_at: float = -math.inf


class LeaseManager:
    """One instance's part in all leases, both as a voter and as a member that claims them.

    Each method returns the actions to perform; call `step` at `next_at` at the latest.

    Args:
        self_id: The id of this instance.
        voters: The ids of all configured voters.
        settings: The timing of leases.
        now: The time in ms.
        first_term: The term before the first; chosen at random, so that a late reply to a previous
            incarnation matches no term of this one.
    """

    def __init__(
        self, self_id: int, voters: Iterable[int], settings: LeaseSettings, now: float, first_term: int
    ) -> None:
        self.self_id, self.voters, self.settings = self_id, tuple(sorted(set(voters))), settings
        self.majority = len(self.voters) // 2 + 1
        # Grants that a previous incarnation gave, and that are lost, may be valid until this time.
        self.first_grant_at = now + settings.duration_ms * (1 + settings.max_clock_drift)
        self.grants: dict[int, Grant] = {}
        self.claims: dict[int, LeaseClaim] = {}
        self.last_term = first_term
        self.actions: list[Action] = []

    def claim(self, now: float, duties: Iterable[int]) -> list[Action]:
        """Set the duties to claim: request the leases of new ones, and release all others."""
        self.actions, wanted = [], set(duties)
        for duty in [duty for duty in self.claims if duty not in wanted]:
            claim = self.claims.pop(duty)
            if claim.expires_at > now:
                self.actions.append(LeaseLost(duty, claim.term))
            # Work must stop before the release is sent, since the next holder may begin when it is received.
            self._request(LeaseRequest(duty, claim.term, is_release=True), now)
        for duty in sorted(wanted - self.claims.keys()):
            self.claims[duty] = LeaseClaim(0, now)
        self._renew_claims(now)
        return self.actions

    def on_message(self, now: float, sender: int, message: LeaseRequest | LeaseReply) -> list[Action]:
        """Process a received request or reply."""
        self.actions = []
        if isinstance(message, LeaseRequest):
            self._on_request(now, sender, message)
        else:
            self._on_reply(now, sender, message)
        return self.actions

    def step(self, now: float) -> list[Action]:
        """Renew leases that are due, and end those that expired."""
        self.actions = []
        self._renew_claims(now)
        return self.actions

    def next_at(self) -> float:
        """Return the time at which `step` is due."""
        times = [c.next_request_at for c in self.claims.values()]
        times += [c.expires_at for c in self.claims.values() if c.expires_at > -math.inf]
        return min(times, default=math.inf)

    def held_duties(self, now: float) -> list[int]:
        """Return the duties whose leases this instance holds."""
        return sorted(duty for duty, claim in self.claims.items() if claim.expires_at > now)

    def _renew_claims(self, now: float) -> None:
        for duty, claim in self.claims.items():
            if -math.inf < claim.expires_at <= now:
                claim.expires_at = -math.inf
                self.actions.append(LeaseLost(duty, claim.term))
            if now >= claim.next_request_at:
                self.last_term += 1
                claim.term, claim.requested_at, claim.granted_by = self.last_term, now, set()
                claim.next_request_at = now + self.settings.retry_interval_ms
                self._request(LeaseRequest(duty, claim.term), now)

    def _request(self, request: LeaseRequest, now: float) -> None:
        for voter in self.voters:
            if voter == self.self_id:
                self._on_request(now, self.self_id, request)
            else:
                self.actions.append(SendToMember(voter, request))

    def _on_reply(self, now: float, sender: int, reply: LeaseReply) -> None:
        claim = self.claims.get(reply.duty)
        # A grant under an earlier term began before the current request, from which the lease is measured.
        if claim is None or claim.term != reply.term or sender not in self.voters:
            return
        if not reply.is_granted:
            if claim.expires_at <= now and reply.retry_after_ms > 0:
                claim.next_request_at = max(
                    claim.next_request_at, now + min(reply.retry_after_ms, self.settings.retry_interval_ms)
                )
            return
        claim.granted_by.add(sender)
        expires_at = claim.requested_at + self.settings.duration_ms * (1 - self.settings.max_clock_drift)
        if len(claim.granted_by) >= self.majority and expires_at > max(now, claim.expires_at):
            claim.expires_at = expires_at
            claim.next_request_at = max(
                now, claim.requested_at + self.settings.duration_ms * self.settings.renew_fraction
            )
            self.actions.append(LeaseHeld(reply.duty, claim.term, expires_at))

    def _on_request(self, now: float, sender: int, request: LeaseRequest) -> None:
        grant = self.grants.get(request.duty)
        if request.is_release:
            if grant is not None and grant.holder == sender and grant.term <= request.term:
                del self.grants[request.duty]
            return
        if now < self.first_grant_at:
            self._reply(now, sender, LeaseReply(request.duty, request.term, False, self.first_grant_at - now))
            return
        if grant is not None and grant.expires_at > now and grant.holder != sender:
            self._reply(now, sender, LeaseReply(request.duty, request.term, False, grant.expires_at - now))
            return
        self.grants[request.duty] = Grant(sender, request.term, now + self.settings.duration_ms)
        self._reply(now, sender, LeaseReply(request.duty, request.term, True))

    def _reply(self, now: float, requester: int, reply: LeaseReply) -> None:
        if requester == self.self_id:
            self._on_reply(now, self.self_id, reply)
        else:
            self.actions.append(SendToMember(requester, reply))
