"""Small bed for the cases: instances as processes, and stand-ins beside them.

The store, the servers and the clients run in the process of the script; the instances
are started with the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.store import StoreCopy, StoreState  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
_READ_POLL_SECONDS = 0.01
_STORE_ANSWER_SECONDS = 0.004


class NotRunError(Exception):
    """Report that a case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._start = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()


@dataclass
class Head:
    """Start line and headers (names in lower case) of a message, and its body."""

    start: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Head | None:
    """Return the next message with its whole body, or None if the channel ends."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            head.body = await _read_chunks(reader)
        else:
            length = int(head.headers.get("content-length", "0"))
            head.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def format_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Listener:
    """Stand-in that listens at a loopback address."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen; port 0 selects a free one."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Listen no more and reset all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store, with the project's own stand-in for its content."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.state = StoreState()
        self._record = record
        self._copies: list[tuple[float, StoreCopy]] = []

    def put_operator(self, key: str, document: object | None) -> None:
        """Write a record of the operator; it is acknowledged on return."""
        value = None if document is None else json.dumps(document).encode()
        self.state.put("keyed.op", key, value)
        self._record.write(f"store acknowledges op/{key}: {describe(document)}")

    async def go_away(self) -> None:
        """Reset all channels and take no new ones."""
        self._record.write("the store is away")
        await self.stop()

    async def come_back(self) -> None:
        """Listen again at the same address."""
        await self.start(self.address)
        self._record.write(f"the store is back, its era is {self.state.era}")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel."""
        while (message := await read_message(reader)) is not None:
            method, target, _ = message.start.split(" ")
            await asyncio.sleep(_STORE_ANSWER_SECONDS)
            answer = self.state.call(method, target, message.body)
            if urlsplit(target).path == "/-/log-read":
                answer = await self._wait_for_records(method, target, answer)
            writer.write(
                format_answer(answer.status, dict(answer.headers), answer.body)
            )
            await writer.drain()

    async def _wait_for_records(self, method: str, target: str, answer):
        """Return the answer once there are records or the wait is over."""
        query = dict(parse_qsl(urlsplit(target).query))
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        empty = 16
        while answer.status == 200 and len(answer.body) <= empty:
            if time.monotonic() >= end:
                break
            await asyncio.sleep(_READ_POLL_SECONDS)
            answer = self.state.call(method, target)
        return answer


def describe(document: object) -> str:
    """Return a short text of what the operator wrote."""
    if not isinstance(document, dict) or "routes" not in document:
        return json.dumps(document)
    tenants = [
        f"{tenant['name']} {tenant['apiKeys']}"
        for tenant in document.get("tenants", [])
    ]
    routes = [f"{r['host']}{r['pathPrefix']} {r['kind']}" for r in document["routes"]]
    return f"version {document['version']}, routes {routes}, tenants {tenants}"


@dataclass
class Run:
    """One request that a server began to run, and when its channel closed."""

    request_id: str
    server: str
    message: Head
    began: float
    left: float | None = None
    ended: float | None = None


Handler = Callable[["Server", Run, asyncio.StreamWriter], Awaitable[None]]


class Server(Listener):
    """A server of a service, which drops a request when its channel closes."""

    def __init__(
        self, record: Record, store: Store, service: str, handler: Handler
    ) -> None:
        super().__init__()
        self.server_id = f"i-{uuid.uuid4().hex[:8]}"
        self.runs: list[Run] = []
        self.is_leaving = False
        self.record = record
        self._store = store
        self._service = service
        self._handler = handler

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen, and register in the store."""
        await super().start(address)
        self.register("ready")

    def register(self, state: str) -> None:
        """Write the entry of this server."""
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": "z-a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self._store.state.put_document("keyed.servers", self.server_id, entry)

    def leave(self) -> None:
        """Report that this server leaves; it goes on serving for many seconds."""
        self.is_leaving = True
        self.register("draining")
        self.record.write(f"store acknowledges servers/{self.server_id}: draining")

    def sign(self, run: Run) -> dict[str, str]:
        """Return the headers that each answer of a run has."""
        return {
            **({"Server-Leaving": "1"} if self.is_leaving else {}),
            "Carobladder-Request-Id": run.request_id,
            "Carobladder-Response-Signature": f"{self.server_id}.{run.request_id}",
            "Carobladder-Instance-Id": self.server_id,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel, one request at a time."""
        while (message := await read_message(reader)) is not None:
            request_id = message.headers.get("carobladder-request-id", "")
            if message.headers.get("carobladder-expect-instance") != self.server_id:
                writer.write(
                    format_answer(421, {"Carobladder-Instance-Id": self.server_id}, b"")
                )
                continue
            run = Run(request_id, self.server_id, message, self.record.now())
            self.runs.append(run)
            self.record.write(f"server {self.server_id} runs {request_id}")
            work = asyncio.ensure_future(self._handler(self, run, writer))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run.left = self.record.now()
                self.record.write(f"server {self.server_id} drops {request_id}")
                work.cancel()
                return
            run.ended = self.record.now()
            gone.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)


def answer_after(seconds: float, body: bytes = b"done") -> Handler:
    """Return a handler that answers after a time."""

    async def handle(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(format_answer(200, server.sign(run), body))
        await writer.drain()

    return handle


@dataclass
class Instance:
    """One process of the program, and its addresses."""

    name: str
    folder: Path
    listen: str
    readiness: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0


@dataclass
class Answer:
    """Answer that a client got; ``status`` is 0 if the channel closed before it.

    ``left`` is the time at which the client closed the channel before an answer.
    """

    request_id: str
    sent: float
    left: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Bed:
    """Store, servers, instances and clients of a case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.instances: list[Instance] = []
        self.servers: list[Server] = []
        self.answers: list[Answer] = []
        self._folder = Path(tempfile.mkdtemp(prefix="carobladder-review-"))

    async def add_server(self, service: str, handler: Handler) -> Server:
        """Start a server and register it."""
        server = Server(self.record, self.store, service, handler)
        await server.start()
        self.servers.append(server)
        return server

    def add_instance(self, name: str) -> Instance:
        """Write the settings of an instance."""
        ports = find_free_ports(4)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        names = ("listen", "readiness_listen", "metrics_listen", "peer_listen")
        lines = [f'{key} = "{at}"' for key, at in zip(names, addresses, strict=True)]
        lines += [
            f'instance = "{name}"',
            'data_centre = "z-a"',
            f'store_address = "{self.store.address}"',
            "memory_mb = 300",
            "share_partitions = 12",
            "entry_renewal_ms = 1200",
            "key_revocation_ms = 5000",
            "configuration_ms = 2000",
            "drain_notice_ms = 2000",
            "shutdown_grace_seconds = 8",
            "retry_ratio = 0.2",
            "retry_slack = 58",
            "load_multiple = 2",
        ]
        settings = self._folder / f"{name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        instance = Instance(name, self._folder, addresses[0], addresses[1], settings)
        self.instances.append(instance)
        return instance

    async def start_instance(self, instance: Instance) -> None:
        """Start the process with the command of the deploy file."""
        instance.starts += 1
        log = (self._folder / f"{instance.name}.{instance.starts}.log").open("wb")
        instance.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "carobladder.entry",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CAROBLADDER_SETTINGS": str(instance.settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"instance {instance.name} is started")

    async def wait_ready(self, instance: Instance, seconds: float = 15.0) -> None:
        """Wait until the platform's question for readiness is answered with 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.ask_ready(instance):
                self.record.write(f"instance {instance.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise NotRunError(
            f"instance {instance.name} is not ready: {self.tail(instance)}"
        )

    async def ask_ready(self, instance: Instance) -> bool:
        """Return whether the instance says that it is ready."""
        try:
            reader, writer = await open_channel(instance.readiness)
        except OSError:
            return False
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head.start

    def tail(self, instance: Instance) -> str:
        """Return the end of the instance's output."""
        path = self._folder / f"{instance.name}.{instance.starts}.log"
        return path.read_text(errors="replace")[-600:]

    def read_log(self, instance: Instance) -> str:
        """Return the output of the instance's newest process."""
        path = self._folder / f"{instance.name}.{instance.starts}.log"
        return path.read_text(errors="replace")

    async def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to an instance and, if it is to end, wait for that."""
        assert instance.process is not None
        self.record.write(f"instance {instance.name} gets {number.name}")
        instance.process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            await instance.process.wait()

    async def send(
        self,
        instance: Instance,
        path: str,
        *,
        method: str = "GET",
        key: str | None = None,
        body: bytes = b"",
        deadline_ms: int = 3000,
        leave_after: float | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request on a new channel and return its answer."""
        request_id = uuid.uuid4().hex[:16]
        fields = {
            "Host": HOST,
            "Carobladder-Request-Id": request_id,
            "Carobladder-Deadline": str(deadline_ms),
            **({"X-Api-Key": key} if key else {}),
            **({"Content-Length": str(len(body))} if body else {}),
            **(headers or {}),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        answer = Answer(request_id, self.record.now())
        self.answers.append(answer)
        self.record.write(
            f"client sends {request_id} {method} {path} key {key}, {len(body)} bytes, "
            f"to {instance.name}"
        )
        try:
            reader, writer = await open_channel(instance.listen)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            seconds = deadline_ms / 1000 if leave_after is None else leave_after
            message = await asyncio.wait_for(read_message(reader), seconds)
        except TimeoutError:
            writer.close()
            answer.left = self.record.now()
            self.record.write(f"client leaves {request_id}, its channel is closed")
            return answer
        except OSError:
            message = None
        else:
            writer.close()
        if message is not None:
            answer.status = int(message.start.split(" ")[1])
            answer.headers, answer.body = message.headers, message.body
        self.record.write(f"client gets {answer.status} for {request_id}")
        return answer

    async def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for listener in (*self.servers, self.store):
            await listener.stop()
        if os.environ.get("KEEP"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def list_runs(self) -> list[Run]:
        """Return all runs of all servers."""
        return [run for server in self.servers for run in server.runs]


async def open_channel(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a channel to IP:PORT."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=2**22)


def find_free_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback address."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def build_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "attempts": 1,
        "priority": 1,
        **fields,
    }


def build_state(version: int, routes: list[dict], tenants: list[dict]) -> dict:
    """Return a desired state as the operator writes it."""
    services = sorted({str(route["service"]) for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 110}
            for name in services
        ],
        "tenants": tenants,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 75000,
        },
    }


def has_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case: Callable[[Bed], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule held, and exit as the issue says."""
    sys.exit(asyncio.run(_play(folder, case)))


async def _play(folder: Path, case: Callable[[Bed], Awaitable[bool]]) -> int:
    bed = Bed(folder)
    try:
        await bed.store.start()
        async with asyncio.timeout(110.0):
            held = await case(bed)
    except (NotRunError, OSError, TimeoutError) as error:
        bed.record.write(f"the case did not run: {error!r}")
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        await bed.close()
    bed.record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    return HELD if held else BROKEN
