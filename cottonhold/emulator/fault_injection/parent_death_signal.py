"""Runs a program that the kernel kills when its parent ends, so that a killed harness leaves no processes:

python -m cottonhold.emulator.fault_injection.parent_death_signal PARENT PROGRAM ARGS
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1
# Argument in place of the settings: a process loads its program, then reads the settings from standard input.
WAIT_FOR_SETTINGS = "--waits"


def read_settings() -> str:
    """Return one line of standard input, or an empty text at its end.

    It is read byte by byte, since the bytes that follow belong to another reader.
    """
    settings = b""
    while (byte := os.read(0, 1)) and byte != b"\n":
        settings += byte
    return settings.decode()


def bound_to_this_process(arguments: list[str]) -> list[str]:
    """Return a command that runs Python with these arguments and is killed when this process ends."""
    module = "cottonhold.emulator.fault_injection.parent_death_signal"
    return [sys.executable, "-m", module, str(os.getpid()), sys.executable, *arguments]


def main(parent: int, program: list[str]) -> None:
    """Request the parent death signal, check that the parent still runs, and execute the program."""
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0):
        sys.exit(f"guard: prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # the parent ended before the signal was requested
        sys.exit(1)
    os.execv(program[0], program)


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
