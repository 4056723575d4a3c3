"""Processor time and memory of processes, read from /proc."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "read_load_average", "read_usage"]

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_CLOCK_PID_SHIFT = 3
_CLOCK_SCHED = 2
_TICK_SECONDS = 1 / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Usage:
    """State the processor seconds of all threads and the resident bytes.

    ``cpu_seconds`` is exact to nanoseconds, its split into user and kernel time
    only to clock ticks.
    """

    cpu_seconds: float
    user_seconds: float
    kernel_seconds: float
    resident_bytes: int

    def since(self, earlier: "Usage") -> "Usage":
        """Return the times since an earlier reading and the present memory."""
        return Usage(
            self.cpu_seconds - earlier.cpu_seconds,
            self.user_seconds - earlier.user_seconds,
            self.kernel_seconds - earlier.kernel_seconds,
            self.resident_bytes,
        )


def read_usage(pid: int) -> Usage:
    """Return the usage of a running process."""
    root = Path(f"/proc/{pid}")
    # The command name may hold spaces, so fields are counted after its bracket.
    fields = (root / "stat").read_text().rpartition(")")[2].split()
    resident_pages = int((root / "statm").read_text().split()[1])
    return Usage(
        time.clock_gettime(_clock_of(pid)),
        int(fields[11]) * _TICK_SECONDS,
        int(fields[12]) * _TICK_SECONDS,
        resident_pages * _PAGE_BYTES,
    )


def _clock_of(pid: int) -> int:
    # The encoding of clock_getcpuclockid(3), which Python offers for threads only.
    return ~pid << _CLOCK_PID_SHIFT | _CLOCK_SCHED


def read_load_average() -> str:
    """Return the load averages of 1, 5 and 15 minutes as text."""
    return " ".join(f"{value:.1f}" for value in os.getloadavg())
