"""HTTP/1.1 server for callers and operators."""

import asyncio
import random
import socket

from carobladder.clock import Clock
from carobladder.gateway.connections import CallerConnection, Serving
from carobladder.gateway.ports import Handler
from carobladder.gateway.requests import RequestLimits
from carobladder.telemetry import GatewayMetrics

__all__ = ["GatewayServer"]

_BACKLOG = 1024
# A caller that has just connected, or is just sending, is still answered.
_IDLE_GRACE_SECONDS = 0.5


class GatewayServer:
    """Listen for callers and hand each request to the handler."""

    def __init__(
        self,
        handler: Handler,
        limits: RequestLimits,
        clock: Clock,
        metrics: GatewayMetrics,
        generator: random.Random,
        *,
        labels_answers: bool = True,
    ) -> None:
        self._serving = Serving(
            handler, limits, clock, metrics, generator, labels_answers
        )
        self._serving.empty.set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def set_limits(self, limits: RequestLimits) -> None:
        """Use other limits for the requests that come from now on."""
        self._serving.limits = limits

    async def start(self, address: str) -> None:
        """Listen at IP:PORT; port 0 takes a free one."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connect, host.strip("[]"), int(port), backlog=_BACKLOG
        )

    async def start_on(self, listener: socket.socket) -> None:
        """Take the connections of a socket that listens already."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connect, sock=listener, backlog=_BACKLOG
        )

    def _connect(self) -> CallerConnection:
        return CallerConnection(self._serving)

    def begin_drain(self) -> None:
        """Close connections after their present answer, but go on listening."""
        self._serving.draining = True

    async def finish_drain(self, limit_seconds: float) -> bool:
        """Stop listening and wait for the answers; tell whether all were finished."""
        self._serving.draining = True
        if self._server is not None:
            self._server.close()
        loop = asyncio.get_running_loop()
        for connection in list(self._serving.connections):
            loop.call_later(_IDLE_GRACE_SECONDS, connection.close_if_idle)
        try:
            async with asyncio.timeout(limit_seconds):
                await self._serving.empty.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._serving.connections):
            connection.abort()
        await self._serving.empty.wait()
