"""Tests of a fleet in which few instances read the store on behalf of all.

If every instance read for itself, calls to the store would dominate the cost of
deployments with 75 or more instances.
"""

import random
import unittest

from tests.entry.fleet_simulation import SimulatedFleet

STEADY_SECONDS = 8.0
# Calls of an instance that reads for itself while nothing changes.
OWN_READS_PER_SECOND = 0.65
# Calls of all instances that cost 0.03 of the deployment's value, with 75 to 195
# instances, and the part of them that is allowed while nothing changes.
COSTLY_CALLS_PER_SECOND = 29.0
STEADY_FRACTION = 0.6
# Read rate of the smallest store that serves a fleet of this size.
STORE_READS_PER_SECOND = 16_000
# Time from when a read is due until it has ended, including a simulation step.
READ_DELAY_SECONDS = 0.05


def choose_drain_seconds(count: int) -> float:
    """Return the drain time in seconds of deployments of this size."""
    return 2.0 if count < 75 else 3.0 if count < 150 else 4.0


class FleetReadsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against calls that grow with the fleet and against false or old proofs."""

    async def start(self, count: int) -> SimulatedFleet:
        fleet = SimulatedFleet(count, choose_drain_seconds(count))
        self.addCleanup(fleet.stop)
        fleet.start()
        await fleet.advance(3.0)
        fleet.calls.clear()
        fleet.oldest_ages = dict.fromkeys(fleet.oldest_ages, 0.0)
        return fleet

    def check_ages(self, fleet: SimulatedFleet) -> None:
        """Check that no proof is older than the instance's own reads allow."""
        for topic, policy in fleet.read_policies.items():
            bound = policy.passive_age_seconds + READ_DELAY_SECONDS
            self.assertLessEqual(fleet.oldest_ages[topic], bound, topic)

    async def test_store_calls_grow_slowly_with_fleet_size(self):
        rates = {}
        for count in (9, 88, 195):
            fleet = await self.start(count)
            await fleet.advance(STEADY_SECONDS)
            self.check_ages(fleet)
            rates[count] = fleet.calls.total() / STEADY_SECONDS
            fleet.stop()
        self.assertLess(rates[9], 9 * OWN_READS_PER_SECOND)
        self.assertLess(rates[88], COSTLY_CALLS_PER_SECOND * STEADY_FRACTION)
        self.assertLess(rates[195], COSTLY_CALLS_PER_SECOND * STEADY_FRACTION)

    async def test_800_instances_need_far_fewer_calls_than_own_reads(self):
        fleet = await self.start(800)
        await fleet.advance(2.0)
        self.check_ages(fleet)
        self.assertLess(fleet.calls.total() / 2.0, 800 * OWN_READS_PER_SECOND / 5)

    async def test_record_reaches_all_instances_in_time_with_few_calls(self):
        for count in (9, 88, 195):
            fleet = await self.start(count)
            began = fleet.clock.monotonic()
            fleet.topics["targets"].put("i-1", b"draining")
            await fleet.advance(3.0)
            for instance in fleet.instances:
                value, received_at = instance.received["targets"]["i-1"]
                self.assertEqual(value, b"draining")
                bound = choose_drain_seconds(count) * 0.75
                self.assertLess(received_at - began, bound)
            self.assertLess(fleet.calls["targets"], 20 + 0.6 * count)
            fleet.stop()

    async def test_record_missed_by_all_waiting_reads_is_found(self):
        fleet = await self.start(88)
        fleet.topics["targets"].waiting_reads_miss = True
        fleet.topics["targets"].put("i-1", b"draining")
        await fleet.advance(2.0)
        self.assertEqual(fleet.count_received("targets", "i-1"), 88)
        self.check_ages(fleet)

    async def test_configuration_without_gossip_is_read_in_time(self):
        """One instance of eight has applied a configuration 45 ms too late.

        Without gossip only its own read bounds the delay, and that was scheduled by the
        longer time for revoked keys.
        """
        for count in (8, 88):
            fleet = await self.start(count)
            fleet.topics["operator"].waiting_reads_miss = True
            fleet.network.loss_rate = 1.0
            fleet.topics["operator"].put("config", b"2")
            await fleet.advance(choose_drain_seconds(count) * 0.8)
            self.assertEqual(fleet.count_received("operator", "config"), count)
            fleet.stop()

    async def test_instances_read_for_themselves_after_losing_all_readers(self):
        """Others become readers only when the leases of the lost ones have expired."""
        fleet = await self.start(40)
        readers = {i.name for i in fleet.instances if i.role.is_held()}
        fleet.refused |= readers
        fleet.network.isolated |= readers
        fleet.topics["operator"].put("config", b"2")
        fleet.topics["targets"].put("i-1", b"draining")
        await fleet.advance(4.0)
        self.check_ages(fleet)
        passive = [i for i in fleet.instances if i.name not in readers]
        for instance in passive:
            self.assertIn("config", instance.received["operator"])
            self.assertIn("i-1", instance.received["targets"])

    async def test_isolated_instance_reads_for_itself(self):
        fleet = await self.start(40)
        fleet.network.isolated.add("n7")
        await fleet.advance(4.0)
        now = fleet.clock.boottime()
        for topic, policy in fleet.read_policies.items():
            age = fleet.instances[7].followers[topic].freshness.age(now)
            self.assertLessEqual(age, policy.passive_age_seconds + READ_DELAY_SECONDS)

    async def test_instance_refused_by_the_store_uses_proofs_from_peers(self):
        fleet = await self.start(40)
        fleet.refused.add("n7")
        await fleet.advance(6.0)
        operator = fleet.instances[7].followers["operator"]
        self.assertLess(operator.freshness.age(fleet.clock.boottime()), 3.75)

    async def test_instance_refused_by_the_store_gets_changes_from_peers(self):
        """Otherwise it would refuse all keys soon after each change."""
        fleet = await self.start(40)
        fleet.refused.add("n7")
        fleet.topics["operator"].put("config", b"2" * 5000)
        await fleet.advance(1.0)
        self.assertIn("config", fleet.instances[7].received["operator"])
        await fleet.advance(3.0)
        operator = fleet.instances[7].followers["operator"]
        self.assertLess(operator.freshness.age(fleet.clock.boottime()), 3.75)

    async def test_proof_does_not_cover_a_missing_record(self):
        """An instance without the store must not miss that keys were revoked."""
        fleet = await self.start(40)
        fleet.refused.add("n7")
        await fleet.advance(2.0)
        put_at = fleet.clock.boottime()
        # Too long for a datagram.
        value = random.Random(1).randbytes(200_000)
        fleet.topics["operator"].put("config", value)
        await fleet.advance(6.0)
        instance = fleet.instances[7]
        self.assertNotIn("config", instance.received["operator"])
        synced_at = instance.followers["operator"].freshness.synced_at
        self.assertLessEqual(synced_at, put_at)

    async def test_delayed_answers_do_not_extend_freshness(self):
        """Datagrams of a paused or slow instance arrive late; that adds to the age."""
        fleet = await self.start(20)
        for instance in fleet.instances:
            fleet.network.delay_seconds[instance.name] = 2.0
        await fleet.advance(3.0)
        fleet.refused |= {instance.name for instance in fleet.instances}
        refused_at = fleet.clock.boottime()
        await fleet.advance(6.0)
        for instance in fleet.instances:
            for follower in instance.followers.values():
                self.assertLessEqual(follower.freshness.synced_at, refused_at)

    async def test_store_outage_ages_all_records_until_recovery(self):
        fleet = await self.start(40)
        names = {instance.name for instance in fleet.instances}
        fleet.refused |= names
        refused_at = fleet.clock.boottime()
        await fleet.advance(6.0)
        # Instances that read for themselves would make 960 calls in this time.
        self.assertLess(fleet.calls.total(), 480)
        for instance in fleet.instances:
            for follower in instance.followers.values():
                self.assertLessEqual(follower.freshness.synced_at, refused_at)
        fleet.refused.clear()
        await fleet.advance(2.0)
        fleet.oldest_ages = dict.fromkeys(fleet.oldest_ages, 0.0)
        await fleet.advance(1.0)
        self.check_ages(fleet)

    async def test_change_causes_no_burst_of_calls(self):
        """Bursts of hundreds of instances would exceed the store's rate limits."""
        fleet = await self.start(195)
        fleet.topics["operator"].put("config", b"x" * 5000)
        busiest = 0
        for _ in range(20):
            before = fleet.calls.total()
            await fleet.advance(0.1)
            busiest = max(busiest, fleet.calls.total() - before)
        self.assertEqual(fleet.count_received("operator", "config"), 195)
        self.assertLess(busiest, STORE_READS_PER_SECOND * 0.1 / 4)

    async def test_control_traffic_is_bounded(self):
        fleet = await self.start(88)
        fleet.network.sent_bytes.clear()
        await fleet.advance(5.0)
        for instance in fleet.instances:
            # Loads of targets, which are not simulated here, take 3.2 KB/s; readers
            # don't send them.
            bound = 4000 if instance.role.is_held() else 4000 - 3200
            self.assertLess(fleet.network.sent_bytes[instance.name] / 5.0, bound)
