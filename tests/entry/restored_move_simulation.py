"""Simulated fleet that moves versions beside a store that comes back from a copy."""

import asyncio
import base64
import json
import random

from carobladder.clock import VirtualClock
from carobladder.fleet import TargetTable
from carobladder.platform.documents import decode_operator_record
from carobladder.platform.names import OPERATOR_TOPIC, STATUS_TOPIC
from carobladder.platform.store import KeyedTopic
from carobladder.topics import ControlState, TopicFollower, build_operator_policy
from standins.store import StoreCopy
from tests.entry.test_versions import Instance, VersionMoveFleet

__all__ = [
    "DURATION_SECONDS",
    "ENDED_STATES",
    "FollowingInstance",
    "RestoredMoveFleet",
]

DURATION_SECONDS = 30.0
ENDED_STATES = frozenset({"completed", "rolled_back"})
_ORDER_KEY = "rollout/engine"
_REVOCATION_SECONDS = 5.0
_CONFIGURATION_SECONDS = 2.0


class FollowingInstance(Instance):
    """Instance that reads the orders from the operator's topic, as the program does."""

    def __init__(self, name: str, fleet: "RestoredMoveFleet") -> None:
        super().__init__(name, fleet)
        controller = self.move_controller
        control_state = ControlState(
            fleet.clock,
            TargetTable(),
            lambda target_id: None,
            0.0,
            controller.handle_order,
            controller.handle_moved_order,
        )
        self.operator_follower = TopicFollower(
            "operator",
            KeyedTopic(self.store.client, OPERATOR_TOPIC),
            fleet.clock,
            build_operator_policy(_REVOCATION_SECONDS, _CONFIGURATION_SECONDS),
            lambda record: control_state.apply(decode_operator_record(record)),
            lambda outage_seconds: None,
            random.Random(name),
            eras=self.eras,
            on_moved=lambda record: control_state.apply_moved(
                decode_operator_record(record)
            ),
        )
        self.operator_task = asyncio.create_task(self.operator_follower.run())

    def read_versions(self) -> set[str]:
        """Return the versions of the targets that requests may go to now."""
        usable = self.table.list_open("engine")
        used = self.moves.filter_in_use("engine", usable, usable)
        return {target.entry.version for target in used}


class RestoredMoveFleet(VersionMoveFleet):
    """Fleet that gets its orders from the store.

    ``shares`` are the shares of the new version that each instance has had, by name;
    ``status_of_copy`` is the state for operators in the copy restored last;
    ``ends`` are the states of an ended move that operators have read, with their times;
    ``senders`` names the instance of each request.
    """

    instance_class = FollowingInstance
    clock: VirtualClock

    def __init__(self, count: int = 3, seed: int = 1) -> None:
        # Debug mode would take most of a test's time.
        asyncio.get_running_loop().set_debug(False)
        super().__init__(count, seed)
        self.shares: dict[str, list[float]] = {}
        self.status_of_copy: str | None = None
        self.ends: dict[str, float] = {}
        self.senders: list[str] = []

    def write_order(self, version: str = "v2") -> None:
        """Write an order as the operator does."""
        document = {
            "service": "engine",
            "target": version,
            "durationS": DURATION_SECONDS,
        }
        self.state.put_document(OPERATOR_TOPIC, _ORDER_KEY, document)

    def withdraw_order(self) -> None:
        """Withdraw the order as the operator does."""
        self.state.put(OPERATOR_TOPIC, _ORDER_KEY, None)

    def write_other(self, number: int) -> None:
        """Write a record of the operator that is no order."""
        self.state.put(OPERATOR_TOPIC, "evacuation/dc-9", str(number).encode())

    async def begin(self, seconds: float) -> None:
        """Start the targets of the new version, and run until this time."""
        await self.run(2.0)
        for instance in self.instances:
            instance.start_new_targets()
        await self.run(seconds - 2.0)

    async def restore(
        self,
        copy: StoreCopy,
        start_late: str | None = None,
        *,
        leads: bool = False,
        away_seconds: float = 1.5,
        rewrite_seconds: float = 0.6,
    ) -> None:
        """Let the store go away for a while and come back from a copy.

        Operators write again what was lost ``rewrite_seconds`` later, but for what they
        replaced. An instance with the name ``start_late`` starts as the store comes
        back, and is the leader if it ``leads``.
        """
        for instance in self.instances:
            instance.store.silent = True
        await self.run(away_seconds)
        self.state.restore(copy)
        self.status_of_copy = self.read_status()
        for instance in self.instances:
            instance.store.silent = False
        if start_late is not None:
            late = self.start_late(start_late)
            late.ledger.assign(frozenset({0} if leads else ()), self.clock.boottime())
        await self.run(rewrite_seconds)
        self.state.write_lost_again(only_newest=True)

    def deal_other_partitions(self) -> None:
        """Deal all partitions but that of the leader to the instances, as the store."""
        count = len(self.instances)
        for index, instance in enumerate(self.instances):
            total = len(instance.ledger.partitions)
            instance.ledger.assign(frozenset(range(1 + index, total, count)))

    def follow_again(self, instance: FollowingInstance) -> asyncio.Task[None]:
        """Let an instance follow the operator's topic that has ceased to."""
        return asyncio.create_task(instance.operator_follower.run())

    def start_late(self, name: str) -> FollowingInstance:
        """Start another instance now."""
        instance = FollowingInstance(name, self)
        instance.start_new_targets()
        self.instances.append(instance)
        return instance

    async def run(self, seconds: float) -> None:
        """Send requests for this long, and note the shares all the while."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end - 1e-6:
            await super().run(min(0.25, end - self.clock.monotonic()))
            status = self.read_status()
            if status in ENDED_STATES:
                self.ends.setdefault(status, self.clock.monotonic())
            for instance in self.instances:
                move = instance.moves.services.get("engine")
                if move is not None:
                    name = instance.move_controller._instance
                    self.shares.setdefault(name, []).append(move.share)

    def _send(self, instance: FollowingInstance) -> None:
        """Send a request, unless the instance has not looked at the store yet.

        The program listens after its first reads.
        """
        if not instance.operator_follower._first_attempt_done.is_set():
            return
        count = len(self.sent)
        super()._send(instance)
        if len(self.sent) > count:
            self.senders.append(instance.move_controller._instance)

    def list_fallen_shares(self) -> dict[str, list[float]]:
        """Return the shares of the instances on which one was below an earlier one."""
        return {n: s for n, s in self.shares.items() if s != sorted(s)}

    def list_move_ids(self) -> set[str]:
        """Return the identifiers of the move on all instances."""
        services = [instance.moves.services for instance in self.instances]
        return {moves["engine"].move_id for moves in services}

    def read_status(self) -> str | None:
        """Return the state of the newest record for operators."""
        path = f"/-/log-newest?topic={STATUS_TOPIC}&part=0"
        items = json.loads(self.state.call("GET", path).body)["items"]
        values = {item["key"]: base64.b64decode(item["value"]) for item in items}
        value = values.get(_ORDER_KEY)
        return json.loads(value)["state"] if value else None

    async def end(self) -> None:
        """End all tasks."""
        for instance in self.instances:
            instance.operator_task.cancel()
        tasks = [instance.operator_task for instance in self.instances]
        await asyncio.gather(*tasks, return_exceptions=True)
        await super().end()
