"""State and settings that the connections of a server share."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Protocol

from carobladder.clock import Clock
from carobladder.gateway.bodymemory import BodyMemory
from carobladder.gateway.loopholds import LoopHolds
from carobladder.gateway.ports import Handler, HeadHandler, ServerEnd
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.sendmemory import SendMemory
from carobladder.memory import MemoryBudget
from carobladder.telemetry import GatewayMetrics

__all__ = ["OpenConnection", "ServerState"]


class OpenConnection(Protocol):
    """Connection of a caller as its server sees it."""

    def close_if_idle(self) -> None:
        """Close the connection if it is waiting for its next request."""

    def end_request(self) -> None:
        """Refuse the request that is being read, or cancel the one that is handled.

        The handler of a cancelled request may send an error.
        """

    def abort(self) -> None:
        """Abort the connection and cancel its request."""


@dataclass
class ServerState:
    """State and settings that the connections of a server share.

    If ``adds_request_id`` is true, the request id that the gateway created is added to
    each response. ``keep_alive_seconds`` is the longest idle time that is announced to
    callers, 0 for none. ``limits`` may be replaced while connections are open.
    ``end`` is set once the end of a drain is known; once ``ended`` is set, the time for
    responses is over.
    ``head_handler`` refuses requests before their bodies are read, if there is one.
    ``body_budget`` bounds the long bodies of all requests, if there is one.
    ``max_unsent_bytes`` bounds the answers that callers have not taken yet.
    ``holds`` watches the event loop, if requests that waited for it must be known.
    ``no_connections`` is set while no connection is open.
    """

    handler: Handler
    limits: RequestLimits
    clock: Clock
    metrics: GatewayMetrics
    generator: random.Random
    adds_request_id: bool = True
    keep_alive_seconds: int = 0
    draining: bool = False
    end: ServerEnd | None = None
    ended: bool = False
    head_handler: HeadHandler | None = None
    body_budget: MemoryBudget | None = None
    max_unsent_bytes: int | None = None
    holds: LoopHolds | None = None
    body_memory: BodyMemory = field(init=False)
    send_memory: SendMemory = field(init=False)
    connections: set["OpenConnection"] = field(default_factory=set)
    no_connections: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Share the bounds on memory between the connections."""
        self.body_memory = BodyMemory(self.body_budget, self.clock)
        self.send_memory = SendMemory(self.max_unsent_bytes, self.clock)

    @property
    def announced_idle_seconds(self) -> int:
        """Idle time in whole seconds to announce in a response, 0 for none."""
        return min(self.keep_alive_seconds, int(self.limits.idle_seconds))

    def add(self, connection: "OpenConnection") -> None:
        """Add a connection that was opened."""
        self.connections.add(connection)
        self.no_connections.clear()
        self.metrics.connections.open.inc()

    def remove(self, connection: "OpenConnection") -> None:
        """Remove a connection that was closed after its last byte was sent."""
        self.connections.discard(connection)
        self.metrics.connections.open.dec()
        if not self.connections:
            self.no_connections.set()
