"""Two operators who want opposite things of one move, with lost log answers."""

import asyncio
import time
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

from carobladder.clients.http import HttpClient
from carobladder.clients.log import LogRecord
from carobladder.clock import SystemClock
from carobladder.platform.store import PlatformStore, StoreLog
from carobladder.resources.records import CONFIG_STREAM
from demo.callers import new_uuid7
from demo.deployments import Declaration
from demo.fleet import Fleet
from standins.client import JsonAnswer, fetch_json

__all__ = ["RaceResult", "run_race"]

_NAME = "raced"
_SECONDS = 10.0
_POLL_SECONDS = 0.1
_LOG_SECONDS = 5.0


@dataclass(slots=True)
class RaceResult:
    """Count what the race did and what it broke."""

    changes: int = 0
    refused: int = 0
    lost: int = 0
    reverts: int = 0
    doubled: int = 0
    state: str = ""
    seen: dict[int, dict[str, Any]] = field(default_factory=dict)

    def list_missed(self) -> list[str]:
        """Return the targets that were missed."""
        missed = []
        if self.reverts:
            missed.append(f"reverts: {self.reverts}")
        if self.doubled:
            missed.append(f"doubled: {self.doubled}")
        if not self.lost:
            missed.append("no answer of the log was lost; the race shows nothing")
        if self.state != "taken-back":
            missed.append(f"the raced move ended {self.state}")
        return missed


async def run_race(fleet: Fleet) -> RaceResult:
    """Let two operators pause and run a move by turns, then take it back."""
    result = RaceResult()
    spec = {
        "model": fleet.deployment.model.name,
        "from": "v1",
        "to": "v2",
        "finish_by": (datetime.now(UTC) + timedelta(minutes=5)).isoformat(),
        "steps": [0.01, 0.5],
        "step_seconds": 1.0,
        "step_requests": 1,
        "bake_seconds": 60.0,
    }
    await fleet.declare(Declaration("version-move", _NAME, spec))
    rules = [{"kind": "lose_answer", "method": "POST", "share": 0.3}]
    await fetch_json("POST", fleet.log_address, "/faults", {"rules": rules})
    end = time.monotonic() + _SECONDS
    async with asyncio.TaskGroup() as group:
        group.create_task(_operate(fleet, 0, "pause", end, result))
        group.create_task(_operate(fleet, 1, "run", end, result))
        for index in range(len(fleet.instances)):
            group.create_task(_observe(fleet, index, end + 1.0, result))
    faults = await fetch_json("GET", fleet.log_address, "/faults")
    result.lost = sum(rule["fired"] for rule in faults.body["rules"])
    await fetch_json("POST", fleet.log_address, "/faults", {})
    await _put_intent(fleet, 2, "back", None)
    result.state = await _wait_end(fleet)
    result.doubled = await _count_doubled(fleet)
    return result


async def _operate(
    fleet: Fleet, instance: int, intent: str, end: float, result: RaceResult
) -> None:
    """Ask for an intent again and again, each time from what was read."""
    while time.monotonic() < end:
        move = await _read(fleet, instance)
        answer = await _put_intent(fleet, instance, intent, move["revision"])
        result.changes += answer.status == 200
        result.refused += answer.status == 409 or answer.status == 412
        await asyncio.sleep(_POLL_SECONDS)


async def _put_intent(
    fleet: Fleet, instance: int, intent: str, revision: int | None
) -> JsonAnswer:
    while True:
        move = await _read(fleet, instance)
        body = {"spec": {**move["spec"], "intent": intent}}
        if revision is not None:
            body["expected_revision"] = revision
        path = f"/version-move/{_NAME}?change_id={new_uuid7()}"
        answer = await _call(fleet, instance, "PUT", path, body)
        if answer.status == 200 or revision is not None:
            return answer
        await asyncio.sleep(_POLL_SECONDS)


async def _observe(fleet: Fleet, instance: int, end: float, result: RaceResult) -> None:
    """Count revisions that go back, and revisions with two meanings."""
    newest = -1
    while time.monotonic() < end:
        move = await _read(fleet, instance)
        revision = move["revision"]
        result.reverts += revision < newest
        newest = max(newest, revision)
        known = result.seen.setdefault(revision, move["spec"])
        result.reverts += known != move["spec"]
        await asyncio.sleep(_POLL_SECONDS)


async def _wait_end(fleet: Fleet) -> str:
    limit = time.monotonic() + 30.0
    state = ""
    while time.monotonic() < limit and state not in ("taken-back", "finished"):
        state = (await _read(fleet, 2))["status"]["state"]
        await asyncio.sleep(_POLL_SECONDS)
    return state


async def _read_log(address: str) -> list[LogRecord]:
    """Return all records of the configuration."""
    log = StoreLog(PlatformStore(HttpClient(SystemClock()), address, _LOG_SECONDS))
    records: list[LogRecord] = []
    while batch := (await log.read(CONFIG_STREAM, len(records))).records:
        records += batch
    return records


async def _count_doubled(fleet: Fleet) -> int:
    """Return the changes that took effect more than once.

    The whole log is decided again here: of the records with one change id at most
    one may be in the audit as accepted, and no revision may be followed twice.
    """
    audit = await _call(fleet, 0, "GET", f"/audit?limit=4096&name={_NAME}", None)
    accepted = [i for i in audit.body["items"] if i["outcome"] == "accepted"]
    identities = [item["change_id"] for item in accepted]
    records = await _read_log(fleet.log_address)
    expected = []
    by_offset = {item["revision"] for item in accepted if item["changed"]}
    for record in records:
        decoded = msgspec.json.decode(record.data)
        if record.offset in by_offset and decoded["type"] == "move-step":
            expected.append(decoded["expected_revision"])
    repeated = len(identities) - len(set(identities))
    return repeated + len(expected) - len(set(expected))


async def _read(fleet: Fleet, instance: int) -> Any:
    answer = await _call(fleet, instance, "GET", f"/version-move/{_NAME}", None)
    return answer.body


async def _call(
    fleet: Fleet, instance: int, method: str, path: str, body: Any
) -> JsonAnswer:
    headers = {"Authorization": f"Bearer {fleet.admin_key}"}
    address = fleet.instances[instance].address
    return await fetch_json(
        method,
        address,
        f"/admin/v1{path}",
        body,
        headers,
        timeout_seconds=15.0,
    )
