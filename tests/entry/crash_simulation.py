"""Simulation of instances before engines that crash on one part of a prompt."""

import asyncio
import itertools
import random
import socket
from collections import Counter
from collections.abc import Collection
from contextlib import suppress
from dataclasses import dataclass, field

from carobladder.entry.runtime import PlatformInstance
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.settings.entry import EntrySettings
from carobladder.telemetry import GatewayMetrics
from standins.store import StoreState
from tests.entry.fixtures import OPERATOR_TOPIC, SERVERS_TOPIC, StoreHandler
from tests.forwarding.fixtures import (
    HOST,
    KEY,
    build_request,
    build_response,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.platform.test_documents import CONFIGURATION, ROUTE, SERVER
from tests.support.looptime import LoopClock

# Instances that reach each other and the store know of a crash after this time.
CONTACT_SECONDS = 3.0
CRASHES_BEFORE_LIMIT = 5
EVENTS = 12
_EVENT_SECONDS = 0.03
_PREFILL_SECONDS = 0.03
_CRASH_SECONDS = 0.08
_ENTRY_EXPIRY_SECONDS = 1.5
_RESTART_SECONDS = 3.0
_DEADLINE_SECONDS = 6.0
_FIRST_PARTS = 4
_SECOND_PARTS = 12
_PORT_RANGE = (20_000, 30_000)
_STARTED_MS = 1_700_000_000_000


@dataclass
class SoundRequest:
    """Request without a part that crashes engines, and what its caller got."""

    sent_at: float
    first_part: str
    begun: bool = False
    complete: bool = False
    status: int = 0


@dataclass
class Arrival:
    """Request with a part that crashes engines, as it reached an engine."""

    at: float
    part: str


@dataclass
class Observations:
    """What callers and engines saw."""

    sound: list[SoundRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    crashes: list[Arrival] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    retry_after: list[float] = field(default_factory=list)

    def count_late_arrivals(self, part: str) -> int:
        """Return the requests with a part that came too late after its fifth crash."""
        crashes = [crash.at for crash in self.crashes if crash.part == part]
        if len(crashes) < CRASHES_BEFORE_LIMIT:
            return 0
        limit = crashes[CRASHES_BEFORE_LIMIT - 1] + CONTACT_SECONDS
        return sum(a.at > limit for a in self.arrivals if a.part == part)

    def compute_begun_share(self, start: float, end: float, first: str = "") -> float:
        """Return the share of sound requests whose answer began."""
        found = [
            request.begun
            for request in self.sound
            if start <= request.sent_at < end and request.first_part.startswith(first)
        ]
        return sum(found) / len(found)


class CrashingEngine:
    """Engine at one address, whose runs end when they begin to answer a bad part."""

    def __init__(self, simulation: "CrashSimulation", number: int) -> None:
        self._simulation = simulation
        self._number = number
        self._run = 0
        self._port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def target_id(self) -> str:
        """Id of the present run."""
        return f"i-{self._number}-{self._run}"

    async def start(self) -> None:
        """Start a run and register it."""
        self._run += 1
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        entry = {
            **SERVER,
            "service": "x",
            "address": f"127.0.0.1:{self._port}",
            "coldRemainingMs": 0,
            "born": _STARTED_MS + self._run,
        }
        self._simulation.state.put_document(SERVERS_TOPIC, self.target_id, entry)

    def crash(self) -> None:
        """End the run; its entry expires later, and another run starts."""
        if self._server is not None:
            self.close()
            self._simulation.spawn(self._restart())

    def close(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    async def _restart(self) -> None:
        await asyncio.sleep(_ENTRY_EXPIRY_SECONDS)
        self._simulation.state.put(SERVERS_TOPIC, self.target_id, None)
        await asyncio.sleep(_RESTART_SECONDS - _ENTRY_EXPIRY_SECONDS)
        await self.start()

    def _accept(self, reader, writer) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        self._writers.add(writer)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._writers.discard(writer))

    async def _serve(self, reader, writer) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                await self._answer(request, writer)
                if writer.is_closing():
                    return
        writer.close()

    async def _answer(self, request: bytes, writer) -> None:
        if read_header(request, "carobladder-expect-instance") != self.target_id:
            status = "421 Misdirected Request"
            extra = "Carobladder-Not-Executed: 1\r\n"
            writer.write(build_response(request, b"", status, extra))
            return
        parts = self._simulation.find_bad_parts(request)
        for part in parts:
            self._simulation.note_arrival(part)
        await asyncio.sleep(_PREFILL_SECONDS)
        is_framed = self._simulation.is_framed
        head = build_stream_head(request)
        if not is_framed:
            head = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
        writer.write(head)
        if parts:
            await asyncio.sleep(_CRASH_SECONDS)
            self._simulation.note_crash(parts[0])
            self.crash()
        first = int(read_header(request, "last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            event = encode_event(number)
            writer.write(encode_chunk(event) if is_framed else event)
            await asyncio.sleep(_EVENT_SECONDS)
        if is_framed:
            writer.write(encode_chunk(b""))
        else:
            writer.close()


class CrashSimulation:
    """Fleet of instances, its store, engines and callers over loopback.

    It runs in the virtual time of its loop. ``bad_parts`` are the parts that crash
    engines. Without ``is_framed``, answers end with their connections.
    """

    def __init__(
        self,
        instances: int = 6,
        engines: int = 12,
        *,
        bad_parts: Collection[str] = (),
        resumable: bool = False,
        is_framed: bool = True,
        seed: int = 1,
    ) -> None:
        self.is_framed = is_framed
        self.clock = LoopClock(asyncio.get_running_loop())
        self.state = StoreState()
        self.seen = Observations()
        self.engines = [CrashingEngine(self, number) for number in range(engines)]
        self._bad_parts = frozenset(bad_parts)
        self._resumable = resumable
        self._generator = random.Random(seed)
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._names = [f"front-{number}" for number in range(instances)]
        self._ports = _find_free_ports(2 * instances)
        self._instances: dict[str, PlatformInstance] = {}
        self._stops: dict[str, asyncio.Event] = {}
        self._services: dict[str, asyncio.Task[None]] = {}
        self._store = StoreHandler(self.state)
        self._store_server = GatewayServer(
            self._store, RequestLimits(), self.clock, GatewayMetrics(), None
        )

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.clock.monotonic()

    async def __aenter__(self) -> "CrashSimulation":
        """Start the store, the engines and the instances."""
        await self._store_server.start("127.0.0.1:0")
        self._configure()
        for engine in self.engines:
            await engine.start()
        for name in self._names:
            self.start_instance(name)
        await asyncio.sleep(2.0)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End everything."""
        for task in (*self._services.values(), *self._tasks):
            task.cancel()
        await asyncio.gather(
            *self._services.values(), *self._tasks, return_exceptions=True
        )
        for engine in self.engines:
            engine.close()
        await self._store_server.close()

    def start_instance(self, name: str) -> None:
        """Start an instance that knows nothing of before."""
        index = 2 * self._names.index(name)
        settings = EntrySettings(
            instance=name,
            data_centre="dc-1",
            listen=f"127.0.0.1:{self._ports[index]}",
            readiness_listen="127.0.0.1:0",
            metrics_listen="127.0.0.1:0",
            peer_listen=f"127.0.0.1:{self._ports[index + 1]}",
            store_address=f"127.0.0.1:{self._store_server.port}",
        )
        instance = PlatformInstance(settings, self.clock, next(self._numbers))
        instance.parts.generator.seed(self._generator.random())
        self._instances[name] = instance
        self._stops[name] = asyncio.Event()
        self._services[name] = asyncio.create_task(instance.serve(self._stops[name]))

    async def restart_instances(self) -> None:
        """Kill all instances at once and start new ones."""
        for task in self._services.values():
            task.cancel()
        await asyncio.gather(*self._services.values(), return_exceptions=True)
        for name in self._names:
            await self._instances[name].parts.server.close()
            self.start_instance(name)

    def cut_power(self) -> None:
        """End all engines at once."""
        for engine in self.engines:
            engine.crash()

    def count_held(self) -> int:
        """Return the number of parts that any instance has in quarantine."""
        quarantines = [i.parts.quarantine for i in self._instances.values()]
        return max(quarantine.count_held() for quarantine in quarantines)

    def spawn(self, coroutine) -> None:
        """Run a coroutine until the end of the simulation."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, seconds: float, *, sound: float, bad: float = 0.0) -> None:
        """Send sound requests and such with a bad part at these rates a second."""
        rate = sound + bad
        end = self.now + seconds
        while self.now < end:
            if self._generator.random() * rate < sound:
                self.spawn(self._send_sound())
            else:
                self.spawn(self._send_bad())
            await asyncio.sleep(self._generator.expovariate(rate))

    def find_bad_parts(self, request: bytes) -> list[str]:
        """Return the bad parts of a request's prompt."""
        prompt = read_header(request, "carobladder-prompt-prefix")
        parts = [entry.partition(":")[0] for entry in prompt.split(",")[:-1]]
        return [part for part in parts if part in self._bad_parts]

    def note_arrival(self, part: str) -> None:
        """Record a request with a bad part at an engine."""
        self.seen.arrivals.append(Arrival(self.now, part))

    def note_crash(self, part: str) -> None:
        """Record the crash of an engine."""
        self.seen.crashes.append(Arrival(self.now, part))

    def _configure(self) -> None:
        route = {
            **ROUTE,
            "host": HOST,
            "trafficSplit": [],
            "service": "x",
            "resumable": self._resumable,
        }
        document = {
            **CONFIGURATION,
            "version": 1,
            "routes": [route],
            "tenants": [{"name": "t", "apiKeys": [KEY]}],
        }
        self.state.put_document(OPERATOR_TOPIC, "config", document)

    async def _send_sound(self) -> None:
        first = f"a{min(int(self._generator.expovariate(1.0)), _FIRST_PARTS)}"
        request = SoundRequest(self.now, first)
        self.seen.sound.append(request)
        status, body, _ = await self._call(first, self._choose_second_part())
        request.status = status
        request.begun = status == 200 and b"id: " in body
        request.complete = body.endswith(b"0\r\n\r\n")

    async def _send_bad(self) -> None:
        part = self._generator.choice(sorted(self._bad_parts))
        # The first letter of a bad part tells whether it stands first or second.
        if part.startswith("a"):
            parts = (part, self._choose_second_part())
        else:
            parts = (f"a{self._generator.randrange(_FIRST_PARTS)}", part)
        status, _, retry_after = await self._call(*parts)
        self.seen.statuses[status] += 1
        if retry_after:
            self.seen.retry_after.append(float(retry_after))

    def _choose_second_part(self) -> str:
        return f"b{min(int(self._generator.expovariate(0.3)), _SECOND_PARTS)}"

    async def _call(self, *parts: str) -> tuple[int, bytes, str]:
        """Return status, body and Retry-After of the answer to a new request."""
        number = next(self._numbers)
        prompt = ",".join(f"{part}:400" for part in (*parts, f"c{number:x}"))
        data = build_request(
            "/a/x",
            Carobladder_Request_Id=f"{number:x}",
            Carobladder_Prompt_Prefix=prompt,
            Carobladder_Deadline=str(int(_DEADLINE_SECONDS * 1000)),
        )
        name = self._generator.choice(self._names)
        port = self._ports[2 * self._names.index(name)]
        try:
            async with asyncio.timeout(_DEADLINE_SECONDS):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(data)
                answer = await _read_all(reader)
                writer.close()
        except (OSError, TimeoutError):
            return 0, b"", ""
        head, _, body = answer.partition(b"\r\n\r\n")
        status = int(head.split()[1]) if head else 0
        return status, body, read_header(head, "retry-after")


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    """Return the bytes up to the end or the reset of a connection."""
    data = b""
    with suppress(ConnectionError):
        while chunk := await reader.read(65536):
            data += chunk
    return data


def _find_free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP.

    They are outside the range from which the system chooses ports by itself, so that
    no other socket takes one before it is used.
    """
    generator = random.SystemRandom()
    found: set[int] = set()
    while len(found) < count:
        port = generator.randrange(*_PORT_RANGE)
        if all(
            _is_free(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            found.add(port)
    return sorted(found)


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as tried:
        try:
            tried.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
