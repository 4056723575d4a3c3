"""Tests of targets that fall silent together and go on one after the other."""

import asyncio
from contextlib import AsyncExitStack
from unittest import IsolatedAsyncioTestCase

from tests.forwarding.fixtures import build_request, build_response
from tests.forwarding.late_ends import STREAM_END, stream_events
from tests.forwarding.silence import TIME_LIMIT_MS, is_whole, start_instance

CALLERS = 8
SILENCE_SECONDS = 1.3
# Between the first answers of the two targets, or of one target.
DELAY_SECONDS = 0.25
DARK_SECONDS = 30.0
LEFT_SECONDS = 1.0


class SilentFleet:
    """Two targets that answer nothing for a while and go on at different times.

    ``delays`` are the seconds from the end of the silence to the answers of each
    target: to its first request, and to the others.
    """

    def __init__(self, *delays: tuple[float, float]) -> None:
        loop = asyncio.get_running_loop()
        self._ends_at = loop.time() + SILENCE_SECONDS
        self.scripts = [self._create_script(*pair) for pair in delays]

    def _create_script(self, first: float, others: float):
        count = 0

        async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
            nonlocal count
            count += 1
            loop = asyncio.get_running_loop()
            delay = first if count == 1 else others
            await asyncio.sleep(max(0.0, self._ends_at + delay - loop.time()))
            if b" /resumable/" in request:
                writer.write(stream_events(request) + STREAM_END)
            else:
                writer.write(build_response(request, b"whole"))

        return script


class CommonSilenceTest(IsolatedAsyncioTestCase):
    """Guard against requests that leave a target as it goes on, or that never do."""

    async def call_all(self, path: str, *delays: tuple[float, float]):
        """Return the answers, the number of runs and the seconds until the last one."""
        request = build_request(path, b"a", Carobladder_Deadline=str(TIME_LIMIT_MS))
        loop = asyncio.get_running_loop()
        before = loop.time()
        async with AsyncExitStack() as stack:
            fleet = SilentFleet(*delays)
            instance, targets = await start_instance(stack, *fleet.scripts)
            answers = await asyncio.gather(
                *(instance.exchange(request) for _ in range(CALLERS))
            )
        runs = sum(len(target.requests) for target in targets)
        return answers, runs, loop.time() - before

    # Guards against work that is done twice as all targets go on.
    async def test_no_request_leaves_a_target_that_goes_on(self):
        cases = {
            "one target after the other": ((0.0, 0.0), (DELAY_SECONDS, DELAY_SECONDS)),
            "one request after the other": ((0.0, DELAY_SECONDS),) * 2,
        }
        for name, delays in cases.items():
            for path in ("/safe/x", "/resumable/x"):
                with self.subTest(name, path=path):
                    answers, runs, _ = await self.call_all(path, *delays)
                    self.assertTrue(all(map(is_whole, answers)))
                    self.assertEqual(runs, CALLERS)

    # Guards against requests that wait for a target that does not go on.
    async def test_target_that_stays_silent_is_left(self):
        for path in ("/safe/x", "/resumable/x"):
            with self.subTest(path=path):
                answers, _, seconds = await self.call_all(
                    path, (0.0, 0.0), (DARK_SECONDS, DARK_SECONDS)
                )
                self.assertTrue(all(map(is_whole, answers)))
                self.assertLess(seconds, SILENCE_SECONDS + LEFT_SECONDS)
