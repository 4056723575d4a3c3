"""Tests of requests that wait while no target is below its load bound."""

import asyncio

from tests.forwarding.fixtures import Instance, build_target
from tests.forwarding.test_handler import ForwardingTest, echo

PAUSE_SECONDS = 0.05
IDLE_TARGETS = 4


class LoadWaitTest(ForwardingTest):
    """Guard against requests that are sent on, or held back, at the wrong load."""

    async def start_overloaded(self) -> Instance:
        """Return an instance with one loaded target beside several draining ones."""
        instance = await self.start(echo)
        for index in range(1, 1 + IDLE_TARGETS):
            entry = build_target(f"i-{index}", "127.0.0.1:1", draining=True)
            instance.targets.apply(entry, 0.0)
        self.set_load(instance, 40)
        return instance

    def set_load(self, instance: Instance, load: int) -> None:
        """Let the other instances have this many requests at the target in use."""
        instance.targets.find("i-0").health.peers_in_flight = load

    async def test_request_is_sent_once_its_target_is_below_the_bound(self):
        instance = await self.start_overloaded()
        call = asyncio.create_task(instance.call("/patient/x"))
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(self.count_requests(), 0)
        self.set_load(instance, 2)
        status, _, _ = await call
        self.assertEqual((status, self.count_requests()), (200, 1))

    async def test_wait_ends_within_the_latency_objective(self):
        instance = await self.start_overloaded()
        status, _, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 200)

    async def test_request_does_not_wait_while_a_target_fails(self):
        instance = await self.start_overloaded()
        instance.targets.find("i-1").health.note_failure(instance.clock.monotonic())
        status, _, _ = await instance.call("/patient/x")
        self.assertEqual(status, 200)

    async def test_caller_that_leaves_ends_the_wait(self):
        """A request of a caller that has gone must not reach a target."""
        instance = await self.start_overloaded()
        call = asyncio.create_task(instance.call("/patient/x"))
        await asyncio.sleep(PAUSE_SECONDS)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(PAUSE_SECONDS)
        self.set_load(instance, 2)
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(self.count_requests(), 0)
