"""Sockets of this process, made and bound with the options that they need."""

from __future__ import annotations

import ctypes
import socket
import struct
from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.transport.socket_factory import MakeSocket

SO_ATTACH_REUSEPORT_CBPF = 51
# "return 1" in classic BPF: the second socket of the address. Where there is none the kernel picks by hash.
SELECT_SECOND_SOCKET = struct.pack("@HBBI", 0x06, 0, 0, 1)


def family_of(address: Address) -> socket.AddressFamily:
    """The kind of socket that an address is reached by."""
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def bind(sock: socket.socket, address: Address, is_shared: bool) -> None:
    """Bind a socket, a shared one also where another process of the same user has it. Raises OSError."""
    if is_shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        raise OSError(error.errno, f"can't listen at {address}: {error.strerror}") from error


def tcp_socket(make: MakeSocket, family: socket.AddressFamily) -> socket.socket:
    """A TCP socket that never blocks and never waits to fill a segment. Raises OSError."""
    sock = make(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def steer_to_newest(sock: socket.socket, counters: Counters, log: Callable[[str], None]) -> None:
    """Steer new connections and datagrams to this socket, where an older process has one at the same address.

    Otherwise the kernel divides them between both, and the older one's queue is reset when it closes.
    """
    code = ctypes.create_string_buffer(SELECT_SECOND_SOCKET)
    program = struct.pack("@HP", 1, ctypes.addressof(code))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        counters.add("steering_failed")
        log(f"connections can't be steered to the newer of two processes: {error}")
