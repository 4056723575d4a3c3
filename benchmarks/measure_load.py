"""Load generator: long streams, and short requests beside them in a second window.

Times are on the machine's monotonic clock, which all processes share. Run by
benchmarks.measure with the plan as JSON on the command line; it writes its result
to the file that the plan names.
"""

import asyncio
import random
import sys
import time
from array import array
from pathlib import Path
from typing import Any

import h11
import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.measure_engine import SENT_MARK

__all__ = ["LoadPlan", "LoadResult", "Span", "create_histogram"]

_LEAST_NS = 1_000
_GREATEST_NS = 60_000_000_000
_DIGITS = 3
_PROBE_CONNECTIONS = 4


class Span(msgspec.Struct, frozen=True):
    """State a window in monotonic seconds."""

    start: float
    end: float


class LoadPlan(msgspec.Struct, frozen=True):
    """Tell one load generator what to do.

    ``chunk_window`` has only the long streams; in ``probe_window`` short requests
    arrive beside them at ``probe_rate`` a second.
    """

    addresses: list[str]
    credential: str
    streams: int
    stream_chunks: int
    ramp: Span
    chunk_window: Span
    probe_window: Span
    probe_rate: float
    seed: int
    result_path: str


class LoadResult(msgspec.Struct, frozen=True):
    """Hold the histograms in the library's encoding, and counts for each window."""

    chunk_ns: str
    first_ns: str
    chunks: int
    probe_chunks: int
    probes: int
    failures: int


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of nanoseconds."""
    return HdrHistogram(_LEAST_NS, _GREATEST_NS, _DIGITS)


class Measurements:
    """Collect what the connections of this process see."""

    def __init__(self, plan: LoadPlan) -> None:
        self._chunk_from = int(plan.chunk_window.start * 1e9)
        self._chunk_until = int(plan.chunk_window.end * 1e9)
        self._probe_from = int(plan.probe_window.start * 1e9)
        self._probe_until = int(plan.probe_window.end * 1e9)
        self.chunk_ns = array("q")
        self.first_ns = array("q")
        self.probe_chunks = 0
        self.failures = 0

    def note_chunk(self, sent_ns: int, now_ns: int) -> None:
        """Take one chunk of a long stream."""
        if self._chunk_from <= now_ns < self._chunk_until:
            self.chunk_ns.append(now_ns - sent_ns)
        elif self._probe_from <= now_ns < self._probe_until:
            self.probe_chunks += 1


class StreamConnection(asyncio.Protocol):
    """Send requests and take their events, one request at a time."""

    def __init__(self, plan: LoadPlan, measurements: Measurements) -> None:
        self._plan = plan
        self._measurements = measurements
        self._http = h11.Connection(h11.CLIENT)
        self._sent_ns = 0
        self._probe = False
        self._done: asyncio.Future[None] | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End the wait for an answer that can no longer come."""
        self._fail()

    def request(self, chunks: int, *, probe: bool) -> "asyncio.Future[None]":
        """Send a request; the future ends with the answer."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        body = msgspec.json.encode(
            {
                "model": "quotes",
                "stream": True,
                "max_tokens": chunks,
                "messages": [{"role": "user", "content": f"plan {random.random()}"}],
            }
        )
        headers = [
            ("Host", "fleet"),
            ("Authorization", f"Bearer {self._plan.credential}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        target = "/v1/chat/completions"
        head = h11.Request(method="POST", target=target, headers=headers)
        data = [self._http.send(head), self._http.send(h11.Data(data=body))]
        data.append(self._http.send(h11.EndOfMessage()))
        self._probe = probe
        self._done = asyncio.get_running_loop().create_future()
        self._sent_ns = time.monotonic_ns()
        self._transport.write(b"".join(part for part in data if part))
        return self._done

    def data_received(self, data: bytes) -> None:
        """Take the events of an answer."""
        now_ns = time.monotonic_ns()
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Data):
                self._take(bytes(event.data), now_ns)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    self._fail()
            elif isinstance(event, h11.EndOfMessage):
                if self._done is not None and not self._done.done():
                    self._done.set_result(None)
                return
            else:
                return

    def _take(self, data: bytes, now_ns: int) -> None:
        place = data.find(SENT_MARK)
        if self._probe:
            if place >= 0:
                self._measurements.first_ns.append(now_ns - self._sent_ns)
            return
        while place >= 0:
            start = place + len(SENT_MARK)
            sent_ns = int(data[start : data.index(b"}", start)])
            self._measurements.note_chunk(sent_ns, now_ns)
            place = data.find(SENT_MARK, start)

    def _fail(self) -> None:
        if self._done is not None and not self._done.done():
            self._measurements.failures += 1
            self._done.set_exception(ConnectionError("no whole answer"))

    def close(self) -> None:
        """Close the connection; an open answer does not count as failed."""
        if self._done is not None:
            self._done.cancel()
        self._transport.abort()


class LoadGenerator:
    """Run the plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._loop = asyncio.get_running_loop()
        self._measurements = Measurements(plan)
        self._connections: list[StreamConnection] = []
        self._probes: set[asyncio.Task[None]] = set()
        random.seed(plan.seed)

    async def run(self) -> LoadResult:
        """Return what was measured."""
        plan = self._plan
        starts = sorted(
            self._random.uniform(plan.ramp.start, plan.ramp.end)
            for _ in range(plan.streams)
        )
        for index, start in enumerate(starts):
            await self._sleep_until(start)
            connection = await self._connect(index)
            connection.request(plan.stream_chunks, probe=False)
        await self._sleep_until(plan.probe_window.start)
        await self._send_probes()
        for connection in self._connections:
            connection.close()
        return self._collect()

    async def _sleep_until(self, moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - time.monotonic()))

    async def _connect(self, index: int) -> StreamConnection:
        address = self._plan.addresses[index % len(self._plan.addresses)]
        host, _, port = address.rpartition(":")
        _, connection = await self._loop.create_connection(
            lambda: StreamConnection(self._plan, self._measurements), host, int(port)
        )
        self._connections.append(connection)
        return connection

    async def _send_probes(self) -> None:
        plan = self._plan
        idle: asyncio.Queue[StreamConnection] = asyncio.Queue()
        for index in range(_PROBE_CONNECTIONS):
            idle.put_nowait(await self._connect(index))
        due = time.monotonic()
        while due < plan.probe_window.end:
            await self._sleep_until(due)
            task = asyncio.ensure_future(self._probe(await idle.get(), idle))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)
            due += self._random.expovariate(plan.probe_rate)
        await asyncio.wait(self._probes or {asyncio.ensure_future(asyncio.sleep(0))})

    async def _probe(
        self, connection: StreamConnection, idle: "asyncio.Queue[StreamConnection]"
    ) -> None:
        try:
            await connection.request(1, probe=True)
        finally:
            idle.put_nowait(connection)

    def _collect(self) -> LoadResult:
        measurements = self._measurements
        return LoadResult(
            chunk_ns=_encode(measurements.chunk_ns),
            first_ns=_encode(measurements.first_ns),
            chunks=len(measurements.chunk_ns),
            probe_chunks=measurements.probe_chunks,
            probes=len(measurements.first_ns),
            failures=measurements.failures,
        )


def _encode(values: "array[int]") -> str:
    histogram = create_histogram()
    for value in values:
        histogram.record_value(value)
    encoded = histogram.encode()
    return encoded.decode() if isinstance(encoded, bytes) else encoded


async def _run(plan: LoadPlan) -> LoadResult:
    return await LoadGenerator(plan).run()


def main() -> None:
    """Run the plan of the command line."""
    plan = msgspec.json.decode(sys.argv[1], type=LoadPlan)
    result = asyncio.run(_run(plan))
    Path(plan.result_path).write_bytes(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
