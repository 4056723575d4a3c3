"""Tests of how soon an instance knows that a target leaves, while reads fail.

A target that leaves says so in the store or removes its entry; every instance that
works must stop sending to it within the drain time.
"""

import asyncio
import json
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.exceptions import ConnectionBrokenError
from carobladder.fleet import (
    KeyedRecord,
    RecordRun,
    TargetTable,
    TopicState,
)
from carobladder.platform.documents import decode_target_entry
from carobladder.platform.store import KeyedTopic
from carobladder.topics import (
    ControlState,
    TopicFollower,
    build_targets_policy,
    compute_expiry_seconds,
)
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.servers"
RENEWAL_SECONDS = 1.2
STEP_SECONDS = 0.02
ANSWER_SECONDS = 0.01
# Time after which a call without an answer is given up.
SILENCE_SECONDS = 0.8
# After this time without trouble, an instance must know in time again.
CONTACT_SECONDS = 3.0
# Interval in which peers answer queries about what they know.
PEER_INTERVAL_SECONDS = 0.3
SEEDS = range(12)


def encode_entry(state: str = "ready") -> bytes:
    """Return the entry of a target as it is stored."""
    entry = {
        "service": "stock",
        "address": "10.0.0.1:80",
        "zone": "dc-1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(entry).encode()


class InstanceKnowledge:
    """What one instance that does not read for the fleet knows of two targets.

    ``failures`` are the errors of the next calls to the store, in order; a call without
    an answer takes a while to fail.
    """

    def __init__(self, drain_seconds: float, seed: int) -> None:
        self.clock = VirtualClock()
        self.store = FakeStore()
        self.failures: list[str] = []
        self.targets = TargetTable()
        control_state = ControlState(
            self.clock,
            self.targets,
            lambda target_id: None,
            compute_expiry_seconds(RENEWAL_SECONDS),
            lambda order: None,
        )
        self.expire = control_state.expire_targets

        def apply_record(record: KeyedRecord) -> None:
            if record.value is None:
                control_state.remove_target(record.key)
            else:
                control_state.apply_entry(decode_target_entry(record.key, record.value))

        self.follower = TopicFollower(
            "targets",
            KeyedTopic(self.store.client, TOPIC),
            self.clock,
            build_targets_policy(drain_seconds, RENEWAL_SECONDS),
            apply_record,
            control_state.handle_store_recovery,
            random.Random(seed),
            lambda: False,
        )
        self._fetch, self.store.fetch = self.store.fetch, self._fetch_with_failures

    async def _fetch_with_failures(self, *args, **options):
        await self.clock.sleep(ANSWER_SECONDS)
        failure = self.failures.pop(0) if self.failures else ""
        if failure == "silent":
            await self.clock.sleep(SILENCE_SECONDS)
        if failure:
            raise ConnectionBrokenError(failure, request_written=True)
        return await self._fetch(*args, **options)

    async def advance(self, seconds: float) -> None:
        """Advance the clock in small steps while the follower runs."""
        for step in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for _ in range(8):
                await asyncio.sleep(0)
            if step % 12 == 0:
                self.expire()

    async def wait_for_read(self) -> None:
        """Advance until the follower has just read the store."""
        before = len(self.store.calls)
        while len(self.store.calls) == before:
            await self.advance(STEP_SECONDS)

    def hear_peer(self) -> None:
        """Handle what a peer knows that has just read the store."""
        end = self.store.state.find_end(TOPIC, 0)
        self.follower.handle_peer_state(
            TopicState(end, 50), self.clock.boottime(), is_proof=True
        )

    def accepts_requests(self) -> bool:
        """Return whether the instance would still send to the first target."""
        target = self.targets.find("i-1")
        return target is not None and target.takes_requests


class KnowledgeTest(unittest.IsolatedAsyncioTestCase):
    """Base of the tests of one instance's knowledge."""

    async def start(self, drain_seconds: float, seed: int) -> InstanceKnowledge:
        """Return an instance that has just read that both targets are ready."""
        knowledge = InstanceKnowledge(drain_seconds, seed)
        for target_id in ("i-1", "i-2"):
            knowledge.store.state.put(TOPIC, target_id, encode_entry())
        task = asyncio.create_task(knowledge.follower.run())
        self.addCleanup(task.cancel)
        await knowledge.advance(0.2)
        await knowledge.wait_for_read()
        self.assertTrue(knowledge.accepts_requests())
        return knowledge


class LeavingTargetTest(KnowledgeTest):
    """Guard against requests to a target later than the drain time after it leaves."""

    async def check_left(self, value: bytes | None, failure: str) -> None:
        """Check that a target is left in time although the next read fails."""
        for drain_seconds in (2.0, 3.0, 4.0):
            for seed in SEEDS:
                with self.subTest(drain_seconds=drain_seconds, seed=seed):
                    knowledge = await self.start(drain_seconds, seed)
                    knowledge.store.state.put(TOPIC, "i-1", value)
                    knowledge.failures = [failure]
                    await knowledge.advance(drain_seconds)
                    self.assertFalse(knowledge.accepts_requests())

    # Guards against requests that reach a draining target since one read was reset.
    async def test_draining_target_is_left_in_time_after_a_reset_read(self):
        await self.check_left(encode_entry("draining"), "reset")

    # Guards against requests that reach a draining target since one read hung.
    async def test_draining_target_is_left_in_time_after_a_silent_read(self):
        await self.check_left(encode_entry("draining"), "silent")

    # Guards against one failed read that is taken for an outage of the store.
    async def test_removed_target_is_left_in_time_after_a_reset_read(self):
        await self.check_left(None, "reset")

    # Guards against one hanging read that is taken for an outage of the store.
    async def test_removed_target_is_left_in_time_after_a_silent_read(self):
        await self.check_left(None, "silent")


class CutOffInstanceTest(KnowledgeTest):
    """Guard against an instance that takes its own trouble for the store's."""

    # Guards against targets that are kept for two seconds more after a cut of this
    # instance, since their entries might have expired with the store away.
    async def test_removed_target_is_left_soon_after_the_instance_is_back(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                knowledge = await self.start(3.0, seed)
                knowledge.failures = ["silent"] * 100
                await knowledge.advance(8.0)
                knowledge.store.state.put(TOPIC, "i-1", None)
                knowledge.failures = []
                for _ in range(round(CONTACT_SECONDS / PEER_INTERVAL_SECONDS)):
                    await knowledge.advance(PEER_INTERVAL_SECONDS)
                    knowledge.hear_peer()
                self.assertFalse(knowledge.accepts_requests())

    # Guards against a failed read long ago that counts as an outage until now, since
    # the proofs of others made a read of its own needless.
    async def test_removed_target_is_left_in_time_long_after_a_failed_read(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                knowledge = await self.start(3.0, seed)
                knowledge.failures = ["silent"] * 4
                await knowledge.advance(3.0)
                knowledge.failures = []
                for _ in range(round(9.0 / PEER_INTERVAL_SECONDS)):
                    await knowledge.advance(PEER_INTERVAL_SECONDS)
                    knowledge.hear_peer()
                knowledge.store.state.put(TOPIC, "i-1", None)
                await knowledge.advance(1.0)
                knowledge.hear_peer()
                await knowledge.advance(1.0)
                self.assertFalse(knowledge.accepts_requests())

    # Guards against the loss of all targets when their entries have expired together.
    async def test_removed_target_is_kept_after_an_outage_of_the_store(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                knowledge = await self.start(3.0, seed)
                knowledge.failures = ["silent"] * 100
                await knowledge.advance(8.0)
                knowledge.failures = []
                knowledge.store.state.put(TOPIC, "i-1", None)
                knowledge.hear_peer()
                await knowledge.advance(1.0)
                self.assertTrue(knowledge.accepts_requests())
                await knowledge.advance(3.0)
                self.assertFalse(knowledge.accepts_requests())

    # Guards against an instance that ignores the news of others since one of its own
    # reads has failed.
    async def test_removal_known_to_others_is_applied_after_a_failed_read(self):
        knowledge = await self.start(3.0, 1)
        knowledge.failures = ["silent"] * 100
        knowledge.store.state.put(TOPIC, "i-2", encode_entry("draining"))
        knowledge.follower.handle_peer_end(3)
        await knowledge.advance(2.0)
        removal = KeyedRecord(3, "i-1", None)
        knowledge.follower.apply_peer_run(RecordRun(2, 4, (removal,)))
        self.assertFalse(knowledge.accepts_requests())
