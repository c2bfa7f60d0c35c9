"""This checkout beside another one, in one run: what a start and a placement with one address cost.

    python benchmarks/against.py OTHER_CHECKOUT [PAIRS] [PLACEMENTS]

As routes_cost.py, without an operators' file on either side.
"""

from __future__ import annotations

import socket
import statistics
import sys
import tempfile
import threading
from pathlib import Path

from routes_cost import FIGURES, ROOT, backend, free_port, measure, platform


def main() -> None:
    other = Path(sys.argv[1]).resolve()
    pairs = int(sys.argv[2]) if len(sys.argv) > 2 else 7
    placements = int(sys.argv[3]) if len(sys.argv) > 3 else 3000
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    threading.Thread(target=backend, args=(listener,), daemon=True).start()
    with tempfile.TemporaryDirectory() as name:
        port = free_port()
        config = platform(Path(name), port, listener.getsockname()[1])
        found = []
        for n in range(pairs):
            sides = [ROOT, other] if n % 2 else [other, ROOT]  # who goes first takes turns
            figures = {root: measure(config, port, None, placements, root) for root in sides}
            found.append((figures[ROOT], figures[other]))
    listener.close()
    print(f"{pairs} pairs, {placements} placements each\n")
    print("| figure | this | other | ratio |\n| --- | --- | --- | --- |")
    for n, figure in enumerate(FIGURES):
        this, that = ([pair[side][n] for pair in found] for side in (0, 1))
        ratio = statistics.median(a / b for a, b in zip(this, that, strict=True))
        print(f"| {figure} | {statistics.median(this):.1f} | {statistics.median(that):.1f} | {ratio:.3f} |")


if __name__ == "__main__":
    main()
