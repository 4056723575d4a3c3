"""Requests of operators about moves, and the lines that show them."""

from collections.abc import Mapping
from datetime import datetime
from typing import Any

from carobladder.admin.client import AdminClient, Declaration, Submitted
from carobladder.admin.output import print_progress
from carobladder.exceptions import ClientError

__all__ = [
    "MOVE_KINDS",
    "describe_move",
    "find_move",
    "follow_move",
    "has_ended",
    "list_plan",
    "name_data_centre_move",
    "set_intent",
]

MOVE_KINDS = ("version-move", "data-centre-move")
_POLL_SECONDS = 1.0
# Polls that may fail in a row, for example while the instance is replaced.
_POLL_FAILURES = 30
_ATTEMPTS = 3


async def find_move(client: AdminClient, name: str) -> dict[str, Any]:
    """Return the move of a name, of whichever kind; raises ClientError."""
    for kind in MOVE_KINDS:
        found = await client.find(kind, name)
        if found is not None:
            return found
    raise ClientError(f"move {name} does not exist; see 'carobladder plan'")


def has_ended(move: Mapping[str, Any]) -> bool:
    """Tell whether the driver has nothing left to do for a move."""
    state = move.get("status", {}).get("state")
    if move["kind"] == "version-move":
        return state in ("finished", "taken-back")
    leaves = move["spec"]["direction"] == "leave"
    if move["spec"]["intent"] == "back":
        leaves = not leaves
    return state == ("empty" if leaves else "refilled")


async def follow_move(client: AdminClient, name: str) -> dict[str, Any]:
    """Show a line for each change of progress until the move has ended."""
    shown = ""
    failures = 0
    while True:
        try:
            move = await find_move(client, name)
        except ClientError:
            failures += 1
            if failures > _POLL_FAILURES:
                raise
        else:
            failures = 0
            line = describe_move(move)
            if line != shown:
                print_progress(line, last=has_ended(move))
                shown = line
            if has_ended(move):
                return move
        await client.clock.sleep(_POLL_SECONDS)


async def set_intent(client: AdminClient, name: str, intent: str) -> Submitted:
    """Ask the driver of a move to run it, pause it or take it back."""
    for _ in range(_ATTEMPTS):
        move = await find_move(client, name)
        spec = {**move["spec"], "intent": intent}
        result = await client.put(
            Declaration(move["kind"], name, spec, move["revision"])
        )
        if result.outcome != "refused":
            return result
    return result


def describe_move(move: Mapping[str, Any]) -> str:
    """Return one line about the progress of a move."""
    spec, status = move["spec"], move.get("status", {})
    steps = spec.get("steps") or spec.get("refill_steps")
    fields = {
        "move": move["name"],
        "intent": spec["intent"],
        "state": status.get("state", "declared"),
        "step": f"{status.get('step', 0) + 1}/{len(steps)}",
        "driver": status.get("driver") or "none",
        "finish_by": spec["finish_by"],
    }
    for name in ("share", "verdict", "driver_state"):
        if name in status:
            fields[name] = status[name]
    if status.get("detail"):
        fields["detail"] = status["detail"]
    return " ".join(f"{name}={value}" for name, value in fields.items())


def name_data_centre_move(data_centre: str, direction: str, now: datetime) -> str:
    """Return a name that no earlier move has, so that no old progress counts."""
    return f"{data_centre}-{direction}-{now:%Y%m%d%H%M%S}"


async def list_plan(client: AdminClient) -> list[dict[str, Any]]:
    """Return declared windows and moves in the order of their times."""
    rows = []
    for item in (await client.get("data-centre"))["items"]:
        for window in item["spec"]["windows"]:
            rows.append(
                {
                    "time": window["start"],
                    "what": "maintenance window",
                    "name": item["name"],
                    "state": item["spec"]["state"],
                    "detail": f"until {window['end']}",
                }
            )
    for kind in MOVE_KINDS:
        for item in (await client.get(kind))["items"]:
            rows.append(_make_move_row(item))
    return sorted(rows, key=lambda row: datetime.fromisoformat(row["time"]))


def _make_move_row(move: Mapping[str, Any]) -> dict[str, Any]:
    spec = move["spec"]
    if move["kind"] == "version-move":
        detail = f"{spec['model']} from {spec['from']} to {spec['to']}"
    else:
        detail = f"{spec['data_centre']} {spec['direction']}"
    return {
        "time": spec["finish_by"],
        "what": move["kind"],
        "name": move["name"],
        "state": move.get("status", {}).get("state", "declared"),
        "detail": detail,
    }
