"""Keeps a request that may have run from being sent again under its id, if its class forbids a repeat."""

from __future__ import annotations

from cottonhold.frontend.query_service import DuplicateRequestIdError, SentBeforeError
from cottonhold.node.client_request import OpenRequest
from cottonhold.node.sent_request_files import KnownRequest, SentRequests
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.scheduler.retry_policy import NEVER_RAN


class RepeatGuard:
    """Checks requests when they arrive and directly before each attempt, and records attempts.

    Args:
        sent_requests: The ids of the requests that the processes of this dispatcher have sent.
        counters: The counters of this process.
    """

    def __init__(self, sent_requests: SentRequests, counters: Counters) -> None:
        self.sent_requests, self.counters = sent_requests, counters

    def check_arrival(self, request_id: str) -> None:
        """Check a request that has arrived.

        Raises:
            DuplicateRequestIdError: Another process has an attempt of it out.
            SentBeforeError: It may have run, and its class forbids a repeat.
        """
        known = self.sent_requests.find(request_id)
        if known is KnownRequest.OUT:
            raise DuplicateRequestIdError(request_id)
        if known is KnownRequest.MAY_HAVE_RUN:
            self.counters.add("requests_sent_before")
            raise SentBeforeError(request_id)

    def may_begin(self, request: OpenRequest) -> bool:
        """Record an attempt directly before its first byte; return False if another process has sent it."""
        client_request = request.client_request
        request.is_recorded = True
        known = self.sent_requests.begin(client_request.request_id, client_request.is_repeatable)
        if known is not KnownRequest.NEW:
            self.counters.add("requests_sent_before")
        return known is KnownRequest.NEW

    def on_attempt_ended(self, request: OpenRequest, outcome: Outcome) -> None:
        """Forget a request of which no attempt is out, and which never ran or may be repeated."""
        if not request.is_recorded:
            return
        request.may_have_run = request.may_have_run or outcome not in NEVER_RAN
        if request.client_request.is_repeatable or not request.may_have_run:
            request.is_recorded = False
            self.sent_requests.end(request.client_request.request_id)
