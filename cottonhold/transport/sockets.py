"""Creates and binds sockets with the options that this process needs."""

from __future__ import annotations

import socket
import struct
from array import array
from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.transport.socket_factory import MakeSocket

SO_ATTACH_REUSEPORT_CBPF = 51
# "return 1" in classic BPF: selects the second socket of the address. Without one, the kernel selects by
# hash.
SELECT_SECOND_SOCKET = struct.pack("@HBBI", 0x06, 0, 0, 1)


def family_of(address: Address) -> socket.AddressFamily:
    """Return the address family of an address."""
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def bind(sock: socket.socket, address: Address, is_shared: bool) -> None:
    """Bind a socket; with `is_shared`, processes of the same user may share the address. Raises OSError."""
    if is_shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        raise OSError(error.errno, f"can't listen at {address}: {error.strerror}") from error


def tcp_socket(make: MakeSocket, family: socket.AddressFamily) -> socket.socket:
    """Create a non-blocking TCP socket with TCP_NODELAY. Raises OSError."""
    sock = make(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def steer_to_newest(sock: socket.socket, counters: Counters, log: Callable[[str], None]) -> None:
    """Direct new connections and datagrams to this socket if an older process has one at the same address.

    Otherwise the kernel distributes them between both, and connections in the older socket's queue are reset
    when it closes.
    """
    code = array("B", SELECT_SECOND_SOCKET)
    address, _ = code.buffer_info()
    program = struct.pack("@HP", 1, address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        counters.add("steering_failed")
        log(f"connections can't be steered to the newer of two processes: {error}")
