"""Divide a budget among instances into quotas whose sum never exceeds the whole; does no I/O.

Each configured dispatcher owns a fixed quota and lends the part that it does not need for a limited time.

    usable(i) = owned(i) - unexpired loans granted by i + unexpired loans borrowed by i

Invariant: at any time the usable quotas of all instances add up to at most 1, even if instances have
different information. Sketch of the proof:

- The owned quotas add up to 1.
- The lender subtracts a loan from the moment of the grant until `loan_ms` plus the drift margin after the
  request arrived. The borrower adds it until `loan_ms` after it *sent* the request, which was earlier. If the
  rates of the clocks differ by less than the margin, the loan expires at the borrower first.
- A grant that is lost, delayed, repeated or reordered makes the borrower use less, or is applied once: terms
  are never reused.
- A restarted lender does not remember its loans, so it uses and lends nothing until all loans that it may
  have granted have expired. A restarted borrower has no loans.
- Two processes of one dispatcher use half of its quota each and lend nothing. The second one waits as after a
  restart; by the end of that time the first one has been informed of it.

A share of the owned quota may be "unlent", which means that no incarnation of its owner ever lends it. A
process that is known to be the only one of its dispatcher may use that share immediately, because the loans
of earlier incarnations came from the rest. The quota of a missing owner stays unused: if others lent it, it
would be used twice when the owner returns, since they cannot learn of the return in time.

Times are in ms of each instance's own monotonic clock.
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
QUOTA_STEPS = 0xFFFF  # number of steps in the whole budget
FIRST_TERM_MASK = 0x7FFFFFFF  # leaves at least half of the 32-bit range for later terms
MIN_SHARE = 0.01  # no request is sent if the missing or the spare share of the budget is at most this


@dataclass(slots=True, frozen=True)
class QuotaSettings:
    """Times and shares of quota lending.

    Attributes:
        loan_ms: Time for which a loan is valid, in ms.
        renew_after_share: Fraction of `loan_ms` after which the borrower requests the loan again.
        clock_drift: Fraction of `loan_ms` by which the lender extends a loan, because clocks differ in rate.
        restart_wait_loans: Time for which a started process does not use or lend its quota, as a multiple of
            `loan_ms`. The earlier incarnation may have lent until it ended or learned of its successor.
        unlent_share: Fraction of the owned quota that is never lent.
    """

    loan_ms: float = 1000.0
    renew_after_share: float = 0.35
    clock_drift: float = 0.1
    restart_wait_loans: float = 1.5
    unlent_share: float = 0.0


@dataclass(slots=True, frozen=True)
class QuotaRequest:
    """A request for a loan from a zone's budget; `amount` is in steps."""

    zone: int
    term: int
    amount: int


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The answer to a QuotaRequest; `amount` is in steps and may be 0."""

    zone: int
    term: int
    amount: int


@dataclass(slots=True, frozen=True)
class QuotaMessage:
    """A quota message and the member to send it to."""

    member: int
    message: QuotaRequest | QuotaGrant


class UsableQuota(NamedTuple):
    """The fraction of a budget that may be used now, and when it expires unless loans are renewed, in ms."""

    share: float
    expires_at: float


def encode_quota_message(message: QuotaRequest | QuotaGrant) -> bytes:
    """Encode a quota message."""
    kind = QUOTA_REQUEST if isinstance(message, QuotaRequest) else QUOTA_GRANT
    return MESSAGE.pack(kind, message.zone, message.term, message.amount)


def decode_quota_message(data: bytes) -> QuotaRequest | QuotaGrant:
    """Decode a quota message. Raises MessageError if it is malformed."""
    if len(data) != MESSAGE.size or data[0] not in (QUOTA_REQUEST, QUOTA_GRANT):
        raise MessageError("wrong size or kind of a quota message")
    kind, zone, term, amount = MESSAGE.unpack(data)
    return QuotaRequest(zone, term, amount) if kind == QUOTA_REQUEST else QuotaGrant(zone, term, amount)


@dataclass(slots=True)
class BorrowedQuota:
    """A loan at its borrower and the last request for it; amounts are in steps."""

    expires_at: float = -math.inf
    amount: int = 0
    term: int = 0
    requested_at: float = -math.inf
    requested_amount: int = 0


class LentQuota(NamedTuple):
    """A loan at its lender; `amount` is in steps."""

    expires_at: float
    amount: int


@dataclass(slots=True)
class ZoneLoans:
    """The loans of one zone's budget at this instance."""

    lent: dict[int, list[LentQuota]] = field(default_factory=dict)  # by borrower
    borrowed: dict[int, BorrowedQuota] = field(default_factory=dict)  # by lender

    def reserved(self, now: float, borrower: int) -> int:
        """Return the most that a borrower may be using of the owned quota, in steps.

        That is the largest unexpired loan. A newer, smaller loan does not replace a larger one: if its grant
        was lost, the borrower still uses the earlier loan.
        """
        loans = [loan for loan in self.lent.get(borrower, ()) if loan.expires_at > now]
        self.lent[borrower] = loans
        return max((loan.amount for loan in loans), default=0)


class QuotaAccount:
    """Keeps this instance's quota of each zone's budget.

    Args:
        now: Time of the start, in ms.
        owned_share: Owned fraction of each budget; those of all dispatchers add up to 1.
        first_term: Random number from which terms are counted, so that a delayed grant to an earlier
            incarnation is ignored.
        settings: Times and shares; None for the defaults.
        is_only_process: Whether no older process of the same dispatcher is still running.
    """

    def __init__(
        self,
        now: float,
        owned_share: float,
        first_term: int,
        settings: QuotaSettings | None = None,
        is_only_process: bool = False,
    ) -> None:
        self.settings = settings or QuotaSettings()
        self.owned_steps = int(owned_share * QUOTA_STEPS)
        self.unlent_steps = math.ceil(self.owned_steps * self.settings.unlent_share)
        self.usable_from = now + self.settings.restart_wait_loans * self.settings.loan_ms
        self.unlent_usable_from = now if is_only_process else self.usable_from
        self.last_term = first_term & FIRST_TERM_MASK
        self.process_count = 1  # running processes of this dispatcher
        self.loans: dict[int, ZoneLoans] = {}

    def usable(self, now: float, zone: int) -> UsableQuota:
        """Return the quota of a zone that may be used now."""
        amount, expires_at = self._available(now, zone), math.inf
        loans = self.loans.get(zone)
        for loan in loans.borrowed.values() if loans is not None else ():
            if loan.expires_at > now and loan.amount:
                amount, expires_at = amount + loan.amount, min(expires_at, loan.expires_at)
        return UsableQuota(max(amount, 0) / QUOTA_STEPS, expires_at)

    def request(
        self, now: float, zone: int, load_shares: Mapping[int, float], self_id: int
    ) -> list[QuotaMessage]:
        """Return requests for the quota that this instance lacks, to members with less load than quota.

        If two processes of one dispatcher are running, neither requests anything: the lenders could not
        distinguish them, and each would use the whole loan.

        Args:
            now: Current time, in ms.
            zone: Number of the zone or other budget.
            load_shares: Share of the fleet's load by member; they add up to about 1.
            self_id: Id of this instance among the members.
        """
        loans = self.loans.setdefault(zone, ZoneLoans())
        if self.process_count > 1 or now < self.usable_from or len(load_shares) < 2:
            return []
        owned_share = self.owned_steps / QUOTA_STEPS
        lacking = {
            member: share - owned_share for member, share in load_shares.items() if share > owned_share
        }
        spare = {member: owned_share - share for member, share in load_shares.items() if share < owned_share}
        missing_share, total_missing, total_spare = (
            lacking.get(self_id, 0.0),
            sum(lacking.values()),
            sum(spare.values()),
        )
        if missing_share <= MIN_SHARE or total_spare <= MIN_SHARE:
            return []
        requests = []
        for lender, share in spare.items():
            amount = int(
                QUOTA_STEPS * min(missing_share / total_missing * share, missing_share * share / total_spare)
            )
            loan = loans.borrowed.setdefault(lender, BorrowedQuota())
            if amount > 0 and self._needs_renewal(now, loan):
                requests.append(QuotaMessage(lender, self._new_request(now, zone, loan, amount)))
        return requests

    def on_message(self, now: float, sender: int, message: QuotaRequest | QuotaGrant) -> list[QuotaMessage]:
        """Handle a message from a member and return the answer, if there is one."""
        loans = self.loans.setdefault(message.zone, ZoneLoans())
        if isinstance(message, QuotaRequest):
            amount = self._grant(now, loans, sender, message)
            return [QuotaMessage(sender, QuotaGrant(message.zone, message.term, amount))]
        loan = loans.borrowed.get(sender)
        # A delayed or repeated grant of an earlier request must be ignored: its validity would be counted
        # from the time of the newest request.
        if loan is not None and loan.term == message.term and message.amount <= loan.requested_amount:
            loan.amount = message.amount
            loan.expires_at = loan.requested_at + self.settings.loan_ms
        return []

    def forget(self, members: Iterable[int]) -> None:
        """Drop loans borrowed from members that have left; loans granted to them expire by themselves."""
        departed = list(members)
        for loans in self.loans.values():
            for member in departed:
                loans.borrowed.pop(member, None)

    def _needs_renewal(self, now: float, loan: BorrowedQuota) -> bool:
        return now - loan.requested_at >= self.settings.renew_after_share * self.settings.loan_ms

    def _new_request(self, now: float, zone: int, loan: BorrowedQuota, amount: int) -> QuotaRequest:
        """Return a request under a new term, and record it in the loan."""
        self.last_term = (self.last_term + 1) & MAX_UINT32
        loan.term, loan.requested_at, loan.requested_amount = self.last_term, now, amount
        return QuotaRequest(zone, self.last_term, amount)

    def _available(self, now: float, zone: int) -> int:
        """Return the part of the owned quota that is not lent, in steps.

        Just after a start this is at most the unlent share, because an earlier incarnation may have lent the
        rest.
        """
        if now < self.usable_from:
            return self.unlent_steps // self.process_count if now >= self.unlent_usable_from else 0
        loans = self.loans.get(zone)
        lent = sum(loans.reserved(now, borrower) for borrower in list(loans.lent)) if loans else 0
        return self.owned_steps // self.process_count - lent

    def _grant(self, now: float, loans: ZoneLoans, borrower: int, request: QuotaRequest) -> int:
        """Lend up to the requested amount and return the amount lent, in steps.

        A loan that the borrower already has is replaced, so its amount is available too.
        """
        if self.process_count > 1 or now < self.usable_from:
            return 0
        spare = self._available(now, request.zone) - self.unlent_steps + loans.reserved(now, borrower)
        amount = min(request.amount, max(spare, 0))
        if amount:
            expires_at = now + self.settings.loan_ms * (1 + self.settings.clock_drift)
            loans.lent.setdefault(borrower, []).append(LentQuota(expires_at, amount))
        return amount
