"""Records of the fleet's own topic that only a few instances write."""

from collections.abc import Callable
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import PeerDirectory, TopicWriter

__all__ = ["OwnedRecord", "RecordSpec", "is_owner"]

# Instances that own a record; a second one, in case that the first has just ended.
_OWNERS = 2


@dataclass(frozen=True, slots=True)
class RecordSpec:
    """Key of a record, and who writes it.

    Its owners are found on the ring of instances by ``ring_key``. A write that fails is
    repeated after ``retry_seconds``.
    """

    key: str
    ring_key: int
    retry_seconds: float


class OwnedRecord:
    """Record of a topic that its owners write."""

    def __init__(
        self, spec: RecordSpec, topic: TopicWriter, peers: PeerDirectory, clock: Clock
    ) -> None:
        self._spec = spec
        self._topic = topic
        self._peers = peers
        self._clock = clock

    @property
    def key(self) -> str:
        """Key of the record in its topic."""
        return self._spec.key

    @property
    def is_own(self) -> bool:
        """Whether this instance is one of the owners."""
        return is_owner(self._peers, self._spec.ring_key)

    async def write(self, value: bytes, is_needed: Callable[[], bool]) -> None:
        """Write a value until it is stored or no longer needed."""
        while is_needed():
            try:
                await self._topic.write(self.key, value)
                return
            except LogUnavailableError:
                # The outage is logged by those that read the store.
                await self._clock.sleep(self._spec.retry_seconds)


def is_owner(peers: PeerDirectory, ring_key: int) -> bool:
    """Return whether this instance is one of the owners of a record."""
    return peers.instance in peers.find_owners(ring_key, _OWNERS)
