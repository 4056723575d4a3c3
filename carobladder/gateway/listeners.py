"""Listening sockets for callers.

Only the standard library is imported here, as a program opens its socket before it
loads the rest.
"""

import socket

__all__ = ["BACKLOG", "accept_waiting", "open_listener"]

# Maximum number of connections in the accept queue.
BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Listen at IP:PORT; raises OSError or ValueError if that is not possible."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, int(port)), family=family, backlog=BACKLOG)
    # Accepted connections inherit this. The event loop sets it for sockets that name
    # their protocol only, and these do not.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections in the queue of a listener that does not block."""
    accepted: list[socket.socket] = []
    while True:
        try:
            sock, _ = listener.accept()
        except ConnectionAbortedError:
            # The first connection of the queue was reset by its caller.
            continue
        except OSError:
            # The queue is empty, or no descriptor is left for the others.
            return accepted
        sock.setblocking(False)
        accepted.append(sock)
