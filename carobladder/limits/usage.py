"""Recent requests of an instance by priority and team, offered and admitted."""

from collections.abc import Iterator
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

# Beyond this age all counts are 0; the limit keeps the powers finite.
_MAX_HALF_LIVES = 100.0

K = TypeVar("K", bound=int | str)


class DecayedCounts(Generic[K]):
    """Counts by key that halve with time; ``now`` is in monotonic seconds.

    They are kept in units that grow instead, so that an addition takes constant time
    whatever the number of keys.
    """

    def __init__(self) -> None:
        self._scaled: dict[K, float] = {}
        self._scaled_sum = 0.0
        self._started_at = 0.0
        self._pruned_at = 0.0

    def __len__(self) -> int:
        return len(self._scaled)

    def __iter__(self) -> Iterator[K]:
        return iter(self._scaled)

    def add(self, key: K, now: float) -> None:
        """Add one to the count of a key."""
        self._prune(now)
        unit = self._unit(now)
        self._scaled[key] = self._scaled.get(key, 0.0) + unit
        self._scaled_sum += unit

    def read(self, key: K, now: float) -> float:
        """Return the count of a key, 0 for an unknown one."""
        return self._scaled.get(key, 0.0) / self._unit(now)

    def read_sum(self, now: float) -> float:
        """Return the sum of all counts."""
        return self._scaled_sum / self._unit(now)

    def _unit(self, now: float) -> float:
        half_lives = (now - self._started_at) / _HALF_LIFE_SECONDS
        return 2.0 ** min(half_lives, _MAX_HALF_LIVES)

    def _prune(self, now: float) -> None:
        """Drop small counts once in a half-life, and start again with the unit 1."""
        if now - self._pruned_at < _HALF_LIFE_SECONDS:
            return
        unit = self._unit(now)
        counts = {key: value / unit for key, value in self._scaled.items()}
        self._scaled = {key: v for key, v in counts.items() if v >= _MIN_COUNT}
        self._scaled_sum = sum(self._scaled.values())
        self._started_at = self._pruned_at = now


class AdmissionRecord:
    """Offered, admitted and refused requests of one service at one instance."""

    def __init__(self) -> None:
        self._offered: DecayedCounts[int] = DecayedCounts()
        self._admitted: DecayedCounts[int] = DecayedCounts()
        self._refused: DecayedCounts[int] = DecayedCounts()
        # By priority, then by team.
        self._teams_offered: dict[int, DecayedCounts[str]] = {}
        self._teams_admitted: dict[int, DecayedCounts[str]] = {}

    def note_offered(self, priority: int, team: str, now: float) -> None:
        """Count a request that has arrived."""
        self._offered.add(priority, now)
        self._teams_offered.setdefault(priority, DecayedCounts()).add(team, now)

    def note_admitted(self, priority: int, team: str, now: float) -> None:
        """Count a request that is sent to a target."""
        self._admitted.add(priority, now)
        self._teams_admitted.setdefault(priority, DecayedCounts()).add(team, now)

    def note_refused(self, priority: int, now: float) -> None:
        """Count a request that was refused, by the instance or by its targets."""
        self._refused.add(priority, now)

    def compute_refused_share(self, now: float) -> float:
        """Return the recent share of refused requests."""
        offered = self._offered.read_sum(now)
        return self._refused.read_sum(now) / (offered + _ASSUMED_REQUESTS)

    def compute_urgency(self, priority: int, team: str, now: float) -> float:
        """Return the position of a request among the recent ones, 0 for the first.

        The priorities divide the range up to 1 evenly; a team above its share is in the
        second half of its priority.
        """
        priorities = sorted({*self._offered, priority})
        position = float(priorities.index(priority))
        if self.is_above_share(priority, team, now):
            position += 0.5
        return position / len(priorities)

    def is_above_share(self, priority: int, team: str, now: float) -> bool:
        """Return whether a team sends more of a priority than teams do on average."""
        teams = self._teams_offered.get(priority)
        if not teams:
            return False
        mean = teams.read_sum(now) / len(teams)
        return teams.read(team, now) > _SHARE_MULTIPLE * mean + _SHARE_SLACK_REQUESTS

    def read_team_use(self, priority: int, team: str, now: float) -> float:
        """Return the recently admitted requests of a team in a priority."""
        teams = self._teams_admitted.get(priority)
        return teams.read(team, now) if teams else 0.0

    def is_starved(self, priority: int, now: float) -> bool:
        """Return whether a priority gets less than its least share of admissions."""
        own = self._offered.read(priority, now)
        if own < _MIN_OFFERED:
            return False
        mean = self._admitted.read_sum(now) / self._offered.read_sum(now)
        return self._admitted.read(priority, now) / own < _MIN_SHARE_OF_MEAN * mean
