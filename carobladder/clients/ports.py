"""Interface of the HTTP client that the other clients depend on."""

from dataclasses import dataclass
from typing import Protocol

from carobladder.headers import Headers

__all__ = ["HttpAnswer", "HttpFetcher"]


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Whole HTTP response; header names are lower case.

    ``body_seconds`` is the time from the arrival of the headers to the end.
    """

    status: int
    headers: Headers
    body: bytes
    body_seconds: float = 0.0


class HttpFetcher(Protocol):
    """HTTP client that reads whole responses into memory."""

    async def fetch(
        self,
        method: str,
        address: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_seconds: float,
    ) -> HttpAnswer:
        """Send one request to the server at IP:PORT and return its response.

        Raises ConnectionBrokenError, also on a timeout; its ``request_written`` is
        true if any byte of the request may have arrived.
        """
