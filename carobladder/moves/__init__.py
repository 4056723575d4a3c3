"""Version moves and data centre moves."""

from carobladder.moves import (
    datacentres,
    drivers,
    evidence,
    records,
    switches,
    versions,
)
from carobladder.moves.datacentres import *  # noqa: F403
from carobladder.moves.drivers import *  # noqa: F403
from carobladder.moves.evidence import *  # noqa: F403
from carobladder.moves.records import *  # noqa: F403
from carobladder.moves.switches import *  # noqa: F403
from carobladder.moves.versions import *  # noqa: F403

__all__ = [
    *datacentres.__all__,
    *drivers.__all__,
    *evidence.__all__,
    *records.__all__,
    *switches.__all__,
    *versions.__all__,
]
