"""Callbacks of an instance for the messages of its peers."""

from collections.abc import Callable, Sequence

from carobladder.peers import (
    EvidenceItem,
    ExchangeCallbacks,
    SnapshotAnswer,
    SnapshotRequest,
)

__all__ = ["PeerCallbacks"]


class PeerCallbacks(ExchangeCallbacks):
    """Callbacks that store the peers' offsets and forward other messages to handlers.

    The handlers are set after construction, because they belong to components that
    need the exchange themselves.
    """

    def __init__(self) -> None:
        self.applied_offsets: dict[str, int] = {}
        self.on_slots_changed: Callable[[], None] = _ignore
        self.on_evidence: Callable[[str, Sequence[EvidenceItem]], None] = _ignore
        self.on_snapshot_request: Callable[[SnapshotRequest], None] = _ignore
        self.on_snapshot_answer: Callable[[SnapshotAnswer], None] = _ignore

    def handle_evidence(self, sender: str, items: Sequence[EvidenceItem]) -> None:
        """Forward the evidence of a peer."""
        self.on_evidence(sender, items)

    def handle_config_offset(self, sender: str, offset: int) -> None:
        """Store the configuration offset that a peer has applied."""
        self.applied_offsets[sender] = offset

    def handle_snapshot_request(self, message: SnapshotRequest) -> None:
        """Forward the request of a peer for the configuration."""
        self.on_snapshot_request(message)

    def handle_snapshot_answer(self, message: SnapshotAnswer) -> None:
        """Forward a part of the configuration of a peer."""
        self.on_snapshot_answer(message)

    def handle_slots_changed(self) -> None:
        """Notify the handler that the number of available slots changed."""
        self.on_slots_changed()


def _ignore(*_: object) -> None:
    """Discard a message for which no handler is set yet."""
