"""Choose the target of a request."""

from carobladder.placement import keys, policy, rendezvous, tokens
from carobladder.placement.keys import *  # noqa: F403
from carobladder.placement.policy import *  # noqa: F403
from carobladder.placement.rendezvous import *  # noqa: F403
from carobladder.placement.tokens import *  # noqa: F403

__all__ = [
    *keys.__all__,
    *policy.__all__,
    *rendezvous.__all__,
    *tokens.__all__,
]
