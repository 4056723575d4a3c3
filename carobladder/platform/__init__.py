"""Wire names, document formats and store client of the operator platform."""

from carobladder.platform import cloudapi, documents, exchanges, frames, names, store
from carobladder.platform.cloudapi import *  # noqa: F403
from carobladder.platform.documents import *  # noqa: F403
from carobladder.platform.exchanges import *  # noqa: F403
from carobladder.platform.frames import *  # noqa: F403
from carobladder.platform.names import *  # noqa: F403
from carobladder.platform.store import *  # noqa: F403

__all__ = [
    *cloudapi.__all__,
    *documents.__all__,
    *exchanges.__all__,
    *frames.__all__,
    *names.__all__,
    *store.__all__,
]
