"""True relays for comparison with skeleton relays: processes of `gannetweir serve`, without clients."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson

from gannetweir.lab.scale.child import Usage, end, usage
from gannetweir.lab.scale.distribution import HOST, free_port


def platform_settings(
    relays: int, zones: int, ask_within_s: float, registry_mode: str = "on_request"
) -> dict[str, Any]:
    """Return the settings of every relay of the fleet; probes are off, since there are no backends."""
    return {
        "categories": [
            {"name": "plain", "aim-us": 300_000, "hard-limit-us": 1_800_000, "idempotency": "repeatable"}
        ],
        "fleet-size": relays,
        "zone": 0,
        "zones": [f"z{n:02}" for n in range(zones)],
        "kinds": ["m"],
        "contract": {"ask-within-us": int(ask_within_s * 1e6), "fall-multiple": 2.0},
        "reporting": {"names": ["concurrent", "x0"], "source": "probe"},
        "limits": {"probes": False, "max-attempts": 4, "connect-timeout-us": 250_000},
        "registry-mode": registry_mode,
    }


class TrueRelays:
    """Processes that watch the fleet's servers, and one without a list as the baseline of their memory."""

    def __init__(self, settings: dict[str, Any], servers: list[str]) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="hollow-fleet-")
        # The kernel accepts connections for this listener, and nothing answers them.
        self.silent_listener = socket.create_server((HOST, free_port([HOST])))
        self.settings = settings
        self.processes = [self._start(n, server) for n, server in enumerate(servers)]
        silent_address = f"{HOST}:{self.silent_listener.getsockname()[1]}"
        self.without_list = self._start(len(servers), silent_address) if servers else None

    def _start(self, number: int, discovery: str) -> subprocess.Popen[bytes]:
        config = {
            "name": f"true-{number}",
            "listen": f"{HOST}:{free_port([HOST])}",
            "discovery": discovery,
            "seed": f"{number + 1:x}",
            "settings": self.settings,
        }
        path = Path(self.folder.name) / f"{number}.json"
        path.write_bytes(orjson.dumps(config))
        env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        env.pop("TMPDIR", None)  # TMPDIR names the folder that the processes of one relay share
        return subprocess.Popen(
            [sys.executable, "-m", "gannetweir", "serve"],
            env={**env, "RELAY_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )

    def usage(self) -> list[Usage]:
        """Return the usage of each process that watches."""
        return [usage(process.pid) for process in self.processes]

    def list_bytes(self) -> list[int]:
        """Return the resident bytes of each watching process, less those of the process without a list."""
        if self.without_list is None:
            return []
        baseline = usage(self.without_list.pid).rss_bytes
        return [used.rss_bytes - baseline for used in self.usage()]

    def stop(self) -> None:
        """Stop all processes with SIGTERM, or with SIGKILL if that takes too long."""
        started = [*self.processes, *([self.without_list] if self.without_list is not None else [])]
        for process in started:
            process.send_signal(signal.SIGTERM)
        for process in started:
            end(process)
        self.silent_listener.close()
        self.folder.cleanup()
