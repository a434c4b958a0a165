"""Where the driver's sockets come from: the one place at which a test puts sockets that fail by script.

The loop's own socket calls go through the methods of the socket that they are given. So a subclass of
`socket.socket` sees each call on it, and on what it accepts, and a plain one costs nothing more.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

MakeSocket = Callable[[socket.AddressFamily, socket.SocketKind], socket.socket]

# accept(2) tells what befell one connection in the queue; the next call may serve the one behind it.
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

# What the system lacks for a moment, as a descriptor or memory: the call did nothing, a later one may.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
CONNECT_RESOURCE_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL}  # this machine's own ports
