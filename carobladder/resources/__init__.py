"""Operator resources, configuration state machine and watches."""

from carobladder.resources import (
    catalog,
    directory,
    models,
    moves,
    reader,
    records,
    scan,
    snapshots,
    watches,
)
from carobladder.resources.catalog import *  # noqa: F403
from carobladder.resources.directory import *  # noqa: F403
from carobladder.resources.models import *  # noqa: F403
from carobladder.resources.moves import *  # noqa: F403
from carobladder.resources.reader import *  # noqa: F403
from carobladder.resources.records import *  # noqa: F403
from carobladder.resources.scan import *  # noqa: F403
from carobladder.resources.snapshots import *  # noqa: F403
from carobladder.resources.watches import *  # noqa: F403

__all__ = [
    *catalog.__all__,
    *directory.__all__,
    *models.__all__,
    *moves.__all__,
    *reader.__all__,
    *records.__all__,
    *scan.__all__,
    *snapshots.__all__,
    *watches.__all__,
]
