"""Targets that answer late or fail, and an instance that sends copies, for tests."""

import asyncio
from dataclasses import replace
from unittest import mock

from carobladder.routing import RouteTable
from carobladder.telemetry import CopyEnded, CopySent
from tests.forwarding.fixtures import (
    Instance,
    build_response,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.forwarding.hedges import USUAL_SECONDS, build_call
from tests.forwarding.silence import EVENTS
from tests.forwarding.streams import VirtualInstance

HEDGE_SHARE = 0.05
# After this time a request of an instance below is late.
LATE_SECONDS = 1.5 * USUAL_SECONDS
_POLL_SECONDS = 0.002


class LateTarget:
    """Script of a target that answers after some seconds, with a status and a body.

    It records when it began each request and when its peer closed the connection.
    """

    def __init__(
        self, seconds: float, body: bytes = b"whole", status: str = "200 OK"
    ) -> None:
        self.seconds = seconds
        self.begun_at: list[float] = []
        self.closed_at: list[float] = []
        self._body = body
        self._status = status

    async def __call__(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer a request unless its peer leaves before."""
        loop = asyncio.get_running_loop()
        self.begun_at.append(loop.time())
        while loop.time() < self.begun_at[-1] + self.seconds:
            if _has_left(writer):
                self.closed_at.append(loop.time())
                writer.close()
                return
            await asyncio.sleep(_POLL_SECONDS)
        await self.answer(request, writer)

    async def answer(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Write the answer."""
        extra = "Carobladder-Not-Executed: 1\r\n" if "503" in self._status else ""
        writer.write(build_response(request, self._body, self._status, extra))


class BreakingTarget(LateTarget):
    """Script of a target that closes the connection instead of answering."""

    async def answer(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Close the connection without an answer."""
        writer.transport.abort()


class PausingTarget(LateTarget):
    """Script of a target that pauses for a second after the head of its answer."""

    async def answer(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Write the head, and the body later."""
        whole = build_response(request, self._body)
        writer.write(whole[: -len(self._body)])
        await asyncio.sleep(1.0)
        writer.write(self._body)


class LateStream(LateTarget):
    """Script of a target that sends the head of a stream at once, its events late.

    With ``breaks_after`` it closes the connection after an event of that number.
    """

    def __init__(self, seconds: float, breaks_after: int | None = None) -> None:
        super().__init__(seconds)
        self._breaks_after = breaks_after

    async def __call__(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Send the head, then wait and send the events."""
        writer.write(build_stream_head(request))
        await super().__call__(request, writer)

    async def answer(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Write the events that the request asks for."""
        last = int(read_header(request, "last-event-id") or 0)
        for number in range(last + 1, EVENTS.stop):
            if self._breaks_after is not None and number > self._breaks_after:
                writer.transport.abort()
                return
            writer.write(encode_chunk(encode_event(number)))
            await writer.drain()
            await asyncio.sleep(_POLL_SECONDS)
        writer.write(b"0\r\n\r\n")


class HedgedInstance(VirtualInstance):
    """Instance that sends its requests to the first target and copies to others."""

    def __init__(self, *scripts, hedge_share: float = HEDGE_SHARE) -> None:
        super().__init__(*scripts, hedge_share=hedge_share)
        self.events: list[object] = []

    async def __aenter__(self) -> Instance:
        """Start the instance; usual answers take ``USUAL_SECONDS``."""
        instance = await super().__aenter__()
        self.instance = instance
        patch = mock.patch("carobladder.forwarding.race.emit", self.events.append)
        self._stack.enter_context(patch)
        for name in ("safe", "resumable"):
            learn(instance, name)
        for target in instance.targets.list_all():
            if target.target_id != "i-0":
                target.health.first_byte_seconds = 5.0
        return instance

    @property
    def sent(self) -> list[CopySent]:
        """Log lines of the copies that were sent."""
        return [event for event in self.events if isinstance(event, CopySent)]

    @property
    def outcomes(self) -> list[str]:
        """Outcomes of the copies that have ended."""
        return [event.outcome for event in self.events if isinstance(event, CopyEnded)]

    def count_in_flight(self) -> list[int]:
        """Return the requests in flight at each target."""
        targets = self.instance.targets.list_all()
        return [target.health.in_flight for target in targets]


def learn(instance: Instance, route_name: str, count: int = 40) -> None:
    """Record answers that take the usual time, and earn copies."""
    assert instance.table is not None
    routes = instance.table.configuration.routes
    (route,) = (route for route in routes if route.name == route_name)
    call = build_call(instance.clock, route)
    for _ in range(count):
        instance.budget.record_request()
        instance.hedging.note_first_byte(call, USUAL_SECONDS)


def render_metrics(instance: Instance) -> str:
    """Return the metrics of an instance."""
    return instance.metrics.render().decode()


def set_attempts(instance: Instance, attempts: int) -> None:
    """Let requests of all routes run on this number of targets."""
    assert instance.table is not None
    before = instance.table.configuration
    routes = tuple(replace(route, attempts=attempts) for route in before.routes)
    instance.table = RouteTable(replace(before, routes=routes))


def _has_left(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer of a connection has closed it."""
    reader = writer.transport.get_protocol()._stream_reader  # type: ignore[attr-defined]
    return writer.is_closing() or reader is None or reader.at_eof()
