"""Operators' commands for moves."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Annotated, Any, ClassVar

import cappa

from carobladder.admin.client import AdminClient, Declaration, ExitStatus
from carobladder.admin.commands import Connected
from carobladder.admin.moves import (
    MOVE_KINDS,
    describe_move,
    find_move,
    follow_move,
    list_plan,
    name_data_centre_move,
    set_intent,
)
from carobladder.admin.output import print_rows
from carobladder.exceptions import ClientError, InvalidResourceError
from carobladder.resources import ABSENT, parse_spec

__all__ = ["DrainCommand", "MoveCommand", "PlanCommand", "ReturnCommand"]

_PLAN_COLUMNS = ("time", "what", "name", "state", "detail")
_DEFAULT_TIME = timedelta(hours=1)

FinishBy = Annotated[
    datetime | None,
    cappa.Arg(
        long=True,
        parse=datetime.fromisoformat,
        help="ISO 8601 time with its zone; an hour from now if not given.",
    ),
]
Wait = Annotated[
    bool, cappa.Arg(long=True, help="Show progress until the move has ended.")
]
MoveName = Annotated[str, cappa.Arg(help="Name of the move.")]


@cappa.command(name="plan")
@dataclass
class PlanCommand:
    """Show declared windows and moves in the order of their times."""

    connection: Connected

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        rows = await list_plan(client)
        print_rows(rows, _PLAN_COLUMNS, self.connection.output)
        return ExitStatus.ACCEPTED


@dataclass
class _DataCentreCommand:
    connection: Connected
    data_centre: Annotated[str, cappa.Arg(help="Name of the data centre.")]
    finish_by: FinishBy = None
    wait: Wait = False

    direction: ClassVar[str] = ""

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        now = client.clock.now()
        spec = {
            "data_centre": self.data_centre,
            "direction": self.direction,
            "finish_by": (self.finish_by or now + _DEFAULT_TIME).isoformat(),
        }
        name = name_data_centre_move(self.data_centre, self.direction, now)
        return await _declare(self, client, "data-centre-move", name, spec)


@cappa.command(name="drain")
@dataclass
class DrainCommand(_DataCentreCommand):
    """Take a data centre out of service."""

    direction: ClassVar[str] = "leave"


@cappa.command(name="return")
@dataclass
class ReturnCommand(_DataCentreCommand):
    """Bring a data centre back into service."""

    direction: ClassVar[str] = "return"


@cappa.command(name="start")
@dataclass
class MoveStartCommand:
    """Declare a version move, or let a paused move go on."""

    connection: Connected
    name: MoveName
    model: Annotated[str | None, cappa.Arg(long=True, help="Model to move.")] = None
    from_version: Annotated[
        str | None, cappa.Arg(long="--from", help="Present version.")
    ] = None
    to_version: Annotated[
        str | None, cappa.Arg(long="--to", help="Version to move to.")
    ] = None
    finish_by: FinishBy = None
    wait: Wait = False

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        if self.model is None:
            return await _change_intent(self, client, "run")
        now = client.clock.now()
        spec = {
            "model": self.model,
            "from": self.from_version,
            "to": self.to_version,
            "start": now.isoformat(),
            "finish_by": (self.finish_by or now + _DEFAULT_TIME).isoformat(),
        }
        return await _declare(self, client, "version-move", self.name, spec)


@dataclass
class _IntentCommand:
    connection: Connected
    name: MoveName
    wait: Wait = False

    intent: ClassVar[str] = ""

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        return await _change_intent(self, client, self.intent)


@cappa.command(name="pause")
@dataclass
class MovePauseCommand(_IntentCommand):
    """Hold a move at its present step."""

    intent: ClassVar[str] = "pause"


@cappa.command(name="back")
@dataclass
class MoveBackCommand(_IntentCommand):
    """Take a move back to where it began."""

    intent: ClassVar[str] = "back"


@cappa.command(name="status")
@dataclass
class MoveStatusCommand:
    """Show the progress of one move, or of all."""

    connection: Connected
    name: Annotated[str | None, cappa.Arg(help="Name of the move.")] = None
    follow: Annotated[
        bool, cappa.Arg(long=True, help="Show progress until the move has ended.")
    ] = False

    def __call__(self) -> None:
        """Run the command."""
        self.connection.run(self._work)

    async def _work(self, client: AdminClient) -> ExitStatus:
        if self.name is not None and self.follow:
            await follow_move(client, self.name)
            return ExitStatus.ACCEPTED
        for move in await self._list(client):
            if self.connection.output == "json":
                print_rows([move], (), "json")
            else:
                print(describe_move(move))
        return ExitStatus.ACCEPTED

    async def _list(self, client: AdminClient) -> list[dict[str, Any]]:
        if self.name is not None:
            return [await find_move(client, self.name)]
        answers = [await client.get(kind) for kind in MOVE_KINDS]
        return [move for answer in answers for move in answer["items"]]


@cappa.command(name="move")
@dataclass
class MoveCommand:
    """Start, pause, take back or show moves."""

    command: cappa.Subcommands[
        MoveStartCommand | MovePauseCommand | MoveBackCommand | MoveStatusCommand
    ]


async def _declare(
    command: _DataCentreCommand | MoveStartCommand,
    client: AdminClient,
    kind: str,
    name: str,
    spec: Mapping[str, Any],
) -> ExitStatus:
    """Declare a new move and follow it if asked."""
    try:
        plain = parse_spec(kind, name, spec).to_plain()
    except InvalidResourceError as error:
        raise ClientError(str(error)) from None
    result = await client.put(Declaration(kind, name, plain, ABSENT))
    status = command.connection.report([result])
    return await _follow_if_asked(command, client, name, status)


async def _change_intent(
    command: _IntentCommand | MoveStartCommand, client: AdminClient, intent: str
) -> ExitStatus:
    result = await set_intent(client, command.name, intent)
    status = command.connection.report([result])
    return await _follow_if_asked(command, client, command.name, status)


async def _follow_if_asked(
    command: _DataCentreCommand | _IntentCommand | MoveStartCommand,
    client: AdminClient,
    name: str,
    status: ExitStatus,
) -> ExitStatus:
    """Return REFUSED if the move ended otherwise than asked."""
    if not command.wait or status is not ExitStatus.ACCEPTED:
        return status
    move = await follow_move(client, name)
    taken_back = move["status"]["state"] == "taken-back"
    asked_back = move["spec"]["intent"] == "back"
    return ExitStatus.REFUSED if taken_back and not asked_back else status
