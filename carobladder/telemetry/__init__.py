"""Log events and Prometheus metrics."""

from carobladder.telemetry import duties, events, forwarding, logs, metrics
from carobladder.telemetry.duties import *  # noqa: F403
from carobladder.telemetry.events.base import *  # noqa: F403
from carobladder.telemetry.events.duties import *  # noqa: F403
from carobladder.telemetry.events.instance import *  # noqa: F403
from carobladder.telemetry.events.operators import *  # noqa: F403
from carobladder.telemetry.events.requests import *  # noqa: F403
from carobladder.telemetry.events.targets import *  # noqa: F403
from carobladder.telemetry.forwarding import *  # noqa: F403
from carobladder.telemetry.logs import *  # noqa: F403
from carobladder.telemetry.metrics import *  # noqa: F403

__all__ = [
    *duties.__all__,
    *events.__all__,
    *forwarding.__all__,
    *logs.__all__,
    *metrics.__all__,
]
