"""Becomes a program that the kernel ends together with its parent: `python -m ...guard PARENT PROGRAM ARGS`.

Danger: a rig that is killed would leave dozens of processes behind that go on for good.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1
WAIT_FOR_SETTINGS = "--waits"  # in place of its settings: a process is told them later, once all is loaded


def read_settings() -> str:
    """One line of standard input; empty at its end. Byte by byte, since what follows is somebody else's."""
    line = b""
    while (byte := os.read(0, 1)) and byte != b"\n":
        line += byte
    return line.decode()


def main(parent: int, program: list[str]) -> None:
    """Ask for the signal, check that the parent is still there, and become the program."""
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0):
        sys.exit(f"guard: prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # it died before the signal was asked for
        sys.exit(1)
    os.execv(program[0], program)


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
