"""Acceptance of callers' connections by the event loop."""

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress

__all__ = ["Acceptor"]

# Connections that are accepted before other events of the loop get their turn.
_BATCH_CONNECTIONS = 64
# Time until the next try after an error that is not the caller's. The listener would
# wake the event loop again at once.
_PAUSE_SECONDS = 0.1


class Acceptor:
    """Reader of a listener that passes on each connection that it accepts.

    One file descriptor is kept in reserve. When no other one is left, a caller is
    accepted with it and its connection is closed at once, so that the caller can go
    elsewhere. It would be connected without an answer in the accept queue.
    """

    def __init__(
        self,
        listener: socket.socket,
        on_accepted: Callable[[socket.socket], None],
        on_refused: Callable[[], None],
    ) -> None:
        self._listener = listener
        self._on_accepted = on_accepted
        self._on_refused = on_refused
        self._reserve: int | None = None
        self._resume: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Accept connections from now on."""
        self._listener.setblocking(False)
        self._fill_reserve()
        self._add_reader()

    def stop(self) -> None:
        """Leave further connections in the accept queue; do nothing if stopped."""
        if self._resume is not None:
            self._resume.cancel()
            self._resume = None
        if self._listener.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._listener)
        self._free_reserve()

    def _add_reader(self) -> None:
        self._resume = None
        asyncio.get_running_loop().add_reader(self._listener, self._accept_batch)

    def _accept_batch(self) -> None:
        for _ in range(_BATCH_CONNECTIONS):
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                # The first connection of the queue was reset by its caller.
                continue
            except OSError:
                if self._refuse_next():
                    continue
                self._pause()
                return
            sock.setblocking(False)
            self._fill_reserve()
            self._on_accepted(sock)

    def _refuse_next(self) -> bool:
        """Refuse the next caller with the descriptor in reserve, if there is one."""
        if self._reserve is None:
            return False
        self._free_reserve()
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return False
        finally:
            self._fill_reserve()
        sock.close()
        # The descriptor of the caller is free only now.
        self._fill_reserve()
        self._on_refused()
        return True

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        self._fill_reserve()
        self._resume = loop.call_later(_PAUSE_SECONDS, self._add_reader)

    def _fill_reserve(self) -> None:
        if self._reserve is None:
            with suppress(OSError):
                self._reserve = os.open(os.devnull, os.O_RDONLY)

    def _free_reserve(self) -> None:
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None
