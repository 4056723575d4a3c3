"""Operators' commands of the command line."""

import asyncio
import sys
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa

from carobladder.admin.client import (
    AdminClient,
    ExitStatus,
    Submitted,
    find_differences,
    parse_declarations,
    worst_status,
)
from carobladder.admin.output import print_rows, show_error
from carobladder.clock import SystemClock
from carobladder.exceptions import CarobladderError, ClientError
from carobladder.resources import KINDS

__all__ = [
    "ApplyCommand",
    "Connected",
    "Connection",
    "DeleteCommand",
    "DiffCommand",
    "GetCommand",
    "WatchCommand",
]

_OUTCOME_COLUMNS = ("kind", "name", "outcome", "revision", "change_id", "detail")

Work = Callable[[AdminClient], Coroutine[Any, Any, ExitStatus]]


@dataclass(frozen=True)
class Connection:
    """Say which instance to ask, as whom, and how to print."""

    server: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("CAROBLADDER_SERVER", default="127.0.0.1:8080"),
            help="IP:PORT of an instance (CAROBLADDER_SERVER).",
        ),
    ]
    key: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("CAROBLADDER_KEY", default=""),
            show_default=False,
            help="Operator's or team administrator's key (CAROBLADDER_KEY).",
        ),
    ]
    output: Annotated[
        Literal["table", "json"], cappa.Arg(long=True, help="Form of the output.")
    ] = "table"

    def run(self, work: Work) -> None:
        """Run the work and exit with its status."""
        try:
            status = asyncio.run(work(self._make_client()))
        except KeyboardInterrupt:
            status = ExitStatus.ACCEPTED
        except (CarobladderError, OSError) as error:
            show_error(str(error))
            status = ExitStatus.REFUSED
        raise cappa.Exit(code=int(status))

    def _make_client(self) -> AdminClient:
        if not self.key:
            raise ClientError("no key; set --key or CAROBLADDER_KEY")
        server = self.server.removeprefix("http://").rstrip("/")
        return AdminClient(server, self.key, SystemClock())

    def report(self, results: Sequence[Submitted]) -> ExitStatus:
        """Print outcomes and return the exit status."""
        print_rows([asdict(item) for item in results], _OUTCOME_COLUMNS, self.output)
        return worst_status(results)


Connected = cappa.Destructured[Connection]
# A string, since cappa enters a Path as a context manager, which is deprecated.
File = Annotated[
    str,
    cappa.Arg(short="-f", long="--file", help="JSON or JSON lines; '-' for stdin."),
]
Kind = Annotated[str, cappa.Arg(choices=list(KINDS), help="Kind of the resource.")]


@cappa.command(name="apply")
@dataclass(frozen=True)
class ApplyCommand:
    """Declare the resources of a file; repeating it changes nothing."""

    connection: Connected
    file: File
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Show the effect and change nothing.")
    ] = False

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        declarations = parse_declarations(_read_file(self.file))
        results = [
            await client.put(declaration, dry_run=self.dry_run)
            for declaration in declarations
        ]
        return self.connection.report(results)


@cappa.command(name="get")
@dataclass(frozen=True)
class GetCommand:
    """Show the resources of a kind, or one of them."""

    connection: Connected
    kind: Kind
    name: str | None = None
    team: Annotated[
        str | None, cappa.Arg(long=True, help="Only what serves this team.")
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        if self.name is None:
            query = {} if self.team is None else {"team": self.team}
            items = (await client.get(self.kind, query))["items"]
        else:
            items = [await client.get(f"{self.kind}/{self.name}")]
        columns = ["name", "revision", "spec"]
        if any("status" in item for item in items):
            columns.append("status")
        print_rows(items, columns, self.connection.output)
        return ExitStatus.ACCEPTED


@cappa.command(name="delete")
@dataclass(frozen=True)
class DeleteCommand:
    """Delete a resource."""

    connection: Connected
    kind: Kind
    name: str
    expected_revision: Annotated[
        int | None, cappa.Arg(long=True, help="Refuse if it is at another revision.")
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        result = await client.delete(self.kind, self.name, self.expected_revision)
        return self.connection.report([result])


@cappa.command(name="diff")
@dataclass(frozen=True)
class DiffCommand:
    """Show how the resources of a file differ from the declared ones."""

    connection: Connected
    file: File

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        rows = []
        for item in parse_declarations(_read_file(self.file)):
            current = await client.find(item.kind, item.name)
            lines = find_differences(current and current["spec"], item.spec)
            rows.append({"kind": item.kind, "name": item.name, "differences": lines})
        if self.connection.output == "json":
            print_rows(rows, (), "json")
            return ExitStatus.ACCEPTED
        for row in rows:
            if row["differences"]:
                print(f"{row['kind']}/{row['name']}")
                print("\n".join(f"  {line}" for line in row["differences"]))
        return ExitStatus.ACCEPTED


@cappa.command(name="watch")
@dataclass(frozen=True)
class WatchCommand:
    """Show changes as they are accepted and in force, one line each."""

    connection: Connected
    kind: Annotated[
        str | None, cappa.Arg(long=True, choices=list(KINDS), help="Only this kind.")
    ] = None
    start: Annotated[
        str | None,
        cappa.Arg(long="--from", help="Revision or cursor after which to start."),
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        async for message in client.watch(self.start, self.kind):
            if self.connection.output == "json":
                print_rows([message], (), "json")
            else:
                _print_event(message)
            sys.stdout.flush()
        return ExitStatus.ACCEPTED


def _read_file(path: str) -> bytes:
    """Return the content of a file, or of standard input for '-'."""
    return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()


def _print_event(message: dict[str, Any]) -> None:
    match message["type"]:
        case "waiting":
            names = ", ".join(message["waiting_for"]) or "nobody"
            print(f"waiting for {names}")
        case "log":
            print(f"log is {message['log']}")
        case "accepted" | "in_force":
            change = message["change"]
            print(
                f"{message['type']} revision={change['revision']} "
                f"{change['action']} {change['kind']}/{change['name']} "
                f"who={change['who']} cursor={message['cursor']}"
            )
        case _:
            pass
