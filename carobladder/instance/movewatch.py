"""What an instance knows of the running moves, and what follows for requests."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from carobladder.clock import Clock
from carobladder.instance.evidence import (
    OTHER_DATA_CENTRES,
    Comparison,
    EvidenceCollector,
)
from carobladder.moves.datacentres import DataCentreMoveState, DataCentrePhase
from carobladder.moves.evidence import Verdict
from carobladder.moves.records import Intent, MoveError
from carobladder.moves.versions import VersionMoveState, effective_share, version_shares
from carobladder.peers import EvidenceItem
from carobladder.resources import (
    Catalog,
    MoveProgress,
    MoveSpec,
    MoveState,
    describe_state,
    has_ended,
)

__all__ = ["DeclaredMove", "MoveWatch", "list_moves"]

_UPDATE_SECONDS = 0.25
_JUDGE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class DeclaredMove:
    """Join a declared move with its state."""

    kind: str
    name: str
    intent: Intent
    progress: MoveProgress
    state: MoveState

    @property
    def ended(self) -> bool:
        """Tell whether no further step is to come."""
        return has_ended(self.state, self.intent)


def list_moves(catalog: Catalog) -> list[DeclaredMove]:
    """Return the declared moves in the order of their last change."""
    moves = []
    for (kind, name), progress in catalog.state.progress.items():
        resource = catalog.get(kind, name)
        if resource is None or not isinstance(resource.spec, MoveSpec):
            continue
        try:
            state = describe_state(resource.spec, name, progress)
        except MoveError:
            continue
        intent = Intent(resource.spec.intent)
        moves.append(DeclaredMove(kind, name, intent, progress, state))
    return sorted(moves, key=lambda move: move.progress.revision)


class MoveWatch:
    """Judge the evidence of running moves and apply it to new requests."""

    def __init__(
        self,
        catalog: Catalog,
        evidence: EvidenceCollector,
        send: Callable[[Sequence[EvidenceItem]], None],
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._evidence = evidence
        self._send = send
        self._clock = clock
        self._judge_at = 0.0
        self._moves: dict[tuple[str, str], DeclaredMove] = {}
        self._stopped: dict[str, dict[str, float]] = {}
        self._returning: dict[str, DataCentreMoveState] = {}
        self._bases: dict[str, _Base] = {}

    async def run(self) -> None:
        """Follow the moves until cancelled."""
        while True:
            self.update()
            await self._clock.sleep(_UPDATE_SECONDS)

    def update(self) -> None:
        """Take the moves of the configuration and the evidence so far."""
        now = self._clock.monotonic()
        moves = list_moves(self._catalog)
        self._moves = {(move.kind, move.name): move for move in moves}
        running = [move for move in moves if not move.ended]
        comparisons = [c for move in running if (c := _compare(move.state))]
        self._evidence.set_comparisons(comparisons, now)
        self._returning = _find_returning(moves)
        if comparisons and now >= self._judge_at:
            self._judge_at = now + _JUDGE_SECONDS
            self._evidence.judge(now)
            items = self._evidence.list_items(now)
            if items:
                self._send(items)
        self._note_bases(running)
        self._stopped = self._find_stopped(running)

    def verdict(self, name: str) -> Verdict:
        """Return what the merged evidence of a move says."""
        return self._evidence.verdict(name)

    def count_step_requests(self, state: VersionMoveState) -> int:
        """Return the requests of the new version since the present step began."""
        base = self._bases.get(state.move_id)
        count = self._count_new(state)
        return count if base is None else count - base.requests

    def adjust_shares(self, model: str, shares: dict[str, float]) -> dict[str, float]:
        """Return the shares in use: a version that shows a fault gets none."""
        return self._stopped.get(model, shares)

    def list_returning(self) -> Mapping[str, DataCentreMoveState]:
        """Return the data centres that return now, each with its move."""
        return self._returning

    def describe(self, kind: str, name: str) -> dict[str, Any]:
        """Return what operators are shown of a move besides its progress."""
        move = self._moves.get((kind, name))
        if move is None:
            return {}
        shown: dict[str, Any] = {"verdict": self.verdict(name).value}
        if isinstance(move.state, VersionMoveState):
            shown["share"] = effective_share(move.state, self.verdict(name))
        else:
            shown["share"] = move.state.served_share
        return shown

    def _note_bases(self, running: Sequence[DeclaredMove]) -> None:
        """Remember how many requests the new version had when a step began."""
        bases: dict[str, _Base] = {}
        for move in running:
            if isinstance(move.state, VersionMoveState):
                marks = (move.state.step, move.progress.since)
                known = self._bases.get(move.name)
                if known is None or (known.step, known.since) != marks:
                    known = _Base(*marks, self._count_new(move.state))
                bases[move.name] = known
        self._bases = bases

    def _count_new(self, state: VersionMoveState) -> int:
        return self._evidence.count_requests(state.move_id, state.spec.new_version)

    def _find_stopped(
        self, running: Sequence[DeclaredMove]
    ) -> dict[str, dict[str, float]]:
        stopped = {}
        for move in running:
            state = move.state
            if not isinstance(state, VersionMoveState):
                continue
            verdict = self.verdict(move.name)
            share = effective_share(state, verdict)
            if verdict is Verdict.FAULT:
                spec = state.spec
                shares = {spec.new_version: share, spec.old_version: 1.0 - share}
                if shares != version_shares(state):
                    stopped[spec.model] = shares
        return stopped


@dataclass(frozen=True, slots=True)
class _Base:
    step: int
    since: float
    requests: int


def _compare(state: MoveState) -> Comparison | None:
    if isinstance(state, VersionMoveState):
        spec = state.spec
        return Comparison(state.move_id, spec.old_version, spec.new_version, spec.model)
    if state.effective_phase is not DataCentrePhase.RETURNING:
        return None
    return Comparison(state.move_id, OTHER_DATA_CENTRES, state.spec.data_centre)


def _find_returning(
    moves: Sequence[DeclaredMove],
) -> dict[str, DataCentreMoveState]:
    newest: dict[str, DataCentreMoveState] = {}
    for move in moves:
        # A declared move has changed nothing yet.
        if (
            isinstance(move.state, DataCentreMoveState)
            and move.state.effective_phase is not DataCentrePhase.DECLARED
        ):
            newest[move.state.spec.data_centre] = move.state
    return {
        name: state
        for name, state in newest.items()
        if state.effective_phase is DataCentrePhase.RETURNING
    }
