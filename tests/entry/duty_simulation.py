"""Instances with duties, a store and the platform's API on a virtual clock."""

import asyncio
import json
import math
import random
from collections import Counter
from collections.abc import Mapping
from types import SimpleNamespace

from carobladder.clock import VirtualClock
from carobladder.duties import (
    CallOutcome,
    DutyLease,
    Election,
    FleetTime,
    UsageCollection,
    UsageCounter,
    UsageTimes,
)
from carobladder.entry.duties import ELECTION_INTERVAL_SECONDS, DutyKeeper, DutyParts
from carobladder.entry.dutysharing import DutySharing
from carobladder.entry.dutyterm import CallTimes, DutyTerm, TermParts
from carobladder.entry.usage import UsageReporter
from carobladder.eras import EraMonitor
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import ShareLedger
from carobladder.platform.store import KeyedTopic
from carobladder.telemetry import DutyMetrics, ForwardMetrics
from standins.cloud import CloudState
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.duties"
LEASE_SECONDS = 3.0
CALL_SECONDS = 1.0
TIMES = UsageTimes(5.0, 10.0)
TEAMS = ("x", "y", "z")
_STORE_SECONDS = 0.02
_API_SECONDS = 0.05
_MESSAGE_SECONDS = 0.01
_GOSSIP_SECONDS = 0.3
_REQUEST_SECONDS = 0.1
_STEP_SECONDS = 0.02
# Rounds of the event loop in which the tasks that a step wakes come to their next wait.
_ROUNDS = 6


class MemberClock:
    """Clock of an instance that can be paused and whose wall clock can be stepped."""

    def __init__(self, base: VirtualClock) -> None:
        self.paused_until = float("-inf")
        self.step_seconds = 0.0
        self._base = base

    def now(self):
        """Return the wall clock, with its step."""
        now = self._base.now()
        return now.fromtimestamp(now.timestamp() + self.step_seconds, now.tzinfo)

    def monotonic(self) -> float:
        """Return the virtual seconds."""
        return self._base.monotonic()

    def boottime(self) -> float:
        """Return the virtual seconds."""
        return self._base.boottime()

    @property
    def is_paused(self) -> bool:
        """Whether the instance does not run."""
        return self._base.boottime() < self.paused_until

    async def sleep(self, seconds: float) -> None:
        """Wait for a time, and for the end of a pause."""
        await self._base.sleep(seconds)
        while self.is_paused:
            await self._base.sleep(self.paused_until - self._base.boottime())


class MemberTopic:
    """Topic as one instance reaches it."""

    def __init__(self, fleet: "DutyFleet", clock: MemberClock) -> None:
        self.is_cut_off = False
        self._fleet = fleet
        self._clock = clock
        self._topic = KeyedTopic(fleet.store.client, TOPIC)

    async def read_newest(self):
        """Read after the time that a call takes."""
        await self._pass_time()
        page = await self._topic.read_newest()
        await self._clock.sleep(_STORE_SECONDS)
        return page

    async def append_at(self, expected_end, records):
        """Append after the time that a call takes."""
        await self._pass_time()
        outcome = await self._topic.append_at(expected_end, records)
        await self._clock.sleep(_STORE_SECONDS)
        return outcome

    async def _pass_time(self) -> None:
        self._fleet.store_calls += 1
        await self._clock.sleep(_STORE_SECONDS)
        if self.is_cut_off:
            raise LogUnavailableError("cut off", may_have_taken_effect=True)


class MemberApi:
    """API as one instance reaches it; see ``DutyApi``."""

    def __init__(self, fleet: "DutyFleet", clock: MemberClock) -> None:
        self._fleet = fleet
        self._clock = clock

    async def report_usage(self, permit, window, counts):
        """Report counts unless the lease is over by now."""
        await self._clock.sleep(_API_SECONDS)
        if not permit.confirm():
            return CallOutcome.NOT_SENT
        status = self._fleet.report(permit, window, counts)
        await self._clock.sleep(_API_SECONDS)
        return {
            200: CallOutcome.ACCEPTED,
            409: CallOutcome.OUTDATED_TOKEN,
            429: CallOutcome.LIMITED,
        }.get(status, CallOutcome.UNANSWERED)

    async def order_targets(self, permit, service, data_centre, count):
        """Order nothing."""
        raise NotImplementedError


class DutyMember:
    """One run of an instance."""

    def __init__(self, fleet: "DutyFleet", index: int, run: int) -> None:
        self.name = f"front-{index}"
        self.clock = clock = MemberClock(fleet.clock)
        clock.step_seconds = fleet.steps.get(index, 0.0)
        self.is_alive = True
        self.ledger = ShareLedger(96)
        self.ledger.assign(frozenset({index, index + 50}), clock.boottime())
        self.eras = EraMonitor()
        self.sharing = sharing = DutySharing()
        sharing.set_sender(
            lambda message, name: fleet.send(
                name, lambda member: member.sharing.handle_message(message, self.name)
            )
        )
        self.topic = MemberTopic(fleet, clock)
        metrics = DutyMetrics(ForwardMetrics().registry)
        time = FleetTime(clock)
        counter = UsageCounter(time, TIMES.window_seconds)
        self.lease = DutyLease(self.name, run, LEASE_SECONDS)
        term_parts = TermParts(
            self.lease,
            Election(self.ledger, ELECTION_INTERVAL_SECONDS),
            time,
            counter,
            sharing,
            self.topic,
            self.eras,
            metrics,
        )
        calls = CallTimes(CALL_SECONDS, 0.04)
        reporter = UsageReporter(
            counter, time, sharing, self.name, run, clock, random.Random(run)
        )
        parts = DutyParts(
            DutyTerm(term_parts, self.name, calls, clock),
            time,
            counter,
            UsageCollection(TIMES),
            reporter,
            sharing,
            MemberApi(fleet, clock),
            SimpleNamespace(list_peers=lambda: fleet.list_peers(self.name)),
            metrics,
        )
        self.keeper = DutyKeeper(parts, self.name, run, TIMES, clock)
        self.task = asyncio.create_task(self.keeper.run())

    def kill(self) -> None:
        """End the instance at once."""
        self.is_alive = False
        self.task.cancel()


class DutyFleet:
    """Fleet whose instances count requests, and what the platform has received.

    ``lateness`` is the time from the end of a window to its first accepted report, and
    ``steps`` the steps of the instances' clocks before their start.
    """

    def __init__(
        self, size: int, seed: int, steps: Mapping[int, float] | None = None
    ) -> None:
        self.steps = steps or {}
        self.clock = VirtualClock()
        self.generator = random.Random(seed)
        self.store = FakeStore()
        self.store_calls = 0
        self.cloud = CloudState(self.clock.monotonic)
        self.lateness: dict[int, float] = {}
        self.truth: dict[int, Counter[str]] = {}
        self.lost_part = 0.0
        self._runs = 0
        self._loose: set[asyncio.Task[None]] = set()
        self.members = [self._start(index) for index in range(size)]
        self._spawn(self._gossip())
        self._spawn(self._send_requests())

    def _start(self, index: int) -> DutyMember:
        self._runs += 1
        return DutyMember(self, index, self._runs)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._loose.add(task)
        task.add_done_callback(self._loose.discard)

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            self.clock.advance(_STEP_SECONDS)
            for _ in range(_ROUNDS):
                await asyncio.sleep(0)

    async def stop(self) -> None:
        """End all tasks; raise the error of a task that failed."""
        tasks = [member.task for member in self.members] + list(self._loose)
        for task in tasks:
            task.cancel()
        for found in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(found, Exception):
                raise found

    def list_holders(self) -> list[DutyMember]:
        """Return the instances that take themselves for the holder."""
        return [m for m in self.members if m.is_alive and m.lease.is_holder]

    def list_peers(self, name: str) -> list[SimpleNamespace]:
        """Return the other announced instances, also those that have ended."""
        return [SimpleNamespace(name=m.name) for m in self.members if m.name != name]

    def send(self, name: str, deliver) -> None:
        """Deliver something to an instance after a while, or lose it."""
        if self.generator.random() >= self.lost_part:
            self._spawn(self._deliver(name, deliver))

    def report(self, permit, window: int, counts) -> int:
        """Execute a usage report at the API."""
        headers = {
            "carobladder-duty-holder": permit.holder,
            "carobladder-fencing-token": str(permit.token),
        }
        body = {"windowId": window, "counts": dict(counts)}
        text = json.dumps(body).encode()
        status = self.cloud.call("POST", "/usage", headers, text).status
        if status == 200:
            end = (window + 1) * TIMES.window_seconds
            self.lateness.setdefault(window, self.now() - end)
        return status

    def now(self) -> float:
        """Return the true time in Unix seconds."""
        return self.clock.now().timestamp()

    def find_missing(self, first: int) -> list[int]:
        """Return the windows from ``first`` on that are due and not reported."""
        due = math.floor((self.now() - TIMES.late_seconds) / TIMES.window_seconds)
        return [w for w in range(first, due) if w not in self.cloud.usage]

    def find_errors(self) -> dict[int, float]:
        """Return the relative error of the sum of each reported window."""
        errors = {}
        for window, counts in self.cloud.usage.items():
            true_sum = sum(self.truth.get(window, Counter()).values())
            errors[window] = abs(sum(counts.values()) - true_sum) / max(1, true_sum)
        return errors

    async def _deliver(self, name: str, deliver) -> None:
        await self.clock.sleep(_MESSAGE_SECONDS)
        for member in self.members:
            if member.name == name:
                while member.clock.is_paused:
                    await self.clock.sleep(0.05)
                if member.is_alive:
                    deliver(member)

    async def _gossip(self) -> None:
        while True:
            await self.clock.sleep(_GOSSIP_SECONDS)
            for member in self.members:
                if not member.is_alive or member.clock.is_paused:
                    continue
                notice = member.sharing.notice
                others = [m.name for m in self.members if m is not member]
                for name in self.generator.sample(others, 2):
                    self.send(
                        name,
                        lambda receiver, notice=notice: receiver.sharing.take_notice(
                            notice
                        ),
                    )

    async def _send_requests(self) -> None:
        while True:
            await self.clock.sleep(_REQUEST_SECONDS)
            window = math.floor(self.now() / TIMES.window_seconds)
            for member in self.members:
                if member.is_alive and not member.clock.is_paused:
                    team = self.generator.choice(TEAMS)
                    self.truth.setdefault(window, Counter())[team] += 1
                    member.keeper.count(team)
