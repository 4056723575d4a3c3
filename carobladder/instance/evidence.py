"""Evidence of running moves: counted here, exchanged with peers, judged here."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from carobladder.gateway.ports import TargetOutcome
from carobladder.moves.evidence import (
    ComparisonPlan,
    Counts,
    EvidenceKey,
    EvidenceReport,
    EvidenceStore,
    LatencyBounds,
    Observation,
    SequentialTest,
    Verdict,
    count_observation,
    sum_requests,
)
from carobladder.peers import EvidenceItem
from carobladder.targets import RequestClass

__all__ = ["OTHER_DATA_CENTRES", "Comparison", "EvidenceCollector"]

# Arm of all data centres but the one that returns.
OTHER_DATA_CENTRES = "*"
# An item has about 70 bytes and each peer gets them once a second, so a heartbeat
# with evidence stays below 2 KB. What does not fit follows with the next ones.
_ITEMS_MAX = 24
# Totals that have not changed are repeated this often, for peers that lost them.
_REPEAT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Comparison:
    """Name what a running move compares.

    A version move compares two versions of a ``pool``; a data centre move compares
    its data centre, ``new_arm``, with all others, in every pool.
    """

    move_id: str
    old_arm: str
    new_arm: str
    pool: str | None = None

    def find_arm(self, outcome: TargetOutcome) -> str | None:
        """Return the arm that an outcome counts for, or None."""
        if self.pool is None:
            here = outcome.target.data_centre == self.new_arm
            return self.new_arm if here else self.old_arm
        if outcome.pool != self.pool:
            return None
        version = outcome.target.version
        return version if version in (self.old_arm, self.new_arm) else None


class EvidenceCollector:
    """Count outcomes of running moves, merge those of peers and judge them."""

    def __init__(
        self,
        instance: str,
        run: int,
        bounds: LatencyBounds | None = None,
        plan: ComparisonPlan | None = None,
    ) -> None:
        self._instance = instance
        self._run = run
        self._bounds = bounds or LatencyBounds()
        self._plan = plan or ComparisonPlan()
        self._book = EvidenceStore()
        self._own: dict[EvidenceKey, Counts] = {}
        self._comparisons: tuple[Comparison, ...] = ()
        self._tests: dict[str, SequentialTest] = {}
        self._sequence = 0
        self._sent: dict[EvidenceKey, Counts] = {}
        self._repeat_at = 0.0

    def set_comparisons(self, comparisons: Iterable[Comparison], now: float) -> None:
        """Take the running moves; counts of all others are dropped."""
        wanted = tuple(comparisons)
        if wanted == self._comparisons:
            return
        kept = {comparison.move_id for comparison in wanted}
        for comparison in self._comparisons:
            if comparison.move_id not in kept:
                self._forget(comparison.move_id)
        for comparison in wanted:
            if comparison.move_id not in self._tests:
                self._tests[comparison.move_id] = SequentialTest(self._plan, now)
        self._comparisons = wanted

    def note_outcome(self, outcome: TargetOutcome) -> None:
        """Count an outcome; costs next to nothing while no move runs."""
        if not self._comparisons:
            return
        counts: Counts | None = None
        for comparison in self._comparisons:
            arm = comparison.find_arm(outcome)
            if arm is None:
                continue
            counts = counts or count_observation(_observe(outcome), self._bounds)
            key = EvidenceKey(
                comparison.move_id, arm, outcome.route, outcome.request_class
            )
            self._own[key] = self._own.get(key, Counts()) + counts

    def list_items(self, now: float) -> list[EvidenceItem]:
        """Return the totals to send now, those that changed first."""
        if now >= self._repeat_at:
            self._repeat_at = now + _REPEAT_SECONDS
            self._sent.clear()
        changed = [
            (key, counts)
            for key, counts in self._own.items()
            if self._sent.get(key) != counts
        ][:_ITEMS_MAX]
        self._sent.update(changed)
        self._sequence += 1
        return [self._make_item(key, counts) for key, counts in changed]

    def take_items(self, sender: str, items: Sequence[EvidenceItem]) -> None:
        """Merge the totals of a peer; items of moves that do not run are dropped."""
        running = {comparison.move_id for comparison in self._comparisons}
        for item in items:
            if item.move_id not in running:
                continue
            try:
                request_class = RequestClass(item.request_class)
            except ValueError:
                # A newer instance may know further classes.
                continue
            key = EvidenceKey(item.move_id, item.arm, item.route, request_class)
            counts = Counts(item.requests, item.errors, item.slow_first, item.slow_gap)
            self._book.merge(
                EvidenceReport(sender, item.run, item.sequence, {key: counts})
            )

    def judge(self, now: float) -> None:
        """Give the merged totals to the tests; call about once a second."""
        own = EvidenceReport(self._instance, self._run, self._sequence, dict(self._own))
        self._sequence += 1
        self._book.merge(own)
        for comparison in self._comparisons:
            self._tests[comparison.move_id].update_from_evidence(
                self._book,
                comparison.move_id,
                comparison.old_arm,
                comparison.new_arm,
                now,
            )

    def verdict(self, move_id: str) -> Verdict:
        """Return what the merged evidence of a move says."""
        test = self._tests.get(move_id)
        return Verdict.CLEAR if test is None else test.verdict()

    def count_requests(self, move_id: str, arm: str) -> int:
        """Return the merged number of requests of one arm of a move."""
        return sum_requests(self._book, move_id, arm)

    def _forget(self, move_id: str) -> None:
        self._book.forget_move(move_id)
        self._tests.pop(move_id, None)
        for counts in (self._own, self._sent):
            for key in [key for key in counts if key.move_id == move_id]:
                del counts[key]

    def _make_item(self, key: EvidenceKey, counts: Counts) -> EvidenceItem:
        return EvidenceItem(
            move_id=key.move_id,
            arm=key.arm,
            route=key.route,
            request_class=key.request_class.value,
            run=self._run,
            sequence=self._sequence,
            requests=counts.requests,
            errors=counts.errors,
            slow_first=counts.slow_first,
            slow_gap=counts.slow_gap,
        )


def _observe(outcome: TargetOutcome) -> Observation:
    return Observation(
        failed=outcome.failed,
        first_token_seconds=outcome.first_token_seconds,
        gap_seconds=outcome.gap_seconds,
        uncached_tokens=outcome.prompt_tokens,
    )
