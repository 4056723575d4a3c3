"""Interface of the HTTP client that the platform's clients consume."""

from dataclasses import dataclass
from typing import Protocol

from carobladder.headers import Headers

__all__ = ["HttpAnswer", "HttpFetcher"]


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Carry a whole HTTP answer; header names are lower case."""

    status: int
    headers: Headers
    body: bytes


class HttpFetcher(Protocol):
    """Send one request and return the whole answer."""

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
        """Return the answer of the server at IP:PORT.

        Raises ConnectionBrokenError; ``request_written`` tells whether any byte
        of the request may have arrived. A time-out raises the same error.
        """
