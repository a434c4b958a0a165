"""The engines' protocol: RESP arrays of bulk strings, as a state machine that is fed bytes."""

from __future__ import annotations

MOST_WORDS = 8  # an answer has four
MOST_BYTES = 8 * 1024  # of one word
MOST_PAGE = 6000
COLUMNS = 3

Rows = list[list[bytes]]


class RespError(Exception):
    """What came is no array of bulk strings, or an absurdly large one."""


def encode(*words: bytes) -> bytes:
    """An array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


class RespReader:
    """Collects bytes and gives back the arrays that are whole."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def partial(self) -> bool:
        """Whether an array has begun and is not whole."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The arrays that these bytes complete. What follows them and can't be read is an error next time."""
        self.buffer += data
        arrays, at = list[list[bytes]](), 0
        try:
            while (found := self._array(at)) is not None:
                words, at = found
                arrays.append(words)
        except RespError:
            # Danger: good answers that came in one read with a spoilt one were lost with it.
            if not arrays:
                raise
        if at:
            del self.buffer[:at]
        return arrays

    def _array(self, at: int) -> tuple[list[bytes], int] | None:
        """The array at a position and where it ends; None while it is not whole."""
        head = self._number(at, b"*", MOST_WORDS)
        if head is None:
            return None
        count, at = head
        words = []
        for _ in range(count):
            head = self._number(at, b"$", MOST_BYTES)
            if head is None:
                return None
            size, at = head
            if len(self.buffer) < at + size + 2:
                return None
            if self.buffer[at + size : at + size + 2] != b"\r\n":
                raise RespError("a bulk string does not end where it should")
            words.append(bytes(self.buffer[at : at + size]))
            at += size + 2
        return words, at

    def _number(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The number behind a mark and where its line ends."""
        if len(self.buffer) > at and self.buffer[at : at + 1] != mark:
            raise RespError(f"expected {mark!r}, got {bytes(self.buffer[at : at + 1])!r}")
        end = self.buffer.find(b"\r\n", at, at + 16)
        if end < 0:
            if len(self.buffer) >= at + 16:
                raise RespError("a length without an end")
            return None
        digits = bytes(self.buffer[at + 1 : end])
        if not digits.isdigit() or int(digits) > most:
            raise RespError(f"a bad length: {digits!r}")
        return int(digits), end + 2


def read_rows(page: bytes) -> Rows:
    """The rows of a page as their cells."""
    if len(page) > MOST_PAGE:
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


def read_count(fields: dict[str, str], name: str, least: int, most: int) -> int:
    """A whole number of an answer that it can't do without."""
    text = fields.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 9 and least <= int(text) <= most):
        raise RespError(f"no use in {name}={text[:20]!r}")
    return int(text)


def read_fields(text: bytes) -> dict[str, str]:
    """A list name=value,name=value; `-` when there are none."""
    if text in (b"-", b""):
        return {}
    pairs = (part.partition("=") for part in text.decode("utf-8", "replace").split(","))
    return {name: value for name, _, value in pairs}
