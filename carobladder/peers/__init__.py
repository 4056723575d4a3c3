"""Protocol between instances: messages, state and encrypted transport."""

from carobladder.peers import (
    coordination,
    exchange,
    links,
    messages,
    ownedtargets,
    transport,
)
from carobladder.peers.coordination import *  # noqa: F403
from carobladder.peers.exchange import *  # noqa: F403
from carobladder.peers.links import *  # noqa: F403
from carobladder.peers.messages import *  # noqa: F403
from carobladder.peers.ownedtargets import *  # noqa: F403
from carobladder.peers.transport import *  # noqa: F403

__all__ = [
    *coordination.__all__,
    *exchange.__all__,
    *links.__all__,
    *messages.__all__,
    *ownedtargets.__all__,
    *transport.__all__,
]
