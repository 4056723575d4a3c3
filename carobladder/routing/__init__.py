"""Routes, services and teams of the current configuration."""

from carobladder.routing import configuration, table
from carobladder.routing.configuration import *  # noqa: F403
from carobladder.routing.table import *  # noqa: F403

__all__ = [*configuration.__all__, *table.__all__]
