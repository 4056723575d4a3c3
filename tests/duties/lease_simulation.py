"""Instances, a store and the platform's API in virtual time, with their faults."""

from copy import deepcopy
from dataclasses import dataclass, field

from carobladder.duties import DutyLease, DutyWrite
from carobladder.fleet import KeyedPage, KeyedRecord

LEASE_SECONDS = 3.0
CALL_SECONDS = 0.5
WINDOW_SECONDS = 5.0
CLOCK_TOLERANCE_SECONDS = 0.5


class SimulatedTopic:
    """Keyed topic with conditional appends, copies and eras."""

    def __init__(self) -> None:
        self.era = 1
        self.end = 0
        self.values: dict[str, tuple[int, bytes]] = {}
        self.copies: list[tuple[int, dict[str, tuple[int, bytes]]]] = []

    def read(self) -> KeyedPage:
        """Return the newest records."""
        records = tuple(
            KeyedRecord(offset, key, value)
            for key, (offset, value) in sorted(self.values.items())
            if value
        )
        return KeyedPage(records, self.end, self.end, self.era)

    def append(self, write: DutyWrite) -> bool:
        """Append the records if the topic ends as expected."""
        if write.expected_end != self.end:
            return False
        for key, value in write.records:
            self.values[key] = (self.end, value)
            self.end += 1
        return True

    def take_copy(self) -> None:
        """Keep a copy."""
        self.copies.append((self.end, deepcopy(self.values)))

    def restore(self, index: int) -> None:
        """Go back to a copy and begin a new era."""
        self.end, self.values = deepcopy(self.copies[index % len(self.copies)])
        self.era += 1


@dataclass
class Operation:
    """Call of an instance to the topic; ``write`` is None for a read."""

    sent_at: float
    write: DutyWrite | None
    era: int = 0
    accepted: bool | None = None
    page: KeyedPage | None = None


@dataclass
class Member:
    """One run of an instance."""

    name: str
    lease: DutyLease
    operation: Operation | None = None


@dataclass
class Arrival:
    """Call that arrives at the platform's API."""

    at: float
    name: str
    token: int
    window: int | None
    counts: dict[str, int] = field(default_factory=dict)
    is_late: bool = False


class Judge:
    """API of the platform that notes violations of the safety rules."""

    def __init__(self, *, is_enforced: bool) -> None:
        self.violations: list[str] = []
        self.holders: set[str] = set()
        self._is_enforced = is_enforced
        self._highest = 0
        self._senders: dict[int, str] = {}
        self._recent: list[tuple[float, str]] = []
        self._reports: dict[int, dict[str, int]] = {}

    def receive(self, arrival: Arrival) -> int:
        """Execute a call and return its status."""
        sender = self._senders.setdefault(arrival.token, arrival.name)
        if sender != arrival.name:
            self.violations.append("two holders with one token")
        if not arrival.is_late:
            self._check_order(arrival)
        if self._is_enforced and arrival.token < self._highest:
            return 409
        self._highest = max(self._highest, arrival.token)
        if arrival.window is not None:
            known = self._reports.setdefault(arrival.window, arrival.counts)
            if known != arrival.counts:
                self.violations.append("two different counts for one window")
        return 200

    def _check_order(self, arrival: Arrival) -> None:
        if arrival.token < self._highest:
            self.violations.append("a lower token than one already seen")
        self.holders.add(arrival.name)
        self._recent = [
            (at, name) for at, name in self._recent if arrival.at - at < LEASE_SECONDS
        ]
        names = [name for _, name in self._recent]
        if arrival.name in names:
            since = names[names.index(arrival.name) :]
            if any(name != arrival.name for name in since):
                self.violations.append("the order A, B, A within the lease")
        self._recent.append((arrival.at, arrival.name))


class LeaseSimulation:
    """Members that share a topic; every step of a call is a method of its own."""

    def __init__(self, lease_class=DutyLease, *, is_enforced: bool = False) -> None:
        self.now = 100.0
        self.topic = SimulatedTopic()
        self.topic.take_copy()
        self.judge = Judge(is_enforced=is_enforced)
        self.lost_writes: list[DutyWrite] = []
        self.unanswered_calls: list[Arrival] = []
        self._arrivals: list[Arrival] = []
        self._lease_class = lease_class
        self._runs = 0
        self._counts = 0
        self.members = [self._build_member(name) for name in ("a", "b", "c")]

    def _build_member(self, name: str) -> Member:
        self._runs += 1
        return Member(name, self._lease_class(name, self._runs, LEASE_SECONDS))

    def advance(self, seconds: float) -> None:
        """Let time pass; all members that do nothing meanwhile are paused."""
        self.now += seconds
        due = [arrival for arrival in self._arrivals if arrival.at <= self.now]
        self._arrivals = [a for a in self._arrivals if a.at > self.now]
        for arrival in sorted(due, key=lambda arrival: arrival.at):
            status = self.judge.receive(arrival)
            if status == 409:
                for member in self.members:
                    if member.name == arrival.name:
                        member.lease.note_refused(arrival.token)

    def restart(self, index: int) -> None:
        """Replace a member by a new run without memory."""
        member = self.members[index]
        if member.operation is not None and member.operation.write is not None:
            self.lost_writes.append(member.operation.write)
        self.members[index] = self._build_member(member.name)

    def begin(self, index: int, kind: str, windows_back: int) -> None:
        """Send a call to the topic, a read if its contents are not known."""
        member = self.members[index]
        lease = member.lease
        if member.operation is not None:
            return
        write = None
        if lease.log is not None:
            write = self._plan(lease, kind, windows_back)
            if write is None:
                return
        member.operation = Operation(self.now, write)

    def _plan(self, lease: DutyLease, kind: str, back: int) -> DutyWrite | None:
        if kind == "term":
            heard_at = lease.era_heard_at + CLOCK_TOLERANCE_SECONDS
            return lease.plan_term(int(heard_at // WINDOW_SECONDS))
        if not lease.is_holder:
            return None
        if kind == "release":
            return lease.plan_release(
                self.now, is_certain=not self._has_pending_call(lease)
            )
        if kind == "usage" and lease.is_ready(self.now):
            self._counts += 1
            counts = {"team": self._counts}
            return lease.plan_usage(self._find_ended_window(back), counts)
        return lease.plan_proof()

    def _has_pending_call(self, lease: DutyLease) -> bool:
        calls = (*self._arrivals, *self.unanswered_calls)
        return any(call.token == lease.token for call in calls)

    def _find_ended_window(self, back: int) -> int:
        ended = self.now - CLOCK_TOLERANCE_SECONDS
        return int(ended // WINDOW_SECONDS) - 1 - back

    def execute(self, index: int) -> None:
        """Execute the call at the store."""
        operation = self.members[index].operation
        if operation is None or operation.era:
            return
        operation.era = self.topic.era
        if operation.write is None:
            operation.page = self.topic.read()
        else:
            operation.accepted = self.topic.append(operation.write)

    def answer(self, index: int) -> None:
        """Deliver the answer of an executed call."""
        member = self.members[index]
        operation = member.operation
        if operation is None or not operation.era:
            return
        member.operation = None
        if operation.page is not None:
            member.lease.read_page(operation.page, operation.sent_at, self.now)
        elif operation.write is not None and operation.accepted:
            member.lease.note_accepted(
                operation.write, operation.era, operation.sent_at, self.now
            )
        else:
            member.lease.note_unknown()

    def lose(self, index: int) -> None:
        """Lose the call or its answer; a lost append may still be executed."""
        member = self.members[index]
        if member.operation is None:
            return
        if member.operation.write is not None:
            self.lost_writes.append(member.operation.write)
            member.lease.note_unknown()
        member.operation = None

    def perform(self, index: int, kind: str, windows_back: int = 0) -> None:
        """Send, execute and answer a call without a fault."""
        self.begin(index, kind, windows_back)
        self.execute(index)
        self.answer(index)

    def call(self, index: int, windows_back: int, delay: float, *, lost: bool) -> None:
        """Send a call to the platform's API if the lease allows it."""
        member = self.members[index]
        lease = member.lease
        if lease.token is None or not lease.may_call(self.now, CALL_SECONDS):
            return
        window, counts = None, {}
        record = None
        if lease.log is not None:
            record = lease.log.find_usage(self._find_ended_window(windows_back))
        if record is not None:
            window, counts = record.window, record.counts
        arrival = Arrival(self.now + delay, member.name, lease.token, window, counts)
        if lost:
            arrival.is_late = True
            self.unanswered_calls.append(arrival)
        else:
            self._arrivals.append(arrival)
            self.advance(0.0)

    def execute_unanswered_call(self, position: int) -> None:
        """Let a call without an answer arrive late."""
        if self.unanswered_calls:
            position %= len(self.unanswered_calls)
            arrival = self.unanswered_calls.pop(position)
            self.judge.receive(arrival)

    def repeat_write(self, position: int) -> None:
        """Execute a lost append late, or once more."""
        if self.lost_writes:
            self.topic.append(self.lost_writes[position % len(self.lost_writes)])
