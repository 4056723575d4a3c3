"""What other instances supply of a topic, and what they are told of it."""

from carobladder.eras import TopicProofs
from carobladder.fleet import Freshness, RecordRun, TopicState
from carobladder.topics.failures import ReadFailures
from carobladder.topics.knownrecords import KnownRecords
from carobladder.topics.paces import ReadPolicy
from carobladder.topics.roles import ReadRole
from carobladder.topics.wakeups import WakeUp

__all__ = ["PEER_SOURCE", "PeerUpdates"]

_MS_PER_SECOND = 1000
# Where records came from, in the log.
PEER_SOURCE = "peer"


class PeerUpdates:
    """Part of a follower of a topic that deals with other instances."""

    def __init__(
        self,
        policy: ReadPolicy,
        records: KnownRecords,
        proofs: TopicProofs,
        failures: ReadFailures,
        role: ReadRole,
        wake_up: WakeUp,
    ) -> None:
        self._policy = policy
        self._records = records
        self._proofs = proofs
        self._failures = failures
        self._role = role
        self._wake_up = wake_up

    @property
    def next_offset(self) -> int | None:
        """Offset after the last known record, or None before the first read."""
        return self._records.next_offset

    @property
    def freshness(self) -> Freshness:
        """Time up to which all records of the topic are known."""
        return self._proofs.freshness

    def build_topic_state(self) -> TopicState | None:
        """Return how far the topic is known now, or None if nothing is proved yet."""
        return self._records.build_state(self.freshness)

    def count_peers_to_ask(self) -> int:
        """Return how many peers to query to avoid an own read."""
        return self._role.count_peers_to_ask()

    def is_behind(self, end: int) -> bool:
        """Return whether records before the offset ``end`` are missing here."""
        return self._records.is_behind(end)

    def handle_peer_end(self, end: int) -> None:
        """Handle the offset after the last record that another instance knows."""
        if not self.is_behind(end):
            return
        if self._records.note_reported_end(end):
            self._wake_up.set()

    def handle_peer_state(
        self, state: TopicState, asked_at: float, *, is_proof: bool
    ) -> None:
        """Handle the answer to a query that was sent at ``asked_at``.

        It proves that all records are known up to ``asked_at`` less the reported age,
        regardless of how long the query and the answer were in transit. ``is_proof`` is
        false if the peer knows what a restored store has not got back yet.
        """
        if self._records.next_offset is None or state.age_ms < 0:
            return
        proved_at = asked_at - state.age_ms / _MS_PER_SECOND
        self._failures.note_served(proved_at, PEER_SOURCE)
        if state.next_offset > self._records.next_offset:
            self.handle_peer_end(state.next_offset)
            return
        if is_proof:
            self._proofs.note_proof(proved_at)
        if self._failures.precede(proved_at):
            self._wake_up.set()

    def collect_run(self, first: int) -> RecordRun | None:
        """Return the records from an offset on, as many as fit in one answer."""
        return self._records.collect_run(first, self._policy.max_answer_bytes)

    def apply_peer_run(self, run: RecordRun) -> None:
        """Apply records from another instance.

        They are ignored while removals among them may be due to an outage of the store
        that this instance does not know to have ended.
        """
        known_end = self._records.next_offset
        if known_end is None or self._failures.may_have_expired():
            return
        if run.first <= known_end < run.next_offset:
            synced_at = self._proofs.progress.synced_at
            self._records.apply_run(run, PEER_SOURCE, synced_at)
