"""Monitoring of running moves and its effect on the routing of requests."""

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

__all__ = ["DeclaredMove", "MoveMonitor", "list_moves"]

_UPDATE_SECONDS = 0.25
_TEST_UPDATE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class DeclaredMove:
    """A declared move with its progress and state."""

    kind: str
    name: str
    intent: Intent
    progress: MoveProgress
    state: MoveState

    @property
    def ended(self) -> bool:
        """Whether the move takes no further step."""
        return has_ended(self.state, self.intent)


def list_moves(catalog: Catalog) -> list[DeclaredMove]:
    """Return the declared moves ordered by their last change."""
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


class MoveMonitor:
    """Monitor that tests the evidence of running moves and overrides version shares.

    ``send`` sends evidence to the peers.
    """

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
        self._next_test_update_at = 0.0
        self._moves: dict[tuple[str, str], DeclaredMove] = {}
        self._stopped_shares: dict[str, dict[str, float]] = {}
        self._returning: dict[str, DataCentreMoveState] = {}
        self._baselines: dict[str, _StepBaseline] = {}

    async def run(self) -> None:
        """Update the moves periodically until cancelled."""
        while True:
            self.update()
            await self._clock.sleep(_UPDATE_SECONDS)

    def update(self) -> None:
        """Read the moves from the configuration and evaluate their evidence."""
        now = self._clock.monotonic()
        moves = list_moves(self._catalog)
        self._moves = {(move.kind, move.name): move for move in moves}
        running = [move for move in moves if not move.ended]
        comparisons = [c for move in running if (c := _make_comparison(move.state))]
        self._evidence.set_comparisons(comparisons, now)
        self._returning = _find_returning(moves)
        if comparisons and now >= self._next_test_update_at:
            self._next_test_update_at = now + _TEST_UPDATE_SECONDS
            self._evidence.update_tests(now)
            items = self._evidence.list_items(now)
            if items:
                self._send(items)
        self._update_baselines(running)
        self._stopped_shares = self._find_stopped_shares(running)

    def find_verdict(self, name: str) -> Verdict:
        """Return the test result for the merged evidence of a move."""
        return self._evidence.find_verdict(name)

    def count_step_requests(self, state: VersionMoveState) -> int:
        """Return the number of requests of the new version in the current step."""
        baseline = self._baselines.get(state.move_id)
        count = self._count_new_requests(state)
        return count if baseline is None else count - baseline.requests

    def adjust_shares(self, model: str, shares: dict[str, float]) -> dict[str, float]:
        """Return the given shares, or replacements once a fault is detected."""
        return self._stopped_shares.get(model, shares)

    def list_returning(self) -> Mapping[str, DataCentreMoveState]:
        """Return the returning data centres, each with the state of its move."""
        return self._returning

    def describe(self, kind: str, name: str) -> dict[str, Any]:
        """Return the verdict and share of a move for operators."""
        move = self._moves.get((kind, name))
        if move is None:
            return {}
        status: dict[str, Any] = {"verdict": self.find_verdict(name).value}
        if isinstance(move.state, VersionMoveState):
            status["share"] = effective_share(move.state, self.find_verdict(name))
        else:
            status["share"] = move.state.served_share
        return status

    def _update_baselines(self, running: Sequence[DeclaredMove]) -> None:
        """Record the requests of the new version at the start of each step."""
        baselines: dict[str, _StepBaseline] = {}
        for move in running:
            if isinstance(move.state, VersionMoveState):
                step_start = (move.state.step, move.progress.since)
                baseline = self._baselines.get(move.name)
                if baseline is None or (baseline.step, baseline.since) != step_start:
                    baseline = _StepBaseline(
                        *step_start, self._count_new_requests(move.state)
                    )
                baselines[move.name] = baseline
        self._baselines = baselines

    def _count_new_requests(self, state: VersionMoveState) -> int:
        return self._evidence.count_requests(state.move_id, state.spec.new_version)

    def _find_stopped_shares(
        self, running: Sequence[DeclaredMove]
    ) -> dict[str, dict[str, float]]:
        stopped = {}
        for move in running:
            state = move.state
            if not isinstance(state, VersionMoveState):
                continue
            verdict = self.find_verdict(move.name)
            share = effective_share(state, verdict)
            if verdict is Verdict.FAULT:
                spec = state.spec
                shares = {spec.new_version: share, spec.old_version: 1.0 - share}
                if shares != version_shares(state):
                    stopped[spec.model] = shares
        return stopped


@dataclass(frozen=True, slots=True)
class _StepBaseline:
    """Number of requests of the new version when a step started."""

    step: int
    since: float
    requests: int


def _make_comparison(state: MoveState) -> Comparison | None:
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
        # A move that is only declared has no effect yet.
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
