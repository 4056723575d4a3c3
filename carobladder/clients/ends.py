"""Ends of responses whose content is complete already."""

from collections.abc import Callable

from carobladder.clients.connection import ClientConnection
from carobladder.clients.tasks import ConnectionTasks
from carobladder.exceptions import ConnectionBrokenError

__all__ = ["AnswerEnds"]

# A sound server may be silent for about a second.
_END_TIMEOUT_SECONDS = 2.0


class AnswerEnds:
    """Connections of a client whose responses lack nothing but their end.

    No request waits for these ends. A connection is passed to ``release`` if its
    response ends in time and without more content, and is closed otherwise.
    """

    def __init__(self, release: Callable[[ClientConnection], None]) -> None:
        self._release = release
        self._tasks = ConnectionTasks(self._read_end)

    def add(self, connection: ClientConnection) -> None:
        """Wait for the end of a response, or close the connection if too many do."""
        self._tasks.start(connection)

    def close(self) -> None:
        """Close the connections."""
        self._tasks.close()

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
