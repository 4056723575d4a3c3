"""Bodies of requests that servers have answered before they took the whole body."""

import asyncio
import termios

from carobladder.clients.connection import ClientConnection
from carobladder.clients.tasks import ConnectionTasks
from carobladder.sockets import read_queue_size

__all__ = ["UnsentBodies", "count_unsent_bytes"]

_POLL_SECONDS = 0.05
_MAX_POLLS = 200
_MAX_UNSENT_BYTES = 16_777_216


class UnsentBodies:
    """Connections of a client whose requests are answered but not sent as a whole.

    The server may read the rest of the body later, so another request would wait behind
    it. A connection is closed once the server has taken the rest, or earlier if that
    takes too long or too many bytes are left.
    """

    def __init__(self) -> None:
        self._tasks = ConnectionTasks(self._send_rest)

    def add(self, connection: ClientConnection) -> None:
        """Send the rest of a body and close the connection."""
        unsent_bytes = sum(map(count_unsent_bytes, self._tasks.connections))
        if unsent_bytes + count_unsent_bytes(connection) > _MAX_UNSENT_BYTES:
            connection.abort()
        else:
            self._tasks.start(connection)

    def close(self) -> None:
        """Close the connections, whatever is unsent."""
        self._tasks.close()

    async def _send_rest(self, connection: ClientConnection) -> None:
        for _ in range(_MAX_POLLS):
            if not count_unsent_bytes(connection):
                connection.close()
                return
            await asyncio.sleep(_POLL_SECONDS)
        connection.abort()


def count_unsent_bytes(connection: ClientConnection) -> int:
    """Return the number of written bytes that the server's kernel has not taken.

    The number is 0 for a closed connection.
    """
    transport = connection.transport
    if transport is None or not connection.usable:
        return 0
    in_socket = read_queue_size(transport.get_extra_info("socket"), termios.TIOCOUTQ)
    if in_socket is None:
        return 0
    return transport.get_write_buffer_size() + in_socket
