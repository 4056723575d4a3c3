"""Operator resources, configuration state machine and watches."""

from carobladder.resources import catalog, directory, models, records, snapshots
from carobladder.resources.catalog import *  # noqa: F403
from carobladder.resources.directory import *  # noqa: F403
from carobladder.resources.models import *  # noqa: F403
from carobladder.resources.records import *  # noqa: F403
from carobladder.resources.snapshots import *  # noqa: F403

__all__ = [
    *catalog.__all__,
    *directory.__all__,
    *models.__all__,
    *records.__all__,
    *snapshots.__all__,
]
