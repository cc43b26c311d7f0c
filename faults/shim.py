"""The preloaded fault library: building it, and the control block through which a run drives it.

The block's layout is that of `struct control` in shim.c: three 64-bit integers, then one `struct fault`
(32-bit value, 32-bit calls remaining, 64-bit calls injected) for each kind of call.
"""

from __future__ import annotations

import enum
import mmap
import shutil
import struct
import subprocess
import time
from collections.abc import Mapping
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
HEADER = struct.Struct("qqq")  # offset, previous offset, true wall time of the step; nanoseconds
FAULT = struct.Struct("iiq")
BLOCK_BYTES = 4096
NS_PER_S = 1_000_000_000


class CompilerMissing(RuntimeError):
    """No C compiler: the preloaded library cannot be built, so no clock or system call can be disturbed."""


class Call(enum.IntEnum):
    """Kinds of system call that can be disturbed, in the order of shim.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECEIVE = 3
    SEND = 4
    WAIT = 5
    SHORT = 6


def compiler() -> str | None:
    """The C compiler's path, if there is one."""
    return shutil.which("cc") or shutil.which("gcc")


def build(folder: Path) -> Path:
    """Compile the library into `folder`; raise CompilerMissing without a C compiler."""
    found = compiler()
    if found is None:
        raise CompilerMissing("no C compiler (cc or gcc) for faults/shim.c")
    target = folder / "faultshim.so"
    command = [found, "-shared", "-fPIC", "-O2", "-Wall", "-o", str(target), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return target


class Control:
    """The control block of one process."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(BLOCK_BYTES))
        self.path = path
        with path.open("r+b") as file:
            self._block = mmap.mmap(file.fileno(), BLOCK_BYTES)

    def environment(self, library: Path) -> Mapping[str, str]:
        return {"LD_PRELOAD": str(library), "FAULT_CONTROL": str(self.path)}

    @property
    def wall_offset_s(self) -> float:
        return HEADER.unpack_from(self._block)[0] / NS_PER_S

    def step_clock(self, seconds: float) -> None:
        """Step the process's wall clock, forward or back, relative to where it is."""
        offset = HEADER.unpack_from(self._block)[0]
        HEADER.pack_into(self._block, 0, offset + int(seconds * NS_PER_S), offset, time.time_ns())

    def fail(self, call: Call, value: int, times: int) -> None:
        """Make the next calls of a kind fail with an errno; for SHORT, `value` is the most bytes moved."""
        at = HEADER.size + FAULT.size * call
        injected = FAULT.unpack_from(self._block, at)[2]
        FAULT.pack_into(self._block, at, value, times, injected)

    def injected(self, call: Call) -> int:
        """Calls of a kind that were affected so far."""
        return FAULT.unpack_from(self._block, HEADER.size + FAULT.size * call)[2]
