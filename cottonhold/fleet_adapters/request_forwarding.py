"""Runs request forwarding: sends requests to the owners of their keys, and accepts requests for the gateway.

The adapter makes no decisions of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding import forwarder
from cottonhold.fleet.request_forwarding.forwarder import ForwardResult, RequestForwarder
from cottonhold.fleet.request_forwarding.request_codec import (
    ForwardedRequest,
    decode_request,
    encode_request,
    encode_rows,
)
from cottonhold.fleet_adapters.keyed_loads import KeyedLoadGuard, OriginRound
from cottonhold.frontend.mysql_packets import ResultRows
from cottonhold.frontend.query_service import DuplicateRequestIdError
from cottonhold.node.client_request import ClientRequest, OpenRequest
from cottonhold.node.gateway import Gateway
from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import Clock


class ForwardedClient:
    """Response sink of a request that was forwarded to this instance: returns its result to the origin."""

    def __init__(self, adapter: RequestForwardingAdapter, origin: int, number: int, request_id: str) -> None:
        self.adapter, self.origin, self.number, self.request_id = adapter, origin, number, request_id

    def complete(self, rows: ResultRows) -> None:
        """Return the complete result to the origin."""
        self.adapter.on_forwarded_ended(self, ForwardResult.ANSWERED, 0.0, encode_rows(list(rows)))

    def reject(self, retry_after: float) -> None:
        """Report that a retry does no harm: the request was rejected, or another instance owns its key."""
        owner = self.adapter.guard.owners_by_returned.get(self.request_id)
        if owner is None:
            self.adapter.on_forwarded_ended(self, ForwardResult.REJECTED, retry_after, b"")
        else:
            self.adapter.on_forwarded_ended(
                self, ForwardResult.NOT_OWNER, 0.0, owner.to_bytes(8, "big") if owner else b""
            )

    def fail(self, why: str) -> None:
        """Report that the request failed and may have run."""
        self.adapter.on_forwarded_ended(self, ForwardResult.FAILED, 0.0, b"")

    def has_left(self) -> bool:
        """Return False: the origin reports that a client has left with a message of its own."""
        return False


class RequestForwardingAdapter:
    """Passes events and time to the forwarder of one instance, and executes its actions.

    Args:
        request_forwarder: The forwarder, which decides what is sent and when.
        guard: The guard of loads with keys; receives the results of forwarded requests.
        send: Sends a payload to a member.
        retry_after_ms: Delay sent with rejections, in ms.
        schedule_step: Called after each event, so that `step` runs soon.
    """

    def __init__(
        self,
        request_forwarder: RequestForwarder,
        guard: KeyedLoadGuard,
        gateway: Gateway,
        clock: Clock,
        send: Callable[[int, bytes], None],
        counters: Counters,
        retry_after_ms: float,
        schedule_step: Callable[[], None],
    ) -> None:
        self.forwarder, self.guard, self.gateway, self.clock = request_forwarder, guard, gateway, clock
        self.send, self.counters = send, counters
        self.retry_after_ms, self.schedule_step = retry_after_ms, schedule_step
        # Requests that others forwarded to this instance, by origin and the origin's request number.
        self.incoming_requests: dict[tuple[int, int], tuple[OpenRequest, ForwardedClient]] = {}

    def on_message(self, now: float, member: int, payload: bytes) -> None:
        """Apply a member's message of request forwarding."""
        self._execute(self.forwarder.on_message(now, member, payload))

    def step(self, now: float) -> None:
        """Resend unconfirmed messages, and give up requests that have reached their deadlines."""
        self._execute(self.forwarder.step(now))

    def next_at(self) -> float:
        """Return when `step` is due, in ms of the clock."""
        return self.forwarder.next_at()

    def status(self) -> dict[str, Any]:
        """Return the counts of forwarded requests for the status socket."""
        return self.forwarder.status()

    def forward(
        self, client_request: ClientRequest, owner: int, key: bytes, deadline: float, round_number: int
    ) -> None:
        """Forward a request to the owner of its key."""
        self.counters.add("pins_handed_on")
        tenants = self.gateway.settings.tenants
        forwarded = ForwardedRequest(
            request_id=client_request.request_id,
            class_name=client_request.class_name,
            ordering_key=client_request.ordering_key or "",
            estimated_work_ms=client_request.estimated_work_ms,
            estimated_memory_mb=client_request.estimated_memory_mb,
            table_group=client_request.table_group,
            is_retry=client_request.is_retry,
            body=client_request.body,
            round=round_number,
            tenant=tenants[client_request.tenant].name if client_request.tenant < len(tenants) else "",
            idempotency_key=client_request.idempotency_key or "",
        )
        body = encode_request(forwarded)
        now = self.clock.now()
        actions = self.forwarder.forward(now, client_request.request_id, owner, body, deadline, queue_key=key)
        # An immediate result must reach the guard only after the guard has recorded the forwarding.
        self.clock.call_soon(lambda: self._execute(actions))

    def abandon(self, request_id: str) -> None:
        """Abandon a forwarded request: its client no longer waits for the answer."""
        self._execute(self.forwarder.abandon(self.clock.now(), request_id))

    def _on_request_accepted(self, action: forwarder.RequestAccepted) -> None:
        """Pass a request that another member forwarded to the gateway, or reject it."""
        try:
            forwarded = decode_request(action.body)
        except MessageError:
            self.counters.add("pins_malformed")
            self._reject(action, retry_after_ms=0.0)
            return
        query_class = self.gateway.decoder.class_indexes.get(forwarded.class_name)
        request_id = forwarded.request_id
        if request_id in self.gateway.requests:
            request_id = f"{request_id}.{action.number:x}"
        if query_class is None or request_id in self.gateway.requests:
            self._reject(action, self.retry_after_ms)
            return
        self.counters.add("pins_handed_here")
        client_request = self._client_request(forwarded, request_id, query_class, action.remaining_ms)
        client = ForwardedClient(self, action.origin, action.number, request_id)
        self.guard.origin_rounds[request_id] = OriginRound(action.origin, forwarded.round)
        try:
            request = self.gateway.accept(client_request, client)
        except DuplicateRequestIdError:
            self._reject(action, self.retry_after_ms)
            return
        self.incoming_requests[action.origin, action.number] = request, client

    def _client_request(
        self, forwarded: ForwardedRequest, request_id: str, query_class: int, remaining_ms: float
    ) -> ClientRequest:
        """Convert a forwarded request to the form in which the gateway accepts its own clients' requests."""
        return ClientRequest(
            request_id,
            query_class,
            forwarded.class_name,
            self.clock.now(),
            remaining_ms,
            forwarded.estimated_work_ms,
            forwarded.estimated_memory_mb,
            forwarded.table_group,
            forwarded.ordering_key,
            forwarded.is_retry,
            forwarded.body,
            self.gateway.decoder.tenant_indexes.get(forwarded.tenant, 0),
            forwarded.idempotency_key or None,
        )

    def _reject(self, action: forwarder.RequestAccepted, retry_after_ms: float) -> None:
        now, result = self.clock.now(), ForwardResult.REJECTED
        actions = self.forwarder.on_request_ended(now, action.origin, action.number, result, retry_after_ms)
        self._execute(actions)

    def on_forwarded_ended(
        self, client: ForwardedClient, result: ForwardResult, retry_after_ms: float, data: bytes
    ) -> None:
        """Return the result of a request that another member forwarded to this instance."""
        request_key = client.origin, client.number
        self.incoming_requests.pop(request_key, None)
        self.guard.origin_rounds.pop(client.request_id, None)
        self.guard.owners_by_returned.pop(client.request_id, None)
        self._execute(
            self.forwarder.on_request_ended(self.clock.now(), *request_key, result, retry_after_ms, data)
        )
        self.schedule_step()

    def _on_request_abandoned(self, origin: int, number: int) -> None:
        """Cancel a request whose client no longer waits at the origin."""
        incoming = self.incoming_requests.pop((origin, number), None)
        if incoming is not None:
            request, client = incoming
            self.guard.origin_rounds.pop(client.request_id, None)
            self.gateway.on_client_disconnected(request)

    def _execute(self, actions: Iterable[forwarder.Action]) -> None:
        for action in actions:
            match action:
                case SendConsensusMessage(member, data):
                    self.send(member, data)
                case forwarder.RequestAccepted():
                    self._on_request_accepted(action)
                case forwarder.RequestAbandoned(origin, number):
                    self._on_request_abandoned(origin, number)
                case forwarder.ForwardingEnded():
                    self.guard.on_forwarding_ended(action)
        self.schedule_step()
