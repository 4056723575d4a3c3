"""Client of the operators' interface."""

from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from carobladder.admin.api import PATH_PREFIX
from carobladder.admin.change_ids import new_change_id
from carobladder.admin.transport import SocketFetcher
from carobladder.clients.ports import HttpAnswer, HttpFetcher
from carobladder.clock import Clock
from carobladder.exceptions import (
    ClientError,
    ConnectionBrokenError,
    InvalidResourceError,
    MissingResourceError,
    UnknownResourceError,
)
from carobladder.headers import Headers
from carobladder.resources import parse_spec
from carobladder.telemetry import log_event

__all__ = [
    "APPLY_ORDER",
    "AdminClient",
    "Declaration",
    "ExitStatus",
    "Submitted",
    "find_differences",
    "parse_declarations",
]

_TIMEOUT_SECONDS = 15.0
# Longer than the server's interval between signs of life.
_STREAM_TIMEOUT_SECONDS = 40.0
_ATTEMPTS = 3
_RETRY_SECONDS = 0.5

# Resources that others refer to come first.
APPLY_ORDER = (
    "operator",
    "data-centre",
    "model",
    "service",
    "team",
    "target",
    "version-move",
    "data-centre-move",
)


class ExitStatus(IntEnum):
    """Name the exit status of a command."""

    ACCEPTED = 0
    REFUSED = 1
    UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class Declaration:
    """Hold one resource of a file; ``spec`` includes the defaults."""

    kind: str
    name: str
    spec: dict[str, Any]
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class Submitted:
    """Tell the outcome of one change; ``revision`` is where it was decided."""

    kind: str
    name: str
    outcome: str
    change_id: str = ""
    revision: int | None = None
    detail: str = ""

    @property
    def status(self) -> ExitStatus:
        """Return the exit status that stands for the outcome."""
        return _STATUS.get(self.outcome, ExitStatus.UNKNOWN)


_STATUS = {"accepted": ExitStatus.ACCEPTED, "refused": ExitStatus.REFUSED}


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Send operators' requests to one instance."""

    server: str
    key: str
    clock: Clock
    fetcher: HttpFetcher = field(default_factory=SocketFetcher)
    streams: SocketFetcher = field(default_factory=SocketFetcher)

    async def get(self, path: str, query: Mapping[str, str] | None = None) -> Any:
        """Return the decoded body; raises ClientError for anything but 200."""
        try:
            answer = await self._fetch("GET", path, query or {}, b"")
        except ConnectionBrokenError as error:
            raise ClientError(f"{error}; check --server") from error
        body = _decode(answer)
        if answer.status != 200:
            raise _make_error(body)
        return body

    async def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return a resource, or None if it does not exist.

        Raises ClientError.
        """
        try:
            return await self.get(f"{quote(kind)}/{quote(name)}")
        except MissingResourceError:
            return None

    async def put(
        self, declaration: Declaration, *, dry_run: bool = False
    ) -> Submitted:
        """Put a resource and return the outcome."""
        body = msgspec.json.encode(
            {
                "spec": declaration.spec,
                "expected_revision": declaration.expected_revision,
            }
        )
        return await self._submit(
            "PUT", declaration.kind, declaration.name, body, dry_run=dry_run
        )

    async def delete(
        self, kind: str, name: str, expected_revision: int | None = None
    ) -> Submitted:
        """Delete a resource and return the outcome."""
        query = {}
        if expected_revision is not None:
            query["expected_revision"] = str(expected_revision)
        return await self._submit("DELETE", kind, name, b"", query)

    async def watch(
        self, start: str | None, kind: str | None = None
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield the messages of a watch; resume after a disconnect.

        Raises ClientError when the cursor is too old or access ends.
        """
        cursor = start
        while True:
            query = {
                name: value
                for name, value in (("from", cursor), ("kind", kind))
                if value is not None
            }
            try:
                async for message in self._watch_once(query):
                    cursor = message.get("cursor", cursor)
                    yield message
            except ConnectionBrokenError as error:
                log_event("watch_disconnected", error=error)
            await self.clock.sleep(_RETRY_SECONDS)

    async def _watch_once(
        self, query: Mapping[str, str]
    ) -> AsyncIterator[dict[str, Any]]:
        async with self.streams.stream(
            "GET",
            self.server,
            _make_path("watch", query),
            headers=self._headers(),
            timeout_seconds=_STREAM_TIMEOUT_SECONDS,
        ) as answer:
            buffered = b""
            async for chunk in answer.chunks:
                *lines, buffered = (buffered + chunk).split(b"\n")
                for line in lines:
                    yield _check_message(msgspec.json.decode(line))
            if answer.status != 200:
                raise ClientError(_describe_problem(msgspec.json.decode(buffered)))

    async def _submit(
        self,
        method: str,
        kind: str,
        name: str,
        body: bytes,
        query: Mapping[str, str] | None = None,
        *,
        dry_run: bool = False,
    ) -> Submitted:
        """Send a change; repeat it under one change id while its answer is lost."""
        change_id = new_change_id(self.clock.now())
        full_query = {**(query or {}), "change_id": change_id}
        if dry_run:
            full_query["dry_run"] = "true"
        path = f"{quote(kind)}/{quote(name)}"
        result = Submitted(kind, name, "refused", change_id)
        for attempt in range(_ATTEMPTS):
            if attempt:
                await self.clock.sleep(_RETRY_SECONDS)
            latest = await self._attempt(method, path, full_query, body, result)
            # An earlier attempt may have taken effect; only the fleet's decision
            # about this change id settles it.
            if result.outcome == "unknown" and latest.revision is None and not dry_run:
                continue
            result = latest
            if result.outcome != "unknown":
                break
        return result

    async def _attempt(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes,
        base: Submitted,
    ) -> Submitted:
        try:
            answer = await self._fetch(method, path, query, body)
            decoded = _decode(answer)
        except ConnectionBrokenError as error:
            outcome = "unknown" if error.request_written else "refused"
            return _replace(base, outcome, str(error))
        except ClientError as error:
            return _replace(base, "unknown", str(error))
        outcome = decoded.get("outcome", "unknown")
        if "error" in decoded:
            decided_at = decoded.get("decided_at")
            return _replace(base, outcome, _describe_problem(decoded), decided_at)
        detail = decoded.get("effect", "")
        if not detail and not decoded.get("changed", True):
            detail = "unchanged"
        return _replace(base, outcome, detail, decoded.get("revision"))

    async def _fetch(
        self, method: str, path: str, query: Mapping[str, str], body: bytes
    ) -> HttpAnswer:
        return await self.fetcher.fetch(
            method,
            self.server,
            _make_path(path, query),
            headers=self._headers(),
            body=body,
            timeout_seconds=_TIMEOUT_SECONDS,
        )

    def _headers(self) -> Headers:
        return (
            ("authorization", f"Bearer {self.key}"),
            ("content-type", "application/json"),
        )


def parse_declarations(text: bytes) -> list[Declaration]:
    """Return the resources of a JSON value, an array or JSON lines, in order.

    Raises ClientError that names the resource and the remedy.
    """
    try:
        decoded = msgspec.json.decode(text)
        items = decoded if isinstance(decoded, list) else [decoded]
    except msgspec.DecodeError:
        items = _parse_lines(text)
    declarations = [_parse_item(number, item) for number, item in enumerate(items, 1)]
    return sorted(declarations, key=lambda item: APPLY_ORDER.index(item.kind))


def find_differences(
    current: Mapping[str, Any] | None, wanted: Mapping[str, Any]
) -> list[str]:
    """Return '-' and '+' lines of the fields that differ."""
    lines = []
    for name in sorted({*(current or {}), *wanted}):
        before = (current or {}).get(name)
        after = wanted.get(name)
        if before == after:
            continue
        if current is not None:
            lines.append(f"- {name}: {msgspec.json.encode(before).decode()}")
        lines.append(f"+ {name}: {msgspec.json.encode(after).decode()}")
    return lines


def _parse_lines(text: bytes) -> list[Any]:
    items = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        try:
            items.append(msgspec.json.decode(line))
        except msgspec.DecodeError as error:
            raise ClientError(f"line {number} is not JSON: {error}") from None
    return items


def _parse_item(number: int, item: Any) -> Declaration:
    if not isinstance(item, dict) or not {"kind", "name", "spec"} <= item.keys():
        raise ClientError(f"resource {number}: give 'kind', 'name' and 'spec'")
    kind, name = str(item["kind"]), str(item["name"])
    try:
        spec = parse_spec(kind, name, item["spec"]).to_plain()
    except InvalidResourceError as error:
        raise ClientError(f"resource {number}: {error}") from None
    return Declaration(kind, name, spec, item.get("expected_revision"))


def _make_path(path: str, query: Mapping[str, str]) -> str:
    suffix = f"?{urlencode(query)}" if query else ""
    return f"{PATH_PREFIX}/{path}{suffix}"


def _decode(answer: HttpAnswer) -> dict[str, Any]:
    try:
        return msgspec.json.decode(answer.body, type=dict[str, Any])
    except msgspec.DecodeError:
        raise ClientError(
            f"server answered {answer.status} without JSON; check --server"
        ) from None


def _describe_problem(body: Mapping[str, Any]) -> str:
    error = body.get("error", {})
    return f"{error.get('message', 'no message')}; {error.get('remedy', '')}"


def _make_error(body: Mapping[str, Any]) -> ClientError:
    if body.get("error", {}).get("code") == UnknownResourceError.code:
        return MissingResourceError(_describe_problem(body))
    return ClientError(_describe_problem(body))


def _check_message(message: dict[str, Any]) -> dict[str, Any]:
    if message.get("type") == "error":
        raise ClientError(_describe_problem(message))
    return message


def _replace(
    base: Submitted, outcome: str, detail: str, revision: int | None = None
) -> Submitted:
    return Submitted(base.kind, base.name, outcome, base.change_id, revision, detail)


def worst_status(results: Sequence[Submitted]) -> ExitStatus:
    """Return the exit status of several changes."""
    return max((result.status for result in results), default=ExitStatus.ACCEPTED)
