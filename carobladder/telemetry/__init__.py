"""Logs and metrics."""

from carobladder.telemetry import logs
from carobladder.telemetry.logs import *  # noqa: F403

__all__ = [*logs.__all__]
