"""Tests of second attempts of calls that must have an answer within a short time."""

import asyncio
import unittest

from carobladder.clock import VirtualClock
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.topics import run_hedged

DELAY_SECONDS = 0.4


class HedgingTest(unittest.IsolatedAsyncioTestCase):
    """Guard against one failure or silence that uses up the time for an answer."""

    def setUp(self):
        self.clock = VirtualClock()
        self.started_at: list[float] = []
        self.reasons: list[str] = []

    async def run_attempts(self, *outcomes):
        """Run attempts, each of which takes a time and returns or raises."""
        remaining = list(outcomes)

        async def attempt():
            self.started_at.append(self.clock.monotonic())
            seconds, outcome = remaining.pop(0)
            await self.clock.sleep(seconds)
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        call = run_hedged(self.clock, attempt, DELAY_SECONDS, self.reasons.append)
        task = asyncio.ensure_future(call)
        while not task.done():
            for _ in range(6):
                await asyncio.sleep(0)
            if not task.done():
                self.clock.advance_to_next()
        return task.result()

    async def test_prompt_answer_needs_one_attempt(self):
        self.assertEqual(await self.run_attempts((0.1, "a")), "a")
        self.assertEqual((len(self.started_at), self.reasons), (1, []))

    async def test_failed_attempt_is_repeated_at_once(self):
        error = LogUnavailableError("reset")
        result = await self.run_attempts((0.1, error), (0.1, "b"))
        self.assertEqual((result, self.started_at), ("b", [0.0, 0.1]))
        self.assertEqual(self.reasons, ["reset"])

    async def test_silent_attempt_is_repeated_after_the_delay(self):
        result = await self.run_attempts((9.0, "a"), (0.1, "b"))
        self.assertEqual((result, self.started_at), ("b", [0.0, DELAY_SECONDS]))
        self.assertEqual(self.reasons, ["no answer within 0.40 s"])

    async def test_late_first_answer_is_used_if_it_comes_first(self):
        result = await self.run_attempts((0.5, "a"), (9.0, "b"))
        self.assertEqual((result, self.clock.monotonic()), ("a", 0.5))

    async def test_success_is_used_although_the_other_attempt_failed(self):
        error = LogUnavailableError("reset")
        self.assertEqual(await self.run_attempts((0.6, "a"), (0.1, error)), "a")

    async def test_two_failures_raise(self):
        error = LogUnavailableError("reset")
        with self.assertRaises(LogUnavailableError):
            await self.run_attempts((0.1, error), (0.1, error))
        self.assertEqual(len(self.started_at), 2)

    async def test_definite_error_is_not_repeated(self):
        with self.assertRaises(OffsetDroppedError):
            await self.run_attempts((0.1, OffsetDroppedError(7)))
        self.assertEqual(len(self.started_at), 1)


if __name__ == "__main__":
    unittest.main()
