"""Integration tests of an instance with a store and a target over loopback."""

import asyncio
import re

import msgspec

from carobladder.entry.draining import DRAIN_NOTICE_SECONDS
from carobladder.fleet import TargetLoad
from tests.entry.fixtures import OPERATOR_TOPIC, SERVERS_TOPIC, PlatformInstanceCase
from tests.forwarding.fixtures import build_request


class PlatformInstanceTest(PlatformInstanceCase):
    """Guard against components that work alone but not together."""

    async def test_lifecycle_of_keys_targets_and_data_centres(self):
        await self.wait_until_listening()
        self.assertEqual(await self.call(), 503)
        self.assertFalse(self.instance.ready)
        self.configure(1)
        self.register()
        await self.wait_for(200)
        self.assertTrue(self.instance.ready)
        self.assertEqual(await self.call("/unknown/x"), 404)
        self.assertEqual(await self.call(key="wrong"), 401)
        self.configure(2, tenants=[{"name": "t", "apiKeys": ["other"]}])
        await self.wait_for(401)
        await self.wait_for(200, key="other")
        self.register(state="draining")
        await self.wait_for(503, key="other")
        self.register(born=1700000000001)
        await self.wait_for(200, key="other")
        self.state.put(OPERATOR_TOPIC, "evacuate/dc-1", b"{}")
        await self.wait_for(503, key="other")
        self.state.put(OPERATOR_TOPIC, "evacuate/dc-1", None)
        await self.wait_for(200, key="other")

    async def test_store_outage_closes_the_fence(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        self.store.down = True
        self.instance.parts.operator_follower.freshness._synced_at -= 4.6
        self.assertEqual(await self.call(), 503)
        self.assertFalse(self.instance.ready)
        self.store.down = False
        await self.wait_for(200)

    # Guards against a request that crosses the close of an idle connection in a drain.
    async def test_callers_stop_using_idle_connections_before_a_drain_closes_them(self):
        await self.wait_until_listening()
        port = self.instance.parts.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(build_request("/x", close=False))
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        announced = re.search(rb"keep-alive: timeout=(\d+)", head.lower())
        assert announced is not None
        self.assertLess(int(announced[1]), DRAIN_NOTICE_SECONDS)

    async def test_reload_changes_the_share_of_copies(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        parts = self.instance.parts
        budget = parts.budgets.find("x")
        self.assertEqual(parts.hedging.share, 0.0)
        settings = msgspec.structs.replace(self.instance._settings, hedge_share=0.05)
        self.instance.reload(settings)
        self.assertEqual(parts.hedging.share, 0.05)
        # Copies are for services whose targets state their slowness.
        for slowness, has_copy in ((None, False), (1.0, True)):
            for target in parts.targets.list_registered("x"):
                load = TargetLoad(0, 0, 8, slowness)
                target.note_load(load, self.clock.monotonic())
            for _ in range(20):
                parts.budgets.find("x").record_request()
            self.assertEqual(budget.has_copy(), has_copy)
        self.instance.reload(msgspec.structs.replace(settings, hedge_share=0.0))
        self.assertEqual((parts.hedging.share, budget.has_copy()), (0.0, False))

    async def test_malformed_target_entries_are_ignored(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        self.state.put(SERVERS_TOPIC, "i-1", b'{"service": "x", "addr')
        self.state.put_document(SERVERS_TOPIC, "i-2", {"service": "x", "address": 3})
        await self.wait_for(200)
        self.assertEqual(len(self.instance.parts.targets), 1)

    # Guards against an instance that ends, or no longer follows the targets, because of
    # one odd entry of another writer.
    async def test_instance_follows_targets_beside_odd_entries(self):
        await self.wait_until_listening()
        self.configure(1)
        nested = b'{"service": "x", "a": ' + b"[" * 3000 + b"]" * 3000 + b"}"
        self.state.put(SERVERS_TOPIC, "odd-1", nested)
        for number, address in enumerate(("127.0.0.1:99999", "127.0.0.1:65536")):
            self.register(key=f"odd-2{number}", address=address)
        self.register()
        await self.wait_for(200)
        self.state.put(SERVERS_TOPIC, "odd-1", nested)
        self.register(state="draining")
        await self.wait_for(503)
        self.assertFalse(self.task.done())

    async def test_shutdown_serves_callers_during_the_drain_notice(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        self.stop.set()
        await asyncio.sleep(0.05)
        self.assertFalse(self.instance.ready)
        self.assertEqual(await self.call(), 200)
        async with asyncio.timeout(8.0):
            await self.task

    async def test_metrics_report_ages_budgets_and_shares(self):
        await self.wait_until_listening()
        self.configure(1)
        self.register()
        await self.wait_for(200)
        port = self.instance._status_servers[1][0].port
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
