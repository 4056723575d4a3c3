"""HTTP/1.1 server for callers and operators."""

import asyncio
import random
import socket
from contextlib import suppress

from carobladder.clock import Clock
from carobladder.gateway.acceptance import Acceptor
from carobladder.gateway.connections import CallerConnection
from carobladder.gateway.listeners import accept_waiting, open_listener
from carobladder.gateway.loopholds import LoopHolds
from carobladder.gateway.ports import Handler, HeadHandler, ServerEnd
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.serverstate import OpenConnection, ServerState
from carobladder.memory import MemoryBudget
from carobladder.telemetry import GatewayMetrics, ListenerClosed, emit

__all__ = ["GatewayServer"]

# Delay before a drain closes idle connections, so that a caller that has just connected
# or is sending a request still gets a response.
_IDLE_GRACE_SECONDS = 0.5
# Event loop iterations until a connection that was just accepted is added.
_ACCEPT_ITERATIONS = 3
# Time between two looks at the accept queue at the end of a drain.
_ACCEPT_INTERVAL_SECONDS = 0.05
# Time for the error responses to requests that are cancelled at the end of a drain.
_END_SECONDS = 0.3
# Time for the refusals to callers that connected just before the listener was closed.
_LAST_SECONDS = 0.1


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
        keep_alive_seconds: int = 0,
        head_handler: HeadHandler | None = None,
        body_budget: MemoryBudget | None = None,
        max_unsent_bytes: int | None = None,
        holds: LoopHolds | None = None,
    ) -> None:
        self._state = ServerState(
            handler,
            limits,
            clock,
            metrics,
            generator,
            adds_request_id,
            keep_alive_seconds,
            head_handler=head_handler,
            body_budget=body_budget,
            max_unsent_bytes=max_unsent_bytes,
            holds=holds,
        )
        self._state.no_connections.set()
        self._metrics = metrics
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None
        self._adding: set[asyncio.Task[None]] = set()
        self._closes_idle = False
        self._taken_over_count = 0

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._listener is not None
        return int(self._listener.getsockname()[1])

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect."""
        return self._listener is not None

    def set_limits(self, limits: RequestLimits) -> None:
        """Set the limits for future requests."""
        self._state.limits = limits

    async def start(self, address: str, listener: socket.socket | None = None) -> None:
        """Listen at IP:PORT and accept connections; port 0 selects a free port.

        ``listener`` is open at the address already, if there is one.
        """
        if self._state.holds is not None:
            self._state.holds.start()
        self._listener = open_listener(address) if listener is None else listener
        self._acceptor = Acceptor(
            self._listener,
            self._add_connection,
            self._metrics.connections.count_refusal,
        )
        self._acceptor.start()

    def _add_connection(self, sock: socket.socket) -> None:
        task = asyncio.create_task(self._add_accepted([sock]))
        self._adding.add(task)
        task.add_done_callback(self._adding.discard)

    def _create_connection(self) -> CallerConnection:
        connection = CallerConnection(self._state)
        if self._closes_idle:
            self._schedule_idle_close(connection)
        return connection

    def _schedule_idle_close(self, connection: OpenConnection) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_IDLE_GRACE_SECONDS, connection.close_if_idle)

    @property
    def draining(self) -> bool:
        """Whether a drain has begun."""
        return self._state.draining

    def begin_drain(self, end: ServerEnd | None = None) -> None:
        """Close connections after their current response, but keep listening.

        ``end`` is what is known of the end already, which later requests are told.
        """
        self._state.draining = True
        self._state.end = end

    async def finish_drain(self, limit_seconds: float) -> bool:
        """Wait until all connections are closed, then stop listening.

        Returns whether this happened within ``limit_seconds``. Connections without a
        request are closed. A load balancer without a better instance still sends
        callers, so connections are accepted to the end. Requests without a response at
        the end are cancelled, and those that come meanwhile are refused.
        """
        self._state.draining = True
        self._closes_idle = True
        for connection in list(self._state.connections):
            self._schedule_idle_close(connection)
        loop = asyncio.get_running_loop()
        if self._state.end is None:
            ends_at = self._state.clock.monotonic() + limit_seconds
            loop.call_later(_IDLE_GRACE_SECONDS, self._set_end, ends_at)
        loop_ends_at = loop.time() + limit_seconds
        if await self._wait_without_connections(
            loop_ends_at
        ) and await self._stop_listening(loop_ends_at):
            return True
        await self._end_requests()
        await self._stop_accepting()
        if await self._close_listener():
            await self._wait_without_connections(loop.time() + _LAST_SECONDS)
        return False

    async def _wait_without_connections(self, ends_at: float) -> bool:
        """Return whether all connections are closed by a time of the event loop."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(ends_at):
                await self._state.no_connections.wait()
                return True
        return False

    def _set_end(self, ends_at: float) -> None:
        self._state.end = ServerEnd(ends_at, self._state.clock.monotonic())

    async def _stop_listening(self, ends_at: float) -> bool:
        """Close the listener once nobody waits and no connection is open.

        Returns whether this happened by a time of the event loop. Connections are taken
        over from the queue meanwhile.
        """
        if self._listener is None:
            return await self._wait_without_connections(ends_at)
        loop = asyncio.get_running_loop()
        await self._stop_accepting()
        while loop.time() < ends_at:
            waiting = self._take_waiting()
            await self._add_accepted(waiting)
            if not waiting and not self._state.connections:
                await self._close_listener()
                return await self._wait_without_connections(ends_at)
            until = min(ends_at, loop.time() + _ACCEPT_INTERVAL_SECONDS)
            await self._wait_without_connections(until)
        return False

    async def _stop_accepting(self) -> None:
        """Leave new connections in the accept queue, and add those accepted before."""
        if self._acceptor is not None:
            self._acceptor.stop()
        for _ in range(_ACCEPT_ITERATIONS):
            await asyncio.sleep(0)

    async def _close_listener(self) -> bool:
        """Close the listener and take over the connections in its accept queue.

        Returns whether there were any. The kernel resets what is in the queue of a
        listener that is closed.
        """
        if self._listener is None:
            return False
        waiting = self._take_waiting()
        self._end_listening()
        emit(ListenerClosed(self._taken_over_count))
        await self._add_accepted(waiting)
        return bool(waiting)

    def _end_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.stop()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _take_waiting(self) -> list[socket.socket]:
        """Accept and count the connections in the accept queue."""
        assert self._listener is not None
        accepted = accept_waiting(self._listener)
        self._taken_over_count += len(accepted)
        return accepted

    async def _add_accepted(self, accepted: list[socket.socket]) -> None:
        loop = asyncio.get_running_loop()
        for sock in accepted:
            with suppress(OSError):
                await loop.connect_accepted_socket(self._create_connection, sock)

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
        self._end_listening()
        for connection in list(self._state.connections):
            connection.abort()
        await self._state.no_connections.wait()
