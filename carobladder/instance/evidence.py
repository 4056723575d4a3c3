"""Counts of request outcomes per move, merged across instances and tested."""

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

# Arm that stands for all data centres except the returning one.
OTHER_DATA_CENTRES = "*"
# An item takes about 70 bytes and each peer is sent items once a second, so a
# heartbeat with evidence stays below 2 KB. The remaining items follow in later ones.
_MAX_ITEMS = 24
# Unchanged totals are sent again at this interval, in case a peer lost them.
_REPEAT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Comparison:
    """The two arms whose outcomes a running move compares.

    A version move compares two versions of a ``pool``. A data centre move compares
    its data centre, ``new_arm``, with all others, in every pool.
    """

    move_id: str
    old_arm: str
    new_arm: str
    pool: str | None = None

    def find_arm(self, outcome: TargetOutcome) -> str | None:
        """Return the arm to which an outcome belongs, or None."""
        if self.pool is None:
            is_new_arm = outcome.target.data_centre == self.new_arm
            return self.new_arm if is_new_arm else self.old_arm
        if outcome.pool != self.pool:
            return None
        version = outcome.target.version
        return version if version in (self.old_arm, self.new_arm) else None


class EvidenceCollector:
    """Outcome counts of this instance and its peers, with one test per running move."""

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
        self._own_counts: dict[EvidenceKey, Counts] = {}
        self._comparisons: tuple[Comparison, ...] = ()
        self._tests: dict[str, SequentialTest] = {}
        self._sequence = 0
        self._sent_counts: dict[EvidenceKey, Counts] = {}
        self._next_repeat_at = 0.0

    def set_comparisons(self, comparisons: Iterable[Comparison], now: float) -> None:
        """Set the running moves; drops the counts of all others."""
        wanted = tuple(comparisons)
        if wanted == self._comparisons:
            return
        kept_ids = {comparison.move_id for comparison in wanted}
        for comparison in self._comparisons:
            if comparison.move_id not in kept_ids:
                self._drop_move(comparison.move_id)
        for comparison in wanted:
            if comparison.move_id not in self._tests:
                self._tests[comparison.move_id] = SequentialTest(self._plan, now)
        self._comparisons = wanted

    def note_outcome(self, outcome: TargetOutcome) -> None:
        """Count an outcome; returns at once while no move is running."""
        if not self._comparisons:
            return
        counts: Counts | None = None
        for comparison in self._comparisons:
            arm = comparison.find_arm(outcome)
            if arm is None:
                continue
            counts = counts or count_observation(
                _make_observation(outcome), self._bounds
            )
            key = EvidenceKey(
                comparison.move_id, arm, outcome.route, outcome.request_class
            )
            self._own_counts[key] = self._own_counts.get(key, Counts()) + counts

    def list_items(self, now: float) -> list[EvidenceItem]:
        """Return the totals to send now: those not sent since their last change."""
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + _REPEAT_SECONDS
            self._sent_counts.clear()
        changed = [
            (key, counts)
            for key, counts in self._own_counts.items()
            if self._sent_counts.get(key) != counts
        ][:_MAX_ITEMS]
        self._sent_counts.update(changed)
        self._sequence += 1
        return [self._make_item(key, counts) for key, counts in changed]

    def merge_items(self, sender: str, items: Sequence[EvidenceItem]) -> None:
        """Merge the totals of a peer; ignores items of moves that are not running."""
        running = {comparison.move_id for comparison in self._comparisons}
        for item in items:
            if item.move_id not in running:
                continue
            try:
                request_class = RequestClass(item.request_class)
            except ValueError:
                # A newer instance may use request classes unknown to this one.
                continue
            key = EvidenceKey(item.move_id, item.arm, item.route, request_class)
            counts = Counts(item.requests, item.errors, item.slow_first, item.slow_gap)
            self._book.merge(
                EvidenceReport(sender, item.run, item.sequence, {key: counts})
            )

    def update_tests(self, now: float) -> None:
        """Update the tests with the merged totals; to be called about once a second."""
        own = EvidenceReport(
            self._instance, self._run, self._sequence, dict(self._own_counts)
        )
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

    def find_verdict(self, move_id: str) -> Verdict:
        """Return the test result for a move, CLEAR if the move is not running."""
        test = self._tests.get(move_id)
        return Verdict.CLEAR if test is None else test.verdict()

    def count_requests(self, move_id: str, arm: str) -> int:
        """Return the number of requests of one arm of a move on all instances."""
        return sum_requests(self._book, move_id, arm)

    def _drop_move(self, move_id: str) -> None:
        self._book.forget_move(move_id)
        self._tests.pop(move_id, None)
        for counts in (self._own_counts, self._sent_counts):
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


def _make_observation(outcome: TargetOutcome) -> Observation:
    return Observation(
        failed=outcome.failed,
        first_token_seconds=outcome.first_token_seconds,
        gap_seconds=outcome.gap_seconds,
        uncached_tokens=outcome.prompt_tokens,
    )
