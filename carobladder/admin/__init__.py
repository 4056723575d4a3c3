"""Operator interface and its client."""

from carobladder.admin import api, submission
from carobladder.admin.api import *  # noqa: F403
from carobladder.admin.submission import *  # noqa: F403

__all__ = [*api.__all__, *submission.__all__]
