"""Where the driver's sockets come from: the one place at which a test puts sockets that fail by script.

The loop's own socket calls go through the methods of the socket that they are given. So a subclass of
`socket.socket` sees each call on it, and on what it accepts, and a plain one costs nothing more.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

MakeSocket = Callable[[socket.AddressFamily, socket.SocketKind], socket.socket]
