"""Records of the fleet's own topic that only a few instances write."""

from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.entry.peers import PeerDirectory
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import TopicWriter

__all__ = ["OwnedRecord"]

# Instances that own a record; a second one, in case that the first has just ended.
_OWNERS = 2


class OwnedRecord:
    """Record whose owners are found on the ring of instances by ``ring_key``.

    A write that fails is repeated after ``retry_seconds``.
    """

    def __init__(
        self,
        key: str,
        ring_key: int,
        topic: TopicWriter,
        peers: PeerDirectory,
        clock: Clock,
        retry_seconds: float,
    ) -> None:
        self.key = key
        self._ring_key = ring_key
        self._topic = topic
        self._peers = peers
        self._clock = clock
        self._retry_seconds = retry_seconds

    @property
    def is_own(self) -> bool:
        """Whether this instance is one of the owners."""
        owners = self._peers.find_owners(self._ring_key, _OWNERS)
        return self._peers.instance in owners

    async def write(self, value: bytes, is_needed: Callable[[], bool]) -> None:
        """Write a value until it is stored or no longer needed."""
        while is_needed():
            try:
                await self._topic.write(self.key, value)
                return
            except LogUnavailableError:
                # The outage is logged by those that read the store.
                await self._clock.sleep(self._retry_seconds)
