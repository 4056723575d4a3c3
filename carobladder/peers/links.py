"""State of the connection with one peer, and parameters of the protocol."""

from collections import deque
from dataclasses import dataclass, field

from carobladder.peers.messages import EvidenceItem, PeerMessage

__all__ = ["Link", "Outgoing", "PendingAnswer", "Timing", "ViewSummary"]

# Number of sent messages whose send times are kept.
SENT_HISTORY_LENGTH = 1024


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals in seconds and ratios of the protocol.

    ``ask_seconds`` is the minimum interval between heartbeats to a peer that are sent
    early to request slots. ``load_multiple`` is the greatest ratio of a target's load
    to the mean load of its pool.
    """

    heartbeat_seconds: float = 0.25
    lease_seconds: float = 1.5
    list_window_seconds: float = 10.0
    ask_seconds: float = 0.01
    probe_seconds: float = 0.5
    load_multiple: float = 1.25


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Message to send to a peer."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ViewSummary:
    """Part of the fleet view that all heartbeats of one tick have in common."""

    listed: int
    shares: int
    view_hash: int
    delegating: bool
    confirmed: bool


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """Heartbeat of a peer that is still to be answered."""

    sequence: int
    incarnation: int
    target_ids: list[str]


@dataclass(slots=True)
class Link:
    """State of the message exchange with one peer.

    ``received_sequence`` is the newest sequence number received under the peer's
    ``incarnation``, and ``sent`` the send times of recent messages. ``due`` is the
    time of the next heartbeat.
    """

    sequence: int = 0
    sent: deque[tuple[int, float]] = field(default_factory=deque)
    due: float = 0.0
    last_sent: float = float("-inf")
    incarnation: int = 0
    received_sequence: int = 0
    evidence: list[EvidenceItem] = field(default_factory=list)
    pending_answer: PendingAnswer | None = None
    peer_busy: bool = False

    def record(self, now: float) -> int:
        """Return the next sequence number and record its send time."""
        self.sequence += 1
        self.sent.append((self.sequence, now))
        if len(self.sent) > SENT_HISTORY_LENGTH:
            self.sent.popleft()
        return self.sequence

    def find_send_time(self, sequence: int) -> float | None:
        """Return when a sequence number was sent, or None if unknown."""
        if not self.sent:
            return None
        index = sequence - self.sent[0][0]
        if 0 <= index < len(self.sent):
            return self.sent[index][1]
        return None
