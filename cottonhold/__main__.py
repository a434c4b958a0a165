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
    """Run one dispatcher; 2 if its configuration can't be used, 1 if its address can't."""
    counters = Counters()
    try:
        config = load_config(os.environ, counters)
    except ConfigError as error:
        print(f"cottonhold: configuration: {error}", file=sys.stderr)
        return 2
    return run_program(config.name, lambda loop: Dispatcher(config, counters, loop, Log()))


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(prog="cottonhold", description=__doc__)
    commands = parser.add_subparsers(dest="command")
    commands.add_parser("serve", help="run one dispatcher (the default)")
    parser.parse_args()
    return serve()


if __name__ == "__main__":
    sys.exit(main())
