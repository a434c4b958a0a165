"""How sockets are made, so that a test can put in ones that fail by script; and the errors to expect of them.

The loop's own socket calls go through the methods of the socket that they are given. So a subclass of
`socket.socket` sees each call on it, and on what it accepts, and a plain one costs nothing more.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

MakeSocket = Callable[[socket.AddressFamily, socket.SocketKind], socket.socket]

# Errors of accept(2) that concern one connection in the queue; the next call may serve the one behind it.
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

# The system lacks a resource, as descriptors or memory: the call did nothing, a later one may succeed.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
CONNECT_RESOURCE_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL}  # this machine's own ports
