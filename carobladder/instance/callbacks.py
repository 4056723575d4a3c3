"""Reactions of an instance to what its peers tell it."""

from collections.abc import Callable, Sequence

from carobladder.peers import (
    EvidenceItem,
    ExchangeCallbacks,
    SnapshotAnswer,
    SnapshotRequest,
)

__all__ = ["PeerCallbacks"]


class PeerCallbacks(ExchangeCallbacks):
    """Keep the offsets that peers applied and hand other messages on.

    The handlers are set after construction, because they belong to parts that
    need the exchange themselves.
    """

    def __init__(self) -> None:
        self.applied_offsets: dict[str, int] = {}
        self.on_slots_changed: Callable[[], None] = _ignore
        self.on_evidence: Callable[[str, Sequence[EvidenceItem]], None] = _ignore
        self.on_snapshot_request: Callable[[SnapshotRequest], None] = _ignore
        self.on_snapshot_answer: Callable[[SnapshotAnswer], None] = _ignore

    def handle_evidence(self, sender: str, items: Sequence[EvidenceItem]) -> None:
        """Hand a peer's evidence on."""
        self.on_evidence(sender, items)

    def handle_config_offset(self, sender: str, offset: int) -> None:
        """Keep the configuration offset that a peer has applied."""
        self.applied_offsets[sender] = offset

    def handle_snapshot_request(self, message: SnapshotRequest) -> None:
        """Hand a peer's request for the configuration on."""
        self.on_snapshot_request(message)

    def handle_snapshot_answer(self, message: SnapshotAnswer) -> None:
        """Hand a part of a peer's configuration on."""
        self.on_snapshot_answer(message)

    def handle_slots_changed(self) -> None:
        """Serve waiting requests."""
        self.on_slots_changed()


def _ignore(*_: object) -> None:
    """Take part in no further processing."""
