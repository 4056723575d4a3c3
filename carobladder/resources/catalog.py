"""State machine of the configuration: applies records in offset order."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from carobladder.exceptions import (
    InvalidResourceError,
    OffsetGapError,
    RevisionConflictError,
)
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
from carobladder.resources.records import (
    ABSENT,
    Change,
    ConfigRecord,
    MoveLease,
    MoveStep,
    SnapshotPart,
)

__all__ = ["AUDIT_WINDOW", "AuditEntry", "Catalog", "CatalogState", "MoveProgress"]

# Number of the newest changes whose ids and outcomes are kept. The rule counts
# changes, not time, so that every instance forgets an id at the same offset.
AUDIT_WINDOW = 4096

# Phase of a move that waits, for example during an outage of the log.
_HELD = "held"

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


@dataclass(frozen=True, slots=True)
class MoveProgress:
    """Tell how far a move is; ``revision`` is the offset of its last change.

    ``state`` is the phase, ``since`` when the phase or step began, and
    ``held_state`` the phase to go on from after a hold. ``lease_offset`` is the
    fencing number of the driver, ABSENT before the first lease.
    """

    state: str = "declared"
    step: int = 0
    since: float = 0.0
    held_state: str = ""
    detail: str = ""
    change_id: str = ""
    revision: int = ABSENT
    driver: str = ""
    lease_id: str = ""
    lease_offset: int = ABSENT
    lease_from: float = 0.0
    lease_seconds: float = 0.0


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
        except (_Refusal, InvalidResourceError) as refusal:
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
            known = self._state.progress.get(key, MoveProgress(since=change.at))
            self._state.progress[key] = replace(
                known, change_id=change.change_id, revision=offset
            )
        return True

    def _validate(self, change: Change) -> Spec | None:
        current = self.get(change.kind, change.name)
        _check_revision(change.expected_revision, current)
        if change.action == "delete":
            if current is None:
                raise _Refusal(f"{change.kind}/{change.name} does not exist")
            return None
        spec = parse_spec(change.kind, change.name, change.spec)
        self._check_unique(change.kind, change.name, spec)
        return spec

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
        if progress.revision != step.expected_revision:
            raise _Conflict(
                f"move is at revision {progress.revision}, "
                f"not {step.expected_revision}; read it again"
            )
        effect = self._plan_effect(move.spec, step)
        if effect is not None:
            self._put(replace(effect, revision=offset))
        self._state.progress[key] = _advance(progress, offset, step)

    def _apply_lease(self, offset: int, lease: MoveLease) -> None:
        """Give the lease to the first record that expects the lease before.

        Leases are renewed every few seconds, so they are not kept for the audit.
        """
        key = (lease.kind, lease.name)
        progress = self._state.progress.get(key)
        if progress is None or progress.lease_offset != lease.expected_offset:
            return
        self._state.progress[key] = replace(
            progress,
            driver=lease.who,
            lease_id=lease.change_id,
            lease_offset=offset,
            lease_from=lease.at,
            lease_seconds=lease.lease_seconds,
        )

    def _plan_effect(self, move: Spec, step: MoveStep) -> Resource | None:
        """Return the resource that the step changes, or None."""
        if isinstance(move, VersionMoveSpec) and step.shares is not None:
            return self._merge("model", move.model, {"shares": step.shares})
        if isinstance(move, DataCentreMoveSpec) and step.data_centre_state:
            return self._merge(
                "data-centre", move.data_centre, {"state": step.data_centre_state}
            )
        return None

    def _merge(self, kind: str, name: str, fields: Mapping[str, object]) -> Resource:
        current = self.get(kind, name)
        if current is None:
            raise _Refusal(f"{kind}/{name} of the move does not exist; declare it")
        spec = parse_spec(kind, name, {**current.spec.to_plain(), **fields})
        return replace(current, spec=spec)

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


def _advance(progress: MoveProgress, offset: int, step: MoveStep) -> MoveProgress:
    holds = step.state == _HELD
    resumes = progress.state == _HELD
    return replace(
        progress,
        state=step.state,
        step=step.step,
        # A hold does not restart the time of the step.
        since=progress.since if holds or resumes else step.at,
        held_state=progress.state if holds else "",
        detail=step.detail,
        change_id=step.change_id,
        revision=offset,
    )
