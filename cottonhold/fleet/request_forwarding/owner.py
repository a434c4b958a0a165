"""Owner side of request forwarding: accept each request once and in time, and answer it; does no I/O.

Time: each message of an origin contains the newest timestamp that the origin received from this owner, the
time since then, and the remaining time of the request. Regardless of network delays, the request's deadline
on this owner's clock is not before timestamp + age + remaining time, minus an allowance for clock drift. Of
several such lower bounds the highest one is used. No request is accepted by a message that was delayed for
too long, in the network or while this process was paused, because its lower bound has passed.

Memory: the owner stores whether a request was accepted until the origin's lowest open count is above the
request's count, or until its deadline has certainly passed (arrival + remaining time). After that no message
can prove any remaining time, so the entry can be deleted safely. Messages that would exceed a memory limit
are not acknowledged, and the origin sends them again.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.fragmentation import FragmentedBody, Reassembly
from cottonhold.fleet.request_forwarding.incoming import IncomingRequest, Origin, OriginIncarnation
from cottonhold.fleet.request_forwarding.interface import (
    Action,
    ForwardingSettings,
    RequestAbandoned,
    RequestAccepted,
)
from cottonhold.fleet.request_forwarding.messages import (
    ANSWER_FRAGMENT_BYTES,
    MAX_BODY_BYTES,
    REQUEST_FRAGMENT_BYTES,
    U32,
    AnswerAck,
    AnswerFragment,
    ForwardResult,
    IncarnationReply,
    Message,
    RequestAck,
    RequestFragment,
    RequestHeader,
    RequestState,
    WithdrawRequest,
    encode,
)

TIMESTAMPS_PER_MS = 1000.0  # timestamps are in microseconds


class RequestOwner:
    """Receives requests from other members; appends to `actions` and counts events in `counts`."""

    def __init__(
        self, incarnation: int, settings: ForwardingSettings, counts: Counter[str], actions: list[Action]
    ) -> None:
        self.incarnation = incarnation
        self.settings = settings
        self.counts = counts
        self.actions = actions
        self.origins: dict[int, Origin] = {}
        self.next_sweep_at = math.inf

    def on_incarnation_query(self, now: float, sender: int, believed_incarnation: int) -> None:
        """Reply to an origin with this owner's incarnation and a timestamp."""
        self._send_message(
            sender, IncarnationReply(believed_incarnation, self.incarnation, self._timestamp(now))
        )

    def on_request_fragment(self, now: float, sender: int, fragment: RequestFragment) -> None:
        """Add a fragment of a request. Raises MessageError if it contradicts itself or an earlier one."""
        deadline = self._earliest_deadline(now, fragment.header)
        count = fragment.header.number & U32
        if fragment.header.owner_incarnation != self.incarnation:
            return self.on_incarnation_query(now, sender, fragment.header.owner_incarnation)
        _, _, request = self._find(sender, fragment.header.number)
        if request is not None and request.reassembly is not None:
            request.reassembly.check(fragment.body_bytes, fragment.index, fragment.data)
        known = self._incarnation_of(now, sender, fragment.header, deadline > now)
        if known is None or count < known[1].lowest_open_count:
            return None
        origin, incarnation = known
        request = incarnation.requests.get(count)
        if count in incarnation.was_accepted or (request is not None and request.reassembly is None):
            return self._send_ack(now, origin, incarnation, fragment.header.number)
        if request is None:
            if deadline <= now:
                # With a newer timestamp the origin may be able to prove remaining time.
                return self.on_incarnation_query(now, sender, self.incarnation)
            request = self._begin_request(origin, incarnation, fragment)
        if request is None or request.reassembly is None:
            return None
        is_complete = request.reassembly.add(fragment.body_bytes, fragment.index, fragment.data)
        request.earliest_deadline = max(request.earliest_deadline, deadline)
        request.latest_deadline = max(request.latest_deadline, self._latest_deadline(now, fragment.header))
        if is_complete:
            self._on_fully_received(now, origin, incarnation, request)
        return self._send_ack(now, origin, incarnation, fragment.header.number)

    def on_withdraw(self, now: float, sender: int, message: WithdrawRequest) -> None:
        """Stop accepting a request, or cancel an accepted one. Raises MessageError for impossible times."""
        self._earliest_deadline(now, message.header)
        count = message.header.number & U32
        if message.header.owner_incarnation != self.incarnation:
            return self.on_incarnation_query(now, sender, message.header.owner_incarnation)
        known = self._incarnation_of(now, sender, message.header, True)
        if known is None or count < known[1].lowest_open_count:
            return None
        origin, incarnation = known
        request = incarnation.requests.get(count)
        if request is not None and request.reassembly is None:
            if message.is_abandoned:
                self._on_abandoned(origin, incarnation, request)
        elif count not in incarnation.was_accepted:
            if request is None and self._is_full(incarnation):
                return None
            # A delayed fragment must not be accepted after the origin has reported NOT_ACCEPTED.
            self._close(origin, incarnation, count, False)
        return self._send_ack(now, origin, incarnation, message.header.number, message.is_abandoned)

    def on_answer_ack(self, sender: int, ack: AnswerAck) -> None:
        """Record which fragments of an answer the origin has. Raises MessageError if one was never sent."""
        origin, incarnation, request = self._find(sender, ack.number)
        if origin is None or incarnation is None or request is None or request.answer_body is None:
            return
        origin.window.on_ack(ack.number, ack.received_bits)
        if ack.is_complete or request.answer_body.is_fully_acked:
            self._close(origin, incarnation, ack.number & U32, True)

    def on_request_ended(
        self,
        now: float,
        origin_id: int,
        number: int,
        result: ForwardResult,
        retry_after_ms: float,
        data: bytes,
    ) -> None:
        """Send the result of an accepted request to its origin; a second result is ignored."""
        origin, incarnation, request = self._find(origin_id, number)
        if origin is None or incarnation is None or request is None or request.reassembly or request.outcome:
            self.counts["stray"] += 1
            return
        if request.is_abandoned:
            self._close(origin, incarnation, number & U32, True)
            return
        if len(data) > MAX_BODY_BYTES or origin.answer_bytes + len(data) > self.settings.max_answer_bytes:
            # The request may have run, so FAILED is the only correct result.
            self.counts["answers_too_large"] += 1
            result, retry_after_ms, data = ForwardResult.FAILED, 0.0, b""
        origin.answer_bytes += len(data)
        is_valid_delay = math.isfinite(retry_after_ms) and retry_after_ms > 0.0
        request.outcome = result, retry_after_ms if is_valid_delay else 0.0
        request.answer_body = FragmentedBody(number, data, ANSWER_FRAGMENT_BYTES)
        origin.window.add(request.answer_body)
        self._send_answers(now, origin)

    def after_message(self, now: float, sender: int) -> None:
        """Send answers to a sender whose message was applied, since its window may have grown."""
        origin = self.origins.get(sender)
        if origin is not None:
            self._send_answers(now, origin)

    def step(self, now: float) -> None:
        """Send and expire what is due."""
        for origin in list(self.origins.values()):
            self._send_answers(now, origin)
        if self.next_sweep_at <= now:
            self._sweep(now)

    def next_at(self) -> float:
        """Return when `step` is due."""
        return min([origin.window.next_at() for origin in self.origins.values()] + [self.next_sweep_at])

    def _timestamp(self, now: float) -> int:
        return max(int(now * TIMESTAMPS_PER_MS), 0)

    def _earliest_deadline(self, now: float, header: RequestHeader) -> float:
        """Return a lower bound of the request's deadline on this clock; -inf for another incarnation.

        Raises MessageError if the times in the header are impossible.
        """
        settings = self.settings
        if header.remaining_ms > settings.max_timeout_ms:
            raise MessageError("remaining time exceeds the maximum timeout")
        if header.owner_incarnation != self.incarnation:
            return -math.inf
        timestamp_ms, min_clock_rate = header.timestamp / TIMESTAMPS_PER_MS, 1.0 - settings.max_clock_drift
        if timestamp_ms + header.timestamp_age_ms * min_clock_rate > now:
            raise MessageError("timestamp plus its age is in the future")
        return (
            timestamp_ms
            + (header.timestamp_age_ms + header.remaining_ms) * min_clock_rate
            - settings.clock_margin_ms
        )

    def _latest_deadline(self, now: float, header: RequestHeader) -> float:
        """Return an upper bound of the request's deadline on this clock."""
        return (
            now + header.remaining_ms * (1.0 + self.settings.max_clock_drift) + self.settings.clock_margin_ms
        )

    def _incarnation_of(
        self, now: float, sender: int, header: RequestHeader, may_create: bool
    ) -> tuple[Origin, OriginIncarnation] | None:
        """Return the origin and incarnation that sent a message, updated from its header.

        If they are unknown they are created; the result is None if there are too many already or `may_create`
        is False.
        """
        settings, number = self.settings, header.number >> 32
        origin = self.origins.get(sender)
        incarnation = origin.incarnations.get(number) if origin is not None else None
        if incarnation is None:
            is_full = (
                len(self.origins) >= settings.max_origins
                if origin is None
                else len(origin.incarnations) >= settings.max_origin_incarnations
            )
            if is_full or not may_create:
                self.counts["full"] += is_full and may_create
                return None
            if origin is None:
                origin = self.origins[sender] = Origin(sender, settings.send_window())
                self.next_sweep_at = min(self.next_sweep_at, now + settings.liveness_interval_ms)
            for older in origin.incarnations.values():
                if older.number < number:
                    self._abandon(origin, older.requests.values())
            incarnation = origin.incarnations[number] = OriginIncarnation(number)
        assert origin is not None
        incarnation.latest_deadline = max(incarnation.latest_deadline, self._latest_deadline(now, header))
        self._forget_below(origin, incarnation, header.lowest_open_count)
        return origin, incarnation

    def _forget_below(self, origin: Origin, incarnation: OriginIncarnation, lowest_open_count: int) -> None:
        """Drop the requests with a smaller count, which have ended at the origin."""
        if lowest_open_count <= incarnation.lowest_open_count:
            return
        is_range_shorter = lowest_open_count - incarnation.lowest_open_count <= len(
            incarnation.was_accepted
        ) + len(incarnation.requests)
        counts = (
            range(incarnation.lowest_open_count, lowest_open_count)
            if is_range_shorter
            else [*incarnation.was_accepted, *incarnation.requests]
        )
        for count in [c for c in counts if c < lowest_open_count]:
            request = incarnation.requests.get(count)
            if request is not None:
                self._abandon(origin, [request])
                self._close(origin, incarnation, count, True)
            incarnation.was_accepted.pop(count, None)
        incarnation.lowest_open_count = lowest_open_count

    def _is_full(self, incarnation: OriginIncarnation) -> bool:
        is_full = (
            len(incarnation.requests) + len(incarnation.was_accepted) >= self.settings.max_remembered_requests
        )
        self.counts["full"] += is_full
        return is_full

    def _begin_request(
        self, origin: Origin, incarnation: OriginIncarnation, fragment: RequestFragment
    ) -> IncomingRequest | None:
        """Start to receive a request if the memory limits allow all of it; else return None."""
        if self._is_full(incarnation):
            return None
        if origin.receiving_bytes + fragment.body_bytes > self.settings.max_receiving_bytes:
            self.counts["full"] += 1
            return None
        origin.receiving_bytes += fragment.body_bytes
        request = incarnation.requests[fragment.header.number & U32] = IncomingRequest(
            fragment.header.number, Reassembly(fragment.body_bytes, REQUEST_FRAGMENT_BYTES)
        )
        return request

    def _on_fully_received(
        self, now: float, origin: Origin, incarnation: OriginIncarnation, request: IncomingRequest
    ) -> None:
        """Accept a completely received request, unless it is too late."""
        remaining_ms = request.earliest_deadline - now
        if remaining_ms <= self.settings.min_remaining_ms or request.reassembly is None:
            self.counts["late"] += 1
            self._close(origin, incarnation, request.number & U32, False)
            return
        body, origin.receiving_bytes = (
            request.reassembly.body(),
            origin.receiving_bytes - request.reassembly.body_bytes,
        )
        request.reassembly = None
        self.counts["taken"] += 1
        self.actions.append(RequestAccepted(origin.id, request.number, body, remaining_ms))

    def _abandon(self, origin: Origin, requests: Iterable[IncomingRequest]) -> None:
        """Cancel those of these requests that are running, because no client waits for them."""
        for request in requests:
            if request.reassembly is None and request.outcome is None and not request.is_abandoned:
                request.is_abandoned = True
                self.actions.append(RequestAbandoned(origin.id, request.number))

    def _on_abandoned(self, origin: Origin, incarnation: OriginIncarnation, request: IncomingRequest) -> None:
        """Cancel an accepted request, or drop its answer, because its client disconnected."""
        self._abandon(origin, [request])
        if request.outcome is not None:
            self._close(origin, incarnation, request.number & U32, True)

    def _close(self, origin: Origin, incarnation: OriginIncarnation, count: int, was_accepted: bool) -> None:
        """Drop a request, storing only whether it was accepted."""
        request = incarnation.requests.pop(count, None)
        incarnation.was_accepted[count] = was_accepted
        if request is None:
            return
        if request.reassembly is not None:
            origin.receiving_bytes -= request.reassembly.body_bytes
        if request.answer_body is not None:
            origin.answer_bytes -= len(request.answer_body.body)
            origin.window.remove(request.number)

    def _find(
        self, sender: int, number: int
    ) -> tuple[Origin | None, OriginIncarnation | None, IncomingRequest | None]:
        origin = self.origins.get(sender)
        incarnation = origin.incarnations.get(number >> 32) if origin is not None else None
        return (
            origin,
            incarnation,
            incarnation.requests.get(number & U32) if incarnation is not None else None,
        )

    def _send_ack(
        self,
        now: float,
        origin: Origin,
        incarnation: OriginIncarnation,
        number: int,
        is_cancelled: bool = False,
    ) -> None:
        """Send the state of a request to its origin."""
        request, bits = incarnation.requests.get(number & U32), 0
        if request is not None and request.reassembly is not None:
            state, bits = RequestState.RECEIVING, request.reassembly.received_bits
        elif request is None and not incarnation.was_accepted.get(number & U32, True):
            state = RequestState.NOT_ACCEPTED
        else:
            state = RequestState.CANCELLED if is_cancelled else RequestState.ACCEPTED
        self._send_message(origin.id, RequestAck(number, self.incarnation, self._timestamp(now), state, bits))

    def _send_answers(self, now: float, origin: Origin) -> None:
        """Send fragments of answers that fit into the window."""
        for body, index in origin.window.pop_sendable(now):
            _, _, request = self._find(origin.id, body.number)
            if request is not None and request.outcome is not None:
                result, retry_after_ms = request.outcome
                header = (body.number, self.incarnation, result, retry_after_ms, len(body.body), index)
                self._send_message(origin.id, AnswerFragment(*header, body.fragment(index)))

    def _sweep(self, now: float) -> None:
        """Drop requests whose deadline has certainly passed, so that no late message can revive them."""
        for origin in list(self.origins.values()):
            for incarnation in list(origin.incarnations.values()):
                for count in [c for c, r in incarnation.requests.items() if r.latest_deadline < now]:
                    was_accepted = incarnation.requests[count].reassembly is None
                    self._close(origin, incarnation, count, was_accepted)
                if not incarnation.requests and incarnation.latest_deadline < now:
                    del origin.incarnations[incarnation.number]
            if not origin.incarnations:
                del self.origins[origin.id]
        self.next_sweep_at = now + self.settings.liveness_interval_ms if self.origins else math.inf

    def _send_message(self, member: int, message: Message) -> None:
        self.actions.append(SendConsensusMessage(member, encode(message)))
