"""Run the command line of carobladder and tell its TCP bytes on a signal.

SIGUSR2 writes, as JSON to the file that the variable CAPACITY_BYTES_DIRECTORY
and the process id name, the payload bytes that each open TCP connection has sent
and received, as the kernel counts them.
"""

import json
import os
import signal
import socket
import struct
from pathlib import Path

from carobladder.cli import main as run_command

__all__ = ["DIRECTORY_VARIABLE", "name_file", "read_connections"]

DIRECTORY_VARIABLE = "CAPACITY_BYTES_DIRECTORY"
# Offsets of tcpi_bytes_acked and tcpi_bytes_received in struct tcp_info.
_BYTES_OFFSET = 120
_INFO_BYTES = 136


def name_file(directory: Path, pid: int) -> Path:
    """Return the file of a process."""
    return directory / f"bytes-{pid}.json"


def read_connections() -> list[dict[str, object]]:
    """Return local and remote address and byte counts of each open connection."""
    connections = []
    for name in os.listdir("/proc/self/fd"):
        try:
            with socket.socket(fileno=os.dup(int(name))) as copy:
                connections.append(_describe(copy))
        except OSError:
            # Not a socket, not connected, or closed meanwhile.
            continue
    return connections


def _describe(connection: socket.socket) -> dict[str, object]:
    if connection.family != socket.AF_INET:
        raise OSError("not a TCP connection")
    remote = connection.getpeername()
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    sent, received = struct.unpack_from("QQ", info, _BYTES_OFFSET)
    local = connection.getsockname()
    return {
        "local": f"{local[0]}:{local[1]}",
        "remote": f"{remote[0]}:{remote[1]}",
        "sent": sent,
        "received": received,
    }


def _write(*_: object) -> None:
    path = name_file(Path(os.environ[DIRECTORY_VARIABLE]), os.getpid())
    part = path.with_suffix(".part")
    part.write_text(json.dumps(read_connections()))
    part.rename(path)


def main() -> None:
    """Install the signal handler, then run the command line."""
    signal.signal(signal.SIGUSR2, _write)
    run_command()


if __name__ == "__main__":
    main()
