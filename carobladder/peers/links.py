"""State that an instance keeps of its exchange with one peer."""

from collections import deque
from dataclasses import dataclass, field

from carobladder.peers.messages import EvidenceItem, PeerMessage

__all__ = ["Link", "Outgoing", "Timing", "Unanswered", "ViewFacts"]

SENT_MEMORY = 1024


@dataclass(frozen=True, slots=True)
class Timing:
    """Bundle the times and ratios of the protocol."""

    heartbeat_seconds: float = 0.25
    lease_seconds: float = 1.5
    list_window_seconds: float = 10.0
    ask_seconds: float = 0.01
    probe_seconds: float = 0.5
    load_multiple: float = 1.25


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Address a message to a peer."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ViewFacts:
    """Hold what all heartbeats of one tick say alike."""

    listed: int
    shares: int
    view_hash: int
    delegating: bool
    confirmed: bool


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Hold what the answer to a peer's last heartbeat refers to."""

    sequence: int
    incarnation: int
    target_ids: list[str]


@dataclass(slots=True)
class Link:
    """Hold the state of the exchange with one peer."""

    sequence: int = 0
    sent: deque[tuple[int, float]] = field(default_factory=deque)
    due: float = 0.0
    last_sent: float = float("-inf")
    incarnation: int = 0
    heard_sequence: int = 0
    evidence: list[EvidenceItem] = field(default_factory=list)
    unanswered: Unanswered | None = None
    peer_busy: bool = False

    def record(self, now: float) -> int:
        """Return the next sequence number and remember its time of sending."""
        self.sequence += 1
        self.sent.append((self.sequence, now))
        if len(self.sent) > SENT_MEMORY:
            self.sent.popleft()
        return self.sequence

    def find_sent(self, sequence: int) -> float | None:
        """Return when a sequence number was sent, or None if it is not known."""
        if not self.sent:
            return None
        index = sequence - self.sent[0][0]
        if 0 <= index < len(self.sent):
            return self.sent[index][1]
        return None
