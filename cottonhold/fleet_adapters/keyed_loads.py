"""Load guard for loads with ordering keys: each one starts at its key's owner or is forwarded to it.

It wraps the load guard that prevents double execution (load_records.py). Who owns a key is decided by
fleet/session_affinity/service.py, and how a forwarded request ends by fleet/request_forwarding/forwarder.py.
"""

from __future__ import annotations

import itertools
import secrets
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.forwarder import ForwardingEnded, ForwardResult
from cottonhold.fleet.request_forwarding.interface import RESULT_NAMES
from cottonhold.fleet.request_forwarding.request_codec import affinity_key, decode_rows
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet_adapters.load_conversions import NEVER_RAN
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.gateway import Gateway
from cottonhold.node.load_guard import LoadGuard, LoadOutcome, LoadOutcomeCallback
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.transport.clock import Clock

KNOWN_OUTCOMES = (*NEVER_RAN, Outcome.OK, Outcome.ERROR)  # after any other outcome, the load may still run
MAX_WAIT_MS = 2000.0  # longest wait until the key has an owner; exceeds the duration of a fence
MAX_FORWARDED_WAIT_MS = 400.0  # longest wait for an owner of a request from another member
WAIT_STEPS_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, MAX_WAIT_MS)  # upper bounds of buckets
MAX_HOPS_WITHOUT_PAUSE = 3  # hops via the key's home, its owner, and one move in between
MAX_HINTS = 20_000  # largest number of owner hints kept, and of returned rounds
RETRY_RESERVE_MS = 100.0  # time left for the client when it is asked to retry later
ANSWER_RESERVE_MS = 50.0  # time reserved before the client's timeout for a forwarded request's answer


class KeyRouter(Protocol):
    """The part of session affinity that the guard uses."""

    member: int  # id of this instance
    retry_after_ms: float  # delay sent to clients that have to retry

    def route(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return where a request with this key has to start."""

    def is_owner(self, key: bytes) -> bool:
        """Return whether this instance owns the key now, so that a request may start here."""

    def is_member(self, member: int) -> bool:
        """Return whether a member may own keys, according to this instance's membership table."""

    def will_not_start(self, key: bytes) -> bool:
        """Return whether a waiting request with this key can no longer start here."""

    def on_request_opened(self, key: bytes, load: int) -> None:
        """Record that a request with this key waits or runs here."""

    def on_request_ended(self, key: bytes, load: int, is_outcome_known: bool) -> None:
        """Record that a request has ended; without a known outcome it may still be running."""

    def forward(
        self, client_request: ClientRequest, owner: int, key: bytes, deadline: float, round_number: int
    ) -> None:
        """Forward a request to a member; the result is passed to `KeyedLoadGuard.on_forwarding_ended`."""

    def abandon(self, request_id: str) -> None:
        """Abandon a forwarded request: its client no longer waits for the answer."""


class OriginRound(NamedTuple):
    """The member that forwarded a request to this one, and the number of its forwarding round."""

    origin: int
    number: int


@dataclass(slots=True, eq=False)
class ForwardingRound:
    """The requests of one key that are forwarded to the same owner at the same time."""

    owner: int  # id of the member that they are forwarded to
    number: int  # identifies the round at that member
    open_count: int = 0  # requests without a result
    has_returned: bool = False  # the owner sent a request back unexecuted; the key's next requests wait


@dataclass(slots=True, eq=False, order=False)
class KeyedRequest:
    """A load with a key, from its arrival to the end of its last attempt. Times are ms of the clock."""

    number: int  # sequence number in order of arrival
    client_request: ClientRequest
    key: bytes
    deadline: float  # time by which the client needs its response
    wait_deadline: float  # time until which the request waits for an owner
    on_outcome: LoadOutcomeCallback
    origin_round: OriginRound | None  # None unless another member forwarded the request to this one
    owner: int = 0  # id of the member that it is forwarded to; 0: not forwarded
    retry_at: float = 0.0  # earliest time of the next placement
    waiting_since: float = 0.0  # 0: not waiting
    known_owner: int = 0  # for a request forwarded to this member: the owner to report to its origin; 0: none
    hop_count: int = 0  # number of receivers that were not the key's owner
    is_opened: bool = False  # reported to the router as open
    is_in_flight: bool = False  # an attempt waits for its record or runs
    is_closed: bool = False  # its client has the final response or has disconnected
    is_outcome_known: bool = True  # no attempt ended with an outcome after which it may still run

    def __lt__(self, other: KeyedRequest) -> bool:
        return self.number < other.number


class KeyedLoadGuard:
    """Implements `LoadGuard` (node/load_guard.py) for an instance with session affinity."""

    def __init__(
        self, loads: LoadGuard, router: KeyRouter, gateway: Gateway, clock: Clock, counters: Counters
    ) -> None:
        self.loads, self.router, self.gateway = loads, router, gateway
        self.clock, self.counters = clock, counters
        self.numbers = itertools.count(1)
        self.requests: dict[str, KeyedRequest] = {}
        self.queues: dict[bytes, list[KeyedRequest]] = {}  # requests without an owner, in order of arrival
        self.forwarding_rounds: dict[bytes, ForwardingRound] = {}
        self.round_numbers = itertools.count(secrets.randbits(62))
        self.origin_rounds: dict[str, OriginRound] = {}  # by id of a request forwarded to this member
        # By origin and key: number of the last round of forwarded requests that was returned to the origin.
        self.returned_rounds: dict[tuple[int, bytes], int] = {}
        self.owners_by_returned: dict[str, int] = {}  # owner by id of a returned request; 0: not known
        self.wait_histogram = [0] * (len(WAIT_STEPS_MS) + 1)  # requests of this instance's own clients
        self.owner_hints: dict[bytes, int] = {}  # owner by key, as the key's home reported it

    def guards(self, query_class: int) -> bool:
        """Return whether requests of a class are recorded."""
        return self.loads.guards(query_class)

    def on_load_arrived(
        self, client_request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        """Place an arriving load: one with a key starts only at the key's owner."""
        if client_request.ordering_key is None:
            self.loads.on_load_arrived(client_request, deadline, on_outcome)
            return
        now = self.clock.now()
        origin_round = self.origin_rounds.get(client_request.request_id)
        wait_deadline = max(
            min(deadline - RETRY_RESERVE_MS, now + (MAX_FORWARDED_WAIT_MS if origin_round else MAX_WAIT_MS)),
            now,
        )
        request = KeyedRequest(
            next(self.numbers),
            client_request,
            affinity_key(client_request.ordering_key),
            deadline,
            wait_deadline,
            on_outcome,
            origin_round,
        )
        self.requests[client_request.request_id] = request
        # A request must not overtake earlier requests of its key that wait for an owner.
        if request.key in self.queues or not self._place(request):
            self._enqueue(request)

    def before_attempt_sent(
        self, attempt: Attempt, client_request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        """Record an attempt; stop it if this instance does not own the key before or after the write."""
        request = self.requests.get(attempt.request_id)
        if request is None:
            self.loads.before_attempt_sent(attempt, client_request, on_recorded)
            return
        request.is_in_flight = True
        if not self.router.is_owner(request.key):
            self._stop_attempt(request, on_recorded)
            return

        def on_written(durable: bool) -> None:
            # If the lease expired during the write, the next owner may already run a request of this key.
            if durable and not self.router.is_owner(request.key):
                self._stop_attempt(request, on_recorded)
            else:
                on_recorded(durable)

        self.loads.before_attempt_sent(attempt, request.client_request, on_written)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Record that an attempt has ended, and end the request if its client has its response."""
        self.loads.on_attempt_ended(attempt, outcome)
        request = self.requests.get(attempt.request_id)
        if request is not None:
            request.is_in_flight = False
            request.is_outcome_known = request.is_outcome_known and outcome in KNOWN_OUTCOMES
            if request.is_closed:
                self._end(request)

    def on_request_closed(self, request_id: str) -> None:
        """Record that a client has its final response; an attempt in flight keeps the request open."""
        self.loads.on_request_closed(request_id)
        request = self.requests.get(request_id)
        if request is None:
            return
        request.is_closed = True
        if request.owner:
            self.router.abandon(request_id)
            self._on_returned(request)
        if not request.is_in_flight:
            self._end(request)

    def on_forwarding_ended(self, ended: ForwardingEnded) -> None:
        """Answer the client of a forwarded request, or queue the request again after NOT_OWNER."""
        request = self.requests.get(ended.request_id)
        if request is None or not request.owner:
            return
        self._on_returned(request, ended.result in (ForwardResult.NOT_OWNER, ForwardResult.NOT_ACCEPTED))
        self.counters.add(f"pins_handed_{RESULT_NAMES[ended.result]}")
        if ended.result is ForwardResult.ANSWERED:
            try:
                rows = decode_rows(ended.data)
            except MessageError:
                request.on_outcome(LoadOutcome.MAY_HAVE_RUN, 0.0)
                return
            self.gateway.finish_without_attempt(
                ended.request_id, "served", lambda client: client.complete(rows)
            )
        elif ended.result is ForwardResult.FAILED:
            request.on_outcome(LoadOutcome.MAY_HAVE_RUN, 0.0)
        elif ended.result is ForwardResult.NOT_OWNER and self.clock.now() < request.wait_deadline:
            self._on_not_owner(request, ended)
            self._enqueue(request)
        else:
            request.on_outcome(LoadOutcome.NOT_KNOWN_YET, ended.retry_after_ms or self.router.retry_after_ms)
        self.place_waiting(request.key)

    def _on_not_owner(self, request: KeyedRequest, ended: ForwardingEnded) -> None:
        """Store the owner that the receiver reported; the receiver itself does not own the key."""
        owner = int.from_bytes(ended.data, "big") if len(ended.data) == 8 else 0
        self.owner_hints.pop(request.key, None)
        if owner:
            self.owner_hints[request.key] = owner
            if len(self.owner_hints) > MAX_HINTS:
                del self.owner_hints[next(iter(self.owner_hints))]
        request.hop_count += 1
        # Two members that each regard the other as the owner would forward it in a loop without a pause.
        if not owner or request.hop_count % MAX_HOPS_WITHOUT_PAUSE == 0:
            request.retry_at = self.clock.now() + self.router.retry_after_ms

    def step(self) -> None:
        """Place waiting requests, and reject those that can no longer start here."""
        for key in list(self.queues):
            self.place_waiting(key)
        for request in list(self.requests.values()):
            if (
                request.is_opened
                and not request.is_in_flight
                and not request.is_closed
                and self.router.will_not_start(request.key)
            ):
                self._reject(request)

    def place_waiting(self, key: bytes) -> None:
        """Place the waiting requests of a key in order of arrival, until one has to wait longer."""
        now = self.clock.now()
        while queue := self.queues.get(key):
            request = queue[0]
            if now >= request.wait_deadline:
                self._dequeue(request)
                self._retry_later(request)
            elif now >= request.retry_at and self._place(request):
                self._dequeue(request)
            elif request.known_owner:
                self._dequeue(request)
                self._retry_later(request)
            else:
                return

    def _enqueue(self, request: KeyedRequest) -> None:
        if request.known_owner:  # its origin forwards it to that owner
            self._retry_later(request)
            return
        self.counters.add("pins_waited")
        request.waiting_since = request.waiting_since or self.clock.now()
        insort(self.queues.setdefault(request.key, []), request)

    def _count_wait(self, request: KeyedRequest) -> None:
        if request.waiting_since and not request.origin_round:
            waited_ms = self.clock.now() - request.waiting_since
            self.wait_histogram[bisect_left(WAIT_STEPS_MS, waited_ms)] += 1
            request.waiting_since = 0.0

    def _dequeue(self, request: KeyedRequest) -> None:
        self._count_wait(request)
        queue = self.queues.get(request.key, [])
        if request in queue:
            queue.remove(request)
        if not queue:
            self.queues.pop(request.key, None)

    def _place(self, request: KeyedRequest) -> bool:
        """Start the request here or forward it to the owner; return False if it has to wait."""
        route = self.router.route(request.key)
        target = self._target(request.key, route.owner) if isinstance(route, OwnedElsewhere) else 0
        request.known_owner = target if request.origin_round else 0
        if self._is_of_returned_round(request):
            request.known_owner = target or self.router.member
            return False
        earlier = self.forwarding_rounds.get(request.key)
        if earlier is not None and (earlier.owner != target or earlier.has_returned):
            return False  # a previous owner still holds earlier requests of the key
        if isinstance(route, OwnedHere):
            request.is_opened = True
            self.router.on_request_opened(request.key, request.number)
            self.loads.on_load_arrived(request.client_request, request.deadline, request.on_outcome)
            return True
        if not target or request.origin_round:
            return False
        self._forward(request, target)
        return True

    def _is_of_returned_round(self, request: KeyedRequest) -> bool:
        """Return whether a request forwarded to this member belongs to a round that was returned.

        The whole round is returned, or a later request of the key could start before an earlier one.
        """
        if request.origin_round is None:
            return False
        origin, round_number = request.origin_round
        return self.returned_rounds.get((origin, request.key)) == round_number

    def _forward(self, request: KeyedRequest, target: int) -> None:
        forwarding_round = self.forwarding_rounds.get(request.key)
        if forwarding_round is None:
            forwarding_round = ForwardingRound(target, next(self.round_numbers))
            self.forwarding_rounds[request.key] = forwarding_round
        forwarding_round.open_count += 1
        request.owner = target
        client_request = request.client_request
        deadline = client_request.arrived_at + client_request.timeout_ms - ANSWER_RESERVE_MS
        self.router.forward(client_request, target, request.key, deadline, forwarding_round.number)

    def _target(self, key: bytes, owner: int) -> int:
        """Return the member to forward a request to: the reported owner, or else the key's home."""
        hint = self.owner_hints.get(key, 0)
        if hint in (0, self.router.member):
            return owner
        # A hint may still name a machine that was replaced and is no longer a member.
        return hint if self.router.is_member(hint) else owner

    def _on_returned(self, request: KeyedRequest, did_not_run: bool = False) -> None:
        """Remove a request from its forwarding round, because no other member holds it any more."""
        request.owner = 0
        forwarding_round = self.forwarding_rounds[request.key]
        forwarding_round.open_count -= 1
        forwarding_round.has_returned = forwarding_round.has_returned or did_not_run
        if not forwarding_round.open_count:
            del self.forwarding_rounds[request.key]

    def _return_round(self, request: KeyedRequest, owner: int) -> None:
        """Return a request, and all later requests of its forwarding round, to the member that sent it."""
        if request.origin_round is None:
            return
        self.owners_by_returned[request.client_request.request_id] = owner
        self.returned_rounds.pop((request.origin_round[0], request.key), None)
        self.returned_rounds[request.origin_round[0], request.key] = request.origin_round[1]
        if len(self.returned_rounds) > MAX_HINTS:
            del self.returned_rounds[next(iter(self.returned_rounds))]

    def _retry_later(self, request: KeyedRequest) -> None:
        self.counters.add("pins_later")
        self._return_round(request, request.known_owner)
        request.on_outcome(LoadOutcome.NOT_KNOWN_YET, self.router.retry_after_ms)

    def _stop_attempt(self, request: KeyedRequest, on_recorded: Callable[[bool], None]) -> None:
        """Cancel an attempt that has not been sent, and reject its request."""
        on_recorded(False)
        self._reject(request)

    def _reject(self, request: KeyedRequest) -> None:
        """Reject a request whose key this instance does not own any more; its client retries."""
        self.counters.add("pins_turned_back")
        self._return_round(request, 0)
        retry_after_ms = self.router.retry_after_ms
        self.gateway.finish_without_attempt(
            request.client_request.request_id, "refused", lambda client: client.reject(retry_after_ms)
        )

    def _end(self, request: KeyedRequest) -> None:
        self.requests.pop(request.client_request.request_id, None)
        self._dequeue(request)
        if request.is_opened:
            self.router.on_request_ended(request.key, request.number, request.is_outcome_known)
