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

serve         Run one relay; SIGTERM drains it, SIGHUP reloads its configuration, SIGUSR1 prints its
              counters.
check         Read an operators' file and report every mistake in it, one per line.
explain       Print the route of a request and its worst-case schedule, with the time to spare.
check-config  Read the configuration as serve does and report what is wrong with it.
control       status asks control machines (HOST:PORT each) how far each version is rolled out.
demo          Run relays, push nodes and clients on loopback, through a fault, a drain and restarts.
lab           Run experiments on emulated fleets; `gannetweir lab` alone lists them.
version       Print the version.

Options:
  --seconds N       Duration of the demo [default: 30].
  --operators FILE  Routes, timeouts, budgets and limits, in KDL (or $RELAY_OPERATORS).
  --platform JSON   The platform's configuration, or only its settings object (or $RELAY_CONFIG).
  --log FORM        Log format: plain or json (or $RELAY_LOG, or plain).
  --trace           Write every event of the balancer and its actions to standard error, as JSON lines.
  --class CLASS     Name of the request's class.
  --group HEX       Group of the request, as in g= of the first line.
  --key HEX         Key of the request, as in the first line.
  --again           The request's connection was broken or migrated before.
  --retry           The client marks the request as its own retry.

Examples:
  gannetweir check deploy/operators.kdl --platform config.json
  gannetweir explain deploy/operators.kdl --platform config.json --class rider-area --group 5c0f6e1a
  RELAY_CONFIG=config.json gannetweir serve --operators deploy/operators.kdl --log json

RELAY_CONFIG names the configuration file; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY override it.
Exit codes: 0 success; 1 a version is not in force everywhere, or a control machine does not answer
(control status); 2 invalid command line, configuration or operators' file.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from typing import Any

from gannetweir.config import ConfigError, load_config

EXIT_DONE = 0
EXIT_NOT_IN_FORCE = 1
EXIT_USAGE = 2
MAX_SHOWN_CHARACTERS = 40  # length to which messages cut an invalid value

Arguments = Mapping[str, Any]  # docopt's result: a text, flag, list or None by each name in the usage text


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code. Errors are printed to standard error."""
    from docopt import DocoptExit, docopt  # not needed by a program that embeds the relay

    given = sys.argv[1:] if argv is None else argv
    try:
        if given[:1] == ["lab"]:  # the lab parses its own command line and options
            return _run_lab(given[1:])
        arguments = docopt(__doc__ or "", argv=given)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    try:
        return _run(arguments)
    except ValueError as error:  # includes `ConfigError`
        for line in str(error).splitlines():
            print(f"gannetweir: {line}", file=sys.stderr)
    except OSError as error:
        print(f"gannetweir: {error.strerror or error}", file=sys.stderr)
    return EXIT_USAGE


def _run(arguments: Arguments) -> int:
    if arguments["demo"]:
        return _run_demo(arguments["--seconds"])
    if arguments["control"]:
        return _print_control_status(arguments["MACHINE"])
    if arguments["version"]:
        _print_version()
    elif arguments["check"]:
        _check(arguments)
    elif arguments["explain"]:
        _explain(arguments)
    elif arguments["serve"]:
        _serve(arguments)
    else:
        _check_config(arguments)
    return EXIT_DONE


def _run_lab(argv: list[str], demo_s: float = 0.0) -> int:
    """Run the lab's command line, or the demo if `demo_s` is not 0."""
    try:
        from gannetweir.lab import __main__
        from gannetweir.lab.experiments import demo
    except ModuleNotFoundError as error:
        print(f"gannetweir: {error.name} is missing: pip install 'gannetweir[lab]'", file=sys.stderr)
        return EXIT_USAGE
    return demo.main(demo_s) if demo_s else __main__.main(argv)


def _run_demo(seconds: str) -> int:
    try:
        return _run_lab([], float(seconds))
    except ValueError as error:
        raise ConfigError(f"--seconds: expected a number, got {seconds[:MAX_SHOWN_CHARACTERS]!r}") from error


def _print_control_status(machines: list[str]) -> int:
    from gannetweir.config.platform import parse_socket_address
    from gannetweir.net.control_status import fleet_status  # imported by this command only

    lines, is_in_force = fleet_status([parse_socket_address(machine, "MACHINE") for machine in machines])
    print("\n".join(lines))
    return EXIT_DONE if is_in_force else EXIT_NOT_IN_FORCE


def _print_version() -> None:
    from gannetweir import __version__

    print(__version__)


def _check(arguments: Arguments) -> None:
    from gannetweir.explain import check_file  # imported by this command only

    print(check_file(arguments["FILE"], _platform_path(arguments)))


def _explain(arguments: Arguments) -> None:
    from gannetweir.explain import explain  # imported by this command only

    text = explain(
        arguments["FILE"],
        _platform_path(arguments),
        arguments["--class"],
        group=arguments["--group"],
        key=arguments["--key"],
        returning=bool(arguments["--again"]),
        retry=bool(arguments["--retry"]),
    )
    print(text)


def _serve(arguments: Arguments) -> None:
    environment = _environment(arguments)
    config = load_config(environment)
    from gannetweir.net.relay import serve  # imported only once the configuration is valid

    log_form = arguments["--log"] or environment.get("RELAY_LOG") or "plain"
    serve(config, lambda previous: load_config(environment, previous), log_form, arguments["--trace"])


def _check_config(arguments: Arguments) -> None:
    config = load_config(_environment(arguments))
    from gannetweir.proto.endpoint_watch import read_cached_membership  # imported by this command only

    endpoints = read_cached_membership(config.known_endpoints, config.settings).endpoints
    counts = f"{len(endpoints)} backends known, {config.limits.max_clients} clients at most"
    if config.routing_rules is not None:
        counts += f", {len(config.routing_rules.routes)} routes"
    print(f"{config.name}: {counts}")


def _environment(arguments: Arguments) -> dict[str, str]:
    """Return the environment; an operators' file named on the command line replaces RELAY_OPERATORS."""
    environment = dict(os.environ)
    if arguments["--operators"]:
        environment["RELAY_OPERATORS"] = arguments["--operators"]
    return environment


def _platform_path(arguments: Arguments) -> str:
    return arguments["--platform"] or os.environ.get("RELAY_CONFIG", "")
