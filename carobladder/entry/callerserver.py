"""Server for the callers of an instance on the operator platform."""

import random

from carobladder.clock import Clock
from carobladder.entry.draining import KEEP_ALIVE_SECONDS
from carobladder.forwarding import ForwardHandler
from carobladder.gateway.loopholds import LoopHolds
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.memory import MemoryBudget
from carobladder.routing import CallerLimits
from carobladder.telemetry import GatewayMetrics

__all__ = ["apply_caller_limits", "build_caller_server"]

# Long bodies of requests may use this part. Each is copied on its way to a target.
_BODY_DIVISOR = 8
# Answers that callers have not taken yet may use this part. The process grows by more
# than that, as freed blocks of changing sizes leave gaps.
_UNSENT_DIVISOR = 16


def build_caller_server(
    handler: ForwardHandler,
    metrics: GatewayMetrics,
    memory_bytes: int,
    clock: Clock,
    generator: random.Random,
) -> GatewayServer:
    """Build the server of a process that may use some bytes of memory."""
    return GatewayServer(
        handler,
        RequestLimits(),
        clock,
        metrics,
        generator,
        adds_request_id=False,
        keep_alive_seconds=KEEP_ALIVE_SECONDS,
        head_handler=handler,
        body_budget=MemoryBudget(memory_bytes // _BODY_DIVISOR),
        max_unsent_bytes=memory_bytes // _UNSENT_DIVISOR,
        holds=LoopHolds(clock),
    )


def apply_caller_limits(server: GatewayServer, limits: CallerLimits) -> None:
    """Put the limits of a new configuration on callers into force."""
    server.set_limits(
        RequestLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            read_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )
    )
