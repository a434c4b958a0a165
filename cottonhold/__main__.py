"""The command line of the platform: `python -m cottonhold [serve]` runs one dispatcher until SIGTERM.

The process may have no more than 32 MB. Nothing that only other installations need is imported here; their
command line is cottonhold/cli.
"""

from __future__ import annotations

import argparse
import os
import sys

from cottonhold.config.relay import ConfigError, load_config
from cottonhold.node.dispatcher import Dispatcher, run_program
from cottonhold.observe.counters import Counters
from cottonhold.observe.log import Log


def serve() -> int:
    """Run one dispatcher.

    Returns:
        The exit code: 2 if the configuration can't be used, 1 if the address can't be used, else 0.
    """
    counters = Counters()
    try:
        config = load_config(os.environ, counters)
    except ConfigError as error:
        print(f"cottonhold: configuration: {error}", file=sys.stderr)
        return 2
    return run_program(config.name, lambda loop: Dispatcher(config, counters, loop, Log()))


def main() -> int:
    """Parse the command line and run the command."""
    parser = argparse.ArgumentParser(prog="cottonhold", description=__doc__)
    commands = parser.add_subparsers(dest="command")
    commands.add_parser("serve", help="run one dispatcher (the default)")
    parser.parse_args()
    return serve()


if __name__ == "__main__":
    sys.exit(main())
