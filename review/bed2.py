"""A small deployment of the entry program beside stand-ins, for cases of a review.

The entry program runs as separate processes with the command of the deploy file. The
platform's store, servers and callers are stand-ins in this process, on loopback
addresses and the real clock. Only the standard library and ``standins.store`` are used.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from standins.store import StoreAnswer, StoreState  # noqa: E402

HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 3.0
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
CALLER_HOST = "ficu95.example"
_ANSWER_SECONDS = 0.004
_SHARE_TOPICS = 20
_PORTS = (18_000, 30_000)
_LINGER_NONE = struct.pack("ii", 1, 0)


def find_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def take_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, below those of outgoing connections.

    Otherwise a connection of another program could take one before it is used.
    """
    ports: list[int] = []
    held: list[socket.socket] = []
    while len(ports) < count:
        port = random.randrange(*_PORTS)
        tcp = socket.socket()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        with contextlib.suppress(OSError):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            ports.append(port)
    for sock in held:
        sock.close()
    return ports


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def save(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass
class Message:
    """A request or an answer, up to its body."""

    first: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers; raises on the end of the connection."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {n.lower(): v.strip() for n, _, v in pairs})


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length, or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def build_head(first: str, headers: list[tuple[str, str]]) -> bytes:
    """Return a first line and headers as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process that crashes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    writer.transport.abort()


class Listener:
    """HTTP/1.1 server of a stand-in, whose connections can be reset together."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    @property
    def address(self) -> str:
        """Address at which it listens."""
        return f"{HOST}:{self.port}"

    async def listen(self, port: int = 0) -> None:
        """Listen at a port; 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request.headers)
                await self.handle(request, reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


@dataclass
class _Group:
    generation: int = 0
    topics: tuple[str, ...] = ()
    lapses: dict[str, float] = field(default_factory=dict)
    holders: dict[tuple[str, int], str] = field(default_factory=dict)


class Store(Listener):
    """The platform's store: topics by ``standins.store``, groups with leases.

    A partition goes to another member once its holder has joined with the generation
    that took it away, has left, or has sent nothing for its lease.
    """

    def __init__(self, parts: int = 12) -> None:
        super().__init__()
        self.state = StoreState(parts)
        self._parts = parts
        self._changed = asyncio.Event()
        self._groups: dict[str, _Group] = {}
        # Returns the status of a refusal of this call, or None.
        self.refuse: Callable[[str, Message], int | None] = lambda path, request: None

    def put(self, topic: str, key: str, document: object | None) -> None:
        """Write as the operator or a server does."""
        value = None if document is None else json.dumps(document).encode()
        self.state.put(topic, key, value)
        self.wake()

    def wake(self) -> None:
        """Let waiting reads look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one call."""
        method, target, _ = request.first.split(" ")
        path = urlsplit(target).path
        await asyncio.sleep(_ANSWER_SECONDS)
        status = self.refuse(path, request)
        if status is not None:
            answer = StoreAnswer(status, b"{}")
        elif path == "/-/log-join":
            answer = self._join(json.loads(request.body))
        elif path == "/-/log-leave":
            answer = self._leave(json.loads(request.body))
        elif path == "/-/log-read":
            answer = await self._read(target)
        else:
            answer = self.state.call(method, target, request.body)
            if path == "/-/log-append":
                self.wake()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(answer.body))),
            *self.state.era_headers,
        ]
        writer.write(build_head(f"HTTP/1.1 {answer.status} X", headers) + answer.body)
        await writer.drain()

    async def _read(self, target: str) -> StoreAnswer:
        """Answer a read, waiting for records as long as it asks."""
        query = dict(parse_qsl(urlsplit(target).query))
        ends_at = time.monotonic() + float(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            answer = self.state.call("GET", target)
            left = ends_at - time.monotonic()
            if answer.status != 200 or len(answer.body) > 16 or left <= 0:
                return answer
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _join(self, call: dict) -> StoreAnswer:
        group = self._groups.setdefault(call["group"], _Group())
        now = time.monotonic()
        self._expire(group, now)
        member = call["member"]
        if member not in group.lapses or not group.topics:
            group.topics = tuple(call["topics"])[:_SHARE_TOPICS]
            group.generation += 1
        group.lapses[member] = now + call["ttlMs"] / 1000
        wanted = self._plan(group)
        for part, holder in list(group.holders.items()):
            confirmed = holder == member and call["generation"] >= group.generation
            if wanted[part] != holder and confirmed:
                del group.holders[part]
        mine = []
        for part, owner in wanted.items():
            if owner == member and group.holders.setdefault(part, member) == member:
                mine.append([*part, 0])
        answer = {"generation": group.generation, "ttlMs": call["ttlMs"], "parts": mine}
        return StoreAnswer(200, json.dumps(answer).encode())

    def _leave(self, call: dict) -> StoreAnswer:
        group = self._groups.setdefault(call["group"], _Group())
        self._drop(group, call["member"])
        return StoreAnswer(200, b"{}")

    def _expire(self, group: _Group, now: float) -> None:
        for member in [m for m, until in group.lapses.items() if until < now]:
            self._drop(group, member)

    def _drop(self, group: _Group, member: str) -> None:
        if group.lapses.pop(member, None) is not None:
            group.generation += 1
        for part in [p for p, holder in group.holders.items() if holder == member]:
            del group.holders[part]

    def _plan(self, group: _Group) -> dict[tuple[str, int], str]:
        members = sorted(group.lapses)
        parts = itertools.product(group.topics, range(self._parts))
        return {part: members[i % len(members)] for i, part in enumerate(parts)}


class Server(Listener):
    """A server of a service: registers itself, and answers what it may run.

    ``behave`` answers a request that the server accepts; by default it answers at once.
    """

    _numbers = itertools.count(1)

    def __init__(self, store: Store, service: str, zone: str, slots: int) -> None:
        super().__init__()
        self.server_id = ""
        self.name = f"server-{next(self._numbers)}"
        self.entry: dict = {
            "service": service,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
        }
        self.behave: Callable | None = None
        self.arrivals: list[tuple[float, str, str]] = []
        self.running = 0
        self._store = store
        self._sequence = 0
        self._lives = itertools.count(1)
        self._beats: asyncio.Task | None = None

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return int(self.entry["slots"])

    async def start(self) -> None:
        """Begin a new lifetime, with a new id, at the address of the first one."""
        await self.listen(self.port)
        self.server_id = f"i-{self.name}-{next(self._lives)}"
        self._sequence = 0
        self.entry.update(address=self.address, born=int(time.time() * 1000))
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def report(self) -> None:
        """Write the entry."""
        self._sequence += 1
        document = {**self.entry, "sequence": self._sequence}
        self._store.put("keyed.servers", self.server_id, document)

    def crash(self) -> None:
        """End at once; the entry lapses after three intervals."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
        self.stop()
        gone = self.server_id
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * HEARTBEAT_SECONDS, self._store.put, "keyed.servers", gone, None
        )

    def build_answer(
        self, request: Message, status: int, headers: list[tuple[str, str]]
    ) -> bytes:
        """Return the head of an answer to a request."""
        load = f"{self.running},0,{self.slots}"
        request_id = request.headers.get("carobladder-request-id", "")
        common = [
            ("Carobladder-Request-Id", request_id),
            ("Carobladder-Server-Load", load),
        ]
        if 200 <= status < 300:
            common.append(("Carobladder-Response-Signature", f"3e1b.{request_id}"))
        return build_head(f"HTTP/1.1 {status} X", [*common, *headers])

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request, or 421 if it is meant for another server."""
        expected = request.headers.get("carobladder-expect-instance")
        if expected not in (None, self.server_id):
            head = [
                ("Carobladder-Instance-Id", self.server_id),
                ("Content-Length", "0"),
            ]
            writer.write(self.build_answer(request, 421, head))
            return
        request_id = request.headers.get("carobladder-request-id", "")
        sender = str(writer.get_extra_info("peername")[1])
        self.arrivals.append((time.monotonic(), request_id, sender))
        self.running += 1
        try:
            if self.behave is None:
                await self.answer(request, writer)
            else:
                await self.behave(self, request, reader, writer)
            await writer.drain()
        finally:
            self.running -= 1

    async def answer(
        self,
        request: Message,
        writer: asyncio.StreamWriter,
        headers: tuple[tuple[str, str], ...] = (),
        status: int = 200,
        body: bytes = b"x" * 800,
    ) -> None:
        """Send a whole answer."""
        fields = [("Content-Length", str(len(body))), *headers]
        writer.write(self.build_answer(request, status, fields) + body)

    async def answer_events(
        self,
        request: Message,
        writer: asyncio.StreamWriter,
        count: int,
        gap_seconds: float,
    ) -> None:
        """Send a stream of events."""
        fields = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(self.build_answer(request, 200, fields))
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_seconds)
        writer.write(b"0\r\n\r\n")


class Instance:
    """One entry program as a process."""

    def __init__(self, number: int, store: Store, folder: Path, ports: list[int]):
        self.name = f"front-{number}"
        self.listen, self.readiness, self.metrics, self.peer = ports
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(
            f'instance = "{self.name}"\ndata_centre = "zone-{number % 3}"\n'
            f'listen = "{HOST}:{self.listen}"\n'
            f'readiness_listen = "{HOST}:{self.readiness}"\n'
            f'metrics_listen = "{HOST}:{self.metrics}"\n'
            f'peer_listen = "{HOST}:{self.peer}"\n'
            f'store_address = "{store.address}"\n'
            "memory_mb = 300\nshare_partitions = 12\nentry_renewal_ms = 1200\n"
            "key_revocation_ms = 5000\nconfiguration_ms = 2000\n"
            "drain_notice_ms = 2000\nshutdown_grace_seconds = 8\nretry_ratio = 0.2\n"
            "retry_slack = 58\nload_multiple = 2\nexposure_share = 0.1\n"
            "exposure_slack = 50\nhedge_share = 0.05\n"
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = role["entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CAROBLADDER_SETTINGS"] = str(self._settings)
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness)
        except OSError:
            return False
        try:
            head = [("Host", HOST), ("Connection", "close")]
            writer.write(build_head("GET /-/ready HTTP/1.1", head))
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            return answer.first.split(" ")[1] == "200"
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait until the instance is ready; raises TimeoutError."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready after {seconds} s")

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


@dataclass
class Outcome:
    """What a caller got: a status, or a broken connection."""

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    seconds: float = 0.0
    broken: str = ""


async def call(
    instance: Instance,
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
    key: str | None = KEY,
) -> Outcome:
    """Send one request on a new connection and read the whole answer."""
    began = time.monotonic()
    outcome = Outcome()
    fields = [
        ("Host", CALLER_HOST),
        ("Carobladder-Request-Id", request_id),
        ("Carobladder-Deadline", str(deadline_ms)),
        *headers,
    ]
    if key is not None:
        fields.append(("X-Api-Key", key))
    if body or method == "POST":
        fields.append(("Content-Length", str(len(body))))
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(HOST, instance.listen)
            writer.write(build_head(f"{method} {path} HTTP/1.1", fields) + body)
            answer = await read_head(reader)
            outcome.status = int(answer.first.split(" ")[1])
            outcome.headers = answer.headers
            outcome.body = await read_body(reader, answer.headers)
    except TimeoutError:
        outcome.broken = "no whole answer in the time budget"
    except (OSError, EOFError, ValueError) as error:
        outcome.broken = repr(error)[:80]
    finally:
        if writer is not None:
            writer.close()
    outcome.seconds = time.monotonic() - began
    return outcome


@dataclass
class Bed:
    """Store, instances and servers of one case."""

    record: Record
    folder: Path
    store: Store = field(default_factory=Store)
    instances: list[Instance] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)

    async def start_instances(self, count: int) -> None:
        """Start instances and wait until they are ready."""
        ports = iter(take_ports(4 * count))
        for number in range(1, count + 1):
            own = list(itertools.islice(ports, 4))
            self.instances.append(Instance(number, self.store, self.folder, own))
        await asyncio.gather(*(instance.start() for instance in self.instances))
        for instance in self.instances:
            await instance.wait_until_ready()

    async def add_server(self, service: str, zone: str, slots: int) -> Server:
        """Start a server."""
        server = Server(self.store, service, zone, slots)
        await server.start()
        self.servers.append(server)
        return server

    def keep_logs(self) -> None:
        """Copy the logs to the folder in KEEP_LOGS, if it is set."""
        if target := os.environ.get("KEEP_LOGS"):
            for instance in self.instances:
                text = instance.log.read_bytes()
                Path(target, instance.log.name).write_bytes(text)

    async def end(self) -> None:
        """End all that was started."""
        await asyncio.gather(*(instance.end() for instance in self.instances))
        for server in self.servers:
            server.crash()
        self.store.stop()


def run_case(folder: Path, play: Callable) -> int:
    """Play a case in a temporary folder; return 1 if the rule broke, 0 if it held.

    2 if the case could not run. ``play`` returns whether the rule held.
    """
    record = Record(folder / "record.txt")

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as name:
            bed = Bed(record, Path(name))
            await bed.store.listen()
            try:
                async with asyncio.timeout(115):
                    return await play(bed)
            finally:
                await bed.end()
                bed.keep_logs()

    try:
        held = asyncio.run(run())
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        record.save()
        return 2
    record.add("the rule held" if held else "the rule was broken")
    record.save()
    return 0 if held else 1
