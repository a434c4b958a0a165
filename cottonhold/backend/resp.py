"""RESP arrays of bulk strings, which carry the engines' protocol: a reader that is fed bytes, and codecs."""

from __future__ import annotations

MAX_ELEMENTS = 8  # of an array; an answer has four
MAX_ELEMENT_BYTES = 8 * 1024
MAX_PAGE_BYTES = 6000
MAX_LENGTH_LINE_BYTES = 16  # bytes of a length with its mark and line end
MAX_COUNT_DIGITS = 8
COLUMNS = 3

Rows = list[list[bytes]]


class RespError(Exception):
    """Bytes that are no array of bulk strings, too large a one, or an answer without what it needs."""


def encode_array(*elements: bytes) -> bytes:
    """An array of bulk strings."""
    parts = [b"*%d\r\n" % len(elements)]
    for element in elements:
        parts.append(b"$%d\r\n%b\r\n" % (len(element), element))
    return b"".join(parts)


class RespReader:
    """Collects bytes and returns the arrays that are complete."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def has_partial(self) -> bool:
        """Whether an array has begun and is incomplete."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The arrays that these bytes complete. Raises RespError.

        Malformed bytes behind complete arrays raise with the next call, so that those arrays are not lost.
        """
        self.buffer += data
        arrays, at = list[list[bytes]](), 0
        try:
            while (found := self._decode_array(at)) is not None:
                elements, at = found
                arrays.append(elements)
        except RespError:
            if not arrays:
                raise
        if at:
            del self.buffer[:at]
        return arrays

    def _decode_array(self, at: int) -> tuple[list[bytes], int] | None:
        """The array at a position and where it ends; None while it is incomplete."""
        head = self._decode_length(at, b"*", MAX_ELEMENTS)
        if head is None:
            return None
        count, at = head
        elements = []
        for _ in range(count):
            head = self._decode_length(at, b"$", MAX_ELEMENT_BYTES)
            if head is None:
                return None
            size, at = head
            if len(self.buffer) < at + size + 2:
                return None
            if self.buffer[at + size : at + size + 2] != b"\r\n":
                raise RespError("a bulk string does not end where it should")
            elements.append(bytes(self.buffer[at : at + size]))
            at += size + 2
        return elements, at

    def _decode_length(self, at: int, mark: bytes, maximum: int) -> tuple[int, int] | None:
        """The number behind a mark and where its line ends; None while that is incomplete."""
        if len(self.buffer) > at and self.buffer[at : at + 1] != mark:
            raise RespError(f"expected {mark!r}, got {bytes(self.buffer[at : at + 1])!r}")
        end = self.buffer.find(b"\r\n", at, at + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= at + MAX_LENGTH_LINE_BYTES:
                raise RespError("a length without an end")
            return None
        digits = bytes(self.buffer[at + 1 : end])
        if not digits.isdigit() or int(digits) > maximum:
            raise RespError(f"a bad length: {digits!r}")
        return int(digits), end + 2


def decode_rows(page: bytes) -> Rows:
    """The rows of a page as their cells. Raises RespError."""
    if len(page) > MAX_PAGE_BYTES:
        raise RespError(f"a page of {len(page)} bytes")
    if not page:
        return []
    if page[-1:] != b"\n":
        raise RespError("a page does not end with a whole row")
    rows = [row.split(b"\t") for row in page[:-1].split(b"\n")]
    if any(len(row) != COLUMNS for row in rows):
        raise RespError("a row that is not of three columns")
    try:
        page.decode()
    except UnicodeDecodeError:
        raise RespError("a page that is not text") from None
    return rows


def decode_count(fields: dict[str, str], name: str, minimum: int, maximum: int) -> int:
    """A required whole number of an answer. Raises RespError."""
    text = fields.get(name, "")
    if not (
        text.isascii()
        and text.isdigit()
        and len(text) <= MAX_COUNT_DIGITS
        and minimum <= int(text) <= maximum
    ):
        raise RespError(f"no use in {name}={text[:20]!r}")
    return int(text)


def decode_fields(text: bytes) -> dict[str, str]:
    """A list name=value,name=value; `-` when there are none."""
    if text in (b"-", b""):
        return {}
    pairs = (part.partition("=") for part in text.decode("utf-8", "replace").split(","))
    return {name: value for name, _, value in pairs}
