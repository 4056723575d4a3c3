"""Counts of one deployment's run and the verdict on them."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

__all__ = ["KindTally", "LoadSamples", "RunTally", "count_doubled", "judge_bookings"]

# Below this mean the ratio says more about single requests than about balance.
_LEAST_MEAN_SLOTS = 4.0
# The design page bounds an engine's load by the multiple times the mean plus one
# request; the largest request takes 4 slots.
_LOAD_MULTIPLE = 1.25
_LARGEST_REQUEST_SLOTS = 4


@dataclass(slots=True)
class KindTally:
    """Count the requests of one kind.

    ``retries`` counts calls repeated after a refusal or a lost answer.
    """

    requests: int = 0
    whole: int = 0
    refusals: int = 0
    retries: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_token_seconds: list[float] = field(default_factory=list)

    @property
    def reuse(self) -> float:
        """Return the share of prompt tokens that came from a cache."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    def first_token_ms(self, share: float) -> float:
        """Return the given quantile of the time to the first token."""
        ordered = sorted(self.first_token_seconds)
        if not ordered:
            return 0.0
        return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(slots=True)
class LoadSamples:
    """Collect the ratio of the most loaded engine to the mean, in slots.

    ``over_bound`` counts the samples whose greatest load is over the bound of the
    design page. Engines are read one after the other, so a sample is not exact.
    """

    ratios: list[float] = field(default_factory=list)
    over_bound: int = 0

    def add(self, slots: list[int]) -> None:
        """Add the slots in flight of all engines at one moment."""
        mean = sum(slots) / len(slots) if slots else 0.0
        if mean >= _LEAST_MEAN_SLOTS:
            self.ratios.append(max(slots) / mean)
            bound = _LOAD_MULTIPLE * mean + _LARGEST_REQUEST_SLOTS
            self.over_bound += max(slots) > bound

    @property
    def mean(self) -> float:
        """Return the mean ratio, or 0 without samples."""
        return sum(self.ratios) / len(self.ratios) if self.ratios else 0.0

    @property
    def peak(self) -> float:
        """Return the greatest ratio, or 0 without samples."""
        return max(self.ratios, default=0.0)


@dataclass(slots=True)
class RunTally:
    """Collect what a run did; ``booked`` maps each item to its booking id.

    ``reordered`` counts items ordered under a further key after an unknown outcome.
    """

    kinds: dict[str, KindTally] = field(default_factory=dict)
    load: LoadSamples = field(default_factory=LoadSamples)
    booked: dict[str, str] = field(default_factory=dict)
    wanted: set[str] = field(default_factory=set)
    effects: list[dict[str, Any]] = field(default_factory=list)
    cold_excess: int = 0
    reordered: int = 0
    failures: list[str] = field(default_factory=list)

    def kind(self, name: str) -> KindTally:
        """Return the tally of a kind of requests."""
        return self.kinds.setdefault(name, KindTally())

    def fail(self, text: str) -> None:
        """Record a failure of the run."""
        self.failures.append(text)

    def list_failures(self) -> list[str]:
        """Return all failures, those of answers and bookings included."""
        cut = [
            f"{name}: {tally.requests - tally.whole} of {tally.requests} answers "
            "were not whole"
            for name, tally in self.kinds.items()
            if tally.whole < tally.requests
        ]
        bookings = judge_bookings(self.wanted, self.booked, self.effects)
        return [*self.failures, *cut, *bookings]


def count_doubled(effects: list[dict[str, Any]]) -> int:
    """Return the number of items that were booked more than once."""
    counts = Counter(effect["item"] for effect in effects)
    return sum(count > 1 for count in counts.values())


def judge_bookings(
    wanted: set[str], booked: dict[str, str], effects: list[dict[str, Any]]
) -> list[str]:
    """Compare what callers were told with the effects at the services."""
    found: dict[str, list[str]] = {}
    for effect in effects:
        found.setdefault(effect["item"], []).append(effect["booking"])
    failures = []
    for item in sorted(wanted | found.keys()):
        bookings = found.get(item, [])
        if len(bookings) > 1:
            failures.append(f"booking {item} ran {len(bookings)} times: {bookings}")
        if item not in wanted:
            failures.append(f"booking {item} was not ordered")
        elif not bookings:
            failures.append(f"booking {item} is missing")
        elif booked.get(item) not in bookings:
            told = booked.get(item, "nothing")
            failures.append(f"booking {item}: caller was told {told}")
    return failures
