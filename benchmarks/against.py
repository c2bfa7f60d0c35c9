"""Compares this checkout with another in one run: the cost of a start and of a placement with one address.

    python benchmarks/against.py OTHER_CHECKOUT [PAIRS] [PLACEMENTS]

Measures the same figures as routes_cost.py, without an operators' file on either side.
"""

from __future__ import annotations

import socket
import sys
import tempfile
import threading
from pathlib import Path

from routes_cost import ROOT, free_port, measure, report, run_backend, write_platform_config


def main() -> None:
    """Measure all pairs and print the report."""
    other = Path(sys.argv[1]).resolve()
    pairs = int(sys.argv[2]) if len(sys.argv) > 2 else 7
    placements = int(sys.argv[3]) if len(sys.argv) > 3 else 3000
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    threading.Thread(target=run_backend, args=(listener,), daemon=True).start()
    with tempfile.TemporaryDirectory() as name:
        port = free_port()
        config = write_platform_config(Path(name), port, listener.getsockname()[1])
        figure_pairs = []
        for n in range(pairs):
            sides = [ROOT, other] if n % 2 else [other, ROOT]  # the sides alternate in going first
            figures = {root: measure(config, port, None, placements, root) for root in sides}
            figure_pairs.append((figures[ROOT], figures[other]))
    listener.close()
    report(figure_pairs, placements, ("this", "other"))


if __name__ == "__main__":
    main()
