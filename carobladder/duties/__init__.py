"""Duties that one instance performs at a time: usage reports and numbers of targets."""

from carobladder.duties import lease, records
from carobladder.duties.lease import *  # noqa: F403
from carobladder.duties.records import *  # noqa: F403

__all__ = [
    *lease.__all__,
    *records.__all__,
]
