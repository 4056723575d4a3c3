"""Classes of the events that an instance logs, one line per event."""

from carobladder.telemetry.events import (
    base,
    duties,
    instance,
    operators,
    requests,
    targets,
)
from carobladder.telemetry.events.base import *  # noqa: F403
from carobladder.telemetry.events.duties import *  # noqa: F403
from carobladder.telemetry.events.instance import *  # noqa: F403
from carobladder.telemetry.events.operators import *  # noqa: F403
from carobladder.telemetry.events.requests import *  # noqa: F403
from carobladder.telemetry.events.targets import *  # noqa: F403

__all__ = [
    *base.__all__,
    *duties.__all__,
    *instance.__all__,
    *operators.__all__,
    *requests.__all__,
    *targets.__all__,
]
