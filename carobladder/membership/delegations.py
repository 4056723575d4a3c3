"""Delegation of an instance's share of each target to one owner at a time."""

from dataclasses import dataclass

__all__ = ["MOVE_LEASES", "Delegator"]

# An owner may grant an allowance until the last moment of a delegation, and the
# allowance is valid for one more lease. A share therefore moves after two leases.
MOVE_LEASES = 2


@dataclass(slots=True)
class _Delegation:
    owner: str
    sent_at: float


class Delegator:
    """Decide to which owner this instance may delegate its share of a target."""

    def __init__(self, lease_seconds: float, started: float) -> None:
        self._move_seconds = MOVE_LEASES * lease_seconds
        self._started = started
        self._delegations: dict[str, _Delegation] = {}

    def choose(self, target_id: str, owner: str | None, now: float) -> str | None:
        """Return the owner to delegate to now, or None while a move must wait.

        A previous incarnation of this instance may have delegated until it stopped.
        After a start the wait is therefore as long as for a move.
        """
        if owner is None or now < self._started + self._move_seconds:
            return None
        current = self._delegations.get(target_id)
        if current is None or current.owner == owner:
            return owner
        if now < current.sent_at + self._move_seconds:
            return None
        return owner

    def mark_sent(self, target_id: str, owner: str, now: float) -> None:
        """Record that a delegation is sent now; call it before the sending."""
        self._delegations[target_id] = _Delegation(owner, now)

    def prune(self, keep: set[str], now: float) -> None:
        """Drop the expired delegations of targets outside ``keep``."""
        for target_id, delegation in list(self._delegations.items()):
            expired = now >= delegation.sent_at + self._move_seconds
            if target_id not in keep and expired:
                del self._delegations[target_id]
