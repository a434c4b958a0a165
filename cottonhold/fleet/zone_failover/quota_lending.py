"""One budget in quotas that never add up to more than the whole, whatever any instance believes. Pure.

Each configured dispatcher owns a fixed quota. What one does not need it lends for a time.

    usable(i) = own(i) - what i has lent and has not expired + what i has borrowed and has not expired

Invariant: at each moment the usable quotas of all add up to at most 1. Sketch of the proof: the owned
quotas add up to 1. A loan is taken from the lender at the moment of the grant, and counts there for
`loan_ms` and the drift margin after the request arrived. The borrower counts it from when it *requested*
it, which was earlier, for `loan_ms`. With clocks whose rates differ by less than the margin the borrower's
time is over first. A grant that is lost, late, repeated or out of order makes the borrower use less, or the
same once (terms are never reused). A lender that restarts has forgotten its loans: it uses and lends
nothing until all that it may have granted has expired. A borrower that restarts has none. Two processes of
one dispatcher use half each, and lend nothing; the second one waits as after a restart, and by then the
first knows of it.

A share of the own quota may be `unlent`: never lent, by any incarnation of its owner. So a process that is
known to be its dispatcher's only one uses it from the first moment: what earlier incarnations lent came from
the rest. The quota of an owner that is missing stays idle. Lent by others, it would be used twice as soon as
the owner is back, which nobody can know in time.

Times are ms of each instance's own monotonic clock.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.fleet.message_format import MAX_UINT32, MessageError
from cottonhold.fleet.zone_failover.messages import QUOTA_GRANT, QUOTA_REQUEST

MESSAGE = struct.Struct("!BHIH")  # kind, zone, term, amount in steps
QUOTA_STEPS = 0xFFFF  # of the whole budget
FIRST_TERM_MASK = 0x7FFFFFFF  # leaves half of the numbers for the terms that follow
MIN_SHARE = 0.01  # a smaller lack or spare share is not worth a request


@dataclass(slots=True, frozen=True)
class QuotaSettings:
    """loan_ms: how long a loan counts. renew_after_share: part of it after which the borrower requests it
    again. clock_drift: margin for clocks' rates. restart_wait_loans: how many times `loan_ms` a restarted
    process waits: its earlier incarnation lent until it ended, or until it knew of its successor.
    unlent_share: share of the own quota that is never lent."""

    loan_ms: float = 1000.0
    renew_after_share: float = 0.35
    clock_drift: float = 0.1
    restart_wait_loans: float = 1.5
    unlent_share: float = 0.0


@dataclass(slots=True, frozen=True)
class QuotaRequest:
    """Requests part of a zone's budget, in steps, from a member."""

    zone: int
    term: int
    amount: int


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The answer: so many steps of it, maybe none."""

    zone: int
    term: int
    amount: int


@dataclass(slots=True, frozen=True)
class QuotaMessage:
    """A message for a member."""

    member: int
    message: QuotaRequest | QuotaGrant


class UsableQuota(NamedTuple):
    """The part of a budget that may be used now, 0 to 1, and until when it holds unless renewed."""

    share: float
    expires_at: float


def encode_quota_message(message: QuotaRequest | QuotaGrant) -> bytes:
    """A message's bytes."""
    kind = QUOTA_REQUEST if isinstance(message, QuotaRequest) else QUOTA_GRANT
    return MESSAGE.pack(kind, message.zone, message.term, message.amount)


def decode_quota_message(data: bytes) -> QuotaRequest | QuotaGrant:
    """A message's meaning. Raises MessageError."""
    if len(data) != MESSAGE.size or data[0] not in (QUOTA_REQUEST, QUOTA_GRANT):
        raise MessageError("quota")
    kind, zone, term, amount = MESSAGE.unpack(data)
    return QuotaRequest(zone, term, amount) if kind == QUOTA_REQUEST else QuotaGrant(zone, term, amount)


@dataclass(slots=True)
class BorrowedQuota:
    """What is borrowed of a lender, in steps, and what was last requested of it."""

    expires_at: float = -math.inf
    amount: int = 0
    term: int = 0
    requested_at: float = -math.inf
    requested_amount: int = 0


class LentQuota(NamedTuple):
    """A loan at its lender, in steps."""

    expires_at: float
    amount: int


@dataclass(slots=True)
class ZoneLoans:
    """One zone's budget at this instance."""

    lent: dict[int, list[LentQuota]] = field(default_factory=dict)  # by borrower
    borrowed: dict[int, BorrowedQuota] = field(default_factory=dict)  # by lender

    def reserved(self, now: float, borrower: int) -> int:
        """The most that a borrower may use of the own quota: the largest loan that has not expired.

        A newer, smaller loan replaces nothing: where its grant was lost, the borrower still uses the one
        before.
        """
        loans = [loan for loan in self.lent.get(borrower, ()) if loan.expires_at > now]
        self.lent[borrower] = loans
        return max((loan.amount for loan in loans), default=0)


class QuotaAccount:
    """This instance's quota of each zone's budget.

    own_quota: its fixed part, 0 to 1 over all; first_term: drawn at the start, so that a late grant to an
    earlier incarnation is void; is_only_process: it is its dispatcher's one process, and no successor beside
    an older one.
    """

    def __init__(
        self,
        now: float,
        own_quota: float,
        first_term: int,
        settings: QuotaSettings | None = None,
        is_only_process: bool = False,
    ) -> None:
        self.settings = settings or QuotaSettings()
        self.own_quota = int(own_quota * QUOTA_STEPS)
        self.unlent = math.ceil(self.own_quota * self.settings.unlent_share)
        self.usable_from = now + self.settings.restart_wait_loans * self.settings.loan_ms
        self.unlent_usable_from = now if is_only_process else self.usable_from
        self.last_term = first_term & FIRST_TERM_MASK
        self.process_count = 1  # processes that stand for this dispatcher
        self.loans: dict[int, ZoneLoans] = {}

    def usable(self, now: float, zone: int) -> UsableQuota:
        """The quota of a zone that may be used now."""
        amount, expires_at = self._available(now, zone), math.inf
        loans = self.loans.get(zone)
        for loan in loans.borrowed.values() if loans is not None else ():
            if loan.expires_at > now and loan.amount:
                amount, expires_at = amount + loan.amount, min(expires_at, loan.expires_at)
        return UsableQuota(max(amount, 0) / QUOTA_STEPS, expires_at)

    def request(
        self, now: float, zone: int, load_shares: Mapping[int, float], self_id: int
    ) -> list[QuotaMessage]:
        """Request what this instance lacks from members with less load than quota.

        load_shares: by member, its part of the load; adds up to about 1. Two processes of one dispatcher
        request nothing: to the lenders they are one borrower, and each would use the whole loan.
        """
        loans = self.loans.setdefault(zone, ZoneLoans())
        if self.process_count > 1 or now < self.usable_from or len(load_shares) < 2:
            return []
        fair = self.own_quota / QUOTA_STEPS
        lacking = {member: share - fair for member, share in load_shares.items() if share > fair}
        spare = {member: fair - share for member, share in load_shares.items() if share < fair}
        own_lack, all_lacking, all_spare = (
            lacking.get(self_id, 0.0),
            sum(lacking.values()),
            sum(spare.values()),
        )
        if own_lack <= MIN_SHARE or all_spare <= MIN_SHARE:
            return []
        requests = []
        for lender, share in spare.items():
            amount = int(QUOTA_STEPS * min(own_lack / all_lacking * share, own_lack * share / all_spare))
            loan = loans.borrowed.setdefault(lender, BorrowedQuota())
            if amount > 0 and self._needs_renewal(now, loan):
                requests.append(QuotaMessage(lender, self._new_request(now, zone, loan, amount)))
        return requests

    def on_message(self, now: float, sender: int, message: QuotaRequest | QuotaGrant) -> list[QuotaMessage]:
        """A message from a member; returns the answer, if it takes one."""
        loans = self.loans.setdefault(message.zone, ZoneLoans())
        if isinstance(message, QuotaRequest):
            amount = self._grant(now, loans, sender, message)
            return [QuotaMessage(sender, QuotaGrant(message.zone, message.term, amount))]
        loan = loans.borrowed.get(sender)
        # A grant of an earlier request, late or repeated, would count from the time of the newest one.
        if loan is not None and loan.term == message.term and message.amount <= loan.requested_amount:
            loan.amount = message.amount
            loan.expires_at = loan.requested_at + self.settings.loan_ms
        return []

    def forget(self, members: Iterable[int]) -> None:
        """Drop what is borrowed of members that have left; what they borrowed expires by itself."""
        departed = list(members)
        for loans in self.loans.values():
            for member in departed:
                loans.borrowed.pop(member, None)

    def _needs_renewal(self, now: float, loan: BorrowedQuota) -> bool:
        return now - loan.requested_at >= self.settings.renew_after_share * self.settings.loan_ms

    def _new_request(self, now: float, zone: int, loan: BorrowedQuota, amount: int) -> QuotaRequest:
        """A request under a new term, noted in the loan."""
        self.last_term = (self.last_term + 1) & MAX_UINT32
        loan.term, loan.requested_at, loan.requested_amount = self.last_term, now, amount
        return QuotaRequest(zone, self.last_term, amount)

    def _available(self, now: float, zone: int) -> int:
        """What is not lent of the own quota, in steps.

        Just after a start that is no more than the unlent share: an earlier incarnation may have lent the
        rest.
        """
        if now < self.usable_from:
            return self.unlent // self.process_count if now >= self.unlent_usable_from else 0
        loans = self.loans.get(zone)
        lent = sum(loans.reserved(now, borrower) for borrower in list(loans.lent)) if loans else 0
        return self.own_quota // self.process_count - lent

    def _grant(self, now: float, loans: ZoneLoans, borrower: int, request: QuotaRequest) -> int:
        """Lend what is spare, in steps; what the borrower has already counts as spare."""
        if self.process_count > 1 or now < self.usable_from:
            return 0
        spare = self._available(now, request.zone) - self.unlent + loans.reserved(now, borrower)
        amount = min(request.amount, max(spare, 0))
        if amount:
            expires_at = now + self.settings.loan_ms * (1 + self.settings.clock_drift)
            loans.lent.setdefault(borrower, []).append(LentQuota(expires_at, amount))
        return amount
