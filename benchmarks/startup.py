"""Measures the cost of a relay's start by phase, with endpoint lists of several sizes.

    python benchmarks/startup.py [RUNS [BACKENDS ...]]

A separate process runs the phases in the order of `serve` and reports the processor time of each. A real
relay on loopback is measured as well, from its start to the first PONG: wall and processor time with cached
bytecode, and processor time without. Its discovery answers the first watch with the same list. The output has
medians over the runs, and the least share of a core with which the processor time fits into ten seconds.
"""

from __future__ import annotations

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

from routes_cost import ROOT, free_port

SIZES = 64, 1024, 4096  # backends on the endpoint list
TOTAL_NAMES = (
    "sum of the parts",
    "first PONG, wall",
    "first PONG, processor",
    "least share of a core, %",
    "first PONG, nothing compiled, processor",
)
READY_S = 10.0  # nine in ten restarted relays have to be ready within this time
NS_PER_MS = 1e6
PHASE_NAMES = (
    "interpreter",
    "imports",
    "configuration",
    "known list",
    "engine and module",
    "first watch answer",
)
PHASES_CODE = """
import json, os, time
marks = [time.process_time()]
def mark():
    marks.append(time.process_time())
from gannetweir import cli
from docopt import docopt
docopt(cli.__doc__, argv=["serve"])
from gannetweir.net import relay
mark()
from gannetweir.config import load_config
config = load_config(dict(os.environ))
mark()
from gannetweir.proto.endpoint_watch import EndpointWatch, read_cached_membership
known = read_cached_membership(config.known_endpoints, config.settings)
mark()
from gannetweir.core import Engine
engine = Engine(config.settings, config.limits, config.seed, known, 1)
mark()
watch = EndpointWatch("127.0.0.1:1", 0, config.settings, config.limits)
with open(os.environ["ANSWER"], "rb") as file:
    for update in watch.feed(file.read()):
        engine.endpoint_update_received(update, 2)
mark()
print(json.dumps([1e3 * (later - before) for before, later in zip([0.0, *marks], marks)]))
"""


def backends(size: int) -> list[dict[str, object]]:
    """Return a list of backends in three zones and of three kinds; none of them answers."""
    return [
        {
            "host": f"s-{n:08x}",
            "dial": f"127.0.0.1:{1 + n % 64}",
            "site": "abc"[n % 3],
            "class": f"m{n % 3}",
            "block": n % 8,
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
        }
        for n in range(size)
    ]


def watch_answer(size: int) -> bytes:
    """Return discovery's answer to a watch: the complete list as its first line."""
    line = json.dumps({"seq": 2, "whole": True, "hosts": backends(size)}).encode() + b"\n"
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)


def configuration(size: int, listen: int, discovery: int) -> dict[str, object]:
    """Return the platform's file: two classes, probes, groups, and the last known endpoint list."""
    classes = [{"name": name, "hard-limit-us": 2_000_000, "aim-us": 500_000} for name in ("plain", "urgent")]
    settings = {
        "categories": classes,
        "zones": ["a", "b", "c"],
        "kinds": ["m0", "m1", "m2"],
        "fleet-size": 200,
        "limits": {"probes": True},
        "reporting": {"source": "probe", "names": ["concurrent", "x0"]},
        "family-info": {"groups": True},
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "settings": settings,
        "known": {"seq": 1, "hosts": backends(size)},
    }


def answer_watches(listener: socket.socket, answer: bytes) -> None:
    """Answer every watch with the list, and keep the watch open until the relay ends it."""

    def serve(sock: socket.socket) -> None:
        with sock:
            sock.recv(65536)
            sock.sendall(answer)
            while sock.recv(65536):
                pass

    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


def measure_phases(env: dict[str, str]) -> list[float]:
    """Return the processor time of each phase in milliseconds."""
    done = subprocess.run(
        [sys.executable, "-c", PHASES_CODE], cwd=ROOT, env=env, check=True, capture_output=True, text=True
    )
    return [float(ms) for ms in json.loads(done.stdout)]


def measure_start(env: dict[str, str], port: int) -> tuple[float, float]:
    """Return the wall and processor time from a relay's start to its first PONG, in milliseconds."""
    begin_s = time.monotonic()
    relay = subprocess.Popen(
        [sys.executable, "-m", "gannetweir", "serve"], cwd=ROOT, env=env, stderr=subprocess.DEVNULL
    )
    try:
        while True:
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=5.0) as sock:
                    sock.sendall(b"PING\r\n")
                    if sock.recv(100).startswith(b"PONG"):
                        break
            except ConnectionError:
                time.sleep(0.002)
        wall_ms = 1e3 * (time.monotonic() - begin_s)
        spent_ns = Path(f"/proc/{relay.pid}/schedstat").read_text().split()[0]
        return wall_ms, int(spent_ns) / NS_PER_MS
    finally:
        relay.send_signal(signal.SIGTERM)
        relay.wait()


def measure(size: int, runs: int, folder: Path) -> list[float]:
    """Return the medians over the runs, in the order of `PHASE_NAMES` and `TOTAL_NAMES`."""
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        port, answer = free_port(), watch_answer(size)
        config = configuration(size, port, discovery.getsockname()[1])
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "answer").write_bytes(answer)
        env = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "RELAY_CONFIG": str(folder / "config.json"),
            "ANSWER": str(folder / "answer"),
        }
        threading.Thread(target=answer_watches, args=(discovery, answer), daemon=True).start()
        compiled = env | {"PYTHONPYCACHEPREFIX": str(folder / "compiled")}
        compiled.pop("PYTHONDONTWRITEBYTECODE", None)
        sources = env | {"PYTHONPYCACHEPREFIX": str(folder / "none"), "PYTHONDONTWRITEBYTECODE": "1"}
        measure_start(compiled, port)  # writes the bytecode of the imported modules
        measure_phases(compiled)
        samples = []
        for _ in range(runs):
            phases_ms = measure_phases(compiled)
            wall_ms, processor_ms = measure_start(compiled, port)
            uncompiled_ms = measure_start(sources, port)[1]
            samples.append(
                [
                    *phases_ms,
                    sum(phases_ms),
                    wall_ms,
                    processor_ms,
                    processor_ms / 10.0 / READY_S,
                    uncompiled_ms,
                ]
            )
    return [statistics.median(column) for column in zip(*samples, strict=True)]


def main() -> None:
    """Print the medians as a Markdown table."""
    runs, *given = map(int, sys.argv[1:] or ["7"])
    sizes = given or SIZES
    with tempfile.TemporaryDirectory() as folder:
        columns = [measure(size, runs, Path(folder)) for size in sizes]
    names = *PHASE_NAMES, *TOTAL_NAMES
    print("| ms |", " | ".join(f"{size:,} backends" for size in sizes), "|")
    print("| --- |" + " --- |" * len(sizes))
    for name, row in zip(names, zip(*columns, strict=True), strict=True):
        print(f"| {name} |", " | ".join(f"{value:.1f}" for value in row), "|")


if __name__ == "__main__":
    main()
