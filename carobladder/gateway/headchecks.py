"""Refusal of requests whose heads decide it, before their bodies are read."""

from typing import NoReturn

import h11

from carobladder.exceptions import CallerError, CarobladderError
from carobladder.gateway.ports import Request
from carobladder.gateway.requests import build_request
from carobladder.gateway.serverstate import ServerState

__all__ = ["SHORT_BODY_BYTES", "HeadCheck", "HeadRefusedError", "read_declared_length"]

# A body up to this length is read before a refusal, so that its connection can be kept,
# and beside any number of long ones.
SHORT_BODY_BYTES = 65_536


class HeadRefusedError(CarobladderError):
    """Report a request that is refused before its body is read."""

    def __init__(self, request: Request, error: CallerError) -> None:
        super().__init__(error.message)
        self.request = request
        self.error = error


class HeadCheck:
    """Check of one request by its head; ``received`` is in monotonic seconds."""

    def __init__(
        self, state: ServerState, head: h11.Request, request_id: str, received: float
    ) -> None:
        self._state = state
        self._head = head
        self._request_id = request_id
        self._received = received
        self._done = False

    def run(self) -> None:
        """Raise HeadRefusedError if the handler refuses the head; ask it once."""
        handler = self._state.head_handler
        if handler is None or self._done:
            return
        self._done = True
        request = self._build_request()
        try:
            handler.check_head(request)
        except CallerError as error:
            raise HeadRefusedError(request, error) from None

    def refuse(self, error: CallerError) -> NoReturn:
        """Raise HeadRefusedError with an error, or the error if no handler sends it."""
        if self._state.head_handler is None:
            raise error
        raise HeadRefusedError(self._build_request(), error)

    def _build_request(self) -> Request:
        return build_request(
            self._head,
            b"",
            self._request_id,
            self._received,
            server_end=self._state.end,
        )


def read_declared_length(head: h11.Request) -> int:
    """Return the length of the body in bytes, 0 if the head does not declare it."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0
