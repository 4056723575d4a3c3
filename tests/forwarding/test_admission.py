"""Tests of calls to services whose targets shed load."""

import asyncio
import dataclasses
import unittest

from carobladder.clock import SystemClock
from carobladder.fleet import TargetLoad
from carobladder.routing import RouteTable, Service
from tests.forwarding.fixtures import Instance, build_response, build_target
from tests.forwarding.test_handler import NOT_RUN, ForwardingTest, echo

SLOTS = 6
LIMIT = 30


def shed(load: str = "6,24,6"):
    """Return a script of a target whose slots and queue are full."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        extra = f"{NOT_RUN}Carobladder-Server-Load: {load}\r\n"
        writer.write(build_response(request, b"", "503 Busy", extra))

    return script


def state_load(instance: Instance, load: int, *indexes: int) -> None:
    """Let targets have stated a load just now."""
    for index in indexes:
        health = instance.targets.find(f"i-{index}").health
        health.note_load(TargetLoad(load, 0, SLOTS), instance.clock.monotonic())


class OverloadTest(ForwardingTest):
    """Guard against requests that are refused without need, or sent in vain."""

    async def test_target_that_sheds_is_left_for_one_with_room(self):
        instance = await self.start(shed(), echo)
        for _ in range(10):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 200)

    async def test_request_is_not_sent_again_to_a_full_target(self):
        """A send to a target that is known to be full uses the retry budget up."""
        instance = await self.start(shed(), shed())
        while not all(target.requests for target in self.targets):
            await instance.call("/unsafe/x")
        before = self.count_requests()
        status, headers, body = await instance.call("/unsafe/x")
        self.assertEqual(status, 503)
        self.assertIn(b"targets_busy", body)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertEqual(self.count_requests(), before + 1)

    async def test_retry_budget_is_kept_where_all_targets_are_full(self):
        instance = await self.start(shed(), shed())
        while not all(target.requests for target in self.targets):
            await instance.call("/unsafe/x")
        before = instance.budget.available_retries
        for _ in range(3):
            await instance.call("/unsafe/x")
        self.assertGreaterEqual(instance.budget.available_retries, before)

    async def test_less_urgent_request_is_refused_while_a_queue_is_full(self):
        instance = await self.start(shed())
        for _ in range(20):
            await instance.call("/unsafe/x")
            await instance.call("/open/x", X_Api_Key=None)
        state_load(instance, LIMIT - 1, 0)
        before = self.count_requests()
        status, headers, body = await instance.call("/unsafe/x")
        self.assertEqual((status, self.count_requests()), (503, before))
        self.assertIn(b"overloaded", body)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        count = instance.metrics.registry.get_sample_value(
            "carobladder_shed_requests_total", {"reason": "more urgent requests"}
        )
        self.assertGreater(count, 0.0)
        await instance.call("/open/x", X_Api_Key=None)
        self.assertEqual(self.count_requests(), before + 1)

    async def test_refusals_have_different_retry_times(self):
        """Callers that come back together would be refused together again."""
        instance = await self.start(shed())
        times = set()
        for _ in range(10):
            _, headers, _ = await instance.call("/unsafe/x")
            times.add(headers["retry-after"])
        self.assertGreater(len(times), 5)

    async def test_request_without_time_for_the_queue_is_refused_at_once(self):
        instance = await self.start(echo)
        admission = instance.admission
        state_load(instance, 60, 0)
        service = instance.table.find_service("stock")
        for _ in range(100):
            admission.find(service.name).note_answer(SLOTS, SLOTS, 0.1)
        status, _, body = await instance.call("/unsafe/x", Carobladder_Deadline="500")
        self.assertEqual((status, self.count_requests()), (503, 0))
        self.assertIn(b"no answer before the deadline", body)
        status, _, _ = await instance.call("/unsafe/x", Carobladder_Deadline="1900")
        self.assertEqual(status, 200)

    async def test_memory_limits_the_slots_of_an_engine(self):
        """Long prompts may fill the cache of an engine before its slots are full."""
        for cache_tokens, status in ((0, 200), (1000, 503)):
            instance = await self.start(echo)
            configuration = instance.table.configuration
            service = Service("stock", kv_cache_tokens=cache_tokens)
            instance.table = RouteTable(
                dataclasses.replace(configuration, services=(service,))
            )
            admission = instance.admission.find("stock")
            for _ in range(100):
                admission.note_answer(2, 2, 1.0)
            state_load(instance, SLOTS - 1, 0)
            result, _, _ = await instance.call(
                "/unsafe/x", Carobladder_Prompt_Prefix="aa:9,bb:500"
            )
            self.assertEqual(result, status)

    async def test_service_below_its_slots_is_served_as_before(self):
        """Nothing may change where no target sheds or states a load at its slots."""
        instance = await self.start(echo, echo)
        for _ in range(50):
            state_load(instance, SLOTS - 2, 0, 1)
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 200)
        self.assertEqual(self.count_requests(), 50)

    async def test_refusals_at_free_slots_are_no_overload(self):
        """A target that loads its model refuses too, and has room elsewhere."""
        instance = await self.start(shed("0,0,6"), echo)
        for _ in range(20):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 200)

    async def test_instance_with_admission_off_sends_as_before(self):
        instance = await self.start(shed(), shed())
        instance.admission.is_enabled = False
        for _ in range(20):
            await instance.call("/unsafe/x")
        state_load(instance, LIMIT - 1, 0, 1)
        before = self.count_requests()
        await instance.call("/safe/x")
        self.assertGreater(self.count_requests(), before)


class FailureTest(ForwardingTest):
    """Guard against requests that get no answer when an instance ends or pauses."""

    async def start_overloaded(self, clock: SystemClock | None = None) -> Instance:
        """Return an instance whose only target in use is above its load bound."""
        instance = await self.start_with_clock(clock, echo)
        for index in range(1, 5):
            entry = build_target(f"i-{index}", "127.0.0.1:1", draining=True)
            instance.targets.apply(entry, 0.0)
        instance.targets.find("i-0").health.peers_in_flight = 40
        return instance

    async def test_waiting_requests_are_answered_when_the_instance_ends(self):
        """Each request of a full queue gets its response or a true refusal."""
        instance = await self.start_overloaded()
        calls = [asyncio.create_task(instance.call("/patient/x")) for _ in range(8)]
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_requests(), 0)
        instance.server.begin_drain()
        ended = asyncio.create_task(instance.server.finish_drain(0.4))
        await asyncio.sleep(0.1)
        instance.targets.find("i-0").health.peers_in_flight = 0
        await ended
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        self.assertEqual(statuses, [200] * 8)

    async def test_requests_that_wait_at_the_end_are_refused_as_not_run(self):
        instance = await self.start_overloaded()
        calls = [asyncio.create_task(instance.call("/patient/x")) for _ in range(8)]
        await asyncio.sleep(0.1)
        instance.server.begin_drain()
        await instance.server.finish_drain(0.3)
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        self.assertEqual((statuses, self.count_requests()), ([503] * 8, 0))

    async def test_paused_instance_sends_no_request_whose_time_is_over(self):
        clock = _PausedClock()
        instance = await self.start_overloaded(clock)
        call = asyncio.create_task(instance.call("/patient/x"))
        await asyncio.sleep(0.1)
        clock.offset = 5.0
        instance.targets.find("i-0").health.peers_in_flight = 0
        status, _, _ = await call
        self.assertEqual((status, self.count_requests()), (503, 0))

    async def test_restarted_instance_decides_by_stated_loads(self):
        """An instance without counts must not refuse, nor send to full targets."""
        instance = await self.start(shed(), echo)
        state_load(instance, LIMIT, 0)
        state_load(instance, 1, 1)
        for _ in range(10):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 200)

    async def test_priority_that_changes_applies_to_the_next_request(self):
        """A configuration may change priorities while requests are under way."""
        instance = await self.start(shed())
        for _ in range(20):
            await instance.call("/unsafe/x")
            await instance.call("/open/x", X_Api_Key=None)
        state_load(instance, LIMIT - 1, 0)
        _, _, body = await instance.call("/unsafe/x")
        self.assertIn(b"overloaded", body)
        configuration = instance.table.configuration
        teams = (dataclasses.replace(configuration.teams[0], priority=0),)
        instance.table = RouteTable(dataclasses.replace(configuration, teams=teams))
        before = self.count_requests()
        await instance.call("/unsafe/x")
        self.assertEqual(self.count_requests(), before + 1)


class _PausedClock(SystemClock):
    """System clock that skips the time of a pause."""

    def __init__(self) -> None:
        self.offset = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.offset

    def boottime(self) -> float:
        return super().boottime() + self.offset


if __name__ == "__main__":
    unittest.main()
