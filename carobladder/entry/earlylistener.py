"""Listener for callers that connect while the program loads, for a bounded time.

Only the standard library is imported here. The kernel accepts connections for an open
listener whether or not anybody reads them, so it must not stay open for long unread.
"""

import os
import select
import socket
import threading
import time
import tomllib
from contextlib import suppress

from carobladder.gateway.listeners import accept_waiting, open_listener

__all__ = ["EarlyListener"]

# Duplicated from settings.entry, whose imports go beyond the standard library.
_SETTINGS_VARIABLE = "CAROBLADDER_SETTINGS"
# Callers wait this long for a start; those of a slow one are better served elsewhere.
_MAX_WAIT_SECONDS = 0.6
# Time in which callers read their refusals. Closing with unread bytes would reset the
# connection and lose the refusal.
_LINGER_SECONDS = 0.2
_READ_BYTES = 65_536
_BODY = b'{"error":"starting","message":"the instance is starting"}'
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Retry-After: 0.5\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
) % (len(_BODY), _BODY)


class EarlyListener:
    """Listener at the address in the settings file, if it is usable.

    Callers that it has kept waiting for too long are refused, and it is closed. Faults
    in the settings are reported later, when they are loaded and checked.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listener = _open_at_settings()
        self._timer = threading.Timer(_MAX_WAIT_SECONDS, self.refuse)
        self._timer.daemon = True
        self._timer.start()

    def take(self) -> socket.socket | None:
        """Return the listener for good, or None if it has been closed."""
        self._timer.cancel()
        with self._lock:
            listener, self._listener = self._listener, None
        return listener

    def end(self) -> None:
        """Refuse the callers that wait, and return once they have been refused."""
        self.refuse()
        self._timer.join(_LINGER_SECONDS)

    def refuse(self) -> None:
        """Refuse the callers that wait, and close the listener."""
        listener = self.take()
        if listener is None:
            return
        listener.setblocking(False)
        waiting = accept_waiting(listener)
        listener.close()
        _refuse_all(waiting)


def _open_at_settings() -> socket.socket | None:
    with suppress(OSError, ValueError, KeyError, AttributeError):
        with open(os.environ[_SETTINGS_VARIABLE], "rb") as file:
            settings = tomllib.load(file)
        return open_listener(settings["listen"])
    return None


def _refuse_all(callers: list[socket.socket]) -> None:
    """Refuse the requests of callers, and close each connection once its caller has.

    One that sends none meanwhile is closed without an answer.
    """
    poll = select.poll()
    waiting = {caller.fileno(): caller for caller in callers}
    for number in waiting:
        poll.register(number, select.POLLIN)
    refused: set[int] = set()
    ends_at = time.monotonic() + _LINGER_SECONDS
    while waiting and (left := ends_at - time.monotonic()) > 0.0:
        for number, _ in poll.poll(left * 1000):
            if not _handle_bytes(waiting[number], number in refused):
                poll.unregister(number)
                waiting.pop(number).close()
            refused.add(number)
    for caller in waiting.values():
        caller.close()


def _handle_bytes(caller: socket.socket, is_refused: bool) -> bool:
    """Refuse the first bytes and discard others; return False at the end."""
    try:
        has_bytes = bool(caller.recv(_READ_BYTES))
        if has_bytes and not is_refused:
            caller.send(_REFUSAL)
            caller.shutdown(socket.SHUT_WR)
    except OSError:
        return False
    return has_bytes
