"""One HTTP/1.1 request and its response as bytes, parsed by httptools under limits. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from cottonhold.message_validation import WireError

MAX_HEADERS = 100
# Limits the headers, and also all other bytes that are received between two parts of the body.
MAX_HEADER_BYTES = 32 << 10


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A request.

    Attributes:
        method: The HTTP method.
        target: The path with the query.
        headers: Headers in addition to those that `encode` adds.
        body: The body; empty if there is none.
        first_byte_timeout_ms: Time from the request to the first byte of the response, in ms.
        body_timeout_ms: Time from the first byte of the response to its end, in ms.
    """

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_byte_timeout_ms: float = 5000.0
    body_timeout_ms: float = 5000.0

    def encode(self, host: str) -> bytes:
        """Encode the request. Raises WireError if the path or a header contains a line break."""
        headers = {"Host": host, "Accept-Encoding": "gzip", "User-Agent": "cottonhold", **self.headers}
        if self.body or self.method == "PUT":
            headers["Content-Length"] = str(len(self.body))
        lines = [f"{self.method} {self.target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if any("\r" in line or "\n" in line for line in lines):
            raise WireError("a header or the path of a request contains a line break")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A complete response. Header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def integer_header(self, name: str) -> int | None:
        """Return the integer in a header; None if the header is absent or isn't a non-negative integer."""
        text = self.headers.get(name, "").strip()
        return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


class HttpResponseParser:
    """Parses the response to one request; `receive` takes its bytes.

    httptools calls the `on_…` methods. `is_connection_reusable` is valid once the response is complete.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.bytes_since_body = 0  # bytes received since the body last grew
        self.body = bytearray()
        self.decompressor: zlib._Decompress | None = None
        self.is_complete = self.is_connection_reusable = False

    def receive(self, data: bytes) -> HttpResponse | None:
        """Parse received bytes; return the response once it is complete, and None before.

        Raises:
            WireError: The response is malformed, too large or in an unsupported form.
        """
        if self.is_complete:
            raise WireError("more bytes than the answer has")
        self.bytes_since_body += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # HttpParserUpgrade (status 101) isn't a subclass of HttpParserError; uncaught, it would end the
            # watch.
            raise WireError("the server would change to another protocol") from error
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error.__context__, WireError) else error
            raise WireError(f"the answer can't be read: {cause}") from error
        if not self.is_complete:
            # httptools buffers a header until it is complete, so one without an end would use unlimited
            # memory and time.
            if self.bytes_since_body > MAX_HEADER_BYTES:
                raise WireError(f"{self.bytes_since_body} bytes received without body data")
            return None
        if self.decompressor is not None and not self.decompressor.eof:
            raise WireError("the compressed body is truncated")
        return HttpResponse(self.parser.get_status_code(), self.headers, bytes(self.body))

    def on_message_begin(self) -> None:
        """Reject a second response."""
        # Otherwise two responses in one read would become one, with the status of the second and both bodies.
        if self.is_complete:
            raise WireError("more bytes than the answer has")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.header_bytes += len(name) + len(value)
        if len(self.headers) >= MAX_HEADERS or self.header_bytes > MAX_HEADER_BYTES:
            raise WireError("too many headers")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Prepare to decode the body by its content encoding."""
        if self._is_interim():
            return
        encoding = self.headers.get("content-encoding", "identity").lower()
        if encoding == "gzip":
            self.decompressor = zlib.decompressobj(16 + zlib.MAX_WBITS)
        elif encoding != "identity":
            raise WireError(f"content encoding '{encoding[:40]}' wasn't requested")

    def on_body(self, data: bytes) -> None:
        """Decompress and store a part of the body."""
        self.bytes_since_body = 0
        capacity_bytes = self.max_body_bytes - len(self.body) + 1
        if self.decompressor is not None:
            try:
                # Some kilobytes can decompress to gigabytes, so the size of the output is limited, too.
                data = self.decompressor.decompress(data, max(capacity_bytes, 1))
            except zlib.error as error:
                raise WireError(f"the compressed body can't be read: {error}") from error
            if self.decompressor.unused_data:
                # zlib keeps all bytes after the end of the compressed data, and no other limit covers them.
                raise WireError("bytes after the end of the compressed body")
        if len(data) >= capacity_bytes:
            raise WireError(f"the answer has more than {self.max_body_bytes} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        """Complete the response, or discard an interim one."""
        if self._is_interim():
            # The final response follows an interim one (100, 103), which has no body.
            self.headers.clear()
        else:
            self.is_complete, self.is_connection_reusable = True, bool(self.parser.should_keep_alive())

    def _is_interim(self) -> bool:
        """Return whether this is an interim response (1xx), which a final one follows (RFC 9110, 15.2)."""
        return 100 <= int(self.parser.get_status_code()) < 200
