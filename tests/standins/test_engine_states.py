"""Tests of cold start, load reports, orders and faults of the model engine."""

import asyncio

from standins.client import fetch_json
from tests.standins.support import COMPLETIONS, read_stream
from tests.standins.test_engine import EngineTest, ask

COLD = {"warm_tokens": 100, "cold_slots": 2, "slots": 8}
FETCH = {"weights_bytes": 1000, "weight_bytes_per_second": 10}


class WarmthTest(EngineTest):
    """Guard against a cold engine that bears any load, which would hide overload."""

    async def burst(self, address: str, size: int) -> list[int]:
        headers = {"X-Priority": "1"}
        calls = (
            fetch_json("POST", address, COMPLETIONS, ask(f"n {n}", 2), headers)
            for n in range(size)
        )
        answers = await self.drive(asyncio.gather(*calls))
        return sorted(answer.status for answer in answers)

    async def test_cold_engine_serves_what_it_can_bear(self):
        app, address = await self.start(**COLD, cold_error_share=1)
        self.assertEqual(await self.burst(address, 2), [200, 200])
        self.assertEqual(app.state.counters.cold_excess, 0)

    async def test_excess_fails_until_warm(self):
        app, address = await self.start(**COLD, cold_error_share=1)
        self.assertEqual(await self.burst(address, 4), [200, 200, 500, 500])
        self.assertEqual(app.state.counters.cold_excess, 2)
        for number in range(20):
            await self.complete(address, ask(f"word {number} " * 3))
        self.assertFalse(app.state.warmth.cold)
        self.assertEqual(await self.burst(address, 8), [200] * 8)

    async def test_excess_without_errors_is_very_slow(self):
        _, address = await self.start(**COLD, cold_error_share=0)
        await self.burst(address, 2)
        calm = self.clock.monotonic()
        await self.burst(address, 8)
        self.assertGreater(self.clock.monotonic() - calm, 5 * calm)

    async def test_load_report_lags_and_shows_growing_slots(self):
        app, address = await self.start(**COLD, load_lag_seconds=50)
        for number in range(3):
            await self.complete(address, ask(f"word {number} " * 6))
        early = (await self.call("GET", address, "/load")).body
        self.assertEqual((early["bearable"], early["cold"]), (2, True))
        self.clock.advance(50)
        late = (await self.call("GET", address, "/load")).body
        self.assertEqual(late["bearable"], app.state.warmth.bearable)
        self.assertGreater(late["bearable"], 2)

    async def test_restart_and_cooling_change_the_boot_id_and_drop_the_cache(self):
        for fault in ("restart", "cool"):
            app, address = await self.start(**COLD)
            body = ask("word " * 120)
            await self.complete(address, body)
            old = app.state.boot_id
            await self.post_faults(address, **{fault: True})
            self.assertNotEqual(app.state.boot_id, old)
            self.assertTrue(app.state.warmth.cold)
            self.assertEqual(await self.cached(address, body), 0)

    async def test_restart_breaks_running_answers_and_cooling_does_not(self):
        for fault, whole in (("restart", False), ("cool", True)):
            _, address = await self.start(warm_tokens=1)
            body = ask("a", 50, stream=True)
            stream = asyncio.ensure_future(read_stream(address, body))
            await self.settle()
            await self.post_faults(address, **{fault: True})
            self.assertEqual((await self.drive(asyncio.wait_for(stream, 30)))[2], whole)


class OrderTest(EngineTest):
    """Guard against orders that take effect at once or from an old driver."""

    async def order(self, address: str, fencing: int, action: str, version: str):
        body = {"fencing": fencing, "action": action, "version": version}
        return (await self.call("POST", address, "/orders", body)).status

    async def wait(self, seconds: float) -> None:
        await self.drive(self.clock.sleep(seconds), step=1)
        await self.settle()

    async def test_old_fencing_number_is_rejected_or_ignored_by_the_setting(self):
        for checks, status in ((True, 409), (False, 202)):
            app, address = await self.start(checks_fencing=checks)
            self.assertEqual(await self.order(address, 5, "set-role", "prefill"), 202)
            self.assertEqual(await self.order(address, 5, "set-role", "decode"), 202)
            self.assertEqual(await self.order(address, 4, "set-role", "old"), status)
            self.assertEqual(app.state.role, "decode" if checks else "old")

    async def test_load_takes_the_time_of_the_weight_store(self):
        app, address = await self.start(**FETCH)
        boot_id = app.state.boot_id
        self.assertEqual(await self.order(address, 1, "load", "2"), 202)
        await self.wait(90)
        self.assertEqual((await self.complete(address, ask("a"))).status, 503)
        await self.wait(20)
        answer = await self.complete(address, ask("a"))
        self.assertEqual(answer.body["system_fingerprint"], "2")
        self.assertNotEqual(app.state.boot_id, boot_id)

    async def test_prefetched_version_loads_without_delay(self):
        app, address = await self.start(**FETCH)
        await self.order(address, 1, "prefetch", "2")
        self.assertEqual((await self.complete(address, ask("a"))).status, 200)
        await self.wait(110)
        await self.order(address, 2, "load", "2")
        await self.settle()
        self.assertEqual(app.state.version, "2")

    async def test_later_load_order_wins_over_an_earlier_slow_one(self):
        app, address = await self.start(**FETCH)
        await self.order(address, 1, "load", "2")
        await self.wait(50)
        await self.order(address, 2, "load", "1")
        await self.wait(60)
        self.assertEqual(app.state.version, "1")
        self.assertTrue(app.state.ready)

    async def test_impossible_orders_are_refused(self):
        _, address = await self.start()
        self.assertEqual(await self.order(address, 1, "load", "77"), 404)
        self.assertEqual(await self.order(address, 1, "unload", "1"), 422)
        self.assertEqual(await self.order(address, 1, "explode", "1"), 400)

    async def test_adapter_is_loaded_after_its_fetch(self):
        app, address = await self.start(**FETCH)
        await self.order(address, 1, "load-adapter", "team-a")
        self.assertEqual(app.state.adapters, set())
        await self.wait(2)
        self.assertEqual(app.state.adapters, {"team-a"})


class EngineFaultTest(EngineTest):
    """Guard against faults of a bad version that do not show as declared."""

    async def test_broken_stream_resumes_to_the_same_text(self):
        _, address = await self.start()
        body = ask("a plan", 8, stream=True)
        whole = await self.drive(read_stream(address, body))
        rule = {"kind": "break_stream", "tokens": 3, "count": 1}
        await self.post_faults(address, rule)
        ids, text, finished = await self.drive(read_stream(address, body))
        self.assertEqual((ids, finished), (["0", "1", "2"], False))
        headers = {"Last-Event-ID": ids[-1]}
        rest = await self.drive(read_stream(address, body, headers))
        self.assertEqual(text + rest[1], whole[1])

    async def test_stalled_stream_pauses_after_its_tokens(self):
        _, address = await self.start()
        rule = {"kind": "stall_stream", "tokens": 2, "seconds": 30}
        await self.post_faults(address, rule)
        stream = await self.drive(read_stream(address, ask("a", stream=True)))
        self.assertTrue(stream[2])
        self.assertGreaterEqual(self.clock.monotonic(), 30)

    async def test_slow_tokens_delay_each_token(self):
        _, address = await self.start()
        await self.post_faults(address, {"kind": "slow_tokens", "seconds": 2})
        for stream in (False, True):
            before = self.clock.monotonic()
            body = ask("a", 5, stream=stream)
            await self.drive(read_stream(address, body))
            self.assertGreaterEqual(self.clock.monotonic() - before, 10)

    async def test_fault_of_one_version_route_or_load_leaves_others_alone(self):
        _, address = await self.start()
        filters = (
            {"version": "2"},
            {"stream": True},
            {"priority": 3},
            {"min_running": 1},
            {"from_seconds": 1000},
        )
        for chosen in filters:
            await self.post_faults(address, {"kind": "refuse", "status": 500, **chosen})
            answer = await self.complete(address, ask("a"))
            self.assertEqual(answer.status, 200, chosen)

    async def test_fault_of_the_version_or_route_in_use_fires(self):
        _, address = await self.start()
        for chosen in ({"version": "1"}, {"stream": False}, {"priority": 2}):
            await self.post_faults(address, {"kind": "refuse", "status": 500, **chosen})
            answer = await self.complete(address, ask("a"))
            self.assertEqual(answer.status, 500, chosen)

    async def test_fault_that_begins_later_fires_later(self):
        _, address = await self.start()
        rule = {"kind": "refuse", "from_seconds": 1000, "path": "/v1"}
        await self.post_faults(address, rule)
        self.clock.advance(1000)
        self.assertEqual((await self.complete(address, ask("a"))).status, 503)

    async def test_fault_under_load_fires_under_load(self):
        _, address = await self.start()
        rule = {"kind": "refuse", "min_running": 1, "path": "/v1"}
        await self.post_faults(address, rule)
        first = fetch_json("POST", address, COMPLETIONS, ask("a", 1000))
        running = asyncio.ensure_future(first)
        await self.settle()
        self.clock.advance(0.02)
        await self.settle()
        self.assertEqual((await self.complete(address, ask("b"))).status, 503)
        running.cancel()
