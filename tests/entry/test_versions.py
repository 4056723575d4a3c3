"""Tests of version moves carried out by a fleet of instances through the store."""

import asyncio
import json
import random
import unittest
from urllib.parse import parse_qs, urlsplit

from carobladder.clock import VirtualClock
from carobladder.entry.versions import VersionMover
from carobladder.fleet import (
    AnswerTallies,
    RolloutOrder,
    ShareLedger,
    TargetTable,
    VersionMoves,
)
from carobladder.platform.documents import encode_move_status
from carobladder.platform.names import MOVE_EVIDENCE_TOPIC, STATUS_TOPIC
from carobladder.platform.store import KeyedTopic, PlatformStore
from carobladder.routing import Route, RouteKind, ServiceWeight
from standins.store import StoreState
from tests.fleet.builders import build_entry
from tests.platform.fake_store import FakeStore

EXPOSURE = 0.1
EXPOSURE_SLACK = 50
TAKE_BACK_SECONDS = 5.0
DURATION_SECONDS = 30.0
ORDER = RolloutOrder("engine", "v2", DURATION_SECONDS, 5)
ROUTE = Route("r", "h", "/", RouteKind.SAFE, (ServiceWeight("engine"),), 1.0, 0.5)
STEP_SECONDS = 0.05
WATCH_SECONDS = 0.1


class WaitingStore(FakeStore):
    """Let waiting reads wait on the virtual clock."""

    def __init__(self, state: StoreState, clock: VirtualClock) -> None:
        super().__init__(state)
        self._clock = clock

    async def fetch(self, method, address, path, **options):
        """Answer once there are records or the wait is over."""
        query = parse_qs(urlsplit(path).query)
        left = float(query.get("waitMs", ["0"])[0]) / 1000
        while True:
            answer = await super().fetch(method, address, path, **options)
            if left <= 0.0 or answer.status != 200 or len(answer.body) > 16:
                return answer
            await self._clock.sleep(WATCH_SECONDS)
            left -= WATCH_SECONDS


class Instance:
    """Send requests to both versions as one instance of a fleet."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.table = TargetTable()
        for index in range(4):
            self.table.apply(build_entry(f"i-{index}"), -100.0)
        self.ledger = ShareLedger(96)
        self.moves = VersionMoves(EXPOSURE)
        self.tallies = AnswerTallies(self.moves, self.table, incarnation=1)
        self.store = WaitingStore(fleet.state, fleet.clock)
        client = PlatformStore(self.store, "127.0.0.1:1", 0.8)
        self.mover = VersionMover(
            name,
            self.moves,
            self.table,
            self.tallies,
            self.ledger,
            KeyedTopic(client, STATUS_TOPIC),
            KeyedTopic(client, MOVE_EVIDENCE_TOPIC),
            encode_move_status,
            EXPOSURE,
            fleet.clock,
            random.Random(1),
        )
        self.task = asyncio.create_task(self.mover.run())

    def start_new_targets(self) -> None:
        """Register the targets of the new version."""
        for index in range(4, 8):
            self.table.apply(build_entry(f"i-{index}", version="v2"), -100.0)


class Fleet:
    """Run instances on a virtual clock; each sends a request in each step.

    ``fails`` tells from the time since the order and the share of the new version in
    the last second whether its answers fail now, as a chance.
    """

    def __init__(self, count: int = 9, seed: int = 1) -> None:
        self.clock = VirtualClock()
        self.state = StoreState()
        self.instances = [Instance(f"front-{n}", self) for n in range(count)]
        self.instances[0].ledger.assign(frozenset({0}))
        self.fails = lambda seconds, share: 0.0
        self.sent: list[tuple[float, bool, bool]] = []
        self._generator = random.Random(seed)

    async def order(self, order: RolloutOrder = ORDER) -> None:
        """Give the order to all instances, whose new targets start two seconds on."""
        for instance in self.instances:
            instance.mover.take_order(order)
        await self.run(2.0)
        for instance in self.instances:
            instance.start_new_targets()

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for instance in self.instances:
                if not instance.task.done():
                    self._send(instance)
            self.clock.advance(STEP_SECONDS)
            for _ in range(12):
                await asyncio.sleep(0)

    def _send(self, instance: Instance) -> None:
        now = self.clock.monotonic()
        usable = instance.table.list_open("engine")
        chosen = instance.moves.filter_by_version("engine", usable, usable)
        if not chosen:
            return
        target = self._generator.choice(chosen)
        instance.moves.note_sent(target)
        is_new = target.entry.version == "v2"
        failed = is_new and self._generator.random() < self.fails(now, self.share())
        self.sent.append((now, is_new, failed))
        instance.tallies.note_answer(
            target, ROUTE, failed=failed, first_byte_seconds=0.1, now=now
        )

    def share(self) -> float:
        """Return the new version's share of the last requests."""
        last = self.sent[-200:]
        return sum(is_new for _, is_new, _ in last) / len(last) if last else 0.0

    def list_statuses(self) -> list[str]:
        """Return all states that operators could read, in order."""
        path = f"/-/log-read?topic={STATUS_TOPIC}&part=0&from=0"
        data = self.state.call("GET", path).body[16:]
        states = []
        while data:
            length = int.from_bytes(data[:4], "big")
            record, data = data[4 : 4 + length], data[4 + length :]
            key = record[1 : 1 + record[0]].decode()
            if key == "rollout/engine":
                states.append(json.loads(record[1 + record[0] :])["state"])
        return states

    async def end(self) -> None:
        """End all tasks."""
        for instance in self.instances:
            instance.task.cancel()
        tasks = [instance.task for instance in self.instances]
        await asyncio.gather(*tasks, return_exceptions=True)


class VersionMoverTest(unittest.IsolatedAsyncioTestCase):
    """Guard against late moves, exposed callers and statuses that disagree."""

    def start(self, **options) -> Fleet:
        fleet = Fleet(**options)
        self.addAsyncCleanup(fleet.end)
        return fleet

    def check_statuses(self, fleet: Fleet, final: str) -> None:
        states = fleet.list_statuses()
        self.assertEqual(states[-1], final)
        self.assertEqual(set(states[:-1]), {"running"})

    def check_exposure(self, fleet: Fleet) -> None:
        """Check for a tenth and 50 requests, and for none 5 s after 50 faults."""
        inside = [s for s in fleet.sent if s[0] <= DURATION_SECONDS]
        exposed = sum(is_new for _, is_new, _ in inside)
        self.assertLessEqual(exposed, EXPOSURE * len(inside) + EXPOSURE_SLACK)
        failed_at = [at for at, _, failed in fleet.sent if failed]
        if len(failed_at) >= EXPOSURE_SLACK:
            limit = failed_at[EXPOSURE_SLACK - 1] + TAKE_BACK_SECONDS
            late = [at for at, is_new, _ in fleet.sent if is_new and at > limit]
            self.assertEqual(late, [])

    async def test_sound_version_takes_over_in_time(self):
        fleet = self.start()
        await fleet.order()
        await fleet.run(DURATION_SECONDS * 0.92 - 2.0)
        self.check_statuses(fleet, "completed")
        await fleet.run(1.0)
        started = fleet.clock.monotonic()
        await fleet.run(2.0)
        late = [is_new for at, is_new, _ in fleet.sent if at >= started]
        self.assertTrue(all(late))
        self.assertTrue(all(not i.moves.active for i in fleet.instances))

    async def test_faulty_version_is_taken_back(self):
        for chance in (0.3, 1.0):
            with self.subTest(chance=chance):
                fleet = self.start()
                fleet.fails = lambda seconds, share, chance=chance: chance
                await fleet.order()
                await fleet.run(DURATION_SECONDS)
                self.check_statuses(fleet, "rolled_back")
                self.check_exposure(fleet)

    async def test_version_that_fails_later_is_taken_back(self):
        for start in (8.0, 15.0, 20.0):
            with self.subTest(start=start):
                fleet = self.start()
                fleet.fails = lambda seconds, share, start=start: (
                    0.4 if seconds > start else 0.0
                )
                await fleet.order()
                await fleet.run(DURATION_SECONDS)
                self.check_statuses(fleet, "rolled_back")
                self.check_exposure(fleet)

    async def test_version_that_fails_under_load_is_taken_back(self):
        fleet = self.start()
        fleet.fails = lambda seconds, share: 0.4 if share > 0.15 else 0.0
        await fleet.order()
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "rolled_back")
        self.check_exposure(fleet)

    async def test_large_fleet_with_little_traffic_for_each_instance(self):
        fleet = self.start(count=40)
        fleet.fails = lambda seconds, share: 0.5
        await fleet.order()
        await fleet.run(12.0)
        self.check_statuses(fleet, "rolled_back")
        self.check_exposure(fleet)

    async def test_move_goes_on_when_its_driver_dies(self):
        fleet = self.start()
        await fleet.order()
        await fleet.run(10.0)
        fleet.instances[0].task.cancel()
        await fleet.run(4.0)
        fleet.instances[3].ledger.assign(frozenset({0}))
        await fleet.run(DURATION_SECONDS - 17.0)
        self.check_statuses(fleet, "completed")

    async def test_driver_that_wakes_up_does_not_contradict_its_successor(self):
        fleet = self.start()
        fleet.fails = lambda seconds, share: 0.4 if seconds > 12.0 else 0.0
        await fleet.order()
        await fleet.run(6.0)
        frozen, successor = fleet.instances[0], fleet.instances[5]
        frozen.store.silent = True
        successor.ledger.assign(frozenset({0}))
        await fleet.run(12.0)
        self.check_statuses(fleet, "rolled_back")
        frozen.store.silent = False
        await fleet.run(10.0)
        self.check_statuses(fleet, "rolled_back")

    async def test_two_drivers_at_once_do_not_contradict_each_other(self):
        fleet = self.start()
        for instance in fleet.instances:
            instance.ledger.assign(frozenset({0}))
        await fleet.order()
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "completed")

    async def test_step_whose_answer_was_lost_is_not_written_twice(self):
        fleet = self.start()
        await fleet.order()
        for instance in fleet.instances:
            instance.store.lose_answers = 4
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "completed")

    async def test_instance_that_starts_after_the_end_knows_it(self):
        fleet = self.start(count=3)
        await fleet.order()
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "completed")
        late = Instance("front-9", fleet)
        fleet.instances.append(late)
        late.start_new_targets()
        late.mover.take_order(ORDER)
        await fleet.run(2.0)
        self.assertEqual(late.moves.active, [])
        usable = late.table.list_open("engine")
        chosen = late.moves.filter_by_version("engine", usable, usable)
        self.assertEqual({t.entry.version for t in chosen}, {"v2"})

    async def test_withdrawn_order_is_visibly_taken_back(self):
        fleet = self.start(count=3)
        await fleet.order()
        await fleet.run(5.0)
        for instance in fleet.instances:
            instance.mover.take_order(
                RolloutOrder("engine", "", 0.0, 9, withdrawn=True)
            )
        await fleet.run(3.0)
        self.check_statuses(fleet, "rolled_back")

    async def test_without_an_order_the_store_is_not_asked(self):
        fleet = self.start(count=2)
        await fleet.run(5.0)
        self.assertEqual(fleet.instances[0].store.calls, [])
