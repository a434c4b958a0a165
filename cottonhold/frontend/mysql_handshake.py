"""The handshake of the MySQL client protocol 4.1: encodes the greeting and decodes the login."""

from __future__ import annotations

from typing import NamedTuple

from cottonhold.frontend.mysql_packets import (
    ACCESS_DENIED,
    AUTOCOMMIT,
    HANDSHAKE_ERROR,
    MAX_SHORT_STRING,
    UNKNOWN_DATABASE,
    UTF8,
    ProtocolError,
    printable,
)

SERVER_VERSION = b"8.0.0-cottonhold"
LONG_PASSWORD, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41 = 0x1, 0x4, 0x8, 0x200
TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH, LENENC_AUTH = 0x2000, 0x8000, 0x80000, 0x200000
CAPABILITIES = (
    LONG_PASSWORD | LONG_FLAG | CONNECT_WITH_DB | PROTOCOL_41 | TRANSACTIONS | SECURE_CONNECTION | PLUGIN_AUTH
)
SALT = b"cottonhold-salt-0123"  # constant, since no password has to be protected
MIN_LOGIN_BYTES = 33
USER, DATABASE = b"app", b"dw"  # the only user and the only database


class Login(NamedTuple):
    """The fields of a client's login packet."""

    user: bytes
    password: bytes
    database: bytes  # empty if the client names none


def encode_greeting(connection_id: int) -> bytes:
    """Encode the payload of the server's first packet."""
    low, high = CAPABILITIES & 0xFFFF, CAPABILITIES >> 16
    return b"".join(
        (
            b"\x0a" + SERVER_VERSION + b"\x00",
            connection_id.to_bytes(4, "little"),
            SALT[:8] + b"\x00",
            low.to_bytes(2, "little"),
            bytes((UTF8,)) + AUTOCOMMIT,
            high.to_bytes(2, "little"),
            bytes((len(SALT) + 1,)) + bytes(10),
            SALT[8:] + b"\x00",
            b"mysql_native_password\x00",
        )
    )


def decode_login(payload: bytes) -> Login:
    """Decode a client's login packet.

    Raises:
        ProtocolError: The payload is malformed, or the client does not support protocol 4.1.
    """
    capabilities = int.from_bytes(payload[:4], "little")
    if len(payload) < MIN_LOGIN_BYTES or not capabilities & PROTOCOL_41:
        raise ProtocolError(HANDSHAKE_ERROR, "bad handshake")
    user, terminator, rest = payload[MIN_LOGIN_BYTES - 1 :].partition(b"\x00")
    if not terminator:
        raise ProtocolError(HANDSHAKE_ERROR, "bad handshake")
    if capabilities & (LENENC_AUTH | SECURE_CONNECTION):
        size = rest[0] if rest else 0
        if size > MAX_SHORT_STRING or len(rest) < 1 + size:
            raise ProtocolError(HANDSHAKE_ERROR, "bad handshake")
        password, rest = rest[1 : 1 + size], rest[1 + size :]
    else:
        password, _, rest = rest.partition(b"\x00")
    database = rest.partition(b"\x00")[0] if capabilities & CONNECT_WITH_DB else b""
    return Login(user, password.strip(b"\x00"), database)


def check_login(login: Login) -> None:
    """Verify the user, the empty password and the database of a login.

    Raises:
        ProtocolError: The user or the database is unknown, or a password is given.
    """
    if login.user != USER or login.password:
        raise ProtocolError(ACCESS_DENIED, f"access denied for user '{printable(login.user)}'")
    if login.database not in (b"", DATABASE):
        raise ProtocolError(UNKNOWN_DATABASE, f"unknown database '{printable(login.database)}'")
