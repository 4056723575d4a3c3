"""Ends of responses whose content is complete already."""

import asyncio
from collections.abc import Callable

from carobladder.clients.connection import ClientConnection
from carobladder.exceptions import ConnectionBrokenError

__all__ = ["AnswerEnds"]

# A sound server may be silent for about a second.
_END_TIMEOUT_SECONDS = 2.0
_MAX_AWAITED_ENDS = 64


class AnswerEnds:
    """Connections of a client whose responses lack nothing but their end.

    No request waits for these ends. A connection is passed to ``release`` if its
    response ends in time and without more content, and is closed otherwise.
    """

    def __init__(self, release: Callable[[ClientConnection], None]) -> None:
        self._release = release
        self._awaited: dict[asyncio.Task[None], ClientConnection] = {}

    def add(self, connection: ClientConnection) -> None:
        """Wait for the end of a response, or close the connection if too many do."""
        if len(self._awaited) >= _MAX_AWAITED_ENDS:
            connection.abort()
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._read_end(connection))
        self._awaited[task] = connection
        task.add_done_callback(self._awaited.pop)

    def close(self) -> None:
        """Close the connections."""
        for task, connection in self._awaited.items():
            task.cancel()
            connection.abort()

    async def _read_end(self, connection: ClientConnection) -> None:
        try:
            content = await connection.read_data(_END_TIMEOUT_SECONDS)
        except ConnectionBrokenError:
            # The caller has the whole content, so only the connection is lost.
            connection.abort()
            return
        if content:
            connection.abort()
        else:
            self._release(connection)
