"""One HTTP/1.1 call and its answer: bytes out, bytes in. httptools parses; this holds what it can't know. No
I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from cottonhold.message_validation import WireError

MOST_HEADERS = 100
MOST_HEADER_BYTES = 32 << 10  # also of anything else that brings the body no further


@dataclass(slots=True, frozen=True)
class Call:
    """A call to be made. `first_ms` may pass until the first byte of the answer, then `rest_ms` until its
    last.
    """

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_ms: float = 5000.0
    rest_ms: float = 5000.0

    def encode(self, host: str) -> bytes:
        """The bytes of the call. Raises WireError for a header that would end its line."""
        headers = {"Host": host, "Accept-Encoding": "gzip", "User-Agent": "cottonhold", **self.headers}
        if self.body or self.method == "PUT":
            headers["Content-Length"] = str(len(self.body))
        lines = [f"{self.method} {self.target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if any("\r" in line or "\n" in line for line in lines):
            raise WireError("a header or the path of a call holds a line end")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def number(self, name: str) -> int | None:
        """A header's whole number; None where it is absent or isn't one."""
        text = self.headers.get(name, "").strip()
        return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


class Exchange:
    """Takes in the answer to one call."""

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.idle_bytes = 0  # received since the body last grew
        self.body = bytearray()
        self.inflate: zlib._Decompress | None = None
        self.whole = self.keep = False

    def receive(self, data: bytes) -> Answer | None:
        """Bytes of the answer; the answer once it is whole. Raises WireError for what can't be used."""
        if self.whole:
            raise WireError("more bytes than the answer has")
        self.idle_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # An upgrade (101) is no HttpParserError; uncaught it would end the watch.
            raise WireError("the server would change to another protocol") from error
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error.__context__, WireError) else error
            raise WireError(f"the answer can't be read: {cause}") from error
        if not self.whole:
            # httptools reports a header once it is complete and joins its parts until then, so that one
            # without an end would take memory and time without a bound.
            if self.idle_bytes > MOST_HEADER_BYTES:
                raise WireError(f"{self.idle_bytes} bytes that bring the body no further")
            return None
        if self.inflate is not None and not self.inflate.eof:
            raise WireError("the compressed body is cut short")
        return Answer(self.parser.get_status_code(), self.headers, bytes(self.body))

    def on_message_begin(self) -> None:
        """An answer begins (httptools calls this)."""
        # Two answers in one read must not be joined: the second one's status with both bodies.
        if self.whole:
            raise WireError("more bytes than the answer has")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header is there (httptools calls this)."""
        self.header_bytes += len(name) + len(value)
        if len(self.headers) >= MOST_HEADERS or self.header_bytes > MOST_HEADER_BYTES:
            raise WireError("too many headers")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The body comes next (httptools calls this)."""
        if self._interim():
            return
        encoding = self.headers.get("content-encoding", "identity").lower()
        if encoding == "gzip":
            self.inflate = zlib.decompressobj(16 + zlib.MAX_WBITS)
        elif encoding != "identity":
            raise WireError(f"content encoding '{encoding[:40]}' wasn't asked for")

    def on_body(self, data: bytes) -> None:
        """Part of the body (httptools calls this)."""
        self.idle_bytes = 0
        room = self.most_bytes - len(self.body) + 1
        if self.inflate is not None:
            try:
                # Some kilobytes can decompress to gigabytes, so the output is bounded too.
                data = self.inflate.decompress(data, max(room, 1))
            except zlib.error as error:
                raise WireError(f"the compressed body can't be read: {error}") from error
            if self.inflate.unused_data:
                # zlib keeps all bytes behind the end, which no other limit counts.
                raise WireError("bytes behind the end of the compressed body")
        if len(data) >= room:
            raise WireError(f"an answer of more than {self.most_bytes} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        """The answer is whole, or it was an interim one (httptools calls this)."""
        if self._interim():
            # An interim answer (100, 103) has no body and is not the answer.
            self.headers.clear()
        else:
            self.whole, self.keep = True, bool(self.parser.should_keep_alive())

    def _interim(self) -> bool:
        """Whether this is a 1xx, which the answer itself follows (RFC 9110, 15.2)."""
        return 100 <= int(self.parser.get_status_code()) < 200
