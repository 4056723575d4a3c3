"""Free ports on the loopback address."""

import os
import socket

__all__ = ["HOST", "PortPicker"]

HOST = "127.0.0.1"

# The range lies below the ports that the system gives to outgoing connections, so a
# connection made after the check cannot take a port before its server binds it.
_FIRST_PORT = 12_000
_LAST_PORT = 31_999


class PortPicker:
    """Give each port once; processes that run at the same time start apart."""

    def __init__(self, start: int | None = None) -> None:
        size = _LAST_PORT - _FIRST_PORT + 1
        offset = os.getpid() * 97 if start is None else start - _FIRST_PORT
        self._next = offset % size
        self._left = size

    def pick(self) -> str:
        """Return IP:PORT of a free port; raises RuntimeError if there is none."""
        size = _LAST_PORT - _FIRST_PORT + 1
        while self._left:
            port = _FIRST_PORT + self._next
            self._next = (self._next + 1) % size
            self._left -= 1
            if _is_free(port):
                return f"{HOST}:{port}"
        raise RuntimeError("no free port on the loopback address; stop other servers")


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
