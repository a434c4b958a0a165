"""One HTTP/1.1 request and its response as bytes, parsed by httptools under limits. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from cottonhold.message_validation import WireError

MAX_HEADERS = 100
MAX_HEADER_BYTES = 32 << 10  # also of anything else between two parts of the body


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A request. first_byte_timeout_ms: until the response begins; body_timeout_ms: from there to its end."""

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_byte_timeout_ms: float = 5000.0
    body_timeout_ms: float = 5000.0

    def encode(self, host: str) -> bytes:
        """The bytes of the request. Raises WireError for a header with a line end in it."""
        headers = {"Host": host, "Accept-Encoding": "gzip", "User-Agent": "cottonhold", **self.headers}
        if self.body or self.method == "PUT":
            headers["Content-Length"] = str(len(self.body))
        lines = [f"{self.method} {self.target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if any("\r" in line or "\n" in line for line in lines):
            raise WireError("a header or the path of a call holds a line end")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def integer_header(self, name: str) -> int | None:
        """A header's integer; None if the header is absent or holds none."""
        text = self.headers.get(name, "").strip()
        return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


class HttpResponseParser:
    """Parses the response to one request. Its `on_…` methods are called by httptools."""

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.bytes_since_body = 0  # received since the body last grew
        self.body = bytearray()
        self.decompressor: zlib._Decompress | None = None
        self.is_complete = self.keeps_alive = False

    def receive(self, data: bytes) -> HttpResponse | None:
        """The response, once these bytes complete it. Raises WireError for one that can't be used."""
        if self.is_complete:
            raise WireError("more bytes than the answer has")
        self.bytes_since_body += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # An upgrade (101) is no HttpParserError; uncaught it would end the watch.
            raise WireError("the server would change to another protocol") from error
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error.__context__, WireError) else error
            raise WireError(f"the answer can't be read: {cause}") from error
        if not self.is_complete:
            # httptools reports a header once it is complete and joins its parts until then, so that one
            # without an end would take memory and time without a bound.
            if self.bytes_since_body > MAX_HEADER_BYTES:
                raise WireError(f"{self.bytes_since_body} bytes that bring the body no further")
            return None
        if self.decompressor is not None and not self.decompressor.eof:
            raise WireError("the compressed body is cut short")
        return HttpResponse(self.parser.get_status_code(), self.headers, bytes(self.body))

    def on_message_begin(self) -> None:
        """A response begins."""
        # Two responses in one read must not be joined: the status of the second with both bodies.
        if self.is_complete:
            raise WireError("more bytes than the answer has")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header is complete."""
        self.header_bytes += len(name) + len(value)
        if len(self.headers) >= MAX_HEADERS or self.header_bytes > MAX_HEADER_BYTES:
            raise WireError("too many headers")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The body follows."""
        if self._is_interim():
            return
        encoding = self.headers.get("content-encoding", "identity").lower()
        if encoding == "gzip":
            self.decompressor = zlib.decompressobj(16 + zlib.MAX_WBITS)
        elif encoding != "identity":
            raise WireError(f"content encoding '{encoding[:40]}' wasn't asked for")

    def on_body(self, data: bytes) -> None:
        """Part of the body was received."""
        self.bytes_since_body = 0
        capacity_bytes = self.max_body_bytes - len(self.body) + 1
        if self.decompressor is not None:
            try:
                # Some kilobytes can decompress to gigabytes, so the output is bounded too.
                data = self.decompressor.decompress(data, max(capacity_bytes, 1))
            except zlib.error as error:
                raise WireError(f"the compressed body can't be read: {error}") from error
            if self.decompressor.unused_data:
                # zlib retains all bytes behind the end, which no other limit counts.
                raise WireError("bytes behind the end of the compressed body")
        if len(data) >= capacity_bytes:
            raise WireError(f"an answer of more than {self.max_body_bytes} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        """The response is complete, or it was an interim one."""
        if self._is_interim():
            # An interim response (100, 103) has no body, and the response itself follows.
            self.headers.clear()
        else:
            self.is_complete, self.keeps_alive = True, bool(self.parser.should_keep_alive())

    def _is_interim(self) -> bool:
        """Whether this is a 1xx, which the response itself follows (RFC 9110, 15.2)."""
        return 100 <= int(self.parser.get_status_code()) < 200
