"""Tests of a whole instance against a store and targets over loopback."""

import asyncio

from tests.entry.fixtures import OPERATOR, SERVERS, EntryCase


class EntryTest(EntryCase):
    """Guard against parts that work alone and not together."""

    async def test_from_an_empty_store_to_a_revoked_key_and_a_drained_target(self):
        await self.wait_until_listening()
        self.assertEqual(await self.call(), 503)
        self.assertFalse(self.entry.ready)
        self.configure(1)
        self.register()
        await self.wait_for(200)
        self.assertTrue(self.entry.ready)
        self.assertEqual(await self.call("/unknown/x"), 404)
        self.assertEqual(await self.call(key="wrong"), 401)
        self.configure(2, tenants=[{"name": "t", "apiKeys": ["other"]}])
        await self.wait_for(401)
        await self.wait_for(200, key="other")
        self.register(state="draining")
        await self.wait_for(503, key="other")
        self.register(born=1700000000001)
        await self.wait_for(200, key="other")
        self.state.put(OPERATOR, "evacuate/dc-1", b"{}")
        await self.wait_for(503, key="other")
        self.state.put(OPERATOR, "evacuate/dc-1", None)
        await self.wait_for(200, key="other")

    async def test_store_that_is_lost_closes_the_fence(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        self.store.down = True
        self.entry.parts.operator.freshness._synced_at -= 4.6
        self.assertEqual(await self.call(), 503)
        self.assertFalse(self.entry.ready)
        self.store.down = False
        await self.wait_for(200)

    async def test_forged_and_torn_entries_name_no_target(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        self.state.put(SERVERS, "i-1", b'{"service": "x", "addr')
        self.state.put_document(SERVERS, "i-2", {"service": "x", "address": 3})
        await self.wait_for(200)
        self.assertEqual(len(self.entry.parts.targets), 1)

    async def test_end_signal_closes_after_the_notice(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        self.stop.set()
        await asyncio.sleep(0.05)
        self.assertFalse(self.entry.ready)
        self.assertEqual(await self.call(), 200)
        async with asyncio.timeout(8.0):
            await self.task

    async def test_metrics_tell_ages_budgets_and_shares(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        port = self.entry._status_servers[1][0].port
        found = await self.client.fetch(
            "GET", f"127.0.0.1:{port}", "/metrics", timeout_seconds=3.0
        )
        text = found.body.decode()
        for name in (
            "configuration_version 1.0",
            "operator_records_age_seconds",
            "target_entries_age_seconds",
            "target_loads_age_seconds",
            "retries_left",
            "fleet_share",
            "request_seconds_count",
        ):
            with self.subTest(name=name):
                self.assertIn(f"carobladder_{name}", text)
