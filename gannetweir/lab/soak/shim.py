"""The preloaded library that makes system calls fail: built here, switched by a mapped file."""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
COMPILERS = ("cc", "gcc", "clang")


class SoakError(ValueError):
    """Why a soak can't be run."""


class Call(IntEnum):
    """What can be made to fail, in the order of the library's control block."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4
    SHORT = 5  # reads and writes move some of the bytes
    WAIT = 6
    DISK = 7  # writes, syncs, renames and locks of files
    WATCH = 8  # the event loop can't watch one descriptor more
    BROKEN = 9  # connections to backends end as a network ends them


_OFFSET = struct.Struct("<q")
_RATE = struct.Struct("<I")
_CONTROL_SIZE = _OFFSET.size + 2 * len(Call) * _RATE.size


def build(folder: Path) -> Path:
    """Compile the library into `folder`. Raises `SoakError` where there is no C compiler, or it fails."""
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        raise SoakError(f"soak: no C compiler ({', '.join(COMPILERS)}) for the library that makes calls fail")
    library = folder / "shim.so"
    command = [compiler, "-O1", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    run = subprocess.run(command, capture_output=True, text=True)
    if run.returncode:
        raise SoakError(f"soak: {compiler} failed: {run.stderr.strip()[:400]}")
    return library


class Shim:
    """The switches of one process. `environment` is what the process is started with."""

    def __init__(self, library: Path, control: Path, seed: int) -> None:
        control.write_bytes(bytes(_CONTROL_SIZE))
        with control.open("r+b") as file:
            self.control = mmap.mmap(file.fileno(), _CONTROL_SIZE)
        self.environment = {
            "LD_PRELOAD": str(library),
            "GANNETWEIR_SHIM": str(control),
            "GANNETWEIR_SHIM_SEED": str(seed),
        }

    def fail(self, call: Call, per_mille: int) -> None:
        """So many of a thousand such calls fail from now on."""
        _RATE.pack_into(self.control, _OFFSET.size + call * _RATE.size, per_mille)

    def failed(self, call: Call) -> int:
        """How many have failed so far."""
        offset = _OFFSET.size + (len(Call) + call) * _RATE.size
        return int(_RATE.unpack_from(self.control, offset)[0])

    def step_wall_clock(self, seconds: float) -> None:
        """The wall clock is off by so much from now on; the monotonic one runs on."""
        _OFFSET.pack_into(self.control, 0, int(seconds * 1e9))
