"""State machine of the configuration: applies records in offset order."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

import msgspec
from returns.result import Success

from carobladder.exceptions import (
    InvalidResourceError,
    OffsetGapError,
    RevisionConflictError,
)
from carobladder.moves.records import Intent, MoveError, RecordRejection
from carobladder.resources.models import (
    DataCentreMoveSpec,
    MoveSpec,
    Resource,
    ServiceSpec,
    Spec,
    TeamSpec,
    VersionMoveSpec,
    parse_spec,
)
from carobladder.resources.moves import (
    MoveEffect,
    MoveProgress,
    advance_progress,
    describe_state,
    has_ended,
    plan_effect,
    take_lease,
)
from carobladder.resources.records import (
    ABSENT,
    Change,
    ConfigRecord,
    MoveLease,
    MoveStep,
    SnapshotPart,
)

__all__ = ["AUDIT_WINDOW", "AuditEntry", "Catalog", "CatalogState"]

# Number of the newest changes whose ids and outcomes are kept. The rule counts
# changes, not time, so that every instance forgets an id at the same offset.
AUDIT_WINDOW = 4096

Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Tell who changed what, when, and how the change was decided.

    ``conflict`` is true if the expected revision was not the current one.
    ``changed`` is false for a put of what was already declared, and a refusal.
    """

    offset: int
    change_id: str
    who: str
    at: float
    action: str
    kind: str
    name: str
    accepted: bool
    reason: str = ""
    conflict: bool = False
    changed: bool = True


@dataclass(slots=True)
class CatalogState:
    """Hold everything that a snapshot carries."""

    applied_offset: int = ABSENT
    resources: dict[Key, Resource] = field(default_factory=dict)
    progress: dict[Key, MoveProgress] = field(default_factory=dict)
    audit: dict[str, AuditEntry] = field(default_factory=dict)


class _Claim(NamedTuple):
    """Name a value that at most one resource may have."""

    label: str
    value: str


class _Refusal(Exception):  # noqa: N818 - an expected outcome, not an error
    """Carry the reason why a change is not applied."""


class _Conflict(_Refusal):
    """Carry a reason that a fresh read of the resource removes."""


class Catalog:
    """Apply configuration records strictly in offset order.

    The outcome of a record depends only on the records before it, so every
    instance decides a race the same way.
    """

    def __init__(self) -> None:
        self._state = CatalogState()
        self._claims: dict[_Claim, str] = {}
        self._generation = 0
        self._loaded = False

    @property
    def loaded(self) -> bool:
        """Tell whether a configuration, perhaps an empty one, is known."""
        return self._loaded

    @property
    def generation(self) -> int:
        """Return a number that grows whenever a resource may have changed."""
        return self._generation

    @property
    def applied_offset(self) -> int:
        """Return the offset of the last applied record, ABSENT before the first."""
        return self._state.applied_offset

    @property
    def state(self) -> CatalogState:
        """Return the state for a snapshot; it must not be changed."""
        return self._state

    def load(self, state: CatalogState) -> bool:
        """Replace the state by a newer one; return false if it is not newer."""
        if state.applied_offset <= self._state.applied_offset:
            return False
        self._state = state
        self._claims = {
            claim: resource.name
            for resource in state.resources.values()
            for claim in _list_claims(resource.spec)
        }
        self._loaded = True
        self._generation += 1
        return True

    def mark_loaded(self) -> None:
        """State that every record up to the applied offset is known."""
        self._loaded = True

    def apply(self, offset: int, record: ConfigRecord | None) -> AuditEntry | None:
        """Apply the record of an offset; None stands for undecodable data.

        Returns the audit entry of a change that was decided now, or None for a
        repeated offset, a duplicate change id or a record without a change.
        Raises OffsetGapError if records before the offset are missing.
        """
        if offset <= self._state.applied_offset:
            return None
        if offset != self._state.applied_offset + 1:
            raise OffsetGapError(self._state.applied_offset + 1, offset)
        self._state.applied_offset = offset
        if record is None or isinstance(record, SnapshotPart):
            return None
        if isinstance(record, MoveLease):
            self._apply_lease(offset, record)
            return None
        if record.change_id in self._state.audit:
            return None
        entry = self._decide(offset, record)
        self._generation += entry.changed
        self._remember(entry)
        return entry

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None."""
        return self._state.resources.get((kind, name))

    def list_kind(self, kind: str) -> list[Resource]:
        """Return the resources of a kind, ordered by name."""
        return sorted(
            (r for r in self._state.resources.values() if r.kind == kind),
            key=lambda resource: resource.name,
        )

    def get_progress(self, kind: str, name: str) -> MoveProgress | None:
        """Return the progress of a declared move, or None."""
        return self._state.progress.get((kind, name))

    def find_outcome(self, change_id: str) -> AuditEntry | None:
        """Return how a change was decided, or None if it is not known."""
        return self._state.audit.get(change_id)

    def list_audit(self) -> list[AuditEntry]:
        """Return the newest changes in offset order."""
        return list(self._state.audit.values())

    def check(self, change: Change) -> Spec | None:
        """Return the specification that the change would put; None for a delete.

        Raises RevisionConflictError or InvalidResourceError with the reason.
        """
        try:
            return self._validate(change)
        except _Conflict as conflict:
            raise RevisionConflictError(str(conflict)) from None
        except _Refusal as refusal:
            raise InvalidResourceError(str(refusal)) from None

    def _decide(self, offset: int, record: Change | MoveStep) -> AuditEntry:
        entry = AuditEntry(
            offset=offset,
            change_id=record.change_id,
            who=record.who,
            at=record.at,
            action=record.action if isinstance(record, Change) else record.state,
            kind=record.kind,
            name=record.name,
            accepted=True,
        )
        try:
            if isinstance(record, Change):
                changed = self._apply_change(offset, record)
                return replace(entry, changed=changed)
            self._apply_step(offset, record)
        except (_Refusal, InvalidResourceError, MoveError) as refusal:
            reason = getattr(refusal, "message", str(refusal))
            return replace(
                entry,
                accepted=False,
                changed=False,
                reason=reason,
                conflict=isinstance(refusal, _Conflict),
            )
        return entry

    def _remember(self, entry: AuditEntry) -> None:
        audit = self._state.audit
        audit[entry.change_id] = entry
        if len(audit) > AUDIT_WINDOW:
            del audit[next(iter(audit))]

    def _apply_change(self, offset: int, change: Change) -> bool:
        """Apply a change; return false if it declares what is already there."""
        spec = self._validate(change)
        key = (change.kind, change.name)
        if spec is None:
            self._release_claims(key)
            del self._state.resources[key]
            self._state.progress.pop(key, None)
            return True
        current = self._state.resources.get(key)
        if current is not None and current.spec == spec:
            return False
        self._put(Resource(change.kind, change.name, spec, offset))
        if isinstance(spec, MoveSpec):
            self._state.progress[key] = replace(
                self._find_progress(change),
                change_id=change.change_id,
                revision=offset,
            )
        return True

    def _validate(self, change: Change) -> Spec | None:
        current = self.get(change.kind, change.name)
        _check_revision(change.expected_revision, current)
        if change.action == "delete":
            if current is None:
                raise _Refusal(f"{change.kind}/{change.name} does not exist")
            self._check_delete(current)
            return None
        spec = parse_spec(change.kind, change.name, change.spec)
        self._check_unique(change.kind, change.name, spec)
        if isinstance(spec, MoveSpec):
            self._check_move(change, spec, current)
        return spec

    def _find_progress(self, change: Change) -> MoveProgress:
        key = (change.kind, change.name)
        fresh = MoveProgress(since=change.at, accepted_at=change.at)
        return self._state.progress.get(key, fresh)

    def _check_move(
        self, change: Change, spec: MoveSpec, current: Resource | None
    ) -> None:
        """Refuse a plan that cannot be run, or that changes under its driver."""
        progress = self._find_progress(change)
        try:
            describe_state(spec, change.name, progress)
        except MoveError as error:
            raise _Refusal(str(error)) from None
        if current is None:
            self._check_sole(spec)
        elif progress.state != "declared":
            kept = {"intent": spec.intent, "finish_by": spec.finish_by}
            if current.spec.model_copy(update=kept) != spec:
                raise _Refusal(
                    "the move has begun; change only its intent and finish_by"
                )

    def _check_sole(self, spec: MoveSpec) -> None:
        """Refuse a second move of what is being moved."""
        for name in self._list_running(spec.kind):
            other = self._state.resources[spec.kind, name].spec
            if _get_subject(other) == _get_subject(spec):
                raise _Refusal(
                    f"{spec.kind}/{name} of {_get_subject(spec)} has not ended; "
                    "change its intent instead"
                )

    def _check_delete(self, current: Resource) -> None:
        """Refuse to forget a move between its first and its last step."""
        progress = self._state.progress.get((current.kind, current.name))
        if progress is None or progress.state == "declared":
            return
        if current.name in self._list_running(current.kind):
            raise _Refusal("the move has begun; set its intent to 'back' and wait")

    def _list_running(self, kind: str) -> list[str]:
        names = []
        for (found, name), progress in self._state.progress.items():
            spec = self._state.resources[found, name].spec
            if found == kind and isinstance(spec, MoveSpec):
                state = describe_state(spec, name, progress)
                if not has_ended(state, Intent(spec.intent)):
                    names.append(name)
        return names

    def _check_unique(self, kind: str, name: str, spec: Spec) -> None:
        """Refuse what would make a lookup ambiguous."""
        for claim in _list_claims(spec):
            holder = self._claims.get(claim, name)
            if holder != name:
                raise _Refusal(
                    f"{claim.label} belongs to {kind}/{holder}; use another one"
                )

    def _apply_step(self, offset: int, step: MoveStep) -> None:
        key = (step.kind, step.name)
        move = self._state.resources.get(key)
        progress = self._state.progress.get(key)
        if move is None or progress is None:
            raise _Refusal(f"{step.kind}/{step.name} is not a declared move")
        assert isinstance(move.spec, MoveSpec)
        result = advance_progress(move.spec, progress, step, offset)
        if not isinstance(result, Success):
            raise _refuse_step(result.failure(), progress, step)
        state = result.unwrap()
        self._put_effect(offset, plan_effect(state))
        self._state.progress[key] = replace(
            progress,
            state=state.phase.value,
            step=state.step,
            since=state.since.timestamp() if state.since else step.at,
            held_state=state.held_phase.value if state.held_phase else "",
            detail=state.reason,
            change_id=step.change_id,
            revision=offset,
        )

    def _apply_lease(self, offset: int, lease: MoveLease) -> None:
        """Give the lease to the first record that expects the lease before.

        Leases are renewed every few seconds, so they are not kept for the audit.
        """
        key = (lease.kind, lease.name)
        progress = self._state.progress.get(key)
        if progress is None or not take_lease(progress, lease, offset):
            return
        self._state.progress[key] = replace(
            progress,
            driver=lease.who,
            lease_id=lease.change_id,
            lease_offset=offset,
            lease_from=lease.at,
            lease_seconds=lease.lease_seconds,
        )

    def _put_effect(self, offset: int, effect: MoveEffect) -> None:
        """Put what the state of a move demands, unless it is in force."""
        kind, name = effect.kind, effect.name
        current = self.get(kind, name)
        if current is None:
            raise _Refusal(f"{kind}/{name} of the move does not exist; declare it")
        fields = {**current.spec.to_plain(), **effect.fields}
        spec = parse_spec(kind, name, fields)
        # The order of shares counts: it decides which chats a version gets.
        if _encode_spec(spec) != _encode_spec(current.spec):
            self._put(replace(current, spec=spec, revision=offset))

    def _put(self, resource: Resource) -> None:
        key = (resource.kind, resource.name)
        self._release_claims(key)
        self._state.resources[key] = resource
        for claim in _list_claims(resource.spec):
            self._claims[claim] = resource.name

    def _release_claims(self, key: Key) -> None:
        current = self._state.resources.get(key)
        if current is None:
            return
        for claim in _list_claims(current.spec):
            self._claims.pop(claim, None)


def _check_revision(expected: int | None, current: Resource | None) -> None:
    if expected is None:
        return
    revision = ABSENT if current is None else current.revision
    if expected != revision:
        found = "does not exist" if current is None else f"is at revision {revision}"
        raise _Conflict(f"resource {found}, expected {_name_revision(expected)}")


def _name_revision(revision: int) -> str:
    return "that it does not exist" if revision == ABSENT else f"revision {revision}"


def _list_claims(spec: Spec) -> list[_Claim]:
    """Return the values that at most one resource may have."""
    if isinstance(spec, TeamSpec):
        return [_Claim("a credential", digest) for digest in spec.credentials]
    if isinstance(spec, ServiceSpec):
        return [_Claim("path_prefix", spec.path_prefix)]
    return []


def _encode_spec(spec: Spec) -> bytes:
    return msgspec.json.encode(spec.to_plain())


def _get_subject(spec: Spec) -> str:
    """Return the name of what a move moves."""
    if isinstance(spec, VersionMoveSpec):
        return spec.model
    assert isinstance(spec, DataCentreMoveSpec)
    return spec.data_centre


def _refuse_step(
    fault: RecordRejection, progress: MoveProgress, step: MoveStep
) -> _Refusal:
    if fault is RecordRejection.REVISION_CONFLICT:
        return _Conflict(
            f"move is at revision {progress.revision}, "
            f"not {step.expected_revision}; read it again"
        )
    return _Refusal(
        f"step from {progress.state} {progress.step} to {step.state} {step.step} "
        f"is not allowed: {fault}; read the move again"
    )
