"""I5 through a real gateway over faulty engines on loopback."""

import asyncio
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from unittest import mock

import msgspec

from carobladder.clients.ports import HttpAnswer
from carobladder.gateway import attempts
from carobladder.gateway.relay import RelayTimeouts
from carobladder.retries import StreamTracker
from tests.faults.cells import Injection, Row, Run
from tests.gateway.engines import DONE, EngineRequest, read_request
from tests.gateway.fakes import MODEL, Gateway
from tests.gateway.scripted_servers import ScriptedServer

TOKENS = 6
ENGINES = 3
CALLERS = 6
# Longer than the gateway waits for the next event, which is GAP_SECONDS.
STALL_SECONDS = 0.6
GAP_SECONDS = 0.2
_OTHER = "caller-of-another-request"


def event(marker: str, index: int) -> bytes:
    """Return the event of a token of one caller's answer."""
    return b'id: %d\ndata: {"text":"%s-%d"}\n\n' % (index, marker.encode(), index)


def whole_stream(marker: str) -> bytes:
    """Return the events of a caller's whole answer."""
    return b"".join(event(marker, index) for index in range(TOKENS)) + DONE


def whole_body(marker: str) -> bytes:
    """Return the body of a caller's whole answer."""
    return msgspec.json.encode({"for": marker, "usage": {"total_tokens": 9}})


class _ClosedError(ConnectionError):
    """Close the connection at this point."""


class Engines:
    """Answer requests; the planned faults happen at the first steps reached."""

    def __init__(self, placed: Sequence[Injection], result: Run) -> None:
        self.plan = list(placed)
        self.result = result
        self.extra_callers = 0
        self.closing = 0

    def reach(self, step: str) -> str:
        """Return the fault that is planned for the step, or an empty text."""
        due = next((item for item in self.plan if item.step == step), None)
        if due is None:
            return ""
        self.plan.remove(due)
        self.result.injected += 1
        if due.fault == "team-surge":
            self.extra_callers += 15
        if due.fault == "engine-flaps":
            # The next connections fail too, and then the engine is back.
            self.closing += 2
        if due.fault in ("engine-dies", "engine-flaps"):
            raise _ClosedError
        return due.fault

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Answer the requests of one connection."""
        self.reach("before-send")
        while True:
            request = await read_request(reader)
            if self.closing:
                self.closing -= 1
                raise _ClosedError
            fault = self.reach("after-send")
            marker = msgspec.json.decode(request.body)["messages"][0]["content"]
            own_id = request.headers["x-request-id"]
            if fault == "answer-late":
                await asyncio.sleep(STALL_SECONDS)
            elif fault == "answer-crossed":
                marker, own_id = _OTHER, "cb-other"
            if b'"stream":true' in request.body:
                await self._stream(writer, request, marker, own_id)
            else:
                await self._answer(writer, marker, own_id)

    async def _answer(
        self, writer: asyncio.StreamWriter, marker: str, own_id: str
    ) -> None:
        body = whole_body(marker)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"X-Request-Id: {own_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        request: EngineRequest,
        marker: str,
        own_id: str,
    ) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n" % own_id.encode()
        )
        for index in range(request.start, TOKENS):
            self._write_chunk(writer, event(marker, index))
            await writer.drain()
            if index == TOKENS // 2:
                await self._disturb(writer, "mid-answer")
        last = DONE
        fault = self.reach("after-effect")
        if fault == "answer-late":
            await asyncio.sleep(STALL_SECONDS)
        elif fault == "answer-crossed":
            last = DONE + event(_OTHER, TOKENS)
        self._write_chunk(writer, last)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _disturb(self, writer: asyncio.StreamWriter, step: str) -> None:
        fault = self.reach(step)
        if fault == "answer-late":
            await asyncio.sleep(STALL_SECONDS)
        elif fault == "answer-crossed":
            self._write_chunk(writer, event(_OTHER, TOKENS - 1))
            await writer.drain()

    def _write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


async def _call(gateway: Gateway, marker: str, stream: bool) -> str:
    """Return what is wrong with the answer of one caller."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": marker}],
        "stream": stream,
    }
    encoded = msgspec.json.encode(body)
    answer = await gateway.call("POST", "/v1/chat/completions", encoded)
    return judge(answer, marker, stream)


def judge(answer: HttpAnswer, marker: str, stream: bool) -> str:
    """Return what the caller of a marker may not see in its answer."""
    if answer.status != 200:
        return "" if b'"error"' in answer.body else f"status {answer.status}, no error"
    wanted = whole_stream(marker) if stream else whole_body(marker)
    if answer.body == wanted:
        return ""
    events, error, _ = answer.body.partition(b"event: error")
    if stream and error and DONE not in answer.body and wanted.startswith(events):
        return ""
    return f"{marker} received {answer.body[:200]!r}"


async def _run(placed: Sequence[Injection], seed: int, result: Run) -> None:
    engines = Engines(placed, result)
    servers = [ScriptedServer(engines.serve) for _ in range(ENGINES)]
    addresses = [(await server.__aenter__()).address for server in servers]
    gateway = Gateway(*addresses)
    gateway.timeouts = RelayTimeouts(stream_gap_seconds=GAP_SECONDS)
    wrong: list[str] = []
    async with gateway:
        # The streamed call comes first, so that it reaches the planned steps.
        wrong.append(await _call(gateway, f"first-{seed}", True))
        for kind in (True, False):
            calls = [_call(gateway, f"c{n}-{kind}", kind) for n in range(CALLERS)]
            wrong += await asyncio.gather(*calls)
        for _ in range(2):
            count, engines.extra_callers = engines.extra_callers, 0
            extra = [_call(gateway, f"x{n}", n % 2 == 0) for n in range(count)]
            wrong += await asyncio.gather(*extra)
    for server in servers:
        await server.__aexit__()
    result.violation = next((text for text in wrong if text), "")


def run(placed: Sequence[Injection], seed: int) -> Run:
    """Run callers against the engines and judge each answer."""
    result = Run()
    asyncio.run(_run(placed, seed, result))
    return result


@contextmanager
def other_answers_taken() -> Iterator[None]:
    """Relay an answer that states another request's id."""
    with mock.patch.object(attempts, "is_other_request", lambda *_: False):
        yield


@contextmanager
def bytes_passed_on() -> Iterator[None]:
    """Relay what arrives, and start over after a break."""

    def feed(self, data):
        self.finished = self.finished or DONE in data
        self.relayed = True
        return data

    with (
        mock.patch.object(StreamTracker, "feed", feed),
        mock.patch.object(StreamTracker, "resumable", property(lambda _: True)),
    ):
        yield


@contextmanager
def first_event_dropped() -> Iterator[None]:
    """Drop the first event of each attempt."""
    original_start, original_feed = StreamTracker.start_attempt, StreamTracker.feed
    fresh: set[int] = set()

    def start(self):
        fresh.add(id(self))
        original_start(self)

    def feed(self, data):
        events = original_feed(self, data)
        if events and id(self) in fresh:
            fresh.discard(id(self))
            return events.partition(b"\n\n")[2] or b": \n\n"
        return events

    with (
        mock.patch.object(StreamTracker, "start_attempt", start),
        mock.patch.object(StreamTracker, "feed", feed),
    ):
        yield


_STEPS = ("before-send", "after-send", "mid-answer", "after-effect")
ROW = Row(
    "I5",
    {
        "engine-dies": _STEPS,
        "engine-flaps": _STEPS,
        "answer-late": _STEPS[1:],
        "answer-crossed": _STEPS[1:],
        "team-surge": _STEPS,
    },
    run,
    {
        "bytes passed on unchecked": bytes_passed_on,
        "first event dropped": first_event_dropped,
        "other answers taken": other_answers_taken,
    },
    {"answer-crossed": ["other answers taken"]},
    seeds=(1, 2),
    variant_seeds=(1,),
)
