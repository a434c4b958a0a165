"""A crowd of clients that connect and idle, in a process of its own.

python idle_crowd.py ADDRESS COUNT SECONDS

Each client keeps its connection until the dispatcher closes it, and then connects again after a pause.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import sys

PAUSE_S = (0.0, 0.05)


async def idle(host: str, port: int) -> None:
    """Connect, log in with nothing, and read until the connection is closed; again and again."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                while await reader.read(4096):
                    pass
            finally:
                writer.close()
        await asyncio.sleep(random.uniform(*PAUSE_S))


async def run(host: str, port: int, count: int, seconds: float) -> None:
    """Let the clients idle for a limited time."""
    crowd = asyncio.gather(*(idle(host, port) for _ in range(count)))
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(crowd, seconds)


def main() -> None:
    """Run the crowd that the arguments describe."""
    address, count, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    host, _, port = address.rpartition(":")
    asyncio.run(run(host, int(port), count, seconds))


if __name__ == "__main__":
    main()
