"""Logs and metrics."""

from carobladder.telemetry import logs, metrics
from carobladder.telemetry.logs import *  # noqa: F403
from carobladder.telemetry.metrics import *  # noqa: F403

__all__ = [*logs.__all__, *metrics.__all__]
