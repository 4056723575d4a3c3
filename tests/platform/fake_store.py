"""Store of the platform behind the HTTP client interface, with faults."""

from carobladder.clients.ports import HttpAnswer
from carobladder.exceptions import ConnectionBrokenError
from carobladder.platform.store import PlatformStore
from standins.store import StoreState


class FakeStore:
    """Answer calls at once, or fail them as the faults that are set say."""

    def __init__(self, state: StoreState | None = None) -> None:
        self.state = state or StoreState()
        self.status: int | None = None
        self.silent = False
        self.lose_answers = 0
        self.cut_bytes = 0
        self.calls: list[tuple[str, str, float]] = []
        self.client = PlatformStore(self, "127.0.0.1:1", 0.8)

    async def fetch(
        self, method, address, path, *, headers=(), body=b"", timeout_seconds
    ):
        """Answer a call by the published protocol."""
        self.calls.append((method, path, timeout_seconds))
        if self.silent:
            raise ConnectionBrokenError("timeout", request_written=True)
        if self.status is not None:
            return HttpAnswer(self.status, (), b"{}")
        answer = self.state.call(method, path, body)
        if self.lose_answers:
            self.lose_answers -= 1
            raise ConnectionBrokenError("answer lost", request_written=True)
        data = answer.body[: -self.cut_bytes] if self.cut_bytes else answer.body
        return HttpAnswer(answer.status, (), data)
