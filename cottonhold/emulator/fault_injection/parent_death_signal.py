"""Becomes a program that the kernel ends together with its parent, so that a harness that is killed leaves no
processes behind:

    python -m cottonhold.emulator.fault_injection.parent_death_signal PARENT PROGRAM ARGS
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1
# In place of its settings: a process loads its program, and reads them from standard input.
WAIT_FOR_SETTINGS = "--waits"


def read_settings() -> str:
    """Return one line of standard input; empty at its end. Byte by byte: what follows is for another
    reader."""
    settings = b""
    while (byte := os.read(0, 1)) and byte != b"\n":
        settings += byte
    return settings.decode()


def bound_to_this_process(arguments: list[str]) -> list[str]:
    """Return the command that runs Python with these arguments, and ends together with this process."""
    module = "cottonhold.emulator.fault_injection.parent_death_signal"
    return [sys.executable, "-m", module, str(os.getpid()), sys.executable, *arguments]


def main(parent: int, program: list[str]) -> None:
    """Ask for the signal, check that the parent is still there, and become the program."""
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0):
        sys.exit(f"guard: prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # it died before the signal was asked for
        sys.exit(1)
    os.execv(program[0], program)


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
