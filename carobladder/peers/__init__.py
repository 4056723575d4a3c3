"""Messages and transport between instances."""

from carobladder.peers import (
    coordination,
    exchange,
    links,
    messages,
    ownerside,
    transport,
)
from carobladder.peers.coordination import *  # noqa: F403
from carobladder.peers.exchange import *  # noqa: F403
from carobladder.peers.links import *  # noqa: F403
from carobladder.peers.messages import *  # noqa: F403
from carobladder.peers.ownerside import *  # noqa: F403
from carobladder.peers.transport import *  # noqa: F403

__all__ = [
    *coordination.__all__,
    *exchange.__all__,
    *links.__all__,
    *messages.__all__,
    *ownerside.__all__,
    *transport.__all__,
]
