"""Snapshots of the configuration in parts that fit one log record or message."""

import base64
import binascii
import zlib
from collections.abc import Sequence
from typing import Any

import msgspec

from carobladder.exceptions import InvalidResourceError, SnapshotError
from carobladder.resources.catalog import AuditEntry, CatalogState
from carobladder.resources.models import Resource, parse_spec
from carobladder.resources.moves import MoveProgress
from carobladder.resources.records import SnapshotPart

__all__ = ["MAX_PART_BYTES", "SnapshotCollector", "join_snapshot", "split_snapshot"]

MAX_PART_BYTES = 60 * 1024
# Leaves room in a part for the envelope of the record.
_DATA_CHARACTERS = 56 * 1024


class _StoredResource(msgspec.Struct, array_like=True):
    kind: str
    name: str
    revision: int
    spec: dict[str, Any]


class _StoredProgress(msgspec.Struct, array_like=True):
    kind: str
    name: str
    progress: MoveProgress


class _StoredState(msgspec.Struct):
    applied_offset: int
    resources: list[_StoredResource]
    progress: list[_StoredProgress]
    audit: list[AuditEntry]


def split_snapshot(
    state: CatalogState, snapshot_id: str, at: float
) -> list[SnapshotPart]:
    """Return the parts of a snapshot; each record is under MAX_PART_BYTES."""
    stored = _StoredState(
        applied_offset=state.applied_offset,
        resources=[
            _StoredResource(r.kind, r.name, r.revision, r.spec.to_plain())
            for r in state.resources.values()
        ],
        progress=[
            _StoredProgress(kind, name, progress)
            for (kind, name), progress in state.progress.items()
        ],
        audit=list(state.audit.values()),
    )
    packed = zlib.compress(msgspec.json.encode(stored))
    text = base64.b64encode(packed).decode("ascii")
    starts = range(0, len(text), _DATA_CHARACTERS)
    return [
        SnapshotPart(
            snapshot_id=snapshot_id,
            through_offset=state.applied_offset,
            part=number,
            parts=len(starts),
            at=at,
            data=text[start : start + _DATA_CHARACTERS],
        )
        for number, start in enumerate(starts)
    ]


def join_snapshot(parts: Sequence[SnapshotPart]) -> CatalogState:
    """Return the state of a whole snapshot.

    Raises SnapshotError if parts are missing, mixed or damaged.
    """
    ordered = sorted(parts, key=lambda part: part.part)
    if not ordered or [part.part for part in ordered] != list(range(ordered[0].parts)):
        raise SnapshotError("snapshot parts are missing; read a newer snapshot")
    if len({(part.snapshot_id, part.through_offset) for part in ordered}) != 1:
        raise SnapshotError("snapshot parts are mixed; read a newer snapshot")
    try:
        packed = base64.b64decode("".join(part.data for part in ordered))
        stored = msgspec.json.decode(zlib.decompress(packed), type=_StoredState)
        return _restore(stored)
    except (
        binascii.Error,
        zlib.error,
        msgspec.DecodeError,
        InvalidResourceError,
    ) as error:
        raise SnapshotError(
            f"snapshot is damaged: {error}; read a newer snapshot"
        ) from error


def _restore(stored: _StoredState) -> CatalogState:
    state = CatalogState(applied_offset=stored.applied_offset)
    for item in stored.resources:
        spec = parse_spec(item.kind, item.name, item.spec)
        resource = Resource(item.kind, item.name, spec, item.revision)
        state.resources[item.kind, item.name] = resource
    for progress in stored.progress:
        state.progress[progress.kind, progress.name] = progress.progress
    for entry in stored.audit:
        state.audit[entry.change_id] = entry
    return state


class SnapshotCollector:
    """Collect the parts of snapshots in the order of the log."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> list[SnapshotPart] | None:
        """Return all parts of the snapshot once this part completes it."""
        known = self._parts.setdefault(part.snapshot_id, {})
        known[part.part] = part
        if len(known) < part.parts:
            return None
        # Older snapshots can no longer be the newest.
        for snapshot_id in [
            snapshot_id
            for snapshot_id, parts in self._parts.items()
            if next(iter(parts.values())).through_offset <= part.through_offset
        ]:
            del self._parts[snapshot_id]
        return list(known.values())
