"""The preloaded fault library: its build, and the control block through which the harness controls it.

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
# Current clock offset, previous offset and true wall time of the latest step, all in nanoseconds.
STEP_HEADER = struct.Struct("qqq")
FAULT_ENTRY = struct.Struct("iiq")
BLOCK_BYTES = 4096  # size of the control block's file; the rest of it is unused
NS_PER_S = 1_000_000_000


class CompilerMissing(RuntimeError):
    """There is no C compiler, so the fault library cannot be built."""


class Call(enum.IntEnum):
    """Kinds of system call that can be made to fail, in the order of shim.c; SHORT limits transfers."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECEIVE = 3
    SEND = 4
    WAIT = 5
    SHORT = 6


def find_compiler() -> str | None:
    """Return the path of the C compiler, or None without one."""
    return shutil.which("cc") or shutil.which("gcc")


def build(folder: Path) -> Path:
    """Compile the library into `folder` and return its path; raise CompilerMissing without a C compiler."""
    compiler_path = find_compiler()
    if compiler_path is None:
        raise CompilerMissing("no C compiler (cc or gcc) for faults/shim.c")
    target = folder / "faultshim.so"
    command = [compiler_path, "-shared", "-fPIC", "-O2", "-Wall", "-o", str(target), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return target


class FaultControl:
    """The control block that all processes of one proxy map, in the file `path`."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(BLOCK_BYTES))
        self.path = path
        with path.open("r+b") as file:
            self._block = mmap.mmap(file.fileno(), BLOCK_BYTES)

    def environment(self, fault_library: Path) -> Mapping[str, str]:
        """Return the environment variables that load the library into a process."""
        return {"LD_PRELOAD": str(fault_library), "FAULT_CONTROL": str(self.path)}

    @property
    def wall_offset_s(self) -> float:
        """Offset of the process's wall clock from the true time, in seconds."""
        return STEP_HEADER.unpack_from(self._block)[0] / NS_PER_S

    def step_clock(self, seconds: float) -> None:
        """Step the process's wall clock forward or back, in addition to earlier steps."""
        offset = STEP_HEADER.unpack_from(self._block)[0]
        STEP_HEADER.pack_into(self._block, 0, offset + int(seconds * NS_PER_S), offset, time.time_ns())

    def fail(self, call: Call, value: int, times: int) -> None:
        """Make the next `times` calls of a kind fail with the errno `value`; 0 times stops the failures.

        For SHORT, `value` is the largest number of bytes that a transfer may move.
        """
        offset = STEP_HEADER.size + FAULT_ENTRY.size * call
        injected = FAULT_ENTRY.unpack_from(self._block, offset)[2]
        FAULT_ENTRY.pack_into(self._block, offset, value, times, injected)

    def injected(self, call: Call) -> int:
        """Return the number of calls of a kind that were affected so far."""
        return FAULT_ENTRY.unpack_from(self._block, STEP_HEADER.size + FAULT_ENTRY.size * call)[2]
