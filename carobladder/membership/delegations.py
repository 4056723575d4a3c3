"""Delegation of an instance's share of each target to one owner at a time."""

from dataclasses import dataclass

__all__ = ["MOVE_LEASES", "Delegator"]

# An owner may hand out an allowance until the last moment of a delegation, and
# the allowance lives one lease longer, so a share moves after two leases.
MOVE_LEASES = 2


@dataclass(slots=True)
class _Delegation:
    owner: str
    sent: float


class Delegator:
    """Decide to whom this instance may delegate its share of a target now."""

    def __init__(self, lease_seconds: float, started: float) -> None:
        self._move_seconds = MOVE_LEASES * lease_seconds
        self._started = started
        self._delegations: dict[str, _Delegation] = {}

    def choose(self, target_id: str, owner: str | None, now: float) -> str | None:
        """Return the owner to delegate to now, or None while a move must wait.

        An earlier incarnation of this instance may have delegated until it
        stopped, so that a new one waits as long as a move.
        """
        if owner is None or now < self._started + self._move_seconds:
            return None
        current = self._delegations.get(target_id)
        if current is None or current.owner == owner:
            return owner
        if now < current.sent + self._move_seconds:
            return None
        return owner

    def mark_sent(self, target_id: str, owner: str, now: float) -> None:
        """Record that a delegation leaves now; call it before sending."""
        self._delegations[target_id] = _Delegation(owner, now)

    def forget(self, keep: set[str], now: float) -> None:
        """Drop expired delegations of targets that no longer exist."""
        for target_id, delegation in list(self._delegations.items()):
            expired = now >= delegation.sent + self._move_seconds
            if target_id not in keep and expired:
                del self._delegations[target_id]
