"""Racing operators and drivers over a log that loses answers, in virtual time."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

from returns.pipeline import is_successful

from carobladder.moves.drivers import Driver, LeaseRecord, LeaseView, Order, OrderTarget
from carobladder.moves.records import MoveRecord, build_step_record
from carobladder.moves.versions import (
    VersionConditions,
    VersionMoveSpec,
    VersionMoveState,
    VersionPhase,
    apply_version_record,
    decide_version_step,
)

__all__ = ["OperatorResult", "OperatorRun", "SafeDriver"]

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
STEP_SECONDS = 0.25
RUN_SECONDS = 3000.0
LOST_ANSWER_SHARE = 0.15
ORDER_SECONDS = 2.0
LEASE_SECONDS = 10.0
DRIVERS = 4
READY = VersionConditions(loaded_share=1.0, warm_share=1.0, step_requests=1000)
SafeDriver = Driver


@dataclass(slots=True)
class OperatorResult:
    """Collect the measures of one run; all but the first three must be 0."""

    phase: VersionPhase = VersionPhase.DECLARED
    accepted: int = 0
    refused: int = 0
    reverts: int = 0
    doubled: int = 0
    diverged: int = 0
    orders: int = 0
    rejected_orders: int = 0
    takeovers: int = 0
    lost_answers: int = 0


class LostAnswerError(Exception):
    """Report that the log took a record, or did not, and no answer came."""


class Log:
    """Keep records in order; lose some answers; be down at times."""

    def __init__(self, random: Random, result: OperatorResult) -> None:
        self.records: list[MoveRecord | LeaseRecord] = []
        self._random = random
        self._result = result
        starts = [random.uniform(0, RUN_SECONDS) for _ in range(4)]
        self._outages = [(start, start + random.uniform(5, 90)) for start in starts]

    def is_up(self, now: float) -> bool:
        """Return whether the log answers."""
        return not any(start <= now < end for start, end in self._outages)

    def append(self, record: MoveRecord | LeaseRecord, now: float) -> None:
        """Append a record; raises LostAnswerError if no answer comes."""
        if not self.is_up(now):
            raise LostAnswerError
        if self._random.random() < LOST_ANSWER_SHARE:
            self._result.lost_answers += 1
            if self._random.random() < 0.7:
                self.records.append(record)
            raise LostAnswerError
        self.records.append(record)


@dataclass(slots=True)
class Target:
    """Execute orders and count those that run twice or out of order."""

    order_target: OrderTarget
    result: OperatorResult
    highest: int = 0
    newest_revision: int = 0
    done: set[str] = field(default_factory=set)

    def execute(self, order: Order) -> None:
        """Run an order unless its fencing number is old."""
        if self.order_target.checks_fencing and order.fencing < self.highest:
            self.result.rejected_orders += 1
            return
        self.highest = max(self.highest, order.fencing)
        if order.action == "fence":
            return
        revision = int(order.action.rpartition("-")[2])
        self.result.orders += 1
        self.result.doubled += order.action in self.done
        self.result.reverts += revision < self.newest_revision
        self.newest_revision = max(self.newest_revision, revision)
        self.done.add(order.action)


class Replica:
    """Apply the log in offset order, some time after the appends."""

    def __init__(self, spec: VersionMoveSpec) -> None:
        self.state = VersionMoveState(spec)
        self.position = 0

    def read(self, log: Log, now: float) -> None:
        """Apply all new records."""
        for record in log.records[self.position :]:
            self.position += 1
            self.apply(record, self.position, now)

    def apply(self, record: MoveRecord | LeaseRecord, offset: int, now: float) -> None:
        """Apply one record."""
        if isinstance(record, MoveRecord):
            changed = apply_version_record(self.state, record, offset)
            self.state = changed.value_or(self.state)


class DriverNode(Replica):
    """Run the driver of one instance, which is paused at times."""

    def __init__(
        self, name: str, spec: VersionMoveSpec, driver: Driver, random: Random
    ) -> None:
        super().__init__(spec)
        self.name = name
        self.driver = driver
        self.paused_until = 0.0
        self._random = random
        self._changes = 0
        self._retry: MoveRecord | None = None
        self._fenced: dict[str, int] = {}
        self._awaiting: dict[str, float] = {}

    def apply(self, record: MoveRecord | LeaseRecord, offset: int, now: float) -> None:
        """Apply one record to the move or to the lease."""
        if isinstance(record, LeaseRecord):
            self.driver.apply(record, offset, now)
        else:
            super().apply(record, offset, now)

    def act(self, run: "OperatorRun", is_owner: bool, now: float) -> None:
        """Read, claim, step and order as far as the driver allows."""
        self.driver.note_log(run.log.is_up(now))
        if run.log.is_up(now) and self._random.random() < 0.7:
            self.read(run.log, now)
        if self.driver.needs_claim(is_owner, now):
            self._append(run, self.driver.claim(self._name_change(), now), now)
        if self.driver.may_append(now):
            self._step(run, now)
        for target in run.targets:
            self._order(run, target, now)

    def _name_change(self) -> str:
        self._changes += 1
        return f"{self.name}-{self._changes}"

    def _append(
        self, run: "OperatorRun", record: MoveRecord | LeaseRecord, now: float
    ) -> None:
        try:
            run.log.append(record, now)
        except LostAnswerError:
            self._retry = record if isinstance(record, MoveRecord) else None

    def _step(self, run: "OperatorRun", now: float) -> None:
        retry, self._retry = self._retry, None
        if retry is not None and retry.expected_revision == self.state.revision:
            self._append(run, retry, now)
            return
        date = EPOCH + timedelta(seconds=now)
        step = decide_version_step(self.state, READY, date)
        if step is not None:
            change = self._name_change()
            self._append(run, build_step_record(self.state, step, change, date), now)

    def _order(self, run: "OperatorRun", target: Target, now: float) -> None:
        name = target.order_target.target_id
        if self.state.revision == 0 or now < self._awaiting.get(name, 0.0):
            return
        action = f"step-{self.state.revision}"
        fencing = self.driver.fencing
        if target.order_target.checks_fencing and self._fenced.get(name) != fencing:
            # Raises the number first, so that no order of an earlier driver can run
            # after the target's state was read.
            order = self.driver.make_order(target.order_target, "fence", "", now)
            if order is not None:
                target.execute(order)
                self._fenced[name] = fencing
            return
        if action in target.done:
            return
        order = self.driver.make_order(target.order_target, action, "v2", now)
        if order is not None:
            self._awaiting[name] = now + ORDER_SECONDS
            run.send(order, target, now)


class OperatorRun:
    """Run one move with drivers that fail over and operators that race."""

    def __init__(self, seed: int, driver_class: type[Driver] = SafeDriver) -> None:
        self._random = Random(f"operators-{seed}")
        self.result = OperatorResult()
        self.log = Log(self._random, self.result)
        spec = VersionMoveSpec(
            "move-1",
            "model",
            "v1",
            "v2",
            EPOCH,
            EPOCH + timedelta(seconds=RUN_SECONDS * 0.9),
            bake_time=timedelta(minutes=10),
            step_time_min=timedelta(seconds=30),
        )
        self.targets = [
            Target(OrderTarget("checks", True), self.result),
            Target(OrderTarget("ignores", False), self.result),
        ]
        self._nodes = []
        for number in range(DRIVERS):
            name = f"entry-{number}"
            driver = driver_class(
                LeaseView("move-1"), name, LEASE_SECONDS, ORDER_SECONDS
            )
            self._nodes.append(DriverNode(name, spec, driver, self._random))
        self._operators = [Replica(spec), Replica(spec)]
        self._observer = Replica(spec)
        self._owner = 0
        self._in_flight: list[tuple[float, Order, Target]] = []
        self._pending: list[MoveRecord] = []

    def send(self, order: Order, target: Target, now: float) -> None:
        """Deliver an order some time later, within the order's limit."""
        due = now + self._random.uniform(0, ORDER_SECONDS * 0.95)
        self._in_flight.append((due, order, target))

    def run(self) -> OperatorResult:
        """Run the whole time and return the measures."""
        now = 0.0
        while now < RUN_SECONDS:
            now += STEP_SECONDS
            self._deliver(now)
            self._disturb(now)
            for number, node in enumerate(self._nodes):
                if now >= node.paused_until:
                    # Instances disagree about the owner for some time.
                    believes = self._random.random() < 0.02
                    node.act(self, number == self._owner or believes, now)
            self._operate(now)
        self._check(now)
        return self.result

    def _deliver(self, now: float) -> None:
        due = [entry for entry in self._in_flight if entry[0] <= now]
        self._in_flight = [entry for entry in self._in_flight if entry[0] > now]
        for _, order, target in sorted(due, key=lambda entry: entry[0]):
            target.execute(order)

    def _disturb(self, now: float) -> None:
        random = self._random
        if random.random() < STEP_SECONDS / 60:
            self._owner = random.randrange(DRIVERS)
            self.result.takeovers += 1
        if random.random() < STEP_SECONDS / 40:
            random.choice(self._nodes).paused_until = now + random.uniform(1, 25)

    def _operate(self, now: float) -> None:
        random = self._random
        if not self.log.is_up(now):
            return
        for operator in self._operators:
            if random.random() < STEP_SECONDS / 15:
                operator.read(self.log, now)
            if random.random() < STEP_SECONDS / 45:
                self._pending.append(self._choose_change(operator, now))
        records, self._pending = self._pending, []
        for record in records:
            try:
                self.log.append(record, now)
            except LostAnswerError:
                self._pending.append(record)

    def _choose_change(self, operator: Replica, now: float) -> MoveRecord:
        state = operator.state
        held = state.held_phase
        phase = held if held is not None else VersionPhase.HELD
        if self._random.random() < 0.01:
            phase = VersionPhase.ROLLING_BACK
        change = f"operator-{now}-{id(operator) == id(self._operators[0])}"
        date = EPOCH + timedelta(seconds=now)
        return MoveRecord(
            "move-1", change, state.revision, phase, date, state.step, "operator"
        )

    def _check(self, now: float) -> None:
        applied: set[str] = set()
        ended = (VersionPhase.FINISHED, VersionPhase.ROLLED_BACK)
        state = self._observer.state
        for offset, record in enumerate(self.log.records, start=1):
            if isinstance(record, LeaseRecord):
                continue
            outcome = apply_version_record(state, record, offset)
            if not is_successful(outcome):
                self.result.refused += 1
                continue
            self.result.accepted += 1
            self.result.doubled += record.change_id in applied
            self.result.reverts += state.phase in ended
            applied.add(record.change_id)
            state = outcome.unwrap()
        for replica in (*self._nodes, *self._operators):
            replica.read(self.log, now)
            self.result.diverged += replica.state != state
        self.result.phase = state.phase
