"""The operator platform's API for usage and numbers of servers, by its protocol."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

__all__ = ["CloudAnswer", "CloudCall", "CloudState"]

_HOLDER_HEADER = "carobladder-duty-holder"
_TOKEN_HEADER = "carobladder-fencing-token"
_USAGE_SUBJECT = "usage"


@dataclass(frozen=True, slots=True)
class CloudAnswer:
    """Carry the answer of the API."""

    status: int
    body: bytes = b"{}"


@dataclass(frozen=True, slots=True)
class CloudCall:
    """Remember a call that was executed, in order."""

    at: float
    holder: str
    token: int
    subject: str
    document: dict[str, object]


@dataclass(slots=True)
class _Subject:
    highest: int = 0
    holders: dict[int, str] = field(default_factory=dict)


class CloudState:
    """Check fencing tokens and keep usage and orders; each call returns at once.

    Lower tokens than one already seen get 409 if ``is_enforced``. More than
    ``calls_per_second`` calls in a second get 429. ``violations`` tells of two holders
    with one token and of two different counts for one window.
    """

    def __init__(
        self,
        monotonic: Callable[[], float],
        *,
        calls_per_second: int = 50,
        is_enforced: bool = True,
    ) -> None:
        self.calls: list[CloudCall] = []
        self.usage: dict[int, dict[str, int]] = {}
        self.desired: dict[tuple[str, str], int] = {}
        self.violations: list[str] = []
        # Status that the next calls get without being executed, None for none.
        self.refuse_status: int | None = None
        self._monotonic = monotonic
        self._calls_per_second = calls_per_second
        self._is_enforced = is_enforced
        self._subjects: dict[str, _Subject] = {}
        self._arrivals: list[float] = []

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> CloudAnswer:
        """Execute one call; header names are lower case."""
        if method != "POST" or path not in ("/usage", "/scale"):
            return CloudAnswer(404)
        if self.refuse_status is not None:
            return CloudAnswer(self.refuse_status)
        if not self._admit():
            return CloudAnswer(429)
        try:
            document = json.loads(body)
            holder, token = headers[_HOLDER_HEADER], int(headers[_TOKEN_HEADER])
            subject = self._find_subject(path, document)
        except (KeyError, ValueError):
            return CloudAnswer(400)
        if not self._check_token(subject, holder, token):
            return CloudAnswer(409)
        self.calls.append(
            CloudCall(self._monotonic(), holder, token, subject, document)
        )
        if path == "/usage":
            self._take_usage(document)
        else:
            key = document["service"], document["zone"]
            self.desired[key] = int(document["desiredCount"])
        return CloudAnswer(200)

    def _admit(self) -> bool:
        now = self._monotonic()
        self._arrivals = [at for at in self._arrivals if now - at < 1.0]
        self._arrivals.append(now)
        return len(self._arrivals) <= self._calls_per_second

    def _find_subject(self, path: str, document: dict[str, object]) -> str:
        if path == "/usage":
            int(str(document["windowId"]))
            return _USAGE_SUBJECT
        int(str(document["desiredCount"]))
        return f"scale/{document['service']}/{document['zone']}"

    def _check_token(self, name: str, holder: str, token: int) -> bool:
        subject = self._subjects.setdefault(name, _Subject())
        if subject.holders.setdefault(token, holder) != holder:
            self.violations.append(f"{name}: two holders with token {token}")
        if token < subject.highest:
            self.violations.append(f"{name}: token {token} after {subject.highest}")
            return not self._is_enforced
        subject.highest = token
        return True

    def _take_usage(self, document: dict[str, object]) -> None:
        window = int(str(document["windowId"]))
        counts = document["counts"]
        assert isinstance(counts, dict)
        if self.usage.setdefault(window, counts) != counts:
            self.violations.append(f"window {window}: two different counts")
