"""Time for which a stream may pause before it goes on at another target."""

from carobladder.routing import Route

__all__ = ["compute_max_pause"]

# Callers leave a stream after the longest of these pauses: a number of seconds, and
# multiples of the route's latency objective and of its longest gap.
_CALLER_PATIENCE_SECONDS = 2.0
_CALLER_PATIENCE_OBJECTIVES = 4.0
_CALLER_PATIENCE_GAPS = 8.0
# Part of that time in which another target must send the next event.
_RESUME_SECONDS = 0.4


def compute_max_pause(route: Route) -> float:
    """Return the seconds after which a silent stream goes on at another target.

    A sound target may pause, so it gets all the time that its caller waits, except what
    the other target needs.
    """
    patience = max(
        _CALLER_PATIENCE_SECONDS,
        _CALLER_PATIENCE_OBJECTIVES * route.latency_objective_seconds,
        _CALLER_PATIENCE_GAPS * route.max_event_gap_seconds,
    )
    return patience - _RESUME_SECONDS
