"""Caller interface."""

from carobladder.gateway import (
    attempts,
    chats,
    connections,
    ports,
    problems,
    relay,
    requests,
    router,
    server,
    services,
)
from carobladder.gateway.attempts import *  # noqa: F403
from carobladder.gateway.chats import *  # noqa: F403
from carobladder.gateway.connections import *  # noqa: F403
from carobladder.gateway.ports import *  # noqa: F403
from carobladder.gateway.problems import *  # noqa: F403
from carobladder.gateway.relay import *  # noqa: F403
from carobladder.gateway.requests import *  # noqa: F403
from carobladder.gateway.router import *  # noqa: F403
from carobladder.gateway.server import *  # noqa: F403
from carobladder.gateway.services import *  # noqa: F403

__all__ = [
    *attempts.__all__,
    *chats.__all__,
    *connections.__all__,
    *ports.__all__,
    *problems.__all__,
    *relay.__all__,
    *requests.__all__,
    *router.__all__,
    *server.__all__,
    *services.__all__,
]
