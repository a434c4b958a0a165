"""Takes the place of `ssl` in a process that uses no TLS, which saves nearly 5 MB.

asyncio and uvloop import `ssl` in any case, and with it OpenSSL's libraries. `omit_tls` must be called before
the first import of either. The names here are those that they read while they are imported; none is used
afterwards, since no connection of the process is encrypted.
"""

from __future__ import annotations

import sys

MODULE = "ssl"
SSL_ERROR_WANT_READ, SSL_ERROR_WANT_WRITE, SSL_ERROR_SYSCALL = 2, 3, 5


class SSLError(OSError):
    """Never raised."""


class SSLWantReadError(SSLError):
    """Never raised."""


class SSLSyscallError(SSLError):
    """Never raised."""


class SSLZeroReturnError(SSLError):
    """Never raised."""


class CertificateError(SSLError):
    """Never raised."""


class SSLContext:
    """Never created."""


class MemoryBIO:
    """Never created."""


def create_default_context() -> SSLContext:
    """Report that this process has no TLS. Raises NotImplementedError."""
    raise NotImplementedError("this process runs without TLS")


def omit_tls() -> None:
    """Let later imports of `ssl` get this module, unless `ssl` has been imported before."""
    sys.modules.setdefault(MODULE, sys.modules[__name__])
