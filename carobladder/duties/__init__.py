"""Duties that one instance performs at a time: usage reports and numbers of targets."""

from carobladder.duties import (
    calls,
    collection,
    demand,
    election,
    lease,
    records,
    scaling,
    windows,
)
from carobladder.duties.calls import *  # noqa: F403
from carobladder.duties.collection import *  # noqa: F403
from carobladder.duties.demand import *  # noqa: F403
from carobladder.duties.election import *  # noqa: F403
from carobladder.duties.lease import *  # noqa: F403
from carobladder.duties.records import *  # noqa: F403
from carobladder.duties.scaling import *  # noqa: F403
from carobladder.duties.windows import *  # noqa: F403

__all__ = [
    *calls.__all__,
    *collection.__all__,
    *demand.__all__,
    *election.__all__,
    *lease.__all__,
    *records.__all__,
    *scaling.__all__,
    *windows.__all__,
]
