"""Sends of one call, and how many of them a target may have run."""

import math
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.fleet import FleetTarget
from carobladder.forwarding.attempts import AnswerProgress, OpenCall

__all__ = ["SendTracker", "TrackedSend"]


@dataclass(slots=True, eq=False)
class TrackedSend:
    """One send of a call.

    ``number`` counts the sends of the call from 1 and ``sent_at`` is in monotonic
    seconds. ``is_pending`` is true from the write of the request until it is known
    whether the target may have run it. ``is_superseded`` is set once another send has
    won. ``opened`` is the response that may be relayed.
    """

    target: FleetTarget
    number: int
    sent_at: float
    is_pending: bool = False
    is_superseded: bool = False
    opened: OpenCall | None = None

    def find_silence_start(self) -> float:
        """Return the time of the last byte of the answer, or that of the send."""
        return max(self.sent_at, self.opened.last_byte_at if self.opened else 0.0)

    def read_progress(self, relayed_from: FleetTarget | None) -> AnswerProgress:
        """Return how much of the answer has come."""
        if self.opened is None:
            return AnswerProgress.WAITING
        if relayed_from is self.target:
            return AnswerProgress.STREAMING
        return AnswerProgress.BEGUN


class SendTracker:
    """Sends of one call.

    ``possible_runs`` counts the sends that ended and that a target may have run.
    ``current`` is the send whose answer is awaited or relayed, the first one of two.
    """

    def __init__(self, clock: Clock) -> None:
        self.possible_runs = 0
        self.count = 0
        self.current: TrackedSend | None = None
        self._clock = clock
        self._unsettled: list[TrackedSend] = []

    def begin(self, target: FleetTarget) -> TrackedSend:
        """Count a send that is about to start."""
        self.count += 1
        send = TrackedSend(target, self.count, self._clock.monotonic())
        self._unsettled.append(send)
        return send

    def settle(self, send: TrackedSend, *, may_have_run: bool) -> None:
        """Record whether the target may have run a send that has ended or answered."""
        send.is_pending = False
        self._unsettled.remove(send)
        self.possible_runs += may_have_run

    def count_runs(self) -> int:
        """Return the number of sends that a target may have run or may still run."""
        return self.possible_runs + sum(s.is_pending for s in self._unsettled)

    def find_silence_start(self) -> float:
        """Return the time since which nothing has come for the current send."""
        return self.current.find_silence_start() if self.current else 0.0

    def read_age(self, at: float) -> float | None:
        """Return the seconds since a monotonic time, None for minus infinity."""
        seconds = self._clock.monotonic() - at
        return round(seconds, 3) if math.isfinite(seconds) else None
