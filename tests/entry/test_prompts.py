"""Tests of the directory of cached prompts.

When engines are replaced, added or removed, prompts move to engines that don't have
them cached. Each instance knows only its own few requests, so without the directory
prompts are prefilled again that could be copied from another engine.
"""

import asyncio
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.fleet import HolderQuery, HolderReply, KeyedRecord, PeerDirectory
from carobladder.placement.keys import hash_parts
from tests.entry.prompt_simulation import PROMPT_TOKENS, PromptFleet

CONTROL_BYTES_PER_SECOND = 4096
REQUESTS_PER_SECOND = 40
PROMPTS = [hash_parts("prompt", str(number)) for number in range(3000)]
HOT_PROMPTS = [PROMPTS[0]] * 3 + PROMPTS[1:3]


class EngineReplacementTest(unittest.IsolatedAsyncioTestCase):
    """Guard against repeated prefills of prompts that a live engine has cached."""

    async def replace_engines(
        self, instances: int, seed: int, uses_directory: bool
    ) -> int:
        """Replace half of the engines in turn; return the repeated prefills."""
        fleet = PromptFleet(instances, 6, seed, uses_directory)
        prompts = PROMPTS[:60]
        await fleet.advance(10.0, REQUESTS_PER_SECOND, prompts)
        fleet.repeated_prefills = 0
        for engine in fleet.list_engines()[:3]:
            fleet.add_engine()
            fleet.drain_engine(engine)
            await fleet.advance(2.0, REQUESTS_PER_SECOND, prompts)
        await fleet.advance(6.0, REQUESTS_PER_SECOND, prompts)
        return fleet.repeated_prefills

    async def test_directory_saves_prefills_while_engines_are_replaced(self):
        for instances in (8, 87, 195):
            without_directory = with_directory = 0
            for seed in range(3):
                without_directory += await self.replace_engines(instances, seed, False)
                with_directory += await self.replace_engines(instances, seed, True)
            self.assertLess(
                with_directory,
                without_directory / 4,
                (instances, with_directory, without_directory),
            )

    async def test_directory_saves_prefills_of_hot_prompts_on_new_engines(self):
        counts = {}
        for uses_directory in (False, True):
            fleet = PromptFleet(40, 6, 5, uses_directory)
            await fleet.advance(4.0, REQUESTS_PER_SECOND, HOT_PROMPTS)
            fleet.repeated_prefills = 0
            for _ in range(4):
                fleet.add_engine()
                await fleet.advance(2.0, REQUESTS_PER_SECOND, HOT_PROMPTS)
            counts[uses_directory] = fleet.repeated_prefills
        self.assertLessEqual(counts[True], counts[False])

    async def test_directory_works_while_owners_are_unreachable(self):
        """The announcement of an instance stays valid after it has died."""
        fleet = PromptFleet(40, 6, 6, True)
        prompts = PROMPTS[:60]
        fleet.unreachable = {instance.name for instance in fleet.instances[:13]}
        fleet.instances = fleet.instances[13:]
        await fleet.advance(10.0, REQUESTS_PER_SECOND, prompts)
        fleet.repeated_prefills = 0
        for engine in fleet.list_engines()[:3]:
            fleet.add_engine()
            fleet.drain_engine(engine)
            await fleet.advance(2.0, REQUESTS_PER_SECOND, prompts)
        without_directory = await self.replace_engines(40, 6, False)
        self.assertLess(fleet.repeated_prefills, without_directory / 2)


class MessageCostTest(unittest.IsolatedAsyncioTestCase):
    """Guard against traffic that grows with the fleet or with its load."""

    async def test_messages_per_request_do_not_grow_with_the_fleet(self):
        for instances in (9, 87, 800):
            fleet = PromptFleet(instances, 6, 3, True)
            for prompt in PROMPTS[:300]:
                fleet.clock.advance(0.1)
                await fleet.send(prompt)
            self.assertLessEqual(fleet.messages, 3 * 300, instances)

    async def test_lookup_traffic_of_an_instance_is_bounded(self):
        fleet = PromptFleet(3, 6, 3, True)
        fleet.instances = fleet.instances[:1]
        sender = fleet.instances[0]
        for prompt in PROMPTS[:3000]:
            fleet.clock.advance(0.005)
            target = sender.table.find("i-1")
            await sender.prompts.find_source((prompt,), (PROMPT_TOKENS,), target)
        per_second = fleet.message_bytes / (3000 * 0.005)
        self.assertLess(per_second, CONTROL_BYTES_PER_SECOND)

    async def test_known_and_short_prompts_are_not_looked_up(self):
        fleet = PromptFleet(9, 1, 3, True)
        sender = fleet.instances[0]
        target = sender.table.find("i-1")
        for _ in range(5):
            await sender.prompts.find_source((7,), (PROMPT_TOKENS,), target)
        self.assertLessEqual(fleet.messages, 3)
        before = fleet.messages
        await sender.prompts.find_source((8,), (10,), target)
        self.assertEqual(fleet.messages, before)


class LookupAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against answers that are late, unexpected or from another instance."""

    async def asyncSetUp(self):
        self.fleet = PromptFleet(9, 2, 3, True)
        self.sent: list[tuple[object, str]] = []
        first = self.fleet.instances[0]
        self.prompts = first.prompts
        self.prompts.set_sender(lambda message, name: self.sent.append((message, name)))
        self.chosen, self.other = (first.table.find(f"i-{n}") for n in (1, 2))
        # A prompt that this instance doesn't own.
        self.key = next(
            key for key in PROMPTS if first.name not in first.peers.find_owners(key, 2)
        )

    async def start_lookup(self) -> tuple[asyncio.Task, int, str]:
        """Start a lookup; return its task, its number and the owner it queries."""
        lookup = self.prompts.find_source((self.key,), (PROMPT_TOKENS,), self.chosen)
        task = asyncio.create_task(lookup)
        await asyncio.sleep(0)
        (question, owner), (notice, _) = self.sent
        self.assertIsInstance(question, HolderQuery)
        self.assertEqual(notice.number, 0)
        return task, question.number, owner

    async def test_answer_names_the_source(self):
        task, number, owner = await self.start_lookup()
        self.prompts.handle_message(HolderReply(number, [self.other.tag]), owner)
        self.assertIs(await task, self.other)

    async def test_target_that_holds_the_prompt_needs_no_source(self):
        task, number, owner = await self.start_lookup()
        tags = [self.other.tag, self.chosen.tag]
        self.prompts.handle_message(HolderReply(number, tags), owner)
        self.assertIsNone(await task)

    async def test_answer_from_wrong_sender_or_number_is_dropped(self):
        task, number, owner = await self.start_lookup()
        self.prompts.handle_message(HolderReply(number, [self.other.tag]), "front-99")
        self.prompts.handle_message(HolderReply(number + 5, [self.other.tag]), owner)
        await task
        self.assertFalse(
            self.prompts.cached_prompts.is_known_holder(self.key, self.other)
        )

    async def test_late_answer_is_dropped_and_its_owner_skipped(self):
        task, number, owner = await self.start_lookup()
        await task
        self.prompts.handle_message(HolderReply(number, [self.other.tag]), owner)
        self.assertFalse(
            self.prompts.cached_prompts.is_known_holder(self.key, self.other)
        )
        self.sent.clear()
        self.prompts.cached_prompts._holders.clear()
        lookup = self.prompts.find_source((self.key,), (PROMPT_TOKENS,), self.chosen)
        await lookup
        queried_owners = {name for message, name in self.sent if message.number}
        self.assertNotIn(owner, queried_owners)

    async def test_unknown_holder_tags_are_ignored(self):
        task, number, owner = await self.start_lookup()
        self.prompts.handle_message(HolderReply(number, [1, 2, 3]), owner)
        await task

    async def test_answer_after_the_caller_left_is_ignored(self):
        task, number, owner = await self.start_lookup()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.prompts.handle_message(HolderReply(number, [self.other.tag]), owner)

    async def test_pending_lookups_are_bounded(self):
        for key in PROMPTS[:2000]:
            self.fleet.clock.advance(1.0)
            task = asyncio.create_task(
                self.prompts.find_source((key,), (PROMPT_TOKENS,), self.chosen)
            )
            await asyncio.sleep(0)
            task.cancel()
        self.assertLessEqual(len(self.prompts._pending_lookups), 256)


class OwnersTest(unittest.TestCase):
    """Guard against owners that instances disagree on or that are unevenly loaded."""

    def build(self, own: int, count: int) -> PeerDirectory:
        """Return the directory of one instance of a fleet."""
        directory = PeerDirectory(f"front-{own}", "127.0.0.1:1", VirtualClock())
        names = [f"front-{n}" for n in range(count) if n != own]
        random.Random(own).shuffle(names)
        for name in names:
            value = f"{name}:1 {'6b' * 32}".encode()
            directory.apply_record(KeyedRecord(0, name, value))
        return directory

    def test_all_instances_agree_on_owners(self):
        first, second = self.build(0, 20), self.build(7, 20)
        generator = random.Random(1)
        for _ in range(200):
            key = generator.getrandbits(64)
            owners = first.find_owners(key, 2)
            self.assertEqual(owners, second.find_owners(key, 2))
            self.assertEqual(len(set(owners)), 2)

    def test_keys_are_spread_evenly(self):
        directory = self.build(0, 87)
        generator = random.Random(1)
        counts: dict[str, int] = {}
        for _ in range(8700):
            (owner,) = directory.find_owners(generator.getrandbits(64), 1)
            counts[owner] = counts.get(owner, 0) + 1
        self.assertLess(max(counts.values()), 3 * 100)

    def test_joining_instance_moves_few_keys(self):
        before, after = self.build(0, 40), self.build(0, 41)
        generator = random.Random(1)
        keys = [generator.getrandbits(64) for _ in range(1000)]
        moved = sum(before.find_owners(k, 1) != after.find_owners(k, 1) for k in keys)
        self.assertLess(moved, 3 * 1000 / 41)

    def test_single_instance_owns_all_keys(self):
        self.assertEqual(self.build(0, 1).find_owners(5, 2), ["front-0"])


if __name__ == "__main__":
    unittest.main()
