"""Measures the cost of an operators' file: a relay with 200 routes against one without, in one run.

    python benchmarks/routes_cost.py [PAIRS] [PLACEMENTS]

Both relays of a pair are started one after the other on loopback, with a backend that answers `UP` at once.
The figures of a relay are the time from its start until it answers PONG, its resident memory at that time,
and its CPU time per placement (a client opens a connection, is served and closes). The output has the
medians, and the median of the ratios within pairs.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_S = 20
POLL_S = 0.002  # a start takes about a hundred times as long
CALL_TIMEOUT_S = 5
ROUTES = 200
DEFAULT_PAIRS, DEFAULT_PLACEMENTS = 7, 3000
FIGURES = "start, ms", "resident, MB", "CPU a placement, us"
Figures = tuple[float, float, float]


def run_backend(listener: socket.socket) -> None:
    """Answer each first line with UP and each load probe with a load report, until the client closes."""
    # The reported number of requests is so large that one more makes no difference to the balancer.
    load_report = b"PONG tps=1,concurrent=9000,x0=0.2\r\n"

    def serve(sock: socket.socket) -> None:
        with sock, sock.makefile("rwb") as file:
            for line in file:
                file.write(load_report if line.startswith(b"STATS") else b"UP r1\r\n")
                file.flush()

    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


def free_port() -> int:
    """Return a port that no process is listening on."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


def write_platform_config(folder: Path, port: int, backend_port: int) -> Path:
    """Write the configuration of a relay with one backend; return its path."""
    timing = {"aim-us": 500000, "hard-limit-us": 2000000, "idempotency": "repeatable", "importance": 1.0}
    classes = [{"name": name, **timing} for name in ("zone-view", "rider-area")]
    dial = f"127.0.0.1:{backend_port}"
    hosts = [{"host": "b1", "dial": dial, "site": "a", "class": "m", "health": "Ready"}]
    path = folder / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:1",
                "seed": "1",
                "limits": {"sockets": 1024, "memory_mb": 192},
                "known": {"seq": 1, "whole": True, "hosts": hosts},
                "settings": {
                    "categories": classes,
                    "zones": ["a"],
                    "family-info": {"groups": True},
                    "limits": {"max-attempts": 6, "connect-timeout-us": 250000, "probes": True},
                    "reporting": {"names": ["tps", "concurrent", "x0"], "source": "probe"},
                },
            }
        )
    )
    return path


def write_operators_file(folder: Path, count: int) -> Path:
    """Write an operators' file with `count` routes; return its path."""
    parts = ["gannetweir version=1"]
    for n in range(count - 1):
        parts.append(
            f'route "ward-{n}" {{\n match {{\n  class "{("zone-view", "rider-area")[n % 2]}"\n'
            f'  group-prefix "{n:04x}"\n }}\n connect "200ms"\n attempt "500ms"\n attempts 2\n'
            ' wait "fixed" first="50ms" jitter="full"\n'
            ' retry-budget share="20%" window="10s" floor=5\n limits open=400\n}'
        )
    parts.append('default {\n attempts 2\n attempt "600ms"\n}')
    path = folder / "operators.kdl"
    path.write_text("\n".join(parts) + "\n")
    return path


def ask(port: int, line: bytes) -> bytes:
    """Send a line on a new connection; return the first bytes of the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=CALL_TIMEOUT_S) as sock:
        sock.sendall(line)
        return sock.recv(100)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def measure(config: Path, port: int, operators: Path | None, placements: int, root: Path = ROOT) -> Figures:
    """Start the relay of the tree at `root`, let it serve placements, and return its figures.

    Exits if the relay does not start or does not serve. Kills the relay in any case.
    """
    env = {"RELAY_CONFIG": str(config), "PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(root)}
    command = [sys.executable, "-m", "gannetweir", "serve"]
    command += ["--operators", str(operators)] if operators else []
    begin_s = time.monotonic()
    relay = subprocess.Popen(command, env=env, cwd=root, stderr=subprocess.DEVNULL)
    try:
        wait_until_ready(relay, port, begin_s + START_TIMEOUT_S)
        start_ms = (time.monotonic() - begin_s) * 1000
        resident = resident_mb(relay.pid)
        cpu_before_s = cpu_seconds(relay.pid)
        for number in range(placements):
            place(port, number)
        return start_ms, resident, (cpu_seconds(relay.pid) - cpu_before_s) / placements * 1e6
    finally:
        relay.send_signal(signal.SIGKILL)
        relay.wait()


def wait_until_ready(relay: subprocess.Popen[bytes], port: int, deadline_s: float) -> None:
    """Return once the relay answers PONG; exit if the relay has ended or the deadline has passed."""
    while True:
        with contextlib.suppress(OSError):
            if ask(port, b"PING\r\n").startswith(b"PONG"):
                return
        if time.monotonic() > deadline_s or relay.poll() is not None:
            raise SystemExit(f"the relay ended, or did not answer PONG within {START_TIMEOUT_S} s")
        time.sleep(POLL_S)


def place(port: int, number: int) -> None:
    """Open a connection for one of 256 groups, and close it once the relay has answered UP."""
    line = f"OPEN {number:x} {number:x} c=zone-view,d=2000,g={(number % 256) << 48 | 1:x}\r\n"
    if not ask(port, line.encode()).startswith(b"UP"):
        raise SystemExit(f"placement {number} was not served")


def report(figure_pairs: list[tuple[Figures, Figures]], placements: int, sides: tuple[str, str]) -> None:
    """Print the medians of both sides over all pairs, and the median of the ratios within pairs."""
    print(f"{len(figure_pairs)} pairs, {placements} placements each\n")
    print(f"| figure | {sides[0]} | {sides[1]} | ratio |\n| --- | --- | --- | --- |")
    for n, figure in enumerate(FIGURES):
        one, other = ([pair[side][n] for pair in figure_pairs] for side in (0, 1))
        ratio = statistics.median(a / b for a, b in zip(one, other, strict=True))
        print(f"| {figure} | {statistics.median(one):.1f} | {statistics.median(other):.1f} | {ratio:.3f} |")


def main() -> None:
    """Measure all pairs and print the report."""
    arguments = [int(argument) for argument in sys.argv[1:]]
    pairs, placements = [*arguments, *(DEFAULT_PAIRS, DEFAULT_PLACEMENTS)[len(arguments) :]]
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    threading.Thread(target=run_backend, args=(listener,), daemon=True).start()
    with tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        config = write_platform_config(folder, port, listener.getsockname()[1])
        file = write_operators_file(folder, ROUTES)
        figure_pairs = []
        for _ in range(pairs):
            figure_pairs.append(
                (measure(config, port, file, placements), measure(config, port, None, placements))
            )
    listener.close()
    report(figure_pairs, placements, (f"{ROUTES} routes", "none"))


if __name__ == "__main__":
    main()
