"""Tasks that finish connections for which no request waits."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from carobladder.clients.connection import ClientConnection

__all__ = ["ConnectionTasks"]

_MAX_TASKS = 64


class ConnectionTasks:
    """Tasks of a client that each run ``finish`` for a connection.

    Their number is bounded, and they end with the client.
    """

    def __init__(
        self, finish: Callable[[ClientConnection], Coroutine[Any, Any, None]]
    ) -> None:
        self._finish = finish
        self._connections: dict[asyncio.Task[None], ClientConnection] = {}

    @property
    def connections(self) -> Iterable[ClientConnection]:
        """Connections whose tasks are running."""
        return self._connections.values()

    def start(self, connection: ClientConnection) -> None:
        """Finish a connection, or close it if there are too many tasks."""
        if len(self._connections) >= _MAX_TASKS:
            connection.abort()
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._finish(connection))
        self._connections[task] = connection
        task.add_done_callback(self._connections.pop)

    def close(self) -> None:
        """Cancel the tasks and close their connections."""
        for task, connection in self._connections.items():
            task.cancel()
            connection.abort()
