"""Tests of many requests with copies, failures and leaving callers at once."""

import asyncio
import random
import unittest
from collections import Counter

from tests.forwarding.fixtures import build_request, build_response, read_header
from tests.forwarding.hedgedinstances import HedgedInstance
from tests.forwarding.late_ends import STREAM_END, stream_events
from tests.forwarding.silence import is_whole
from tests.support.looptime import in_virtual_time

REQUESTS = 300
TARGETS = 4
SEEDS = (1, 2, 3)
NOT_RUN = "Carobladder-Not-Executed: 1\r\n"


class Storm:
    """Targets that answer late, fail, break off or refuse at random."""

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.runs: Counter[str] = Counter()

    async def serve(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        request_id = read_header(request, "carobladder-request-id")
        is_slow = self.generator.random() < 0.15
        fault = self.generator.random()
        if fault < 0.05:
            writer.write(build_response(request, b"no", "503 Busy", NOT_RUN))
            return
        self.runs[request_id] += 1
        is_stream = b" /resumable/" in request
        head, separator, events = stream_events(request).partition(b"\r\n\r\n")
        if is_stream:
            writer.write(head + separator)
        await asyncio.sleep(self.generator.uniform(0.3, 0.8) if is_slow else 0.05)
        if fault < 0.08:
            writer.transport.abort()
        elif is_stream:
            writer.write(events + STREAM_END)
        elif fault < 0.11:
            writer.write(build_response(request, b"no", "500 Oh"))
        else:
            writer.write(build_response(request, request_id.encode()))


class HedgedStormTest(unittest.TestCase):
    """Guard against mixed answers, runs too many and slots that are never released."""

    @in_virtual_time
    async def test_answers_are_those_of_their_requests(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(seed)

    async def play(self, seed: int) -> None:
        """Send requests at random times and check what comes back."""
        storm = Storm(seed)
        self.generator = random.Random(seed)
        self.answered = 0
        fleet = HedgedInstance(*[storm.serve] * TARGETS)
        async with fleet as instance:
            for target in instance.targets.list_all():
                target.health.first_byte_seconds = 0.1
            # Each late request gets a copy, also while the policy would withhold it.
            instance.hedging.find_reason = lambda call: None
            instance.hedging.withdraw = lambda call: True
            tasks = []
            for number in range(REQUESTS):
                instance.freshness.note_read(instance.clock.boottime())
                tasks.append(asyncio.create_task(self.call(instance, number)))
                await asyncio.sleep(self.generator.expovariate(40.0))
            await asyncio.gather(*tasks)
            await asyncio.sleep(0.5)
            self.assertEqual(fleet.count_in_flight(), [0] * TARGETS)
        self.assertEqual(instance.client.memory.used_bytes, 0)
        self.assertGreater(len(fleet.sent), 10)
        self.assertEqual(len(fleet.outcomes), len(fleet.sent))
        self.assertIn("won", fleet.outcomes)
        self.assertGreater(self.answered, 0.8 * REQUESTS)
        once = [runs for name, runs in storm.runs.items() if name.startswith("unsafe")]
        self.assertEqual(max(once), 1)
        self.assertLessEqual(max(storm.runs.values()), 2)

    async def call(self, instance, number: int) -> None:
        """Send one request, and leave before its answer at times."""
        route = self.generator.choice(("safe", "safe", "resumable", "unsafe"))
        request_id = f"{route}{number}"
        request = build_request(f"/{route}/x", b"a", Carobladder_Request_Id=request_id)
        reader, writer = await instance.connect()
        writer.write(request)
        if self.generator.random() < 0.05:
            await asyncio.sleep(self.generator.uniform(0.0, 0.4))
            writer.close()
            return
        answer = await reader.read()
        writer.close()
        if b" 200 " not in answer[:20]:
            return
        self.answered += 1
        if route == "resumable":
            self.assertTrue(is_whole(answer))
        else:
            self.assertTrue(answer.endswith(b"\r\n\r\n" + request_id.encode()))
