"""HTTP/1.1 server for callers and operators."""

import asyncio
import random
import socket
from contextlib import suppress

from carobladder.clock import Clock
from carobladder.gateway.connections import CallerConnection
from carobladder.gateway.endings import count_waiting_connections
from carobladder.gateway.ports import Handler
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.serverstate import ServerState
from carobladder.telemetry import GatewayMetrics, ListenerClosed, emit

__all__ = ["GatewayServer"]

_BACKLOG = 1024
# Delay before a drain closes idle connections, so that a caller that has just connected
# or is sending a request still gets a response.
_IDLE_GRACE_SECONDS = 0.5
# Time for the error responses to requests that are cancelled at the end of a drain.
_END_SECONDS = 0.3


class GatewayServer:
    """HTTP server that passes the requests of callers to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: RequestLimits,
        clock: Clock,
        metrics: GatewayMetrics,
        generator: random.Random,
        *,
        adds_request_id: bool = True,
    ) -> None:
        self._state = ServerState(
            handler, limits, clock, metrics, generator, adds_request_id
        )
        self._state.no_connections.set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def set_limits(self, limits: RequestLimits) -> None:
        """Set the limits for future requests."""
        self._state.limits = limits

    async def start(self, address: str) -> None:
        """Listen at IP:PORT; port 0 selects a free port."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, host.strip("[]"), int(port), backlog=_BACKLOG
        )

    async def start_on_socket(self, listener: socket.socket) -> None:
        """Accept connections on a socket that is already listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, sock=listener, backlog=_BACKLOG
        )

    def _create_connection(self) -> CallerConnection:
        return CallerConnection(self._state)

    def begin_drain(self) -> None:
        """Close connections after their current response, but keep listening."""
        self._state.draining = True

    async def finish_drain(self, limit_seconds: float) -> bool:
        """Stop listening and wait until all connections are closed.

        Returns whether this happened within ``limit_seconds``. Requests that are
        complete only after the connections without one were closed are marked as late.
        Requests without a response at the end are cancelled.
        """
        self._state.draining = True
        self._stop_listening()
        loop = asyncio.get_running_loop()
        for connection in list(self._state.connections):
            loop.call_later(_IDLE_GRACE_SECONDS, connection.close_if_idle)
        loop.call_later(_IDLE_GRACE_SECONDS, self._refuse_requests)
        try:
            async with asyncio.timeout(limit_seconds):
                await self._state.no_connections.wait()
        except TimeoutError:
            await self._end_requests()
            return False
        return True

    def _refuse_requests(self) -> None:
        self._state.refuses = True

    def _stop_listening(self) -> None:
        if self._server is None or not self._server.is_serving():
            return
        (listener,) = self._server.sockets
        waiting = count_waiting_connections(listener)
        self._server.close()
        emit(ListenerClosed(waiting))

    async def _end_requests(self) -> None:
        """Cancel the requests and leave their handlers a moment for an error."""
        self._state.ended = True
        for connection in list(self._state.connections):
            connection.end_request()
        with suppress(TimeoutError):
            async with asyncio.timeout(_END_SECONDS):
                await self._state.no_connections.wait()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.abort()
        await self._state.no_connections.wait()
