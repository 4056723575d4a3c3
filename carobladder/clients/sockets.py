"""Options of the sockets of a client's connections."""

import asyncio
import socket

__all__ = ["enable_keepalive"]

_KEEP_ALIVE_PROBES = 3
_MS_PER_SECOND = 1000


def enable_keepalive(transport: asyncio.Transport, seconds: float) -> None:
    """Let the kernel close a connection if the peer's kernel sends no ACKs.

    TCP_USER_TIMEOUT is ``seconds``; keep-alive probes detect an idle connection's
    failure in about the same time.
    """
    handle = transport.get_extra_info("socket")
    if handle is None:
        return
    whole_seconds = max(1, round(seconds / _KEEP_ALIVE_PROBES))
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, whole_seconds)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, whole_seconds)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES - 1)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(seconds * _MS_PER_SECOND)
    )
