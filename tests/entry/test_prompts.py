"""Tests of prompts that one engine keeps and another reads again.

The pattern: engines are replaced, added and taken away, so that prompts move to engines
which do not keep them, while any instance knows only its own few requests.
"""

import asyncio
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.peers import PeerDirectory
from carobladder.fleet import HolderQuery, HolderReply, KeyedRecord
from carobladder.placement.keys import hash_parts
from tests.entry.prompt_simulation import PROMPT_TOKENS, PromptFleet

CONTROL_BYTES_PER_SECOND = 4096
REQUESTS_PER_SECOND = 40
PROMPTS = [hash_parts("prompt", str(number)) for number in range(3000)]
HOT_PROMPTS = [PROMPTS[0]] * 3 + PROMPTS[1:3]


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    """Guard against prompts that are read again though a live engine keeps them."""

    async def play(self, instances: int, seed: int, asks: bool) -> int:
        """Replace half of the engines in turn; return the prompts read again."""
        fleet = PromptFleet(instances, 6, seed, asks)
        prompts = PROMPTS[:60]
        await fleet.advance(10.0, REQUESTS_PER_SECOND, prompts)
        fleet.read_again = 0
        for engine in fleet.list_engines()[:3]:
            fleet.add_engine()
            fleet.drain_engine(engine)
            await fleet.advance(2.0, REQUESTS_PER_SECOND, prompts)
        await fleet.advance(6.0, REQUESTS_PER_SECOND, prompts)
        return fleet.read_again

    async def test_half_of_the_engines_replaced(self):
        for instances in (8, 87, 195):
            guessed = asked = 0
            for seed in range(3):
                guessed += await self.play(instances, seed, False)
                asked += await self.play(instances, seed, True)
            self.assertLess(asked, guessed / 4, (instances, asked, guessed))

    async def test_hot_prompt_while_engines_are_added(self):
        counts = {}
        for asks in (False, True):
            fleet = PromptFleet(40, 6, 5, asks)
            await fleet.advance(4.0, REQUESTS_PER_SECOND, HOT_PROMPTS)
            fleet.read_again = 0
            for _ in range(4):
                fleet.add_engine()
                await fleet.advance(2.0, REQUESTS_PER_SECOND, HOT_PROMPTS)
            counts[asks] = fleet.read_again
        self.assertLessEqual(counts[True], counts[False])

    async def test_homes_that_are_away(self):
        """An announcement stands after its instance has died."""
        fleet = PromptFleet(40, 6, 6, True)
        prompts = PROMPTS[:60]
        fleet.away = {instance.name for instance in fleet.instances[:13]}
        fleet.instances = fleet.instances[13:]
        await fleet.advance(10.0, REQUESTS_PER_SECOND, prompts)
        fleet.read_again = 0
        for engine in fleet.list_engines()[:3]:
            fleet.add_engine()
            fleet.drain_engine(engine)
            await fleet.advance(2.0, REQUESTS_PER_SECOND, prompts)
        guessed = await self.play(40, 6, False)
        self.assertLess(fleet.read_again, guessed / 2)


class CostTest(unittest.IsolatedAsyncioTestCase):
    """Guard against messages that grow with the fleet or with its load."""

    async def test_messages_of_a_request_do_not_grow_with_the_fleet(self):
        for instances in (9, 87, 800):
            fleet = PromptFleet(instances, 6, 3, True)
            for prompt in PROMPTS[:300]:
                fleet.clock.advance(0.1)
                await fleet.send(prompt)
            self.assertLessEqual(fleet.messages, 3 * 300, instances)

    async def test_bytes_of_an_instance_are_bounded(self):
        fleet = PromptFleet(3, 6, 3, True)
        fleet.instances = fleet.instances[:1]
        sender = fleet.instances[0]
        for prompt in PROMPTS[:3000]:
            fleet.clock.advance(0.005)
            target = sender.table.find("i-1")
            await sender.prompts.find_source((prompt,), (PROMPT_TOKENS,), target)
        per_second = fleet.message_bytes / (3000 * 0.005)
        self.assertLess(per_second, CONTROL_BYTES_PER_SECOND)

    async def test_what_is_known_is_not_asked(self):
        fleet = PromptFleet(9, 1, 3, True)
        sender = fleet.instances[0]
        target = sender.table.find("i-1")
        for _ in range(5):
            await sender.prompts.find_source((7,), (PROMPT_TOKENS,), target)
        self.assertLessEqual(fleet.messages, 3)
        before = fleet.messages
        await sender.prompts.find_source((8,), (10,), target)
        self.assertEqual(fleet.messages, before)


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against answers that are late, doubled or come from somebody else."""

    async def asyncSetUp(self):
        self.fleet = PromptFleet(9, 2, 3, True)
        self.sent: list[tuple[object, str]] = []
        first = self.fleet.instances[0]
        self.prompts = first.prompts
        self.prompts.use_sender(lambda message, name: self.sent.append((message, name)))
        self.chosen, self.other = (first.table.find(f"i-{n}") for n in (1, 2))
        # A prompt of which this instance is no home.
        self.key = next(
            key for key in PROMPTS if first.name not in first.peers.find_homes(key, 2)
        )

    async def ask(self) -> tuple[asyncio.Task, int, str]:
        """Start a question; return its task, its number and the home that is asked."""
        finding = self.prompts.find_source((self.key,), (PROMPT_TOKENS,), self.chosen)
        task = asyncio.create_task(finding)
        await asyncio.sleep(0)
        (question, home), (told, _) = self.sent
        self.assertIsInstance(question, HolderQuery)
        self.assertEqual(told.number, 0)
        return task, question.number, home

    async def test_answer_names_the_source(self):
        task, number, home = await self.ask()
        self.prompts.take(HolderReply(number, [self.other.tag]), home)
        self.assertIs(await task, self.other)

    async def test_chosen_target_that_keeps_the_prompt_needs_no_source(self):
        task, number, home = await self.ask()
        tags = [self.other.tag, self.chosen.tag]
        self.prompts.take(HolderReply(number, tags), home)
        self.assertIsNone(await task)

    async def test_answer_that_does_not_belong_here_is_dropped(self):
        task, number, home = await self.ask()
        self.prompts.take(HolderReply(number, [self.other.tag]), "front-99")
        self.prompts.take(HolderReply(number + 5, [self.other.tag]), home)
        await task
        self.assertFalse(self.prompts.warmth.is_known_holder(self.key, self.other))

    async def test_late_answer_changes_nothing_and_its_home_is_not_waited_for(self):
        task, number, home = await self.ask()
        await task
        self.prompts.take(HolderReply(number, [self.other.tag]), home)
        self.assertFalse(self.prompts.warmth.is_known_holder(self.key, self.other))
        self.sent.clear()
        self.prompts.warmth._holders.clear()
        finding = self.prompts.find_source((self.key,), (PROMPT_TOKENS,), self.chosen)
        await finding
        asked = {name for message, name in self.sent if message.number}
        self.assertNotIn(home, asked)

    async def test_tags_that_nobody_has(self):
        task, number, home = await self.ask()
        self.prompts.take(HolderReply(number, [1, 2, 3]), home)
        await task

    async def test_caller_that_leaves_meanwhile(self):
        task, number, home = await self.ask()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.prompts.take(HolderReply(number, [self.other.tag]), home)

    async def test_questions_without_answer_are_bounded(self):
        for key in PROMPTS[:2000]:
            self.fleet.clock.advance(1.0)
            task = asyncio.create_task(
                self.prompts.find_source((key,), (PROMPT_TOKENS,), self.chosen)
            )
            await asyncio.sleep(0)
            task.cancel()
        self.assertLessEqual(len(self.prompts._waiting), 256)


class HomesTest(unittest.TestCase):
    """Guard against homes on which instances disagree or that are unevenly loaded."""

    def build(self, own: int, count: int) -> PeerDirectory:
        """Return what an instance knows of a fleet."""
        directory = PeerDirectory(f"front-{own}", "127.0.0.1:1", VirtualClock())
        names = [f"front-{n}" for n in range(count) if n != own]
        random.Random(own).shuffle(names)
        for name in names:
            value = f"{name}:1 {'6b' * 32}".encode()
            directory.take_record(KeyedRecord(0, name, value))
        return directory

    def test_all_instances_agree(self):
        first, second = self.build(0, 20), self.build(7, 20)
        generator = random.Random(1)
        for _ in range(200):
            key = generator.getrandbits(64)
            homes = first.find_homes(key, 2)
            self.assertEqual(homes, second.find_homes(key, 2))
            self.assertEqual(len(set(homes)), 2)

    def test_no_instance_has_many_times_its_part(self):
        directory = self.build(0, 87)
        generator = random.Random(1)
        counts: dict[str, int] = {}
        for _ in range(8700):
            (home,) = directory.find_homes(generator.getrandbits(64), 1)
            counts[home] = counts.get(home, 0) + 1
        self.assertLess(max(counts.values()), 3 * 100)

    def test_instance_that_joins_takes_few_keys(self):
        before, after = self.build(0, 40), self.build(0, 41)
        generator = random.Random(1)
        keys = [generator.getrandbits(64) for _ in range(1000)]
        moved = sum(before.find_homes(k, 1) != after.find_homes(k, 1) for k in keys)
        self.assertLess(moved, 3 * 1000 / 41)

    def test_instance_that_is_alone_is_its_own_home(self):
        self.assertEqual(self.build(0, 1).find_homes(5, 2), ["front-0"])


if __name__ == "__main__":
    unittest.main()
