"""The command line of the platform: `python -m cottonhold [serve]` runs one dispatcher until SIGTERM.

The process may have no more than 32 MB. Nothing that only other installations need is imported here; their
command line is cottonhold/cli.
"""

from __future__ import annotations

import os
import sys

from cottonhold.transport.tls_placeholder import omit_tls


def serve() -> int:
    """Run one dispatcher.

    Returns:
        The exit code: 2 if the configuration can't be used, 1 if the address can't be used, else 0.
    """
    # Imported here, since asyncio must not be imported before `omit_tls` was called.
    from cottonhold.config.relay import ConfigError, load_config
    from cottonhold.node.dispatcher import Dispatcher, run_program
    from cottonhold.observe.counters import Counters
    from cottonhold.observe.log import Log

    counters = Counters()
    try:
        config = load_config(os.environ, counters)
    except ConfigError as error:
        print(f"cottonhold: configuration: {error}", file=sys.stderr)
        return 2
    return run_program(config.name, lambda loop: Dispatcher(config, counters, loop, Log()))


def parse_arguments(arguments: list[str]) -> None:
    """Accept no arguments, or `serve`; print help or an error and exit for any others."""
    if not arguments or arguments == ["serve"]:
        return
    import argparse  # 0.7 MB, which the usual command saves

    parser = argparse.ArgumentParser(prog="cottonhold", description=__doc__)
    commands = parser.add_subparsers(dest="command")
    commands.add_parser("serve", help="run one dispatcher (the default)")
    parser.parse_args(arguments)


def main() -> int:
    """Parse the command line and run the command."""
    parse_arguments(sys.argv[1:])
    return serve()


if __name__ == "__main__":
    omit_tls()
    sys.exit(main())
