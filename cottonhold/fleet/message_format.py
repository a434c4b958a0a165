"""What all messages between instances of the fleet have in common: their size limit and their error."""

from __future__ import annotations

MAX_MESSAGE_BYTES = 200  # a datagram of 256 bytes less membership's header and MAC
MAX_UINT32 = 0xFFFFFFFF  # the highest incarnation and version that fit their fields


class MessageError(Exception):
    """A message from another instance is malformed; nothing of it is applied."""
