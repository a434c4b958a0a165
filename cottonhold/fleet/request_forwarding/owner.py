"""The owner's side of request forwarding: accepts each request once and in time, and answers it. Pure.

Time. Each message of an origin returns the newest timestamp that it had from this owner, for how long it had
held it, and how much time is left to the request. Whatever the network delays were, the request's deadline on
this owner's clock is then not before timestamp + age + remaining time, less a part for clock drift. That is a
proof, so the latest of several such bounds counts, and a message that was delayed for long, or waited here
while this process was paused, gets nothing accepted.

Memory. Whether a request was accepted is remembered until the origin's lowest open count has passed its
count, or until its deadline is certainly over (arrival + remaining time). After that no message can prove
any remaining time, so forgetting is safe. What exceeds a limit is not acknowledged and is sent again.
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

TIMESTAMPS_PER_MS = 1000.0


class RequestOwner:
    """Requests that other members forward to this one. Appends to `actions` and counts events."""

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
        """An origin queries this owner's incarnation and a timestamp."""
        self._send_message(
            sender, IncarnationReply(believed_incarnation, self.incarnation, self._timestamp(now))
        )

    def on_request_fragment(self, now: float, sender: int, fragment: RequestFragment) -> None:
        """Apply a fragment of a request. Raises MessageError."""
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
                # With a newer timestamp the origin can prove more remaining time.
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
        """Accept the request no more, or cancel it. Raises MessageError."""
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
            # A late fragment must not be accepted after the origin reported NOT_ACCEPTED.
            self._close(origin, incarnation, count, False)
        return self._send_ack(now, origin, incarnation, message.header.number, message.is_abandoned)

    def on_answer_ack(self, sender: int, ack: AnswerAck) -> None:
        """Apply what the origin has of an answer. Raises MessageError."""
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
        """An accepted request has ended here; a second result is ignored."""
        origin, incarnation, request = self._find(origin_id, number)
        if origin is None or incarnation is None or request is None or request.reassembly or request.outcome:
            self.counts["stray"] += 1
            return
        if request.is_abandoned:
            self._close(origin, incarnation, number & U32, True)
            return
        if len(data) > MAX_BODY_BYTES or origin.answer_bytes + len(data) > self.settings.max_answer_bytes:
            # The request ran, so no result but FAILED is true.
            self.counts["answers_too_large"] += 1
            result, retry_after_ms, data = ForwardResult.FAILED, 0.0, b""
        origin.answer_bytes += len(data)
        is_valid_delay = math.isfinite(retry_after_ms) and retry_after_ms > 0.0
        request.outcome = result, retry_after_ms if is_valid_delay else 0.0
        request.answer_body = FragmentedBody(number, data, ANSWER_FRAGMENT_BYTES)
        origin.window.add(request.answer_body)
        self._send_answers(now, origin)

    def after_message(self, now: float, sender: int) -> None:
        """A message of this sender was applied: its window may have grown."""
        origin = self.origins.get(sender)
        if origin is not None:
            self._send_answers(now, origin)

    def step(self, now: float) -> None:
        """Do what is due."""
        for origin in list(self.origins.values()):
            self._send_answers(now, origin)
        if self.next_sweep_at <= now:
            self._sweep(now)

    def next_at(self) -> float:
        """Return when `step` is due."""
        return min([c.window.next_at() for c in self.origins.values()] + [self.next_sweep_at])

    def _timestamp(self, now: float) -> int:
        return max(int(now * TIMESTAMPS_PER_MS), 0)

    def _earliest_deadline(self, now: float, header: RequestHeader) -> float:
        """Return a time on this clock before which the request's deadline is not. Raises MessageError if it
        is impossible.
        """
        settings = self.settings
        if header.remaining_ms > settings.max_timeout_ms:
            raise MessageError("time left")
        if header.owner_incarnation != self.incarnation:
            return -math.inf
        timestamp_ms, min_clock_rate = header.timestamp / TIMESTAMPS_PER_MS, 1.0 - settings.max_clock_drift
        if timestamp_ms + header.timestamp_age_ms * min_clock_rate > now:
            raise MessageError("stamp")
        return (
            timestamp_ms
            + (header.timestamp_age_ms + header.remaining_ms) * min_clock_rate
            - settings.clock_margin_ms
        )

    def _latest_deadline(self, now: float, header: RequestHeader) -> float:
        """Return a time on this clock after which the request's deadline is not."""
        return (
            now + header.remaining_ms * (1.0 + self.settings.max_clock_drift) + self.settings.clock_margin_ms
        )

    def _incarnation_of(
        self, now: float, sender: int, header: RequestHeader, may_create: bool
    ) -> tuple[Origin, OriginIncarnation] | None:
        """Return the origin and incarnation of a message; None if there are too many, or none is created."""
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
        """All requests with a smaller count have ended at the origin."""
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
        """Begin to receive a request, if there is capacity for all of it."""
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
        """Accept a request that has arrived in full, unless it is too late."""
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
        """No client waits for those of these requests that run."""
        for request in requests:
            if request.reassembly is None and request.outcome is None and not request.is_abandoned:
                request.is_abandoned = True
                self.actions.append(RequestAbandoned(origin.id, request.number))

    def _on_abandoned(self, origin: Origin, incarnation: OriginIncarnation, request: IncomingRequest) -> None:
        """The client of an accepted request has left."""
        self._abandon(origin, [request])
        if request.outcome is not None:
            self._close(origin, incarnation, request.number & U32, True)

    def _close(self, origin: Origin, incarnation: OriginIncarnation, count: int, was_accepted: bool) -> None:
        """Forget a request, but for whether it was accepted."""
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
        """Send a request's state."""
        request, bits = incarnation.requests.get(number & U32), 0
        if request is not None and request.reassembly is not None:
            state, bits = RequestState.RECEIVING, request.reassembly.received_bits
        elif request is None and not incarnation.was_accepted.get(number & U32, True):
            state = RequestState.NOT_ACCEPTED
        else:
            state = RequestState.CANCELLED if is_cancelled else RequestState.ACCEPTED
        self._send_message(origin.id, RequestAck(number, self.incarnation, self._timestamp(now), state, bits))

    def _send_answers(self, now: float, origin: Origin) -> None:
        """Send fragments of answers, as far as the window allows."""
        for body, index in origin.window.take_sendable(now):
            _, _, request = self._find(origin.id, body.number)
            if request is not None and request.outcome is not None:
                result, retry_after_ms = request.outcome
                shape = (body.number, self.incarnation, result, retry_after_ms, len(body.body), index)
                self._send_message(origin.id, AnswerFragment(*shape, body.fragment(index)))

    def _sweep(self, now: float) -> None:
        """Forget requests whose deadline is certainly over, so that no late message can bring them back."""
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
