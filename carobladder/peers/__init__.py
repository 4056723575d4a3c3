"""Messages and transport between instances."""

from carobladder.peers import messages
from carobladder.peers.messages import *  # noqa: F403

__all__ = [*messages.__all__]
