"""The memory that this process takes before it serves clients."""

from __future__ import annotations

import resource
from pathlib import Path

_MEMORY_FILE = Path("/proc/self/statm")  # sizes in pages; the second one is the resident memory
# What the process still allocates until it has served its first clients.
_FIRST_CLIENTS_BYTES = 3 << 20


def memory_without_clients_bytes(default_bytes: int) -> int:
    """Return the resident memory that this process will have without clients, in bytes.

    For use once the modules are loaded and nothing is served. Returns the default where the system does not
    report the memory of a process.
    """
    try:
        resident_pages = int(_MEMORY_FILE.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return default_bytes
    return resident_pages * resource.getpagesize() + _FIRST_CLIENTS_BYTES
