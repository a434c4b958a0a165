"""Follows one service's health by blocking queries: the next request, and what a response means. Pure.

As Consul's page on blocking queries says, an index that goes backwards starts anew from 0, one that is 0
counts as 1, and a response may take the wait and a sixteenth more. After any failure the next request doesn't
block: what changed meanwhile must be known at once, and the next agent may lag behind.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import quote, urlencode

from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.http_exchange import HttpRequest, HttpResponse
from cottonhold.discovery.model import Address, Event, SourceLost, SourceReport
from cottonhold.message_validation import WireError

MAX_WAIT_JITTER = 1 / 16  # of the wait; Consul adds it so that not all watchers wake at once
FORBIDDEN = 403
TOO_MANY_REQUESTS = 429


@dataclass(slots=True, frozen=True)
class WatchSettings:
    """What is watched, and how.

    max_wait_ms: how long Consul holds a response back while nothing changes; a silently broken connection
    goes unnoticed for as long.
    first_byte_timeout_ms: how much later than that the first byte may come. body_timeout_ms: for the rest.
    min_backoff_ms, max_backoff_ms: after a failure, doubled with each further one, with jitter of a half.
    min_interval_ms: between two responses, so that a list that keeps changing doesn't take the whole core.
    max_staleness_ms: a response of a server that heard of its leader longer ago is requested again, from the
    leader.
    """

    name: str
    addresses: tuple[Address, ...]
    service: str
    datacenter: str = ""
    filter: str = ""
    tag: str = ""
    consistency: str = "stale"
    token: str = field(default="", repr=False)
    max_wait_ms: float = 10_000.0
    first_byte_timeout_ms: float = 1000.0
    body_timeout_ms: float = 5000.0
    min_backoff_ms: float = 50.0
    max_backoff_ms: float = 5000.0
    min_interval_ms: float = 20.0
    max_staleness_ms: float = 2000.0
    max_body_bytes: int = 64 << 20


class ServiceWatch:
    """The watch of one service in one datacentre.

    Each `next_request` goes to `address` and is followed by `on_response` or `on_failure` and a pause of
    `next_call_in_ms`.
    """

    def __init__(self, settings: WatchSettings, decoder: HealthResponseDecoder, seed: int) -> None:
        self.settings, self.decoder = settings, decoder
        self.random = random.Random(f"{seed}/{settings.name}/watch")
        self.wait_index = 0  # the index to wait for a change of; 0: don't wait
        self.last_index = 0  # of the last response that was applied
        self.agent_index = 0
        self.failure_count = 0
        self.next_call_in_ms = 0.0
        self.queries_leader = False  # followers may lag behind
        self.unconfirmed_ids: tuple[str, ...] = ()  # absent ids that the catalogue has to confirm

    @property
    def address(self) -> Address:
        """The agent that the next request goes to."""
        return self.settings.addresses[self.agent_index % len(self.settings.addresses)]

    def confirm_absence(self, absent_ids: tuple[str, ...]) -> None:
        """Before the next health request, ask the catalogue at the leader whether these are really absent."""
        self.unconfirmed_ids = absent_ids

    def next_request(self) -> HttpRequest:
        """The next request."""
        return self._catalog_request() if self.unconfirmed_ids else self._health_request()

    def _catalog_request(self) -> HttpRequest:
        settings = self.settings
        query = {"dc": settings.datacenter} if settings.datacenter else {}
        target = f"/v1/catalog/service/{quote(settings.service, safe='')}?{urlencode(query)}&consistent"
        return self._get(target, settings.body_timeout_ms)

    def _health_request(self) -> HttpRequest:
        settings = self.settings
        query = {"dc": settings.datacenter, "filter": settings.filter, "tag": settings.tag}
        query = {key: value for key, value in query.items() if value}
        first_byte_timeout_ms = settings.first_byte_timeout_ms
        if self.wait_index:
            query["index"], query["wait"] = str(self.wait_index), f"{round(settings.max_wait_ms)}ms"
            first_byte_timeout_ms += settings.max_wait_ms * (1 + MAX_WAIT_JITTER)
        mode = "" if self.queries_leader or settings.consistency == "default" else f"&{settings.consistency}"
        target = f"/v1/health/service/{quote(settings.service, safe='')}?{urlencode(query)}{mode}"
        return self._get(target, first_byte_timeout_ms)

    def _get(self, target: str, first_byte_timeout_ms: float) -> HttpRequest:
        return HttpRequest(
            "GET",
            target.replace("?&", "?"),
            self._headers(),
            first_byte_timeout_ms=first_byte_timeout_ms,
            body_timeout_ms=self.settings.body_timeout_ms,
        )

    def _headers(self) -> Mapping[str, str]:
        return {"X-Consul-Token": self.settings.token} if self.settings.token else {}

    def on_response(self, response: HttpResponse) -> list[Event]:
        """Apply a complete response; the events that it brings."""
        if response.status != 200:
            return self._on_error_status(response)
        try:
            if self.unconfirmed_ids:
                events = self._on_catalog_response(response)
            else:
                events = self._on_health_response(response)
        except WireError as error:
            return self.on_failure(str(error))
        self.failure_count = 0
        return events

    def _on_health_response(self, response: HttpResponse) -> list[Event]:
        self.next_call_in_ms = self.settings.min_interval_ms
        index = response.integer_header("x-consul-index")
        if index is None:
            raise WireError("the answer has no X-Consul-Index")
        staleness_ms = response.integer_header("x-consul-lastcontact") or 0
        has_no_leader = response.headers.get("x-consul-knownleader", "true") == "false"
        if has_no_leader or staleness_ms > self.settings.max_staleness_ms:
            # A server cut off from its leader sends an old state, which lacks a later drain.
            if self.queries_leader:
                raise WireError(f"the server knows no leader, or heard of it {staleness_ms} ms ago")
            self.queries_leader = True
            return []
        self.queries_leader = False
        index = max(index, 1)
        changes = self.decoder.decode_health_response(response.body)
        went_backwards = index < self.last_index
        self.last_index, self.wait_index = index, 0 if went_backwards else index
        return [
            SourceReport(
                self.settings.name, index, changes.observations, changes.absent_ids, changes.is_complete
            )
        ]

    def _on_catalog_response(self, response: HttpResponse) -> list[Event]:
        queried_ids, self.unconfirmed_ids = self.unconfirmed_ids, ()
        self.next_call_in_ms = self.settings.min_interval_ms
        listed_ids = self.decoder.decode_catalog_response(response.body)
        absent_ids = tuple(engine_id for engine_id in queried_ids if engine_id not in listed_ids)
        if not listed_ids or not absent_ids:
            # An empty catalogue proves nothing: a server that lost its data sends one.
            return []
        return [SourceReport(self.settings.name, self.last_index, absent=absent_ids, is_confirmed=True)]

    def _on_error_status(self, response: HttpResponse) -> list[Event]:
        text = " ".join(response.body[:200].decode("utf-8", "replace").split())
        events = self.on_failure(f"status {response.status}: {text}")
        max_backoff_ms = self.settings.max_backoff_ms
        if response.status == FORBIDDEN:
            self.next_call_in_ms = max(self.next_call_in_ms, max_backoff_ms / 5)
        elif response.status == TOO_MANY_REQUESTS:
            retry_after_ms = (response.integer_header("retry-after") or 0) * 1000.0
            self.next_call_in_ms = min(max(self.next_call_in_ms, retry_after_ms), max_backoff_ms)
        return events

    def on_failure(self, reason: str) -> list[Event]:
        """Back off, and send the next request to the next agent; the events that this brings."""
        settings = self.settings
        failed_agent = str(self.address)
        self.failure_count += 1
        self.agent_index = (self.agent_index + 1) % len(settings.addresses)
        self.wait_index, self.unconfirmed_ids, self.queries_leader = 0, (), False
        # The backoff grows only once each agent has failed: one that is down must not delay changes.
        rounds = (self.failure_count - 1) // len(settings.addresses)
        backoff_ms = min(settings.min_backoff_ms * 2.0 ** min(rounds, 30), settings.max_backoff_ms)
        self.next_call_in_ms = backoff_ms * (0.5 + 0.5 * self.random.random())
        return [SourceLost(settings.name, f"{failed_agent}: {reason}")]
