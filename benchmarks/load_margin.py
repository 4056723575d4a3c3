"""Count requests to targets above the load bound from the log lines of a play.

``python -m benchmarks.load_margin PLAY...`` prints a table with a row for each service
of each play. A play is the output of the bench with ``--log all``: each line has the
simulated time in front. The loads are counted from the lines of all instances, so they
are those that the targets held, not the estimates of an instance.
"""

import argparse
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from pathlib import Path

from carobladder.explain.lines import LogLine, parse_log_lines

__all__ = ["Arrival", "count_arrivals", "find_worst_window", "render_table"]

LOAD_MULTIPLE = 2.0
TOLERATED_REQUESTS = 3
WINDOW_SECONDS = 5.0
# A target that this part of the instances no longer knows is gone.
_GONE_FRACTION = 0.5
_ENDS = frozenset(
    {
        "request_answered",
        "stream_broken",
        "caller_left",
        "request_refused",
        "attempt_failed",
    }
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that was sent to a target.

    ``held`` are the other requests at the target, ``expected`` the number by the
    instance's estimate, None if it was unknown, and ``bound`` the number allowed.
    """

    at_seconds: float
    service: str
    held: int
    expected: float | None
    bound: float

    @property
    def is_above(self) -> bool:
        """Whether the target held more than allowed."""
        return self.held > self.bound

    @property
    def was_known(self) -> bool:
        """Whether the instance expected more than is allowed."""
        return self.expected is not None and self.expected > self.bound


@dataclass(slots=True)
class _Fleet:
    """Targets and requests in flight, as the lines of all instances tell."""

    services: dict[str, str] = field(default_factory=dict)
    in_flight: Counter[str] = field(default_factory=Counter)
    placed: dict[str, str] = field(default_factory=dict)
    instances: set[str] = field(default_factory=set)
    gone: dict[str, set[str]] = field(default_factory=dict)

    def take(self, at_seconds: float, line: LogLine) -> Arrival | None:
        """Apply a line; return the arrival if it tells of one."""
        self.instances.add(line.instance)
        if line.event == "target_seen":
            self.services[line.fields["target"]] = line.fields["service"]
            self.gone.pop(line.fields["target"], None)
        elif line.event == "target_gone":
            self.gone.setdefault(line.fields["target"], set()).add(line.instance)
        elif line.event in _ENDS:
            self._end(line.fields.get("request_id", ""))
        elif line.event == "request_placed":
            return self._place(at_seconds, line)
        return None

    def _end(self, request_id: str) -> None:
        target = self.placed.pop(request_id, None)
        if target is not None:
            self.in_flight[target] -= 1

    def _place(self, at_seconds: float, line: LogLine) -> Arrival:
        request_id, target = line.fields["request_id"], line.fields["target"]
        self._end(request_id)
        service = line.fields["service"]
        load = line.fields.get("load")
        arrival = Arrival(
            at_seconds,
            service,
            self.in_flight[target],
            None if load is None else load - 1.0,
            LOAD_MULTIPLE * self._compute_mean(service, target) + TOLERATED_REQUESTS,
        )
        self.placed[request_id] = target
        self.in_flight[target] += 1
        return arrival

    def _compute_mean(self, service: str, target: str) -> float:
        members = {name for name, of in self.services.items() if of == service}
        members = {name for name in members if not self._is_gone(name)} | {target}
        return sum(self.in_flight[name] for name in members) / len(members)

    def _is_gone(self, target: str) -> bool:
        reports = len(self.gone.get(target, ()))
        return reports >= _GONE_FRACTION * len(self.instances)


def count_arrivals(texts: Iterable[str]) -> list[Arrival]:
    """Return the requests that a play's lines tell of, in the order of their times."""
    fleet = _Fleet()
    found = (fleet.take(at, line) for at, line in sorted(_read(texts), key=_get_time))
    return [arrival for arrival in found if arrival is not None]


def find_worst_window(arrivals: Sequence[Arrival]) -> tuple[int, int, float]:
    """Return the most requests above the bound in five seconds.

    The other two values are all requests of this window and its end in seconds.
    """
    times = [arrival.at_seconds for arrival in arrivals]
    above = [0, *accumulate(arrival.is_above for arrival in arrivals)]
    windows = []
    for index, end in enumerate(times):
        first = bisect_right(times, end - WINDOW_SECONDS)
        count = above[index + 1] - above[first]
        windows.append((count, index + 1 - first, end))
    return max(windows, default=(0, 0, 0.0))


def render_table(plays: dict[str, Sequence[Arrival]]) -> str:
    """Return a row for each service of each play."""
    lines = [
        "| play | service | requests | above the bound | of these known | "
        "worst five seconds |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, arrivals in plays.items():
        for service in sorted({arrival.service for arrival in arrivals}):
            own = [arrival for arrival in arrivals if arrival.service == service]
            above = [arrival for arrival in own if arrival.is_above]
            known = sum(arrival.was_known for arrival in above)
            count, total, end = find_worst_window(own)
            lines.append(
                f"| {name} | {service} | {len(own)} | {len(above)} | {known} | "
                f"{count} of {total} until {end:.1f} s |"
            )
    return "\n".join(lines)


def _read(texts: Iterable[str]) -> Iterator[tuple[float, LogLine]]:
    """Yield the lines that have a time in front, with this time in seconds."""
    kept = list(texts)
    for line in parse_log_lines(kept):
        front = kept[line.order].split(maxsplit=1)[0]
        try:
            yield float(front), line
        except ValueError:
            continue


def _get_time(item: tuple[float, LogLine]) -> float:
    return item[0]


def main() -> None:
    """Print the table of the plays that are named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plays", type=Path, nargs="+")
    plays = {}
    for path in parser.parse_args().plays:
        texts = path.read_text(encoding="utf-8", errors="replace").splitlines()
        plays[path.stem] = count_arrivals(texts)
    print(render_table(plays))


if __name__ == "__main__":
    main()
