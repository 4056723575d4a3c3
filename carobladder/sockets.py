"""Sizes of the queues that the kernel keeps for sockets."""

import array
import fcntl
import socket

__all__ = ["read_queue_size"]


def read_queue_size(sock: socket.socket, request: int) -> int | None:
    """Return the size of a queue in bytes, or None if the socket is closed.

    ``request`` is termios.FIONREAD for received bytes and termios.TIOCOUTQ for those
    that the peer's kernel has not acknowledged.
    """
    size = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), request, size)
    except (OSError, ValueError):
        return None
    return size[0]
