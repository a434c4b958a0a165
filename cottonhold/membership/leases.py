"""Leases for duties that must not run twice: a majority grants one, and it ends before its grants expire.
Pure.

The member named by rendezvous hashing requests the lease of one term from every voter. A voter grants it
unless another's grant is still valid there. With a majority of all *configured* voters (not of those that
happen to be seen) the holder works; two majorities share a voter, so two holders would need that voter's
grant at the same time.

Time: the holder counts its lease from the moment of its request, less a margin for clocks that run at
different rates; a voter counts from the moment at which the request arrived, which is later. So the holder's
lease ends first on anyone's clock. Only differences of each one's own monotonic clock count: clocks may
differ and be set.

A voter that restarts has lost what it granted, so it grants nothing for one whole lease after its start. A
term is never used twice by one incarnation, and late replies to an old term are void: that fences late work.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Times of leases.

    duration_ms: of one grant; a takeover can't be faster.
    renew_fraction: the part of it after which the holder requests again.
    max_clock_drift: the margin for differing clock rates, as a fraction.
    retry_interval_ms: how long after a request without a majority the next one follows.
    """

    duration_ms: float = 1200.0
    renew_fraction: float = 0.3
    max_clock_drift: float = 0.1
    retry_interval_ms: float = 150.0


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Requests a term of a duty from a voter, or releases it (`is_release`)."""

    duty: int
    term: int
    is_release: bool = False


@dataclass(slots=True, frozen=True)
class LeaseReply:
    """A voter's reply. retry_after_ms: how long its grant to another is still valid."""

    duty: int
    term: int
    is_granted: bool
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class LeaseHeld:
    """The duty is this instance's until `expires_at` on its own clock; sent again with each renewal."""

    duty: int
    term: int
    expires_at: float


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """The duty is no longer this instance's: work on it stops now."""

    duty: int
    term: int


@dataclass(slots=True, frozen=True)
class SendToMember:
    """A message for one voter, or for the member that sent a request."""

    member: int
    message: LeaseRequest | LeaseReply


Action = SendToMember | LeaseHeld | LeaseLost


@dataclass(slots=True)
class Grant:
    """What a voter granted: to whom, for which term, until when on its own clock."""

    holder: int
    term: int
    expires_at: float


@dataclass(slots=True)
class LeaseClaim:
    """This instance's side of one duty that it claims."""

    term: int
    requested_at: float
    granted_by: set[int] = field(default_factory=set)
    expires_at: float = -math.inf
    next_request_at: float = -math.inf


class LeaseManager:
    """One instance's side of all leases: as a voter, and as one that claims duties."""

    def __init__(
        self, self_id: int, voters: Iterable[int], settings: LeaseSettings, now: float, first_term: int
    ) -> None:
        # A late reply to the last incarnation must not fit a term of this one: `first_term` is drawn anew.
        self.self_id, self.voters, self.settings = self_id, tuple(sorted(set(voters))), settings
        self.majority = len(self.voters) // 2 + 1
        self.votes_after = now + settings.duration_ms * (1 + settings.max_clock_drift)
        self.grants: dict[int, Grant] = {}
        self.claims: dict[int, LeaseClaim] = {}
        self.last_term = first_term
        self.actions: list[Action] = []

    def claim(self, now: float, duties: Iterable[int]) -> list[Action]:
        """Claim exactly these duties from now on: others are released, new ones requested."""
        self.actions, wanted = [], set(duties)
        for duty in [duty for duty in self.claims if duty not in wanted]:
            claim = self.claims.pop(duty)
            if claim.expires_at > now:
                self.actions.append(LeaseLost(duty, claim.term))
            # Work stops before the release is sent: the next holder may begin as soon as that arrives.
            self._request(LeaseRequest(duty, claim.term, is_release=True), now)
        for duty in sorted(wanted - self.claims.keys()):
            self.claims[duty] = LeaseClaim(0, now)
        self._renew_claims(now)
        return self.actions

    def on_message(self, now: float, sender: int, message: LeaseRequest | LeaseReply) -> list[Action]:
        """A request for this voter, or a voter's reply, has arrived."""
        self.actions = []
        if isinstance(message, LeaseRequest):
            self._on_request(now, sender, message)
        else:
            self._on_reply(now, sender, message)
        return self.actions

    def step(self, now: float) -> list[Action]:
        """Renew and end leases as time passes; call at `next_at` at the latest."""
        self.actions = []
        self._renew_claims(now)
        return self.actions

    def next_at(self) -> float:
        """When `step` is due."""
        times = [c.next_request_at for c in self.claims.values()]
        times += [c.expires_at for c in self.claims.values() if c.expires_at > -math.inf]
        return min(times, default=math.inf)

    def held_duties(self, now: float) -> list[int]:
        """The duties that are this instance's at this moment."""
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
        # A late reply to an earlier term would count time that is over at the voter.
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
        if now < self.votes_after:
            self._reply(now, sender, LeaseReply(request.duty, request.term, False, self.votes_after - now))
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
