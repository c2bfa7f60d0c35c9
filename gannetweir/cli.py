"""gannetweir, a relay for long-lived connections.

Usage:
  gannetweir serve
  gannetweir check-config
  gannetweir version
  gannetweir (-h | --help)

serve         Run one relay; SIGTERM drains it, SIGHUP reads its configuration again, SIGUSR1 prints
              its counters.
check-config  Read the configuration as serve does, and say what is wrong with it.
version       Print the version.

The configuration is named by RELAY_CONFIG; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY go before it.
"""

from __future__ import annotations

import os
import sys

from gannetweir.config import ConfigError, load


def main(argv: list[str] | None = None) -> int:
    """0 after a clean end, 2 for a bad command line or configuration."""
    from docopt import DocoptExit, docopt  # an embedding program has no use for it

    try:
        args = docopt(__doc__ or "", argv=argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    if args["version"]:
        from gannetweir import __version__

        print(__version__)
        return 0
    try:
        config = load(os.environ)
        if args["serve"]:
            from gannetweir.net.relay import serve

            serve(config, lambda standing: load(os.environ, standing))
        else:
            from gannetweir.proto.pool_watch import read_known

            known = read_known(config.known, config.settings)
            counts = f"{len(known.members)} backends known, {config.limits.clients} clients at most"
            print(f"{config.name}: {counts}")
    except (ConfigError, ValueError) as error:
        print(f"gannetweir: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gannetweir: {error.strerror or error}", file=sys.stderr)
        return 2
    return 0
