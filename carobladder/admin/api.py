"""Operator interface, independent of the HTTP server that carries it."""

from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any, Literal

import msgspec

from carobladder.admin.change_ids import check_change_id, new_change_id
from carobladder.admin.roles import Actor, Roles, is_visible_to_team
from carobladder.admin.streams import StreamFormat, stream_watch
from carobladder.admin.submission import ChangeSubmitter
from carobladder.clients.log import Log
from carobladder.clock import Clock
from carobladder.exceptions import (
    CallerError,
    InvalidResourceError,
    MalformedRequestError,
    NotReadyError,
    Outcome,
    RevisionConflictError,
    UnknownPathError,
    UnknownResourceError,
)
from carobladder.headers import Headers
from carobladder.resources import (
    ABSENT,
    KINDS,
    AuditEntry,
    Catalog,
    Change,
    ChangeEvent,
    ConfiguredDirectory,
    Cursor,
    Resource,
    WatchHistory,
    parse_spec,
)

__all__ = ["PATH_PREFIX", "AdminAnswer", "AdminApi", "AdminRequest"]

PATH_PREFIX = "/admin/v1"
_JSON = ("content-type", "application/json")
_DEFAULT_AUDIT_LIMIT = 100


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """Carry a parsed request; header names are lower case, the path is decoded."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """Carry a whole answer in ``body``, or a streamed one in ``stream``.

    The server closes ``stream`` when the client disconnects.
    """

    status: int
    headers: Headers = (_JSON,)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None


class AdminApi:
    """Answer the requests of operators and team administrators."""

    def __init__(
        self,
        catalog: Catalog,
        directory: ConfiguredDirectory,
        history: WatchHistory,
        log: Log,
        clock: Clock,
        admin_key: str,
        *,
        submitter: ChangeSubmitter | None = None,
    ) -> None:
        self._catalog = catalog
        self._history = history
        self._clock = clock
        self._roles = Roles(catalog, directory, admin_key)
        self._submitter = submitter or ChangeSubmitter(log, catalog, history, clock)
        self.describe_move: Callable[[str, str], Mapping[str, Any]] = _describe_nothing

    async def handle(self, request: AdminRequest) -> AdminAnswer:
        """Return the answer; every CallerError becomes a JSON problem."""
        try:
            actor = self._roles.authenticate(_read_credentials(request))
            if not self._catalog.loaded:
                raise NotReadyError("this instance has no configuration yet")
            return await self._route(request, actor)
        except CallerError as error:
            return _describe_error(error)

    async def _route(self, request: AdminRequest, actor: Actor) -> AdminAnswer:
        match request.method, request.path.removeprefix(PATH_PREFIX).split("/")[1:]:
            case "GET", ["watch"]:
                return self._watch(request, actor)
            case "GET", ["audit"]:
                return self._list_audit(request, actor)
            case "GET", ["changes", change_id]:
                return self._find_change(actor, change_id)
            case "GET", [kind]:
                return self._list(request, actor, _check_kind(kind))
            case "GET", [kind, name]:
                return self._get(actor, _check_kind(kind), name)
            case "PUT", [kind, name]:
                return await self._put(request, actor, _check_kind(kind), name)
            case "DELETE", [kind, name]:
                return await self._delete(request, actor, _check_kind(kind), name)
        raise UnknownPathError(f"no operator request {request.method} {request.path}")

    def _list(self, request: AdminRequest, actor: Actor, kind: str) -> AdminAnswer:
        team = request.query.get("team")
        items = [
            self._describe(resource)
            for resource in self._catalog.list_kind(kind)
            if self._roles.can_see(actor, kind, resource.name)
            and (
                team is None
                or is_visible_to_team(self._catalog, team, kind, resource.name)
            )
        ]
        return _answer({"items": items, "revision": self._catalog.applied_offset})

    def _get(self, actor: Actor, kind: str, name: str) -> AdminAnswer:
        resource = self._catalog.get(kind, name)
        # A resource outside the scope is answered like one that does not exist.
        if resource is None or not self._roles.can_see(actor, kind, name):
            raise UnknownResourceError(f"{kind}/{name} does not exist")
        answer = _answer(self._describe(resource))
        etag = ("etag", f'"{resource.revision}"')
        return replace(answer, headers=(*answer.headers, etag))

    async def _put(
        self, request: AdminRequest, actor: Actor, kind: str, name: str
    ) -> AdminAnswer:
        body = _decode_body(request.body)
        spec = parse_spec(kind, name, body.get("spec"))
        expected = _read_expected(request, body)
        relied_on = self._roles.check_put(actor, kind, name, spec)
        if relied_on is not None:
            # The scope was checked against this revision only.
            _check_same_revision(expected, relied_on)
            expected = relied_on
        change = self._make_change(request, actor, "put", kind, name)
        change = msgspec.structs.replace(
            change, spec=spec.to_plain(), expected_revision=expected
        )
        return await self._run(request, change)

    async def _delete(
        self, request: AdminRequest, actor: Actor, kind: str, name: str
    ) -> AdminAnswer:
        self._roles.check_delete(actor, kind, name)
        change = self._make_change(request, actor, "delete", kind, name)
        expected = _read_expected(request, {})
        change = msgspec.structs.replace(change, expected_revision=expected)
        return await self._run(request, change)

    def _make_change(
        self,
        request: AdminRequest,
        actor: Actor,
        action: Literal["put", "delete"],
        kind: str,
        name: str,
    ) -> Change:
        now = self._clock.now()
        given = request.query.get("change_id")
        return Change(
            change_id=check_change_id(given, now) if given else new_change_id(now),
            who=actor.name,
            at=now.timestamp(),
            action=action,
            kind=kind,
            name=name,
        )

    async def _run(self, request: AdminRequest, change: Change) -> AdminAnswer:
        if request.query.get("dry_run", "false") in ("true", "1"):
            return self._run_dry(change)
        try:
            entry = await self._submitter.submit(change)
        except CallerError as error:
            return _describe_error(error, change.change_id)
        if entry.accepted:
            return _answer(self._describe_entry(entry))
        refusal = RevisionConflictError if entry.conflict else InvalidResourceError
        return _describe_error(
            refusal(entry.reason), change.change_id, decided_at=entry.offset
        )

    def _run_dry(self, change: Change) -> AdminAnswer:
        spec = self._catalog.check(change)
        current = self._catalog.get(change.kind, change.name)
        effect = "create" if current is None else "update"
        if spec is None:
            effect = "delete"
        elif current is not None and current.spec == spec:
            effect = "unchanged"
        return _answer({"outcome": "accepted", "dry_run": True, "effect": effect})

    def _watch(self, request: AdminRequest, actor: Actor) -> AdminAnswer:
        applied = self._catalog.applied_offset
        # A reconnecting SSE client repeats the first URL and adds the header.
        start = request.headers.get("last-event-id") or request.query.get("from")
        cursor = Cursor.parse(start) if start else Cursor(applied, applied)
        kind = request.query.get("kind")
        team = request.query.get("team")

        def accept(event: ChangeEvent) -> bool:
            parts = ((event.kind, event.name), (event.effect_kind, event.effect_name))
            return any(
                (kind is None or part_kind == kind)
                and self._roles.can_see(actor, part_kind, name)
                and (
                    team is None
                    or is_visible_to_team(self._catalog, team, part_kind, name)
                )
                for part_kind, name in parts
                if part_kind
            )

        watch = self._history.open(cursor, accept)
        form = StreamFormat(request.headers.get("accept", ""))
        return AdminAnswer(
            HTTPStatus.OK,
            (("content-type", form.content_type), ("cache-control", "no-store")),
            stream=stream_watch(
                self._history,
                watch,
                self._clock,
                form,
                lambda: self._roles.authenticate(_read_credentials(request)),
            ),
        )

    def _list_audit(self, request: AdminRequest, actor: Actor) -> AdminAnswer:
        after = _read_number(request.query, "after", ABSENT)
        limit = max(1, _read_number(request.query, "limit", _DEFAULT_AUDIT_LIMIT))
        wanted = {
            key: request.query[key]
            for key in ("kind", "name", "who")
            if key in request.query
        }
        items = [
            _audit_line(entry)
            for entry in self._catalog.list_audit()
            if entry.offset > after
            and self._roles.can_see(actor, entry.kind, entry.name)
            and all(getattr(entry, key) == value for key, value in wanted.items())
        ]
        return _answer({"items": items[-limit:]})

    def _find_change(self, actor: Actor, change_id: str) -> AdminAnswer:
        entry = self._catalog.find_outcome(change_id)
        if entry is None or not self._roles.can_see(actor, entry.kind, entry.name):
            return _answer(
                {
                    "outcome": "unknown",
                    "change_id": change_id,
                    "revision": self._catalog.applied_offset,
                }
            )
        return _answer(self._describe_entry(entry))

    def _describe_entry(self, entry: AuditEntry) -> dict[str, Any]:
        return {
            **_audit_line(entry),
            "in_force": entry.offset <= self._history.in_force,
            "waiting_for": self._history.waiting_for(entry.offset),
        }

    def _describe(self, resource: Resource) -> dict[str, Any]:
        described: dict[str, Any] = {
            "kind": resource.kind,
            "name": resource.name,
            "revision": resource.revision,
            "spec": resource.spec.to_plain(),
        }
        progress = self._catalog.get_progress(resource.kind, resource.name)
        if progress is not None:
            live = self.describe_move(resource.kind, resource.name)
            described["status"] = {**msgspec.to_builtins(progress), **live}
        return described


def _describe_nothing(kind: str, name: str) -> Mapping[str, Any]:
    return {}


def _audit_line(entry: AuditEntry) -> dict[str, Any]:
    line = msgspec.to_builtins(entry)
    line["revision"] = line.pop("offset")
    line["outcome"] = "accepted" if line.pop("accepted") else "refused"
    return line


def _answer(body: Any, status: int = HTTPStatus.OK) -> AdminAnswer:
    return AdminAnswer(status, body=msgspec.json.encode(body))


def _describe_error(
    error: CallerError, change_id: str | None = None, decided_at: int | None = None
) -> AdminAnswer:
    """Return the problem; ``decided_at`` is the offset of a decided refusal."""
    problem = {
        "code": error.code,
        "message": error.message,
        "remedy": error.remedy,
        "outcome": error.outcome.value,
    }
    unknown = error.outcome is Outcome.UNKNOWN
    body: dict[str, Any] = {
        "outcome": "unknown" if unknown else "refused",
        "error": problem,
    }
    if change_id is not None:
        body["change_id"] = change_id
    if decided_at is not None:
        body["decided_at"] = decided_at
    answer = _answer(body, error.status)
    if error.retry_after_seconds is None:
        return answer
    retry = ("retry-after", str(max(1, round(error.retry_after_seconds))))
    return replace(answer, headers=(*answer.headers, retry))


def _read_credentials(request: AdminRequest) -> str:
    return request.headers.get("authorization", "")


def _check_kind(kind: str) -> str:
    if kind not in KINDS:
        raise UnknownResourceError(
            f"kind {kind!r} does not exist; use one of {', '.join(KINDS)}"
        )
    return kind


def _decode_body(body: bytes) -> dict[str, Any]:
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise MalformedRequestError(f"body is not JSON: {error}") from None
    if not isinstance(decoded, dict) or "spec" not in decoded:
        raise MalformedRequestError("body has no 'spec' object")
    return decoded


def _read_expected(request: AdminRequest, body: Mapping[str, Any]) -> int | None:
    """Return the expected revision of If-Match, query or body; None if not given."""
    if request.headers.get("if-none-match", "").strip() == "*":
        return ABSENT
    given = request.headers.get("if-match") or request.query.get("expected_revision")
    if given is None:
        given = body.get("expected_revision")
    if given is None:
        return None
    try:
        return int(str(given).strip().strip('"'))
    except ValueError:
        raise MalformedRequestError(
            f"expected revision {given!r} is not a number"
        ) from None


def _check_same_revision(expected: int | None, current: int) -> None:
    if expected not in (None, current):
        raise RevisionConflictError(
            f"resource is at revision {current}, not {expected}"
        )


def _read_number(query: Mapping[str, str], name: str, default: int) -> int:
    try:
        return int(query.get(name, default))
    except ValueError:
        raise MalformedRequestError(f"{name} is not a number") from None
