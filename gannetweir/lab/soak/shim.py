"""Builds the preloaded library that makes system calls fail, and controls it through a mapped file."""

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
    """Raised if a soak can't be run."""


class Call(IntEnum):
    """The kinds of system calls that can be made to fail, in the order of the library's control block."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4
    SHORT = 5  # send and recv transfer only some of the bytes
    WAIT = 6  # epoll_wait is interrupted
    DISK = 7  # write, fsync, rename and flock of files
    WATCH = 8  # epoll_ctl can't add a descriptor
    BROKEN = 9  # recv fails with a network error on a connection to a backend, and the peer sees a reset


_OFFSET = struct.Struct("<q")
_RATE = struct.Struct("<I")
_CONTROL_SIZE = _OFFSET.size + 2 * len(Call) * _RATE.size


def build(folder: Path) -> Path:
    """Compile the library into `folder`. Raises `SoakError` if no C compiler is found, or if it fails."""
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
    """Controls the library in one process, which has to be started with `environment`."""

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
        """Make calls of this kind fail from now on, at a rate per thousand."""
        _RATE.pack_into(self.control, _OFFSET.size + call * _RATE.size, per_mille)

    def failed(self, call: Call) -> int:
        """Return how many calls of this kind have failed so far."""
        offset = _OFFSET.size + (len(Call) + call) * _RATE.size
        return int(_RATE.unpack_from(self.control, offset)[0])

    def step_wall_clock(self, seconds: float) -> None:
        """Shift the wall clock of the process from now on; the monotonic clock is unaffected."""
        _OFFSET.pack_into(self.control, 0, int(seconds * 1e9))
