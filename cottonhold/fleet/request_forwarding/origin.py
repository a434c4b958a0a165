"""Origin side of request forwarding: send each request to one owner and return one result; does no I/O.

    QUEUED ----> SENDING ------> ACCEPTED ----> the owner's answer, or FAILED at the deadline
     (queue of     |                ^
     its key)      v                |
               WITHDRAWING ---------+------> NOT_ACCEPTED if the owner confirms that it will not accept it,
     (if not accepted in time)               FAILED at the deadline

Nothing is sent before the owner's incarnation is known. Each fragment contains that incarnation, so that a
restarted owner accepts nothing that was sent to an earlier process. NOT_ACCEPTED is reported only if a
fragment was never sent or if the owner confirms that it will not accept the request. In the phase ABANDONED
the client has a result or disconnected, and the owner is being informed; the next request in the queue of the
key waits until the owner confirms that or the deadline passes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.fragmentation import (
    MAX_BACKOFF_DOUBLINGS,
    FragmentedBody,
    Reassembly,
)
from cottonhold.fleet.request_forwarding.interface import (
    RESULT_NAMES,
    Action,
    ForwardingEnded,
    ForwardingSettings,
)
from cottonhold.fleet.request_forwarding.messages import (
    ANSWER_FRAGMENT_BYTES,
    MAX_BODY_BYTES,
    REQUEST_FRAGMENT_BYTES,
    U32,
    AnswerAck,
    AnswerFragment,
    ForwardResult,
    IncarnationQuery,
    IncarnationReply,
    Message,
    RequestAck,
    RequestFragment,
    RequestHeader,
    RequestState,
    WithdrawRequest,
    encode,
    request_number,
)
from cottonhold.fleet.request_forwarding.outgoing import ActionTimer, KnownOwner, OutgoingRequest, SendPhase


class RequestOrigin:
    """Forwards requests to other members; appends to `actions` and counts events in `counts`."""

    def __init__(
        self,
        member: int,
        incarnation: int,
        settings: ForwardingSettings,
        seed: int,
        counts: Counter[str],
        actions: list[Action],
    ) -> None:
        self.member = member
        self.incarnation = incarnation
        self.settings = settings
        self.counts = counts
        self.actions = actions
        self.random_source = random.Random(seed)
        self.owners: dict[int, KnownOwner] = {}
        self.requests_by_id: dict[str, OutgoingRequest] = {}
        self.open_count = 0
        self.action_timers: list[ActionTimer] = []  # heap ordered by time

    def forward(
        self, now: float, request_id: str, owner_id: int, body: bytes, deadline: float, queue_key: bytes
    ) -> None:
        """Forward a client's request; `RequestForwarder.forward` describes the arguments."""
        if request_id in self.requests_by_id or owner_id == self.member:
            raise ValueError(request_id)
        deadline = min(deadline, now + self.settings.max_timeout_ms)
        rejection = self._rejection(now, request_id, body, deadline)
        if rejection is not None:
            self.actions.append(rejection)
            return
        owner = self._owner(owner_id)
        owner.request_count += 1
        number = request_number(self.incarnation, owner.request_count)
        fragments = FragmentedBody(number, body, REQUEST_FRAGMENT_BYTES)
        request = OutgoingRequest(request_id, owner_id, number, fragments, queue_key, deadline, 0.0)
        if not owner.open_requests:
            owner.next_query_at, owner.query_count = now + self.settings.liveness_interval_ms, 0
        owner.open_requests[number] = self.requests_by_id[request_id] = request
        self.open_count += 1
        self.counts["handed"] += 1
        reserve_ms = min(self.settings.withdraw_reserve_ms, (deadline - now) / 2)
        self._schedule(request, deadline - max(reserve_ms, self.settings.answer_reserve_ms))
        self._enqueue(owner, request)
        self._send_pending(now, owner)

    def _rejection(self, now: float, request_id: str, body: bytes, deadline: float) -> ForwardingEnded | None:
        """Return the result of a request that cannot be forwarded; None if it can."""
        settings = self.settings
        if len(body) > MAX_BODY_BYTES:
            return ForwardingEnded(request_id, ForwardResult.TOO_LARGE)
        if deadline - now <= settings.answer_reserve_ms:
            return ForwardingEnded(request_id, ForwardResult.NOT_ACCEPTED)
        if self.open_count >= settings.max_open_requests:
            self.counts["full"] += 1
            return ForwardingEnded(request_id, ForwardResult.REJECTED, settings.retry_after_ms)
        return None

    def _owner(self, owner_id: int) -> KnownOwner:
        """Return the state kept for an owner, creating it if necessary."""
        owner = self.owners.get(owner_id)
        if owner is None:
            owner = self.owners[owner_id] = KnownOwner(owner_id, self.settings.send_window())
        return owner

    def abandon(self, now: float, request_id: str) -> None:
        """Drop a request whose client disconnected; it gets no result."""
        request = self.requests_by_id.pop(request_id, None)
        if request is None:
            return
        request.is_ended = True
        owner = self.owners[request.owner]
        if request.body.is_fully_sent:
            self._cancel(now, owner, request)
        else:
            self._close(owner, request)
        self._send_pending(now, owner)

    def on_incarnation_reply(self, now: float, sender: int, reply: IncarnationReply) -> None:
        """Record an owner's incarnation and timestamp."""
        owner = self.owners.get(sender)
        # A delayed reply to an earlier query may contain an incarnation that has already ended.
        if owner is None or reply.believed_incarnation != owner.incarnation:
            self.counts["stray"] += 1
            return
        if reply.incarnation != owner.incarnation:
            owner.incarnation, owner.timestamp, owner.is_timestamp_fresh = reply.incarnation, -1, False
            if reply.believed_incarnation:
                self._on_owner_restarted(owner, reply.believed_incarnation)
        self._apply_timestamp(now, owner, reply.timestamp)
        self._send_pending(now, owner)

    def on_request_ack(self, now: float, sender: int, ack: RequestAck) -> None:
        """Apply the state of a request at its owner. Raises MessageError if it is impossible."""
        owner, request = self._find(sender, ack.number)
        if owner is None or ack.owner_incarnation != owner.incarnation:
            return
        if request is None or request.owner_incarnation != ack.owner_incarnation:
            self._apply_timestamp(now, owner, ack.timestamp)
            self._send_pending(now, owner)
            return
        if ack.state is RequestState.ACCEPTED and not request.body.is_fully_sent:
            raise MessageError("request accepted before all fragments were sent")
        if request.phase is SendPhase.SENDING:
            owner.window.on_ack(ack.number, ack.received_bits)
        self._apply_timestamp(now, owner, ack.timestamp)
        if ack.state is RequestState.NOT_ACCEPTED:
            self._end(request, ForwardResult.NOT_ACCEPTED)
            self._close(owner, request)
        elif ack.state is RequestState.CANCELLED and request.phase is SendPhase.ABANDONED:
            self._close(owner, request)
        elif ack.state is RequestState.ACCEPTED and request.phase in (
            SendPhase.SENDING,
            SendPhase.WITHDRAWING,
        ):
            self._on_accepted(owner, request)
        self._send_pending(now, owner)

    def on_answer_fragment(self, now: float, sender: int, fragment: AnswerFragment) -> None:
        """Add a fragment of an answer. Raises MessageError if it cannot belong to the request."""
        owner, request = self._find(sender, fragment.number)
        if request is None or owner is None or request.is_ended:
            self._send_message(sender, AnswerAck(fragment.number, True))
            return
        if fragment.owner_incarnation != request.owner_incarnation or not request.body.is_fully_sent:
            raise MessageError("answer to a request that was not fully sent to this incarnation")
        if request.answer is None:
            request.answer, request.outcome = (
                Reassembly(fragment.body_bytes, ANSWER_FRAGMENT_BYTES),
                (fragment.result, fragment.retry_after_ms),
            )
        if request.outcome != (fragment.result, fragment.retry_after_ms):
            raise MessageError("fragments of an answer have different results")
        is_complete = request.answer.add(fragment.body_bytes, fragment.index, fragment.data)
        if request.phase is not SendPhase.ACCEPTED:
            self._on_accepted(owner, request)
        self._send_message(sender, AnswerAck(fragment.number, is_complete, request.answer.received_bits))
        if is_complete:
            self._end(request, fragment.result, fragment.retry_after_ms, request.answer.body())
            self._close(owner, request)
        self._send_pending(now, owner)

    def step(self, now: float) -> None:
        """Send and expire what is due."""
        self.expire(now)
        for owner in self.owners.values():
            self._send_pending(now, owner)

    def expire(self, now: float) -> None:
        """Run the due timers of requests; called before each message, so that late answers are ignored."""
        changed: set[int] = set()
        while self.action_timers and self.action_timers[0][0] <= now:
            action_at, owner_id, number = heapq.heappop(self.action_timers)
            owner = self.owners[owner_id]
            request = owner.open_requests.get(number)
            if request is not None and request.next_action_at == action_at:
                self._on_timer(now, owner, request)
                changed.add(owner_id)
        # Sending is postponed until all due timers have run. Otherwise each withdrawal would let the next
        # overdue request be sent to a failed owner, after which it could not be sent elsewhere.
        for owner_id in changed:
            self._send_pending(now, self.owners[owner_id])

    def next_at(self) -> float:
        """Return when `step` is due."""
        times = [self.action_timers[0][0]] if self.action_timers else []
        for owner in self.owners.values():
            if owner.open_requests:
                times += [
                    owner.next_query_at,
                    owner.window.next_at() if owner.is_timestamp_fresh else math.inf,
                ]
        return min(times, default=math.inf)

    def _apply_timestamp(self, now: float, owner: KnownOwner, timestamp: int) -> None:
        """Record a timestamp of the owner's current incarnation if it is the newest."""
        if timestamp > owner.timestamp:
            owner.timestamp, owner.timestamp_received_at, owner.is_timestamp_fresh = timestamp, now, True
            owner.next_query_at, owner.query_count = now + self.settings.liveness_interval_ms, 0

    def _find(self, sender: int, number: int) -> tuple[KnownOwner | None, OutgoingRequest | None]:
        """Return an owner and its open request, if any. Raises MessageError for a number never used."""
        owner = self.owners.get(sender)
        if number >> 32 != self.incarnation:
            return owner, None
        if owner is None or not 0 < number & U32 <= owner.request_count:
            raise MessageError("unknown request number")
        return owner, owner.open_requests.get(number)

    def _schedule(self, request: OutgoingRequest, action_at: float) -> None:
        request.next_action_at = action_at
        heapq.heappush(self.action_timers, ActionTimer(action_at, request.owner, request.number))

    def _enqueue(self, owner: KnownOwner, request: OutgoingRequest) -> None:
        """Start sending a request, or queue it until all earlier ones of its key are accepted or ended."""
        if request.queue_key:
            queue = owner.queues.setdefault(request.queue_key, deque())
            queue.append(request)
            if queue[0] is not request:
                return
        self._start_sending(owner, request)

    def _start_sending(self, owner: KnownOwner, request: OutgoingRequest) -> None:
        request.phase = SendPhase.SENDING
        owner.window.add(request.body)

    def _dequeue(self, owner: KnownOwner, request: OutgoingRequest) -> None:
        """Remove a request from its queue and start sending the next one."""
        queue = owner.queues.get(request.queue_key)
        if not request.queue_key or queue is None or request not in queue:
            return
        was_first = queue[0] is request
        queue.remove(request)
        if not queue:
            del owner.queues[request.queue_key]
        elif was_first:
            self._start_sending(owner, queue[0])

    def _on_accepted(self, owner: KnownOwner, request: OutgoingRequest) -> None:
        """Stop sending a request that the owner has accepted."""
        request.phase = SendPhase.ACCEPTED
        owner.window.on_fully_received(request.number)
        self._schedule(request, request.deadline - self.settings.answer_reserve_ms)
        self._dequeue(owner, request)

    def _on_owner_restarted(self, owner: KnownOwner, previous_incarnation: int) -> None:
        """Fail the requests that were fully sent to an owner's previous process; resend the others."""
        self.counts["restarts"] += 1
        for request in list(owner.open_requests.values()):
            if request.owner_incarnation != previous_incarnation:
                continue
            if request.body.is_fully_sent:
                self._end(request, ForwardResult.FAILED)
                self._close(owner, request)
            else:
                owner.window.remove(request.number)
                request.body.reset()
                request.owner_incarnation = 0
                owner.window.add(request.body)

    def _on_timer(self, now: float, owner: KnownOwner, request: OutgoingRequest) -> None:
        """Withdraw the request, report its result to the client, or drop it, depending on its phase."""
        settings = self.settings
        answer_deadline = request.deadline - settings.answer_reserve_ms
        if request.phase is SendPhase.ABANDONED and now >= request.deadline:
            self._close(owner, request)
        elif request.phase is SendPhase.ABANDONED:
            self._send_withdraw(now, owner, request, request.deadline)
        elif not request.body.is_fully_sent:
            self._end(request, ForwardResult.NOT_ACCEPTED)
            self._close(owner, request)
        elif now >= answer_deadline:
            self._end(request, ForwardResult.FAILED)
            self._cancel(now, owner, request)
        else:
            if request.phase is SendPhase.SENDING:
                request.phase, request.withdraw_count = SendPhase.WITHDRAWING, 0
                owner.window.remove(request.number)
            self._send_withdraw(now, owner, request, answer_deadline)

    def _cancel(self, now: float, owner: KnownOwner, request: OutgoingRequest) -> None:
        """Inform the owner that no client waits for the request."""
        request.phase, request.withdraw_count = SendPhase.ABANDONED, 0
        owner.window.remove(request.number)
        self._send_withdraw(now, owner, request, request.deadline)

    def _send_withdraw(self, now: float, owner: KnownOwner, request: OutgoingRequest, latest: float) -> None:
        """Send a withdrawal, and schedule the next one no later than at `latest`."""
        is_abandoned = request.phase is SendPhase.ABANDONED
        self._send_message(owner.id, WithdrawRequest(self._header(now, owner, request), is_abandoned))
        backoff_ms = self._backoff_ms(request.withdraw_count)
        request.withdraw_count = min(request.withdraw_count + 1, MAX_BACKOFF_DOUBLINGS)
        self._schedule(request, min(now + backoff_ms, latest))

    def _backoff_ms(self, send_count: int) -> float:
        """Return the time until a message that was already sent `send_count` times is sent again."""
        backoff_ms: float = self.settings.retry_interval_ms * 2**send_count
        backoff_ms = min(backoff_ms, self.settings.max_retry_interval_ms)
        return backoff_ms * self.random_source.uniform(0.9, 1.0)

    def _end(
        self, request: OutgoingRequest, result: ForwardResult, retry_after_ms: float = 0.0, data: bytes = b""
    ) -> None:
        """Report the result to the client unless it already has one."""
        if not request.is_ended:
            request.is_ended = True
            self.requests_by_id.pop(request.request_id, None)
            self.counts[RESULT_NAMES[result]] += 1
            self.actions.append(ForwardingEnded(request.request_id, result, retry_after_ms, data))

    def _close(self, owner: KnownOwner, request: OutgoingRequest) -> None:
        """Drop a request that needs no further messages."""
        if owner.open_requests.pop(request.number, None) is not None:
            self.open_count -= 1
        owner.window.remove(request.number)
        self._dequeue(owner, request)

    def _header(self, now: float, owner: KnownOwner, request: OutgoingRequest) -> RequestHeader:
        remaining_ms, timestamp_age_ms = (
            max(request.deadline - now, 0.0),
            max(now - owner.timestamp_received_at, 0.0),
        )
        lowest_open_count = next(iter(owner.open_requests)) & U32
        return RequestHeader(
            request.number,
            request.owner_incarnation or owner.incarnation,
            owner.timestamp,
            timestamp_age_ms,
            remaining_ms,
            lowest_open_count,
        )

    def _send_pending(self, now: float, owner: KnownOwner) -> None:
        """Send fragments that fit into the window; query the incarnation of an owner that is silent."""
        if not owner.open_requests:
            return
        if now - owner.timestamp_received_at > self.settings.max_timestamp_age_ms:
            owner.is_timestamp_fresh = False
        if not owner.is_timestamp_fresh and owner.query_count == 0:
            owner.next_query_at = now
        if now >= owner.next_query_at:
            self._send_message(owner.id, IncarnationQuery(owner.incarnation))
            owner.next_query_at = now + self._backoff_ms(owner.query_count)
            owner.query_count = min(owner.query_count + 1, MAX_BACKOFF_DOUBLINGS)
        if not owner.is_timestamp_fresh:
            return
        for body, index in owner.window.pop_sendable(now):
            request = owner.open_requests[body.number]
            request.owner_incarnation = owner.incarnation
            header = self._header(now, owner, request)
            fragment = RequestFragment(header, index, len(body.body), body.fragment(index))
            self._send_message(owner.id, fragment)

    def _send_message(self, member: int, message: Message) -> None:
        self.actions.append(SendConsensusMessage(member, encode(message)))
