"""Hostile clients in a process of their own, so that sound clients beside them are not late themselves.

python -m cottonhold.emulator.platform.crowd BEHAVIOUR ARGUMENTS COUNT ADDRESS
"""

from __future__ import annotations

import asyncio
import json
import resource
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

from cottonhold.emulator.platform import hostile_clients
from cottonhold.emulator.platform.hostile_clients import Behaviour, repeat

ROOT = Path(__file__).resolve().parents[3]
MAX_OWN_BYTES = 4 << 30  # address space
MAX_DURATION_S = 120.0


@contextmanager
def running_crowd(behaviour: partial[Any], count: int, address: str) -> Iterator[None]:
    """Run `count` clients of a behaviour, given by its function and arguments, until the context ends."""
    name, arguments = behaviour.func.__name__, json.dumps(behaviour.keywords)
    command = [
        sys.executable,
        "-m",
        "cottonhold.emulator.platform.crowd",
        name,
        arguments,
        str(count),
        address,
    ]
    crowd = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        yield
    finally:
        crowd.kill()
        crowd.wait()


async def run(behaviour: Behaviour, count: int, address: str) -> None:
    """Repeat the behaviour of all clients for a limited time."""
    clients = asyncio.gather(*(repeat(behaviour, address) for _ in range(count)))
    await asyncio.wait_for(clients, MAX_DURATION_S)


def main() -> None:
    """Run the crowd that the command line describes, until this process is killed."""
    resource.setrlimit(resource.RLIMIT_AS, (MAX_OWN_BYTES, MAX_OWN_BYTES))
    name, arguments, count, address = sys.argv[1:]
    behaviour = partial(getattr(hostile_clients, name), **json.loads(arguments))
    asyncio.run(run(behaviour, int(count), address))


if __name__ == "__main__":
    main()
