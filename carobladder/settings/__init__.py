"""Settings from flags and environment variables."""

from carobladder.settings import check, command, definition
from carobladder.settings.check import *  # noqa: F403
from carobladder.settings.command import *  # noqa: F403
from carobladder.settings.definition import *  # noqa: F403

__all__ = [*check.__all__, *command.__all__, *definition.__all__]
