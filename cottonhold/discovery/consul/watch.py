"""Watches one service's health by blocking queries: builds requests and interprets responses; does no I/O.

As Consul's documentation of blocking queries requires, the index is reset to 0 when it goes backwards, and an
index of 0 is treated as 1. Consul may delay a response for the wait time and a sixteenth more. After any
failure the next request doesn't block, since changes made in the meantime must be received immediately and
the next agent may lag behind.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import quote, urlencode

from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.http_exchange import HttpRequest, HttpResponse
from cottonhold.discovery.model import Address, Event, SourceReport, SourceUnavailable
from cottonhold.message_validation import WireError

# Largest addition by Consul to the wait, as a fraction of the wait, so that not all watchers wake together.
MAX_WAIT_JITTER = 1 / 16
FORBIDDEN = 403
TOO_MANY_REQUESTS = 429


@dataclass(slots=True, frozen=True)
class WatchSettings:
    """Settings of a watch.

    Attributes:
        name: The name of the source.
        addresses: The Consul agents, used in turn after failures.
        service: The service to watch.
        datacenter: The datacentre to query; empty for the agent's own.
        filter: A filter expression for Consul; empty for none.
        tag: A tag that instances must have; empty for none.
        consistency: Consul's consistency mode: default, stale or consistent.
        token: The ACL token; empty if none is needed.
        max_wait_ms: Time for which Consul delays a response while nothing changes, in ms. A silently broken
            connection remains undetected for as long.
        first_byte_timeout_ms: Time after that wait in which the first byte must be received, in ms.
        body_timeout_ms: Time in which the rest of the response must be received, in ms.
        min_backoff_ms: Backoff after the first failure, in ms; it doubles each time that all agents have
            failed again. Up to half of it is randomly subtracted.
        max_backoff_ms: The upper limit of the backoff, in ms.
        min_interval_ms: Time between a response and the next request, in ms, so that a list that changes all
            the time doesn't use a whole core.
        max_staleness_ms: Time since a server's last contact with its leader, in ms, above which its response
            is discarded and requested from the leader instead.
        max_body_bytes: The largest accepted body of a response.
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

    The caller sends `next_request` to `address`, passes the result to `on_response` or `on_failure`, waits
    for `next_call_in_ms`, and repeats this.
    """

    def __init__(self, settings: WatchSettings, decoder: HealthResponseDecoder, seed: int) -> None:
        self.settings, self.decoder = settings, decoder
        self.random = random.Random(f"{seed}/{settings.name}/watch")
        # The next query waits until the index differs from this one; with 0 it doesn't wait.
        self.wait_index = 0
        self.last_index = 0  # the index of the last applied response
        self.agent_index = 0
        self.failure_count = 0
        self.next_call_in_ms = 0.0
        self.queries_leader = False  # whether the next query must be answered by the leader
        self.unconfirmed_ids: tuple[str, ...] = ()  # absent ids that the catalogue has to confirm

    @property
    def address(self) -> Address:
        """Return the address of the agent to which the next request is sent."""
        return self.settings.addresses[self.agent_index % len(self.settings.addresses)]

    def confirm_absence(self, absent_ids: tuple[str, ...]) -> None:
        """Query the leader's catalogue for these ids before the next health request."""
        self.unconfirmed_ids = absent_ids

    def next_request(self) -> HttpRequest:
        """Return a catalogue request if there are absences to confirm, otherwise a health request."""
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
        """Apply a complete response, and return the events that result from it."""
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
            # A server that is separated from its leader sends an old state, which may lack a recent drain.
            if self.queries_leader:
                raise WireError(
                    f"the server has no leader, or had its last contact with it {staleness_ms} ms ago"
                )
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
            # An empty catalogue proves nothing: a server that lost its data sends one as well.
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
        """Record a failure: back off, and select the next agent; return the events that result from it."""
        settings = self.settings
        failed_agent = str(self.address)
        self.failure_count += 1
        self.agent_index = (self.agent_index + 1) % len(settings.addresses)
        self.wait_index, self.unconfirmed_ids, self.queries_leader = 0, (), False
        # The backoff grows only after all agents have failed: a single failed agent must not delay changes.
        rounds = (self.failure_count - 1) // len(settings.addresses)
        backoff_ms = min(settings.min_backoff_ms * 2.0 ** min(rounds, 30), settings.max_backoff_ms)
        self.next_call_in_ms = backoff_ms * (0.5 + 0.5 * self.random.random())
        return [SourceUnavailable(settings.name, f"{failed_agent}: {reason}")]
