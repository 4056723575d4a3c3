"""Tests of version moves that a fleet of instances executes through the store."""

import asyncio
import dataclasses
import json
import random
import unittest
from urllib.parse import parse_qs, urlsplit

from carobladder.clock import VirtualClock
from carobladder.entry.versions import VersionMoveController
from carobladder.eras import EraMonitor
from carobladder.fleet import (
    AnswerTallies,
    ExposureLimit,
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
ROLLBACK_SECONDS = 5.0
DURATION_SECONDS = 30.0
ORDER = RolloutOrder("engine", "v2", DURATION_SECONDS, 5)
ROUTE = Route("r", "h", "/", RouteKind.SAFE, (ServiceWeight("engine"),), 1.0, 0.5)
STREAM_ROUTE = dataclasses.replace(ROUTE, name="s", kind=RouteKind.STREAMING)
STEP_SECONDS = 0.05
USUAL_PACE_SECONDS = 0.03
POLL_SECONDS = 0.1


class LongPollStore(FakeStore):
    """Simulated store whose waiting reads wait on the virtual clock."""

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
            await self._clock.sleep(POLL_SECONDS)
            left -= POLL_SECONDS


class Instance:
    """Instance of a fleet that sends requests to both versions."""

    def __init__(self, name: str, fleet: "VersionMoveFleet") -> None:
        self.table = TargetTable()
        for index in range(4):
            self.table.apply(build_entry(f"i-{index}"), -100.0)
        self.ledger = ShareLedger(96)
        self.moves = VersionMoves(EXPOSURE)
        self.tallies = AnswerTallies(self.moves, self.table, incarnation=1)
        self.store = LongPollStore(fleet.state, fleet.clock)
        client = PlatformStore(self.store, "127.0.0.1:1", 0.8)
        self.eras = EraMonitor()
        self.move_controller = VersionMoveController(
            name,
            self.moves,
            self.table,
            self.tallies,
            self.ledger,
            KeyedTopic(client, STATUS_TOPIC),
            KeyedTopic(client, MOVE_EVIDENCE_TOPIC),
            encode_move_status,
            ExposureLimit(EXPOSURE, EXPOSURE_SLACK),
            fleet.clock,
            random.Random(1),
            self.eras,
        )
        self.task = asyncio.create_task(self.move_controller.run())

    def start_new_targets(self) -> None:
        """Register the targets of the new version."""
        for index in range(4, 8):
            self.table.apply(build_entry(f"i-{index}", version="v2"), -100.0)


class VersionMoveFleet:
    """Fleet on a virtual clock in which each instance sends one request per step.

    ``failure_chance`` returns the probability that a request to the new version fails,
    given the time in seconds and the new version's share of the last requests.
    ``stream_share`` of the answers are streams, in which the new version sends an event
    every ``new_pace_seconds``. An instance sends a request in a step with
    ``send_chance``.
    """

    instance_class = Instance

    def __init__(self, count: int = 9, seed: int = 1) -> None:
        self.clock = VirtualClock()
        self.state = StoreState()
        self.instances = [self.instance_class(f"front-{n}", self) for n in range(count)]
        self.instances[0].ledger.assign(frozenset({0}))
        self.failure_chance = lambda seconds, share: 0.0
        self.stream_share = 0.0
        self.send_chance = 1.0
        self.new_pace_seconds = USUAL_PACE_SECONDS
        self.sent: list[tuple[float, bool, bool]] = []
        self._generator = random.Random(seed)

    async def order(self, order: RolloutOrder = ORDER) -> None:
        """Order a move; the new targets are registered two seconds later."""
        for instance in self.instances:
            instance.move_controller.handle_order(order)
        await self.run(2.0)
        for instance in self.instances:
            instance.start_new_targets()

    async def run(self, seconds: float) -> None:
        """Send requests for this long on the virtual clock."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for instance in self.instances:
                if not instance.task.done() and self._draw(self.send_chance):
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
        failed = is_new and self._generator.random() < self.failure_chance(
            now, self.compute_new_share()
        )
        self.sent.append((now, is_new, failed))
        is_stream = self._draw(self.stream_share)
        route = STREAM_ROUTE if is_stream else ROUTE
        instance.tallies.note_answer(
            target, route, failed=failed, first_byte_seconds=0.1, now=now
        )
        if is_stream:
            pace = self.new_pace_seconds if is_new else USUAL_PACE_SECONDS
            instance.tallies.note_pace(target, route, pace, now)

    def _draw(self, chance: float) -> bool:
        """Return True with this probability; draws nothing if it is certain."""
        return chance >= 1.0 or (chance > 0.0 and self._generator.random() < chance)

    def compute_new_share(self) -> float:
        """Return the new version's share of the last requests."""
        last = self.sent[-200:]
        return sum(is_new for _, is_new, _ in last) / len(last) if last else 0.0

    def list_statuses(self) -> list[str]:
        """Return all states written for operators, in order."""
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
    """Guard against late moves, overexposed callers and contradictory statuses."""

    def start(self, **options) -> VersionMoveFleet:
        fleet = VersionMoveFleet(**options)
        self.addAsyncCleanup(fleet.end)
        return fleet

    def check_statuses(self, fleet: VersionMoveFleet, final: str) -> None:
        states = fleet.list_statuses()
        self.assertEqual(states[-1], final)
        self.assertEqual(set(states[:-1]), {"running"})

    def check_exposure(self, fleet: VersionMoveFleet) -> None:
        """Check that the new version gets at most a tenth of the requests and 50.

        From 5 s after the 50th failure on it must get none.
        """
        inside = [s for s in fleet.sent if s[0] <= DURATION_SECONDS]
        exposed = sum(is_new for _, is_new, _ in inside)
        self.assertLessEqual(exposed, EXPOSURE * len(inside) + EXPOSURE_SLACK)
        failed_at = [at for at, _, failed in fleet.sent if failed]
        if len(failed_at) >= EXPOSURE_SLACK:
            limit = failed_at[EXPOSURE_SLACK - 1] + ROLLBACK_SECONDS
            late = [at for at, is_new, _ in fleet.sent if is_new and at > limit]
            self.assertEqual(late, [])

    async def test_healthy_version_completes_in_time(self):
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

    async def test_faulty_version_is_rolled_back(self):
        for chance in (0.3, 1.0):
            with self.subTest(chance=chance):
                fleet = self.start()
                fleet.failure_chance = lambda seconds, share, chance=chance: chance
                await fleet.order()
                await fleet.run(DURATION_SECONDS)
                self.check_statuses(fleet, "rolled_back")
                self.check_exposure(fleet)

    async def test_version_with_slow_streams_is_rolled_back_before_the_switch(self):
        """Its answers begin in time, and there are only 23 requests a second.

        Before the events of streams were compared, such a version was completed.
        """
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = self.start(count=6, seed=seed)
                fleet.send_chance = 23 * STEP_SECONDS / 6
                fleet.stream_share = 0.45
                fleet.new_pace_seconds = 0.13
                order = RolloutOrder("engine", "v2", 15.0, 5)
                await fleet.order(order)
                await fleet.run(15.0)
                self.check_statuses(fleet, "rolled_back")
                exposed = [at for at, is_new, _ in fleet.sent if is_new]
                self.assertLess(max(exposed), 0.7 * 15.0)
                self.assertLessEqual(
                    len(exposed), EXPOSURE * len(fleet.sent) + EXPOSURE_SLACK
                )

    async def test_version_that_fails_later_is_rolled_back(self):
        for start in (8.0, 15.0, 20.0):
            with self.subTest(start=start):
                fleet = self.start()
                fleet.failure_chance = lambda seconds, share, start=start: (
                    0.4 if seconds > start else 0.0
                )
                await fleet.order()
                await fleet.run(DURATION_SECONDS)
                self.check_statuses(fleet, "rolled_back")
                self.check_exposure(fleet)

    async def test_version_that_fails_under_load_is_rolled_back(self):
        fleet = self.start()
        fleet.failure_chance = lambda seconds, share: 0.4 if share > 0.15 else 0.0
        await fleet.order()
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "rolled_back")
        self.check_exposure(fleet)

    async def test_faulty_version_is_rolled_back_with_little_traffic_per_instance(self):
        fleet = self.start(count=40)
        fleet.failure_chance = lambda seconds, share: 0.5
        await fleet.order()
        await fleet.run(12.0)
        self.check_statuses(fleet, "rolled_back")
        self.check_exposure(fleet)

    async def test_move_continues_after_its_leader_dies(self):
        fleet = self.start()
        await fleet.order()
        await fleet.run(10.0)
        fleet.instances[0].task.cancel()
        await fleet.run(4.0)
        fleet.instances[3].ledger.assign(frozenset({0}))
        await fleet.run(DURATION_SECONDS - 17.0)
        self.check_statuses(fleet, "completed")

    async def test_resumed_leader_does_not_contradict_its_successor(self):
        fleet = self.start()
        fleet.failure_chance = lambda seconds, share: 0.4 if seconds > 12.0 else 0.0
        await fleet.order()
        await fleet.run(6.0)
        paused, successor = fleet.instances[0], fleet.instances[5]
        paused.store.silent = True
        successor.ledger.assign(frozenset({0}))
        await fleet.run(12.0)
        self.check_statuses(fleet, "rolled_back")
        paused.store.silent = False
        await fleet.run(10.0)
        self.check_statuses(fleet, "rolled_back")

    async def test_concurrent_leaders_do_not_contradict_each_other(self):
        fleet = self.start()
        for instance in fleet.instances:
            instance.ledger.assign(frozenset({0}))
        await fleet.order()
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "completed")

    async def test_step_with_a_lost_answer_is_not_written_twice(self):
        fleet = self.start()
        await fleet.order()
        for instance in fleet.instances:
            instance.store.lose_answers = 4
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "completed")

    async def test_instance_started_after_completion_sees_it(self):
        fleet = self.start(count=3)
        await fleet.order()
        await fleet.run(DURATION_SECONDS)
        self.check_statuses(fleet, "completed")
        late = Instance("front-9", fleet)
        fleet.instances.append(late)
        late.start_new_targets()
        late.move_controller.handle_order(ORDER)
        await fleet.run(2.0)
        self.assertEqual(late.moves.active, [])
        usable = late.table.list_open("engine")
        chosen = late.moves.filter_by_version("engine", usable, usable)
        self.assertEqual({t.entry.version for t in chosen}, {"v2"})

    async def test_withdrawn_order_is_rolled_back(self):
        fleet = self.start(count=3)
        await fleet.order()
        await fleet.run(5.0)
        for instance in fleet.instances:
            instance.move_controller.handle_order(
                RolloutOrder("engine", "", 0.0, 9, withdrawn=True)
            )
        await fleet.run(3.0)
        self.check_statuses(fleet, "rolled_back")

    async def test_no_store_calls_without_an_order(self):
        fleet = self.start(count=2)
        await fleet.run(5.0)
        self.assertEqual(fleet.instances[0].store.calls, [])
