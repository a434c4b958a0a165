"""The type of functions that create sockets, and the classes of socket errors.

A test can pass a factory of sockets that fail as scripted. The event loop calls the methods of the socket
that it is given, so a subclass of `socket.socket` intercepts each call on the socket and on those that it
accepts. A plain socket has no overhead.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

MakeSocket = Callable[[socket.AddressFamily, socket.SocketKind], socket.socket]

# Errors of accept(2) that affect only one queued connection; the next call may return another one.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

# The system lacks a resource such as descriptors or memory: the call had no effect, a later one may succeed.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
CONNECT_RESOURCE_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL}  # no local port is free
