"""Recent requests of an instance by priority and team, offered and admitted."""

from typing import Generic, TypeVar

__all__ = ["AdmissionRecord", "DecayedCounts"]

# Requests count half after this time. A team's surge shows within a second, and an
# instance of a large fleet still sees some ten requests of a service in it.
_HALF_LIFE_SECONDS = 3.0
# Counts below this are dropped, so that nothing grows with past teams.
_MIN_COUNT = 0.02
# A priority whose share of admitted requests falls below this part of the mean goes
# first. The operators' bound is a quarter.
_MIN_SHARE_OF_MEAN = 0.3
# A team is above its share from this multiple of the mean team on, and a few requests.
# Smaller values would also hit teams whose requests come in clumps.
_SHARE_MULTIPLE = 1.5
_SHARE_SLACK_REQUESTS = 3.0
# Fewer offered requests of a priority say nothing about its share of admitted ones.
_MIN_OFFERED = 2.0
# Requests without a refusal that are assumed, so that the first refusal of an instance
# with few requests does not count as an overload.
_ASSUMED_REQUESTS = 3.0

K = TypeVar("K", bound=int | str | tuple[int, str])


class DecayedCounts(Generic[K]):
    """Counts by key that halve with time; ``now`` is in monotonic seconds."""

    def __init__(self, half_life_seconds: float = _HALF_LIFE_SECONDS) -> None:
        self._half_life_seconds = half_life_seconds
        self._counts: dict[K, float] = {}
        self._decayed_at = float("-inf")

    def add(self, key: K, now: float) -> None:
        """Add one to the count of a key."""
        counts = self.read_all(now)
        counts[key] = counts.get(key, 0.0) + 1.0

    def read(self, key: K) -> float:
        """Return the count of a key as of the last time, 0 for an unknown one."""
        return self._counts.get(key, 0.0)

    def read_all(self, now: float) -> dict[K, float]:
        """Return the counts by key."""
        if now > self._decayed_at:
            factor = 0.5 ** ((now - self._decayed_at) / self._half_life_seconds)
            self._decayed_at = now
            self._counts = {
                key: count * factor
                for key, count in self._counts.items()
                if count * factor >= _MIN_COUNT
            }
        return self._counts


class AdmissionRecord:
    """Offered, admitted and refused requests of one service at one instance."""

    def __init__(self) -> None:
        self._offered: DecayedCounts[int] = DecayedCounts()
        self._admitted: DecayedCounts[int] = DecayedCounts()
        self._refused: DecayedCounts[int] = DecayedCounts()
        self._teams_offered: DecayedCounts[tuple[int, str]] = DecayedCounts()
        self._teams_admitted: DecayedCounts[tuple[int, str]] = DecayedCounts()

    def note_offered(self, priority: int, team: str, now: float) -> None:
        """Count a request that has arrived."""
        self._offered.add(priority, now)
        self._teams_offered.add((priority, team), now)

    def note_admitted(self, priority: int, team: str, now: float) -> None:
        """Count a request that is sent to a target."""
        self._admitted.add(priority, now)
        self._teams_admitted.add((priority, team), now)

    def note_refused(self, priority: int, now: float) -> None:
        """Count a request that was refused, by the instance or by its targets."""
        self._refused.add(priority, now)

    def compute_refused_share(self, now: float) -> float:
        """Return the recent share of refused requests."""
        offered = sum(self._offered.read_all(now).values())
        refused = sum(self._refused.read_all(now).values())
        return refused / (offered + _ASSUMED_REQUESTS)

    def compute_urgency(self, priority: int, team: str, now: float) -> float:
        """Return the position of a request among the recent ones, 0 for the first.

        The priorities divide the range up to 1 evenly; a team above its share is in the
        second half of its priority.
        """
        priorities = sorted({*self._offered.read_all(now), priority})
        position = priorities.index(priority) + 0.5 * self.is_above_share(
            priority, team, now
        )
        return position / len(priorities)

    def is_above_share(self, priority: int, team: str, now: float) -> bool:
        """Return whether a team sends more of a priority than teams do on average."""
        teams = self._teams_offered.read_all(now)
        counts = [count for key, count in teams.items() if key[0] == priority]
        mean = sum(counts) / len(counts) if counts else 0.0
        own = teams.get((priority, team), 0.0)
        return own > _SHARE_MULTIPLE * mean + _SHARE_SLACK_REQUESTS

    def read_team_use(self, priority: int, team: str) -> float:
        """Return the recently admitted requests of a team in a priority."""
        return self._teams_admitted.read((priority, team))

    def is_starved(self, priority: int, now: float) -> bool:
        """Return whether a priority gets less than its least share of admissions."""
        offered = self._offered.read_all(now)
        own = offered.get(priority, 0.0)
        if own < _MIN_OFFERED:
            return False
        admitted = self._admitted.read_all(now)
        mean = sum(admitted.values()) / sum(offered.values())
        return admitted.get(priority, 0.0) / own < _MIN_SHARE_OF_MEAN * mean
