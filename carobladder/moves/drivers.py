"""Leases and fencing numbers that allow one driver at a time for each move."""

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
    """Log record that claims or renews the lease on driving a move.

    ``expected_offset`` is the log offset of the previous lease, or the offset of the
    empty view if there is none. The offset of an accepted record is the fencing
    number of its holder. The log stores it as ``carobladder.resources.MoveLease``.
    """

    move_id: str
    change_id: str
    holder: str
    expected_offset: int


@dataclass(frozen=True, slots=True)
class LeaseView:
    """Newest accepted lease of a move, derived from the log."""

    move_id: str
    holder: str = ""
    offset: int = 0
    change_id: str = ""

    def apply(self, record: LeaseRecord, offset: int) -> "LeaseView":
        """Return the view after a record; a record with a stale offset is ignored."""
        if record.move_id != self.move_id or record.expected_offset != self.offset:
            return self
        return LeaseView(self.move_id, record.holder, offset, record.change_id)


@dataclass(frozen=True, slots=True)
class _Claim:
    """Pending claim: when it was sent and the offset of the lease that it follows."""

    sent: float
    expected_offset: int


@dataclass(frozen=True, slots=True)
class OrderTarget:
    """Target that accepts orders, and whether it checks fencing numbers."""

    target_id: str
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class Order:
    """Command to a target on behalf of a move.

    A target that checks ``fencing`` rejects a number below the highest it has seen.
    """

    target_id: str
    action: str
    version: str
    fencing: int


class DriverStatus(StrEnum):
    """Role of an instance in a move, as reported to operators."""

    NOT_OWNER = "not-owner"
    CLAIMING = "claiming"
    WAITING_OUT = "waiting-out"
    DRIVING = "driving"
    HELD_BY_LOG = "held-by-log"


class Driver:
    """Lease logic that decides whether one instance may drive a move now.

    All times are in monotonic seconds of this instance. A lease runs from when its
    append was sent, so the holder stops before any other instance may assume that
    the lease has expired. ``order_seconds`` is the longest time from sending an
    order to its effect, and ``drift_ratio`` the relative error allowed between the
    clocks of two instances.

    ``view`` is the lease in the snapshot that the instance started from, because
    the records before it may no longer be in the log.

    Raises MoveError if a lease is too short for orders.
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
        self._pending_claims: dict[str, _Claim] = {}
        self._lease_expires = -1.0
        self._exclusive_from = 0.0
        self._log_available = True

    @property
    def view(self) -> LeaseView:
        """Newest accepted lease."""
        return self._view

    @property
    def fencing(self) -> int:
        """Fencing number for orders under the current lease."""
        return self._view.offset

    def claim(self, change_id: str, now: float) -> LeaseRecord:
        """Return the record that claims or renews the lease, to append immediately."""
        self._drop_expired_claims(now)
        self._pending_claims[change_id] = _Claim(now, self._view.offset)
        return LeaseRecord(
            self._view.move_id, change_id, self._instance, self._view.offset
        )

    def apply(self, record: LeaseRecord, offset: int, now: float) -> None:
        """Apply a lease record of the log; call in offset order.

        A record takes effect even if the answer to its append was lost.
        """
        self.observe(self._view.apply(record, offset), now)

    def observe(self, view: LeaseView, now: float) -> None:
        """Update to the newest accepted lease; intermediate leases may be skipped.

        A claim of this instance is accepted only if it follows the lease that the
        instance knew when it made the claim, so no skipped lease can lie between
        two consecutive leases of its own.
        """
        if view.offset == self._view.offset:
            return
        previous, self._view = self._view, view
        claim = self._pending_claims.pop(view.change_id, None)
        if view.holder != self._instance or claim is None:
            # A claim made before a restart does not authorise this process.
            self._lease_expires = -1.0
            return
        self._lease_expires = claim.sent + self._lease_seconds
        if claim.expected_offset != self._own_offset:
            self._exclusive_from = now + self._takeover_wait_seconds(previous)
        self._own_offset = view.offset

    def note_log(self, available: bool) -> None:
        """Record whether the log answered the last call."""
        self._log_available = available

    def needs_claim(self, is_owner: bool, now: float) -> bool:
        """Return whether this instance should claim or renew the lease."""
        if not is_owner or not self._log_available:
            return False
        unanswered = [
            claim
            for claim in self._pending_claims.values()
            if now - claim.sent < self._order_seconds
        ]
        return not unanswered and now >= self._lease_expires - self._lease_seconds / 2

    def may_order(self, target: OrderTarget, now: float) -> bool:
        """Return whether an order may be sent to a target now.

        Check again immediately before sending: the process may have been paused.
        """
        if now + self._order_seconds >= self._lease_expires:
            return False
        return target.checks_fencing or now >= self._exclusive_from

    def may_append(self, now: float) -> bool:
        """Return whether the instance may append a step of the move now."""
        return self._log_available and now < self._lease_expires

    def make_order(
        self, target: OrderTarget, action: str, version: str, now: float
    ) -> Order | None:
        """Return an order with the fencing number, or None if none may be sent."""
        if not self.may_order(target, now):
            return None
        return Order(target.target_id, action, version, self.fencing)

    def status(self, is_owner: bool, now: float) -> DriverStatus:
        """Return the role of the instance in the move."""
        if not is_owner:
            return DriverStatus.NOT_OWNER
        if not self._log_available:
            return DriverStatus.HELD_BY_LOG
        if now >= self._lease_expires:
            return DriverStatus.CLAIMING
        waiting = now < self._exclusive_from
        return DriverStatus.WAITING_OUT if waiting else DriverStatus.DRIVING

    def _takeover_wait_seconds(self, previous: LeaseView) -> float:
        if not previous.holder:
            return 0.0
        # The previous lease started no later than when this claim was applied.
        return self._lease_seconds * (1 + self._drift_ratio)

    def _drop_expired_claims(self, now: float) -> None:
        self._pending_claims = {
            change_id: claim
            for change_id, claim in self._pending_claims.items()
            if now - claim.sent < self._lease_seconds
        }
