"""Tests of large configurations in quick succession on narrow links."""

import unittest

from tests.entry.fleet_simulation import REVOCATION_SECONDS
from tests.entry.storm_simulation import (
    CONFIGURATION_SECONDS,
    StormFleet,
    StormInstance,
)
from tests.topics.configurations import build_document

INSTANCES = 40
BYTES_PER_SECOND_OF_MBIT = 125_000.0
# Every fourth instance has the narrowest link.
MIXED_LINKS = (5, 25, 50, 100)
ROUTES_BEFORE = 240
ROUTES = 1640
CHANGES = 30
STORM_SECONDS = 10.0
LAST_VERSION = 1 + CHANGES
MALFORMED = b'{"version": 99, "routes": [{"name": ""}]}'


def find_longest_delay(instance: StormInstance, put_at: dict[int, float]) -> float:
    """Return the longest time until a version or a later one was in force."""
    delays = []
    for version, at in put_at.items():
        later = [
            time for number, time in instance.versions.items() if number >= version
        ]
        delays.append(min(later, default=float("inf")) - at)
    return max(delays)


class StormTest(unittest.IsolatedAsyncioTestCase):
    """Guard against configurations that fill the links that requests need."""

    async def start(self, links: tuple[int, ...]) -> StormFleet:
        rates = [mbit * BYTES_PER_SECOND_OF_MBIT for mbit in links]
        fleet = StormFleet(INSTANCES, rates)
        fleet.topics["operator"].put("config", build_document(1, ROUTES_BEFORE))
        self.addAsyncCleanup(fleet.settle)
        fleet.start()
        await fleet.advance(2.0)
        fleet.backlogs.clear()
        for link in fleet.links.values():
            link.received_bytes = 0
        return fleet

    async def run_storm(self, fleet: StormFleet) -> tuple[float, float, float]:
        """Add 1,400 routes and change one 30 times in 10 s.

        Return the mean bytes of an instance in versions, the share of the time in which
        a request would wait for 0.1 s, and the longest time until one is in force.
        """
        put_at = {}
        for version in range(2, LAST_VERSION + 1):
            value = build_document(version, ROUTES, 1)
            put_at[version] = fleet.clock.monotonic()
            fleet.topics["operator"].put("config", value)
            await fleet.advance(STORM_SECONDS / CHANGES)
        waits = sum(backlog > 0.1 for backlog in fleet.backlogs)
        share = waits / len(fleet.backlogs)
        await fleet.advance(REVOCATION_SECONDS)
        received = sum(link.received_bytes for link in fleet.links.values())
        delay = max(find_longest_delay(i, put_at) for i in fleet.instances)
        return received / INSTANCES / len(value), share, delay

    # Before: 20 versions, a wait for 0.82 of the time, and the last version in force at
    # none of 40 instances 5 s after its change.
    async def test_all_links_narrow(self):
        fleet = await self.start((5,))
        versions, share, delay = await self.run_storm(fleet)
        self.assertLess(versions, 10)
        self.assertLess(share, 0.5)
        self.assertLess(delay, REVOCATION_SECONDS)

    # Before: 28 versions, a wait for 0.26 of the time, and the last version not in
    # force at the ten instances with the narrowest links.
    async def test_some_links_narrow(self):
        fleet = await self.start(MIXED_LINKS)
        versions, share, delay = await self.run_storm(fleet)
        self.assertLess(versions, 8)
        self.assertLess(share, 0.1)
        self.assertLess(delay, CONFIGURATION_SECONDS)

    # Guards against a fleet that needs every datagram.
    async def test_lost_datagrams(self):
        fleet = await self.start(MIXED_LINKS)
        fleet.network.loss_rate = 0.3
        versions, _, delay = await self.run_storm(fleet)
        self.assertLess(versions, 12)
        self.assertLess(delay, REVOCATION_SECONDS)

    # Guards against a fleet of which each instance has another version in force.
    async def test_malformed_and_withdrawn_versions_in_the_storm(self):
        fleet = await self.start(MIXED_LINKS)
        topic = fleet.topics["operator"]
        for version in range(2, 8):
            topic.put("config", build_document(version, ROUTES, 1))
            topic.put("config", (MALFORMED, None, build_document(1, 2))[version % 3])
            await fleet.advance(0.3)
        await fleet.advance(CONFIGURATION_SECONDS)
        self.assertEqual({i.version for i in fleet.instances}, {7})

    # Guards against an instance that reads each of the versions that it missed.
    async def test_instance_that_was_cut_off_gets_the_newest_version(self):
        fleet = await self.start(MIXED_LINKS)
        late = fleet.instances[4]
        fleet.refused.add(late.name)
        fleet.network.isolated.add(late.name)
        for version in range(2, 22):
            value = build_document(version, ROUTES, 1)
            fleet.topics["operator"].put("config", value)
            await fleet.advance(0.2)
        self.assertEqual(late.version, 1)
        link = fleet.links[late.name]
        link.received_bytes = 0
        fleet.refused.clear()
        fleet.network.isolated.clear()
        await fleet.advance(CONFIGURATION_SECONDS)
        self.assertEqual(late.version, 21)
        self.assertLess(link.received_bytes, 6 * len(value))
