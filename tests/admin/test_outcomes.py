"""Seeded schedules of operators whose answers are lost or late."""

import asyncio
import contextlib
import json
import random
import unittest

import msgspec

from carobladder.admin.api import AdminApi
from carobladder.admin.submission import ChangeSubmitter
from carobladder.clock import VirtualClock
from carobladder.exceptions import (
    ChangeUnknownError,
    LogUnavailableError,
    NotReadyError,
)
from carobladder.resources import AuditEntry
from tests.admin.harness import ADMIN_KEY, Harness
from tests.resources.fake_log import FakeLog
from tests.resources.simulation import Reference, Violation

SEEDS = range(60)
INSTANCES = 3
TICKS = 120
SETTLE_TICKS = 80
TICK_SECONDS = 0.2


class RefusingSubmitter(ChangeSubmitter):
    """Call a change refused when the answer of its append was lost."""

    async def _try_append(self, change, may_be_appended):
        appended, _ = await super()._try_append(change, False)
        if not appended:
            raise NotReadyError("answer lost")
        return True, True


class OptimisticSubmitter(ChangeSubmitter):
    """Call a change accepted when its outcome is not known."""

    async def submit(self, change):
        try:
            return await super().submit(change)
        except ChangeUnknownError:
            return AuditEntry(
                0,
                change.change_id,
                change.who,
                change.at,
                change.action,
                change.kind,
                change.name,
                True,
            )


class RenamingSubmitter(ChangeSubmitter):
    """Repeat a change under another change id."""

    attempts = 0

    async def _try_append(self, change, may_be_appended):
        self.attempts += 1
        if may_be_appended:
            new_id = f"{change.change_id}-{self.attempts}"
            change = msgspec.structs.replace(change, change_id=new_id)
        return await super()._try_append(change, may_be_appended)


BROKEN = (RefusingSubmitter, OptimisticSubmitter, RenamingSubmitter)


class Fleet:
    """Run operators at several instances over one log with faults."""

    def __init__(self, seed: int, submitter: type[ChangeSubmitter]) -> None:
        self.draw = random.Random(seed)
        self.log = FakeLog()
        self.clock = VirtualClock()
        self.instances = [
            Harness(log=self.log, clock=self.clock) for _ in range(INSTANCES)
        ]
        for instance in self.instances:
            instance.api = AdminApi(
                instance.catalog,
                instance.directory,
                instance.history,
                self.log.client,
                self.clock,
                ADMIN_KEY,
                submitter=submitter(
                    self.log.client, instance.catalog, instance.history, self.clock
                ),
            )
        self.told: list[dict] = []
        self.operators: list[asyncio.Task] = []

    async def run(self) -> None:
        """Run the schedule, then check what operators were told."""
        for _ in range(TICKS):
            self.disturb()
            await self.tick()
        self.log.outage = False
        self.log.deliver()
        for instance in self.instances:
            instance.reading = True
        for _ in range(SETTLE_TICKS):
            await self.tick()
        await asyncio.gather(*self.operators)
        self.check()

    def disturb(self) -> None:
        """Let one thing happen: an operator's request or a fault."""
        match self.draw.randrange(8):
            case 0 | 1 | 2:
                self.operators.append(asyncio.ensure_future(self.operate()))
            case 3:
                self.log.outage = self.draw.random() < 0.4
            case 4:
                self.log.lose_answers = self.draw.randrange(3)
            case 5:
                self.log.delay_appends = self.draw.randrange(2)
            case 6:
                self.log.deliver()
            case 7:
                instance = self.draw.choice(self.instances)
                instance.reading = self.draw.random() < 0.7

    async def tick(self) -> None:
        """Let the instances read and time pass."""
        for instance in self.instances:
            if instance.reading:
                with contextlib.suppress(LogUnavailableError):
                    await instance.reader.step()
        self.clock.advance(TICK_SECONDS)
        for _ in range(8):
            await asyncio.sleep(0)

    async def operate(self) -> None:
        """Put a weight that no other request puts and keep the answer."""
        instance = self.draw.choice(self.instances)
        name = self.draw.choice("ab")
        current = instance.catalog.get("team", name)
        expected = self.draw.choice((None, current.revision if current else -1))
        weight = len(self.operators)
        body = {"spec": {"weight": weight}, "expected_revision": expected}
        _, answer = await instance.ask("PUT", f"team/{name}", body)
        self.told.append({**answer, "weight": weight})

    def check(self) -> None:
        """Compare what was told with what the log decides."""
        reference = Reference()
        reference.extend(self.log.history)
        taken: dict[int, int] = {}
        for offset in reference.accepted:
            weight = int(json.loads(self.log.history[offset])["spec"]["weight"])
            if weight in taken:
                raise Violation(f"request {weight} took effect twice")
            taken[weight] = offset
        for answer in self.told:
            offset = taken.get(answer["weight"])
            if answer["outcome"] == "refused" and offset is not None:
                raise Violation(f"a refused change took effect: {answer}")
            if answer["outcome"] == "accepted" and offset != answer["revision"]:
                raise Violation(f"an accepted change is not in the log: {answer}")


def find_violation(seed: int, submitter: type[ChangeSubmitter]) -> bool:
    """Tell whether the check notices the submitter under a seed."""
    try:
        asyncio.run(Fleet(seed, submitter).run())
    except Violation:
        return True
    return False


class ToldOutcomeTest(unittest.TestCase):
    """Guard against an outcome told to an operator that the log contradicts."""

    def test_every_seed_tells_the_truth(self):
        outcomes = set()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = Fleet(seed, ChangeSubmitter)
                asyncio.run(fleet.run())
                outcomes |= {answer["outcome"] for answer in fleet.told}
        self.assertEqual(outcomes, {"accepted", "refused", "unknown"})

    def test_the_same_seeds_find_each_broken_variant(self):
        for submitter in BROKEN:
            with self.subTest(submitter=submitter):
                self.assertTrue(any(find_violation(s, submitter) for s in SEEDS))
