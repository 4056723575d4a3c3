"""Forwarding instance with scripted targets and without a store."""

import asyncio
import random

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock, SystemClock
from carobladder.fleet import (
    AnswerTallies,
    ColdPacer,
    CompletionPredictor,
    FleetTarget,
    Freshness,
    LoadBounds,
    RatePacer,
    RouteLatencies,
    ShareLedger,
    TargetEntry,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from carobladder.forwarding import (
    AdmissionControl,
    CallCurrency,
    ConfigurationAgeLimits,
    CrashWatch,
    Forwarder,
    ForwardHandler,
    HedgePolicy,
    LoadMonitor,
    TargetSender,
)
from carobladder.gateway.loopholds import LoopHolds
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.platform.exchanges import PlatformCodec
from carobladder.quarantine import PartQuarantine
from carobladder.retries import RetryBudget
from carobladder.routing import (
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceWeight,
    TeamKeys,
)
from carobladder.telemetry import ForwardMetrics, GatewayMetrics
from tests.fleet.builders import build_prompt_directory
from tests.gateway.scripted_servers import ScriptedServer

HOST = "shop.example"
KEY = "key-1"
EXCHANGE_TIMEOUT_SECONDS = 8.0


def build_route(name: str, kind: RouteKind, **changes) -> Route:
    """Return a route with the path prefix /NAME/."""
    values = {
        "timeout_seconds": 2.0,
        "latency_objective_seconds": 0.3,
        "services": (ServiceWeight("stock"),),
        **changes,
    }
    return Route(name=name, host=HOST, path_prefix=f"/{name}/", kind=kind, **values)


ROUTES = (
    build_route("safe", RouteKind.SAFE, attempts=2),
    build_route("unsafe", RouteKind.UNSAFE),
    build_route("short", RouteKind.UNSAFE, timeout_seconds=0.2),
    build_route("open", RouteKind.SAFE, public=True),
    build_route("patient", RouteKind.UNSAFE, latency_objective_seconds=40.0),
    build_route("stream", RouteKind.STREAMING),
    build_route("resumable", RouteKind.STREAMING, attempts=2, resumable=True),
    build_route("lost", RouteKind.SAFE, services=(ServiceWeight("nobody"),)),
)


def build_response(
    request: bytes, body: bytes, status: str = "200 OK", extra: str = ""
):
    """Return a signed response to a request."""
    request_id = read_header(request, "carobladder-request-id")
    head = (
        f"HTTP/1.1 {status}\r\nCarobladder-Request-Id: {request_id}\r\n"
        f"Carobladder-Response-Signature: sig\r\nContent-Length: {len(body)}\r\n"
        f"{extra}\r\n"
    )
    return head.encode("latin-1") + body


def build_stream_head(request: bytes) -> bytes:
    """Return the response head of an event stream."""
    request_id = read_header(request, "carobladder-request-id")
    return (
        f"HTTP/1.1 200 OK\r\nCarobladder-Request-Id: {request_id}\r\n"
        "Carobladder-Response-Signature: sig\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def encode_chunk(data: bytes) -> bytes:
    """Return data encoded as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_event(number: int) -> bytes:
    """Return the event with this number as bytes."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def read_header(request: bytes, name: str) -> str:
    """Return the value of a header, or an empty string."""
    for line in request.decode("latin-1").split("\r\n")[1:]:
        field, _, value = line.partition(":")
        if field.lower() == name:
            return value.strip()
    return ""


class ScriptedTarget:
    """Target that runs a script for each request and records the requests."""

    def __init__(self, script) -> None:
        self.requests: list[bytes] = []
        self._script = script
        self.server = ScriptedServer(self._serve)

    async def _serve(self, reader, writer, number) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(read_header(head, "content-length") or 0)
            request = head + await reader.readexactly(length)
            self.requests.append(request)
            await self._script(request, writer)
            if writer.is_closing():
                return


class Instance:
    """Instance that forwards requests to targets at the given addresses.

    ``reported_silent`` lists the targets that were reported as silent, and ``begun``
    the teams of the requests that targets began to run. ``hedge_share`` is the part of
    the requests of which copies may be sent.
    """

    def __init__(
        self,
        *addresses: str,
        clock: Clock | None = None,
        hedge_share: float = 0.0,
    ) -> None:
        self.clock = clock or SystemClock()
        self.table: RouteTable | None = RouteTable(
            Configuration(
                1,
                ROUTES,
                (Service("stock"), Service("nobody")),
                (TeamKeys("team-1", (KEY,), 3),),
            )
        )
        self.targets = TargetTable()
        for index, address in enumerate(addresses):
            self.targets.apply(build_target(f"i-{index}", address), 0.0)
        self.reported_silent: list[FleetTarget] = []
        self.begun: list[str] = []
        self.freshness = Freshness()
        self.freshness.note_read(self.clock.boottime())
        self.metrics = ForwardMetrics()
        self.budget = RetryBudget(0.2, 0.0, burst=10.0, copy_ratio=hedge_share)
        self.client = HttpClient(self.clock, connect_timeout_seconds=0.3)
        self.quarantine = PartQuarantine(lambda key: True)
        codec = PlatformCodec()
        generator = random.Random(3)
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(96)))
        self.moves = VersionMoves(0.1)
        self.tallies = AnswerTallies(self.moves, self.targets, incarnation=1)
        bounds = LoadBounds(self.targets, 2.0)
        self.predictor = CompletionPredictor(self.metrics.observe_prediction)
        sender = TargetSender(
            self.client,
            codec,
            build_prompt_directory(self.targets),
            self.tallies,
            RouteLatencies(),
            LoadMonitor(bounds, self.metrics),
            self.predictor,
            self.clock,
            lambda target, sent_at: self.reported_silent.append(target),
            lambda: None,
            lambda: None,
            self.targets,
            self.freshness,
            self.begun.append,
        )
        self.selector = TargetSelector(
            self.targets,
            ColdPacer(ledger),
            RatePacer(ledger, self.clock, generator),
            self.moves,
            bounds,
            generator,
            self.predictor,
        )
        age_limits = ConfigurationAgeLimits(keys=4.5, refusals=3.0)
        self.hedging = HedgePolicy(
            hedge_share,
            self.targets,
            lambda service: self.budget,
            CallCurrency(
                lambda: self.table,
                self.freshness,
                age_limits,
                lambda: self.server.draining,
                self.clock,
            ).is_current,
            self.clock,
        )
        self.admission = AdmissionControl(self.metrics)
        forwarder = Forwarder(
            sender,
            self.selector,
            self.clock,
            lambda service: self.budget,
            self.metrics,
            CrashWatch(self.quarantine, self.client, self.clock),
            self.admission,
            self.hedging,
        )
        handler = ForwardHandler(
            forwarder,
            codec,
            self.clock,
            lambda: self.table,
            self.freshness,
            age_limits,
            generator,
            self.metrics,
            self.client.memory,
        )
        self.server = GatewayServer(
            handler,
            RequestLimits(max_body_bytes=2000, read_seconds=0.3),
            self.clock,
            GatewayMetrics(),
            generator,
            adds_request_id=False,
            head_handler=handler,
            holds=LoopHolds(self.clock),
        )

    async def __aenter__(self) -> "Instance":
        """Start the server."""
        await self.server.start("127.0.0.1:0")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the server and close all connections."""
        await self.server.close()
        self.client.close()

    async def connect(self):
        """Return the reader and writer of a new connection."""
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes on a new connection and return all bytes received."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def call(self, path: str, body: bytes = b"", method: str = "POST", **fields):
        """Send one request and return status, headers and body of the response."""
        raw = await self.exchange(build_request(path, body, method, **fields))
        head, _, response_body = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1]) if lines[0] else 0
        return status, headers, response_body


def build_target(
    target_id: str, address: str, *, draining: bool = False, version: str = "v1"
) -> TargetEntry:
    """Return the entry of a target of the service ``stock``."""
    return TargetEntry(
        target_id=target_id,
        service="stock",
        address=address,
        data_centre="dc-1",
        version=version,
        slots=6,
        draining=draining,
        cold_seconds=0.0,
        started_ms=1,
    )


def build_request(
    path: str, body: bytes = b"", method: str = "POST", close: bool = True, **fields
) -> bytes:
    """Return the bytes of a request; a header with the value None is omitted."""
    headers = {
        "Host": HOST,
        "Carobladder-Request-Id": "ab12",
        "Carobladder-Deadline": "1500",
        "X-Api-Key": KEY,
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    if close:
        headers["Connection"] = "close"
    if body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
    head = f"{method} {path} HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n"
    return head.encode() + body
