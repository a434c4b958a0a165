"""HTTP requests to the emulated agent, and its responses."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import httptools

from cottonhold.emulator.consul.entries import ApiError, Json
from cottonhold.emulator.serving import READ_BYTES

KNOWN_KEYS = {
    key.lower(): key
    for key in [
        "ID",
        "Name",
        "Service",
        "ServiceID",
        "Node",
        "NodeMeta",
        "Address",
        "Port",
        "Tags",
        "Meta",
        "Weights",
        "Passing",
        "Warning",
        "Check",
        "Checks",
        "CheckID",
        "TTL",
        "Status",
        "Output",
        "Notes",
        "Type",
        "Datacenter",
        "DeregisterCriticalServiceAfter",
    ]
}
USER_DEFINED = ("Meta", "NodeMeta")  # objects whose keys users choose, so their case is kept


@dataclass(slots=True, frozen=True)
class Response:
    """A response, before the faults of its connection are applied."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


def json_response(value: Any) -> Response:
    """Return a response with a JSON value, or with an empty body for None."""
    return Response(200, b"" if value is None else json.dumps(value).encode())


class Request:
    """One call, filled by httptools through the `on_` methods."""

    def __init__(self) -> None:
        self.method, self.is_complete = "", False
        self._url, self._body = b"", bytearray()
        self.headers: dict[str, str] = {}

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL; called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._body += data

    def on_message_complete(self) -> None:
        """Mark the call as complete; called by the parser."""
        self.is_complete = True

    @property
    def url(self) -> str:
        """Return the URL with its query."""
        return self._url.decode()

    def text(self) -> str:
        """Return the body as text."""
        return self._body.decode()

    def decode_body(self) -> Json:
        """Return the body's JSON object with keys as in Consul's documentation. Raises ApiError."""
        try:
            body = json.loads(bytes(self._body) or b"{}")
        except ValueError as error:
            raise ApiError(400, f"Request decode error: {error}") from error
        if not isinstance(body, dict):
            raise ApiError(400, "Request decode error: not an object")
        canonical: Json = _canonical_keys(body)
        return canonical


def _canonical_keys(body: Any) -> Any:
    """Return a value with canonical keys; agents accept any case, and py-consul sends lower case."""
    if isinstance(body, list):
        return [_canonical_keys(inner) for inner in body]
    if not isinstance(body, dict):
        return body
    canonical = {KNOWN_KEYS.get(key.lower(), key): value for key, value in body.items()}
    return {key: value if key in USER_DEFINED else _canonical_keys(value) for key, value in canonical.items()}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next call of a connection; None at its end. Raises HttpParserError."""
    request = Request()
    parser = httptools.HttpRequestParser(request)
    while not request.is_complete:
        data = await reader.read(READ_BYTES)
        if not data:
            return None
        parser.feed_data(data)
    request.method = parser.get_method().decode()
    return request
