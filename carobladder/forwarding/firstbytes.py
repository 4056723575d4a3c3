"""Recent times to the first byte of the answers of each route."""

from array import array
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["FirstByteTimes", "RecentTimes"]

# Samples of a route that are kept, for how long they count, and how many are needed.
_MAX_SAMPLES = 128
_MAX_AGE_SECONDS = 60.0
_MIN_SAMPLES = 20
# Routes that are kept; a full one takes 2 KB.
_MAX_ROUTES = 2000


@dataclass(frozen=True, slots=True)
class RecentTimes:
    """Median and a high quantile of recent times to the first byte, in seconds."""

    median: float
    quantile: float


@dataclass(slots=True)
class _Samples:
    """Ring of the newest samples and of the times at which they were taken."""

    seconds: "array[float]" = field(default_factory=lambda: array("d"))
    taken_at: "array[float]" = field(default_factory=lambda: array("d"))
    next_index: int = 0

    def add(self, seconds: float, now: float) -> None:
        if len(self.seconds) < _MAX_SAMPLES:
            self.seconds.append(seconds)
            self.taken_at.append(now)
            return
        self.seconds[self.next_index] = seconds
        self.taken_at[self.next_index] = now
        self.next_index = (self.next_index + 1) % _MAX_SAMPLES

    def list_recent(self, since: float) -> list[float]:
        pairs = zip(self.seconds, self.taken_at, strict=True)
        return sorted(seconds for seconds, taken_at in pairs if taken_at >= since)


class FirstByteTimes:
    """Newest times to the first byte by route, in bounded memory."""

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _Samples] = OrderedDict()

    def __len__(self) -> int:
        return len(self._routes)

    def note(self, route: str, seconds: float, now: float) -> None:
        """Add the time to the first byte of an answer; ``now`` is monotonic."""
        samples = self._routes.get(route)
        if samples is None:
            samples = self._routes[route] = _Samples()
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        samples.add(seconds, now)
        self._routes.move_to_end(route)

    def find(self, route: str, quantile: float, now: float) -> RecentTimes | None:
        """Return the recent times of a route, or None if there are too few."""
        samples = self._routes.get(route)
        if samples is None:
            return None
        recent = samples.list_recent(now - _MAX_AGE_SECONDS)
        count = len(recent)
        if count < _MIN_SAMPLES:
            return None
        index = min(count - 1, int(quantile * count))
        return RecentTimes(recent[count // 2], recent[index])
