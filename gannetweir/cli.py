"""gannetweir, a relay for long-lived connections.

Usage:
  gannetweir serve [--operators FILE] [--log FORM] [--trace]
  gannetweir check FILE [--platform JSON]
  gannetweir explain FILE --class CLASS [--group HEX] [--key HEX] [--again] [--retry] [--platform JSON]
  gannetweir check-config [--operators FILE]
  gannetweir control status MACHINE ...
  gannetweir demo [--seconds N]
  gannetweir lab [ARGS ...]
  gannetweir version
  gannetweir (-h | --help)

serve         Run one relay; SIGTERM drains it, SIGHUP reads its configuration again, SIGUSR1 prints
              its counters.
check         Read an operators' file and say all that is wrong with it, a line each.
explain       Print the route that a request takes and its whole schedule, with the time to spare.
check-config  Read the configuration as serve does, and say what is wrong with it.
control       status asks control machines (HOST:PORT each) where every version stands.
demo          Relays, push nodes and clients on loopback, a fault, a drain, restarts; ends by itself.
lab           Experiments on the project's own world; `gannetweir lab` alone lists them.
version       Print the version.

Options:
  --seconds N       How long the demo takes [default: 30].
  --operators FILE  Routes, time-outs, budgets and limits, in KDL (or $RELAY_OPERATORS).
  --platform JSON   The platform's configuration, or its settings alone (or $RELAY_CONFIG).
  --log FORM        plain or json (or $RELAY_LOG, or plain).
  --trace           Write all that the decisions hear and answer to standard error, a JSON line an event.
  --class CLASS     The class of the request, by its name.
  --group HEX       Its group, as in the first line's g=.
  --key HEX         Its key, as in the first line.
  --again           Its connection was broken or moved.
  --retry           The client marks it as its own retry.

Examples:
  gannetweir check deploy/operators.kdl --platform config.json
  gannetweir explain deploy/operators.kdl --platform config.json --class rider-area --group 5c0f6e1a
  RELAY_CONFIG=config.json gannetweir serve --operators deploy/operators.kdl --log json

The configuration is named by RELAY_CONFIG; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY go before it.
Exit codes: 0 done; 1 not all is in force, or a machine does not answer (control status); 2 a bad command
line, configuration or operators' file.
"""

from __future__ import annotations

import os
import sys
from typing import Any

from gannetweir.config import ConfigError, load_config


def main(argv: list[str] | None = None) -> int:
    """0 after a clean end, 2 for a bad command line, configuration or operators' file; 1 for a bad status."""
    from docopt import DocoptExit, docopt  # an embedding program has no use for it

    try:
        given = sys.argv[1:] if argv is None else argv
        if given[:1] == ["lab"]:  # a command line of its own, with options of its own
            return _lab(given[1:])
        args = docopt(__doc__ or "", argv=given)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    try:
        return _run(args)
    except (ConfigError, ValueError) as error:
        for line in str(error).splitlines():
            print(f"gannetweir: {line}", file=sys.stderr)
    except OSError as error:
        print(f"gannetweir: {error.strerror or error}", file=sys.stderr)
    return 2


def _lab(argv: list[str], demo_s: float = 0.0) -> int:
    try:
        from gannetweir.lab import __main__
        from gannetweir.lab.experiments import demo
    except ModuleNotFoundError as error:
        print(f"gannetweir: {error.name} is missing: pip install 'gannetweir[lab]'", file=sys.stderr)
        return 2
    return demo.main(demo_s) if demo_s else __main__.main(argv)


def _control_status(machines: list[str]) -> int:
    from gannetweir.config.platform import parse_socket_address
    from gannetweir.net.control_status import fleet_status  # only where it is asked for

    lines, fine = fleet_status([parse_socket_address(text, "MACHINE") for text in machines])
    print("\n".join(lines))
    return 0 if fine else 1


def _run(args: dict[str, Any]) -> int:
    if args["version"]:
        from gannetweir import __version__

        print(__version__)
        return 0
    if args["demo"]:
        try:
            return _lab([], float(args["--seconds"]))
        except ValueError:
            raise ConfigError(f"--seconds: {args['--seconds'][:40]!r} is no number") from None
    if args["control"]:
        return _control_status(args["MACHINE"])
    if args["check"] or args["explain"]:
        from gannetweir.explain import check_file, explain

        platform = args["--platform"] or os.environ.get("RELAY_CONFIG", "")
        if args["check"]:
            print(check_file(args["FILE"], platform))
        else:
            flags = bool(args["--again"]), bool(args["--retry"])
            print(explain(args["FILE"], platform, args["--class"], args["--group"], args["--key"], *flags))
        return 0
    env = dict(os.environ)
    if args["--operators"]:
        env["RELAY_OPERATORS"] = args["--operators"]
    config = load_config(env)
    if args["serve"]:
        from gannetweir.net.relay import serve

        form = args["--log"] or env.get("RELAY_LOG") or "plain"
        serve(config, lambda standing: load_config(env, standing), form, args["--trace"])
    else:
        from gannetweir.proto.endpoint_watch import read_cached_membership

        known = read_cached_membership(config.known_endpoints, config.settings)
        routes = f", {len(config.routing_rules.routes)} routes" if config.routing_rules is not None else ""
        counts = f"{len(known.endpoints)} backends known, {config.limits.max_clients} clients at most{routes}"
        print(f"{config.name}: {counts}")
    return 0
