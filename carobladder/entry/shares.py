"""Group membership that assigns an instance its share of fleet-wide limits."""

import math

from carobladder.clock import Clock
from carobladder.eras import EraMonitor
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import GroupStore, ShareLedger
from carobladder.telemetry import ShareChanged, ShareNotRenewed, emit

__all__ = [
    "SHARE_PARTITIONS",
    "ShareMembership",
    "count_share_partitions",
    "list_share_topics",
]

# Enough partitions for each instance of the largest deployment to hold one.
SHARE_PARTITIONS = 384
# The store has assigned no partitions of further topics to the members of a group.
# Partitions that nobody holds are shares of limits that nobody can use.
_MAX_TOPICS = 20
_GROUP_NAME = "instances"
_LEASE_SECONDS = 6.5
_RENEWAL_INTERVAL_SECONDS = 2.5
_RETRY_DELAY_SECONDS = 0.5
_TOPIC_PREFIX = "shares-"


def list_share_topics(partitions_per_topic: int) -> tuple[str, ...]:
    """Return the topics whose partitions represent shares."""
    count = math.ceil(SHARE_PARTITIONS / partitions_per_topic)
    return tuple(f"{_TOPIC_PREFIX}{index}" for index in range(min(count, _MAX_TOPICS)))


def count_share_partitions(partitions_per_topic: int) -> int:
    """Return the number of partitions that represent shares."""
    return len(list_share_topics(partitions_per_topic)) * partitions_per_topic


class ShareMembership:
    """Membership of this instance in the group, and its assigned partitions."""

    def __init__(
        self,
        store: GroupStore,
        ledger: ShareLedger,
        member: str,
        partitions_per_topic: int,
        clock: Clock,
        eras: EraMonitor | None = None,
    ) -> None:
        self._eras = eras or EraMonitor()
        self._eras.add_listener(self._handle_restored_store)
        self._store = store
        self._ledger = ledger
        self._member = member
        self._per_topic = partitions_per_topic
        self._topics = list_share_topics(partitions_per_topic)
        self._clock = clock
        self._generation = 0

    async def run(self) -> None:
        """Renew the membership until cancelled."""
        while True:
            try:
                await self._renew()
            except LogUnavailableError as error:
                emit(ShareNotRenewed(len(self._ledger.held), str(error)))
                await self._clock.sleep(_RETRY_DELAY_SECONDS)
                continue
            await self._clock.sleep(_RENEWAL_INTERVAL_SECONDS)

    async def leave(self) -> None:
        """Leave the group, so that its partitions are reassigned at once."""
        try:
            await self._store.leave_group(_GROUP_NAME, self._member)
        except LogUnavailableError as error:
            emit(
                ShareNotRenewed(
                    len(self._ledger.held), f"could not leave the group: {error}"
                )
            )

    async def _renew(self) -> None:
        sent_at = self._clock.boottime()
        membership = await self._store.join_group(
            _GROUP_NAME, self._member, self._topics, _LEASE_SECONDS, self._generation
        )
        self._eras.note(membership.era)
        if self._eras.is_outdated(membership.era):
            raise LogUnavailableError("the membership is of an earlier era")
        self._generation = membership.generation
        held = frozenset(
            self._compute_partition_number(topic, part)
            for topic, part in membership.parts
        )
        before = len(self._ledger.held)
        # The store counts the lease from the arrival of the call.
        self._ledger.extend_lease(sent_at + _LEASE_SECONDS)
        if self._ledger.assign(held, self._clock.boottime()):
            total = len(self._ledger.partitions)
            emit(ShareChanged(len(held), before, total, membership.generation))

    def _handle_restored_store(self) -> None:
        """Doubt the assignment, as the restored store may have given it to another."""
        self._generation = 0
        self._ledger.note_restored(self._clock.boottime())

    def _compute_partition_number(self, topic: str, part: int) -> int:
        return int(topic.removeprefix(_TOPIC_PREFIX)) * self._per_topic + part
