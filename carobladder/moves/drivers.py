"""One giver of orders at a time for each move."""

from dataclasses import dataclass
from enum import StrEnum

from carobladder.moves.records import MoveError

__all__ = [
    "Driver",
    "DriverStatus",
    "LeaseRecord",
    "LeaseView",
    "Order",
    "OrderTarget",
]


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Claim or renew the right to drive a move.

    ``expected_offset`` is the log offset of the lease before, that of the empty view
    if there is none. The offset of an accepted record is the fencing number of its
    holder. The form in the log is ``MoveLease`` of ``carobladder.resources``.
    """

    move_id: str
    change_id: str
    holder: str
    expected_offset: int


@dataclass(frozen=True, slots=True)
class LeaseView:
    """Hold the newest accepted lease of a move, as derived from the log."""

    move_id: str
    holder: str = ""
    offset: int = 0
    change_id: str = ""

    def apply(self, record: LeaseRecord, offset: int) -> "LeaseView":
        """Return the view after a record; one with a stale offset has no effect."""
        if record.move_id != self.move_id or record.expected_offset != self.offset:
            return self
        return LeaseView(self.move_id, record.holder, offset, record.change_id)


@dataclass(frozen=True, slots=True)
class _Claim:
    """Remember when a claim was sent and which lease it follows."""

    sent: float
    expected_offset: int


@dataclass(frozen=True, slots=True)
class OrderTarget:
    """Name a target that takes orders and whether it checks fencing numbers."""

    target_id: str
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class Order:
    """Tell a target to do something on behalf of a move.

    A target that checks ``fencing`` rejects a number below the highest it has seen.
    """

    target_id: str
    action: str
    version: str
    fencing: int


class DriverStatus(StrEnum):
    """Name what an instance may do for a move, as reported to operators."""

    NOT_OWNER = "not-owner"
    CLAIMING = "claiming"
    WAITING_OUT = "waiting-out"
    DRIVING = "driving"
    HELD_BY_LOG = "held-by-log"


class Driver:
    """Decide on one instance whether it may drive a move now.

    All times are monotonic seconds of this instance. A lease counts from when its
    append was sent, so the holder always stops before anyone else may assume that
    it has. ``order_seconds`` is the longest time that an order is under way.

    ``view`` is the lease in the snapshot that the instance started from, because
    the records before it may no longer be in the log.
    """

    def __init__(
        self,
        view: LeaseView,
        instance: str,
        lease_seconds: float = 10.0,
        order_seconds: float = 2.0,
        drift_ratio: float = 0.01,
    ) -> None:
        if lease_seconds <= 2 * order_seconds:
            raise MoveError("lease_seconds must exceed twice order_seconds; raise it")
        self._instance = instance
        self._lease_seconds = lease_seconds
        self._order_seconds = order_seconds
        self._drift_ratio = drift_ratio
        self._view = view
        self._own_offset: int | None = None
        self._sent: dict[str, _Claim] = {}
        self._until = -1.0
        self._sole_from = 0.0
        self._log_up = True

    @property
    def view(self) -> LeaseView:
        """Return the newest accepted lease."""
        return self._view

    @property
    def fencing(self) -> int:
        """Return the number for orders of the present lease."""
        return self._view.offset

    def claim(self, change_id: str, now: float) -> LeaseRecord:
        """Return the record that claims or renews the lease; append it at once."""
        self._forget_old_claims(now)
        self._sent[change_id] = _Claim(now, self._view.offset)
        return LeaseRecord(
            self._view.move_id, change_id, self._instance, self._view.offset
        )

    def apply(self, record: LeaseRecord, offset: int, now: float) -> None:
        """Apply a record of the log in offset order.

        A record whose append lost its answer takes effect here all the same.
        """
        self.observe(self._view.apply(record, offset), now)

    def observe(self, view: LeaseView, now: float) -> None:
        """Take the newest accepted lease; leases in between may be unseen.

        A claim of this instance is only accepted if it follows the lease that the
        instance knew when it made the claim, so an unseen lease cannot lie between
        two leases of its own.
        """
        if view.offset == self._view.offset:
            return
        before, self._view = self._view, view
        claim = self._sent.pop(view.change_id, None)
        if view.holder != self._instance or claim is None:
            # A record of an earlier run of this instance gives this run no right.
            self._until = -1.0
            return
        self._until = claim.sent + self._lease_seconds
        if claim.expected_offset != self._own_offset:
            self._sole_from = now + self._wait_seconds(before)
        self._own_offset = view.offset

    def note_log(self, up: bool) -> None:
        """Record whether the last call of the log was answered."""
        self._log_up = up

    def needs_claim(self, is_owner: bool, now: float) -> bool:
        """Return whether the owner of the move should claim or renew."""
        if not is_owner or not self._log_up:
            return False
        pending = [
            claim
            for claim in self._sent.values()
            if now - claim.sent < self._order_seconds
        ]
        return not pending and now >= self._until - self._lease_seconds / 2

    def may_order(self, target: OrderTarget, now: float) -> bool:
        """Return whether an order may be written to a target at this moment.

        Check again immediately before writing: the instance may have been paused.
        """
        if now + self._order_seconds >= self._until:
            return False
        return target.checks_fencing or now >= self._sole_from

    def may_append(self, now: float) -> bool:
        """Return whether the instance may append a step of the move."""
        return self._log_up and now < self._until

    def make_order(
        self, target: OrderTarget, action: str, version: str, now: float
    ) -> Order | None:
        """Return an order with the fencing number, or None if it is not allowed."""
        if not self.may_order(target, now):
            return None
        return Order(target.target_id, action, version, self.fencing)

    def status(self, is_owner: bool, now: float) -> DriverStatus:
        """Return what the instance does for the move."""
        if not is_owner:
            return DriverStatus.NOT_OWNER
        if not self._log_up:
            return DriverStatus.HELD_BY_LOG
        if now >= self._until:
            return DriverStatus.CLAIMING
        waiting = now < self._sole_from
        return DriverStatus.WAITING_OUT if waiting else DriverStatus.DRIVING

    def _wait_seconds(self, before: LeaseView) -> float:
        if not before.holder:
            return 0.0
        # The lease before began at the latest when this claim was applied.
        return self._lease_seconds * (1 + self._drift_ratio)

    def _forget_old_claims(self, now: float) -> None:
        self._sent = {
            change_id: claim
            for change_id, claim in self._sent.items()
            if now - claim.sent < self._lease_seconds
        }
