"""Times of a planned stop."""

import math

__all__ = [
    "DRAIN_NOTICE_SECONDS",
    "KEEP_ALIVE_SECONDS",
    "NOTICE_MARGIN_SECONDS",
    "SHUTDOWN_MARGIN_SECONDS",
]

# The load balancer notices a failed readiness check within this time.
DRAIN_NOTICE_SECONDS = 2.4
# Time after the notice until idle connections are closed, and requests that may outlast
# the instance are refused.
NOTICE_MARGIN_SECONDS = 0.5
# Announced to callers. From the end signal on, responses close their connections, so an
# idle connection that a drain closes is one that its caller does not use any more.
KEEP_ALIVE_SECONDS = math.floor(DRAIN_NOTICE_SECONDS)
# Part of the grace time that is reserved for the shutdown itself.
SHUTDOWN_MARGIN_SECONDS = 0.6
