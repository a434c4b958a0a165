"""Encoding and incremental decoding of RESP arrays of bulk strings, the base of the engines' protocol."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator

MAX_ELEMENTS = 8  # limit of an array; an answer has at most four
MAX_ELEMENT_BYTES = 8 * 1024
MAX_PAGE_BYTES = 6000
MAX_LENGTH_LINE_BYTES = 16  # type byte, digits and line end
MAX_COUNT_DIGITS = 8
COLUMNS = 3
MAX_FIELDS = 64  # of an answer, which has a few
MAX_ARRAY_BYTES = 16 * 1024  # an answer has one page, an id and some fields

Rows = Iterable[list[bytes]]
# A page of whole rows with three cells each. No part can match a separator, so matching takes linear time.
PAGE = re.compile(rb"(?:[^\t\n]*+\t[^\t\n]*+\t[^\t\n]*+\n)*+\Z")


class RespError(Exception):
    """An array is malformed or too large, or an answer lacks a required part."""


def encode_array(*elements: bytes) -> bytes:
    """Encode an array of bulk strings."""
    parts = [b"*%d\r\n" % len(elements)]
    for element in elements:
        parts.append(b"$%d\r\n%b\r\n" % (len(element), element))
    return b"".join(parts)


class RespReader:
    """Decodes a stream of bytes into arrays.

    Args:
        max_element_bytes: Largest size of an element, in bytes.
    """

    def __init__(self, max_element_bytes: int = MAX_ELEMENT_BYTES) -> None:
        self.buffer, self.max_element_bytes = bytearray(), max_element_bytes
        self.max_array_bytes = max(MAX_ARRAY_BYTES, 2 * max_element_bytes)

    def has_partial(self) -> bool:
        """Return whether part of an array has been received."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add received bytes and return the arrays that are now complete.

        Raises:
            RespError: The data is malformed. If complete arrays precede the malformed bytes, those arrays are
                returned and the next call raises the error.
        """
        self.buffer += data
        arrays, position = list[list[bytes]](), 0
        try:
            while (decoded := self._decode_array(position)) is not None:
                elements, position = decoded
                arrays.append(elements)
        except RespError:
            if not arrays:
                raise
        if position:
            del self.buffer[:position]
        return arrays

    def _decode_array(self, start: int) -> tuple[list[bytes], int] | None:
        """Return the array that starts at a position, and its end; None while it is incomplete."""
        header = self._decode_length(start, b"*", MAX_ELEMENTS)
        if header is None:
            return None
        count, position = header
        elements = []
        for _ in range(count):
            header = self._decode_length(position, b"$", self.max_element_bytes)
            if header is None:
                return None
            size, position = header
            if position + size + 2 - start > self.max_array_bytes:
                raise RespError(f"an array exceeds {self.max_array_bytes} bytes")
            if len(self.buffer) < position + size + 2:
                return None
            if self.buffer[position + size : position + size + 2] != b"\r\n":
                raise RespError("a bulk string is not followed by its line end")
            elements.append(bytes(self.buffer[position : position + size]))
            position += size + 2
        return elements, position

    def _decode_length(self, start: int, type_byte: bytes, maximum: int) -> tuple[int, int] | None:
        """Return the length after a type byte, and the end of its line; None while the line is incomplete."""
        if len(self.buffer) > start and self.buffer[start : start + 1] != type_byte:
            raise RespError(f"expected {type_byte!r}, got {bytes(self.buffer[start : start + 1])!r}")
        end = self.buffer.find(b"\r\n", start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= start + MAX_LENGTH_LINE_BYTES:
                raise RespError(f"a length line exceeds {MAX_LENGTH_LINE_BYTES} bytes")
            return None
        digits = bytes(self.buffer[start + 1 : end])
        if not digits.isdigit() or int(digits) > maximum:
            raise RespError(f"invalid length {digits!r}; the limit is {maximum}")
        return int(digits), end + 2


def check_page(page: bytes) -> None:
    """Check that a page can be decoded into rows, without the memory that the rows take. Raises RespError."""
    if len(page) > MAX_PAGE_BYTES or PAGE.match(page) is None:
        decode_rows(page)
        return
    _check_text(page)


def _check_text(page: bytes) -> None:
    try:
        page.decode()
    except UnicodeDecodeError:
        raise RespError("a page is not valid UTF-8") from None


def decode_rows(page: bytes) -> Rows:
    """Decode a page into rows of cells. Raises RespError."""
    if len(page) > MAX_PAGE_BYTES:
        raise RespError(f"a page has {len(page)} bytes; the limit is {MAX_PAGE_BYTES}")
    if not page:
        return []
    if page[-1:] != b"\n":
        raise RespError("a page does not end with a complete row")
    if any(row.count(b"\t") != COLUMNS - 1 for row in page[:-1].split(b"\n")):
        raise RespError(f"a row does not have {COLUMNS} columns")
    _check_text(page)
    return _split_rows(page)


def _split_rows(page: bytes) -> Iterator[list[bytes]]:
    """Yield the rows of a checked page; as lists they would take many times its size."""
    for row in page[:-1].split(b"\n"):
        yield row.split(b"\t")


def decode_count(fields: dict[str, str], name: str, minimum: int, maximum: int) -> int:
    """Decode a required integer field of an answer. Raises RespError if it is missing or out of range."""
    text = fields.get(name, "")
    if not (
        text.isascii()
        and text.isdigit()
        and len(text) <= MAX_COUNT_DIGITS
        and minimum <= int(text) <= maximum
    ):
        raise RespError(f"field {name!r} is not an integer from {minimum} to {maximum}: {text[:20]!r}")
    return int(text)


def decode_fields(text: bytes) -> dict[str, str]:
    """Decode a list such as name=value,name=value; `-` is an empty list.

    Raises:
        RespError: There are too many fields.
    """
    if text in (b"-", b""):
        return {}
    if text.count(b",") >= MAX_FIELDS:
        raise RespError(f"an answer has over {MAX_FIELDS} fields")
    pairs = (part.partition("=") for part in text.decode("utf-8", "replace").split(","))
    return {name: value for name, _, value in pairs}
